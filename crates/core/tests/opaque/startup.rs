//! The first second of a balancer: what it buffers, and when and in which order it replays.

use camphorwinch_core::opaque::{
    PacketHeader, PacketKind,
    balancer::Balancer,
    effect::{Decision, DropReason, Effect, ResetReason},
    fleet::{MemberEntry, Report},
    zone::ZonesOut,
};

use crate::support::{
    OTHER_POOL, POOL, ZONE, address, data, decisions, head, relays, report, routes, routes_to,
};
use crate::world::{SimulationParams, World};

/// A balancer that starts at time 1,000 without any state.
struct Starting(Balancer);

impl Starting {
    fn new() -> Starting {
        Starting(Balancer::new(address(200), ZONE).with_startup_buffer(1_000))
    }

    /// A balancer with routes and a list of `agents` and of four balancers.
    fn with_state(agents: u8, now_ms: u64) -> Starting {
        let mut it = Starting::new();
        it.set_state(agents, now_ms);
        it
    }

    fn set_state(&mut self, agents: u8, now_ms: u64) {
        self.0.update_routes(routes(1));
        let pool = |it: u8| (it <= agents).then_some(POOL);
        let member = |it| MemberEntry { address: address(it), pool: pool(it), zone: ZONE };
        let members: Vec<_> = (1..=agents).chain(200..=203).map(member).collect();
        self.0.sync_members(&members, now_ms);
    }

    fn report(&mut self, agents: u8, slots: u32, now_ms: u64) {
        for host in 1..=agents {
            let report = Report { slots, ..report(now_ms, 0) };
            self.0.handle_report(address(host), report, now_ms, &mut Vec::new());
        }
    }

    fn send(&mut self, head: PacketHeader, now_ms: u64) -> Vec<Effect> {
        let mut out = Vec::new();
        self.0.handle_packet(&head, &[0; 400], now_ms, &mut out);
        out
    }

    /// Sends a copy of the opening packet.
    fn open(&mut self, port: u16, copy: u32, now_ms: u64) -> Vec<Effect> {
        self.send(PacketHeader { ack: copy, ..head(port, PacketKind::Open) }, now_ms)
    }

    fn tick(&mut self, now_ms: u64) -> Vec<Effect> {
        let mut out = Vec::new();
        self.0.tick(now_ms, &mut out);
        out
    }

    /// The callers' ports of the packets that are replayed.
    fn replay(&mut self, now_ms: u64) -> Vec<u16> {
        let replayed = |it: Effect| match it {
            Effect::LogDecision { key, decision: Decision::StartupReplayed } => key,
            _ => None,
        };
        self.tick(now_ms).into_iter().filter_map(replayed).map(|it| it.caller.port()).collect()
    }
}

// Guards against the loss of the last copies that callers send, and against packets that are sent twice.
#[test]
fn packet_that_precedes_the_state_is_placed_once() {
    let mut it = Starting::new();
    assert_eq!(decisions(&it.open(1, 0, 1_010)), [Decision::StartupHeld]);
    assert_eq!(it.0.buffered_bytes(), 400);
    it.set_state(2, 1_100);
    it.report(1, 4, 1_105);
    let first = relays(&it.tick(1_120))[0].0;
    assert_eq!(relays(&it.send(data(1, 1, 1), 1_125))[0].0, first);
    assert!(relays(&it.tick(1_140)).is_empty());
    let summary = Decision::PacketsReplayed { openings: 1, others: 0, expired: 0, waited_ms: 110 };
    assert!(decisions(&it.tick(2_020)).contains(&summary));
    assert!(!decisions(&it.tick(2_040)).contains(&summary));
    // The balancer has served and drops as before when its agents are silent.
    (3_000..5_000).step_by(500).for_each(|now| drop(it.tick(now)));
    let dropped = [Decision::Dropped(DropReason::NoUpstream)];
    assert_eq!(decisions(&it.open(2, 0, 5_000)), dropped);
}

#[test]
fn balancer_that_knows_its_state_buffers_nothing() {
    let mut it = Starting::with_state(2, 1_000);
    it.report(2, 4, 1_001);
    assert_eq!(relays(&it.open(1, 0, 1_002)).len(), 1);
    assert_eq!(relays(&it.send(data(2, 1, 1), 1_002)).len(), 2);
}

