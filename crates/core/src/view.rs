//! Replicated state of the fleet: configuration objects and members, merged from the platform and from peers.
//!
//! Merging keeps the record with the higher version, so records may arrive in any order and repeatedly. Two numbers
//! describe how complete the configuration is. `revision` is the highest revision up to which the platform's watch or a
//! peer reports it as complete. `floor` is the highest revision confirmed by a complete list of the platform. Because a
//! watch may skip an event, a missing object counts as deleted only at or below `floor`.

use std::{
    collections::{BTreeMap, BTreeSet},
    hash::Hasher,
};

use siphasher::sip::SipHasher13;

use crate::{
    object::{Kind, Object},
    record::{Deletion, Key, Member, Record, Role, Version, Watermark},
    revision::Revision,
};

/// Number of hash buckets into which records are grouped for comparison.
pub const BUCKET_COUNT: usize = 64;
/// Retention time of a member that was declared down, in milliseconds.
pub const DOWN_MEMBER_TTL_MS: u64 = 3_600_000;

/// The records that are synced to a peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Scope {
    /// All records, for a balancer.
    All,
    /// Configuration, balancers and the agents of these pools, for an agent.
    Pools(BTreeSet<String>),
}

impl Scope {
    /// Whether the scope includes a member.
    pub fn covers(&self, member: &Member) -> bool {
        match (self, &member.role) {
            (Scope::All, _) | (Scope::Pools(_), Role::Balancer { .. }) => true,
            (Scope::Pools(pools), Role::Agent { agent, .. }) => pools.contains(&agent.pool),
        }
    }

    /// Whether the scope includes a record.
    pub fn covers_record(&self, record: &Record) -> bool {
        match record {
            Record::Object { .. } | Record::Deleted { .. } => true,
            Record::Member(it) => self.covers(it),
        }
    }
}

/// Key and version of a stored record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Key of the record.
    pub key: Key,
    /// Version of the record.
    pub version: Version,
}

/// Entries of the buckets in which a process differs from a peer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Summary {
    /// Numbers of the differing buckets.
    pub buckets: Vec<u8>,
    /// All entries of these buckets.
    pub entries: Vec<Entry>,
    /// Revision confirmed by a list: an object at or below it that has no entry was deleted.
    pub floor: u64,
}

/// Result of a comparison with a peer's summary.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Comparison {
    /// Records that the peer lacks.
    pub missing_at_peer: Vec<Record>,
    /// Deletions found by the comparison and applied locally.
    pub deleted: Vec<Record>,
}

#[derive(Clone, Debug, PartialEq)]
enum ObjectState {
    Present(Object),
    Deleted(u64),
}

impl ObjectState {
    fn revision(&self) -> u64 {
        match self {
            ObjectState::Present(it) => it.version,
            ObjectState::Deleted(revision) => *revision,
        }
    }
}

/// Local copy of the fleet's records.
#[derive(Clone, Debug, Default)]
pub struct View {
    objects: BTreeMap<(Kind, String), ObjectState>,
    members: BTreeMap<String, Member>,
    revision: u64,
    floor: u64,
    synced: bool,
}

impl View {
    /// Creates an empty view.
    pub fn new() -> View {
        View::default()
    }

    /// Whether the configuration has been complete at least once, as reported by the platform or a synced peer.
    pub fn synced(&self) -> bool {
        self.synced
    }

    /// Highest revision up to which the configuration is complete.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Highest revision confirmed by a list of the platform.
    pub fn floor(&self) -> u64 {
        self.floor
    }

    /// The objects of a kind, sorted by name.
    pub fn objects(&self, kind: Kind) -> impl Iterator<Item = &Object> {
        let states = self.objects.iter().filter(move |((it, _), _)| *it == kind);
        states.filter_map(|(_, state)| match state {
            ObjectState::Present(it) => Some(it),
            ObjectState::Deleted(_) => None,
        })
    }

