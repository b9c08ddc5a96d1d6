//! Messages and framing between camphorwinch processes.

mod convert;
pub mod encap;
pub mod frame;
pub mod handover;
pub mod message;
