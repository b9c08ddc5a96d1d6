//! Deterministic simulation of a small fleet: balancers and agents with their views, leases, claims and requests, a
//! platform, and a network that delays, reorders, duplicates and loses messages. A seed determines the run.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use camphorwinch_core::{
    assemble::Assembler,
    failure_detector::{
        AGENT_GRACE_MS, BALANCER_GRACE_MS, ExpiredSuspect, FailureDetector, PAUSE_DETECTION_MS,
        SILENT_GRACE_MS, Verdict,
    },
    lease::LeaseClient,
    member::{Agent, AgentState, Balancer, BalancerState, Place},
    object::{Kind, Object, ServiceId},
    place::Placer,
    record::{Member, Record, Role, Version, Watermark},
    snapshot::Snapshot,
    view::{BUCKET_COUNT, Scope, Summary, View, WatermarkOutcome},
};
use rand::{Rng, SeedableRng, rngs::StdRng};

use super::{
    flows::Flow,
    platform::{Platform, Write},
    work::{Caller, Job, Work},
};

pub(crate) const BALANCERS: usize = 3;
pub(crate) const AGENTS: usize = 6;
pub(crate) const ALL: usize = BALANCERS + AGENTS;
pub(crate) const SERVICE: &str = "ledger";
const FAULT: &str = "fault";
const TICK_MS: u64 = 250;
const HEARTBEAT_MS: u64 = 1_000;
const HEARTBEAT_TIMEOUT_MS: u64 = 3_000;
const COMPARE_MS: u64 = 5_000;
const LIST_MS: u64 = 10_000;
/// Time for which a draining upstream may still get new work.
pub(crate) const DRAIN_LIMIT_MS: u64 = 8_000;

/// A bug built into a fake to verify that a check detects it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Mutant {
    /// Sends a lost request again as if it had certainly not started.
    ResendsLostRequests,
    /// Returns "not run" for an unknown outcome.
    ReportsUnknownAsNotRun,
    /// Runs requests without claiming their keys.
    SkipsClaims,
    /// Records a claim only at the claiming agent.
    ClaimsLocallyOnly,
    /// Grants a claim although an earlier one may be lost.
    TrustsRestartedMembers,
    /// Does not detect a restart of a member.
    IgnoresRestarts,
    /// Starts requests while the agent is draining.
    IgnoresDrain,
    /// Views accept lower versions.
    AcceptsLowerVersions,
    /// Balancers ignore the service in a connection ID.
    IgnoresService,
    /// Balancers place packets of established flows as new flows.
    IgnoresFlowOwners,
    /// Processes never compare their views.
    SkipsSync,
    /// The platform ignores the versions of conditional writes.
    SkipsVersionChecks,
}

/// Parameters of a run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Plan {
    pub(crate) seed: u64,
    pub(crate) span_ms: u64,
    pub(crate) mutant: Option<Mutant>,
}

/// Externally visible results of a run.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct RunResult {
    pub(crate) faults: u64,
    pub(crate) attempts: u64,
    pub(crate) whole: u64,
    pub(crate) unknown: u64,
    pub(crate) not_run: u64,
    pub(crate) packets: u64,
    pub(crate) placed: u64,
    pub(crate) drains: u64,
    /// Number of violated guarantees by name.
    pub(crate) violations: BTreeMap<&'static str, u64>,
}

/// Control message between processes.
#[derive(Clone, Debug)]
pub(crate) enum Control {
    Heartbeat(Member),
    Records(Vec<Record>, Option<Watermark>),
    Digest(Box<[u64; BUCKET_COUNT]>),
    Summary(Summary),
}

/// A scheduled event.
#[derive(Clone, Debug)]
pub(crate) enum Event {
    Control {
        from: usize,
        to: usize,
        incarnation: u64,
        message: Control,
    },
    Tick(usize),
    Written {
        to: usize,
        incarnation: u64,
        write: Write,
        stored: Option<(bool, Object)>,
    },
    Job(Job),
    Start(usize),
    Kill(usize),
    /// Reopens the links of a process.
    Reconnect(usize),
    Fault,
    Traffic,
}

