//! Which agents a new flow may go to, and which may hold one that is there.

use std::net::SocketAddrV4;

use super::{
    super::{
        PoolId,
        flow::rank,
        walk::{MAX_SEATS, PoolLoad},
        zone::RegionId,
    },
    Fleet, ZoneId,
};

/// Room above the mean load up to which an agent accepts a flow at once: a tenth, so that kept flows are spread evenly,
/// and a part of a slot so that idle pools keep flows in their zone.
const LIMIT_FACTOR: f64 = 1.0;
const LIMIT_ROOM: f64 = 40.0;
/// Candidates of the balancer's own zone at the most, if other zones have some: a zone that is full must not keep flows
/// from the others.
const OWN_ZONE_SEATS: usize = MAX_SEATS / 2;

/// Candidates of a new flow, best first, with the load up to which they should accept.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidates {
    /// The agents.
    pub agents: Vec<SocketAddrV4>,
    /// Load in thousandths of the slots.
    pub limit: u16,
    /// What is known of the pool as a whole.
    pub pool: PoolLoad,
}

impl Fleet {
    /// Candidates for a new flow: the zone's own first, in an order that the flow's hash gives. Only agents in one of the
    /// `allowed` regions; none named allow all.
    pub fn candidates(
        &self,
        pool: PoolId,
        hash: u64,
        zone: ZoneId,
        avoid: Option<SocketAddrV4>,
        allowed: &[RegionId],
        now_ms: u64,
    ) -> Candidates {
        let takers = self.takers(pool, now_ms);
        let takers = takers.filter(|(_, it)| self.is_within(it.zone, allowed));
        let mut ranked: Vec<_> = takers
            .map(|(agent, it)| {
                let last = Some(agent) == avoid || !it.is_ready();
                (last, it.zone != zone, rank(agent, hash), agent)
            })
            .collect();
        ranked.sort_unstable();
        let own = ranked.iter().filter(|it| !it.0 && !it.1).count();
        let others = ranked.iter().filter(|it| !it.0 && it.1).count();
        let keep = OWN_ZONE_SEATS.max(MAX_SEATS.saturating_sub(others));
        ranked.drain(keep.min(own)..own);
        ranked.truncate(MAX_SEATS);
        Candidates {
            agents: ranked.into_iter().map(|it| it.3).collect(),
            limit: self.limit(pool, now_ms),
            pool: self.pool_load(pool, now_ms),
        }
    }

    /// Agents that may hold a flow of these pools, the most likely first: in the order of candidates. Those that are
    /// gone are left out.
    pub fn holders<P>(&self, allows: P, hash: u64, zone: ZoneId, now_ms: u64) -> Vec<SocketAddrV4>
    where
        P: Fn(PoolId) -> bool,
    {
        let members = self.agents.of_all(allows).filter(|(_, it)| !it.is_gone(now_ms));
        let mut ranked: Vec<_> =
            members.map(|(agent, it)| (it.zone != zone, rank(agent, hash), agent)).collect();
        ranked.sort_unstable();
        ranked.into_iter().map(|it| it.2).collect()
    }

    fn pool_load(&self, pool: PoolId, now_ms: u64) -> PoolLoad {
        let members = self.takers(pool, now_ms);
        let (mut service, mut measured, mut slots, mut full) = (0, 0, 0, 0);
        for report in members.filter_map(|(_, it)| it.report) {
            slots += report.slots;
            full += if report.full { report.slots } else { 0 };
            if let Some(service_ms) = report.service_ms {
                service += service_ms * report.slots;
                measured += report.slots;
            }
        }
        let service_ms = service.checked_div(measured);
        PoolLoad { service_ms, full_percent: (full * 100).checked_div(slots).unwrap_or(0) as u8 }
    }

    fn limit(&self, pool: PoolId, now_ms: u64) -> u16 {
        let members = self.takers(pool, now_ms);
        let (mut work, mut slots) = (0.0, 0.0);
        for report in members.filter_map(|(_, it)| it.report) {
            work += f64::from(report.load) * f64::from(report.slots);
            slots += f64::from(report.slots);
        }
        if slots == 0.0 {
            return 0;
        }
        (work / slots * LIMIT_FACTOR + LIMIT_ROOM) as u16
    }
}
