//! Balancer and agent processes for opaque flows: sockets, timers, peers, metrics and logs around the decision logic
//! in `camphorwinch_core::opaque`.
//!
//! Platforms differ behind two traits: [`Codec`](codec::Codec) reads and writes packets, [`Store`](store::Store) holds
//! the members and the configuration.

#![warn(clippy::unwrap_used)]

pub mod agent;
pub mod balancer;
pub mod clock;
pub mod codec;
mod decision_log;
mod discovery;
pub mod event;
pub mod http;
mod lists;
pub mod log;
pub mod metrics;
mod peers;
mod route_metrics;
mod snapshot;
mod socket;
pub mod store;
