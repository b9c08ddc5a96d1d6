//! Announced restarts of agents, as balancers hear of them from others.

use camphorwinch_core::opaque::{
    balancer::Balancer,
    effect::Answer,
    fleet::{AgentPlan, Fleet, MemberEntry, Report, RestartingAgent},
};

use crate::support::{POOL, ZONE, address, collect, data, key, report, resets, routes};

/// Silence after which an agent counts as gone, and the same after an announced restart.
const GONE_AFTER_MS: u64 = 4_500;
const RESTART_GONE_AFTER_MS: u64 = 10_000;

fn member(host: u8) -> MemberEntry {
    MemberEntry { address: address(host), pool: Some(POOL), zone: ZONE }
}

fn restarting(host: u8, age_ms: u64) -> RestartingAgent {
    RestartingAgent { address: address(host), age_ms }
}

/// Time of the start of the balancer under test.
const START_MS: u64 = 100_000;

/// Time after its start at which a balancer resets a flow that only agent 2 may hold, which never reports.
fn reset_after_ms(told: &[RestartingAgent]) -> u64 {
    let mut it = Balancer::new(address(200), ZONE).with_startup_buffer(START_MS);
    it.update_routes(routes(1));
    it.sync_members(&[member(1), member(2)], START_MS);
    for after_ms in (0..20_000).step_by(20) {
        let now = START_MS + after_ms;
        if after_ms == 400 {
            it.merge_restarting(told, now);
        }
        if after_ms % 1_000 == 0 {
            it.handle_report(address(1), report(now, 0), now, &mut Vec::new());
        }
        let out = collect(|out| {
            it.tick(now, out);
            if after_ms % 200 == 0 {
                it.handle_packet(&data(1, 1, 1), b"packet", now, out);
            }
            it.handle_answer(address(1), key(1), Answer::Absent, None, now, out);
        });
        if resets(&out) > 0 {
            return after_ms;
        }
    }
    panic!("the flow is never reset");
}

// Guards against resets of flows of living upstreams by a balancer that has started after their agent announced a restart.
#[test]
fn a_starting_balancer_waits_for_a_restarting_agent_as_long_as_others() {
    let alone = reset_after_ms(&[]);
    assert!((GONE_AFTER_MS..GONE_AFTER_MS + 1_000).contains(&alone), "{alone}");
    let told = reset_after_ms(&[restarting(2, 1_000)]);
    let expected = RESTART_GONE_AFTER_MS - 600;
    assert!((expected..expected + 2_200).contains(&told), "{told}");
}

// Callers of dead flows are told no later than before, unless their agent announced a restart.
#[test]
fn other_agents_and_old_announcements_do_not_delay_resets() {
    let alone = reset_after_ms(&[]);
    assert_eq!(reset_after_ms(&[restarting(1, 500), restarting(3, 500)]), alone);
    assert_eq!(reset_after_ms(&[restarting(2, RESTART_GONE_AFTER_MS + 1)]), alone);
    // The announcement is so old that its time ends before the silence counts.
    assert_eq!(reset_after_ms(&[restarting(2, 8_000)]), alone);
}

#[test]
fn announcements_pass_from_balancer_to_balancer_until_the_agent_reports() {
    let fleet = || {
        let mut it = Fleet::default();
        it.sync_members(&[member(1), member(2)], 0);
        it
    };
    let (mut first, mut second, mut third) = (fleet(), fleet(), fleet());
    let announced = Report { plan: AgentPlan::Restart, ..report(7, 0) };
    first.apply_report(address(2), announced, 1_000);
    let told = first.restarting_agents(1_500);
    assert_eq!(told, [restarting(2, 500)]);
    // Clocks differ between VMs; only the age counts.
    assert_eq!(second.merge_restarting(&told, 91_500), [address(2)]);
    assert!(second.merge_restarting(&told, 91_500).is_empty(), "it is known");
    let told = second.restarting_agents(92_000);
    assert_eq!(told, [restarting(2, 1_000)]);
    third.merge_restarting(&told, 2_000);
    assert!(third.is_restarting(address(2)) && !third.is_gone(address(2), 10_900));
    assert!(third.restarting_agents(11_100).is_empty(), "it is gone");
    // A report ends it, and an announcement from before that report does not begin it again.
    third.apply_report(address(2), Report { incarnation: 2, ..report(1, 0) }, 2_500);
    assert!(third.merge_restarting(&[restarting(2, 1_700)], 2_600).is_empty());
    assert!(!third.is_restarting(address(2)));
    assert_eq!(third.stable_agents(2_600), [address(2)]);
    // An agent that this balancer still takes for running has announced a restart to another one.
    assert_eq!(third.merge_restarting(&[restarting(2, 50)], 2_900), [address(2)]);
    assert!(third.stable_agents(2_900).is_empty());
}

// Guards against an announcement that never ends: each balancer that passed it on added the delay of the message, and the
// latest time counted.
#[test]
fn an_announcement_that_is_passed_around_ends_in_time() {
    const DELAY_MS: u64 = 200;
    let mut fleets = vec![Fleet::default(); 4];
    for it in &mut fleets {
        it.sync_members(&[member(1)], START_MS);
    }
    let announced = Report { plan: AgentPlan::Restart, ..report(7, 0) };
    fleets[0].apply_report(address(1), announced, START_MS);
    let mut sent = Vec::new();
    for now in (START_MS..START_MS + 2 * RESTART_GONE_AFTER_MS).step_by(50) {
        for (from, it) in fleets.iter().enumerate() {
            sent.push((now + DELAY_MS, from, it.restarting_agents(now)));
        }
        for (_, from, agents) in sent.extract_if(.., |it| it.0 <= now) {
            for (to, it) in fleets.iter_mut().enumerate() {
                if to != from {
                    it.merge_restarting(&agents, now);
                }
            }
        }
    }
    let end_ms = START_MS + RESTART_GONE_AFTER_MS + 4 * DELAY_MS;
    let gone = |it: &Fleet| it.is_gone(address(1), end_ms);
    assert!(fleets.iter().all(gone), "{:?}", fleets.iter().map(gone).collect::<Vec<_>>());
}
