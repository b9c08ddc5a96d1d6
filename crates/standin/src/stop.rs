//! Signals that ask the process to stop.

use anyhow::Context;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Waits for SIGTERM or Ctrl-C.
#[derive(Debug)]
pub struct Stop {
    term: Signal,
    interrupt: Signal,
}

impl Stop {
    /// Catches the signals from now on.
    pub fn new() -> anyhow::Result<Stop> {
        let term = signal(SignalKind::terminate()).context("catch SIGTERM")?;
        let interrupt = signal(SignalKind::interrupt()).context("catch SIGINT")?;
        Ok(Stop { term, interrupt })
    }

    /// Returns at the next signal.
    pub async fn wait(&mut self) {
        tokio::select! {
            _ = self.term.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}
