//! The start of a balancer. Packets that arrive before the configuration, the zones out of service and the members are
//! known are buffered and replayed, as callers send few copies of them. A balancer that has served once never buffers
//! here again.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, BinaryHeap},
};

use rustc_hash::{FxHashMap, FxHashSet};

use super::{
    super::{
        FlowKey, PacketHeader, PacketKind, PoolId,
        effect::{Decision, DropReason, Effect, Payload, note, note_drop},
        fleet::MemberEntry,
        flow::opening_age_ms,
        route::Lookup,
    },
    Balancer, MEMBERSHIP_SETTLE_MS,
};

/// Most packets buffered, one for each flow.
const MAX_PACKETS: usize = 10_000;
/// Most bytes of buffered packets.
const MAX_BYTES: usize = 4 << 20;
/// Longest time that a packet is buffered.
const MAX_WAIT_MS: u64 = 1_000;
/// Time after a caller's first opening packet at which it gives up.
const CALLER_TIMEOUT_MS: u64 = 1_400;
/// Time from the start of the balancer within which packets wait for agents to report.
const STARTUP_MS: u64 = 1_000;
/// Longest wait, from the first report of an agent of the pool, for the reports of half of its agents.
const REPORTS_WAIT_MS: u64 = 60;
/// Cost of the packets replayed in one tick, so that a tick stays short on a VM with 0.09 cores.
const REPLAY_BUDGET: usize = 200;
const OPENING_COST: usize = 1;
/// Cost of a packet of a flow that may exist: its search sends a copy to each of the first four agents.
const OTHER_COST: usize = 4;
/// Agents of the pool that add one to the cost of a packet, as each packet ranks them all.
const AGENTS_PER_COST: usize = 50;
/// Packets assigned to their pool in one tick.
const MAX_ASSIGNED_PER_TICK: usize = 400;
/// Packets whose time ends that are removed in one tick.
const MAX_EXPIRED_PER_TICK: usize = 1_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum PacketClass {
    Opening,
    /// A packet of a flow that may exist.
    Other,
}

impl PacketClass {
    fn new(head: &PacketHeader) -> PacketClass {
        if head.kind == PacketKind::Open { PacketClass::Opening } else { PacketClass::Other }
    }
}

/// What a packet waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Group {
    /// The configuration, the members or, for an opening packet, the zones.
    State(PacketClass),
    /// Nothing; the packet needs no agent.
    None,
    /// The agents of a pool.
    Pool(PoolId, PacketClass),
}

/// Position in the replay: opening packets first, then the newest, which have the most time left.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Position {
    class: PacketClass,
    /// Time at which the packet, or the first copy of an opening packet, was sent.
    sent_ms: Reverse<u64>,
    seq: Reverse<u64>,
}

#[derive(Debug)]
struct Entry {
    head: PacketHeader,
    packet: Vec<u8>,
    group: Group,
    position: Position,
    /// Time of the flow's first buffered packet, with a sequence number.
    since: (u64, u64),
    arrived_ms: u64,
    expires_ms: u64,
}

/// The newest packet of each flow.
#[derive(Debug, Default)]
struct Buffer {
    entries: FxHashMap<FlowKey, Entry>,
    groups: BTreeMap<Group, BTreeMap<Position, FlowKey>>,
    by_age: BTreeMap<(u64, u64), FlowKey>,
    by_expiry: BTreeSet<(u64, FlowKey)>,
    bytes: usize,
    next_seq: u64,
}

