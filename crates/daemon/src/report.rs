//! Reports: each balancer tells the holder of its zone's lease what is in force and how loaded the agents are; the
//! holder keeps the zone's report.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use camphorwinch_core::{
    member::{Agent, AgentState, Balancer, BalancerState},
    record::{Member, Role},
    report::{Applied, BalancerStatus, Behind, Report, State as Status, UpstreamStatus},
    snapshot::Snapshot,
};
use camphorwinch_wire::message::{self, AgentReport, Body};
use tokio::time::sleep;

use crate::{
    clock::{now_ms, wall_ms},
    control::{Inner, peer::LinkId, state::State, tick::take_event_batch},
};

/// Least time between two reports.
const MIN_GAP: Duration = Duration::from_millis(100);
/// Time between reports of load in a small zone, in milliseconds.
const LOAD_MS: u64 = 2_000;
/// The same in a large one; well below [`STALE_MS`].
const LOAD_MAX_MS: u64 = 10_000;
/// Time between reports of load for each process of the zone, in milliseconds.
const LOAD_EACH_MS: u64 = 10;
/// A report that was not repeated for so long no longer counts, in milliseconds.
const STALE_MS: u64 = 15_000;
/// For how long a member may be without a report before it counts as lagging, in milliseconds.
const UNREPORTED_MS: u64 = 5_000;
/// For how long the process that makes the zone's report listens first, in milliseconds.
const WARM_MS: u64 = LOAD_MS + 1_000;
/// Revisions whose times are kept.
const CHANGES: usize = 20;
/// Events sent with one report.
const REPORT_EVENTS: usize = 40;

/// How much a report says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Detail {
    /// What is in force, of bounded size.
    Brief,
    /// Also the state of each upstream and balancer.
    Whole,
}

#[derive(Clone, Debug, Default)]
struct Process {
    applied: u64,
    flows: u32,
    busy: u32,
    epochs: Vec<u8>,
    heard_ms: u64,
}

/// What the processes of a zone have reported.
#[derive(Debug, Default)]
pub(crate) struct Reports {
    processes: BTreeMap<String, Process>,
    changes: VecDeque<Applied>,
    /// Since when this process is the one that makes the zone's report.
    since_ms: Option<u64>,
}

impl Reports {
    /// Takes in the report of the balancer `name`.
    pub(crate) fn take(&mut self, name: &str, report: &message::Report, now: u64) {
        let own = Process { applied: report.applied, heard_ms: now, ..Process::default() };
        self.processes.insert(name.to_owned(), own);
        for it in &report.agents {
            let agent = Process {
                applied: it.applied,
                flows: it.flows,
                busy: it.busy,
                epochs: it.epochs.clone(),
                heard_ms: now,
            };
            self.processes.insert(it.name.clone(), agent);
        }
    }

    /// Makes the report of `zone`: of its balancers and of the agents that they report about.
    pub(crate) fn make(
        &mut self,
        zone: &str,
        state: &State,
        snapshot: &Snapshot,
        detail: Detail,
        now: u64,
        wall: u64,
    ) -> Report {
        self.processes.retain(|_, it| now.saturating_sub(it.heard_ms) < STALE_MS);
        self.note(zone, state, wall);
        let known = state.view.revision();
        let mut report = Report { zone: zone.to_owned(), at_ms: wall, known, ..Report::default() };
        report.in_force = known;
        for member in state.view.members().filter(|it| reported_in(it, zone, state)) {
            if detail == Detail::Whole {
                self.add_status(&mut report, member, snapshot);
            }
            let Some(applied) = self.applied(member, known, wall) else {
                continue;
            };
            report.processes += 1;
            report.in_force = report.in_force.min(applied);
            if applied < known {
                report.behind.push(Behind { name: member.name().to_owned(), in_force: applied });
            }
        }
        report.lagging = report.behind.len() as u32;
        report.changes = self.changes.iter().cloned().collect();
        report
    }

