//! Requests: claims on their keys, the course at one agent or several, the upstreams and the callers.

use std::collections::{BTreeMap, BTreeSet};

use camphorwinch_core::{
    budget::Budget,
    dispatch::{Dispatch, Outcome, Report, Request, Step, View},
    gate::Gate,
    object::Policy,
    peers::{Hints, Peer},
};
use rand::Rng;

use super::{
    keys::{Call, Claiming, Keys, WINDOW_MS},
    world::{AGENTS, ALL, BALANCERS, Event, Mutant, World, name},
};

const SLOTS: u32 = 3;
const OFFER_MS: u64 = 500;
const GO_MS: u64 = 2_000;
const CALLER_WAIT_MS: u64 = 4_000;
const MOST_ATTEMPTS: usize = 5;

/// What a caller was told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Told {
    /// The answer to this request.
    Whole(u128),
    NotRun,
    Unknown,
    Nothing,
}

#[derive(Clone, Debug)]
pub(crate) struct Caller {
    key: Option<String>,
    since: u64,
    idempotent: bool,
    attempts: Vec<(u128, Option<Told>)>,
}

#[derive(Clone, Debug)]
pub(crate) struct Ask {
    pub(crate) caller: u64,
    pub(crate) request: u128,
    pub(crate) key: Option<String>,
    idempotent: bool,
    hop: u8,
}

/// The other side of a link between agents.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Back {
    pub(crate) agent: usize,
    pub(crate) incarnation: u64,
    course: u64,
    turn: u64,
}

/// What agents say to each other about a request handed over.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Word {
    Taken(Back),
    Refused(u64),
    Head(u128),
    Lost,
    Broken,
}

#[derive(Clone, Debug)]
pub(crate) enum Job {
    Arrivals,
    Call(Call),
    Ask { agent: usize, incarnation: u64, ask: Ask },
    Slot { at: Back },
    Late { at: Back, report: Report },
    Offer { at: usize, back: Back, ask: Ask },
    Peer { at: Back, word: Word },
    Go { at: Back, back: Back },
    Upstream { at: Back, ask: Ask },
    Ended { at: Back, report: Report, ran: u128 },
    Reply { caller: u64, request: u128, told: Told },
    Again { caller: u64 },
}

impl Job {
    /// The process that the job needs to run, unless it is none.
    pub(crate) fn at(&self) -> Option<usize> {
        match self {
            Job::Arrivals | Job::Upstream { .. } | Job::Reply { .. } | Job::Again { .. } => None,
            Job::Call(call) => Some(call.at()),
            Job::Ask { agent, .. } => Some(*agent),
            Job::Offer { at, .. } => Some(*at),
            Job::Slot { at }
            | Job::Late { at, .. }
            | Job::Peer { at, .. }
            | Job::Go { at, .. }
            | Job::Ended { at, .. } => Some(at.agent),
        }
    }
}

#[derive(Clone, Copy, Debug)]
enum Stage {
    New,
    Taking,
    /// Waits for the word of the agent that handed the request over; then it runs here, or at a further peer.
    Ready(Option<(usize, Back)>),
    Running,
    Offered {
        to: usize,
        going: bool,
    },
}

#[derive(Clone, Debug)]
pub(crate) struct Course {
    pub(crate) ask: Ask,
    pub(crate) claiming: Claiming,
    origin: Option<Back>,
    pub(crate) dispatch: Dispatch,
    stage: Stage,
    turn: u64,
    slot: bool,
    taken: bool,
}

pub(crate) struct Work {
    pub(crate) busy: u32,
    pub(crate) keys: Keys,
    courses: BTreeMap<u64, Course>,
    gate: Gate,
    budget: Budget,
    hints: Hints,
    next: u64,
}

impl Course {
    /// Whether its first step is still to be decided.
    pub(crate) fn is_new(&self) -> bool {
        matches!(self.stage, Stage::New)
    }
}

impl Work {
    pub(crate) fn new(now: u64) -> Work {
        Work {
            busy: 0,
            keys: Keys::default(),
            courses: BTreeMap::new(),
            gate: Gate::new(),
            budget: Budget::new(0.1, now),
            hints: Hints::new(),
            next: 0,
        }
    }
}

fn index_of(name: &str) -> usize {
    name[1..].parse().expect("names end in the index")
}

impl World {
    pub(crate) fn job_after(&mut self, job: Job) {
        let delay = self.delay();
        self.after(delay, Event::Job(job));
    }

