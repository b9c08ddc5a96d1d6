//! Settings of an upstream.

use std::{net::SocketAddr, path::PathBuf};

use anyhow::ensure;
use bpaf::Bpaf;

/// Settings of an upstream
#[derive(Clone, Debug, Bpaf)]
pub struct Settings {
    /// Address to listen on; port 0 picks a free port
    #[bpaf(argument("IP:PORT"))]
    pub listen: SocketAddr,
    /// Address of the admin API; port 0 picks a free port
    #[bpaf(argument("IP:PORT"))]
    pub admin: SocketAddr,
    /// Name in responses and records
    #[bpaf(argument("NAME"))]
    pub name: String,
    /// Pool in responses and records
    #[bpaf(argument("POOL"))]
    pub pool: String,
    /// Maximum number of concurrent requests
    #[bpaf(argument("N"), fallback(7), display_fallback)]
    pub slots: usize,
    /// Maximum number of connections; requests on further ones are rejected
    #[bpaf(argument("N"), fallback(2000), display_fallback)]
    pub connections: usize,
    /// Maximum number of requests that wait for a slot; further ones are rejected
    #[bpaf(argument("N"), fallback(7), display_fallback)]
    pub queue: usize,
    /// Default work time of a request in milliseconds
    #[bpaf(argument("MS"), fallback(2), display_fallback)]
    pub work_ms: u64,
    /// Milliseconds after the start during which every request is rejected
    #[bpaf(argument("MS"), fallback(0), display_fallback)]
    pub starting_ms: u64,
    /// Milliseconds of cold start after that, with a slowdown that falls linearly
    #[bpaf(argument("MS"), fallback(0), display_fallback)]
    pub cold_ms: u64,
    /// Slowdown factor at the beginning of the cold start
    #[bpaf(argument("FACTOR"), fallback(5.0), display_fallback)]
    pub cold_factor: f64,
    /// Milliseconds by which GET /load may lag
    #[bpaf(argument("MS"), fallback(0), display_fallback)]
    pub lag_ms: u64,
    /// Milliseconds that requests in progress get to complete at a stop
    #[bpaf(argument("MS"), fallback(20_000), display_fallback)]
    pub stop_ms: u64,
    /// Allowed service, others are counted as foreign; repeatable, any service if left out
    #[bpaf(argument("NAME"))]
    pub service: Vec<String>,
    /// File to append each start and end of a request to; it survives a kill
    #[bpaf(argument("FILE"))]
    pub journal: Option<PathBuf>,
    /// Seed of the random number generator for faults
    #[bpaf(argument("N"), fallback(1), display_fallback)]
    pub seed: u64,
}

impl Settings {
    /// Settings with the command-line defaults.
    pub fn new(listen: SocketAddr, admin: SocketAddr, name: &str, pool: &str) -> Settings {
        Settings {
            listen,
            admin,
            name: name.to_owned(),
            pool: pool.to_owned(),
            slots: 7,
            connections: 2000,
            queue: 7,
            work_ms: 2,
            starting_ms: 0,
            cold_ms: 0,
            cold_factor: 5.0,
            lag_ms: 0,
            stop_ms: 20_000,
            service: Vec::new(),
            journal: None,
            seed: 1,
        }
    }

    /// Checks that each value is in range.
    pub fn check(&self) -> anyhow::Result<()> {
        ensure!(self.slots > 0, "--slots: must be above 0");
        ensure!(self.connections > 0, "--connections: must be above 0");
        let factor = self.cold_factor;
        ensure!(factor >= 1.0 && factor.is_finite(), "--cold-factor={factor}: must be 1 or more");
        Ok(())
    }
}
