//! What a balancer knows of the agents: from the store's list, and from what they report.

mod candidates;
mod zones;

use std::net::SocketAddrV4;

pub use self::candidates::Candidates;
pub use super::zone::ZoneId;
use super::{
    PoolId,
    agents::Agents,
    zone::{Regions, ZoneTable},
};

/// Pause between two reports of an agent to a balancer, in milliseconds; longer in a fleet of many balancers.
pub const REPORT_MS: u32 = 1_000;
/// Pauses between reports after which an agent that says nothing gets no new flows: two reports may be lost.
const SILENT_REPORTS: u64 = 2;
/// Time by which a report may be late, on top of that.
const LATE_MS: u64 = 600;
/// Silence after which the flows of an agent are of no use to their callers: longer than the time budgets of most
/// requests, and than the restart of an agent after a crash takes.
const GONE_MS: u64 = 4_500;
/// The same for an agent that said that it restarts: a start on a slow VM.
const RESTART_MS: u64 = 10_000;
/// Time without a report after which an agent is greeted, so that one that has restarted learns of this balancer.
const GREET_AFTER_MS: u64 = 1_500;
/// Pause between two greetings of the same agent.
const GREET_EVERY_MS: u64 = 1_000;
/// Time after its last sign of life for which an agent that the store doesn't list is remembered.
const FORGET_MS: u64 = 120_000;

/// State of the upstream beside an agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Upstream {
    /// Not heard of since the agent started, or not for some time.
    Unknown,
    /// Takes flows.
    Ready,
    /// Keeps its flows and takes no new ones.
    Draining,
    /// Has ended.
    Ended,
}

impl Upstream {
    /// Name used in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Upstream::Unknown => "unknown",
            Upstream::Ready => "ready",
            Upstream::Draining => "draining",
            Upstream::Ended => "ended",
        }
    }
}

/// What the agent itself is about to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Plan {
    /// Goes on.
    Stay,
    /// Will stop soon and start again; its upstream lives on.
    Pause,
    /// Stops now and starts again.
    Restart,
    /// Stops for good.
    Leave,
}

/// An agent's report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Report {
    /// Number of the agent process, drawn at its start.
    pub incarnation: u64,
    /// Number of the report within the incarnation.
    pub seq: u64,
    /// Pool of its upstream.
    pub pool: PoolId,
    /// Its zone.
    pub zone: ZoneId,
    /// State of its upstream.
    pub upstream: Upstream,
    /// What it is about to do.
    pub plan: Plan,
    /// Requests that its upstream runs at once.
    pub slots: u32,
    /// Load in thousandths of the slots.
    pub load: u16,
    /// Mean time that its upstream works on a request, in milliseconds, once some were answered.
    pub service_ms: Option<u32>,
    /// Whether its upstream has as much as it can begin or more, or is cold: not known to be able to do more.
    pub full: bool,
    /// Pause between two reports, in milliseconds.
    pub every_ms: u32,
}

/// A member as the store lists it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Listed {
    /// Address for packets between processes.
    pub address: SocketAddrV4,
    /// Its pool, if it is an agent.
    pub pool: Option<PoolId>,
    /// Its zone.
    pub zone: ZoneId,
}

/// What a report changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// Nothing that matters to flows.
    None,
    /// The agent is new, or its upstream's state or its plan changed.
    State,
    /// The agent has started again.
    Restarted,
    /// The agent has stopped and will be back.
    Away,
    /// The agent has left.
    Left,
    /// The report is older than one that was taken.
    Old,
}

/// What is known of an agent.
#[derive(Clone, Debug)]
pub(super) struct Entry {
    zone: ZoneId,
    listed: bool,
    report: Option<Report>,
    /// The upstream leaves, by the last report that knew its state: an agent that has restarted does not know it.
    draining: bool,
    heard_ms: u64,
    greeted_ms: u64,
}

impl Entry {
    fn new(zone: ZoneId, now_ms: u64) -> Entry {
        Entry {
            zone,
            listed: false,
            report: None,
            draining: false,
            heard_ms: now_ms,
            greeted_ms: 0,
        }
    }

