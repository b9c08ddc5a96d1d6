//! Selection of the agents at which a balancer reserves slots for a deferred opening packet.

use std::net::SocketAddrV4;

use super::{super::PoolId, Fleet};

/// Agents at which slots are reserved for an opening packet; two choices give most of the benefit of many.
const RESERVATION_AGENTS: usize = 2;

impl Fleet {
    /// Whether the agent may get new flows of the pool.
    pub(in crate::opaque) fn may_get_flows(
        &self,
        agent: SocketAddrV4,
        pool: PoolId,
        now_ms: u64,
    ) -> bool {
        self.agents.pool_of(agent) == Some(pool)
            && self.agents.get(agent).is_some_and(|it| {
                it.accepts_flows(now_ms) && !self.zones.is_out_of_service(it.zone)
            })
    }

    /// Whether the agent reports a ready upstream and may get new flows.
    pub(in crate::opaque) fn is_ready_for_flows(&self, agent: SocketAddrV4, now_ms: u64) -> bool {
        self.agents.get(agent).is_some_and(|it| it.is_ready())
            && self.pool_of(agent).is_some_and(|it| self.may_get_flows(agent, it, now_ms))
    }

    /// Whether the pool is full according to the agents' reports.
    pub(in crate::opaque) fn is_pool_full(&self, pool: PoolId, now_ms: u64) -> bool {
        self.pool_load(pool, now_ms).is_full()
    }

    /// The candidates at which to reserve slots, at most [`RESERVATION_AGENTS`]: ready ones, those not full first, and in
    /// different zones if possible.
    pub(in crate::opaque) fn reservation_agents(
        &self,
        candidates: &[SocketAddrV4],
        avoid: Option<SocketAddrV4>,
    ) -> Vec<SocketAddrV4> {
        let ready = candidates.iter().filter(|&&it| Some(it) != avoid);
        let ready = ready.filter_map(|&it| Some((it, self.agents.get(it)?)));
        let mut ranked: Vec<_> = ready.filter(|it| it.1.is_ready()).collect();
        // Stable, so that the order of candidates is kept otherwise.
        ranked.sort_by_key(|(_, it)| it.report.is_some_and(|it| it.full));
        let first_zone = ranked.first().map(|it| it.1.zone);
        if let Some(other) = ranked.iter().position(|it| Some(it.1.zone) != first_zone) {
            ranked[1..=other].rotate_right(1);
        }
        ranked.into_iter().take(RESERVATION_AGENTS).map(|it| it.0).collect()
    }
}
