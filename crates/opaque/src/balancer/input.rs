//! Input of a balancer: callers' packets, datagrams of agents and other balancers, members and routes.

use std::net::SocketAddrV4;

use camphorwinch_core::opaque::{
    fleet::{MemberEntry, ReportChange, RestartingAgent},
    former_pools::FormerPool,
    route::{ConfigVersion, Routes},
    zone::{ZoneUpdateResult, ZonesOut},
};
use camphorwinch_wire::opaque::{Body, Datagram, Hello, Report, SnapshotRequest, decode};
use rand::seq::IteratorRandom;
use tokio::time::Instant;

use super::{MAX_PACKETS_PER_TURN, Process, maintenance::HELLO_RESEND_DELAY_MS};
use crate::{
    clock::now_ms,
    codec::{Codec, MAX_PACKET_BYTES},
    discovery::{self, Update},
    event::Id,
    metrics,
    peers::{count_malformed, count_misdirected},
    store::{Members, RemovedMember},
};

/// Balancers that a starting balancer asks for agents. One may be gone, and another one may have just started.
const MAX_PEERS_ASKED: usize = 3;

impl<C> Process<C>
where
    C: Codec,
{
    pub(super) fn receive_callers(&mut self) {
        let mut buffer = [0; MAX_PACKET_BYTES];
        for _ in 0..MAX_PACKETS_PER_TURN {
            let Ok((len, _)) = self.callers.try_recv_from(&mut buffer) else {
                return;
            };
            let packet = &buffer[..len];
            let Some(head) = self.codec.caller_head(packet) else {
                count_malformed();
                continue;
            };
            let now = now_ms();
            self.packet_ms = now;
            self.state.handle_packet(&head, packet, now, &mut self.effects);
            self.apply(packet, now);
        }
    }

    pub(super) fn receive_peers(&mut self) {
        let mut buffer = [0; MAX_PACKET_BYTES];
        for _ in 0..MAX_PACKETS_PER_TURN {
            let Some((from, bytes)) = self.peers.receive(&mut buffer) else {
                return;
            };
            self.handle_datagram(from, bytes);
        }
    }

    fn handle_datagram(&mut self, from: SocketAddrV4, bytes: &[u8]) {
        let now = now_ms();
        match decode(bytes) {
            Ok(Datagram::Answer { key, answer, packet }) => {
                let mut packet = packet.to_vec();
                self.codec.restore(&mut packet);
                let head = self.codec.caller_head(&packet);
                let returned = head.as_ref().map(|it| (it, packet.as_slice()));
                self.state.handle_answer(from, key, answer, returned, now, &mut self.effects);
                self.apply(&packet, now);
            }
            Ok(Datagram::Control(message)) => match message.body {
                Some(Body::Report(report)) => self.handle_report(from, report, now),
                Some(Body::Hello(hello)) => self.handle_hello(from, hello),
                None => count_malformed(),
            },
            Ok(Datagram::QueryResponse(statuses)) => {
                for (key, status) in statuses {
                    self.state.handle_query_result(from, key, status, now, &mut self.effects);
                }
                self.apply(&[], now);
            }
            Ok(Datagram::Offer { pool, slots }) => {
                metrics::DECISIONS.with_label_values(&["offered"]).inc_by(u64::from(slots));
                self.state.handle_offer(from, pool, slots, now, &mut self.effects);
                self.apply(&[], now);
            }
            Ok(
                Datagram::Packet { .. }
                | Datagram::FanOut { .. }
                | Datagram::Query(_)
                | Datagram::Reserve(_)
                | Datagram::Decline { .. },
            ) => {
                count_misdirected();
            }
            Err(e) => {
                count_malformed();
                tracing::debug!("malformed datagram from {from}: {e}");
            }
        }
    }

    fn handle_report(&mut self, from: SocketAddrV4, report: Report, now: u64) {
        self.handle_config_copy(from, report.config_copy(), now);
        let Ok(report) = report.try_into() else {
            count_malformed();
            return;
        };
        let change = self.state.handle_report(from, report, now, &mut self.effects);
        // The hello that returns it would list this stopping balancer at the agent.
        if self.stopping_ms.is_none() {
            self.state.return_service(from, &self.balancers, &mut self.effects);
        }
        if !matches!(change, ReportChange::None | ReportChange::Old) {
            let id = Id::AgentChanged;
            tracing::info!(
                id = id as u16,
                name = id.name(),
                agent = %from,
                change = ?change,
                upstream = report.upstream.as_str(),
                plan = ?report.plan,
                incarnation = report.incarnation,
                seq = report.seq,
            );
            self.unpublished = true;
        }
        self.apply(&[], now);
    }

    /// Fetches the copy of the configuration that an agent keeps, if this balancer has none yet or no peer knows the former
    /// pools.
    fn handle_config_copy(&mut self, from: SocketAddrV4, config: Option<ConfigVersion>, now: u64) {
        let known = self.state.routes().config_version().is_some();
        let needs_config =
            !known && config.is_some_and(|it| self.state.should_request_config(it, now));
        if needs_config || config.is_some() && self.state.should_request_former_pools(now) {
            self.request_snapshot(from);
        }
    }

    fn request_snapshot(&self, peer: SocketAddrV4) {
        let (own, updates) = (self.own, self.updates.clone());
        // The members are omitted if they are known already.
        let request = if self.state.has_member_list() {
            SnapshotRequest::default().with_config()
        } else {
            SnapshotRequest::all()
        };
        tokio::spawn(async move { discovery::request_any(&[peer], own, &request, &updates).await });
    }

    fn handle_hello(&mut self, from: SocketAddrV4, hello: Hello) {
        self.handle_signs_of_life(from, &hello, now_ms());
        if hello.unlisted {
            let id = Id::Unlisted;
            tracing::info!(id = id as u16, name = id.name(), peer = %from);
            self.relist.notify_one();
        }
        if !hello.leaving && self.balancers.insert(from) {
            self.unpublished = true;
        }
        self.record_answers(&hello);
        self.handle_former_pools(&hello.former_pools(), false, now_ms());
        self.handle_restarting_agents(&hello.restarting(), now_ms());
        let config = hello.config();
        if let Some(zones) = hello.zones {
            self.update_zones(zones.into());
        }
        if config.is_some_and(|it| self.state.should_request_config(it, now_ms())) {
            self.request_snapshot(from);
        }
    }

    /// Records answers of the store to another watcher.
    fn record_answers(&self, hello: &Hello) {
        if hello.config_answered {
            self.config_answers.send_replace(Some(Instant::now()));
        }
        if hello.zones_answered {
            self.zones_answers.send_replace(Some(Instant::now()));
        }
    }

    /// Records which balancers are alive, and answers probes and questions about a balancer.
    fn handle_signs_of_life(&mut self, from: SocketAddrV4, hello: &Hello, now: u64) {
        self.monitor.record_datagram(from, now);
        for (balancer, age_ms) in hello.heard() {
            self.monitor.record(balancer, now.saturating_sub(age_ms));
        }
        if hello.leaving || self.stopping_ms.is_some() {
            return;
        }
        if self.unlisted.remove(&from) {
            self.notify_unlisted_balancer(from);
        }
        let mut answer = hello.probe.then(|| self.hello());
        if let Some(sought) = hello.sought() {
            match self.monitor.age_ms(sought, now) {
                Some(age_ms) => answer = Some(self.hello().with_heard(sought, age_ms)),
                None => {
                    let probe = Hello { probe: true, ..self.hello() };
                    self.peers.control(sought, Body::Hello(probe));
                }
            }
        }
        if let Some(answer) = answer {
            self.peers.control(from, Body::Hello(answer));
        }
    }

    fn notify_unlisted_balancer(&mut self, to: SocketAddrV4) {
        self.withdrawing.send_if_modified(|it| it.remove(&to));
        let hello = Hello { unlisted: true, ..self.hello() };
        self.peers.control(to, Body::Hello(hello));
    }

    pub(super) fn handle_update(&mut self, update: Update) {
        let now = now_ms();
        let newer = match update {
            Update::PeerRoutes(routes) => self.update_routes(routes, "peer"),
            Update::StoreRoutes(routes) => self.handle_store_routes(routes, now),
            Update::PeerZones(zones) => {
                self.update_zones(zones);
                false
            }
            Update::PeerLostZones(names) => {
                if self.state.merge_lost_zones(names, now) {
                    self.report_zones_out();
                }
                false
            }
            Update::StoreZones(zones) => {
                self.handle_store_zones(zones, now);
                false
            }
            Update::Members(members, attempt) => {
                self.handle_members(members, attempt, now);
                false
            }
            Update::PeerMembers(members) => {
                self.handle_peer_members(&members, now);
                false
            }
            Update::PeerRestarting(agents) => {
                self.handle_restarting_agents(&agents, now);
                false
            }
            Update::PeerFormerPools(pools, all) => {
                self.handle_former_pools(&pools, all, now);
                false
            }
            Update::Removed(members) => {
                self.handle_removed_members(&members, now);
                false
            }
            Update::RemovalsUnknown => {
                self.checks_list = true;
                false
            }
            Update::PeersAsked => {
                self.state.handle_peers_asked();
                false
            }
            Update::Answered(duty) => return self.notify_watchers(duty),
        };
        self.publish();
        if !newer {
            return;
        }
        for to in self.state.config_recipients(&self.balancers) {
            self.send_hello(to, false);
        }
    }

    /// Applies a configuration from the store; returns whether it is newer than the one in force.
    fn handle_store_routes(&mut self, routes: Routes, now: u64) -> bool {
        let newer = self.update_routes(routes, "store");
        if newer {
            // Keeps an earlier deadline, so that frequent changes can't postpone it.
            self.hello_resend_ms.get_or_insert(now + HELLO_RESEND_DELAY_MS);
            self.send_hello_to_replicas(now);
        }
        newer
    }

    /// Applies the zones out of service from the store. A hello contains the whole set, so all others are sent one
    /// at once.
    fn handle_store_zones(&mut self, zones: ZonesOut, now: u64) {
        if self.update_zones(zones) == ZoneUpdateResult::Changed {
            self.send_hello_to_balancers(false);
            self.send_hello_to_replicas(now);
        }
    }

    fn handle_members(&mut self, members: Members, attempt: u64, now: u64) {
        let Members { at, records } = members;
        let (era, revision) = (at.era, at.number);
        let id = Id::MembersListed;
        tracing::info!(id = id as u16, name = id.name(), members = records.len(), era, revision);
        let listed: Vec<MemberEntry> = records.iter().map(|it| it.listed).collect();
        self.records.clone_from(&records);
        self.withdrawn.clear();
        let is_first = !self.state.has_member_list();
        self.state.sync_members(&listed, now);
        self.balancers.clear();
        self.add_balancers(&listed);
        self.unlisted.retain(|it| !self.balancers.contains(it));
        self.monitor.set_balancers(&self.balancers, now);
        self.update_live_balancers(now);
        if is_first {
            self.request_reporting_agents(now);
        }
        // Pending list requests are answered from this snapshot.
        self.publish();
        self.lists.publish(at, records, attempt);
        let was_reset = self.list_era.replace(era).is_some_and(|it| it < era);
        if std::mem::take(&mut self.checks_list) || was_reset {
            self.state.notify_unlisted(&self.balancers, now, &mut self.effects);
            self.apply(&[], now);
        }
    }

    /// Asks some balancers for the agents that report to them: the store does not list an agent whose entry was removed
    /// until it has registered again.
    fn request_reporting_agents(&mut self, now: u64) {
        let peers = self.balancers.iter().copied();
        let peers = peers.choose_multiple(&mut rand::rng(), MAX_PEERS_ASKED);
        self.state.await_peers(now);
        let updates = self.updates.clone();
        tokio::spawn(async move { discovery::request_reporting(&peers, &updates).await });
    }

    /// Notifies removed agents that still report.
    fn handle_removed_members(&mut self, removed: &[RemovedMember], now: u64) {
        // The hello would list this stopping balancer at the agent.
        if self.stopping_ms.is_some() {
            return;
        }
        for member in removed {
            let record = self.records.iter().find(|it| it.name == member.name);
            let Some(agent) = member.address.or(record.map(|it| it.listed.address)) else {
                continue;
            };
            let is_balancer = self.balancers.contains(&agent);
            if is_balancer {
                // In a large fleet it may be alive though it has not been heard of lately.
                self.unlisted.insert(agent);
                self.notify_unlisted_balancer(agent);
            }
            let is_live = is_balancer && self.live.contains(&agent);
            if self.state.handle_removal(agent, now, &mut self.effects) || is_live {
                let id = Id::MemberUnlisted;
                tracing::warn!(id = id as u16, name = id.name(), member = member.name, %agent);
            }
        }
        self.records.retain(|it| removed.iter().all(|member| member.name != it.name));
        self.apply(&[], now);
    }

    fn handle_peer_members(&mut self, members: &[MemberEntry], now: u64) {
        let id = Id::MembersListed;
        tracing::info!(id = id as u16, name = id.name(), peer_members = members.len());
        self.state.merge_members(members, now);
        self.add_balancers(members);
    }

    /// Applies announcements of restarts that a peer has heard.
    fn handle_restarting_agents(&mut self, agents: &[RestartingAgent], now: u64) {
        for agent in self.state.merge_restarting(agents, now) {
            self.unpublished = true;
            let id = Id::AgentRestarting;
            tracing::info!(id = id as u16, name = id.name(), %agent);
        }
    }

    /// Adds pools that routes no longer include, as known to a peer.
    fn handle_former_pools(&mut self, pools: &[FormerPool], all: bool, now: u64) {
        let unknown = self.state.merge_former_pools(pools, all, now);
        if unknown > 0 {
            self.unpublished = true;
            let id = Id::FormerPools;
            tracing::info!(id = id as u16, name = id.name(), pools = pools.len(), unknown, all);
        }
    }

    /// Applies zones out of service from the store or a peer.
    fn update_zones(&mut self, news: ZonesOut) -> ZoneUpdateResult {
        let change = self.state.update_zones(news, now_ms());
        if change == ZoneUpdateResult::Changed {
            self.report_zones_out();
        }
        change
    }

    /// Returns zones to service whose entries the store lost and the operator did not write again.
    pub(super) fn expire_lost_zones(&mut self, now: u64) {
        if self.state.expire_lost_zones(now) {
            self.report_zones_out();
        }
    }

    fn report_zones_out(&mut self) {
        let names = self.state.fleet().out_of_service_zone_names();
        let at = self.state.fleet().zones_out().map(ZonesOut::revision).unwrap_or_default();
        let id = Id::ZonesOutChanged;
        let zones = names.join(" ");
        tracing::info!(id = id as u16, name = id.name(), revision = at.number, era = at.era, zones);
        metrics::set_zones_out(&names);
        self.unpublished = true;
    }

    /// Applies routes; returns whether they are newer than those in force.
    fn update_routes(&mut self, routes: Routes, source: &str) -> bool {
        let (config_version, count) = (routes.config_version(), routes.by_address.len());
        let known = self.state.routes().config_version();
        let newer = self.state.update_routes(routes);
        if Some(config_version) == known {
            return false;
        }
        let id = if newer { Id::ConfigInForce } else { Id::ConfigOld };
        tracing::info!(
            id = id as u16,
            name = id.name(),
            revision = config_version.revision.number,
            era = config_version.revision.era,
            version = config_version.version,
            source,
            before = known.map_or(0, |it| it.revision.number),
            known_era = known.map_or(0, |it| it.revision.era),
            known_version = known.map_or(0, |it| it.version),
            routes = count,
            former_pools = self.state.routes().former_pools().list(now_ms()).len(),
        );
        if newer {
            metrics::REVISION.set(config_version.revision.number as i64);
            metrics::VERSION.set(config_version.version as i64);
        }
        newer
    }

    fn add_balancers(&mut self, members: &[MemberEntry]) {
        let balancers = members.iter().filter(|it| it.pool.is_none()).map(|it| it.address);
        self.balancers.extend(balancers.filter(|&it| it != self.own));
    }
}