    pub(crate) fn is_there(&self, at: Back) -> bool {
        let it = &self.processes[at.agent];
        it.up
            && it.incarnation == at.incarnation
            && it.work.courses.get(&at.course).is_some_and(|it| it.turn == at.turn)
    }

    pub(crate) fn course(&mut self, at: Back) -> &mut Course {
        self.processes[at.agent].work.courses.get_mut(&at.course).expect("checked to be there")
    }

    /// The course as it is addressed now: earlier replies and timers no longer reach it.
    fn turn(&mut self, mut at: Back, stage: Stage) -> Back {
        let course = self.course(at);
        course.turn += 1;
        course.stage = stage;
        at.turn = course.turn;
        at
    }

    pub(crate) fn traffic(&mut self) {
        if self.calm {
            return;
        }
        let gap = self.rng.random_range(5..50);
        self.after(gap, Event::Traffic);
        for _ in 0..4 {
            self.packet();
        }
        self.stray();
        let caller = self.callers.len() as u64;
        let idempotent = self.rng.random_bool(0.2);
        let keyed = !idempotent && self.rng.random_bool(0.8);
        let key = keyed.then(|| format!("key-{caller}"));
        let since = self.now;
        self.callers.insert(caller, Caller { key, since, idempotent, attempts: Vec::new() });
        self.ask(caller);
        if keyed && self.rng.random_bool(0.2) {
            self.ask(caller);
        }
    }

    fn ask(&mut self, caller: u64) {
        // With time to spare before the key is forgotten: an agent may be paused before it gets the request.
        let it = &self.callers[&caller];
        if it.attempts.len() >= MOST_ATTEMPTS || self.now - it.since > WINDOW_MS / 2 {
            return;
        }
        let held = if self.rng.random_bool(0.4) { self.held_flow() } else { None };
        let Some(agent) = held.or_else(|| self.open_flow()) else {
            return self.again(caller);
        };
        self.seen.attempts += 1;
        let it = self.callers.get_mut(&caller).expect("the caller is known");
        let request = u128::from(caller) << 8 | it.attempts.len() as u128;
        it.attempts.push((request, None));
        let key = it.key.clone();
        let ask = Ask { caller, request, key, idempotent: it.idempotent, hop: 0 };
        let incarnation = self.processes[agent].incarnation;
        self.job_after(Job::Ask { agent, incarnation, ask });
        let told = Told::Nothing;
        self.after(CALLER_WAIT_MS, Event::Job(Job::Reply { caller, request, told }));
    }

    fn again(&mut self, caller: u64) {
        let late = self.rng.random_range(50..20_000);
        self.after(late, Event::Job(Job::Again { caller }));
    }

    fn reply(&mut self, caller: u64, request: u128, told: Told) {
        let it = self.callers.get_mut(&caller).expect("the caller is known");
        let Some(attempt) = it.attempts.iter_mut().find(|it| it.0 == request) else {
            return;
        };
        if attempt.1.is_some() {
            return;
        }
        attempt.1 = Some(told);
        let keyless = !it.idempotent && it.key.is_none();
        match told {
            Told::Whole(ran) => {
                self.seen.whole += 1;
                if (ran >> 8) as u64 != caller {
                    self.broke("crossed-answer");
                }
                return;
            }
            Told::NotRun => self.seen.not_run += 1,
            Told::Unknown | Told::Nothing => self.seen.unknown += 1,
        }
        // Without a key only a request that has not run is safe to send again.
        if told == Told::NotRun || !keyless {
            self.again(caller);
        }
    }

    pub(crate) fn job(&mut self, job: Job) {
        match job {
            Job::Arrivals => self.arrivals(),
            Job::Call(call) => self.call(call),
            Job::Ask { agent, incarnation, ask } => {
                let it = &self.processes[agent];
                if it.up && it.incarnation == incarnation {
                    self.accept(agent, ask, None);
                }
            }
            Job::Slot { at } => self.slot(at),
            Job::Late { at, report } => {
                if self.is_there(at) {
                    self.late(at, report);
                }
            }
            Job::Offer { at, back, ask } => self.offered(at, back, ask),
            Job::Peer { at, word } => self.peer(at, word),
            Job::Go { at, back } => self.go(at, back),
            Job::Upstream { at, ask } => self.upstream(at, &ask),
            Job::Ended { at, report, ran } => self.ended(at, report, ran),
            Job::Reply { caller, request, told } => self.reply(caller, request, told),
            Job::Again { caller } => self.ask(caller),
        }
    }

