//! Late binding of opening packets in a full pool: what balancers defer and agents offer, under load and faults.

use std::net::SocketAddrV4;

use camphorwinch_core::opaque::{
    FlowKey, PacketHeader, PacketKind,
    agent::{Agent, Heartbeat},
    balancer::Balancer,
    candidate_list::{CandidateList, PoolLoad},
    effect::{Answer, Decision, Effect, RelayAction, Reservation, ResetReason, UndeferReason},
    fleet::{AgentPlan, Report, UpstreamState, ZoneId},
    revision::Revision,
    route::Routes,
    zone::{RegionId, Regions, ZonesOut},
};

use crate::{
    support::{
        POOL, ZONE, address, collect, data, decisions, head, identity, instance, key, relay,
        relays, report, routes,
    },
    world::{OBJECTIVE, SimulationParams, World},
};

/// The zone of agents 1 and 2, beside the balancer's own of agents 3 and 4.
const OTHER_ZONE: &str = "other";

fn full_report(host: u8, seq: u64) -> Report {
    let zone = if host <= 2 { ZoneId::of(OTHER_ZONE) } else { ZONE };
    Report { zone, full: true, service_ms: Some(20), ..report(seq, 1_000) }
}

fn routes_with_objective(revision: u64) -> Routes {
    let mut routes = routes(revision);
    for route in routes.by_address.values_mut() {
        *route = route.clone().with_objective(OBJECTIVE);
    }
    routes
}

/// A balancer with four agents in two zones, all full.
fn full_balancer() -> Balancer {
    let regions = Regions::from([
        (ZONE, RegionId::of("home")),
        (ZoneId::of(OTHER_ZONE), RegionId::of("abroad")),
    ]);
    let mut it = Balancer::new(address(200), ZONE).with_regions(regions).with_late_binding(true);
    it.update_routes(routes_with_objective(1));
    it.sync_members(&[], 0);
    report_all(&mut it, 1, 0);
    it
}

fn report_all(it: &mut Balancer, seq: u64, now_ms: u64) {
    for host in 1..=4 {
        it.handle_report(address(host), full_report(host, seq), now_ms, &mut Vec::new());
    }
}

fn opening(port: u16, copies: u32) -> PacketHeader {
    PacketHeader { ack: copies, ..head(port, PacketKind::Open) }
}

fn send(it: &mut Balancer, port: u16, copies: u32, now_ms: u64) -> Vec<Effect> {
    collect(|out| it.handle_packet(&opening(port, copies), &port.to_be_bytes(), now_ms, out))
}

fn offer(it: &mut Balancer, host: u8, now_ms: u64) -> Vec<Effect> {
    collect(|out| it.handle_offer(address(host), POOL, 1, now_ms, out))
}

fn tick(it: &mut Balancer, now_ms: u64) -> Vec<Effect> {
    collect(|out| it.tick(now_ms, out))
}

fn reserved(effects: &[Effect]) -> Vec<SocketAddrV4> {
    let reserve = |it: &Effect| match it {
        Effect::Reserve { to, .. } => Some(*to),
        _ => None,
    };
    effects.iter().filter_map(reserve).collect()
}

fn decline(host: u8) -> Effect {
    Effect::Decline { to: address(host), pool: POOL }
}

/// Flows bound by these effects.
fn bound(effects: &[Effect]) -> Vec<FlowKey> {
    let bound = |it: &Effect| match it {
        Effect::LogDecision { key, decision: Decision::Bound { .. } } => *key,
        _ => None,
    };
    effects.iter().filter_map(bound).collect()
}

fn undeferred(effects: &[Effect]) -> Vec<(FlowKey, UndeferReason)> {
    let undeferred = |it: &Effect| match it {
        Effect::LogDecision { key, decision: Decision::Undeferred { reason, .. } } => {
            Some(((*key)?, *reason))
        }
        _ => None,
    };
    effects.iter().filter_map(undeferred).collect()
}

