//! Candidate list: the agents that an opening packet visits.
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

/// Maximum number of candidates of an opening packet: the chance that all of them are above the mean load is small
/// already, and with 8 the packet fits in an Ethernet frame.
pub const MAX_CANDIDATES: usize = 8;
/// Load of a candidate that must not get the flow.
pub const LOAD_CLOSED: u16 = u16::MAX;
/// Load of a candidate that gets the flow only as the last resort: its state is unknown or its breaker is open.
pub const LOAD_UNKNOWN: u16 = u16::MAX - 1;
/// Load of a candidate that the packet has not visited.
const LOAD_UNVISITED: u16 = LOAD_CLOSED;

/// Share of a pool's slots at full upstreams, in percent, from which the pool counts as full. Below it a caller that is
/// refused can retry at an upstream with room.
pub const POOL_FULL_PERCENT: u8 = 60;

/// A candidate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The agent.
    pub agent: SocketAddrV4,
    /// Its load in thousandths of its slots, once visited.
    pub load: u16,
}

const EMPTY_CANDIDATE: Candidate =
    Candidate { agent: SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, 0), load: LOAD_UNVISITED };

/// Load of a pool, aggregated from its agents' reports.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PoolLoad {
    /// Mean service time of its upstreams, in milliseconds, if any reported one.
    pub service_ms: Option<u32>,
    /// Mean length of the first answer packet of its upstreams, in bytes, if any reported one.
    pub answer_bytes: Option<u32>,
    /// Share of its slots that are at full upstreams, in percent.
    pub full_percent: u8,
}

impl PoolLoad {
    /// Whether the pool counts as full.
    pub fn is_full(&self) -> bool {
        self.full_percent >= POOL_FULL_PERCENT
    }
}

/// Whether an agent accepts a flow as the last resort.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LastResort {
    /// The agent's load is within the limit.
    No,
    /// All candidates are above the limit, and the agent is the least loaded.
    Yes,
}

/// The candidates of an opening packet, its position among them, and the load limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CandidateList {
    candidates: [Candidate; MAX_CANDIDATES],
    len: u8,
    position: u8,
    /// Load up to which a candidate accepts the flow, in thousandths of its slots.
    pub limit: u16,
    /// Objective of the route's requests, if configured.
    pub objective: Option<Objective>,
    /// Pool load known to the balancer.
    pub pool: PoolLoad,
    /// Rate limit of a cold upstream in new flows per second, if there is one.
    pub cold_rate: Option<u32>,
}

impl CandidateList {
    /// Creates a list of the first [`MAX_CANDIDATES`] of the agents.
    pub fn new<I>(agents: I, limit: u16) -> CandidateList
    where
        I: IntoIterator<Item = SocketAddrV4>,
    {
        let mut list = CandidateList {
            candidates: [EMPTY_CANDIDATE; MAX_CANDIDATES],
            len: 0,
            position: 0,
            limit,
            objective: None,
            pool: PoolLoad::default(),
            cold_rate: None,
        };
        for agent in agents.into_iter().take(MAX_CANDIDATES) {
            list.candidates[usize::from(list.len)] = Candidate { agent, load: LOAD_UNVISITED };
            list.len += 1;
        }
        list
    }

    /// Creates a list from its decoded parts; none if the number of candidates or the position is invalid.
    pub fn from_parts(candidates: &[Candidate], position: u8, limit: u16) -> Option<CandidateList> {
        if candidates.is_empty()
            || candidates.len() > MAX_CANDIDATES
            || usize::from(position) >= candidates.len()
        {
            return None;
        }
        let len = candidates.len() as u8;
        let pool = PoolLoad::default();
        let mut list = CandidateList {
            candidates: [EMPTY_CANDIDATE; MAX_CANDIDATES],
            len,
            position,
            limit,
            objective: None,
            pool,
            cold_rate: None,
        };
        list.candidates[..candidates.len()].copy_from_slice(candidates);
        Some(list)
    }

    /// Sets the objective of the route's requests.
    pub fn with_objective(self, objective: Option<Objective>) -> CandidateList {
        CandidateList { objective, ..self }
    }

    /// Sets the pool load.
    pub fn with_pool(self, pool: PoolLoad) -> CandidateList {
        CandidateList { pool, ..self }
    }

    /// Sets the rate limit of cold upstreams, in new flows per second.
    pub fn with_cold_rate(self, cold_rate: Option<u32>) -> CandidateList {
        CandidateList { cold_rate, ..self }
    }

    /// The candidates, in the order of visits.
    pub fn candidates(&self) -> &[Candidate] {
        &self.candidates[..usize::from(self.len)]
    }

    /// Index of the current candidate.
    pub fn position(&self) -> u8 {
        self.position
    }

    /// Address of the current candidate.
    pub fn current(&self) -> Option<SocketAddrV4> {
        self.candidates().get(usize::from(self.position)).map(|it| it.agent)
    }

    /// Records the load of the current candidate and moves to the next one. Returns it, or none at the end.
    pub fn advance(&mut self, load: u16) -> Option<SocketAddrV4> {
        self.record_load(load);
        if self.position + 1 >= self.len {
            return None;
        }
        self.position += 1;
        self.current()
    }

    /// Records the load of the current candidate.
    pub fn record_load(&mut self, load: u16) {
        if let Some(candidate) =
            self.candidates[..usize::from(self.len)].get_mut(usize::from(self.position))
        {
            candidate.load = load;
        }
    }

    /// Whether the current candidate has recorded no load, or none with which it may get the flow.
    pub fn is_current_unvisited(&self) -> bool {
        let current = self.candidates().get(usize::from(self.position));
        current.is_some_and(|it| it.load == LOAD_UNVISITED)
    }

    /// Moves to the least loaded candidate that may get the flow. Returns it, or none if all are closed.
    pub fn select_least_loaded(&mut self) -> Option<SocketAddrV4> {
        let open = self.candidates().iter().enumerate().filter(|(_, it)| it.load != LOAD_CLOSED);
        let (position, _) = open.min_by_key(|(_, it)| it.load)?;
        self.position = position as u8;
        self.current()
    }
}

/// The candidates with their recorded loads: `-` if closed or not visited, `unsure` for [`LOAD_UNKNOWN`].
impl fmt::Display for CandidateList {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, candidate) in self.candidates().iter().enumerate() {
            let separator = if index == 0 { "" } else { " " };
            match candidate.load {
                LOAD_CLOSED => write!(f, "{separator}{}=-", candidate.agent)?,
                LOAD_UNKNOWN => write!(f, "{separator}{}=unsure", candidate.agent)?,
                load => write!(f, "{separator}{}={load}", candidate.agent)?,
            }
        }
        Ok(())
    }
}
