//! Flows under restarts, moves and packet loss: the system never resets a flow that an upstream holds, and open flows
//! are served again.

use rand::{Rng, SeedableRng, rngs::SmallRng, seq::IndexedRandom};

use crate::world::{SimulationParams, World};

const PARAMS: SimulationParams = SimulationParams {
    zones: 2,
    balancers: 4,
    agents: 6,
    slots: 4,
    queue: 16,
    work_ms: 20,
    loss: 0.0,
};

/// A fleet with `flows` open persistent flows.
fn fleet(params: SimulationParams, seed: u64, flows: u64) -> World {
    let mut world = World::new(params, seed);
    for at in 0..flows {
        world.open_flow(at % params.zones, 1_000, 150);
    }
    world.run(1_000);
    world
}

#[test]
fn flows_survive_the_restart_of_every_balancer() {
    let mut world = fleet(PARAMS, 1, 60);
    for number in world.balancers() {
        world.start_balancer(number);
        world.run(500);
    }
    let before = world.tally.answered;
    world.run(2_000);
    assert_eq!(world.open_flows(), 60);
    assert_eq!((world.tally.broken, world.tally.reset, world.tally.given_up), (0, 0, 0));
    assert!(world.tally.answered > before + 300);
}

#[test]
fn flows_survive_announced_restarts_of_every_agent() {
    let mut world = fleet(PARAMS, 2, 60);
    for host in world.hosts() {
        world.stop_agent(host, true);
        world.run(700);
        world.start_agent(host);
        world.run(1_500);
    }
    assert_eq!(world.open_flows(), 60);
    assert_eq!((world.tally.broken, world.tally.reset, world.tally.given_up), (0, 0, 0));
}

#[test]
fn flows_survive_a_simultaneous_crash_of_all_processes() {
    let mut world = fleet(PARAMS, 3, 60);
    for host in world.hosts() {
        world.stop_agent(host, false);
    }
    world.run(600);
    for host in world.hosts() {
        world.start_agent(host);
    }
    for number in world.balancers() {
        world.start_balancer(number);
    }
    let before = world.tally.answered;
    world.run(4_000);
    assert_eq!(world.open_flows(), 60);
    assert_eq!((world.tally.broken, world.tally.reset), (0, 0));
    assert!(world.tally.answered > before + 300);
}

// Guards against callers that wait for a timeout after all upstreams have restarted: their flows must be reset.
#[test]
fn flows_are_reset_after_all_upstreams_have_restarted() {
    let mut world = fleet(PARAMS, 4, 60);
    for host in world.hosts() {
        world.stop_agent(host, false);
    }
    world.run(300);
    for host in world.hosts() {
        world.start_upstream(host);
        world.start_agent(host);
    }
    for number in world.balancers() {
        world.start_balancer(number);
    }
    world.run(2_500);
    assert_eq!(world.tally.broken, 0);
    assert!(world.tally.reset >= 55, "{}", world.tally.reset);
}

#[test]
fn a_drained_upstream_gets_no_new_flow_from_any_balancer() {
    let mut world = fleet(SimulationParams { loss: 0.02, ..PARAMS }, 5, 30);
    world.drain(1);
    for at in 0..300 {
        world.open_flow(at % 2, 1, 10);
        world.run(10);
        if at % 50 == 0 {
            // Also not from a restarted balancer, or through a restarted agent.
            world.start_balancer(200 + (at / 50) as u8 % 4);
            world.stop_agent(2, true);
            world.start_agent(2);
        }
    }
    assert_eq!((world.tally.late_work, world.tally.broken), (0, 0));
    assert!(world.tally.answered > 300);
}

/// A run with random restarts, upstream replacements, drains, new flows and packet loss.
fn run_with_random_faults(seed: u64) -> World {
    let loss = [0.0, 0.002, 0.02][seed as usize % 3];
    let mut world = fleet(SimulationParams { loss, ..PARAMS }, seed, 40);
    let mut rng = SmallRng::seed_from_u64(seed);
    for _ in 0..12 {
        let host = *world.hosts().choose(&mut rng).expect("hosts");
        let number = *world.balancers().choose(&mut rng).expect("balancers");
        match rng.random_range(0..6) {
            0 => {
                world.start_unconfigured_balancer(number);
                world.run(rng.random_range(0..1_200));
                world.configure_balancer(number);
            }
            1 | 2 => {
                world.stop_agent(host, rng.random());
                world.run(rng.random_range(50..1_500));
                world.start_agent(host);
            }
            3 => world.start_upstream(host),
            4 => world.drain(host),
            _ => {
                for at in 0..10 {
                    world.open_flow(at % 2, 50, 100);
                }
            }
        }
        world.run(rng.random_range(50..2_000));
    }
    world.run(4_000);
    world
}

#[test]
fn open_flows_are_never_reset() {
    let seeds = std::env::var("CAMPHORWINCH_SEEDS").ok().and_then(|it| it.parse().ok());
    for seed in 0..seeds.unwrap_or(60) {
        let world = run_with_random_faults(seed);
        let tally = &world.tally;
        assert_eq!((tally.broken, tally.late_work), (0, 0), "seed {seed}");
    }
}
