//! Counts of the datagrams that passed the fabric.

use std::{collections::BTreeMap, net::SocketAddr};

use serde::{Deserialize, Serialize};

/// Counts of all services, by address.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Counts by service address.
    pub services: BTreeMap<SocketAddr, ServiceCounts>,
}

/// Counts of one service since it was added.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct ServiceCounts {
    /// Callers known now.
    pub callers: u64,
    /// Callers seen, each as often as it was forgotten and came back.
    pub opened: u64,
    /// Datagrams from callers.
    pub forward: u64,
    /// Datagrams towards callers.
    pub back: u64,
    /// Datagrams sent to each balancer.
    pub balancers: BTreeMap<SocketAddr, u64>,
    /// Datagrams lost on purpose, both ways.
    pub lost: u64,
    /// Datagrams sent twice on purpose, both ways.
    pub duplicated: u64,
    /// Datagrams held back on purpose, both ways.
    pub reordered: u64,
    /// Datagrams dropped because their balancer is cut off.
    pub cut: u64,
    /// Datagrams dropped because the service has no balancer.
    pub unrouted: u64,
    /// Datagrams that the operating system did not take, and callers for which it gave no socket.
    pub errors: u64,
}

impl ServiceCounts {
    /// Adds the counts of another shard.
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
