//! The first second of a balancer: what it buffers, and when and in which order it replays.

use std::net::{Ipv4Addr, SocketAddrV4};

use camphorwinch_core::opaque::{
    FlowKey, PacketHeader, PacketKind,
    balancer::Balancer,
    effect::{Decision, DropReason, Effect, Payload, RelayAction, ResetReason},
    fleet::{MemberEntry, Report},
    revision::Revision,
    route::Routes,
    zone::ZonesOut,
};

use crate::support::{
    OTHER_POOL, POOL, ZONE, address, data, decisions, head, relays, report, resets, routes,
    routes_to, service,
};
use crate::world::{SimulationParams, World};

/// A balancer that starts at time 1,000 without any state.
fn starting() -> Balancer {
    Balancer::new(address(200), ZONE).with_startup_buffer(1_000)
}

fn members(agents: u8) -> Vec<MemberEntry> {
    (1..=agents)
        .map(|it| MemberEntry { address: address(it), pool: Some(POOL), zone: ZONE })
        .collect()
}

fn send(balancer: &mut Balancer, head: &PacketHeader, bytes: &[u8], now_ms: u64) -> Vec<Effect> {
    let mut out = Vec::new();
    balancer.handle_packet(head, bytes, now_ms, &mut out);
    out
}

fn tick(balancer: &mut Balancer, now_ms: u64) -> Vec<Effect> {
    let mut out = Vec::new();
    balancer.tick(now_ms, &mut out);
    out
}

fn report_from(balancer: &mut Balancer, hosts: std::ops::RangeInclusive<u8>, now_ms: u64) {
    for host in hosts {
        balancer.handle_report(address(host), report(now_ms, 0), now_ms, &mut Vec::new());
    }
}

/// The bytes of the packets relayed with `Open`, in order.
fn opened(effects: &[Effect]) -> Vec<Vec<u8>> {
    let open = |it: &Effect| match it {
        Effect::Relay { relay, payload: Payload::Buffered(bytes), .. }
            if matches!(relay.action, RelayAction::Open(_)) =>
        {
            Some(bytes.clone())
        }
        _ => None,
    };
    effects.iter().filter_map(open).collect()
}

fn count(effects: &[Effect], decision: Decision) -> usize {
    decisions(effects).iter().filter(|&&it| it == decision).count()
}

// Guards against the loss of the last copies that callers send: without the buffer they are dropped with `no-config`.
#[test]
fn packets_that_arrive_before_the_configuration_are_placed_once_it_is_known() {
    let mut it = starting();
    let out = send(&mut it, &head(1, PacketKind::Open), b"one", 1_010);
    assert_eq!(decisions(&out), [Decision::StartupHeld]);
    assert_eq!(it.buffered_bytes(), 3);
    assert!(opened(&tick(&mut it, 1_020)).is_empty());
    it.update_routes(routes(1));
    it.sync_members(&members(2), 1_100);
    report_from(&mut it, 1..=1, 1_105);
    let out = tick(&mut it, 1_120);
    assert_eq!(opened(&out), [b"one"]);
    assert_eq!(it.buffered_bytes(), 0);
    // Later packets of the flow are handled as usual, and nothing is sent twice.
    let first = relays(&out)[0].0;
    let out = send(&mut it, &data(1, 1, 1), b"two", 1_125);
    assert_eq!(relays(&out), [(first, RelayAction::Deliver)]);
    assert!(relays(&tick(&mut it, 1_140)).is_empty());
    let summary = Decision::PacketsReplayed { openings: 1, others: 0, expired: 0, waited_ms: 110 };
    assert_eq!(count(&tick(&mut it, 2_020), summary), 1);
    assert_eq!(count(&tick(&mut it, 2_040), summary), 0);
}

#[test]
fn balancer_that_knows_its_state_buffers_nothing() {
    let mut it = starting();
    it.update_routes(routes(1));
    it.sync_members(&members(2), 1_000);
    report_from(&mut it, 1..=2, 1_001);
    assert_eq!(relays(&send(&mut it, &head(1, PacketKind::Open), b"one", 1_002)).len(), 1);
    let out = send(&mut it, &data(2, 1, 1), b"two", 1_002);
    assert_eq!(relays(&out).len(), 2);
    assert_eq!(count(&out, Decision::StartupHeld), 0);
}

