//! State shared by the tasks of the control plane.

use std::collections::{BTreeMap, VecDeque};

use camphorwinch_core::{
    assemble::Assembler,
    failure_detector::FailureDetector,
    member::{AgentState, Balancer, BalancerState},
    mesh::Peer,
    object::SpecError,
    record::{Member, Record, Role as MemberRole, Version, Watermark},
    snapshot::Snapshot,
    timeline::Event,
    view::{View, WatermarkOutcome},
};
use camphorwinch_wire::message::{Body, Digest, RecordPart, Stamp, Update};
use prost::Message;

use crate::{
    clock::{now_ms, wall_ms},
    config::CommonConfig,
    control::{
        Load, Role,
        peer::{Link, LinkId, LinkedAgent},
    },
    event::{self, EventId, EventSubject},
};

/// Size from which an update is split into several frames.
const MAX_UPDATE_BYTES: usize = 512 << 10;
/// Minimum interval between digests sent on a link because of a difference.
const MIN_DIGEST_INTERVAL_MS: u64 = 200;
/// How long a starting process may outbid a higher incarnation of its name: the wall clock of the VM that it replaces
/// may have been ahead.
const NAME_GRACE_MS: u64 = 10_000;
/// Capacity of the queue of events to forward.
pub(crate) const MAX_QUEUED_EVENTS: usize = 2_000;

/// Shared state. Lock it only briefly, never across an await, and take no other lock of the control plane while holding
/// it.
pub(crate) struct State {
    /// Local view of the fleet.
    pub(crate) view: View,
    /// Own member record.
    pub(crate) own: Member,
    /// Whether a newer process uses the same name.
    pub(crate) fenced: bool,
    /// Revision in force in the data path.
    pub(crate) applied: u64,
    /// Load of the upstream, if this is an agent.
    pub(crate) load: Load,
    /// Key epochs of the flows, if this is an agent.
    pub(crate) epochs: Vec<u8>,
    pub(crate) links: BTreeMap<LinkId, Link>,
    /// Members suspected to have failed.
    pub(crate) failure_detector: FailureDetector,
    /// Agents linked to this balancer.
    pub(crate) linked_agents: BTreeMap<String, LinkedAgent>,
    /// Events of linked agents to forward.
    pub(crate) events: VecDeque<Event>,
    /// Pools that this agent subscribes to.
    pub(crate) pools: Vec<String>,
    started_ms: u64,
    past_name_grace: bool,
    next_link: LinkId,
    assembler: Assembler,
}

impl State {
    pub(crate) fn new(common: &CommonConfig, role: &Role) -> State {
        let wall = wall_ms();
        let pools = match role {
            Role::Agent(agent) => vec![agent.pool.clone()],
            Role::Balancer => Vec::new(),
        };
        let role = own_role(common, role);
        let own = Member { version: Version::member(wall, 0), since_ms: wall, role };
        let mut view = View::new();
        view.merge(&Record::Member(own.clone()), wall);
        State {
            view,
            own,
            fenced: false,
            applied: 0,
            load: Load::default(),
            epochs: Vec::new(),
            links: BTreeMap::new(),
            failure_detector: FailureDetector::new(),
            linked_agents: BTreeMap::new(),
            events: VecDeque::new(),
            pools,
            started_ms: now_ms(),
            past_name_grace: false,
            next_link: 0,
            assembler: Assembler::new(),
        }
    }

    /// Treats the name grace period as over.
    #[cfg(test)]
    pub(crate) fn skip_name_grace(&mut self) {
        self.past_name_grace = true;
    }

    /// Builds a snapshot; also returns the object errors that were not returned before.
    pub(crate) fn snapshot(&mut self) -> (Snapshot, Vec<SpecError>) {
        self.assembler.snapshot(&self.view)
    }

    pub(crate) fn is_agent(&self) -> bool {
        matches!(self.own.role, MemberRole::Agent { .. })
    }

    /// Adds a link and returns its ID.
    pub(crate) fn add_link(&mut self, link: Link) -> LinkId {
        self.next_link += 1;
        self.failure_detector.clear(&link.peer);
        self.links.insert(self.next_link, link);
        self.next_link
    }

    /// Whether there is a link to this peer.
    pub(crate) fn has_link(&self, peer: &str) -> bool {
        self.links.values().any(|it| it.peer == peer)
    }

