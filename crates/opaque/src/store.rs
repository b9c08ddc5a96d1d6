//! The platform's store, as far as opaque flows need it: members and the configuration.

use std::{future::Future, net::SocketAddrV4, time::Duration};

use camphorwinch_core::opaque::{
    PoolId,
    fleet::{Listed, ZoneId},
    revision::Revision,
    route::Routes,
    zone::ZonesOut,
};
use thiserror::Error;
use tokio::sync::watch;

/// A process as the store lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Name, unique in the fleet and the same after a restart.
    pub name: String,
    /// Address for packets between processes.
    pub address: SocketAddrV4,
    /// Name of its pool, if it is an agent.
    pub pool: Option<String>,
    /// Name of its zone.
    pub zone: String,
}

impl Member {
    /// The member as decisions see it.
    pub fn listed(&self) -> Listed {
        Listed {
            address: self.address,
            pool: self.pool.as_deref().map(PoolId::of),
            zone: ZoneId::of(&self.zone),
        }
    }
}

/// A member with the revision of its object.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Name of the process and of its object.
    pub name: String,
    /// The member as decisions see it.
    pub listed: Listed,
    /// Revision of its last change.
    pub revision: Revision,
}

/// All members as a call saw them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Members {
    /// The store's revision as of which they were read.
    pub at: Revision,
    /// The members.
    pub records: Vec<Record>,
}

impl Members {
    /// Whether a process is listed as it is.
    pub fn lists(&self, member: &Member) -> bool {
        let listed = member.listed();
        self.records.iter().any(|it| it.name == member.name && it.listed == listed)
    }
}

/// A process's own object, after it was announced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Announced {
    /// Revision of the object, if the answer told it.
    pub revision: Option<Revision>,
    /// Whether there was none before.
    pub created: bool,
}

/// The configuration as a call saw it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Seen {
    /// The configuration; none if there is none, or none newer than what was asked for.
    pub routes: Option<Routes>,
    /// The store's revision, from which a watch goes on. It may be far above that of the configuration, whose own may
    /// have left the store's history.
    pub at: Revision,
}

/// How new an answer has to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// Not older than the call.
    Current,
    /// Perhaps some seconds old, for a tenth of the price.
    Stale,
}

/// What a watch brought.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Watched<T> {
    /// What happened up to a revision.
    Seen(T),
    /// The store no longer has the history, or has come back from an older copy: read anew.
    Compacted,
}

/// Why a call to the store brought nothing.
#[derive(Debug, Error)]
pub enum StoreError {
    /// No answer in time; the call may have taken effect.
    #[error("{step}: no answer within {waited:?}")]
    Timeout {
        /// What was asked.
        step: &'static str,
        /// How long was waited.
        waited: Duration,
    },
    /// The store could not be reached, or the connection broke; the call may have taken effect.
    #[error("{step}: connection to {peer}: {reason}")]
    Connection {
        /// What was asked.
        step: &'static str,
        /// The store's address.
        peer: SocketAddrV4,
        /// What is wrong.
        reason: String,
    },
    /// The store refuses calls for now and did nothing.
    #[error("{step}: busy, status {status}")]
    Busy {
        /// What was asked.
        step: &'static str,
        /// HTTP status.
        status: u16,
    },
    /// The condition of a write does not hold.
    #[error("{step}: the object has changed")]
    Conflict {
        /// What was asked.
        step: &'static str,
    },
    /// The store came back from an older copy between two answers that belong together.
    #[error("{step}: the store was reset meanwhile")]
    Reset {
        /// What was asked.
        step: &'static str,
    },
    /// An answer that makes no sense.
    #[error("{step}: answer of status {status}: {reason}")]
    Answer {
        /// What was asked.
        step: &'static str,
        /// HTTP status.
        status: u16,
        /// What is wrong.
        reason: String,
    },
}

impl StoreError {
    /// Whether the same call may succeed later.
    pub fn is_passing(&self) -> bool {
        match self {
            StoreError::Timeout { .. }
            | StoreError::Connection { .. }
            | StoreError::Busy { .. }
            | StoreError::Reset { .. } => true,
            StoreError::Conflict { .. } | StoreError::Answer { .. } => false,
        }
    }
}

/// The store. `patience` is how long a call may take.
pub trait Store: Clone + Send + Sync + 'static {
    /// The store's era by the highest one that an answer told: it rises each time the store comes back from an older copy.
    /// None before the first answer.
    fn era(&self) -> watch::Receiver<Option<u64>>;

    /// All members, not older than the call.
    fn members(
        &self,
        patience: Duration,
    ) -> impl Future<Output = Result<Members, StoreError>> + Send;

    /// Lists a member, in place of one of the same name.
    fn announce(
        &self,
        member: &Member,
        patience: Duration,
    ) -> impl Future<Output = Result<Announced, StoreError>> + Send;

    /// Takes a member off the list; with a revision only if it has not changed since, and the store has not been reset.
    fn withdraw(
        &self,
        name: &str,
        revision: Option<Revision>,
        patience: Duration,
    ) -> impl Future<Output = Result<(), StoreError>> + Send;

    /// The configuration.
    fn routes(
        &self,
        freshness: Freshness,
        patience: Duration,
    ) -> impl Future<Output = Result<Seen, StoreError>> + Send;

    /// Waits for a configuration newer than `revision` of the store.
    fn watch(
        &self,
        revision: Revision,
        wait: Duration,
        patience: Duration,
    ) -> impl Future<Output = Result<Watched<Seen>, StoreError>> + Send;

    /// The zones out of service.
    fn zones_out(
        &self,
        freshness: Freshness,
        patience: Duration,
    ) -> impl Future<Output = Result<ZonesOut, StoreError>> + Send;

    /// Waits for a change of the zones out of service; the set after it, or the one that was known with a newer revision.
    fn watch_zones(
        &self,
        known: &ZonesOut,
        wait: Duration,
        patience: Duration,
    ) -> impl Future<Output = Result<Watched<ZonesOut>, StoreError>> + Send;
}
