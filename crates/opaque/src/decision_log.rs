//! Log lines and counters for decisions on flows.

use camphorwinch_core::opaque::{
    FlowKey, candidate_list::LastResort, effect::Decision, route_share::BeyondShare,
};

use crate::{event::Id, log::Limiter, metrics};

/// Class of a line. Each has its own rate limit, so that steps of many flows don't suppress the line that explains a
/// failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Class {
    /// Intermediate step of a flow.
    Step,
    /// Outcome visible to a caller.
    Outcome,
    /// Detail that a later line repeats; logged at debug level.
    Detail,
}

/// Logs and counts decisions.
pub(crate) struct DecisionLog {
    steps: Limiter,
    outcomes: Limiter,
    reported_ms: u64,
}

/// Interval between reports of suppressed lines.
const REPORT_INTERVAL_MS: u64 = 1_000;

impl DecisionLog {
    pub(crate) fn new(now_ms: u64) -> DecisionLog {
        let limiter = Limiter::new(now_ms);
        DecisionLog { steps: limiter.clone(), outcomes: limiter, reported_ms: now_ms }
    }

    /// Counts a decision and logs it, if the rate limit permits.
    pub(crate) fn write(&mut self, key: Option<FlowKey>, decision: &Decision, now_ms: u64) {
        let (id, label) = event_and_label(decision);
        if let Decision::PacketsReplayed { .. } = decision {
            // The packets were counted one by one.
            return log_decision(id, None, decision);
        }
        metrics::DECISIONS.with_label_values(&[label]).inc();
        if let Decision::Found { after_ms, .. } = decision {
            metrics::SEARCH_SECONDS.observe(*after_ms as f64 / 1_000.0);
        }
        if let Decision::Admitted { waited_ms, .. } = decision {
            metrics::WAIT_SECONDS.observe(*waited_ms as f64 / 1_000.0);
        }
        if let Decision::Bound { waited_ms, .. } | Decision::Undeferred { waited_ms, .. } = decision
        {
            metrics::DEFERRED_SECONDS.observe(*waited_ms as f64 / 1_000.0);
        }
        let allowed = match class(decision) {
            Class::Step => self.steps.allow(now_ms),
            Class::Outcome => self.outcomes.allow(now_ms),
            Class::Detail => tracing::enabled!(tracing::Level::DEBUG),
        };
        if !allowed {
            return;
        }
        let flow = key.map(|it| it.to_string());
        log_decision(id, flow.as_deref(), decision);
    }

    /// Logs the number of suppressed lines.
    pub(crate) fn tick(&mut self, now_ms: u64) {
        if now_ms.saturating_sub(self.reported_ms) < REPORT_INTERVAL_MS {
            return;
        }
        self.reported_ms = now_ms;
        let (steps, outcomes) = (self.steps.take_suppressed(), self.outcomes.take_suppressed());
        if steps + outcomes > 0 {
            let id = Id::LinesSuppressed;
            tracing::warn!(id = id as u16, name = id.name(), steps, outcomes);
        }
    }
}

fn class(decision: &Decision) -> Class {
    match decision {
        Decision::Placed { .. }
        | Decision::Deferred { .. }
        | Decision::Bound { .. }
        | Decision::Undeferred { .. }
        | Decision::Accepted { .. }
        | Decision::Searched { .. }
        | Decision::Found { .. }
        | Decision::Absent
        | Decision::Admitted { .. }
        | Decision::Held { .. } => Class::Step,
        // The line of the accepting agent contains the whole candidate list.
        Decision::Forwarded { .. } => Class::Detail,
        // The line at the end of the startup has their numbers.
        Decision::StartupHeld | Decision::StartupReplayed | Decision::StartupExpired => {
            Class::Detail
        }
        Decision::NoCandidate { .. }
        | Decision::Refused
        | Decision::BeyondShare { .. }
        | Decision::NotFound { .. }
        | Decision::UpstreamReset { .. }
        | Decision::BreakerOpened
        | Decision::BreakerClosed
        | Decision::Reset(_)
        | Decision::PacketsReplayed { .. }
        | Decision::Dropped(_) => Class::Outcome,
    }
}