impl Buffer {
    /// Adds a packet in place of the flow's earlier one.
    fn insert(&mut self, head: &PacketHeader, packet: &[u8], group: Group, now_ms: u64) {
        let key = head.key;
        let seq = self.next_seq;
        self.next_seq += 1;
        let since = self.remove(&key).map_or((now_ms, seq), |it| it.since);
        let class = PacketClass::new(head);
        let (mut sent_ms, mut expires_ms) = (now_ms, now_ms + MAX_WAIT_MS);
        if class == PacketClass::Opening {
            sent_ms = now_ms.saturating_sub(opening_age_ms(head.ack));
            expires_ms = expires_ms.min(sent_ms + CALLER_TIMEOUT_MS);
        }
        let position = Position { class, sent_ms: Reverse(sent_ms), seq: Reverse(seq) };
        let (head, packet) = (*head, packet.to_vec());
        self.bytes += packet.len();
        self.by_age.insert(since, key);
        self.by_expiry.insert((expires_ms, key));
        self.groups.entry(group).or_default().insert(position, key);
        let entry = Entry { head, packet, group, position, since, arrived_ms: now_ms, expires_ms };
        self.entries.insert(key, entry);
    }

    fn remove(&mut self, key: &FlowKey) -> Option<Entry> {
        let entry = self.entries.remove(key)?;
        self.bytes -= entry.packet.len();
        self.by_age.remove(&entry.since);
        self.by_expiry.remove(&(entry.expires_ms, *key));
        self.remove_from_group(entry.group, &entry.position);
        Some(entry)
    }

    fn remove_from_group(&mut self, group: Group, position: &Position) {
        if let Some(members) = self.groups.get_mut(&group) {
            members.remove(position);
            if members.is_empty() {
                self.groups.remove(&group);
            }
        }
    }

    fn set_group(&mut self, key: &FlowKey, group: Group) {
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        let (old, position) = (std::mem::replace(&mut entry.group, group), entry.position);
        self.remove_from_group(old, &position);
        self.groups.entry(group).or_default().insert(position, *key);
    }

    /// Removes the packet of the oldest flow if the buffer exceeds a limit.
    fn remove_excess(&mut self) -> Option<Entry> {
        let full = self.entries.len() > MAX_PACKETS || self.bytes > MAX_BYTES;
        let key = self.by_age.first_key_value().filter(|_| full).map(|it| *it.1)?;
        self.remove(&key)
    }

    fn expired(&self, now_ms: u64) -> Vec<FlowKey> {
        let due = self.by_expiry.iter().take_while(|it| it.0 <= now_ms);
        due.take(MAX_EXPIRED_PER_TICK).map(|it| it.1).collect()
    }

    /// Position of the first packet of a group.
    fn first_position(&self, group: Group) -> Option<Position> {
        self.groups.get(&group)?.first_key_value().map(|it| *it.0)
    }

    /// Removes the first packet of a group.
    fn take_first(&mut self, group: Group) -> Option<Entry> {
        let key = *self.groups.get(&group)?.first_key_value()?.1;
        self.remove(&key)
    }

    /// Whether `head` is a copy of the opening packet of a flow whose later packet is buffered.
    fn is_overtaken(&self, head: &PacketHeader) -> bool {
        head.kind == PacketKind::Open
            && head.ack > 0
            && self.entries.get(&head.key).is_some_and(|it| it.position.class == PacketClass::Other)
    }
}

/// State of a balancer that has just started.
#[derive(Debug)]
pub(super) struct Startup {
    started_ms: u64,
    /// Time of the first member list from the store or a peer.
    list_ms: Option<u64>,
    /// Time of the first member list or report.
    members_ms: Option<u64>,
    /// Number of balancers in the largest member list.
    balancers: usize,
    /// Time of the first report from each pool.
    first_reports_ms: FxHashMap<PoolId, u64>,
    /// Whether the configuration and a member have been known.
    has_members: bool,
    /// Whether the zones out of service have been known.
    has_zones: bool,
    /// Groups that don't wait any more.
    ready: FxHashSet<Group>,
    buffer: Buffer,
    openings: usize,
    others: usize,
    expired: usize,
    longest_wait_ms: u64,
}

