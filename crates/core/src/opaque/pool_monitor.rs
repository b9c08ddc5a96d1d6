//! Detection of full pools from the reports of their agents, for the logs and metrics of a balancer. Placement does not
//! depend on it.

use std::collections::BTreeMap;

use super::{PoolId, fleet::Fleet};

/// Share of a pool's slots at full upstreams, in percent, from which the pool counts as full; requests wait at agents
/// from the same share on.
const FULL_PERCENT: u8 = 60;
/// Share, in percent, below which a full pool has room again. The distance from `FULL_PERCENT` is more than one of four
/// upstreams, so that a single one does not change the state of a small pool back and forth.
const ROOM_PERCENT: u8 = 30;
/// Time for which a pool must be full before it is reported: longer than a report interval, so that one report of each
/// agent is not enough.
const FULL_AFTER_MS: u64 = 1_500;
/// Time for which a full pool must have room before it is reported: longer than the pauses between the waves of a burst.
const ROOM_AFTER_MS: u64 = 3_000;
/// Interval between two checks of a pool.
const CHECK_INTERVAL_MS: u64 = 500;
/// Maximum number of pools checked on one tick; bounds its duration. With 680 pools and ticks of 20 ms each pool is
/// checked every 860 ms.
const MAX_CHECKS_PER_TICK: usize = 16;

/// State of a pool after a check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PoolCheck {
    /// The pool.
    pub pool: PoolId,
    /// Share of its slots that are at full upstreams, in percent; `None` if the pool no longer exists.
    pub full_percent: Option<u8>,
    /// Change of its state, if any.
    pub change: Option<PoolChange>,
}

/// Change of a pool's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PoolChange {
    /// The pool became full.
    Full {
        /// Mean service time of its upstreams, in milliseconds, if any reported one.
        service_ms: Option<u32>,
        /// Number of upstreams that accept flows.
        upstreams: usize,
    },
    /// The pool has room again.
    HasRoom {
        /// Time for which it was full, in milliseconds.
        full_ms: u64,
    },
}

#[derive(Clone, Copy, Debug)]
struct PoolState {
    /// Since when the pool is full, once that was reported.
    full_since_ms: Option<u64>,
    /// Since when the load contradicts the reported state.
    contrary_since_ms: Option<u64>,
    checked_ms: u64,
}

/// Checks the pools of a fleet in turn.
#[derive(Clone, Debug, Default)]
pub struct PoolMonitor {
    pools: BTreeMap<PoolId, PoolState>,
    /// Last pool checked in the current round; `None` between rounds.
    position: Option<PoolId>,
    round_started_ms: Option<u64>,
}

impl PoolMonitor {
    /// Checks the pools whose turn it is. Appends their states to `checks`.
    pub fn tick(&mut self, fleet: &Fleet, now_ms: u64, checks: &mut Vec<PoolCheck>) {
        if self.position.is_none() {
            let is_due = self
                .round_started_ms
                .is_none_or(|it| now_ms.saturating_sub(it) >= CHECK_INTERVAL_MS);
            if !is_due {
                return;
            }
            self.round_started_ms = Some(now_ms);
        }
        let pools = fleet.pools_after(self.position, MAX_CHECKS_PER_TICK);
        for &pool in &pools {
            checks.push(self.check(fleet, pool, now_ms));
        }
        self.position = pools.last().copied().filter(|_| pools.len() == MAX_CHECKS_PER_TICK);
        if self.position.is_none() {
            self.remove_unchecked(checks);
        }
    }

    fn check(&mut self, fleet: &Fleet, pool: PoolId, now_ms: u64) -> PoolCheck {
        let (load, upstreams) = fleet.pool_summary(pool, now_ms);
        let percent = load.full_percent;
        let new = PoolState { full_since_ms: None, contrary_since_ms: None, checked_ms: now_ms };
        let state = self.pools.entry(pool).or_insert(new);
        state.checked_ms = now_ms;
        let is_contrary = match state.full_since_ms {
            None => percent >= FULL_PERCENT,
            // A pool without upstreams has no room.
            Some(_) => percent < ROOM_PERCENT && upstreams > 0,
        };
        let contrary_since_ms = is_contrary.then(|| *state.contrary_since_ms.get_or_insert(now_ms));
        state.contrary_since_ms = contrary_since_ms;
        let change = contrary_since_ms.and_then(|since_ms| {
            let change = match state.full_since_ms {
                None if now_ms.saturating_sub(since_ms) >= FULL_AFTER_MS => {
                    state.full_since_ms = Some(since_ms);
                    PoolChange::Full { service_ms: load.service_ms, upstreams }
                }
                Some(full_since_ms) if now_ms.saturating_sub(since_ms) >= ROOM_AFTER_MS => {
                    state.full_since_ms = None;
                    PoolChange::HasRoom { full_ms: since_ms.saturating_sub(full_since_ms) }
                }
                _ => return None,
            };
            state.contrary_since_ms = None;
            Some(change)
        });
        PoolCheck { pool, full_percent: Some(percent), change }
    }

    /// Removes the pools that the finished round did not find.
    fn remove_unchecked(&mut self, checks: &mut Vec<PoolCheck>) {
        let started_ms = self.round_started_ms.unwrap_or(0);
        self.pools.retain(|&pool, state| {
            let exists = state.checked_ms >= started_ms;
            if !exists {
                checks.push(PoolCheck { pool, full_percent: None, change: None });
            }
            exists
        });
    }
}
