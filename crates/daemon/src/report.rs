//! Reports: each balancer sends the revisions in force and the load of its agents to the lease holder of its zone,
//! which builds the report of the zone.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use camphorwinch_core::{
    member::{Agent, AgentState, Balancer, BalancerState},
    record::{Member, Role},
    report::{BalancerStatus, LaggingProcess, MemberState, Report, RevisionTiming, UpstreamStatus},
    snapshot::Snapshot,
};
use camphorwinch_wire::message::{self, AgentReport, Body};
use tokio::time::sleep;

use crate::{
    clock::{now_ms, wall_ms},
    control::{Inner, peer::LinkId, state::State, tick::take_event_batch},
};

const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between full reports in a small zone.
const LOAD_INTERVAL_MS: u64 = 2_000;
/// Interval between full reports in a large zone; well below [`REPORT_TTL_MS`].
const MAX_LOAD_INTERVAL_MS: u64 = 10_000;
/// Interval between full reports per process of the zone.
const LOAD_INTERVAL_PER_PROCESS_MS: u64 = 10;
/// The status of a process expires after this time without a report.
const REPORT_TTL_MS: u64 = 15_000;
/// A member without a report counts as lagging only after this time.
const NEW_MEMBER_MS: u64 = 5_000;
/// How long a new lease holder collects reports before it builds the zone's report.
const WARMUP_MS: u64 = LOAD_INTERVAL_MS + 1_000;
/// Revisions in the change history.
const MAX_CHANGES: usize = 20;
const MAX_REPORT_EVENTS: usize = 40;

/// Level of detail of a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Detail {
    /// Revisions in force; of bounded size.
    Summary,
    /// Additionally the state of each upstream and balancer.
    Full,
}

#[derive(Clone, Debug, Default)]
struct ProcessStatus {
    applied: u64,
    flows: u32,
    busy: u32,
    epochs: Vec<u8>,
    received_ms: u64,
}

/// Reported status of the processes of a zone.
#[derive(Debug, Default)]
pub(crate) struct Reports {
    processes: BTreeMap<String, ProcessStatus>,
    changes: VecDeque<RevisionTiming>,
    /// Since when this process builds the zone's report.
    since_ms: Option<u64>,
}

impl Reports {
    /// Records the report of the balancer `name`.
    pub(crate) fn record(&mut self, name: &str, report: &message::Report, now: u64) {
        let own =
            ProcessStatus { applied: report.applied, received_ms: now, ..ProcessStatus::default() };
        self.processes.insert(name.to_owned(), own);
        for it in &report.agents {
            let agent = ProcessStatus {
                applied: it.applied,
                flows: it.flows,
                busy: it.busy_slots,
                epochs: it.key_epochs.clone(),
                received_ms: now,
            };
            self.processes.insert(it.name.clone(), agent);
        }
    }

    /// Builds the report of `zone` from its balancers and the agents that they report.
    pub(crate) fn build(
        &mut self,
        zone: &str,
        state: &State,
        snapshot: &Snapshot,
        detail: Detail,
        now: u64,
        wall: u64,
    ) -> Report {
        self.processes.retain(|_, it| now.saturating_sub(it.received_ms) < REPORT_TTL_MS);
        self.record_changes(zone, state, wall);
        let known = state.view.revision();
        let mut report = Report { zone: zone.to_owned(), at_ms: wall, known, ..Report::default() };
        report.in_force = known;
        for member in state.view.members().filter(|it| belongs_to(it, zone, state)) {
            if detail == Detail::Full {
                self.add_status(&mut report, member, snapshot);
            }
            let Some(applied) = self.applied(member, known, wall) else {
                continue;
            };
            report.processes += 1;
            report.in_force = report.in_force.min(applied);
            if applied < known {
                report
                    .behind
                    .push(LaggingProcess { name: member.name().to_owned(), in_force: applied });
            }
        }
        report.lagging = report.behind.len() as u32;
        report.changes = self.changes.iter().cloned().collect();
        report
    }

    /// Adds a new revision to the change history, and marks the revisions that are in force in the whole zone.
    fn record_changes(&mut self, zone: &str, state: &State, wall: u64) {
        let known = state.view.revision();
        let newest = self.changes.back().map_or(0, |it| it.revision);
        if known > newest {
            self.changes.push_back(RevisionTiming {
                revision: known,
                seen_ms: wall,
                in_force_ms: 0,
            });
        }
        while self.changes.len() > MAX_CHANGES {
            self.changes.pop_front();
        }
        if self.changes.iter().all(|it| it.in_force_ms > 0) {
            return;
        }
        let members = state.view.members().filter(|it| belongs_to(it, zone, state));
        let applied = members.filter_map(|it| self.applied(it, known, wall));
        let in_force = applied.min().unwrap_or(known);
        for change in &mut self.changes {
            if change.in_force_ms == 0 && change.revision <= in_force {
                change.in_force_ms = wall;
            }
        }
    }

