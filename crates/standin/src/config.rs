//! Logging and runtime setup from environment variables.

use std::{env, io};

use anyhow::Context;
use tokio::runtime::{Builder, Runtime};
use tracing_subscriber::EnvFilter;

/// Environment variable with the log filter, such as `info` or `camphorwinch_standin=debug`.
pub const LOG: &str = "CAMPHORWINCH_STANDIN_LOG";
/// Environment variable with the number of worker threads; defaults to the number of cores.
pub const THREADS: &str = "CAMPHORWINCH_STANDIN_THREADS";

const DEFAULT_LOG: &str = "warn";

/// Writes log lines to standard error, filtered by [`LOG`].
pub fn start_log() {
    let filter = EnvFilter::try_from_env(LOG).unwrap_or_else(|_| EnvFilter::new(DEFAULT_LOG));
    tracing_subscriber::fmt().with_env_filter(filter).with_writer(io::stderr).init();
}

/// Builds the runtime with the number of worker threads set in [`THREADS`].
pub fn runtime() -> anyhow::Result<Runtime> {
    let mut builder = Builder::new_multi_thread();
    if let Ok(text) = env::var(THREADS) {
        let count: usize = text
            .parse()
            .ok()
            .filter(|&count| count > 0)
            .with_context(|| format!("{THREADS}={text:?}: must be a number above 0"))?;
        builder.worker_threads(count);
    }
    builder.enable_all().build().context("start the runtime")
}
