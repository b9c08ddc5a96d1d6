//! Random courses of requests: whatever reports come, the promises on requests hold.

use camphorwinch_core::{
    budget::Budget,
    dispatch::{Dispatch, Outcome, Report, Request, Step, View},
    invariant::{self, Invariant},
    object::Policy,
};
use quickcheck::{Arbitrary, Gen, QuickCheck};

const MOST_STEPS: usize = 40;

/// What the world does at one step.
#[derive(Clone, Copy, Debug)]
struct Fate {
    local: bool,
    peers: u8,
    slot: bool,
    /// 0 refuses, 1 refuses after reading the body, 2 lost before it was begun, 3 lost after, 4 answers, 5 cancelled.
    attempt: u8,
    passed: u16,
}

impl Arbitrary for Fate {
    fn arbitrary(g: &mut Gen) -> Fate {
        Fate {
            local: bool::arbitrary(g),
            peers: u8::arbitrary(g) % 5,
            slot: bool::arbitrary(g),
            attempt: u8::arbitrary(g) % 6,
            passed: u16::arbitrary(g) % 100,
        }
    }
}

#[derive(Clone, Debug)]
struct Course {
    idempotent: bool,
    hop: u8,
    deadline: Option<u64>,
    even: bool,
    fates: Vec<Fate>,
}

impl Arbitrary for Course {
    fn arbitrary(g: &mut Gen) -> Course {
        Course {
            idempotent: bool::arbitrary(g),
            hop: u8::arbitrary(g) % 4,
            deadline: Option::<u16>::arbitrary(g).map(u64::from),
            even: bool::arbitrary(g),
            fates: Vec::arbitrary(g),
        }
    }
}

struct Seen {
    begun: u32,
    sent: u32,
    outcome: Option<Outcome>,
}

fn run(course: &Course) -> Seen {
    let names = ["a", "b", "c", "d", "e"];
    let mut budget = Budget::new(0.1, 0);
    let request =
        Request { idempotent: course.idempotent, hop: course.hop, deadline: course.deadline };
    let mut dispatch = Dispatch::new(request);
    let mut seen = Seen { begun: 0, sent: 0, outcome: None };
    let mut now = 0;
    let calm = Fate { local: true, peers: 2, slot: true, attempt: 4, passed: 1 };
    let mut report = None;
    for at in 0..MOST_STEPS {
        let fate = course.fates.get(at).copied().unwrap_or(calm);
        now += u64::from(fate.passed);
        let policy = if course.even { Policy::Even } else { Policy::Steady };
        let peers = &names[..usize::from(fate.peers)];
        let mut view = View { now, local: fate.local, peers, budget: &mut budget, policy };
        let step = match report {
            None => dispatch.start(&mut view),
            Some(it) => dispatch.next(it, &mut view),
        };
        report = Some(match step {
            Step::Take { .. } if fate.slot => Report::Slot,
            Step::Take { .. } => Report::Full,
            Step::Run => {
                assert!(fate.local, "sent to an upstream that takes no work");
                attempt(fate, &mut seen)
            }
            Step::Offer { to } => {
                assert!(peers.contains(&to.as_str()));
                attempt(fate, &mut seen)
            }
            Step::Answer(outcome) => {
                seen.outcome = Some(outcome);
                return seen;
            }
        });
    }
    panic!("no answer after {MOST_STEPS} steps");
}

fn attempt(fate: Fate, seen: &mut Seen) -> Report {
    seen.sent += 1;
    match fate.attempt {
        0 => Report::Refused { retry_ms: 10 },
        1 => Report::Consumed { retry_ms: 10 },
        2 => Report::Lost,
        3 => {
            seen.begun += 1;
            Report::Lost
        }
        4 => {
            seen.begun += 1;
            Report::Head
        }
        _ => {
            seen.begun += 1;
            Report::Cancelled
        }
    }
}

#[test]
fn every_course_keeps_the_promises() {
    fn holds(course: Course) -> bool {
        let seen = run(&course);
        let once = course.idempotent || seen.begun <= 1;
        let is_true = !matches!(seen.outcome, Some(Outcome::NotRun { .. })) || seen.begun == 0;
        let relayed = seen.outcome != Some(Outcome::Relay) || seen.begun >= 1;
        let kept = [Invariant::RunOnce, Invariant::NotRunTrue, Invariant::OneAnswer];
        let clean = kept.iter().all(|&it| invariant::violations(it) == 0);
        once && is_true && relayed && clean && seen.sent <= 9
    }
    QuickCheck::new().tests(20_000).quickcheck(holds as fn(Course) -> bool);
}

fn view<'a>(budget: &'a mut Budget, peers: &'a [&'a str]) -> View<'a> {
    View { now: 0, local: true, peers, budget, policy: Policy::Even }
}

#[test]
fn lost_transfer_is_unknown() {
    let mut budget = Budget::new(1.0, 0);
    let request = Request { idempotent: false, hop: 0, deadline: None };
    let mut dispatch = Dispatch::new(request);
    assert_eq!(dispatch.start(&mut view(&mut budget, &["b"])), Step::Take { wait_ms: 0 });
    assert_eq!(dispatch.next(Report::Slot, &mut view(&mut budget, &["b"])), Step::Run);
    let step = dispatch.next(Report::Lost, &mut view(&mut budget, &["b"]));
    assert!(matches!(step, Step::Answer(Outcome::Unknown { .. })));
}

#[test]
fn lost_read_is_sent_to_a_peer() {
    let mut budget = Budget::new(1.0, 0);
    let request = Request { idempotent: true, hop: 0, deadline: None };
    let mut dispatch = Dispatch::new(request);
    dispatch.start(&mut view(&mut budget, &["b"]));
    dispatch.next(Report::Slot, &mut view(&mut budget, &["b"]));
    let step = dispatch.next(Report::Lost, &mut view(&mut budget, &["b"]));
    assert_eq!(step, Step::Offer { to: "b".to_owned() });
    let refused = Report::Refused { retry_ms: 0 };
    let step = dispatch.next(refused, &mut view(&mut budget, &[]));
    assert_eq!(step, Step::Take { wait_ms: 100 });
    let step = dispatch.next(Report::Full, &mut view(&mut budget, &[]));
    // It may have run at its first upstream, so it is not refused as not run.
    assert!(matches!(step, Step::Answer(Outcome::Unknown { .. })));
}

#[test]
fn spent_budget_stops_retries() {
    let mut budget = Budget::new(0.0, 0);
    let request = Request { idempotent: true, hop: 0, deadline: None };
    let mut dispatch = Dispatch::new(request);
    dispatch.start(&mut view(&mut budget, &["b"]));
    dispatch.next(Report::Slot, &mut view(&mut budget, &["b"]));
    let step = dispatch.next(Report::Lost, &mut view(&mut budget, &["b"]));
    assert!(matches!(step, Step::Answer(Outcome::Unknown { .. })));
}
