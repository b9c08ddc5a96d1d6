//! The load that the upstream reports, which may lag or lie.

use serde::{Deserialize, Serialize};

/// State of an upstream, as it reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LoadState {
    /// Refuses all requests for the first moments.
    Starting,
    /// Takes requests.
    Ready,
    /// Refuses some requests.
    Shedding,
    /// Refuses all requests and finishes those in progress.
    Draining,
}

/// Answer of `GET /load`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Requests worked on at once.
    pub slots: u64,
    /// Requests being worked on.
    pub busy: u64,
    /// Open connections.
    pub connections: u64,
    /// State.
    pub state: LoadState,
}
