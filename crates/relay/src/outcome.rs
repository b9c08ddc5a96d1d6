//! Counters of relayed and dropped datagrams.

use std::sync::atomic::{AtomicU64, Ordering};

use camphorwinch_core::place::{DropReason, Placement};

/// Result of relaying a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// Sent to the agent that owns its flow.
    Owner,
    /// Sent to the agent sealed in its connection ID, which is not among the known members.
    OwnerUnknown,
    /// Sent to the first candidate for a new flow.
    New,
    /// Sent to a live agent that answers with a stateless reset.
    Reset,
    /// Dropped: too large to be encapsulated.
    Oversized,
    /// Dropped: the send call failed.
    SendFailed,
    /// Dropped: the send buffer was full.
    SendBlocked,
    /// Dropped: rejected by the placer.
    Refused(DropReason),
}

impl Outcome {
    /// Number of outcomes.
    pub const COUNT: usize = Outcome::BASE.len() + DropReason::ALL.len();

    const BASE: [Outcome; 7] = [
        Outcome::Owner,
        Outcome::OwnerUnknown,
        Outcome::New,
        Outcome::Reset,
        Outcome::Oversized,
        Outcome::SendFailed,
        Outcome::SendBlocked,
    ];

    /// Returns all outcomes, ordered by index.
    pub fn all() -> impl Iterator<Item = Outcome> {
        let refused = DropReason::ALL.into_iter().map(Outcome::Refused);
        Outcome::BASE.into_iter().chain(refused)
    }

    /// Returns the index of the outcome, less than [`Outcome::COUNT`].
    #[inline]
    pub fn index(self) -> usize {
        match self {
            Outcome::Owner => 0,
            Outcome::OwnerUnknown => 1,
            Outcome::New => 2,
            Outcome::Reset => 3,
            Outcome::Oversized => 4,
            Outcome::SendFailed => 5,
            Outcome::SendBlocked => 6,
            Outcome::Refused(it) => Outcome::BASE.len() + it as usize,
        }
    }

    /// Returns the name used in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Outcome::Owner => "owner",
            Outcome::OwnerUnknown => "owner-unknown",
            Outcome::New => "new",
            Outcome::Reset => "reset",
            Outcome::Oversized => "oversized",
            Outcome::SendFailed => "send-failed",
            Outcome::SendBlocked => "send-blocked",
            Outcome::Refused(it) => it.as_str(),
        }
    }
}

impl From<&Placement> for Outcome {
    fn from(placement: &Placement) -> Outcome {
        match placement {
            Placement::Owner { known: true, .. } => Outcome::Owner,
            Placement::Owner { known: false, .. } => Outcome::OwnerUnknown,
            Placement::New { .. } => Outcome::New,
            Placement::Reset(_) => Outcome::Reset,
            Placement::Drop(refusal) => Outcome::Refused(*refusal),
        }
    }
}

/// Datagram counters by outcome. Shared between workers; each adds once per batch.
#[derive(Debug, Default)]
pub struct OutcomeCounters {
    counts: [AtomicU64; Outcome::COUNT],
}

impl OutcomeCounters {
    /// Adds `count` datagrams.
    pub fn add(&self, outcome: Outcome, count: u64) {
        self.counts[outcome.index()].fetch_add(count, Ordering::Relaxed);
    }

    /// Returns the number of datagrams with this outcome.
    pub fn get(&self, outcome: Outcome) -> u64 {
        self.counts[outcome.index()].load(Ordering::Relaxed)
    }

    /// Returns the number of datagrams sent to agents.
    pub fn total_sent(&self) -> u64 {
        let sent = [Outcome::Owner, Outcome::OwnerUnknown, Outcome::New, Outcome::Reset];
        sent.into_iter().map(|it| self.get(it)).sum()
    }
}