impl Startup {
    fn new(started_ms: u64) -> Startup {
        Startup {
            started_ms,
            list_ms: None,
            members_ms: None,
            balancers: 1,
            first_reports_ms: FxHashMap::default(),
            has_members: false,
            has_zones: false,
            ready: FxHashSet::default(),
            buffer: Buffer::default(),
            openings: 0,
            others: 0,
            expired: 0,
            longest_wait_ms: 0,
        }
    }

    /// Records a member list from the store or a peer.
    pub(super) fn record_members(&mut self, members: &[MemberEntry], now_ms: u64) {
        self.list_ms.get_or_insert(now_ms);
        self.members_ms.get_or_insert(now_ms);
        let balancers = members.iter().filter(|it| it.pool.is_none()).count();
        self.balancers = self.balancers.max(balancers);
    }

    /// Records a report of an agent of `pool`.
    pub(super) fn record_report(&mut self, pool: PoolId, now_ms: u64) {
        self.members_ms.get_or_insert(now_ms);
        self.first_reports_ms.entry(pool).or_insert(now_ms);
    }

    /// Bytes of buffered packets.
    pub(super) fn bytes(&self) -> usize {
        self.buffer.bytes
    }

    /// Whether the state that packets of this class need has been known. Only placement needs the zones.
    fn has_state(&self, class: PacketClass) -> bool {
        self.has_members && (class == PacketClass::Other || self.has_zones)
    }

    fn is_starting(&self, now_ms: u64) -> bool {
        now_ms.saturating_sub(self.started_ms) < STARTUP_MS
    }

    fn record_replay(&mut self, entry: &Entry, now_ms: u64) {
        match entry.position.class {
            PacketClass::Opening => self.openings += 1,
            PacketClass::Other => self.others += 1,
        }
        let waited_ms = now_ms.saturating_sub(entry.arrived_ms);
        self.longest_wait_ms = self.longest_wait_ms.max(waited_ms);
    }

    /// Summary of the replay, if any packet was buffered.
    fn summary(&self) -> Option<Decision> {
        let (openings, others, expired) = (self.openings, self.others, self.expired);
        let waited_ms = self.longest_wait_ms;
        (openings + others + expired > 0).then_some(Decision::PacketsReplayed {
            openings,
            others,
            expired,
            waited_ms,
        })
    }
}

impl Balancer {
    /// Buffers packets that arrive before the balancer, started at `now_ms`, can decide on them.
    pub fn with_startup_buffer(self, now_ms: u64) -> Balancer {
        let startup = Some(Box::new(Startup::new(now_ms)));
        Balancer { startup, last_event_ms: now_ms, ..self }
    }

    /// Buffers a packet that can't be decided on yet; false if it is to be handled now.
    pub(super) fn buffer_at_startup(
        &mut self,
        head: &PacketHeader,
        bytes: &[u8],
        now_ms: u64,
        out: &mut Vec<Effect>,
    ) -> bool {
        let Some(mut startup) = self.startup.take() else {
            return false;
        };
        let buffered = self.buffer_in(&mut startup, head, bytes, now_ms, out);
        self.startup = Some(startup);
        buffered
    }

    fn buffer_in(
        &mut self,
        startup: &mut Startup,
        head: &PacketHeader,
        bytes: &[u8],
        now_ms: u64,
        out: &mut Vec<Effect>,
    ) -> bool {
        if startup.buffer.is_overtaken(head) {
            return true;
        }
        self.update_startup_state(startup);
        let class = PacketClass::new(head);
        let group = match startup.has_state(class) {
            true => self.startup_group(head),
            false => Group::State(class),
        };
        // A flow that was handled before keeps its order of packets.
        if self.flows.contains_key(&head.key) || self.is_group_ready(startup, group, now_ms) {
            if let Some(entry) = startup.buffer.remove(&head.key)
                && entry.position.class == PacketClass::Other
                && class == PacketClass::Other
            {
                self.replay_packet(startup, &entry, now_ms, out);
            }
            return false;
        }
        note(head.key, Decision::StartupHeld, out);
        startup.buffer.insert(head, bytes, group, now_ms);
        while let Some(entry) = startup.buffer.remove_excess() {
            note_drop(entry.head.key, self.startup_drop_reason(entry.position.class), out);
        }
        true
    }

