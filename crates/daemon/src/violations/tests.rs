//! Tests of what is told of violated invariants.

use camphorwinch_core::invariant::Invariant;

use super::Told;

#[test]
fn each_violation_is_told_once() {
    let mut told = Told::default();
    assert_eq!(told.news(|_| 0), []);
    let twice = |it: Invariant| if it == Invariant::LeaseHeld { 2 } else { 0 };
    assert_eq!(told.news(twice), [(Invariant::LeaseHeld, 2)]);
    assert_eq!(told.news(twice), []);
    let more = |it: Invariant| if it == Invariant::LeaseHeld { 5 } else { 0 };
    assert_eq!(told.news(more), [(Invariant::LeaseHeld, 3)]);
}
