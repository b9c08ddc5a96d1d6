//! Records that processes exchange: configuration objects and members, each with an increasing version.

use crate::{
    member::{Agent, AgentState, Balancer, BalancerState},
    object::{Kind, Object},
};

/// Version of a record; a higher one replaces a lower one.
///
/// An object's version is the platform's revision at its last write. A member's version is its incarnation, which is
/// the wall clock in milliseconds at process start, and the sequence number of its announcement.
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

/// Identity of a record.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Key {
    /// A configuration object.
    Object(Kind, String),
    /// A member, by its name.
    Member(String),
}

/// State of a member, as announced by itself or declared by its peers.
#[derive(Clone, Debug, PartialEq)]
pub enum Role {
    /// An agent and the balancers it is connected to.
    Agent {
        /// The agent.
        agent: Agent,
        /// Names of the balancers that monitor it.
        balancers: Vec<String>,
    },
    /// A balancer and the lease it holds.
    Balancer {
        /// The balancer.
        balancer: Balancer,
        /// Number of the zone lease it holds, if any.
        lease: Option<u8>,
    },
}

/// A member's announcement.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// Version of the announcement.
    pub version: Version,
    /// When the member entered its current state, in milliseconds since 1970.
    pub since_ms: u64,
    /// Role and state of the member.
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

    /// Whether the member was declared down.
    pub fn is_down(&self) -> bool {
        match &self.role {
            Role::Agent { agent, .. } => agent.state == AgentState::Down,
            Role::Balancer { balancer, .. } => balancer.state == BalancerState::Down,
        }
    }

    /// Announcement by another process that this member is silent. A balancer is declared down at once, since it holds
    /// no flows.
    pub fn as_silent(&self, wall_ms: u64) -> Member {
        let mut it = self.clone();
        let Role::Agent { agent, .. } = &mut it.role else {
            return self.as_down(wall_ms);
        };
        agent.state = AgentState::Silent;
        it.version = self.version.next();
        it.since_ms = wall_ms;
        it
    }

    /// Announcement by another process that this member is down.
    pub fn as_down(&self, wall_ms: u64) -> Member {
        let mut it = self.clone();
        it.version = self.version.next();
        it.since_ms = wall_ms;
        match &mut it.role {
            Role::Agent { agent, balancers } => {
                agent.state = AgentState::Down;
                balancers.clear();
            }
            Role::Balancer { balancer, lease } => {
                balancer.state = BalancerState::Down;
                *lease = None;
            }
        }
        it
    }
}

/// A record exchanged between processes.
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
    /// Identity of the record.
    pub fn key(&self) -> Key {
        match self {
            Record::Object { kind, object } => Key::Object(*kind, object.name.clone()),
            Record::Deleted { kind, name, .. } => Key::Object(*kind, name.clone()),
            Record::Member(it) => Key::Member(it.name().to_owned()),
        }
    }

    /// Version of the record.
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

/// States that a process holds all configuration up to a revision.
///
/// A receiver applies the watermark only if its own objects have the same sum; a difference reveals a missing record,
/// which it then fetches. The watermark includes the deletions since the last list, because the sum does not reveal a
/// missed deletion and a third process could bring back the object.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Watermark {
    /// Revision up to which the configuration is complete.
    pub revision: u64,
    /// Revision confirmed by a list of the platform.
    pub floor: u64,
    /// Wrapping sum of the hashes of all objects that the process holds.
    pub sum: u64,
    /// Deletions after `floor`.
    pub deleted: Vec<Deletion>,
}
