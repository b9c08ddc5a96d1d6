//! Which links a process opens: to the balancers it should be linked to, and at first to whomever it can find.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use camphorwinch_core::{
    member::Balancer,
    mesh,
    object::Kind,
    record::Role,
    report::{LEASE_PREFIX, Lease},
};
use camphorwinch_wire::message::{Body, Bye, Interest};
use rand::{Rng, seq::SliceRandom};
use tokio::time::sleep;

use crate::{
    clock::now_ms,
    control::{
        Inner, link,
        peer::{LinkId, LinkKind},
        state::{State, as_peers},
        tick,
    },
    event::{self, About, Id},
};

/// Wait before an address is tried again.
const RETRY_MS: u64 = 1_000;
/// Wait before a link that ended is opened again.
const REOPEN_MS: u64 = 200;
/// For how long an agent chooses other balancers than one that it could not reach.
const AVOID_MS: u64 = 5_000;
/// For how long an address that was tried is remembered.
const KEEP_MS: u64 = 60_000;
/// Addresses that are tried at once by a process without a link.
const TRIES: usize = 3;
/// Time between attempts to reach a balancer that was found dead.
const REVIVE_MS: u64 = 5_000;
/// Time between looks for other processes while there is no link.
const SEARCH: Duration = Duration::from_secs(1);
/// Longest time between them while the platform does not answer.
const SEARCH_MAX: Duration = Duration::from_secs(5);
/// Time between looks for holders of leases that are not linked to this part of the fleet.
const STITCH: Duration = Duration::from_secs(30);
/// The same shortly after the start.
const STITCH_FIRST: Duration = Duration::from_secs(5);
/// What counts as shortly after the start.
const FIRST_MS: u64 = 60_000;

/// State of the attempts to reach an address.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Dial {
    busy: bool,
    after_ms: u64,
    avoid_ms: u64,
}

/// Addresses that were tried, and those by which a process without a link joins.
#[derive(Debug, Default)]
pub(crate) struct Dials {
    tried: BTreeMap<SocketAddr, Dial>,
    found: BTreeSet<SocketAddr>,
    revived_ms: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Target {
    address: SocketAddr,
    name: Option<String>,
}

impl Target {
    fn new(it: &Balancer) -> Target {
        Target { address: it.control, name: Some(it.name.clone()) }
    }
}

/// Looks for other processes in the platform's leases: often while there is no link, else rarely and only if this
/// process holds a lease, to join parts of the fleet that do not know of each other.
pub(crate) async fn run(inner: Arc<Inner>) {
    let mut wait = SEARCH;
    loop {
        let (alone, holder) = {
            let state = inner.state.lock();
            let holder = matches!(state.own.role, Role::Balancer { lease: Some(_), .. });
            (!has_balancer(&state), holder)
        };
        let pause = match (alone, holder) {
            (true, _) => {
                wait = if inner.search().await { SEARCH } else { (wait * 2).min(SEARCH_MAX) };
                wait
            }
            (false, true) => {
                inner.search().await;
                if now_ms() < FIRST_MS { STITCH_FIRST } else { STITCH }
            }
            (false, false) => SEARCH,
        };
        let jitter = rand::rng().random_range(0.75..1.25);
        tokio::select! {
            () = sleep(pause.mul_f64(jitter)) => {}
            () = inner.stop.cancelled() => return,
        }
    }
}

fn has_balancer(state: &State) -> bool {
    state.links.values().any(|it| it.kind != LinkKind::Agent)
}

impl Inner {
    /// Reads the leases for addresses of balancers; false if there was none.
    async fn search(&self) -> bool {
        let Ok(list) = self.platform.list(Kind::Lease).await else {
            return false;
        };
        let mut found = BTreeSet::new();
        for object in list.items {
            if !object.name.starts_with(LEASE_PREFIX) {
                continue;
            }
            let Ok(lease) = serde_json::from_value::<Lease>(object.spec) else {
                continue;
            };
            if let Ok(address) = lease.control.parse() {
                found.insert(address);
            }
        }
        found.remove(&self.common.control);
        let somebody = !found.is_empty();
        self.dials.lock().found = found;
        somebody
    }

