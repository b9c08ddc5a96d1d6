//! Library behind the camphorwinch command-line tool.

#![warn(clippy::unwrap_used)]

pub mod app;
pub mod apply;
pub mod backoff;
pub mod cmd;
pub mod config;
pub mod error;
pub mod explain;
pub mod keys;
pub mod manifest;
pub mod output;
pub mod platform;
pub mod rollout;
pub mod status;
mod status_table;
pub mod timeline;
pub mod watch;
pub mod write;
