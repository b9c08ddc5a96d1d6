//! Messages and framing between camphorwinch processes.

pub mod frame;
