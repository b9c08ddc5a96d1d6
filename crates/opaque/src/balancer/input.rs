//! Input of a balancer: callers' packets, datagrams of agents and other balancers, members and routes.

use std::net::SocketAddrV4;

use camphorwinch_core::opaque::{
    fleet::{Change, Listed},
    route::{Routes, Stamp},
    zone::{ZoneNews, ZonesOut},
};
use camphorwinch_wire::opaque::{Body, Datagram, Greeting, Question, Report, decode};

use super::{MAX_PACKETS_PER_TURN, Process, maintenance::REGREET_DELAY_MS};
use crate::{
    clock::now_ms,
    codec::{Codec, MAX_PACKET_BYTES},
    discovery::{self, Update},
    event::Id,
    metrics,
    peers::{count_malformed, count_misdirected},
    store::Members,
};

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
            self.state.packet(&head, packet, now, &mut self.effects);
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
                self.state.answer(from, key, answer, returned, now, &mut self.effects);
                self.apply(&packet, now);
            }
            Ok(Datagram::Control(message)) => match message.body {
                Some(Body::Report(report)) => self.handle_report(from, report, now),
                Some(Body::Greeting(greeting)) => self.handle_greeting(from, greeting),
                None => count_malformed(),
            },
            Ok(Datagram::Verdicts(verdicts)) => {
                for (key, verdict) in verdicts {
                    self.state.verdict(from, key, verdict, now, &mut self.effects);
                }
                self.apply(&[], now);
            }
            Ok(Datagram::Packet { .. } | Datagram::Spread { .. } | Datagram::Query(_)) => {
                count_misdirected();
            }
            Err(e) => {
                count_malformed();
                tracing::debug!("malformed datagram from {from}: {e}");
            }
        }
    }

    fn handle_report(&mut self, from: SocketAddrV4, report: Report, now: u64) {
        self.handle_kept_copy(from, report.kept_config(), now);
        let Ok(report) = report.try_into() else {
            count_malformed();
            return;
        };
        let change = self.state.report(from, report, now, &mut self.effects);
        if !matches!(change, Change::None | Change::Old) {
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

    /// Fetches the copy of the configuration that an agent keeps, if this balancer has none yet.
    fn handle_kept_copy(&mut self, from: SocketAddrV4, config: Option<Stamp>, now: u64) {
        let known = self.state.routes().stamp().is_some();
        if config.is_some_and(|it| !known && self.state.wants(it, now)) {
            self.query_peer(from);
        }
    }

    fn query_peer(&self, peer: SocketAddrV4) {
        let (own, updates) = (self.own, self.updates.clone());
        // The members are omitted if they are known already.
        let query = if self.state.knows_members() {
            Question::default().with_config()
        } else {
            Question::all()
        };
        tokio::spawn(async move { discovery::query_any(&[peer], own, &query, &updates).await });
    }

    fn handle_greeting(&mut self, from: SocketAddrV4, greeting: Greeting) {
        if !greeting.leaving && self.balancers.insert(from) {
            self.unpublished = true;
        }
        let config = greeting.config();
        if let Some(zones) = greeting.zones {
            self.put_zones(zones.into());
        }
        if config.is_some_and(|it| self.state.wants(it, now_ms())) {
            self.query_peer(from);
        }
    }

    pub(super) fn handle_update(&mut self, update: Update) {
        let now = now_ms();
        let newer = match update {
            Update::PeerRoutes(routes) => self.put_routes(routes, "peer"),
            Update::StoreRoutes(routes) => self.handle_store_routes(routes, now),
            Update::PeerZones(zones) => {
                self.put_zones(zones);
                false
            }
            Update::PeerLostZones(names) => {
                if self.state.learn_lost_zones(names, now) {
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
        };
        self.publish();
        if !newer {
            return;
        }
        for to in self.state.to_tell(&self.balancers) {
            self.greet(to, false);
        }
    }

    /// Applies a configuration from the store; returns whether it is newer than the one in force.
    fn handle_store_routes(&mut self, routes: Routes, now: u64) -> bool {
        let newer = self.put_routes(routes, "store");
        if newer {
            // Keeps an earlier deadline, so that frequent changes can't postpone it.
            self.regreet_ms.get_or_insert(now + REGREET_DELAY_MS);
            self.greet_all_keepers(now);
        }
        newer
    }

    /// Applies the zones out of service from the store. A greeting contains the whole set, so all others are greeted
    /// at once.
    fn handle_store_zones(&mut self, zones: ZonesOut, now: u64) {
        if self.put_zones(zones) == ZoneNews::Changed {
            self.greet_balancers(false);
            self.greet_all_keepers(now);
        }
    }

    fn handle_members(&mut self, members: Members, attempt: u64, now: u64) {
        let Members { at, records } = members;
        let (era, revision) = (at.era, at.number);
        let id = Id::MembersListed;
        tracing::info!(id = id as u16, name = id.name(), members = records.len(), era, revision);
        let listed: Vec<Listed> = records.iter().map(|it| it.listed).collect();
        self.records.clone_from(&records);
        self.removed.clear();
        self.state.list(&listed, now);
        self.balancers.clear();
        self.add_balancers(&listed);
        // Pending list queries are answered from this snapshot.
        self.publish();
        self.lists.publish(at, records, attempt);
        if self.list_era.replace(era).is_some_and(|it| it < era) {
            self.state.tell_unlisted(&self.balancers, now, &mut self.effects);
            self.apply(&[], now);
        }
    }

    fn handle_peer_members(&mut self, members: &[Listed], now: u64) {
        let id = Id::MembersListed;
        tracing::info!(id = id as u16, name = id.name(), peer_members = members.len());
        self.state.learn(members, now);
        self.add_balancers(members);
    }

    /// Applies zones out of service from the store or a peer.
    fn put_zones(&mut self, news: ZonesOut) -> ZoneNews {
        let change = self.state.put_zones(news, now_ms());
        if change == ZoneNews::Changed {
            self.report_zones_out();
        }
        change
    }

    /// Returns zones to service whose entries the store lost and the operator did not write again.
    pub(super) fn release_zones(&mut self, now: u64) {
        if self.state.release_zones(now) {
            self.report_zones_out();
        }
    }

    fn report_zones_out(&mut self) {
        let names = self.state.fleet().zone_names_out();
        let at = self.state.fleet().zones_out().map(ZonesOut::revision).unwrap_or_default();
        let id = Id::ZonesOutChanged;
        let zones = names.join(" ");
        tracing::info!(id = id as u16, name = id.name(), revision = at.number, era = at.era, zones);
        metrics::set_zones_out(&names);
        self.unpublished = true;
    }

    /// Applies routes; returns whether they are newer than those in force.
    fn put_routes(&mut self, routes: Routes, source: &str) -> bool {
        let (stamp, count) = (routes.stamp(), routes.by_address.len());
        let known = self.state.routes().stamp();
        let newer = self.state.put_routes(routes);
        if Some(stamp) == known {
            return false;
        }
        let id = if newer { Id::ConfigInForce } else { Id::ConfigOld };
        tracing::info!(
            id = id as u16,
            name = id.name(),
            revision = stamp.revision.number,
            era = stamp.revision.era,
            version = stamp.version,
            source,
            before = known.map_or(0, |it| it.revision.number),
            known_era = known.map_or(0, |it| it.revision.era),
            known_version = known.map_or(0, |it| it.version),
            routes = count,
        );
        if newer {
            metrics::REVISION.set(stamp.revision.number as i64);
            metrics::VERSION.set(stamp.version as i64);
        }
        newer
    }

    fn add_balancers(&mut self, members: &[Listed]) {
        let balancers = members.iter().filter(|it| it.pool.is_none()).map(|it| it.address);
        self.balancers.extend(balancers.filter(|&it| it != self.own));
    }
}
