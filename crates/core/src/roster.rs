//! Members of a service's pool over time, and which of them must record a claim on an idempotency key.
//!
//! A claim lives in the memory of three or four agents, in three zones if the pool has so many: the key's arbiter,
//! which is the first member by rendezvous, the agent that claims, and witnesses. Two claims on a key therefore meet at
//! the arbiter. For a while after the members changed, the arbiter may be another one than before: then all members
//! must record the claim, so that it meets any earlier one. An agent that has started lately, and so can't know what
//! was before, demands the same of whoever asks it. Only if members in as many zones lost their memory within that time
//! can an earlier claim have been forgotten by all; the roster then calls the key doubtful.

use std::{
    collections::{BTreeMap, BTreeSet},
    hash::Hasher,
};

use siphasher::sip::SipHasher13;

use crate::claims::ClaimKey;

/// Least members that must record a claim while the pool is settled, and zones that they span, if there are so many.
const HOLDERS: usize = 3;

/// A member as a snapshot shows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Seen<'a> {
    /// Name.
    pub name: &'a str,
    /// Number that grows each time a process starts under the name.
    pub incarnation: u64,
    /// Availability zone.
    pub zone: &'a str,
    /// What it is to the service.
    pub part: Part,
}

/// What a process is to a service's claims.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Part {
    /// Belongs to the service's pool.
    Member,
    /// Belongs to a pool that the service had before.
    Former,
    /// Belongs to the service's pool but has not been heard of for some seconds. It may be paused and wake again.
    Silent,
    /// Leaves, and has handed its claims over.
    Leaving,
}

#[derive(Clone, Debug)]
struct Live {
    incarnation: u64,
    zone: String,
    part: Part,
    /// When it joined; none if it was there before this process.
    joined: Option<u64>,
}

/// A member that died, and its memory with it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Lost {
    /// Name.
    pub name: String,
    /// Number of the process under the name.
    pub incarnation: u64,
    /// Availability zone.
    pub zone: String,
    /// When it was missed.
    pub at: u64,
    /// Whether it was a member when the members were last settled.
    pub old: bool,
}

/// A member that can't be asked.
struct Missing<'a> {
    name: &'a str,
    zone: &'a str,
}

/// Members of one service's pool, as one process has seen them come and go.
#[derive(Clone, Debug)]
pub struct Roster {
    live: BTreeMap<String, Live>,
    lost: Vec<Lost>,
    /// When the members last changed, or this process started.
    changed: u64,
    /// When the members began to change, after they had been settled or this process had started.
    unsettled: u64,
    /// When this process last woke from a pause.
    woke: Option<u64>,
}

