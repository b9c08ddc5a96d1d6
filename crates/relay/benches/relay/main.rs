//! Benchmark of the packet path against a bare relay that forwards datagrams without parsing them.
//!
//! Each round sends a burst to the relay's socket, times the relay until it has forwarded all of it, and drains the
//! agents' sockets. Rounds of both relays alternate; the medians are printed in nanoseconds of one core per datagram,
//! including system calls and loopback delivery.

#[path = "../../tests/common/mod.rs"]
mod common;
mod load;
mod paths;

use std::{
    fs,
    io::IoSliceMut,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use arc_swap::ArcSwap;
use camphorwinch_core::place::Placer;
use camphorwinch_relay::{
    outcome::OutcomeCounters,
    relay::{Relay, Shared},
    socket::Socket,
};
use criterion::{Criterion, Throughput};
use quinn_udp::{BATCH_SIZE, RecvMeta, Transmit};
use tokio::runtime::{Builder, Runtime};

use crate::paths::{AGENTS, BareRelay, FLOWS, Path, TRAFFIC, Traffic, address, buffers, open};

const CALLERS: usize = 16;
/// Rounds of the comparison; each runs both relays.
const ROUNDS: usize = 4_000;

/// Caller, service and agent sockets on one thread.
struct TestBed {
    runtime: Runtime,
    callers: Vec<Socket>,
    agents: Vec<Socket>,
    service: Socket,
    address: SocketAddr,
    shared: Arc<Shared>,
    drain_buffers: Vec<Box<[u8]>>,
    flow: usize,
}

impl TestBed {
    fn new() -> TestBed {
        let runtime = Builder::new_current_thread().enable_io().build().expect("build the runtime");
        let guard = runtime.enter();
        let callers = (0..CALLERS).map(|_| open()).collect();
        let agents: Vec<Socket> = (0..AGENTS).map(|_| open()).collect();
        let service = open();
        let service_address = address(&service);
        let data: Vec<SocketAddr> = agents.iter().map(address).collect();
        let placer = Placer::new(&common::snapshot(service_address, &data), None, 0);
        let placer = ArcSwap::from_pointee(placer);
        let shared = Arc::new(Shared { placer, counters: OutcomeCounters::default() });
        drop(guard);
        let drain_buffers = buffers();
        TestBed {
            runtime,
            callers,
            agents,
            service,
            address: service_address,
            shared,
            drain_buffers,
            flow: 0,
        }
    }

    fn bare_path(&self) -> Path {
        let _guard = self.runtime.enter();
        let agents = self.agents.iter().map(address).collect();
        Path::Bare(BareRelay::new(open(), agents))
    }

    fn placed_path(&self) -> Path {
        let _guard = self.runtime.enter();
        Path::Placed(Relay::new(open(), Arc::clone(&self.shared)))
    }

    fn send_burst(&mut self, traffic: Traffic) {
        let mut contents = Vec::new();
        for message in 0..traffic.messages {
            self.flow = (self.flow + 1) % FLOWS;
            let caller = &self.callers[message % self.callers.len()];
            let SocketAddr::V4(agent) = address(&self.agents[message % AGENTS]) else {
                continue;
            };
            let size = traffic.fill(message, self.flow, agent, &mut contents);
            let transmit = Transmit {
                destination: self.address,
                ecn: None,
                contents: &contents,
                segment_size: (traffic.merged > 1).then_some(size),
                src_ip: None,
            };
            caller.send(&transmit).expect("send from a caller");
        }
    }

    /// Sends a burst and returns the time taken to relay it.
    fn time_round(&mut self, path: &mut Path, traffic: Traffic) -> Duration {
        self.send_burst(traffic);
        let (service, address) = (&self.service, self.address);
        let time = self.runtime.block_on(async {
            service.readable().await.expect("wait for datagrams");
            let started = Instant::now();
            while path.relay_batch(address, service) {}
            started.elapsed()
        });
        let received = self.drain();
        assert_eq!(received, traffic.datagrams(), "{traffic:?}: datagrams were lost");
        time
    }

    fn drain(&mut self) -> u64 {
        let TestBed { runtime, agents, drain_buffers, .. } = self;
        let mut received = 0;
        for agent in agents.iter() {
            loop {
                let mut metas = [RecvMeta::default(); BATCH_SIZE];
                let mut slices: Vec<IoSliceMut<'_>> =
                    drain_buffers.iter_mut().map(|it| IoSliceMut::new(it)).collect();
                let recv = async {
                    // Lets the runtime poll for readiness.
                    tokio::task::yield_now().await;
                    agent.recv(&mut slices, &mut metas)
                };
                let Ok(count) = runtime.block_on(recv) else {
                    break;
                };
                received +=
                    metas[..count].iter().map(|it| it.len.div_ceil(it.stride) as u64).sum::<u64>();
            }
        }
        received
    }
}

fn median(mut it: Vec<f64>) -> f64 {
    it.sort_by(f64::total_cmp);
    it[it.len() / 2]
}

/// Times both relays alternately and prints the ratio of their rates.
fn compare(test_bed: &mut TestBed) {
    println!("traffic  bare ns/datagram  placed ns/datagram  rate against bare");
    for traffic in TRAFFIC {
        let (mut bare, mut placed) = (test_bed.bare_path(), test_bed.placed_path());
        let (mut bare_ns, mut placed_ns) = (Vec::new(), Vec::new());
        for _ in 0..ROUNDS {
            let per_datagram = |it: Duration| it.as_nanos() as f64 / traffic.datagrams() as f64;
            bare_ns.push(per_datagram(test_bed.time_round(&mut bare, traffic)));
            placed_ns.push(per_datagram(test_bed.time_round(&mut placed, traffic)));
        }
        let (bare, placed) = (median(bare_ns), median(placed_ns));
        println!("{:<8} {bare:>16.0} {placed:>19.0} {:>18.2}", traffic.name, bare / placed);
    }
}

fn resident_kb() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|it| it.starts_with("VmRSS:")).unwrap_or_default();
    line.split_whitespace().nth(1).and_then(|it| it.parse().ok()).unwrap_or_default()
}

/// Prints the resident memory after increasing numbers of flows, new and established.
fn print_memory(test_bed: &mut TestBed) {
    let mut placed = test_bed.placed_path();
    for traffic in [TRAFFIC[5], TRAFFIC[1]] {
        test_bed.flow = 0;
        for target in [1_000, 10_000, 100_000, FLOWS] {
            while test_bed.flow + traffic.messages < target {
                test_bed.time_round(&mut placed, traffic);
            }
            println!("{}: {target} flows, {} KB resident", traffic.name, resident_kb());
        }
    }
}

fn benchmark(c: &mut Criterion, test_bed: &mut TestBed) {
    for traffic in TRAFFIC {
        let mut group = c.benchmark_group(traffic.name);
        group.throughput(Throughput::Elements(traffic.datagrams()));
        for (name, mut path) in [("bare", test_bed.bare_path()), ("placed", test_bed.placed_path())]
        {
            group.bench_function(name, |b| {
                b.iter_custom(|rounds| {
                    (0..rounds).map(|_| test_bed.time_round(&mut path, traffic)).sum()
                });
            });
        }
        group.finish();
    }
}

fn main() {
    let mut test_bed = TestBed::new();
    compare(&mut test_bed);
    load::compare();
    print_memory(&mut test_bed);
    let mut criterion = Criterion::default().configure_from_args();
    benchmark(&mut criterion, &mut test_bed);
    criterion.final_summary();
}
