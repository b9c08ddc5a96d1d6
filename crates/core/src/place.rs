//! Placing a datagram: which agent it goes to, decided from the datagram and the configuration alone.
//!
//! A packet of an established flow carries a sealed connection ID and goes to the agent named there. The first packets
//! of a flow carry an ID that the caller chose; for them the service's table gives a few candidates. There is no memory
//! per flow, so balancers need not agree on anything for an established flow.

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
    member::Agent,
    object::ServiceId,
    packet::{Form, Packet},
    seal::{Home, KeyRing, sealable},
    slots::{Member, Slots},
    snapshot::{ServiceEntry, Snapshot},
};

/// Smallest datagram that may start a flow (RFC 9000, section 14.1).
pub const MIN_INITIAL: usize = 1_200;
/// For how long an address goes on serving flows of a service that had it before, in milliseconds.
pub const FORMER_MS: u64 = 24 * 3_600 * 1_000;

/// Why a datagram is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Refusal {
    /// Not a QUIC packet that a caller could send.
    Garbage,
    /// Would start a flow, but is smaller than QUIC demands.
    Small,
    /// The connection ID is of a known key epoch, but was not sealed by us.
    Forged,
    /// The connection ID is of a key epoch that is not known here.
    Epoch,
    /// The flow belongs to a service that never had this address.
    WrongService,
    /// No agent of the service is there.
    NoUpstream,
    /// The flow's agent is dead and the packet is none that can be answered by a reset.
    OwnerDown,
    /// No service has this address any more.
    NoService,
    /// The keys of the fleet are not known yet.
    NoKeys,
}

impl Refusal {
    /// All refusals, in the order of their numbers.
    pub const ALL: [Refusal; 9] = [
        Refusal::Garbage,
        Refusal::Small,
        Refusal::Forged,
        Refusal::Epoch,
        Refusal::WrongService,
        Refusal::NoUpstream,
        Refusal::OwnerDown,
        Refusal::NoService,
        Refusal::NoKeys,
    ];

    /// Name used in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Refusal::Garbage => "garbage",
            Refusal::Small => "small",
            Refusal::Forged => "forged",
            Refusal::Epoch => "epoch",
            Refusal::WrongService => "wrong-service",
            Refusal::NoUpstream => "no-upstream",
            Refusal::OwnerDown => "owner-down",
            Refusal::NoService => "no-service",
            Refusal::NoKeys => "no-keys",
        }
    }
}

/// Where a datagram goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Placement {
    /// To the agent that holds the flow.
    Owner {
        /// Agent and service.
        home: Home,
        /// Whether the agent is among the members known here.
        known: bool,
    },
    /// To the first of the candidates, which may accept the flow or pass it on.
    New {
        /// The service.
        service: ServiceId,
        /// At least one agent.
        candidates: Candidates,
    },
    /// To a live agent that answers with a stateless reset, as the flow's own agent is dead.
    Reset(Home),
    /// Nowhere.
    Drop(Refusal),
}

/// An address at which callers' datagrams arrive.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Listener {
    service: Option<ServiceId>,
    former: BTreeMap<ServiceId, u64>,
}

impl Listener {
    /// The service that has the address now; none if only flows of former services are served.
    pub fn service(&self) -> Option<ServiceId> {
        self.service
    }

    fn serves(&self, service: ServiceId) -> bool {
        self.service == Some(service) || self.former.contains_key(&service)
    }
}

#[derive(Clone, Debug, PartialEq)]
struct Seat {
    name: String,
    weight: f64,
    data: SocketAddrV4,
}

#[derive(Debug)]
struct Pool {
    seats: Vec<Seat>,
    slots: Slots,
}

impl Pool {
    fn new(seats: Vec<Seat>) -> Pool {
        let members: Vec<Member<'_>> =
            seats.iter().map(|it| Member { name: &it.name, weight: it.weight }).collect();
        let slots = Slots::new(&members);
        Pool { seats, slots }
    }

    fn candidates(&self, hash: u64) -> Candidates {
        let mut candidates = Candidates::NONE;
        for &at in self.slots.pick(hash).as_slice() {
            candidates.push(self.seats[usize::from(at)].data);
        }
        candidates
    }
}

/// Whether an agent answers at a data address. A live one goes before a dead one that had the address earlier.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Liveness {
    Dead,
    Alive,
}

/// Everything that placing needs, built from a snapshot and never changed.
#[derive(Debug)]
pub struct Placer {
    ring: Option<KeyRing>,
    listeners: BTreeMap<SocketAddr, Listener>,
    pools: FxHashMap<ServiceId, Arc<Pool>>,
    agents: FxHashMap<SocketAddrV4, Liveness>,
}

impl Placer {
    /// Builds the placer for a snapshot. From the one before it takes over tables that still fit, and the services
    /// that had an address, whose flows the address goes on serving for [`FORMER_MS`].
    pub fn new(snapshot: &Snapshot, previous: Option<&Placer>, now_ms: u64) -> Placer {
        Placer {
            ring: snapshot.keys.as_ref().and_then(KeyRing::new),
            listeners: listeners(snapshot, previous, now_ms),
            pools: pools(snapshot, previous),
            agents: agents(snapshot),
        }
    }

    /// The keys, once they are known.
    pub fn ring(&self) -> Option<&KeyRing> {
        self.ring.as_ref()
    }

