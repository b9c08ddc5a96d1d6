//! What balancers do for the whole fleet, and which of them does it: remove objects of agents that are gone, wait for
//! changes of the configuration, fetch one from a peer.

use std::net::SocketAddrV4;

use super::{
    super::{
        effect::Effect,
        flow::{number, rank},
        route::Stamp,
    },
    Balancer,
};

/// Silence after which an agent's object is removed: well above that of a restart on a slow VM, and short, as each object
/// of an agent that is gone keeps a fleet that lost power from being certain of anything for seconds.
const WITHDRAW_MS: u64 = 11_000;
/// Time for which an agent that leaves may remove its object itself: longer than its call may take, shorter than the time
/// after which its address may belong to another one.
const LEFT_MS: u64 = 1_500;
/// Balancers that have an agent's object removed: that all of them are gone at the same time is rare, and each further one
/// costs a call to the store. With all nine balancers of a small fleet nine calls were made for each agent that left.
const REMOVERS: usize = 3;
/// Balancers that wait at the store for changes of the configuration; they tell all others. With a third of all VMs turned
/// away by the store, all of these are in one case of seven thousand. In a fleet of 59 a change costs 8 calls in place of
/// 59, and nobody else's connection waits there.
const WATCHERS: usize = 8;
/// Balancers that wait there for changes of the zones out of service, at most half of all balancers. The others read them each few seconds, at a tenth of
/// the price: if the store turns all four away (one case of eighty), one of the others sees a change within a second.
const ZONE_WATCHERS: usize = 4;
/// Balancers that each one tells of a configuration as soon as it has it, in a tree below the watchers: each of them fetches it
/// from whoever told it. Without the tree the first watcher that had a change served it to nearly all others: 69 connections at
/// once among 75 balancers. At 520 the tree has three levels, 0.1 s each.
const TOLD: usize = 8;
/// Numbers that give the balancers an order for that.
const WATCH_ORDER: u64 = 0x77a7;
const ZONE_WATCH_ORDER: u64 = 0x20e5;
/// Time after which a peer is asked again for a configuration that did not come: a call that fails takes 600 ms.
const ASK_AGAIN_MS: u64 = 700;
/// Agents that keep a copy of the configuration for balancers that start while nobody else can tell it. All balancers and all of
/// these have to end before it is lost. More would cost a transfer of the whole configuration each at every change: 160 kB at
/// the size designed for.
const KEEPERS: usize = 8;
/// Number that gives the agents an order for that.
const KEEP_ORDER: u64 = 0xc09f;
/// Time after which more balancers try: the pause between two lists of members, and some.
const REMOVAL_MS: u64 = 50_000;
/// Withdrawn agents that are remembered.
pub(super) const MAX_WITHDRAWN: usize = 10_000;

impl Balancer {
    /// Agents whose objects should be removed, as they left or have been gone for long: a fleet that starts anew would
    /// wait for them.
    pub fn to_withdraw(&self, now_ms: u64) -> Vec<SocketAddrV4> {
        let mut agents = self.fleet.long_gone(WITHDRAW_MS, now_ms);
        let left = self.left.iter().filter(|it| now_ms.saturating_sub(*it.1) >= LEFT_MS);
        agents.extend(left.map(|it| it.0));
        agents
    }

    /// Whether it is up to this balancer, among the others, to have an agent's object removed that is due since so long: each
    /// agent has an order of its own over the balancers, and the first few of it call the store. Whoever is left out
    /// learns of the removal with its next list.
    pub fn is_remover<'a, I>(&self, agent: SocketAddrV4, others: I, since_ms: u64) -> bool
    where
        I: IntoIterator<Item = &'a SocketAddrV4>,
    {
        let removers = REMOVERS * (1 + (since_ms / REMOVAL_MS) as usize);
        self.is_among_first(removers, number(agent), others)
    }