    /// Opens the links that are missing, and ends those that are no longer needed.
    pub(crate) fn dial_wanted(self: &Arc<Self>) {
        let now = now_ms();
        let mut dials = self.dials.lock();
        let mut state = self.state.lock();
        let (wanted, mut targets) = match state.is_agent() {
            true => agent_targets(&state, &dials, now),
            false => balancer_targets(&state, &mut dials, now),
        };
        end_surplus(&mut state, &wanted);
        dials.tried.retain(|_, it| it.busy || now < it.avoid_ms.max(it.after_ms) + KEEP_MS);
        if !has_balancer(&state) {
            targets.extend(self.join_targets(&dials));
        }
        drop(state);
        for target in targets {
            if target.address == self.common.control {
                continue;
            }
            let dial = dials.tried.entry(target.address).or_default();
            if dial.busy || now < dial.after_ms {
                continue;
            }
            dial.busy = true;
            tokio::spawn(dial_one(Arc::clone(self), target));
        }
        drop(dials);
        self.update_homes();
    }

    /// Some addresses at which others may be found.
    fn join_targets(&self, dials: &Dials) -> Vec<Target> {
        let mut addresses: BTreeSet<SocketAddr> = dials.found.clone();
        addresses.extend(&self.common.peers);
        let mut addresses: Vec<SocketAddr> = addresses.into_iter().collect();
        addresses.shuffle(&mut rand::rng());
        addresses.truncate(TRIES);
        addresses.into_iter().map(|address| Target { address, name: None }).collect()
    }

    /// Takes note of a link that is up.
    pub(crate) fn linked(&self, id: LinkId, peer: &str) {
        event::emit(Id::LinkUp, About::new(), &format!("link {id} to {peer}"));
        self.update_homes();
        self.beat.notify_one();
    }

    /// Takes note of a link that is down.
    pub(crate) fn unlinked(&self, id: LinkId, peer: &str, why: &str) {
        event::emit(Id::LinkDown, About::new(), &format!("link {id} to {peer}: {why}"));
        let mut state = self.state.lock();
        let Some(link) = state.links.remove(&id) else {
            return;
        };
        if state.linked(peer) {
            return;
        }
        state.homed.remove(peer);
        let member = state.view.member(peer).filter(|it| !it.is_down());
        let missed = member.filter(|it| !link.ended && !tick::watched_elsewhere(&state, it));
        if let Some(version) = missed.map(|it| it.version) {
            let (grace, verdict) = tick::sentence(link.kind, link.silent);
            state.suspects.suspect(peer, version, now_ms() + grace, verdict);
        }
        drop(state);
        self.update_homes();
    }

    /// Announces the balancers that this agent is linked to, the one that reports about it first. Their zones decide
    /// that, and may become known only after the links are up.
    fn update_homes(&self) {
        let mut state = self.state.lock();
        if !state.is_agent() {
            return;
        }
        let alive = state.balancers();
        let ranked = mesh::homes(state.own.name(), &self.common.place.zone, &as_peers(&alive));
        let mut homes: Vec<String> = Vec::new();
        for name in ranked {
            if state.linked(name) {
                homes.push(name.to_owned());
            }
        }
        for link in state.links.values() {
            if !homes.contains(&link.peer) {
                homes.push(link.peer.clone());
            }
        }
        let before = state.own.version;
        state.announce(|role| {
            if let Role::Agent { homes: own, .. } = role {
                *own = homes;
            }
        });
        let changed = state.own.version != before;
        drop(state);
        if changed {
            self.changed();
        }
    }

