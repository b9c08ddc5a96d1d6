//! What the control plane does at regular times: signs of life, timeouts, suspicion and comparison with peers.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use camphorwinch_core::{
    mesh,
    record::{Member, Record, Role},
    suspect::{
        AGENT_GRACE_MS, BALANCER_GRACE_MS, Finding, ORPHAN_GRACE_MS, PAUSE_MS, SILENT_GRACE_MS,
        Verdict,
    },
};
use camphorwinch_wire::message::{Beat, Body};
use tokio::time::{MissedTickBehavior, interval};

use crate::{
    clock::{now_ms, wall_ms},
    control::{
        Inner,
        peer::{LinkId, LinkKind},
        state::{State, as_peers, stamp, state_of},
    },
    event::{self, About, Id},
};

/// Time between two ticks.
const TICK: Duration = Duration::from_millis(250);
/// Ticks between two signs of life.
const BEAT_TICKS: u64 = 4;
/// The same between balancers, which need to know less soon of each other: a holder of a lease has a link to every balancer of
/// its zone.
const MESH_BEAT_TICKS: u64 = 8;
/// Ticks between two comparisons with some peer.
const DIGEST_TICKS: u64 = 20;
/// Ticks between two searches for members that were dead for long.
const FORGET_TICKS: u64 = 240;
/// Without anything heard for so long, a link between balancers is down.
const MESH_SILENCE_MS: u64 = 4_000;
/// The same for a link between an agent and a balancer.
const AGENT_SILENCE_MS: u64 = 2_500;
/// How much longer each further balancer waits before it declares an agent dead whose own balancers are dead.
const ORPHAN_STEP_MS: u64 = 1_000;
/// Events that an agent sends with one sign of life.
const BEAT_EVENTS: usize = 20;

/// Runs until the process stops.
pub(crate) async fn run(inner: Arc<Inner>) {
    let mut ticks = interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut count = 0u64;
    let mut last = now_ms();
    loop {
        tokio::select! {
            _ = ticks.tick() => count += 1,
            () = inner.beat.notified() => {
                inner.send_beats(false);
                continue;
            }
            () = inner.stop.cancelled() => return,
        }
        let now = now_ms();
        let paused = now.saturating_sub(last) > PAUSE_MS;
        last = now;
        inner.tick(count, paused);
        inner.dial_wanted();
    }
}

impl Inner {
    fn tick(&self, count: u64, paused: bool) {
        let now = now_ms();
        self.end_silent(now, paused);
        if count.is_multiple_of(BEAT_TICKS) {
            self.send_beats(count.is_multiple_of(MESH_BEAT_TICKS));
        }
        let mut guard = self.state.lock();
        let state = &mut *guard;
        state.ask_again();
        if count.is_multiple_of(DIGEST_TICKS) {
            compare_next(state, count / DIGEST_TICKS);
        }
        if count.is_multiple_of(FORGET_TICKS) {
            state.view.forget(wall_ms());
        }
        if state.is_agent() {
            return;
        }
        if count.is_multiple_of(BEAT_TICKS) {
            suspect_lost(state, now);
        }
        let dead = find_dead(state, now);
        if dead.is_empty() {
            return;
        }
        let records: Vec<Record> = dead.into_iter().map(Record::Member).collect();
        state.take(&records, None, None);
        drop(guard);
        self.changed();
    }

    fn end_silent(&self, now: u64, paused: bool) {
        let mut state = self.state.lock();
        for link in state.links.values_mut() {
            if paused {
                link.heard_ms = now;
            }
            let limit = match link.kind {
                LinkKind::Mesh => MESH_SILENCE_MS,
                LinkKind::Home | LinkKind::Agent => AGENT_SILENCE_MS,
            };
            if now.saturating_sub(link.heard_ms) > limit {
                link.silent = true;
                link.stop.cancel();
            }
        }
    }

    /// Sends a sign of life on every link, or on those between agents and balancers only.
    pub(crate) fn send_beats(&self, mesh: bool) {
        let state = self.state.lock();
        let primary = match &state.own.role {
            Role::Agent { homes, .. } => homes.first().cloned(),
            Role::Balancer { .. } => None,
        };
        for link in state.links.values().filter(|it| mesh || it.kind != LinkKind::Mesh) {
            let mut beat = Beat { stamp: Some(stamp()), ..Beat::default() };
            if link.kind == LinkKind::Home {
                beat.applied = state.applied;
                beat.flows = state.load.flows;
                beat.busy = state.load.busy;
                beat.epochs.clone_from(&state.epochs);
                beat.primary = primary.as_ref() == Some(&link.peer);
            }
            if beat.primary {
                beat.events = waiting_events();
            }
            link.send(Body::Beat(beat));
        }
    }
}

