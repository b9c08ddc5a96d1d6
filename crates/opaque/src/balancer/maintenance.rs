//! Periodic tasks of a balancer: hellos, configuration copies on agents, watch roles, and the withdrawal of members
//! that are gone.

use std::net::SocketAddrV4;

use camphorwinch_core::opaque::balancer::Duty;
use camphorwinch_wire::opaque::{Body, Hello, ZonesEntry};
use rand::seq::IteratorRandom;

use super::Process;
use crate::{codec::Codec, discovery::WatchRole, event::Id, store::Record};

/// Interval between hellos to two random balancers. They spread a new configuration to all of 520 balancers within 2 s,
/// even if the store serves only one of them.
const GOSSIP_INTERVAL_MS: u64 = 400;
/// Delay before a balancer sends its hello to all others again, in case one in the distribution tree did not forward
/// the first: three levels of some 0.1 s each on slow VMs, and as much again.
pub(super) const HELLO_RESEND_DELAY_MS: u64 = 600;
/// Time between two status updates that means that the process was stalled.
const STALL_MS: u64 = 1_000;
/// Most former pools in one hello; they take a quarter of a datagram.
const MAX_FORMER_POOLS: usize = 16;
/// Most agents that announced a restart in one hello.
const MAX_RESTARTING: usize = 16;
/// Balancers that are asked about a silent one.
const WITNESSES: usize = 2;
/// Interval between checks for agents to withdraw.
const WITHDRAW_CHECK_INTERVAL_MS: u64 = 1_500;

