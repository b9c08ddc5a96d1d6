//! Execution of a request, recorded at its start and at its end.

use std::sync::Arc;

use super::{
    journal::{JournalEntry, JournalEvent, now_ms},
    request::Task,
    state::State,
};

/// A started request; dropping it before `end` records a cancellation.
#[derive(Debug)]
pub(super) struct Run {
    state: Arc<State>,
    entry: JournalEntry,
    non_idempotent: bool,
    ended: bool,
}

impl Run {
    /// Records the start; the journal line is written before any work is done.
    pub(super) fn new(state: &Arc<State>, task: &Task) -> anyhow::Result<Run> {
        let head = &task.head;
        let entry = JournalEntry {
            at_ms: now_ms(),
            event: JournalEvent::Start,
            upstream: head.upstream.clone(),
            service: head.service.clone(),
            request: head.request.clone(),
            key: head.key.clone(),
            echo: head.echo.clone(),
            method: head.method.clone(),
            path: head.path.clone(),
        };
        if let Some(journal) = &state.journal {
            journal.append(&entry)?;
        }
        let run = Run {
            state: state.clone(),
            entry,
            non_idempotent: task.is_non_idempotent(),
            ended: false,
        };
        run.count();
        Ok(run)
    }

    pub(super) fn end(mut self, event: JournalEvent) {
        self.record_end(event);
    }

    fn record_end(&mut self, event: JournalEvent) {
        self.ended = true;
        self.entry.at_ms = now_ms();
        self.entry.event = event;
        if let Some(journal) = &self.state.journal {
            if let Err(error) = journal.append(&self.entry) {
                tracing::error!("{error:#}");
            }
        }
        self.count();
    }

    fn count(&self) {
        let mut record = self.state.record.lock();
        match self.entry.event {
            JournalEvent::Start => record.started += 1,
            JournalEvent::Finish => record.finished += 1,
            JournalEvent::Cancel => record.cancelled += 1,
            JournalEvent::Expire => record.expired += 1,
        }
        if !self.non_idempotent {
            return;
        }
        let started = u64::from(self.entry.event == JournalEvent::Start);
        let finished = u64::from(self.entry.event == JournalEvent::Finish);
        for (name, by_key) in [(&self.entry.key, true), (&self.entry.request, false)] {
            if name.is_empty() {
                continue;
            }
            let runs = if by_key { &mut record.keys } else { &mut record.requests };
            let runs = runs.entry(name.clone()).or_default();
            runs.started += started;
            runs.finished += finished;
        }
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        if !self.ended {
            self.record_end(JournalEvent::Cancel);
        }
    }
}