    /// A request arrives at an agent, from a caller or from another agent.
    fn accept(&mut self, agent: usize, ask: Ask, origin: Option<Back>) {
        let request = Request { idempotent: ask.idempotent, hop: ask.hop, deadline: None };
        let keyed = ask.key.is_some() && origin.is_none();
        let course = Course {
            ask,
            claiming: Claiming::default(),
            origin,
            dispatch: Dispatch::new(request),
            stage: Stage::New,
            turn: 0,
            slot: false,
            taken: false,
        };
        let it = &mut self.processes[agent];
        it.work.next += 1;
        let at = Back { agent, incarnation: it.incarnation, course: it.work.next, turn: 0 };
        it.work.courses.insert(at.course, course);
        if keyed && !self.mutant(Mutant::SkipsClaims) {
            self.claim(at);
        } else {
            self.decide(at, None);
        }
    }

    pub(crate) fn decide(&mut self, at: Back, report: Option<Report>) {
        let now = self.now;
        let draining = self.drains(at.agent);
        let ignores = self.mutant(Mutant::IgnoresDrain);
        let seed = self.rng.random();
        let it = &mut self.processes[at.agent];
        let local = ignores || (!draining && it.work.gate.is_open(now));
        let candidates = it
            .snapshot
            .candidates(camphorwinch_core::object::ServiceId::new(super::world::SERVICE));
        let peers: Vec<Peer<'_>> = candidates
            .iter()
            .filter(|agent| agent.name != it.name)
            .map(|agent| Peer { name: &agent.name, near: true, weight: agent.weight })
            .collect();
        let drawn = it.work.hints.draw(&peers, Policy::Steady, seed, now);
        let Work { budget, courses, .. } = &mut it.work;
        let course = courses.get_mut(&at.course).expect("checked to be there");
        let mut view = View { now, local, peers: &drawn, budget, policy: Policy::Steady };
        let step = match report {
            None => course.dispatch.start(&mut view),
            Some(report) => course.dispatch.next(report, &mut view),
        };
        if report != Some(Report::Slot) && course.slot {
            course.slot = false;
            it.work.busy -= 1;
        }
        self.carry(at, step);
    }

    fn carry(&mut self, at: Back, step: Step) {
        match step {
            Step::Take { wait_ms } => {
                let at = self.turn(at, Stage::Taking);
                if self.processes[at.agent].work.busy < SLOTS {
                    return self.slot(at);
                }
                self.after(wait_ms.max(1), Event::Job(Job::Slot { at }));
            }
            Step::Run => self.run_here(at),
            Step::Offer { to } => self.offer(at, index_of(&to)),
            Step::Answer(outcome) => self.answer(at, outcome, 0),
        }
    }

    fn slot(&mut self, at: Back) {
        if !self.is_there(at) {
            return;
        }
        let work = &mut self.processes[at.agent].work;
        if work.busy >= SLOTS {
            return self.decide(at, Some(Report::Full));
        }
        work.busy += 1;
        self.course(at).slot = true;
        self.decide(at, Some(Report::Slot));
    }

    fn run_here(&mut self, at: Back) {
        let now = self.now;
        if !self.processes[at.agent].work.gate.pass(now) {
            return self.decide(at, Some(Report::Refused { retry_ms: 0 }));
        }
        if !self.ready(at, None) {
            self.begin(at);
        }
    }

    /// Tells the agent that handed the request over that it may begin now; false if there is no need.
    fn ready(&mut self, at: Back, next: Option<(usize, Back)>) -> bool {
        let course = self.course(at);
        let Some(origin) = course.origin.filter(|_| !course.taken) else {
            return false;
        };
        course.taken = true;
        let at = match next {
            // The peer's word must still find the course.
            Some(_) => {
                course.stage = Stage::Ready(next);
                at
            }
            None => self.turn(at, Stage::Ready(None)),
        };
        self.job_after(Job::Peer { at: origin, word: Word::Taken(at) });
        self.after(GO_MS, Event::Job(Job::Late { at, report: Report::Cancelled }));
        true
    }

    fn begin(&mut self, at: Back) {
        self.check_drained(at.agent);
        let at = self.turn(at, Stage::Running);
        let ask = self.course(at).ask.clone();
        self.job_after(Job::Upstream { at, ask });
    }

