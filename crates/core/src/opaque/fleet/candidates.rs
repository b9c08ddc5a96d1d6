//! Selection of the agents for a new flow, and of the possible holders of an existing one.

use std::net::SocketAddrV4;

use super::{
    super::{
        PoolId,
        candidate_list::{MAX_CANDIDATES, PoolLoad},
        flow::rendezvous_weight,
        zone::RegionId,
    },
    Fleet, ZoneId,
};

/// Factor and headroom, in thousandths of the slots, for the load up to which an agent accepts a flow at once. The
/// headroom lets idle pools keep flows in their zone.
const LIMIT_FACTOR: f64 = 1.0;
const LIMIT_HEADROOM: f64 = 40.0;
/// Maximum candidates of the balancer's own zone if other zones have some, so that a full zone does not block a flow.
const MAX_OWN_ZONE_CANDIDATES: usize = MAX_CANDIDATES / 2;

/// Candidates of a new flow, best first, and the load limit for accepting it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidates {
    /// The agents, best first.
    pub agents: Vec<SocketAddrV4>,
    /// Load up to which a candidate accepts at once, in thousandths of the slots.
    pub limit: u16,
    /// Aggregate load of the pool.
    pub pool: PoolLoad,
}

impl Fleet {
    /// Returns candidates for a new flow: the zone's own first, in rendezvous hashing order, with `avoid` and agents
    /// of unknown state last. Only agents in one of the `allowed` regions; an empty list allows all.
    pub fn candidates(
        &self,
        pool: PoolId,
        hash: u64,
        zone: ZoneId,
        avoid: Option<SocketAddrV4>,
        allowed: &[RegionId],
        now_ms: u64,
    ) -> Candidates {
        let eligible = self.eligible_agents(pool, now_ms);
        let eligible = eligible.filter(|(_, it)| self.is_zone_allowed(it.zone, allowed));
        let mut ranked: Vec<_> = eligible
            .map(|(agent, it)| {
                let last = Some(agent) == avoid || !it.is_ready();
                (last, it.zone != zone, rendezvous_weight(agent, hash), agent)
            })
            .collect();
        ranked.sort_unstable();
        let own = ranked.iter().filter(|it| !it.0 && !it.1).count();
        let others = ranked.iter().filter(|it| !it.0 && it.1).count();
        let keep = MAX_OWN_ZONE_CANDIDATES.max(MAX_CANDIDATES.saturating_sub(others));
        ranked.drain(keep.min(own)..own);
        ranked.truncate(MAX_CANDIDATES);
        Candidates {
            agents: ranked.into_iter().map(|it| it.3).collect(),
            limit: self.accept_limit(pool, now_ms),
            pool: self.pool_load(pool, now_ms),
        }
    }

    /// Agents that may hold a flow of the allowed pools, in the order of candidates; without those that are gone.
    pub fn possible_holders<P>(
        &self,
        allows: P,
        hash: u64,
        zone: ZoneId,
        now_ms: u64,
    ) -> Vec<SocketAddrV4>
    where
        P: Fn(PoolId) -> bool,
    {
        let members = self.agents.in_pools(allows).filter(|(_, it)| !it.is_gone(now_ms));
        let mut ranked: Vec<_> = members
            .map(|(agent, it)| (it.zone != zone, rendezvous_weight(agent, hash), agent))
            .collect();
        ranked.sort_unstable();
        ranked.into_iter().map(|it| it.2).collect()
    }

    pub(super) fn pool_load(&self, pool: PoolId, now_ms: u64) -> PoolLoad {
        let members = self.eligible_agents(pool, now_ms);
        let (mut weighted_service_ms, mut measured_slots, mut slots, mut full_slots) = (0, 0, 0, 0);
        for report in members.filter_map(|(_, it)| it.report) {
            slots += report.slots;
            full_slots += if report.full { report.slots } else { 0 };
            if let Some(service_ms) = report.service_ms {
                weighted_service_ms += service_ms * report.slots;
                measured_slots += report.slots;
            }
        }
        let service_ms = weighted_service_ms.checked_div(measured_slots);
        PoolLoad {
            service_ms,
            full_percent: (full_slots * 100).checked_div(slots).unwrap_or(0) as u8,
        }
    }

    fn accept_limit(&self, pool: PoolId, now_ms: u64) -> u16 {
        let members = self.eligible_agents(pool, now_ms);
        let (mut work, mut slots) = (0.0, 0.0);
        for report in members.filter_map(|(_, it)| it.report) {
            work += f64::from(report.load) * f64::from(report.slots);
            slots += f64::from(report.slots);
        }
        if slots == 0.0 {
            return 0;
        }
        (work / slots * LIMIT_FACTOR + LIMIT_HEADROOM) as u16
    }
}
