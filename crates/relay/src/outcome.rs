//! What became of datagrams, counted.

use std::sync::atomic::{AtomicU64, Ordering};

use camphorwinch_core::place::{Placement, Refusal};

/// What became of a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// Sent to the agent that holds its flow.
    Owner,
    /// Sent to the agent sealed in its connection ID, which is not known here as a member.
    OwnerUnknown,
    /// Sent to the candidates for a new flow.
    New,
    /// Sent to a live agent, for a stateless reset.
    Reset,
    /// Dropped: does not fit into a packet with the encapsulation.
    Oversized,
    /// The system refused to send it.
    SendFailed,
    /// The send buffer was full.
    SendBlocked,
    /// Dropped: no place for it.
    Refused(Refusal),
}

impl Outcome {
    /// Number of outcomes.
    pub const COUNT: usize = Outcome::OWN.len() + Refusal::ALL.len();

    const OWN: [Outcome; 7] = [
        Outcome::Owner,
        Outcome::OwnerUnknown,
        Outcome::New,
        Outcome::Reset,
        Outcome::Oversized,
        Outcome::SendFailed,
        Outcome::SendBlocked,
    ];

    /// All outcomes, in the order of their numbers.
    pub fn all() -> impl Iterator<Item = Outcome> {
        let refused = Refusal::ALL.into_iter().map(Outcome::Refused);
        Outcome::OWN.into_iter().chain(refused)
    }

    /// Number of the outcome, less than [`Outcome::COUNT`].
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
            Outcome::Refused(it) => Outcome::OWN.len() + it as usize,
        }
    }

    /// Name used in metrics.
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

/// Datagrams by outcome. Shared between workers; each adds once per batch.
#[derive(Debug, Default)]
pub struct Tally {
    counts: [AtomicU64; Outcome::COUNT],
}

impl Tally {
    /// Adds `count` datagrams.
    pub fn add(&self, outcome: Outcome, count: u64) {
        self.counts[outcome.index()].fetch_add(count, Ordering::Relaxed);
    }

    /// Datagrams so far.
    pub fn get(&self, outcome: Outcome) -> u64 {
        self.counts[outcome.index()].load(Ordering::Relaxed)
    }

    /// Datagrams sent to agents so far.
    pub fn relayed(&self) -> u64 {
        let sent = [Outcome::Owner, Outcome::OwnerUnknown, Outcome::New, Outcome::Reset];
        sent.into_iter().map(|it| self.get(it)).sum()
    }
}
