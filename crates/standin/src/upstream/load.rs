//! Load report of an upstream.

use serde::{Deserialize, Serialize};

/// State that an upstream reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LoadState {
    /// Rejects all requests shortly after the start.
    Starting,
    /// Accepts requests.
    Ready,
    /// Rejects some requests.
    Shedding,
    /// Rejects new requests and completes those in progress.
    Draining,
}

/// Response of `GET /load`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Maximum number of concurrent requests.
    pub slots: u64,
    /// Requests in progress.
    pub busy: u64,
    /// Open connections.
    pub connections: u64,
    /// Reported state.
    pub state: LoadState,
}
