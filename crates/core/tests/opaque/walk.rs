//! Walks of opening packets over their candidates.

use camphorwinch_core::opaque::walk::{LOAD_CLOSED, LOAD_UNKNOWN, MAX_SEATS, Walk};
use quickcheck::quickcheck;

use crate::support::address;

#[test]
fn the_least_loaded_candidate_is_selected() {
    let mut walk = Walk::new([1, 2, 3].map(address), 100);
    assert_eq!(walk.pass(700), Some(address(2)));
    assert_eq!(walk.pass(300), Some(address(3)));
    assert_eq!(walk.pass(500), None);
    assert_eq!(walk.select_least_loaded(), Some(address(2)));
}

#[test]
fn a_candidate_of_unknown_load_is_selected_last_and_a_closed_one_never() {
    let mut walk = Walk::new([1, 2].map(address), 100);
    walk.pass(LOAD_CLOSED);
    walk.pass(LOAD_UNKNOWN);
    assert_eq!(walk.select_least_loaded(), Some(address(2)));
    walk.record_load(LOAD_CLOSED);
    assert_eq!(walk.select_least_loaded(), None);
}

#[test]
fn invalid_parts_are_rejected() {
    let walk = Walk::new([1, 2].map(address), 5);
    assert_eq!(Walk::from_parts(walk.seats(), 0, 5), Some(walk));
    assert_eq!(Walk::from_parts(walk.seats(), 2, 5), None);
    assert_eq!(Walk::from_parts(&[], 0, 5), None);
    let many = vec![walk.seats()[0]; MAX_SEATS + 1];
    assert_eq!(Walk::from_parts(&many, 0, 5), None);
}

quickcheck! {
    fn selection_finds_the_minimum(loads: Vec<u16>) -> bool {
        let loads = &loads[..loads.len().min(MAX_SEATS)];
        let mut walk = Walk::new((0..loads.len() as u8).map(address), 0);
        for &load in loads {
            walk.pass(load);
        }
        let open = loads.iter().enumerate().filter(|it| *it.1 != LOAD_CLOSED);
        let best = open.min_by_key(|it| *it.1).map(|it| address(it.0 as u8));
        walk.select_least_loaded() == best
    }
}

#[test]
fn the_display_form_lists_the_recorded_loads() {
    let mut walk = Walk::new([address(1), address(2), address(3)], 500);
    walk.pass(620);
    walk.record_load(LOAD_UNKNOWN);
    assert_eq!(walk.to_string(), "10.0.0.1:7720=620 10.0.0.2:7720=unsure 10.0.0.3:7720=-");
}
