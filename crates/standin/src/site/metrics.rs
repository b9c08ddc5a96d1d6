//! Reads metrics exported by the daemons.

use super::{fleet::Fleet, http::HttpClient};

/// Metric with the control traffic of a process in bytes.
pub const CONTROL_BYTES: &str = "camphorwinch_control_bytes_total";
/// Metric with the number of invariant violations of a process.
pub const INVARIANTS: &str = "camphorwinch_invariant_failures_total";

/// Metrics of one process at one time.
#[derive(Clone, Debug, PartialEq)]
pub struct ProcessMetrics {
    /// Name of the process.
    pub name: String,
    /// Metrics in text format.
    pub text: String,
}

/// Metrics of all running daemons, and the names of those that did not respond.
pub async fn read(http: &HttpClient, fleet: &Fleet) -> (Vec<ProcessMetrics>, Vec<String>) {
    let mut samples = Vec::new();
    let mut unreachable = Vec::new();
    for (name, instance) in fleet.instances() {
        if !instance.is_daemon() || instance.process.is_none() {
            continue;
        }
        match http.text(instance.admin, "/metrics").await {
            Ok(text) => samples.push(ProcessMetrics { name: name.to_owned(), text }),
            Err(_) => unreachable.push(name.to_owned()),
        }
    }
    (samples, unreachable)
}

/// Sum of a metric over all labels; `None` if it is absent.
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

/// Mean increase of a metric per process, over the processes in both readings.
pub fn mean_increase(before: &[ProcessMetrics], after: &[ProcessMetrics], metric: &str) -> f64 {
    let mut increases = Vec::new();
    for sample in after {
        let Some(old) = before.iter().find(|it| it.name == sample.name) else { continue };
        let old = sum(&old.text, metric).unwrap_or(0.0);
        let new = sum(&sample.text, metric).unwrap_or(0.0);
        // The counter of a restarted process starts at 0.
        increases.push(if new >= old { new - old } else { new });
    }
    if increases.is_empty() {
        return 0.0;
    }
    increases.iter().sum::<f64>() / increases.len() as f64
}
