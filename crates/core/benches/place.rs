//! Benchmarks of datagram placement by number of flows and upstreams, and of building the tables.

#![allow(missing_docs, reason = "criterion's macros make public functions")]

#[path = "../tests/support/mod.rs"]
mod support;

use std::{
    hint::black_box,
    net::{SocketAddr, SocketAddrV4},
};

use camphorwinch_core::{
    lookup_table::{LookupTable, Member},
    member::{Agent, AgentState},
    object::{KeySpec, KeyUse, Keys, Service, ServiceId},
    place::{MIN_INITIAL, Placer},
    seal::{CID_LEN, FlowOwner, KeyRing},
    snapshot::{ServiceEntry, Snapshot},
};
use criterion::{BenchmarkId, Criterion, Throughput, criterion_group, criterion_main};
use rand::{Rng, SeedableRng, rngs::StdRng};

const SERVICE: &str = "ledger";
const UPSTREAM_COUNTS: [usize; 5] = [10, 100, 1_000, 3_000, 5_900];
const FLOW_COUNTS: [usize; 4] = [1_000, 10_000, 100_000, 1_000_000];
const PACKET_BYTES: usize = 100;

fn keys() -> Keys {
    let key = KeySpec { epoch: 1, secret: [1; 32], usage: KeyUse::Seal };
    Keys { reset: [2; 32], keys: vec![key] }
}

fn data(number: usize) -> SocketAddrV4 {
    SocketAddrV4::new((0x0a00_0000 + number as u32).into(), 7_000)
}

fn agent(number: usize) -> Agent {
    let data = SocketAddr::V4(data(number));
    support::agent(&format!("ledger-{number}"), SERVICE, data)
}

fn address() -> SocketAddr {
    SocketAddr::from(([198, 51, 100, 1], 443))
}

fn snapshot(upstreams: usize) -> Snapshot {
    let spec = Service::new(address(), SERVICE, "cert");
    let entry = ServiceEntry::new(SERVICE, 1, spec);
    let mut snapshot = Snapshot { keys: Some(keys()), ..Snapshot::default() };
    snapshot.services.insert(ServiceId::new(SERVICE), entry);
    for number in 0..upstreams {
        let agent = agent(number);
        snapshot.agents.insert(agent.name.clone(), agent);
    }
    snapshot
}

/// Connection IDs of flows at random agents.
fn established(flows: usize, upstreams: usize) -> Vec<[u8; CID_LEN]> {
    let ring = KeyRing::new(&keys()).expect("a key seals");
    let mut rng = StdRng::seed_from_u64(7);
    let mut seal = || {
        let agent = data(rng.random_range(0..upstreams));
        ring.seal(FlowOwner { agent, service: ServiceId::new(SERVICE) }, rng.random())
    };
    (0..flows).map(|_| seal()).collect()
}

fn place_established(c: &mut Criterion) {
    let mut group = c.benchmark_group("established");
    group.throughput(Throughput::Elements(1));
    let by_flows = FLOW_COUNTS.map(|flows| (flows, 5_900));
    let by_upstreams = UPSTREAM_COUNTS[..4].iter().map(|&upstreams| (1_000_000, upstreams));
    for (flows, upstreams) in by_flows.into_iter().chain(by_upstreams) {
        let placer = Placer::new(&snapshot(upstreams), None, 0);
        let listener = &placer.listeners()[&address()];
        let caller = SocketAddr::from(([192, 0, 2, 1], 4_000));
        let cids = established(flows, upstreams);
        let mut packet = vec![0x40; PACKET_BYTES];
        let mut next = cids.iter().cycle();
        let id = BenchmarkId::new(format!("{flows} flows"), upstreams);
        group.bench_function(id, |b| {
            b.iter(|| {
                let cid = next.next().expect("the cycle has no end");
                packet[1..=CID_LEN].copy_from_slice(cid);
                black_box(placer.place(listener, caller, black_box(&packet)))
            });
        });
    }
    group.finish();
}

fn place_new(c: &mut Criterion) {
    let mut group = c.benchmark_group("new");
    group.throughput(Throughput::Elements(1));
    for upstreams in UPSTREAM_COUNTS {
        let placer = Placer::new(&snapshot(upstreams), None, 0);
        let listener = &placer.listeners()[&address()];
        let mut packet = vec![0; MIN_INITIAL];
        packet[..6].copy_from_slice(&[0xc0, 0, 0, 0, 1, 8]);
        let mut flow: u64 = 0;
        group.bench_function(BenchmarkId::from_parameter(upstreams), |b| {
            b.iter(|| {
                flow += 1;
                packet[6..14].copy_from_slice(&flow.to_be_bytes());
                let [.., high, low] = flow.to_be_bytes();
                let caller = SocketAddr::from(([192, 0, high, low], 4_000));
                black_box(placer.place(listener, caller, black_box(&packet)))
            });
        });
    }
    group.finish();
}

fn build(c: &mut Criterion) {
    let mut group = c.benchmark_group("table");
    group.sample_size(10);
    for upstreams in UPSTREAM_COUNTS {
        let names: Vec<String> = (0..upstreams).map(|it| format!("ledger-{it}")).collect();
        let members: Vec<Member<'_>> =
            names.iter().map(|name| Member { name, weight: 1.0 }).collect();
        group.bench_function(BenchmarkId::from_parameter(upstreams), |b| {
            b.iter(|| black_box(LookupTable::new(black_box(&members))));
        });
    }
    group.finish();
}

/// Rebuilds the placer of a large fleet after one agent changed; all other tables are reused.
fn rebuild(c: &mut Criterion) {
    let mut snapshot = snapshot(0);
    for number in 0..5_900 {
        let mut agent = agent(number);
        agent.pool = format!("pool-{}", number % 680);
        snapshot.agents.insert(agent.name.clone(), agent);
    }
    for number in 0..680_u16 {
        let mut entry = snapshot.services[&ServiceId::new(SERVICE)].clone();
        entry.name = format!("service-{number}");
        entry.spec.pool = format!("pool-{number}");
        entry.spec.address = SocketAddr::from(([198, 51, 100, 1], 1_000 + number));
        snapshot.services.insert(ServiceId::new(&entry.name), entry);
    }
    let before = Placer::new(&snapshot, None, 0);
    let agent = snapshot.agents.get_mut("ledger-5").expect("there are 5,900");
    agent.state = AgentState::Draining;
    let mut group = c.benchmark_group("placer");
    group.sample_size(20);
    group.bench_function("680 services, 5900 upstreams, one changes", |b| {
        b.iter(|| black_box(Placer::new(black_box(&snapshot), Some(&before), 1)));
    });
    group.bench_function("680 services, 5900 upstreams, from nothing", |b| {
        b.iter(|| black_box(Placer::new(black_box(&snapshot), None, 1)));
    });
    group.finish();
}

criterion_group!(benches, place_established, place_new, build, rebuild);
criterion_main!(benches);