pub(crate) struct Process {
    pub(crate) name: String,
    pub(crate) incarnation: u64,
    pub(crate) up: bool,
    pub(crate) paused_until: u64,
    /// End of the time in which the process sends and receives no control messages.
    isolated_until: u64,
    /// Addresses and the services that used them in this process's snapshots.
    pub(crate) served_addresses: BTreeSet<(SocketAddr, ServiceId)>,
    pub(crate) view: View,
    pub(crate) snapshot: Snapshot,
    pub(crate) placer: Option<Placer>,
    pub(crate) work: Work,
    pub(crate) lease_client: LeaseClient,
    pub(crate) write_pending: bool,
    /// End of the last kill, pause or isolation.
    pub(crate) disturbed_until: u64,
    assembler: Assembler,
    own: Member,
    failure_detector: FailureDetector,
    last_heartbeats: BTreeMap<usize, u64>,
    versions: BTreeMap<String, u64>,
    stale: View,
    last_compare: u64,
    last_list: u64,
    last_tick: u64,
}

pub(crate) struct World {
    pub(crate) plan: Plan,
    pub(crate) rng: StdRng,
    pub(crate) now: u64,
    pub(crate) processes: Vec<Process>,
    pub(crate) platform: Platform,
    pub(crate) callers: BTreeMap<u64, Caller>,
    pub(crate) flows: Vec<Flow>,
    pub(crate) seen: RunResult,
    /// Runs of requests at upstreams: key, time and request.
    pub(crate) upstream_runs: Vec<(String, u64, u128)>,
    pub(crate) faults_off: bool,
    /// Trace of faults and of events by key.
    trace: Vec<(u64, String, String)>,
    queue: BTreeMap<(u64, u64), Event>,
    next: u64,
    last_kill: u64,
}

fn member(index: usize, incarnation: u64) -> Member {
    let place = Place {
        vm: format!("vm-{index}"),
        zone: format!("z{}", index % 3),
        region: "r".to_owned(),
    };
    let address = |port: u16| SocketAddr::from(([10, 0, 0, index as u8 + 1], port));
    let role = if index < BALANCERS {
        let balancer =
            Balancer { name: name(index), place, control: address(1), state: BalancerState::Ready };
        Role::Balancer { balancer, lease: None }
    } else {
        let agent = Agent {
            name: name(index),
            place,
            pool: SERVICE.to_owned(),
            data: address(7_000),
            control: address(1),
            weight: 1.0,
            slots: 3,
            connections: 50,
            state: AgentState::Ready,
        };
        Role::Agent { agent, balancers: vec![name(index % BALANCERS)] }
    };
    Member { version: Version::member(incarnation, 0), since_ms: incarnation, role }
}

pub(crate) fn name(index: usize) -> String {
    if index < BALANCERS { format!("b{index}") } else { format!("a{index}") }
}

impl Process {
    fn new(index: usize, now: u64) -> Process {
        let own = member(index, now);
        let mut view = View::new();
        view.merge(&Record::Member(own.clone()), now);
        Process {
            name: name(index),
            incarnation: now,
            up: true,
            paused_until: 0,
            isolated_until: 0,
            served_addresses: BTreeSet::new(),
            view,
            snapshot: Snapshot::default(),
            placer: None,
            work: Work::new(now),
            lease_client: LeaseClient::new(&name(index)),
            write_pending: false,
            disturbed_until: now,
            assembler: Assembler::new(),
            own,
            failure_detector: FailureDetector::new(),
            last_heartbeats: BTreeMap::new(),
            versions: BTreeMap::new(),
            stale: View::new(),
            last_compare: 0,
            last_list: 0,
            last_tick: now,
        }
    }
}

impl World {
    pub(crate) fn new(plan: Plan) -> World {
        let mut world = World {
            plan,
            rng: StdRng::seed_from_u64(plan.seed),
            now: 1_000,
            processes: (0..ALL).map(|it| Process::new(it, 1_000)).collect(),
            platform: Platform::new(plan.mutant != Some(Mutant::SkipsVersionChecks)),
            callers: BTreeMap::new(),
            flows: Vec::new(),
            seen: RunResult::default(),
            upstream_runs: Vec::new(),
            faults_off: true,
            trace: Vec::new(),
            queue: BTreeMap::new(),
            next: 0,
            last_kill: 0,
        };
        world.platform.seed_objects();
        for index in 0..ALL {
            let at = world.rng.random_range(1..TICK_MS);
            world.after(at, Event::Tick(index));
        }
        world
    }

