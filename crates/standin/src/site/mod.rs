//! Runs a whole deployment as separate processes under load and checks its guarantees from outside.

pub mod balance;
pub mod block;
pub mod deployment;
pub mod faults;
pub mod fleet;
pub mod http;
pub mod journal;
pub mod launch;
pub mod metrics;
pub mod objects;
pub mod outcome;
pub mod pki;
pub mod print;
pub mod process;
pub mod run;
pub mod shared;
