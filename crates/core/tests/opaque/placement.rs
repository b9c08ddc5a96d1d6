//! Placement under high load: waiting, shed requests and utilization.
//!
//! Callers of one zone send more than that zone can serve while the fleet as a whole has capacity. Long-lived flows
//! cause two thirds of the load, single requests the rest.

use crate::world::{OBJECTIVE, SimulationParams, World};

const PARAMS: SimulationParams = SimulationParams {
    zones: 4,
    balancers: 8,
    agents: 40,
    slots: 3,
    queue: 12,
    work_ms: 60,
    loss: 0.0,
};

/// Runs a load given as a fraction of the fleet's capacity; zone 0 has `skew` times the callers of each other zone.
fn run_load(load: f64, skew: u64, seed: u64) -> World {
    let mut world = World::new(PARAMS, seed);
    let capacity = f64::from(PARAMS.agents) * f64::from(PARAMS.slots) / PARAMS.work_ms as f64;
    let idle_ms = 900;
    let long_lived_flows = (capacity * load * 0.67 * (idle_ms + PARAMS.work_ms) as f64) as u64;
    let zone = |at: u64| if at % (3 + skew) < skew { 0 } else { 1 + at % 3 };
    for at in 0..long_lived_flows {
        world.open_flow(zone(at), 1_000, idle_ms);
        if at % 4 == 0 {
            world.run(1);
        }
    }
    world.run(4_000);
    let ms_per_arrival = 1.0 / (capacity * load * 0.33);
    world.tally = crate::world::Tally::default();
    let mut due = 0.0;
    for at in 0..3_000 {
        world.open_flow(zone(at), 1, 1);
        due += ms_per_arrival;
        world.run(due as u64);
        due = due.fract();
    }
    world
}

fn percentile(world: &World, share: f64) -> u64 {
    let mut latencies_ms = world.tally.latencies_ms.clone();
    latencies_ms.sort_unstable();
    latencies_ms[(latencies_ms.len() as f64 * share) as usize]
}

fn shed_ratio(world: &World) -> f64 {
    world.tally.shed as f64 / world.tally.answered as f64
}

#[test]
fn an_overloaded_zone_uses_the_capacity_of_the_others() {
    let world = run_load(0.8, 4, 3);
    assert!(shed_ratio(&world) < 0.001, "shed {}", shed_ratio(&world));
    let p95_ms = percentile(&world, 0.95);
    assert!(p95_ms < 260, "95% within {p95_ms} ms");
}

#[test]
fn at_nine_tenths_of_capacity_few_requests_wait_or_are_shed() {
    let world = run_load(0.9, 1, 3);
    assert!(shed_ratio(&world) < 0.002, "shed {}", shed_ratio(&world));
    let p95_ms = percentile(&world, 0.95);
    assert!(p95_ms < 280, "95% within {p95_ms} ms");
}

#[test]
fn long_lived_flows_are_spread_evenly() {
    let (fewest, most) = run_load(0.8, 4, 3).flow_spread();
    assert!(most as f64 <= fewest as f64 * 1.5, "{fewest} to {most}");
}

#[test]
fn all_slots_are_in_use_above_capacity() {
    let mut world = run_load(1.5, 1, 3);
    // The load has to last, as excess requests and callers with long-lived flows wait for a while first.
    send_requests(&mut world, 1.0, 6_000);
    assert!(world.tally.shed > 500);
    assert!(world.utilization() > 0.99, "{}", world.utilization());
}

/// Sends single requests at a fraction of the capacity of warm upstreams.
fn send_requests(world: &mut World, load: f64, for_ms: u64) {
    let per_ms = f64::from(PARAMS.agents) * f64::from(PARAMS.slots) / PARAMS.work_ms as f64 * load;
    let mut due = 0.0;
    for at in 0..for_ms {
        due += per_ms;
        while due >= 1.0 {
            world.open_flow(at % PARAMS.zones, 1, 1);
            due -= 1.0;
        }
        world.run(1);
    }
}

// After all upstreams have restarted they are slow for two seconds, and callers that got no answer retry at once.
// Served in order of arrival, this backlog delays later requests, too.
#[test]
fn a_burst_of_returning_callers_does_not_delay_most_requests() {
    let mut world = World::new(PARAMS, 3);
    send_requests(&mut world, 0.55, 3_000);
    world.set_work_ms(PARAMS.work_ms * 8 / 5);
    for at in 0..550 {
        world.open_flow(at % PARAMS.zones, 1, 1);
    }
    world.run(40);
    world.tally = crate::world::Tally::default();
    send_requests(&mut world, 0.62, 1_960);
    world.set_work_ms(PARAMS.work_ms);
    send_requests(&mut world, 0.55, 2_000);
    let latencies_ms = &world.tally.latencies_ms;
    let in_time = latencies_ms.iter().filter(|&&it| it <= u64::from(OBJECTIVE.latency_ms)).count();
    let share = in_time as f64 / latencies_ms.len() as f64;
    assert!(share > 0.7, "{share}");
    assert_eq!(world.tally.given_up, 0);
}

// Upstreams that report ready but reset each request look idle and attract flows from all others.
#[test]
fn callers_are_kept_from_upstreams_that_reset_requests() {
    let mut world = World::new(PARAMS, 3);
    send_requests(&mut world, 0.5, 3_000);
    for host in [3, 11, 19, 27] {
        world.set_resets(host, true);
    }
    world.tally = crate::world::Tally::default();
    send_requests(&mut world, 0.5, 6_000);
    let failed = world.tally.failed as f64 / world.tally.answered as f64;
    assert!(failed > 0.001 && failed < 0.02, "{failed}");
    for host in [3, 11, 19, 27] {
        world.set_resets(host, false);
    }
    // After the longest pause of the breaker all upstreams serve again.
    send_requests(&mut world, 0.5, 9_000);
    world.tally = crate::world::Tally::default();
    let before = world.started();
    send_requests(&mut world, 0.5, 2_000);
    let after = world.started();
    for host in [3, 11, 19, 27] {
        assert!(after[&host] > before[&host] + 10, "{host}: {before:?} {after:?}");
    }
    assert_eq!(world.tally.failed, 0);
}
