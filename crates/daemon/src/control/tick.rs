//! Periodic work of the control plane: heartbeats, link timeouts, failure detection and anti-entropy.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use camphorwinch_core::{
    failure_detector::{
        AGENT_GRACE_MS, BALANCER_GRACE_MS, ExpiredSuspect, ORPHAN_GRACE_MS, PAUSE_DETECTION_MS,
        SILENT_GRACE_MS, Verdict,
    },
    mesh,
    record::{Member, Record, Role},
};
use camphorwinch_wire::message::{Body, Heartbeat};
use tokio::time::{MissedTickBehavior, interval};

use crate::{
    clock::{now_ms, wall_ms},
    control::{
        Inner,
        peer::{LinkId, LinkKind},
        state::{State, mesh_peers, stamp, state_name},
    },
    event::{self, EventId, EventSubject},
};

const TICK_INTERVAL: Duration = Duration::from_millis(250);
/// Ticks between heartbeats on links between agents and balancers.
const HEARTBEAT_TICKS: u64 = 4;
/// Ticks between heartbeats among balancers, fewer because a lease holder has a link to each balancer of its zone.
const MESH_HEARTBEAT_TICKS: u64 = 8;
/// Ticks between digests, each to the next link in turn.
const DIGEST_TICKS: u64 = 20;
/// Ticks between purges of old records of failed members.
const PURGE_TICKS: u64 = 240;
/// A link between balancers times out after this time without a frame.
const MESH_LINK_TIMEOUT_MS: u64 = 4_000;
/// A link between an agent and a balancer times out after this time without a frame.
const AGENT_LINK_TIMEOUT_MS: u64 = 2_500;
/// Additional delay per rank before a balancer reports an orphaned agent as down.
const ORPHAN_STAGGER_MS: u64 = 1_000;
const MAX_EVENTS_PER_MESSAGE: usize = 20;

pub(crate) async fn run(inner: Arc<Inner>) {
    let mut ticks = interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut count = 0u64;
    let mut last = now_ms();
    loop {
        tokio::select! {
            _ = ticks.tick() => count += 1,
            () = inner.heartbeat.notified() => {
                inner.send_heartbeats(false);
                continue;
            }
            () = inner.stop.cancelled() => return,
        }
        let now = now_ms();
        let paused = now.saturating_sub(last) > PAUSE_DETECTION_MS;
        last = now;
        inner.tick(count, paused);
        inner.open_missing_links();
    }
}

impl Inner {
    fn tick(&self, count: u64, paused: bool) {
        let now = now_ms();
        self.close_idle_links(now, paused);
        if count.is_multiple_of(HEARTBEAT_TICKS) {
            self.send_heartbeats(count.is_multiple_of(MESH_HEARTBEAT_TICKS));
        }
        let mut guard = self.state.lock();
        let state = &mut *guard;
        state.send_pending_digests();
        if count.is_multiple_of(DIGEST_TICKS) {
            send_next_digest(state, count / DIGEST_TICKS);
        }
        if count.is_multiple_of(PURGE_TICKS) {
            state.view.purge_down_members(wall_ms());
        }
        if state.is_agent() {
            return;
        }
        if count.is_multiple_of(HEARTBEAT_TICKS) {
            suspect_unmonitored(state, now);
        }
        let failed = expire_suspects(state, now);
        if failed.is_empty() {
            return;
        }
        let records: Vec<Record> = failed.into_iter().map(Record::Member).collect();
        state.apply(&records, None, None);
        drop(guard);
        self.request_publish();
    }

    fn close_idle_links(&self, now: u64, paused: bool) {
        let mut state = self.state.lock();
        for link in state.links.values_mut() {
            if paused {
                link.last_received_ms = now;
            }
            let limit = match link.kind {
                LinkKind::Mesh => MESH_LINK_TIMEOUT_MS,
                LinkKind::Balancer | LinkKind::Agent => AGENT_LINK_TIMEOUT_MS,
            };
            if now.saturating_sub(link.last_received_ms) > limit {
                link.timed_out = true;
                link.stop.cancel();
            }
        }
    }

    /// Sends a heartbeat on every link, or, without `mesh`, only on those between agents and balancers.
    pub(crate) fn send_heartbeats(&self, mesh: bool) {
        let state = self.state.lock();
        let primary = match &state.own.role {
            Role::Agent { balancers, .. } => balancers.first().cloned(),
            Role::Balancer { .. } => None,
        };
        for link in state.links.values().filter(|it| mesh || it.kind != LinkKind::Mesh) {
            let mut heartbeat = Heartbeat { stamp: Some(stamp()), ..Heartbeat::default() };
            if link.kind == LinkKind::Balancer {
                heartbeat.applied = state.applied;
                heartbeat.flows = state.load.flows;
                heartbeat.busy_slots = state.load.busy;
                heartbeat.key_epochs.clone_from(&state.epochs);
                heartbeat.primary = primary.as_ref() == Some(&link.peer);
            }
            if heartbeat.primary {
                heartbeat.events = take_event_batch();
            }
            link.send(Body::Heartbeat(heartbeat));
        }
    }
}

