//! Heartbeats of two upstream processes without start times: a delayed one of a process that has ended, and those of
//! the process that runs.

use camphorwinch_core::opaque::{
    PacketHeader, PacketKind,
    agent::{Agent, Heartbeat, HeartbeatResult},
    effect::{Effect, RelayAction},
    fleet::UpstreamState,
};
use quickcheck::{Arbitrary, Gen, quickcheck};

use crate::support::{data, head, identity, instance, open_at, relay, resets};

const INTERVAL_MS: u64 = 1_000;

fn beat(id: &str, seq: u64) -> Heartbeat {
    Heartbeat { instance: instance(id), seq, draining: false, slots: 2, cold_ms: 0 }
}

fn draining(id: &str, seq: u64) -> Heartbeat {
    Heartbeat { draining: true, ..beat(id, seq) }
}

fn receive(agent: &mut Agent, heartbeat: &Heartbeat, now_ms: u64) -> HeartbeatResult {
    agent.heartbeat(heartbeat, now_ms, &mut Vec::new())
}

/// An agent that started at time 0 and found an upstream if it is `learning`.
fn agent(learning: bool) -> Agent {
    Agent::new(identity(1, 1), INTERVAL_MS, learning, 0)
}

/// Opens a flow at the upstream.
fn open_flow(agent: &mut Agent, port: u16, now_ms: u64) {
    let mut out = Vec::new();
    let opening = head(port, PacketKind::Open);
    agent.handle_relayed_packet(&open_at(&[1], 5_000), &opening, &[], now_ms, &mut out);
    let answer = PacketHeader { seq: 1_000, ..opening };
    agent.handle_upstream_packet(&answer, now_ms, &mut out);
    let acked = data(port, 1, 1_001);
    agent.handle_relayed_packet(&relay(RelayAction::Deliver), &acked, &[], now_ms, &mut out);
}

/// Heartbeats `from` to `to` of the running upstream `id`, one each second, with a stray one after each in `strays`.
/// Returns the effects.
fn run(
    agent: &mut Agent,
    id: &str,
    from: u64,
    to: u64,
    strays: &[(u64, Heartbeat)],
) -> Vec<Effect> {
    let mut out = Vec::new();
    for seq in from..=to {
        agent.heartbeat(&beat(id, seq), seq * INTERVAL_MS, &mut out);
        for (after, stray) in strays {
            if *after == seq {
                agent.heartbeat(stray, seq * INTERVAL_MS + 400, &mut out);
            }
        }
    }
    out
}

// Guards against resets of all open flows of a living upstream, whose heartbeats were then ignored for good, after a
// delayed heartbeat of a dead process.
#[test]
fn stray_heartbeat_does_not_displace_a_running_upstream() {
    let strays = [beat("old", 1), beat("old", 9), draining("old", 1)];
    for stray in strays {
        let mut agent = agent(false);
        run(&mut agent, "new", 1, 4, &[]);
        open_flow(&mut agent, 1, 4_100);
        let out = run(&mut agent, "new", 5, 9, &[(5, stray)]);
        assert_eq!(resets(&out), 0);
        assert_eq!(agent.upstream(9_000), UpstreamState::Ready);
        assert_eq!(receive(&mut agent, &draining("new", 10), 10_000), HeartbeatResult::Changed);
        assert_eq!(agent.upstream(10_000), UpstreamState::Draining);
        assert!(agent.deregister(&instance("new"), &mut Vec::new()));
        assert_eq!(agent.upstream(13_000), UpstreamState::Ended);
    }
}

#[test]
fn stray_heartbeat_between_the_first_ones_of_a_new_upstream_is_harmless() {
    for after in 1..=3 {
        let mut agent = agent(false);
        run(&mut agent, "new", 1, 1, &[]);
        open_flow(&mut agent, 1, 1_100);
        let out = run(&mut agent, "new", 2, 6, &[(after, beat("old", 1))]);
        assert_eq!(resets(&out), 0);
        assert_eq!(agent.upstream(6_000), UpstreamState::Ready);
    }
}

#[test]
fn stray_heartbeat_before_those_of_a_new_upstream_costs_no_flow() {
    let mut agent = agent(false);
    receive(&mut agent, &beat("old", 1), 500);
    let mut out = run(&mut agent, "new", 1, 1, &[]);
    open_flow(&mut agent, 1, 1_100);
    out.extend(run(&mut agent, "new", 2, 6, &[]));
    assert_eq!(resets(&out), 0);
    assert_eq!(agent.upstream(6_000), UpstreamState::Ready);
    assert_eq!(receive(&mut agent, &beat("old", 2), 6_100), HeartbeatResult::Contested);
}

#[test]
fn two_strays_together_do_not_displace_a_running_upstream() {
    let pairs = [[beat("old", 1), beat("old", 2)], [beat("old", 1), beat("older", 7)]];
    for [first, second] in pairs {
        let mut agent = agent(false);
        run(&mut agent, "new", 1, 4, &[]);
        open_flow(&mut agent, 1, 4_100);
        let out = run(&mut agent, "new", 5, 9, &[(5, first), (5, second)]);
        assert_eq!(resets(&out), 0);
        assert_eq!(agent.upstream(9_000), UpstreamState::Ready);
    }
}

// Guards against new flows for an upstream that drains, after a delayed heartbeat of a process that was ready.
#[test]
fn stray_heartbeat_does_not_end_draining() {
    let mut agent = agent(false);
    run(&mut agent, "new", 1, 4, &[]);
    receive(&mut agent, &draining("new", 5), 5_000);
    receive(&mut agent, &beat("old", 9), 5_100);
    assert_eq!(agent.upstream(5_100), UpstreamState::Draining);
    receive(&mut agent, &draining("new", 6), 6_000);
    assert_eq!(agent.upstream(6_000), UpstreamState::Draining);
}

