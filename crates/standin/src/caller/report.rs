//! Report of a load run.

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};

use super::{
    request::RequestKind,
    stats::{Counts, FlowCounts, Latency, LoadStats},
};

const MAX_SAMPLES: usize = 20;

/// Report of a load run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Length of the run in seconds.
    pub seconds: f64,
    /// Requests by outcome.
    pub requests: Counts,
    /// Requests by kind and outcome.
    pub kinds: BTreeMap<RequestKind, Counts>,
    /// Counts of flows.
    pub flows: FlowCounts,
    /// Latency over all kinds, without the expected duration of each request.
    pub latency: Latency,
    /// Latency by kind, without the expected duration of each request.
    pub latencies: BTreeMap<RequestKind, Latency>,
    /// First broken flows and failed requests.
    pub samples: Vec<String>,
}

impl Report {
    /// Creates the report of a run of this length.
    pub fn new(stats: &LoadStats, duration: Duration) -> Report {
        let mut samples = Vec::new();
        for incident in stats.incidents().iter().take(MAX_SAMPLES) {
            samples.push(incident.to_string());
        }
        Report {
            seconds: duration.as_secs_f64(),
            requests: stats.total(),
            kinds: stats.counts_by_kind(),
            flows: stats.flows(),
            latency: stats.overall_latency(),
            latencies: stats.latency_by_kind(),
            samples,
        }
    }

    /// Whether no flow broke and no request failed.
    pub fn passed(&self) -> bool {
        self.requests.failed == 0 && self.flows.broken == 0
    }
}
