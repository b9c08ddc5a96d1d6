//! Datagram counters of the fabric.

use std::{collections::BTreeMap, net::SocketAddr};

use serde::{Deserialize, Serialize};

/// Counters of all services, as returned by `GET /counts`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Counters by service address.
    pub services: BTreeMap<SocketAddr, ServiceCounts>,
}

/// Counters of a service since it was added.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct ServiceCounts {
    /// Callers with an open socket.
    pub callers: u64,
    /// Sockets opened; a caller that returns after the idle timeout counts again.
    pub opened: u64,
    /// Datagrams from callers.
    pub forward: u64,
    /// Datagrams to callers.
    pub back: u64,
    /// Datagrams sent to each balancer.
    pub balancers: BTreeMap<SocketAddr, u64>,
    /// Injected faults: datagrams dropped, in both directions.
    pub lost: u64,
    /// Injected faults: datagrams duplicated, in both directions.
    pub duplicated: u64,
    /// Injected faults: datagrams delayed, in both directions.
    pub reordered: u64,
    /// Injected faults: datagrams dropped because their balancer is cut off.
    pub cut: u64,
    /// Datagrams dropped because the service has no balancers.
    pub unrouted: u64,
    /// Failed socket operations: send, receive and bind.
    pub errors: u64,
}

impl ServiceCounts {
    /// Adds the counters of another shard.
    pub(super) fn add(&mut self, other: &ServiceCounts) {
        self.callers += other.callers;
        self.opened += other.opened;
        self.forward += other.forward;
        self.back += other.back;
        for (balancer, count) in &other.balancers {
            *self.balancers.entry(*balancer).or_default() += count;
        }
        self.lost += other.lost;
        self.duplicated += other.duplicated;
        self.reordered += other.reordered;
        self.cut += other.cut;
        self.unrouted += other.unrouted;
        self.errors += other.errors;
    }
}
