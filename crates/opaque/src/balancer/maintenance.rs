//! Periodic tasks of a balancer: greetings, copies on agents, watch roles, and the removal of agents that are gone.

use std::net::SocketAddrV4;

use camphorwinch_wire::opaque::{Body, Greeting, ZonesEntry};
use rand::seq::IteratorRandom;

use super::Process;
use crate::{codec::Codec, discovery::WatchRole, store::Record};

/// Interval between greetings of a random balancer, which spread a new configuration to the whole fleet within
/// seconds.
const GOSSIP_INTERVAL_MS: u64 = 400;
/// Delay before a balancer greets all others again, in case a member of the distribution tree failed to forward.
pub(super) const REGREET_DELAY_MS: u64 = 600;
/// Interval between checks for agents to remove.
const REMOVAL_CHECK_INTERVAL_MS: u64 = 1_500;

impl<C> Process<C>
where
    C: Codec,
{
    /// Removes agents that left or are gone for long, as far as this balancer is responsible for them.
    pub(super) fn remove_gone_agents(&mut self, now: u64) {
        if now.saturating_sub(self.removal_check_ms) < REMOVAL_CHECK_INTERVAL_MS
            || !self.ready.get()
        {
            return;
        }
        self.removal_check_ms = now;
        let gone = self.state.to_withdraw(now);
        self.removal_due.retain(|it, _| gone.contains(it));
        let is_due = |it: &&Record| {
            gone.contains(&it.listed.address) && !self.removed.contains(&it.listed.address)
        };
        for record in self.records.iter().filter(is_due).cloned().collect::<Vec<_>>() {
            let agent = record.listed.address;
            let since_ms = now.saturating_sub(*self.removal_due.entry(agent).or_insert(now));
            if !self.state.is_remover(agent, &self.balancers, since_ms) {
                continue;
            }
            // If the queue is full, the next check finds the agent again.
            if self.gone.try_send(record).is_err() {
                return;
            }
            self.state.withdraw(agent);
            self.removed.insert(agent);
        }
    }

    pub(super) fn update_watch_roles(&self) {
        if !self.state.knows_members() {
            return;
        }
        let balancers = self.balancers.len();
        let routes = watch_role(self.state.is_watcher(&self.balancers), balancers);
        self.routes_role_sender.send_if_modified(|it| std::mem::replace(it, routes) != routes);
        let zones = watch_role(self.state.is_zone_watcher(&self.balancers), balancers);
        self.zones_role_sender.send_if_modified(|it| std::mem::replace(it, zones) != zones);
    }

    pub(super) fn gossip(&mut self, now: u64) {
        if now.saturating_sub(self.gossip_ms) < GOSSIP_INTERVAL_MS {
            return;
        }
        self.gossip_ms = now;
        let to = self.balancers.iter().copied().choose(&mut rand::rng());
        if let Some(to) = to {
            self.greet(to, false);
        }
        self.greet_keeper(now);
    }

    /// A balancer that watches the store greets a random agent that keeps a copy, so that the copy stays current.
    fn greet_keeper(&mut self, now: u64) {
        if *self.routes_role_sender.borrow() != WatchRole::Watch
            || self.state.routes().stamp().is_none()
        {
            return;
        }
        let to = self.state.keepers(now).into_iter().choose(&mut rand::rng());
        if let Some(to) = to {
            let greeting = Greeting { keep: true, ..self.greeting() };
            self.peers.control(to, Body::Greeting(greeting));
        }
    }

    /// Greets all agents that keep copies.
    pub(super) fn greet_all_keepers(&mut self, now: u64) {
        for to in self.state.keepers(now) {
            let greeting = Greeting { keep: true, ..self.greeting() };
            self.peers.control(to, Body::Greeting(greeting));
        }
    }

    /// Greeting with the state in force here.
    pub(super) fn greeting(&self) -> Greeting {
        Greeting {
            zones: self.state.fleet().zones_out().map(ZonesEntry::from),
            ..Greeting::new(self.state.routes().stamp())
        }
    }

    pub(super) fn greet(&mut self, to: SocketAddrV4, leaving: bool) {
        let greeting = Greeting { leaving, ..self.greeting() };
        self.peers.control(to, Body::Greeting(greeting));
    }

    /// Greets all balancers with the configuration in force, and whether this balancer is leaving.
    pub(super) fn greet_balancers(&mut self, leaving: bool) {
        for to in self.balancers.clone() {
            self.greet(to, leaving);
        }
    }

    pub(super) fn greet_all(&mut self, leaving: bool) {
        for agent in self.state.fleet().members() {
            self.greet(agent.address, leaving);
        }
        self.greet_balancers(leaving);
    }

    /// Repeats the greeting of all balancers when it is due.
    pub(super) fn regreet(&mut self, now: u64) {
        if self.regreet_ms.take_if(|it| now >= *it).is_some() {
            self.greet_balancers(false);
        }
    }
}

fn watch_role(watches: bool, balancers: usize) -> WatchRole {
    if watches { WatchRole::Watch } else { WatchRole::Read(balancers) }
}