    /// Changes the own role and sends the record to all peers if it differs.
    pub(crate) fn announce<F>(&mut self, change: F)
    where
        F: FnOnce(&mut MemberRole),
    {
        let before = self.own.role.clone();
        change(&mut self.own.role);
        if self.own.role == before {
            return;
        }
        if state_name(&before) != state_name(&self.own.role) {
            self.own.since_ms = wall_ms();
            let text = format!("{} is {}", self.own.name(), state_name(&self.own.role));
            event::emit(EventId::MemberChanged, EventSubject::new(), &text);
        }
        self.own.version = self.own.version.next();
        self.publish_own();
    }

    fn publish_own(&mut self) {
        let record = Record::Member(self.own.clone());
        if self.view.merge(&record, wall_ms()) {
            self.flood(&[record], None);
        }
    }

    /// Announces a new state of this agent.
    pub(crate) fn set_agent_state(&mut self, state: AgentState) {
        self.announce(|role| {
            if let MemberRole::Agent { agent, .. } = role {
                agent.state = state;
            }
        });
    }

    /// Announces that this process is leaving.
    pub(crate) fn set_leaving(&mut self) {
        self.announce(|role| match role {
            MemberRole::Agent { agent, .. } => agent.state = AgentState::Leaving,
            MemberRole::Balancer { balancer, lease } => {
                balancer.state = BalancerState::Leaving;
                *lease = None;
            }
        });
    }

    /// Merges records and their watermark and forwards the changes; returns whether anything changed.
    pub(crate) fn apply(
        &mut self,
        records: &[Record],
        watermark: Option<Watermark>,
        from: Option<LinkId>,
    ) -> bool {
        let wall = wall_ms();
        let mut changed = Vec::new();
        for record in records {
            if self.view.merge(record, wall) {
                log_change(record);
                changed.push(record.clone());
            }
        }
        let outcome =
            watermark.map_or(WatermarkOutcome::Unchanged, |it| self.view.apply_watermark(&it));
        if !changed.is_empty() || outcome == WatermarkOutcome::Advanced {
            self.flood(&changed, from);
        }
        if let (WatermarkOutcome::Differs, Some(id)) = (outcome, from) {
            self.send_digest_limited(id);
        }
        self.resolve_name_conflict();
        !changed.is_empty() || outcome == WatermarkOutcome::Advanced
    }

    /// Merges records of the platform's watch, complete up to `revision`; returns whether anything changed.
    pub(crate) fn apply_watch(&mut self, records: &[Record], revision: u64) -> bool {
        let wall = wall_ms();
        let mut changed = Vec::new();
        for record in records {
            if self.view.merge(record, wall) {
                changed.push(record.clone());
            }
        }
        let advanced = self.view.advance_revision(revision);
        if advanced || !changed.is_empty() {
            self.flood(&changed, None);
        }
        advanced || !changed.is_empty()
    }

    /// Handles a newer record under the own name: refutes a failure report, or fences this process if it was replaced.
    fn resolve_name_conflict(&mut self) {
        let Some(seen) = self.view.member(self.own.name()).map(|it| it.version) else {
            return;
        };
        if seen <= self.own.version {
            return;
        }
        self.past_name_grace |= now_ms().saturating_sub(self.started_ms) >= NAME_GRACE_MS;
        let starting = !self.past_name_grace;
        if seen.major > self.own.version.major && !starting {
            self.fenced = true;
            return;
        }
        if seen.major > self.own.version.major {
            self.own.version = Version::member(seen.major.saturating_add(1), 0);
        } else {
            self.own.version = seen.next();
            event::emit(
                EventId::MemberBack,
                EventSubject::new(),
                "refuted a failure report about this process",
            );
        }
        self.publish_own();
    }

    /// Forwards records and the own watermark on all links except the one they came from.
    pub(crate) fn flood(&self, records: &[Record], except: Option<LinkId>) {
        let agent = self.is_agent();
        for (id, link) in &self.links {
            if except == Some(*id) {
                continue;
            }
            let own = |it: &&Record| {
                !agent || matches!(it, Record::Member(m) if m.name() == self.own.name())
            };
            let selected: Vec<&Record> =
                records.iter().filter(|it| link.scope.covers_record(it)).filter(own).collect();
            if selected.is_empty() && (agent || !records.is_empty()) {
                continue;
            }
            self.send_records(link, &selected);
        }
    }

    /// Sends records on one link, split into frames; the last one carries the watermark.
    pub(crate) fn send_records(&self, link: &Link, records: &[&Record]) {
        let mut update = Update::default();
        let mut size = 0;
        for record in records {
            let part = RecordPart::from(*record);
            size += part.encoded_len();
            update.records.push(part);
            if size >= MAX_UPDATE_BYTES {
                link.send(Body::Update(std::mem::take(&mut update)));
                size = 0;
            }
        }
        update.mark = self.view.watermark().as_ref().map(Into::into);
        update.stamp = Some(stamp());
        link.send(Body::Update(update));
    }

