//! The rosters of all services, kept up to date with each snapshot.

use std::collections::{BTreeMap, BTreeSet};

use camphorwinch_core::{
    claims::ClaimKey,
    member::{Agent, AgentState},
    object::ServiceId,
    roster::{Lost, Part, Roster, Seen},
    snapshot::{ServiceEntry, Snapshot},
};

/// Rosters by service.
#[derive(Debug)]
pub(crate) struct Rosters {
    me: String,
    services: BTreeMap<ServiceId, Entry>,
}

#[derive(Debug)]
struct Entry {
    roster: Roster,
    window: u64,
    /// Pools that the service had, the present one included.
    pools: BTreeSet<String>,
}

impl Rosters {
    /// No rosters yet, at the agent named `me`.
    pub(crate) fn new(me: &str) -> Rosters {
        Rosters { me: me.to_owned(), services: BTreeMap::new() }
    }

    /// Takes in a snapshot.
    pub(crate) fn apply(&mut self, snapshot: &Snapshot, now: u64) {
        self.services.retain(|id, _| snapshot.services.contains_key(id));
        for (id, service) in &snapshot.services {
            let window = u64::from(service.spec.key_window_s) * 1_000;
            if let Some(it) = self.services.get_mut(id) {
                it.window = window;
                it.pools.insert(service.spec.pool.clone());
                it.roster.update(now, window, &seen(snapshot, service, &it.pools));
                continue;
            }
            let pools = BTreeSet::from([service.spec.pool.clone()]);
            let roster = Roster::new(&self.me, now, &seen(snapshot, service, &pools));
            self.services.insert(*id, Entry { roster, window, pools });
        }
    }

    /// Takes note that this process was paused.
    pub(crate) fn wake(&mut self, now: u64) {
        for it in self.services.values_mut() {
            it.roster.wake(&self.me, now);
        }
    }

    /// Whether the members of the key's service have not changed for the time that a key is remembered.
    pub(crate) fn is_settled(&self, key: &ClaimKey, now: u64) -> bool {
        let entry = self.services.get(&key.service);
        entry.is_some_and(|it| it.roster.is_settled(now, it.window))
    }

    /// Whether a claim on `key` may be recorded here; see [`Roster::admits`].
    pub(crate) fn admits(&self, key: &ClaimKey, asked: Option<u64>, now: u64) -> bool {
        let entry = self.services.get(&key.service);
        entry.is_some_and(|it| it.roster.admits(asked, now, it.window))
    }

    /// Digest of the members of the key's service.
    pub(crate) fn digest(&self, key: &ClaimKey) -> u64 {
        self.services.get(&key.service).map_or(0, |it| it.roster.digest())
    }

    /// Names of the agents that must record a claim that this agent makes on `key`, the arbiter first.
    pub(crate) fn ask(&self, key: &ClaimKey, all: bool) -> Vec<String> {
        let Some(it) = self.services.get(&key.service) else {
            return Vec::new();
        };
        let names = if all { it.roster.all_holders(key) } else { it.roster.holders(key, &self.me) };
        names.into_iter().map(str::to_owned).collect()
    }

    /// Names of the service's other members, to which this agent hands over what it knows when it leaves.
    pub(crate) fn others(&self, service: ServiceId) -> Vec<String> {
        let Some(it) = self.services.get(&service) else {
            return Vec::new();
        };
        it.roster.members().filter(|name| *name != self.me).map(str::to_owned).collect()
    }

    /// Members that died lately, by service.
    pub(crate) fn losses(&self) -> Vec<(ServiceId, Vec<Lost>)> {
        let mut losses = Vec::new();
        for (id, it) in &self.services {
            let lost = it.roster.losses();
            if !lost.is_empty() {
                losses.push((*id, lost.to_vec()));
            }
        }
        losses
    }

    /// Takes in what another agent knows of members that died.
    pub(crate) fn add_losses(&mut self, service: ServiceId, losses: &[Lost]) {
        if let Some(it) = self.services.get_mut(&service) {
            it.roster.add_losses(losses);
        }
    }

    /// Whether an earlier claim on `key` may have been forgotten.
    pub(crate) fn is_doubtful(&self, key: &ClaimKey, now: u64) -> bool {
        let entry = self.services.get(&key.service);
        entry.is_some_and(|it| it.roster.is_doubtful(key, now, it.window))
    }
}

fn seen<'a>(
    snapshot: &'a Snapshot,
    service: &ServiceEntry,
    pools: &BTreeSet<String>,
) -> Vec<Seen<'a>> {
    let mut seen = Vec::new();
    for agent in snapshot.agents.values() {
        if !pools.contains(&agent.pool) || !agent.state.answers() {
            continue;
        }
        let incarnation = snapshot.incarnations.get(&agent.name).copied().unwrap_or_default();
        let part = part(agent, service);
        seen.push(Seen { name: &agent.name, incarnation, zone: &agent.place.zone, part });
    }
    seen
}

fn part(agent: &Agent, service: &ServiceEntry) -> Part {
    if agent.state == AgentState::Leaving {
        Part::Leaving
    } else if agent.pool == service.spec.pool && agent.state == AgentState::Silent {
        Part::Silent
    } else if agent.pool == service.spec.pool {
        Part::Member
    } else {
        Part::Former
    }
}
