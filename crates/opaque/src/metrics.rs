//! Metrics of a process, in the Prometheus text format.

use std::{
    collections::BTreeSet,
    sync::{LazyLock, Mutex, PoisonError},
    time::{SystemTime, UNIX_EPOCH},
};

use prometheus::{
    Encoder, Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge,
    IntGaugeVec, Opts, TextEncoder, default_registry,
};

/// Buckets of latency histograms, in seconds.
const LATENCY_BUCKETS_S: [f64; 9] = [0.000_2, 0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 1.0, 3.0];

macro_rules! register {
    ($metric:expr) => {{
        let metric = $metric.expect("name and help are valid");
        default_registry().register(Box::new(metric.clone())).expect("names differ");
        metric
    }};
}

/// Decisions on flows, by kind.
pub static DECISIONS: LazyLock<IntCounterVec> = LazyLock::new(|| {
    let opts = Opts::new("camphorwinch_opaque_decisions_total", "Decisions on flows, by kind.");
    register!(IntCounterVec::new(opts, &["decision"]))
});

/// Packets, by outcome.
pub static PACKETS: LazyLock<IntCounterVec> = LazyLock::new(|| {
    let opts = Opts::new("camphorwinch_opaque_packets_total", "Packets, by what became of them.");
    register!(IntCounterVec::new(opts, &["outcome"]))
});

/// Calls to the store, by step and result.
pub static STORE_CALLS: LazyLock<IntCounterVec> = LazyLock::new(|| {
    let opts = Opts::new(
        "camphorwinch_opaque_store_calls_total",
        "Calls to the store, by step and result.",
    );
    register!(IntCounterVec::new(opts, &["step", "result"]))
});

/// Requests for the member list, by result.
pub static LIST_QUERIES: LazyLock<IntCounterVec> = LazyLock::new(|| {
    let opts = Opts::new(
        "camphorwinch_opaque_list_asks_total",
        "Questions to other processes for the list of members, by result.",
    );
    register!(IntCounterVec::new(opts, &["result"]))
});

/// Store objects that could not be decoded, counted on each read.
pub static INVALID_OBJECTS: LazyLock<IntCounter> = LazyLock::new(|| {
    register!(IntCounter::new(
        "camphorwinch_opaque_unreadable_objects_total",
        "Objects of the store that could not be read, counted with each list."
    ))
});

/// Known flows.
pub static FLOWS: LazyLock<IntGauge> = LazyLock::new(|| {
    register!(IntGauge::new("camphorwinch_opaque_flows", "Flows that the process knows."))
});

/// Requests in progress.
pub static REQUESTS: LazyLock<IntGauge> = LazyLock::new(|| {
    register!(IntGauge::new(
        "camphorwinch_opaque_requests",
        "Requests in progress at the upstream."
    ))
});

/// Requests waiting for a slot of the upstream.
pub static WAITING_REQUESTS: LazyLock<IntGauge> = LazyLock::new(|| {
    register!(IntGauge::new(
        "camphorwinch_opaque_waiting",
        "Requests that wait at the agent for a slot of the upstream."
    ))
});

/// Estimated service time of the upstream, in milliseconds.
pub static SERVICE_MS: LazyLock<IntGauge> = LazyLock::new(|| {
    let help = "Estimated service time of the upstream, in milliseconds; 0 if unknown.";
    register!(IntGauge::new("camphorwinch_opaque_service_ms", help))
});

/// Speed of the upstream relative to its pool, in percent.
pub static SPEED_PERCENT: LazyLock<IntGauge> = LazyLock::new(|| {
    let help =
        "Speed of the upstream by which new flows are placed, in percent of the pool's mean.";
    register!(IntGauge::new("camphorwinch_opaque_speed_percent", help))
});

/// Time requests waited at the agent, in seconds.
pub static WAIT_SECONDS: LazyLock<Histogram> = LazyLock::new(|| {
    let help = "Time that requests waited at the agent for a slot, of those that did.";
    let opts = HistogramOpts::new("camphorwinch_opaque_wait_seconds", help);
    register!(Histogram::with_opts(opts.buckets(LATENCY_BUCKETS_S.to_vec())))
});

/// Opening packets deferred until an agent offers a slot.
pub static DEFERRED: LazyLock<IntGauge> = LazyLock::new(|| {
    register!(IntGauge::new(
        "camphorwinch_opaque_deferred",
        "Opening packets that the balancer defers until an agent offers a slot."
    ))
});

/// Time for which opening packets were deferred, in seconds.
pub static DEFERRED_SECONDS: LazyLock<Histogram> = LazyLock::new(|| {
    let help = "Time for which opening packets were deferred, of those that were.";
    let opts = HistogramOpts::new("camphorwinch_opaque_deferred_seconds", help);
    register!(Histogram::with_opts(opts.buckets(LATENCY_BUCKETS_S.to_vec())))
});

/// Requests by route, and whether they were within the route's usual share.
pub static ROUTE_REQUESTS: LazyLock<IntCounterVec> = LazyLock::new(|| {
    let help = "Requests by route, within its usual share of the pool or beyond it.";
    let opts = Opts::new("camphorwinch_opaque_route_requests_total", help);
    register!(IntCounterVec::new(opts, &["service", "share"]))
});

