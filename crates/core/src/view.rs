//! What a process knows of the fleet: configuration objects and members, merged from the platform and from peers.
//!
//! Merging keeps the record with the higher version, in whatever order and however often records arrive. Two numbers
//! say how complete the configuration is. `revision` is the highest revision up to which the platform's watch or a peer
//! says that nothing is missing. `floor` is the highest revision that a whole list of the platform has confirmed: only
//! at or below it does the absence of an object mean that it was deleted, because a watch may skip an event.

use std::{
    collections::{BTreeMap, BTreeSet},
    hash::Hasher,
};

use siphasher::sip::SipHasher13;

use crate::{
    object::{Kind, Object},
    record::{Deletion, Key, Mark, Member, Record, Role, Version},
    revision::Revision,
};

/// Groups into which records are divided for comparison.
pub const BUCKETS: usize = 64;
/// For how long a member that was found dead is remembered, in milliseconds.
pub const FORGET_MS: u64 = 3_600_000;

/// Which records a peer is given.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Scope {
    /// All of them: the peer is a balancer.
    All,
    /// Configuration, balancers, and the agents of these pools: the peer is an agent.
    Pools(BTreeSet<String>),
}

impl Scope {
    /// Whether a member belongs to the scope.
    pub fn covers(&self, member: &Member) -> bool {
        match (self, &member.role) {
            (Scope::All, _) | (Scope::Pools(_), Role::Balancer { .. }) => true,
            (Scope::Pools(pools), Role::Agent { agent, .. }) => pools.contains(&agent.pool),
        }
    }

    /// Whether a record belongs to the scope.
    pub fn covers_record(&self, record: &Record) -> bool {
        match record {
            Record::Object { .. } | Record::Deleted { .. } => true,
            Record::Member(it) => self.covers(it),
        }
    }
}

/// Key and version of a record that a process holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Key.
    pub key: Key,
    /// Version.
    pub version: Version,
}

/// What a process holds in the buckets in which it differs from a peer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Summary {
    /// The buckets.
    pub buckets: Vec<u8>,
    /// Everything in these buckets.
    pub entries: Vec<Entry>,
    /// Revision confirmed by a list: an object at or below it that is not among the entries was deleted.
    pub floor: u64,
}

/// Outcome of comparing with a peer's summary.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Comparison {
    /// Records that the peer lacks.
    pub lacking: Vec<Record>,
    /// Deletions that followed from the summary, and are in force here now.
    pub deleted: Vec<Record>,
}

#[derive(Clone, Debug, PartialEq)]
enum Slot {
    Present(Object),
    Deleted(u64),
}

impl Slot {
    fn revision(&self) -> u64 {
        match self {
            Slot::Present(it) => it.version,
            Slot::Deleted(revision) => *revision,
        }
    }
}

/// Records by key.
#[derive(Clone, Debug, Default)]
pub struct View {
    objects: BTreeMap<(Kind, String), Slot>,
    members: BTreeMap<String, Member>,
    revision: u64,
    floor: u64,
    synced: bool,
}

impl View {
    /// A view that knows nothing.
    pub fn new() -> View {
        View::default()
    }

    /// Whether the configuration was complete up to some revision, by the platform or a peer that was complete.
    pub fn synced(&self) -> bool {
        self.synced
    }

    /// Highest revision up to which nothing is known to be missing.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Highest revision that a list of the platform has confirmed.
    pub fn floor(&self) -> u64 {
        self.floor
    }

    /// The objects of a kind, in order of name.
    pub fn objects(&self, kind: Kind) -> impl Iterator<Item = &Object> {
        let slots = self.objects.iter().filter(move |((it, _), _)| *it == kind);
        slots.filter_map(|(_, slot)| match slot {
            Slot::Present(it) => Some(it),
            Slot::Deleted(_) => None,
        })
    }

    /// The members, in order of name.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// The member with this name.
    pub fn member(&self, name: &str) -> Option<&Member> {
        self.members.get(name)
    }

    /// Takes in a record; true if it is news. `wall_ms` is the time since 1970.
    pub fn merge(&mut self, record: &Record, wall_ms: u64) -> bool {
        match record {
            Record::Object { kind, object } => {
                self.merge_slot(*kind, &object.name, Slot::Present(object.clone()))
            }
            Record::Deleted { kind, name, revision } => {
                self.merge_slot(*kind, name, Slot::Deleted(*revision))
            }
            Record::Member(it) => self.merge_member(it, wall_ms),
        }
    }