    /// Replays buffered packets, and ends the startup once the balancer serves.
    pub(super) fn replay_packets(&mut self, now_ms: u64, out: &mut Vec<Effect>) {
        let Some(mut startup) = self.startup.take() else {
            return;
        };
        for key in startup.buffer.expired(now_ms) {
            if let Some(entry) = startup.buffer.remove(&key) {
                self.expire_packet(&mut startup, &entry, out);
            }
        }
        self.update_startup_state(&mut startup);
        self.assign_packets(&mut startup);
        self.replay_ready(&mut startup, now_ms, out);
        let serves = startup.has_state(PacketClass::Opening) && !startup.is_starting(now_ms);
        if !serves || !startup.buffer.entries.is_empty() {
            self.startup = Some(startup);
            return;
        }
        let summary = startup.summary();
        out.extend(summary.map(|decision| Effect::LogDecision { key: None, decision }));
    }

    fn expire_packet(&self, startup: &mut Startup, entry: &Entry, out: &mut Vec<Effect>) {
        let key = entry.head.key;
        startup.expired += 1;
        note(key, Decision::StartupExpired, out);
        note_drop(key, self.startup_drop_reason(entry.position.class), out);
    }

    fn assign_packets(&self, startup: &mut Startup) {
        let classes = [PacketClass::Opening, PacketClass::Other].into_iter();
        let groups = classes.filter(|&it| startup.has_state(it)).map(Group::State);
        let waiting = groups.filter_map(|it| startup.buffer.groups.get(&it)).flatten();
        let keys: Vec<_> = waiting.take(MAX_ASSIGNED_PER_TICK).map(|it| *it.1).collect();
        for key in keys {
            if let Some(entry) = startup.buffer.entries.get(&key) {
                let group = self.startup_group(&entry.head);
                startup.buffer.set_group(&key, group);
            }
        }
    }

    fn replay_ready(&mut self, startup: &mut Startup, now_ms: u64, out: &mut Vec<Effect>) {
        let mut groups: Vec<_> = startup.buffer.groups.keys().copied().collect();
        groups.retain(|&it| self.is_group_ready(startup, it, now_ms));
        // The first packet of each group. There may be hundreds of pools, too many to compare for each packet.
        let head = |buffer: &Buffer, group| Some(Reverse((buffer.first_position(group)?, group)));
        let heads = groups.into_iter().filter_map(|it| head(&startup.buffer, it));
        let mut heads: BinaryHeap<_> = heads.collect();
        let mut openings_left: FxHashMap<Group, usize> = FxHashMap::default();
        let mut cost = 0;
        while cost < REPLAY_BUDGET {
            let Some(Reverse((_, group))) = heads.pop() else {
                return;
            };
            let Some(entry) = startup.buffer.take_first(group) else {
                continue;
            };
            let mut left = usize::MAX;
            if let Group::Pool(pool, PacketClass::Opening) = group {
                let openings_left = openings_left
                    .entry(group)
                    .or_insert_with(|| self.openings_per_tick(startup, pool, now_ms));
                *openings_left -= 1;
                left = *openings_left;
            }
            if left > 0 {
                heads.extend(head(&startup.buffer, group));
            }
            cost += self.replay_cost(&entry);
            self.replay_packet(startup, &entry, now_ms, out);
        }
    }

    fn replay_packet(
        &mut self,
        startup: &mut Startup,
        entry: &Entry,
        now_ms: u64,
        out: &mut Vec<Effect>,
    ) {
        if entry.expires_ms <= now_ms {
            return self.expire_packet(startup, entry, out);
        }
        startup.record_replay(entry, now_ms);
        note(entry.head.key, Decision::StartupReplayed, out);
        let first = out.len();
        self.dispatch_packet(&entry.head, &entry.packet, now_ms, out);
        for effect in &mut out[first..] {
            if let Effect::Relay { payload: payload @ Payload::Current, .. } = effect {
                *payload = Payload::Buffered(entry.packet.clone());
            }
        }
    }

