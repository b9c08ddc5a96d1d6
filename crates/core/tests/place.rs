//! Tests of datagram placement: established and new flows, forged and stale IDs, configuration changes.

mod support;

use std::net::{SocketAddr, SocketAddrV4};

use camphorwinch_core::{
    invariant::{self, Invariant},
    member::{Agent, AgentState},
    object::{Action, Change, KeySpec, KeyUse, Keys, Service, ServiceId, Target},
    place::{DropReason, MIN_INITIAL, Placement, Placer, REMOVED_SERVICE_TTL_MS},
    seal::{FlowOwner, KeyRing},
    snapshot::{ServiceEntry, Snapshot},
};
use quickcheck::quickcheck;

const CALLER: &str = "192.0.2.7:40000";
const LEDGER: &str = "198.51.100.1:443";
const INTAKE: &str = "198.51.100.2:443";

fn address(text: &str) -> SocketAddr {
    text.parse().expect("an address")
}

fn agent(name: &str, pool: &str, number: u8) -> Agent {
    let data = SocketAddr::from(([10, 0, 0, number], 7000));
    support::agent(name, pool, data)
}

fn service(address_text: &str, pool: &str) -> Service {
    Service::new(address(address_text), pool, "cert")
}

fn keys(epochs: &[(u8, KeyUse)]) -> Keys {
    let keys = epochs.iter().map(|&(epoch, usage)| KeySpec { epoch, secret: [epoch; 32], usage });
    Keys { reset: [3; 32], keys: keys.collect() }
}

fn insert_service(snapshot: &mut Snapshot, name: &str, spec: Service) {
    let entry = ServiceEntry::new(name, 1, spec);
    snapshot.services.insert(ServiceId::new(name), entry);
}

fn snapshot() -> Snapshot {
    let mut it = Snapshot { keys: Some(keys(&[(1, KeyUse::Seal)])), ..Snapshot::default() };
    insert_service(&mut it, "ledger", service(LEDGER, "ledger"));
    insert_service(&mut it, "intake", service(INTAKE, "intake"));
    for number in 1..=7 {
        let name = format!("ledger-{number}");
        it.agents.insert(name.clone(), agent(&name, "ledger", number));
    }
    for number in 11..=14 {
        let name = format!("intake-{number}");
        it.agents.insert(name.clone(), agent(&name, "intake", number));
    }
    it
}

fn flow_owner(service: &str, number: u8) -> FlowOwner {
    FlowOwner {
        agent: SocketAddrV4::new([10, 0, 0, number].into(), 7000),
        service: ServiceId::new(service),
    }
}

fn short(cid: &[u8]) -> Vec<u8> {
    [&[0x41], cid, &[0x5a; 40]].concat()
}

fn long(first: u8, cid: &[u8]) -> Vec<u8> {
    let mut datagram = [&[first, 0, 0, 0, 1, cid.len() as u8], cid].concat();
    datagram.resize(MIN_INITIAL, 0);
    datagram
}

fn sealed(keys: &Keys, owner: FlowOwner) -> [u8; 20] {
    KeyRing::new(keys).expect("a key seals").seal(owner, [1, 2, 3])
}

fn place(placer: &Placer, at: &str, datagram: &[u8]) -> Placement {
    let listener = placer.listeners().get(&address(at)).expect("the address has a listener");
    placer.place(listener, address(CALLER), datagram)
}

fn placer(snapshot: &Snapshot) -> Placer {
    Placer::new(snapshot, None, 0)
}