    /// Runs without faults, with faults and without again, then checks the final state.
    pub(crate) fn run(mut self) -> RunResult {
        self.run_until(20_000);
        self.faults_off = false;
        self.after(1, Event::Fault);
        self.after(1, Event::Traffic);
        let end = self.now + self.plan.span_ms;
        self.run_until(end);
        self.end_faults();
        self.run_until(end + 60_000);
        self.check_final_state();
        self.seen
    }

    pub(crate) fn mutant(&self, it: Mutant) -> bool {
        self.plan.mutant == Some(it)
    }

    pub(crate) fn report_violation(&mut self, what: &'static str) {
        *self.seen.violations.entry(what).or_default() += 1;
    }

    pub(crate) fn record_trace(&mut self, subject: &str, text: String) {
        self.trace.push((self.now, subject.to_owned(), text));
    }

    /// Prints the trace of a key, together with the faults.
    pub(crate) fn print_trace(&self, subject: &str) {
        for (at, about, text) in &self.trace {
            if about == subject || about == FAULT {
                println!("  {at} {about}: {text}");
            }
        }
    }

    pub(crate) fn after(&mut self, ms: u64, event: Event) {
        self.next += 1;
        self.queue.insert((self.now + ms, self.next), event);
    }

    /// Random message delay, mostly short, so that messages are reordered.
    pub(crate) fn delay(&mut self) -> u64 {
        if !self.faults_off && self.rng.random_bool(0.05) {
            return self.rng.random_range(20..900);
        }
        self.rng.random_range(1..4)
    }

    pub(crate) fn chance(&mut self, share: f64) -> bool {
        !self.faults_off && self.rng.random_bool(share)
    }

    fn run_until(&mut self, end: u64) {
        while let Some((&(at, number), _)) = self.queue.first_key_value() {
            if at > end {
                break;
            }
            let event = self.queue.remove(&(at, number)).expect("the first event");
            self.now = at;
            self.handle(event);
        }
        self.now = end;
    }

    fn handle(&mut self, event: Event) {
        if let Some(until) = self.pause_end(&event) {
            let late = self.rng.random_range(0..20);
            self.after(until - self.now + late, event);
            return;
        }
        match event {
            Event::Control { from, to, incarnation, message } => {
                if self.processes[to].up && self.processes[to].incarnation == incarnation {
                    self.control(from, to, message);
                }
            }
            Event::Tick(index) => self.tick(index),
            Event::Written { to, incarnation, write, stored } => {
                if self.processes[to].incarnation == incarnation {
                    self.written(to, &write, stored);
                }
            }
            Event::Job(job) => self.job(job),
            Event::Start(index) => self.start(index),
            Event::Kill(index) if !self.faults_off => self.kill_one(index),
            Event::Kill(_) => {}
            Event::Reconnect(index) => self.reconnect(index),
            Event::Fault => self.inject_fault(),
            Event::Traffic => self.traffic(),
        }
    }

    /// End of the pause of the process that handles the event, if it is paused.
    fn pause_end(&self, event: &Event) -> Option<u64> {
        let index = match event {
            Event::Control { to, .. } | Event::Written { to, .. } => *to,
            Event::Tick(index) => *index,
            Event::Job(job) => job.at()?,
            Event::Start(_)
            | Event::Kill(_)
            | Event::Reconnect(_)
            | Event::Fault
            | Event::Traffic => {
                return None;
            }
        };
        let until = self.processes[index].paused_until;
        (self.processes[index].up && until > self.now).then_some(until)
    }

    fn send(&mut self, from: usize, to: usize, message: Control) {
        let isolated = |it: &Process| it.isolated_until > self.now;
        if isolated(&self.processes[from]) || isolated(&self.processes[to]) || self.chance(0.03) {
            return;
        }
        let copies = if self.chance(0.05) { 2 } else { 1 };
        for _ in 0..copies {
            let delay = self.delay();
            let incarnation = self.processes[to].incarnation;
            let message = message.clone();
            self.after(delay, Event::Control { from, to, incarnation, message });
        }
    }