    /// Revision in force at a member; `None` if it is down, or new and without a report.
    fn applied(&self, member: &Member, known: u64, wall: u64) -> Option<u64> {
        if member.is_down() {
            return None;
        }
        let applied = self.processes.get(member.name()).map_or(0, |it| it.applied);
        let new = wall.saturating_sub(member.since_ms) < NEW_MEMBER_MS;
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

/// Whether a member belongs to the report of `zone`: a balancer by its own zone, an agent by the zone of its first
/// balancer, or by its own zone without one.
fn belongs_to(member: &Member, zone: &str, state: &State) -> bool {
    let Role::Agent { balancers, .. } = &member.role else {
        return member.zone() == zone;
    };
    let balancer = balancers.first().and_then(|it| state.view.member(it));
    balancer.map_or(member.zone(), Member::zone) == zone
}

fn agent_status(agent: &Agent, snapshot: &Snapshot) -> MemberState {
    let drained = snapshot.is_draining(&agent.name, &agent.place.vm, &agent.place.zone);
    match agent.state {
        AgentState::Ready if drained => MemberState::Draining,
        AgentState::Ready => MemberState::Ready,
        AgentState::Draining => MemberState::Draining,
        AgentState::Leaving => MemberState::Leaving,
        AgentState::Silent | AgentState::Down => MemberState::Down,
        AgentState::Starting => MemberState::Other,
    }
}

fn balancer_status(balancer: &Balancer) -> MemberState {
    match balancer.state {
        BalancerState::Ready => MemberState::Ready,
        BalancerState::Leaving => MemberState::Leaving,
        BalancerState::Down => MemberState::Down,
    }
}

/// Revisions already reported to the lease holder, and the link used.
#[derive(Debug, Default)]
struct SentReports {
    link: Option<LinkId>,
    full_ms: u64,
    applied: u64,
    agents: BTreeMap<String, u64>,
}

/// Sends reports to the lease holder of the zone: changed revisions at once, and a full report periodically and after a
/// change of the link.
pub(crate) async fn run(inner: Arc<Inner>) {
    let mut sent = SentReports::default();
    loop {
        inner.send_report(&mut sent);
        tokio::select! {
            () = inner.report.notified() => sleep(MIN_REPORT_INTERVAL).await,
            () = sleep(Duration::from_millis(LOAD_INTERVAL_MS)) => {}
            () = inner.stop.cancelled() => return,
        }
    }
}

impl Inner {
    fn send_report(&self, sent: &mut SentReports) {
        let mut state = self.state.lock();
        let own = state.own.name().to_owned();
        let Some(holder) = state.lease_holder(state.own.zone()).map(|it| it.name.clone()) else {
            return;
        };
        if holder == own {
            let report = build_report(&state, None);
            drop(state);
            self.reports.lock().record(&own, &report, now_ms());
            record_changes(self);
            return;
        }
        let Some(id) = state.links.iter().find(|(_, it)| it.peer == holder).map(|(id, _)| *id)
        else {
            return;
        };
        let now = now_ms();
        let full = sent.link != Some(id)
            || now.saturating_sub(sent.full_ms) >= load_interval_ms(processes(&state));
        let mut report = build_report(&state, (!full).then_some(&sent.agents));
        report.events = take_event_batch();
        let count = state.events.len().min(MAX_REPORT_EVENTS);
        for event in state.events.drain(..count) {
            report.events.extend(serde_json::to_string(&event).ok());
        }
        let changed = sent.applied != report.applied
            || !report.agents.is_empty()
            || !report.events.is_empty();
        if !full && !changed {
            return;
        }
        sent.update(id, &report, full.then_some(now));
        if let Some(link) = state.links.get(&id) {
            link.send(Body::Report(report));
        }
    }
}

impl SentReports {
    fn update(&mut self, link: LinkId, report: &message::Report, full_ms: Option<u64>) {
        if let Some(now) = full_ms {
            self.full_ms = now;
            self.agents.clear();
        }
        self.link = Some(link);
        self.applied = report.applied;
        for it in &report.agents {
            self.agents.insert(it.name.clone(), it.applied);
        }
    }
}

/// Interval between full reports in a zone with this many processes.
fn load_interval_ms(processes: usize) -> u64 {
    (processes as u64 * LOAD_INTERVAL_PER_PROCESS_MS).clamp(LOAD_INTERVAL_MS, MAX_LOAD_INTERVAL_MS)
}

fn processes(state: &State) -> usize {
    let zone = state.own.zone();
    state.view.members().filter(|it| it.zone() == zone).count()
}

/// Builds the report of this balancer, without the agents whose revision equals the one in `sent`.
fn build_report(state: &State, sent: Option<&BTreeMap<String, u64>>) -> message::Report {
    let mut report = message::Report { applied: state.applied, ..message::Report::default() };
    for (name, it) in &state.linked_agents {
        let known = sent.is_some_and(|sent| sent.get(name) == Some(&it.applied));
        if !it.primary || known {
            continue;
        }
        report.agents.push(AgentReport {
            name: name.clone(),
            applied: it.applied,
            flows: it.load.flows,
            busy_slots: it.load.busy,
            key_epochs: it.epochs.clone(),
        });
    }
    report
}

/// Updates the change history if this process builds the zone's report.
pub(crate) fn record_changes(inner: &Inner) {
    let mut reports = inner.reports.lock();
    if reports.since_ms.is_some() {
        let state = inner.state.lock();
        reports.record_changes(state.own.zone(), &state, wall_ms());
    }
}

/// Current report of the zone; `None` if another process builds it, or during the warm-up.
pub(crate) fn current(inner: &Inner, detail: Detail) -> Option<Report> {
    let snapshot = inner.snapshot.borrow().clone();
    let mut reports = inner.reports.lock();
    let state = inner.state.lock();
    let zone = state.own.zone().to_owned();
    let now = now_ms();
    if state.lease_holder(&zone).is_none_or(|it| it.name != state.own.name()) {
        reports.since_ms = None;
        return None;
    }
    let since = *reports.since_ms.get_or_insert(now);
    let warmed_up = now.saturating_sub(since) >= WARMUP_MS;
    warmed_up.then(|| reports.build(&zone, &state, &snapshot, detail, now, wall_ms()))
}
