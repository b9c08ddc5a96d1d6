//! Callers: HTTP/3 clients that hold flows open, send requests and judge what they get.

pub mod ask;
pub mod client;
pub mod flow;
pub mod load;
pub mod outcome;
pub mod session;
pub mod tally;
pub mod verify;

use std::net::SocketAddr;

/// A service as callers know it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Name of the service, also the server name in TLS.
    pub name: String,
    /// Address of the service.
    pub address: SocketAddr,
    /// Pool of the upstreams that may answer.
    pub pool: String,
}