    /// The members, sorted by name.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// The member with this name.
    pub fn member(&self, name: &str) -> Option<&Member> {
        self.members.get(name)
    }

    /// Merges a record; true if it changed the view. `wall_ms` is the time since 1970 in milliseconds.
    pub fn merge(&mut self, record: &Record, wall_ms: u64) -> bool {
        match record {
            Record::Object { kind, object } => {
                self.merge_object(*kind, &object.name, ObjectState::Present(object.clone()))
            }
            Record::Deleted { kind, name, revision } => {
                self.merge_object(*kind, name, ObjectState::Deleted(*revision))
            }
            Record::Member(it) => self.merge_member(it, wall_ms),
        }
    }

    fn merge_object(&mut self, kind: Kind, name: &str, state: ObjectState) -> bool {
        let key = (kind, name.to_owned());
        match self.objects.get(&key) {
            Some(old) if old.revision() >= state.revision() => return false,
            None if state.revision() <= self.floor => return false,
            Some(_) | None => {}
        }
        self.objects.insert(key, state);
        true
    }

    fn merge_member(&mut self, member: &Member, wall_ms: u64) -> bool {
        if is_expired(member, wall_ms) {
            return false;
        }
        if self.members.get(member.name()).is_some_and(|it| it.version >= member.version) {
            return false;
        }
        self.members.insert(member.name().to_owned(), member.clone());
        true
    }

    /// Applies the complete list of a kind as of `revision`; returns the changes.
    ///
    /// A stored object at or below `revision` that is not in the list was deleted.
    pub fn merge_list(&mut self, kind: Kind, objects: &[Object], revision: u64) -> Vec<Record> {
        let mut changed = self.store_newer(kind, objects);
        let listed: BTreeSet<&str> = objects.iter().map(|it| it.name.as_str()).collect();
        for ((it, name), state) in &mut self.objects {
            let held = matches!(state, ObjectState::Present(object) if object.version <= revision);
            if *it != kind || !held || listed.contains(name.as_str()) {
                continue;
            }
            *state = ObjectState::Deleted(revision);
            changed.push(Record::Deleted { kind, name: name.clone(), revision });
        }
        changed
    }

    /// Applies a list of a platform that may just have been reset to an older copy; returns the changes.
    ///
    /// Its objects get versions of the former era, so older versions replace nothing, and objects missing from the list
    /// stay. After the writers have written them again, complete lists apply.
    pub fn merge_reset_list(
        &mut self,
        kind: Kind,
        objects: &[Object],
        former_era: u64,
    ) -> Vec<Record> {
        let in_former_era = |it: &Object| {
            let number = Revision::unpacked(it.version).number;
            Object { version: Revision::new(former_era, number).packed(), ..it.clone() }
        };
        let objects: Vec<Object> = objects.iter().map(in_former_era).collect();
        self.store_newer(kind, &objects)
    }

    /// Stores the objects that are newer than the stored ones; returns them.
    fn store_newer(&mut self, kind: Kind, objects: &[Object]) -> Vec<Record> {
        let mut changed = Vec::new();
        for object in objects {
            let key = (kind, object.name.clone());
            let old = self.objects.get(&key).map_or(0, ObjectState::revision);
            if old >= object.version {
                continue;
            }
            self.objects.insert(key, ObjectState::Present(object.clone()));
            changed.push(Record::Object { kind, object: object.clone() });
        }
        changed
    }

    /// Marks the view as complete up to `revision`, as delivered by a watch; true if that is new.
    pub fn advance_revision(&mut self, revision: u64) -> bool {
        let is_new = revision > self.revision || !self.synced;
        self.revision = self.revision.max(revision);
        self.synced = true;
        is_new
    }

    /// Marks the view as complete up to `revision`, as confirmed by lists of all kinds; true if that is new.
    pub fn confirm_revision(&mut self, revision: u64) -> bool {
        let is_new = self.advance_revision(revision);
        self.raise_floor(revision);
        is_new
    }

