//! The agents of a fleet, indexed by pool, as placement needs the agents of one pool only.

use std::{collections::BTreeMap, net::SocketAddrV4, ops::Bound};

use rustc_hash::FxHashMap;

use super::{PoolId, fleet::AgentEntry};

type PoolAgents = BTreeMap<SocketAddrV4, AgentEntry>;

/// The agents, each in one pool.
#[derive(Clone, Debug, Default)]
pub(super) struct Agents {
    pools: BTreeMap<PoolId, PoolAgents>,
    pool_of: FxHashMap<SocketAddrV4, PoolId>,
}

impl Agents {
    pub(super) fn len(&self) -> usize {
        self.pool_of.len()
    }

    pub(super) fn get(&self, agent: SocketAddrV4) -> Option<&AgentEntry> {
        let pool = self.pool_of.get(&agent)?;
        self.pools.get(pool)?.get(&agent)
    }

    pub(super) fn get_mut(&mut self, agent: SocketAddrV4) -> Option<&mut AgentEntry> {
        let pool = self.pool_of.get(&agent)?;
        self.pools.get_mut(pool)?.get_mut(&agent)
    }

    pub(super) fn pool_of(&self, agent: SocketAddrV4) -> Option<PoolId> {
        self.pool_of.get(&agent).copied()
    }

    /// Returns an agent; an unknown one is added to `pool`.
    pub(super) fn get_or_insert<F>(
        &mut self,
        agent: SocketAddrV4,
        pool: PoolId,
        new: F,
    ) -> &mut AgentEntry
    where
        F: FnOnce() -> AgentEntry,
    {
        let pool = *self.pool_of.entry(agent).or_insert(pool);
        self.pools.entry(pool).or_default().entry(agent).or_insert_with(new)
    }

    pub(super) fn remove(&mut self, agent: SocketAddrV4) -> Option<AgentEntry> {
        let pool = self.pool_of.remove(&agent)?;
        let agents = self.pools.get_mut(&pool)?;
        let entry = agents.remove(&agent);
        if agents.is_empty() {
            self.pools.remove(&pool);
        }
        entry
    }

    /// Moves an agent to another pool.
    pub(super) fn set_pool(&mut self, agent: SocketAddrV4, pool: PoolId) {
        if self.pool_of(agent) == Some(pool) {
            return;
        }
        if let Some(entry) = self.remove(agent) {
            self.get_or_insert(agent, pool, || entry);
        }
    }

    /// Removes the agents that `keep` rejects, and returns them.
    pub(super) fn retain<F>(&mut self, keep: F) -> Vec<(SocketAddrV4, AgentEntry)>
    where
        F: Fn(&AgentEntry) -> bool,
    {
        let gone: Vec<_> = self.iter().filter(|(_, it)| !keep(it)).map(|(it, _)| it).collect();
        gone.into_iter().filter_map(|it| Some((it, self.remove(it)?))).collect()
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (SocketAddrV4, &AgentEntry)> {
        self.pools.values().flatten().map(|(&agent, it)| (agent, it))
    }

    pub(super) fn iter_mut(&mut self) -> impl Iterator<Item = (SocketAddrV4, &mut AgentEntry)> {
        self.pools.values_mut().flatten().map(|(&agent, it)| (agent, it))
    }

    pub(super) fn count_in_pool(&self, pool: PoolId) -> usize {
        self.pools.get(&pool).map_or(0, BTreeMap::len)
    }

    pub(super) fn in_pool(
        &self,
        pool: PoolId,
    ) -> impl Iterator<Item = (SocketAddrV4, &AgentEntry)> {
        self.pools.get(&pool).into_iter().flatten().map(|(&agent, it)| (agent, it))
    }

    /// The pools after `pool`, or all if there is none.
    pub(super) fn pools_after(&self, pool: Option<PoolId>) -> impl Iterator<Item = PoolId> {
        let start = pool.map_or(Bound::Unbounded, Bound::Excluded);
        self.pools.range((start, Bound::Unbounded)).map(|(&pool, _)| pool)
    }

    pub(super) fn in_pools<P>(&self, allows: P) -> impl Iterator<Item = (SocketAddrV4, &AgentEntry)>
    where
        P: Fn(PoolId) -> bool,
    {
        let pools = self.pools.iter().filter(move |(pool, _)| allows(**pool));
        pools.flat_map(|(_, agents)| agents).map(|(&agent, it)| (agent, it))
    }
}
