use std::net::SocketAddrV4;

use camphorwinch_core::opaque::{
    PacketHeader, PacketKind,
    balancer::{Balancer, Duty},
    effect::{Answer, Decision, DropReason, Effect, FlowStatus, Payload, RelayAction, ResetReason},
    fleet::{AgentPlan, MemberEntry, Report},
    revision::Revision,
    route::Routes,
};

use crate::support::{
    OTHER_POOL, POOL, ZONE, address, data, decisions, head, key, relays, report, resets, routes,
    routes_to,
};

/// A balancer with a configuration and agents 1 to `agents`, which reported at time 0.
fn balancer(agents: u8) -> Balancer {
    let mut it = Balancer::new(address(200), ZONE);
    it.update_routes(routes(1));
    it.sync_members(&[], 0);
    report_agents(&mut it, agents, 1, 0);
    it
}

fn report_agents(balancer: &mut Balancer, agents: u8, seq: u64, now_ms: u64) {
    for host in 1..=agents {
        balancer.handle_report(address(host), report(seq, 0), now_ms, &mut Vec::new());
    }
}

fn send_packet(balancer: &mut Balancer, head: &PacketHeader, now_ms: u64) -> Vec<Effect> {
    let mut out = Vec::new();
    balancer.handle_packet(head, b"packet", now_ms, &mut out);
    out
}

fn tick(balancer: &mut Balancer, now_ms: u64) -> Vec<Effect> {
    let mut out = Vec::new();
    balancer.tick(now_ms, &mut out);
    out
}

fn run_ticks(balancer: &mut Balancer, from_ms: u64, until_ms: u64) {
    for now in (from_ms..until_ms).step_by(100) {
        tick(balancer, now);
    }
}

fn send_answer(balancer: &mut Balancer, host: u8, answer: Answer, now_ms: u64) -> Vec<Effect> {
    let mut out = Vec::new();
    balancer.handle_answer(address(host), key(1), answer, None, now_ms, &mut out);
    out
}

fn located_hosts(effects: &[Effect]) -> Vec<u8> {
    let hosts = relays(effects).into_iter().filter(|it| it.1 == RelayAction::Locate);
    let mut hosts: Vec<u8> = hosts.map(|it| it.0.ip().octets()[3]).collect();
    hosts.sort_unstable();
    hosts
}

/// Agents that were sent a query without the packet.
fn queried_agents(effects: &[Effect]) -> Vec<SocketAddrV4> {
    let query = |it: &Effect| match it {
        Effect::Query { to, .. } => Some(*to),
        _ => None,
    };
    effects.iter().filter_map(query).collect()
}

/// Agents that a packet is forwarded to, per copy that leaves the balancer.
fn fan_out_targets(effects: &[Effect]) -> Vec<Vec<SocketAddrV4>> {
    let fan_out = |it: &Effect| match it {
        Effect::FanOut { agents, .. } => Some(agents.clone()),
        _ => None,
    };
    effects.iter().filter_map(fan_out).collect()
}

/// Sends a report of agent 1 every second.
fn report_agent_1(balancer: &mut Balancer, now_ms: u64) {
    if now_ms.is_multiple_of(1_000) {
        balancer.handle_report(address(1), report(now_ms, 0), now_ms, &mut Vec::new());
    }
}

#[test]
fn packets_of_a_flow_go_to_its_first_candidate_until_another_agent_accepts() {
    let mut it = balancer(3);
    let out = send_packet(&mut it, &head(1, PacketKind::Open), 1);
    let Some(&(first, RelayAction::Open(candidates))) = relays(&out).first() else {
        panic!("{out:?}")
    };
    assert_eq!(candidates.candidates().len(), 3);
    let out = send_packet(&mut it, &data(1, 1, 1), 2);
    assert_eq!(relays(&out), [(first, RelayAction::Deliver)]);
    // Another agent accepted the flow.
    send_answer(&mut it, 3, Answer::Here, 3);
    let out = send_packet(&mut it, &data(1, 1, 1), 4);
    assert_eq!(relays(&out), [(address(3), RelayAction::Deliver)]);
}

#[test]
fn a_second_acceptance_does_not_move_a_flow() {
    let mut it = balancer(3);
    send_packet(&mut it, &head(1, PacketKind::Open), 1);
    send_answer(&mut it, 2, Answer::Here, 2);
    send_answer(&mut it, 3, Answer::Here, 3);
    let out = send_packet(&mut it, &data(1, 1, 1), 4);
    assert_eq!(relays(&out), [(address(2), RelayAction::Deliver)]);
}

