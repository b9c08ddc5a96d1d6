//! Randomised simulations of a small fleet. All tests assert that no invariant is violated, so tests that provoke
//! violations run in another process.

mod flows;
mod keys;
mod platform;
mod work;
mod world;

use camphorwinch_core::invariant::{Invariant, violations};
use world::{Plan, RunResult, World};

const SPAN_MS: u64 = 120_000;

fn run(seed: u64) -> RunResult {
    World::new(Plan { seed, span_ms: SPAN_MS, mutant: None }).run()
}

#[test]
fn a_fleet_under_faults_violates_no_guarantee() {
    let seeds = std::env::var("CAMPHORWINCH_SEEDS").ok().and_then(|it| it.parse().ok());
    let mut total = RunResult::default();
    for seed in 0..seeds.unwrap_or(20) {
        let seen = run(seed);
        println!("seed {seed}: {seen:?}");
        assert!(seen.violations.is_empty(), "seed {seed}: {:?}", seen.violations);
        total.faults += seen.faults;
        total.attempts += seen.attempts;
    }
    println!("{} faults, {} attempts", total.faults, total.attempts);
    for invariant in Invariant::ALL {
        assert_eq!(violations(invariant), 0, "{invariant}");
    }
}

#[test]
fn a_run_is_determined_by_its_seed() {
    assert_eq!(run(3), run(3));
}
