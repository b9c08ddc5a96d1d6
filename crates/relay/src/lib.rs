//! Packet path of a balancer.
//!
//! Workers receive datagrams in batches on the service addresses, place them with `camphorwinch_core::place`,
//! encapsulate them and send them to agents in batches. Workers share only the placer, which is replaced atomically,
//! and the counters.

#![warn(clippy::unwrap_used)]

pub mod batch;
pub mod outcome;
pub mod relay;
pub mod socket;
pub mod worker;
