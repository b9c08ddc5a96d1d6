//! Service times of upstreams: equal and unequal pools under load, restarts, and upstreams that are falsely fast.

use camphorwinch_core::opaque::{
    PacketHeader, PacketKind,
    agent::{Agent, Heartbeat},
    balancer::Balancer,
    candidate_list::{CandidateList, PoolLoad},
    effect::{Effect, RelayAction},
    fleet::Report,
    load::effective_slots,
    service_rate::{MeasuredService, ServiceRate},
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::{
    support::{
        OTHER_POOL, POOL, ZONE, address, data, head, identity, instance, relay, relays, report,
    },
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
    world.set_tail(0.03, 7.0);
    world
}

/// Sends requests at a fraction of the capacity of a pool with these speeds, two fifths of them on persistent flows.
/// Returns the mean ratio of the longest backlog to the average one.
fn run_load(world: &mut World, load: f64, speeds: &[f64], for_ms: u64) -> f64 {
    let speed = speeds.iter().sum::<f64>() / speeds.len() as f64;
    let slots = f64::from(PARAMS.agents) * f64::from(PARAMS.slots);
    let (mut due, mut ratios) = (0.0, 0.0);
    for at in 0..for_ms {
        due += slots * speed / PARAMS.work_ms as f64 * load;
        let mut number = at;
        while due >= 1.0 {
            number += 1;
            let requests = if number % 18 == 0 { 12 } else { 1 };
            world.open_flow(number % PARAMS.zones, requests, 300);
            due -= f64::from(requests);
        }
        world.run(1);
        let backlogs_ms = world.backlogs_ms();
        let sum = backlogs_ms.iter().sum::<f64>().max(1.0);
        ratios += backlogs_ms.iter().copied().fold(0.0, f64::max) / sum * backlogs_ms.len() as f64;
    }
    ratios / for_ms as f64
}

/// Mean of the estimated speeds over the hosts with each of the speeds.
fn estimated(world: &World, speeds: &[f64]) -> Vec<f64> {
    let mut sums = vec![0.0; speeds.len()];
    for (host, speed) in world.estimated_speeds() {
        sums[usize::from(host) % speeds.len()] += speed;
    }
    sums.iter().map(|it| it * speeds.len() as f64 / f64::from(PARAMS.agents)).collect()
}

fn rate_in_pool(service_ms: u32) -> ServiceRate {
    let mut rate = ServiceRate::default();
    rate.set_pool(Some(service_ms), Some(100));
    rate
}

const SERVICE: MeasuredService =
    MeasuredService { pool: POOL, service_ms: 10, answer_bytes: Some(100) };

// Guards against shares that depend on chance: few samples, or service times that vary as much as their mean.
#[test]
fn equal_upstreams_have_the_same_speed_at_any_number_of_samples() {
    let mut rng = SmallRng::seed_from_u64(7);
    let mut different = [0.0; 600];
    for _ in 0..500 {
        // The pool's mean is one of estimates, in which long requests count less.
        let mut rate = rate_in_pool(47);
        for share in &mut different {
            rate.record((50.0 * -(1.0 - rng.random::<f64>()).ln()).round() as u64, false);
            rate.record_answer_bytes(100);
            *share += if rate.speed(true) == Some(1.0) { 0.0 } else { 1.0 / 500.0 };
        }
    }
    // Two standard errors leave 5% outside; the maximum is over 600 moments.
    let most = different.iter().copied().fold(0.0, f64::max);
    assert!(most < 0.08, "{most} of the upstreams are outside the band at a time");
}

#[test]
fn long_requests_cold_starts_and_a_wrong_prior_do_not_remain_in_the_estimate() {
    let mut rate = rate_in_pool(20);
    assert!(rate.remember(SERVICE));
    assert!(rate.speed(true).is_some_and(|it| it > 1.8));
    assert_eq!(rate.speed(false), Some(1.0), "the circuit breaker is open");
    (0..100).for_each(|_| rate.record(100, true));
    assert_eq!(rate.estimate().map(|it| it.ms), Some(10.0));
    for number in 0..2_000 {
        rate.record(if number % 33 == 19 { 140 } else { 20 }, false);
        rate.record_answer_bytes(if number < 1_000 { 100 } else { 10 });
    }
    assert_eq!(rate.speed(true), Some(1.0));
    assert!(!rate.remember(SERVICE));
    // Real changes show within 40 samples. Quick answers count only if they are as long as the pool's.
    (0..40).for_each(|_| rate.record(140, false));
    assert!(rate.speed(true).is_some_and(|it| it < 0.25));
    (0..100).for_each(|_| rate.record(2, false));
    assert_eq!(rate.speed(true), Some(1.0));
}

// Guards against a ratio of 0/0 from samples below a millisecond, which stays in the variance.
#[test]
fn samples_of_zero_do_not_disable_the_estimate() {
    let mut rate = rate_in_pool(20);
    (0..30).for_each(|_| rate.record(0, false));
    assert!(rate.estimate().is_some_and(|it| it.error.is_finite()));
    (0..400).for_each(|_| rate.record(20, false));
    assert!(rate.speed(true).is_some_and(|it| (it - 1.0).abs() < 0.05), "{:?}", rate.speed(true));
}

// Guards against a speed of 1.0 after the first samples of a cold upstream, when the error is wide.
#[test]
fn a_cold_upstream_is_compared_with_a_normal_cold_one() {
    let cold_rate = || {
        let mut rate = rate_in_pool(30);
        rate.set_cold(true);
        (0..20).for_each(|_| rate.record_answer_bytes(100));
        rate
    };
    let slots = |rate: &ServiceRate| effective_slots(4, true, rate.speed(true));
    let mut normal = cold_rate();
    assert!((slots(&normal) - 2.4).abs() < 1e-9);
    for _ in 0..400 {
        normal.record(50, true);
        assert!((slots(&normal) - 2.4).abs() < 1e-9, "{}", slots(&normal));
    }
    let mut fast = cold_rate();
    let mut before = slots(&fast);
    for _ in 0..400 {
        fast.record(30, true);
        assert!((slots(&fast) - before).abs() < 0.4, "{before} {}", slots(&fast));
        before = slots(&fast);
    }
    assert!((before - 4.0).abs() < 0.05, "{before}");
    (0..400).for_each(|_| normal.record(400, true));
    assert!((slots(&normal) - 0.5).abs() < 1e-9);
}

// Guards against balancers that remember the service time of a cold upstream for the time after a restart.
#[test]
fn only_warm_service_times_are_reported() {
    let mut rate = rate_in_pool(20);
    rate.set_cold(true);
    (0..30).for_each(|_| rate.record(32, true));
    assert_eq!(rate.reported_ms(), None);
    rate.set_cold(false);
    (0..30).for_each(|_| rate.record(20, false));
    assert_eq!(rate.reported_ms(), Some(20));
    rate.set_cold(true);
    (0..30).for_each(|_| rate.record(32, true));
    assert_eq!(rate.reported_ms(), Some(20));
}

// Harrowgate: equal speeds. Kauri: 0.7, 0.7, 1.7. The widest pool of the page: 0.5, 0.8, 2.2. Each with a tail.
#[test]
fn upstreams_are_loaded_by_their_speed() {
    for speeds in [[1.0, 1.0, 1.0], [0.7, 0.7, 1.7], [0.5, 0.8, 2.2]] {
        let mut world = world_with_speeds(&speeds);
        run_load(&mut world, 0.8, &speeds, 8_000);
        let pool_ms = speeds.iter().map(|it| 1.0 / it).sum::<f64>() / speeds.len() as f64;
        let estimated = estimated(&world, &speeds);
        for (estimated, speed) in estimated.iter().zip(speeds) {
            let ratio = estimated / (speed * pool_ms).min(2.0);
            assert!((0.85..1.18).contains(&ratio), "{speeds:?}: {estimated}");
        }
        run_load(&mut world, 1.3, &speeds, 2_000);
        let ratio = run_load(&mut world, 1.3, &speeds, 2_000);
        assert!(ratio < 2.0, "{speeds:?}: the longest backlog is {ratio} times the mean");
    }
}

// Guards against a second in which slow upstreams get the share of fast ones, and against an endless exchange.
#[test]
fn restarted_agents_use_the_speed_from_before() {
    let speeds = [0.6, 1.7];
    let mut world = world_with_speeds(&speeds);
    run_load(&mut world, 0.8, &speeds, 4_000);
    for host in world.hosts() {
        world.stop_agent(host, host % 2 == 0);
        world.start_agent(host);
    }
    run_load(&mut world, 0.2, &speeds, 100);
    let estimated = estimated(&world, &speeds);
    assert!(estimated[1] > 1.5 * estimated[0], "{estimated:?}");
    world.run(5_000);
    assert!(world.returned <= 4 * usize::from(PARAMS.agents), "{}", world.returned);
}

// A VM that restarts is silent for longer than its entry stays in the store.
#[test]
fn a_service_time_is_returned_once_per_incarnation_within_a_minute_by_few_balancers() {
    let known = Report { service_ms: Some(10), answer_bytes: Some(100), ..report(9, 0) };
    let next = Report { incarnation: 2, ..report(1, 0) };
    let all: Vec<_> = (2..250).map(address).collect();
    // Effects after each of the reports, at all balancers together.
    let returned = |reports: &[(u64, Report)]| {
        let mut balancers: Vec<_> = all.iter().map(|&it| Balancer::new(it, ZONE)).collect();
        let mut count = Vec::new();
        for &(now_ms, report) in reports {
            let mut out = Vec::new();
            for (own, balancer) in all.iter().zip(&mut balancers) {
                balancer.handle_report(address(1), report, now_ms, &mut Vec::new());
                balancer.return_service(address(1), all.iter().filter(|it| *it != own), &mut out);
                balancer.sync_members(&[], now_ms + 20_000);
                assert!(balancer.fleet().is_empty());
            }
            assert!(
                out.iter().all(|it| {
                    *it == Effect::ReturnService { to: address(1), service: SERVICE }
                })
            );
            count.push(out.len());
        }
        count
    };
    assert_eq!(returned(&[(0, known), (60_000, next), (90_000, next)]), [0, 4, 0]);
    assert_eq!(returned(&[(0, known), (60_001, next)]), [0, 0]);
    // The same incarnation still has its values. An address that moves to another pool loses them.
    assert_eq!(returned(&[(0, known), (30_000, report(10, 0))]), [0, 0]);
    let moved = Report { pool: OTHER_POOL, ..next };
    let back = Report { incarnation: 3, ..next };
    assert_eq!(returned(&[(0, known), (30_000, moved), (40_000, back)]), [0, 0, 0]);
}

// Quick errors of some upstreams would make all others look slow.
#[test]
fn upstreams_with_short_answers_do_not_count_in_the_pools_service_time() {
    let mut balancer = Balancer::new(address(200), ZONE);
    for (host, service_ms, bytes) in [(1, 20, 100), (2, 22, 90), (3, 1, 10)] {
        let measured = Report { service_ms: Some(service_ms), ..report(1, 0) };
        let measured = Report { answer_bytes: Some(bytes), ..measured };
        balancer.handle_report(address(host), measured, 0, &mut Vec::new());
    }
    let pool = balancer.fleet().candidates(POOL, 0, ZONE, None, &[], 0).pool;
    assert_eq!((pool.service_ms, pool.answer_bytes), (Some(21), Some(67)));
}

// Guards against a wait at a fast upstream while another one has a free slot.
#[test]
fn a_fast_upstream_accepts_no_request_beyond_its_slots_before_others_are_asked() {
    let mut agent = Agent::new(identity(1, 1), 1_000, false, 0);
    let beat = Heartbeat { instance: instance("a"), seq: 1, draining: false, slots: 2, cold_ms: 0 };
    agent.heartbeat(&beat, 0, &mut Vec::new());
    let pool = PoolLoad { service_ms: Some(40), answer_bytes: Some(100), full_percent: 0 };
    let candidates = CandidateList::new([address(1), address(2)], 60_000).with_pool(pool);
    let opening = relay(RelayAction::Open(candidates));
    let mut open_and_request = |port, answered| {
        let out = &mut Vec::new();
        agent.handle_relayed_packet(&opening, &head(port, PacketKind::Open), &[], 100, out);
        let reply = PacketHeader { seq: 1_000, ..head(port, PacketKind::Open) };
        agent.handle_upstream_packet(&reply, 100, &mut Vec::new());
        let deliver = relay(RelayAction::Deliver);
        agent.handle_relayed_packet(&deliver, &data(port, 1, 1_001), &[], 100, &mut Vec::new());
        if answered {
            agent.handle_upstream_packet(&data(port, 1_001, 101), 110, &mut Vec::new());
            let reset = head(port, PacketKind::Reset);
            agent.handle_relayed_packet(&deliver, &reset, &[], 110, &mut Vec::new());
        }
        (relays(out).len(), agent.speed(110))
    };
    let forwarded: usize = (1..=30).map(|port| open_and_request(port, true).0).sum();
    assert_eq!(forwarded, 0);
    assert_eq!(open_and_request(31, false), (0, 2.0));
    assert_eq!(open_and_request(32, false), (0, 2.0));
    assert_eq!(open_and_request(33, false), (1, 2.0));
}
