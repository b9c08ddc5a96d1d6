//! Metrics of an agent by route. Their number is bounded, and those of routes that send no more requests are removed.

#[cfg(test)]
mod tests;

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddrV4,
};

use camphorwinch_core::opaque::{effect::ReleaseReason, route_share::RouteUsage};

use crate::metrics;

/// Most routes with metrics of their own; as many as an agent keeps arrivals for.
const MAX_ROUTES: usize = 1_024;
/// Label of the routes above the limit.
const OTHER: &str = "other";
/// Interval between updates from the agent's counters.
const UPDATE_INTERVAL_MS: u64 = 1_000;

/// The routes that have metrics.
#[derive(Debug, Default)]
pub(crate) struct RouteMetrics {
    counted: BTreeMap<SocketAddrV4, RouteUsage>,
    updated_ms: u64,
}

impl RouteMetrics {
    /// Counts a waiting request that was released to the upstream.
    pub(crate) fn count_release(
        &mut self,
        service: SocketAddrV4,
        reason: ReleaseReason,
        waited_ms: u64,
    ) {
        let is_shown = self.counted.contains_key(&service) || self.counted.len() < MAX_ROUTES;
        let label = if is_shown { service.to_string() } else { OTHER.to_owned() };
        if is_shown {
            self.counted.entry(service).or_default();
        }
        metrics::ROUTE_RELEASED.with_label_values(&[label.as_str(), reason.as_str()]).inc();
        let wait = metrics::ROUTE_WAIT_SECONDS.with_label_values(&[label.as_str()]);
        wait.observe(waited_ms as f64 / 1_000.0);
    }

    /// Updates the metrics from the agent's counters, once per interval.
    pub(crate) fn update<I>(&mut self, usage: I, now_ms: u64)
    where
        I: Iterator<Item = (SocketAddrV4, RouteUsage)>,
    {
        if now_ms.saturating_sub(self.updated_ms) < UPDATE_INTERVAL_MS {
            return;
        }
        self.updated_ms = now_ms;
        let mut gone: BTreeSet<SocketAddrV4> = self.counted.keys().copied().collect();
        for (service, usage) in usage {
            gone.remove(&service);
            self.update_route(service, usage);
        }
        for service in gone {
            self.counted.remove(&service);
            remove_route(service);
        }
    }

    fn update_route(&mut self, service: SocketAddrV4, usage: RouteUsage) {
        let label = service.to_string();
        let before = self.counted.insert(service, usage).unwrap_or_default();
        for (share, now, before) in
            [("within", usage.within, before.within), ("beyond", usage.beyond, before.beyond)]
        {
            // The agent counts from zero if it removed the route in between.
            let new = now.checked_sub(before).unwrap_or(now);
            metrics::ROUTE_REQUESTS.with_label_values(&[label.as_str(), share]).inc_by(new);
        }
        let waiting = metrics::ROUTE_WAITING.with_label_values(&[label.as_str()]);
        waiting.set(i64::from(usage.waiting));
    }
}

/// Removes a route's metrics; those that were never set don't exist.
fn remove_route(service: SocketAddrV4) {
    let label = service.to_string();
    let label = label.as_str();
    for share in ["within", "beyond"] {
        let _ = metrics::ROUTE_REQUESTS.remove_label_values(&[label, share]);
    }
    for reason in ReleaseReason::ALL {
        let _ = metrics::ROUTE_RELEASED.remove_label_values(&[label, reason.as_str()]);
    }
    let _ = metrics::ROUTE_WAITING.remove_label_values(&[label]);
    let _ = metrics::ROUTE_WAIT_SECONDS.remove_label_values(&[label]);
}
