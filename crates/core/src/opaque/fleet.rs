//! A balancer's view of the agents, from the store's member list and from their reports.

mod candidates;
mod pools;
mod reservation;
mod service_memory;
mod zones;

use std::{collections::BTreeMap, net::SocketAddrV4};

pub use self::candidates::Candidates;
use self::service_memory::RememberedService;
pub use super::zone::ZoneId;
use super::{
    PoolId,
    agents::Agents,
    told_time::latest_ms,
    zone::{Regions, ZoneTable},
};

/// Default interval between two reports of an agent to a balancer, in milliseconds; longer in a fleet of many
/// balancers.
pub const REPORT_INTERVAL_MS: u32 = 1_000;
/// Report intervals after which a silent agent gets no new flows; one report may be lost.
const MAX_MISSED_REPORTS: u64 = 2;
/// Allowance for late reports, added to these intervals.
const REPORT_GRACE_MS: u64 = 600;
/// Silence after which an agent counts as gone: longer than most request timeouts and than a restart after a crash.
const GONE_AFTER_MS: u64 = 4_500;
/// Silence after which an agent that announced a restart counts as gone; a restart may take long on a slow VM.
const RESTART_GONE_AFTER_MS: u64 = 10_000;
/// Silence after which an agent is sent a hello, so that one that has restarted receives this balancer's address.
const HELLO_AFTER_MS: u64 = 1_500;
/// Interval between two hellos to the same agent.
const HELLO_INTERVAL_MS: u64 = 1_000;
/// Silence after which an agent that the store does not list is forgotten.
const FORGET_AFTER_MS: u64 = 120_000;

/// State of the upstream beside an agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamState {
    /// No heartbeat since the agent started, or none for some time.
    Unknown,
    /// Accepts new flows.
    Ready,
    /// Keeps its flows and accepts no new ones.
    Draining,
    /// The process has ended.
    Ended,
}

impl UpstreamState {
    /// Name used in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            UpstreamState::Unknown => "unknown",
            UpstreamState::Ready => "ready",
            UpstreamState::Draining => "draining",
            UpstreamState::Ended => "ended",
        }
    }
}

/// What the agent itself is about to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AgentPlan {
    /// Keeps running.
    Stay,
    /// Will restart soon; its upstream keeps running.
    Pause,
    /// Restarts now.
    Restart,
    /// Stops permanently.
    Leave,
}

/// An agent's report to the balancers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Report {
    /// Random number of the agent process, chosen at its start.
    pub incarnation: u64,
    /// Sequence number within the incarnation.
    pub seq: u64,
    /// Pool of the upstream.
    pub pool: PoolId,
    /// Zone of the agent.
    pub zone: ZoneId,
    /// State of the upstream.
    pub upstream: UpstreamState,
    /// What the agent is about to do.
    pub plan: AgentPlan,
    /// Requests that the upstream serves concurrently.
    pub slots: u32,
    /// Load in thousandths of the slots.
    pub load: u16,
    /// Mean service time of a request in milliseconds, once some were answered.
    pub service_ms: Option<u32>,
    /// Mean length of the first answer packet in bytes, once some requests were answered.
    pub answer_bytes: Option<u32>,
    /// Whether the upstream has no free capacity, or is still cold.
    pub full: bool,
    /// Interval between two reports in milliseconds.
    pub interval_ms: u32,
}

/// A member, an agent or a balancer, as listed in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberEntry {
    /// Address for packets between processes.
    pub address: SocketAddrV4,
    /// Pool of an agent; none for a balancer.
    pub pool: Option<PoolId>,
    /// Zone of the member.
    pub zone: ZoneId,
}

/// An agent that announced a restart, as named to other balancers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RestartingAgent {
    /// Address of the agent.
    pub address: SocketAddrV4,
    /// Time since the announcement, in milliseconds.
    pub age_ms: u64,
}

/// What a report changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportChange {
    /// Nothing that affects flows.
    None,
    /// The agent is new, or its pool, its upstream's state or its plan changed.
    State,
    /// The agent has restarted.
    Restarted,
    /// The agent is restarting and not back yet.
    Away,
    /// The agent has left.
    Left,
    /// The report is older than one already applied, and is ignored.
    Old,
}

