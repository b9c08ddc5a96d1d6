//! Datagrams about opaque flows round trip, and malformed bytes return an error instead of a panic.

use std::net::{Ipv4Addr, SocketAddrV4};

use camphorwinch_core::opaque::{
    FlowKey, PoolId,
    candidate_list::{CandidateList, PoolLoad},
    effect::{Answer, FlowStatus, RelayAction, RelayHeader, Reservation},
    fleet::{self, AgentPlan, MemberEntry, UpstreamState, ZoneId},
    revision::Revision,
    route::{ConfigVersion, Objective, Route, Routes, WeightedPool},
    service_rate::MeasuredService,
    zone::{RegionId, ZonesOut},
};
use camphorwinch_wire::opaque::{
    Body, Control, Datagram, DecodeError, FormerPoolEntry, HeardEntry, Hello, PeerEntry, Report,
    ServiceEntry, Snapshot, ZonesEntry, decode, encode_answer, encode_control, encode_decline,
    encode_fan_out, encode_offer, encode_packet, encode_query, encode_query_response,
    encode_reserve,
};
use quickcheck::quickcheck;

const OBJECTIVE: Objective =
    Objective { priority: 2, latency_ms: 150, timeout_ms: 70_000, idempotent: true };

fn address(host: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 1, 2, host), 7_720)
}

fn key(host: u8) -> FlowKey {
    FlowKey { caller: address(host), service: address(200) }
}

fn relay(action: RelayAction) -> RelayHeader {
    RelayHeader { action, pool: PoolId(u64::MAX - 3), balancer: address(9) }
}

fn actions() -> [RelayAction; 4] {
    let mut candidates = CandidateList::new((1..=8).map(address), 1_234);
    candidates.advance(77);
    let pool = PoolLoad { service_ms: Some(70_000), answer_bytes: Some(80_000), full_percent: 99 };
    let known = candidates.with_objective(Some(OBJECTIVE)).with_pool(pool).with_cold_rate(Some(9));
    [
        RelayAction::Open(candidates),
        RelayAction::Assign(known),
        RelayAction::Deliver,
        RelayAction::Locate,
    ]
}

fn report() -> fleet::Report {
    fleet::Report {
        incarnation: 7,
        seq: 8,
        pool: PoolId(9),
        zone: ZoneId(10),
        upstream: UpstreamState::Draining,
        plan: AgentPlan::Restart,
        slots: 11,
        load: 12,
        interval_ms: 13,
        service_ms: Some(14),
        answer_bytes: Some(15),
        full: true,
    }
}

#[test]
fn packets_round_trip() {
    for action in actions() {
        let mut bytes = Vec::new();
        encode_packet(&relay(action), b"a caller's packet", &mut bytes);
        let Ok(Datagram::Packet { relay: read, packet }) = decode(&bytes) else {
            panic!("{action:?}")
        };
        assert_eq!(read, relay(action));
        assert_eq!(packet, b"a caller's packet");
    }
}

#[test]
fn reservations_offers_and_declines_round_trip() {
    let pool = PoolId(u64::MAX - 5);
    let sent = Objective { idempotent: false, ..OBJECTIVE };
    for objective in [None, Some(sent)] {
        let reservation = Reservation { pool, objective, age_ms: 999, beyond_share: true };
        let mut bytes = Vec::new();
        encode_reserve(&reservation, &mut bytes);
        assert_eq!(bytes.len(), 21);
        assert!(matches!(decode(&bytes), Ok(Datagram::Reserve(it)) if it == reservation));
        assert!(matches!(decode(&bytes[..20]), Err(DecodeError::Truncated)));
    }
    let (mut offer, mut decline) = (Vec::new(), Vec::new());
    encode_offer(pool, 3, &mut offer);
    encode_decline(pool, &mut decline);
    assert!(matches!(decode(&offer), Ok(Datagram::Offer { pool: it, slots: 3 }) if it == pool));
    assert!(matches!(decode(&decline), Ok(Datagram::Decline { pool: it }) if it == pool));
    assert!(matches!(decode(&offer[..9]), Err(DecodeError::Truncated)));
    assert!(matches!(decode(&decline[..8]), Err(DecodeError::Truncated)));
}