    /// Addresses at which datagrams are taken.
    pub fn listeners(&self) -> &BTreeMap<SocketAddr, Listener> {
        &self.listeners
    }

    /// Bytes that the tables take.
    pub fn table_bytes(&self) -> usize {
        self.pools.values().map(|it| it.slots.bytes()).sum()
    }

    /// Decides where a datagram goes that `caller` sent to the address of `listener`.
    #[inline]
    pub fn place(&self, listener: &Listener, caller: SocketAddr, datagram: &[u8]) -> Placement {
        let Some(ring) = &self.ring else {
            return Placement::Drop(Refusal::NoKeys);
        };
        let Some(packet) = Packet::parse(datagram) else {
            return Placement::Drop(Refusal::Garbage);
        };
        let placement = match ring.open(packet.cid) {
            Some(home) => self.established(listener, caller, &packet, home),
            None if packet.form == Form::First => self.first(ring, listener, caller, &packet),
            None if knows_epoch(ring, packet.cid) => Placement::Drop(Refusal::Forged),
            // Maybe a key that has not arrived here yet: a reset would end a flow that lives.
            None => Placement::Drop(Refusal::Epoch),
        };
        checked(listener, placement)
    }

    fn established(
        &self,
        listener: &Listener,
        caller: SocketAddr,
        packet: &Packet<'_>,
        home: Home,
    ) -> Placement {
        if !listener.serves(home.service) {
            return Placement::Drop(Refusal::WrongService);
        }
        match self.agents.get(&home.agent) {
            Some(Liveness::Alive) => Placement::Owner { home, known: true },
            None => Placement::Owner { home, known: false },
            Some(Liveness::Dead) => self.reset(caller, packet, home.service),
        }
    }

    #[cold]
    fn reset(&self, caller: SocketAddr, packet: &Packet<'_>, service: ServiceId) -> Placement {
        if packet.form != Form::Short {
            return Placement::Drop(Refusal::OwnerDown);
        }
        let hash = flow_hash(&[0; 16], caller, packet.cid);
        let agent = self.pools.get(&service).and_then(|it| {
            let candidates = it.candidates(hash);
            candidates.as_slice().first().copied()
        });
        match agent {
            Some(agent) => Placement::Reset(Home { agent, service }),
            None => Placement::Drop(Refusal::OwnerDown),
        }
    }

    fn first(
        &self,
        ring: &KeyRing,
        listener: &Listener,
        caller: SocketAddr,
        packet: &Packet<'_>,
    ) -> Placement {
        if packet.len < MIN_INITIAL {
            return Placement::Drop(Refusal::Small);
        }
        let Some(service) = listener.service else {
            return Placement::Drop(Refusal::NoService);
        };
        let Some(pool) = self.pools.get(&service) else {
            return Placement::Drop(Refusal::NoUpstream);
        };
        let candidates = pool.candidates(flow_hash(ring.place_key(), caller, packet.cid));
        if candidates.as_slice().is_empty() {
            return Placement::Drop(Refusal::NoUpstream);
        }
        Placement::New { service, candidates }
    }
}

fn checked(listener: &Listener, placement: Placement) -> Placement {
    let service = match placement {
        Placement::Owner { home, .. } | Placement::Reset(home) => home.service,
        Placement::New { service, .. } => service,
        Placement::Drop(_) => return placement,
    };
    if invariant::check(Invariant::SameService, listener.serves(service)) {
        placement
    } else {
        Placement::Drop(Refusal::WrongService)
    }
}

fn knows_epoch(ring: &KeyRing, cid: &[u8]) -> bool {
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
            former.insert(service, now_ms + FORMER_MS);
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
        if agent.state.answers() {
            by_pool.entry(&agent.pool).or_default().push(agent);
        }
    }
    let mut pools = FxHashMap::default();
    for (&id, entry) in &snapshot.services {
        let agents = by_pool.get(entry.spec.pool.as_str()).map_or(&[][..], |it| it);
        let seats = seats(snapshot, entry, agents);
        let old = previous.and_then(|it| it.pools.get(&id)).filter(|it| it.seats == seats);
        let pool = old.map_or_else(|| Arc::new(Pool::new(seats)), Arc::clone);
        pools.insert(id, pool);
    }
    pools
}

/// Agents that get new flows. If there is none, those that still answer: they refuse, so that callers learn at once.
fn seats(snapshot: &Snapshot, entry: &ServiceEntry, agents: &[&Agent]) -> Vec<Seat> {
    let seat = |it: &Agent, weight: f64| {
        Some(Seat { name: it.name.clone(), weight, data: sealable(it.data)? })
    };
    let ready = agents.iter().filter(|it| snapshot.takes_work(it) && entry.weight(it) > 0.0);
    let seats: Vec<Seat> = ready.filter_map(|it| seat(it, entry.weight(it))).collect();
    if seats.is_empty() { agents.iter().filter_map(|it| seat(it, 1.0)).collect() } else { seats }
}

fn agents(snapshot: &Snapshot) -> FxHashMap<SocketAddrV4, Liveness> {
    let mut agents = FxHashMap::default();
    for agent in snapshot.agents.values() {
        let Some(data) = sealable(agent.data) else {
            continue;
        };
        let found = if agent.state.answers() { Liveness::Alive } else { Liveness::Dead };
        let known = agents.entry(data).or_insert(found);
        *known = found.max(*known);
    }
    agents
}
