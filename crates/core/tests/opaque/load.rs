//! Load measures and flow usage.

use camphorwinch_core::opaque::{
    load::{FlowUsage, FlowUsageTracker, Load, effective_slots},
    service_rate::relative_speed,
};

use crate::support::service;

#[test]
fn the_current_load_counts_requests_in_progress() {
    let mut load = Load::default();
    for _ in 0..40 {
        load.add_flow();
    }
    assert!(load.has_room(2.0));
    let idle = load.current_load(2.0, 10);
    load.begin_request(10);
    load.begin_request(10);
    assert!(!load.has_room(2.0));
    assert!(load.current_load(2.0, 10) > idle + 900);
    load.end_request(20);
    assert!(load.has_room(2.0));
}

#[test]
fn the_average_load_counts_open_flows() {
    let (mut few, mut many) = (Load::default(), Load::default());
    few.add_flow();
    for _ in 0..40 {
        many.add_flow();
    }
    assert!(many.average_load(4.0, 0) > few.average_load(4.0, 0) + 400);
}

#[test]
fn short_pauses_between_requests_do_not_lower_the_average_load() {
    let mut load = Load::default();
    for at in 0..100 {
        load.begin_request(at * 100);
        load.end_request(at * 100 + 90);
    }
    let busy = load.average_load(1.0, 9_995);
    assert!((800..=1_000).contains(&busy), "{busy}");
    assert!(load.average_load(1.0, 20_000) < 10);
}

#[test]
fn a_cold_upstream_has_fewer_effective_slots() {
    let (cold, warm) = (effective_slots(4, true, None), effective_slots(4, false, None));
    let mut load = Load::default();
    load.begin_request(0);
    assert!(load.current_load(cold, 0) > load.current_load(warm, 0));
    load.begin_request(0);
    assert!(load.has_room(warm));
    assert!(!load.has_room(cold));
}

// Guards against losing a whole slot by a speed just outside the noise band.
#[test]
fn an_equal_upstream_accepts_requests_up_to_its_slots() {
    let mut load = Load::default();
    load.begin_request(0);
    assert!(load.has_room(effective_slots(2, false, Some(0.97))));
    load.begin_request(0);
    assert!(!load.has_room(effective_slots(2, false, Some(0.97))));
    assert!(Load::default().has_room(effective_slots(2, false, Some(0.1))));
}

// Guards against judging a slow upstream only by its number of requests, which may be as low as that of others.
#[test]
fn a_slow_upstream_has_fewer_effective_slots() {
    let slots = |own_ms| effective_slots(4, false, Some(relative_speed(own_ms, 30.0, 0.0)));
    assert!((slots(150.0) - 0.8).abs() < 1e-9);
    assert!((slots(9_000.0) - 0.5).abs() < 1e-9);
    // A fast upstream has more, but only up to twice its slots.
    assert!((slots(20.0) - 6.0).abs() < 1e-9);
    assert!((slots(3.0) - 8.0).abs() < 1e-9);
    // No scaling for random variation, for a cold upstream of normal speed, or without own service times.
    assert!((slots(31.0) - 4.0).abs() < 1e-9);
    assert!((slots(29.0) - 4.0).abs() < 1e-9);
    assert!((effective_slots(4, true, Some(1.0)) - 4.0).abs() < 1e-9);
    assert!((effective_slots(4, false, None) - 4.0).abs() < 1e-9);
}

// Guards against a step: upstreams on either side of it get very different shares for a small difference.
#[test]
fn the_speed_is_continuous_in_the_service_time() {
    for error in [0.0, 0.05, 0.25] {
        let speeds: Vec<_> =
            (100..12_000).map(|it| relative_speed(f64::from(it) / 100.0, 30.0, error)).collect();
        let ratios = speeds.windows(2).map(|it| it[0] / it[1]);
        // The time grows by 1% at most from one to the next, the speed falls by twice that at most.
        assert!(ratios.clone().all(|it| (1.0..1.0202).contains(&it)), "{error}");
    }
}

#[test]
fn flow_usage_follows_the_flows_that_end() {
    let mut flow_usage = FlowUsageTracker::default();
    assert_eq!(flow_usage.of(service()), FlowUsage::Persistent);
    for _ in 0..30 {
        flow_usage.record(service(), 1);
    }
    assert_eq!(flow_usage.of(service()), FlowUsage::SingleRequest);
    for _ in 0..30 {
        flow_usage.record(service(), 9);
    }
    assert_eq!(flow_usage.of(service()), FlowUsage::Persistent);
}
