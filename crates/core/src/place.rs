//! Placement of a datagram: selects the agent from the datagram and the configuration alone.
//!
//! A packet of an established flow carries a sealed connection ID and goes to the agent encoded in it. The first
//! packets of a flow carry an ID chosen by the caller; for these, the service's lookup table gives a few candidates.
//! Balancers keep no state per flow and need no coordination for established flows.

use std::{
    collections::BTreeMap,
    hash::Hasher,
    net::{IpAddr, SocketAddr, SocketAddrV4},
    sync::Arc,
};

use rustc_hash::FxHashMap;
use siphasher::sip::SipHasher13;

use crate::{
    candidates::Candidates,
    invariant::{self, Invariant},
    lookup_table::{LookupTable, Member},
    member::Agent,
    object::ServiceId,
    packet::{Form, Packet},
    seal::{FlowOwner, KeyRing, sealable},
    snapshot::{ServiceEntry, Snapshot},
};

/// Smallest datagram that may start a flow (RFC 9000, section 14.1).
pub const MIN_INITIAL: usize = 1_200;
/// Time for which an address keeps serving flows of a service that used it before, in milliseconds.
pub const REMOVED_SERVICE_TTL_MS: u64 = 24 * 3_600 * 1_000;

/// Why a datagram is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum DropReason {
    /// Not a valid QUIC packet of a caller.
    Garbage,
    /// Starts a flow but is smaller than [`MIN_INITIAL`].
    Small,
    /// The connection ID has a known key epoch but fails authentication.
    Forged,
    /// The connection ID has an unknown key epoch.
    Epoch,
    /// The flow belongs to a service that neither uses this address nor used it recently.
    WrongService,
    /// The service has no agent.
    NoUpstream,
    /// The flow's agent is down, and a packet of this form can't be answered with a reset.
    OwnerDown,
    /// No service uses this address any more.
    NoService,
    /// The fleet's keys are not available yet.
    NoKeys,
}

impl DropReason {
    /// All refusals, in numeric order.
    pub const ALL: [DropReason; 9] = [
        DropReason::Garbage,
        DropReason::Small,
        DropReason::Forged,
        DropReason::Epoch,
        DropReason::WrongService,
        DropReason::NoUpstream,
        DropReason::OwnerDown,
        DropReason::NoService,
        DropReason::NoKeys,
    ];

    /// Name used in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            DropReason::Garbage => "garbage",
            DropReason::Small => "small",
            DropReason::Forged => "forged",
            DropReason::Epoch => "epoch",
            DropReason::WrongService => "wrong-service",
            DropReason::NoUpstream => "no-upstream",
            DropReason::OwnerDown => "owner-down",
            DropReason::NoService => "no-service",
            DropReason::NoKeys => "no-keys",
        }
    }
}

/// Destination of a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Placement {
    /// To the agent that holds the flow.
    Owner {
        /// Agent and service.
        owner: FlowOwner,
        /// Whether the agent is a known member.
        known: bool,
    },
    /// To the first candidate, which accepts the flow or forwards it to the next.
    New {
        /// The service.
        service: ServiceId,
        /// At least one agent.
        candidates: Candidates,
    },
    /// To a live agent that sends a stateless reset because the flow's agent is down.
    Reset(FlowOwner),
    /// The datagram is dropped.
    Drop(DropReason),
}

/// An address that receives datagrams from callers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Listener {
    service: Option<ServiceId>,
    former: BTreeMap<ServiceId, u64>,
}

impl Listener {
    /// The current service of the address; `None` if it serves only flows of former services.
    pub fn service(&self) -> Option<ServiceId> {
        self.service
    }

    fn serves(&self, service: ServiceId) -> bool {
        self.service == Some(service) || self.former.contains_key(&service)
    }
}

#[derive(Clone, Debug, PartialEq)]
struct TableMember {
    name: String,
    weight: f64,
    data: SocketAddrV4,
}

#[derive(Debug)]
struct Pool {
    members: Vec<TableMember>,
    table: LookupTable,
}

impl Pool {
    fn new(members: Vec<TableMember>) -> Pool {
        let weighted: Vec<Member<'_>> =
            members.iter().map(|it| Member { name: &it.name, weight: it.weight }).collect();
        let table = LookupTable::new(&weighted);
        Pool { members, table }
    }

