//! A small fleet of decision state machines: balancers and agents with their views, leases, claims and requests, a
//! platform, and a network that delays, reorders, repeats and loses. Everything follows from one seed.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use camphorwinch_core::{
    assemble::Assembler,
    lease::Keeper,
    member::{Agent, AgentState, Balancer, BalancerState, Place},
    object::{Kind, Object, ServiceId},
    place::Placer,
    record::{Mark, Member, Record, Role, Version},
    snapshot::Snapshot,
    suspect::{
        AGENT_GRACE_MS, BALANCER_GRACE_MS, Finding, PAUSE_MS, SILENT_GRACE_MS, Suspects, Verdict,
    },
    view::{Adoption, BUCKETS, Scope, Summary, View},
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
const BEAT_MS: u64 = 1_000;
const SILENCE_MS: u64 = 3_000;
const COMPARE_MS: u64 = 5_000;
const LIST_MS: u64 = 10_000;
/// Time in which a leaving upstream may still get new work.
pub(crate) const DRAIN_LIMIT_MS: u64 = 8_000;

/// A fault built into a fake, so that a check can be seen to fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Mutant {
    /// A wrapper that sends again what was lost, as if it were proven not to have begun.
    SendsAgain,
    /// Answers "not run" for what is unknown.
    DeniesRuns,
    /// Runs requests without claiming their keys.
    SkipsClaims,
    /// Claims a key with itself alone.
    AsksNobody,
    /// Grants a key although an earlier claim may have been forgotten.
    TrustsForgetters,
    /// Does not notice that a member was started anew under its name.
    IgnoresRestarts,
    /// Starts requests although the agent drains.
    IgnoresDrain,
    /// A view that takes lower versions.
    TakesLower,
    /// Balancers that don't look at the service in a connection ID.
    IgnoresService,
    /// Balancers that place packets of established flows as new ones.
    ForgetsOwners,
    /// Processes that never compare what they hold.
    SkipsComparing,
    /// A platform that does not compare the versions of conditional writes.
    SkipsVersions,
}

/// What a run is made of.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Plan {
    pub(crate) seed: u64,
    pub(crate) span_ms: u64,
    pub(crate) mutant: Option<Mutant>,
}

/// What was seen from outside.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Seen {
    pub(crate) faults: u64,
    pub(crate) attempts: u64,
    pub(crate) whole: u64,
    pub(crate) unknown: u64,
    pub(crate) not_run: u64,
    pub(crate) packets: u64,
    pub(crate) placed: u64,
    pub(crate) drains: u64,
    /// Promises broken, by name.
    pub(crate) broken: BTreeMap<&'static str, u64>,
}

/// What is sent between processes about configuration and members.
#[derive(Clone, Debug)]
pub(crate) enum Control {
    Beat(Member),
    Records(Vec<Record>, Option<Mark>),
    Digest(Box<[u64; BUCKETS]>),
    Summary(Summary),
}

/// Something that happens at a time.
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
    /// Links that were cut are opened again.
    Relink(usize),
    Fault,
    Traffic,
}

pub(crate) struct Process {
    pub(crate) name: String,
    pub(crate) incarnation: u64,
    pub(crate) up: bool,
    pub(crate) frozen_until: u64,
    /// Until when nothing about configuration and members reaches the process or leaves it.
    cut_until: u64,
    /// Addresses with the services that had them here.
    pub(crate) had: BTreeSet<(SocketAddr, ServiceId)>,
    pub(crate) view: View,
    pub(crate) snapshot: Snapshot,
    pub(crate) placer: Option<Placer>,
    pub(crate) work: Work,
    pub(crate) keeper: Keeper,
    pub(crate) writing: bool,
    /// When the process was last killed or paused.
    pub(crate) disturbed: u64,
    assembler: Assembler,
    own: Member,
    suspects: Suspects,
    heard: BTreeMap<usize, u64>,
    versions: BTreeMap<String, u64>,
    stale: View,
    asked: u64,
    listed: u64,
    ticked: u64,
}