// Guards against a second assignment of an opening, which would run a request that is not idempotent twice.
#[test]
fn an_opening_is_reserved_in_two_zones_and_assigned_once() {
    let mut it = full_balancer();
    let out = send(&mut it, 1, 0, 10);
    let hosts = reserved(&out);
    assert_eq!(hosts.len(), 2);
    assert_ne!(hosts[0].ip().octets()[3] <= 2, hosts[1].ip().octets()[3] <= 2);
    assert!(relays(&out).is_empty());
    let out = offer(&mut it, 4, 30);
    let [(to, RelayAction::Assign(candidates))] = relays(&out)[..] else { panic!("{out:?}") };
    assert_eq!((to, candidates.current()), (address(4), Some(address(4))));
    assert!(candidates.is_current_unvisited());
    assert_eq!((candidates.candidates().len(), candidates.objective), (4, Some(OBJECTIVE)));
    for now_ms in [31, 60, 350, 1_100] {
        report_all(&mut it, now_ms, now_ms);
        assert!(relays(&tick(&mut it, now_ms)).is_empty());
        assert!(offer(&mut it, 2, now_ms).contains(&decline(2)));
    }
}

// Guards against a deferred copy that is placed after an earlier assignment turned out to be alive.
#[test]
fn a_deferred_copy_is_dropped_when_the_flow_is_open() {
    let mut it = full_balancer();
    send(&mut it, 1, 0, 10);
    offer(&mut it, 4, 20);
    let hosts = reserved(&send(&mut it, 1, 1, 210));
    assert!(!hosts.is_empty() && !hosts.contains(&address(4)), "the silent agent is avoided");
    assert!(send(&mut it, 1, 1, 220).is_empty());
    collect(|out| it.handle_answer(address(4), key(1), Answer::Here, None, 230, out));
    assert!(offer(&mut it, 2, 240).contains(&decline(2)));
}

// Guards against a slot that is used for a flow whose caller has given up.
#[test]
fn a_reset_removes_the_deferred_opening() {
    let mut it = full_balancer();
    send(&mut it, 1, 0, 10);
    for (seq, deferred) in [(head(1, PacketKind::Open).seq.wrapping_sub(1), 1), (1, 0)] {
        let reset = PacketHeader { seq, ..head(1, PacketKind::Reset) };
        it.handle_packet(&reset, &[0; 40], 20, &mut Vec::new());
        assert_eq!(it.deferred(), deferred);
    }
    assert!(bound(&offer(&mut it, 4, 30)).is_empty());
}

#[test]
fn openings_that_can_be_in_time_go_first_and_late_ones_newest_first() {
    let mut it = full_balancer();
    for (port, at_ms) in [(1, 10), (2, 20), (3, 250), (4, 260)] {
        send(&mut it, port, 0, at_ms);
    }
    // The objective is 250 ms and a request is expected to take 80 ms: flows 1 and 2 are late at 280 ms.
    let order: Vec<_> = (0..4).flat_map(|_| bound(&offer(&mut it, 4, 280))).collect();
    assert_eq!(order, [key(3), key(4), key(2), key(1)]);
}

// Guards against late openings that go before other balancers' by the reservation of one that was bound elsewhere.
#[test]
fn an_offer_for_a_reservation_of_a_bound_opening_is_not_used_for_a_late_one() {
    let mut it = full_balancer();
    send(&mut it, 1, 0, 10);
    let hosts = reserved(&send(&mut it, 2, 0, 280));
    let [first, second] = hosts[..] else { panic!("{hosts:?}") };
    let mut from = |agent| collect(|out| it.handle_offer(agent, POOL, 1, 285, out));
    assert_eq!(bound(&from(first)), [key(2)]);
    let out = from(second);
    assert!(bound(&out).is_empty() && reserved(&out) == [second], "{out:?}");
    assert_eq!(bound(&from(second)), [key(1)]);
}

