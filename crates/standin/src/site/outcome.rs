//! Summary of a run, as observed by callers and upstreams.

use serde::Serialize;

/// Summary of a run, printed as its last line.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Summary {
    /// Requests sent by callers.
    pub requests: u64,
    /// Complete responses.
    pub whole: u64,
    /// Requests rejected as not run.
    pub refused_not_run: u64,
    /// Requests of unknown outcome.
    pub unknown: u64,
    /// Failed requests that no injected fault explains.
    pub failed: u64,
    /// Flows established.
    pub flows: u64,
    /// Broken flows that no injected fault explains.
    pub broken_flows: u64,
    /// Keys of requests that ran more than once.
    pub ran_twice: u64,
    /// Attempts reported as not run that were run.
    pub false_not_run: u64,
    /// Requests or responses that reached the wrong service.
    pub wrong_service: u64,
    /// Responses that belonged to another request.
    pub crossed_answers: u64,
    /// Invariant violations reported by the daemons.
    pub invariant_failures: u64,
    /// Maximum over mean load of the upstreams of a service, for the worst service.
    pub imbalance: f64,
    /// New flows per second.
    pub new_flows_per_s: f64,
    /// Median latency in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of the latency in milliseconds.
    pub p99_ms: f64,
    /// Platform calls per second.
    pub platform_calls_per_s: f64,
    /// Control bytes per second and daemon, both directions.
    pub control_bytes_per_s: f64,
    /// Flows lost because their agent was killed; only in runs with faults.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub lost_flows: Option<u64>,
    /// Faults injected; only in runs with faults.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub faults: Option<u64>,
}

impl Summary {
    /// Names and counts of the violated guarantees.
    pub fn violations(&self) -> Vec<(&'static str, u64)> {
        let counts = [
            ("broken_flows", self.broken_flows),
            ("ran_twice", self.ran_twice),
            ("false_not_run", self.false_not_run),
            ("wrong_service", self.wrong_service),
            ("crossed_answers", self.crossed_answers),
            ("invariant_failures", self.invariant_failures),
            ("failed", self.failed),
        ];
        counts.into_iter().filter(|it| it.1 > 0).collect()
    }
}
