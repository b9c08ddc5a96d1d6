//! A file with a line for each start and end of a request, which outlives the process.

use std::{
    fs::{self, File, OpenOptions},
    io::Write,
    path::Path,
    time::{SystemTime, UNIX_EPOCH},
};

use anyhow::Context;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

/// What happened to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Event {
    /// It was started.
    Start,
    /// Its work was done.
    Finish,
    /// Its connection was closed before the work was done.
    Cancel,
    /// Its deadline passed before the work was done.
    Expire,
}

/// A line of the journal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Milliseconds since 1970.
    pub at_ms: u64,
    /// What happened.
    pub event: Event,
    /// Name of the upstream.
    pub upstream: String,
    /// Service named by the agent.
    pub service: String,
    /// Id of the request, given by the agent.
    pub request: String,
    /// The caller's idempotency key.
    pub key: String,
    /// The caller's token, from `?echo=`.
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
        let file = file.with_context(|| format!("open the journal {}", path.display()))?;
        Ok(Journal { file: Mutex::new(file) })
    }

    /// Appends the line by one unbuffered write, so that a kill right after it does not lose it.
    pub(super) fn append(&self, entry: &Entry) -> anyhow::Result<()> {
        let mut line = serde_json::to_vec(entry).context("write the journal")?;
        line.push(b'\n');
        self.file.lock().write_all(&line).context("write the journal")
    }
}

/// Reads a journal; a last line that was cut by a kill is left out.
pub fn read_journal(path: &Path) -> anyhow::Result<Vec<Entry>> {
    let step = || format!("read the journal {}", path.display());
    let text = fs::read_to_string(path).with_context(step)?;
    let whole = text.rfind('\n').map_or("", |end| &text[..end]);
    let entries = whole.lines().map(serde_json::from_str);
    entries.collect::<Result<_, _>>().with_context(step)
}

pub(super) fn now_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |it| it.as_millis() as u64)
}
