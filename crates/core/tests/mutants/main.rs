//! Mutation tests of the randomised simulation: each disables one mechanism in the fakes and expects the matching check
//! to fail. They run in a separate process, as they provoke invariant violations.

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
use world::{Mutant, Plan, RunResult, World};

const SPAN_MS: u64 = 120_000;
const SEEDS: u64 = 40;

fn run(seed: u64, mutant: Mutant) -> RunResult {
    World::new(Plan { seed, span_ms: SPAN_MS, mutant: Some(mutant) }).run()
}

/// Asserts that the check fails in some run with the mutant.
fn assert_detected(mutant: Mutant, check: &str) {
    for seed in 0..SEEDS {
        let seen = run(seed, mutant);
        if let Some(count) = seen.violations.get(check) {
            println!("{mutant:?}, seed {seed}: {check} {count}, of {seen:?}");
            return;
        }
    }
    panic!("{mutant:?} was not detected in {SEEDS} seeds: {check} stays 0");
}

#[test]
fn resending_lost_requests_runs_them_twice() {
    assert_detected(Mutant::ResendsLostRequests, "ran-twice");
}

#[test]
fn requests_without_claims_run_twice() {
    assert_detected(Mutant::SkipsClaims, "ran-twice");
}

#[test]
fn requests_claimed_at_one_member_only_run_twice() {
    assert_detected(Mutant::ClaimsLocallyOnly, "ran-twice");
}

#[test]
fn trusting_a_member_that_lost_its_claims_runs_a_request_twice() {
    assert_detected(Mutant::TrustsRestartedMembers, "ran-twice");
}

#[test]
fn an_unnoticed_restart_runs_a_request_twice() {
    assert_detected(Mutant::IgnoresRestarts, "ran-twice");
}

#[test]
fn answering_not_run_for_unknown_requests_is_detected() {
    assert_detected(Mutant::ReportsUnknownAsNotRun, "false-not-run");
}

#[test]
fn an_agent_that_ignores_its_drain_gets_work() {
    assert_detected(Mutant::IgnoresDrain, "late-work");
}

#[test]
fn a_view_that_accepts_lower_versions_reverts() {
    assert_detected(Mutant::AcceptsLowerVersions, "reverted");
    assert!(violations(Invariant::VersionGrows) > 0);
}

#[test]
fn a_fleet_without_comparison_stays_outdated() {
    assert_detected(Mutant::SkipsSync, "not-in-force");
}

#[test]
fn a_balancer_that_ignores_the_service_reaches_another_service() {
    assert_detected(Mutant::IgnoresService, "wrong-service");
}

#[test]
fn a_balancer_that_forgets_owners_moves_flows() {
    assert_detected(Mutant::IgnoresFlowOwners, "wrong-agent");
}

#[test]
fn a_platform_without_versions_lets_a_former_holder_write() {
    assert_detected(Mutant::SkipsVersionChecks, "former-holder-wrote");
}

/// The invariant check in the code detects it as well.
#[test]
fn a_former_holders_write_is_counted_as_a_violation() {
    for seed in 0..SEEDS {
        run(seed, Mutant::SkipsVersionChecks);
        if violations(Invariant::LeaseHeld) > 0 {
            return;
        }
    }
    panic!("no write by a former lease holder was detected in {SEEDS} seeds");
}