#[derive(Clone, Debug)]
pub(super) struct AgentEntry {
    zone: ZoneId,
    listed: bool,
    report: Option<Report>,
    /// Whether the last report with a known upstream state said draining. A restarted agent reports an unknown state
    /// at first.
    draining: bool,
    last_seen_ms: u64,
    /// Time at which the agent announced a restart, to this balancer or another one; none once it reports.
    restart_ms: Option<u64>,
    last_hello_ms: u64,
    remembered: Option<RememberedService>,
}

impl AgentEntry {
    fn new(zone: ZoneId, now_ms: u64) -> AgentEntry {
        AgentEntry {
            zone,
            listed: false,
            report: None,
            draining: false,
            last_seen_ms: now_ms,
            restart_ms: None,
            last_hello_ms: 0,
            remembered: None,
        }
    }

    fn is_silent(&self, now_ms: u64) -> bool {
        let Some(report) = &self.report else {
            return true;
        };
        let allowed = u64::from(report.interval_ms) * MAX_MISSED_REPORTS + REPORT_GRACE_MS;
        now_ms.saturating_sub(self.last_seen_ms) > allowed
    }

    fn is_gone(&self, now_ms: u64) -> bool {
        if self.report.is_some_and(|it| it.upstream == UpstreamState::Ended) {
            // An agent without an upstream holds no flows worth waiting for.
            return self.is_silent(now_ms);
        }
        let interval_ms = self.report.map_or(0, |it| u64::from(it.interval_ms));
        self.is_silent(now_ms)
            && now_ms.saturating_sub(self.last_seen_ms) > GONE_AFTER_MS.max(interval_ms * 3)
            && self.restart_ms.is_none_or(|it| now_ms.saturating_sub(it) > RESTART_GONE_AFTER_MS)
    }

    /// Whether the agent announced a restart, to this balancer or another one, and has not reported since.
    fn is_restarting(&self) -> bool {
        self.restart_ms.is_some()
    }

    fn plan(&self) -> AgentPlan {
        self.report.map_or(AgentPlan::Stay, |it| it.plan)
    }

    /// Whether the agent is not silent and plans to keep running.
    fn is_stable(&self, now_ms: u64) -> bool {
        self.plan() == AgentPlan::Stay && !self.is_restarting() && !self.is_silent(now_ms)
    }

    fn is_ready(&self) -> bool {
        self.report.is_some_and(|it| it.upstream == UpstreamState::Ready)
    }

    fn accepts_flows(&self, now_ms: u64) -> bool {
        let accepting = self.report.is_some_and(|it| {
            matches!(it.upstream, UpstreamState::Ready | UpstreamState::Unknown)
                && it.plan == AgentPlan::Stay
        });
        accepting && !self.is_restarting() && !self.draining && !self.is_silent(now_ms)
    }
}

/// The agents, the zones out of service, and the regions.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    agents: Agents,
    zones: ZoneTable,
    regions: Regions,
    /// Service times of agents whose entries were removed.
    departed: BTreeMap<SocketAddrV4, RememberedService>,
}

impl Fleet {
    /// Applies a member list read from the store. Agents missing from it are removed once they are silent.
    pub fn sync_members(&mut self, members: &[MemberEntry], now_ms: u64) {
        for (_, entry) in self.agents.iter_mut() {
            entry.listed = false;
        }
        self.merge_members(members, now_ms);
        for member in members {
            if let Some(entry) = self.agents.get_mut(member.address) {
                entry.listed = true;
            }
        }
        self.retain_agents(|it| it.listed || !it.is_silent(now_ms));
    }

    /// Adds members received from a peer.
    pub fn merge_members(&mut self, members: &[MemberEntry], now_ms: u64) {
        for member in members {
            let Some(pool) = member.pool else {
                continue;
            };
            let new = || AgentEntry::new(member.zone, now_ms);
            self.agents.get_or_insert(member.address, pool, new);
        }
    }

    /// All known agents, as sent to peers.
    pub fn members(&self) -> Vec<MemberEntry> {
        let to_member = |(address, it): (SocketAddrV4, &AgentEntry)| MemberEntry {
            address,
            pool: self.agents.pool_of(address),
            zone: it.zone,
        };
        self.agents.iter().map(to_member).collect()
    }