    fn is_silent(&self, now_ms: u64) -> bool {
        let Some(report) = &self.report else {
            return true;
        };
        let allowed = u64::from(report.every_ms) * SILENT_REPORTS + LATE_MS;
        now_ms.saturating_sub(self.heard_ms) > allowed
    }

    fn is_gone(&self, now_ms: u64) -> bool {
        if self.report.is_some_and(|it| it.upstream == Upstream::Ended) {
            // Without an upstream it holds nothing that could be waited for.
            return self.is_silent(now_ms);
        }
        let allowed = if self.plan() == Plan::Restart { RESTART_MS } else { GONE_MS };
        let every_ms = self.report.map_or(0, |it| u64::from(it.every_ms));
        self.is_silent(now_ms) && now_ms.saturating_sub(self.heard_ms) > allowed.max(every_ms * 3)
    }

    fn plan(&self) -> Plan {
        self.report.map_or(Plan::Stay, |it| it.plan)
    }

    fn is_ready(&self) -> bool {
        self.report.is_some_and(|it| it.upstream == Upstream::Ready)
    }

    fn takes_flows(&self, now_ms: u64) -> bool {
        let open = self.report.is_some_and(|it| {
            matches!(it.upstream, Upstream::Ready | Upstream::Unknown) && it.plan == Plan::Stay
        });
        open && !self.draining && !self.is_silent(now_ms)
    }
}

/// The agents, the zones whose agents get no new flows, and the regions.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    agents: Agents,
    zones: ZoneTable,
    regions: Regions,
}

impl Fleet {
    /// Takes a list of the store. Agents that it no longer holds are forgotten once they are silent.
    pub fn list(&mut self, members: &[Listed], now_ms: u64) {
        for (_, entry) in self.agents.iter_mut() {
            entry.listed = false;
        }
        self.learn(members, now_ms);
        for member in members {
            if let Some(entry) = self.agents.get_mut(member.address) {
                entry.listed = true;
            }
        }
        self.agents.retain(|it| it.listed || !it.is_silent(now_ms));
    }

    /// Takes members that a peer knows of.
    pub fn learn(&mut self, members: &[Listed], now_ms: u64) {
        for member in members {
            let Some(pool) = member.pool else {
                continue;
            };
            let new = || Entry::new(member.zone, now_ms);
            self.agents.get_or_insert(member.address, pool, new);
        }
    }

    /// All agents, as a peer may be told of them.
    pub fn members(&self) -> Vec<Listed> {
        let listed = |(address, it): (SocketAddrV4, &Entry)| Listed {
            address,
            pool: self.agents.pool_of(address),
            zone: it.zone,
        };
        self.agents.iter().map(listed).collect()
    }

    /// Takes an agent's report.
    pub fn report(&mut self, from: SocketAddrV4, report: Report, now_ms: u64) -> Change {
        if report.plan == Plan::Leave {
            return if self.agents.remove(from).is_some() { Change::Left } else { Change::None };
        }
        let new = || Entry::new(report.zone, now_ms);
        let entry = self.agents.get_or_insert(from, report.pool, new);
        let change = match &entry.report {
            Some(old) => compare(old, &report),
            None => Change::State,
        };
        if change == Change::Old {
            return change;
        }
        entry.zone = report.zone;
        if report.upstream != Upstream::Unknown {
            entry.draining = report.upstream == Upstream::Draining;
        }
        entry.report = Some(report);
        entry.heard_ms = now_ms;
        self.agents.set_pool(from, report.pool);
        change
    }

    /// Notes the pool that an agent says it is of. What was known of the address concerns another agent.
    pub fn move_to(&mut self, agent: SocketAddrV4, pool: PoolId) {
        if self.agents.pool_of(agent) == Some(pool) {
            return;
        }
        let Some(entry) = self.agents.get_mut(agent) else {
            return;
        };
        entry.report = None;
        entry.draining = false;
        entry.greeted_ms = 0;
        self.agents.set_pool(agent, pool);
    }

    /// Whether the agent said that it restarts and has not been back yet.
    pub fn is_away(&self, agent: SocketAddrV4) -> bool {
        self.agents.get(agent).is_some_and(|it| it.plan() == Plan::Restart)
    }

