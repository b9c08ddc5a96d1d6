//! Input of an agent: packets, datagrams, members and the upstream's messages.

use std::net::SocketAddrV4;

use camphorwinch_core::opaque::{
    agent::{Heartbeat, HeartbeatResult, UpstreamInstance},
    effect::RelayHeader,
    fleet::UpstreamState,
    service_rate::MeasuredService,
};
use camphorwinch_wire::opaque::{Body, Datagram, Hello, decode};

use super::{
    MAX_PACKETS_PER_TURN, MessageResult, Process, UpstreamMessage, balancer_address, is_listening,
};
use crate::{
    balancer::caller_address,
    clock::now_ms,
    codec::{Codec, MAX_PACKET_BYTES},
    discovery::Update,
    event::Id,
    peers::{count_malformed, count_misdirected},
    store::Members,
};

/// Maximum number of balancers remembered as having sent this process a hello.
const MAX_HELLO_SENDERS: usize = 16;

impl<C> Process<C>
where
    C: Codec,
{
    pub(super) fn receive_upstream(&mut self) {
        let mut buffer = [0; MAX_PACKET_BYTES];
        for _ in 0..MAX_PACKETS_PER_TURN {
            let Ok((len, _)) = self.outbound.try_recv_from(&mut buffer) else {
                return;
            };
            let packet = &mut buffer[..len];
            let Some(head) = self.codec.upstream_head(packet) else {
                count_malformed();
                continue;
            };
            if head.bounced {
                self.codec.restore(packet);
            }
            let now = now_ms();
            self.state.handle_upstream_packet(&head, now, &mut self.effects);
            let to = caller_address(&head, self.caller_port);
            self.apply_to(packet, Some(to), now);
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
            Ok(Datagram::Packet { relay, packet }) => self.handle_packet(&relay, &[], packet, now),
            Ok(Datagram::FanOut { relay, agents, packet }) => {
                self.handle_packet(&relay, &agents, packet, now);
            }
            Ok(Datagram::Control(message)) => match message.body {
                Some(Body::Hello(hello)) => self.handle_hello(from, hello, now),
                Some(Body::Report(_)) | None => {
                    count_misdirected();
                }
            },
            Ok(Datagram::Query(keys)) => {
                self.state.query(from, &keys, &mut self.effects);
                self.apply(&[], now);
            }
            Ok(Datagram::Reserve(reservation)) => {
                self.state.handle_reservation(from, &reservation, now, &mut self.effects);
                self.apply(&[], now);
            }
            Ok(Datagram::Decline { .. }) => {
                self.state.handle_decline(from, now, &mut self.effects);
                self.apply(&[], now);
            }
            Ok(Datagram::Answer { .. } | Datagram::QueryResponse(_) | Datagram::Offer { .. }) => {
                count_misdirected();
            }
            Err(e) => {
                count_malformed();
                tracing::debug!("malformed datagram from {from}: {e}");
            }
        }
    }

    /// Handles a caller's packet, which is for `agents` if any are given.
    fn handle_packet(
        &mut self,
        relay: &RelayHeader,
        agents: &[SocketAddrV4],
        packet: &[u8],
        now: u64,
    ) {
        let Some(head) = self.codec.caller_head(packet) else {
            count_malformed();
            return;
        };
        if agents.is_empty() {
            self.state.handle_relayed_packet(relay, &head, packet, now, &mut self.effects);
        } else {
            self.state.fan_out(relay, agents, &head, packet, now, &mut self.effects);
        }
        self.apply(packet, now);
    }

    fn handle_hello(&mut self, from: SocketAddrV4, hello: Hello, now: u64) {
        if hello.unlisted {
            let id = Id::Unlisted;
            tracing::info!(id = id as u16, name = id.name(), peer = %from);
            self.relist.notify_one();
        }
        self.copy.handle_hello(from, &hello);
        let returned = hello.service.map(MeasuredService::from);
        if let Some(service) = returned
            && self.state.learn_service_time(service)
        {
            let id = Id::ServiceTimeLearned;
            let service_ms = service.service_ms;
            tracing::info!(id = id as u16, name = id.name(), service_ms, peer = %from);
        }
        if hello.leaving {
            self.balancers.remove(&from);
            self.hello_senders.send_if_modified(|it| it.remove(&from));
        } else {
            self.balancers.insert(from);
            self.hello_senders
                .send_if_modified(|it| it.len() < MAX_HELLO_SENDERS && it.insert(from));
            if hello.expects_report() {
                self.report_to(from, now);
            }
        }
        self.update_report_interval();
    }

    pub(super) fn handle_update(&mut self, update: Update) {
        let members = match update {
            Update::Members(Members { records, .. }, _) => {
                self.balancers.clear();
                records.iter().map(|it| it.listed).collect()
            }
            Update::PeerMembers(members) => members,
            Update::PeerRoutes(_)
            | Update::StoreRoutes(_)
            | Update::PeerZones(_)
            | Update::PeerLostZones(_)
            | Update::StoreZones(_)
            | Update::Answered(_)
            | Update::PeerFormerPools(..)
            | Update::PeerRestarting(_)
            | Update::Removed(_)
            | Update::RemovalsUnknown
            | Update::PeersAsked => return,
        };
        let id = Id::MembersListed;
        tracing::info!(id = id as u16, name = id.name(), members = members.len());
        self.balancers.extend(members.iter().filter_map(balancer_address));
        self.update_report_interval();
        self.report(now_ms());
    }

    pub(super) async fn handle_upstream_message(&mut self, message: UpstreamMessage) {
        let now = now_ms();
        let before = self.state.upstream(now);
        let (reply, result) = match message {
            UpstreamMessage::Heartbeat(beat, reply) => {
                let result = if self.is_stray(&beat.instance, now).await {
                    HeartbeatResult::Ambiguous
                } else {
                    self.state.heartbeat(&beat, now, &mut self.effects)
                };
                log_heartbeat(&beat, result, before);
                (reply, message_result(result))
            }
            UpstreamMessage::Deregister(instance, reply) => {
                let present = self.state.deregister(&instance, &mut self.effects);
                let id = if present { Id::UpstreamChanged } else { Id::HeartbeatLate };
                tracing::info!(
                    id = id as u16,
                    name = id.name(),
                    upstream = instance.id,
                    born_ms = instance.started_at_ms,
                    before = before.as_str(),
                    ended = true,
                );
                (reply, MessageResult::Acknowledged)
            }
        };
        self.apply(&[], now);
        if self.state.had_upstream() && !self.serves.send_replace(true) {
            self.relist.notify_one();
        }
        // The requester may have disconnected.
        let _ = reply.send(result);
    }
}