fn event_and_label(decision: &Decision) -> (Id, &'static str) {
    match decision {
        Decision::Placed { .. } => (Id::FlowPlaced, "placed"),
        Decision::Deferred { .. } => (Id::OpeningDeferred, "deferred"),
        Decision::Bound { .. } => (Id::OpeningBound, "bound"),
        Decision::Undeferred { .. } => (Id::OpeningUndeferred, "undeferred"),
        Decision::Accepted { last: LastResort::No, .. } => (Id::FlowAccepted, "accepted"),
        Decision::Accepted { last: LastResort::Yes, .. } => (Id::FlowAccepted, "accepted-last"),
        Decision::Forwarded { .. } => (Id::FlowPassed, "passed-on"),
        Decision::NoCandidate { .. } => (Id::FlowUnplaced, "unplaced"),
        Decision::Refused => (Id::FlowRefused, "refused"),
        Decision::Searched { .. } => (Id::FlowSearched, "searched"),
        Decision::Found { .. } => (Id::FlowFound, "found"),
        Decision::NotFound { .. } => (Id::FlowNotFound, "not-found"),
        Decision::Absent => (Id::FlowAbsent, "absent"),
        Decision::Admitted { .. } => (Id::RequestAdmitted, "admitted"),
        Decision::BeyondShare { .. } => (Id::RouteBeyondShare, "beyond-share"),
        Decision::Held { .. } => (Id::FlowHeld, "held"),
        Decision::UpstreamReset { .. } => (Id::UpstreamReset, "upstream-reset"),
        Decision::BreakerOpened => (Id::UpstreamSetAside, "set-aside"),
        Decision::BreakerClosed => (Id::UpstreamTakenBack, "taken-back"),
        Decision::Reset(reason) => (Id::FlowReset, reason.as_str()),
        Decision::Dropped(reason) => (Id::PacketDropped, reason.as_str()),
        Decision::StartupHeld => (Id::PacketsReplayed, "startup-held"),
        Decision::StartupReplayed => (Id::PacketsReplayed, "startup-replayed"),
        Decision::StartupExpired => (Id::PacketsReplayed, "startup-expired"),
        Decision::PacketsReplayed { .. } => (Id::PacketsReplayed, "packets-replayed"),
    }
}

fn log_decision(id: Id, flow: Option<&str>, decision: &Decision) {
    let name = id.name();
    let id = id as u16;
    match *decision {
        Decision::Placed { first, copies } => {
            tracing::info!(id, name, flow, agent = %first, copies);
        }
        Decision::Deferred { agents, held } => {
            let agents: Vec<_> = agents.iter().flatten().map(ToString::to_string).collect();
            tracing::info!(id, name, flow, agents = agents.join(" "), held);
        }
        Decision::Bound { agent, waited_ms, held } => {
            tracing::info!(id, name, flow, agent = %agent, waited_ms, held);
        }
        Decision::Undeferred { reason, waited_ms } => {
            tracing::info!(id, name, flow, why = reason.as_str(), waited_ms);
        }
        Decision::Accepted { load, last, candidates } => {
            let (last, limit) = (last == LastResort::Yes, candidates.limit);
            tracing::info!(id, name, flow, load, last, limit, walk = %candidates);
        }
        Decision::NoCandidate { candidates } => {
            tracing::warn!(id, name, flow, limit = candidates.limit, walk = %candidates);
        }
        Decision::Forwarded { to, load, limit } => {
            tracing::debug!(id, name, flow, agent = %to, load, limit);
        }
        Decision::Searched { asked } => tracing::info!(id, name, flow, asked),
        Decision::Found { agent, after_ms } => {
            tracing::info!(id, name, flow, agent = %agent, after_ms);
        }
        Decision::NotFound { absent, asked, former, silent } => {
            let silent = silent.map(|it| it.to_string());
            tracing::warn!(id, name, flow, absent, asked, former, silent);
        }
        Decision::Admitted { waited_ms, reason, waiting } => {
            tracing::info!(id, name, flow, waited_ms, cause = reason.as_str(), waiting);
        }
        Decision::BeyondShare { service, report: BeyondShare { beyond, rate_per_s } } => {
            tracing::info!(id, name, flow, service = %service, beyond, rate_per_s);
        }
        Decision::Held { agent } => tracing::info!(id, name, flow, agent = %agent),
        Decision::UpstreamReset { passed } => tracing::warn!(id, name, flow, passed),
        Decision::Reset(reason) => tracing::warn!(id, name, flow, why = reason.as_str()),
        Decision::Dropped(reason) => tracing::info!(id, name, flow, why = reason.as_str()),
        Decision::StartupHeld => tracing::debug!(id, name, flow, step = "held"),
        Decision::StartupReplayed => tracing::debug!(id, name, flow, step = "replayed"),
        Decision::StartupExpired => tracing::debug!(id, name, flow, step = "expired"),
        Decision::PacketsReplayed { openings, others, expired, waited_ms } => {
            tracing::info!(id, name, openings, others, expired, waited_ms);
        }
        Decision::BreakerOpened => tracing::warn!(id, name),
        Decision::BreakerClosed => tracing::info!(id, name),
        Decision::Refused | Decision::Absent => tracing::info!(id, name, flow),
    }
}
