//! Fleet-wide duties and the balancers that perform each: withdrawal of stale entries from the store, watches for
//! configuration changes, and distribution of configurations.

use std::{collections::BTreeSet, net::SocketAddrV4};

use super::{
    super::{
        effect::Effect,
        flow::{address_number, rendezvous_weight},
        route::ConfigVersion,
    },
    Balancer,
};

/// Silence after which an agent's entry is withdrawn from the store: longer than a restart on a slow VM, and short, as
/// each entry of an agent that is gone keeps a fleet that lost power uncertain for seconds.
const WITHDRAW_AFTER_MS: u64 = 11_000;
/// Time that a leaving agent has to withdraw its own entry; shorter than the time until its address may be reused.
const LEFT_WITHDRAW_DELAY_MS: u64 = 1_500;
/// Balancers that withdraw an agent's entry at first: all of them are rarely gone at the same time, and each further
/// one costs a call to the store. With all nine balancers of a small fleet nine calls were made for each agent that
/// left.
const INITIAL_WITHDRAW_COUNT: usize = 3;
/// Balancers that watch the store for configuration changes; the others receive them from peers. With a third of all
/// VMs turned away by the store, all eight are in one case of seven thousand.
const CONFIG_WATCHERS: usize = 8;
/// Balancers that watch the store for changes of the zones out of service, at most half of all. The others poll every
/// few seconds, at a tenth of the price: if the store turns all four away (one case of eighty), one of the others sees
/// a change within a second.
const ZONE_WATCHERS: usize = 4;
/// Balancers that watch the store for members that are removed. A change wakes each of them, so they are few; two may
/// be cut off from the store.
const REMOVAL_WATCHERS: usize = 3;
/// Fan-out of the tree, below the watchers, over which a new configuration is announced. Without the tree the first
/// watcher served a change to nearly all others: 69 connections at once among 75 balancers. At 520 balancers the tree
/// has three levels of 0.1 s each.
const CONFIG_FAN_OUT: usize = 8;
/// Time after which a configuration is requested again if it did not arrive; a failing call takes 600 ms.
const CONFIG_RETRY_MS: u64 = 700;
/// Agents that store a copy of the configuration for balancers that start while the store and all other balancers are
/// unreachable. More would cost a transfer of the whole configuration each at every change: 160 kB in the size designed
/// for.
const CONFIG_REPLICAS: usize = 8;
/// Rendezvous hashing seed for these agents.
const CONFIG_REPLICA_SEED: u64 = 0xc09f;
/// Time after which further balancers try to withdraw an entry; longer than the interval between two reads of the
/// member list.
const WITHDRAW_ESCALATION_MS: u64 = 50_000;
/// Balancers that return to an agent its service time from before a restart. Each one costs a datagram, and in a large
/// fleet all balancers remember it.
const SERVICE_RETURN_COUNT: usize = 4;
/// Bounds the sets of withdrawn and of leaving agents.
pub(super) const MAX_WITHDRAWN: usize = 10_000;

/// A duty that a few balancers perform for the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Duty {
    /// Watching the store for configuration changes.
    ConfigWatch,
    /// Watching the store for changes of the zones out of service.
    ZoneWatch,
    /// Watching the store for members that are removed.
    RemovalWatch,
}

impl Duty {
    const ALL: [Duty; 3] = [Duty::ConfigWatch, Duty::ZoneWatch, Duty::RemovalWatch];

    /// Number of balancers with this duty in a fleet of `balancers`.
    fn holder_count(self, balancers: usize) -> usize {
        match self {
            Duty::ConfigWatch => CONFIG_WATCHERS,
            Duty::ZoneWatch => (balancers / 2).clamp(1, ZONE_WATCHERS),
            Duty::RemovalWatch => REMOVAL_WATCHERS,
        }
    }

    /// Rendezvous hashing seed for the balancers with this duty.
    fn seed(self) -> u64 {
        match self {
            Duty::ConfigWatch => 0x77a7,
            Duty::ZoneWatch => 0x20e5,
            Duty::RemovalWatch => 0x6e0d,
        }
    }
}