// The same if the draining upstream has just taken the place of the other one, whose last heartbeat is late.
#[test]
fn draining_of_a_new_upstream_takes_effect_at_once() {
    let mut agent = agent(false);
    run(&mut agent, "old", 1, 4, &[]);
    receive(&mut agent, &beat("new", 1), 4_500);
    receive(&mut agent, &draining("new", 2), 5_000);
    assert_eq!(agent.upstream(5_000), UpstreamState::Draining);
    receive(&mut agent, &beat("old", 5), 5_100);
    assert_eq!(agent.upstream(5_100), UpstreamState::Draining);
    for seq in 3..=8 {
        receive(&mut agent, &draining("new", seq), 3_000 + seq * INTERVAL_MS);
        assert_eq!(agent.upstream(3_000 + seq * INTERVAL_MS), UpstreamState::Draining);
    }
    assert!(agent.deregister(&instance("new"), &mut Vec::new()));
    assert_eq!(agent.upstream(11_500), UpstreamState::Ended);
}

#[test]
fn late_deregistration_of_a_dead_process_does_not_end_a_running_upstream() {
    let mut agent = agent(false);
    run(&mut agent, "new", 1, 4, &[]);
    assert!(!agent.deregister(&instance("old"), &mut Vec::new()));
    receive(&mut agent, &beat("old", 9), 4_100);
    agent.deregister(&instance("old"), &mut Vec::new());
    run(&mut agent, "new", 5, 8, &[]);
    assert_eq!(agent.upstream(8_000), UpstreamState::Ready);
}

// A new process at the address must get work as soon as its first heartbeat arrives.
#[test]
fn new_upstream_is_eligible_at_once() {
    let mut agent = agent(false);
    run(&mut agent, "old", 1, 4, &[]);
    let cold = Heartbeat { slots: 7, cold_ms: 2_000, ..beat("new", 1) };
    receive(&mut agent, &cold, 4_300);
    assert_eq!(agent.upstream(4_300), UpstreamState::Ready);
    let report = agent.next_report(4_300);
    assert_eq!((report.slots, report.full), (7, true));
    // After the silence of a crash it replaces the former one at once.
    let mut agent = self::agent(false);
    run(&mut agent, "old", 1, 4, &[]);
    open_flow(&mut agent, 1, 3_900);
    let mut out = Vec::new();
    agent.heartbeat(&beat("new", 1), 6_500, &mut out);
    assert_eq!(resets(&out), 1);
    assert_eq!(agent.upstream(6_500), UpstreamState::Ready);
}

// Guards against flows that a restarted agent takes for absent, though the running upstream holds them.
#[test]
fn stray_heartbeat_after_a_restart_of_the_agent_is_harmless() {
    for strays in [vec![beat("old", 1)], vec![beat("old", 1), beat("old", 2)]] {
        let mut agent = agent(true);
        for seq in [1_001, 1_101] {
            let answer = PacketHeader { seq, len: 10, ..head(1, PacketKind::Data) };
            agent.handle_upstream_packet(&answer, 4_050, &mut Vec::new());
        }
        for it in &strays {
            receive(&mut agent, it, 4_100);
        }
        let out = run(&mut agent, "new", 5, 12, &[]);
        assert_eq!(resets(&out), 0);
        assert_eq!(agent.upstream(12_000), UpstreamState::Ready);
        assert_eq!(agent.flows(), 1);
    }
}

// Guards against new flows for an upstream that is gone: the process checks whether anything listens.
#[test]
fn unknown_instance_after_the_end_of_the_upstream_may_be_a_stray() {
    let mut agent = agent(false);
    let (old, new) = (instance("old"), instance("new"));
    assert!(!agent.is_stray_candidate(&old, 0), "the first upstream");
    run(&mut agent, "new", 1, 4, &[]);
    assert!(!agent.is_stray_candidate(&old, 4_500), "another upstream is known to run");
    assert!(agent.is_stray_candidate(&old, 7_000), "it is silent");
    assert!(!agent.is_stray_candidate(&new, 7_000), "the known upstream itself");
    run(&mut agent, "new", 5, 5, &[]);
    agent.deregister(&new, &mut Vec::new());
    assert!(agent.is_stray_candidate(&old, 5_100), "it has ended");
}

#[derive(Clone, Debug)]
struct Stray {
    after: u64,
    id: u8,
    seq: u64,
    draining: bool,
}

impl Arbitrary for Stray {
    fn arbitrary(g: &mut Gen) -> Stray {
        Stray {
            after: 1 + u64::arbitrary(g) % 20,
            id: u8::arbitrary(g) % 3,
            seq: 1 + u64::arbitrary(g) % 30,
            draining: bool::arbitrary(g),
        }
    }
}

quickcheck! {
    /// Whatever strays arrive, an upstream that goes on sending heartbeats keeps its flows, and its `draining` and its
    /// end take effect.
    fn running_upstream_survives_any_strays(strays: Vec<Stray>) -> bool {
        let mut agent = agent(false);
        run(&mut agent, "new", 1, 1, &[]);
        open_flow(&mut agent, 1, 1_100);
        let strays: Vec<_> = strays
            .iter()
            .map(|it| {
                let id = format!("old-{}", it.id);
                (it.after, if it.draining { draining(&id, it.seq) } else { beat(&id, it.seq) })
            })
            .collect();
        let out = run(&mut agent, "new", 2, 20, &strays);
        let drains = receive(&mut agent, &draining("new", 21), 21_000) != HeartbeatResult::Outdated
            && agent.upstream(21_000) == UpstreamState::Draining;
        let ends = agent.deregister(&instance("new"), &mut Vec::new());
        resets(&out) == 0 && drains && ends
    }
}