    fn merge_slot(&mut self, kind: Kind, name: &str, slot: Slot) -> bool {
        let key = (kind, name.to_owned());
        match self.objects.get(&key) {
            Some(old) if old.revision() >= slot.revision() => return false,
            None if slot.revision() <= self.floor => return false,
            Some(_) | None => {}
        }
        self.objects.insert(key, slot);
        true
    }

    fn merge_member(&mut self, member: &Member, wall_ms: u64) -> bool {
        if forgotten(member, wall_ms) {
            return false;
        }
        if self.members.get(member.name()).is_some_and(|it| it.version >= member.version) {
            return false;
        }
        self.members.insert(member.name().to_owned(), member.clone());
        true
    }

    /// Takes in the whole list of a kind as of `revision`; returns what changed.
    ///
    /// An object that is held at or below `revision` but is not in the list was deleted. The list goes before anything
    /// that was concluded from peers: an object in it is held, even one that was believed deleted.
    pub fn take_list(&mut self, kind: Kind, objects: &[Object], revision: u64) -> Vec<Record> {
        let mut changed = self.take_newer(kind, objects);
        let listed: BTreeSet<&str> = objects.iter().map(|it| it.name.as_str()).collect();
        for ((it, name), slot) in &mut self.objects {
            let held = matches!(slot, Slot::Present(object) if object.version <= revision);
            if *it != kind || !held || listed.contains(name.as_str()) {
                continue;
            }
            *slot = Slot::Deleted(revision);
            changed.push(Record::Deleted { kind, name: name.clone(), revision });
        }
        changed
    }

    /// Takes in a list of a platform that may have just come back from a copy; returns what changed. Its objects count as of the
    /// former era: one that the copy holds in an older state does not replace the newer one, and one that it lacks stays. Their
    /// writers write them again; after that whole lists count.
    pub fn take_copy(&mut self, kind: Kind, objects: &[Object], former_era: u64) -> Vec<Record> {
        let of_before = |it: &Object| {
            let number = Revision::unpacked(it.version).number;
            Object { version: Revision::new(former_era, number).packed(), ..it.clone() }
        };
        let objects: Vec<Object> = objects.iter().map(of_before).collect();
        self.take_newer(kind, &objects)
    }

    /// Takes in the objects that are newer than what is held; returns them.
    fn take_newer(&mut self, kind: Kind, objects: &[Object]) -> Vec<Record> {
        let mut changed = Vec::new();
        for object in objects {
            let key = (kind, object.name.clone());
            let old = self.objects.get(&key).map_or(0, Slot::revision);
            if old >= object.version {
                continue;
            }
            self.objects.insert(key, Slot::Present(object.clone()));
            changed.push(Record::Object { kind, object: object.clone() });
        }
        changed
    }

    /// States that everything up to `revision` is held, because a watch of the platform has delivered it.
    pub fn advance(&mut self, revision: u64) -> bool {
        let news = revision > self.revision || !self.synced;
        self.revision = self.revision.max(revision);
        self.synced = true;
        news
    }

    /// States that everything up to `revision` is held, because lists of all kinds have confirmed it.
    pub fn confirm(&mut self, revision: u64) -> bool {
        let news = self.advance(revision);
        self.raise_floor(revision);
        news
    }

    fn raise_floor(&mut self, floor: u64) {
        self.floor = self.floor.max(floor);
        let floor = self.floor;
        self.objects.retain(|_, it| !matches!(it, Slot::Deleted(at) if *at <= floor));
    }

    /// The statement for peers of how complete this view is; none before it is complete.
    pub fn mark(&self) -> Option<Mark> {
        if !self.synced {
            return None;
        }
        let sum = self.sum();
        let deleted = self.deletions();
        Some(Mark { revision: self.revision, floor: self.floor, sum, deleted })
    }

    /// Deletions that no list has confirmed yet.
    fn deletions(&self) -> Vec<Deletion> {
        let mut deleted = Vec::new();
        for ((kind, name), slot) in &self.objects {
            if let Slot::Deleted(revision) = slot {
                deleted.push(Deletion { kind: *kind, name: name.clone(), revision: *revision });
            }
        }
        deleted
    }

    /// Takes over a peer's mark if this view holds just the same objects.
    pub fn adopt(&mut self, mark: &Mark) -> Adoption {
        for it in &mark.deleted {
            self.merge_slot(it.kind, &it.name, Slot::Deleted(it.revision));
        }
        let known = self.synced && mark.revision < self.revision;
        if known {
            return Adoption::Known;
        }
        if self.sum() != mark.sum {
            return Adoption::Differs;
        }
        let news = self.advance(mark.revision);
        self.raise_floor(mark.floor);
        if news { Adoption::Taken } else { Adoption::Known }
    }

