//! Tracks the upstream beside an agent by its heartbeats.
//!
//! An upstream may restart under the same id, so an instance is identified by its id and start time. The start time
//! comes from the upstream's own clock, which may jump back between two instances, and a delayed heartbeat may come
//! from a former instance. A later start time therefore replaces the current instance at once. An ambiguous heartbeat
//! does so only if more of them follow while the current instance is silent.

use super::fleet::UpstreamState;

/// Heartbeat intervals without a heartbeat after which a ready upstream's state is unknown.
const MAX_MISSED_HEARTBEATS: u64 = 3;
/// Heartbeat intervals without a heartbeat of the current instance after which an ambiguous instance may replace it;
/// one heartbeat may be lost, and a live upstream must not be given up for heartbeats that a partition delayed.
const REPLACE_AFTER_MISSED_HEARTBEATS: u64 = 2;
/// Former instances remembered, so that their delayed heartbeats are recognized.
const MAX_FORMER_INSTANCES: usize = 16;

/// One instance of an upstream process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamInstance {
    /// Name of the process; it may be reused after a restart.
    pub id: String,
    /// Start time by its own clock, in milliseconds since the Unix epoch, if reported.
    pub started_at_ms: Option<u64>,
}

/// A heartbeat of the upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Heartbeat {
    /// The instance that sent it.
    pub instance: UpstreamInstance,
    /// Sequence number within the instance.
    pub seq: u64,
    /// Whether the upstream is draining.
    pub draining: bool,
    /// Requests that the upstream serves concurrently.
    pub slots: u32,
    /// Remaining time for which the upstream is slow after its start, in milliseconds.
    pub cold_ms: u64,
}

/// Which instance a heartbeat is attributed to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum HeartbeatSource {
    /// The current instance, or the first one seen since the agent started.
    Current,
    /// The first instance seen, in its first heartbeat, so that the agent has seen it from its start.
    New,
    /// A new instance that replaces the current one.
    Replacement {
        /// Events up to this time belong to the former instance.
        until_ms: u64,
    },
    /// An outdated heartbeat.
    Outdated,
    /// A former instance, or a new one after a clock jump.
    Ambiguous,
    /// Unknown: no start time, though the current instance reports one.
    MissingStartTime,
}

/// How the sender of a heartbeat relates to the current instance.
enum Relation {
    /// Same instance.
    Same,
    /// Later or first reported start time, or a new id with the same or no start time.
    Newer,
    /// Same id, no higher sequence number and no start times: most likely a delayed heartbeat.
    Older,
    /// Earlier start time: a former instance, or a new one whose clock jumped back.
    Ambiguous,
    /// No start time, though the current instance reports one.
    MissingStartTime,
}

#[derive(Clone, Debug)]
struct Current {
    instance: UpstreamInstance,
    seq: u64,
    state: UpstreamState,
    slots: u32,
    cold_until_ms: u64,
    last_seen_ms: u64,
}

impl Current {
    fn new(beat: &Heartbeat, now_ms: u64) -> Current {
        Current {
            instance: beat.instance.clone(),
            seq: beat.seq,
            state: if beat.draining { UpstreamState::Draining } else { UpstreamState::Ready },
            slots: beat.slots,
            cold_until_ms: now_ms.saturating_add(beat.cold_ms),
            last_seen_ms: now_ms,
        }
    }

    fn relation(&self, beat: &Heartbeat) -> Relation {
        let same_id = self.instance.id == beat.instance.id;
        match (self.instance.started_at_ms, beat.instance.started_at_ms) {
            (Some(_), None) => Relation::MissingStartTime,
            (Some(own), Some(other)) if own == other && same_id => Relation::Same,
            (Some(own), Some(other)) if own <= other => Relation::Newer,
            (Some(_), Some(_)) => Relation::Ambiguous,
            (None, Some(_)) => Relation::Newer,
            (None, None) if !same_id => Relation::Newer,
            (None, None) if beat.seq > self.seq => Relation::Same,
            (None, None) => Relation::Older,
        }
    }
}

/// The last heartbeat of an instance that may be a former one or the replacement.
#[derive(Clone, Debug)]
struct PendingReplacement {
    instance: UpstreamInstance,
    seq: u64,
}

/// The current upstream instance and the former ones.
#[derive(Clone, Debug)]
pub(super) struct UpstreamTracker {
    heartbeat_interval_ms: u64,
    current: Option<Current>,
    pending: Option<PendingReplacement>,
    former: Vec<UpstreamInstance>,
}

impl UpstreamTracker {
    pub(super) fn new(heartbeat_interval_ms: u64) -> UpstreamTracker {
        UpstreamTracker { heartbeat_interval_ms, current: None, pending: None, former: Vec::new() }
    }

    /// Whether an upstream is known and has not ended.
    pub(super) fn is_known(&self) -> bool {
        self.current.as_ref().is_some_and(|it| it.state != UpstreamState::Ended)
    }