    fn candidates(&self, hash: u64) -> Candidates {
        let mut candidates = Candidates::NONE;
        for &at in self.table.pick(hash).as_slice() {
            candidates.push(self.members[usize::from(at)].data);
        }
        candidates
    }
}

/// Whether a live agent uses a data address. A live agent takes precedence over one that is down.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Liveness {
    Down,
    Alive,
}

/// Immutable placement state, built from a snapshot.
#[derive(Debug)]
pub struct Placer {
    ring: Option<KeyRing>,
    listeners: BTreeMap<SocketAddr, Listener>,
    pools: FxHashMap<ServiceId, Arc<Pool>>,
    agents: FxHashMap<SocketAddrV4, Liveness>,
}

impl Placer {
    /// Builds the placer for a snapshot. Reuses unchanged tables of the previous placer and keeps the former services
    /// of an address for [`REMOVED_SERVICE_TTL_MS`].
    pub fn new(snapshot: &Snapshot, previous: Option<&Placer>, now_ms: u64) -> Placer {
        Placer {
            ring: snapshot.keys.as_ref().and_then(KeyRing::new),
            listeners: listeners(snapshot, previous, now_ms),
            pools: pools(snapshot, previous),
            agents: agents(snapshot),
        }
    }

    /// The keys, if available.
    pub fn ring(&self) -> Option<&KeyRing> {
        self.ring.as_ref()
    }

    /// Addresses that accept datagrams.
    pub fn listeners(&self) -> &BTreeMap<SocketAddr, Listener> {
        &self.listeners
    }

    /// Memory size of the lookup tables in bytes.
    pub fn table_bytes(&self) -> usize {
        self.pools.values().map(|it| it.table.bytes()).sum()
    }

    /// Selects the destination of a datagram sent by `caller` to the address of `listener`.
    #[inline]
    pub fn place(&self, listener: &Listener, caller: SocketAddr, datagram: &[u8]) -> Placement {
        let Some(ring) = &self.ring else {
            return Placement::Drop(DropReason::NoKeys);
        };
        let Some(packet) = Packet::parse(datagram) else {
            return Placement::Drop(DropReason::Garbage);
        };
        let placement = match ring.open(packet.cid) {
            Some(owner) => self.place_established(listener, caller, &packet, owner),
            None if packet.form == Form::First => self.place_new(ring, listener, caller, &packet),
            None if has_epoch(ring, packet.cid) => Placement::Drop(DropReason::Forged),
            // The key may not have been synced yet; a reset would end a live flow.
            None => Placement::Drop(DropReason::Epoch),
        };
        check_service(listener, placement)
    }

    fn place_established(
        &self,
        listener: &Listener,
        caller: SocketAddr,
        packet: &Packet<'_>,
        owner: FlowOwner,
    ) -> Placement {
        if !listener.serves(owner.service) {
            return Placement::Drop(DropReason::WrongService);
        }
        match self.agents.get(&owner.agent) {
            Some(Liveness::Alive) => Placement::Owner { owner, known: true },
            None => Placement::Owner { owner, known: false },
            Some(Liveness::Down) => self.place_reset(caller, packet, owner.service),
        }
    }

    #[cold]
    fn place_reset(
        &self,
        caller: SocketAddr,
        packet: &Packet<'_>,
        service: ServiceId,
    ) -> Placement {
        if packet.form != Form::Short {
            return Placement::Drop(DropReason::OwnerDown);
        }
        let hash = flow_hash(&[0; 16], caller, packet.cid);
        let agent = self.pools.get(&service).and_then(|it| {
            let candidates = it.candidates(hash);
            candidates.as_slice().first().copied()
        });
        match agent {
            Some(agent) => Placement::Reset(FlowOwner { agent, service }),
            None => Placement::Drop(DropReason::OwnerDown),
        }
    }

    fn place_new(
        &self,
        ring: &KeyRing,
        listener: &Listener,
        caller: SocketAddr,
        packet: &Packet<'_>,
    ) -> Placement {
        if packet.len < MIN_INITIAL {
            return Placement::Drop(DropReason::Small);
        }
        let Some(service) = listener.service else {
            return Placement::Drop(DropReason::NoService);
        };
        let Some(pool) = self.pools.get(&service) else {
            return Placement::Drop(DropReason::NoUpstream);
        };
        let candidates = pool.candidates(flow_hash(ring.place_key(), caller, packet.cid));
        if candidates.as_slice().is_empty() {
            return Placement::Drop(DropReason::NoUpstream);
        }
        Placement::New { service, candidates }
    }
}