/// Events of this process as JSON, as many as fit into one message.
pub(crate) fn waiting_events() -> Vec<String> {
    let mut events = event::take_waiting();
    if events.len() > BEAT_EVENTS {
        event::put_back(events.split_off(BEAT_EVENTS));
    }
    events.iter().filter_map(|it| serde_json::to_string(it).ok()).collect()
}

fn compare_next(state: &State, round: u64) {
    let ids: Vec<LinkId> = state.links.keys().copied().collect();
    if let Some(index) = round.checked_rem(ids.len() as u64) {
        state.send_digest(ids[index as usize]);
    }
}

fn find_dead(state: &mut State, now: u64) -> Vec<Member> {
    let own = state.own.name();
    let alone = state.balancers().iter().all(|it| it.name == own);
    let connected = alone || !state.links.is_empty();
    let view = &state.view;
    let found = state.suspects.due(now, connected, |name| view.member(name).map(|it| it.version));
    let mut news = Vec::new();
    for Finding { name, verdict } in found {
        let Some(member) = view.member(&name).filter(|it| !it.is_down()) else {
            continue;
        };
        if watched_elsewhere(state, member) {
            continue;
        }
        report_loss(member, verdict);
        news.push(match verdict {
            Verdict::Silent => member.silent(wall_ms()),
            Verdict::Dead => member.down(wall_ms()),
        });
    }
    news
}

/// Whether the member is an agent that has left this balancer for others that live: they will miss it, and this one
/// can't tell its leaving from its death.
pub(crate) fn watched_elsewhere(state: &State, member: &Member) -> bool {
    let Role::Agent { homes, .. } = &member.role else {
        return false;
    };
    let own = state.own.name();
    let lives = |home: &String| state.balancers().iter().any(|it| it.name == *home);
    !homes.iter().any(|it| it == own) && homes.iter().any(lives)
}

fn report_loss(member: &Member, verdict: Verdict) {
    let leaving = state_of(&member.role) == "leaving";
    let (id, what) = match verdict {
        Verdict::Dead if leaving => (Id::MemberChanged, "left"),
        Verdict::Dead => (Id::MemberDown, "was found dead"),
        Verdict::Silent => (Id::MemberChanged, "is silent and gets no new work"),
    };
    let about = match &member.role {
        Role::Agent { agent, .. } => About::new().with_upstream(&agent.name),
        Role::Balancer { .. } => About::new(),
    };
    event::emit(id, about, &format!("{} {what}", member.name()));
}

/// Suspects agents that stay silent under this balancer's watch, and agents all of whose balancers are dead: nobody else
/// will miss them. A balancer that sees only a minority of the balancers leaves the latter alone, because it may be the
/// one that is cut off.
fn suspect_lost(state: &mut State, now: u64) {
    let alive = state.balancers();
    let known = state.view.members().filter(|it| matches!(it.role, Role::Balancer { .. })).count();
    let minority = alive.len() * 2 <= known && known > 1;
    let peers = as_peers(&alive);
    let names: BTreeSet<&str> = alive.iter().map(|it| it.name.as_str()).collect();
    let mut lost = Vec::new();
    for member in state.view.members() {
        let Role::Agent { homes, .. } = &member.role else {
            continue;
        };
        if member.is_down() || state.linked(member.name()) {
            continue;
        }
        if state_of(&member.role) == "silent" && homes.iter().any(|it| it == state.own.name()) {
            lost.push((member.name().to_owned(), member.version, now + SILENT_GRACE_MS));
            continue;
        }
        let watched = homes.iter().any(|home| names.contains(home.as_str()));
        if watched || minority {
            continue;
        }
        let rank = mesh::rank(member.name(), state.own.name(), &peers) as u64;
        let due = now + ORPHAN_GRACE_MS + rank * ORPHAN_STEP_MS;
        lost.push((member.name().to_owned(), member.version, due));
    }
    for (name, version, due) in lost {
        state.suspects.suspect(&name, version, due, Verdict::Dead);
    }
}

/// What becomes of the peer of a link that was lost, and after how long, unless it is heard of again.
pub(crate) fn sentence(kind: LinkKind, silent: bool) -> (u64, Verdict) {
    match kind {
        LinkKind::Mesh | LinkKind::Home => (BALANCER_GRACE_MS, Verdict::Dead),
        LinkKind::Agent if silent => (0, Verdict::Silent),
        LinkKind::Agent => (AGENT_GRACE_MS, Verdict::Dead),
    }
}
