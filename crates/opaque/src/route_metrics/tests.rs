//! Series of routes that come and go.

use std::net::{Ipv4Addr, SocketAddrV4};

use camphorwinch_core::opaque::{effect::ReleaseReason, route_share::RouteUsage};

use super::RouteMetrics;
use crate::metrics;

// Guards against series that remain after their routes, and against counters that are added twice.
#[test]
fn series_follow_the_agents_routes() {
    let service = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 9), 443);
    let mut routes = RouteMetrics::default();
    let usage = RouteUsage { within: 5, beyond: 2, waiting: 1 };
    for now_ms in [1_000, 2_000] {
        routes.update([(service, usage)].into_iter(), now_ms);
    }
    routes.count_release(service, ReleaseReason::Slot, 30);
    let text = || String::from_utf8(metrics::render().expect("metrics")).expect("text");
    let label = format!("service=\"{service}\"");
    for series in [
        format!("route_requests_total{{{label},share=\"within\"}} 5"),
        format!("route_requests_total{{{label},share=\"beyond\"}} 2"),
        format!("route_waiting{{{label}}} 1"),
        format!("route_released_total{{cause=\"slot\",{label}}} 1"),
    ] {
        assert!(text().contains(&series), "{series}");
    }
    routes.update([].into_iter(), 3_000);
    assert!(!text().contains(&label));
}
