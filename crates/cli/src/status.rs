//! Status of the deployment: configuration in force, load and drains.

use std::collections::BTreeMap;

use camphorwinch_core::{
    object::{Change, Kind, Object, Target},
    report::{
        BalancerStatus, LaggingProcess, MemberState, Report, RevisionTiming, UpstreamStatus,
        in_force_in_all_zones,
    },
};
use serde::{Deserialize as _, Serialize};

use crate::{apply::valid_services, rollout::latest_reports};

/// Status of the deployment.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Status {
    /// Highest revision that is in force in every zone.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub in_force: Option<u64>,
    /// Zones with a report.
    pub zones: Vec<ZoneStatus>,
    /// Configuration objects.
    pub objects: Vec<ObjectStatus>,
    /// Services.
    pub services: Vec<ServiceStatus>,
    /// Drains and their progress.
    pub drains: Vec<DrainStatus>,
    /// Upstreams.
    pub upstreams: Vec<UpstreamStatus>,
    /// Balancers.
    pub balancers: Vec<BalancerStatus>,
}

/// Status of a zone, from its report.
#[derive(Clone, Debug, Serialize)]
pub struct ZoneStatus {
    /// Name.
    pub zone: String,
    /// Highest revision that is in force at every process of the zone.
    pub in_force: u64,
    /// Highest revision that the reporting process has received.
    pub known: u64,
    /// Number of processes.
    pub processes: u32,
    /// Processes that lag behind `known`.
    pub behind: Vec<LaggingProcess>,
    /// Time of the report, in milliseconds since the Unix epoch.
    pub at_ms: u64,
}

/// Rollout status of a configuration object.
#[derive(Clone, Debug, Serialize)]
pub struct ObjectStatus {
    /// Kind and name.
    pub object: String,
    /// Stored version.
    pub version: u64,
    /// Zones where the version is in force.
    pub zones: Vec<String>,
    /// Whether the version is in force in every zone.
    pub everywhere: bool,
    /// When the last zone had it in force, in milliseconds since the Unix epoch, if the reports still contain it.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub since_ms: Option<u64>,
    /// Longest time in a zone from first seen to in force, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub took_ms: Option<u64>,
}

/// Status of a service.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ServiceStatus {
    /// Name.
    pub service: String,
    /// Address that callers connect to.
    pub address: String,
    /// Pool of the upstreams.
    pub pool: String,
    /// Totals of the upstreams.
    #[serde(flatten)]
    pub load: LoadTotals,
}

/// Load totals of a set of upstreams.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct LoadTotals {
    /// Number of upstreams.
    pub upstreams: u32,
    /// Upstreams that accept new work.
    pub ready: u32,
    /// Upstreams that drain or shut down.
    pub draining: u32,
    /// Upstreams that are down or in an unrecognized state.
    pub down: u32,
    /// Number of flows.
    pub flows: u64,
    /// Number of slots in use.
    pub busy: u64,
    /// Number of slots.
    pub slots: u64,
}

impl LoadTotals {
    fn add(&mut self, it: &UpstreamStatus) {
        self.upstreams += 1;
        match it.state {
            MemberState::Ready => self.ready += 1,
            MemberState::Draining | MemberState::Leaving => self.draining += 1,
            MemberState::Down | MemberState::Other => self.down += 1,
        }
        self.flows += u64::from(it.flows);
        self.busy += u64::from(it.busy);
        self.slots += u64::from(it.slots);
    }
}

/// Progress of a drain.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum DrainProgress {
    /// Not yet in force at every process, or an upstream still accepts new work.
    Waiting,
    /// No new work is accepted; flows or requests remain.
    Draining,
    /// No flows or requests remain.
    Done,
    /// The target matches no reported upstream.
    Empty,
}

/// Status of a drain.
#[derive(Clone, Debug, Serialize)]
pub struct DrainStatus {
    /// Name of the change object.
    pub change: String,
    /// Target of the drain.
    pub target: Target,
    /// Progress of the drain.
    pub progress: DrainProgress,
    /// Totals of the upstreams that the target matches.
    #[serde(flatten)]
    pub load: LoadTotals,
}

