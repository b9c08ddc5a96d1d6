//! Zones that the operator has taken out of service: their upstreams get no new flows, open flows stay.
//!
//! The store holds one entry per zone. Processes handle the whole set as of a store revision, so updates that arrive
//! out of order never restore an older set. When the store is reset to an older copy it may lack confirmed entries;
//! their zones stay out of service until the operator has had time to write them again.

use std::collections::{BTreeMap, BTreeSet};

use super::PoolId;
use crate::revision::{RESET_GRACE_MS, Revision};

/// An availability zone, by a hash of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ZoneId(pub u64);

impl ZoneId {
    /// Returns the zone of this name.
    pub fn of(name: &str) -> ZoneId {
        ZoneId(PoolId::of(name).0)
    }
}

/// A region, by a hash of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RegionId(pub u64);

impl RegionId {
    /// Returns the region of this name.
    pub fn of(name: &str) -> RegionId {
        RegionId(PoolId::of(name).0)
    }
}

/// The region of each zone.
pub type Regions = BTreeMap<ZoneId, RegionId>;

/// The zones out of service as of a store revision.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ZonesOut {
    revision: Revision,
    names: BTreeMap<ZoneId, String>,
}

impl ZonesOut {
    /// Creates a set from zone names, as of a store revision.
    pub fn new<I>(revision: Revision, names: I) -> ZonesOut
    where
        I: IntoIterator<Item = String>,
    {
        let names = names.into_iter().map(|it| (ZoneId::of(&it), it)).collect();
        ZonesOut { revision, names }
    }

    /// Returns the set after changes up to a revision: zone names, each with whether it is now out of service.
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

    /// Store revision of the set.
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

/// Result of an update of the zones out of service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ZoneUpdateResult {
    /// The update is not newer than the set in force and was ignored.
    Stale,
    /// The update left the set of zones unchanged.
    Unchanged,
    /// The set of zones changed.
    Changed,
}

/// A zone whose entry the store lost.
#[derive(Clone, Debug)]
struct LostZone {
    name: String,
    until_ms: u64,
}

/// The zones out of service: the store's set, if known, and lost entries.
#[derive(Clone, Debug)]
pub(super) struct ZoneTable {
    known: Option<ZonesOut>,
    lost: BTreeMap<ZoneId, LostZone>,
    /// Time of the first update. Lost entries reported by peers are accepted only for a limited time after it, so
    /// that balancers can't refresh them among themselves forever.
    first_update_ms: Option<u64>,
}

impl Default for ZoneTable {
    fn default() -> ZoneTable {
        ZoneTable { known: Some(ZonesOut::default()), lost: BTreeMap::new(), first_update_ms: None }
    }
}

impl ZoneTable {
    /// A table before the first update.
    pub(super) fn unknown() -> ZoneTable {
        ZoneTable { known: None, ..ZoneTable::default() }
    }

    pub(super) fn known(&self) -> Option<&ZonesOut> {
        self.known.as_ref()
    }

    /// Names of all zones that get no new flows, including those of lost entries.
    pub(super) fn out_names(&self) -> Vec<&str> {
        let lost = self.lost.values().map(|it| it.name.as_str());
        self.known.iter().flat_map(ZonesOut::names).chain(lost).collect()
    }

    /// Names of the zones whose entries the store lost.
    pub(super) fn lost(&self) -> impl Iterator<Item = &str> {
        self.lost.values().map(|it| it.name.as_str())
    }

    /// Merges lost entries reported by a peer; true if this adds any.
    pub(super) fn merge_lost(&mut self, names: Vec<String>, now_ms: u64) -> bool {
        let until_ms = *self.first_update_ms.get_or_insert(now_ms) + RESET_GRACE_MS;
        if now_ms >= until_ms {
            return false;
        }
        let before = self.lost.len();
        for name in names {
            let zone = ZoneId::of(&name);
            if self.known.as_ref().is_some_and(|it| it.contains(zone)) {
                continue;
            }
            self.lost.entry(zone).or_insert(LostZone { name, until_ms });
        }
        self.lost.len() > before
    }

    pub(super) fn apply(&mut self, update: ZonesOut, now_ms: u64) -> ZoneUpdateResult {
        self.first_update_ms.get_or_insert(now_ms);
        let before = self.ids();
        if let Some(known) = &self.known {
            let is_same = update.revision == known.revision && update.names == known.names;
            if update.revision <= known.revision && !is_same {
                return ZoneUpdateResult::Stale;
            }
            if update.revision.era > known.revision.era {
                let lost =
                    |it: &String| LostZone { name: it.clone(), until_ms: now_ms + RESET_GRACE_MS };
                self.lost.extend(known.names.iter().map(|(&zone, it)| (zone, lost(it))));
            }
        }
        // Once an entry is written again, the store decides for its zone.
        self.lost.retain(|it, _| !update.contains(*it));
        let is_first = self.known.replace(update).is_none();
        if is_first || self.ids() != before {
            ZoneUpdateResult::Changed
        } else {
            ZoneUpdateResult::Unchanged
        }
    }

    /// Drops lost entries that the operator did not write again in time; true if there were any.
    pub(super) fn expire_lost(&mut self, now_ms: u64) -> bool {
        let before = self.lost.len();
        self.lost.retain(|_, it| now_ms < it.until_ms);
        self.lost.len() < before
    }

    pub(super) fn is_out_of_service(&self, zone: ZoneId) -> bool {
        let known = self.known.as_ref().is_some_and(|it| it.contains(zone));
        known || self.lost.contains_key(&zone)
    }

    fn ids(&self) -> BTreeSet<ZoneId> {
        let known = self.known.iter().flat_map(|it| it.names.keys());
        known.chain(self.lost.keys()).copied().collect()
    }
}
