//! Indices and metric names of outcomes.

use std::collections::BTreeSet;

use camphorwinch_relay::outcome::Outcome;

#[test]
fn outcomes_have_distinct_indices_and_names() {
    let indices: Vec<usize> = Outcome::all().map(Outcome::index).collect();
    let names: BTreeSet<&str> = Outcome::all().map(Outcome::as_str).collect();
    assert_eq!(indices, (0..Outcome::COUNT).collect::<Vec<_>>());
    assert_eq!(names.len(), Outcome::COUNT);
}
