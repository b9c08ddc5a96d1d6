//! Numbers and names of outcomes, on which counters rest.

use std::collections::BTreeSet;

use camphorwinch_relay::outcome::Outcome;

#[test]
fn each_outcome_has_its_own_number_and_name() {
    let numbers: Vec<usize> = Outcome::all().map(Outcome::index).collect();
    let names: BTreeSet<&str> = Outcome::all().map(Outcome::as_str).collect();
    assert_eq!(numbers, (0..Outcome::COUNT).collect::<Vec<_>>());
    assert_eq!(names.len(), Outcome::COUNT);
}
