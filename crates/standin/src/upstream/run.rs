//! Execution of a request, recorded at its start and at its end.

use std::sync::Arc;

use super::{
    journal::{Entry, Event, now_ms},
    request::Task,
    state::State,
};

/// A started request; dropping it before `end` records a cancellation.
#[derive(Debug)]
pub(super) struct Run {
    state: Arc<State>,
    entry: Entry,
    non_idempotent: bool,
    ended: bool,
}

impl Run {
    /// Records the start; the journal line is written before any work is done.
    pub(super) fn new(state: &Arc<State>, task: &Task) -> anyhow::Result<Run> {
        let head = &task.head;
        let entry = Entry {
            at_ms: now_ms(),
            event: Event::Start,
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

    pub(super) fn end(mut self, event: Event) {
        self.record_end(event);
    }

    fn record_end(&mut self, event: Event) {
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
            Event::Start => record.started += 1,
            Event::Finish => record.finished += 1,
            Event::Cancel => record.cancelled += 1,
            Event::Expire => record.expired += 1,
        }
        if !self.non_idempotent {
            return;
        }
        let started = u64::from(self.entry.event == Event::Start);
        let finished = u64::from(self.entry.event == Event::Finish);
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
            self.record_end(Event::Cancel);
        }
    }
}