    /// Whether the agent has left or was silent for so long that its flows are of no use to their callers.
    pub fn is_gone(&self, agent: SocketAddrV4, now_ms: u64) -> bool {
        self.agents.get(agent).is_none_or(|it| it.is_gone(now_ms))
    }

    /// Pool of an agent.
    pub fn pool_of(&self, agent: SocketAddrV4) -> Option<PoolId> {
        self.agents.pool_of(agent)
    }

    /// Agents known.
    pub fn len(&self) -> usize {
        self.agents.len()
    }

    /// Whether no agent is known.
    pub fn is_empty(&self) -> bool {
        self.agents.len() == 0
    }

    /// Leaves out a time in which nobody could be heard.
    pub fn excuse(&mut self, passed_ms: u64, now_ms: u64) {
        for (_, entry) in self.agents.iter_mut() {
            entry.heard_ms = (entry.heard_ms + passed_ms).min(now_ms);
        }
    }

    /// Agents that the store lists and that never reported.
    pub fn unheard(&self) -> usize {
        self.agents.iter().filter(|(_, it)| it.listed && it.report.is_none()).count()
    }

    /// Agents that were heard of lately.
    pub fn heard(&self, now_ms: u64) -> usize {
        self.agents.iter().filter(|(_, it)| !it.is_silent(now_ms)).count()
    }

    /// Agents that were heard of lately and are about to go on.
    pub fn steady(&self, now_ms: u64) -> Vec<SocketAddrV4> {
        let steady = |it: &Entry| it.plan() == Plan::Stay && !it.is_silent(now_ms);
        self.agents.iter().filter(|(_, it)| steady(it)).map(|(agent, _)| agent).collect()
    }

    /// Agents that were heard of lately and are about to go on, though the store does not list them.
    pub fn unlisted(&self, now_ms: u64) -> Vec<SocketAddrV4> {
        let agents = self.steady(now_ms).into_iter();
        agents.filter(|&it| self.agents.get(it).is_some_and(|it| !it.listed)).collect()
    }

    /// Agents that have been gone for at least `for_ms`, though the store lists them.
    pub fn long_gone(&self, for_ms: u64, now_ms: u64) -> Vec<SocketAddrV4> {
        let gone = self.agents.iter().filter(|(_, it)| {
            it.listed && it.is_gone(now_ms) && now_ms.saturating_sub(it.heard_ms) >= for_ms
        });
        gone.map(|(agent, _)| agent).collect()
    }

    /// Whether each agent of these pools was heard of lately or is gone.
    pub fn is_complete<P>(&self, allows: P, now_ms: u64) -> bool
    where
        P: Fn(PoolId) -> bool,
    {
        self.agents.of_all(allows).all(|(_, it)| {
            let there = !it.is_silent(now_ms) && it.plan() != Plan::Restart;
            there || it.is_gone(now_ms)
        })
    }

    /// Agents to greet now; those that nothing was heard of for very long are forgotten.
    pub fn to_greet(&mut self, now_ms: u64) -> Vec<SocketAddrV4> {
        self.agents.retain(|it| it.listed || now_ms.saturating_sub(it.heard_ms) < FORGET_MS);
        let mut due = Vec::new();
        for (agent, entry) in self.agents.iter_mut() {
            let quiet = now_ms.saturating_sub(entry.heard_ms) > GREET_AFTER_MS;
            if entry.report.is_some() && !quiet {
                continue;
            }
            if entry.greeted_ms != 0 && now_ms.saturating_sub(entry.greeted_ms) < GREET_EVERY_MS {
                continue;
            }
            entry.greeted_ms = now_ms;
            due.push(agent);
        }
        due
    }
}

fn compare(old: &Report, new: &Report) -> Change {
    if old.incarnation == new.incarnation && new.seq <= old.seq {
        return Change::Old;
    }
    if new.plan == Plan::Restart {
        return Change::Away;
    }
    if old.incarnation != new.incarnation {
        return Change::Restarted;
    }
    if (old.upstream, old.plan, old.pool) != (new.upstream, new.plan, new.pool) {
        return Change::State;
    }
    Change::None
}