    /// Whether an upstream is or was known.
    pub(super) fn was_known(&self) -> bool {
        self.current.is_some()
    }

    /// State of the upstream; none if no heartbeat was received.
    pub(super) fn state(&self, now_ms: u64) -> Option<UpstreamState> {
        let current = self.current.as_ref()?;
        let silent = now_ms.saturating_sub(current.last_seen_ms)
            > self.heartbeat_interval_ms * MAX_MISSED_HEARTBEATS;
        let is_unknown = current.state == UpstreamState::Ready && silent;
        Some(if is_unknown { UpstreamState::Unknown } else { current.state })
    }

    /// Slots of the upstream, and whether it is still cold.
    pub(super) fn capacity(&self, now_ms: u64) -> (u32, bool) {
        self.current.as_ref().map_or((1, false), |it| (it.slots, now_ms < it.cold_until_ms))
    }

    /// Slots of the upstream; none before the first heartbeat.
    pub(super) fn slots(&self) -> Option<u32> {
        self.current.as_ref().map(|it| it.slots)
    }

    /// Applies a heartbeat and returns which instance sent it.
    pub(super) fn handle_heartbeat(&mut self, beat: &Heartbeat, now_ms: u64) -> HeartbeatSource {
        if self.former.contains(&beat.instance) {
            return HeartbeatSource::Outdated;
        }
        let Some(current) = &self.current else {
            self.current = Some(Current::new(beat, now_ms));
            return if beat.seq <= 1 { HeartbeatSource::New } else { HeartbeatSource::Current };
        };
        let outdated = beat.seq <= current.seq || current.state == UpstreamState::Ended;
        match current.relation(beat) {
            Relation::MissingStartTime => HeartbeatSource::MissingStartTime,
            Relation::Same if outdated => HeartbeatSource::Outdated,
            Relation::Same => {
                self.pending = None;
                self.current = Some(Current::new(beat, now_ms));
                HeartbeatSource::Current
            }
            Relation::Older if !self.confirms_replacement(beat, now_ms) => {
                HeartbeatSource::Outdated
            }
            Relation::Ambiguous if !self.confirms_replacement(beat, now_ms) => {
                HeartbeatSource::Ambiguous
            }
            Relation::Newer | Relation::Older | Relation::Ambiguous => {
                self.replace_current(beat, now_ms)
            }
        }
    }

    /// The earliest time at which the sender can have started, given that successive heartbeats are at most one
    /// interval apart.
    fn earliest_start_ms(&self, beat: &Heartbeat, now_ms: u64) -> u64 {
        match beat.seq {
            0 | 1 => now_ms,
            seq => now_ms
                .saturating_sub(self.heartbeat_interval_ms.saturating_mul(seq.saturating_add(1))),
        }
    }

    fn replace_current(&mut self, beat: &Heartbeat, now_ms: u64) -> HeartbeatSource {
        self.pending = None;
        let start_ms = self.earliest_start_ms(beat, now_ms);
        let Some(former) = self.current.replace(Current::new(beat, now_ms)) else {
            return HeartbeatSource::Current;
        };
        if self.former.len() == MAX_FORMER_INSTANCES {
            self.former.remove(0);
        }
        // Instances with the same id and no start times can't be told apart.
        if former.instance != beat.instance {
            self.former.push(former.instance);
        }
        HeartbeatSource::Replacement { until_ms: former.last_seen_ms.min(start_ms) }
    }

    /// Records an ambiguous heartbeat; true if its instance has sent an earlier one and the current instance is
    /// silent or ended.
    fn confirms_replacement(&mut self, beat: &Heartbeat, now_ms: u64) -> bool {
        let Some(current) = &self.current else {
            return true;
        };
        let ended = current.state == UpstreamState::Ended;
        let silent = now_ms.saturating_sub(current.last_seen_ms)
            > self.heartbeat_interval_ms * REPLACE_AFTER_MISSED_HEARTBEATS;
        let previous = self
            .pending
            .replace(PendingReplacement { instance: beat.instance.clone(), seq: beat.seq });
        let continues =
            previous.is_some_and(|it| it.instance == beat.instance && it.seq < beat.seq);
        continues && (silent || ended)
    }

    /// Handles the announcement of an upstream that it ends; true if it is the current instance. An announcement
    /// without a start time is accepted only while the current instance is draining, as it can't come from a former
    /// instance then.
    pub(super) fn deregister(&mut self, instance: &UpstreamInstance) -> bool {
        let Some(current) = self.current.as_mut().filter(|it| it.instance.id == instance.id) else {
            return false;
        };
        let without_start_time =
            instance.started_at_ms.is_none() && current.state == UpstreamState::Draining;
        if current.instance.started_at_ms != instance.started_at_ms && !without_start_time {
            return false;
        }
        current.state = UpstreamState::Ended;
        true
    }

    /// Marks the upstream as ended.
    pub(super) fn mark_ended(&mut self) {
        if let Some(current) = &mut self.current {
            current.state = UpstreamState::Ended;
        }
    }
}