    fn replay_cost(&self, entry: &Entry) -> usize {
        let Group::Pool(pool, class) = entry.group else {
            return OPENING_COST;
        };
        let cost = match class {
            PacketClass::Opening => OPENING_COST,
            PacketClass::Other => OTHER_COST,
        };
        cost + self.fleet.agent_count(pool) / AGENTS_PER_COST
    }

    /// This balancer's part of the slots of a pool. All balancers may replay at once after a power loss, and the pool's
    /// queues would overflow before its agents report that it is full.
    fn openings_per_tick(&self, startup: &Startup, pool: PoolId, now_ms: u64) -> usize {
        let slots = self.fleet.slot_count(pool, now_ms);
        slots.div_ceil(startup.balancers).max(1)
    }

    fn update_startup_state(&self, startup: &mut Startup) {
        let has_member = startup.members_ms.is_some() || !self.fleet.is_empty();
        startup.has_members |= self.routes.config_version().is_some() && has_member;
        startup.has_zones |= self.fleet.zones_out().is_some();
    }

    /// Reason for which the packet would be dropped without the buffer.
    fn startup_drop_reason(&self, class: PacketClass) -> DropReason {
        let lacks_zones = class == PacketClass::Opening && self.fleet.zones_out().is_none();
        if self.routes.config_version().is_none() || lacks_zones {
            DropReason::NoConfig
        } else {
            DropReason::NoUpstream
        }
    }

    fn startup_group(&self, head: &PacketHeader) -> Group {
        let Lookup::Route(route) = self.routes.lookup(head.key.service) else {
            return Group::None;
        };
        let pool = route.select_pool(head.key.hash());
        pool.map_or(Group::None, |it| Group::Pool(it, PacketClass::new(head)))
    }

    fn is_group_ready(&self, startup: &mut Startup, group: Group, now_ms: u64) -> bool {
        let ready = match group {
            Group::State(_) => false,
            Group::None => true,
            Group::Pool(pool, class) => {
                startup.ready.contains(&group) || self.is_pool_ready(startup, pool, class, now_ms)
            }
        };
        if ready {
            startup.ready.insert(group);
        }
        ready
    }

    /// Whether packets for a pool don't wait any more for its agents.
    fn is_pool_ready(
        &self,
        startup: &Startup,
        pool: PoolId,
        class: PacketClass,
        now_ms: u64,
    ) -> bool {
        if !startup.is_starting(now_ms) {
            return true;
        }
        let Some(members_ms) = startup.members_ms else {
            return false;
        };
        if class == PacketClass::Opening && !self.fleet.has_eligible_agent(pool, now_ms) {
            // It is reset, or waits where it would be dropped.
            return self.is_pool_complete(pool, now_ms);
        }
        let reported = self.fleet.reported_count(pool);
        // A peer's list may be partial. A search that misses the holder is repeated, a placement is final.
        let counts = match class {
            PacketClass::Opening => self.has_member_list(),
            PacketClass::Other => startup.list_ms.is_some(),
        };
        if counts && reported > 0 && reported * 2 >= self.fleet.agent_count(pool) {
            return true;
        }
        match class {
            PacketClass::Opening => {
                let reported_ms = startup.first_reports_ms.get(&pool).copied().unwrap_or(now_ms);
                now_ms.saturating_sub(members_ms.max(reported_ms)) >= REPORTS_WAIT_MS
            }
            PacketClass::Other => {
                // Listed agents get as long to report as without earlier reports.
                let since_ms = startup.list_ms.unwrap_or(members_ms);
                now_ms.saturating_sub(since_ms) > MEMBERSHIP_SETTLE_MS
            }
        }
    }
}
