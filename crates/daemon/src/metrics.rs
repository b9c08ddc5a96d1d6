//! Metrics of the process, in the registry that the operator address exports.

use std::sync::LazyLock;

use camphorwinch_core::invariant::{self, Invariant};
use prometheus::{
    Encoder, Histogram, HistogramOpts, IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry,
    TextEncoder,
};

static REGISTRY: LazyLock<Registry> = LazyLock::new(Registry::new);

/// A counter with one label, `camphorwinch_<name>`.
pub(crate) fn counter(name: &str, help: &str, label: &str) -> IntCounterVec {
    let opts = Opts::new(format!("camphorwinch_{name}"), help);
    let it = IntCounterVec::new(opts, &[label]).expect("metric names are constants");
    REGISTRY.register(Box::new(it.clone())).expect("each metric is registered once");
    it
}

/// A gauge, `camphorwinch_<name>`.
pub(crate) fn gauge(name: &str, help: &str) -> IntGauge {
    let it =
        IntGauge::new(format!("camphorwinch_{name}"), help).expect("metric names are constants");
    REGISTRY.register(Box::new(it.clone())).expect("each metric is registered once");
    it
}

/// A histogram of seconds, `camphorwinch_<name>`.
#[allow(dead_code, reason = "used by the data paths")]
pub(crate) fn seconds(name: &str, help: &str) -> Histogram {
    let buckets =
        prometheus::exponential_buckets(0.000_1, 2.0, 20).expect("the arguments are constants");
    let opts = HistogramOpts::new(format!("camphorwinch_{name}"), help).buckets(buckets);
    let it = Histogram::with_opts(opts).expect("metric names are constants");
    REGISTRY.register(Box::new(it.clone())).expect("each metric is registered once");
    it
}

static INVARIANT_FAILURES: LazyLock<IntGaugeVec> = LazyLock::new(|| {
    let opts = Opts::new("camphorwinch_invariant_failures_total", "Invariants found violated");
    let it = IntGaugeVec::new(opts, &["invariant"]).expect("metric names are constants");
    REGISTRY.register(Box::new(it.clone())).expect("each metric is registered once");
    it
});

static CONTROL_BYTES: LazyLock<IntCounterVec> = LazyLock::new(|| {
    counter(
        "control_bytes_total",
        "Bytes to and from other processes and the platform",
        "direction",
    )
});

/// Counts control traffic sent.
#[allow(dead_code, reason = "used by the control plane")]
pub(crate) fn control_sent(bytes: u64) {
    CONTROL_BYTES.with_label_values(&["out"]).inc_by(bytes);
}

/// Counts control traffic received.
#[allow(dead_code, reason = "used by the control plane")]
pub(crate) fn control_received(bytes: u64) {
    CONTROL_BYTES.with_label_values(&["in"]).inc_by(bytes);
}

static PLATFORM_BYTES: LazyLock<IntCounterVec> = LazyLock::new(|| {
    counter("platform_bytes_total", "Bytes of calls to the platform and their answers", "call")
});

/// Counts traffic of a call to the platform.
pub(crate) fn platform_bytes(call: &str, bytes: u64) {
    PLATFORM_BYTES.with_label_values(&[call]).inc_by(bytes);
}

/// All metrics in the text format of Prometheus.
pub(crate) fn render() -> anyhow::Result<Vec<u8>> {
    for invariant in Invariant::ALL {
        let count = invariant::violations(invariant) as i64;
        INVARIANT_FAILURES.with_label_values(&[invariant.as_str()]).set(count);
    }
    LazyLock::force(&CONTROL_BYTES);
    let mut text = Vec::new();
    TextEncoder::new().encode(&REGISTRY.gather(), &mut text)?;
    Ok(text)
}
