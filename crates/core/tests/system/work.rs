//! Simulation of requests: callers, upstreams, and request processing at one or several agents.

use std::collections::{BTreeMap, BTreeSet};

use camphorwinch_core::{
    backoff::UpstreamBackoff,
    budget::RetryBudget,
    dispatch::{Dispatch, DispatchContext, Outcome, Request, Step, StepResult},
    object::Policy,
    peers::{Peer, PeerLoads},
};
use rand::Rng;

use super::{
    keys::{Call, Claiming, Keys, WINDOW_MS},
    world::{AGENTS, ALL, BALANCERS, Event, Mutant, World, name},
};

const SLOTS_PER_AGENT: u32 = 3;
const FORWARD_TIMEOUT_MS: u64 = 500;
const PROCEED_TIMEOUT_MS: u64 = 2_000;
const CALLER_TIMEOUT_MS: u64 = 4_000;
const MAX_ATTEMPTS: usize = 5;

/// Result that a caller received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallerResult {
    /// Response to this request.
    Complete(u128),
    NotRun,
    Unknown,
    NoResponse,
}

#[derive(Clone, Debug)]
pub(crate) struct Caller {
    key: Option<String>,
    since: u64,
    idempotent: bool,
    attempts: Vec<(u128, Option<CallerResult>)>,
}

#[derive(Clone, Debug)]
pub(crate) struct SimRequest {
    pub(crate) caller: u64,
    pub(crate) request: u128,
    pub(crate) key: Option<String>,
    idempotent: bool,
    hop: u8,
}

/// Reference to a transaction at an agent, used as the reply address of a link.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TransactionRef {
    pub(crate) agent: usize,
    pub(crate) incarnation: u64,
    transaction: u64,
    generation: u64,
}

/// Reply of an agent to a forwarded request.
#[derive(Clone, Copy, Debug)]
pub(crate) enum PeerReply {
    Ready(TransactionRef),
    Refused(u64),
    Head(u128),
    Lost,
    Disconnected,
}

#[derive(Clone, Debug)]
pub(crate) enum Job {
    Arrivals,
    Call(Call),
    Request { agent: usize, incarnation: u64, req: SimRequest },
    Slot { at: TransactionRef },
    Timeout { at: TransactionRef, report: StepResult },
    Forward { at: usize, back: TransactionRef, req: SimRequest },
    PeerReply { at: TransactionRef, reply: PeerReply },
    Proceed { at: TransactionRef, back: TransactionRef },
    Upstream { at: TransactionRef, req: SimRequest },
    UpstreamDone { at: TransactionRef, report: StepResult, ran: u128 },
    Reply { caller: u64, request: u128, result: CallerResult },
    Retry { caller: u64 },
}

impl Job {
    /// Index of the process that runs the job, if any.
    pub(crate) fn at(&self) -> Option<usize> {
        match self {
            Job::Arrivals | Job::Upstream { .. } | Job::Reply { .. } | Job::Retry { .. } => None,
            Job::Call(call) => Some(call.at()),
            Job::Request { agent, .. } => Some(*agent),
            Job::Forward { at, .. } => Some(*at),
            Job::Slot { at }
            | Job::Timeout { at, .. }
            | Job::PeerReply { at, .. }
            | Job::Proceed { at, .. }
            | Job::UpstreamDone { at, .. } => Some(at.agent),
        }
    }
}

#[derive(Clone, Copy, Debug)]
enum Stage {
    New,
    AcquiringSlot,
    /// Waits for the forwarding agent to confirm; then the request runs here or at the given peer.
    Ready(Option<(usize, TransactionRef)>),
    Running,
    Forwarded {
        to: usize,
        proceeding: bool,
    },
}

#[derive(Clone, Debug)]
pub(crate) struct Transaction {
    pub(crate) req: SimRequest,
    pub(crate) claiming: Claiming,
    origin: Option<TransactionRef>,
    pub(crate) dispatch: Dispatch,
    stage: Stage,
    generation: u64,
    slot: bool,
    reported_ready: bool,
}