#[test]
fn a_retransmitted_opening_packet_goes_to_another_candidate_unless_the_flow_was_accepted() {
    let mut it = balancer(3);
    let first = relays(&send_packet(&mut it, &head(1, PacketKind::Open), 1))[0].0;
    let copy = PacketHeader { ack: 1, ..head(1, PacketKind::Open) };
    let second = relays(&send_packet(&mut it, &copy, 201))[0].0;
    assert_ne!(first, second);
    send_answer(&mut it, 2, Answer::Here, 210);
    assert_eq!(relays(&send_packet(&mut it, &copy, 220)), [(address(2), RelayAction::Deliver)]);
}

#[test]
fn flows_without_a_route_are_reset_once_the_configuration_is_known() {
    let mut it = Balancer::new(address(200), ZONE);
    let out = send_packet(&mut it, &head(1, PacketKind::Open), 1);
    assert_eq!(decisions(&out), [Decision::Dropped(DropReason::NoConfig)]);
    it.update_routes(Routes { revision: Revision::new(0, 1), version: 1, ..Routes::default() });
    let out = send_packet(&mut it, &head(1, PacketKind::Open), 2);
    assert_eq!(decisions(&out), [Decision::Reset(ResetReason::NoRoute)]);
    // The packet's route may not have been received yet.
    let out = send_packet(&mut it, &data(1, 1, 1), 3);
    assert_eq!(decisions(&out), [Decision::Dropped(DropReason::NoRoute)]);
}

#[test]
fn flows_of_a_dropped_route_are_reset_with_a_valid_sequence_number() {
    let mut it = balancer(1);
    send_packet(&mut it, &head(1, PacketKind::Open), 1);
    it.update_routes(Routes { revision: Revision::new(0, 2), version: 2, ..Routes::default() });
    let out = send_packet(&mut it, &data(1, 1, 777), 2);
    assert!(out.contains(&Effect::Reset { key: key(1), seq: 777 }));
}

#[test]
fn buffered_packets_of_an_unknown_flow_are_sent_to_its_holder() {
    let mut it = balancer(3);
    let out = send_packet(&mut it, &data(1, 1, 1), 1);
    assert_eq!(located_hosts(&out), [1, 2, 3]);
    assert!(relays(&send_packet(&mut it, &data(1, 101, 1), 2)).is_empty());
    send_answer(&mut it, 1, Answer::Absent, 3);
    let out = send_answer(&mut it, 2, Answer::Here, 4);
    let held = Payload::Buffered(b"packet".to_vec());
    let sent =
        out.iter().filter(|it| matches!(it, Effect::Relay { payload, .. } if *payload == held));
    assert_eq!(sent.count(), 2);
    assert_eq!(
        relays(&send_packet(&mut it, &data(1, 201, 1), 5)),
        [(address(2), RelayAction::Deliver)]
    );
}

#[test]
fn a_search_sends_the_packet_to_few_agents_and_batches_queries_to_the_others() {
    let mut it = balancer(40);
    let out = send_packet(&mut it, &data(1, 1, 1), 1);
    let first = located_hosts(&out);
    assert_eq!(first.len(), 4);
    send_packet(&mut it, &data(2, 1, 1), 1);
    let out = tick(&mut it, 25);
    assert!(located_hosts(&out).is_empty());
    let queries: Vec<_> = out
        .iter()
        .filter_map(|it| match it {
            Effect::Query { keys, .. } => Some(keys.len()),
            _ => None,
        })
        .collect();
    // One query per agent covers both flows.
    assert!(queries.len() <= 40, "{}", queries.len());
    assert_eq!(queries.iter().sum::<usize>(), 2 * 36);
}

#[test]
fn an_agent_with_status_unknown_is_sent_the_packet() {
    let mut it = balancer(10);
    let first = located_hosts(&send_packet(&mut it, &data(1, 1, 1), 1));
    tick(&mut it, 25);
    let other = (1..=10).find(|it| !first.contains(it)).expect("ten agents, four queried");
    let mut out = Vec::new();
    it.handle_query_result(address(other), key(1), FlowStatus::Unknown, 26, &mut out);
    // The packet is sent at the next tick, as the status at other agents may be unknown, too.
    assert!(located_hosts(&out).is_empty());
    assert_eq!(located_hosts(&tick(&mut it, 45)), [other]);
}

// After a power loss all agents have status unknown; a copy of the packet for each overloaded the balancer's link.
#[test]
fn a_search_among_agents_with_status_unknown_sends_few_copies_of_the_packet() {
    let agents = 43;
    let mut it = balancer(agents);
    report_agents(&mut it, agents, 2, 1_000);
    let mut copies = relays(&send_packet(&mut it, &data(1, 1, 555), 1_000)).len();
    let mut out = tick(&mut it, 1_025);
    let queried = queried_agents(&out);
    assert_eq!(queried.len(), 39);
    for &agent in &queried {
        it.handle_query_result(agent, key(1), FlowStatus::Unknown, 1_030, &mut out);
    }
    copies += relays(&out).len();
    // The first four agents have not answered, so the other upstreams are probed at the next tick.
    out = tick(&mut it, 1_050);
    copies += relays(&out).len();
    let mut forwarded_to: Vec<_> = fan_out_targets(&out).into_iter().flatten().collect();
    copies += fan_out_targets(&out).len();
    forwarded_to.sort_unstable();
    assert_eq!(forwarded_to, queried);
    assert!(copies <= 6, "{copies}");
    let mut reset = false;
    for host in 1..=agents {
        reset |= resets(&send_answer(&mut it, host, Answer::Absent, 1_060)) == 1;
    }
    assert!(reset);
}

