//! Tests of guarantees against the emulators.

#[path = "../client/mod.rs"]
mod client;
mod fencing;