    /// Takes note of a revision that is new here, and of those that are in force in the whole zone now.
    fn note(&mut self, zone: &str, state: &State, wall: u64) {
        let known = state.view.revision();
        let newest = self.changes.back().map_or(0, |it| it.revision);
        if known > newest {
            self.changes.push_back(Applied { revision: known, seen_ms: wall, done_ms: 0 });
        }
        while self.changes.len() > CHANGES {
            self.changes.pop_front();
        }
        if self.changes.iter().all(|it| it.done_ms > 0) {
            return;
        }
        let members = state.view.members().filter(|it| reported_in(it, zone, state));
        let applied = members.filter_map(|it| self.applied(it, known, wall));
        let in_force = applied.min().unwrap_or(known);
        for change in &mut self.changes {
            if change.done_ms == 0 && change.revision <= in_force {
                change.done_ms = wall;
            }
        }
    }

    /// Revision in force at a member; `None` if it is dead, or so new that it can't have reported yet.
    fn applied(&self, member: &Member, known: u64, wall: u64) -> Option<u64> {
        if member.is_down() {
            return None;
        }
        let applied = self.processes.get(member.name()).map_or(0, |it| it.applied);
        let new = wall.saturating_sub(member.since_ms) < UNREPORTED_MS;
        (applied > 0 || known == 0 || !new).then_some(applied.min(known))
    }

    fn add_status(&self, report: &mut Report, member: &Member, snapshot: &Snapshot) {
        let process = self.processes.get(member.name());
        match &member.role {
            Role::Agent { agent, .. } => report.upstreams.push(UpstreamStatus {
                name: agent.name.clone(),
                pool: agent.pool.clone(),
                vm: agent.place.vm.clone(),
                zone: agent.place.zone.clone(),
                state: agent_status(agent, snapshot),
                flows: process.map_or(0, |it| it.flows),
                busy: process.map_or(0, |it| it.busy),
                slots: agent.slots,
                since_ms: member.since_ms,
                epochs: process.map(|it| it.epochs.clone()).unwrap_or_default(),
            }),
            Role::Balancer { balancer, .. } => report.balancers.push(BalancerStatus {
                name: balancer.name.clone(),
                vm: balancer.place.vm.clone(),
                zone: balancer.place.zone.clone(),
                state: balancer_status(balancer),
                in_force: process.map_or(0, |it| it.applied),
            }),
        }
    }
}

/// Whether a member belongs to the report of `zone`: a balancer by its zone, an agent by that of its first balancer, or by
/// its own once it has none.
fn reported_in(member: &Member, zone: &str, state: &State) -> bool {
    let Role::Agent { homes, .. } = &member.role else {
        return member.zone() == zone;
    };
    let home = homes.first().and_then(|it| state.view.member(it));
    home.map_or(member.zone(), Member::zone) == zone
}

fn agent_status(agent: &Agent, snapshot: &Snapshot) -> Status {
    let drained = snapshot.drains(&agent.name, &agent.place.vm, &agent.place.zone);
    match agent.state {
        AgentState::Ready if drained => Status::Draining,
        AgentState::Ready => Status::Ready,
        AgentState::Draining => Status::Draining,
        AgentState::Leaving => Status::Leaving,
        AgentState::Silent | AgentState::Down => Status::Down,
        AgentState::Starting => Status::Other,
    }
}

fn balancer_status(balancer: &Balancer) -> Status {
    match balancer.state {
        BalancerState::Ready => Status::Ready,
        BalancerState::Leaving => Status::Leaving,
        BalancerState::Down => Status::Down,
    }
}

/// What the holder of the zone's lease has been told, and over which link.
#[derive(Debug, Default)]
struct Told {
    link: Option<LinkId>,
    whole_ms: u64,
    applied: u64,
    agents: BTreeMap<String, u64>,
}

