//! Processes that carry opaque flows: sockets, timers, peers, metrics and logs around the decisions of
//! `camphorwinch_core::opaque`.
//!
//! What differs from one platform to another comes in through two traits: [`Codec`](codec::Codec) reads and writes
//! packets, [`Store`](store::Store) holds the members and the configuration.

#![warn(clippy::unwrap_used)]

pub mod agent;
pub mod balancer;
pub mod clock;
pub mod codec;
mod discovery;
pub mod event;
pub mod http;
mod lists;
pub mod log;
mod member;
pub mod metrics;
mod note;
mod snapshot;
mod socket;
pub mod store;