#[test]
fn answers_queries_and_query_responses_round_trip() {
    for answer in [Answer::Here, Answer::Absent, Answer::WrongPool(PoolId(u64::MAX - 1))] {
        let mut bytes = Vec::new();
        encode_answer(&key(1), answer, b"packet", &mut bytes);
        let Ok(Datagram::Answer { key: flow, answer: read, packet }) = decode(&bytes) else {
            panic!("{answer:?}")
        };
        assert_eq!((flow, read, packet), (key(1), answer, &b"packet"[..]));
    }
    let mut bytes = Vec::new();
    encode_query(&[key(1), key(2)], &mut bytes);
    assert!(matches!(decode(&bytes), Ok(Datagram::Query(it)) if it == [key(1), key(2)]));
    let statuses =
        [(key(1), FlowStatus::Here), (key(2), FlowStatus::Absent), (key(3), FlowStatus::Unknown)];
    bytes.clear();
    encode_query_response(&statuses, &mut bytes);
    assert!(matches!(decode(&bytes), Ok(Datagram::QueryResponse(it)) if it == statuses));
}

#[test]
fn a_fan_out_round_trips_and_fits_an_ethernet_frame() {
    let relay = relay(RelayAction::Locate);
    let agents: Vec<_> = (1..=28).map(address).collect();
    let packet = [7; 1_232];
    let mut bytes = Vec::new();
    encode_fan_out(&relay, &agents, &packet, &mut bytes);
    // Payload of a 1,500-byte Ethernet frame without the IP and UDP headers.
    assert!(bytes.len() <= 1_472, "{}", bytes.len());
    let Ok(Datagram::FanOut { relay: read, agents: listed, packet: carried }) = decode(&bytes)
    else {
        panic!("{bytes:?}")
    };
    assert_eq!((read, listed, carried), (relay, agents, &packet[..]));
    for len in 0..16 + 28 * 6 {
        assert_eq!(decode(&bytes[..len]).err(), Some(DecodeError::Truncated));
    }
}

#[test]
fn control_messages_round_trip() {
    let service =
        MeasuredService { pool: PoolId(9), service_ms: 70_000, answer_bytes: Some(1_400) };
    let hello = Body::Hello(Hello {
        revision: 5,
        leaving: true,
        unlisted: true,
        zones: Some(ZonesEntry { revision: 7, names: vec!["a".to_owned()], era: 3 }),
        keep_copy: true,
        version: 9,
        era: 2,
        service: Some(service.into()),
        heard: vec![HeardEntry { ip: 0x0a00_0001, port: 7720, age_ms: 1_500 }],
        probe: true,
        config_answered: true,
        zones_answered: true,
        restarting: vec![HeardEntry { ip: 0x0a00_0002, port: 7720, age_ms: 700 }],
        former_pools: vec![FormerPoolEntry { ip: 0xc612_0001, port: 443, pool: 7, age_ms: 900 }],
        sought: Some(PeerEntry { ip: 0x0a00_0002, port: 7720 }),
    });
    let config = ConfigVersion { version: 9, revision: Revision::new(2, 5) };
    let with_copy = Report::from(report()).with_config_copy(Some(config));
    assert_eq!(with_copy.config_copy(), Some(config));
    assert_eq!(Report::from(report()).with_config_copy(None).config_copy(), None);
    assert_eq!(Hello::new(Some(config)).config(), Some(config));
    assert_eq!(Hello::new(None).config(), None);
    assert!(Hello::default().expects_report());
    assert!(!Hello { service: Some(service.into()), ..Hello::default() }.expects_report());
    for body in [Body::Report(report().into()), Body::Report(with_copy), hello] {
        let mut bytes = Vec::new();
        encode_control(&Control { body: Some(body.clone()) }, &mut bytes);
        let Ok(Datagram::Control(read)) = decode(&bytes) else { panic!("{body:?}") };
        assert_eq!(read.body, Some(body));
    }
    assert_eq!(fleet::Report::try_from(Report::from(report())), Ok(report()));
    let unknown = fleet::Report { service_ms: None, answer_bytes: None, ..report() };
    assert_eq!(fleet::Report::try_from(Report::from(unknown)), Ok(unknown));
    for service in [service, MeasuredService { answer_bytes: None, ..service }] {
        assert_eq!(MeasuredService::from(ServiceEntry::from(service)), service);
    }
}

