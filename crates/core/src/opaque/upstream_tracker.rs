//! Tracks the upstream beside an agent by its heartbeats.
//!
//! An upstream may restart under the same id, so an instance is identified by its id and start time. The start time
//! comes from the upstream's own clock, which may jump back between two instances, and a delayed heartbeat may come
//! from a former instance. A later start time therefore replaces the current instance at once. An ambiguous heartbeat
//! does so only if more of them follow while the current instance is silent.
//!
//! Without start times two ids have no order. An instance of another id replaces one that has ended or is silent.
//! Otherwise it becomes the rival: both count until one of them is silent.

use super::fleet::UpstreamState;

/// Heartbeat intervals without a heartbeat after which a ready upstream's state is unknown.
const MAX_MISSED_HEARTBEATS: u64 = 3;
/// Heartbeat intervals without a heartbeat of the current instance after which another instance may replace it; one
/// heartbeat may be lost, and a live upstream must not be given up for heartbeats that a partition delayed.
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
    /// The first instance seen, whose first and second heartbeat have arrived, so that the agent has seen it from its
    /// start.
    New,
    /// An instance of another id, while the current one is not silent. Either may be the running one.
    Rival,
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
    /// Later or first reported start time, or a new id with the same start time.
    Newer,
    /// Another id, and no start times.
    Unordered,
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
    /// Earliest time at which the instance can have started.
    start_ms: u64,
}

impl Current {
    fn new(beat: &Heartbeat, start_ms: u64, now_ms: u64) -> Current {
        Current {
            instance: beat.instance.clone(),
            seq: beat.seq,
            state: if beat.draining { UpstreamState::Draining } else { UpstreamState::Ready },
            slots: beat.slots,
            cold_until_ms: now_ms.saturating_add(beat.cold_ms),
            last_seen_ms: now_ms,
            start_ms,
        }
    }

    /// Whether no heartbeat has arrived for `intervals` of `interval_ms`.
    fn has_missed(&self, intervals: u64, interval_ms: u64, now_ms: u64) -> bool {
        now_ms.saturating_sub(self.last_seen_ms) > interval_ms * intervals
    }

