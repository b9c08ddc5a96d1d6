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
    /// Dropped: not a QUIC packet that a caller could send.
    Garbage,
    /// Dropped: would start a flow, but too small.
    Small,
    /// Dropped: forged connection ID.
    Forged,
    /// Dropped: unknown key epoch.
    Epoch,
    /// Dropped: the flow's service never had this address.
    WrongService,
    /// Dropped: no agent for the service.
    NoUpstream,
    /// Dropped: the flow's agent is dead, and a reset is not possible.
    OwnerDown,
    /// Dropped: the address has no service any more.
    NoService,
    /// Dropped: no keys yet.
    NoKeys,
    /// Dropped: does not fit into a packet with the encapsulation.
    Oversized,
    /// The system refused to send it.
    SendFailed,
    /// The send buffer was full.
    SendBlocked,
}

impl Outcome {
    /// All outcomes.
    pub const ALL: [Outcome; 16] = [
        Outcome::Owner,
        Outcome::OwnerUnknown,
        Outcome::New,
        Outcome::Reset,
        Outcome::Garbage,
        Outcome::Small,
        Outcome::Forged,
        Outcome::Epoch,
        Outcome::WrongService,
        Outcome::NoUpstream,
        Outcome::OwnerDown,
        Outcome::NoService,
        Outcome::NoKeys,
        Outcome::Oversized,
        Outcome::SendFailed,
        Outcome::SendBlocked,
    ];

    /// Name used in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Outcome::Owner => "owner",
            Outcome::OwnerUnknown => "owner-unknown",
            Outcome::New => "new",
            Outcome::Reset => "reset",
            Outcome::Garbage => "garbage",
            Outcome::Small => "small",
            Outcome::Forged => "forged",
            Outcome::Epoch => "epoch",
            Outcome::WrongService => "wrong-service",
            Outcome::NoUpstream => "no-upstream",
            Outcome::OwnerDown => "owner-down",
            Outcome::NoService => "no-service",
            Outcome::NoKeys => "no-keys",
            Outcome::Oversized => "oversized",
            Outcome::SendFailed => "send-failed",
            Outcome::SendBlocked => "send-blocked",
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
            Placement::Drop(refusal) => Outcome::from(*refusal),
        }
    }
}

impl From<Refusal> for Outcome {
    fn from(refusal: Refusal) -> Outcome {
        match refusal {
            Refusal::Garbage => Outcome::Garbage,
            Refusal::Small => Outcome::Small,
            Refusal::Forged => Outcome::Forged,
            Refusal::Epoch => Outcome::Epoch,
            Refusal::WrongService => Outcome::WrongService,
            Refusal::NoUpstream => Outcome::NoUpstream,
            Refusal::OwnerDown => Outcome::OwnerDown,
            Refusal::NoService => Outcome::NoService,
            Refusal::NoKeys => Outcome::NoKeys,
        }
    }
}

/// Datagrams by outcome. Shared between workers; each adds once per batch.
#[derive(Debug, Default)]
pub struct Tally {
    counts: [AtomicU64; Outcome::ALL.len()],
}

impl Tally {
    /// Adds `count` datagrams.
    pub fn add(&self, outcome: Outcome, count: u64) {
        self.counts[outcome as usize].fetch_add(count, Ordering::Relaxed);
    }

    /// Datagrams so far.
    pub fn get(&self, outcome: Outcome) -> u64 {
        self.counts[outcome as usize].load(Ordering::Relaxed)
    }

    /// Datagrams sent to agents so far.
    pub fn relayed(&self) -> u64 {
        let sent = [Outcome::Owner, Outcome::OwnerUnknown, Outcome::New, Outcome::Reset];
        sent.into_iter().map(|it| self.get(it)).sum()
    }
}
