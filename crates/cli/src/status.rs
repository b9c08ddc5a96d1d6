//! What is in force where, and what the upstreams are doing.

use std::collections::BTreeMap;

use camphorwinch_core::{
    object::{Change, Kind, Object, Target},
    report::{Applied, BalancerStatus, Behind, Report, State, UpstreamStatus, in_force},
};
use serde::{Deserialize as _, Serialize};

use crate::{apply::services, rollout::reports};

/// State of the whole deployment, from the objects in the platform.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Status {
    /// Highest revision in force in every zone.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub in_force: Option<u64>,
    /// The zones that report.
    pub zones: Vec<Zone>,
    /// Configuration objects.
    pub objects: Vec<Configured>,
    /// Services.
    pub services: Vec<ServiceRow>,
    /// Planned changes.
    pub drains: Vec<Drain>,
    /// Upstreams.
    pub upstreams: Vec<UpstreamStatus>,
    /// Balancers.
    pub balancers: Vec<BalancerStatus>,
}

/// A zone's report in short.
#[derive(Clone, Debug, Serialize)]
pub struct Zone {
    /// Name.
    pub zone: String,
    /// Highest revision in force at every process of the zone.
    pub in_force: u64,
    /// Highest revision known there.
    pub known: u64,
    /// Number of processes.
    pub processes: u32,
    /// Processes that lag.
    pub behind: Vec<Behind>,
    /// When the report was made, in milliseconds since 1970.
    pub at_ms: u64,
}

/// A configuration object and how far it is in force.
#[derive(Clone, Debug, Serialize)]
pub struct Configured {
    /// Kind and name.
    pub object: String,
    /// Version.
    pub version: u64,
    /// Zones where it is in force.
    pub zones: Vec<String>,
    /// Whether that is all zones.
    pub everywhere: bool,
    /// When it was in force in the last zone, in milliseconds since 1970, if the reports still say.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub since_ms: Option<u64>,
    /// The longest time from first seen in a zone to in force there, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub took_ms: Option<u64>,
}

/// Sums over the upstreams of a service.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ServiceRow {
    /// Name.
    pub service: String,
    /// Address for callers.
    pub address: String,
    /// Pool of its upstreams.
    pub pool: String,
    /// The sums.
    #[serde(flatten)]
    pub load: Load,
}

/// Sums over upstreams.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Load {
    /// Upstreams.
    pub upstreams: u32,
    /// Those that take new work.
    pub ready: u32,
    /// Those that drain or stop.
    pub draining: u32,
    /// Those not heard of.
    pub down: u32,
    /// Flows.
    pub flows: u64,
    /// Slots in use.
    pub busy: u64,
    /// Slots.
    pub slots: u64,
}

impl Load {
    fn add(&mut self, it: &UpstreamStatus) {
        self.upstreams += 1;
        match it.state {
            State::Ready => self.ready += 1,
            State::Draining | State::Leaving => self.draining += 1,
            State::Down | State::Other => self.down += 1,
        }
        self.flows += u64::from(it.flows);
        self.busy += u64::from(it.busy);
        self.slots += u64::from(it.slots);
    }
}

/// How far a drain has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Progress {
    /// Not yet known to every process or every upstream covered.
    Waiting,
    /// No new work; flows or requests remain.
    Draining,
    /// Nothing remains.
    Done,
    /// The target covers no upstream that is reported.
    Empty,
}

/// A planned change and its progress.
#[derive(Clone, Debug, Serialize)]
pub struct Drain {
    /// Name of the change.
    pub change: String,
    /// What it applies to.
    pub target: Target,
    /// How far it is.
    pub progress: Progress,
    /// The upstreams covered.
    #[serde(flatten)]
    pub load: Load,
}

impl Status {
    /// Works the status out from lists of leases and reports, and of configuration objects.
    pub fn new(states: &[Object], config: &[Object]) -> Status {
        let zones = reports(states);
        let upstreams = upstreams(&zones);
        Status {
            in_force: in_force(&zones),
            zones: zones.values().map(zone).collect(),
            objects: config.iter().map(|it| configured(it, &zones)).collect(),
            services: service_rows(config, &upstreams),
            drains: config.iter().filter_map(|it| drain(it, &zones, &upstreams)).collect(),
            upstreams,
            balancers: zones.into_values().flat_map(|it| it.balancers).collect(),
        }
    }