#[test]
fn newest_attempts_are_replayed_first_and_the_newest_packets_of_flows_last() {
    let mut it = Starting::new();
    it.send(data(1, 1, 1), 1_001);
    it.send(data(1, 101, 1), 1_010);
    // A late copy does not replace the data of the flow that it opened.
    it.open(1, 1, 1_011);
    it.open(2, 2, 1_300);
    it.open(3, 0, 1_002);
    it.open(4, 0, 1_003);
    it.set_state(1, 1_310);
    it.report(1, 40, 1_311);
    assert_eq!(it.replay(1_320), [4, 3, 2, 1]);
}

// Guards against the first known agent attracting all flows while others are up but not known yet.
#[test]
fn opening_packets_wait_for_half_of_the_pool_or_60_ms() {
    for (reports, placed_ms) in [(5, 1_060), (2, 1_120)] {
        let mut it = Starting::with_state(10, 1_010);
        it.report(1, 4, 1_050);
        it.open(1, 0, 1_051);
        it.report(reports, 4, 1_055);
        let placed = (1_060..1_200).step_by(20).find(|&now| !it.replay(now).is_empty());
        assert_eq!(placed, Some(placed_ms));
    }
}

// Failures: the state does not arrive, or later than packets are buffered.
#[test]
fn packets_expire_after_a_second_and_count_as_drops() {
    let mut it = Starting::new();
    it.open(1, 0, 1_010);
    // Its caller gives up 800 ms later.
    it.open(2, 2, 1_010);
    let expired = [Decision::StartupExpired, Decision::Dropped(DropReason::NoConfig)];
    assert_eq!(decisions(&it.tick(1_800)), []);
    assert_eq!(decisions(&it.tick(1_820)), expired);
    assert_eq!(decisions(&it.tick(2_010)), expired);
    it.open(3, 0, 5_000);
    it.set_state(1, 5_010);
    it.report(1, 4, 5_011);
    assert_eq!(it.replay(5_020), [3]);
}

// Guards against a replay by the routes and zones of the time of arrival.
#[test]
fn replay_uses_the_state_in_force() {
    let mut it = Starting(Starting::with_state(2, 1_001).0.with_unknown_zones());
    it.report(2, 4, 1_002);
    let report = Report { pool: OTHER_POOL, ..report(2, 0) };
    it.0.handle_report(address(3), report, 1_002, &mut Vec::new());
    it.open(1, 0, 1_003);
    assert!(it.replay(1_020).is_empty(), "the zones are not known");
    it.0.update_routes(routes_to(2, OTHER_POOL));
    it.0.update_zones(ZonesOut::default(), 1_030);
    assert_eq!(relays(&it.tick(1_040))[0].0, address(3));
}

// Guards against packets of open flows that expire while only the zones out of service are unknown.
#[test]
fn only_opening_packets_wait_for_the_zones() {
    let mut it = Starting(Starting::new().0.with_unknown_zones());
    it.send(data(1, 1, 1), 1_001);
    it.open(2, 0, 1_001);
    it.set_state(2, 1_002);
    it.report(2, 4, 1_003);
    assert_eq!(it.replay(1_020), [1]);
    assert_eq!(relays(&it.send(data(3, 1, 1), 1_021)).len(), 2);
    assert_eq!(decisions(&it.open(4, 0, 1_021)), [Decision::StartupHeld]);
    assert_eq!(relays(&it.send(data(5, 1, 1), 4_000)).len(), 2);
}

// Guards against the loss of a buffered data packet whose successor arrives before its turn in the replay.
#[test]
fn buffered_packet_is_handled_before_the_next_one_of_its_flow() {
    let mut it = Starting::new();
    it.send(data(1, 1, 1), 1_001);
    it.set_state(1, 1_002);
    it.report(1, 4, 1_003);
    let out = it.send(data(1, 101, 1), 1_004);
    assert_eq!(decisions(&out).first(), Some(&Decision::StartupReplayed));
    assert_eq!(it.0.buffered_bytes(), 2 * 400, "both are kept for the search");
    assert!(it.replay(1_020).is_empty());
}

// Guards against packets that wait until the end of the first second if agents report but no member list arrives.
#[test]
fn reports_without_a_member_list_end_the_wait() {
    let mut it = Starting::new();
    it.0.update_routes(routes(1));
    it.report(2, 4, 1_010);
    it.open(1, 0, 1_011);
    it.send(data(2, 1, 1), 1_011);
    assert_eq!((it.replay(1_060), it.replay(1_080)), (vec![], vec![1]));
    assert_eq!((it.replay(1_100), it.replay(1_120)), (vec![], vec![2]));
}

