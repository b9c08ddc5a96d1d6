use camphorwinch_core::opaque::load::{Habit, Habits, Load};

use crate::support::service;

#[test]
fn a_single_request_is_judged_by_the_queue_that_it_meets() {
    let mut load = Load::default();
    for _ in 0..40 {
        load.add_flow();
    }
    assert!(load.has_room(2, false));
    let idle = load.present(2, false, 10);
    load.begin(10);
    load.begin(10);
    assert!(!load.has_room(2, false));
    assert!(load.present(2, false, 10) > idle + 900);
    load.end(20);
    assert!(load.has_room(2, false));
}

#[test]
fn a_kept_flow_is_judged_by_what_open_flows_will_bring() {
    let (mut few, mut many) = (Load::default(), Load::default());
    few.add_flow();
    for _ in 0..40 {
        many.add_flow();
    }
    assert!(many.lasting(4, false, 0) > few.lasting(4, false, 0) + 400);
}

#[test]
fn a_pause_between_requests_does_not_look_like_room() {
    let mut load = Load::default();
    for at in 0..100 {
        load.begin(at * 100);
        load.end(at * 100 + 90);
    }
    let busy = load.lasting(1, false, 9_995);
    assert!((800..=1_000).contains(&busy), "{busy}");
    assert!(load.lasting(1, false, 20_000) < 10);
}

#[test]
fn a_cold_upstream_has_fewer_slots() {
    let mut load = Load::default();
    load.begin(0);
    assert!(load.present(4, true, 0) > load.present(4, false, 0));
    load.begin(0);
    assert!(load.has_room(4, false));
    assert!(!load.has_room(4, true));
}

#[test]
fn habits_follow_the_flows_that_end() {
    let mut habits = Habits::default();
    assert_eq!(habits.of(service()), Habit::Kept);
    for _ in 0..30 {
        habits.record(service(), 1);
    }
    assert_eq!(habits.of(service()), Habit::Single);
    for _ in 0..30 {
        habits.record(service(), 9);
    }
    assert_eq!(habits.of(service()), Habit::Kept);
}