impl Balancer {
    /// Agents whose entries should be withdrawn from the store, as they left or have been gone for long. A restarting
    /// fleet would otherwise wait for them. Silence from before `connected_ms`, when this balancer was cut off, does
    /// not count.
    pub fn agents_to_withdraw(&self, connected_ms: u64, now_ms: u64) -> Vec<SocketAddrV4> {
        let mut agents = self.fleet.listed_but_gone(WITHDRAW_AFTER_MS, connected_ms, now_ms);
        let left = self
            .left_agents
            .iter()
            .filter(|it| now_ms.saturating_sub(*it.1) >= LEFT_WITHDRAW_DELAY_MS);
        agents.extend(left.map(|it| it.0));
        agents
    }

    /// Whether this balancer should withdraw an agent's entry that has been due for `since_ms`. Each agent
    /// has its own order of the balancers, and the first few withdraw the entry; more of them join in if it stays.
    pub fn should_withdraw<'a, I>(&self, agent: SocketAddrV4, others: I, since_ms: u64) -> bool
    where
        I: IntoIterator<Item = &'a SocketAddrV4>,
    {
        let count = INITIAL_WITHDRAW_COUNT * (1 + (since_ms / WITHDRAW_ESCALATION_MS) as usize);
        self.ranks_within(count, address_number(agent), others)
    }

    /// Whether a member list was read from the store. Until then too few balancers are known to choose the watchers
    /// among them.
    pub fn has_member_list(&self) -> bool {
        self.member_list_ms.is_some()
    }

    /// Position of this balancer among those with a duty; `None` if it does not have the duty.
    pub fn duty_rank<'a, I>(&self, duty: Duty, others: I) -> Option<usize>
    where
        I: IntoIterator<Item = &'a SocketAddrV4, IntoIter: Clone>,
    {
        let others = others.into_iter();
        let rank = self.rank(duty.seed(), others.clone());
        (rank < duty.holder_count(others.count() + 1)).then_some(rank)
    }

    /// The other balancers with a duty.
    pub fn duty_peers<'a, I>(&self, duty: Duty, others: I) -> Vec<SocketAddrV4>
    where
        I: IntoIterator<Item = &'a SocketAddrV4>,
    {
        let mut peers = self.holders(duty, others);
        peers.retain(|&it| it != self.address);
        peers
    }

    /// Balancers, this one included, that have any duty.
    pub fn duty_holders<'a, I>(&self, others: I) -> BTreeSet<SocketAddrV4>
    where
        I: IntoIterator<Item = &'a SocketAddrV4, IntoIter: Clone>,
    {
        let others = others.into_iter();
        Duty::ALL.into_iter().flat_map(|it| self.holders(it, others.clone())).collect()
    }

    /// The balancers with a duty, in their order.
    fn holders<'a, I>(&self, duty: Duty, others: I) -> Vec<SocketAddrV4>
    where
        I: IntoIterator<Item = &'a SocketAddrV4>,
    {
        let mut holders = self.order(duty.seed(), others);
        holders.truncate(duty.holder_count(holders.len()));
        holders
    }

    /// All balancers, in the rendezvous hashing order of `seed`.
    fn order<'a, I>(&self, seed: u64, others: I) -> Vec<SocketAddrV4>
    where
        I: IntoIterator<Item = &'a SocketAddrV4>,
    {
        let mut order: Vec<_> = others.into_iter().copied().chain([self.address]).collect();
        order.sort_unstable_by_key(|&it| rendezvous_weight(it, seed));
        order
    }

    /// Handles the removal of an agent's entry from the store. An agent that still reports is notified, so that it
    /// registers again; returns whether it was.
    pub fn handle_removal(
        &mut self,
        agent: SocketAddrV4,
        now_ms: u64,
        out: &mut Vec<Effect>,
    ) -> bool {
        let reports = self.fleet.mark_unlisted(agent, now_ms);
        if reports {
            out.push(Effect::Unlisted { to: agent });
        }
        reports
    }