pub(crate) struct Work {
    pub(crate) busy: u32,
    pub(crate) keys: Keys,
    transactions: BTreeMap<u64, Transaction>,
    backoff: UpstreamBackoff,
    budget: RetryBudget,
    peer_loads: PeerLoads,
    next: u64,
}

impl Transaction {
    /// Whether no step was decided yet.
    pub(crate) fn is_new(&self) -> bool {
        matches!(self.stage, Stage::New)
    }
}

impl Work {
    pub(crate) fn new(now: u64) -> Work {
        Work {
            busy: 0,
            keys: Keys::default(),
            transactions: BTreeMap::new(),
            backoff: UpstreamBackoff::new(),
            budget: RetryBudget::new(0.1, now),
            peer_loads: PeerLoads::new(),
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

    pub(crate) fn is_current(&self, at: TransactionRef) -> bool {
        let it = &self.processes[at.agent];
        it.up
            && it.incarnation == at.incarnation
            && it
                .work
                .transactions
                .get(&at.transaction)
                .is_some_and(|it| it.generation == at.generation)
    }

    pub(crate) fn transaction(&mut self, at: TransactionRef) -> &mut Transaction {
        self.processes[at.agent]
            .work
            .transactions
            .get_mut(&at.transaction)
            .expect("checked to be there")
    }

    /// Enters a stage; invalidates earlier references, so that old replies and timers are ignored.
    fn enter_stage(&mut self, mut at: TransactionRef, stage: Stage) -> TransactionRef {
        let transaction = self.transaction(at);
        transaction.generation += 1;
        transaction.stage = stage;
        at.generation = transaction.generation;
        at
    }

    pub(crate) fn traffic(&mut self) {
        if self.faults_off {
            return;
        }
        let gap = self.rng.random_range(5..50);
        self.after(gap, Event::Traffic);
        for _ in 0..4 {
            self.send_random_packet();
        }
        self.send_to_wrong_address();
        let caller = self.callers.len() as u64;
        let idempotent = self.rng.random_bool(0.2);
        let keyed = !idempotent && self.rng.random_bool(0.8);
        let key = keyed.then(|| format!("key-{caller}"));
        let since = self.now;
        self.callers.insert(caller, Caller { key, since, idempotent, attempts: Vec::new() });
        self.send_request(caller);
        if keyed && self.rng.random_bool(0.2) {
            self.send_request(caller);
        }
    }

    fn send_request(&mut self, caller: u64) {
        // Stop well before the key expires, since an agent may be paused before it receives the request.
        let it = &self.callers[&caller];
        if it.attempts.len() >= MAX_ATTEMPTS || self.now - it.since > WINDOW_MS / 2 {
            return;
        }
        let held = if self.rng.random_bool(0.4) { self.random_open_flow() } else { None };
        let Some(agent) = held.or_else(|| self.open_flow()) else {
            return self.schedule_retry(caller);
        };
        self.seen.attempts += 1;
        let it = self.callers.get_mut(&caller).expect("the caller is known");
        let request = u128::from(caller) << 8 | it.attempts.len() as u128;
        it.attempts.push((request, None));
        let key = it.key.clone();
        let req = SimRequest { caller, request, key, idempotent: it.idempotent, hop: 0 };
        let incarnation = self.processes[agent].incarnation;
        self.job_after(Job::Request { agent, incarnation, req });
        let result = CallerResult::NoResponse;
        self.after(CALLER_TIMEOUT_MS, Event::Job(Job::Reply { caller, request, result }));
    }

    fn schedule_retry(&mut self, caller: u64) {
        let delay = self.rng.random_range(50..20_000);
        self.after(delay, Event::Job(Job::Retry { caller }));
    }

    fn handle_reply_to_caller(&mut self, caller: u64, request: u128, result: CallerResult) {
        let it = self.callers.get_mut(&caller).expect("the caller is known");
        let Some(attempt) = it.attempts.iter_mut().find(|it| it.0 == request) else {
            return;
        };
        if attempt.1.is_some() {
            return;
        }
        attempt.1 = Some(result);
        let keyless = !it.idempotent && it.key.is_none();
        match result {
            CallerResult::Complete(ran) => {
                self.seen.whole += 1;
                if (ran >> 8) as u64 != caller {
                    self.report_violation("crossed-answer");
                }
                return;
            }
            CallerResult::NotRun => self.seen.not_run += 1,
            CallerResult::Unknown | CallerResult::NoResponse => self.seen.unknown += 1,
        }
        // Without a key, only a request that has not run may be sent again.
        if result == CallerResult::NotRun || !keyless {
            self.schedule_retry(caller);
        }
    }

    pub(crate) fn job(&mut self, job: Job) {
        match job {
            Job::Arrivals => self.arrivals(),
            Job::Call(call) => self.call(call),
            Job::Request { agent, incarnation, req } => {
                let it = &self.processes[agent];
                if it.up && it.incarnation == incarnation {
                    self.accept(agent, req, None);
                }
            }
            Job::Slot { at } => self.try_slot(at),
            Job::Timeout { at, report } => {
                if self.is_current(at) {
                    self.handle_timeout(at, report);
                }
            }
            Job::Forward { at, back, req } => self.handle_forward(at, back, req),
            Job::PeerReply { at, reply } => self.handle_peer_reply(at, reply),
            Job::Proceed { at, back } => self.handle_proceed(at, back),
            Job::Upstream { at, req } => self.upstream(at, &req),
            Job::UpstreamDone { at, report, ran } => self.handle_upstream_done(at, report, ran),
            Job::Reply { caller, request, result } => {
                self.handle_reply_to_caller(caller, request, result)
            }
            Job::Retry { caller } => self.send_request(caller),
        }
    }

    /// Accepts a request at an agent, from a caller or another agent.
    fn accept(&mut self, agent: usize, req: SimRequest, origin: Option<TransactionRef>) {
        let request = Request { idempotent: req.idempotent, hop: req.hop, deadline: None };
        let keyed = req.key.is_some() && origin.is_none();
        let transaction = Transaction {
            req,
            claiming: Claiming::default(),
            origin,
            dispatch: Dispatch::new(request),
            stage: Stage::New,
            generation: 0,
            slot: false,
            reported_ready: false,
        };
        let it = &mut self.processes[agent];
        it.work.next += 1;
        let at = TransactionRef {
            agent,
            incarnation: it.incarnation,
            transaction: it.work.next,
            generation: 0,
        };
        it.work.transactions.insert(at.transaction, transaction);
        if keyed && !self.mutant(Mutant::SkipsClaims) {
            self.claim(at);
        } else {
            self.decide(at, None);
        }
    }

    pub(crate) fn decide(&mut self, at: TransactionRef, report: Option<StepResult>) {
        let now = self.now;
        let draining = self.drains(at.agent);
        let ignores = self.mutant(Mutant::IgnoresDrain);
        let seed = self.rng.random();
        let it = &mut self.processes[at.agent];
        let local = ignores || (!draining && it.work.backoff.admits(now));
        let candidates = it
            .snapshot
            .candidates(camphorwinch_core::object::ServiceId::new(super::world::SERVICE));
        let peers: Vec<Peer<'_>> = candidates
            .iter()
            .filter(|agent| agent.name != it.name)
            .map(|agent| Peer { name: &agent.name, same_zone: true, weight: agent.weight })
            .collect();
        let selected = it.work.peer_loads.select(&peers, Policy::Steady, seed, now);
        let Work { budget, transactions, .. } = &mut it.work;
        let transaction = transactions.get_mut(&at.transaction).expect("checked to be there");
        let mut view =
            DispatchContext { now, local, peers: &selected, budget, policy: Policy::Steady };
        let step = match report {
            None => transaction.dispatch.start(&mut view),
            Some(report) => transaction.dispatch.next(report, &mut view),
        };
        if report != Some(StepResult::SlotAcquired) && transaction.slot {
            transaction.slot = false;
            it.work.busy -= 1;
        }
        self.execute(at, step);
    }

    fn execute(&mut self, at: TransactionRef, step: Step) {
        match step {
            Step::AcquireSlot { wait_ms } => {
                let at = self.enter_stage(at, Stage::AcquiringSlot);
                if self.processes[at.agent].work.busy < SLOTS_PER_AGENT {
                    return self.try_slot(at);
                }
                self.after(wait_ms.max(1), Event::Job(Job::Slot { at }));
            }
            Step::Run => self.run_here(at),
            Step::Offer { to } => self.forward(at, index_of(&to)),
            Step::Finish(outcome) => self.finish_request(at, outcome, 0),
        }
    }

    fn try_slot(&mut self, at: TransactionRef) {
        if !self.is_current(at) {
            return;
        }
        let work = &mut self.processes[at.agent].work;
        if work.busy >= SLOTS_PER_AGENT {
            return self.decide(at, Some(StepResult::SlotTimeout));
        }
        work.busy += 1;
        self.transaction(at).slot = true;
        self.decide(at, Some(StepResult::SlotAcquired));
    }

    fn run_here(&mut self, at: TransactionRef) {
        let now = self.now;
        if !self.processes[at.agent].work.backoff.admit(now) {
            return self.decide(at, Some(StepResult::Refused { retry_ms: 0 }));
        }
        if !self.report_ready(at, None) {
            self.begin(at);
        }
    }

    /// Reports to the forwarding agent that the request can start; false if that is not needed.
    fn report_ready(&mut self, at: TransactionRef, next: Option<(usize, TransactionRef)>) -> bool {
        let transaction = self.transaction(at);
        let Some(origin) = transaction.origin.filter(|_| !transaction.reported_ready) else {
            return false;
        };
        transaction.reported_ready = true;
        let at = match next {
            // The peer's reply must still reach the transaction.
            Some(_) => {
                transaction.stage = Stage::Ready(next);
                at
            }
            None => self.enter_stage(at, Stage::Ready(None)),
        };
        self.job_after(Job::PeerReply { at: origin, reply: PeerReply::Ready(at) });
        self.after(
            PROCEED_TIMEOUT_MS,
            Event::Job(Job::Timeout { at, report: StepResult::Cancelled }),
        );
        true
    }

    fn begin(&mut self, at: TransactionRef) {
        self.check_drained(at.agent);
        let at = self.enter_stage(at, Stage::Running);
        let req = self.transaction(at).req.clone();
        self.job_after(Job::Upstream { at, req });
    }

    /// Runs a request at the upstream, even if the agent dies.
    fn upstream(&mut self, at: TransactionRef, req: &SimRequest) {
        let draw = if self.faults_off { 100 } else { self.rng.random_range(0..100) };
        let ran = req.request;
        let (report, delay) = match draw {
            0..8 => (StepResult::Refused { retry_ms: 0 }, 1),
            8..10 => (StepResult::BodyConsumed { retry_ms: 0 }, 1),
            10..12 => (StepResult::ConnectionLost, 1),
            12..16 => (StepResult::ConnectionLost, 30),
            16..20 => (StepResult::ResponseStarted, 3_500),
            _ => (StepResult::ResponseStarted, self.rng.random_range(3..60)),
        };
        if draw >= 12 && !req.idempotent {
            let key = req.key.clone().unwrap_or_else(|| format!("caller-{}", req.caller));
            let text = format!("{ran:x} runs at {}, {report:?} after {delay} ms", name(at.agent));
            self.record_trace(&key, text);
            self.upstream_runs.push((key, self.now, ran));
        }
        self.after(delay, Event::Job(Job::UpstreamDone { at, report, ran }));
    }

    fn handle_upstream_done(&mut self, at: TransactionRef, report: StepResult, ran: u128) {
        if !self.is_current(at) {
            return;
        }
        let now = self.now;
        let backoff = &mut self.processes[at.agent].work.backoff;
        match report {
            StepResult::ResponseStarted => backoff.record_success(),
            _ => backoff.record_refusal(now),
        }
        self.report(at, report, ran);
    }

    /// Passes a step result to the state machine; a mutant may change it.
    fn report(&mut self, at: TransactionRef, report: StepResult, ran: u128) {
        let report = match report {
            StepResult::ConnectionLost if self.mutant(Mutant::ResendsLostRequests) => {
                StepResult::Refused { retry_ms: 0 }
            }
            it => it,
        };
        if report == StepResult::ResponseStarted {
            let relayed = self.accept_head(at);
            assert!(relayed, "the response headers were rejected");
            return self.finish_request(at, Outcome::Response, ran);
        }
        self.decide(at, Some(report));
    }

    fn accept_head(&mut self, at: TransactionRef) -> bool {
        let now = self.now;
        let Work { budget, transactions, .. } = &mut self.processes[at.agent].work;
        let transaction = transactions.get_mut(&at.transaction).expect("checked to be there");
        let mut view =
            DispatchContext { now, local: true, peers: &[], budget, policy: Policy::Steady };
        transaction.dispatch.next(StepResult::ResponseStarted, &mut view)
            == Step::Finish(Outcome::Response)
    }

    fn forward(&mut self, at: TransactionRef, to: usize) {
        let at = self.enter_stage(at, Stage::Forwarded { to, proceeding: false });
        let mut req = self.transaction(at).req.clone();
        req.hop += 1;
        if !self.processes[to].up {
            return self.job_after(Job::PeerReply { at, reply: PeerReply::Disconnected });
        }
        self.job_after(Job::Forward { at: to, back: at, req: req.clone() });
        // An old link broke after the request was sent over it, so replies on it are lost.
        if self.chance(0.05) {
            let back = TransactionRef { generation: u64::MAX, ..at };
            self.job_after(Job::Forward { at: to, back, req });
        }
        let report = StepResult::Refused { retry_ms: 0 };
        self.after(FORWARD_TIMEOUT_MS, Event::Job(Job::Timeout { at, report }));
    }

    fn handle_forward(&mut self, agent: usize, back: TransactionRef, req: SimRequest) {
        if !self.processes[agent].up {
            return self.job_after(Job::PeerReply { at: back, reply: PeerReply::Disconnected });
        }
        self.accept(agent, req, Some(back));
    }

    fn handle_timeout(&mut self, at: TransactionRef, report: StepResult) {
        match self.transaction(at).stage {
            Stage::Forwarded { to, proceeding: false } => {
                let now = self.now;
                self.processes[at.agent].work.peer_loads.record_refused(&name(to), 0, now);
                self.decide(at, Some(report));
            }
            Stage::Ready(_) if report == StepResult::Cancelled => self.decide(at, Some(report)),
            _ => {}
        }
    }

    /// Handles the reply of a peer to a forwarded request.
    fn handle_peer_reply(&mut self, at: TransactionRef, reply: PeerReply) {
        if !self.is_current(at) {
            return;
        }
        let (to, proceeding) = match self.transaction(at).stage {
            Stage::Forwarded { to, proceeding } => (to, proceeding),
            Stage::Ready(Some((to, _))) => (to, false),
            _ => return,
        };
        match (reply, proceeding) {
            (PeerReply::Ready(peer), false) => {
                if !self.report_ready(at, Some((to, peer))) {
                    self.send_proceed(at, to, peer);
                }
            }
            (PeerReply::Ready(_), true) => {}
            (PeerReply::Refused(retry_ms), _) => {
                let now = self.now;
                self.processes[at.agent].work.peer_loads.record_refused(&name(to), retry_ms, now);
                self.report(at, StepResult::Refused { retry_ms }, 0);
            }
            (PeerReply::Head(ran), true) => self.report(at, StepResult::ResponseStarted, ran),
            (PeerReply::Disconnected, false) => {
                self.report(at, StepResult::Refused { retry_ms: 0 }, 0)
            }
            (PeerReply::Head(_) | PeerReply::Lost, false) => {
                self.report(at, StepResult::ConnectionLost, 0)
            }
            (PeerReply::Lost | PeerReply::Disconnected, true) => {
                self.report(at, StepResult::ConnectionLost, 0)
            }
        }
    }

    fn handle_proceed(&mut self, at: TransactionRef, back: TransactionRef) {
        if !self.is_current(at) {
            // The peer stopped waiting and closed the link.
            return self.job_after(Job::PeerReply { at: back, reply: PeerReply::Disconnected });
        }
        self.transaction(at).origin = Some(back);
        match self.transaction(at).stage {
            Stage::Ready(Some((to, peer))) => self.send_proceed(at, to, peer),
            _ => self.begin(at),
        }
    }

    /// Confirms the request; from now on the peer may start it.
    fn send_proceed(&mut self, at: TransactionRef, to: usize, peer: TransactionRef) {
        self.transaction(at).stage = Stage::Forwarded { to, proceeding: true };
        self.job_after(Job::Proceed { at: peer, back: at });
    }

    fn finish_request(&mut self, at: TransactionRef, outcome: Outcome, ran: u128) {
        let outcome = match outcome {
            Outcome::Unknown { retry_ms } if self.mutant(Mutant::ReportsUnknownAsNotRun) => {
                Outcome::NotRun { retry_ms }
            }
            it => it,
        };
        if self.transaction(at).origin.is_none() {
            self.settle_as(at, outcome, ran);
        }
        let transaction = self.end(at);
        let Some(origin) = transaction.origin else {
            let result = match outcome {
                Outcome::Response => CallerResult::Complete(ran),
                Outcome::NotRun { .. } => CallerResult::NotRun,
                Outcome::Unknown { .. } => CallerResult::Unknown,
                Outcome::Cancelled => CallerResult::NoResponse,
            };
            let (caller, request) = (transaction.req.caller, transaction.req.request);
            return self.job_after(Job::Reply { caller, request, result });
        };
        let reply = match outcome {
            Outcome::Response => PeerReply::Head(ran),
            Outcome::NotRun { retry_ms } => PeerReply::Refused(retry_ms),
            Outcome::Unknown { .. } => PeerReply::Lost,
            Outcome::Cancelled => PeerReply::Disconnected,
        };
        let reply = if self.chance(0.02) { PeerReply::Disconnected } else { reply };
        self.job_after(Job::PeerReply { at: origin, reply });
    }

    pub(crate) fn end(&mut self, at: TransactionRef) -> Transaction {
        let work = &mut self.processes[at.agent].work;
        let transaction = work.transactions.remove(&at.transaction).expect("checked to be there");
        work.busy -= u32::from(transaction.slot);
        transaction
    }

    /// Breaks the links to a process that died.
    pub(crate) fn break_links(&mut self, dead: usize) {
        let mut broken = Vec::new();
        for agent in BALANCERS..ALL {
            let it = &self.processes[agent];
            for (&transaction, held) in &it.work.transactions {
                if matches!(held.stage, Stage::Forwarded { to, .. } | Stage::Ready(Some((to, _))) if to == dead)
                {
                    let generation = held.generation;
                    broken.push(TransactionRef {
                        agent,
                        incarnation: it.incarnation,
                        transaction,
                        generation,
                    });
                }
            }
        }
        for at in broken {
            self.job_after(Job::PeerReply { at, reply: PeerReply::Disconnected });
        }
    }

    pub(crate) fn check_requests(&mut self) {
        self.check_flows();
        let mut runs: BTreeMap<&str, u32> = BTreeMap::new();
        for (key, ..) in &self.upstream_runs {
            *runs.entry(key).or_default() += 1;
        }
        let ran_twice = runs.values().filter(|it| **it > 1).count();
        for (key, _) in runs.iter().filter(|it| *it.1 > 1) {
            println!("{key} ran twice:");
            self.print_trace(key);
        }
        let ran: BTreeSet<u128> = self.upstream_runs.iter().map(|it| it.2).collect();
        let attempts = self.callers.values().flat_map(|it| &it.attempts);
        let not_run = attempts.filter(|it| it.1 == Some(CallerResult::NotRun));
        let false_not_run = not_run.filter(|it| ran.contains(&it.0)).count();
        for _ in 0..ran_twice {
            self.report_violation("ran-twice");
        }
        for _ in 0..false_not_run {
            self.report_violation("false-not-run");
        }
        let unfinished: usize = self.processes.iter().map(|it| it.work.transactions.len()).sum();
        for _ in 0..unfinished {
            self.report_violation("never-answered");
        }
        let busy: u32 = self.processes.iter().map(|it| it.work.busy).sum();
        if unfinished == 0 && busy > 0 {
            self.report_violation("slot-kept");
        }
        assert_eq!(ALL, BALANCERS + AGENTS);
    }
}
