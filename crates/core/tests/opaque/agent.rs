//! The agent's handling of opening packets, flows, heartbeats, probes and resets.

use camphorwinch_core::opaque::{
    PacketHeader, PacketKind, PoolId,
    agent::{Agent, Heartbeat, HeartbeatResult},
    candidate_list::{CandidateList, LOAD_CLOSED, LOAD_UNKNOWN},
    effect::{
        Answer, Decision, DropReason, Effect, FlowStatus, RelayAction, RelayHeader, ResetReason,
    },
    fleet::{AgentPlan, UpstreamState},
    route::Objective,
};

use crate::support::{
    POOL, address, collect, data, decisions, head, identity, instance, key, open_at, relay, relays,
    resets,
};

const BEAT_MS: u64 = 1_000;

fn beat(id: &str, seq: u64) -> Heartbeat {
    Heartbeat { instance: instance(id), seq, draining: false, slots: 2, cold_ms: 0 }
}

/// An agent at host 1 that has seen its upstream start.
fn ready_agent() -> Agent {
    let mut agent = Agent::new(identity(1, 1), BEAT_MS, false, 0);
    agent.heartbeat(&beat("a", 1), 0, &mut Vec::new());
    agent
}

/// A restarted agent that has received a heartbeat from its running upstream.
fn restarted_agent() -> Agent {
    let mut agent = Agent::new(identity(1, 2), BEAT_MS, true, 0);
    agent.heartbeat(&beat("a", 40), 0, &mut Vec::new());
    agent
}