#[test]
fn upstreams_are_probed_as_soon_as_only_agents_with_status_unknown_are_pending() {
    let mut it = balancer(10);
    let first = located_hosts(&send_packet(&mut it, &data(1, 1, 1), 1));
    let mut out = tick(&mut it, 25);
    let others = queried_agents(&out);
    for host in first {
        send_answer(&mut it, host, Answer::Absent, 26);
    }
    out.clear();
    for agent in others {
        assert!(fan_out_targets(&out).is_empty());
        it.handle_query_result(agent, key(1), FlowStatus::Unknown, 27, &mut out);
    }
    assert_eq!(fan_out_targets(&out).iter().map(Vec::len).collect::<Vec<_>>(), [6]);
}

#[test]
fn a_flow_without_a_holder_is_reset_at_once() {
    let mut it = balancer(2);
    report_agents(&mut it, 2, 2, 2_000);
    send_packet(&mut it, &data(1, 1, 555), 2_000);
    assert_eq!(resets(&send_answer(&mut it, 1, Answer::Absent, 2_001)), 0);
    let out = send_answer(&mut it, 2, Answer::Absent, 2_002);
    assert!(out.contains(&Effect::Reset { key: key(1), seq: 555 }));
    assert!(decisions(&out).contains(&Decision::Reset(ResetReason::NotHeld)));
}

#[test]
fn a_flow_that_a_silent_agent_may_hold_is_not_reset() {
    let mut it = balancer(2);
    run_ticks(&mut it, 100, 3_500);
    it.handle_report(address(1), report(2, 0), 3_500, &mut Vec::new());
    send_packet(&mut it, &data(1, 1, 1), 3_500);
    assert_eq!(resets(&send_answer(&mut it, 1, Answer::Absent, 3_501)), 0);
    let out = tick(&mut it, 3_700);
    assert_eq!(resets(&out), 0);
    assert!(matches!(decisions(&out)[..], [Decision::NotFound { absent: 1, asked: 2, .. }]));
    // Once the agent is gone, its flows are of no use to their callers.
    let mut reset_ms = None;
    for now in (3_720..9_000).step_by(20) {
        it.handle_report(address(1), report(now, 0), now, &mut Vec::new());
        let mut out = tick(&mut it, now);
        if now % 800 == 0 {
            out.extend(send_packet(&mut it, &data(1, 1, 1), now));
        }
        if !queried_agents(&out).is_empty() || !located_hosts(&out).is_empty() {
            out.extend(send_answer(&mut it, 1, Answer::Absent, now));
        }
        if resets(&out) > 0 {
            reset_ms.get_or_insert(now);
        }
    }
    assert!(reset_ms.is_some_and(|it| (4_500..6_500).contains(&it)), "{reset_ms:?}");
}

// A silent agent reports again during a search that did not query it.
#[test]
fn a_flow_is_not_reset_before_a_returning_agent_was_queried() {
    let mut it = balancer(2);
    run_ticks(&mut it, 100, 5_500);
    it.handle_report(address(1), report(2, 0), 5_500, &mut Vec::new());
    let out = send_packet(&mut it, &data(1, 1, 1), 5_500);
    assert_eq!(located_hosts(&out), [1]);
    it.handle_report(address(2), report(2, 0), 5_510, &mut Vec::new());
    assert_eq!(resets(&send_answer(&mut it, 1, Answer::Absent, 5_520)), 0);
    let mut out = Vec::new();
    for now in (5_540..5_700).step_by(20) {
        out.extend(tick(&mut it, now));
    }
    assert!(queried_agents(&out).contains(&address(2)), "{out:?}");
    assert_eq!(resets(&out), 0);
}

// After a stall a balancer took all agents for gone, as it had received no reports.
#[test]
fn a_stalled_balancer_does_not_mark_agents_as_gone() {
    let mut it = balancer(2);
    tick(&mut it, 20);
    send_packet(&mut it, &head(1, PacketKind::Open), 30);
    send_answer(&mut it, 1, Answer::Here, 31);
    tick(&mut it, 40);
    let out = send_packet(&mut it, &data(1, 1, 1), 8_040);
    assert_eq!(relays(&out), [(address(1), RelayAction::Deliver)]);
    // A flow without a known holder is not reset either, though no agent has reported since the stall.
    let mut out = send_packet(&mut it, &data(2, 1, 1), 8_041);
    assert_eq!(located_hosts(&out), [1, 2]);
    for now in (8_060..8_400).step_by(20) {
        out.extend(tick(&mut it, now));
    }
    out.extend(send_packet(&mut it, &head(3, PacketKind::Open), 8_400));
    assert_eq!(resets(&out), 0);
}