    /// Applies an agent's report.
    pub fn apply_report(
        &mut self,
        from: SocketAddrV4,
        report: Report,
        now_ms: u64,
    ) -> ReportChange {
        if report.plan == AgentPlan::Leave {
            return match self.agents.remove(from) {
                Some(entry) => {
                    // An agent that starts before its upstream reports this, too.
                    self.departed.extend(entry.remembered.map(|it| (from, it)));
                    ReportChange::Left
                }
                None => ReportChange::None,
            };
        }
        let new = || AgentEntry::new(report.zone, now_ms);
        let entry = self.agents.get_or_insert(from, report.pool, new);
        let change = match &entry.report {
            Some(old) => classify_report(old, &report),
            None => ReportChange::State,
        };
        if change == ReportChange::Old {
            return change;
        }
        entry.zone = report.zone;
        if report.upstream != UpstreamState::Unknown {
            entry.draining = report.upstream == UpstreamState::Draining;
        }
        if entry.remembered.is_none() {
            entry.remembered = self.departed.remove(&from);
        }
        entry.remember_service(&report, now_ms);
        entry.report = Some(report);
        entry.last_seen_ms = now_ms;
        entry.restart_ms = (report.plan == AgentPlan::Restart).then_some(now_ms);
        self.agents.set_pool(from, report.pool);
        change
    }

    /// Sets the pool that an agent gave as its own and discards the last report, which came from another agent at this
    /// address.
    pub fn correct_pool(&mut self, agent: SocketAddrV4, pool: PoolId) {
        if self.agents.pool_of(agent) == Some(pool) {
            return;
        }
        let Some(entry) = self.agents.get_mut(agent) else {
            return;
        };
        entry.report = None;
        entry.restart_ms = None;
        entry.remembered = None;
        entry.draining = false;
        entry.last_hello_ms = 0;
        self.agents.set_pool(agent, pool);
    }

    /// Whether the agent announced a restart, to this balancer or another one, and has not reported since.
    pub fn is_restarting(&self, agent: SocketAddrV4) -> bool {
        self.agents.get(agent).is_some_and(AgentEntry::is_restarting)
    }

    /// Agents that announced a restart, have not reported since and are not gone.
    pub fn restarting_agents(&self, now_ms: u64) -> Vec<RestartingAgent> {
        let agents = self.agents.iter();
        let restarting =
            agents.filter_map(|(address, it)| Some((address, it.restart_ms?, it.is_gone(now_ms))));
        let age_ms = |at_ms| now_ms.saturating_sub(at_ms);
        restarting
            .filter(|&(_, _, gone)| !gone)
            .map(|(address, at_ms, _)| RestartingAgent { address, age_ms: age_ms(at_ms) })
            .collect()
    }

    /// Applies announcements of restarts that other balancers have heard. Those of unknown agents, and from before an
    /// agent's last report, are ignored. Returns the agents that were not known to restart.
    pub fn merge_restarting(
        &mut self,
        agents: &[RestartingAgent],
        now_ms: u64,
    ) -> Vec<SocketAddrV4> {
        let mut unknown = Vec::new();
        for &RestartingAgent { address, age_ms } in agents {
            let at_ms = now_ms.saturating_sub(age_ms);
            let Some(entry) = self.agents.get_mut(address) else {
                continue;
            };
            let has_later_report = entry.report.is_some() && entry.last_seen_ms >= at_ms;
            if has_later_report || age_ms > RESTART_GONE_AFTER_MS {
                continue;
            }
            if !entry.is_restarting() {
                unknown.push(address);
            }
            entry.restart_ms = Some(latest_ms(entry.restart_ms, at_ms));
        }
        unknown
    }

    /// Whether the agent is unknown, or silent for too long for its flows to be of use to their callers.
    pub fn is_gone(&self, agent: SocketAddrV4, now_ms: u64) -> bool {
        self.agents.get(agent).is_none_or(|it| it.is_gone(now_ms))
    }

    /// Pool of an agent.
    pub fn pool_of(&self, agent: SocketAddrV4) -> Option<PoolId> {
        self.agents.pool_of(agent)
    }

    /// Number of known agents.
    pub fn len(&self) -> usize {
        self.agents.len()
    }

    /// Whether no agent is known.
    pub fn is_empty(&self) -> bool {
        self.agents.len() == 0
    }

    /// Shifts the agents' last-seen times by a stall of this process, during which no report could be received.
    pub fn shift_last_seen(&mut self, elapsed_ms: u64, now_ms: u64) {
        for (_, entry) in self.agents.iter_mut() {
            entry.last_seen_ms = (entry.last_seen_ms + elapsed_ms).min(now_ms);
            entry.restart_ms = entry.restart_ms.map(|it| (it + elapsed_ms).min(now_ms));
        }
    }

