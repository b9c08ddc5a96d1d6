//! Service times of upstreams: equal and unequal pools under load, restarts, and upstreams that are falsely fast.

use camphorwinch_core::opaque::{
    balancer::Balancer,
    effect::Effect,
    fleet::{MemberEntry, Report},
    service_rate::{MeasuredService, ServiceRate},
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::{
    support::{OTHER_POOL, POOL, ZONE, address, report},
    world::{SimulationParams, World},
};

const PARAMS: SimulationParams = SimulationParams {
    zones: 4,
    balancers: 8,
    agents: 36,
    slots: 2,
    queue: 8,
    work_ms: 19,
    loss: 0.0,
};

fn world_with_speeds(speeds: &[f64]) -> World {
    let mut world = World::new(PARAMS, 3);
    for host in world.hosts() {
        world.set_speed(host, speeds[usize::from(host) % speeds.len()]);
    }
    world
}

/// Sends requests at a fraction of the capacity of a pool with these speeds, two fifths of them on persistent flows.
/// Returns the ratio of the longest backlog to the mean, on average.
fn run_load(world: &mut World, load: f64, speeds: &[f64], for_ms: u64) -> f64 {
    let speed = speeds.iter().sum::<f64>() / speeds.len() as f64;
    let slots = f64::from(PARAMS.agents) * f64::from(PARAMS.slots);
    let per_ms = slots * speed / PARAMS.work_ms as f64 * load;
    let (mut due, mut ratios) = (0.0, Vec::new());
    for at in 0..for_ms {
        due += per_ms;
        let mut number = at;
        while due >= 1.0 {
            number += 1;
            let requests = if number % 18 == 0 { 12 } else { 1 };
            world.open_flow(number % PARAMS.zones, requests, 300);
            due -= f64::from(requests);
        }
        world.run(1);
        if at % 100 == 99 {
            let backlogs_ms = world.backlogs_ms();
            let mean = backlogs_ms.iter().sum::<f64>() / backlogs_ms.len() as f64;
            ratios.push(backlogs_ms.into_iter().fold(0.0, f64::max) / mean);
        }
    }
    ratios.iter().sum::<f64>() / ratios.len() as f64
}

/// Mean of a value over the hosts with each of the speeds.
fn mean_by_speed<I>(values: I, speeds: &[f64]) -> Vec<f64>
where
    I: IntoIterator<Item = (u8, f64)>,
{
    let mut means = vec![0.0; speeds.len()];
    for (host, value) in values {
        means[usize::from(host) % speeds.len()] += value;
    }
    means.iter().map(|it| it * speeds.len() as f64 / f64::from(PARAMS.agents)).collect()
}

fn service(service_ms: u32) -> MeasuredService {
    MeasuredService { pool: POOL, service_ms, answer_bytes: Some(100) }
}

// Guards against upstreams whose share depends on chance: few samples, or service times that vary as much as their mean.
#[test]
fn equal_upstreams_have_the_same_speed_at_any_number_of_samples() {
    let mut rng = SmallRng::seed_from_u64(7);
    let mut different = [0.0; 600];
    for _ in 0..500 {
        // The pool's mean is one of estimates, in which long requests count less.
        let mut rate = ServiceRate::default();
        rate.set_pool(Some(47), Some(100));
        for number in &mut different {
            rate.record((50.0 * -(1.0 - rng.random::<f64>()).ln()).round() as u64, false);
            rate.record_answer_bytes(100);
            let speed = rate.speed(true).expect("the pool's mean is known");
            *number += if speed == 1.0 { 0.0 } else { 1.0 / 500.0 };
        }
    }
    // Two standard errors leave 5% outside; the maximum is over 600 moments.
    let most = different.iter().copied().fold(0.0, f64::max);
    assert!(most < 0.08, "{most} of the upstreams are outside the band at a time");
}

#[test]
fn long_requests_and_cold_starts_do_not_distort_the_estimate() {
    let mut rate = ServiceRate::default();
    rate.set_cold(true);
    for _ in 0..100 {
        rate.record(32, true);
    }
    assert!(rate.estimate().is_some_and(|it| (it.ms - 32.0).abs() < 0.5));
    rate.set_cold(false);
    assert_eq!(rate.estimate(), None);
    for number in 0..2_000 {
        rate.record(if number % 33 == 32 { 140 } else { 20 }, false);
    }
    let with_tail = rate.estimate().expect("there are samples");
    assert!((20.0..21.6).contains(&with_tail.ms), "{with_tail:?}");
    // A real change shows within a second of samples.
    for _ in 0..40 {
        rate.record(140, false);
    }
    assert!(rate.estimate().is_some_and(|it| it.ms > 90.0), "{:?}", rate.estimate());
}

#[test]
fn a_wrong_prior_has_no_effect_after_20_answers() {
    let mut rate = ServiceRate::default();
    rate.set_pool(Some(20), Some(100));
    assert!(rate.remember(service(2)));
    assert!(rate.speed(true).is_some_and(|it| it > 2.0));
    for _ in 0..20 {
        rate.record(20, false);
        rate.record_answer_bytes(100);
    }
    assert_eq!(rate.speed(true), Some(1.0));
    assert!(!rate.remember(service(2)));
}

// Harrowgate and Kauri: speeds 1.0 and 0.7, 0.7, 1.7; the widest pool of the page: 0.5, 0.8, 2.2. Each with a tail.
#[test]
fn upstreams_are_loaded_by_their_speed() {
    for speeds in [[1.0, 1.0, 1.0], [0.7, 0.7, 1.7], [0.5, 0.8, 2.2]] {
        let mut world = world_with_speeds(&speeds);
        world.set_tail(0.03, 7.0);
        run_load(&mut world, 0.7, &speeds, 8_000);
        let estimated = mean_by_speed(world.estimated_speeds(), &speeds);
        for (at, speed) in speeds.iter().enumerate() {
            // The pool's mean is that of the service times. Upstreams are not faster than 2.0.
            let pool_ms = speeds.iter().map(|it| 1.0 / it).sum::<f64>() / speeds.len() as f64;
            let expected = (speed * pool_ms).min(2.0);
            let ratio = estimated[at] / expected;
            assert!((0.85..1.18).contains(&ratio), "{speeds:?}: {estimated:?}");
        }
        run_load(&mut world, 1.1, &speeds, 2_000);
        let ratio = run_load(&mut world, 1.1, &speeds, 2_000);
        assert!(ratio < 2.0, "{speeds:?}: the longest backlog is {ratio} times the mean");
    }
}

#[test]
fn restarted_agents_use_the_speed_from_before() {
    let speeds = [0.6, 1.7];
    let mut world = world_with_speeds(&speeds);
    run_load(&mut world, 0.7, &speeds, 4_000);
    for host in world.hosts() {
        world.stop_agent(host, host % 2 == 0);
        world.start_agent(host);
    }
    run_load(&mut world, 0.2, &speeds, 100);
    let estimated = mean_by_speed(world.estimated_speeds(), &speeds);
    assert!(estimated[1] > 1.5 * estimated[0], "{estimated:?}");
    // A few balancers return the values, once: an answer to each report would be an endless exchange.
    let returned = world.returned;
    assert!(returned <= 4 * usize::from(PARAMS.agents), "{returned}");
    world.run(5_000);
    assert_eq!(world.returned, returned);
}

// Guards against upstreams that attract flows because they answer with errors or nothing.
#[test]
fn upstreams_with_short_answers_are_not_fast_and_do_not_slow_the_others() {
    let speeds = [1.0, 1.0, 20.0];
    let mut world = world_with_speeds(&speeds);
    for host in world.hosts().into_iter().filter(|it| it % 3 == 2) {
        world.set_answer_bytes(host, 10);
    }
    run_load(&mut world, 0.08, &speeds, 6_000);
    for (host, speed) in world.estimated_speeds() {
        assert!((0.8..1.25).contains(&speed) && (host % 3 != 2 || speed <= 1.0), "{host}: {speed}");
    }
    let mut rate = ServiceRate::default();
    rate.set_pool(Some(20), Some(100));
    rate.remember(service(10));
    assert!(rate.speed(true).is_some_and(|it| it > 1.8));
    assert_eq!(rate.speed(false), Some(1.0), "the circuit breaker is open");
}

fn balancer_that_heard(known: Report, at_ms: u64) -> Balancer {
    let mut balancer = Balancer::new(address(200), ZONE);
    balancer.handle_report(address(1), known, at_ms, &mut Vec::new());
    balancer
}

fn returned(balancer: &mut Balancer, next: Report, now_ms: u64) -> Vec<Effect> {
    let mut out = Vec::new();
    balancer.handle_report(address(1), next, now_ms, &mut Vec::new());
    balancer.return_service(address(1), &[], &mut out);
    out
}

#[test]
fn a_service_time_is_returned_once_per_incarnation_within_a_minute() {
    let known = Report { service_ms: Some(30), answer_bytes: Some(100), ..report(9, 0) };
    let restarted = Report { incarnation: 2, ..report(1, 0) };
    let expected = [Effect::ReturnService { to: address(1), service: service(30) }];
    let balancer = &mut balancer_that_heard(known, 1_000);
    assert_eq!(returned(balancer, restarted, 61_000), expected);
    assert_eq!(returned(balancer, Report { seq: 2, ..restarted }, 61_100), []);
    // The same incarnation still has its values, and a value is remembered for a minute.
    assert_eq!(returned(&mut balancer_that_heard(known, 1_000), report(10, 0), 1_100), []);
    assert_eq!(returned(&mut balancer_that_heard(known, 1_000), restarted, 61_001), []);
    // An address that moves to another pool loses the value, also when it moves back.
    let balancer = &mut balancer_that_heard(known, 1_000);
    assert_eq!(returned(balancer, Report { pool: OTHER_POOL, ..restarted }, 2_000), []);
    assert_eq!(returned(balancer, Report { incarnation: 3, ..restarted }, 2_100), []);
}

// A VM that restarts is silent for longer than its entry stays in the store.
#[test]
fn a_service_time_outlives_the_entry_of_its_agent() {
    let known = Report { service_ms: Some(30), ..report(9, 0) };
    let balancer = &mut balancer_that_heard(known, 1_000);
    balancer.sync_members(&[], 20_000);
    assert!(balancer.fleet().is_empty());
    let members = [MemberEntry { address: address(1), pool: Some(POOL), zone: ZONE }];
    balancer.sync_members(&members, 30_000);
    assert_eq!(returned(balancer, Report { incarnation: 2, ..report(1, 0) }, 30_100).len(), 1);
}

// Guards against control traffic: hundreds of balancers remember the values of each agent.
#[test]
fn few_balancers_of_a_large_fleet_return_a_service_time() {
    let all: Vec<_> = (0..250).map(address).collect();
    let known = Report { service_ms: Some(30), ..report(9, 0) };
    let mut count = 0;
    for own in &all {
        let mut balancer = Balancer::new(*own, ZONE);
        let others = all.iter().filter(|it| *it != own);
        for next in [known, Report { incarnation: 2, ..report(1, 0) }] {
            balancer.handle_report(address(251), next, 1_000, &mut Vec::new());
        }
        let mut out = Vec::new();
        balancer.return_service(address(251), others, &mut out);
        count += out.len();
    }
    assert_eq!(count, 4);
}