quickcheck! {
    fn any_datagram_is_dropped_or_goes_to_its_service(datagram: Vec<u8>, long: bool, size: usize) -> bool {
        let mut datagram = datagram;
        if let (true, Some(first)) = (long, datagram.first_mut()) {
            *first |= 0x80;
        }
        datagram.resize(datagram.len().max(size % 1_500), 0);
        match place(&placer(&snapshot()), LEDGER, &datagram) {
            Placement::New { candidates, .. } => {
                datagram.len() >= MIN_INITIAL && candidates.as_slice().iter().all(|it| (1..=7).contains(&it.ip().octets()[3]))
            }
            Placement::Drop(_) => true,
            Placement::Owner { .. } | Placement::Reset(_) => false,
        }
    }

    fn an_established_flow_keeps_its_owner_when_members_change(removed: Vec<u8>, number: u8) -> bool {
        let number = number % 7 + 1;
        let mut snapshot = snapshot();
        let cid = sealed(snapshot.keys.as_ref().expect("keys"), flow_owner("ledger", number));
        for it in removed {
            snapshot.agents.remove(&format!("ledger-{}", it % 9));
        }
        let placed = place(&placer(&snapshot), LEDGER, &short(&cid));
        matches!(placed, Placement::Owner { owner: it, .. } if it == flow_owner("ledger", number))
    }

    fn balancers_with_equal_snapshots_agree_on_new_flows(cid: Vec<u8>) -> bool {
        let cid = &[&[9; 8], &cid[..cid.len().min(12)]].concat();
        let (first, second) = (placer(&snapshot()), placer(&snapshot()));
        place(&first, LEDGER, &long(0xc0, cid)) == place(&second, LEDGER, &long(0xc0, cid))
    }
}

#[test]
fn headers_select_owner_new_or_drop() {
    let snapshot = snapshot();
    let placer = placer(&snapshot);
    let cid = sealed(snapshot.keys.as_ref().expect("keys"), flow_owner("ledger", 2));
    let owner = Placement::Owner { owner: flow_owner("ledger", 2), known: true };
    assert_eq!(place(&placer, LEDGER, &short(&cid)), owner);
    for form in [0xc0, 0xd0, 0xe0, 0xf0] {
        assert_eq!(place(&placer, LEDGER, &long(form, &cid)), owner, "form {form:x}");
    }
    let mut forged = cid;
    forged[19] ^= 1;
    let mut stale = cid;
    stale[0] = 2;
    let drop = |datagram: &[u8]| match place(&placer, LEDGER, datagram) {
        Placement::Drop(refusal) => Some(refusal),
        _ => None,
    };
    assert_eq!(drop(&short(&forged)), Some(DropReason::Forged));
    assert_eq!(drop(&short(&stale)), Some(DropReason::Epoch));
    assert_eq!(drop(&long(0xe0, &stale)), Some(DropReason::Epoch));
    assert_eq!(drop(&long(0xc0, &[7; 20])[..MIN_INITIAL - 1]), Some(DropReason::Small));
    assert_eq!(drop(&long(0xc0, &[7; 7])), Some(DropReason::Garbage));
    assert_eq!(drop(&short(&[1; 3])[..20]), Some(DropReason::Garbage));
    assert_eq!(drop(&[0x80, 0, 0, 0, 0, 0, 0]), Some(DropReason::Garbage));
    assert_eq!(drop(&[0xc0, 0, 0, 0, 1, 255, 0]), Some(DropReason::Garbage));
    assert_eq!(drop(&[]), Some(DropReason::Garbage));
    assert!(matches!(place(&placer, LEDGER, &long(0xc0, &stale)), Placement::New { .. }));
}

#[test]
fn a_flow_is_not_served_at_the_address_of_another_service() {
    let snapshot = snapshot();
    let cid = sealed(snapshot.keys.as_ref().expect("keys"), flow_owner("ledger", 2));
    let placed = place(&placer(&snapshot), INTAKE, &short(&cid));
    assert_eq!(placed, Placement::Drop(DropReason::WrongService));
    assert_eq!(invariant::violations(Invariant::SameService), 0);
}

#[test]
fn flows_continue_when_two_services_swap_addresses() {
    let before = snapshot();
    let old = placer(&before);
    let mut after = before.clone();
    insert_service(&mut after, "ledger", service(INTAKE, "ledger"));
    insert_service(&mut after, "intake", service(LEDGER, "intake"));
    let swapped = Placer::new(&after, Some(&old), 1_000);
    let cid = sealed(before.keys.as_ref().expect("keys"), flow_owner("ledger", 2));
    let owner = Placement::Owner { owner: flow_owner("ledger", 2), known: true };
    assert_eq!(place(&swapped, LEDGER, &short(&cid)), owner);
    assert_eq!(place(&swapped, INTAKE, &short(&cid)), owner);
    let Placement::New { service, .. } = place(&swapped, LEDGER, &long(0xc0, &[7; 8])) else {
        panic!("a new flow is placed");
    };
    assert_eq!(service, ServiceId::new("intake"));

    let later = Placer::new(&after, Some(&swapped), 1_000 + REMOVED_SERVICE_TTL_MS);
    let refused = Placement::Drop(DropReason::WrongService);
    assert_eq!(place(&later, LEDGER, &short(&cid)), refused);
}

