//! Cost of the core crate alone, at sizes that a fleet on one machine cannot reach.

use std::{
    hint::black_box,
    net::{IpAddr, Ipv4Addr, SocketAddr},
};

use anyhow::Context;
use camphorwinch_core::{
    assemble::Assembler,
    member::{Agent, AgentState, Balancer, BalancerState, Place},
    object::{Keys, Kind, Object},
    place::{MIN_INITIAL, Placer},
    record::{Member, Record, Role, Version},
    report::{MemberState, Report, UpstreamStatus},
    snapshot::Snapshot,
    view::{Scope, View},
};
use camphorwinch_wire::message::{Body, Frame, RecordPart, Update};
use nix::time::{ClockId, clock_gettime};
use prost::Message;
use rand::{SeedableRng, rngs::StdRng};
use serde_json::json;

use super::{
    series::{Series, Source},
    usage::Usage,
};
use crate::site::{objects, pki::Authority};

const MEMBERS: [usize; 6] = [500, 1_000, 2_000, 4_000, 6_000, 8_000];
const SERVICES: [usize; 6] = [40, 80, 160, 320, 640, 800];
const AGENTS_PER_POOL: usize = 9;
const ZONES: usize = 6;
const BATCHES: usize = 7;
const MIN_BATCH_NS: u64 = 20_000_000;
const QUICK_BATCHES: usize = 3;
const NOW_MS: u64 = 1_790_000_000_000;
const COPIES: usize = 4;
const MEMBERS_PER_BALANCER: usize = 12;

/// Measures all series of the core crate.
pub fn measure(quick: bool) -> anyhow::Result<Vec<Series>> {
    let batches = if quick { QUICK_BATCHES } else { BATCHES };
    let config = Config::new()?;
    // First, because later measurements reuse memory that was freed before.
    let mut series = memory(&config)?;
    series.extend(by_members(&config, batches)?);
    series.extend(by_services(&config, batches)?);
    series.push(report_bytes()?);
    series.push(record_bytes());
    Ok(series)
}

fn core_series(
    id: &'static str,
    what: &'static str,
    unit: &'static str,
    axis: &'static str,
) -> Series {
    Series::new(id, what, unit, axis, Source::Decisions)
}

/// Objects shared by all sizes.
struct Config {
    certificate: serde_json::Value,
    keys: Keys,
}

impl Config {
    fn new() -> anyhow::Result<Config> {
        let leaf = Authority::new("sizes")?.leaf("service-0", &[])?;
        let certificate = serde_json::to_value(objects::certificate(&leaf))
            .context("failed to serialize a certificate")?;
        Ok(Config { certificate, keys: objects::new_keys(&mut StdRng::seed_from_u64(1)) })
    }

    /// Builds a view with these numbers of services and members; one member in twelve is a balancer.
    fn view(&self, services: usize, members: usize) -> anyhow::Result<View> {
        let mut view = View::new();
        let mut version = 1;
        let keys = serde_json::to_value(&self.keys).context("failed to serialize the keys")?;
        view.merge(&object(Kind::Keys, "fleet", version, keys), NOW_MS);
        for i in 0..services {
            version += 2;
            let name = format!("service-{i}");
            let certificate = self.certificate.clone();
            view.merge(&object(Kind::Certificate, &name, version - 1, certificate), NOW_MS);
            view.merge(&object(Kind::Service, &name, version, service(i)), NOW_MS);
        }
        for i in 0..members {
            view.merge(&Record::Member(member(i, services, 1)), NOW_MS);
        }
        view.confirm_revision(version);
        Ok(view)
    }
}

fn service(i: usize) -> serde_json::Value {
    let address = SocketAddr::new(ip(1, i), 443);
    json!({ "address": address.to_string(), "pool": format!("pool-{i}"), "certificate": format!("service-{i}") })
}

fn object(kind: Kind, name: &str, version: u64, spec: serde_json::Value) -> Record {
    let object = Object {
        kind: kind.as_str().to_owned(),
        name: name.to_owned(),
        version,
        writer: objects::new_writer_id(),
        spec,
    };
    Record::Object { kind, object }
}

fn member(i: usize, services: usize, seq: u64) -> Member {
    let zone = i % ZONES;
    let place = Place {
        vm: format!("vm-{i}"),
        zone: format!("zone-{zone}"),
        region: format!("region-{}", zone % 2),
    };
    let control = SocketAddr::new(ip(2, i), 7_000);
    let role = if i.is_multiple_of(MEMBERS_PER_BALANCER) {
        let balancer =
            Balancer { name: format!("entry-{i}"), place, control, state: BalancerState::Ready };
        Role::Balancer { balancer, lease: None }
    } else {
        let agent = Agent {
            name: format!("agent-{i}"),
            place,
            pool: format!("pool-{}", (i / AGENTS_PER_POOL) % services.max(1)),
            data: SocketAddr::new(ip(2, i), 7_001),
            control,
            weight: 1.0,
            slots: 7,
            connections: 2_000,
            state: AgentState::Ready,
        };
        Role::Agent { agent, balancers: vec!["entry-0".to_owned(), "entry-12".to_owned()] }
    };
    Member { version: Version::member(NOW_MS, seq), since_ms: NOW_MS, role }
}

