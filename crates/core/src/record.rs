//! Records that processes exchange: configuration objects and members, each with a version that only grows.

use crate::{
    member::{Agent, AgentState, Balancer, BalancerState},
    object::{Kind, Object},
};

/// Version of a record; a higher one replaces a lower one.
///
/// An object's version is the platform's revision at its last write. A member's version is its incarnation, the wall
/// clock in milliseconds at the start of its process, with a sequence number that grows with each announcement.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Version {
    /// Revision of the platform, or incarnation of the member.
    pub major: u64,
    /// 0 for an object, or the sequence number of the announcement.
    pub minor: u64,
}

impl Version {
    /// Version of an object at a revision of the platform.
    pub fn object(revision: u64) -> Version {
        Version { major: revision, minor: 0 }
    }

    /// Version of a member's announcement.
    pub fn member(incarnation: u64, seq: u64) -> Version {
        Version { major: incarnation, minor: seq }
    }

    /// The next announcement of the same incarnation.
    pub fn next(self) -> Version {
        Version { major: self.major, minor: self.minor.saturating_add(1) }
    }
}

/// What a record is about.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Key {
    /// A configuration object.
    Object(Kind, String),
    /// A member, by its name.
    Member(String),
}

/// What a member says of itself, or what its peers found out.
#[derive(Clone, Debug, PartialEq)]
pub enum Role {
    /// An agent, with the names of the balancers that it is linked to.
    Agent {
        /// The agent.
        agent: Agent,
        /// The balancers that watch over it.
        homes: Vec<String>,
    },
    /// A balancer, with the number of the lease that it holds.
    Balancer {
        /// The balancer.
        balancer: Balancer,
        /// The lease of its zone that it holds.
        lease: Option<u8>,
    },
}

/// A member's announcement.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// Version of the announcement.
    pub version: Version,
    /// When the member came into its present state, in milliseconds since 1970.
    pub since_ms: u64,
    /// The member.
    pub role: Role,
}

impl Member {
    /// Name of the member.
    pub fn name(&self) -> &str {
        match &self.role {
            Role::Agent { agent, .. } => &agent.name,
            Role::Balancer { balancer, .. } => &balancer.name,
        }
    }

    /// Availability zone in which it runs.
    pub fn zone(&self) -> &str {
        match &self.role {
            Role::Agent { agent, .. } => &agent.place.zone,
            Role::Balancer { balancer, .. } => &balancer.place.zone,
        }
    }

    /// Whether the member was found dead.
    pub fn is_down(&self) -> bool {
        match &self.role {
            Role::Agent { agent, .. } => agent.state == AgentState::Down,
            Role::Balancer { balancer, .. } => balancer.state == BalancerState::Down,
        }
    }

    /// The announcement, by another process, that this member has not been heard of. A balancer holds no flows that a
    /// wrong verdict could break, and counts as dead at once.
    pub fn silent(&self, wall_ms: u64) -> Member {
        let mut it = self.clone();
        let Role::Agent { agent, .. } = &mut it.role else {
            return self.down(wall_ms);
        };
        agent.state = AgentState::Silent;
        it.version = self.version.next();
        it.since_ms = wall_ms;
        it
    }

    /// The announcement, by another process, that this member was found dead.
    pub fn down(&self, wall_ms: u64) -> Member {
        let mut it = self.clone();
        it.version = self.version.next();
        it.since_ms = wall_ms;
        match &mut it.role {
            Role::Agent { agent, homes } => {
                agent.state = AgentState::Down;
                homes.clear();
            }
            Role::Balancer { balancer, lease } => {
                balancer.state = BalancerState::Down;
                *lease = None;
            }
        }
        it
    }
}

/// One record.
#[derive(Clone, Debug, PartialEq)]
pub enum Record {
    /// A configuration object.
    Object {
        /// Its kind.
        kind: Kind,
        /// The object.
        object: Object,
    },
    /// The deletion of a configuration object.
    Deleted {
        /// Its kind.
        kind: Kind,
        /// Its name.
        name: String,
        /// Revision of the deletion, or a later one at which the object was found missing.
        revision: u64,
    },
    /// A member.
    Member(Member),
}

impl Record {
    /// What the record is about.
    pub fn key(&self) -> Key {
        match self {
            Record::Object { kind, object } => Key::Object(*kind, object.name.clone()),
            Record::Deleted { kind, name, .. } => Key::Object(*kind, name.clone()),
            Record::Member(it) => Key::Member(it.name().to_owned()),
        }
    }

    /// The record's version.
    pub fn version(&self) -> Version {
        match self {
            Record::Object { object, .. } => Version::object(object.version),
            Record::Deleted { revision, .. } => Version::object(*revision),
            Record::Member(it) => it.version,
        }
    }
}

/// The deletion of a configuration object.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Deletion {
    /// Kind of the object.
    pub kind: Kind,
    /// Its name.
    pub name: String,
    /// Revision of the deletion, or a later one at which the object was found missing.
    pub revision: u64,
}

/// A statement that a process holds all configuration up to a revision.
///
/// A receiver takes over the revision only if the sum of its own objects is the same: a record lost or late on some
/// path shows as a difference, and is fetched. The deletions since the last list come with it: the sum can't show that
/// the receiver never heard of one, and an object that a third process still holds would come back.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Mark {
    /// The revision.
    pub revision: u64,
    /// Revision that a list of the platform has confirmed.
    pub floor: u64,
    /// Sum over the hashes of all objects that the process holds.
    pub sum: u64,
    /// Deletions after `floor`.
    pub deleted: Vec<Deletion>,
}
