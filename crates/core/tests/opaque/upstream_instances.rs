//! Upstream restarts under the same id, delayed heartbeats and clock jumps.

use camphorwinch_core::opaque::{
    PacketHeader, PacketKind,
    agent::{Agent, Heartbeat, HeartbeatResult, UpstreamInstance},
    effect::{Decision, Effect, RelayAction, ResetReason},
    fleet::UpstreamState,
};

use crate::support::{
    data, decisions, head, identity, instance as instance_without_start_time, open_at, relay,
    resets,
};

const HEARTBEAT_INTERVAL_MS: u64 = 1_000;
const STARTED_MS: u64 = 1_790_000_000_000;

fn instance(started_at_ms: u64) -> UpstreamInstance {
    UpstreamInstance { id: "a".to_owned(), started_at_ms: Some(started_at_ms) }
}

fn heartbeat(started_at_ms: u64, seq: u64) -> Heartbeat {
    Heartbeat { instance: instance(started_at_ms), seq, draining: false, slots: 2, cold_ms: 0 }
}

fn draining_heartbeat(started_at_ms: u64, seq: u64) -> Heartbeat {
    Heartbeat { draining: true, ..heartbeat(started_at_ms, seq) }
}

fn receive(agent: &mut Agent, heartbeat: &Heartbeat, now_ms: u64) -> HeartbeatResult {
    agent.heartbeat(heartbeat, now_ms, &mut Vec::new())
}

/// An agent that received the first forty heartbeats of an upstream.
fn agent_with_known_upstream() -> Agent {
    let mut agent = Agent::new(identity(1, 1), HEARTBEAT_INTERVAL_MS, false, 0);
    for seq in 1..=40 {
        receive(&mut agent, &heartbeat(STARTED_MS, seq), seq * HEARTBEAT_INTERVAL_MS);
    }
    agent
}

/// Opens a flow and sends a request on it, which the upstream does not answer.
fn open_flow_with_request(agent: &mut Agent, port: u16, now_ms: u64) {
    agent.handle_relayed_packet(
        &open_at(&[1], 5_000),
        &head(port, PacketKind::Open),
        &[],
        now_ms,
        &mut Vec::new(),
    );
    let answer = PacketHeader { seq: 1_000, ..head(port, PacketKind::Open) };
    agent.handle_upstream_packet(&answer, now_ms, &mut Vec::new());
    agent.handle_relayed_packet(
        &relay(RelayAction::Deliver),
        &data(port, 1, 1_001),
        &[],
        now_ms,
        &mut Vec::new(),
    );
}

#[test]
fn an_upstream_restarted_under_its_id_is_recognized_at_once() {
    let mut agent = agent_with_known_upstream();
    receive(&mut agent, &draining_heartbeat(STARTED_MS, 41), 41_000);
    assert_eq!(
        receive(&mut agent, &heartbeat(STARTED_MS + 42_000, 1), 42_000),
        HeartbeatResult::Changed
    );
    assert_eq!(agent.upstream(42_000), UpstreamState::Ready);
}

#[test]
fn state_of_the_former_instance_is_discarded() {
    let mut agent = agent_with_known_upstream();
    for port in 1..=4 {
        open_flow_with_request(&mut agent, port, 40_000);
    }
    assert_eq!(agent.active_requests(), 4);
    let mut out = Vec::new();
    let next = Heartbeat { slots: 5, cold_ms: 2_000, ..heartbeat(STARTED_MS + 42_000, 1) };
    agent.heartbeat(&next, 42_000, &mut out);
    assert_eq!(resets(&out), 4);
    let ended = Decision::Reset(ResetReason::UpstreamEnded);
    assert_eq!(decisions(&out), [ended; 4]);
    assert!(out.contains(&Effect::Report), "{out:?}");
    let report = agent.next_report(42_000);
    assert_eq!((agent.active_requests(), agent.flows(), agent.waiting()), (0, 0, 0));
    assert_eq!((report.slots, report.service_ms), (5, None));
}

#[test]
fn service_time_of_the_former_instance_is_not_reported_for_the_new_one() {
    let mut agent = agent_with_known_upstream();
    for port in 1..=30 {
        open_flow_with_request(&mut agent, port, 40_000);
        let answer = PacketHeader { seq: 1_001, len: 10, ..head(port, PacketKind::Data) };
        agent.handle_upstream_packet(&answer, 40_500, &mut Vec::new());
    }
    assert!(agent.next_report(40_500).service_ms.is_some());
    receive(&mut agent, &heartbeat(STARTED_MS + 42_000, 1), 42_000);
    assert_eq!(agent.next_report(42_000).service_ms, None);
    // It runs on the same VM, so the estimate starts from there.
    assert_eq!(agent.service_ms(), Some(500.0));
}

#[test]
fn a_delayed_heartbeat_of_a_former_instance_is_ignored() {
    let mut agent = agent_with_known_upstream();
    receive(&mut agent, &draining_heartbeat(STARTED_MS + 42_000, 1), 42_000);
    assert_eq!(receive(&mut agent, &heartbeat(STARTED_MS, 41), 42_500), HeartbeatResult::Outdated);
    assert!(!agent.deregister(&instance(STARTED_MS), &mut Vec::new()));
    assert_eq!(agent.upstream(42_500), UpstreamState::Draining);
}

