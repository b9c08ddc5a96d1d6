//! What an agent knows of the upstream beside it, from heartbeats.
//!
//! An upstream may start again under the id that it had, so a life is told by its id and by the time of its start. That
//! time is from the upstream's own clock, which may jump back between two lives. A heartbeat that was held up on its way
//! may be from a former life. So a later start ends what is known at once, and what may be either is believed only if it
//! goes on while the known life is silent.

use super::fleet::Upstream;

/// Heartbeats that may be missing before an upstream's state counts as unknown.
const MISSED_BEATS: u64 = 3;
/// Heartbeats that may be missing before a life that can't be told from a former one replaces the known one: one may be
/// lost, and a live upstream is not given up for what a cut held back.
const RIVAL_BEATS: u64 = 2;
/// Former lives of this address that are remembered, so that a late heartbeat is not taken for a new one.
const FORMER_KEPT: usize = 16;

/// One life of an upstream process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Life {
    /// Name of the process. It may start again under the same one.
    pub id: String,
    /// Its start by its own clock, in milliseconds since the Unix epoch, if it says so.
    pub born_ms: Option<u64>,
}

/// A heartbeat of the upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Heartbeat {
    /// Whose it is.
    pub life: Life,
    /// Number of the heartbeat within the life.
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
pub(super) enum Sender {
    /// The one that is known, or the first one after the agent's start.
    Known,
    /// The first one, and its first heartbeat: the agent has seen its whole life.
    Newborn,
    /// Another one, in place of the one that was known.
    Successor {
        /// Until then what came to the agent was for the former one.
        until_ms: u64,
    },
    /// The heartbeat is older than what is known.
    Late,
    /// It is from a former life or from a new one after a jump of the clock.
    Unclear,
    /// It does not say when its sender started, though the upstream here does.
    Foreign,
}

/// How the life that a heartbeat is from relates to the known one.
enum Relation {
    /// The same one.
    Same,
    /// It began later.
    After,
    /// It has the same id and a lower count, and does not say when it began: most likely a late heartbeat.
    Older,
    /// It began earlier, or its clock has jumped back.
    Unclear,
    /// It does not say when it began, though the known one does.
    Foreign,
}

#[derive(Clone, Debug)]
struct Present {
    life: Life,
    seq: u64,
    state: Upstream,
    slots: u32,
    cold_until: u64,
    heard_ms: u64,
}

impl Present {
    fn new(beat: &Heartbeat, now_ms: u64) -> Present {
        Present {
            life: beat.life.clone(),
            seq: beat.seq,
            state: if beat.draining { Upstream::Draining } else { Upstream::Ready },
            slots: beat.slots,
            cold_until: now_ms.saturating_add(beat.cold_ms),
            heard_ms: now_ms,
        }
    }

    fn relation(&self, beat: &Heartbeat) -> Relation {
        let same_id = self.life.id == beat.life.id;
        match (self.life.born_ms, beat.life.born_ms) {
            (Some(_), None) => Relation::Foreign,
            (Some(own), Some(other)) if own == other && same_id => Relation::Same,
            (Some(own), Some(other)) if own <= other => Relation::After,
            (Some(_), Some(_)) => Relation::Unclear,
            (None, Some(_)) => Relation::After,
            (None, None) if !same_id => Relation::After,
            (None, None) if beat.seq > self.seq => Relation::Same,
            (None, None) => Relation::Older,
        }
    }
}

/// A life that may be a former one, and its last heartbeat.
#[derive(Clone, Debug)]
struct Rival {
    life: Life,
    seq: u64,
}

/// The upstream that is there, and those that were.
#[derive(Clone, Debug)]
pub(super) struct Presence {
    beat_ms: u64,
    present: Option<Present>,
    rival: Option<Rival>,
    former: Vec<Life>,
}

impl Presence {
    pub(super) fn new(beat_ms: u64) -> Presence {
        Presence { beat_ms, present: None, rival: None, former: Vec::new() }
    }

    /// Whether an upstream is known that may be there.
    pub(super) fn is_known(&self) -> bool {
        self.present.as_ref().is_some_and(|it| it.state != Upstream::Ended)
    }

    /// Whether an upstream is or was known.
    pub(super) fn was_known(&self) -> bool {
        self.present.is_some()
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
        if self.former.contains(&beat.life) {
            return Sender::Late;
        }
        let Some(present) = &self.present else {
            self.present = Some(Present::new(beat, now_ms));
            return if beat.seq <= 1 { Sender::Newborn } else { Sender::Known };
        };
        let old = beat.seq <= present.seq || present.state == Upstream::Ended;
        match present.relation(beat) {
            Relation::Foreign => Sender::Foreign,
            Relation::Same if old => Sender::Late,
            Relation::Same => {
                self.rival = None;
                self.present = Some(Present::new(beat, now_ms));
                Sender::Known
            }
            Relation::Older if !self.is_replaced(beat, now_ms) => Sender::Late,
            Relation::Unclear if !self.is_replaced(beat, now_ms) => Sender::Unclear,
            Relation::After | Relation::Older | Relation::Unclear => self.succeed(beat, now_ms),
        }
    }

    /// The latest time at which the life of a heartbeat may have begun: each of its heartbeats came at most one pause
    /// after another.
    fn born_before(&self, beat: &Heartbeat, now_ms: u64) -> u64 {
        match beat.seq {
            0 | 1 => now_ms,
            seq => now_ms.saturating_sub(self.beat_ms.saturating_mul(seq.saturating_add(1))),
        }
    }

    fn succeed(&mut self, beat: &Heartbeat, now_ms: u64) -> Sender {
        self.rival = None;
        let born_ms = self.born_before(beat, now_ms);
        let Some(former) = self.present.replace(Present::new(beat, now_ms)) else {
            return Sender::Known;
        };
        if self.former.len() == FORMER_KEPT {
            self.former.remove(0);
        }
        // Lives under one id that don't say when they started can't be told apart.
        if former.life != beat.life {
            self.former.push(former.life);
        }
        Sender::Successor { until_ms: former.heard_ms.min(born_ms) }
    }

    /// Whether a life that may be a former one goes on, while the known one is silent.
    fn is_replaced(&mut self, beat: &Heartbeat, now_ms: u64) -> bool {
        let Some(present) = &self.present else {
            return true;
        };
        let ended = present.state == Upstream::Ended;
        let silent = now_ms.saturating_sub(present.heard_ms) > self.beat_ms * RIVAL_BEATS;
        let before = self.rival.replace(Rival { life: beat.life.clone(), seq: beat.seq });
        let goes_on = before.is_some_and(|it| it.life == beat.life && it.seq < beat.seq);
        goes_on && (silent || ended)
    }

    /// An upstream says that it ends; whether it is the one that is known. One that does not say when it started, beside
    /// others that do, is believed if it was about to leave: then its word can't be of a former life.
    pub(super) fn deregister(&mut self, life: &Life) -> bool {
        let Some(present) = self.present.as_mut().filter(|it| it.life.id == life.id) else {
            return false;
        };
        let unsaid = life.born_ms.is_none() && present.state == Upstream::Draining;
        if present.life.born_ms != life.born_ms && !unsaid {
            return false;
        }
        present.state = Upstream::Ended;
        true
    }

    /// The upstream's process is proven to have ended.
    pub(super) fn end(&mut self) {
        if let Some(present) = &mut self.present {
            present.state = Upstream::Ended;
        }
    }
}