    fn tick(&mut self, index: usize) {
        self.after(TICK_MS, Event::Tick(index));
        if !self.processes[index].up {
            return;
        }
        let it = &mut self.processes[index];
        if self.now - it.last_tick > PAUSE_DETECTION_MS {
            // This process was paused, so missing heartbeats are no evidence.
            it.last_heartbeats.values_mut().for_each(|at| *at = self.now);
        }
        it.last_tick = self.now;
        let turn = (self.now / TICK_MS) * TICK_MS;
        if turn.is_multiple_of(HEARTBEAT_MS) {
            self.send_heartbeats(index);
        }
        if turn.is_multiple_of(COMPARE_MS) && !self.mutant(Mutant::SkipsSync) {
            let peers = if index < BALANCERS { ALL } else { BALANCERS };
            let peer = self.rng.random_range(0..peers);
            if peer != index {
                let digest = self.processes[index].view.digest(&Scope::All);
                self.send(index, peer, Control::Digest(Box::new(digest)));
            }
        }
        if index < BALANCERS {
            self.suspect(index);
            self.keep_lease(index);
            if self.processes[index].lease_client.last_held().is_some() {
                self.watch(index);
            }
        }
        self.apply(index);
    }

    fn send_heartbeats(&mut self, index: usize) {
        let own = self.processes[index].own.clone();
        for to in 0..BALANCERS {
            let home =
                index < BALANCERS || to == index % BALANCERS || to == (index + 1) % BALANCERS;
            if home && to != index {
                self.send(index, to, Control::Heartbeat(own.clone()));
            }
        }
    }

    /// Detects missing heartbeats at a balancer; as in the daemon, an agent is declared silent first and down much
    /// later.
    fn suspect(&mut self, index: usize) {
        let now = self.now;
        let it = &mut self.processes[index];
        for (&peer, &heard) in &it.last_heartbeats {
            let Some(member) = it.view.member(&name(peer)).filter(|it| !it.is_down()) else {
                continue;
            };
            let silent = matches!(&member.role, Role::Agent { agent, .. } if agent.state == AgentState::Silent);
            let (due, verdict) = match peer < BALANCERS {
                true => (now + BALANCER_GRACE_MS, Verdict::Down),
                false if silent => (now + SILENT_GRACE_MS, Verdict::Down),
                false => (now, Verdict::Silent),
            };
            if now - heard > HEARTBEAT_TIMEOUT_MS {
                it.failure_detector.suspect(&name(peer), member.version, due, verdict);
            }
        }
        let view = &it.view;
        let due = it
            .failure_detector
            .take_expired(now, true, |name| view.member(name).map(|it| it.version));
        let mut records = Vec::new();
        for ExpiredSuspect { name, verdict } in due {
            let Some(member) = view.member(&name).filter(|it| !it.is_down()) else {
                continue;
            };
            records.push(Record::Member(match verdict {
                Verdict::Silent => member.as_silent(now),
                Verdict::Down => member.as_down(now),
            }));
        }
        if !records.is_empty() {
            self.merge_records(index, &records, None, None);
        }
    }

    /// Handles a link closed by the peer: the peer is declared down after a grace period.
    pub(crate) fn link_closed(&mut self, index: usize, peer: usize) {
        let now = self.now;
        let it = &mut self.processes[index];
        let Some(member) = it.view.member(&name(peer)) else {
            return;
        };
        let version = member.version;
        it.failure_detector.suspect(&name(peer), version, now + AGENT_GRACE_MS, Verdict::Down);
    }

    /// Applies the platform's watch events or lists.
    fn watch(&mut self, index: usize) {
        if self.platform.down_until > self.now {
            return;
        }
        let revision = self.platform.revision;
        if self.now - self.processes[index].last_list >= LIST_MS {
            self.processes[index].last_list = self.now;
            let mut changed = Vec::new();
            for kind in Kind::CONFIG {
                let objects = self.platform.list(kind);
                changed.extend(self.processes[index].view.merge_list(kind, &objects, revision));
            }
            self.processes[index].view.confirm_revision(revision);
            self.broadcast(index, &changed, None);
            return;
        }
        let known = self.processes[index].view.revision();
        let mut events = self.platform.since(known);
        // The watch may skip or repeat events.
        if !events.is_empty() && self.chance(0.1) {
            let skipped = self.rng.random_range(0..events.len());
            events.remove(skipped);
            // The next list includes it.
            self.platform.disturbed_until = self.platform.disturbed_until.max(self.now + LIST_MS);
        }
        if self.chance(0.1) {
            events.extend(events.clone());
        }
        let mut changed_records = Vec::new();
        for record in events {
            if self.processes[index].view.merge(&record, self.now) {
                changed_records.push(record);
            }
        }
        if self.processes[index].view.advance_revision(revision) || !changed_records.is_empty() {
            self.broadcast(index, &changed_records, None);
        }
    }