/// Takes up to [`MAX_EVENTS_PER_MESSAGE`] pending events of this process, as JSON.
pub(crate) fn take_event_batch() -> Vec<String> {
    let mut events = event::take_pending();
    if events.len() > MAX_EVENTS_PER_MESSAGE {
        event::requeue(events.split_off(MAX_EVENTS_PER_MESSAGE));
    }
    events.iter().filter_map(|it| serde_json::to_string(it).ok()).collect()
}

fn send_next_digest(state: &State, round: u64) {
    let ids: Vec<LinkId> = state.links.keys().copied().collect();
    if let Some(index) = round.checked_rem(ids.len() as u64) {
        state.send_digest(ids[index as usize]);
    }
}

fn expire_suspects(state: &mut State, now: u64) -> Vec<Member> {
    let own = state.own.name();
    let only_balancer = state.balancers().iter().all(|it| it.name == own);
    let connected = only_balancer || !state.links.is_empty();
    let view = &state.view;
    let found = state
        .failure_detector
        .take_expired(now, connected, |name| view.member(name).map(|it| it.version));
    let mut updates = Vec::new();
    for ExpiredSuspect { name, verdict } in found {
        let Some(member) = view.member(&name).filter(|it| !it.is_down()) else {
            continue;
        };
        if is_monitored_elsewhere(state, member) {
            continue;
        }
        emit_member_failure(member, verdict);
        updates.push(match verdict {
            Verdict::Silent => member.as_silent(wall_ms()),
            Verdict::Down => member.as_down(wall_ms()),
        });
    }
    updates
}

/// Whether the member is an agent that other live balancers monitor and this one does not.
pub(crate) fn is_monitored_elsewhere(state: &State, member: &Member) -> bool {
    let Role::Agent { balancers, .. } = &member.role else {
        return false;
    };
    let own = state.own.name();
    let alive = |balancer: &String| state.balancers().iter().any(|it| it.name == *balancer);
    !balancers.iter().any(|it| it == own) && balancers.iter().any(alive)
}

fn emit_member_failure(member: &Member, verdict: Verdict) {
    let leaving = state_name(&member.role) == "leaving";
    let (id, text) = match verdict {
        Verdict::Down if leaving => (EventId::MemberChanged, "left"),
        Verdict::Down => (EventId::MemberDown, "is down"),
        Verdict::Silent => (EventId::MemberChanged, "is silent and gets no new requests"),
    };
    let about = match &member.role {
        Role::Agent { agent, .. } => EventSubject::new().with_upstream(&agent.name),
        Role::Balancer { .. } => EventSubject::new(),
    };
    event::emit(id, about, &format!("{} {text}", member.name()));
}

/// Suspects silent agents that this balancer monitors, and orphaned agents, whose balancers are all down. A balancer
/// that sees only a minority of the balancers skips orphans, because it may be the partitioned one.
fn suspect_unmonitored(state: &mut State, now: u64) {
    let alive = state.balancers();
    let known = state.view.members().filter(|it| matches!(it.role, Role::Balancer { .. })).count();
    let minority = alive.len() * 2 <= known && known > 1;
    let peers = mesh_peers(&alive);
    let names: BTreeSet<&str> = alive.iter().map(|it| it.name.as_str()).collect();
    let mut suspected = Vec::new();
    for member in state.view.members() {
        let Role::Agent { balancers, .. } = &member.role else {
            continue;
        };
        if member.is_down() || state.has_link(member.name()) {
            continue;
        }
        if state_name(&member.role) == "silent" && balancers.iter().any(|it| it == state.own.name())
        {
            suspected.push((member.name().to_owned(), member.version, now + SILENT_GRACE_MS));
            continue;
        }
        let monitored = balancers.iter().any(|it| names.contains(it.as_str()));
        if monitored || minority {
            continue;
        }
        let rank = mesh::rank(member.name(), state.own.name(), &peers) as u64;
        let due = now + ORPHAN_GRACE_MS + rank * ORPHAN_STAGGER_MS;
        suspected.push((member.name().to_owned(), member.version, due));
    }
    for (name, version, due) in suspected {
        state.failure_detector.suspect(&name, version, due, Verdict::Down);
    }
}

/// Grace period and verdict for the peer of a lost link, unless the peer announces itself again.
pub(crate) fn grace_and_verdict(kind: LinkKind, silent: bool) -> (u64, Verdict) {
    match kind {
        LinkKind::Mesh | LinkKind::Balancer => (BALANCER_GRACE_MS, Verdict::Down),
        LinkKind::Agent if silent => (0, Verdict::Silent),
        LinkKind::Agent => (AGENT_GRACE_MS, Verdict::Down),
    }
}