// The promises hold for the state at the time of the placement, not of the arrival.
#[test]
fn an_agent_that_may_no_longer_get_the_flow_is_declined() {
    let drain = |it: &mut Balancer| {
        let draining = Report { upstream: UpstreamState::Draining, ..full_report(2, 2) };
        it.handle_report(address(2), draining, 20, &mut Vec::new());
    };
    let take_zone_out = |it: &mut Balancer| {
        it.update_zones(ZonesOut::new(Revision::new(0, 1), [OTHER_ZONE.to_owned()]), 20);
    };
    let restrict = |it: &mut Balancer| {
        let mut routes = routes_with_objective(2);
        for route in routes.by_address.values_mut() {
            *route = route.clone().with_regions(vec![RegionId::of("home")]);
        }
        it.update_routes(routes);
    };
    let changes: [&dyn Fn(&mut Balancer); 3] = [&drain, &take_zone_out, &restrict];
    for (number, change) in changes.into_iter().enumerate() {
        let mut it = full_balancer();
        send(&mut it, 1, 0, 10);
        change(&mut it);
        let out = offer(&mut it, 2, 30);
        assert!(out.contains(&decline(2)) && relays(&out).is_empty(), "{number}: {out:?}");
        let out = tick(&mut it, 310);
        let [(_, RelayAction::Open(candidates))] = relays(&out)[..] else { panic!("{out:?}") };
        assert!(candidates.candidates().iter().all(|it| it.agent != address(2)), "{number}");
    }
}

#[test]
fn openings_of_a_removed_route_or_a_drained_pool_are_reset() {
    let mut it = full_balancer();
    send(&mut it, 1, 0, 10);
    it.update_routes(Routes { revision: Revision::new(0, 2), version: 2, ..Routes::default() });
    let out = tick(&mut it, 20);
    assert_eq!(decisions(&out), [Decision::Reset(ResetReason::NoRoute)]);
    let mut it = full_balancer();
    send(&mut it, 1, 0, 110);
    for host in 1..=4 {
        let draining = Report { upstream: UpstreamState::Draining, ..full_report(host, 2) };
        it.handle_report(address(host), draining, 120, &mut Vec::new());
    }
    let out = tick(&mut it, 130);
    assert!(decisions(&out).contains(&Decision::Reset(ResetReason::NoUpstream)), "{out:?}");
    assert_eq!(it.deferred(), 0);
}

// Guards against openings that are lost with a reservation, an offer or one direction of a link.
#[test]
fn an_opening_is_placed_without_an_offer_in_time() {
    let mut it = full_balancer();
    send(&mut it, 1, 0, 10);
    assert!(relays(&tick(&mut it, 300)).is_empty());
    let out = tick(&mut it, 310);
    assert_eq!(undeferred(&out), [(key(1), UndeferReason::NoOffer)]);
    assert_eq!(relays(&out).len(), 1);
    // With offers for others of its service it waits until the caller's attempt is 1,000 ms old.
    let mut it = full_balancer();
    send(&mut it, 1, 2, 1_010);
    for now_ms in (1_020..1_410).step_by(10) {
        send(&mut it, 2 + now_ms as u16, 0, now_ms);
        assert_eq!(bound(&offer(&mut it, 4, now_ms)).len(), 1);
        assert!(undeferred(&tick(&mut it, now_ms)).is_empty());
    }
    assert_eq!(undeferred(&tick(&mut it, 1_410)), [(key(1), UndeferReason::Aged)]);
}

#[test]
fn a_pool_with_room_gets_the_deferred_openings_and_defers_none() {
    let mut it = full_balancer();
    send(&mut it, 1, 0, 10);
    for host in 3..=4 {
        it.handle_report(address(host), report(2, 0), 20, &mut Vec::new());
    }
    assert_eq!(undeferred(&tick(&mut it, 30)), [(key(1), UndeferReason::Room)]);
    let out = send(&mut it, 2, 0, 40);
    assert!(matches!(relays(&out)[..], [(_, RelayAction::Open(_))]), "{out:?}");
}