impl Roster {
    /// The roster of a process named `me` that starts at `now` and sees these members.
    pub fn new(me: &str, now: u64, seen: &[Seen<'_>]) -> Roster {
        let mut live = BTreeMap::new();
        for it in seen {
            let joined = (it.name == me).then_some(now);
            live.insert(it.name.to_owned(), Live::new(it, joined));
        }
        Roster { live, lost: Vec::new(), changed: now, unsettled: now, woke: None }
    }

    /// Takes in the members of a newer snapshot. Lost members are remembered for `window` milliseconds.
    pub fn update(&mut self, now: u64, window: u64, seen: &[Seen<'_>]) {
        let mut present = BTreeSet::new();
        for it in seen {
            present.insert(it.name);
            self.see(now, window, it);
        }
        let gone: Vec<String> =
            self.live.keys().filter(|it| !present.contains(it.as_str())).cloned().collect();
        for name in gone {
            self.change(now, window);
            if let Some(old) = self.live.remove(&name) {
                self.lose(now, &name, &old);
            }
        }
        self.lost.retain(|it| now.saturating_sub(it.at) < window);
    }

    /// Takes note that this process, named `me`, was paused: it does not know what was recorded meanwhile.
    pub fn wake(&mut self, me: &str, now: u64) {
        self.changed = now;
        self.woke = Some(now);
        if let Some(own) = self.live.get_mut(me) {
            own.joined = Some(now);
        }
    }

    fn change(&mut self, now: u64, window: u64) {
        if self.is_settled(now, window) {
            self.unsettled = now;
        }
        self.changed = now;
    }

    /// Whether a member was one when the members were last settled. What was recorded since was recorded by all, this
    /// process included, so only what those recorded can be forgotten.
    fn is_old(&self, it: &Live) -> bool {
        it.joined.is_none_or(|at| at < self.unsettled)
    }

    fn see(&mut self, now: u64, window: u64, it: &Seen<'_>) {
        let known = self.live.get(it.name);
        if known.is_none_or(|old| old.incarnation != it.incarnation || old.part != it.part) {
            self.change(now, window);
        }
        let Some(old) = self.live.get_mut(it.name) else {
            let back = self
                .lost
                .iter()
                .position(|lost| lost.name == it.name && lost.incarnation == it.incarnation);
            // A process that was only taken for dead still has its memory.
            if let Some(at) = back {
                self.lost.remove(at);
            }
            self.live.insert(it.name.to_owned(), Live::new(it, Some(now)));
            return;
        };
        if old.incarnation == it.incarnation {
            old.part = it.part;
            return;
        }
        let old = std::mem::replace(old, Live::new(it, Some(now)));
        self.lose(now, it.name, &old);
    }

    fn lose(&mut self, now: u64, name: &str, old: &Live) {
        if old.part == Part::Leaving {
            return;
        }
        let (incarnation, zone) = (old.incarnation, old.zone.clone());
        let old = self.is_old(old);
        self.lost.push(Lost { name: name.to_owned(), incarnation, zone, at: now, old });
    }

    /// Names of the members. One that leaves hands its claims to all others: what is recorded while the members change is
    /// recorded by all.
    pub fn members(&self) -> impl Iterator<Item = &str> {
        let members = self.live.iter().filter(|(_, it)| it.part == Part::Member);
        members.map(|(name, _)| name.as_str())
    }

    /// Members that died lately; an agent that leaves tells the others.
    pub fn losses(&self) -> &[Lost] {
        &self.lost
    }

    /// Takes in what an agent that leaves knows of members that died.
    pub fn add_losses(&mut self, losses: &[Lost]) {
        for it in losses {
            let known = |old: &Lost| old.name == it.name && old.incarnation == it.incarnation;
            if !self.lost.iter().any(known) {
                self.lost.push(it.clone());
            }
        }
    }

    /// Whether a claim may be recorded here: `asked` is the digest of the members if all of them are asked, or none if
    /// only those are asked that suffice in a settled pool.
    pub fn admits(&self, asked: Option<u64>, now: u64, window: u64) -> bool {
        match asked {
            Some(digest) => digest == self.digest(),
            None => self.is_settled(now, window),
        }
    }

    /// Whether the members have not changed for `window` milliseconds, as far as this process can know.
    pub fn is_settled(&self, now: u64, window: u64) -> bool {
        now.saturating_sub(self.changed) >= window
    }

    /// Who must record a claim that `me` makes on `key` while the members are settled, the arbiter first.
    pub fn holders(&self, key: &ClaimKey, me: &str) -> Vec<&str> {
        let order = self.order(key);
        let mut members: Vec<&str> = order.first().copied().into_iter().collect();
        if let Some((name, _)) = self.live.get_key_value(me).filter(|_| !members.contains(&me)) {
            members.push(name);
        }
        self.add_witnesses(&order, &mut members);
        members
    }

    /// Who must record a claim on `key` while the members are not settled, the arbiter first.
    pub fn all_holders(&self, key: &ClaimKey) -> Vec<&str> {
        let mut members = self.order(key);
        for (name, it) in &self.live {
            if it.part == Part::Former {
                members.push(name);
            }
        }
        members
    }

    /// Digest of the members. Whoever is asked while the members are not settled must see the same ones: else one of
    /// them may have been lost without the other knowing.
    pub fn digest(&self) -> u64 {
        let mut hasher = SipHasher13::new();
        for (name, it) in &self.live {
            if it.part == Part::Member {
                hasher.write(name.as_bytes());
                hasher.write_u8(0xff);
                hasher.write_u64(it.incarnation);
            }
        }
        hasher.finish()
    }

    /// Adds to those that must record a claim, in further zones as far as there are any.
    fn add_witnesses<'a>(&self, order: &[&'a str], members: &mut Vec<&'a str>) {
        loop {
            let zones: BTreeSet<&str> = members.iter().map(|it| self.zone(it)).collect();
            let others = || order.iter().copied().filter(|it| !members.contains(it));
            let elsewhere = others().find(|it| !zones.contains(self.zone(it)));
            let far = elsewhere.filter(|_| zones.len() < HOLDERS);
            let near = others().next().filter(|_| members.len() < HOLDERS);
            let Some(witness) = far.or(near) else {
                return;
            };
            members.push(witness);
        }
    }

