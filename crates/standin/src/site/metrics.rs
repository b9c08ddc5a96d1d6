//! Reads the metrics that the system's processes export.

use super::{fleet::Fleet, http::Http};

/// Metric with the control traffic of a process.
pub const CONTROL_BYTES: &str = "camphorwinch_control_bytes_total";
/// Metric with the invariants found violated by a process.
pub const INVARIANTS: &str = "camphorwinch_invariant_failures_total";

/// A figure of one process at one time.
#[derive(Clone, Debug, PartialEq)]
pub struct Sample {
    /// Process.
    pub name: String,
    /// Text of its metrics.
    pub text: String,
}

/// Metrics of all running processes of the system, and the names of those that did not answer.
pub async fn read(http: &Http, fleet: &Fleet) -> (Vec<Sample>, Vec<String>) {
    let mut samples = Vec::new();
    let mut silent = Vec::new();
    for (name, member) in fleet.members() {
        if !member.daemon() || member.process.is_none() {
            continue;
        }
        match http.text(member.admin, "/metrics").await {
            Ok(text) => samples.push(Sample { name: name.to_owned(), text }),
            Err(_) => silent.push(name.to_owned()),
        }
    }
    (samples, silent)
}

/// Sum over all labels of a metric; nothing if the text does not have it.
pub fn sum(text: &str, metric: &str) -> Option<f64> {
    let mut sum = None;
    for line in text.lines() {
        let Some(rest) = line.strip_prefix(metric) else { continue };
        if !rest.starts_with(['{', ' ']) {
            continue;
        }
        let Some(value) = rest.rsplit(' ').next().and_then(|it| it.parse::<f64>().ok()) else {
            continue;
        };
        *sum.get_or_insert(0.0) += value;
    }
    sum
}

/// Mean growth of a metric per process, over the processes found in both readings.
pub fn growth(before: &[Sample], after: &[Sample], metric: &str) -> f64 {
    let mut grown = Vec::new();
    for sample in after {
        let Some(old) = before.iter().find(|it| it.name == sample.name) else { continue };
        let old = sum(&old.text, metric).unwrap_or(0.0);
        let new = sum(&sample.text, metric).unwrap_or(0.0);
        // A process that was started anew counts from 0.
        grown.push(if new >= old { new - old } else { new });
    }
    if grown.is_empty() {
        return 0.0;
    }
    grown.iter().sum::<f64>() / grown.len() as f64
}