    fn broadcast(&mut self, index: usize, records: &[Record], except: Option<usize>) {
        let mark = self.processes[index].view.watermark();
        for to in 0..ALL {
            let linked = index < BALANCERS || to < BALANCERS;
            if to != index && Some(to) != except && linked && self.processes[to].up {
                self.send(index, to, Control::Records(records.to_vec(), mark.clone()));
            }
        }
    }

    fn control(&mut self, from: usize, to: usize, message: Control) {
        let scope = Scope::All;
        match message {
            Control::Heartbeat(member) => {
                let now = self.now;
                self.processes[to].last_heartbeats.insert(from, now);
                self.processes[to].failure_detector.clear(member.name());
                self.merge_records(to, &[Record::Member(member)], None, Some(from));
            }
            Control::Records(records, mark) => self.merge_records(to, &records, mark, Some(from)),
            Control::Digest(digest) => {
                let summary = self.processes[to].view.summary(&scope, &digest);
                if !summary.buckets.is_empty() {
                    self.send(to, from, Control::Summary(summary));
                }
            }
            Control::Summary(summary) => {
                let found = self.processes[to].view.compare(&scope, &summary);
                let mark = self.processes[to].view.watermark();
                self.send(to, from, Control::Records(found.missing_at_peer, mark));
                if !found.deleted.is_empty() {
                    self.broadcast(to, &found.deleted, None);
                }
            }
        }
    }

    fn merge_records(
        &mut self,
        index: usize,
        records: &[Record],
        mark: Option<Watermark>,
        from: Option<usize>,
    ) {
        let now = self.now;
        let it = &mut self.processes[index];
        let mut changed_records = Vec::new();
        for record in records {
            if it.view.merge(record, now) {
                changed_records.push(record.clone());
            }
        }
        let outcome =
            mark.map_or(WatermarkOutcome::Unchanged, |mark| it.view.apply_watermark(&mark));
        if let (WatermarkOutcome::Differs, Some(from)) = (outcome, from) {
            if now - it.last_compare >= 500 && self.plan.mutant != Some(Mutant::SkipsSync) {
                it.last_compare = now;
                let digest = it.view.digest(&Scope::All);
                self.send(index, from, Control::Digest(Box::new(digest)));
            }
        }
        let it = &mut self.processes[index];
        // A newer announcement under this process's name means that it was declared down.
        let seen = it.view.member(&it.name).map(|it| it.version);
        if seen.is_some_and(|seen| seen > it.own.version) {
            it.own.version = seen.expect("checked").next();
            let record = Record::Member(it.own.clone());
            it.view.merge(&record, now);
            changed_records.push(record);
        }
        if !changed_records.is_empty() || outcome == WatermarkOutcome::Advanced {
            self.broadcast(index, &changed_records, from);
        }
        self.apply(index);
    }

    /// Applies the process's view to its snapshot and placer.
    fn apply(&mut self, index: usize) {
        let lower = self.mutant(Mutant::AcceptsLowerVersions) && self.chance(0.01);
        let it = &mut self.processes[index];
        if lower {
            std::mem::swap(&mut it.view, &mut it.stale);
        } else if self.plan.mutant == Some(Mutant::AcceptsLowerVersions)
            && self.now.is_multiple_of(7)
        {
            it.stale = it.view.clone();
        }
        // Errors are ignored: during an address swap one of the two services may conflict with the other.
        let (snapshot, _) = it.assembler.snapshot(&it.view);
        if snapshot == it.snapshot {
            return;
        }
        let mut reverted = false;
        for kind in Kind::CONFIG {
            for object in it.view.objects(kind) {
                let newest = it.versions.entry(format!("{kind}/{}", object.name)).or_default();
                reverted |= object.version < *newest;
                *newest = object.version.max(*newest);
            }
        }
        it.snapshot = snapshot;
        for (&id, service) in &it.snapshot.services {
            it.served_addresses.insert((service.spec.address, id));
        }
        if index < BALANCERS {
            let placer = Placer::new(&it.snapshot, it.placer.as_ref(), self.now);
            it.placer = Some(placer);
        }
        if reverted {
            self.report_violation("reverted");
        }
        if index >= BALANCERS {
            self.update_roster(index);
        }
    }