#[test]
fn a_flow_is_not_reset_before_all_members_are_known() {
    let mut it = Balancer::new(address(200), ZONE);
    it.update_routes(routes(1));
    report_agents(&mut it, 1, 1, 0);
    send_packet(&mut it, &data(1, 1, 1), 10);
    assert_eq!(resets(&send_answer(&mut it, 1, Answer::Absent, 11)), 0);
    let listed = MemberEntry { address: address(2), pool: Some(POOL), zone: ZONE };
    it.sync_members(&[listed], 20);
    report_agents(&mut it, 1, 2, 2_000);
    send_packet(&mut it, &data(1, 1, 1), 2_000);
    assert_eq!(resets(&send_answer(&mut it, 1, Answer::Absent, 2_001)), 0);
    assert_eq!(resets(&tick(&mut it, 2_300)), 0);
}

// An agent that left while the list was read kept searches uncertain until it counted as gone.
#[test]
fn a_member_that_left_while_the_list_was_read_does_not_block_searches() {
    let mut it = Balancer::new(address(200), ZONE);
    it.update_routes(routes(1));
    let listed = |host| MemberEntry { address: address(host), pool: Some(POOL), zone: ZONE };
    it.sync_members(&[listed(1), listed(2)], 0);
    report_agents(&mut it, 1, 1, 10);
    let lists = |out: &[Effect]| out.contains(&Effect::ReloadMembers);
    assert!(!lists(&tick(&mut it, 500)));
    assert!(lists(&tick(&mut it, 650)));
    assert!(!lists(&tick(&mut it, 700)));
    it.sync_members(&[listed(1)], 710);
    send_packet(&mut it, &data(1, 1, 1), 720);
    assert_eq!(resets(&send_answer(&mut it, 1, Answer::Absent, 721)), 1);
}

#[test]
fn the_member_list_is_not_read_again_if_all_members_reported() {
    let mut it = Balancer::new(address(200), ZONE);
    it.sync_members(&[MemberEntry { address: address(1), pool: Some(POOL), zone: ZONE }], 0);
    report_agents(&mut it, 1, 1, 10);
    assert!(!tick(&mut it, 650).contains(&Effect::ReloadMembers));
}

// The entry of a lost agent kept the searches of restarted balancers uncertain.
#[test]
fn the_entry_of_a_silent_agent_is_due_for_withdrawal_after_eleven_seconds() {
    let mut it = Balancer::new(address(200), ZONE);
    it.update_routes(routes(1));
    let listed = |host| MemberEntry { address: address(host), pool: Some(POOL), zone: ZONE };
    it.sync_members(&[listed(1), listed(2)], 0);
    report_agents(&mut it, 2, 1, 10);
    for now in (100..11_000).step_by(100) {
        it.handle_report(address(1), report(now, 0), now, &mut Vec::new());
        tick(&mut it, now);
        assert!(it.agents_to_withdraw(0, now).is_empty(), "{now}");
    }
    it.handle_report(address(1), report(12_000, 0), 11_100, &mut Vec::new());
    assert_eq!(it.agents_to_withdraw(0, 11_100), [address(2)]);
}

// Guards against the withdrawal of living agents by a balancer that was cut off: after the cut the first reports make
// it ready while it has not heard of the other agents yet.
#[test]
fn silence_during_a_cut_of_the_balancer_does_not_count_for_withdrawals() {
    let mut it = Balancer::new(address(200), ZONE);
    it.update_routes(routes(1));
    let listed = |host| MemberEntry { address: address(host), pool: Some(POOL), zone: ZONE };
    it.sync_members(&[listed(1), listed(2)], 0);
    report_agents(&mut it, 2, 1, 10);
    run_ticks(&mut it, 100, 13_000);
    report_agents(&mut it, 1, 2, 13_000);
    assert!(it.agents_to_withdraw(13_000, 13_000).is_empty());
    for now in (13_100..24_000).step_by(100) {
        it.handle_report(address(1), report(now, 0), now, &mut Vec::new());
        tick(&mut it, now);
        assert!(it.agents_to_withdraw(13_000, now).is_empty(), "{now}");
    }
    it.handle_report(address(1), report(24_000, 0), 24_000, &mut Vec::new());
    assert_eq!(it.agents_to_withdraw(13_000, 24_000), [address(2)]);
}

