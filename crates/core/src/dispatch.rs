//! Course of one request: run here, wait for a slot, offer to a peer, retry, or give the final answer.
//!
//! Whoever carries out a [`Step`] reports what came of it, and gets the next step. A request that is not idempotent is
//! sent on only while it is proven that no upstream has begun it; after that its outcome is either the upstream's
//! answer or unknown.

use crate::{
    budget::Budget,
    invariant::{self, Invariant},
    object::Policy,
};

/// Agents that a request may pass through beyond the one that holds its flow.
pub const MAX_HOPS: u8 = 2;
/// Offers that one agent makes for one request.
const MAX_OFFERS: u8 = 3;
/// Times an idempotent request is sent.
const MAX_SENDS: u8 = 3;
/// Wait for a slot before peers are asked, under the steady policy.
const FIRST_WAIT_MS: u64 = 10;
/// Wait for a slot after all peers refused.
const LAST_WAIT_MS: u64 = 100;
/// Least time after which a caller may ask again.
const LEAST_RETRY_MS: u64 = 1_000;
const LONGEST_RETRY_MS: u64 = 30_000;

/// What is known of a request when it arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Request {
    /// Whether its method is idempotent.
    pub idempotent: bool,
    /// Agents that it has passed through before.
    pub hop: u8,
    /// Time by which the caller wants the answer.
    pub deadline: Option<u64>,
}

/// The agent's state at a decision.
#[derive(Debug)]
pub struct View<'a> {
    /// Time in milliseconds.
    pub now: u64,
    /// Whether the local upstream may be given the request.
    pub local: bool,
    /// Peers to offer the request to, best first.
    pub peers: &'a [&'a str],
    /// The service's retry budget.
    pub budget: &'a mut Budget,
    /// The service's policy.
    pub policy: Policy,
}

/// What is to be done next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Take a slot of the local upstream, waiting at most this long. Reports `Slot` or `Full`.
    Take {
        /// Longest wait in milliseconds.
        wait_ms: u64,
    },
    /// Send the request to the local upstream, in the slot taken.
    Run,
    /// Offer the request to a peer.
    Offer {
        /// The peer's name.
        to: String,
    },
    /// Nothing more is to be done but to give the caller this outcome.
    Answer(Outcome),
}

/// What came of a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Report {
    /// A slot was taken.
    Slot,
    /// No slot came free in time.
    Full,
    /// The upstream or the peer refused, or could not be reached; it is proven that the request was not begun.
    Refused {
        /// Time after which it may be asked again; 0 if not told.
        retry_ms: u64,
    },
    /// Like `Refused`, but the request can't be sent again: its body was read and not kept.
    Consumed {
        /// Time after which the caller may ask again.
        retry_ms: u64,
    },
    /// The attempt broke off before an answer; the request may have been begun.
    Lost,
    /// The answer's head came.
    Head,
    /// The caller gave up.
    Cancelled,
}

/// Outcome of a request for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The upstream's answer is passed on.
    Relay,
    /// No upstream has begun the request.
    NotRun {
        /// Time after which the caller may ask again.
        retry_ms: u64,
    },
    /// An upstream may have begun the request, and its answer is lost.
    Unknown {
        /// Time after which the caller may ask again.
        retry_ms: u64,
    },
    /// The caller gave up.
    Cancelled,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    New,
    Taking,
    Running,
    Offered,
    Done,
}

/// The course of one request at one agent.
#[derive(Clone, Debug)]
pub struct Dispatch {
    request: Request,
    stage: Stage,
    begun: bool,
    sends: u8,
    offers: u8,
    offered: Vec<String>,
    waited: bool,
    refused_here: bool,
    retry_ms: u64,
}

impl Dispatch {
    /// A request that has just arrived.
    pub fn new(request: Request) -> Dispatch {
        Dispatch {
            request,
            stage: Stage::New,
            begun: false,
            sends: 0,
            offers: 0,
            offered: Vec::new(),
            waited: false,
            refused_here: false,
            retry_ms: 0,
        }
    }

    /// The first step.
    pub fn start(&mut self, view: &mut View<'_>) -> Step {
        if self.request.hop == 0 {
            view.budget.deposit();
        }
        if view.local {
            let wait_ms = if view.policy == Policy::Steady { FIRST_WAIT_MS } else { 0 };
            return self.take(view, wait_ms);
        }
        self.offer(view)
    }