    /// Number of listed agents that never reported.
    pub fn unreported_count(&self) -> usize {
        self.agents.iter().filter(|(_, it)| it.listed && it.report.is_none()).count()
    }

    /// Number of known agents of a pool.
    pub fn agent_count(&self, pool: PoolId) -> usize {
        self.agents.count_in_pool(pool)
    }

    /// Number of agents of a pool that have reported.
    pub fn reported_count(&self, pool: PoolId) -> usize {
        self.agents.in_pool(pool).filter(|(_, it)| it.report.is_some()).count()
    }

    /// Number of agents that are not silent.
    pub fn live_count(&self, now_ms: u64) -> usize {
        self.agents.iter().filter(|(_, it)| !it.is_silent(now_ms)).count()
    }

    /// Agents that are not silent and plan to keep running.
    pub fn stable_agents(&self, now_ms: u64) -> Vec<SocketAddrV4> {
        self.agents.iter().filter(|(_, it)| it.is_stable(now_ms)).map(|(agent, _)| agent).collect()
    }

    /// Agents of [`Fleet::stable_agents`] that the store does not list.
    pub fn unlisted_agents(&self, now_ms: u64) -> Vec<SocketAddrV4> {
        let agents = self.stable_agents(now_ms).into_iter();
        agents.filter(|&it| self.agents.get(it).is_some_and(|it| !it.listed)).collect()
    }

    /// Records that the store no longer lists an agent; returns whether it is one of [`Fleet::stable_agents`].
    pub fn mark_unlisted(&mut self, agent: SocketAddrV4, now_ms: u64) -> bool {
        let Some(entry) = self.agents.get_mut(agent) else {
            return false;
        };
        entry.listed = false;
        entry.is_stable(now_ms)
    }

    /// Listed agents that are gone and have been silent for at least `for_ms`, counted from `since_ms` on.
    pub fn listed_but_gone(&self, for_ms: u64, since_ms: u64, now_ms: u64) -> Vec<SocketAddrV4> {
        let gone = self.agents.iter().filter(|(_, it)| {
            let silent_ms = now_ms.saturating_sub(it.last_seen_ms.max(since_ms));
            it.listed && it.is_gone(now_ms) && silent_ms >= for_ms
        });
        gone.map(|(agent, _)| agent).collect()
    }

    /// Whether each agent of the allowed pools either reports or is gone. Others may still hold flows.
    pub fn is_complete<P>(&self, allows: P, now_ms: u64) -> bool
    where
        P: Fn(PoolId) -> bool,
    {
        self.agents.in_pools(allows).all(|(_, it)| {
            let reporting = !it.is_silent(now_ms) && !it.is_restarting();
            reporting || it.is_gone(now_ms)
        })
    }

    /// Agents to send a hello to now. Also forgets unlisted agents after a long silence.
    pub fn hello_recipients(&mut self, now_ms: u64) -> Vec<SocketAddrV4> {
        self.retain_agents(|it| {
            it.listed || now_ms.saturating_sub(it.last_seen_ms) < FORGET_AFTER_MS
        });
        self.expire_departed(now_ms);
        let mut due = Vec::new();
        for (agent, entry) in self.agents.iter_mut() {
            let quiet = now_ms.saturating_sub(entry.last_seen_ms) > HELLO_AFTER_MS;
            if entry.report.is_some() && !quiet {
                continue;
            }
            if entry.last_hello_ms != 0
                && now_ms.saturating_sub(entry.last_hello_ms) < HELLO_INTERVAL_MS
            {
                continue;
            }
            entry.last_hello_ms = now_ms;
            due.push(agent);
        }
        due
    }
}

fn classify_report(old: &Report, new: &Report) -> ReportChange {
    if old.incarnation == new.incarnation && new.seq <= old.seq {
        return ReportChange::Old;
    }
    if new.plan == AgentPlan::Restart {
        return ReportChange::Away;
    }
    if old.incarnation != new.incarnation {
        return ReportChange::Restarted;
    }
    if (old.upstream, old.plan, old.pool) != (new.upstream, new.plan, new.pool) {
        return ReportChange::State;
    }
    ReportChange::None
}