impl<C> Process<C>
where
    C: Codec,
{
    /// Withdraws the store entries of agents that left, and of agents and balancers that have been gone for long, as
    /// far as this balancer is responsible for them.
    pub(super) fn withdraw_gone_members(&mut self, now: u64) {
        let Some(connected_ms) = self.connected_ms else {
            return;
        };
        if now.saturating_sub(self.withdraw_check_ms) < WITHDRAW_CHECK_INTERVAL_MS {
            return;
        }
        self.withdraw_check_ms = now;
        self.check_silent_balancers(now);
        let gone = self.state.agents_to_withdraw(connected_ms, now);
        self.withdraw_due.retain(|it, _| gone.contains(it));
        let is_due = |it: &&Record| {
            gone.contains(&it.listed.address) && !self.withdrawn.contains(&it.listed.address)
        };
        for record in self.records.iter().filter(is_due).cloned().collect::<Vec<_>>() {
            let agent = record.listed.address;
            let since_ms = now.saturating_sub(*self.withdraw_due.entry(agent).or_insert(now));
            if !self.state.should_withdraw(agent, &self.present, since_ms) {
                continue;
            }
            self.withdrawing.send_modify(|it| {
                it.insert(agent);
            });
            // If the queue is full, the next check finds the agent again.
            if self.gone.try_send(record).is_err() {
                return;
            }
            self.state.mark_withdrawn(agent);
            self.withdrawn.insert(agent);
        }
    }

    pub(super) fn update_watch_roles(&self) {
        if !self.state.has_member_list() {
            return;
        }
        let balancers = self.present.len();
        let rank = |duty| self.state.duty_rank(duty, &self.live);
        let routes = watch_role(rank(Duty::ConfigWatch), balancers);
        self.routes_role_sender.send_if_modified(|it| std::mem::replace(it, routes) != routes);
        let zones = watch_role(rank(Duty::ZoneWatch), balancers);
        self.zones_role_sender.send_if_modified(|it| std::mem::replace(it, zones) != zones);
        let removals = rank(Duty::RemovalWatch).is_some();
        self.removals_sender.send_if_modified(|it| std::mem::replace(it, removals) != removals);
    }

    pub(super) fn gossip(&mut self, now: u64) {
        if now.saturating_sub(self.gossip_ms) < GOSSIP_INTERVAL_MS {
            return;
        }
        self.gossip_ms = now;
        let hello = self.gossip_hello(now);
        // Most of the listed balancers may be gone.
        let present = self.present.iter().copied().choose(&mut rand::rng());
        let listed = self.balancers.iter().copied().choose(&mut rand::rng());
        for to in [present, listed].into_iter().flatten() {
            self.peers.control(to, Body::Hello(hello.clone()));
        }
        self.send_hello_to_replica(now);
    }

    /// Hello with the balancers that have a duty and that this one has heard of lately, and with pools that left routes.
    fn gossip_hello(&self, now: u64) -> Hello {
        let recent = self.state.routes().former_pools().recent(now).into_iter();
        let recent = recent.choose_multiple(&mut rand::rng(), MAX_FORMER_POOLS);
        let restarting = self.state.fleet().restarting_agents(now).into_iter();
        let restarting = restarting.choose_multiple(&mut rand::rng(), MAX_RESTARTING);
        let mut hello = self.hello().with_former_pools(&recent).with_restarting(&restarting);
        for it in self.state.duty_holders(&self.live) {
            if let Some(age_ms) = self.monitor.age_ms(it, now) {
                hello = hello.with_heard(it, age_ms);
            }
        }
        hello
    }

    /// Updates which balancers are alive. After a stall of this process nothing is known of them.
    pub(super) fn update_live_balancers(&mut self, now: u64) {
        let elapsed = now.saturating_sub(self.status_ms);
        if elapsed > STALL_MS {
            self.monitor.shift(elapsed, now);
        }
        self.live = self.monitor.live(now);
        self.present = self.monitor.present(now);
    }

    /// Checks balancers that have been silent for long, directly and through others, and withdraws the entries of those
    /// that are gone, as far as this balancer is responsible for them.
    fn check_silent_balancers(&mut self, now: u64) {
        let (state, present) = (&self.state, &self.present);
        let is_responsible = |it| state.should_withdraw(it, present, 0);
        let witnesses = self.live.iter().copied().choose_multiple(&mut rand::rng(), WITNESSES);
        for silent in self.monitor.checks_due(is_responsible, now) {
            let id = Id::BalancerChecked;
            tracing::info!(id = id as u16, name = id.name(), balancer = %silent);
            let probe = Hello { probe: true, ..self.hello() };
            self.peers.control(silent, Body::Hello(probe));
            for &witness in &witnesses {
                let hello = Hello { sought: Some(silent.into()), ..self.hello() };
                self.peers.control(witness, Body::Hello(hello));
            }
        }
        let gone: Vec<_> = self.monitor.gone().collect();
        for record in &self.records {
            let balancer = record.listed.address;
            let is_due = record.listed.pool.is_none()
                && gone.contains(&balancer)
                && !self.withdrawn.contains(&balancer);
            if !is_due || self.gone.try_send(record.clone()).is_err() {
                continue;
            }
            self.withdrawing.send_modify(|it| {
                it.insert(balancer);
            });
            self.withdrawn.insert(balancer);
            self.unlisted.insert(balancer);
        }
    }

    /// Sends a hello to a random agent that keeps a copy of the configuration, so that the copy stays current. Done
    /// only by balancers that watch the store.
    fn send_hello_to_replica(&mut self, now: u64) {
        if !matches!(*self.routes_role_sender.borrow(), WatchRole::Watch(_))
            || self.state.routes().config_version().is_none()
        {
            return;
        }
        let to = self.state.config_replicas(now).into_iter().choose(&mut rand::rng());
        if let Some(to) = to {
            let hello = Hello { keep_copy: true, ..self.hello() };
            self.peers.control(to, Body::Hello(hello));
        }
    }

    /// Sends a hello to all agents that keep a copy of the configuration.
    pub(super) fn send_hello_to_replicas(&mut self, now: u64) {
        for to in self.state.config_replicas(now) {
            let hello = Hello { keep_copy: true, ..self.hello() };
            self.peers.control(to, Body::Hello(hello));
        }
    }

    /// Hello with the state in force here.
    pub(super) fn hello(&self) -> Hello {
        Hello {
            zones: self.state.fleet().zones_out().map(ZonesEntry::from),
            ..Hello::new(self.state.routes().config_version())
        }
    }

    pub(super) fn send_hello(&mut self, to: SocketAddrV4, leaving: bool) {
        let hello = Hello { leaving, ..self.hello() };
        self.peers.control(to, Body::Hello(hello));
    }

    /// Sends a hello to all balancers with the configuration in force, and whether this balancer is leaving.
    pub(super) fn send_hello_to_balancers(&mut self, leaving: bool) {
        for to in self.balancers.clone() {
            self.send_hello(to, leaving);
        }
    }

    /// Notifies the other watchers of a topic that the store has answered this one.
    pub(super) fn notify_watchers(&mut self, duty: Duty) {
        let hello = Hello {
            config_answered: duty == Duty::ConfigWatch,
            zones_answered: duty == Duty::ZoneWatch,
            ..self.hello()
        };
        for to in self.state.duty_peers(duty, &self.live) {
            self.peers.control(to, Body::Hello(hello.clone()));
        }
    }

    pub(super) fn send_hello_to_all(&mut self, leaving: bool) {
        for agent in self.state.fleet().members() {
            self.send_hello(agent.address, leaving);
        }
        self.send_hello_to_balancers(leaving);
    }

    /// Repeats the hello to all balancers when it is due.
    pub(super) fn resend_hellos(&mut self, now: u64) {
        if self.hello_resend_ms.take_if(|it| now >= *it).is_some() {
            self.send_hello_to_balancers(false);
        }
    }
}

fn watch_role(rank: Option<usize>, balancers: usize) -> WatchRole {
    rank.map_or(WatchRole::Read(balancers), WatchRole::Watch)
}