/// Record of a simulated agent, homed at one balancer.
pub fn simulated_agent(i: usize, zone: usize, home: &str) -> Member {
    let place = Place {
        vm: format!("vm-made-{i}"),
        zone: format!("zone-{zone}"),
        region: format!("region-{}", zone % 2),
    };
    let agent = Agent {
        name: format!("made-{i}"),
        place,
        pool: format!("pool-{}", i / AGENTS_PER_POOL),
        data: SocketAddr::new(ip(3, i), 7_001),
        control: SocketAddr::new(ip(3, i), 7_000),
        weight: 1.0,
        slots: 7,
        connections: 2_000,
        state: AgentState::Ready,
    };
    let role = Role::Agent { agent, balancers: vec![home.to_owned()] };
    Member { version: Version::member(NOW_MS, 1), since_ms: NOW_MS, role }
}

fn ip(block: u8, i: usize) -> IpAddr {
    let [_, _, high, low] = (i as u32).to_be_bytes();
    IpAddr::V4(Ipv4Addr::new(10, block, high, low))
}

fn by_members(config: &Config, batches: usize) -> anyhow::Result<Vec<Series>> {
    const AXIS: &str = "members";
    let mut merge =
        core_series("merge", "merge of a member's announcement into the view", "us", AXIS);
    let mut digest = core_series("digest", "digest of the view for a peer", "us", AXIS);
    let mut summary =
        core_series("summary", "answer to the digest of a peer that holds the same", "us", AXIS);
    let mut snapshot =
        core_series("snapshot", "snapshot after one change, 680 services", "us", AXIS);
    let mut placer =
        core_series("placer", "placing tables after one change, 680 services", "us", AXIS);
    let mut tables = core_series("tables", "placing tables, 680 services", "MiB", AXIS);
    let mut place =
        core_series("place", "placing the first packet of a flow, 680 services", "us", AXIS);
    for size in MEMBERS {
        let mut view = config.view(680, size)?;
        let mut seq = 1;
        let cost = cpu_us(batches, || {
            seq += 1;
            view.merge(&Record::Member(member(1, 680, seq)), NOW_MS)
        })?;
        merge.push(size as f64, cost);
        digest.push(size as f64, cpu_us(batches, || view.digest(&Scope::All))?);
        let peer_digest = view.digest(&Scope::All);
        summary.push(size as f64, cpu_us(batches, || view.summary(&Scope::All, &peer_digest))?);
        let mut assembler = Assembler::new();
        let (before, faults) = assembler.snapshot(&view);
        anyhow::ensure!(faults.is_empty(), "failed to build a snapshot: {faults:?}");
        snapshot.push(size as f64, cpu_us(batches, || assembler.snapshot(&view))?);
        let previous = Placer::new(&before, None, NOW_MS);
        view.merge(&Record::Member(member(2, 680, 2).as_down(NOW_MS)), NOW_MS);
        let (after, _) = assembler.snapshot(&view);
        let update = cpu_us(batches, || Placer::new(&after, Some(&previous), NOW_MS))?;
        placer.push(size as f64, update);
        tables.push(size as f64, previous.table_bytes() as f64 / (1024.0 * 1024.0));
        place.push(size as f64, place_cost_us(&previous, batches)?);
    }
    Ok(vec![merge, digest, summary, snapshot, placer, tables, place])
}

fn place_cost_us(placer: &Placer, batches: usize) -> anyhow::Result<f64> {
    let listener =
        placer.listeners().values().next().context("failed to place a packet: no service")?;
    let mut datagram = vec![0; MIN_INITIAL];
    datagram[..6].copy_from_slice(&[0xc0, 0, 0, 0, 1, 8]);
    let mut caller = 0u32;
    cpu_us(batches, || {
        caller = caller.wrapping_add(1);
        datagram[6..10].copy_from_slice(&caller.to_be_bytes());
        let from = SocketAddr::new(IpAddr::V4(Ipv4Addr::from(caller)), 4_000);
        placer.place(listener, from, &datagram)
    })
}