pub(crate) struct World {
    pub(crate) plan: Plan,
    pub(crate) rng: StdRng,
    pub(crate) now: u64,
    pub(crate) processes: Vec<Process>,
    pub(crate) platform: Platform,
    pub(crate) callers: BTreeMap<u64, Caller>,
    pub(crate) flows: Vec<Flow>,
    pub(crate) seen: Seen,
    /// Runs of requests at upstreams: key, time and request, in order.
    pub(crate) journal: Vec<(String, u64, u128)>,
    pub(crate) calm: bool,
    /// What happened under a key, and to whom faults happened.
    story: Vec<(u64, String, String)>,
    queue: BTreeMap<(u64, u64), Event>,
    next: u64,
    killed: u64,
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
        Role::Agent { agent, homes: vec![name(index % BALANCERS)] }
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
            frozen_until: 0,
            cut_until: 0,
            had: BTreeSet::new(),
            view,
            snapshot: Snapshot::default(),
            placer: None,
            work: Work::new(now),
            keeper: Keeper::new(&name(index)),
            writing: false,
            disturbed: now,
            assembler: Assembler::new(),
            own,
            suspects: Suspects::new(),
            heard: BTreeMap::new(),
            versions: BTreeMap::new(),
            stale: View::new(),
            asked: 0,
            listed: 0,
            ticked: now,
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
            platform: Platform::new(plan.mutant != Some(Mutant::SkipsVersions)),
            callers: BTreeMap::new(),
            flows: Vec::new(),
            seen: Seen::default(),
            journal: Vec::new(),
            calm: true,
            story: Vec::new(),
            queue: BTreeMap::new(),
            next: 0,
            killed: 0,
        };
        world.platform.seed_objects();
        for index in 0..ALL {
            let at = world.rng.random_range(1..TICK_MS);
            world.after(at, Event::Tick(index));
        }
        world
    }

    /// Runs calm, then with faults, then calm again, and judges.
    pub(crate) fn run(mut self) -> Seen {
        self.until(20_000);
        self.calm = false;
        self.after(1, Event::Fault);
        self.after(1, Event::Traffic);
        let end = self.now + self.plan.span_ms;
        self.until(end);
        self.heal();
        self.until(end + 60_000);
        self.judge();
        self.seen
    }

    pub(crate) fn mutant(&self, it: Mutant) -> bool {
        self.plan.mutant == Some(it)
    }

    pub(crate) fn broke(&mut self, what: &'static str) {
        *self.seen.broken.entry(what).or_default() += 1;
    }

    pub(crate) fn note(&mut self, subject: &str, text: String) {
        self.story.push((self.now, subject.to_owned(), text));
    }

    /// Prints what happened under a key, among the faults.
    pub(crate) fn tell_story(&self, subject: &str) {
        for (at, about, text) in &self.story {
            if about == subject || about == FAULT {
                println!("  {at} {about}: {text}");
            }
        }
    }

    pub(crate) fn after(&mut self, ms: u64, event: Event) {
        self.next += 1;
        self.queue.insert((self.now + ms, self.next), event);
    }

    /// Time that a message takes: short, seldom long, so that messages overtake one another.
    pub(crate) fn delay(&mut self) -> u64 {
        if !self.calm && self.rng.random_bool(0.05) {
            return self.rng.random_range(20..900);
        }
        self.rng.random_range(1..4)
    }

    pub(crate) fn chance(&mut self, share: f64) -> bool {
        !self.calm && self.rng.random_bool(share)
    }

    fn until(&mut self, end: u64) {
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
        if let Some(until) = self.sleeps(&event) {
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
            Event::Kill(index) if !self.calm => self.kill_one(index),
            Event::Kill(_) => {}
            Event::Relink(index) => self.relink(index),
            Event::Fault => self.fault(),
            Event::Traffic => self.traffic(),
        }
    }

    /// Until when the process that an event is for is paused.
    fn sleeps(&self, event: &Event) -> Option<u64> {
        let index = match event {
            Event::Control { to, .. } | Event::Written { to, .. } => *to,
            Event::Tick(index) => *index,
            Event::Job(job) => job.at()?,
            Event::Start(_) | Event::Kill(_) | Event::Relink(_) | Event::Fault | Event::Traffic => {
                return None;
            }
        };
        let until = self.processes[index].frozen_until;
        (self.processes[index].up && until > self.now).then_some(until)
    }

    fn send(&mut self, from: usize, to: usize, message: Control) {
        let cut = |it: &Process| it.cut_until > self.now;
        if cut(&self.processes[from]) || cut(&self.processes[to]) || self.chance(0.03) {
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
        if self.now - it.ticked > PAUSE_MS {
            // It was this process that did not listen.
            it.heard.values_mut().for_each(|at| *at = self.now);
        }
        it.ticked = self.now;
        let turn = (self.now / TICK_MS) * TICK_MS;
        if turn.is_multiple_of(BEAT_MS) {
            self.beat(index);
        }
        if turn.is_multiple_of(COMPARE_MS) && !self.mutant(Mutant::SkipsComparing) {
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
            if self.processes[index].keeper.last().is_some() {
                self.watch(index);
            }
        }
        self.apply(index);
    }

    fn beat(&mut self, index: usize) {
        let own = self.processes[index].own.clone();
        for to in 0..BALANCERS {
            let home =
                index < BALANCERS || to == index % BALANCERS || to == (index + 1) % BALANCERS;
            if home && to != index {
                self.send(index, to, Control::Beat(own.clone()));
            }
        }
    }

    /// What a balancer concludes from silence: as the daemon does, an agent counts as silent first and dead much later.
    fn suspect(&mut self, index: usize) {
        let now = self.now;
        let it = &mut self.processes[index];
        for (&peer, &heard) in &it.heard {
            let Some(member) = it.view.member(&name(peer)).filter(|it| !it.is_down()) else {
                continue;
            };
            let silent = matches!(&member.role, Role::Agent { agent, .. } if agent.state == AgentState::Silent);
            let (due, verdict) = match peer < BALANCERS {
                true => (now + BALANCER_GRACE_MS, Verdict::Dead),
                false if silent => (now + SILENT_GRACE_MS, Verdict::Dead),
                false => (now, Verdict::Silent),
            };
            if now - heard > SILENCE_MS {
                it.suspects.suspect(&name(peer), member.version, due, verdict);
            }
        }
        let view = &it.view;
        let due = it.suspects.due(now, true, |name| view.member(name).map(|it| it.version));
        let mut records = Vec::new();
        for Finding { name, verdict } in due {
            let Some(member) = view.member(&name).filter(|it| !it.is_down()) else {
                continue;
            };
            records.push(Record::Member(match verdict {
                Verdict::Silent => member.silent(now),
                Verdict::Dead => member.down(now),
            }));
        }
        if !records.is_empty() {
            self.take(index, &records, None, None);
        }
    }

    /// A process that is alive sees that the other end closed its link, and says so after a grace period.
    pub(crate) fn closed(&mut self, index: usize, peer: usize) {
        let now = self.now;
        let it = &mut self.processes[index];
        let Some(member) = it.view.member(&name(peer)) else {
            return;
        };
        let version = member.version;
        it.suspects.suspect(&name(peer), version, now + AGENT_GRACE_MS, Verdict::Dead);
    }

    /// Takes in what the platform's watch or list says.
    fn watch(&mut self, index: usize) {
        if self.platform.down_until > self.now {
            return;
        }
        let revision = self.platform.revision;
        if self.now - self.processes[index].listed >= LIST_MS {
            self.processes[index].listed = self.now;
            let mut changed = Vec::new();
            for kind in Kind::CONFIG {
                let objects = self.platform.list(kind);
                changed.extend(self.processes[index].view.take_list(kind, &objects, revision));
            }
            self.processes[index].view.confirm(revision);
            self.flood(index, &changed, None);
            return;
        }
        let known = self.processes[index].view.revision();
        let mut events = self.platform.since(known);
        // A watch that skips, and one that repeats.
        if !events.is_empty() && self.chance(0.1) {
            let skipped = self.rng.random_range(0..events.len());
            events.remove(skipped);
            // The next list finds it.
            self.platform.disturbed = self.platform.disturbed.max(self.now + LIST_MS);
        }
        if self.chance(0.1) {
            events.extend(events.clone());
        }
        let mut news = Vec::new();
        for record in events {
            if self.processes[index].view.merge(&record, self.now) {
                news.push(record);
            }
        }
        if self.processes[index].view.advance(revision) || !news.is_empty() {
            self.flood(index, &news, None);
        }
    }

    fn flood(&mut self, index: usize, records: &[Record], except: Option<usize>) {
        let mark = self.processes[index].view.mark();
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
            Control::Beat(member) => {
                let now = self.now;
                self.processes[to].heard.insert(from, now);
                self.processes[to].suspects.clear(member.name());
                self.take(to, &[Record::Member(member)], None, Some(from));
            }
            Control::Records(records, mark) => self.take(to, &records, mark, Some(from)),
            Control::Digest(digest) => {
                let summary = self.processes[to].view.summary(&scope, &digest);
                if !summary.buckets.is_empty() {
                    self.send(to, from, Control::Summary(summary));
                }
            }
            Control::Summary(summary) => {
                let found = self.processes[to].view.compare(&scope, &summary);
                let mark = self.processes[to].view.mark();
                self.send(to, from, Control::Records(found.lacking, mark));
                if !found.deleted.is_empty() {
                    self.flood(to, &found.deleted, None);
                }
            }
        }
    }

    fn take(&mut self, index: usize, records: &[Record], mark: Option<Mark>, from: Option<usize>) {
        let now = self.now;
        let it = &mut self.processes[index];
        let mut news = Vec::new();
        for record in records {
            if it.view.merge(record, now) {
                news.push(record.clone());
            }
        }
        let adoption = mark.map_or(Adoption::Known, |mark| it.view.adopt(&mark));
        if let (Adoption::Differs, Some(from)) = (adoption, from) {
            if now - it.asked >= 500 && self.plan.mutant != Some(Mutant::SkipsComparing) {
                it.asked = now;
                let digest = it.view.digest(&Scope::All);
                self.send(index, from, Control::Digest(Box::new(digest)));
            }
        }
        let it = &mut self.processes[index];
        // Another announcement under the own name: it was taken for dead.
        let seen = it.view.member(&it.name).map(|it| it.version);
        if seen.is_some_and(|seen| seen > it.own.version) {
            it.own.version = seen.expect("checked").next();
            let record = Record::Member(it.own.clone());
            it.view.merge(&record, now);
            news.push(record);
        }
        if !news.is_empty() || adoption == Adoption::Taken {
            self.flood(index, &news, from);
        }
        self.apply(index);
    }

    /// Puts in force what the process knows.
    fn apply(&mut self, index: usize) {
        let lower = self.mutant(Mutant::TakesLower) && self.chance(0.01);
        let it = &mut self.processes[index];
        if lower {
            std::mem::swap(&mut it.view, &mut it.stale);
        } else if self.plan.mutant == Some(Mutant::TakesLower) && self.now.is_multiple_of(7) {
            it.stale = it.view.clone();
        }
        // While only one of two services that exchange addresses is known, the other is left out: a fault is no surprise.
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
            it.had.insert((service.spec.address, id));
        }
        if index < BALANCERS {
            let placer = Placer::new(&it.snapshot, it.placer.as_ref(), self.now);
            it.placer = Some(placer);
        }
        if reverted {
            self.broke("reverted");
        }
        if index >= BALANCERS {
            self.update_roster(index);
        }
    }

    fn keep_lease(&mut self, index: usize) {
        let now = self.now;
        let watches = |it: &Process| it.up && it.frozen_until <= now && it.keeper.last().is_some();
        if !self.processes[..BALANCERS].iter().any(watches) {
            // Both holders of this only zone were lost: until a lease has expired nobody reads the platform.
            self.platform.disturbed = self.platform.disturbed.max(now);
        }
        if self.processes[index].writing {
            return;
        }
        let mut attempt = None;
        if self.processes[index].keeper.holds(now).is_some() {
            if self.rng.random_bool(0.1) {
                attempt = self.processes[index].keeper.renew(now);
            }
        } else if self.platform.down_until <= now && self.rng.random_bool(0.3) {
            for (number, version, term) in self.platform.leases() {
                self.processes[index].keeper.observe(now, number, version, term);
            }
            attempt = self.processes[index].keeper.take(now, now);
        }
        if let Some(attempt) = attempt {
            self.processes[index].writing = true;
            let arrival = self.delay();
            self.write(index, Write::Lease(attempt), arrival);
        }
    }

    /// Carries out a conditional write after a delay; its answer may be lost.
    fn write(&mut self, index: usize, write: Write, delay: u64) {
        let late = if self.chance(0.1) { self.rng.random_range(0..15_000) } else { 0 };
        let at = self.now + delay + late;
        let incarnation = self.processes[index].incarnation;
        // The write takes effect when it arrives; what a paused or dead writer had sent before still does.
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
            if stored.as_ref().is_some_and(|it| it.0) && self.platform.regained(&write) {
                self.broke("former-holder-wrote");
            }
            let stored = if self.chance(0.15) { None } else { stored };
            let delay = self.delay();
            self.after(delay, Event::Written { to: index, incarnation, write, stored });
        }
    }

    fn written(&mut self, index: usize, write: &Write, stored: Option<(bool, Object)>) {
        let now = self.now;
        let it = &mut self.processes[index];
        it.writing = false;
        let Write::Lease(attempt) = write;
        match stored {
            Some((true, object)) => {
                it.keeper.written(now, attempt, object.version);
            }
            Some((false, object)) => {
                let term = Platform::term(&object);
                it.keeper.observe(now, attempt.number, object.version, term);
            }
            None if self.platform.down_until <= now => {
                for (number, version, term) in self.platform.leases() {
                    self.processes[index].keeper.observe(now, number, version, term);
                }
            }
            None => {}
        }
        self.exclusive();
    }

    /// No two processes that run count one lease as held.
    fn exclusive(&mut self) {
        let mut held = BTreeSet::new();
        let mut twice = 0;
        for it in self.processes.iter().filter(|it| it.up) {
            if let Some(number) = it.keeper.holds(self.now) {
                twice += u64::from(!held.insert(number));
            }
        }
        for _ in 0..twice {
            self.broke("two-holders");
        }
    }

    fn start(&mut self, index: usize) {
        if self.processes[index].up {
            return;
        }
        let now = self.now;
        self.processes[index] = Process::new(index, now);
        self.note(FAULT, format!("{} starts again", name(index)));
        self.relink(index);
        self.beat(index);
    }

    /// Processes compare when a link between them opens.
    fn relink(&mut self, index: usize) {
        for peer in 0..ALL {
            let linked = index < BALANCERS || peer < BALANCERS;
            if peer == index || !linked || !self.processes[peer].up || !self.processes[index].up {
                continue;
            }
            for (from, to) in [(peer, index), (index, peer)] {
                let digest = self.processes[from].view.digest(&Scope::All);
                if !self.mutant(Mutant::SkipsComparing) {
                    self.send(from, to, Control::Digest(Box::new(digest)));
                }
            }
        }
    }

    fn fault(&mut self) {
        if self.calm {
            return;
        }
        let gap = self.rng.random_range(300..2_500);
        self.after(gap, Event::Fault);
        self.seen.faults += 1;
        let now = self.now;
        let kind = self.rng.random_range(0..11);
        match kind {
            0 | 1 => self.kill(),
            2 | 3 => {
                let index = self.rng.random_range(0..ALL);
                let longest = if self.rng.random_bool(0.3) { 14_000 } else { 3_000 };
                let pause = self.rng.random_range(100..longest);
                self.note(FAULT, format!("{} is paused for {pause} ms", name(index)));
                self.processes[index].frozen_until = now + pause;
                self.processes[index].disturbed = self.processes[index].disturbed.max(now + pause);
            }
            4 => {
                let last = self.rng.random_range(500..15_000);
                self.platform.down_until = now + last;
                self.platform.disturbed = self.platform.disturbed.max(now + last);
            }
            5 | 6 => {
                let agent = self.rng.random_range(BALANCERS..ALL);
                self.platform.toggle_drain(&name(agent), now);
                self.seen.drains += 1;
            }
            10 => {
                let index = self.rng.random_range(0..ALL);
                let last = self.rng.random_range(1_000..9_000);
                self.note(FAULT, format!("{} is cut off for {last} ms", name(index)));
                self.processes[index].cut_until = now + last;
                self.after(last + 1, Event::Relink(index));
                self.processes[index].disturbed = self.processes[index].disturbed.max(now + last);
            }
            7 => self.platform.swap_addresses(),
            8 => self.platform.rotate_keys(),
            _ => self.platform.weight(&name(self.rng.random_range(BALANCERS..ALL)), now),
        }
    }

    /// Kills one process. In half of the runs seldom, so that the members count as settled in between, but then several
    /// in a row.
    fn kill(&mut self) {
        const APART_MS: u64 = 8_000;
        const SELDOM_MS: u64 = 55_000;
        let seldom = !self.plan.seed.is_multiple_of(2);
        let apart = if seldom { SELDOM_MS } else { APART_MS };
        if self.now < self.killed + apart {
            return;
        }
        self.killed = self.now;
        let index = self.rng.random_range(0..ALL);
        self.kill_one(index);
        if !seldom {
            return;
        }
        for further in 1..=3 {
            let after = further * self.rng.random_range(1_500..3_000);
            let index = self.rng.random_range(BALANCERS..ALL);
            self.after(after, Event::Kill(index));
        }
    }

    fn kill_one(&mut self, index: usize) {
        if !self.processes[index].up || self.processes[index].frozen_until > self.now {
            return;
        }
        self.note(FAULT, format!("{} is killed", name(index)));
        self.processes[index].up = false;
        self.processes[index].disturbed = self.now;
        self.broken_links(index);
        for balancer in 0..BALANCERS {
            if balancer != index && self.processes[balancer].up && index >= BALANCERS {
                self.closed(balancer, index);
            }
        }
        let down = if self.rng.random_bool(0.5) { 300..1_500 } else { 6_000..9_000 };
        let down = self.rng.random_range(down);
        self.after(down, Event::Start(index));
    }

    fn heal(&mut self) {
        self.calm = true;
        let now = self.now;
        self.platform.down_until = now;
        for it in &mut self.processes {
            it.frozen_until = it.frozen_until.min(now);
            it.cut_until = it.cut_until.min(now);
        }
    }

    fn judge(&mut self) {
        for index in 0..ALL {
            let view = &self.processes[index].view;
            let mut same = true;
            for kind in Kind::CONFIG {
                let held: Vec<(String, u64)> =
                    view.objects(kind).map(|it| (it.name.clone(), it.version)).collect();
                let truth: Vec<(String, u64)> =
                    self.platform.list(kind).into_iter().map(|it| (it.name, it.version)).collect();
                same &= held == truth;
            }
            let all_up = view.members().all(|it| !it.is_down()) && view.members().count() == ALL;
            if !same {
                self.broke("not-in-force");
            }
            if !all_up {
                self.broke("member-missing");
            }
        }
        self.judge_requests();
    }
}
