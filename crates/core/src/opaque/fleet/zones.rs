//! Eligibility of agents for new flows, by zone and region.

use std::net::SocketAddrV4;

use super::{
    super::{
        PoolId,
        zone::{RegionId, Regions, ZoneId, ZoneTable, ZoneUpdateResult, ZonesOut},
    },
    AgentEntry, Fleet,
};

impl Fleet {
    /// Leaves the zones out of service unset until the first update.
    pub fn with_unknown_zones(self) -> Fleet {
        Fleet { zones: ZoneTable::unknown(), ..self }
    }

    /// Sets the region of each zone.
    pub fn with_regions(self, regions: Regions) -> Fleet {
        Fleet { regions, ..self }
    }

    /// Whether a zone is in one of the allowed regions; an empty list allows all. A zone of unknown region matches
    /// only an empty list.
    pub(super) fn is_zone_allowed(&self, zone: ZoneId, allowed: &[RegionId]) -> bool {
        allowed.is_empty() || self.regions.get(&zone).is_some_and(|it| allowed.contains(it))
    }

    /// Whether the agent is in one of the allowed regions, so that it may be sent a caller's data.
    pub fn is_region_allowed(&self, agent: SocketAddrV4, allowed: &[RegionId]) -> bool {
        self.agents.get(agent).is_some_and(|it| self.is_zone_allowed(it.zone, allowed))
    }

    /// Whether any zone is in one of the allowed regions.
    pub fn has_region(&self, allowed: &[RegionId]) -> bool {
        allowed.is_empty() || self.regions.values().any(|it| allowed.contains(it))
    }

    /// Zones out of service according to the store; none before the first update.
    pub fn zones_out(&self) -> Option<&ZonesOut> {
        self.zones.known()
    }

    /// Applies an update of the zones out of service.
    pub fn update_zones(&mut self, update: ZonesOut, now_ms: u64) -> ZoneUpdateResult {
        self.zones.apply(update, now_ms)
    }

    /// Names of all zones that get no new flows, including those whose entries the store lost.
    pub fn out_of_service_zone_names(&self) -> Vec<&str> {
        self.zones.out_names()
    }

    /// Names of the zones whose entries the store lost and the operator has not written again.
    pub fn lost_zones(&self) -> impl Iterator<Item = &str> {
        self.zones.lost()
    }

    /// Merges such zones reported by a peer; true if this adds any.
    pub fn merge_lost_zones(&mut self, names: Vec<String>, now_ms: u64) -> bool {
        self.zones.merge_lost(names, now_ms)
    }

    /// Returns zones to service whose lost entries were not written again in time; true if there were any.
    pub fn expire_lost_zones(&mut self, now_ms: u64) -> bool {
        self.zones.expire_lost(now_ms)
    }

    /// Whether the agent's zone is out of service.
    pub fn is_out_of_service(&self, agent: SocketAddrV4) -> bool {
        self.agents.get(agent).is_some_and(|it| self.zones.is_out_of_service(it.zone))
    }

    /// Whether any agent of the pool is in a zone out of service.
    pub fn has_agents_out_of_service(&self, pool: PoolId) -> bool {
        self.agents.in_pool(pool).any(|(_, it)| self.zones.is_out_of_service(it.zone))
    }

    /// Whether any agent of the pool may get a new flow.
    pub fn has_eligible_agent(&self, pool: PoolId, now_ms: u64) -> bool {
        self.eligible_agents(pool, now_ms).next().is_some()
    }

    /// Slots of the agents of the pool that may get new flows.
    pub fn slot_count(&self, pool: PoolId, now_ms: u64) -> usize {
        let reports = self.eligible_agents(pool, now_ms).filter_map(|(_, it)| it.report);
        reports.map(|it| it.slots as usize).sum()
    }

    /// Agents of a pool that accept new flows and are not in a zone out of service.
    pub(super) fn eligible_agents(
        &self,
        pool: PoolId,
        now_ms: u64,
    ) -> impl Iterator<Item = (SocketAddrV4, &AgentEntry)> {
        let live = self.agents.in_pool(pool).filter(move |(_, it)| it.accepts_flows(now_ms));
        live.filter(|(_, it)| !self.zones.is_out_of_service(it.zone))
    }
}
