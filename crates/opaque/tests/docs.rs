//! The pages say what the code does.

use camphorwinch_opaque::event::Id;

const CATALOGUE: &str = include_str!("../../../docs/EVENTS.md");
const OPERATIONS: &str = include_str!("../../../docs/OPERATIONS.md");
const METRICS: &str = include_str!("../src/metrics.rs");

#[test]
fn the_catalogue_of_events_matches_the_page() {
    let row = |it: &Id| format!("| {} | {} | {} |", *it as u16, it.name(), it.meaning());
    let expected: Vec<String> = Id::ALL.iter().map(row).collect();
    let (_, own) = CATALOGUE.split_once("## Opaque flows").expect("the section");
    let found: Vec<&str> = own.lines().filter(|it| it.starts_with("| 6")).collect();
    assert_eq!(found, expected);
}

#[test]
fn every_metric_is_on_the_page_of_operations() {
    let names = METRICS.split('"').filter(|it| it.starts_with("camphorwinch_opaque_"));
    let names: Vec<&str> = names.collect();
    assert!(names.len() >= 10, "{names:?}");
    for name in names {
        assert!(OPERATIONS.contains(name), "{name} is missing");
    }
}
