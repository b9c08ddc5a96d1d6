//! Signals that stop the process.

use anyhow::Context;
use tokio::signal::unix::{SignalKind, signal};
use tokio_util::sync::CancellationToken;

/// Returns a token that is cancelled by the first SIGTERM or SIGINT. Later signals are ignored.
pub(crate) fn stop_token() -> anyhow::Result<CancellationToken> {
    let mut term = signal(SignalKind::terminate()).context("listen for SIGTERM")?;
    let mut int = signal(SignalKind::interrupt()).context("listen for SIGINT")?;
    let token = CancellationToken::new();
    let stop = token.clone();
    tokio::spawn(async move {
        loop {
            tokio::select! {
                _ = term.recv() => stop.cancel(),
                _ = int.recv() => stop.cancel(),
            }
        }
    });
    Ok(token)
}