    /// Sum over all objects, newer ones included: one of them may stand in for an older version that another process
    /// lacks altogether.
    fn sum(&self) -> u64 {
        let mut sum = 0u64;
        for ((kind, name), slot) in &self.objects {
            if let Slot::Present(object) = slot {
                sum = sum.wrapping_add(hash_object(*kind, name, object.version));
            }
        }
        sum
    }

    /// Hash of each bucket, over the records in scope.
    pub fn digest(&self, scope: &Scope) -> [u64; BUCKETS] {
        let mut buckets = [0u64; BUCKETS];
        for entry in self.entries(scope) {
            let hash = hash_entry(&entry);
            let bucket = &mut buckets[bucket_of(&entry.key)];
            *bucket = bucket.wrapping_add(hash);
        }
        buckets
    }

    fn entries(&self, scope: &Scope) -> impl Iterator<Item = Entry> {
        let objects = self.objects.iter().map(|((kind, name), slot)| Entry {
            key: Key::Object(*kind, name.clone()),
            version: Version::object(slot.revision()),
        });
        let members = self.members.values().filter(|it| scope.covers(it));
        let members =
            members.map(|it| Entry { key: Key::Member(it.name().to_owned()), version: it.version });
        objects.chain(members)
    }

    /// What this view holds in the buckets in which `theirs`, a peer's digest, differs.
    pub fn summary(&self, scope: &Scope, theirs: &[u64; BUCKETS]) -> Summary {
        let ours = self.digest(scope);
        let differs = |bucket: usize| ours[bucket] != theirs[bucket];
        let floor = if self.synced { self.floor } else { 0 };
        let buckets: Vec<u8> = (0..BUCKETS).filter(|it| differs(*it)).map(|it| it as u8).collect();
        if buckets.is_empty() {
            return Summary { buckets, entries: Vec::new(), floor };
        }
        let entries = self.entries(scope).filter(|it| differs(bucket_of(&it.key))).collect();
        Summary { buckets, entries, floor }
    }

    /// Compares with a peer's summary: deletes what the peer knows to be deleted, and finds what the peer lacks.
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
                Some(_) => outcome.lacking.extend(self.record(&entry.key)),
                None => self.settle_absence(&entry, theirs.floor, &mut outcome),
            }
        }
        for (key, version) in has {
            let outside = self.record(key).filter(|it| !scope.covers_record(it));
            outcome.lacking.extend(outside.filter(|it| it.version() > version));
        }
        outcome
    }

    fn settle_absence(&mut self, entry: &Entry, floor: u64, outcome: &mut Comparison) {
        let Key::Object(kind, name) = &entry.key else {
            outcome.lacking.extend(self.record(&entry.key));
            return;
        };
        let key = (*kind, name.clone());
        if entry.version.major > floor {
            outcome.lacking.extend(self.record(&entry.key));
        } else if matches!(self.objects.get(&key), Some(Slot::Present(_))) {
            self.objects.insert(key, Slot::Deleted(floor));
            let deleted = Record::Deleted { kind: *kind, name: name.clone(), revision: floor };
            outcome.deleted.push(deleted);
        }
    }

    /// The record with this key.
    pub fn record(&self, key: &Key) -> Option<Record> {
        match key {
            Key::Object(kind, name) => {
                let slot = self.objects.get(&(*kind, name.clone()))?;
                Some(match slot {
                    Slot::Present(object) => Record::Object { kind: *kind, object: object.clone() },
                    Slot::Deleted(revision) => {
                        Record::Deleted { kind: *kind, name: name.clone(), revision: *revision }
                    }
                })
            }
            Key::Member(name) => self.members.get(name).cloned().map(Record::Member),
        }
    }

    /// Drops members that were found dead long ago; returns how many.
    pub fn forget(&mut self, wall_ms: u64) -> usize {
        let before = self.members.len();
        self.members.retain(|_, it| !forgotten(it, wall_ms));
        before - self.members.len()
    }
}

/// Outcome of offering a peer's mark to a view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Adoption {
    /// The view is complete up to the mark's revision now.
    Taken,
    /// The view was already.
    Known,
    /// The objects differ: compare with the peer.
    Differs,
}

fn forgotten(member: &Member, wall_ms: u64) -> bool {
    member.is_down() && member.since_ms.saturating_add(FORGET_MS) < wall_ms
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
    (hasher.finish() % BUCKETS as u64) as usize
}

/// Writes bytes in a fixed order, so that the hash is the same in every process and build.
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
