//! State machine of one request: run locally, wait for a slot, forward to a peer, retry, or return the final outcome.
//!
//! The caller of this module executes each [`Step`], reports the result and receives the next step. A request that is
//! not idempotent is sent again only while it is certain that no upstream has started it. After that, its outcome is
//! either the upstream's response or unknown.

use crate::{
    budget::RetryBudget,
    invariant::{self, Invariant},
    object::Policy,
};

/// Maximum number of agents that may forward a request after the one that holds its flow.
pub const MAX_HOPS: u8 = 2;
/// Maximum number of peers to which one agent forwards a request.
const MAX_FORWARDS: u8 = 3;
/// Maximum number of times that an idempotent request is sent.
const MAX_SENDS: u8 = 3;
/// Wait for a local slot before the request is forwarded, under the steady policy.
const INITIAL_SLOT_WAIT_MS: u64 = 10;
/// Wait for a local slot after all peers refused.
const FINAL_SLOT_WAIT_MS: u64 = 100;
/// Shortest retry delay returned to a caller.
const MIN_RETRY_MS: u64 = 1_000;
/// Longest retry delay returned to a caller.
const MAX_RETRY_MS: u64 = 30_000;

/// Properties of an incoming request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Request {
    /// Whether the method is idempotent.
    pub idempotent: bool,
    /// Number of agents that forwarded it before.
    pub hop: u8,
    /// Deadline of the caller, in milliseconds.
    pub deadline: Option<u64>,
}

/// State of the agent that a decision depends on.
#[derive(Debug)]
pub struct DispatchContext<'a> {
    /// Current time in milliseconds.
    pub now: u64,
    /// Whether the request may be sent to the local upstream.
    pub local: bool,
    /// Peers to forward the request to, best first.
    pub peers: &'a [&'a str],
    /// The service's retry budget.
    pub budget: &'a mut RetryBudget,
    /// The service's policy.
    pub policy: Policy,
}

/// The next action.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Acquire a slot of the local upstream. Results: `SlotAcquired` or `SlotTimeout`.
    AcquireSlot {
        /// Longest wait in milliseconds.
        wait_ms: u64,
    },
    /// Send the request to the local upstream in the acquired slot.
    Run,
    /// Forward the request to a peer.
    Offer {
        /// The peer's name.
        to: String,
    },
    /// Return this outcome to the caller; the request is finished.
    Finish(Outcome),
}

/// Result of a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StepResult {
    /// A slot was acquired.
    SlotAcquired,
    /// No slot became free in time.
    SlotTimeout,
    /// The upstream or the peer refused or was unreachable; the request was certainly not started.
    Refused {
        /// Retry delay that it returned; 0 if none.
        retry_ms: u64,
    },
    /// Like `Refused`, but the request can't be sent again because its body was consumed.
    BodyConsumed {
        /// Retry delay for the caller.
        retry_ms: u64,
    },
    /// The connection failed before a response; the request may have been started.
    ConnectionLost,
    /// The response headers arrived.
    ResponseStarted,
    /// The caller cancelled the request.
    Cancelled,
}

/// Final outcome of a request for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The upstream's response is relayed.
    Response,
    /// No upstream has started the request.
    NotRun {
        /// Retry delay for the caller.
        retry_ms: u64,
    },
    /// An upstream may have started the request, and no response arrived.
    Unknown {
        /// Retry delay for the caller.
        retry_ms: u64,
    },
    /// The caller cancelled the request.
    Cancelled,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    New,
    AcquiringSlot,
    Running,
    Forwarded,
    Done,
}

/// State of one request at one agent.
#[derive(Clone, Debug)]
pub struct Dispatch {
    request: Request,
    stage: Stage,
    maybe_started: bool,
    sends: u8,
    forwards: u8,
    tried_peers: Vec<String>,
    did_final_wait: bool,
    refused_locally: bool,
    retry_ms: u64,
}

impl Dispatch {
    /// Creates the state of a request that has just arrived.
    pub fn new(request: Request) -> Dispatch {
        Dispatch {
            request,
            stage: Stage::New,
            maybe_started: false,
            sends: 0,
            forwards: 0,
            tried_peers: Vec::new(),
            did_final_wait: false,
            refused_locally: false,
            retry_ms: 0,
        }
    }

    /// Returns the first step.
    pub fn start(&mut self, context: &mut DispatchContext<'_>) -> Step {
        if self.request.hop == 0 {
            context.budget.deposit();
        }
        if context.local {
            let wait_ms = if context.policy == Policy::Steady { INITIAL_SLOT_WAIT_MS } else { 0 };
            return self.acquire_slot(context, wait_ms);
        }
        self.forward(context)
    }

