//! The pools of a fleet and their aggregate load.

use super::{
    super::{PoolId, candidate_list::PoolLoad},
    Fleet,
};

impl Fleet {
    /// The first `count` pools after `pool`, in a fixed order; from the first one on if there is none.
    pub fn pools_after(&self, pool: Option<PoolId>, count: usize) -> Vec<PoolId> {
        self.agents.pools_after(pool).take(count).collect()
    }

    /// Aggregate load of a pool, and the number of its upstreams that accept flows.
    pub fn pool_summary(&self, pool: PoolId, now_ms: u64) -> (PoolLoad, usize) {
        (self.pool_load(pool, now_ms), self.eligible_agents(pool, now_ms).count())
    }
}