// Guards against a balancer that delays resets or drops when it loses its agents later.
#[test]
fn balancer_that_has_served_drops_as_before() {
    let mut it = starting();
    it.update_routes(routes(1));
    it.sync_members(&members(1), 1_000);
    report_from(&mut it, 1..=1, 1_001);
    tick(&mut it, 2_000);
    tick(&mut it, 9_000);
    let out = send(&mut it, &head(1, PacketKind::Open), b"one", 9_010);
    assert_eq!(count(&out, Decision::StartupHeld), 0);
    assert_eq!(it.buffered_bytes(), 0);
}

#[test]
fn newest_opening_attempts_are_replayed_first_and_flows_that_may_exist_last() {
    let mut it = starting();
    send(&mut it, &data(1, 1, 1), b"data", 1_001);
    // Its first copy was sent 600 ms before.
    let copy = PacketHeader { ack: 2, ..head(2, PacketKind::Open) };
    send(&mut it, &copy, b"old", 1_300);
    send(&mut it, &head(3, PacketKind::Open), b"middle", 1_002);
    send(&mut it, &head(4, PacketKind::Open), b"new", 1_003);
    it.update_routes(routes(1));
    it.sync_members(&members(1), 1_310);
    report_from(&mut it, 1..=1, 1_311);
    let out = tick(&mut it, 1_320);
    assert_eq!(opened(&out), [&b"new"[..], b"middle", b"old"]);
    assert!(matches!(relays(&out)[3].1, RelayAction::Locate));
}

#[test]
fn only_the_newest_packet_of_a_flow_is_replayed() {
    let mut it = starting();
    send(&mut it, &data(1, 1, 1), b"first", 1_001);
    send(&mut it, &data(1, 101, 1), b"second", 1_010);
    // A late copy of the opening packet does not replace the data of the flow that it opened.
    let copy = PacketHeader { ack: 1, ..head(1, PacketKind::Open) };
    send(&mut it, &copy, b"copy", 1_011);
    assert_eq!(it.buffered_bytes(), 6);
    it.update_routes(routes(1));
    it.sync_members(&members(1), 1_020);
    report_from(&mut it, 1..=1, 1_021);
    let out = tick(&mut it, 1_040);
    let sent: Vec<_> = out
        .iter()
        .filter_map(|it| match it {
            Effect::Relay { payload: Payload::Buffered(bytes), .. } => Some(bytes.as_slice()),
            _ => None,
        })
        .collect();
    assert_eq!(sent, [b"second"]);
}

// Guards against the first agent that is known taking all flows while others are up but not known yet.
#[test]
fn opening_packets_wait_for_half_of_the_pool_or_60_ms() {
    for (reports, placed_ms) in [(1..=5, 1_060), (1..=2, 1_120)] {
        let mut it = starting();
        it.update_routes(routes(1));
        it.sync_members(&members(10), 1_010);
        report_from(&mut it, 1..=1, 1_050);
        send(&mut it, &head(1, PacketKind::Open), b"one", 1_051);
        report_from(&mut it, reports, 1_055);
        let placed =
            (1_060..=1_200).step_by(20).find(|&now| !opened(&tick(&mut it, now)).is_empty());
        assert_eq!(placed, Some(placed_ms));
    }
}

#[test]
fn packets_expire_after_a_second_and_count_as_drops() {
    let mut it = starting();
    send(&mut it, &head(1, PacketKind::Open), b"one", 1_010);
    // The caller gives up 1,400 ms after its first copy, which was sent 600 ms before this one.
    let copy = PacketHeader { ack: 2, ..head(2, PacketKind::Open) };
    send(&mut it, &copy, b"two", 1_010);
    assert_eq!(count(&tick(&mut it, 1_800), Decision::StartupExpired), 0);
    assert_eq!(count(&tick(&mut it, 1_820), Decision::StartupExpired), 1);
    let out = tick(&mut it, 2_010);
    assert_eq!(
        decisions(&out),
        [Decision::StartupExpired, Decision::Dropped(DropReason::NoConfig)]
    );
    assert_eq!(it.buffered_bytes(), 0);
    // A configuration that arrives late, as the store was away, still finds the packets of the last second.
    send(&mut it, &head(3, PacketKind::Open), b"three", 5_000);
    it.update_routes(routes(1));
    it.sync_members(&members(1), 5_010);
    report_from(&mut it, 1..=1, 5_011);
    assert_eq!(opened(&tick(&mut it, 5_020)), [b"three"]);
}