    /// The upstream gets a request. It goes on whatever becomes of the agent.
    fn upstream(&mut self, at: Back, ask: &Ask) {
        let fate = if self.calm { 100 } else { self.rng.random_range(0..100) };
        let ran = ask.request;
        let (report, delay) = match fate {
            0..8 => (Report::Refused { retry_ms: 0 }, 1),
            8..10 => (Report::Consumed { retry_ms: 0 }, 1),
            10..12 => (Report::Lost, 1),
            12..16 => (Report::Lost, 30),
            16..20 => (Report::Head, 3_500),
            _ => (Report::Head, self.rng.random_range(3..60)),
        };
        if fate >= 12 && !ask.idempotent {
            let key = ask.key.clone().unwrap_or_else(|| format!("caller-{}", ask.caller));
            let text = format!("{ran:x} runs at {}, {report:?} after {delay} ms", name(at.agent));
            self.note(&key, text);
            self.journal.push((key, self.now, ran));
        }
        self.after(delay, Event::Job(Job::Ended { at, report, ran }));
    }

    fn ended(&mut self, at: Back, report: Report, ran: u128) {
        if !self.is_there(at) {
            return;
        }
        let now = self.now;
        let gate = &mut self.processes[at.agent].work.gate;
        match report {
            Report::Head => gate.taken(),
            _ => gate.refused(now),
        }
        self.report(at, report, ran);
    }

    /// A report goes to the decisions; a wrapper may have changed it.
    fn report(&mut self, at: Back, report: Report, ran: u128) {
        let report = match report {
            Report::Lost if self.mutant(Mutant::SendsAgain) => Report::Refused { retry_ms: 0 },
            it => it,
        };
        if report == Report::Head {
            let taken = self.head(at);
            assert!(taken, "the answer's head was refused");
            return self.answer(at, Outcome::Relay, ran);
        }
        self.decide(at, Some(report));
    }

    fn head(&mut self, at: Back) -> bool {
        let now = self.now;
        let Work { budget, courses, .. } = &mut self.processes[at.agent].work;
        let course = courses.get_mut(&at.course).expect("checked to be there");
        let mut view = View { now, local: true, peers: &[], budget, policy: Policy::Steady };
        course.dispatch.next(Report::Head, &mut view) == Step::Answer(Outcome::Relay)
    }

    fn offer(&mut self, at: Back, to: usize) {
        let at = self.turn(at, Stage::Offered { to, going: false });
        let mut ask = self.course(at).ask.clone();
        ask.hop += 1;
        if !self.processes[to].up {
            return self.job_after(Job::Peer { at, word: Word::Broken });
        }
        self.job_after(Job::Offer { at: to, back: at, ask: ask.clone() });
        // An old link broke after the offer had gone out over it: nobody hears what is answered there.
        if self.chance(0.05) {
            let back = Back { turn: u64::MAX, ..at };
            self.job_after(Job::Offer { at: to, back, ask });
        }
        let report = Report::Refused { retry_ms: 0 };
        self.after(OFFER_MS, Event::Job(Job::Late { at, report }));
    }

    fn offered(&mut self, agent: usize, back: Back, ask: Ask) {
        if !self.processes[agent].up {
            return self.job_after(Job::Peer { at: back, word: Word::Broken });
        }
        self.accept(agent, ask, Some(back));
    }

    fn late(&mut self, at: Back, report: Report) {
        match self.course(at).stage {
            Stage::Offered { to, going: false } => {
                let now = self.now;
                self.processes[at.agent].work.hints.refused(&name(to), 0, now);
                self.decide(at, Some(report));
            }
            Stage::Ready(_) if report == Report::Cancelled => self.decide(at, Some(report)),
            _ => {}
        }
    }

    /// A word of a peer on an offer.
    fn peer(&mut self, at: Back, word: Word) {
        if !self.is_there(at) {
            return;
        }
        let (to, going) = match self.course(at).stage {
            Stage::Offered { to, going } => (to, going),
            Stage::Ready(Some((to, _))) => (to, false),
            _ => return,
        };
        match (word, going) {
            (Word::Taken(peer), false) => {
                if !self.ready(at, Some((to, peer))) {
                    self.send_go(at, to, peer);
                }
            }
            (Word::Taken(_), true) => {}
            (Word::Refused(retry_ms), _) => {
                let now = self.now;
                self.processes[at.agent].work.hints.refused(&name(to), retry_ms, now);
                self.report(at, Report::Refused { retry_ms }, 0);
            }
            (Word::Head(ran), true) => self.report(at, Report::Head, ran),
            (Word::Broken, false) => self.report(at, Report::Refused { retry_ms: 0 }, 0),
            (Word::Head(_) | Word::Lost, false) => self.report(at, Report::Lost, 0),
            (Word::Lost | Word::Broken, true) => self.report(at, Report::Lost, 0),
        }
    }

