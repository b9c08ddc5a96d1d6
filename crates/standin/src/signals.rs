//! Signals that stop the process.

use anyhow::Context;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Waits for SIGTERM or Ctrl-C.
#[derive(Debug)]
pub struct StopSignal {
    term: Signal,
    interrupt: Signal,
}

impl StopSignal {
    /// Installs the signal handlers.
    pub fn new() -> anyhow::Result<StopSignal> {
        let term = signal(SignalKind::terminate()).context("catch SIGTERM")?;
        let interrupt = signal(SignalKind::interrupt()).context("catch SIGINT")?;
        Ok(StopSignal { term, interrupt })
    }

    /// Waits for the next signal.
    pub async fn wait(&mut self) {
        tokio::select! {
            _ = self.term.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}
