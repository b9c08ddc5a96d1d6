//! Interface to the platform's store of members and configuration.

use std::{future::Future, net::SocketAddrV4, time::Duration};

use camphorwinch_core::opaque::{
    PoolId,
    fleet::{MemberEntry, ZoneId},
    revision::Revision,
    route::Routes,
    zone::ZonesOut,
};
use thiserror::Error;
use tokio::sync::watch;

/// A process as registered in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Name, unique in the fleet and stable across restarts.
    pub name: String,
    /// Address for datagrams between processes.
    pub address: SocketAddrV4,
    /// Name of its pool; `None` for a balancer.
    pub pool: Option<String>,
    /// Name of its availability zone.
    pub zone: String,
}

impl Member {
    /// The member as used by the decision logic.
    pub fn listed(&self) -> MemberEntry {
        MemberEntry {
            address: self.address,
            pool: self.pool.as_deref().map(PoolId::of),
            zone: ZoneId::of(&self.zone),
        }
    }
}

/// A member with the revision of its object.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Name of the process and of its store object.
    pub name: String,
    /// The member as used by the decision logic.
    pub listed: MemberEntry,
    /// Revision of the object's last change.
    pub revision: Revision,
}

/// All members at one revision of the store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Members {
    /// Store revision of the read.
    pub at: Revision,
    /// The members.
    pub records: Vec<Record>,
}

impl Members {
    /// Whether `member` is listed with its current address, pool and zone.
    pub fn contains(&self, member: &Member) -> bool {
        let listed = member.listed();
        self.records.iter().any(|it| it.name == member.name && it.listed == listed)
    }
}

/// Result of reading the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigRead {
    /// The configuration; `None` if there is none, or none newer than requested.
    pub routes: Option<Routes>,
    /// Store revision from which a watch continues. It may be far above the configuration's own, which may already be
    /// compacted.
    pub at: Revision,
}

/// An entry that was removed from the member list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RemovedMember {
    /// Name of the process and of its former store object.
    pub name: String,
    /// Address of the process, if the store reported it.
    pub address: Option<SocketAddrV4>,
}

/// Members removed up to a revision of the store and not listed again since.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Removals {
    /// Store revision from which a watch continues.
    pub at: Revision,
    /// The members.
    pub members: Vec<RemovedMember>,
}

/// Required freshness of a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// At least as new as the call.
    Current,
    /// May be some seconds old, at a tenth of the cost.
    Stale,
}

/// Result of a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Watched<T> {
    /// State up to a revision.
    Advanced(T),
    /// The history was compacted, or the store was reset to an older copy: a new read is needed.
    Compacted,
}

/// Error of a call to the store.
#[derive(Debug, Error)]
pub enum StoreError {
    /// No answer within the timeout; the call may have taken effect.
    #[error("{step}: timed out after {waited:?}")]
    Timeout {
        /// Name of the failed operation.
        step: &'static str,
        /// Time waited.
        waited: Duration,
    },
    /// The store could not be reached, or the connection broke; the call may have taken effect.
    #[error("{step}: connection to {peer} failed: {reason}")]
    Connection {
        /// Name of the failed operation.
        step: &'static str,
        /// Address of the store.
        peer: SocketAddrV4,
        /// Cause of the failure.
        reason: String,
    },
    /// The store is overloaded and did not execute the call.
    #[error("{step}: store is busy, status {status}")]
    Busy {
        /// Name of the failed operation.
        step: &'static str,
        /// HTTP status.
        status: u16,
    },
    /// The precondition of a write failed.
    #[error("{step}: object was changed concurrently")]
    Conflict {
        /// Name of the failed operation.
        step: &'static str,
        /// Revision of the object, if the store reported it.
        current: Option<Revision>,
    },
    /// The object to change does not exist.
    #[error("{step}: object does not exist")]
    NotFound {
        /// Name of the failed operation.
        step: &'static str,
    },
    /// The store was reset to an older copy between two answers that belong together.
    #[error("{step}: store was reset during the operation")]
    Reset {
        /// Name of the failed operation.
        step: &'static str,
    },
    /// Unexpected or invalid answer.
    #[error("{step}: invalid response, status {status}: {reason}")]
    Answer {
        /// Name of the failed operation.
        step: &'static str,
        /// HTTP status.
        status: u16,
        /// Cause of the failure.
        reason: String,
    },
}

impl StoreError {
    /// Whether a retry of the same call may succeed.
    pub fn is_transient(&self) -> bool {
        match self {
            StoreError::Timeout { .. }
            | StoreError::Connection { .. }
            | StoreError::Busy { .. }
            | StoreError::Reset { .. } => true,
            StoreError::Conflict { .. }
            | StoreError::NotFound { .. }
            | StoreError::Answer { .. } => false,
        }
    }
}

/// Client of the store. `call_timeout` bounds a single call.
pub trait Store: Clone + Send + Sync + 'static {
    /// Highest era reported by the store, which rises with each reset to an older copy. `None` before the first
    /// answer.
    fn era(&self) -> watch::Receiver<Option<u64>>;

    /// Reads all members, at least as new as the call.
    fn members(
        &self,
        call_timeout: Duration,
    ) -> impl Future<Output = Result<Members, StoreError>> + Send;

    /// Creates a member's object and returns its revision, if the store reports it. Fails with
    /// [`StoreError::Conflict`] if the object exists.
    fn create(
        &self,
        member: &Member,
        registration: u32,
        call_timeout: Duration,
    ) -> impl Future<Output = Result<Option<Revision>, StoreError>> + Send;

    /// Replaces a member's object, if it has not changed since `revision`, and returns the new revision, if the store
    /// reports it. The revision is a new one only if `registration` differs from the one in the object.
    fn replace(
        &self,
        member: &Member,
        registration: u32,
        revision: Revision,
        call_timeout: Duration,
    ) -> impl Future<Output = Result<Option<Revision>, StoreError>> + Send;

    /// Withdraws a member, if its object has not changed since `revision` and the store has not been reset since. A
    /// member without an object counts as withdrawn.
    fn withdraw(
        &self,
        name: &str,
        revision: Revision,
        call_timeout: Duration,
    ) -> impl Future<Output = Result<(), StoreError>> + Send;

    /// Waits up to `wait` for changes of the member list since the store revision `revision`, and returns the removals.
    fn watch_members(
        &self,
        revision: Revision,
        wait: Duration,
        call_timeout: Duration,
    ) -> impl Future<Output = Result<Watched<Removals>, StoreError>> + Send;

    /// Reads the configuration.
    fn routes(
        &self,
        freshness: Freshness,
        call_timeout: Duration,
    ) -> impl Future<Output = Result<ConfigRead, StoreError>> + Send;

    /// Waits up to `wait` for a configuration newer than the store revision `revision`.
    fn watch(
        &self,
        revision: Revision,
        wait: Duration,
        call_timeout: Duration,
    ) -> impl Future<Output = Result<Watched<ConfigRead>, StoreError>> + Send;

    /// Reads the zones out of service.
    fn zones_out(
        &self,
        freshness: Freshness,
        call_timeout: Duration,
    ) -> impl Future<Output = Result<ZonesOut, StoreError>> + Send;

    /// Waits up to `wait` for a change of the zones out of service. Returns the new set, or the known one with a newer
    /// revision.
    fn watch_zones(
        &self,
        known: &ZonesOut,
        wait: Duration,
        call_timeout: Duration,
    ) -> impl Future<Output = Result<Watched<ZonesOut>, StoreError>> + Send;
}
