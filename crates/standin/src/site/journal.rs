//! Compares what callers were told with what the upstreams' journals say was run.

use std::{
    collections::{BTreeMap, BTreeSet},
    fs,
    path::Path,
};

use anyhow::Context;

use crate::{
    caller::{outcome::Outcome, tally::Attempt},
    upstream::{Entry, Event, read_journal},
};

const SUFFIX: &str = "journal";

/// Requests that broke the promise to run at most once, or were run although the caller was told "not run".
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Verdict {
    /// Keys that ran more than once, with their runs.
    pub twice: Vec<String>,
    /// Attempts told "not run" that were run.
    pub untrue: Vec<String>,
    /// Runs found in the journals.
    pub runs: usize,
}

/// Reads all journals of the folder.
pub fn read(folder: &Path) -> anyhow::Result<Vec<Entry>> {
    let step = || format!("read the journals in {}", folder.display());
    let mut entries = Vec::new();
    for file in fs::read_dir(folder).with_context(step)? {
        let path = file.with_context(step)?.path();
        if path.extension().is_some_and(|it| it == SUFFIX) {
            entries.extend(read_journal(&path)?);
        }
    }
    Ok(entries)
}

/// Judges the attempts of requests that are not idempotent.
pub fn judge(attempts: &[Attempt], entries: &[Entry]) -> Verdict {
    let mut verdict = Verdict::default();
    let mut keys: BTreeMap<&str, Vec<&Entry>> = BTreeMap::new();
    let mut tokens = BTreeSet::new();
    for entry in entries {
        if entry.event != Event::Start || entry.method != "POST" {
            continue;
        }
        verdict.runs += 1;
        tokens.insert(entry.echo.as_str());
        // A request without a key of its own is told apart by its token.
        let key = if entry.key.is_empty() { &entry.echo } else { &entry.key };
        keys.entry(key).or_default().push(entry);
    }
    for (key, runs) in keys {
        if runs.len() > 1 {
            verdict.twice.push(twice(key, &runs));
        }
    }
    for attempt in attempts {
        if attempt.outcome == Outcome::NotRun && tokens.contains(attempt.token.as_str()) {
            let Attempt { service, key, token, .. } = attempt;
            verdict.untrue.push(format!("{service}: key {key}, token {token}: told not run"));
        }
    }
    verdict
}

fn twice(key: &str, runs: &[&Entry]) -> String {
    let mut text = format!("key {key} ran {} times:", runs.len());
    for run in runs {
        let Entry { upstream, at_ms, request, echo, .. } = run;
        text.push_str(&format!(" {upstream} at {at_ms} (request {request}, token {echo})"));
    }
    text
}
