//! Walk: the list of candidates that an opening packet visits.
//!
//! This is consistent hashing with bounded loads (Mirrokni, Thorup, Zadimoghaddam, SODA 2018): the first candidate
//! whose load is within the limit accepts the flow. Balancers set the order and the limit from reports that are up to a
//! second old; each agent compares the limit with its own current load. An agent above the limit records its load in
//! the packet and forwards it; the last one selects the least loaded candidate.

use std::{
    fmt,
    net::{Ipv4Addr, SocketAddrV4},
};

use super::route::Objective;

/// Most candidates of a walk; with 8 the packet fits in an Ethernet frame.
pub const MAX_SEATS: usize = 8;
/// Load of a candidate that must not get the flow.
pub const LOAD_CLOSED: u16 = u16::MAX;
/// Load of a candidate that gets the flow only as the last resort: its state is unknown or its breaker is open.
pub const LOAD_UNKNOWN: u16 = u16::MAX - 1;
/// Load of a candidate that the packet has not visited.
const LOAD_UNVISITED: u16 = LOAD_CLOSED;

/// A candidate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Seat {
    /// The agent.
    pub agent: SocketAddrV4,
    /// Its load in thousandths of its slots, once visited.
    pub load: u16,
}

const EMPTY_SEAT: Seat =
    Seat { agent: SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, 0), load: LOAD_UNVISITED };

/// Load of a pool, aggregated from its agents' reports.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PoolLoad {
    /// Mean service time of its upstreams, in milliseconds, if any reported one.
    pub service_ms: Option<u32>,
    /// Share of its slots that are at full upstreams, in percent.
    pub full_percent: u8,
}

/// Whether an agent accepts a flow as the last resort.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Last {
    /// The agent's load is within the limit.
    No,
    /// All candidates are above the limit, and the agent is the least loaded.
    Yes,
}

/// The candidates of an opening packet, its position among them, and the load limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Walk {
    seats: [Seat; MAX_SEATS],
    len: u8,
    at: u8,
    /// Load up to which a candidate accepts the flow, in thousandths of its slots.
    pub limit: u16,
    /// Objective of the route's requests, if configured.
    pub objective: Option<Objective>,
    /// Pool load known to the balancer.
    pub pool: PoolLoad,
    /// Rate limit of a cold upstream in new flows per second, if there is one.
    pub cold_rate: Option<u32>,
}

impl Walk {
    /// Creates a walk over the first [`MAX_SEATS`] of the agents.
    pub fn new<I>(agents: I, limit: u16) -> Walk
    where
        I: IntoIterator<Item = SocketAddrV4>,
    {
        let mut walk = Walk {
            seats: [EMPTY_SEAT; MAX_SEATS],
            len: 0,
            at: 0,
            limit,
            objective: None,
            pool: PoolLoad::default(),
            cold_rate: None,
        };
        for agent in agents.into_iter().take(MAX_SEATS) {
            walk.seats[usize::from(walk.len)] = Seat { agent, load: LOAD_UNVISITED };
            walk.len += 1;
        }
        walk
    }

    /// Creates a walk from its decoded parts; none if the number of candidates or the position is invalid.
    pub fn from_parts(seats: &[Seat], at: u8, limit: u16) -> Option<Walk> {
        if seats.is_empty() || seats.len() > MAX_SEATS || usize::from(at) >= seats.len() {
            return None;
        }
        let len = seats.len() as u8;
        let seat = [EMPTY_SEAT; MAX_SEATS];
        let pool = PoolLoad::default();
        let mut walk = Walk { seats: seat, len, at, limit, objective: None, pool, cold_rate: None };
        walk.seats[..seats.len()].copy_from_slice(seats);
        Some(walk)
    }

    /// Sets the objective of the route's requests.
    pub fn with_objective(self, objective: Option<Objective>) -> Walk {
        Walk { objective, ..self }
    }

    /// Sets the pool load.
    pub fn with_pool(self, pool: PoolLoad) -> Walk {
        Walk { pool, ..self }
    }

    /// Sets the rate limit of cold upstreams, in new flows per second.
    pub fn with_cold_rate(self, cold_rate: Option<u32>) -> Walk {
        Walk { cold_rate, ..self }
    }

    /// The candidates, in the order of the walk.
    pub fn seats(&self) -> &[Seat] {
        &self.seats[..usize::from(self.len)]
    }

    /// Index of the current candidate.
    pub fn at(&self) -> u8 {
        self.at
    }

    /// Address of the current candidate.
    pub fn current(&self) -> Option<SocketAddrV4> {
        self.seats().get(usize::from(self.at)).map(|it| it.agent)
    }

    /// Records the load of the current candidate and moves to the next one. Returns it, or none at the end.
    pub fn pass(&mut self, load: u16) -> Option<SocketAddrV4> {
        self.record_load(load);
        if self.at + 1 >= self.len {
            return None;
        }
        self.at += 1;
        self.current()
    }

    /// Records the load of the current candidate.
    pub fn record_load(&mut self, load: u16) {
        if let Some(seat) = self.seats[..usize::from(self.len)].get_mut(usize::from(self.at)) {
            seat.load = load;
        }
    }

    /// Moves to the least loaded candidate that may get the flow. Returns it, or none if all are closed.
    pub fn select_least_loaded(&mut self) -> Option<SocketAddrV4> {
        let open = self.seats().iter().enumerate().filter(|(_, it)| it.load != LOAD_CLOSED);
        let (at, _) = open.min_by_key(|(_, it)| it.load)?;
        self.at = at as u8;
        self.current()
    }
}

/// The candidates with their recorded loads; `-` is one that is closed or was not visited.
impl fmt::Display for Walk {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (at, seat) in self.seats().iter().enumerate() {
            let gap = if at == 0 { "" } else { " " };
            match seat.load {
                LOAD_CLOSED => write!(f, "{gap}{}=-", seat.agent)?,
                LOAD_UNKNOWN => write!(f, "{gap}{}=unsure", seat.agent)?,
                load => write!(f, "{gap}{}={load}", seat.agent)?,
            }
        }
        Ok(())
    }
}
