//! Conversions between the messages about opaque flows and the types of the core crate.

use std::{
    collections::BTreeSet,
    net::{Ipv4Addr, SocketAddrV4},
};

use camphorwinch_core::opaque::{
    PoolId,
    fleet::{self, RestartingAgent, ZoneId},
    former_pools::FormerPool,
    member_list::Freshness,
    revision::Revision,
    route::{ConfigVersion, Objective, Route, Routes, WeightedPool},
    zone::{RegionId, ZonesOut},
};

use crate::opaque::{
    Age, ColdRateEntry, DecodeError, FormerPoolEntry, HeardEntry, Hello, MemberEntry, Part,
    PeerEntry, Report, RouteEntry, ShareEntry, Snapshot, SnapshotRequest, ZonesEntry,
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
    /// Returns the store revision that the list is taken from.
    pub fn at(&self) -> Revision {
        Revision::new(self.era, self.revision)
    }
}

impl Hello {
    /// Creates an announcement with the sender's active configuration, if any.
    pub fn new(config: Option<ConfigVersion>) -> Hello {
        let (version, era, revision) = config.map_or_else(Default::default, config_version_fields);
        Hello { revision, version, era, ..Hello::default() }
    }

    /// Returns the sender's active configuration, if any.
    pub fn config(&self) -> Option<ConfigVersion> {
        config_version(self.version, self.era, self.revision)
    }

    /// Adds a balancer that the sender has heard of.
    pub fn with_heard(mut self, balancer: SocketAddrV4, age_ms: u64) -> Hello {
        self.heard.push(heard_entry(balancer, age_ms));
        self
    }

    /// Sets the agents that announced a restart.
    pub fn with_restarting(self, agents: &[RestartingAgent]) -> Hello {
        Hello { restarting: restarting_entries(agents), ..self }
    }

    /// Agents that announced a restart. Invalid entries are skipped.
    pub fn restarting(&self) -> Vec<RestartingAgent> {
        restarting_agents(&self.restarting)
    }

    /// Balancers that the sender has heard of, with the time since then in milliseconds. Invalid entries are skipped.
    pub fn heard(&self) -> impl Iterator<Item = (SocketAddrV4, u64)> {
        self.heard.iter().filter_map(heard_process)
    }

    /// Sets the pools that routes have lately ceased to include.
    pub fn with_former_pools(self, pools: &[FormerPool]) -> Hello {
        Hello { former_pools: pools.iter().map(FormerPoolEntry::from).collect(), ..self }
    }

    /// Pools that routes have lately ceased to include. Invalid entries are skipped.
    pub fn former_pools(&self) -> Vec<FormerPool> {
        self.former_pools.iter().filter_map(|&it| it.try_into().ok()).collect()
    }

    /// Balancer about which the sender asks.
    pub fn sought(&self) -> Option<SocketAddrV4> {
        self.sought.and_then(|it| it.try_into().ok())
    }

    /// Whether an agent answers with a report. A hello with a service time answers a report itself, and another report
    /// would make the exchange endless.
    pub fn expects_report(&self) -> bool {
        !self.leaving && self.service.is_none()
    }
}

impl Report {
    /// Sets the configuration that the agent keeps a copy of, if any.
    pub fn with_config_copy(self, config: Option<ConfigVersion>) -> Report {
        let (copy_version, copy_era, copy_revision) =
            config.map_or_else(Default::default, config_version_fields);
        Report { copy_revision, copy_version, copy_era, ..self }
    }

    /// Returns the configuration that the agent keeps a copy of, if any.
    pub fn config_copy(&self) -> Option<ConfigVersion> {
        config_version(self.copy_version, self.copy_era, self.copy_revision)
    }
}

impl SnapshotRequest {
    /// Requests the configuration and all members, at any freshness.
    pub fn all() -> SnapshotRequest {
        SnapshotRequest::default().with_config().with_members(Part::All)
    }

    /// Adds the configuration and the zones out of service to the request.
    pub fn with_config(self) -> SnapshotRequest {
        SnapshotRequest { config: true, ..self }
    }

    /// Sets which members to include.
    pub fn with_members(self, members: Part) -> SnapshotRequest {
        SnapshotRequest { members: members.into(), ..self }
    }

    /// Sets the required freshness of the member list.
    pub fn with_freshness(self, freshness: Freshness) -> SnapshotRequest {
        let (age, revision) = match freshness {
            Freshness::Any => (Age::Any, Revision::default()),
            Freshness::AtLeast(revision) => (Age::Since, revision),
            Freshness::Fresh => (Age::Fresh, Revision::default()),
        };
        SnapshotRequest { age: age.into(), era: revision.era, revision: revision.number, ..self }
    }

