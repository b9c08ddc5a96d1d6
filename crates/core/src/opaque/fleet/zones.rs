//! Which agents new flows may go to, by zone and region.

use std::net::SocketAddrV4;

use super::{
    super::{
        PoolId,
        zone::{RegionId, Regions, ZoneId, ZoneNews, ZoneTable, ZonesOut},
    },
    Entry, Fleet,
};

impl Fleet {
    /// A fleet that does not know yet which zones are out of service.
    pub fn with_unknown_zones(self) -> Fleet {
        Fleet { zones: ZoneTable::unknown(), ..self }
    }

    /// The fleet with the region of each zone.
    pub fn with_regions(self, regions: Regions) -> Fleet {
        Fleet { regions, ..self }
    }

    /// Whether a zone is in one of the regions that a route allows; none named allow all. One of a zone whose region is not
    /// known is not.
    pub(super) fn is_within(&self, zone: ZoneId, allowed: &[RegionId]) -> bool {
        allowed.is_empty() || self.regions.get(&zone).is_some_and(|it| allowed.contains(it))
    }

    /// Whether requests of a route that allows these regions may be sent to the agent.
    pub fn may_get(&self, agent: SocketAddrV4, allowed: &[RegionId]) -> bool {
        self.agents.get(agent).is_some_and(|it| self.is_within(it.zone, allowed))
    }

    /// Whether any zone is in one of the regions that a route allows.
    pub fn has_region(&self, allowed: &[RegionId]) -> bool {
        allowed.is_empty() || self.regions.values().any(|it| allowed.contains(it))
    }

    /// The zones out of service by the store, if that is known.
    pub fn zones_out(&self) -> Option<&ZonesOut> {
        self.zones.known()
    }

    /// Takes news on zones out of service.
    pub fn put_zones(&mut self, news: ZonesOut, now_ms: u64) -> ZoneNews {
        self.zones.put(news, now_ms)
    }

    /// Names of all zones that get no new flow: those that the store says are out of service, and those whose entries it lost.
    pub fn zone_names_out(&self) -> Vec<&str> {
        self.zones.names()
    }

    /// Names of the zones whose entries the store lost, as far as the operator has not written them again.
    pub fn lost_zones(&self) -> impl Iterator<Item = &str> {
        self.zones.lost()
    }

    /// Takes a peer's word on such zones; whether it changes anything.
    pub fn learn_lost_zones(&mut self, names: Vec<String>, now_ms: u64) -> bool {
        self.zones.learn_lost(names, now_ms)
    }

    /// Takes back zones whose lost entries were not written again in time; whether there were some.
    pub fn release_zones(&mut self, now_ms: u64) -> bool {
        self.zones.release(now_ms)
    }

    /// Whether the agent's zone is out of service.
    pub fn is_out(&self, agent: SocketAddrV4) -> bool {
        self.agents.get(agent).is_some_and(|it| self.zones.is_out(it.zone))
    }

    /// Whether agents of the pool are in zones out of service.
    pub fn has_out(&self, pool: PoolId) -> bool {
        self.agents.of(pool).any(|(_, it)| self.zones.is_out(it.zone))
    }

    /// The agents of a pool that new flows may go to.
    pub(super) fn takers(
        &self,
        pool: PoolId,
        now_ms: u64,
    ) -> impl Iterator<Item = (SocketAddrV4, &Entry)> {
        let live = self.agents.of(pool).filter(move |(_, it)| it.takes_flows(now_ms));
        live.filter(|(_, it)| !self.zones.is_out(it.zone))
    }
}
