//! Callers: HTTP/3 clients that hold flows open, send requests and verify the responses.

pub mod client;
pub mod flow;
pub mod load;
pub mod outcome;
pub mod report;
pub mod request;
pub mod session;
pub mod stats;
pub mod verify;

use std::{net::SocketAddr, str::FromStr};

/// A service to call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Name of the service, also the server name in TLS.
    pub name: String,
    /// Address of the service.
    pub address: SocketAddr,
    /// Pool whose upstreams may respond.
    pub pool: String,
}

impl FromStr for Target {
    type Err = String;

    /// Parses `NAME=IP:PORT/POOL`.
    fn from_str(s: &str) -> Result<Target, String> {
        let parts = s.split_once('=').and_then(|(name, rest)| Some((name, rest.split_once('/')?)));
        let Some((name, (address, pool))) = parts else {
            return Err(format!("{s:?} is not NAME=IP:PORT/POOL"));
        };
        let address = address.parse().map_err(|_| format!("{address:?} is not IP:PORT"))?;
        Ok(Target { name: name.to_owned(), address, pool: pool.to_owned() })
    }
}
