//! The rosters of all services, updated with each snapshot.

use std::collections::{BTreeMap, BTreeSet};

use camphorwinch_core::{
    claims::ClaimKey,
    member::{Agent, AgentState},
    object::ServiceId,
    roster::{ClaimRole, FailedMember, MemberInfo, Roster},
    snapshot::{ServiceEntry, Snapshot},
};

/// Rosters by service.
#[derive(Debug)]
pub(crate) struct Rosters {
    me: String,
    services: BTreeMap<ServiceId, ServiceRoster>,
}

#[derive(Debug)]
struct ServiceRoster {
    roster: Roster,
    /// Time that idempotency keys are remembered, in milliseconds.
    window: u64,
    /// The current and all earlier pools of the service.
    pools: BTreeSet<String>,
}

impl Rosters {
    /// Creates the rosters of the agent named `me`, without any service.
    pub(crate) fn new(me: &str) -> Rosters {
        Rosters { me: me.to_owned(), services: BTreeMap::new() }
    }

    /// Updates the rosters with a snapshot.
    pub(crate) fn apply(&mut self, snapshot: &Snapshot, now: u64) {
        self.services.retain(|id, _| snapshot.services.contains_key(id));
        for (id, service) in &snapshot.services {
            let window = u64::from(service.spec.key_window_s) * 1_000;
            if let Some(it) = self.services.get_mut(id) {
                it.window = window;
                it.pools.insert(service.spec.pool.clone());
                it.roster.update(now, window, &live_members(snapshot, service, &it.pools));
                continue;
            }
            let pools = BTreeSet::from([service.spec.pool.clone()]);
            let roster = Roster::new(&self.me, now, &live_members(snapshot, service, &pools));
            self.services.insert(*id, ServiceRoster { roster, window, pools });
        }
    }

    /// Records that this process was paused until `now`.
    pub(crate) fn record_pause(&mut self, now: u64) {
        for it in self.services.values_mut() {
            it.roster.resume(&self.me, now);
        }
    }

    /// Whether the membership of the key's service has been stable for as long as a key is remembered.
    pub(crate) fn is_stable(&self, key: &ClaimKey, now: u64) -> bool {
        let entry = self.services.get(&key.service);
        entry.is_some_and(|it| it.roster.is_stable(now, it.window))
    }

    /// Whether a claim on `key` may be recorded here; see [`Roster::admits`].
    pub(crate) fn accepts_claim(
        &self,
        key: &ClaimKey,
        expected_digest: Option<u64>,
        now: u64,
    ) -> bool {
        let entry = self.services.get(&key.service);
        entry.is_some_and(|it| it.roster.accepts_claim(expected_digest, now, it.window))
    }

    /// Digest of the membership of the key's service.
    pub(crate) fn digest(&self, key: &ClaimKey) -> u64 {
        self.services.get(&key.service).map_or(0, |it| it.roster.digest())
    }

    /// Names of the agents that must record a claim of this agent on `key`, the arbiter first.
    pub(crate) fn claim_holders(&self, key: &ClaimKey, all: bool) -> Vec<String> {
        let Some(it) = self.services.get(&key.service) else {
            return Vec::new();
        };
        let names = if all { it.roster.all_holders(key) } else { it.roster.holders(key, &self.me) };
        names.into_iter().map(str::to_owned).collect()
    }

    /// Names of the service's other members.
    pub(crate) fn other_members(&self, service: ServiceId) -> Vec<String> {
        let Some(it) = self.services.get(&service) else {
            return Vec::new();
        };
        it.roster.members().filter(|name| *name != self.me).map(str::to_owned).collect()
    }

    /// Members that failed recently, by service.
    pub(crate) fn failed_members(&self) -> Vec<(ServiceId, Vec<FailedMember>)> {
        let mut failed = Vec::new();
        for (id, it) in &self.services {
            let lost = it.roster.failed_members();
            if !lost.is_empty() {
                failed.push((*id, lost.to_vec()));
            }
        }
        failed
    }

    /// Adds failed members that another agent reported.
    pub(crate) fn add_failed_members(&mut self, service: ServiceId, failed: &[FailedMember]) {
        if let Some(it) = self.services.get_mut(&service) {
            it.roster.add_failed_members(failed);
        }
    }

    /// Whether an earlier claim on `key` may have been lost.
    pub(crate) fn is_uncertain(&self, key: &ClaimKey, now: u64) -> bool {
        let entry = self.services.get(&key.service);
        entry.is_some_and(|it| it.roster.is_uncertain(key, now, it.window))
    }
}

/// Members of the service that a snapshot shows as alive.
fn live_members<'a>(
    snapshot: &'a Snapshot,
    service: &ServiceEntry,
    pools: &BTreeSet<String>,
) -> Vec<MemberInfo<'a>> {
    let mut members = Vec::new();
    for agent in snapshot.agents.values() {
        if !pools.contains(&agent.pool) || !agent.state.is_alive() {
            continue;
        }
        let incarnation = snapshot.incarnations.get(&agent.name).copied().unwrap_or_default();
        let role = role(agent, service);
        members.push(MemberInfo { name: &agent.name, incarnation, zone: &agent.place.zone, role });
    }
    members
}

fn role(agent: &Agent, service: &ServiceEntry) -> ClaimRole {
    if agent.state == AgentState::Leaving {
        ClaimRole::Leaving
    } else if agent.pool == service.spec.pool && agent.state == AgentState::Silent {
        ClaimRole::Silent
    } else if agent.pool == service.spec.pool {
        ClaimRole::Member
    } else {
        ClaimRole::Former
    }
}