#[test]
fn the_address_of_a_removed_service_serves_its_flows_and_no_new_ones() {
    let mut snapshot = snapshot();
    let old = placer(&snapshot);
    let cid = sealed(snapshot.keys.as_ref().expect("keys"), flow_owner("ledger", 2));
    snapshot.services.remove(&ServiceId::new("ledger"));
    let now = Placer::new(&snapshot, Some(&old), 1_000);
    assert!(matches!(place(&now, LEDGER, &short(&cid)), Placement::Owner { .. }));
    let refused = Placement::Drop(DropReason::NoService);
    assert_eq!(place(&now, LEDGER, &long(0xc0, &[7; 8])), refused);
}

#[test]
fn flows_of_a_dead_agent_are_reset_by_a_live_one() {
    let mut snapshot = snapshot();
    let cid = sealed(snapshot.keys.as_ref().expect("keys"), flow_owner("ledger", 2));
    snapshot.agents.get_mut("ledger-2").expect("the agent").state = AgentState::Down;
    let placer = placer(&snapshot);
    let Placement::Reset(to) = place(&placer, LEDGER, &short(&cid)) else {
        panic!("a reset");
    };
    assert_eq!(to.service, ServiceId::new("ledger"));
    assert_ne!(to.agent, flow_owner("ledger", 2).agent);
    assert_eq!(place(&placer, LEDGER, &long(0xe0, &cid)), Placement::Drop(DropReason::OwnerDown));
}

#[test]
fn draining_agents_get_new_flows_only_if_no_other_agent_is_left() {
    let mut snapshot = snapshot();
    let drain =
        |name: &str| Change { action: Action::Drain, target: Target::Upstream(name.to_owned()) };
    snapshot.changes.insert("one".to_owned(), drain("ledger-1"));
    snapshot.agents.get_mut("ledger-2").expect("the agent").state = AgentState::Draining;
    let placer_ = placer(&snapshot);
    for number in 0..200 {
        let Placement::New { candidates, .. } = place(&placer_, LEDGER, &long(0xc0, &[number; 8]))
        else {
            panic!("a new flow is placed");
        };
        let agents = candidates.as_slice();
        assert_eq!(agents.len(), 3);
        assert!(agents.iter().all(|it| it.ip().octets()[3] > 2), "{agents:?}");
    }
    for agent in snapshot.agents.values_mut() {
        agent.state = AgentState::Draining;
    }
    let placed = place(&placer(&snapshot), LEDGER, &long(0xc0, &[1; 8]));
    assert!(
        matches!(placed, Placement::New { .. }),
        "draining agents refuse it, so the caller gets an error"
    );
}

#[test]
fn weights_change_the_placement_of_new_flows() {
    let mut snapshot = snapshot();
    snapshot.agents.get_mut("ledger-1").expect("the agent").weight = 3.0;
    let first = placer(&snapshot);
    let second = Placer::new(&snapshot, Some(&first), 0);
    snapshot.agents.get_mut("ledger-1").expect("the agent").weight = 0.0;
    let third = Placer::new(&snapshot, Some(&second), 0);
    let initial = long(0xc0, &[1; 8]);
    assert_eq!(place(&first, LEDGER, &initial), place(&second, LEDGER, &initial));
    for number in 0..200 {
        let Placement::New { candidates, .. } = place(&third, LEDGER, &long(0xc0, &[number; 8]))
        else {
            panic!("a new flow is placed");
        };
        assert!(candidates.as_slice().iter().all(|it| it.ip().octets()[3] != 1));
    }
}
