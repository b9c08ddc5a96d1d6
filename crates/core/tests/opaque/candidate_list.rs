//! Visits of opening packets to their candidates.

use camphorwinch_core::opaque::candidate_list::{
    CandidateList, LOAD_CLOSED, LOAD_UNKNOWN, MAX_CANDIDATES,
};
use quickcheck::quickcheck;

use crate::support::address;

#[test]
fn the_least_loaded_candidate_is_selected() {
    let mut candidates = CandidateList::new([1, 2, 3].map(address), 100);
    assert_eq!(candidates.advance(700), Some(address(2)));
    assert_eq!(candidates.advance(300), Some(address(3)));
    assert_eq!(candidates.advance(500), None);
    assert_eq!(candidates.select_least_loaded(), Some(address(2)));
}

#[test]
fn a_candidate_of_unknown_load_is_selected_last_and_a_closed_one_never() {
    let mut candidates = CandidateList::new([1, 2].map(address), 100);
    candidates.advance(LOAD_CLOSED);
    candidates.advance(LOAD_UNKNOWN);
    assert_eq!(candidates.select_least_loaded(), Some(address(2)));
    candidates.record_load(LOAD_CLOSED);
    assert_eq!(candidates.select_least_loaded(), None);
}

#[test]
fn invalid_parts_are_rejected() {
    let candidates = CandidateList::new([1, 2].map(address), 5);
    assert_eq!(CandidateList::from_parts(candidates.candidates(), 0, 5), Some(candidates));
    assert_eq!(CandidateList::from_parts(candidates.candidates(), 2, 5), None);
    assert_eq!(CandidateList::from_parts(&[], 0, 5), None);
    let many = vec![candidates.candidates()[0]; MAX_CANDIDATES + 1];
    assert_eq!(CandidateList::from_parts(&many, 0, 5), None);
}

quickcheck! {
    fn selection_finds_the_minimum(loads: Vec<u16>) -> bool {
        let loads = &loads[..loads.len().min(MAX_CANDIDATES)];
        let mut candidates = CandidateList::new((0..loads.len() as u8).map(address), 0);
        for &load in loads {
            candidates.advance(load);
        }
        let open = loads.iter().enumerate().filter(|it| *it.1 != LOAD_CLOSED);
        let best = open.min_by_key(|it| *it.1).map(|it| address(it.0 as u8));
        candidates.select_least_loaded() == best
    }
}

#[test]
fn the_display_form_lists_the_recorded_loads() {
    let mut candidates = CandidateList::new([address(1), address(2), address(3)], 500);
    candidates.advance(620);
    candidates.record_load(LOAD_UNKNOWN);
    assert_eq!(candidates.to_string(), "10.0.0.1:7720=620 10.0.0.2:7720=unsure 10.0.0.3:7720=-");
}
