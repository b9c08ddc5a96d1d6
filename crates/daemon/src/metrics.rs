//! Prometheus metrics, exported at the operator address.

use std::sync::LazyLock;

use camphorwinch_core::invariant::{self, Invariant};
use prometheus::{
    Encoder, Histogram, HistogramOpts, IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry,
    TextEncoder,
};

static REGISTRY: LazyLock<Registry> = LazyLock::new(Registry::new);

/// Registers the counter `camphorwinch_<name>` with one label.
pub(crate) fn counter(name: &str, help: &str, label: &str) -> IntCounterVec {
    let opts = Opts::new(format!("camphorwinch_{name}"), help);
    let metric = IntCounterVec::new(opts, &[label]).expect("metric names are constants");
    REGISTRY.register(Box::new(metric.clone())).expect("each metric is registered once");
    metric
}

/// Registers the gauge `camphorwinch_<name>`.
pub(crate) fn gauge(name: &str, help: &str) -> IntGauge {
    let metric =
        IntGauge::new(format!("camphorwinch_{name}"), help).expect("metric names are constants");
    REGISTRY.register(Box::new(metric.clone())).expect("each metric is registered once");
    metric
}

/// Registers the histogram `camphorwinch_<name>`, in seconds.
#[allow(dead_code, reason = "used by the data paths")]
pub(crate) fn histogram(name: &str, help: &str) -> Histogram {
    let buckets =
        prometheus::exponential_buckets(0.000_1, 2.0, 20).expect("the arguments are constants");
    let opts = HistogramOpts::new(format!("camphorwinch_{name}"), help).buckets(buckets);
    let metric = Histogram::with_opts(opts).expect("metric names are constants");
    REGISTRY.register(Box::new(metric.clone())).expect("each metric is registered once");
    metric
}

static INVARIANT_FAILURES: LazyLock<IntGaugeVec> = LazyLock::new(|| {
    let opts = Opts::new("camphorwinch_invariant_failures_total", "Invariants found violated");
    let metric = IntGaugeVec::new(opts, &["invariant"]).expect("metric names are constants");
    REGISTRY.register(Box::new(metric.clone())).expect("each metric is registered once");
    metric
});

static CONTROL_BYTES: LazyLock<IntCounterVec> = LazyLock::new(|| {
    counter(
        "control_bytes_total",
        "Bytes to and from other processes and the platform",
        "direction",
    )
});

/// Counts bytes of control traffic sent.
#[allow(dead_code, reason = "used by the control plane")]
pub(crate) fn control_sent(bytes: u64) {
    CONTROL_BYTES.with_label_values(&["out"]).inc_by(bytes);
}

/// Counts bytes of control traffic received.
#[allow(dead_code, reason = "used by the control plane")]
pub(crate) fn control_received(bytes: u64) {
    CONTROL_BYTES.with_label_values(&["in"]).inc_by(bytes);
}

static PLATFORM_BYTES: LazyLock<IntCounterVec> = LazyLock::new(|| {
    counter("platform_bytes_total", "Bytes of calls to the platform and their answers", "call")
});

/// Counts bytes of a platform call.
pub(crate) fn platform_bytes(call: &str, bytes: u64) {
    PLATFORM_BYTES.with_label_values(&[call]).inc_by(bytes);
}

/// Renders all metrics in the Prometheus text format.
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
