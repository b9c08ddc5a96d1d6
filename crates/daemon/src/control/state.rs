//! What the tasks of the control plane share.

use std::collections::{BTreeMap, VecDeque};

use camphorwinch_core::{
    assemble::Assembler,
    member::{AgentState, Balancer, BalancerState},
    mesh::Peer,
    object::SpecError,
    record::{Mark, Member, Record, Role as MemberRole, Version},
    snapshot::Snapshot,
    suspect::Suspects,
    timeline::Event,
    view::{Adoption, View},
};
use camphorwinch_wire::message::{Body, Digest, RecordPart, Stamp, Update};
use prost::Message;

use crate::{
    clock::{now_ms, wall_ms},
    config::Common,
    control::{
        Load, Role,
        peer::{Homed, Link, LinkId},
    },
    event::{self, About, Id},
};

/// Size from which an update is split.
const SPLIT: usize = 512 << 10;
/// Least time between two digests that were asked for by a difference, in milliseconds.
const DIGEST_GAP_MS: u64 = 200;
/// For how long a starting process may take over a name with a higher incarnation, in milliseconds: the wall clock of the
/// VM that it replaces may have run ahead.
const NAME_GRACE_MS: u64 = 10_000;
/// Events of other processes that may wait to be passed on.
pub(crate) const WAITING_EVENTS: usize = 2_000;

/// The shared state. It is locked for short computations only, never across an await, and no other lock of the control
/// plane is taken while it is held.
pub(crate) struct State {
    /// What is known of the fleet.
    pub(crate) view: View,
    /// The process's own announcement.
    pub(crate) own: Member,
    /// Whether a newer process has taken the name.
    pub(crate) fenced: bool,
    /// Revision that the data path has put in force.
    pub(crate) applied: u64,
    /// Load of the upstream, if this is an agent.
    pub(crate) load: Load,
    /// Key epochs of the flows, if this is an agent.
    pub(crate) epochs: Vec<u8>,
    /// Links that are up.
    pub(crate) links: BTreeMap<LinkId, Link>,
    /// Members that may be dead.
    pub(crate) suspects: Suspects,
    /// Agents linked to this balancer.
    pub(crate) homed: BTreeMap<String, Homed>,
    /// Events of linked agents that wait to be passed on.
    pub(crate) events: VecDeque<Event>,
    /// Pools whose agents this agent wants to know.
    pub(crate) pools: Vec<String>,
    started_ms: u64,
    settled: bool,
    next_link: LinkId,
    assembler: Assembler,
}