    /// Whether the store's list of members has come, so that a duty can be decided on. Greetings come before it: among the few
    /// that sent one so far nearly everyone would count as a watcher, and each start would cost a call that waits for nothing.
    pub fn knows_members(&self) -> bool {
        self.listed_ms.is_some()
    }

    /// Whether it is up to this balancer, among the others, to wait at the store for changes of the configuration.
    pub fn is_watcher<'a, I>(&self, others: I) -> bool
    where
        I: IntoIterator<Item = &'a SocketAddrV4>,
    {
        self.is_among_first(WATCHERS, WATCH_ORDER, others)
    }

    /// The same for the zones out of service.
    pub fn is_zone_watcher<'a, I>(&self, others: I) -> bool
    where
        I: IntoIterator<Item = &'a SocketAddrV4, IntoIter: Clone>,
    {
        let others = others.into_iter();
        let half = others.clone().count().div_ceil(2).max(1);
        self.is_among_first(half.min(ZONE_WATCHERS), ZONE_WATCH_ORDER, others)
    }

    /// The balancers, among the others, that this one tells of a configuration as soon as it has it. All balancers stand in
    /// one order, the watchers first; each has the next ones below it that nobody before it has.
    pub fn to_tell<'a, I>(&self, others: I) -> Vec<SocketAddrV4>
    where
        I: IntoIterator<Item = &'a SocketAddrV4>,
    {
        let mut order: Vec<_> = others.into_iter().copied().chain([self.address]).collect();
        order.sort_unstable_by_key(|&it| rank(it, WATCH_ORDER));
        let own = order.iter().position(|&it| it == self.address).unwrap_or(0);
        order.into_iter().skip(WATCHERS + own * TOLD).take(TOLD).collect()
    }

    /// Whether this balancer is one of the first `count` in an order that `seed` gives, by rendezvous hashing.
    fn is_among_first<'a, I>(&self, count: usize, seed: u64, others: I) -> bool
    where
        I: IntoIterator<Item = &'a SocketAddrV4>,
    {
        let own = rank(self.address, seed);
        others.into_iter().filter(|&&it| rank(it, seed) < own).count() < count
    }

    /// Whether to ask a peer for this configuration, which it has in force.
    pub fn wants(&mut self, stamp: Stamp, now_ms: u64) -> bool {
        if Some(stamp) <= self.routes.stamp() {
            return false;
        }
        let asked = self.asked.is_some_and(|(asked, at_ms)| {
            asked >= stamp && now_ms.saturating_sub(at_ms) < ASK_AGAIN_MS
        });
        if !asked {
            self.asked = Some((stamp, now_ms));
        }
        !asked
    }

    /// The agents that are to keep a copy of what balancers know: the first of those that live, by rendezvous hashing, so that
    /// balancers which know the same agents name the same ones.
    pub fn keepers(&self, now_ms: u64) -> Vec<SocketAddrV4> {
        let mut agents = self.fleet.steady(now_ms);
        agents.sort_unstable_by_key(|&it| rank(it, KEEP_ORDER));
        agents.truncate(KEEPERS);
        agents
    }

    /// Tells agents that the store does not list, as it came back from an older copy, to list themselves again. As with removals,
    /// the first few balancers of an agent's order do so: each time it is told costs it a list.
    pub fn tell_unlisted<'a, I>(&self, others: I, now_ms: u64, out: &mut Vec<Effect>)
    where
        I: IntoIterator<Item = &'a SocketAddrV4, IntoIter: Clone>,
    {
        let others = others.into_iter();
        for to in self.fleet.unlisted(now_ms) {
            if self.is_remover(to, others.clone(), 0) {
                out.push(Effect::Unlisted { to });
            }
        }
    }

    /// The object of an agent is removed. If the agent is heard of again, it is told so.
    pub fn withdraw(&mut self, agent: SocketAddrV4) {
        self.left.remove(&agent);
        if self.withdrawn.len() < MAX_WITHDRAWN {
            self.withdrawn.insert(agent);
        }
    }
}