// An agent that leaves during a store outage can't withdraw its own entry, and restarted balancers waited for it.
#[test]
fn the_entry_of_an_agent_that_left_is_due_for_withdrawal_if_it_remains() {
    let mut it = balancer(2);
    let leaving = Report { plan: AgentPlan::Leave, ..report(2, 0) };
    it.handle_report(address(2), leaving, 100, &mut Vec::new());
    assert!(it.agents_to_withdraw(0, 1_000).is_empty());
    assert_eq!(it.agents_to_withdraw(0, 1_600), [address(2)]);
    // Another agent uses the address now.
    let other = Report { incarnation: 7, ..report(1, 0) };
    it.handle_report(address(2), other, 1_700, &mut Vec::new());
    assert!(it.agents_to_withdraw(0, 1_800).is_empty());
}

#[test]
fn an_agent_that_reports_after_its_withdrawal_is_notified_once() {
    let mut it = balancer(2);
    it.mark_withdrawn(address(2));
    let mut out = Vec::new();
    it.handle_report(address(1), report(2, 0), 100, &mut out);
    assert!(out.is_empty());
    it.handle_report(address(2), report(2, 0), 100, &mut out);
    assert_eq!(out, [Effect::Unlisted { to: address(2) }]);
    out.clear();
    it.handle_report(address(2), report(3, 0), 200, &mut out);
    assert!(out.is_empty());
}

// After a reset to an older copy, the store lacks agents that registered later, and new processes do not find them.
#[test]
fn three_balancers_notify_agents_missing_from_a_reset_store() {
    let all: Vec<_> = (100..120).map(address).collect();
    let listed = |host| MemberEntry { address: address(host), pool: Some(POOL), zone: ZONE };
    let mut notified = Vec::new();
    for &own in &all {
        let mut it = Balancer::new(own, ZONE);
        it.sync_members(&[listed(1), listed(2)], 0);
        for host in [1, 2, 3] {
            it.handle_report(address(host), report(1, 0), 0, &mut Vec::new());
        }
        let leaving = Report { plan: AgentPlan::Pause, ..report(1, 0) };
        it.handle_report(address(4), leaving, 0, &mut Vec::new());
        it.sync_members(&[listed(1)], 100);
        it.notify_unlisted(all.iter().filter(|&&it| it != own), 200, &mut notified);
    }
    notified.sort_by_key(|it| format!("{it:?}"));
    let to = |host| vec![Effect::Unlisted { to: address(host) }; 3];
    assert_eq!(notified, [to(2), to(3)].concat());
}

// Guards against a living agent that starting balancers don't know, as nobody noticed that its entry was removed.
#[test]
fn an_agent_that_reports_is_notified_of_its_removal() {
    let mut it = balancer(3);
    let mut out = Vec::new();
    let leaving = Report { plan: AgentPlan::Leave, ..report(2, 0) };
    it.handle_report(address(3), leaving, 10, &mut out);
    for now in (100..6_000).step_by(100) {
        report_agent_1(&mut it, now);
        tick(&mut it, now);
    }
    assert!(it.handle_removal(address(1), 6_000, &mut out));
    assert_eq!(out, [Effect::Unlisted { to: address(1) }]);
    // Agent 2 is silent, agent 3 has left, and 9 is unknown.
    for host in [2, 3, 9] {
        assert!(!it.handle_removal(address(host), 6_000, &mut out), "{host}");
    }
    assert_eq!(out.len(), 1);
}

// Guards against store calls that grow with the fleet, and against removals that nobody sees.
#[test]
fn three_balancers_watch_for_removals() {
    for count in [1, 3, 120] {
        let all: Vec<_> = (100..100 + count).map(address).collect();
        let watches = |it: &&SocketAddrV4| {
            let others = all.iter().filter(|other| other != it);
            Balancer::new(**it, ZONE).duty_rank(Duty::RemovalWatch, others).is_some()
        };
        assert_eq!(all.iter().filter(watches).count(), usize::from(count).min(3));
    }
}

// Every balancer withdrew the same entry, as none had noticed that another did.
#[test]
fn three_balancers_withdraw_an_entry_and_more_if_it_remains() {
    let all: Vec<_> = (100..120).map(address).collect();
    let withdrawing = |agent: u8, since_ms: u64| {
        let should_withdraw = |it: &&SocketAddrV4| {
            let others = all.iter().filter(|other| other != it);
            Balancer::new(**it, ZONE).should_withdraw(address(agent), others, since_ms)
        };
        all.iter().filter(should_withdraw).copied().collect::<Vec<_>>()
    };
    assert_eq!(withdrawing(1, 0).len(), 3);
    assert_eq!(withdrawing(1, 60_000).len(), 6);
    assert_eq!(withdrawing(1, 600_000).len(), all.len());
    // Other agents are withdrawn by other balancers.
    assert!((2..9).any(|it| withdrawing(it, 0) != withdrawing(1, 0)));
}