fn open_flow(agent: &mut Agent, port: u16, now_ms: u64) {
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

fn answers(effects: &[Effect]) -> Vec<(Answer, bool)> {
    let answer = |it: &Effect| match it {
        Effect::Answer { answer, returned, .. } => Some((*answer, *returned)),
        _ => None,
    };
    effects.iter().filter_map(answer).collect()
}

#[test]
fn a_draining_upstream_gets_no_new_flows_and_keeps_its_open_ones() {
    let mut agent = ready_agent();
    open_flow(&mut agent, 1, 10);
    let draining = Heartbeat { draining: true, ..beat("a", 2) };
    let out =
        collect(|out| assert_eq!(agent.heartbeat(&draining, 20, out), HeartbeatResult::Changed));
    assert!(out.contains(&Effect::Report));
    let out = collect(|out| {
        agent.handle_relayed_packet(
            &open_at(&[1, 2], 5_000),
            &head(2, PacketKind::Open),
            &[],
            30,
            out,
        )
    });
    assert!(!out.contains(&Effect::Deliver));
    let Some((to, RelayAction::Open(candidates))) = relays(&out).first().copied() else {
        panic!("{out:?}")
    };
    assert_eq!(to, address(2));
    assert_eq!(candidates.candidates()[0].load, LOAD_CLOSED);
    let out = collect(|out| {
        agent.handle_relayed_packet(
            &relay(RelayAction::Deliver),
            &data(1, 101, 1_001),
            &[],
            40,
            out,
        )
    });
    assert!(out.contains(&Effect::Deliver));
}

// Guards against searches that wait for an agent that is still listed but has no upstream.
#[test]
fn an_agent_that_never_had_an_upstream_reports_that_it_leaves() {
    let mut agent = Agent::new(identity(1, 1), BEAT_MS, false, 0);
    assert_eq!(agent.next_report(10).plan, AgentPlan::Leave);
    agent.heartbeat(&beat("a", 1), 20, &mut Vec::new());
    assert_eq!(agent.next_report(30).plan, AgentPlan::Stay);
    // After its upstream has ended, the agent can still be queried for flows.
    agent.upstream_ended(40, &mut Vec::new());
    assert_eq!(agent.next_report(50).plan, AgentPlan::Stay);
}

#[test]
fn a_flow_is_refused_if_its_only_candidate_is_draining() {
    let mut agent = ready_agent();
    agent.heartbeat(&Heartbeat { draining: true, ..beat("a", 2) }, 1, &mut Vec::new());
    let out = collect(|out| {
        agent.handle_relayed_packet(&open_at(&[1], 0), &head(1, PacketKind::Open), &[], 2, out)
    });
    let candidates = CandidateList::new([address(1)], 0);
    let expected = [Decision::NoCandidate { candidates }, Decision::Reset(ResetReason::AllRefused)];
    assert_eq!(decisions(&out), expected);
    assert_eq!(resets(&out), 1);
}

#[test]
fn an_upstream_of_unknown_state_is_the_last_resort() {
    let mut agent = Agent::new(identity(1, 1), BEAT_MS, true, 0);
    let out = collect(|out| {
        agent.handle_relayed_packet(
            &open_at(&[1, 2], 9_000),
            &head(1, PacketKind::Open),
            &[],
            1,
            out,
        )
    });
    let Some((_, RelayAction::Open(candidates))) = relays(&out).first().copied() else {
        panic!("{out:?}")
    };
    assert_eq!(candidates.candidates()[0].load, LOAD_UNKNOWN);
    let out = collect(|out| {
        agent.handle_relayed_packet(&open_at(&[1], 9_000), &head(2, PacketKind::Open), &[], 1, out)
    });
    assert!(out.contains(&Effect::Deliver));
}

#[test]
fn missing_heartbeats_make_the_state_unknown() {
    let agent = ready_agent();
    assert_eq!(agent.upstream(3 * BEAT_MS), UpstreamState::Ready);
    assert_eq!(agent.upstream(3 * BEAT_MS + 1), UpstreamState::Unknown);
}

#[test]
fn late_heartbeats_of_the_current_or_a_former_upstream_are_ignored() {
    let mut agent = ready_agent();
    let out = &mut Vec::new();
    assert_eq!(
        agent.heartbeat(&Heartbeat { draining: true, ..beat("a", 9) }, 1, out),
        HeartbeatResult::Changed
    );
    assert_eq!(agent.heartbeat(&beat("a", 8), 2, out), HeartbeatResult::Outdated);
    assert_eq!(agent.upstream(2), UpstreamState::Draining);
    assert!(agent.deregister(&instance("a"), out));
    assert_eq!(agent.heartbeat(&beat("b", 1), 3, out), HeartbeatResult::Changed);
    assert_eq!(
        agent.heartbeat(&Heartbeat { draining: true, ..beat("a", 10) }, 4, out),
        HeartbeatResult::Outdated
    );
    assert_eq!(agent.upstream(4), UpstreamState::Ready);
    assert!(!agent.deregister(&instance("a"), out));
    assert_eq!(agent.upstream(4), UpstreamState::Ready);
}

#[test]
fn a_new_upstream_resets_only_the_flows_of_the_former_one() {
    let mut agent = ready_agent();
    open_flow(&mut agent, 1, 10);
    agent.heartbeat(&beat("a", 2), 1_000, &mut Vec::new());
    // The new upstream may have accepted this flow before its first heartbeat.
    open_flow(&mut agent, 2, 1_500);
    let mut out = Vec::new();
    // The former one may still run until it is silent.
    for (seq, now_ms) in [(1, 2_000), (2, 3_000)] {
        assert_eq!(agent.heartbeat(&beat("b", seq), now_ms, &mut out), HeartbeatResult::Contested);
    }
    assert_eq!(resets(&out), 0);
    agent.heartbeat(&beat("b", 3), 1_000 + 2 * BEAT_MS + 1, &mut out);
    let reset: Vec<_> = out.iter().filter(|it| matches!(it, Effect::Reset { .. })).collect();
    assert_eq!(reset, [&Effect::Reset { key: key(1), seq: 1_001 }]);
}

#[test]
fn the_end_of_the_upstream_process_resets_all_flows() {
    let mut agent = ready_agent();
    open_flow(&mut agent, 1, 10);
    open_flow(&mut agent, 2, 10);
    let out = collect(|out| agent.upstream_ended(20, out));
    assert_eq!(resets(&out), 2);
    assert_eq!(agent.flows(), 0);
    assert_eq!(agent.upstream(20), UpstreamState::Ended);
}

// Two upstreams may answer an opening packet. Guards against a reset of the flow when the one not chosen ends.
#[test]
fn an_unfinished_handshake_is_never_reset() {
    let mut agent = ready_agent();
    agent.handle_relayed_packet(
        &open_at(&[1], 5_000),
        &head(1, PacketKind::Open),
        &[],
        1,
        &mut Vec::new(),
    );
    agent.handle_upstream_packet(
        &PacketHeader { seq: 500, ..head(1, PacketKind::Open) },
        2,
        &mut Vec::new(),
    );
    assert_eq!(resets(&collect(|out| agent.upstream_ended(20, out))), 0);
}

#[test]
fn an_unconfirmed_flow_is_never_reset() {
    let mut agent = restarted_agent();
    agent.handle_relayed_packet(
        &relay(RelayAction::Locate),
        &data(5, 1, 1),
        &[],
        1,
        &mut Vec::new(),
    );
    agent.tick(30, &mut Vec::new());
    assert_eq!(agent.flows(), 1);
    assert_eq!(resets(&collect(|out| agent.upstream_ended(40, out))), 0);
    let mut agent = restarted_agent();
    agent.handle_relayed_packet(
        &relay(RelayAction::Locate),
        &data(5, 1, 1),
        &[],
        1,
        &mut Vec::new(),
    );
    agent.handle_upstream_packet(&data(5, 1, 101), 2, &mut Vec::new());
    assert_eq!(resets(&collect(|out| agent.upstream_ended(40, out))), 1);
}

#[test]
fn an_unfinished_handshake_expires() {
    let mut agent = ready_agent();
    agent.handle_relayed_packet(
        &open_at(&[1], 5_000),
        &head(1, PacketKind::Open),
        &[],
        1,
        &mut Vec::new(),
    );
    assert_eq!(agent.flows(), 1);
    agent.tick(12_000, &mut Vec::new());
    assert_eq!(agent.flows(), 0);
}

#[test]
fn a_bounced_opening_packet_is_forwarded_to_the_next_candidate() {
    let mut agent = ready_agent();
    let open = head(1, PacketKind::Open);
    agent.handle_relayed_packet(&open_at(&[1, 2], 5_000), &open, &[], 1, &mut Vec::new());
    let out = collect(|out| {
        agent.handle_upstream_packet(&PacketHeader { bounced: true, ..open }, 2, out)
    });
    assert_eq!(relays(&out).first().map(|it| it.0), Some(address(2)));
    assert_eq!(agent.flows(), 0);
    agent.handle_relayed_packet(&open_at(&[1], 5_000), &open, &[], 3, &mut Vec::new());
    let out = collect(|out| {
        agent.handle_upstream_packet(&PacketHeader { bounced: true, ..open }, 4, out)
    });
    assert!(decisions(&out).contains(&Decision::Reset(ResetReason::AllRefused)));
}

#[test]
fn a_packet_for_another_pool_is_never_delivered() {
    let mut agent = ready_agent();
    for action in [RelayAction::Deliver, RelayAction::Locate, open_at(&[1], 9_000).action] {
        let foreign = RelayHeader { pool: PoolId(77), ..relay(action) };
        let out = collect(|out| agent.handle_relayed_packet(&foreign, &data(1, 1, 1), &[], 1, out));
        // A packet of an open flow is returned, so that the balancer can search for its agent.
        assert_eq!(answers(&out), [(Answer::WrongPool(POOL), action == RelayAction::Deliver)]);
        assert_eq!(decisions(&out), [Decision::Dropped(DropReason::WrongPool)]);
        assert!(!out.contains(&Effect::Deliver));
    }
}

#[test]
fn an_opening_packet_for_another_pool_is_forwarded_to_the_next_candidate() {
    let mut agent = ready_agent();
    let foreign = RelayHeader { pool: PoolId(77), ..open_at(&[1, 2], 9_000) };
    let out = collect(|out| {
        agent.handle_relayed_packet(&foreign, &head(1, PacketKind::Open), &[], 1, out)
    });
    let Some(&(to, RelayAction::Open(candidates))) = relays(&out).first() else {
        panic!("{out:?}")
    };
    assert_eq!(to, address(2));
    assert_eq!(candidates.candidates()[0].load, LOAD_CLOSED);
    assert_eq!(answers(&out), [(Answer::WrongPool(POOL), false)]);
    assert_eq!(agent.flows(), 0);
}

// A stalled process may forward an opening packet seconds late. Guards against treating the open flow as opening and
// expiring it.
#[test]
fn a_late_retransmission_of_the_opening_packet_does_not_change_an_open_flow() {
    let mut agent = ready_agent();
    open_flow(&mut agent, 1, 10);
    let late = open_at(&[1, 2], 5_000);
    let out = collect(|out| {
        agent.handle_relayed_packet(&late, &head(1, PacketKind::Open), &[], 6_000, out)
    });
    assert_eq!(decisions(&out), [Decision::Dropped(DropReason::LateCopy)]);
    assert!(!out.contains(&Effect::Deliver));
    assert_eq!(agent.flows(), 1);
    agent.tick(17_000, &mut Vec::new());
    let out = collect(|out| {
        agent.handle_relayed_packet(
            &relay(RelayAction::Deliver),
            &data(1, 101, 1_001),
            &[],
            17_010,
            out,
        )
    });
    assert!(out.contains(&Effect::Deliver), "{out:?}");
    assert!(answers(&out).is_empty());
}

#[test]
fn a_caller_that_reuses_its_port_opens_a_new_flow() {
    let mut agent = ready_agent();
    open_flow(&mut agent, 1, 10);
    let again = PacketHeader { seq: 77_000, ..head(1, PacketKind::Open) };
    let out =
        collect(|out| agent.handle_relayed_packet(&open_at(&[1], 5_000), &again, &[], 1_000, out));
    assert!(out.contains(&Effect::Deliver));
    assert_eq!(agent.flows(), 1);
}

#[test]
fn a_packet_for_several_agents_is_forwarded_and_probed_here() {
    let mut agent = restarted_agent();
    let head = data(1, 1, 1);
    let agents = [address(1), address(2), address(3)];
    let out =
        collect(|out| agent.fan_out(&relay(RelayAction::Locate), &agents, &head, &[], 1, out));
    assert!(out.contains(&Effect::Deliver));
    let others = [(address(2), RelayAction::Locate), (address(3), RelayAction::Locate)];
    assert_eq!(relays(&out), others);
}

#[test]
fn an_acknowledgement_of_another_upstreams_reply_is_answered_absent() {
    let mut agent = ready_agent();
    agent.handle_relayed_packet(
        &open_at(&[1], 5_000),
        &head(1, PacketKind::Open),
        &[],
        1,
        &mut Vec::new(),
    );
    agent.handle_upstream_packet(
        &PacketHeader { seq: 500, ..head(1, PacketKind::Open) },
        2,
        &mut Vec::new(),
    );
    let other = data(1, 1, 900_000_000);
    let out = collect(|out| {
        agent.handle_relayed_packet(&relay(RelayAction::Deliver), &other, &[], 3, out)
    });
    assert_eq!(answers(&out), [(Answer::Absent, true)]);
    let own = data(1, 1, 501);
    let out =
        collect(|out| agent.handle_relayed_packet(&relay(RelayAction::Deliver), &own, &[], 4, out));
    assert!(out.contains(&Effect::Deliver));
}

#[test]
fn an_agent_that_has_seen_its_upstream_start_answers_absent_for_unknown_flows() {
    let mut agent = ready_agent();
    let out = collect(|out| {
        agent.handle_relayed_packet(&relay(RelayAction::Deliver), &data(5, 1, 1), &[], 1, out)
    });
    assert_eq!(answers(&out), [(Answer::Absent, true)]);
    let out = collect(|out| agent.query(address(200), &[key(5)], out));
    assert_eq!(
        out,
        [Effect::QueryResponse { to: address(200), statuses: vec![(key(5), FlowStatus::Absent)] }]
    );
}

#[test]
fn a_restarted_agent_probes_its_upstream_for_unknown_flows() {
    let mut agent = restarted_agent();
    let out = collect(|out| agent.query(address(200), &[key(5)], out));
    assert_eq!(
        out,
        [Effect::QueryResponse { to: address(200), statuses: vec![(key(5), FlowStatus::Unknown)] }]
    );
    let out = collect(|out| {
        agent.handle_relayed_packet(&relay(RelayAction::Locate), &data(5, 1, 1), &[], 1, out)
    });
    assert!(out.contains(&Effect::Deliver));
    assert!(answers(&out).is_empty());
    let out = collect(|out| agent.tick(30, out));
    assert_eq!(answers(&out), [(Answer::Here, false)]);
    assert_eq!(agent.flows(), 1);
}

#[test]
fn a_bounced_probe_is_answered_absent_and_returns_a_packet_to_deliver() {
    for (action, returned) in [(RelayAction::Locate, false), (RelayAction::Deliver, true)] {
        let mut agent = restarted_agent();
        agent.handle_relayed_packet(&relay(action), &data(5, 1, 1), &[], 1, &mut Vec::new());
        let bounced = PacketHeader { bounced: true, ..data(5, 1, 1) };
        let out = collect(|out| agent.handle_upstream_packet(&bounced, 2, out));
        assert_eq!(answers(&out), [(Answer::Absent, returned)]);
        assert!(!out.contains(&Effect::Reply));
        assert!(answers(&collect(|out| agent.tick(100, out))).is_empty());
    }
}

// An upstream may answer a packet of a flow that it never held with a reset. Guards against forwarding it.
#[test]
fn a_reset_in_reply_to_a_probe_is_not_forwarded() {
    let mut agent = restarted_agent();
    agent.handle_relayed_packet(
        &relay(RelayAction::Locate),
        &data(5, 1, 1),
        &[],
        1,
        &mut Vec::new(),
    );
    let out = collect(|out| agent.handle_upstream_packet(&head(5, PacketKind::Reset), 2, out));
    assert!(!out.contains(&Effect::Reply));
    assert_eq!(answers(&out), [(Answer::Absent, false)]);
    let mut agent = ready_agent();
    open_flow(&mut agent, 6, 1);
    let out = collect(|out| agent.handle_upstream_packet(&head(6, PacketKind::Reset), 2, out));
    assert!(out.contains(&Effect::Reply));
}

// Without an upstream no probe is bounced. Guards against an agent that then reports every flow as its own.
#[test]
fn an_agent_without_a_heartbeat_confirms_no_probed_flow() {
    let mut agent = Agent::new(identity(1, 1), BEAT_MS, true, 0);
    agent.handle_relayed_packet(
        &relay(RelayAction::Locate),
        &data(5, 1, 1),
        &[],
        1,
        &mut Vec::new(),
    );
    assert!(answers(&collect(|out| agent.tick(30, out))).is_empty());
    assert_eq!(agent.flows(), 0);
}

#[test]
fn an_agent_that_found_no_upstream_answers_absent() {
    let mut agent = Agent::new(identity(1, 1), BEAT_MS, false, 0);
    assert_eq!(agent.upstream(1), UpstreamState::Ended);
    let out = collect(|out| {
        agent.handle_relayed_packet(&relay(RelayAction::Locate), &data(5, 1, 1), &[], 1, out)
    });
    assert_eq!(answers(&out), [(Answer::Absent, false)]);
}

#[test]
fn requests_in_progress_are_counted_once() {
    let mut agent = ready_agent();
    open_flow(&mut agent, 1, 1);
    assert_eq!(agent.active_requests(), 1);
    // A retransmission is not a new request.
    agent.handle_relayed_packet(
        &relay(RelayAction::Deliver),
        &data(1, 1, 1_001),
        &[],
        5,
        &mut Vec::new(),
    );
    assert_eq!(agent.active_requests(), 1);
    agent.handle_upstream_packet(&data(1, 1_001, 101), 10, &mut Vec::new());
    assert_eq!(agent.active_requests(), 0);
    agent.handle_relayed_packet(
        &relay(RelayAction::Deliver),
        &data(1, 1, 1_001),
        &[],
        15,
        &mut Vec::new(),
    );
    assert_eq!(agent.active_requests(), 0);
    agent.handle_relayed_packet(
        &relay(RelayAction::Deliver),
        &data(1, 101, 1_101),
        &[],
        20,
        &mut Vec::new(),
    );
    assert_eq!(agent.active_requests(), 1);
    for kind in [PacketKind::Finish, PacketKind::Reset] {
        agent.handle_relayed_packet(
            &relay(RelayAction::Deliver),
            &head(1, kind),
            &[],
            25,
            &mut Vec::new(),
        );
    }
    assert_eq!((agent.active_requests(), agent.flows()), (0, 0));
}

#[test]
fn a_pausing_agent_forwards_opening_packets() {
    let mut agent = ready_agent();
    let out = collect(|out| agent.set_plan(AgentPlan::Pause, 0, out));
    assert_eq!(out, [Effect::Report]);
    let out = collect(|out| {
        agent.handle_relayed_packet(
            &open_at(&[1, 2], 5_000),
            &head(1, PacketKind::Open),
            &[],
            1,
            out,
        )
    });
    assert_eq!(relays(&out).first().map(|it| it.0), Some(address(2)));
    assert_eq!(agent.next_report(1).plan, AgentPlan::Pause);
}

const IDEMPOTENT: Objective =
    Objective { priority: 1, latency_ms: 250, timeout_ms: 2_500, idempotent: true };

/// An opening packet with agents 1 and 2 as candidates.
fn open_with(idempotent: bool) -> RelayHeader {
    let candidates = CandidateList::new([address(1), address(2)], 5_000);
    relay(RelayAction::Open(
        candidates.with_objective(Some(Objective { idempotent, ..IDEMPOTENT })),
    ))
}

fn is_accepted(agent: &mut Agent, port: u16, idempotent: bool, now_ms: u64) -> bool {
    let open = head(port, PacketKind::Open);
    collect(|out| agent.handle_relayed_packet(&open_with(idempotent), &open, &[], now_ms, out))
        .contains(&Effect::Deliver)
}

/// An agent whose upstream has reset this many requests, on ports from 1 on.
fn agent_after_resets(requests: u16) -> Agent {
    let mut agent = ready_agent();
    for port in 1..=requests {
        open_flow(&mut agent, port, 10);
        let reset = PacketHeader { seq: 1_001, ..head(port, PacketKind::Reset) };
        agent.handle_upstream_packet(&reset, 10, &mut Vec::new());
    }
    agent
}

#[test]
fn an_upstream_that_resets_requests_gets_flows_only_as_the_last_resort() {
    assert!(is_accepted(&mut agent_after_resets(2), 50, true, 20));
    let mut agent = agent_after_resets(3);
    let open = head(50, PacketKind::Open);
    let out = collect(|out| agent.handle_relayed_packet(&open_with(true), &open, &[], 20, out));
    let Some((to, RelayAction::Open(candidates))) = relays(&out).first().copied() else {
        panic!("{out:?}")
    };
    assert_eq!((to, candidates.candidates()[0].load), (address(2), LOAD_UNKNOWN));
    // As the last resort the upstream still gets the flow.
    let settle = relay(RelayAction::Assign(CandidateList::new([address(1)], 0)));
    let out = collect(|out| {
        agent.handle_relayed_packet(&settle, &head(51, PacketKind::Open), &[], 20, out)
    });
    assert!(out.contains(&Effect::Deliver));
}

#[test]
fn trials_of_an_open_breaker_prefer_idempotent_requests() {
    let mut agent = agent_after_resets(4);
    assert!(!is_accepted(&mut agent, 50, true, 500));
    assert!(!is_accepted(&mut agent, 51, false, 520));
    assert!(is_accepted(&mut agent, 52, true, 520));
    assert!(!is_accepted(&mut agent, 53, true, 530));
    // A flow with non-idempotent requests is a trial only after the longest delay.
    agent.heartbeat(&beat("a", 2), 20_000, &mut Vec::new());
    assert!(is_accepted(&mut agent, 54, false, 20_000));
}

#[test]
fn successful_trials_close_the_breaker() {
    let mut agent = agent_after_resets(4);
    let mut now_ms = 520;
    for port in 50..53 {
        assert!(is_accepted(&mut agent, port, true, now_ms), "{port}");
        let answer = PacketHeader { seq: 1_000, ..head(port, PacketKind::Open) };
        agent.handle_upstream_packet(&answer, now_ms, &mut Vec::new());
        agent.handle_relayed_packet(
            &relay(RelayAction::Deliver),
            &data(port, 1, 1_001),
            &[],
            now_ms,
            &mut Vec::new(),
        );
        agent.handle_upstream_packet(&data(port, 1_001, 101), now_ms, &mut Vec::new());
        now_ms += 10;
    }
    assert!(
        is_accepted(&mut agent, 60, false, now_ms) && is_accepted(&mut agent, 61, false, now_ms)
    );
}

// Guards against counting each packet of an answer as an answered request.
#[test]
fn further_packets_of_an_answer_do_not_close_the_breaker() {
    let mut agent = agent_after_resets(3);
    assert!(is_accepted(&mut agent, 50, true, 520));
    let answer = PacketHeader { seq: 1_000, ..head(50, PacketKind::Open) };
    agent.handle_upstream_packet(&answer, 520, &mut Vec::new());
    agent.handle_relayed_packet(
        &relay(RelayAction::Deliver),
        &data(50, 1, 1_001),
        &[],
        521,
        &mut Vec::new(),
    );
    for at in 0..9 {
        agent.handle_upstream_packet(&data(50, 1_001 + at * 100, 101), 530, &mut Vec::new());
    }
    assert!(is_accepted(&mut agent, 51, true, 531), "the next trial");
    assert!(!is_accepted(&mut agent, 52, true, 532), "and no more than that");
}

#[test]
fn a_reset_without_a_request_or_after_the_upstreams_close_is_not_counted() {
    let mut agent = ready_agent();
    for port in 1..20 {
        open_flow(&mut agent, port, 10);
        agent.handle_upstream_packet(&data(port, 1_001, 101), 10, &mut Vec::new());
        if port % 2 == 0 {
            agent.handle_upstream_packet(&head(port, PacketKind::Finish), 11, &mut Vec::new());
            agent.handle_relayed_packet(
                &relay(RelayAction::Deliver),
                &data(port, 101, 1_101),
                &[],
                12,
                &mut Vec::new(),
            );
        }
        agent.handle_upstream_packet(&head(port, PacketKind::Reset), 12, &mut Vec::new());
    }
    for port in 30..50 {
        // These requests stay unanswered, so that no answer offsets a reset that was counted by mistake.
        open_flow(&mut agent, port, 10);
    }
    assert!(is_accepted(&mut agent, 50, true, 20));
}
