//! Invariants that are checked in every build.
//!
//! A violation does not stop the process. It is counted; the daemon exports the counts as a metric and logs each
//! violation as an event, and tests fail on any count above zero.

use std::{
    fmt,
    sync::atomic::{AtomicU64, Ordering},
};

/// The invariants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Invariant {
    /// A non-idempotent request is sent to an upstream at most once.
    RunOnce,
    /// "Not run" is returned only for a request that was never sent to an upstream.
    NotRunTrue,
    /// A packet goes only to an agent of the service whose address received it.
    SameService,
    /// A lower version never replaces a higher one.
    VersionGrows,
    /// A draining agent accepts no new flow and starts no new request.
    DrainHolds,
    /// A request gets exactly one final response.
    OneAnswer,
    /// Only the current holder of a lease writes to it.
    LeaseHeld,
}

impl Invariant {
    /// All invariants.
    pub const ALL: [Invariant; 7] = [
        Invariant::RunOnce,
        Invariant::NotRunTrue,
        Invariant::SameService,
        Invariant::VersionGrows,
        Invariant::DrainHolds,
        Invariant::OneAnswer,
        Invariant::LeaseHeld,
    ];

    /// Name used in metrics and events.
    pub fn as_str(self) -> &'static str {
        match self {
            Invariant::RunOnce => "run-once",
            Invariant::NotRunTrue => "not-run-true",
            Invariant::SameService => "same-service",
            Invariant::VersionGrows => "version-grows",
            Invariant::DrainHolds => "drain-holds",
            Invariant::OneAnswer => "one-answer",
            Invariant::LeaseHeld => "lease-held",
        }
    }
}

impl fmt::Display for Invariant {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

static VIOLATIONS: [AtomicU64; Invariant::ALL.len()] =
    [const { AtomicU64::new(0) }; Invariant::ALL.len()];

/// Counts a violation of `invariant` if `holds` is false. Returns `holds`.
#[inline]
#[must_use]
pub fn check(invariant: Invariant, holds: bool) -> bool {
    if !holds {
        VIOLATIONS[invariant as usize].fetch_add(1, Ordering::Relaxed);
    }
    holds
}

/// Number of violations of `invariant` in this process.
pub fn violations(invariant: Invariant) -> u64 {
    VIOLATIONS[invariant as usize].load(Ordering::Relaxed)
}
