//! Zones that the operator has taken out of service: no new flow goes to their upstreams, flows that are open stay.
//!
//! The store holds one entry for each such zone. What a process knows is the whole set as of a revision of the store,
//! so news that come out of order never bring a former set back. When the store comes back from an older copy it may lack
//! entries that it had confirmed: their zones stay out of service until the operator has had time to write them again.

use std::collections::{BTreeMap, BTreeSet};

use super::PoolId;
use crate::revision::{Revision, WRITTEN_AGAIN_MS};

/// An availability zone, by a hash of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ZoneId(pub u64);

impl ZoneId {
    /// The zone of this name.
    pub fn of(name: &str) -> ZoneId {
        ZoneId(PoolId::of(name).0)
    }
}

/// A region, by a hash of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RegionId(pub u64);

impl RegionId {
    /// The region of this name.
    pub fn of(name: &str) -> RegionId {
        RegionId(PoolId::of(name).0)
    }
}

/// The region of each zone.
pub type Regions = BTreeMap<ZoneId, RegionId>;

/// The zones that are out of service at a revision of the store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ZonesOut {
    revision: Revision,
    names: BTreeMap<ZoneId, String>,
}

impl ZonesOut {
    /// The zones of these names, as of a revision of the store.
    pub fn new<I>(revision: Revision, names: I) -> ZonesOut
    where
        I: IntoIterator<Item = String>,
    {
        let names = names.into_iter().map(|it| (ZoneId::of(&it), it)).collect();
        ZonesOut { revision, names }
    }

    /// The set after changes up to a revision of the store: names, and whether each is out of service from then on.
    pub fn with_changes<I>(&self, revision: Revision, changes: I) -> ZonesOut
    where
        I: IntoIterator<Item = (String, bool)>,
    {
        let mut names = self.names.clone();
        for (name, out) in changes {
            let zone = ZoneId::of(&name);
            if out {
                names.insert(zone, name);
            } else {
                names.remove(&zone);
            }
        }
        ZonesOut { revision, names }
    }

    /// Revision of the store.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Names of the zones.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.names.values().map(String::as_str)
    }

    /// Whether the zone is out of service.
    pub fn contains(&self, zone: ZoneId) -> bool {
        self.names.contains_key(&zone)
    }
}

/// What became of news on zones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ZoneNews {
    /// They are older than what is known and were ignored.
    Old,
    /// They confirm the set that is known.
    Same,
    /// The set is in force that they tell of.
    Changed,
}

/// A zone whose entry the store lost.
#[derive(Clone, Debug)]
struct Lost {
    name: String,
    until_ms: u64,
}

/// The set in force, if one is known.
#[derive(Clone, Debug)]
pub(super) struct ZoneTable {
    known: Option<ZonesOut>,
    lost: BTreeMap<ZoneId, Lost>,
    /// When the first news came: what peers say of lost entries counts for the time of one reset from then on, so that they can't
    /// tell one another of it for ever.
    first_ms: Option<u64>,
}

impl Default for ZoneTable {
    fn default() -> ZoneTable {
        ZoneTable { known: Some(ZonesOut::default()), lost: BTreeMap::new(), first_ms: None }
    }
}

impl ZoneTable {
    /// A table that knows nothing yet.
    pub(super) fn unknown() -> ZoneTable {
        ZoneTable { known: None, ..ZoneTable::default() }
    }

    pub(super) fn known(&self) -> Option<&ZonesOut> {
        self.known.as_ref()
    }

    /// Names of all zones that get no new flow, those of lost entries among them.
    pub(super) fn names(&self) -> Vec<&str> {
        let lost = self.lost.values().map(|it| it.name.as_str());
        self.known.iter().flat_map(ZonesOut::names).chain(lost).collect()
    }

    /// Names of the zones whose entries the store lost.
    pub(super) fn lost(&self) -> impl Iterator<Item = &str> {
        self.lost.values().map(|it| it.name.as_str())
    }

    /// Takes a peer's word on entries that the store lost before this process knew it; whether it changes anything.
    pub(super) fn learn_lost(&mut self, names: Vec<String>, now_ms: u64) -> bool {
        let until_ms = *self.first_ms.get_or_insert(now_ms) + WRITTEN_AGAIN_MS;
        if now_ms >= until_ms {
            return false;
        }
        let before = self.lost.len();
        for name in names {
            let zone = ZoneId::of(&name);
            if self.known.as_ref().is_some_and(|it| it.contains(zone)) {
                continue;
            }
            self.lost.entry(zone).or_insert(Lost { name, until_ms });
        }
        self.lost.len() > before
    }

    pub(super) fn put(&mut self, news: ZonesOut, now_ms: u64) -> ZoneNews {
        self.first_ms.get_or_insert(now_ms);
        let before = self.zones();
        if let Some(known) = &self.known {
            let is_same = news.revision == known.revision && news.names == known.names;
            if news.revision <= known.revision && !is_same {
                return ZoneNews::Old;
            }
            if news.revision.era > known.revision.era {
                let lost =
                    |it: &String| Lost { name: it.clone(), until_ms: now_ms + WRITTEN_AGAIN_MS };
                self.lost.extend(known.names.iter().map(|(&zone, it)| (zone, lost(it))));
            }
        }
        // From its entry on the store's word holds for a zone.
        self.lost.retain(|it, _| !news.contains(*it));
        let is_first = self.known.replace(news).is_none();
        if is_first || self.zones() != before { ZoneNews::Changed } else { ZoneNews::Same }
    }

    /// Gives up waiting for entries that the operator did not write again; whether there were some.
    pub(super) fn release(&mut self, now_ms: u64) -> bool {
        let before = self.lost.len();
        self.lost.retain(|_, it| now_ms < it.until_ms);
        self.lost.len() < before
    }

    pub(super) fn is_out(&self, zone: ZoneId) -> bool {
        let known = self.known.as_ref().is_some_and(|it| it.contains(zone));
        known || self.lost.contains_key(&zone)
    }

    fn zones(&self) -> BTreeSet<ZoneId> {
        let known = self.known.iter().flat_map(|it| it.names.keys());
        known.chain(self.lost.keys()).copied().collect()
    }
}
