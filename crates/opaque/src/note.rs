//! Decisions as log lines and counts.

use camphorwinch_core::opaque::{FlowKey, effect::Decision, walk::Last};

use crate::{event::Id, log::Limiter, metrics};

/// Logs and counts decisions.
pub(crate) struct Notes {
    limiter: Limiter,
    reported_ms: u64,
}

/// Pause between two lines on lines left out.
const REPORT_EVERY_MS: u64 = 1_000;

impl Notes {
    pub(crate) fn new(now_ms: u64) -> Notes {
        Notes { limiter: Limiter::new(now_ms), reported_ms: now_ms }
    }

    /// Counts a decision and writes its line, if the rate allows.
    pub(crate) fn write(&mut self, key: Option<FlowKey>, decision: &Decision, now_ms: u64) {
        let (id, kind) = classify(decision);
        metrics::DECISIONS.with_label_values(&[kind]).inc();
        if let Decision::Found { after_ms, .. } = decision {
            metrics::SEARCH_SECONDS.observe(*after_ms as f64 / 1_000.0);
        }
        if !self.limiter.allow(now_ms) {
            return;
        }
        let flow = key.map(|it| it.to_string());
        line(id, flow.as_deref(), decision);
    }

    /// Says how many lines were left out.
    pub(crate) fn tick(&mut self, now_ms: u64) {
        if now_ms.saturating_sub(self.reported_ms) < REPORT_EVERY_MS {
            return;
        }
        self.reported_ms = now_ms;
        let lines = self.limiter.take_suppressed();
        if lines > 0 {
            let id = Id::LinesSuppressed;
            tracing::warn!(id = id as u16, name = id.name(), lines);
        }
    }
}

fn classify(decision: &Decision) -> (Id, &'static str) {
    match decision {
        Decision::Placed { .. } => (Id::FlowPlaced, "placed"),
        Decision::Accepted { last: Last::No, .. } => (Id::FlowAccepted, "accepted"),
        Decision::Accepted { last: Last::Yes, .. } => (Id::FlowAccepted, "accepted-last"),
        Decision::PassedOn { .. } => (Id::FlowPassed, "passed-on"),
        Decision::Refused => (Id::FlowRefused, "refused"),
        Decision::Searched { .. } => (Id::FlowSearched, "searched"),
        Decision::Found { .. } => (Id::FlowFound, "found"),
        Decision::NotFound { .. } => (Id::FlowNotFound, "not-found"),
        Decision::Absent => (Id::FlowAbsent, "absent"),
        Decision::Held { .. } => (Id::FlowHeld, "held"),
        Decision::UpstreamReset { .. } => (Id::UpstreamReset, "upstream-reset"),
        Decision::Reset(why) => (Id::FlowReset, why.as_str()),
        Decision::Dropped(why) => (Id::PacketDropped, why.as_str()),
    }
}

fn line(id: Id, flow: Option<&str>, decision: &Decision) {
    let name = id.name();
    let id = id as u16;
    match *decision {
        Decision::Placed { first, copies } => {
            tracing::info!(id, name, flow, agent = %first, copies);
        }
        Decision::Accepted { load, last } => {
            tracing::info!(id, name, flow, load, last = last == Last::Yes);
        }
        Decision::PassedOn { to, load, limit } => {
            tracing::info!(id, name, flow, agent = %to, load, limit);
        }
        Decision::Searched { asked } => tracing::info!(id, name, flow, asked),
        Decision::Found { agent, after_ms } => {
            tracing::info!(id, name, flow, agent = %agent, after_ms);
        }
        Decision::NotFound { absent, asked, silent } => {
            let silent = silent.map(|it| it.to_string());
            tracing::warn!(id, name, flow, absent, asked, silent);
        }
        Decision::Held { agent } => tracing::info!(id, name, flow, agent = %agent),
        Decision::UpstreamReset { passed } => tracing::warn!(id, name, flow, passed),
        Decision::Reset(why) => tracing::warn!(id, name, flow, why = why.as_str()),
        Decision::Dropped(why) => tracing::info!(id, name, flow, why = why.as_str()),
        Decision::Refused | Decision::Absent => tracing::info!(id, name, flow),
    }
}
