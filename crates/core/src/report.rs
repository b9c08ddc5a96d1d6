//! What the holders of leases report about their zones.
//!
//! A lease and the brief report of its zone are one object, so that a write by a former holder fails on its version.
//! The lease is written and read often, so what grows with the zone is kept out of it: the whole report, with a line
//! for each upstream, is an object of its own, which the holder writes more rarely the larger it is.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Prefix of the names of lease objects.
pub const LEASE_PREFIX: &str = "seed-";

/// Most names of lagging processes in a brief report.
pub const BRIEF_BEHIND: usize = 32;

/// Most revisions in a brief report, the newest ones.
pub const BRIEF_CHANGES: usize = 16;

/// Spec of a lease object.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Lease {
    /// Name of the balancer that holds it.
    pub holder: String,
    /// Control address of the holder, as `IP:PORT`.
    pub control: String,
    /// When the holder took it, in milliseconds since 1970.
    #[serde(rename = "taken_at_ms")]
    pub taken_ms: u64,
    /// The holder's newest report in brief, absent until it has one.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub report: Option<Report>,
}

impl Lease {
    /// Name of the lease object with number `n` of a zone.
    pub fn name(zone: &str, n: u8) -> String {
        format!("{LEASE_PREFIX}{zone}-{n}")
    }
}

/// State of one availability zone.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Report {
    /// The zone.
    pub zone: String,
    /// When the report was made, in milliseconds since 1970.
    pub at_ms: u64,
    /// Highest revision that is in force at every process of the zone.
    pub in_force: u64,
    /// Highest revision that the reporting process knows.
    pub known: u64,
    /// Number of the zone's processes.
    pub processes: u32,
    /// Number of processes that lag behind `known`.
    pub lagging: u32,
    /// Processes that lag behind `known`; the first ones only in a brief report.
    pub behind: Vec<Behind>,
    /// Newest revisions, with the times that they took.
    pub changes: Vec<Applied>,
    /// Upstreams in the zone.
    pub upstreams: Vec<UpstreamStatus>,
    /// Balancers in the zone.
    pub balancers: Vec<BalancerStatus>,
}

impl Report {
    /// The report without what grows with the zone.
    pub fn brief(&self) -> Report {
        let mut it = Report { upstreams: Vec::new(), balancers: Vec::new(), ..self.clone() };
        it.behind.truncate(BRIEF_BEHIND);
        it.changes.drain(..it.changes.len().saturating_sub(BRIEF_CHANGES));
        it
    }

    /// This brief report with the upstreams and balancers of a whole one.
    pub fn with_members(self, whole: Report) -> Report {
        Report { upstreams: whole.upstreams, balancers: whole.balancers, ..self }
    }
}

/// A process that lags behind.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Behind {
    /// Name of the process.
    pub name: String,
    /// Revision in force there.
    pub in_force: u64,
}

/// How long a revision took to be in force in a zone.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Applied {
    /// The revision.
    pub revision: u64,
    /// When the zone first saw it, in milliseconds since 1970.
    pub seen_ms: u64,
    /// When it was in force at every process of the zone, in milliseconds since 1970.
    #[serde(rename = "in_force_ms")]
    pub done_ms: u64,
}

/// What an upstream or a balancer is doing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// Takes new work.
    Ready,
    /// Takes no new work because a planned change says so; what is in progress finishes.
    Draining,
    /// Stops: takes no new work and ends when what is in progress has finished.
    Leaving,
    /// Not heard of within the timeout.
    #[default]
    Down,
    /// A state that this version does not know.
    #[serde(other)]
    Other,
}

impl State {
    /// The state's name in a report.
    pub fn as_str(self) -> &'static str {
        match self {
            State::Ready => "ready",
            State::Draining => "draining",
            State::Leaving => "leaving",
            State::Down => "down",
            State::Other => "other",
        }
    }
}

/// State of one upstream.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct UpstreamStatus {
    /// Name of its agent.
    pub name: String,
    /// Pool that it serves.
    pub pool: String,
    /// VM that it runs on.
    pub vm: String,
    /// Availability zone of the VM.
    pub zone: String,
    /// What it is doing.
    pub state: State,
    /// Flows that it holds.
    pub flows: u32,
    /// Slots in use.
    pub busy: u32,
    /// Slots that it has.
    pub slots: u32,
    /// Since when it is in this state, in milliseconds since 1970.
    pub since_ms: u64,
    /// Key epochs that seal the connection IDs of its flows; empty when it has none or does not know.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub epochs: Vec<u8>,
}

/// State of one balancer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct BalancerStatus {
    /// Its name.
    pub name: String,
    /// VM that it runs on.
    pub vm: String,
    /// Availability zone of the VM.
    pub zone: String,
    /// What it is doing.
    pub state: State,
    /// Revision in force there.
    pub in_force: u64,
}

/// Keeps the freshest report of each zone.
pub fn freshest<I>(reports: I) -> BTreeMap<String, Report>
where
    I: IntoIterator<Item = Report>,
{
    let mut zones: BTreeMap<String, Report> = BTreeMap::new();
    for report in reports {
        let newer = zones.get(&report.zone).is_none_or(|it| it.at_ms < report.at_ms);
        if newer {
            zones.insert(report.zone.clone(), report);
        }
    }
    zones
}

/// Highest revision that is in force in every zone; `None` without a report.
pub fn in_force(zones: &BTreeMap<String, Report>) -> Option<u64> {
    zones.values().map(|it| it.in_force).min()
}