// Guards against resets of flows of a living agent that the store does not list while it registers again.
#[test]
fn a_flow_is_not_reset_before_peers_named_the_agents_that_report_to_them() {
    let listed = |host| MemberEntry { address: address(host), pool: Some(POOL), zone: ZONE };
    let start = || {
        let mut it = Balancer::new(address(200), ZONE);
        it.update_routes(routes(1));
        it.sync_members(&[listed(1)], 0);
        it.await_peers(0);
        report_agents(&mut it, 1, 1, 10);
        it
    };
    let search = |it: &mut Balancer, now| {
        send_packet(it, &data(1, 1, 1), now);
        resets(&send_answer(it, 1, Answer::Absent, now + 1))
    };
    let mut it = start();
    assert_eq!(search(&mut it, 150), 0, "a peer may know a further agent");
    it.merge_members(&[listed(2)], 160);
    it.handle_peers_asked();
    let mut out = send_packet(&mut it, &data(1, 1, 1), 300);
    out.extend(tick(&mut it, 320));
    assert!(located_hosts(&out).contains(&2) || queried_agents(&out).contains(&address(2)));
    it.handle_answer(address(2), key(1), Answer::Here, None, 330, &mut Vec::new());
    let out = send_packet(&mut it, &data(1, 1, 1), 340);
    assert_eq!(relays(&out), [(address(2), RelayAction::Deliver)]);
    // Callers of dead flows are told as soon as the peers have answered, or after a bounded time.
    let mut it = start();
    it.handle_peers_asked();
    assert_eq!(search(&mut it, 150), 1);
    assert_eq!(search(&mut start(), 310), 1);
}

#[test]
fn members_from_a_peer_do_not_complete_the_membership() {
    let mut it = Balancer::new(address(200), ZONE);
    it.update_routes(routes(1));
    it.merge_members(&[MemberEntry { address: address(1), pool: Some(POOL), zone: ZONE }], 0);
    report_agents(&mut it, 1, 1, 10);
    report_agents(&mut it, 1, 2, 2_000);
    let out = send_packet(&mut it, &data(1, 1, 1), 2_000);
    assert_eq!(located_hosts(&out), [1]);
    assert_eq!(resets(&send_answer(&mut it, 1, Answer::Absent, 2_001)), 0);
}

#[test]
fn members_from_a_peer_do_not_remove_others() {
    let mut it = balancer(2);
    it.merge_members(&[MemberEntry { address: address(3), pool: Some(POOL), zone: ZONE }], 20_000);
    assert_eq!(it.fleet().len(), 3);
}

#[test]
fn failed_searches_are_repeated_less_and_less_often() {
    // Agent 2 never answers, so no search is certain.
    let mut it = balancer(2);
    let mut searches = 0;
    for now in (0..2_000).step_by(10) {
        let mut out = send_packet(&mut it, &data(1, 1, 1), now);
        out.extend(tick(&mut it, now));
        let started = |it: &&Decision| matches!(it, Decision::Searched { .. });
        searches += decisions(&out).iter().filter(started).count();
    }
    assert!((3..=6).contains(&searches), "{searches}");
}

#[test]
fn packets_are_buffered_for_a_restarting_agent() {
    let mut it = balancer(2);
    send_packet(&mut it, &head(1, PacketKind::Open), 1);
    send_answer(&mut it, 1, Answer::Here, 2);
    let restarting = Report { plan: AgentPlan::Restart, ..report(2, 0) };
    it.handle_report(address(1), restarting, 100, &mut Vec::new());
    let out = send_packet(&mut it, &data(1, 1, 1), 110);
    assert!(relays(&out).is_empty());
    let back = Report { incarnation: 2, ..report(1, 0) };
    let mut out = Vec::new();
    it.handle_report(address(1), back, 900, &mut out);
    assert_eq!(relays(&out), [(address(1), RelayAction::Deliver)]);
}

#[test]
fn a_returned_packet_starts_a_search_among_the_other_agents() {
    let mut it = balancer(3);
    send_packet(&mut it, &head(1, PacketKind::Open), 1);
    send_answer(&mut it, 1, Answer::Here, 2);
    let back = data(1, 1, 1);
    let mut out = Vec::new();
    it.handle_answer(address(1), key(1), Answer::Absent, Some((&back, b"packet")), 3, &mut out);
    assert_eq!(located_hosts(&out), [2, 3]);
}

#[test]
fn an_agent_of_another_pool_gets_no_flows_of_this_one() {
    let mut it = balancer(2);
    send_answer(&mut it, 1, Answer::WrongPool(OTHER_POOL), 1);
    assert_eq!(it.fleet().pool_of(address(1)), Some(OTHER_POOL));
    let out = send_packet(&mut it, &head(9, PacketKind::Open), 2);
    let Some(&(first, RelayAction::Open(candidates))) = relays(&out).first() else {
        panic!("{out:?}")
    };
    assert_eq!(first, address(2));
    assert_eq!(candidates.candidates().len(), 1);
}

