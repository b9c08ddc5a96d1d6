//! Packet path of a balancer.
//!
//! Datagrams are received in batches on a service's address, placed by `camphorwinch_core::place`, encapsulated and
//! sent to agents in batches. Workers share nothing but the placer, which is replaced as a whole, and counters.

#![warn(clippy::unwrap_used)]

pub mod batch;
pub mod outcome;
pub mod relay;
pub mod socket;
pub mod worker;
