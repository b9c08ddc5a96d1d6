//! What a run of callers reports.

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};

use super::{
    ask::Kind,
    tally::{Counts, FlowCounts, Latency, Tally},
};

const MAX_SAMPLES: usize = 20;

/// Report of a run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Length of the run in seconds.
    pub seconds: f64,
    /// Requests by outcome.
    pub requests: Counts,
    /// Requests by kind and outcome.
    pub kinds: BTreeMap<Kind, Counts>,
    /// Flows.
    pub flows: FlowCounts,
    /// Latency of all kinds, what a request takes by its nature left out.
    pub latency: Latency,
    /// Latency by kind.
    pub latencies: BTreeMap<Kind, Latency>,
    /// The first broken flows and failed requests.
    pub samples: Vec<String>,
}

impl Report {
    /// The report of a run that took this long.
    pub fn new(tally: &Tally, span: Duration) -> Report {
        let mut samples = Vec::new();
        for incident in tally.incidents().iter().take(MAX_SAMPLES) {
            samples.push(incident.to_string());
        }
        Report {
            seconds: span.as_secs_f64(),
            requests: tally.total(),
            kinds: tally.counts(),
            flows: tally.flows(),
            latency: tally.latency_of_all(),
            latencies: tally.latency(),
            samples,
        }
    }

    /// Whether callers saw nothing that a promise rules out.
    pub fn clean(&self) -> bool {
        self.requests.failed == 0 && self.flows.broken == 0
    }
}
