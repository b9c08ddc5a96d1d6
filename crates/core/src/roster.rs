//! Membership history of a service's pool, and the members that must record a claim on an idempotency key.
//!
//! A claim is replicated to three or four agents, in three zones if the pool spans that many: the key's arbiter, which
//! is the first member by rendezvous hashing, the claiming agent, and further members. Two claims on a key therefore
//! conflict at the arbiter. For one key window after a membership change the arbiter may differ from the earlier one,
//! so all members must record the claim. An agent that started recently requires the same of agents that send it a
//! claim. An earlier claim can be lost only if members in that many zones lost their memory within the window; the
//! roster then reports that a claim may be lost.

use std::{
    collections::{BTreeMap, BTreeSet},
    hash::Hasher,
};

use siphasher::sip::SipHasher13;

use crate::claims::ClaimKey;

/// Minimum number of members that record a claim while the pool is stable, and of zones that they span if available.
const MIN_HOLDERS: usize = 3;

/// A member as listed in a snapshot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberInfo<'a> {
    /// Name.
    pub name: &'a str,
    /// Number that increases with each process start under the name.
    pub incarnation: u64,
    /// Availability zone.
    pub zone: &'a str,
    /// Role of the member for the service.
    pub role: ClaimRole,
}

/// Role of a process for the claims of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimRole {
    /// Belongs to the service's pool.
    Member,
    /// Belongs to a former pool of the service.
    Former,
    /// Belongs to the service's pool but has sent nothing for some seconds. It may be paused and resume.
    Silent,
    /// Is leaving and has transferred its claims.
    Leaving,
}

#[derive(Clone, Debug)]
struct LiveMember {
    incarnation: u64,
    zone: String,
    role: ClaimRole,
    /// When it joined; `None` if it was a member before this process started.
    joined_at: Option<u64>,
}

/// A member that failed; its claims are lost.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FailedMember {
    /// Name.
    pub name: String,
    /// Incarnation of the failed process.
    pub incarnation: u64,
    /// Availability zone.
    pub zone: String,
    /// When the failure was detected, in milliseconds.
    pub failed_at: u64,
    /// Whether it was a member when membership was last stable.
    pub was_stable: bool,
}

/// A member whose claims can't be queried.
struct Missing<'a> {
    name: &'a str,
    zone: &'a str,
}

/// Membership of one service's pool, as observed by one process.
#[derive(Clone, Debug)]
pub struct Roster {
    live: BTreeMap<String, LiveMember>,
    failed: Vec<FailedMember>,
    /// When membership last changed, or this process started.
    changed_at: u64,
    /// When the current series of changes began, or this process started.
    changes_since: u64,
    /// When this process last resumed after a pause.
    resumed_at: Option<u64>,
}