    fn relation(&self, beat: &Heartbeat) -> Relation {
        let same_id = self.instance.id == beat.instance.id;
        match (self.instance.started_at_ms, beat.instance.started_at_ms) {
            (Some(_), None) => Relation::MissingStartTime,
            (Some(own), Some(other)) if own == other && same_id => Relation::Same,
            (Some(own), Some(other)) if own <= other => Relation::Newer,
            (Some(_), Some(_)) => Relation::Ambiguous,
            (None, Some(_)) => Relation::Newer,
            (None, None) if !same_id => Relation::Unordered,
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
    /// Instance of another id that may be the running one.
    rival: Option<Current>,
    /// Arrival of the first heartbeat of the first instance seen, until its second one.
    first_seen_ms: Option<u64>,
    pending: Option<PendingReplacement>,
    former: Vec<UpstreamInstance>,
}

impl UpstreamTracker {
    pub(super) fn new(heartbeat_interval_ms: u64) -> UpstreamTracker {
        UpstreamTracker {
            heartbeat_interval_ms,
            current: None,
            rival: None,
            first_seen_ms: None,
            pending: None,
            former: Vec::new(),
        }
    }

    /// Whether an upstream is known and has not ended.
    pub(super) fn is_known(&self) -> bool {
        self.current.as_ref().is_some_and(|it| it.state != UpstreamState::Ended)
    }

    /// Whether an upstream is or was known.
    pub(super) fn was_known(&self) -> bool {
        self.current.is_some()
    }

    /// Whether the instance is unknown and the current one has ended or is silent, so that the heartbeat may be a
    /// delayed one of an upstream that is gone.
    pub(super) fn is_stray_candidate(&self, instance: &UpstreamInstance, now_ms: u64) -> bool {
        let known = [&self.current, &self.rival].into_iter().flatten();
        let is_known = known.into_iter().any(|it| it.instance == *instance);
        !is_known && self.current.as_ref().is_some_and(|it| self.is_replaceable(it, now_ms))
    }

    /// State of the upstream; none if no heartbeat was received. While there is a rival, an upstream that drains or has
    /// ended may be the running one.
    pub(super) fn state(&self, now_ms: u64) -> Option<UpstreamState> {
        let current = self.current.as_ref()?;
        let Some(rival) = self.live_rival(now_ms) else {
            let silent =
                current.has_missed(MAX_MISSED_HEARTBEATS, self.heartbeat_interval_ms, now_ms);
            let is_unknown = current.state == UpstreamState::Ready && silent;
            return Some(if is_unknown { UpstreamState::Unknown } else { current.state });
        };
        Some(match (current.state, rival.state) {
            (UpstreamState::Ended, state) => state,
            (UpstreamState::Draining, _) | (_, UpstreamState::Draining | UpstreamState::Ended) => {
                UpstreamState::Draining
            }
            (UpstreamState::Ready | UpstreamState::Unknown, state) => state,
        })
    }

    /// The rival, if it is not silent.
    fn live_rival(&self, now_ms: u64) -> Option<&Current> {
        self.rival.as_ref().filter(|it| !self.is_silent(it, now_ms))
    }

    /// Whether an instance has been silent for so long that another one may replace it.
    fn is_silent(&self, it: &Current, now_ms: u64) -> bool {
        it.has_missed(REPLACE_AFTER_MISSED_HEARTBEATS, self.heartbeat_interval_ms, now_ms)
    }

    /// Whether an instance of another id may replace this one.
    fn is_replaceable(&self, it: &Current, now_ms: u64) -> bool {
        it.state == UpstreamState::Ended || self.is_silent(it, now_ms)
    }

    /// Slots of the upstream, and whether it is still cold, by its last heartbeat.
    pub(super) fn capacity(&self, now_ms: u64) -> (u32, bool) {
        let instances = self.current.as_ref().into_iter().chain(self.live_rival(now_ms));
        let newest = instances.max_by_key(|it| it.last_seen_ms);
        newest.map_or((1, false), |it| (it.slots, now_ms < it.cold_until_ms))
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
        let start_ms = self.earliest_start_ms(beat, now_ms);
        let Some(current) = &self.current else {
            self.current = Some(Current::new(beat, start_ms, now_ms));
            self.first_seen_ms = Some(now_ms).filter(|_| beat.seq <= 1);
            return HeartbeatSource::Current;
        };
        let outdated = beat.seq <= current.seq || current.state == UpstreamState::Ended;
        match current.relation(beat) {
            Relation::MissingStartTime => HeartbeatSource::MissingStartTime,
            Relation::Same if outdated => HeartbeatSource::Outdated,
            Relation::Same => {
                let first_seen_ms = self.first_seen_ms.take();
                // Delayed heartbeats arrive together.
                let is_new = first_seen_ms
                    .is_some_and(|it| now_ms.saturating_sub(it) * 2 >= self.heartbeat_interval_ms);
                self.pending = None;
                let start_ms = current.start_ms.max(start_ms);
                self.current = Some(Current::new(beat, start_ms, now_ms));
                if self.live_rival(now_ms).is_none() {
                    self.rival = None;
                }
                if is_new { HeartbeatSource::New } else { HeartbeatSource::Current }
            }
            Relation::Unordered => self.handle_unordered(beat, now_ms),
            Relation::Older if !self.confirms_replacement(beat, now_ms) => {
                HeartbeatSource::Outdated
            }
            Relation::Ambiguous if !self.confirms_replacement(beat, now_ms) => {
                HeartbeatSource::Ambiguous
            }
            Relation::Newer | Relation::Older | Relation::Ambiguous => {
                self.replace_current(beat, start_ms, now_ms)
            }
        }
    }

    /// Handles a heartbeat of another id than the current instance's.
    fn handle_unordered(&mut self, beat: &Heartbeat, now_ms: u64) -> HeartbeatSource {
        self.first_seen_ms = None;
        let known = self.rival.as_ref().filter(|it| it.instance == beat.instance);
        let is_outdated =
            known.is_some_and(|it| beat.seq <= it.seq || it.state == UpstreamState::Ended);
        if is_outdated {
            return HeartbeatSource::Outdated;
        }
        // The first heartbeat tells the start best.
        let known_start_ms = known.map_or(0, |it| it.start_ms);
        let start_ms = self.earliest_start_ms(beat, now_ms).max(known_start_ms);
        let Some(current) = self.current.clone() else {
            return HeartbeatSource::Current;
        };
        if !self.is_replaceable(&current, now_ms) {
            self.rival = Some(Current::new(beat, start_ms, now_ms));
            return HeartbeatSource::Rival;
        }
        let source = self.replace_current(beat, start_ms, now_ms);
        self.rival = None;
        if current.state != UpstreamState::Ended {
            // Its heartbeats may only be late.
            self.former.retain(|it| *it != current.instance);
            self.rival = Some(current);
        }
        source
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

    fn replace_current(&mut self, beat: &Heartbeat, start_ms: u64, now_ms: u64) -> HeartbeatSource {
        self.pending = None;
        let Some(former) = self.current.replace(Current::new(beat, start_ms, now_ms)) else {
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
        let is_replaceable = self.is_replaceable(current, now_ms);
        let previous = self
            .pending
            .replace(PendingReplacement { instance: beat.instance.clone(), seq: beat.seq });
        let continues =
            previous.is_some_and(|it| it.instance == beat.instance && it.seq < beat.seq);
        continues && is_replaceable
    }

    /// Handles the announcement of an upstream that it ends; true if it is the current instance or its rival. An
    /// announcement without a start time is accepted only while the instance is draining, as it can't come from a
    /// former instance then.
    pub(super) fn deregister(&mut self, instance: &UpstreamInstance) -> bool {
        let known = [&mut self.current, &mut self.rival].into_iter().flatten();
        let Some(current) = known.into_iter().find(|it| it.instance.id == instance.id) else {
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
        self.rival = None;
        if let Some(current) = &mut self.current {
            current.state = UpstreamState::Ended;
        }
    }
}
