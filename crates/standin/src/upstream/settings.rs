//! Settings of an upstream.

use std::{net::SocketAddr, path::PathBuf};

use anyhow::ensure;
use bpaf::Bpaf;

/// Settings of an upstream
#[derive(Clone, Debug, Bpaf)]
pub struct Settings {
    /// Address to listen on; port 0 picks one
    #[bpaf(argument("IP:PORT"))]
    pub listen: SocketAddr,
    /// Address of the admin calls; port 0 picks one
    #[bpaf(argument("IP:PORT"))]
    pub admin: SocketAddr,
    /// Name, in answers and records
    #[bpaf(argument("NAME"))]
    pub name: String,
    /// Pool, in answers and records
    #[bpaf(argument("POOL"))]
    pub pool: String,
    /// Requests worked on at once
    #[bpaf(argument("N"), fallback(7), display_fallback)]
    pub slots: usize,
    /// Connections answered at once; requests on others are refused
    #[bpaf(argument("N"), fallback(2000), display_fallback)]
    pub connections: usize,
    /// Requests that may wait for a slot; others are refused
    #[bpaf(argument("N"), fallback(7), display_fallback)]
    pub queue: usize,
    /// Milliseconds of work of a request that names none
    #[bpaf(argument("MS"), fallback(2), display_fallback)]
    pub work_ms: u64,
    /// Milliseconds from the start in which every request is refused
    #[bpaf(argument("MS"), fallback(0), display_fallback)]
    pub starting_ms: u64,
    /// Milliseconds after that in which work is slow, at first most
    #[bpaf(argument("MS"), fallback(0), display_fallback)]
    pub cold_ms: u64,
    /// Factor of slowness at the start of the cold time
    #[bpaf(argument("FACTOR"), fallback(5.0), display_fallback)]
    pub cold_factor: f64,
    /// Milliseconds by which GET /load may lag
    #[bpaf(argument("MS"), fallback(0), display_fallback)]
    pub lag_ms: u64,
    /// Most milliseconds for requests in progress at a stop
    #[bpaf(argument("MS"), fallback(20_000), display_fallback)]
    pub stop_ms: u64,
    /// Services that may send requests here, others are counted as foreign; repeatable, any if none is named
    #[bpaf(argument("NAME"))]
    pub service: Vec<String>,
    /// File to which each start and end of a request is appended, to be read after a kill
    #[bpaf(argument("FILE"))]
    pub journal: Option<PathBuf>,
    /// Seed of the random faults
    #[bpaf(argument("N"), fallback(1), display_fallback)]
    pub seed: u64,
}

impl Settings {
    /// Settings with the defaults of the command line.
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

    /// Checks the ranges.
    pub fn check(&self) -> anyhow::Result<()> {
        ensure!(self.slots > 0, "--slots: must be above 0");
        ensure!(self.connections > 0, "--connections: must be above 0");
        let factor = self.cold_factor;
        ensure!(factor >= 1.0 && factor.is_finite(), "--cold-factor={factor}: must be 1 or more");
        Ok(())
    }
}
