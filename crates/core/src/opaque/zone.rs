//! Zones that the operator has taken out of service: no new flow goes to their upstreams, flows that are open stay.
//!
//! The store holds one entry for each such zone. What a process knows is the whole set as of a revision of the store,
//! so news that come out of order never bring a former set back.

use std::collections::BTreeMap;

use super::PoolId;

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
    revision: u64,
    names: BTreeMap<ZoneId, String>,
}

impl ZonesOut {
    /// The zones of these names, as of a revision of the store.
    pub fn new<I>(revision: u64, names: I) -> ZonesOut
    where
        I: IntoIterator<Item = String>,
    {
        let names = names.into_iter().map(|it| (ZoneId::of(&it), it)).collect();
        ZonesOut { revision, names }
    }

    /// The set after changes up to a revision of the store: names, and whether each is out of service from then on.
    pub fn with_changes<I>(&self, revision: u64, changes: I) -> ZonesOut
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
    pub fn revision(&self) -> u64 {
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

/// The set in force, if one is known.
#[derive(Clone, Debug)]
pub(super) struct ZoneTable {
    known: Option<ZonesOut>,
}

impl Default for ZoneTable {
    fn default() -> ZoneTable {
        ZoneTable { known: Some(ZonesOut::default()) }
    }
}

impl ZoneTable {
    /// A table that knows nothing yet.
    pub(super) fn unknown() -> ZoneTable {
        ZoneTable { known: None }
    }

    pub(super) fn known(&self) -> Option<&ZonesOut> {
        self.known.as_ref()
    }

    pub(super) fn put(&mut self, news: ZonesOut) -> ZoneNews {
        let became = match &self.known {
            Some(known) if news.revision < known.revision => return ZoneNews::Old,
            Some(known) if news.names == known.names => ZoneNews::Same,
            Some(known) if news.revision == known.revision => return ZoneNews::Old,
            _ => ZoneNews::Changed,
        };
        self.known = Some(news);
        became
    }

    pub(super) fn is_out(&self, zone: ZoneId) -> bool {
        self.known.as_ref().is_some_and(|it| it.contains(zone))
    }
}