#[test]
fn nothing_is_reset_before_the_membership_is_settled() {
    let mut it = Starting::with_state(0, 1_001);
    it.open(1, 0, 1_002);
    assert_eq!((it.replay(1_020), it.replay(1_100)), (vec![], vec![]));
    let reset = [Decision::StartupReplayed, Decision::Reset(ResetReason::NoUpstream)];
    assert_eq!(decisions(&it.tick(1_120)), reset);
}

// Guards against a tick that takes long on a small VM, and against unbounded memory.
#[test]
fn buffer_is_bounded_and_replayed_in_steps() {
    let mut it = Starting::new();
    let dropped = (0..10_050).map(|port| decisions(&it.open(port, 0, 1_001)).len() - 1).sum();
    assert_eq!((50, 10_000 * 400), (dropped, it.0.buffered_bytes()));
    it.set_state(20, 1_002);
    it.report(20, 100, 1_003);
    assert_eq!(it.replay(1_020).len(), 200);
    // A quarter of the slots for each of four balancers.
    it.report(20, 4, 1_030);
    assert_eq!(it.replay(1_040).len(), 20);

    let mut it = Starting::new();
    for port in 0..4_000 {
        it.0.handle_packet(&data(port, 1, 1), &[0; 1_400], 1_001, &mut Vec::new());
    }
    assert!(((4 << 20) - 1_400..=4 << 20).contains(&it.0.buffered_bytes()));
    it.set_state(4, 1_002);
    it.report(4, 4, 1_003);
    // Each is sent to four agents, and each search ranks all agents of the pool.
    assert_eq!(relays(&it.tick(1_020)).len(), 200);
    it.set_state(199, 1_030);
    assert_eq!(it.replay(1_040).len(), 29);
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

// Load: the return of all callers at once. All VMs lose power, and 600 flows open before any balancer has its state; then
// the agents start one after the other. Guards against flows that wait for their callers' next copies, flows that the
// first known agents attract, and a replay that overflows the upstreams' queues.
#[test]
fn flows_of_all_callers_open_at_once_and_spread_after_a_power_loss() {
    let mut world = World::new(SITE, 7);
    for host in world.hosts() {
        world.stop_agent(host, false);
        world.start_upstream(host);
    }
    world.balancers().into_iter().for_each(|it| world.start_unconfigured_balancer(it));
    for at in 0..600 {
        world.open_flow(at % SITE.zones, 1, 1);
        world.run(at % 2);
    }
    world.balancers().into_iter().for_each(|it| world.configure_balancer(it));
    for host in world.hosts() {
        world.start_agent(host);
        world.run(1);
    }
    world.run(300);
    let tally = &world.tally;
    assert_eq!((tally.given_up, tally.reset, tally.broken), (0, 0, 0));
    assert!(tally.answered >= 590 && tally.shed <= 6, "{} {}", tally.answered, tally.shed);
    let most = world.started().values().copied().max().unwrap_or_default();
    assert!(most <= 3 * 600 / 38, "{most} of 600 requests at one of 38 upstreams");
}

// Failure: the router sends copies to other balancers while the first ones still buffer, so that both place the flow.
// Guards against a reset of the open flow when its packets arrive at the first balancer again.
#[test]
fn flow_that_two_balancers_placed_stays_open() {
    let mut world = World::new(SimulationParams { balancers: 8, ..SITE }, 9);
    let all = world.balancers();
    let (first, second) = all.split_at(4);
    first.iter().for_each(|&it| world.start_unconfigured_balancer(it));
    world.unrouted = second.iter().copied().collect();
    for at in 0..100 {
        world.open_flow(at % SITE.zones, 1_000, 100);
    }
    world.run(190);
    world.unrouted = first.iter().copied().collect();
    world.run(100);
    assert_eq!(world.open_flows(), 100);
    first.iter().for_each(|&it| world.configure_balancer(it));
    world.run(500);
    world.unrouted = second.iter().copied().collect();
    let before = world.tally.answered;
    world.run(2_000);
    let tally = &world.tally;
    assert_eq!((tally.broken, tally.reset, tally.failed, tally.given_up), (0, 0, 0, 0));
    assert!(tally.answered > before + 1_000, "{before} {}", tally.answered);
}
