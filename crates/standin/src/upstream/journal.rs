//! Append-only file with a JSON line for each start and end of a request; it survives a kill of the process.

use std::{
    fs::{self, File, OpenOptions},
    io::Write,
    path::Path,
    time::{SystemTime, UNIX_EPOCH},
};

use anyhow::Context;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

/// Lifecycle event of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum JournalEvent {
    /// Started.
    Start,
    /// Completed.
    Finish,
    /// The connection was closed before completion.
    Cancel,
    /// The deadline passed before completion.
    Expire,
}

/// A line of the journal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JournalEntry {
    /// Milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Event.
    pub event: JournalEvent,
    /// Name of the upstream.
    pub upstream: String,
    /// Service named by the agent.
    pub service: String,
    /// Id of the request, given by the agent.
    pub request: String,
    /// Idempotency key of the caller; empty if there is none.
    pub key: String,
    /// Token of the caller, from `?echo=`.
    pub echo: String,
    /// Method of the request.
    pub method: String,
    /// Path of the request.
    pub path: String,
}

/// The journal, open for appending.
#[derive(Debug)]
pub(super) struct Journal {
    file: Mutex<File>,
}

impl Journal {
    pub(super) fn new(path: &Path) -> anyhow::Result<Journal> {
        let file = OpenOptions::new().create(true).append(true).open(path);
        let file =
            file.with_context(|| format!("failed to open the journal {}", path.display()))?;
        Ok(Journal { file: Mutex::new(file) })
    }

    /// Appends a line with one unbuffered write, so that it survives a kill of the process.
    pub(super) fn append(&self, entry: &JournalEntry) -> anyhow::Result<()> {
        let mut line = serde_json::to_vec(entry).context("failed to write the journal")?;
        line.push(b'\n');
        self.file.lock().write_all(&line).context("failed to write the journal")
    }
}

/// Reads a journal, skipping an incomplete last line.
pub fn read_journal(path: &Path) -> anyhow::Result<Vec<JournalEntry>> {
    let step = || format!("failed to read the journal {}", path.display());
    let text = fs::read_to_string(path).with_context(step)?;
    let complete = text.rfind('\n').map_or("", |end| &text[..end]);
    let entries = complete.lines().map(serde_json::from_str);
    entries.collect::<Result<_, _>>().with_context(step)
}

pub(super) fn now_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |it| it.as_millis() as u64)
}
