//! Conversions between messages and the types of the core crate.

use std::net::SocketAddr;

use camphorwinch_core::{
    member::{Agent, AgentState, Balancer, BalancerState, Place},
    object::{Kind, Object},
    record::{self, Deletion, Key, Version, Watermark},
    view::{self, BUCKET_COUNT},
};

use crate::message::{
    AgentPart, BalancerPart, Digest, EntryPart, Item, MarkPart, MemberPart, MessageError,
    ObjectPart, RecordPart, RolePart, StatePart, Summary,
};

impl From<&Watermark> for MarkPart {
    fn from(it: &Watermark) -> MarkPart {
        let mut deleted = Vec::new();
        for it in &it.deleted {
            deleted.push(deletion_part(it.kind, &it.name, it.revision));
        }
        MarkPart { revision: it.revision, floor: it.floor, sum: it.sum, deleted }
    }
}

impl TryFrom<&MarkPart> for Watermark {
    type Error = MessageError;

    fn try_from(it: &MarkPart) -> Result<Watermark, MessageError> {
        let mut deleted = Vec::new();
        for it in &it.deleted {
            let kind = parse_kind(&it.kind)?;
            deleted.push(Deletion { kind, name: it.name.clone(), revision: it.version });
        }
        Ok(Watermark { revision: it.revision, floor: it.floor, sum: it.sum, deleted })
    }
}

fn deletion_part(kind: Kind, name: &str, revision: u64) -> ObjectPart {
    ObjectPart {
        kind: kind.as_str().to_owned(),
        name: name.to_owned(),
        version: revision,
        ..ObjectPart::default()
    }
}

impl Digest {
    /// Returns the hashes in bucket order; fails unless there are exactly [`BUCKET_COUNT`].
    pub fn to_buckets(&self) -> Result<[u64; BUCKET_COUNT], MessageError> {
        <[u64; BUCKET_COUNT]>::try_from(self.buckets.as_slice())
            .map_err(|_| MessageError::new("digest.buckets", self.buckets.len()))
    }
}

impl From<&view::Summary> for Summary {
    fn from(it: &view::Summary) -> Summary {
        Summary {
            buckets: it.buckets.iter().map(|it| u32::from(*it)).collect(),
            entries: it.entries.iter().map(EntryPart::from).collect(),
            floor: it.floor,
        }
    }
}

impl TryFrom<&Summary> for view::Summary {
    type Error = MessageError;

    fn try_from(it: &Summary) -> Result<view::Summary, MessageError> {
        let mut buckets = Vec::new();
        for bucket in &it.buckets {
            let index = u8::try_from(*bucket).ok().filter(|it| usize::from(*it) < BUCKET_COUNT);
            buckets.push(index.ok_or_else(|| MessageError::new("summary.buckets", bucket))?);
        }
        let mut entries = Vec::new();
        for entry in &it.entries {
            entries.push(view::Entry::try_from(entry)?);
        }
        Ok(view::Summary { buckets, entries, floor: it.floor })
    }
}

impl From<&view::Entry> for EntryPart {
    fn from(it: &view::Entry) -> EntryPart {
        let (kind, name) = match &it.key {
            Key::Object(kind, name) => (kind.as_str(), name),
            Key::Member(name) => ("", name),
        };
        EntryPart {
            kind: kind.to_owned(),
            name: name.clone(),
            major: it.version.major,
            minor: it.version.minor,
        }
    }
}

impl TryFrom<&EntryPart> for view::Entry {
    type Error = MessageError;

    fn try_from(it: &EntryPart) -> Result<view::Entry, MessageError> {
        let key = if it.kind.is_empty() {
            Key::Member(it.name.clone())
        } else {
            Key::Object(parse_kind(&it.kind)?, it.name.clone())
        };
        Ok(view::Entry { key, version: Version { major: it.major, minor: it.minor } })
    }
}

fn parse_kind(kind: &str) -> Result<Kind, MessageError> {
    let config_kind = Kind::parse(kind).filter(|it| Kind::CONFIG.contains(it));
    config_kind
        .ok_or_else(|| MessageError::new("kind", format!("{kind:?} is not a configuration kind")))
}

impl From<&record::Record> for RecordPart {
    fn from(it: &record::Record) -> RecordPart {
        let item = match it {
            record::Record::Object { kind, object } => Item::Object(ObjectPart {
                kind: kind.as_str().to_owned(),
                name: object.name.clone(),
                version: object.version,
                writer: object.writer.clone(),
                spec: object.spec.to_string(),
            }),
            record::Record::Deleted { kind, name, revision } => {
                Item::Deleted(deletion_part(*kind, name, *revision))
            }
            record::Record::Member(it) => Item::Member(MemberPart::from(it)),
        };
        RecordPart { item: Some(item) }
    }
}

impl TryFrom<&RecordPart> for record::Record {
    type Error = MessageError;