    /// Balancers to which this one announces a new configuration. All balancers form one order, the watchers first;
    /// each announces it to the next ones that no earlier balancer covers.
    pub fn config_recipients<'a, I>(&self, others: I) -> Vec<SocketAddrV4>
    where
        I: IntoIterator<Item = &'a SocketAddrV4>,
    {
        let order = self.order(Duty::ConfigWatch.seed(), others);
        let own = order.iter().position(|&it| it == self.address).unwrap_or(0);
        order
            .into_iter()
            .skip(CONFIG_WATCHERS + own * CONFIG_FAN_OUT)
            .take(CONFIG_FAN_OUT)
            .collect()
    }

    /// Whether this balancer is one of the first `count` in the rendezvous hashing order of `seed`.
    fn ranks_within<'a, I>(&self, count: usize, seed: u64, others: I) -> bool
    where
        I: IntoIterator<Item = &'a SocketAddrV4>,
    {
        self.rank(seed, others) < count
    }

    /// Position of this balancer in the rendezvous hashing order of `seed`.
    fn rank<'a, I>(&self, seed: u64, others: I) -> usize
    where
        I: IntoIterator<Item = &'a SocketAddrV4>,
    {
        let own = rendezvous_weight(self.address, seed);
        others.into_iter().filter(|&&it| rendezvous_weight(it, seed) < own).count()
    }

    /// Whether to request a configuration from a peer that has it in force; a request is not repeated within the retry
    /// interval.
    pub fn should_request_config(&mut self, config_version: ConfigVersion, now_ms: u64) -> bool {
        if Some(config_version) <= self.routes.config_version() {
            return false;
        }
        let pending = self.requested_config.is_some_and(|(requested, at_ms)| {
            requested >= config_version && now_ms.saturating_sub(at_ms) < CONFIG_RETRY_MS
        });
        if !pending {
            self.requested_config = Some((config_version, now_ms));
        }
        !pending
    }

    /// Agents that should store a copy of the configuration: the first live ones by rendezvous hashing, so that
    /// balancers with the same view choose the same ones.
    pub fn config_replicas(&self, now_ms: u64) -> Vec<SocketAddrV4> {
        let mut agents = self.fleet.stable_agents(now_ms);
        agents.sort_unstable_by_key(|&it| rendezvous_weight(it, CONFIG_REPLICA_SEED));
        agents.truncate(CONFIG_REPLICAS);
        agents
    }

    /// Notifies live agents that are missing from the store, as it was reset to an older copy, to register again.
    /// Only the first few balancers of an agent's order do so, as each notification makes the agent read the member
    /// list.
    pub fn notify_unlisted<'a, I>(&self, others: I, now_ms: u64, out: &mut Vec<Effect>)
    where
        I: IntoIterator<Item = &'a SocketAddrV4, IntoIter: Clone>,
    {
        let others = others.into_iter();
        for to in self.fleet.unlisted_agents(now_ms) {
            if self.should_withdraw(to, others.clone(), 0) {
                out.push(Effect::Unlisted { to });
            }
        }
    }

    /// Returns to an agent that has just reported no service time the one from before its restart, once per
    /// incarnation, if this balancer is among the first few of the agent's order.
    pub fn return_service<'a, I>(&mut self, to: SocketAddrV4, others: I, out: &mut Vec<Effect>)
    where
        I: IntoIterator<Item = &'a SocketAddrV4>,
    {
        let Some(service) = self.fleet.service_to_return(to) else {
            return;
        };
        if self.ranks_within(SERVICE_RETURN_COUNT, address_number(to), others) {
            out.push(Effect::ReturnService { to, service });
        }
    }

    /// Records that an agent's entry was withdrawn from the store. The agent is notified if it reports again.
    pub fn mark_withdrawn(&mut self, agent: SocketAddrV4) {
        self.left_agents.remove(&agent);
        if self.withdrawn.len() < MAX_WITHDRAWN {
            self.withdrawn.insert(agent);
        }
    }
}
