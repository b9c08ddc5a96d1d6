//! The result of a run: every figure from what callers and upstreams saw.

use serde::Serialize;

/// The last line of a run.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Summary {
    /// Requests sent by callers.
    pub requests: u64,
    /// Whole answers.
    pub whole: u64,
    /// Refusals that said "not run".
    pub refused_not_run: u64,
    /// Requests whose outcome is unknown.
    pub unknown: u64,
    /// Requests that failed otherwise, with no unplanned death to explain it.
    pub failed: u64,
    /// Flows established.
    pub flows: u64,
    /// Flows broken with no unplanned death to explain it.
    pub broken_flows: u64,
    /// Keys of requests that ran more than once.
    pub ran_twice: u64,
    /// Keys of requests refused as "not run" that had been run.
    pub false_not_run: u64,
    /// Answers or requests that met another service.
    pub wrong_service: u64,
    /// Answers that belonged to another request.
    pub crossed_answers: u64,
    /// Invariants found violated by the system's processes.
    pub invariant_failures: u64,
    /// Highest over mean load of the upstreams of a service, of the worst service.
    pub imbalance: f64,
    /// New flows per second.
    pub new_flows_per_s: f64,
    /// Median latency.
    pub p50_ms: f64,
    /// 99th percentile of the latency.
    pub p99_ms: f64,
    /// Calls that the platform got per second.
    pub platform_calls_per_s: f64,
    /// Control traffic per second and process of the system, both directions.
    pub control_bytes_per_s: f64,
    /// Flows that lived on a VM that died; only in runs with faults.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub lost_flows: Option<u64>,
    /// Faults placed; only in runs with faults.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub faults: Option<u64>,
}

impl Summary {
    /// Names and counts of the broken promises.
    pub fn broken(&self) -> Vec<(&'static str, u64)> {
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
