//! The checks of the randomised runs can fail: each mechanism is left out in the fakes, and the check that stands for it
//! turns red. These tests provoke violations, so they have a process of their own.

#[path = "../system/flows.rs"]
mod flows;
#[path = "../system/keys.rs"]
mod keys;
#[path = "../system/platform.rs"]
mod platform;
#[path = "../system/work.rs"]
mod work;
#[path = "../system/world.rs"]
mod world;

use camphorwinch_core::invariant::{Invariant, violations};
use world::{Mutant, Plan, Seen, World};

const SPAN_MS: u64 = 120_000;
const SEEDS: u64 = 40;

fn run(seed: u64, mutant: Mutant) -> Seen {
    World::new(Plan { seed, span_ms: SPAN_MS, mutant: Some(mutant) }).run()
}

/// Asserts that some run with the mutant breaks the promise.
fn breaks(mutant: Mutant, promise: &str) {
    for seed in 0..SEEDS {
        let seen = run(seed, mutant);
        if let Some(count) = seen.broken.get(promise) {
            println!("{mutant:?}, seed {seed}: {promise} {count}, of {seen:?}");
            return;
        }
    }
    panic!("{mutant:?} is not noticed in {SEEDS} seeds: {promise} stays 0");
}

#[test]
fn sending_again_what_was_lost_runs_twice() {
    breaks(Mutant::SendsAgain, "ran-twice");
}

#[test]
fn requests_without_claims_run_twice() {
    breaks(Mutant::SkipsClaims, "ran-twice");
}

#[test]
fn claims_that_nobody_else_records_run_twice() {
    breaks(Mutant::AsksNobody, "ran-twice");
}

#[test]
fn a_member_that_forgot_lets_a_request_run_twice() {
    breaks(Mutant::TrustsForgetters, "ran-twice");
}

#[test]
fn a_restart_that_nobody_notices_lets_a_request_run_twice() {
    breaks(Mutant::IgnoresRestarts, "ran-twice");
}

#[test]
fn not_run_said_of_the_unknown_is_false() {
    breaks(Mutant::DeniesRuns, "false-not-run");
}

#[test]
fn an_agent_deaf_to_its_drain_gets_work() {
    breaks(Mutant::IgnoresDrain, "late-work");
}

#[test]
fn a_view_that_takes_lower_versions_reverts() {
    breaks(Mutant::TakesLower, "reverted");
    assert!(violations(Invariant::VersionGrows) > 0);
}

#[test]
fn a_fleet_that_compares_nothing_stays_behind() {
    breaks(Mutant::SkipsComparing, "not-in-force");
}

#[test]
fn a_balancer_that_ignores_the_service_reaches_another() {
    breaks(Mutant::IgnoresService, "wrong-service");
}

#[test]
fn a_balancer_that_forgets_owners_moves_flows() {
    breaks(Mutant::ForgetsOwners, "wrong-agent");
}

#[test]
fn a_platform_without_versions_lets_a_former_holder_write() {
    breaks(Mutant::SkipsVersions, "former-holder-wrote");
}

/// The program notices it by itself, too.
#[test]
fn a_former_holders_write_is_counted_as_a_violation() {
    for seed in 0..SEEDS {
        run(seed, Mutant::SkipsVersions);
        if violations(Invariant::LeaseHeld) > 0 {
            return;
        }
    }
    panic!("no keeper noticed a write of a former holder");
}
