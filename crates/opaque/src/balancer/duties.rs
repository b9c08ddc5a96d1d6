//! What a balancer's process does for the others: it greets them, has agents keep copies, waits at the store for changes, and has
//! objects of agents that are gone removed.

use std::net::SocketAddrV4;

use camphorwinch_wire::opaque::{Body, Greeting, ZonesEntry};
use rand::seq::IteratorRandom;

use super::Process;
use crate::{codec::Codec, discovery::Duty, store::Record};

/// Pause between two greetings of another balancer, which tell it of a newer configuration: news reaches all of
/// 520 balancers within 2 s even if the store serves only one of them.
const GOSSIP_MS: u64 = 400;
/// Time after which a balancer that had a configuration from the store tells all others, as the one that should have told some of
/// them may have died: three levels of the tree, some 0.1 s each on slow VMs, and as much again.
pub(super) const RETELL_MS: u64 = 600;
/// Pause between two looks for such agents.
const WEED_MS: u64 = 1_500;

impl<C> Process<C>
where
    C: Codec,
{
    /// Has agents that left or are gone for long taken off the list, as far as that is up to this balancer.
    pub(super) fn weed(&mut self, now: u64) {
        if now.saturating_sub(self.weed_ms) < WEED_MS || !self.ready.get() {
            return;
        }
        self.weed_ms = now;
        let gone = self.state.to_withdraw(now);
        self.due.retain(|it, _| gone.contains(it));
        let is_due = |it: &&Record| {
            gone.contains(&it.listed.address) && !self.removed.contains(&it.listed.address)
        };
        for record in self.records.iter().filter(is_due).cloned().collect::<Vec<_>>() {
            let agent = record.listed.address;
            let since_ms = now.saturating_sub(*self.due.entry(agent).or_insert(now));
            if !self.state.is_remover(agent, &self.balancers, since_ms) {
                continue;
            }
            // A full queue means that calls are slow: the next look finds the agent again.
            if self.gone.try_send(record).is_err() {
                return;
            }
            self.state.withdraw(agent);
            self.removed.insert(agent);
        }
    }

    pub(super) fn choose_watchers(&self) {
        if !self.state.knows_members() {
            return;
        }
        let balancers = self.balancers.len();
        let routes = duty(self.state.is_watcher(&self.balancers), balancers);
        self.watches.send_if_modified(|it| std::mem::replace(it, routes) != routes);
        let zones = duty(self.state.is_zone_watcher(&self.balancers), balancers);
        self.zone_watches.send_if_modified(|it| std::mem::replace(it, zones) != zones);
    }

    pub(super) fn gossip(&mut self, now: u64) {
        if now.saturating_sub(self.gossip_ms) < GOSSIP_MS {
            return;
        }
        self.gossip_ms = now;
        let to = self.balancers.iter().copied().choose(&mut rand::rng());
        if let Some(to) = to {
            self.greet(to, false);
        }
        self.greet_keeper(now);
    }

    /// Those that have the configuration from the store see to it that agents keep copies: with each greeting of another
    /// balancer one of an agent.
    fn greet_keeper(&mut self, now: u64) {
        if *self.watches.borrow() != Duty::Watch || self.state.routes().stamp().is_none() {
            return;
        }
        let to = self.state.keepers(now).into_iter().choose(&mut rand::rng());
        if let Some(to) = to {
            let greeting = Greeting { keep: true, ..self.greeting() };
            self.peers.control(to, Body::Greeting(greeting));
        }
    }

    /// Tells all agents that keep copies what is in force here.
    pub(super) fn greet_keepers(&mut self, now: u64) {
        for to in self.state.keepers(now) {
            let greeting = Greeting { keep: true, ..self.greeting() };
            self.peers.control(to, Body::Greeting(greeting));
        }
    }

    /// What is in force here.
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

    /// Tells all balancers of the configuration that is in force here, and whether this one leaves.
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

    /// Tells all others of news from the store some time after the tree was told.
    pub(super) fn tell_again(&mut self, now: u64) {
        if self.retell_ms.take_if(|it| now >= *it).is_some() {
            self.greet_balancers(false);
        }
    }
}

fn duty(watches: bool, balancers: usize) -> Duty {
    if watches { Duty::Watch } else { Duty::Read(balancers) }
}