// Guards against a replay by the state at the time of arrival.
#[test]
fn replay_uses_the_routes_and_zones_in_force() {
    let mut it = Balancer::new(address(200), ZONE).with_unknown_zones().with_startup_buffer(1_000);
    it.update_routes(routes(1));
    it.sync_members(&members(2), 1_001);
    let other = MemberEntry { address: address(3), pool: Some(OTHER_POOL), zone: ZONE };
    it.merge_members(&[other], 1_001);
    report_from(&mut it, 1..=2, 1_002);
    let from_other = Report { pool: OTHER_POOL, ..report(1, 0) };
    it.handle_report(address(3), from_other, 1_002, &mut Vec::new());
    send(&mut it, &head(1, PacketKind::Open), b"one", 1_003);
    assert!(opened(&tick(&mut it, 1_020)).is_empty(), "the zones are not known");
    it.update_routes(routes_to(2, OTHER_POOL));
    it.update_zones(ZonesOut::default(), 1_030);
    assert_eq!(relays(&tick(&mut it, 1_040))[0].0, address(3));

    let mut it = starting();
    send(&mut it, &head(1, PacketKind::Open), b"one", 1_003);
    send(&mut it, &data(2, 1, 1), b"two", 1_003);
    it.update_routes(Routes { revision: Revision::new(0, 1), version: 1, ..Routes::default() });
    it.sync_members(&members(1), 1_010);
    let out = tick(&mut it, 1_020);
    assert_eq!(count(&out, Decision::Reset(ResetReason::NoRoute)), 1);
    assert_eq!(count(&out, Decision::Dropped(DropReason::NoRoute)), 1);
}

#[test]
fn nothing_is_reset_before_the_membership_is_settled() {
    let mut it = starting();
    it.update_routes(routes(1));
    it.sync_members(&[], 1_001);
    send(&mut it, &head(1, PacketKind::Open), b"one", 1_002);
    for now in (1_020..=1_100).step_by(20) {
        assert_eq!(resets(&tick(&mut it, now)), 0, "{now}");
    }
    let out = tick(&mut it, 1_120);
    assert_eq!(count(&out, Decision::Reset(ResetReason::NoUpstream)), 1);
}

#[test]
fn balancer_replays_its_part_of_the_slots_of_a_pool_in_each_tick() {
    let mut it = starting();
    for port in 1..=20 {
        send(&mut it, &head(port, PacketKind::Open), b"open", 1_001);
    }
    it.update_routes(routes(1));
    let balancers =
        (200..=203).map(|it| MemberEntry { address: address(it), pool: None, zone: ZONE });
    it.sync_members(&members(8).into_iter().chain(balancers).collect::<Vec<_>>(), 1_002);
    report_from(&mut it, 1..=8, 1_003);
    // 32 slots and 4 balancers.
    let replayed = [1_020, 1_040, 1_060].map(|now| opened(&tick(&mut it, now)).len());
    assert_eq!(replayed, [8, 8, 4]);
}

fn many_key(at: u32) -> FlowKey {
    let caller = SocketAddrV4::new(Ipv4Addr::from_bits(0x6440_0000 + at), 1_024);
    FlowKey { caller, service: service() }
}

// Guards against a tick that takes long on a small VM, and against unbounded memory.
#[test]
fn buffer_is_bounded_and_replayed_in_steps() {
    let mut it = starting();
    let mut dropped = 0;
    for at in 0..10_050 {
        let head = PacketHeader { key: many_key(at), ..head(1, PacketKind::Open) };
        let out = send(&mut it, &head, &[0; 100], 1_001);
        dropped += count(&out, Decision::Dropped(DropReason::NoConfig));
    }
    assert_eq!((dropped, it.buffered_bytes()), (50, 1_000_000));
    it.update_routes(routes(1));
    it.sync_members(&members(20), 1_002);
    for host in 1..=20 {
        let report = Report { slots: 10, ..report(1, 0) };
        it.handle_report(address(host), report, 1_003, &mut Vec::new());
    }
    for now in (1_020..2_000).step_by(20) {
        assert_eq!(opened(&tick(&mut it, now)).len(), 200);
    }
    assert_eq!(it.flows(), 9_800);

    let mut it = starting();
    for at in 0..4_000 {
        let head = PacketHeader { key: many_key(at), ..data(1, 1, 1) };
        send(&mut it, &head, &[0; 1_400], 1_001);
    }
    assert!(it.buffered_bytes() <= 4 << 20);
    it.update_routes(routes(1));
    it.sync_members(&members(4), 1_002);
    report_from(&mut it, 1..=4, 1_003);
    // Each is sent to four agents.
    let out = tick(&mut it, 1_020);
    assert_eq!((count(&out, Decision::StartupReplayed), relays(&out).len()), (50, 200));
    // Each search ranks all agents of a large pool.
    it.sync_members(&members(200), 1_030);
    let out = tick(&mut it, 1_040);
    assert_eq!(count(&out, Decision::StartupReplayed), 25);
}