#[test]
fn unknown_values_return_their_error() {
    let bad = Report { upstream: 9, ..report().into() };
    assert_eq!(fleet::Report::try_from(bad), Err(DecodeError::InvalidField("upstream")));
    let bad = Report { plan: 9, ..report().into() };
    assert_eq!(fleet::Report::try_from(bad), Err(DecodeError::InvalidField("plan")));
    let bad = Report { load: 70_000, ..report().into() };
    assert_eq!(fleet::Report::try_from(bad), Err(DecodeError::InvalidField("load")));
    assert_eq!(decode(&[]).err(), Some(DecodeError::Truncated));
    assert_eq!(decode(&[99]).err(), Some(DecodeError::UnknownType(99)));
    assert_eq!(decode(&[2, 7]).err(), Some(DecodeError::UnknownCode(7)));
    let mut bytes = Vec::new();
    encode_packet(&relay(RelayAction::Deliver), b"", &mut bytes);
    bytes[1] = 44;
    assert_eq!(decode(&bytes).err(), Some(DecodeError::UnknownCode(44)));
}

#[test]
fn an_inconsistent_candidate_list_is_rejected() {
    let mut bytes = Vec::new();
    encode_packet(&relay(actions()[0]), b"", &mut bytes);
    // The index and the count follow type, action, pool, balancer, limit, objective and pool load.
    let (index_at, count_at) = (33, 34);
    let original = bytes.clone();
    bytes[index_at] = 8;
    assert_eq!(decode(&bytes).err(), Some(DecodeError::InvalidCandidates { count: 8, index: 8 }));
    bytes = original.clone();
    bytes[count_at] = 200;
    assert!(matches!(
        decode(&bytes).err(),
        Some(DecodeError::InvalidCandidates { count: 200, .. })
    ));
    bytes = original;
    bytes[count_at] = 0;
    assert!(decode(&bytes).is_err());
}

#[test]
fn truncated_opaque_datagrams_are_rejected() {
    for action in actions() {
        let mut bytes = Vec::new();
        encode_packet(&relay(action), b"", &mut bytes);
        for len in 0..bytes.len() {
            assert!(decode(&bytes[..len]).is_err(), "{action:?} truncated to {len} bytes");
        }
    }
}

#[test]
fn snapshots_round_trip() {
    let mut routes = Routes { revision: Revision::new(2, 3), version: 2, ..Routes::default() };
    let weighted_pools = vec![
        WeightedPool { pool: PoolId(1), weight: 9 },
        WeightedPool { pool: PoolId(2), weight: 1 },
    ];
    let route = Route::new(weighted_pools).with_regions(vec![RegionId(7), RegionId(8)]);
    routes.by_address.insert(address(2), route.clone().with_objective(OBJECTIVE));
    routes.by_address.insert(address(1), route);
    routes.cold_rates.insert(PoolId(2), 10);
    let members = [
        MemberEntry { address: address(2), pool: Some(PoolId(1)), zone: ZoneId(4) },
        MemberEntry { address: address(3), pool: None, zone: ZoneId(5) },
    ];
    let snapshot = Snapshot::new(Some(&routes), &members);
    assert_eq!(snapshot.routes(), Ok(Some(routes)));
    assert_eq!(snapshot.members(), Ok(members.to_vec()));
    assert_eq!(snapshot.zones, None);
    let out = ZonesOut::new(Revision::new(3, 6), ["a".to_owned(), "b".to_owned()]);
    let decoded = snapshot.clone().with_zones(Some(&out)).zones.map(ZonesOut::from);
    assert_eq!(decoded, Some(out));
    assert_eq!(Snapshot::new(None, &[]).routes(), Ok(None));
    let mut bad = snapshot.clone();
    bad.routes[0].port = 70_000;
    assert_eq!(bad.routes(), Err(DecodeError::InvalidField("port")));
    let mut bad = snapshot;
    for route in &mut bad.routes {
        route.timeout_ms = 1;
        route.priority = 256;
    }
    assert_eq!(bad.routes(), Err(DecodeError::InvalidField("priority")));
}

quickcheck! {
    fn random_opaque_datagrams_do_not_panic(bytes: Vec<u8>) -> bool {
        for kind in 0..=6 {
            let mut datagram = vec![kind];
            datagram.extend(&bytes);
            let _ = decode(&datagram);
        }
        true
    }

    fn altered_opaque_datagrams_do_not_panic(at: usize, byte: u8) -> bool {
        for action in actions() {
            let mut bytes = Vec::new();
            encode_packet(&relay(action), b"packet", &mut bytes);
            let at = at % bytes.len();
            bytes[at] = byte;
            let _ = decode(&bytes);
        }
        true
    }
}
