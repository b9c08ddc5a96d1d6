//! Environment variables and what is set up from them once per process.

use std::{env, io};

use anyhow::Context;
use tokio::runtime::{Builder, Runtime};
use tracing_subscriber::EnvFilter;

/// Variable with the log filter, such as `info` or `camphorwinch_standin=debug`.
pub const LOG: &str = "CAMPHORWINCH_STANDIN_LOG";
/// Variable with the number of worker threads; as many as there are cores when unset.
pub const THREADS: &str = "CAMPHORWINCH_STANDIN_THREADS";

const DEFAULT_LOG: &str = "warn";

/// Sends log lines to the standard error, filtered by [`LOG`].
pub fn start_log() {
    let filter = EnvFilter::try_from_env(LOG).unwrap_or_else(|_| EnvFilter::new(DEFAULT_LOG));
    tracing_subscriber::fmt().with_env_filter(filter).with_writer(io::stderr).init();
}

/// The runtime, with as many threads as [`THREADS`] says.
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