    /// Returns the step that follows `result`.
    pub fn next(&mut self, result: StepResult, context: &mut DispatchContext<'_>) -> Step {
        match result {
            StepResult::SlotAcquired if context.local => self.run(context),
            StepResult::SlotAcquired | StepResult::SlotTimeout => self.forward(context),
            StepResult::Refused { retry_ms } => {
                self.refused_locally |= self.stage == Stage::Running;
                self.stage = Stage::New;
                self.sends = self.sends.saturating_sub(1);
                self.retry_ms = self.retry_ms.max(retry_ms);
                self.forward(context)
            }
            StepResult::BodyConsumed { retry_ms } => {
                self.stage = Stage::New;
                self.retry_ms = self.retry_ms.max(retry_ms);
                self.fail()
            }
            StepResult::ConnectionLost => self.connection_lost(context),
            StepResult::ResponseStarted => self.finish(Outcome::Response),
            StepResult::Cancelled => self.finish(Outcome::Cancelled),
        }
    }

    /// Whether an upstream may have started the request.
    pub fn may_have_started(&self) -> bool {
        self.maybe_started || matches!(self.stage, Stage::Running | Stage::Forwarded)
    }

    fn acquire_slot(&mut self, context: &DispatchContext<'_>, wait_ms: u64) -> Step {
        let left = self.request.deadline.map_or(u64::MAX, |it| it.saturating_sub(context.now));
        if left == 0 {
            return self.fail();
        }
        self.stage = Stage::AcquiringSlot;
        Step::AcquireSlot { wait_ms: wait_ms.min(left) }
    }

    fn run(&mut self, context: &DispatchContext<'_>) -> Step {
        if self.deadline_passed(context) {
            return self.fail();
        }
        if !self.may_send() || !invariant::check(Invariant::DrainHolds, context.local) {
            return self.fail();
        }
        self.stage = Stage::Running;
        self.sends += 1;
        Step::Run
    }

    fn forward(&mut self, context: &DispatchContext<'_>) -> Step {
        if self.deadline_passed(context) {
            return self.fail();
        }
        let may_forward = self.forwards < self.max_forwards(context);
        let untried = |it: &&&str| !self.tried_peers.iter().any(|old| old == **it);
        let Some(peer) = context.peers.iter().find(untried).filter(|_| may_forward) else {
            return self.wait_or_fail(context);
        };
        if !self.may_send() {
            return self.fail();
        }
        let to = (*peer).to_owned();
        self.stage = Stage::Forwarded;
        self.forwards += 1;
        self.sends += 1;
        self.tried_peers.push(to.clone());
        Step::Offer { to }
    }

    /// An agent forwards a forwarded request only if it can't run requests itself. Otherwise forwarding would multiply
    /// under load.
    fn max_forwards(&self, context: &DispatchContext<'_>) -> u8 {
        match self.request.hop {
            0 => MAX_FORWARDS,
            hop if hop < MAX_HOPS && !context.local => 1,
            _ => 0,
        }
    }

    fn wait_or_fail(&mut self, context: &DispatchContext<'_>) -> Step {
        // Only the agent that holds the flow waits; a peer refuses at once.
        let may_wait =
            context.local && !self.did_final_wait && !self.refused_locally && self.request.hop == 0;
        if !may_wait {
            return self.fail();
        }
        self.did_final_wait = true;
        self.acquire_slot(context, FINAL_SLOT_WAIT_MS)
    }

    fn connection_lost(&mut self, context: &mut DispatchContext<'_>) -> Step {
        let was_local = self.stage == Stage::Running;
        self.maybe_started = true;
        self.stage = Stage::New;
        let may_retry = self.request.idempotent
            && self.request.hop == 0
            && self.sends < MAX_SENDS
            && context.budget.withdraw(context.now);
        if !may_retry {
            return self.fail();
        }
        if context.local && !was_local {
            return self.acquire_slot(context, FINAL_SLOT_WAIT_MS);
        }
        self.forward(context)
    }

    fn deadline_passed(&self, context: &DispatchContext<'_>) -> bool {
        self.request.deadline.is_some_and(|it| context.now >= it)
    }

    fn may_send(&self) -> bool {
        let idle = !matches!(self.stage, Stage::Running | Stage::Forwarded | Stage::Done);
        let may_repeat = self.request.idempotent || !self.maybe_started;
        invariant::check(Invariant::RunOnce, idle && may_repeat)
    }

    fn fail(&mut self) -> Step {
        let retry_ms = self.retry_ms.clamp(MIN_RETRY_MS, MAX_RETRY_MS);
        if self.may_have_started() {
            return self.finish(Outcome::Unknown { retry_ms });
        }
        self.finish(Outcome::NotRun { retry_ms })
    }

    fn finish(&mut self, outcome: Outcome) -> Step {
        let unanswered = self.stage != Stage::Done;
        let not_run_holds = !matches!(outcome, Outcome::NotRun { .. }) || !self.may_have_started();
        let outcome = if invariant::check(Invariant::NotRunTrue, not_run_holds) {
            outcome
        } else {
            Outcome::Unknown { retry_ms: MIN_RETRY_MS }
        };
        let outcome = if invariant::check(Invariant::OneAnswer, unanswered) {
            outcome
        } else {
            Outcome::Cancelled
        };
        self.maybe_started = self.may_have_started();
        self.stage = Stage::Done;
        Step::Finish(outcome)
    }
}