    fn raise_floor(&mut self, floor: u64) {
        self.floor = self.floor.max(floor);
        let floor = self.floor;
        self.objects.retain(|_, it| !matches!(it, ObjectState::Deleted(at) if *at <= floor));
    }

    /// The watermark to send to peers; `None` before the first sync.
    pub fn watermark(&self) -> Option<Watermark> {
        if !self.synced {
            return None;
        }
        let sum = self.sum();
        let deleted = self.deletions();
        Some(Watermark { revision: self.revision, floor: self.floor, sum, deleted })
    }

    /// Deletions that are not yet confirmed by a list.
    fn deletions(&self) -> Vec<Deletion> {
        let mut deleted = Vec::new();
        for ((kind, name), state) in &self.objects {
            if let ObjectState::Deleted(revision) = state {
                deleted.push(Deletion { kind: *kind, name: name.clone(), revision: *revision });
            }
        }
        deleted
    }

    /// Applies a peer's watermark if this view holds the same objects.
    pub fn apply_watermark(&mut self, watermark: &Watermark) -> WatermarkOutcome {
        for it in &watermark.deleted {
            self.merge_object(it.kind, &it.name, ObjectState::Deleted(it.revision));
        }
        let already_complete = self.synced && watermark.revision < self.revision;
        if already_complete {
            return WatermarkOutcome::Unchanged;
        }
        if self.sum() != watermark.sum {
            return WatermarkOutcome::Differs;
        }
        let is_new = self.advance_revision(watermark.revision);
        self.raise_floor(watermark.floor);
        if is_new { WatermarkOutcome::Advanced } else { WatermarkOutcome::Unchanged }
    }

    /// Sum over all objects, including those newer than `revision`: the peer may lack the older version of such an
    /// object.
    fn sum(&self) -> u64 {
        let mut sum = 0u64;
        for ((kind, name), state) in &self.objects {
            if let ObjectState::Present(object) = state {
                sum = sum.wrapping_add(hash_object(*kind, name, object.version));
            }
        }
        sum
    }

    /// Hash of each bucket over the records in scope.
    pub fn digest(&self, scope: &Scope) -> [u64; BUCKET_COUNT] {
        let mut buckets = [0u64; BUCKET_COUNT];
        for entry in self.entries(scope) {
            let hash = hash_entry(&entry);
            let bucket = &mut buckets[bucket_of(&entry.key)];
            *bucket = bucket.wrapping_add(hash);
        }
        buckets
    }

    fn entries(&self, scope: &Scope) -> impl Iterator<Item = Entry> {
        let objects = self.objects.iter().map(|((kind, name), state)| Entry {
            key: Key::Object(*kind, name.clone()),
            version: Version::object(state.revision()),
        });
        let members = self.members.values().filter(|it| scope.covers(it));
        let members =
            members.map(|it| Entry { key: Key::Member(it.name().to_owned()), version: it.version });
        objects.chain(members)
    }

    /// Entries of the buckets that differ from `theirs`, the digest of a peer.
    pub fn summary(&self, scope: &Scope, theirs: &[u64; BUCKET_COUNT]) -> Summary {
        let ours = self.digest(scope);
        let differs = |bucket: usize| ours[bucket] != theirs[bucket];
        let floor = if self.synced { self.floor } else { 0 };
        let buckets: Vec<u8> =
            (0..BUCKET_COUNT).filter(|it| differs(*it)).map(|it| it as u8).collect();
        if buckets.is_empty() {
            return Summary { buckets, entries: Vec::new(), floor };
        }
        let entries = self.entries(scope).filter(|it| differs(bucket_of(&it.key))).collect();
        Summary { buckets, entries, floor }
    }