impl<C> Process<C>
where
    C: Codec,
{
    /// Whether a heartbeat of this instance is a delayed one of an upstream that is gone: nothing listens.
    async fn is_stray(&self, instance: &UpstreamInstance, now: u64) -> bool {
        self.state.is_stray_candidate(instance, now) && !is_listening(self.address).await
    }
}

fn message_result(result: HeartbeatResult) -> MessageResult {
    match result {
        HeartbeatResult::Unchanged
        | HeartbeatResult::Changed
        | HeartbeatResult::Contested
        | HeartbeatResult::Outdated => MessageResult::Acknowledged,
        HeartbeatResult::Ambiguous => MessageResult::Unclear,
        HeartbeatResult::MissingStartTime => MessageResult::Foreign,
    }
}

fn log_heartbeat(beat: &Heartbeat, result: HeartbeatResult, before: UpstreamState) {
    let id = match result {
        HeartbeatResult::Changed => Id::UpstreamChanged,
        HeartbeatResult::Contested => Id::UpstreamContested,
        HeartbeatResult::Outdated => Id::HeartbeatLate,
        HeartbeatResult::Ambiguous => Id::HeartbeatUnclear,
        HeartbeatResult::MissingStartTime => Id::HeartbeatForeign,
        HeartbeatResult::Unchanged => return,
    };
    tracing::info!(
        id = id as u16,
        name = id.name(),
        upstream = beat.instance.id,
        born_ms = beat.instance.started_at_ms,
        seq = beat.seq,
        draining = beat.draining,
        slots = beat.slots,
        cold_ms = beat.cold_ms,
        before = before.as_str(),
    );
}