    /// Keeps one service and its upstreams. False when there is no such service.
    pub fn only(&mut self, service: &str) -> bool {
        self.services.retain(|it| it.service == service);
        let Some(row) = self.services.first() else {
            return false;
        };
        let pool = row.pool.clone();
        self.upstreams.retain(|it| it.pool == pool);
        self.objects.retain(|it| it.object == format!("{}/{service}", Kind::Service));
        self.drains.clear();
        self.balancers.clear();
        true
    }
}

fn zone(it: &Report) -> Zone {
    Zone {
        zone: it.zone.clone(),
        in_force: it.in_force,
        known: it.known,
        processes: it.processes,
        behind: it.behind.clone(),
        at_ms: it.at_ms,
    }
}

/// All upstreams by pool and name; one that several zones report stands as in the freshest report.
fn upstreams(zones: &BTreeMap<String, Report>) -> Vec<UpstreamStatus> {
    let mut found: BTreeMap<(String, String), (u64, UpstreamStatus)> = BTreeMap::new();
    for report in zones.values() {
        for it in &report.upstreams {
            let key = (it.pool.clone(), it.name.clone());
            let newer = found.get(&key).is_none_or(|(at_ms, _)| *at_ms < report.at_ms);
            if newer {
                found.insert(key, (report.at_ms, it.clone()));
            }
        }
    }
    found.into_values().map(|(_, it)| it).collect()
}

fn configured(object: &Object, zones: &BTreeMap<String, Report>) -> Configured {
    let mut names = Vec::new();
    let mut steps = Vec::new();
    for (name, report) in zones {
        if report.in_force < object.version {
            continue;
        }
        names.push(name.clone());
        steps.extend(applied(report, object.version));
    }
    let everywhere = !zones.is_empty() && names.len() == zones.len();
    let complete = everywhere && steps.len() == zones.len();
    let since_ms = steps.iter().map(|it| it.done_ms).max().filter(|_| complete);
    let took_ms = steps.iter().map(|it| it.done_ms.saturating_sub(it.seen_ms)).max();
    Configured {
        object: format!("{}/{}", object.kind, object.name),
        version: object.version,
        zones: names,
        everywhere,
        since_ms,
        took_ms: took_ms.filter(|_| complete),
    }
}

/// The report's entry for a revision, or for the first one after it, which covers it.
///
/// `None` when it is not in force yet, or so old that the report no longer says.
fn applied(report: &Report, revision: u64) -> Option<&Applied> {
    let older = report.changes.iter().any(|it| it.revision < revision);
    let entry = report.changes.iter().filter(|it| it.revision >= revision);
    let entry = entry.min_by_key(|it| it.revision)?;
    (entry.done_ms > 0 && (older || entry.revision == revision)).then_some(entry)
}

fn service_rows(config: &[Object], upstreams: &[UpstreamStatus]) -> Vec<ServiceRow> {
    let mut rows = Vec::new();
    for (name, service) in services(config) {
        let mut load = Load::default();
        for it in upstreams {
            if it.pool == service.pool {
                load.add(it);
            }
        }
        let address = service.address.to_string();
        rows.push(ServiceRow { service: name, address, pool: service.pool, load });
    }
    rows
}

fn drain(
    object: &Object,
    zones: &BTreeMap<String, Report>,
    upstreams: &[UpstreamStatus],
) -> Option<Drain> {
    if Kind::parse(&object.kind) != Some(Kind::Change) {
        return None;
    }
    let change = Change::deserialize(&object.spec).ok()?;
    let mut load = Load::default();
    for it in upstreams {
        if change.target.covers(&it.name, &it.vm, &it.zone) {
            load.add(it);
        }
    }
    let everywhere = in_force(zones).is_some_and(|it| it >= object.version);
    let progress = match load {
        _ if !everywhere || load.ready > 0 => Progress::Waiting,
        Load { upstreams: 0, .. } => Progress::Empty,
        Load { flows: 0, busy: 0, .. } => Progress::Done,
        _ => Progress::Draining,
    };
    Some(Drain { change: object.name.clone(), target: change.target, progress, load })
}
