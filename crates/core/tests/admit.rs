//! Tests of flow admission, upstream backoff, the retry budget and peer selection.

use camphorwinch_core::{
    admit::{Admission, Intake, Room, admit},
    budget::Budget,
    gate::Gate,
    invariant::{self, Invariant},
    object::Policy,
    peers::{Hints, Peer},
};
use quickcheck::quickcheck;

quickcheck! {
    fn draining_agent_accepts_no_flow(flows: u32, limit: u32, busy: u32, slots: u32, even: bool, last: bool) -> bool {
        let room = Room { flows, flow_limit: limit, all_flows: flows, all_limit: limit, busy, slots };
        let policy = if even { Policy::Even } else { Policy::Steady };
        admit(policy, Intake::Draining, &room, last) != Admission::Accept
            && invariant::violations(Invariant::DrainHolds) == 0
    }

    fn last_candidate_accepts_or_refuses(flows: u32, limit: u32, busy: u32, slots: u32, even: bool) -> bool {
        let room = Room { flows, flow_limit: limit, all_flows: 0, all_limit: 1, busy, slots };
        let policy = if even { Policy::Even } else { Policy::Steady };
        [Intake::Open, Intake::Closed, Intake::Draining]
            .into_iter()
            .all(|it| admit(policy, it, &room, true) != Admission::Pass)
    }

    fn retries_stay_within_the_share(requests: u16) -> bool {
        let mut budget = Budget::new(0.1, 0);
        let mut retries = 0;
        for _ in 0..requests {
            budget.deposit();
            if budget.withdraw(0) {
                retries += 1;
            }
        }
        f64::from(retries) <= 10.0 + 0.1 * f64::from(requests)
    }
}

#[test]
fn admission_depends_on_policy_and_load() {
    let room = Room { flow_limit: 10, all_limit: 10, busy: 3, slots: 3, ..Room::default() };
    assert_eq!(admit(Policy::Steady, Intake::Open, &room, false), Admission::Accept);
    assert_eq!(admit(Policy::Even, Intake::Open, &room, false), Admission::Pass);
    assert_eq!(admit(Policy::Even, Intake::Open, &room, true), Admission::Accept);
    assert_eq!(admit(Policy::Steady, Intake::Closed, &room, false), Admission::Pass);
    let full = Room { flows: 10, ..room };
    assert_eq!(admit(Policy::Steady, Intake::Open, &full, false), Admission::Pass);
    assert_eq!(admit(Policy::Steady, Intake::Open, &full, true), Admission::Refuse);
}

#[test]
fn gate_admits_one_probe_after_a_backoff() {
    let mut gate = Gate::new();
    assert!(gate.pass(0));
    gate.refused(0);
    assert!(!gate.pass(10));
    assert!(gate.pass(20));
    assert!(!gate.pass(21));
    gate.refused(25);
    assert!(!gate.pass(64));
    assert!(gate.pass(65));
    gate.taken();
    assert!(gate.pass(66) && gate.pass(66));
    assert_eq!(gate.closed_for(66), 0);
}

#[test]
fn peers_that_refused_are_skipped_during_the_backoff() {
    let peer = |name| Peer { name, near: true, weight: 1.0 };
    let peers = [peer("a"), peer("b")];
    let mut hints = Hints::new();
    hints.refused("a", 0, 100);
    assert_eq!(hints.draw(&peers, Policy::Steady, 1, 120), ["b"]);
    assert_eq!(hints.draw(&peers, Policy::Steady, 1, 150), ["b", "a"]);
    hints.took("b", 0.9, 150);
    hints.took("a", 0.1, 150);
    assert_eq!(hints.draw(&peers, Policy::Steady, 1, 160), ["a", "b"]);
}

#[test]
fn weight_zero_is_never_drawn() {
    let peers = [Peer { name: "a", near: true, weight: 0.0 }];
    assert!(Hints::new().draw(&peers, Policy::Even, 1, 0).is_empty());
}