/// Waiting requests released to the upstream, by route and cause.
pub static ROUTE_RELEASED: LazyLock<IntCounterVec> = LazyLock::new(|| {
    let help = "Requests that waited and were released to the upstream, by route and cause.";
    let opts = Opts::new("camphorwinch_opaque_route_released_total", help);
    register!(IntCounterVec::new(opts, &["service", "cause"]))
});

/// Requests waiting for a slot of the upstream, by route.
pub static ROUTE_WAITING: LazyLock<IntGaugeVec> = LazyLock::new(|| {
    let help = "Requests that wait at the agent for a slot of the upstream, by route.";
    let opts = Opts::new("camphorwinch_opaque_route_waiting", help);
    register!(IntGaugeVec::new(opts, &["service"]))
});

/// Time requests waited at the agent, by route, in seconds.
pub static ROUTE_WAIT_SECONDS: LazyLock<HistogramVec> = LazyLock::new(|| {
    let help = "Time that requests waited at the agent for a slot, of those that did, by route.";
    let opts = HistogramOpts::new("camphorwinch_opaque_route_wait_seconds", help);
    register!(HistogramVec::new(opts.buckets(LATENCY_BUCKETS_S.to_vec()), &["service"]))
});

/// Share of each pool's slots that are at full upstreams, in percent.
pub static POOL_FULL_PERCENT: LazyLock<IntGaugeVec> = LazyLock::new(|| {
    let help = "Share of the pool's slots that are at full upstreams, in percent.";
    let opts = Opts::new("camphorwinch_opaque_pool_full_percent", help);
    register!(IntGaugeVec::new(opts, &["pool"]))
});

/// Agents or balancers heard from recently.
pub static PEERS: LazyLock<IntGauge> = LazyLock::new(|| {
    register!(IntGauge::new("camphorwinch_opaque_peers", "Peers that were heard of lately."))
});

/// Version of the configuration in force.
pub static VERSION: LazyLock<IntGauge> = LazyLock::new(|| {
    let help = "Version that the operator gave to the configuration in force.";
    register!(IntGauge::new("camphorwinch_opaque_config_version", help))
});

/// Revision of the configuration in force.
pub static REVISION: LazyLock<IntGauge> = LazyLock::new(|| {
    let help = "Revision of the configuration in force.";
    register!(IntGauge::new("camphorwinch_opaque_config_revision", help))
});

/// Zones out of service, with the Unix time in seconds at which this process learned of each.
pub static ZONES_OUT: LazyLock<IntGaugeVec> = LazyLock::new(|| {
    let help = "Zones out of service, with the Unix time at which this process learnt of it.";
    let opts = Opts::new("camphorwinch_opaque_zone_out_since_seconds", help);
    register!(IntGaugeVec::new(opts, &["zone"]))
});

static SHOWN_ZONES: Mutex<BTreeSet<String>> = Mutex::new(BTreeSet::new());

/// Bytes of buffered packets.
pub static HELD_BYTES: LazyLock<IntGauge> = LazyLock::new(|| {
    register!(IntGauge::new("camphorwinch_opaque_held_bytes", "Bytes of packets held back."))
});

/// Log lines that were dropped.
pub static LOG_LINES_DROPPED: LazyLock<IntGauge> = LazyLock::new(|| {
    let help = "Lines of the log lost because the reader was slow.";
    register!(IntGauge::new("camphorwinch_opaque_log_lost", help))
});

/// Time from the start of a flow search to the holder's answer, in seconds.
pub static SEARCH_SECONDS: LazyLock<Histogram> = LazyLock::new(|| {
    let help = "Time in which the holder of a flow was found.";
    let opts = HistogramOpts::new("camphorwinch_opaque_search_seconds", help);
    register!(Histogram::with_opts(opts.buckets(LATENCY_BUCKETS_S.to_vec())))
});

/// Duration of store calls, by step, in seconds.
pub static STORE_SECONDS: LazyLock<HistogramVec> = LazyLock::new(|| {
    let help = "Time that calls to the store took, by step.";
    let opts = HistogramOpts::new("camphorwinch_opaque_store_seconds", help);
    register!(HistogramVec::new(opts.buckets(LATENCY_BUCKETS_S.to_vec()), &["step"]))
});

/// Sets the gauges of the zones out of service; zones already set keep their time.
pub(crate) fn set_zones_out(names: &[&str]) {
    let mut shown = SHOWN_ZONES.lock().unwrap_or_else(PoisonError::into_inner);
    for gone in shown.iter().filter(|it| !names.contains(&it.as_str())) {
        if let Err(e) = ZONES_OUT.remove_label_values(&[gone]) {
            tracing::warn!(zone = gone, "failed to remove a zone's metric: {e}");
        }
    }
    // A clock before 1970 is reported as zero; the time is only informative.
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    for new in names.iter().filter(|it| !shown.contains(**it)) {
        ZONES_OUT.with_label_values(&[*new]).set(now.as_secs() as i64);
    }
    *shown = names.iter().map(|&it| it.to_owned()).collect();
}

/// Renders all metrics as text.
pub fn render() -> prometheus::Result<Vec<u8>> {
    LOG_LINES_DROPPED.set(crate::log::dropped() as i64);
    let mut text = Vec::new();
    TextEncoder::new().encode(&prometheus::gather(), &mut text)?;
    Ok(text)
}
