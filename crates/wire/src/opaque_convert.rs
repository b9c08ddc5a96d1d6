//! Snapshots of opaque flows' configuration and members, to and from the types that decisions use.

use std::net::{Ipv4Addr, SocketAddrV4};

use camphorwinch_core::opaque::{
    PoolId,
    fleet::{Listed, ZoneId},
    listing::Need,
    revision::Revision,
    route::{Objective, Route, Routes, Share, Stamp},
    zone::{RegionId, ZonesOut},
};

use crate::opaque::{
    Age, ColdRateEntry, DecodeError, Greeting, MemberEntry, Part, PeerEntry, Question, Report,
    RouteEntry, ShareEntry, Snapshot, ZonesEntry,
};

impl From<&ZonesOut> for ZonesEntry {
    fn from(it: &ZonesOut) -> ZonesEntry {
        let Revision { era, number: revision } = it.revision();
        ZonesEntry { revision, names: it.names().map(str::to_owned).collect(), era }
    }
}

impl From<ZonesEntry> for ZonesOut {
    fn from(it: ZonesEntry) -> ZonesOut {
        ZonesOut::new(it.at(), it.names)
    }
}

impl ZonesEntry {
    /// The store's revision at which this was so.
    pub fn at(&self) -> Revision {
        Revision::new(self.era, self.revision)
    }
}

impl Greeting {
    /// A greeting that tells of the configuration in force, if one is.
    pub fn new(config: Option<Stamp>) -> Greeting {
        let (version, era, revision) = config.map_or_else(Default::default, parts);
        Greeting { revision, version, era, ..Greeting::default() }
    }

    /// The configuration in force at the sender, if one is.
    pub fn config(&self) -> Option<Stamp> {
        stamp(self.version, self.era, self.revision)
    }
}

impl Report {
    /// The report of an agent that keeps a copy of this configuration.
    pub fn with_kept(self, config: Option<Stamp>) -> Report {
        let (kept_version, kept_era, kept) = config.map_or_else(Default::default, parts);
        Report { kept, kept_version, kept_era, ..self }
    }

    /// The configuration of which the agent keeps a copy, if it does.
    pub fn kept_config(&self) -> Option<Stamp> {
        stamp(self.kept_version, self.kept_era, self.kept)
    }
}

impl Question {
    /// Asks for the configuration and all members, whatever is known of them.
    pub fn all() -> Question {
        Question::default().with_config().with_members(Part::All)
    }

    /// The same with the configuration and the zones out of service.
    pub fn with_config(self) -> Question {
        Question { config: true, ..self }
    }

    /// The same with some members.
    pub fn with_members(self, members: Part) -> Question {
        Question { members: members.into(), ..self }
    }

    /// The same with a list of members that is new enough.
    pub fn with_need(self, need: Need) -> Question {
        let (age, revision) = match need {
            Need::Any => (Age::Any, Revision::default()),
            Need::Since(revision) => (Age::Since, revision),
            Need::Fresh => (Age::Fresh, Revision::default()),
        };
        Question { age: age.into(), era: revision.era, revision: revision.number, ..self }
    }

    /// The same from a process that can tell the list on.
    pub fn with_asker(self, asker: SocketAddrV4) -> Question {
        Question { asker: Some(asker.into()), ..self }
    }

    /// How new the list of members has to be.
    pub fn need(&self) -> Need {
        match self.age() {
            Age::Any => Need::Any,
            Age::Since => Need::Since(Revision::new(self.era, self.revision)),
            Age::Fresh => Need::Fresh,
        }
    }
}

impl From<SocketAddrV4> for PeerEntry {
    fn from(it: SocketAddrV4) -> PeerEntry {
        PeerEntry { ip: it.ip().to_bits(), port: u32::from(it.port()) }
    }
}

impl TryFrom<PeerEntry> for SocketAddrV4 {
    type Error = DecodeError;

    fn try_from(it: PeerEntry) -> Result<SocketAddrV4, DecodeError> {
        address(it.ip, it.port)
    }
}

impl Snapshot {
    /// The store's revision as of which its list of members was read, if the sender has the list.
    pub fn listed_at(&self) -> Option<Revision> {
        (self.list_revision > 0).then(|| Revision::new(self.list_era, self.list_revision))
    }

    /// What is asked for of a snapshot.
    pub fn parts(&self, ask: &Question) -> Snapshot {
        let members = match ask.members() {
            Part::None => Vec::new(),
            Part::Balancers => {
                self.members.iter().filter(|it| it.pool.is_none()).cloned().collect()
            }
            Part::All => self.members.clone(),
        };
        let Snapshot { list_era, list_revision, .. } = *self;
        if !ask.config {
            return Snapshot { members, list_era, list_revision, ..Snapshot::default() };
        }
        Snapshot {
            revision: self.revision,
            version: self.version,
            era: self.era,
            routes: self.routes.clone(),
            zones: self.zones.clone(),
            cold_rates: self.cold_rates.clone(),
            lost_zones: self.lost_zones.clone(),
            members,
            list_era,
            list_revision,
            ..Snapshot::default()
        }
    }