impl State {
    /// The state of a process that has just started.
    pub(crate) fn new(common: &Common, role: &Role) -> State {
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
            suspects: Suspects::new(),
            homed: BTreeMap::new(),
            events: VecDeque::new(),
            pools,
            started_ms: now_ms(),
            settled: false,
            next_link: 0,
            assembler: Assembler::new(),
        }
    }

    /// Makes the process count as one that started long ago.
    #[cfg(test)]
    pub(crate) fn age(&mut self) {
        self.settled = true;
    }

    /// Builds a snapshot; also returns faults of objects that were not seen before.
    pub(crate) fn snapshot(&mut self) -> (Snapshot, Vec<SpecError>) {
        self.assembler.snapshot(&self.view)
    }

    /// Whether this process is an agent.
    pub(crate) fn is_agent(&self) -> bool {
        matches!(self.own.role, MemberRole::Agent { .. })
    }

    /// Adds a link and returns its number.
    pub(crate) fn add_link(&mut self, link: Link) -> LinkId {
        self.next_link += 1;
        self.suspects.clear(&link.peer);
        self.links.insert(self.next_link, link);
        self.next_link
    }

    /// Whether a link to this peer is up.
    pub(crate) fn linked(&self, peer: &str) -> bool {
        self.links.values().any(|it| it.peer == peer)
    }

    /// Announces a change of the own record, to all peers.
    pub(crate) fn announce<F>(&mut self, change: F)
    where
        F: FnOnce(&mut MemberRole),
    {
        let before = self.own.role.clone();
        change(&mut self.own.role);
        if self.own.role == before {
            return;
        }
        if state_of(&before) != state_of(&self.own.role) {
            self.own.since_ms = wall_ms();
            let text = format!("{} is {}", self.own.name(), state_of(&self.own.role));
            event::emit(Id::MemberChanged, About::new(), &text);
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

    /// Sets the state that an agent announces.
    pub(crate) fn set_agent_state(&mut self, state: AgentState) {
        self.announce(|role| {
            if let MemberRole::Agent { agent, .. } = role {
                agent.state = state;
            }
        });
    }

    /// Announces that the process leaves.
    pub(crate) fn set_leaving(&mut self) {
        self.announce(|role| match role {
            MemberRole::Agent { agent, .. } => agent.state = AgentState::Leaving,
            MemberRole::Balancer { balancer, lease } => {
                balancer.state = BalancerState::Leaving;
                *lease = None;
            }
        });
    }

    /// Takes in records and the mark that came with them, and passes on what is news; returns whether there was any.
    pub(crate) fn take(
        &mut self,
        records: &[Record],
        mark: Option<Mark>,
        from: Option<LinkId>,
    ) -> bool {
        let wall = wall_ms();
        let mut news = Vec::new();
        for record in records {
            if self.view.merge(record, wall) {
                log_change(record);
                news.push(record.clone());
            }
        }
        let adoption = mark.map_or(Adoption::Known, |it| self.view.adopt(&it));
        if !news.is_empty() || adoption == Adoption::Taken {
            self.flood(&news, from);
        }
        if let (Adoption::Differs, Some(id)) = (adoption, from) {
            self.ask(id);
        }
        self.defend_name();
        !news.is_empty() || adoption == Adoption::Taken
    }

    /// Takes in records from the platform's watch, which are complete up to `revision`; returns whether there was news.
    pub(crate) fn take_watched(&mut self, records: &[Record], revision: u64) -> bool {
        let wall = wall_ms();
        let mut news = Vec::new();
        for record in records {
            if self.view.merge(record, wall) {
                news.push(record.clone());
            }
        }
        let advanced = self.view.advance(revision);
        if advanced || !news.is_empty() {
            self.flood(&news, None);
        }
        advanced || !news.is_empty()
    }

    /// Answers another announcement under the own name: the process was taken for dead, or replaced.
    fn defend_name(&mut self) {
        let Some(seen) = self.view.member(self.own.name()).map(|it| it.version) else {
            return;
        };
        if seen <= self.own.version {
            return;
        }
        self.settled |= now_ms().saturating_sub(self.started_ms) >= NAME_GRACE_MS;
        let starting = !self.settled;
        if seen.major > self.own.version.major && !starting {
            self.fenced = true;
            return;
        }
        if seen.major > self.own.version.major {
            self.own.version = Version::member(seen.major.saturating_add(1), 0);
        } else {
            self.own.version = seen.next();
            event::emit(Id::MemberBack, About::new(), "peers took this process for dead");
        }
        self.publish_own();
    }

    /// Passes records on to all links but the one they came from, with the mark of how complete this process is.
    pub(crate) fn flood(&self, records: &[Record], except: Option<LinkId>) {
        let agent = self.is_agent();
        for (id, link) in &self.links {
            if except == Some(*id) {
                continue;
            }
            let own = |it: &&Record| {
                !agent || matches!(it, Record::Member(m) if m.name() == self.own.name())
            };
            let fitting: Vec<&Record> =
                records.iter().filter(|it| link.scope.covers_record(it)).filter(own).collect();
            if fitting.is_empty() && (agent || !records.is_empty()) {
                continue;
            }
            self.send_records(link, &fitting);
        }
    }

    /// Sends records over one link, split into frames of moderate size, the mark with the last one.
    pub(crate) fn send_records(&self, link: &Link, records: &[&Record]) {
        let mut update = Update::default();
        let mut size = 0;
        for record in records {
            let part = RecordPart::from(*record);
            size += part.encoded_len();
            update.records.push(part);
            if size >= SPLIT {
                link.send(Body::Update(std::mem::take(&mut update)));
                size = 0;
            }
        }
        update.mark = self.view.mark().as_ref().map(Into::into);
        update.stamp = Some(stamp());
        link.send(Body::Update(update));
    }

    fn ask(&mut self, id: LinkId) {
        let now = now_ms();
        let Some(link) = self.links.get_mut(&id) else {
            return;
        };
        link.differs = now.saturating_sub(link.digest_ms) < DIGEST_GAP_MS;
        if link.differs {
            return;
        }
        link.digest_ms = now;
        self.send_digest(id);
    }

    /// Asks peers whose difference was found too soon after the last question.
    pub(crate) fn ask_again(&mut self) {
        let waiting = self.links.iter().filter(|(_, it)| it.differs).map(|(id, _)| *id);
        for id in waiting.collect::<Vec<_>>() {
            self.ask(id);
        }
    }

    /// Sends the digest of what the link's peer should hold.
    pub(crate) fn send_digest(&self, id: LinkId) {
        let Some(link) = self.links.get(&id) else {
            return;
        };
        let buckets = self.view.digest(&link.scope).to_vec();
        link.send(Body::Digest(Digest { buckets }));
    }

    /// Balancers that may be linked to: ready, by what is known.
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

    /// The holder of the zone's lease with the lowest number; of any zone's, if none of this zone is held.
    pub(crate) fn seed(&self, zone: &str) -> Option<&Balancer> {
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

    /// Queues events of other processes to be passed on; the oldest go when there are too many.
    pub(crate) fn queue_events<I>(&mut self, events: I)
    where
        I: IntoIterator<Item = Event>,
    {
        self.events.extend(events);
        let excess = self.events.len().saturating_sub(WAITING_EVENTS);
        self.events.drain(..excess);
    }
}

/// The balancers as the core crate's choice functions take them.
pub(crate) fn as_peers<'a>(balancers: &[&'a Balancer]) -> Vec<Peer<'a>> {
    balancers.iter().map(|it| Peer { name: &it.name, zone: &it.place.zone }).collect()
}

/// Stamp of the process's clock, as sent to peers.
pub(crate) fn stamp() -> Stamp {
    let it = event::stamp();
    Stamp { ms: it.ms, counter: it.counter }
}

fn own_role(common: &Common, role: &Role) -> MemberRole {
    match role {
        Role::Agent(agent) => MemberRole::Agent { agent: agent.clone(), homes: Vec::new() },
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

/// Name of the state that a member is in.
pub(crate) fn state_of(role: &MemberRole) -> &'static str {
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
        tracing::debug!("member {} is {}", it.name(), state_of(&it.role));
    }
}