    fn try_from(it: &RecordPart) -> Result<record::Record, MessageError> {
        match &it.item {
            Some(Item::Object(it)) => {
                let kind = parse_kind(&it.kind)?;
                let spec = serde_json::from_str(&it.spec)
                    .map_err(|e| MessageError::new("object.spec", e))?;
                let object = Object {
                    kind: it.kind.clone(),
                    name: it.name.clone(),
                    version: it.version,
                    writer: it.writer.clone(),
                    spec,
                };
                Ok(record::Record::Object { kind, object })
            }
            Some(Item::Deleted(it)) => Ok(record::Record::Deleted {
                kind: parse_kind(&it.kind)?,
                name: it.name.clone(),
                revision: it.version,
            }),
            Some(Item::Member(it)) => Ok(record::Record::Member(record::Member::try_from(it)?)),
            None => Err(MessageError::new("record", "missing or of an unknown type")),
        }
    }
}

impl From<&record::Member> for MemberPart {
    fn from(it: &record::Member) -> MemberPart {
        let (place, control, role) = match &it.role {
            record::Role::Agent { agent, balancers } => {
                let part = AgentPart {
                    pool: agent.pool.clone(),
                    data: agent.data.to_string(),
                    weight: agent.weight,
                    slots: agent.slots,
                    connections: agent.connections,
                    state: agent_state_part(agent.state) as i32,
                    balancers: balancers.clone(),
                };
                (&agent.place, agent.control, RolePart::Agent(part))
            }
            record::Role::Balancer { balancer, lease } => {
                let state = balancer_state_part(balancer.state) as i32;
                let part = BalancerPart { state, lease: lease.map(u32::from) };
                (&balancer.place, balancer.control, RolePart::Balancer(part))
            }
        };
        MemberPart {
            name: it.name().to_owned(),
            vm: place.vm.clone(),
            zone: place.zone.clone(),
            region: place.region.clone(),
            control: control.to_string(),
            incarnation: it.version.major,
            seq: it.version.minor,
            since_ms: it.since_ms,
            role: Some(role),
        }
    }
}

impl TryFrom<&MemberPart> for record::Member {
    type Error = MessageError;

    fn try_from(it: &MemberPart) -> Result<record::Member, MessageError> {
        let place = Place { vm: it.vm.clone(), zone: it.zone.clone(), region: it.region.clone() };
        let control = parse_address("member.control", &it.control)?;
        let role = match &it.role {
            Some(RolePart::Agent(part)) => parse_agent(it, part, place, control)?,
            Some(RolePart::Balancer(part)) => parse_balancer(it, part, place, control)?,
            None => return Err(MessageError::new("member.role", "missing")),
        };
        let version = Version::member(it.incarnation, it.seq);
        Ok(record::Member { version, since_ms: it.since_ms, role })
    }
}

fn parse_agent(
    it: &MemberPart,
    part: &AgentPart,
    place: Place,
    control: SocketAddr,
) -> Result<record::Role, MessageError> {
    if !part.weight.is_finite() || part.weight < 0.0 {
        return Err(MessageError::new("agent.weight", part.weight));
    }
    let state = match part.state() {
        StatePart::Starting => AgentState::Starting,
        StatePart::Ready => AgentState::Ready,
        StatePart::Draining => AgentState::Draining,
        StatePart::Leaving => AgentState::Leaving,
        StatePart::Silent => AgentState::Silent,
        StatePart::Down => AgentState::Down,
        StatePart::Unspecified => return Err(MessageError::new("agent.state", part.state)),
    };
    let agent = Agent {
        name: it.name.clone(),
        place,
        pool: part.pool.clone(),
        data: parse_address("agent.data", &part.data)?,
        control,
        weight: part.weight,
        slots: part.slots,
        connections: part.connections,
        state,
    };
    Ok(record::Role::Agent { agent, balancers: part.balancers.clone() })
}

fn parse_balancer(
    it: &MemberPart,
    part: &BalancerPart,
    place: Place,
    control: SocketAddr,
) -> Result<record::Role, MessageError> {
    let state = match part.state() {
        StatePart::Ready => BalancerState::Ready,
        StatePart::Leaving => BalancerState::Leaving,
        StatePart::Down => BalancerState::Down,
        StatePart::Unspecified | StatePart::Starting | StatePart::Draining | StatePart::Silent => {
            return Err(MessageError::new("balancer.state", part.state));
        }
    };
    let lease = match part.lease {
        Some(it) => Some(u8::try_from(it).map_err(|e| MessageError::new("balancer.lease", e))?),
        None => None,
    };
    let balancer = Balancer { name: it.name.clone(), place, control, state };
    Ok(record::Role::Balancer { balancer, lease })
}

fn parse_address(field: &'static str, text: &str) -> Result<SocketAddr, MessageError> {
    text.parse().map_err(|e| MessageError::new(field, format!("{text:?}: {e}")))
}

fn agent_state_part(it: AgentState) -> StatePart {
    match it {
        AgentState::Starting => StatePart::Starting,
        AgentState::Ready => StatePart::Ready,
        AgentState::Draining => StatePart::Draining,
        AgentState::Leaving => StatePart::Leaving,
        AgentState::Silent => StatePart::Silent,
        AgentState::Down => StatePart::Down,
    }
}

fn balancer_state_part(it: BalancerState) -> StatePart {
    match it {
        BalancerState::Ready => StatePart::Ready,
        BalancerState::Leaving => StatePart::Leaving,
        BalancerState::Down => StatePart::Down,
    }
}