#[test]
fn deferred_openings_are_bounded_in_number_and_bytes() {
    for (bytes, limit) in [(60, 10_000), (2_000, 4_000)] {
        let mut it = full_balancer();
        let mut placed = 0;
        for number in 0..limit as u16 + 1_000 {
            let packet = vec![0; bytes];
            let out = collect(|out| it.handle_packet(&opening(number, 0), &packet, 10, out));
            placed += relays(&out).len();
        }
        assert!(it.deferred() <= limit && it.buffered_bytes() <= 8 << 20);
        assert_eq!(it.deferred() + placed, limit + 1_000);
    }
}

// Guards against the agents that are known first getting everything after a loss of all processes.
#[test]
fn an_agent_that_becomes_ready_gets_a_reservation() {
    let mut it = full_balancer();
    send(&mut it, 1, 0, 10);
    for (seq, expected) in [(1, vec![address(9)]), (2, vec![])] {
        let mut out = Vec::new();
        it.handle_report(address(9), full_report(9, seq), 20, &mut out);
        assert_eq!(reserved(&out), expected);
    }
}

/// An agent whose upstream has two slots, so that it may get three requests.
fn agent(cold_ms: u64) -> Agent {
    let mut it = Agent::new(identity(1, 1), 1_000, false, 0);
    let beat = Heartbeat { instance: instance("a"), seq: 1, draining: false, slots: 2, cold_ms };
    it.heartbeat(&beat, 0, &mut Vec::new());
    it
}

fn reserve(it: &mut Agent, balancer: u8, now_ms: u64) -> Vec<Effect> {
    let reservation =
        Reservation { pool: POOL, objective: Some(OBJECTIVE), age_ms: 0, beyond_share: false };
    collect(|out| it.handle_reservation(address(balancer), &reservation, now_ms, out))
}

/// Slots offered by these effects, by balancer.
fn offers(effects: &[Effect]) -> Vec<(u8, u8)> {
    let offer = |it: &Effect| match it {
        Effect::Offer { to, slots, .. } => Some((to.ip().octets()[3], *slots)),
        _ => None,
    };
    effects.iter().filter_map(offer).collect()
}

fn assign(it: &mut Agent, port: u16, limit: u16, now_ms: u64) -> Vec<Effect> {
    let full = PoolLoad { full_percent: 100, ..PoolLoad::default() };
    let candidates = CandidateList::new([1, 2, 3].map(address), limit).with_pool(full);
    let relay = relay(RelayAction::Assign(candidates.with_cold_rate(Some(1))));
    collect(|out| it.handle_relayed_packet(&relay, &opening(port, 0), &[], now_ms, out))
}

fn answer_opening(it: &mut Agent, port: u16, now_ms: u64) {
    let answer = PacketHeader { seq: 1_000, ..head(port, PacketKind::Open) };
    it.handle_upstream_packet(&answer, now_ms, &mut Vec::new());
}

fn request(it: &mut Agent, port: u16, now_ms: u64) -> Vec<Effect> {
    let relay = relay(RelayAction::Deliver);
    collect(|out| it.handle_relayed_packet(&relay, &data(port, 1, 1_001), b"request", now_ms, out))
}

#[test]
fn an_agent_offers_its_free_slots_at_once_and_further_ones_when_they_are_free() {
    let mut it = agent(0);
    for _ in 0..3 {
        assert_eq!(offers(&reserve(&mut it, 200, 10)), [(200, 1)]);
    }
    assert!(offers(&reserve(&mut it, 201, 10)).is_empty());
    assign(&mut it, 1, 50_000, 12);
    answer_opening(&mut it, 1, 12);
    assert!(request(&mut it, 1, 15).contains(&Effect::Deliver));
    let answer = PacketHeader { seq: 1_001, len: 50, ..head(1, PacketKind::Data) };
    assert_eq!(offers(&collect(|out| it.handle_upstream_packet(&answer, 40, out))), [(201, 1)]);
}