// A cached flow of an address's old pool made the balancer forget the agent, and open flows of the new pool were
// reset.
#[test]
fn a_packet_for_the_old_pool_of_an_address_does_not_remove_its_new_agent() {
    let mut it = balancer(2);
    send_packet(&mut it, &head(1, PacketKind::Open), 1);
    send_answer(&mut it, 1, Answer::Here, 2);
    let moved = Report { incarnation: 2, pool: OTHER_POOL, ..report(1, 0) };
    it.handle_report(address(1), moved, 100, &mut Vec::new());
    send_answer(&mut it, 1, Answer::WrongPool(OTHER_POOL), 110);
    assert_eq!(it.fleet().pool_of(address(1)), Some(OTHER_POOL));
    assert!(!it.fleet().is_gone(address(1), 120));
}

// The same for a balancer that has not received the new agent's report yet.
#[test]
fn an_agent_with_a_corrected_pool_is_searched_in_that_pool() {
    let mut it = balancer(2);
    it.update_routes(routes_to(2, OTHER_POOL));
    send_answer(&mut it, 1, Answer::WrongPool(OTHER_POOL), 1);
    let out = send_packet(&mut it, &data(5, 1, 1), 2);
    assert_eq!(located_hosts(&out), [1]);
}

#[test]
fn an_open_flow_stays_where_it_is_when_weights_change() {
    let mut it = balancer(2);
    send_packet(&mut it, &head(1, PacketKind::Open), 1);
    send_answer(&mut it, 1, Answer::Here, 2);
    it.update_routes(routes_to(2, OTHER_POOL));
    let out = send_packet(&mut it, &data(1, 1, 1), 3);
    let to = out.iter().find_map(|it| match it {
        Effect::Relay { to, relay, .. } => Some((*to, relay.pool)),
        _ => None,
    });
    assert_eq!(to, Some((address(1), POOL)));
}

// Searches that began before all members were known left flows open until the caller's next packet.
#[test]
fn an_uncertain_search_is_repeated_without_further_packets() {
    let mut it = Balancer::new(address(200), ZONE);
    it.update_routes(routes(1));
    it.sync_members(&[], 0);
    report_agents(&mut it, 2, 1, 0);
    send_packet(&mut it, &data(1, 1, 555), 1);
    send_answer(&mut it, 1, Answer::Absent, 2);
    assert_eq!(resets(&send_answer(&mut it, 2, Answer::Absent, 2)), 0);
    let mut reset_ms = None;
    for now in (10..1_000).step_by(10) {
        let mut out = tick(&mut it, now);
        for agent in queried_agents(&out) {
            it.handle_query_result(agent, key(1), FlowStatus::Absent, now, &mut out);
        }
        if out.contains(&Effect::Reset { key: key(1), seq: 555 }) {
            reset_ms.get_or_insert(now);
        }
    }
    // The membership is settled after 100 ms.
    assert!(reset_ms.is_some_and(|it| (100..400).contains(&it)), "{reset_ms:?}");
}

#[test]
fn a_flow_found_by_a_repeated_search_gets_the_buffered_packets() {
    let mut it = balancer(2);
    send_packet(&mut it, &data(1, 1, 1), 10);
    send_answer(&mut it, 1, Answer::Absent, 11);
    let mut out = Vec::new();
    for now in (20..400).step_by(10) {
        out.extend(tick(&mut it, now));
    }
    assert!(queried_agents(&out).contains(&address(2)));
    let out = send_answer(&mut it, 2, Answer::Here, 400);
    assert_eq!(relays(&out), [(address(2), RelayAction::Deliver)]);
}

#[test]
fn searches_end_when_the_caller_stops_sending() {
    // Agent 2 never answers, so no search is certain.
    let mut it = balancer(2);
    send_packet(&mut it, &data(1, 1, 1), 10);
    let mut last_ms = 0;
    for now in (20..10_000).step_by(10) {
        report_agent_1(&mut it, now);
        if !queried_agents(&tick(&mut it, now)).is_empty() {
            last_ms = now;
        }
    }
    assert!((400..2_500).contains(&last_ms), "{last_ms}");
    assert_eq!(it.buffered_bytes(), 0);
}

#[test]
fn a_pool_certain_to_have_no_upstreams_rejects_flows_at_once() {
    let mut it = Balancer::new(address(200), ZONE);
    it.update_routes(routes(1));
    let out = send_packet(&mut it, &head(1, PacketKind::Open), 1);
    assert_eq!(decisions(&out), [Decision::Dropped(DropReason::NoUpstream)]);
    it.sync_members(&[], 10);
    run_ticks(&mut it, 100, 2_000);
    let out = send_packet(&mut it, &head(1, PacketKind::Open), 2_000);
    assert_eq!(decisions(&out), [Decision::Reset(ResetReason::NoUpstream)]);
}

