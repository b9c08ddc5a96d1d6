//! Compares the outcomes reported to callers with the upstreams' journals.

use std::{
    collections::{BTreeMap, BTreeSet},
    fs,
    path::Path,
};

use anyhow::Context;

use crate::{
    caller::{outcome::Outcome, stats::Attempt},
    upstream::{JournalEntry, JournalEvent, read_journal},
};

const EXTENSION: &str = "journal";

/// Violations of the at-most-once guarantee found in the journals.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct JournalCheck {
    /// Keys that ran more than once, with their runs.
    pub ran_twice: Vec<String>,
    /// Attempts reported as not run that were run.
    pub false_not_run: Vec<String>,
    /// Number of runs in the journals.
    pub runs: usize,
}

/// Reads all journals in the folder.
pub fn read(folder: &Path) -> anyhow::Result<Vec<JournalEntry>> {
    let step = || format!("read the journals in {}", folder.display());
    let mut entries = Vec::new();
    for file in fs::read_dir(folder).with_context(step)? {
        let path = file.with_context(step)?.path();
        if path.extension().is_some_and(|it| it == EXTENSION) {
            entries.extend(read_journal(&path)?);
        }
    }
    Ok(entries)
}

/// Checks the attempts of requests that are not idempotent against the journals.
pub fn check(attempts: &[Attempt], entries: &[JournalEntry]) -> JournalCheck {
    let mut result = JournalCheck::default();
    let mut keys: BTreeMap<&str, Vec<&JournalEntry>> = BTreeMap::new();
    let mut tokens = BTreeSet::new();
    for entry in entries {
        if entry.event != JournalEvent::Start || entry.method != "POST" {
            continue;
        }
        result.runs += 1;
        tokens.insert(entry.echo.as_str());
        // Requests without a key are identified by token.
        let key = if entry.key.is_empty() { &entry.echo } else { &entry.key };
        keys.entry(key).or_default().push(entry);
    }
    for (key, runs) in keys {
        if runs.len() > 1 {
            result.ran_twice.push(describe_runs(key, &runs));
        }
    }
    for attempt in attempts {
        if attempt.outcome == Outcome::NotRun && tokens.contains(attempt.token.as_str()) {
            let Attempt { service, key, token, .. } = attempt;
            result
                .false_not_run
                .push(format!("{service}: key {key}, token {token}: reported as not run"));
        }
    }
    result
}

fn describe_runs(key: &str, runs: &[&JournalEntry]) -> String {
    let mut text = format!("key {key} ran {} times:", runs.len());
    for run in runs {
        let JournalEntry { upstream, at_ms, request, echo, .. } = run;
        text.push_str(&format!(" {upstream} at {at_ms} (request {request}, token {echo})"));
    }
    text
}
