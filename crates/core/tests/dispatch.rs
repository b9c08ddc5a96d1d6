//! Property tests of the request state machine: its guarantees hold for any sequence of results.

use camphorwinch_core::{
    budget::RetryBudget,
    dispatch::{Dispatch, DispatchContext, Outcome, Request, Step, StepResult},
    invariant::{self, Invariant},
    object::Policy,
};
use quickcheck::{Arbitrary, Gen, QuickCheck};

const MAX_STEPS: usize = 40;

/// Environment and result of one step.
#[derive(Clone, Copy, Debug)]
struct StepInput {
    local: bool,
    peers: u8,
    slot: bool,
    /// 0 refused, 1 refused after the body was consumed, 2 lost before the start, 3 lost after it, 4 response, 5
    /// cancelled.
    attempt: u8,
    elapsed_ms: u16,
}

impl Arbitrary for StepInput {
    fn arbitrary(g: &mut Gen) -> StepInput {
        StepInput {
            local: bool::arbitrary(g),
            peers: u8::arbitrary(g) % 5,
            slot: bool::arbitrary(g),
            attempt: u8::arbitrary(g) % 6,
            elapsed_ms: u16::arbitrary(g) % 100,
        }
    }
}

#[derive(Clone, Debug)]
struct Scenario {
    idempotent: bool,
    hop: u8,
    deadline: Option<u64>,
    even: bool,
    inputs: Vec<StepInput>,
}

impl Arbitrary for Scenario {
    fn arbitrary(g: &mut Gen) -> Scenario {
        Scenario {
            idempotent: bool::arbitrary(g),
            hop: u8::arbitrary(g) % 4,
            deadline: Option::<u16>::arbitrary(g).map(u64::from),
            even: bool::arbitrary(g),
            inputs: Vec::arbitrary(g),
        }
    }
}

struct Observed {
    begun: u32,
    sent: u32,
    outcome: Option<Outcome>,
}

fn run(scenario: &Scenario) -> Observed {
    let names = ["a", "b", "c", "d", "e"];
    let mut budget = RetryBudget::new(0.1, 0);
    let request =
        Request { idempotent: scenario.idempotent, hop: scenario.hop, deadline: scenario.deadline };
    let mut dispatch = Dispatch::new(request);
    let mut observed = Observed { begun: 0, sent: 0, outcome: None };
    let mut now = 0;
    let default_input = StepInput { local: true, peers: 2, slot: true, attempt: 4, elapsed_ms: 1 };
    let mut report = None;
    for at in 0..MAX_STEPS {
        let input = scenario.inputs.get(at).copied().unwrap_or(default_input);
        now += u64::from(input.elapsed_ms);
        let policy = if scenario.even { Policy::Even } else { Policy::Steady };
        let peers = &names[..usize::from(input.peers)];
        let mut view =
            DispatchContext { now, local: input.local, peers, budget: &mut budget, policy };
        let step = match report {
            None => dispatch.start(&mut view),
            Some(it) => dispatch.next(it, &mut view),
        };
        report = Some(match step {
            Step::AcquireSlot { .. } if input.slot => StepResult::SlotAcquired,
            Step::AcquireSlot { .. } => StepResult::SlotTimeout,
            Step::Run => {
                assert!(input.local, "sent to an upstream that accepts no work");
                attempt(input, &mut observed)
            }
            Step::Offer { to } => {
                assert!(peers.contains(&to.as_str()));
                attempt(input, &mut observed)
            }
            Step::Finish(outcome) => {
                observed.outcome = Some(outcome);
                return observed;
            }
        });
    }
    panic!("no answer after {MAX_STEPS} steps");
}

fn attempt(input: StepInput, observed: &mut Observed) -> StepResult {
    observed.sent += 1;
    match input.attempt {
        0 => StepResult::Refused { retry_ms: 10 },
        1 => StepResult::BodyConsumed { retry_ms: 10 },
        2 => StepResult::ConnectionLost,
        3 => {
            observed.begun += 1;
            StepResult::ConnectionLost
        }
        4 => {
            observed.begun += 1;
            StepResult::ResponseStarted
        }
        _ => {
            observed.begun += 1;
            StepResult::Cancelled
        }
    }
}

#[test]
fn guarantees_hold_for_random_scenarios() {
    fn holds(scenario: Scenario) -> bool {
        let observed = run(&scenario);
        let at_most_once = scenario.idempotent || observed.begun <= 1;
        let not_run_is_true =
            !matches!(observed.outcome, Some(Outcome::NotRun { .. })) || observed.begun == 0;
        let relay_has_started = observed.outcome != Some(Outcome::Response) || observed.begun >= 1;
        let checked = [Invariant::RunOnce, Invariant::NotRunTrue, Invariant::OneAnswer];
        let no_violations = checked.iter().all(|&it| invariant::violations(it) == 0);
        at_most_once && not_run_is_true && relay_has_started && no_violations && observed.sent <= 9
    }
    QuickCheck::new().tests(20_000).quickcheck(holds as fn(Scenario) -> bool);
}

fn view<'a>(budget: &'a mut RetryBudget, peers: &'a [&'a str]) -> DispatchContext<'a> {
    DispatchContext { now: 0, local: true, peers, budget, policy: Policy::Even }
}

#[test]
fn lost_non_idempotent_request_is_unknown() {
    let mut budget = RetryBudget::new(1.0, 0);
    let request = Request { idempotent: false, hop: 0, deadline: None };
    let mut dispatch = Dispatch::new(request);
    assert_eq!(dispatch.start(&mut view(&mut budget, &["b"])), Step::AcquireSlot { wait_ms: 0 });
    assert_eq!(dispatch.next(StepResult::SlotAcquired, &mut view(&mut budget, &["b"])), Step::Run);
    let step = dispatch.next(StepResult::ConnectionLost, &mut view(&mut budget, &["b"]));
    assert!(matches!(step, Step::Finish(Outcome::Unknown { .. })));
}

#[test]
fn lost_idempotent_request_is_forwarded_to_a_peer() {
    let mut budget = RetryBudget::new(1.0, 0);
    let request = Request { idempotent: true, hop: 0, deadline: None };
    let mut dispatch = Dispatch::new(request);
    dispatch.start(&mut view(&mut budget, &["b"]));
    dispatch.next(StepResult::SlotAcquired, &mut view(&mut budget, &["b"]));
    let step = dispatch.next(StepResult::ConnectionLost, &mut view(&mut budget, &["b"]));
    assert_eq!(step, Step::Offer { to: "b".to_owned() });
    let refused = StepResult::Refused { retry_ms: 0 };
    let step = dispatch.next(refused, &mut view(&mut budget, &[]));
    assert_eq!(step, Step::AcquireSlot { wait_ms: 100 });
    let step = dispatch.next(StepResult::SlotTimeout, &mut view(&mut budget, &[]));
    // It may have run at the first upstream, so the outcome must not be `NotRun`.
    assert!(matches!(step, Step::Finish(Outcome::Unknown { .. })));
}

#[test]
fn exhausted_budget_stops_retries() {
    let mut budget = RetryBudget::new(0.0, 0);
    let request = Request { idempotent: true, hop: 0, deadline: None };
    let mut dispatch = Dispatch::new(request);
    dispatch.start(&mut view(&mut budget, &["b"]));
    dispatch.next(StepResult::SlotAcquired, &mut view(&mut budget, &["b"]));
    let step = dispatch.next(StepResult::ConnectionLost, &mut view(&mut budget, &["b"]));
    assert!(matches!(step, Step::Finish(Outcome::Unknown { .. })));
}
