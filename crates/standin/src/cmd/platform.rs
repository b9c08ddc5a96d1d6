//! `platform`.

use std::{net::SocketAddr, process::ExitCode};

use anyhow::anyhow;
use bpaf::Bpaf;

use crate::{
    platform::{self, Faults, faults},
    stop::Stop,
};

const HISTORY: usize = 1024;

/// Serve the platform's object API from memory, with faults
///
///
/// Faults can be changed while it runs: PUT /admin/faults takes a JSON object with the names of the flags below (with
/// "_" for "-"); {} clears them all. GET /admin/counts tells the calls by method and kind. Calls to /admin are never
/// delayed, refused or counted.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(command)]
pub struct Platform {
    /// Address to listen on; port 0 picks one
    #[bpaf(argument("IP:PORT"))]
    pub listen: SocketAddr,
    /// Number of events kept for watches; a watch from before them is answered with 410
    #[bpaf(argument("N"), fallback(HISTORY), display_fallback)]
    pub history: usize,
    /// Seed of the random faults
    #[bpaf(argument("N"), fallback(1), display_fallback)]
    pub seed: u64,
    /// Faults in force from the start
    #[bpaf(external(faults))]
    pub faults: Faults,
}

impl Platform {
    /// Runs the subcommand until a signal.
    pub async fn run(self) -> anyhow::Result<ExitCode> {
        self.faults.check().map_err(|e| anyhow!("faults: {e}"))?;
        let mut stop = Stop::new()?;
        let platform =
            platform::Platform::start(self.listen, self.history, self.seed, self.faults).await?;
        println!("platform on {}", platform.addr());
        stop.wait().await;
        Ok(ExitCode::SUCCESS)
    }
}
