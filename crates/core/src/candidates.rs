//! Agents that may accept a new flow, in order of preference.

use std::net::{Ipv4Addr, SocketAddrV4};

/// Maximum number of candidates for a new flow.
pub const MAX_CANDIDATES: usize = 3;

const UNUSED: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, 0);

/// Data addresses of the agents that may accept a new flow, best first. Stored inline, without allocation.
#[derive(Clone, Copy)]
pub struct Candidates {
    agents: [SocketAddrV4; MAX_CANDIDATES],
    len: u8,
}

impl Candidates {
    /// No candidates, for a packet of an established flow.
    pub const NONE: Candidates = Candidates { agents: [UNUSED; MAX_CANDIDATES], len: 0 };

    /// Creates the list from agents sorted best first; agents after the first [`MAX_CANDIDATES`] are ignored.
    pub fn new(agents: &[SocketAddrV4]) -> Candidates {
        let mut it = Candidates::NONE;
        for &agent in agents {
            it.push(agent);
        }
        it
    }

    /// Adds the next best candidate, unless the list is full.
    #[inline]
    pub fn push(&mut self, agent: SocketAddrV4) {
        if let Some(entry) = self.agents.get_mut(usize::from(self.len)) {
            *entry = agent;
            self.len += 1;
        }
    }

    /// The candidates, best first.
    #[inline]
    pub fn as_slice(&self) -> &[SocketAddrV4] {
        &self.agents[..usize::from(self.len)]
    }
}

impl PartialEq for Candidates {
    fn eq(&self, other: &Candidates) -> bool {
        self.as_slice() == other.as_slice()
    }
}

impl Eq for Candidates {}

impl std::fmt::Debug for Candidates {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_list().entries(self.as_slice()).finish()
    }
}