fn check_service(listener: &Listener, placement: Placement) -> Placement {
    let service = match placement {
        Placement::Owner { owner, .. } | Placement::Reset(owner) => owner.service,
        Placement::New { service, .. } => service,
        Placement::Drop(_) => return placement,
    };
    if invariant::check(Invariant::SameService, listener.serves(service)) {
        placement
    } else {
        Placement::Drop(DropReason::WrongService)
    }
}

fn has_epoch(ring: &KeyRing, cid: &[u8]) -> bool {
    cid.first().is_some_and(|&epoch| ring.packet_key(epoch).is_some())
}

fn flow_hash(key: &[u8; 16], caller: SocketAddr, cid: &[u8]) -> u64 {
    let mut hasher = SipHasher13::new_with_key(key);
    match caller.ip() {
        IpAddr::V4(it) => hasher.write(&it.octets()),
        IpAddr::V6(it) => hasher.write(&it.octets()),
    }
    hasher.write(&caller.port().to_be_bytes());
    hasher.write(cid);
    hasher.finish()
}

fn listeners(
    snapshot: &Snapshot,
    previous: Option<&Placer>,
    now_ms: u64,
) -> BTreeMap<SocketAddr, Listener> {
    let mut listeners: BTreeMap<SocketAddr, Listener> = BTreeMap::new();
    for (&address, old) in previous.iter().flat_map(|it| &it.listeners) {
        let mut former = old.former.clone();
        former.retain(|_, until| *until > now_ms);
        if let Some(service) = old.service {
            former.insert(service, now_ms + REMOVED_SERVICE_TTL_MS);
        }
        listeners.insert(address, Listener { service: None, former });
    }
    for (&id, entry) in &snapshot.services {
        let listener = listeners.entry(entry.spec.address).or_default();
        listener.service = Some(id);
        listener.former.remove(&id);
    }
    listeners.retain(|_, it| it.service.is_some() || !it.former.is_empty());
    listeners
}

fn pools(snapshot: &Snapshot, previous: Option<&Placer>) -> FxHashMap<ServiceId, Arc<Pool>> {
    let mut by_pool: FxHashMap<&str, Vec<&Agent>> = FxHashMap::default();
    for agent in snapshot.agents.values() {
        if agent.state.is_alive() {
            by_pool.entry(&agent.pool).or_default().push(agent);
        }
    }
    let mut pools = FxHashMap::default();
    for (&id, entry) in &snapshot.services {
        let agents = by_pool.get(entry.spec.pool.as_str()).map_or(&[][..], |it| it);
        let members = members(snapshot, entry, agents);
        let old = previous.and_then(|it| it.pools.get(&id)).filter(|it| it.members == members);
        let pool = old.map_or_else(|| Arc::new(Pool::new(members)), Arc::clone);
        pools.insert(id, pool);
    }
    pools
}

/// Agents that get new flows. If there are none, all live agents: they refuse, so that callers get an immediate error.
fn members(snapshot: &Snapshot, entry: &ServiceEntry, agents: &[&Agent]) -> Vec<TableMember> {
    let member = |it: &Agent, weight: f64| {
        Some(TableMember { name: it.name.clone(), weight, data: sealable(it.data)? })
    };
    let ready = agents.iter().filter(|it| snapshot.takes_work(it) && entry.weight(it) > 0.0);
    let members: Vec<TableMember> = ready.filter_map(|it| member(it, entry.weight(it))).collect();
    if members.is_empty() {
        agents.iter().filter_map(|it| member(it, 1.0)).collect()
    } else {
        members
    }
}

fn agents(snapshot: &Snapshot) -> FxHashMap<SocketAddrV4, Liveness> {
    let mut agents = FxHashMap::default();
    for agent in snapshot.agents.values() {
        let Some(data) = sealable(agent.data) else {
            continue;
        };
        let found = if agent.state.is_alive() { Liveness::Alive } else { Liveness::Down };
        let known = agents.entry(data).or_insert(found);
        *known = found.max(*known);
    }
    agents
}
