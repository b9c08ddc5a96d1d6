//! The `platform` subcommand.

use std::{net::SocketAddr, process::ExitCode};

use anyhow::anyhow;
use bpaf::Bpaf;

use crate::{
    platform::{self, Faults, faults},
    signals::StopSignal,
};

const DEFAULT_HISTORY: usize = 1024;

/// Serve the platform's object API from memory, with fault injection
///
///
/// Faults can be changed at run time: PUT /admin/faults takes a JSON object with the names of the flags below ("_" for
/// "-"); {} clears them all. GET /admin/counts returns the calls by method and kind. Calls to /admin are never delayed,
/// rejected or counted.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(command)]
pub struct Platform {
    /// Address to listen on; port 0 selects a free port
    #[bpaf(argument("IP:PORT"))]
    pub listen: SocketAddr,
    /// Number of events kept for watches; a watch from an older version gets status 410
    #[bpaf(argument("N"), fallback(DEFAULT_HISTORY), display_fallback)]
    pub history: usize,
    /// Seed of the random number generator
    #[bpaf(argument("N"), fallback(1), display_fallback)]
    pub seed: u64,
    /// Initial faults
    #[bpaf(external(faults))]
    pub faults: Faults,
}

impl Platform {
    /// Serves until SIGTERM or Ctrl-C.
    pub async fn run(self) -> anyhow::Result<ExitCode> {
        self.faults.check().map_err(|e| anyhow!("faults: {e}"))?;
        let mut stop = StopSignal::new()?;
        let platform =
            platform::Platform::start(self.listen, self.history, self.seed, self.faults).await?;
        println!("platform on {}", platform.addr());
        stop.wait().await;
        Ok(ExitCode::SUCCESS)
    }
}