    /// The configuration in it, if there is one.
    pub fn config(&self) -> Option<Stamp> {
        stamp(self.version, self.era, self.revision)
    }

    /// The snapshot with the zones out of service, if they are known.
    pub fn with_zones(self, zones: Option<&ZonesOut>) -> Snapshot {
        Snapshot { zones: zones.map(ZonesEntry::from), ..self }
    }

    /// A snapshot of the routes in force, if any are, and the members.
    pub fn new(routes: Option<&Routes>, members: &[Listed]) -> Snapshot {
        let members = members.iter().map(MemberEntry::from).collect();
        let Some(routes) = routes else {
            return Snapshot { members, ..Snapshot::default() };
        };
        let cold_rates = routes.cold_rates.iter();
        let cold_rates = cold_rates.map(|(pool, &rate)| ColdRateEntry { pool: pool.0, rate });
        let (version, era, revision) = parts(routes.stamp());
        Snapshot {
            revision,
            version,
            era,
            routes: routes.by_address.iter().map(|(&at, it)| route_entry(at, it)).collect(),
            members,
            cold_rates: cold_rates.collect(),
            ..Snapshot::default()
        }
    }

    /// The routes; none if the sender had none.
    pub fn routes(&self) -> Result<Option<Routes>, DecodeError> {
        let Some(Stamp { version, revision }) = self.config() else {
            return Ok(None);
        };
        let mut routes = Routes { revision, version, ..Routes::default() };
        let cold_rates = self.cold_rates.iter();
        routes.cold_rates = cold_rates.map(|it| (PoolId(it.pool), it.rate)).collect();
        for entry in &self.routes {
            let shares = entry.shares.iter();
            let shares =
                shares.map(|it| Share { pool: PoolId(it.pool), weight: it.weight }).collect();
            let regions = entry.regions.iter().copied().map(RegionId).collect();
            let route = Route::new(shares).with_regions(regions);
            let route = match objective(entry)? {
                Some(it) => route.with_objective(it),
                None => route,
            };
            routes.by_address.insert(address(entry.ip, entry.port)?, route);
        }
        Ok(Some(routes))
    }

    /// The members.
    pub fn members(&self) -> Result<Vec<Listed>, DecodeError> {
        self.members.iter().map(MemberEntry::listed).collect()
    }
}

impl MemberEntry {
    /// The member as decisions see it.
    pub fn listed(&self) -> Result<Listed, DecodeError> {
        Ok(Listed {
            address: address(self.ip, self.port)?,
            pool: self.pool.map(PoolId),
            zone: ZoneId(self.zone),
        })
    }
}

/// Version, era and number of a revision. Numbers begin at 1: 0 stands for none.
fn parts(it: Stamp) -> (u64, u64, u64) {
    (it.version, it.revision.era, it.revision.number)
}

fn stamp(version: u64, era: u64, number: u64) -> Option<Stamp> {
    (number > 0).then(|| Stamp { version, revision: Revision::new(era, number) })
}

impl From<&Listed> for MemberEntry {
    fn from(it: &Listed) -> MemberEntry {
        MemberEntry {
            ip: it.address.ip().to_bits(),
            port: u32::from(it.address.port()),
            pool: it.pool.map(|it| it.0),
            zone: it.zone.0,
            ..MemberEntry::default()
        }
    }
}

fn route_entry(at: SocketAddrV4, route: &Route) -> RouteEntry {
    let shares = route.shares().iter();
    let objective = route.objective();
    RouteEntry {
        ip: at.ip().to_bits(),
        port: u32::from(at.port()),
        shares: shares.map(|it| ShareEntry { pool: it.pool.0, weight: it.weight }).collect(),
        latency_ms: objective.map_or(0, |it| it.latency_ms),
        timeout_ms: objective.map_or(0, |it| it.timeout_ms),
        priority: objective.map_or(0, |it| u32::from(it.priority)),
        idempotent: objective.is_some_and(|it| it.idempotent),
        regions: route.regions().iter().map(|it| it.0).collect(),
    }
}

fn objective(it: &RouteEntry) -> Result<Option<Objective>, DecodeError> {
    if it.timeout_ms == 0 {
        return Ok(None);
    }
    let priority = u8::try_from(it.priority).map_err(|_| DecodeError::Field("priority"))?;
    let (latency_ms, timeout_ms) = (it.latency_ms, it.timeout_ms);
    Ok(Some(Objective { priority, latency_ms, timeout_ms, idempotent: it.idempotent }))
}

fn address(ip: u32, port: u32) -> Result<SocketAddrV4, DecodeError> {
    let port = u16::try_from(port).map_err(|_| DecodeError::Field("port"))?;
    Ok(SocketAddrV4::new(Ipv4Addr::from_bits(ip), port))
}