    /// Whether an earlier claim on `key` may have been forgotten by everyone who had recorded it.
    pub fn is_doubtful(&self, key: &ClaimKey, now: u64, window: u64) -> bool {
        if self.woke.is_some_and(|at| now.saturating_sub(at) < window && self.lost_since(at)) {
            return true;
        }
        let missing = self.missing(now, window);
        if !spans(&missing, self.live.values().filter(|it| self.is_old(it))) {
            return false;
        }
        // The arbiter at that time was the first of the members then. If it still lives, it remembers.
        let mut names: BTreeSet<&str> = missing.iter().map(|it| it.name).collect();
        let stays = self.live.iter().filter(|(_, it)| it.part != Part::Leaving);
        names.extend(stays.map(|(name, _)| name.as_str()));
        for name in key.order(names) {
            if missing.iter().any(|it| it.name == name) {
                return true;
            }
            if self.live.get(name).is_some_and(|it| self.is_old(it)) {
                return false;
            }
        }
        true
    }

    /// Members that can't tell what they recorded: those that died lately, and those that are silent.
    fn missing(&self, now: u64, window: u64) -> Vec<Missing<'_>> {
        let mut missing = Vec::new();
        for it in &self.lost {
            if it.old && now.saturating_sub(it.at) < window {
                missing.push(Missing { name: &it.name, zone: &it.zone });
            }
        }
        for (name, it) in &self.live {
            if it.part == Part::Silent && self.is_old(it) {
                missing.push(Missing { name, zone: &it.zone });
            }
        }
        missing
    }

    /// Whether those that died since `at` could be all that recorded a claim while this process was paused until then.
    fn lost_since(&self, at: u64) -> bool {
        let mut missing = Vec::new();
        for it in &self.lost {
            if it.at >= at {
                missing.push(Missing { name: &it.name, zone: &it.zone });
            }
        }
        let there = |it: &&Live| it.joined.is_none_or(|joined| joined < at);
        spans(&missing, self.live.values().filter(there))
    }

    /// Members that take part in new claims, by rendezvous.
    fn order(&self, key: &ClaimKey) -> Vec<&str> {
        key.order(self.members())
    }

    fn zone(&self, name: &str) -> &str {
        self.live.get(name).map_or("", |it| it.zone.as_str())
    }
}

/// Whether the missing members could be all that recorded one claim, given those that stayed of the members at the time.
fn spans<'a, I>(missing: &[Missing<'_>], stayed: I) -> bool
where
    I: Iterator<Item = &'a Live>,
{
    let gone: BTreeSet<&str> = missing.iter().map(|it| it.zone).collect();
    let mut zones = gone.clone();
    let mut members = missing.len();
    for it in stayed {
        if matches!(it.part, Part::Leaving | Part::Silent) {
            continue;
        }
        zones.insert(&it.zone);
        members += 1;
    }
    let enough = !missing.is_empty() && missing.len() >= HOLDERS.min(members);
    enough && gone.len() >= HOLDERS.min(zones.len())
}

impl Live {
    fn new(it: &Seen<'_>, joined: Option<u64>) -> Live {
        let Seen { incarnation, part, .. } = *it;
        Live { incarnation, zone: it.zone.to_owned(), part, joined }
    }
}
