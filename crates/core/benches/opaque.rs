//! Benchmarks of a balancer's packet handling for opaque flows, at several fleet sizes, and of the order in which an
//! agent releases waiting requests.
//!
//! Pools have nine upstreams each; one more case has all upstreams in one pool.

use std::{
    hint::black_box,
    net::{Ipv4Addr, SocketAddrV4},
};

use camphorwinch_core::opaque::{
    FlowKey, PacketHeader, PacketKind, PoolId,
    balancer::Balancer,
    effect::Answer,
    fleet::{AgentPlan, Report, UpstreamState, ZoneId},
    ranked_queue::{RankedQueue, Terms},
    revision::Revision,
    route::{Objective, Route, Routes, WeightedPool},
    route_share::RouteShares,
};
use criterion::{BatchSize, BenchmarkId, Criterion};

/// Upstreams per pool: about 5,900 upstreams for 680 service addresses.
const POOL_SIZE: u32 = 9;
const ZONES: u32 = 6;

fn address(number: u32) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::from_bits(0x0a00_0000 + number), 7_720)
}

fn service() -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443)
}

fn head(number: u32, kind: PacketKind) -> PacketHeader {
    let caller = SocketAddrV4::new(
        Ipv4Addr::from_bits(0x6440_0000 + number / 60_000),
        (number % 60_000) as u16,
    );
    let key = FlowKey { caller, service: service() };
    PacketHeader { key, kind, bounced: false, seq: 1, ack: 0, len: 0 }
}

fn balancer(agents: u32, pool_size: u32) -> Balancer {
    configure(Balancer::new(address(0), ZoneId(0)), agents, pool_size)
}

/// Gives a balancer its routes and agents.
fn configure(mut balancer: Balancer, agents: u32, pool_size: u32) -> Balancer {
    let mut routes = Routes { revision: Revision::new(0, 1), version: 1, ..Routes::default() };
    routes
        .by_address
        .insert(service(), Route::new(vec![WeightedPool { pool: PoolId(0), weight: 1 }]));
    balancer.update_routes(routes);
    balancer.sync_members(&[], 0);
    for number in 0..agents {
        let report = Report {
            incarnation: 1,
            seq: 1,
            pool: PoolId(u64::from(number / pool_size)),
            zone: ZoneId(u64::from(number % ZONES)),
            upstream: UpstreamState::Ready,
            plan: AgentPlan::Stay,
            slots: 4,
            load: 100,
            service_ms: None,
            answer_bytes: None,
            full: false,
            interval_ms: 1_000,
        };
        balancer.handle_report(address(number + 1), report, 0, &mut Vec::new());
    }
    balancer
}

fn place(c: &mut Criterion) {
    let mut group = c.benchmark_group("opaque-open");
    for (agents, pool_size) in
        [(9, POOL_SIZE), (1_000, POOL_SIZE), (5_900, POOL_SIZE), (1_000, 1_000)]
    {
        let mut it = balancer(agents, pool_size);
        let mut out = Vec::new();
        let mut number = 0;
        let id = BenchmarkId::new(format!("pool-of-{pool_size}"), agents);
        group.bench_function(id, |b| {
            b.iter(|| {
                number = (number + 1) % 50_000;
                out.clear();
                it.handle_packet(black_box(&head(number, PacketKind::Open)), b"", 10, &mut out);
            });
        });
    }
    group.finish();
}

/// One tick of the replay at the start, at its limit of 200 opening packets or 50 others.
fn replay(c: &mut Criterion) {
    let mut group = c.benchmark_group("opaque-replay-tick");
    for (kind, name) in [(PacketKind::Open, "openings"), (PacketKind::Data, "others")] {
        for (agents, pool_size) in [(60, 60), (5_900, POOL_SIZE), (1_000, 1_000)] {
            let new = || {
                let mut it = Balancer::new(address(0), ZoneId(0)).with_startup_buffer(0);
                for number in 0..10_000 {
                    it.handle_packet(&head(number, kind), &[0; 100], 0, &mut Vec::new());
                }
                configure(it, agents, pool_size)
            };
            let id = BenchmarkId::new(format!("{name}-pool-of-{pool_size}"), agents);
            group.bench_function(id, |b| {
                b.iter_batched_ref(
                    new,
                    |it| {
                        let mut out = Vec::new();
                        it.tick(20, &mut out);
                        out
                    },
                    BatchSize::PerIteration,
                );
            });
        }
    }
    group.finish();
}

fn follow(c: &mut Criterion) {
    let mut group = c.benchmark_group("opaque-follow");
    for flows in [1_000, 100_000] {
        let mut it = balancer(5_900, POOL_SIZE);
        let mut out = Vec::new();
        for number in 0..flows {
            it.handle_packet(&head(number, PacketKind::Open), b"", 10, &mut out);
            it.handle_answer(
                address(1),
                head(number, PacketKind::Open).key,
                Answer::Here,
                None,
                10,
                &mut out,
            );
            out.clear();
        }
        let mut number = 0;
        group.bench_function(BenchmarkId::new("flows", flows), |b| {
            b.iter(|| {
                number = (number + 7_919) % flows;
                out.clear();
                it.handle_packet(black_box(&head(number, PacketKind::Data)), b"", 10, &mut out);
            });
        });
    }
    group.finish();
}

/// A request arrives and the highest-ranked one is released, with as many waiting as before.
fn release(c: &mut Criterion) {
    let mut group = c.benchmark_group("opaque-release");
    for waiting in [10, 1_000] {
        let mut shares = RouteShares::default();
        let mut queue = RankedQueue::default();
        let mut now_ms = 0;
        let mut number = 0_u32;
        let mut arrive = |queue: &mut RankedQueue<u32>, now_ms: u64| {
            number += 1;
            let mut service = service();
            service.set_port((number % 2) as u16);
            let objective = Objective {
                priority: (number % 3) as u8,
                latency_ms: 150 + number % 7 * 20,
                timeout_ms: 2_000,
                idempotent: true,
            };
            let beyond = shares.is_beyond(service, now_ms);
            queue.insert(number, Terms::new(Some(objective), now_ms, beyond));
        };
        for _ in 0..waiting {
            arrive(&mut queue, now_ms);
        }
        group.bench_function(BenchmarkId::new("waiting", waiting), |b| {
            b.iter(|| {
                now_ms += 1;
                arrive(&mut queue, now_ms);
                if let Some((_, key)) = queue.first(black_box(now_ms + 30)) {
                    queue.remove(&key);
                }
            });
        });
    }
    group.finish();
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    place(&mut criterion);
    replay(&mut criterion);
    follow(&mut criterion);
    release(&mut criterion);
    criterion.final_summary();
}