    fn keep_lease(&mut self, index: usize) {
        let now = self.now;
        let watches =
            |it: &Process| it.up && it.paused_until <= now && it.lease_client.last_held().is_some();
        if !self.processes[..BALANCERS].iter().any(watches) {
            // Both holders are down, so no process reads the platform until a lease has expired.
            self.platform.disturbed_until = self.platform.disturbed_until.max(now);
        }
        if self.processes[index].write_pending {
            return;
        }
        let mut attempt = None;
        if self.processes[index].lease_client.holds(now).is_some() {
            if self.rng.random_bool(0.1) {
                attempt = self.processes[index].lease_client.renew(now);
            }
        } else if self.platform.down_until <= now && self.rng.random_bool(0.3) {
            for (number, version, term) in self.platform.leases() {
                self.processes[index].lease_client.observe(now, number, version, term);
            }
            attempt = self.processes[index].lease_client.try_acquire(now, now);
        }
        if let Some(attempt) = attempt {
            self.processes[index].write_pending = true;
            let arrival = self.delay();
            self.write(index, Write::Lease(attempt), arrival);
        }
    }

    /// Sends a conditional write with a delay; its response may be lost.
    fn write(&mut self, index: usize, write: Write, delay: u64) {
        let late = if self.chance(0.1) { self.rng.random_range(0..15_000) } else { 0 };
        let at = self.now + delay + late;
        let incarnation = self.processes[index].incarnation;
        // A write takes effect when it arrives, even if its writer was paused or died after sending it.
        self.platform.pending.push((at, index, incarnation, write));
        self.after(delay + late, Event::Job(Job::Arrivals));
    }

    pub(crate) fn arrivals(&mut self) {
        let now = self.now;
        let (due, rest): (Vec<_>, Vec<_>) =
            self.platform.pending.drain(..).partition(|it| it.0 <= now);
        self.platform.pending = rest;
        for (_, index, incarnation, write) in due {
            let down = self.platform.down_until > now;
            let stored = (!down).then(|| self.platform.write(&write));
            if stored.as_ref().is_some_and(|it| it.0) && self.platform.is_by_former_holder(&write) {
                self.report_violation("former-holder-wrote");
            }
            let stored = if self.chance(0.15) { None } else { stored };
            let delay = self.delay();
            self.after(delay, Event::Written { to: index, incarnation, write, stored });
        }
    }

    fn written(&mut self, index: usize, write: &Write, stored: Option<(bool, Object)>) {
        let now = self.now;
        let it = &mut self.processes[index];
        it.write_pending = false;
        let Write::Lease(attempt) = write;
        match stored {
            Some((true, object)) => {
                it.lease_client.confirm_write(now, attempt, object.version);
            }
            Some((false, object)) => {
                let term = Platform::term(&object);
                it.lease_client.observe(now, attempt.number, object.version, term);
            }
            None if self.platform.down_until <= now => {
                for (number, version, term) in self.platform.leases() {
                    self.processes[index].lease_client.observe(now, number, version, term);
                }
            }
            None => {}
        }
        self.check_exclusive();
    }

    /// Checks that no two running processes hold the same lease.
    fn check_exclusive(&mut self) {
        let mut held = BTreeSet::new();
        let mut duplicates = 0;
        for it in self.processes.iter().filter(|it| it.up) {
            if let Some(number) = it.lease_client.holds(self.now) {
                duplicates += u64::from(!held.insert(number));
            }
        }
        for _ in 0..duplicates {
            self.report_violation("two-holders");
        }
    }

    fn start(&mut self, index: usize) {
        if self.processes[index].up {
            return;
        }
        let now = self.now;
        self.processes[index] = Process::new(index, now);
        self.record_trace(FAULT, format!("{} restarts", name(index)));
        self.reconnect(index);
        self.send_heartbeats(index);
    }

    /// Opens the links of a process; both sides compare their views.
    fn reconnect(&mut self, index: usize) {
        for peer in 0..ALL {
            let linked = index < BALANCERS || peer < BALANCERS;
            if peer == index || !linked || !self.processes[peer].up || !self.processes[index].up {
                continue;
            }
            for (from, to) in [(peer, index), (index, peer)] {
                let digest = self.processes[from].view.digest(&Scope::All);
                if !self.mutant(Mutant::SkipsSync) {
                    self.send(from, to, Control::Digest(Box::new(digest)));
                }
            }
        }
    }

