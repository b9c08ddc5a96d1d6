//! Zone reports, written by the holders of leases.
//!
//! A lease and the summary of its zone are one object, so that a write by a former holder fails its version check.
//! The lease is read and written often, so data that grows with the zone is kept in a separate object. The holder
//! writes this full report less often the larger it is.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Prefix of the names of lease objects.
pub const LEASE_PREFIX: &str = "seed-";

/// Maximum number of lagging processes in a summary.
pub const MAX_SUMMARY_LAGGING: usize = 32;

/// Maximum number of revisions in a summary; the newest are kept.
pub const MAX_SUMMARY_CHANGES: usize = 16;

/// Spec of a lease object.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Lease {
    /// Name of the balancer that holds the lease.
    pub holder: String,
    /// Control address of the holder, as `IP:PORT`.
    pub control: String,
    /// When the holder acquired the lease, in milliseconds since 1970.
    #[serde(rename = "taken_at_ms")]
    pub taken_ms: u64,
    /// The holder's latest summary, if any.
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
    /// Highest revision known to the reporting process.
    pub known: u64,
    /// Number of processes in the zone.
    pub processes: u32,
    /// Number of processes whose revision is lower than `known`.
    pub lagging: u32,
    /// Processes whose revision is lower than `known`; truncated in a summary.
    pub behind: Vec<LaggingProcess>,
    /// Latest revisions with their rollout times.
    pub changes: Vec<RevisionTiming>,
    /// Upstreams in the zone.
    pub upstreams: Vec<UpstreamStatus>,
    /// Balancers in the zone.
    pub balancers: Vec<BalancerStatus>,
}

impl Report {
    /// Returns the report without the parts that grow with the zone.
    pub fn summary(&self) -> Report {
        let mut it = Report { upstreams: Vec::new(), balancers: Vec::new(), ..self.clone() };
        it.behind.truncate(MAX_SUMMARY_LAGGING);
        it.changes.drain(..it.changes.len().saturating_sub(MAX_SUMMARY_CHANGES));
        it
    }

    /// Returns this summary with the upstreams and balancers of a full one.
    pub fn with_full_report_members(self, full: Report) -> Report {
        Report { upstreams: full.upstreams, balancers: full.balancers, ..self }
    }
}

/// A process whose revision is lower than the latest known one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct LaggingProcess {
    /// Name of the process.
    pub name: String,
    /// Revision in force at the process.
    pub in_force: u64,
}

/// Rollout time of a revision in a zone.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct RevisionTiming {
    /// The revision.
    pub revision: u64,
    /// When the zone first saw it, in milliseconds since 1970.
    pub seen_ms: u64,
    /// When it became in force at every process of the zone, in milliseconds since 1970.
    pub in_force_ms: u64,
}

/// State of an upstream or a balancer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MemberState {
    /// Accepts new work.
    Ready,
    /// Accepts no new work because of a planned change; work in progress finishes.
    Draining,
    /// Shutting down: accepts no new work and exits when work in progress has finished.
    Leaving,
    /// Unreachable for longer than the timeout.
    #[default]
    Down,
    /// A state unknown to this version.
    #[serde(other)]
    Other,
}

impl MemberState {
    /// Name of the state in a report.
    pub fn as_str(self) -> &'static str {
        match self {
            MemberState::Ready => "ready",
            MemberState::Draining => "draining",
            MemberState::Leaving => "leaving",
            MemberState::Down => "down",
            MemberState::Other => "other",
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
    pub state: MemberState,
    /// Number of open flows.
    pub flows: u32,
    /// Number of slots in use.
    pub busy: u32,
    /// Number of slots.
    pub slots: u32,
    /// When it entered this state, in milliseconds since 1970.
    pub since_ms: u64,
    /// Key epochs of the connection IDs of its flows; empty if it has none or they are unknown.
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
    pub state: MemberState,
    /// Revision in force there.
    pub in_force: u64,
}

/// Returns the latest report of each zone.
pub fn latest_by_zone<I>(reports: I) -> BTreeMap<String, Report>
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

/// Highest revision that is in force in every zone; `None` without reports.
pub fn in_force_in_all_zones(zones: &BTreeMap<String, Report>) -> Option<u64> {
    zones.values().map(|it| it.in_force).min()
}
