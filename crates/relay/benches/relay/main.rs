//! The packet path against a bare relay that hands on what it receives without looking at it.
//!
//! Each round sends a burst into the relay's socket, lets the relay take and send all of it (only this is timed) and
//! empties the agents' sockets. Both relays take turns within one run, of which the medians are printed.
//! Figures are nanoseconds of one core per datagram, system calls and the delivery over loopback included.

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
    outcome::Tally,
    relay::{Relay, Shared},
    socket::Socket,
};
use criterion::{Criterion, Throughput};
use quinn_udp::{BATCH_SIZE, RecvMeta, Transmit};
use tokio::runtime::{Builder, Runtime};

use crate::paths::{AGENTS, Bare, FLOWS, Path, TRAFFIC, Traffic, address, buffers, open};

const CALLERS: usize = 16;
/// Rounds of the comparison, each with both relays.
const ROUNDS: usize = 4_000;

/// Callers, a socket to relay from, and agents, all in one thread.
struct Rig {
    runtime: Runtime,
    callers: Vec<Socket>,
    agents: Vec<Socket>,
    service: Socket,
    address: SocketAddr,
    shared: Arc<Shared>,
    sink: Vec<Box<[u8]>>,
    flow: usize,
}

impl Rig {
    fn new() -> Rig {
        let runtime = Builder::new_current_thread().enable_io().build().expect("a runtime");
        let guard = runtime.enter();
        let callers = (0..CALLERS).map(|_| open()).collect();
        let agents: Vec<Socket> = (0..AGENTS).map(|_| open()).collect();
        let service = open();
        let address_ = address(&service);
        let data: Vec<SocketAddr> = agents.iter().map(address).collect();
        let placer = Placer::new(&common::snapshot(address_, &data), None, 0);
        let placer = ArcSwap::from_pointee(placer);
        let shared = Arc::new(Shared { placer, tally: Tally::default() });
        drop(guard);
        let sink = buffers();
        Rig { runtime, callers, agents, service, address: address_, shared, sink, flow: 0 }
    }

    fn bare(&self) -> Path {
        let _guard = self.runtime.enter();
        let agents = self.agents.iter().map(address).collect();
        Path::Bare(Bare::new(open(), agents))
    }

    fn placed(&self) -> Path {
        let _guard = self.runtime.enter();
        Path::Placed(Relay::new(open(), Arc::clone(&self.shared)))
    }

    fn burst(&mut self, traffic: Traffic) {
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
            caller.send(&transmit).expect("callers send");
        }
    }

    /// Sends a burst and returns the time that relaying it took.
    fn round(&mut self, path: &mut Path, traffic: Traffic) -> Duration {
        self.burst(traffic);
        let (service, address) = (&self.service, self.address);
        let time = self.runtime.block_on(async {
            service.readable().await.expect("there is something to read");
            let started = Instant::now();
            while path.turn(address, service) {}
            started.elapsed()
        });
        let got = self.drain();
        assert_eq!(got, traffic.datagrams(), "{traffic:?}: datagrams were lost");
        time
    }

    fn drain(&mut self) -> u64 {
        let Rig { runtime, agents, sink, .. } = self;
        let mut got = 0;
        for agent in agents.iter() {
            loop {
                let mut metas = [RecvMeta::default(); BATCH_SIZE];
                let mut slices: Vec<IoSliceMut<'_>> =
                    sink.iter_mut().map(|it| IoSliceMut::new(it)).collect();
                let recv = async {
                    // Lets the runtime see what has arrived.
                    tokio::task::yield_now().await;
                    agent.recv(&mut slices, &mut metas)
                };
                let Ok(count) = runtime.block_on(recv) else {
                    break;
                };
                got +=
                    metas[..count].iter().map(|it| it.len.div_ceil(it.stride) as u64).sum::<u64>();
            }
        }
        got
    }
}

fn median(mut it: Vec<f64>) -> f64 {
    it.sort_by(f64::total_cmp);
    it[it.len() / 2]
}

/// Both relays in turn; prints the ratio of their rates.
fn compare(rig: &mut Rig) {
    println!("traffic  bare ns/datagram  placed ns/datagram  rate against bare");
    for traffic in TRAFFIC {
        let (mut bare, mut placed) = (rig.bare(), rig.placed());
        let (mut bares, mut placeds) = (Vec::new(), Vec::new());
        for _ in 0..ROUNDS {
            let each = |it: Duration| it.as_nanos() as f64 / traffic.datagrams() as f64;
            bares.push(each(rig.round(&mut bare, traffic)));
            placeds.push(each(rig.round(&mut placed, traffic)));
        }
        let (bare, placed) = (median(bares), median(placeds));
        println!("{:<8} {bare:>16.0} {placed:>19.0} {:>18.2}", traffic.name, bare / placed);
    }
}

fn resident_kb() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|it| it.starts_with("VmRSS:")).unwrap_or_default();
    line.split_whitespace().nth(1).and_then(|it| it.parse().ok()).unwrap_or_default()
}

/// Memory after a thousand flows and after a million, begun and established.
fn memory(rig: &mut Rig) {
    let mut placed = rig.placed();
    for traffic in [TRAFFIC[5], TRAFFIC[1]] {
        rig.flow = 0;
        for target in [1_000, 10_000, 100_000, FLOWS] {
            while rig.flow + traffic.messages < target {
                rig.round(&mut placed, traffic);
            }
            println!("{}: {target} flows, {} KB resident", traffic.name, resident_kb());
        }
    }
}

fn measure(c: &mut Criterion, rig: &mut Rig) {
    for traffic in TRAFFIC {
        let mut group = c.benchmark_group(traffic.name);
        group.throughput(Throughput::Elements(traffic.datagrams()));
        for (name, mut path) in [("bare", rig.bare()), ("placed", rig.placed())] {
            group.bench_function(name, |b| {
                b.iter_custom(|rounds| (0..rounds).map(|_| rig.round(&mut path, traffic)).sum());
            });
        }
        group.finish();
    }
}

fn main() {
    let mut rig = Rig::new();
    compare(&mut rig);
    load::compare();
    memory(&mut rig);
    let mut criterion = Criterion::default().configure_from_args();
    measure(&mut criterion, &mut rig);
    criterion.final_summary();
}