    fn send_digest_limited(&mut self, id: LinkId) {
        let now = now_ms();
        let Some(link) = self.links.get_mut(&id) else {
            return;
        };
        link.digest_pending = now.saturating_sub(link.last_digest_ms) < MIN_DIGEST_INTERVAL_MS;
        if link.digest_pending {
            return;
        }
        link.last_digest_ms = now;
        self.send_digest(id);
    }

    /// Sends the digests that [`MIN_DIGEST_INTERVAL_MS`] delayed.
    pub(crate) fn send_pending_digests(&mut self) {
        let pending = self.links.iter().filter(|(_, it)| it.digest_pending).map(|(id, _)| *id);
        for id in pending.collect::<Vec<_>>() {
            self.send_digest_limited(id);
        }
    }

    /// Sends the digest of the records in the scope of a link.
    pub(crate) fn send_digest(&self, id: LinkId) {
        let Some(link) = self.links.get(&id) else {
            return;
        };
        let buckets = self.view.digest(&link.scope).to_vec();
        link.send(Body::Digest(Digest { buckets }));
    }

    /// Balancers in the state ready.
    pub(crate) fn balancers(&self) -> Vec<&Balancer> {
        let mut found = Vec::new();
        for member in self.view.members() {
            let MemberRole::Balancer { balancer, .. } = &member.role else {
                continue;
            };
            if balancer.state == BalancerState::Ready {
                found.push(balancer);
            }
        }
        found
    }

    /// Holder of the lowest-numbered lease of the zone, or of any zone if this one has no holder.
    pub(crate) fn lease_holder(&self, zone: &str) -> Option<&Balancer> {
        let mut best: Option<(bool, u8, &Balancer)> = None;
        for member in self.view.members() {
            let MemberRole::Balancer { balancer, lease: Some(lease) } = &member.role else {
                continue;
            };
            if balancer.state != BalancerState::Ready {
                continue;
            }
            let order = (balancer.place.zone != zone, *lease);
            if best.is_none_or(|(far, number, _)| order < (far, number)) {
                best = Some((order.0, order.1, balancer));
            }
        }
        best.map(|(_, _, it)| it)
    }

    /// Queues events of other processes to forward; drops the oldest above [`MAX_QUEUED_EVENTS`].
    pub(crate) fn queue_events<I>(&mut self, events: I)
    where
        I: IntoIterator<Item = Event>,
    {
        self.events.extend(events);
        let excess = self.events.len().saturating_sub(MAX_QUEUED_EVENTS);
        self.events.drain(..excess);
    }
}

/// Converts balancers to the input of the functions in `mesh`.
pub(crate) fn mesh_peers<'a>(balancers: &[&'a Balancer]) -> Vec<Peer<'a>> {
    balancers.iter().map(|it| Peer { name: &it.name, zone: &it.place.zone }).collect()
}

/// Current stamp of the hybrid logical clock, as sent to peers.
pub(crate) fn stamp() -> Stamp {
    let it = event::stamp();
    Stamp { ms: it.ms, counter: it.counter }
}

fn own_role(common: &CommonConfig, role: &Role) -> MemberRole {
    match role {
        Role::Agent(agent) => MemberRole::Agent { agent: agent.clone(), balancers: Vec::new() },
        Role::Balancer => MemberRole::Balancer {
            balancer: Balancer {
                name: common.name.clone(),
                place: common.place.clone(),
                control: common.control,
                state: BalancerState::Ready,
            },
            lease: None,
        },
    }
}

pub(crate) fn state_name(role: &MemberRole) -> &'static str {
    match role {
        MemberRole::Agent { agent, .. } => match agent.state {
            AgentState::Starting => "starting",
            AgentState::Ready => "ready",
            AgentState::Draining => "draining",
            AgentState::Leaving => "leaving",
            AgentState::Silent => "silent",
            AgentState::Down => "down",
        },
        MemberRole::Balancer { balancer, .. } => match balancer.state {
            BalancerState::Ready => "ready",
            BalancerState::Leaving => "leaving",
            BalancerState::Down => "down",
        },
    }
}

fn log_change(record: &Record) {
    if let Record::Member(it) = record {
        tracing::debug!("member {} is {}", it.name(), state_name(&it.role));
    }
}
