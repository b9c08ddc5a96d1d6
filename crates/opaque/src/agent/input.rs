//! What an agent's process takes in: packets, datagrams, members, and what the upstream says of itself.

use std::net::SocketAddrV4;

use camphorwinch_core::opaque::{
    agent::{Heard, Heartbeat},
    effect::Relay,
    fleet::Upstream,
};
use camphorwinch_wire::opaque::{Body, Datagram, Greeting, decode};

use super::{Process, Said, TURN, Taken, balancer_address};
use crate::{
    balancer::caller_address,
    clock::now_ms,
    codec::{Codec, MAX_PACKET},
    discovery::Found,
    event::Id,
    member::{count_faulty, count_misdirected},
    store::Members,
};

/// Balancers that are remembered as those who greeted this process.
const GREETED_KEPT: usize = 16;

impl<C> Process<C>
where
    C: Codec,
{
    pub(super) fn take_upstream(&mut self) {
        let mut buffer = [0; MAX_PACKET];
        for _ in 0..TURN {
            let Ok((len, _)) = self.outbound.try_recv_from(&mut buffer) else {
                return;
            };
            let packet = &mut buffer[..len];
            let Some(head) = self.codec.upstream_head(packet) else {
                count_faulty();
                continue;
            };
            if head.bounced {
                self.codec.restore(packet);
            }
            let now = now_ms();
            self.state.sent(&head, now, &mut self.effects);
            let to = caller_address(&head, self.caller_port);
            self.apply_to(packet, Some(to), now);
        }
    }

    pub(super) fn take_peers(&mut self) {
        let mut buffer = [0; MAX_PACKET];
        for _ in 0..TURN {
            let Some((from, bytes)) = self.peers.receive(&mut buffer) else {
                return;
            };
            self.take_datagram(from, bytes);
        }
    }

    fn take_datagram(&mut self, from: SocketAddrV4, bytes: &[u8]) {
        let now = now_ms();
        match decode(bytes) {
            Ok(Datagram::Packet { relay, packet }) => self.take_packet(&relay, &[], packet, now),
            Ok(Datagram::Spread { relay, agents, packet }) => {
                self.take_packet(&relay, &agents, packet, now);
            }
            Ok(Datagram::Control(message)) => match message.body {
                Some(Body::Greeting(greeting)) => self.take_greeting(from, greeting, now),
                Some(Body::Report(_)) | None => {
                    count_misdirected();
                }
            },
            Ok(Datagram::Query(keys)) => {
                self.state.query(from, &keys, &mut self.effects);
                self.apply(&[], now);
            }
            Ok(Datagram::Answer { .. } | Datagram::Verdicts(_)) => {
                count_misdirected();
            }
            Err(e) => {
                count_faulty();
                tracing::debug!("datagram from {from}: {e}");
            }
        }
    }

    /// Takes a caller's packet, for these agents if any are named.
    fn take_packet(&mut self, relay: &Relay, agents: &[SocketAddrV4], packet: &[u8], now: u64) {
        let Some(head) = self.codec.caller_head(packet) else {
            count_faulty();
            return;
        };
        if agents.is_empty() {
            self.state.relayed(relay, &head, packet, now, &mut self.effects);
        } else {
            self.state.spread(relay, agents, &head, packet, now, &mut self.effects);
        }
        self.apply(packet, now);
    }

    fn take_greeting(&mut self, from: SocketAddrV4, greeting: Greeting, now: u64) {
        if greeting.unlisted {
            let id = Id::Unlisted;
            tracing::info!(id = id as u16, name = id.name(), peer = %from);
            self.list_again.notify_one();
        }
        self.copy.take_greeting(from, &greeting);
        if greeting.leaving {
            self.balancers.remove(&from);
            self.greeted.send_if_modified(|it| it.remove(&from));
        } else {
            self.balancers.insert(from);
            self.greeted.send_if_modified(|it| it.len() < GREETED_KEPT && it.insert(from));
            self.report_to(from, now);
        }
        self.pace();
    }

    pub(super) fn take_found(&mut self, found: Found) {
        let members = match found {
            Found::Members(Members { records, .. }, _) => {
                self.balancers.clear();
                records.iter().map(|it| it.listed).collect()
            }
            Found::PeerMembers(members) => members,
            Found::Routes(_)
            | Found::News(_)
            | Found::Zones(_)
            | Found::LostZones(_)
            | Found::ZoneNews(_) => return,
        };
        let id = Id::MembersListed;
        tracing::info!(id = id as u16, name = id.name(), members = members.len());
        self.balancers.extend(members.iter().filter_map(balancer_address));
        self.pace();
        self.report(now_ms());
    }

    pub(super) fn take_said(&mut self, said: Said) {
        let now = now_ms();
        let before = self.state.upstream(now);
        let (reply, taken) = match said {
            Said::Heartbeat(beat, reply) => {
                let heard = self.state.heartbeat(&beat, now, &mut self.effects);
                log_heartbeat(&beat, heard, before);
                (reply, taken(heard))
            }
            Said::Deregister(life, reply) => {
                let present = self.state.deregister(&life, &mut self.effects);
                let id = if present { Id::UpstreamChanged } else { Id::HeartbeatLate };
                tracing::info!(
                    id = id as u16,
                    name = id.name(),
                    upstream = life.id,
                    born_ms = life.born_ms,
                    before = before.as_str(),
                    ended = true,
                );
                (reply, Taken::Acknowledged)
            }
        };
        self.apply(&[], now);
        if self.state.has_served() && !self.serves.send_replace(true) {
            self.list_again.notify_one();
        }
        // Whoever asked may have gone.
        let _ = reply.send(taken);
    }
}

fn taken(heard: Heard) -> Taken {
    match heard {
        Heard::Same | Heard::Changed | Heard::Late => Taken::Acknowledged,
        Heard::Unclear => Taken::Unclear,
        Heard::Foreign => Taken::Foreign,
    }
}

fn log_heartbeat(beat: &Heartbeat, heard: Heard, before: Upstream) {
    let id = match heard {
        Heard::Changed => Id::UpstreamChanged,
        Heard::Late => Id::HeartbeatLate,
        Heard::Unclear => Id::HeartbeatUnclear,
        Heard::Foreign => Id::HeartbeatForeign,
        Heard::Same => return,
    };
    tracing::info!(
        id = id as u16,
        name = id.name(),
        upstream = beat.life.id,
        born_ms = beat.life.born_ms,
        seq = beat.seq,
        draining = beat.draining,
        slots = beat.slots,
        cold_ms = beat.cold_ms,
        before = before.as_str(),
    );
}