impl Status {
    /// Computes the status from lease and report objects, and from configuration objects.
    pub fn new(states: &[Object], config: &[Object]) -> Status {
        let zones = latest_reports(states);
        let upstreams = latest_upstreams(&zones);
        Status {
            in_force: in_force_in_all_zones(&zones),
            zones: zones.values().map(zone_status).collect(),
            objects: config.iter().map(|it| object_status(it, &zones)).collect(),
            services: service_statuses(config, &upstreams),
            drains: config.iter().filter_map(|it| drain_status(it, &zones, &upstreams)).collect(),
            upstreams,
            balancers: zones.into_values().flat_map(|it| it.balancers).collect(),
        }
    }

    /// Keeps only one service, its object and its upstreams. Returns false if the service does not exist.
    pub fn retain_service(&mut self, service: &str) -> bool {
        self.services.retain(|it| it.service == service);
        let Some(status) = self.services.first() else {
            return false;
        };
        let pool = status.pool.clone();
        self.upstreams.retain(|it| it.pool == pool);
        self.objects.retain(|it| it.object == format!("{}/{service}", Kind::Service));
        self.drains.clear();
        self.balancers.clear();
        true
    }
}

fn zone_status(it: &Report) -> ZoneStatus {
    ZoneStatus {
        zone: it.zone.clone(),
        in_force: it.in_force,
        known: it.known,
        processes: it.processes,
        behind: it.behind.clone(),
        at_ms: it.at_ms,
    }
}

/// All upstreams by pool and name. If several zones report an upstream, the latest report wins.
fn latest_upstreams(zones: &BTreeMap<String, Report>) -> Vec<UpstreamStatus> {
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

fn object_status(object: &Object, zones: &BTreeMap<String, Report>) -> ObjectStatus {
    let mut names = Vec::new();
    let mut entries = Vec::new();
    for (name, report) in zones {
        if report.in_force < object.version {
            continue;
        }
        names.push(name.clone());
        entries.extend(rollout_entry(report, object.version));
    }
    let everywhere = !zones.is_empty() && names.len() == zones.len();
    let complete = everywhere && entries.len() == zones.len();
    let since_ms = entries.iter().map(|it| it.in_force_ms).max().filter(|_| complete);
    let took_ms = entries.iter().map(|it| it.in_force_ms.saturating_sub(it.seen_ms)).max();
    ObjectStatus {
        object: format!("{}/{}", object.kind, object.name),
        version: object.version,
        zones: names,
        everywhere,
        since_ms,
        took_ms: took_ms.filter(|_| complete),
    }
}

/// Entry of the report for a revision, or for the first later one, which includes it.
///
/// `None` if the revision is not in force yet, or is older than the entries of the report.
fn rollout_entry(report: &Report, revision: u64) -> Option<&RevisionTiming> {
    let older = report.changes.iter().any(|it| it.revision < revision);
    let entry = report.changes.iter().filter(|it| it.revision >= revision);
    let entry = entry.min_by_key(|it| it.revision)?;
    (entry.in_force_ms > 0 && (older || entry.revision == revision)).then_some(entry)
}

fn service_statuses(config: &[Object], upstreams: &[UpstreamStatus]) -> Vec<ServiceStatus> {
    let mut statuses = Vec::new();
    for (name, service) in valid_services(config) {
        let mut load = LoadTotals::default();
        for it in upstreams {
            if it.pool == service.pool {
                load.add(it);
            }
        }
        let address = service.address.to_string();
        statuses.push(ServiceStatus { service: name, address, pool: service.pool, load });
    }
    statuses
}

fn drain_status(
    object: &Object,
    zones: &BTreeMap<String, Report>,
    upstreams: &[UpstreamStatus],
) -> Option<DrainStatus> {
    if Kind::parse(&object.kind) != Some(Kind::Change) {
        return None;
    }
    let change = Change::deserialize(&object.spec).ok()?;
    let mut load = LoadTotals::default();
    for it in upstreams {
        if change.target.matches(&it.name, &it.vm, &it.zone) {
            load.add(it);
        }
    }
    let everywhere = in_force_in_all_zones(zones).is_some_and(|it| it >= object.version);
    let progress = match load {
        _ if !everywhere || load.ready > 0 => DrainProgress::Waiting,
        LoadTotals { upstreams: 0, .. } => DrainProgress::Empty,
        LoadTotals { flows: 0, busy: 0, .. } => DrainProgress::Done,
        _ => DrainProgress::Draining,
    };
    Some(DrainStatus { change: object.name.clone(), target: change.target, progress, load })
}
