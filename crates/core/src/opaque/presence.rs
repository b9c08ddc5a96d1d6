//! What an agent knows of the upstream beside it, from heartbeats.

use super::fleet::Upstream;

/// Heartbeats that may be missing before an upstream's state counts as unknown.
const MISSED_BEATS: u64 = 3;
/// Former upstreams of this address that are remembered, so that a late heartbeat is not taken for a new one.
const FORMER_KEPT: usize = 16;

/// A heartbeat of the upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Heartbeat {
    /// Name of the upstream process, new with each start.
    pub id: String,
    /// Number of the heartbeat.
    pub seq: u64,
    /// Whether the upstream leaves.
    pub draining: bool,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Time for which it goes on being slow after its start.
    pub cold_ms: u64,
}

/// What a heartbeat says of which process it is from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sender {
    /// The one that is known, or the first one after the agent's start.
    Known,
    /// The first one, and its first heartbeat: the agent has seen its whole life.
    Newborn,
    /// Another one, in place of one that was last heard at this time.
    Successor {
        /// When the former one was last heard.
        heard_ms: u64,
    },
    /// The heartbeat is older than what is known.
    Late,
}

#[derive(Clone, Debug)]
struct Present {
    id: String,
    seq: u64,
    state: Upstream,
    slots: u32,
    cold_until: u64,
    heard_ms: u64,
}

/// The upstream that is there, and those that were.
#[derive(Clone, Debug)]
pub(super) struct Presence {
    beat_ms: u64,
    present: Option<Present>,
    former: Vec<String>,
}

impl Presence {
    pub(super) fn new(beat_ms: u64) -> Presence {
        Presence { beat_ms, present: None, former: Vec::new() }
    }

    pub(super) fn is_known(&self) -> bool {
        self.present.is_some()
    }

    /// Whether an upstream is or was known.
    pub(super) fn was_known(&self) -> bool {
        self.present.is_some() || !self.former.is_empty()
    }

    /// State of the upstream, if one is known.
    pub(super) fn state(&self, now_ms: u64) -> Option<Upstream> {
        let present = self.present.as_ref()?;
        let silent = now_ms.saturating_sub(present.heard_ms) > self.beat_ms * MISSED_BEATS;
        let unsure = present.state == Upstream::Ready && silent;
        Some(if unsure { Upstream::Unknown } else { present.state })
    }

    /// Requests that the upstream runs at once, and whether it is still slow from its start.
    pub(super) fn capacity(&self, now_ms: u64) -> (u32, bool) {
        self.present.as_ref().map_or((1, false), |it| (it.slots, now_ms < it.cold_until))
    }

    /// Requests that the upstream runs at once, if it has said so.
    pub(super) fn slots(&self) -> Option<u32> {
        self.present.as_ref().map(|it| it.slots)
    }

    /// Takes a heartbeat.
    pub(super) fn hear(&mut self, beat: &Heartbeat, now_ms: u64) -> Sender {
        if self.former.contains(&beat.id) {
            return Sender::Late;
        }
        let sender = match self.present.take() {
            Some(it) if it.id == beat.id && beat.seq <= it.seq => {
                self.present = Some(it);
                return Sender::Late;
            }
            Some(it) if it.id != beat.id => {
                let heard_ms = it.heard_ms;
                self.remember(it.id);
                Sender::Successor { heard_ms }
            }
            None if beat.seq <= 1 => Sender::Newborn,
            _ => Sender::Known,
        };
        let state = if beat.draining { Upstream::Draining } else { Upstream::Ready };
        self.present = Some(Present {
            id: beat.id.clone(),
            seq: beat.seq,
            state,
            slots: beat.slots,
            cold_until: now_ms + beat.cold_ms,
            heard_ms: now_ms,
        });
        sender
    }

    /// The upstream says that it ends; whether it is the one that is known.
    pub(super) fn deregister(&mut self, id: &str) -> bool {
        let Some(present) = self.present.as_mut().filter(|it| it.id == id) else {
            return false;
        };
        present.state = Upstream::Ended;
        true
    }

    /// The upstream's process is proven to have ended.
    pub(super) fn end(&mut self) {
        if let Some(present) = self.present.take() {
            self.remember(present.id);
        }
    }

    fn remember(&mut self, id: String) {
        if self.former.len() == FORMER_KEPT {
            self.former.remove(0);
        }
        self.former.push(id);
    }
}