// Guards against a failed balancer that keeps slots idle with each of its reservations in turn.
#[test]
fn unused_and_declined_offers_end_with_the_reservations_of_their_balancer() {
    let mut it = agent(0);
    for _ in 0..10 {
        reserve(&mut it, 200, 10);
    }
    reserve(&mut it, 201, 12);
    reserve(&mut it, 201, 12);
    assert!(offers(&collect(|out| it.tick(69, out))).is_empty());
    assert_eq!(offers(&collect(|out| it.tick(70, out))), [(201, 2)]);
    reserve(&mut it, 202, 71);
    reserve(&mut it, 202, 71);
    assert_eq!(offers(&collect(|out| it.handle_decline(address(201), 72, out))), [(202, 1)]);
}

#[test]
fn an_agent_that_may_get_no_flows_offers_nothing() {
    let mut it = agent(0);
    it.set_plan(AgentPlan::Pause, 5, &mut Vec::new());
    assert!(offers(&reserve(&mut it, 200, 10)).is_empty());
    let mut it = agent(0);
    let beat = Heartbeat { instance: instance("a"), seq: 2, draining: true, slots: 2, cold_ms: 0 };
    it.heartbeat(&beat, 5, &mut Vec::new());
    assert!(offers(&reserve(&mut it, 200, 10)).is_empty());
    // A bound opening goes on along the other candidates.
    let out = assign(&mut it, 1, 50_000, 12);
    assert!(matches!(relays(&out)[..], [(to, RelayAction::Open(_))] if to == address(2)));
    // A cold upstream has reached its limit of one new flow per second.
    let mut it = agent(5_000);
    assert_eq!(offers(&reserve(&mut it, 200, 10)), [(200, 1)]);
    assert!(assign(&mut it, 1, 50_000, 11).contains(&Effect::Deliver));
    assert!(offers(&reserve(&mut it, 200, 12)).is_empty());
}

// A slot that was offered belongs to the flow for which it was offered, or the offers would only reorder the queue.
#[test]
fn a_request_with_an_offered_slot_goes_before_those_that_wait() {
    let mut it = agent(0);
    reserve(&mut it, 200, 10);
    assign(&mut it, 1, 50_000, 11);
    for port in 2..=4 {
        // Assignments without an offer, as its time has passed.
        assign(&mut it, port, 50_000, 11);
    }
    for port in 1..=4 {
        answer_opening(&mut it, port, 12);
    }
    let started: Vec<_> =
        [2, 3, 4, 1].map(|port| request(&mut it, port, 13).contains(&Effect::Deliver)).into();
    assert_eq!(started, [true, true, false, true]);
}

// Guards against persistent flows that gather at the upstreams that happen to have a free slot.
#[test]
fn a_persistent_flow_above_the_load_limit_is_forwarded() {
    let mut it = agent(0);
    reserve(&mut it, 200, 10);
    assert!(assign(&mut it, 1, 0, 11).contains(&Effect::Deliver));
    reserve(&mut it, 200, 12);
    let out = assign(&mut it, 2, 0, 13);
    assert!(
        matches!(relays(&out)[..], [(to, RelayAction::Open(_))] if to == address(2)),
        "{out:?}"
    );
}

/// A pool as in the load of Kauri: each upstream has two slots and a queue of eight.
const PARAMS: SimulationParams = SimulationParams {
    zones: 4,
    balancers: 16,
    agents: 36,
    slots: 2,
    queue: 8,
    work_ms: 20,
    loss: 0.0,
};