    /// Tells the balancers which pools this agent wants to know: its own, and those of services that its own pool ever
    /// served, because requests on their flows go there.
    pub(crate) fn update_pools(&self, pools: Vec<String>) {
        let mut state = self.state.lock();
        if state.pools == pools {
            return;
        }
        state.pools.clone_from(&pools);
        let scope = camphorwinch_core::view::Scope::Pools(pools.iter().cloned().collect());
        for link in state.links.values_mut() {
            link.scope = scope.clone();
            link.send(Body::Interest(Interest { pools: pools.clone() }));
        }
    }
}

async fn dial_one(inner: Arc<Inner>, target: Target) {
    let result = link::open(Arc::clone(&inner), target.address).await;
    let now = now_ms();
    let mut dials = inner.dials.lock();
    let dial = dials.tried.entry(target.address).or_default();
    dial.busy = false;
    match &result {
        Ok(()) => dial.after_ms = now + REOPEN_MS,
        Err(e) => {
            tracing::debug!("open a link to {}: {e:#}", target.address);
            dial.after_ms = now + RETRY_MS;
            dial.avoid_ms = now + AVOID_MS;
        }
    }
    drop(dials);
    if let (Err(_), Some(name)) = (result, target.name) {
        inner.suspect_unreachable(&name);
    }
}

impl Inner {
    fn suspect_unreachable(&self, name: &str) {
        let mut state = self.state.lock();
        if state.is_agent() || state.linked(name) {
            return;
        }
        let version = state.view.member(name).filter(|it| !it.is_down()).map(|it| it.version);
        if let Some(version) = version {
            let (grace, verdict) = tick::sentence(LinkKind::Mesh, false);
            state.suspects.suspect(name, version, now_ms() + grace, verdict);
        }
    }
}

fn agent_targets(state: &State, dials: &Dials, now: u64) -> (Vec<String>, Vec<Target>) {
    let mut alive = state.balancers();
    let avoid = |it: &SocketAddr| dials.tried.get(it).is_some_and(|dial| now < dial.avoid_ms);
    alive.retain(|it| state.linked(&it.name) || !avoid(&it.control));
    let Role::Agent { agent, .. } = &state.own.role else {
        return (Vec::new(), Vec::new());
    };
    let wanted = mesh::homes(&agent.name, &agent.place.zone, &as_peers(&alive));
    let mut targets = Vec::new();
    for balancer in &alive {
        if wanted.contains(&balancer.name.as_str()) && !state.linked(&balancer.name) {
            targets.push(Target::new(balancer));
        }
    }
    (wanted.into_iter().map(str::to_owned).collect(), targets)
}

fn balancer_targets(state: &State, dials: &mut Dials, now: u64) -> (Vec<String>, Vec<Target>) {
    let alive = state.balancers();
    let own = state.own.name();
    let mut wanted = mesh::neighbours(own, &as_peers(&alive));
    let seed = state.seed(state.own.zone()).filter(|it| it.name != own);
    wanted.extend(seed.map(|it| it.name.as_str()));
    let mut targets = Vec::new();
    for balancer in &alive {
        let suspect = state.suspects.contains(&balancer.name);
        let missing = !state.linked(&balancer.name) && balancer.name != own;
        if missing && (suspect || wanted.contains(&balancer.name.as_str())) {
            targets.push(Target::new(balancer));
        }
    }
    for address in &dials.found {
        if !alive.iter().any(|it| it.control == *address) {
            targets.push(Target { address: *address, name: None });
        }
    }
    if now.saturating_sub(dials.revived_ms) >= REVIVE_MS {
        dials.revived_ms = now;
        targets.extend(dead_balancer(state));
    }
    (wanted.into_iter().map(str::to_owned).collect(), targets)
}

/// A balancer that was found dead, picked at random: the network between may be whole again.
fn dead_balancer(state: &State) -> Option<Target> {
    let mut dead = Vec::new();
    for member in state.view.members().filter(|it| it.is_down()) {
        if let Role::Balancer { balancer, .. } = &member.role {
            dead.push(balancer.control);
        }
    }
    let index = rand::rng().random_range(0..dead.len().max(1));
    dead.get(index).map(|address| Target { address: *address, name: None })
}

/// Ends links that this process opened but no longer wants, once all that it wants are up.
fn end_surplus(state: &mut State, wanted: &[String]) {
    if wanted.is_empty() || !wanted.iter().all(|it| state.linked(it)) {
        return;
    }
    for link in state.links.values_mut() {
        if link.opened && !link.ended && !wanted.contains(&link.peer) {
            link.ended = true;
            link.send(Body::Bye(Bye {}));
        }
    }
}