    /// Sets the address of a requester that can serve the member list to others.
    pub fn with_requester(self, requester: SocketAddrV4) -> SnapshotRequest {
        SnapshotRequest { requester: Some(requester.into()), ..self }
    }

    /// Returns the required freshness of the member list.
    pub fn freshness(&self) -> Freshness {
        match self.age() {
            Age::Any => Freshness::Any,
            Age::Since => Freshness::AtLeast(Revision::new(self.era, self.revision)),
            Age::Fresh => Freshness::Fresh,
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
    /// Returns the store revision at which the member list was read, if the sender has a list.
    pub fn listed_at(&self) -> Option<Revision> {
        (self.list_revision > 0).then(|| Revision::new(self.list_era, self.list_revision))
    }

    /// Returns the requested parts of the snapshot.
    pub fn select(&self, request: &SnapshotRequest) -> Snapshot {
        let members = match request.members() {
            Part::None => Vec::new(),
            Part::Balancers => {
                self.members.iter().filter(|it| it.pool.is_none()).cloned().collect()
            }
            Part::All => self.members.clone(),
            Part::Reporting => self.members.iter().filter(|it| it.reports).cloned().collect(),
        };
        let mut selected = Snapshot {
            members,
            list_era: self.list_era,
            list_revision: self.list_revision,
            ..Snapshot::default()
        };
        // A balancer that asks for reporting agents has just started.
        if request.config || request.members() == Part::Reporting {
            selected.former_pools = self.former_pools.clone();
            selected.all_former_pools = self.all_former_pools;
            selected.restarting = self.restarting.clone();
        }
        if !request.config {
            return selected;
        }
        Snapshot {
            revision: self.revision,
            version: self.version,
            era: self.era,
            routes: self.routes.clone(),
            zones: self.zones.clone(),
            cold_rates: self.cold_rates.clone(),
            lost_zones: self.lost_zones.clone(),
            ..selected
        }
    }

    /// Returns the version and revision of the configuration, if any.
    pub fn config(&self) -> Option<ConfigVersion> {
        config_version(self.version, self.era, self.revision)
    }

    /// Marks the agents that report to the sender.
    pub fn with_reporting(mut self, agents: &BTreeSet<SocketAddrV4>) -> Snapshot {
        for it in &mut self.members {
            it.reports = address(it.ip, it.port).is_ok_and(|it| agents.contains(&it));
        }
        self
    }

    /// Sets the zones out of service, if known.
    pub fn with_zones(self, zones: Option<&ZonesOut>) -> Snapshot {
        Snapshot { zones: zones.map(ZonesEntry::from), ..self }
    }

    /// Sets the pools that routes no longer include, and whether these are all.
    pub fn with_former_pools(self, pools: &[FormerPool], all: bool) -> Snapshot {
        let former_pools = pools.iter().map(FormerPoolEntry::from).collect();
        Snapshot { former_pools, all_former_pools: all, ..self }
    }

    /// Sets the agents that announced a restart.
    pub fn with_restarting(self, agents: &[RestartingAgent]) -> Snapshot {
        Snapshot { restarting: restarting_entries(agents), ..self }
    }

    /// Agents that announced a restart. Invalid entries are skipped.
    pub fn restarting(&self) -> Vec<RestartingAgent> {
        restarting_agents(&self.restarting)
    }

    /// Converts the pools that routes no longer include.
    pub fn former_pools(&self) -> Result<Vec<FormerPool>, DecodeError> {
        self.former_pools.iter().map(|&it| it.try_into()).collect()
    }

    /// Creates a snapshot of the active routes, if any, and the members.
    pub fn new(routes: Option<&Routes>, members: &[fleet::MemberEntry]) -> Snapshot {
        let members = members.iter().map(MemberEntry::from).collect();
        let Some(routes) = routes else {
            return Snapshot { members, ..Snapshot::default() };
        };
        let cold_rates = routes.cold_rates.iter();
        let cold_rates = cold_rates.map(|(pool, &rate)| ColdRateEntry { pool: pool.0, rate });
        let (version, era, revision) = config_version_fields(routes.config_version());
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

    /// Converts the routes; `None` without a configuration.
    pub fn routes(&self) -> Result<Option<Routes>, DecodeError> {
        let Some(ConfigVersion { version, revision }) = self.config() else {
            return Ok(None);
        };
        let mut routes = Routes { revision, version, ..Routes::default() };
        let cold_rates = self.cold_rates.iter();
        routes.cold_rates = cold_rates.map(|it| (PoolId(it.pool), it.rate)).collect();
        for entry in &self.routes {
            let weighted_pools = entry.shares.iter();
            let weighted_pools = weighted_pools
                .map(|it| WeightedPool { pool: PoolId(it.pool), weight: it.weight })
                .collect();
            let regions = entry.regions.iter().copied().map(RegionId).collect();
            let route = Route::new(weighted_pools).with_regions(regions);
            let route = match objective(entry)? {
                Some(it) => route.with_objective(it),
                None => route,
            };
            routes.by_address.insert(address(entry.ip, entry.port)?, route);
        }
        Ok(Some(routes))
    }

    /// Converts the members.
    pub fn members(&self) -> Result<Vec<fleet::MemberEntry>, DecodeError> {
        self.members.iter().map(MemberEntry::listed).collect()
    }
}

impl From<&FormerPool> for FormerPoolEntry {
    fn from(it: &FormerPool) -> FormerPoolEntry {
        FormerPoolEntry {
            ip: it.address.ip().to_bits(),
            port: u32::from(it.address.port()),
            pool: it.pool.0,
            age_ms: it.age_ms,
        }
    }
}

impl TryFrom<FormerPoolEntry> for FormerPool {
    type Error = DecodeError;

    fn try_from(it: FormerPoolEntry) -> Result<FormerPool, DecodeError> {
        let FormerPoolEntry { ip, port, pool, age_ms } = it;
        Ok(FormerPool { address: address(ip, port)?, pool: PoolId(pool), age_ms })
    }
}

impl MemberEntry {
    /// Converts the entry; fails if the port is out of range.
    pub fn listed(&self) -> Result<fleet::MemberEntry, DecodeError> {
        Ok(fleet::MemberEntry {
            address: address(self.ip, self.port)?,
            pool: self.pool.map(PoolId),
            zone: ZoneId(self.zone),
        })
    }
}

fn heard_entry(process: SocketAddrV4, age_ms: u64) -> HeardEntry {
    let PeerEntry { ip, port } = process.into();
    HeardEntry { ip, port, age_ms: age_ms.try_into().unwrap_or(u32::MAX) }
}

/// Process and age in an entry; `None` if it is invalid.
fn heard_process(it: &HeardEntry) -> Option<(SocketAddrV4, u64)> {
    Some((address(it.ip, it.port).ok()?, u64::from(it.age_ms)))
}

fn restarting_entries(agents: &[RestartingAgent]) -> Vec<HeardEntry> {
    agents.iter().map(|it| heard_entry(it.address, it.age_ms)).collect()
}

fn restarting_agents(entries: &[HeardEntry]) -> Vec<RestartingAgent> {
    let heard = entries.iter().filter_map(heard_process);
    heard.map(|(address, age_ms)| RestartingAgent { address, age_ms }).collect()
}

/// Returns version, era and revision number. Revision numbers start at 1; 0 encodes a missing version.
fn config_version_fields(it: ConfigVersion) -> (u64, u64, u64) {
    (it.version, it.revision.era, it.revision.number)
}

fn config_version(version: u64, era: u64, number: u64) -> Option<ConfigVersion> {
    (number > 0).then(|| ConfigVersion { version, revision: Revision::new(era, number) })
}

impl From<&fleet::MemberEntry> for MemberEntry {
    fn from(it: &fleet::MemberEntry) -> MemberEntry {
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
    let weighted_pools = route.weighted_pools().iter();
    let objective = route.objective();
    RouteEntry {
        ip: at.ip().to_bits(),
        port: u32::from(at.port()),
        shares: weighted_pools
            .map(|it| ShareEntry { pool: it.pool.0, weight: it.weight })
            .collect(),
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
    let priority = u8::try_from(it.priority).map_err(|_| DecodeError::InvalidField("priority"))?;
    let (latency_ms, timeout_ms) = (it.latency_ms, it.timeout_ms);
    Ok(Some(Objective { priority, latency_ms, timeout_ms, idempotent: it.idempotent }))
}

fn address(ip: u32, port: u32) -> Result<SocketAddrV4, DecodeError> {
    let port = u16::try_from(port).map_err(|_| DecodeError::InvalidField("port"))?;
    Ok(SocketAddrV4::new(Ipv4Addr::from_bits(ip), port))
}