/// Sends this balancer's report to the holder of its zone's lease: what is newly in force at once, and everything when
/// it is due for the load, or when the link is another one than before.
pub(crate) async fn run(inner: Arc<Inner>) {
    let mut told = Told::default();
    loop {
        inner.report(&mut told);
        tokio::select! {
            () = inner.report.notified() => sleep(MIN_GAP).await,
            () = sleep(Duration::from_millis(LOAD_MS)) => {}
            () = inner.stop.cancelled() => return,
        }
    }
}

impl Inner {
    fn report(&self, told: &mut Told) {
        let mut state = self.state.lock();
        let own = state.own.name().to_owned();
        let Some(seed) = state.seed(state.own.zone()).map(|it| it.name.clone()) else {
            return;
        };
        if seed == own {
            let report = make_report(&state, None);
            drop(state);
            self.reports.lock().take(&own, &report, now_ms());
            note(self);
            return;
        }
        let Some(id) = state.links.iter().find(|(_, it)| it.peer == seed).map(|(id, _)| *id) else {
            return;
        };
        let now = now_ms();
        let whole = told.link != Some(id)
            || now.saturating_sub(told.whole_ms) >= load_ms(processes(&state));
        let mut report = make_report(&state, (!whole).then_some(&told.agents));
        report.events = take_event_batch();
        let count = state.events.len().min(REPORT_EVENTS);
        for event in state.events.drain(..count) {
            report.events.extend(serde_json::to_string(&event).ok());
        }
        let news = told.applied != report.applied
            || !report.agents.is_empty()
            || !report.events.is_empty();
        if !whole && !news {
            return;
        }
        told.note(id, &report, whole.then_some(now));
        if let Some(link) = state.links.get(&id) {
            link.send(Body::Report(report));
        }
    }
}

impl Told {
    fn note(&mut self, link: LinkId, report: &message::Report, whole_ms: Option<u64>) {
        if let Some(now) = whole_ms {
            self.whole_ms = now;
            self.agents.clear();
        }
        self.link = Some(link);
        self.applied = report.applied;
        for it in &report.agents {
            self.agents.insert(it.name.clone(), it.applied);
        }
    }
}

/// Time between reports of load in a zone with so many processes.
fn load_ms(processes: usize) -> u64 {
    (processes as u64 * LOAD_EACH_MS).clamp(LOAD_MS, LOAD_MAX_MS)
}

fn processes(state: &State) -> usize {
    let zone = state.own.zone();
    state.view.members().filter(|it| it.zone() == zone).count()
}

/// The report of this balancer, without the agents whose revision is as `told`.
fn make_report(state: &State, told: Option<&BTreeMap<String, u64>>) -> message::Report {
    let mut report = message::Report { applied: state.applied, ..message::Report::default() };
    for (name, it) in &state.linked_agents {
        let known = told.is_some_and(|told| told.get(name) == Some(&it.applied));
        if !it.primary || known {
            continue;
        }
        report.agents.push(AgentReport {
            name: name.clone(),
            applied: it.applied,
            flows: it.load.flows,
            busy: it.load.busy,
            epochs: it.epochs.clone(),
        });
    }
    report
}

/// Takes note of what is in force in the zone now, if this process makes its report.
pub(crate) fn note(inner: &Inner) {
    let mut reports = inner.reports.lock();
    if reports.since_ms.is_some() {
        let state = inner.state.lock();
        reports.note(state.own.zone(), &state, wall_ms());
    }
}

/// The zone's report as of now; none while another process makes it, or while this one has not yet heard of all.
pub(crate) fn current(inner: &Inner, detail: Detail) -> Option<Report> {
    let snapshot = inner.snapshot.borrow().clone();
    let mut reports = inner.reports.lock();
    let state = inner.state.lock();
    let zone = state.own.zone().to_owned();
    let now = now_ms();
    if state.seed(&zone).is_none_or(|it| it.name != state.own.name()) {
        reports.since_ms = None;
        return None;
    }
    let since = *reports.since_ms.get_or_insert(now);
    let warm = now.saturating_sub(since) >= WARM_MS;
    warm.then(|| reports.make(&zone, &state, &snapshot, detail, now, wall_ms()))
}
