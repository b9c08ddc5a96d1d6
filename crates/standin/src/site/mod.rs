//! A whole deployment as separate processes, with load from callers and a check of every promise from outside.

pub mod block;
pub mod deployment;
pub mod fleet;
pub mod http;
pub mod journal;
pub mod launch;
pub mod objects;
pub mod outcome;
pub mod pki;
pub mod process;
pub mod run;
