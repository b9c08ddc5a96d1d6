//! The walk of an opening packet over a few candidates.
//!
//! The pattern is consistent hashing with bounded loads (Mirrokni, Thorup, Zadimoghaddam, SODA 2018): the first
//! candidate whose load is within a limit near the mean takes the flow. Load is judged by each agent for itself, where it
//! is exact; what balancers know of it is a second old and sets only the order and the limit. An agent above the limit
//! writes its load into the packet and sends it on; the last one picks the least loaded of all.

use std::{
    fmt,
    net::{Ipv4Addr, SocketAddrV4},
};

use super::route::Objective;

/// Most candidates of one walk: the chance that all of them are above the mean is small already, and with 8 the
/// packet stays below an Ethernet frame.
pub const MAX_SEATS: usize = 8;
/// Load of an upstream that must not get the flow.
pub const CLOSED: u16 = u16::MAX;
/// Load of an upstream that gets the flow only if no other takes it, as its state is not known.
pub const UNSURE: u16 = u16::MAX - 1;
/// Load of a candidate that was not asked yet.
const NOT_ASKED: u16 = CLOSED;

/// A candidate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Seat {
    /// The agent.
    pub agent: SocketAddrV4,
    /// Its load in thousandths of its slots, once it was asked.
    pub load: u16,
}

const EMPTY: Seat = Seat { agent: SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, 0), load: NOT_ASKED };

/// What reports say of a pool as a whole.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PoolLoad {
    /// Mean time that its upstreams work on a request, in milliseconds, if some of them said so.
    pub service_ms: Option<u32>,
    /// Share of its slots that are at full upstreams, in hundredths.
    pub full_percent: u8,
}

/// Whether an agent accepted as the last resort.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Last {
    /// Its load is within the limit.
    No,
    /// All candidates were above the limit; it is the least loaded.
    Yes,
}

/// The candidates, how far the packet has come, and the load up to which it is accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Walk {
    seats: [Seat; MAX_SEATS],
    len: u8,
    at: u8,
    /// Load up to which a candidate accepts at once, in thousandths of its slots.
    pub limit: u16,
    /// Objective of the route's requests, if the balancer knows one.
    pub objective: Option<Objective>,
    /// What the balancer knows of the pool.
    pub pool: PoolLoad,
    /// New flows a second that a cold upstream of the pool bears, if that is bounded.
    pub cold_rate: Option<u32>,
}

impl Walk {
    /// A walk over the first [`MAX_SEATS`] of the agents.
    pub fn new<I>(agents: I, limit: u16) -> Walk
    where
        I: IntoIterator<Item = SocketAddrV4>,
    {
        let mut walk = Walk {
            seats: [EMPTY; MAX_SEATS],
            len: 0,
            at: 0,
            limit,
            objective: None,
            pool: PoolLoad::default(),
            cold_rate: None,
        };
        for agent in agents.into_iter().take(MAX_SEATS) {
            walk.seats[usize::from(walk.len)] = Seat { agent, load: NOT_ASKED };
            walk.len += 1;
        }
        walk
    }

    /// A walk as it was received; none if its numbers do not fit together.
    pub fn from_parts(seats: &[Seat], at: u8, limit: u16) -> Option<Walk> {
        if seats.is_empty() || seats.len() > MAX_SEATS || usize::from(at) >= seats.len() {
            return None;
        }
        let len = seats.len() as u8;
        let seat = [EMPTY; MAX_SEATS];
        let pool = PoolLoad::default();
        let mut walk = Walk { seats: seat, len, at, limit, objective: None, pool, cold_rate: None };
        walk.seats[..seats.len()].copy_from_slice(seats);
        Some(walk)
    }

    /// The walk with the objective of the route's requests.
    pub fn with_objective(self, objective: Option<Objective>) -> Walk {
        Walk { objective, ..self }
    }

    /// The walk with what is known of the pool.
    pub fn with_pool(self, pool: PoolLoad) -> Walk {
        Walk { pool, ..self }
    }

    /// The walk with the rate that a cold upstream of the pool bears.
    pub fn with_cold_rate(self, cold_rate: Option<u32>) -> Walk {
        Walk { cold_rate, ..self }
    }

    /// The candidates.
    pub fn seats(&self) -> &[Seat] {
        &self.seats[..usize::from(self.len)]
    }

    /// Position of the candidate that the packet is at.
    pub fn at(&self) -> u8 {
        self.at
    }

    /// The candidate that the packet is at.
    pub fn current(&self) -> Option<SocketAddrV4> {
        self.seats().get(usize::from(self.at)).map(|it| it.agent)
    }

    /// Records the load of the current candidate and moves on; the next one, if there is one.
    pub fn pass(&mut self, load: u16) -> Option<SocketAddrV4> {
        self.record(load);
        if self.at + 1 >= self.len {
            return None;
        }
        self.at += 1;
        self.current()
    }

    /// Records the load of the current candidate.
    pub fn record(&mut self, load: u16) {
        if let Some(seat) = self.seats[..usize::from(self.len)].get_mut(usize::from(self.at)) {
            seat.load = load;
        }
    }

    /// Moves to the least loaded candidate that may take the flow.
    pub fn settle(&mut self) -> Option<SocketAddrV4> {
        let open = self.seats().iter().enumerate().filter(|(_, it)| it.load != CLOSED);
        let (at, _) = open.min_by_key(|(_, it)| it.load)?;
        self.at = at as u8;
        self.current()
    }
}

/// The candidates in their order with the loads that they wrote down; `-` is one that may take no flow or was not asked.
impl fmt::Display for Walk {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (at, seat) in self.seats().iter().enumerate() {
            let gap = if at == 0 { "" } else { " " };
            match seat.load {
                CLOSED => write!(f, "{gap}{}=-", seat.agent)?,
                UNSURE => write!(f, "{gap}{}=unsure", seat.agent)?,
                load => write!(f, "{gap}{}={load}", seat.agent)?,
            }
        }
        Ok(())
    }
}