    fn inject_fault(&mut self) {
        if self.faults_off {
            return;
        }
        let gap = self.rng.random_range(300..2_500);
        self.after(gap, Event::Fault);
        self.seen.faults += 1;
        let now = self.now;
        let kind = self.rng.random_range(0..11);
        match kind {
            0 | 1 => self.kill_some(),
            2 | 3 => {
                let index = self.rng.random_range(0..ALL);
                let longest = if self.rng.random_bool(0.3) { 14_000 } else { 3_000 };
                let pause = self.rng.random_range(100..longest);
                self.record_trace(FAULT, format!("{} is paused for {pause} ms", name(index)));
                self.processes[index].paused_until = now + pause;
                self.processes[index].disturbed_until =
                    self.processes[index].disturbed_until.max(now + pause);
            }
            4 => {
                let last = self.rng.random_range(500..15_000);
                self.platform.down_until = now + last;
                self.platform.disturbed_until = self.platform.disturbed_until.max(now + last);
            }
            5 | 6 => {
                let agent = self.rng.random_range(BALANCERS..ALL);
                self.platform.toggle_drain(&name(agent), now);
                self.seen.drains += 1;
            }
            10 => {
                let index = self.rng.random_range(0..ALL);
                let last = self.rng.random_range(1_000..9_000);
                self.record_trace(FAULT, format!("{} is isolated for {last} ms", name(index)));
                self.processes[index].isolated_until = now + last;
                self.after(last + 1, Event::Reconnect(index));
                self.processes[index].disturbed_until =
                    self.processes[index].disturbed_until.max(now + last);
            }
            7 => self.platform.swap_addresses(),
            8 => self.platform.rotate_keys(),
            _ => self.platform.set_weight(&name(self.rng.random_range(BALANCERS..ALL)), now),
        }
    }

    /// Kills a process. In half of the runs kills are rare, so that membership settles in between, but come in bursts.
    fn kill_some(&mut self) {
        const INTERVAL_MS: u64 = 8_000;
        const RARE_INTERVAL_MS: u64 = 55_000;
        let rare = !self.plan.seed.is_multiple_of(2);
        let interval = if rare { RARE_INTERVAL_MS } else { INTERVAL_MS };
        if self.now < self.last_kill + interval {
            return;
        }
        self.last_kill = self.now;
        let index = self.rng.random_range(0..ALL);
        self.kill_one(index);
        if !rare {
            return;
        }
        for further in 1..=3 {
            let after = further * self.rng.random_range(1_500..3_000);
            let index = self.rng.random_range(BALANCERS..ALL);
            self.after(after, Event::Kill(index));
        }
    }

    fn kill_one(&mut self, index: usize) {
        if !self.processes[index].up || self.processes[index].paused_until > self.now {
            return;
        }
        self.record_trace(FAULT, format!("{} is killed", name(index)));
        self.processes[index].up = false;
        self.processes[index].disturbed_until = self.now;
        self.break_links(index);
        for balancer in 0..BALANCERS {
            if balancer != index && self.processes[balancer].up && index >= BALANCERS {
                self.link_closed(balancer, index);
            }
        }
        let down = if self.rng.random_bool(0.5) { 300..1_500 } else { 6_000..9_000 };
        let down = self.rng.random_range(down);
        self.after(down, Event::Start(index));
    }

    fn end_faults(&mut self) {
        self.faults_off = true;
        let now = self.now;
        self.platform.down_until = now;
        for it in &mut self.processes {
            it.paused_until = it.paused_until.min(now);
            it.isolated_until = it.isolated_until.min(now);
        }
    }

    fn check_final_state(&mut self) {
        for index in 0..ALL {
            let view = &self.processes[index].view;
            let mut same = true;
            for kind in Kind::CONFIG {
                let held: Vec<(String, u64)> =
                    view.objects(kind).map(|it| (it.name.clone(), it.version)).collect();
                let stored: Vec<(String, u64)> =
                    self.platform.list(kind).into_iter().map(|it| (it.name, it.version)).collect();
                same &= held == stored;
            }
            let all_up = view.members().all(|it| !it.is_down()) && view.members().count() == ALL;
            if !same {
                self.report_violation("not-in-force");
            }
            if !all_up {
                self.report_violation("member-missing");
            }
        }
        self.check_requests();
    }
}