/// Opens flows of one request for `for_ms` at a share of the pool's capacity and returns the mean utilization.
fn run_load(world: &mut World, load: f64, for_ms: u64) -> f64 {
    let per_ms = f64::from(PARAMS.agents) * f64::from(PARAMS.slots) / PARAMS.work_ms as f64 * load;
    let (mut due, mut utilization) = (0.0, 0.0);
    for at in 0..for_ms {
        due += per_ms;
        while due >= 1.0 {
            world.open_flow(at % PARAMS.zones, 1, 1);
            due -= 1.0;
        }
        world.run(1);
        utilization += world.utilization();
    }
    utilization / for_ms as f64
}

fn share_in_time(world: &World) -> f64 {
    let latencies_ms = &world.tally.latencies_ms;
    let in_time = latencies_ms.iter().filter(|&&it| it <= u64::from(OBJECTIVE.latency_ms));
    in_time.count() as f64 / latencies_ms.len() as f64
}

// Loads of 0.5 and 0.8: no wait is added when there is room.
#[test]
fn nothing_is_deferred_below_capacity() {
    for load in [0.5, 0.8] {
        let mut world = World::with_late_binding(PARAMS, 3);
        for _ in 0..300 {
            run_load(&mut world, load, 10);
            assert_eq!(world.deferred(), 0, "load {load}");
        }
    }
}

// Loads of 1.0 and 1.3: no slot is idle while openings wait, and the waits are alike at all agents.
#[test]
fn a_full_pool_uses_all_slots_with_even_waits() {
    for (load, in_time) in [(1.0, 0.98), (1.3, 0.72)] {
        let mut world = World::with_late_binding(PARAMS, 3);
        run_load(&mut world, load, 2_000);
        let utilization = run_load(&mut world, load, 2_000);
        let waiting = world.waiting_at_agents();
        let mean = waiting.iter().sum::<usize>() as f64 / waiting.len() as f64;
        let most = waiting.iter().max().copied().unwrap_or(0) as f64;
        assert!(utilization > 0.99, "{load}: {utilization}");
        assert!(share_in_time(&world) > in_time, "{load}: {}", share_in_time(&world));
        assert!(most <= 2.0 * mean.max(2.0), "{load}: {waiting:?}");
    }
}

// All callers return at once to one balancer: reservations must not run out while openings wait.
#[test]
fn no_slot_is_idle_while_openings_of_one_balancer_wait() {
    let params = SimulationParams { zones: 1, balancers: 1, agents: 8, work_ms: 40, ..PARAMS };
    let mut world = World::with_late_binding(params, 3);
    run_load(&mut world, 0.15, 1_500);
    assert!(world.deferred() > 0);
    for _ in 0..300 {
        world.open_flow(0, 1, 1);
    }
    let mut idle_ms = 0;
    while world.deferred() > 20 {
        world.run(1);
        idle_ms += u32::from(world.utilization() < 0.99);
    }
    assert!(idle_ms < 40, "{idle_ms} ms");
}

// A burst at 2.5 times the capacity, in which a balancer and an agent are lost and an upstream drains.
#[test]
fn a_burst_of_returning_callers_is_served_over_failures() {
    // With 2% loss, 12 of 8,718 callers gave up without late binding, too.
    for (loss, most_given_up) in [(0.0, 0), (0.02, 20)] {
        let mut world = World::with_late_binding(SimulationParams { loss, ..PARAMS }, 3);
        run_load(&mut world, 0.6, 1_000);
        run_load(&mut world, 2.5, 600);
        assert!(world.deferred() > 100, "{}", world.deferred());
        world.start_balancer(201);
        world.stop_agent(5, false);
        world.drain(7);
        world.tally = crate::world::Tally::default();
        run_load(&mut world, 0.6, 2_500);
        world.start_agent(5);
        world.run(3_000);
        assert_eq!((world.tally.broken, world.tally.late_work), (0, 0));
        assert!(world.tally.given_up <= most_given_up, "{}", world.tally.given_up);
        assert_eq!(world.deferred(), 0);
        assert!(share_in_time(&world) > 0.62, "{loss}: {}", share_in_time(&world));
    }
}