/// A site of the size of Kauri's larger pool, with equal upstreams.
const SITE: SimulationParams = SimulationParams {
    zones: 4,
    balancers: 16,
    agents: 38,
    slots: 2,
    queue: 8,
    work_ms: 19,
    loss: 0.0,
};

/// All VMs lose power; callers open `flows` flows within 300 ms, before any balancer has its state.
fn return_after_power_loss(flows: u64) -> World {
    let mut world = World::new(SITE, 7);
    for host in world.hosts() {
        world.stop_agent(host, false);
        world.start_upstream(host);
    }
    for number in world.balancers() {
        world.start_unconfigured_balancer(number);
    }
    for at in 0..flows {
        world.open_flow(at % SITE.zones, 1, 1);
        world.run(u64::from(at % (flows / 300) == 0));
    }
    world
}

// Load: a fifth of the pool's capacity arrives while the state is unknown, then the agents start one after the other.
// Guards against flows that wait for their callers' next copies, up to 800 ms after the state is known, against flows
// that the first known agents attract, and against a replay that overflows the upstreams' queues: 411 of the 600
// requests were shed when all balancers replayed at once.
#[test]
fn flows_of_all_callers_open_at_once_and_spread_after_a_power_loss() {
    let mut world = return_after_power_loss(600);
    for number in world.balancers() {
        world.configure_balancer(number);
    }
    for host in world.hosts() {
        world.start_agent(host);
        world.run(1);
    }
    world.run(300);
    let tally = &world.tally;
    assert_eq!((tally.given_up, tally.reset, tally.broken), (0, 0, 0));
    assert!(tally.answered >= 590, "{}", tally.answered);
    assert!(tally.shed <= 6, "{}", tally.shed);
    let most = world.started().values().copied().max().unwrap_or_default();
    assert!(most <= 3 * 600 / 38, "{most} of 600 requests at one of 38 upstreams");
}

// Failure: balancers die with the packets that they buffer; the callers' copies go to others.
#[test]
fn packets_buffered_by_a_balancer_that_dies_are_sent_again() {
    let mut world = return_after_power_loss(300);
    for host in world.hosts() {
        world.start_agent(host);
    }
    for (at, number) in world.balancers().into_iter().enumerate() {
        if at % 4 == 0 {
            world.stop_balancer(number);
        } else {
            world.configure_balancer(number);
        }
    }
    world.run(1_500);
    let tally = &world.tally;
    assert_eq!((tally.given_up, tally.reset, tally.broken), (0, 0, 0));
    assert_eq!(tally.answered, 300);
}

// Failure: the store and all peers are away for longer than packets are buffered.
#[test]
fn flows_open_after_a_configuration_that_is_late() {
    let mut world = return_after_power_loss(300);
    for host in world.hosts() {
        world.start_agent(host);
    }
    world.run(1_300);
    assert_eq!(world.tally.answered, 0);
    for number in world.balancers() {
        world.configure_balancer(number);
    }
    world.run(1_500);
    let tally = &world.tally;
    assert_eq!((tally.given_up, tally.reset, tally.broken), (0, 0, 0));
    assert_eq!(tally.answered, 300);
}

// Failure: the router sends a caller's copies to another balancer while the first one still buffers its packet, so that
// both place the flow. Guards against a reset of the open flow when its packets arrive at the first balancer again.
#[test]
fn flow_that_two_balancers_placed_stays_open() {
    let params = SimulationParams { balancers: 8, ..SITE };
    let mut world = World::new(params, 9);
    let all = world.balancers();
    let (first, second) = all.split_at(4);
    for &number in first {
        world.start_unconfigured_balancer(number);
    }
    world.unrouted = second.iter().copied().collect();
    for at in 0..100 {
        world.open_flow(at % params.zones, 1_000, 100);
    }
    world.run(190);
    world.unrouted = first.iter().copied().collect();
    world.run(100);
    assert_eq!(world.open_flows(), 100);
    for &number in first {
        world.configure_balancer(number);
    }
    world.run(500);
    world.unrouted = second.iter().copied().collect();
    let before = world.tally.answered;
    world.run(2_000);
    let tally = &world.tally;
    assert_eq!((tally.broken, tally.reset, tally.failed, tally.given_up), (0, 0, 0, 0));
    assert!(tally.answered > before + 1_000, "{before} {}", tally.answered);
}
