//! Promises proved against the stand-ins.

#[path = "../client/mod.rs"]
mod client;
mod fencing;