// A restarted agent has seen only the current instance.
#[test]
fn a_delayed_heartbeat_of_an_unknown_former_instance_is_ignored() {
    let mut agent = Agent::new(identity(1, 2), HEARTBEAT_INTERVAL_MS, true, 0);
    receive(&mut agent, &draining_heartbeat(STARTED_MS + 42_000, 7), 100);
    assert_eq!(receive(&mut agent, &heartbeat(STARTED_MS, 40), 200), HeartbeatResult::Ambiguous);
    receive(&mut agent, &draining_heartbeat(STARTED_MS + 42_000, 8), 1_100);
    assert_eq!(receive(&mut agent, &heartbeat(STARTED_MS, 41), 1_200), HeartbeatResult::Ambiguous);
    assert_eq!(agent.upstream(1_200), UpstreamState::Draining);
    assert!(!agent.deregister(&instance(STARTED_MS), &mut Vec::new()));
}

// A restarted agent may receive a delayed heartbeat of the former instance first. The current one holds its flows.
#[test]
fn flows_of_the_current_instance_are_not_reset_after_a_delayed_heartbeat_of_a_former_one() {
    let mut agent = Agent::new(identity(1, 2), HEARTBEAT_INTERVAL_MS, true, 0);
    for seq in [1_001, 1_101] {
        let answer = PacketHeader { seq, len: 10, ..head(1, PacketKind::Data) };
        agent.handle_upstream_packet(&answer, 50, &mut Vec::new());
    }
    receive(&mut agent, &heartbeat(STARTED_MS, 40), 100);
    let mut out = Vec::new();
    assert_eq!(
        agent.heartbeat(&heartbeat(STARTED_MS + 42_000, 9), 900, &mut out),
        HeartbeatResult::Changed
    );
    assert_eq!(resets(&out), 0);
}

#[test]
fn an_instance_with_an_earlier_start_time_replaces_a_silent_one_after_two_heartbeats() {
    let mut agent = agent_with_known_upstream();
    let earlier_start = STARTED_MS - 30_000;
    assert_eq!(
        receive(&mut agent, &heartbeat(earlier_start, 1), 41_500),
        HeartbeatResult::Ambiguous
    );
    assert_eq!(receive(&mut agent, &heartbeat(earlier_start, 2), 42_500), HeartbeatResult::Changed);
    assert_eq!(agent.upstream(42_500), UpstreamState::Ready);
    assert_eq!(
        receive(&mut agent, &draining_heartbeat(earlier_start, 3), 43_500),
        HeartbeatResult::Changed
    );
    assert_eq!(receive(&mut agent, &heartbeat(STARTED_MS, 41), 44_000), HeartbeatResult::Outdated);
}

#[test]
fn successive_delayed_heartbeats_do_not_replace_a_live_instance() {
    let mut agent = agent_with_known_upstream();
    for seq in 7..12 {
        assert_eq!(
            receive(&mut agent, &draining_heartbeat(STARTED_MS - 30_000, seq), 40_500 + seq),
            HeartbeatResult::Ambiguous
        );
    }
    assert_eq!(agent.upstream(40_600), UpstreamState::Ready);
}

#[test]
fn a_repeated_delayed_heartbeat_does_not_replace_a_silent_instance() {
    let mut agent = agent_with_known_upstream();
    assert_eq!(
        receive(&mut agent, &heartbeat(STARTED_MS - 30_000, 9), 43_000),
        HeartbeatResult::Ambiguous
    );
    assert_eq!(
        receive(&mut agent, &heartbeat(STARTED_MS - 30_000, 9), 44_000),
        HeartbeatResult::Ambiguous
    );
    assert_eq!(receive(&mut agent, &heartbeat(STARTED_MS, 41), 45_000), HeartbeatResult::Changed);
}

#[test]
fn a_heartbeat_without_a_start_time_is_ignored_if_the_current_instance_has_one() {
    let mut agent = agent_with_known_upstream();
    let unidentified = Heartbeat {
        instance: instance_without_start_time("a"),
        ..draining_heartbeat(STARTED_MS, 99)
    };
    assert_eq!(receive(&mut agent, &unidentified, 40_100), HeartbeatResult::MissingStartTime);
    assert_eq!(agent.upstream(40_100), UpstreamState::Ready);
}

#[test]
fn a_deregistration_without_a_start_time_counts_only_if_the_upstream_was_draining() {
    let mut agent = agent_with_known_upstream();
    let without_start_time = instance_without_start_time("a");
    assert!(!agent.deregister(&without_start_time, &mut Vec::new()));
    receive(&mut agent, &draining_heartbeat(STARTED_MS, 41), 41_000);
    assert!(agent.deregister(&without_start_time, &mut Vec::new()));
    assert_eq!(agent.upstream(41_000), UpstreamState::Ended);
}

#[test]
fn a_heartbeat_after_deregistration_is_outdated() {
    let mut agent = agent_with_known_upstream();
    receive(&mut agent, &draining_heartbeat(STARTED_MS, 41), 41_000);
    assert!(agent.deregister(&instance(STARTED_MS), &mut Vec::new()));
    assert_eq!(
        receive(&mut agent, &draining_heartbeat(STARTED_MS, 42), 41_500),
        HeartbeatResult::Outdated
    );
    assert_eq!(agent.upstream(41_500), UpstreamState::Ended);
    assert_eq!(
        receive(&mut agent, &heartbeat(STARTED_MS + 42_000, 1), 42_000),
        HeartbeatResult::Changed
    );
}

#[test]
fn without_start_times_a_lower_sequence_number_replaces_a_silent_instance_after_two_heartbeats() {
    let mut agent = Agent::new(identity(1, 1), HEARTBEAT_INTERVAL_MS, false, 0);
    let heartbeat = |seq| Heartbeat {
        instance: instance_without_start_time("a"),
        ..heartbeat(STARTED_MS, seq)
    };
    receive(&mut agent, &heartbeat(40), 0);
    assert_eq!(receive(&mut agent, &heartbeat(1), 1_500), HeartbeatResult::Outdated);
    assert_eq!(receive(&mut agent, &heartbeat(2), 2_500), HeartbeatResult::Changed);
}
