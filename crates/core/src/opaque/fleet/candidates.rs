//! Selection of the agents for a new flow, and of the possible holders of an existing one.

use std::net::SocketAddrV4;

use super::{
    super::{
        PoolId,
        candidate_list::{MAX_CANDIDATES, PoolLoad},
        flow::rendezvous_weight,
        service_rate::is_short_answer,
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

/// Mean weighted by slots.
#[derive(Clone, Copy, Debug, Default)]
struct WeightedMean {
    sum: u64,
    weight: u64,
}

impl WeightedMean {
    fn add(&mut self, value: u32, slots: u32) {
        self.sum += u64::from(value) * u64::from(slots);
        self.weight += u64::from(slots);
    }

    /// The rounded mean; none without values.
    fn get(&self) -> Option<u32> {
        (self.sum + self.weight / 2).checked_div(self.weight).map(|it| it as u32)
    }
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
        let members = || self.eligible_agents(pool, now_ms).map(|(_, it)| it);
        let (mut slots, mut full_slots) = (0_u32, 0_u32);
        let mut answer_bytes = WeightedMean::default();
        for entry in members() {
            let Some(report) = &entry.report else {
                continue;
            };
            slots += report.slots;
            full_slots += if report.full { report.slots } else { 0 };
            if let Some(bytes) = entry.service().and_then(|it| it.answer_bytes) {
                answer_bytes.add(bytes, report.slots);
            }
        }
        let answer_bytes = answer_bytes.get();
        let mut service_ms = WeightedMean::default();
        for entry in members() {
            let Some((report, service)) = entry.report.zip(entry.service()) else {
                continue;
            };
            // Errors and empty answers are quick. Their service time would make the others look slow.
            let short = service.answer_bytes.zip(answer_bytes);
            if !short.is_some_and(|(own, pool)| is_short_answer(own, pool)) {
                service_ms.add(service.service_ms, report.slots);
            }
        }
        PoolLoad {
            service_ms: service_ms.get(),
            answer_bytes,
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