impl Roster {
    /// Creates the roster of the process `me`, which starts at `now` and sees the members `seen`.
    pub fn new(me: &str, now: u64, seen: &[MemberInfo<'_>]) -> Roster {
        let mut live = BTreeMap::new();
        for it in seen {
            let joined_at = (it.name == me).then_some(now);
            live.insert(it.name.to_owned(), LiveMember::new(it, joined_at));
        }
        Roster { live, failed: Vec::new(), changed_at: now, changes_since: now, resumed_at: None }
    }

    /// Applies the members of a newer snapshot. Failed members are remembered for `window` milliseconds.
    pub fn update(&mut self, now: u64, window: u64, seen: &[MemberInfo<'_>]) {
        let mut present = BTreeSet::new();
        for it in seen {
            present.insert(it.name);
            self.observe(now, window, it);
        }
        let gone: Vec<String> =
            self.live.keys().filter(|it| !present.contains(it.as_str())).cloned().collect();
        for name in gone {
            self.mark_changed(now, window);
            if let Some(old) = self.live.remove(&name) {
                self.record_failure(now, &name, &old);
            }
        }
        self.failed.retain(|it| now.saturating_sub(it.failed_at) < window);
    }

    /// Handles a pause of this process, `me`: claims recorded during the pause are unknown to it.
    pub fn resume(&mut self, me: &str, now: u64) {
        self.changed_at = now;
        self.resumed_at = Some(now);
        if let Some(own) = self.live.get_mut(me) {
            own.joined_at = Some(now);
        }
    }

    fn mark_changed(&mut self, now: u64, window: u64) {
        if self.is_stable(now, window) {
            self.changes_since = now;
        }
        self.changed_at = now;
    }

    /// Whether a member joined before the current series of changes. Later claims are recorded by all members,
    /// including this process, so only claims held by stable members can be lost.
    fn was_stable(&self, it: &LiveMember) -> bool {
        it.joined_at.is_none_or(|at| at < self.changes_since)
    }

    fn observe(&mut self, now: u64, window: u64, it: &MemberInfo<'_>) {
        let known = self.live.get(it.name);
        if known.is_none_or(|old| old.incarnation != it.incarnation || old.role != it.role) {
            self.mark_changed(now, window);
        }
        let Some(old) = self.live.get_mut(it.name) else {
            let position = self
                .failed
                .iter()
                .position(|failed| failed.name == it.name && failed.incarnation == it.incarnation);
            // The process was wrongly regarded as failed and still has its claims.
            if let Some(at) = position {
                self.failed.remove(at);
            }
            self.live.insert(it.name.to_owned(), LiveMember::new(it, Some(now)));
            return;
        };
        if old.incarnation == it.incarnation {
            old.role = it.role;
            return;
        }
        let old = std::mem::replace(old, LiveMember::new(it, Some(now)));
        self.record_failure(now, it.name, &old);
    }

    fn record_failure(&mut self, now: u64, name: &str, old: &LiveMember) {
        if old.role == ClaimRole::Leaving {
            return;
        }
        let (incarnation, zone) = (old.incarnation, old.zone.clone());
        let was_stable = self.was_stable(old);
        self.failed.push(FailedMember {
            name: name.to_owned(),
            incarnation,
            zone,
            failed_at: now,
            was_stable,
        });
    }

    /// Names of the members. A leaving member transfers its claims to all of them, since claims made while membership
    /// changes are recorded by all.
    pub fn members(&self) -> impl Iterator<Item = &str> {
        let members = self.live.iter().filter(|(_, it)| it.role == ClaimRole::Member);
        members.map(|(name, _)| name.as_str())
    }

    /// Members that failed recently; a leaving agent sends them to the others.
    pub fn failed_members(&self) -> &[FailedMember] {
        &self.failed
    }

    /// Adds the failed members reported by a leaving agent.
    pub fn add_failed_members(&mut self, failed_members: &[FailedMember]) {
        for it in failed_members {
            let known =
                |old: &FailedMember| old.name == it.name && old.incarnation == it.incarnation;
            if !self.failed.iter().any(known) {
                self.failed.push(it.clone());
            }
        }
    }

    /// Whether a claim may be recorded here. `sent_digest` is the sender's membership digest if the claim goes to all
    /// members, or `None` if it goes only to the holders of a stable pool.
    pub fn accepts_claim(&self, sent_digest: Option<u64>, now: u64, window: u64) -> bool {
        match sent_digest {
            Some(digest) => digest == self.digest(),
            None => self.is_stable(now, window),
        }
    }

    /// Whether this process has observed no membership change for `window` milliseconds.
    pub fn is_stable(&self, now: u64, window: u64) -> bool {
        now.saturating_sub(self.changed_at) >= window
    }

    /// Members that must record a claim by `me` on `key` while membership is stable, the arbiter first.
    pub fn holders(&self, key: &ClaimKey, me: &str) -> Vec<&str> {
        let order = self.rendezvous_order(key);
        let mut members: Vec<&str> = order.first().copied().into_iter().collect();
        if let Some((name, _)) = self.live.get_key_value(me).filter(|_| !members.contains(&me)) {
            members.push(name);
        }
        self.add_further_holders(&order, &mut members);
        members
    }

    /// Members that must record a claim on `key` while membership is not stable, the arbiter first.
    pub fn all_holders(&self, key: &ClaimKey) -> Vec<&str> {
        let mut members = self.rendezvous_order(key);
        for (name, it) in &self.live {
            if it.role == ClaimRole::Former {
                members.push(name);
            }
        }
        members
    }

    /// Digest of the members. While membership is not stable, sender and receiver of a claim must have the same
    /// digest; otherwise one of them may have missed a failure.
    pub fn digest(&self) -> u64 {
        let mut hasher = SipHasher13::new();
        for (name, it) in &self.live {
            if it.role == ClaimRole::Member {
                hasher.write(name.as_bytes());
                hasher.write_u8(0xff);
                hasher.write_u64(it.incarnation);
            }
        }
        hasher.finish()
    }

    /// Adds members until enough record the claim, from other zones first.
    fn add_further_holders<'a>(&self, order: &[&'a str], members: &mut Vec<&'a str>) {
        loop {
            let zones: BTreeSet<&str> = members.iter().map(|it| self.zone(it)).collect();
            let others = || order.iter().copied().filter(|it| !members.contains(it));
            let elsewhere = others().find(|it| !zones.contains(self.zone(it)));
            let other_zone = elsewhere.filter(|_| zones.len() < MIN_HOLDERS);
            let any_zone = others().next().filter(|_| members.len() < MIN_HOLDERS);
            let Some(next) = other_zone.or(any_zone) else {
                return;
            };
            members.push(next);
        }
    }