    /// The step after `report`.
    pub fn next(&mut self, report: Report, view: &mut View<'_>) -> Step {
        match report {
            Report::Slot if view.local => self.run(view),
            Report::Slot | Report::Full => self.offer(view),
            Report::Refused { retry_ms } => {
                self.refused_here |= self.stage == Stage::Running;
                self.stage = Stage::New;
                self.sends = self.sends.saturating_sub(1);
                self.retry_ms = self.retry_ms.max(retry_ms);
                self.offer(view)
            }
            Report::Consumed { retry_ms } => {
                self.stage = Stage::New;
                self.retry_ms = self.retry_ms.max(retry_ms);
                self.give_up()
            }
            Report::Lost => self.lost(view),
            Report::Head => self.answer(Outcome::Relay),
            Report::Cancelled => self.answer(Outcome::Cancelled),
        }
    }

    /// Whether an upstream may have begun the request.
    pub fn may_have_begun(&self) -> bool {
        self.begun || matches!(self.stage, Stage::Running | Stage::Offered)
    }

    fn take(&mut self, view: &View<'_>, wait_ms: u64) -> Step {
        let left = self.request.deadline.map_or(u64::MAX, |it| it.saturating_sub(view.now));
        if left == 0 {
            return self.give_up();
        }
        self.stage = Stage::Taking;
        Step::Take { wait_ms: wait_ms.min(left) }
    }

    fn run(&mut self, view: &View<'_>) -> Step {
        if self.late(view) {
            return self.give_up();
        }
        if !self.may_send() || !invariant::check(Invariant::DrainHolds, view.local) {
            return self.give_up();
        }
        self.stage = Stage::Running;
        self.sends += 1;
        Step::Run
    }

    fn offer(&mut self, view: &View<'_>) -> Step {
        if self.late(view) {
            return self.give_up();
        }
        let may_offer = self.offers < self.most_offers(view);
        let fresh = |it: &&&str| !self.offered.iter().any(|old| old == **it);
        let Some(peer) = view.peers.iter().find(fresh).filter(|_| may_offer) else {
            return self.last_wait(view);
        };
        if !self.may_send() {
            return self.give_up();
        }
        let to = (*peer).to_owned();
        self.stage = Stage::Offered;
        self.offers += 1;
        self.sends += 1;
        self.offered.push(to.clone());
        Step::Offer { to }
    }

    /// An agent that was offered a request passes it on only if it can't run any: else offers would multiply under
    /// load.
    fn most_offers(&self, view: &View<'_>) -> u8 {
        match self.request.hop {
            0 => MAX_OFFERS,
            hop if hop < MAX_HOPS && !view.local => 1,
            _ => 0,
        }
    }

    fn last_wait(&mut self, view: &View<'_>) -> Step {
        // A peer that was offered the request leaves the waiting to the agent that holds the flow.
        let may_wait = view.local && !self.waited && !self.refused_here && self.request.hop == 0;
        if !may_wait {
            return self.give_up();
        }
        self.waited = true;
        self.take(view, LAST_WAIT_MS)
    }

    fn lost(&mut self, view: &mut View<'_>) -> Step {
        let was_here = self.stage == Stage::Running;
        self.begun = true;
        self.stage = Stage::New;
        let may_retry = self.request.idempotent
            && self.request.hop == 0
            && self.sends < MAX_SENDS
            && view.budget.withdraw(view.now);
        if !may_retry {
            return self.give_up();
        }
        if view.local && !was_here {
            return self.take(view, LAST_WAIT_MS);
        }
        self.offer(view)
    }

    fn late(&self, view: &View<'_>) -> bool {
        self.request.deadline.is_some_and(|it| view.now >= it)
    }

    fn may_send(&self) -> bool {
        let free = !matches!(self.stage, Stage::Running | Stage::Offered | Stage::Done);
        let first = self.request.idempotent || !self.begun;
        invariant::check(Invariant::RunOnce, free && first)
    }

    fn give_up(&mut self) -> Step {
        let retry_ms = self.retry_ms.clamp(LEAST_RETRY_MS, LONGEST_RETRY_MS);
        if self.may_have_begun() {
            return self.answer(Outcome::Unknown { retry_ms });
        }
        self.answer(Outcome::NotRun { retry_ms })
    }

    fn answer(&mut self, outcome: Outcome) -> Step {
        let once = self.stage != Stage::Done;
        let is_true = !matches!(outcome, Outcome::NotRun { .. }) || !self.may_have_begun();
        let outcome = if invariant::check(Invariant::NotRunTrue, is_true) {
            outcome
        } else {
            Outcome::Unknown { retry_ms: LEAST_RETRY_MS }
        };
        let outcome =
            if invariant::check(Invariant::OneAnswer, once) { outcome } else { Outcome::Cancelled };
        self.begun = self.may_have_begun();
        self.stage = Stage::Done;
        Step::Answer(outcome)
    }
}
