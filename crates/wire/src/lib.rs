//! Messages and framing between camphorwinch processes.

pub mod encap;
pub mod frame;
pub mod handover;
pub mod message;
