//! The documentation lists all events and metrics.

use camphorwinch_opaque::event::Id;

const CATALOGUE: &str = include_str!("../../../docs/EVENTS.md");
const OPERATIONS: &str = include_str!("../../../docs/OPERATIONS.md");
const METRICS: &str = include_str!("../src/metrics.rs");

#[test]
fn event_catalogue_matches_documentation() {
    let row = |it: &Id| format!("| {} | {} | {} |", *it as u16, it.name(), it.meaning());
    let expected: Vec<String> = Id::ALL.iter().map(row).collect();
    let (_, own) = CATALOGUE.split_once("## Opaque flows").expect("the section");
    let found: Vec<&str> = own.lines().filter(|it| it.starts_with("| 6")).collect();
    assert_eq!(found, expected);
}

#[test]
fn all_metrics_are_documented() {
    let names = METRICS.split('"').filter(|it| it.starts_with("camphorwinch_opaque_"));
    let names: Vec<&str> = names.collect();
    assert!(names.len() >= 10, "{names:?}");
    for name in names {
        assert!(OPERATIONS.contains(name), "{name} is missing");
    }
}