    /// Compares with a peer's summary: applies the deletions it implies and collects the records that the peer lacks.
    pub fn compare(&mut self, scope: &Scope, theirs: &Summary) -> Comparison {
        let mut has: BTreeMap<&Key, Version> = BTreeMap::new();
        for entry in &theirs.entries {
            has.insert(&entry.key, entry.version);
        }
        let mut outcome = Comparison::default();
        for entry in self.entries(scope).collect::<Vec<_>>() {
            if !theirs.buckets.contains(&(bucket_of(&entry.key) as u8)) {
                continue;
            }
            match has.get(&entry.key) {
                Some(version) if *version >= entry.version => continue,
                Some(_) => outcome.missing_at_peer.extend(self.record(&entry.key)),
                None => self.resolve_missing(&entry, theirs.floor, &mut outcome),
            }
        }
        for (key, version) in has {
            let outside = self.record(key).filter(|it| !scope.covers_record(it));
            outcome.missing_at_peer.extend(outside.filter(|it| it.version() > version));
        }
        outcome
    }

    fn resolve_missing(&mut self, entry: &Entry, floor: u64, outcome: &mut Comparison) {
        let Key::Object(kind, name) = &entry.key else {
            outcome.missing_at_peer.extend(self.record(&entry.key));
            return;
        };
        let key = (*kind, name.clone());
        if entry.version.major > floor {
            outcome.missing_at_peer.extend(self.record(&entry.key));
        } else if matches!(self.objects.get(&key), Some(ObjectState::Present(_))) {
            self.objects.insert(key, ObjectState::Deleted(floor));
            let deleted = Record::Deleted { kind: *kind, name: name.clone(), revision: floor };
            outcome.deleted.push(deleted);
        }
    }

    /// The record with this key.
    pub fn record(&self, key: &Key) -> Option<Record> {
        match key {
            Key::Object(kind, name) => {
                let state = self.objects.get(&(*kind, name.clone()))?;
                Some(match state {
                    ObjectState::Present(object) => {
                        Record::Object { kind: *kind, object: object.clone() }
                    }
                    ObjectState::Deleted(revision) => {
                        Record::Deleted { kind: *kind, name: name.clone(), revision: *revision }
                    }
                })
            }
            Key::Member(name) => self.members.get(name).cloned().map(Record::Member),
        }
    }

    /// Removes members declared down more than [`DOWN_MEMBER_TTL_MS`] ago; returns their number.
    pub fn purge_down_members(&mut self, wall_ms: u64) -> usize {
        let before = self.members.len();
        self.members.retain(|_, it| !is_expired(it, wall_ms));
        before - self.members.len()
    }
}

/// Result of applying a peer's watermark.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatermarkOutcome {
    /// The view is now complete up to the watermark's revision.
    Advanced,
    /// The view was already complete up to it.
    Unchanged,
    /// The objects differ; compare with the peer.
    Differs,
}

fn is_expired(member: &Member, wall_ms: u64) -> bool {
    member.is_down() && member.since_ms.saturating_add(DOWN_MEMBER_TTL_MS) < wall_ms
}

fn hash_object(kind: Kind, name: &str, revision: u64) -> u64 {
    let key = Key::Object(kind, name.to_owned());
    hash_entry(&Entry { key, version: Version::object(revision) })
}

fn hash_entry(entry: &Entry) -> u64 {
    let mut hasher = SipHasher13::new();
    write_key(&mut hasher, &entry.key);
    hasher.write(&entry.version.major.to_be_bytes());
    hasher.write(&entry.version.minor.to_be_bytes());
    hasher.finish()
}

fn bucket_of(key: &Key) -> usize {
    let mut hasher = SipHasher13::new();
    write_key(&mut hasher, key);
    (hasher.finish() % BUCKET_COUNT as u64) as usize
}

/// Hashes the key in a fixed byte order, so that all processes and builds compute the same value.
fn write_key(hasher: &mut SipHasher13, key: &Key) {
    let (class, name) = match key {
        Key::Object(kind, name) => (kind.as_str(), name),
        Key::Member(name) => ("member", name),
    };
    hasher.write(class.as_bytes());
    hasher.write(&[0]);
    hasher.write(name.as_bytes());
    hasher.write(&[0]);
}
