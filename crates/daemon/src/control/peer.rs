//! A link as the shared state holds it, and what is known of the peer at its other end.

use bytes::Bytes;
use camphorwinch_core::view::Scope;
use camphorwinch_wire::message::{Body, Frame};
use prost::Message;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use crate::control::Load;

/// Number of a link within the process.
pub(crate) type LinkId = u64;

/// What a link is to this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LinkKind {
    /// Between two balancers.
    Mesh,
    /// From this agent to a balancer.
    Home,
    /// From an agent to this balancer.
    Agent,
}

/// A link that is up.
pub(crate) struct Link {
    /// Name of the peer.
    pub(crate) peer: String,
    /// What it is for.
    pub(crate) kind: LinkKind,
    /// Whether this process opened it.
    pub(crate) opened: bool,
    /// What the peer is given.
    pub(crate) scope: Scope,
    /// Whether either side ends it because it is no longer needed.
    pub(crate) ended: bool,
    /// Whether it was ended because nothing arrived.
    pub(crate) silent: bool,
    /// When something last arrived.
    pub(crate) heard_ms: u64,
    /// Whether the peer's mark differed and nothing was asked yet.
    pub(crate) differs: bool,
    /// When a digest was last sent because of a difference.
    pub(crate) digest_ms: u64,
    /// Frames to be written.
    pub(crate) outbox: mpsc::Sender<Bytes>,
    /// Ends the link's tasks.
    pub(crate) stop: CancellationToken,
}

impl Link {
    /// Queues a message. A peer that does not read for so long that the queue is full loses the link.
    pub(crate) fn send(&self, body: Body) {
        let frame = Bytes::from(Frame::new(body).encode_to_vec());
        if self.outbox.try_send(frame).is_err() {
            self.stop.cancel();
        }
    }
}

/// What a balancer knows of an agent that is linked to it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Homed {
    /// Revision in force there.
    pub(crate) applied: u64,
    /// Its load.
    pub(crate) load: Load,
    /// Key epochs of its flows.
    pub(crate) epochs: Vec<u8>,
    /// Whether this balancer is the one to report about it.
    pub(crate) primary: bool,
}