    fn go(&mut self, at: Back, back: Back) {
        if !self.is_there(at) {
            // It gave up waiting and closed the link.
            return self.job_after(Job::Peer { at: back, word: Word::Broken });
        }
        self.course(at).origin = Some(back);
        match self.course(at).stage {
            Stage::Ready(Some((to, peer))) => self.send_go(at, to, peer),
            _ => self.begin(at),
        }
    }

    /// From here on the peer may begin.
    fn send_go(&mut self, at: Back, to: usize, peer: Back) {
        self.course(at).stage = Stage::Offered { to, going: true };
        self.job_after(Job::Go { at: peer, back: at });
    }

    fn answer(&mut self, at: Back, outcome: Outcome, ran: u128) {
        let outcome = match outcome {
            Outcome::Unknown { retry_ms } if self.mutant(Mutant::DeniesRuns) => {
                Outcome::NotRun { retry_ms }
            }
            it => it,
        };
        if self.course(at).origin.is_none() {
            self.settle_as(at, outcome, ran);
        }
        let course = self.end(at);
        let Some(origin) = course.origin else {
            let told = match outcome {
                Outcome::Relay => Told::Whole(ran),
                Outcome::NotRun { .. } => Told::NotRun,
                Outcome::Unknown { .. } => Told::Unknown,
                Outcome::Cancelled => Told::Nothing,
            };
            let (caller, request) = (course.ask.caller, course.ask.request);
            return self.job_after(Job::Reply { caller, request, told });
        };
        let word = match outcome {
            Outcome::Relay => Word::Head(ran),
            Outcome::NotRun { retry_ms } => Word::Refused(retry_ms),
            Outcome::Unknown { .. } => Word::Lost,
            Outcome::Cancelled => Word::Broken,
        };
        let word = if self.chance(0.02) { Word::Broken } else { word };
        self.job_after(Job::Peer { at: origin, word });
    }

    pub(crate) fn end(&mut self, at: Back) -> Course {
        let work = &mut self.processes[at.agent].work;
        let course = work.courses.remove(&at.course).expect("checked to be there");
        work.busy -= u32::from(course.slot);
        course
    }

    /// The links of a process that died.
    pub(crate) fn broken_links(&mut self, dead: usize) {
        let mut broken = Vec::new();
        for agent in BALANCERS..ALL {
            let it = &self.processes[agent];
            for (&course, held) in &it.work.courses {
                if matches!(held.stage, Stage::Offered { to, .. } | Stage::Ready(Some((to, _))) if to == dead)
                {
                    let turn = held.turn;
                    broken.push(Back { agent, incarnation: it.incarnation, course, turn });
                }
            }
        }
        for at in broken {
            self.job_after(Job::Peer { at, word: Word::Broken });
        }
    }

    pub(crate) fn judge_requests(&mut self) {
        self.judge_flows();
        let mut runs: BTreeMap<&str, u32> = BTreeMap::new();
        for (key, ..) in &self.journal {
            *runs.entry(key).or_default() += 1;
        }
        let twice = runs.values().filter(|it| **it > 1).count();
        for (key, _) in runs.iter().filter(|it| *it.1 > 1) {
            println!("{key} ran twice:");
            self.tell_story(key);
        }
        let ran: BTreeSet<u128> = self.journal.iter().map(|it| it.2).collect();
        let attempts = self.callers.values().flat_map(|it| &it.attempts);
        let told = attempts.filter(|it| it.1 == Some(Told::NotRun));
        let untrue = told.filter(|it| ran.contains(&it.0)).count();
        for _ in 0..twice {
            self.broke("ran-twice");
        }
        for _ in 0..untrue {
            self.broke("false-not-run");
        }
        let left: usize = self.processes.iter().map(|it| it.work.courses.len()).sum();
        for _ in 0..left {
            self.broke("never-answered");
        }
        let busy: u32 = self.processes.iter().map(|it| it.work.busy).sum();
        if left == 0 && busy > 0 {
            self.broke("slot-kept");
        }
        assert_eq!(ALL, BALANCERS + AGENTS);
    }
}
