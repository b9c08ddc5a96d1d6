//! Decision logic of the camphorwinch load balancer, free of I/O.
//!
//! Nothing in this crate opens a socket, reads a clock, starts a task or uses a global random source. Events and the
//! current time are arguments; effects are return values.

#![warn(clippy::unwrap_used)]

pub mod admit;
pub mod assemble;
pub mod backoff;
pub mod budget;
pub mod candidates;
pub mod claims;
pub mod dispatch;
pub mod failure_detector;
pub mod invariant;
pub mod lease;
pub mod lookup_table;
pub mod member;
pub mod mesh;
pub mod object;
pub mod opaque;
pub mod packet;
pub mod peers;
pub mod place;
pub mod record;
pub mod report;
pub mod revision;
pub mod roster;
pub mod seal;
pub mod snapshot;
mod split_mix;
pub mod timeline;
pub mod view;
