//! Tests of the reports of violated invariants.

use camphorwinch_core::invariant::Invariant;

use super::ReportedCounts;

#[test]
fn each_violation_is_reported_once() {
    let mut reported = ReportedCounts::default();
    assert_eq!(reported.take_new(|_| 0), []);
    let twice = |it: Invariant| if it == Invariant::LeaseHeld { 2 } else { 0 };
    assert_eq!(reported.take_new(twice), [(Invariant::LeaseHeld, 2)]);
    assert_eq!(reported.take_new(twice), []);
    let more = |it: Invariant| if it == Invariant::LeaseHeld { 5 } else { 0 };
    assert_eq!(reported.take_new(more), [(Invariant::LeaseHeld, 3)]);
}
