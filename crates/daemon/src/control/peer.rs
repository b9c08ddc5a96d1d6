//! State of links and of the agents linked to a balancer.

use bytes::Bytes;
use camphorwinch_core::view::Scope;
use camphorwinch_wire::message::{Body, Frame};
use prost::Message;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use crate::control::Load;

/// ID of a link, unique within the process.
pub(crate) type LinkId = u64;

/// Kind of a link, from the point of view of this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LinkKind {
    /// Between two balancers.
    Mesh,
    /// From this agent to a balancer.
    Balancer,
    /// From an agent to this balancer.
    Agent,
}

pub(crate) struct Link {
    /// Name of the peer.
    pub(crate) peer: String,
    pub(crate) kind: LinkKind,
    /// Whether this process opened it.
    pub(crate) opened: bool,
    /// Records that are sent to the peer.
    pub(crate) scope: Scope,
    /// Whether either side is closing the link because it is no longer needed.
    pub(crate) closing: bool,
    /// Whether the link is closed because no frame arrived in time.
    pub(crate) timed_out: bool,
    /// When the last frame arrived.
    pub(crate) last_received_ms: u64,
    /// Whether the peer's watermark differs and a digest is still to be sent.
    pub(crate) digest_pending: bool,
    /// When a digest was last sent because of a difference.
    pub(crate) last_digest_ms: u64,
    /// Send queue.
    pub(crate) outbox: mpsc::Sender<Bytes>,
    /// Stops the tasks of the link.
    pub(crate) stop: CancellationToken,
}

impl Link {
    /// Queues a message. Closes the link if the queue is full.
    pub(crate) fn send(&self, body: Body) {
        let frame = Bytes::from(Frame::new(body).encode_to_vec());
        if self.outbox.try_send(frame).is_err() {
            self.stop.cancel();
        }
    }
}

/// Last heartbeat of an agent linked to this balancer.
#[derive(Clone, Debug, Default)]
pub(crate) struct LinkedAgent {
    /// Revision in force at the agent.
    pub(crate) applied: u64,
    /// Load of the agent.
    pub(crate) load: Load,
    /// Key epochs of its flows.
    pub(crate) epochs: Vec<u8>,
    /// Whether this balancer reports for the agent.
    pub(crate) primary: bool,
}