#[test]
fn at_most_eight_balancers_watch_the_configuration() {
    for (count, expected) in [(1, 1), (6, 6), (8, 8), (59, 8), (240, 8)] {
        let all: Vec<_> = (1..=count).map(address).collect();
        let is_config_watcher = |&own: &SocketAddrV4| {
            let others: Vec<_> = all.iter().filter(|&&it| it != own).collect();
            Balancer::new(own, ZONE).duty_rank(Duty::ConfigWatch, others).is_some()
        };
        assert_eq!(all.iter().filter(|it| is_config_watcher(it)).count(), expected, "of {count}");
    }
}

// A balancer that got no answer kept its old configuration, as it never requested that revision again.
#[test]
fn a_configuration_that_did_not_arrive_is_requested_again() {
    let mut balancer = Balancer::new(address(200), ZONE);
    balancer.update_routes(routes(5));
    assert!(!balancer.should_request_config(routes(5).config_version(), 1_000));
    assert!(balancer.should_request_config(routes(7).config_version(), 1_000));
    assert!(
        !balancer.should_request_config(routes(7).config_version(), 1_400),
        "the request is still pending"
    );
    assert!(
        balancer.should_request_config(routes(8).config_version(), 1_400),
        "a newer configuration is requested at once"
    );
    assert!(!balancer.should_request_config(routes(7).config_version(), 1_500));
    assert!(balancer.should_request_config(routes(7).config_version(), 2_200));
    balancer.update_routes(routes(8));
    assert!(!balancer.should_request_config(routes(8).config_version(), 9_000));
}

// If balancers chose different agents, every agent would receive a copy of the configuration.
#[test]
fn balancers_that_know_the_same_agents_choose_the_same_config_replicas() {
    let it = balancer(40);
    let mut other = Balancer::new(address(201), ZONE);
    for host in (1..=40).rev() {
        other.handle_report(address(host), report(1, u16::from(host)), 0, &mut Vec::new());
    }
    let config_replicas = it.config_replicas(0);
    assert_eq!(config_replicas.len(), 8);
    assert_eq!(config_replicas, other.config_replicas(0));
}

#[test]
fn a_leaving_or_silent_agent_is_replaced_as_config_replica() {
    let mut it = balancer(12);
    let first = it.config_replicas(0)[0];
    let leaving = Report { plan: AgentPlan::Pause, ..report(2, 0) };
    it.handle_report(first, leaving, 10, &mut Vec::new());
    let config_replicas = it.config_replicas(10);
    assert!(config_replicas.len() == 8 && !config_replicas.contains(&first), "{config_replicas:?}");
    let silent = config_replicas[0];
    run_ticks(&mut it, 10, 3_000);
    for host in (1..=12).filter(|&host| address(host) != silent && address(host) != first) {
        it.handle_report(address(host), report(2, 0), 3_000, &mut Vec::new());
    }
    let config_replicas = it.config_replicas(3_000);
    assert!(
        config_replicas.len() == 8 && !config_replicas.contains(&silent),
        "{config_replicas:?}"
    );
}

// A single watcher served a change to nearly all other balancers at once.
#[test]
fn each_balancer_watches_or_is_notified_by_one_other_with_small_fan_out() {
    for count in [4, 9, 15, 75, 520] {
        let addresses: Vec<SocketAddrV4> = (0..count)
            .map(|it: u16| SocketAddrV4::new([10, 2, (it >> 8) as u8, it as u8].into(), 7_720))
            .collect();
        let mut notified: Vec<SocketAddrV4> = Vec::new();
        let mut watchers = 0;
        for &own in &addresses {
            let it = Balancer::new(own, ZONE);
            let others: Vec<_> = addresses.iter().copied().filter(|&it| it != own).collect();
            let below = it.config_recipients(&others);
            assert!(below.len() <= 8, "{below:?}");
            notified.extend(below);
            if it.duty_rank(Duty::ConfigWatch, &others).is_some() {
                watchers += 1;
                notified.push(own);
            }
        }
        // Each balancer is a watcher or notified by one other.
        notified.sort_unstable();
        assert_eq!(notified, addresses);
        assert_eq!(watchers, usize::from(count).min(8));
    }
}

#[test]
fn members_from_a_peer_do_not_count_as_a_member_list() {
    let mut it = Balancer::new(address(200), ZONE);
    it.update_routes(routes(1));
    it.merge_members(&[MemberEntry { address: address(201), pool: None, zone: ZONE }], 10);
    it.handle_report(address(1), report(1, 0), 20, &mut Vec::new());
    assert!(!it.has_member_list());
    it.sync_members(&[], 30);
    assert!(it.has_member_list());
}