    /// Whether an earlier claim on `key` may have been lost at all members that recorded it.
    pub fn is_uncertain(&self, key: &ClaimKey, now: u64, window: u64) -> bool {
        if self
            .resumed_at
            .is_some_and(|at| now.saturating_sub(at) < window && self.holders_lost_since(at))
        {
            return true;
        }
        let missing = self.unavailable(now, window);
        if !may_be_all_holders(&missing, self.live.values().filter(|it| self.was_stable(it))) {
            return false;
        }
        // If the arbiter of that time is still alive, it has the claim.
        let mut names: BTreeSet<&str> = missing.iter().map(|it| it.name).collect();
        let stays = self.live.iter().filter(|(_, it)| it.role != ClaimRole::Leaving);
        names.extend(stays.map(|(name, _)| name.as_str()));
        for name in key.order(names) {
            if missing.iter().any(|it| it.name == name) {
                return true;
            }
            if self.live.get(name).is_some_and(|it| self.was_stable(it)) {
                return false;
            }
        }
        true
    }

    /// Members whose claims can't be queried: those that failed recently, and those that are silent.
    fn unavailable(&self, now: u64, window: u64) -> Vec<Missing<'_>> {
        let mut missing = Vec::new();
        for it in &self.failed {
            if it.was_stable && now.saturating_sub(it.failed_at) < window {
                missing.push(Missing { name: &it.name, zone: &it.zone });
            }
        }
        for (name, it) in &self.live {
            if it.role == ClaimRole::Silent && self.was_stable(it) {
                missing.push(Missing { name, zone: &it.zone });
            }
        }
        missing
    }

    /// Whether the members that failed since `at`, when this process resumed, could be all holders of a claim made
    /// during the pause.
    fn holders_lost_since(&self, at: u64) -> bool {
        let mut missing = Vec::new();
        for it in &self.failed {
            if it.failed_at >= at {
                missing.push(Missing { name: &it.name, zone: &it.zone });
            }
        }
        let joined_before = |it: &&LiveMember| it.joined_at.is_none_or(|joined| joined < at);
        may_be_all_holders(&missing, self.live.values().filter(joined_before))
    }

    /// Members that record new claims, in rendezvous order.
    fn rendezvous_order(&self, key: &ClaimKey) -> Vec<&str> {
        key.order(self.members())
    }

    fn zone(&self, name: &str) -> &str {
        self.live.get(name).map_or("", |it| it.zone.as_str())
    }
}

/// Whether the missing members could be all holders of one claim; `stayed` are the other members of that time.
fn may_be_all_holders<'a, I>(missing: &[Missing<'_>], stayed: I) -> bool
where
    I: Iterator<Item = &'a LiveMember>,
{
    let gone: BTreeSet<&str> = missing.iter().map(|it| it.zone).collect();
    let mut zones = gone.clone();
    let mut members = missing.len();
    for it in stayed {
        if matches!(it.role, ClaimRole::Leaving | ClaimRole::Silent) {
            continue;
        }
        zones.insert(&it.zone);
        members += 1;
    }
    let enough = !missing.is_empty() && missing.len() >= MIN_HOLDERS.min(members);
    enough && gone.len() >= MIN_HOLDERS.min(zones.len())
}

impl LiveMember {
    fn new(it: &MemberInfo<'_>, joined_at: Option<u64>) -> LiveMember {
        let MemberInfo { incarnation, role, .. } = *it;
        LiveMember { incarnation, zone: it.zone.to_owned(), role, joined_at }
    }
}