fn by_services(config: &Config, batches: usize) -> anyhow::Result<Vec<Series>> {
    const AXIS: &str = "services";
    let mut mark =
        core_series("mark", "statement of how complete the configuration is", "us", AXIS);
    let mut snapshot =
        core_series("snapshot-services", "snapshot after one change, 6,420 members", "us", AXIS);
    let mut placer = core_series(
        "placer-services",
        "placing tables after one change, 6,420 members",
        "us",
        AXIS,
    );
    for size in SERVICES {
        let view = config.view(size, 6_420)?;
        mark.push(size as f64, cpu_us(batches, || view.watermark())?);
        let mut assembler = Assembler::new();
        let (before, _) = assembler.snapshot(&view);
        snapshot.push(size as f64, cpu_us(batches, || assembler.snapshot(&view))?);
        let previous = Placer::new(&before, None, NOW_MS);
        placer
            .push(size as f64, cpu_us(batches, || Placer::new(&before, Some(&previous), NOW_MS))?);
    }
    Ok(vec![mark, snapshot, placer])
}

/// Measures memory as the growth of this process over several copies, all kept until the end.
fn memory(config: &Config) -> anyhow::Result<Vec<Series>> {
    let mut kept = Vec::new();
    let mut members =
        core_series("view-memory", "view and snapshot, no services", "MiB", "members");
    for size in MEMBERS {
        members.push(size as f64, memory_growth_mib(config, 0, size, &mut kept)?);
    }
    let mut services =
        core_series("config-memory", "view and snapshot, no members", "MiB", "services");
    for size in SERVICES {
        services.push(size as f64, memory_growth_mib(config, size, 0, &mut kept)?);
    }
    Ok(vec![members, services])
}

type Kept = (View, Assembler, Snapshot);

fn memory_growth_mib(
    config: &Config,
    services: usize,
    members: usize,
    kept: &mut Vec<Kept>,
) -> anyhow::Result<f64> {
    let before = Usage::read(std::process::id())?.anon_mib;
    for _ in 0..COPIES {
        let view = config.view(services, members)?;
        let mut assembler = Assembler::new();
        let snapshot = assembler.snapshot(&view).0;
        kept.push((view, assembler, snapshot));
    }
    let after = Usage::read(std::process::id())?.anon_mib;
    black_box(kept);
    Ok((after - before) / COPIES as f64)
}

fn report_bytes() -> anyhow::Result<Series> {
    let mut bytes =
        core_series("report", "whole report of a zone", "bytes", "upstreams of the zone");
    for size in [60, 120, 250, 500, 1_000] {
        let mut report = Report { zone: "zone-0".to_owned(), at_ms: NOW_MS, ..Report::default() };
        for i in 0..size {
            report.upstreams.push(UpstreamStatus {
                name: format!("agent-{i}"),
                pool: format!("pool-{}", i / AGENTS_PER_POOL),
                vm: format!("vm-{i}"),
                zone: "zone-0".to_owned(),
                state: MemberState::Ready,
                flows: 1_542,
                busy: 5,
                slots: 7,
                since_ms: NOW_MS,
                epochs: vec![1],
            });
        }
        let text = serde_json::to_vec(&report).context("failed to serialize a report")?;
        bytes.push(size as f64, text.len() as f64);
    }
    Ok(bytes)
}

fn record_bytes() -> Series {
    let mut bytes = core_series("record", "message with members", "bytes", "members");
    for size in [1, 2, 5, 10, 20] {
        let part = |i| RecordPart::from(&Record::Member(member(i, 680, 1)));
        let records = (1..=size).map(part).collect();
        let update = Update { records, ..Update::default() };
        bytes.push(size as f64, Frame::new(Body::Update(update)).encoded_len() as f64);
    }
    bytes
}

/// CPU time of one call in microseconds: the minimum over several batches, to exclude interference.
fn cpu_us<F, T>(batches: usize, mut call: F) -> anyhow::Result<f64>
where
    F: FnMut() -> T,
{
    let mut calls = 1u64;
    let mut best = f64::INFINITY;
    let mut done = 0;
    while done < batches {
        let start = thread_cpu_ns()?;
        for _ in 0..calls {
            black_box(call());
        }
        let spent = thread_cpu_ns()? - start;
        if spent < MIN_BATCH_NS {
            let scale = (MIN_BATCH_NS / spent.max(1) + 1).clamp(2, 16);
            calls *= scale;
            continue;
        }
        best = best.min(spent as f64 / calls as f64 / 1_000.0);
        done += 1;
    }
    Ok(best)
}

fn thread_cpu_ns() -> anyhow::Result<u64> {
    let time = clock_gettime(ClockId::CLOCK_THREAD_CPUTIME_ID)
        .context("failed to read the CPU time of this thread")?;
    Ok(time.tv_sec() as u64 * 1_000_000_000 + time.tv_nsec() as u64)
}
