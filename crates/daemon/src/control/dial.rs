//! Opens and closes the links of this process, and discovers balancers through the leases in the platform.

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
use camphorwinch_wire::message::{Body, Disconnect, Subscription};
use rand::{Rng, seq::SliceRandom};
use tokio::time::sleep;

use crate::{
    clock::now_ms,
    control::{
        Inner, link,
        peer::{LinkId, LinkKind},
        state::{State, mesh_peers},
        tick,
    },
    event::{self, EventId, EventSubject},
};

const RETRY_DELAY_MS: u64 = 1_000;
const REOPEN_DELAY_MS: u64 = 200;
/// How long an agent avoids a balancer that it failed to reach.
const AVOID_MS: u64 = 5_000;
/// How long the state of an address is kept after its last use.
const DIAL_STATE_TTL_MS: u64 = 60_000;
/// Dials that a process without a link starts at once.
const MAX_JOIN_DIALS: usize = 3;
/// Interval between dials to balancers that are down.
const DOWN_DIAL_INTERVAL_MS: u64 = 5_000;
/// Interval between discoveries while there is no link.
const DISCOVERY_INTERVAL: Duration = Duration::from_secs(1);
/// Longest interval between discoveries while the platform does not respond.
const MAX_DISCOVERY_INTERVAL: Duration = Duration::from_secs(5);
/// Interval between discoveries by a lease holder.
const HEAL_INTERVAL: Duration = Duration::from_secs(30);
/// Interval between discoveries by a lease holder during startup.
const STARTUP_HEAL_INTERVAL: Duration = Duration::from_secs(5);
const STARTUP_MS: u64 = 60_000;

#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Dial {
    in_progress: bool,
    retry_at_ms: u64,
    avoid_until_ms: u64,
}

/// Dial state by address, and the addresses that discovery found.
#[derive(Debug, Default)]
pub(crate) struct Dials {
    tried: BTreeMap<SocketAddr, Dial>,
    discovered: BTreeSet<SocketAddr>,
    last_down_dial_ms: u64,
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

/// Discovers balancers through the platform's leases: frequently while there is no link; otherwise only lease holders
/// do so, at a low rate, to heal a partition of the fleet.
pub(crate) async fn run(inner: Arc<Inner>) {
    let mut wait = DISCOVERY_INTERVAL;
    loop {
        let (isolated, holds_lease) = {
            let state = inner.state.lock();
            let holds_lease = matches!(state.own.role, Role::Balancer { lease: Some(_), .. });
            (!has_balancer_link(&state), holds_lease)
        };
        let delay = match (isolated, holds_lease) {
            (true, _) => {
                wait = if inner.discover().await {
                    DISCOVERY_INTERVAL
                } else {
                    (wait * 2).min(MAX_DISCOVERY_INTERVAL)
                };
                wait
            }
            (false, true) => {
                inner.discover().await;
                if now_ms() < STARTUP_MS { STARTUP_HEAL_INTERVAL } else { HEAL_INTERVAL }
            }
            (false, false) => DISCOVERY_INTERVAL,
        };
        let jitter = rand::rng().random_range(0.75..1.25);
        tokio::select! {
            () = sleep(delay.mul_f64(jitter)) => {}
            () = inner.stop.cancelled() => return,
        }
    }
}

fn has_balancer_link(state: &State) -> bool {
    state.links.values().any(|it| it.kind != LinkKind::Agent)
}

impl Inner {
    /// Reads the addresses of balancers from the leases. Returns false if there are none or the platform call failed.
    async fn discover(&self) -> bool {
        let Ok(list) = self.platform.list(Kind::Lease).await else {
            return false;
        };
        let mut discovered = BTreeSet::new();
        for object in list.items {
            if !object.name.starts_with(LEASE_PREFIX) {
                continue;
            }
            let Ok(lease) = serde_json::from_value::<Lease>(object.spec) else {
                continue;
            };
            if let Ok(address) = lease.control.parse() {
                discovered.insert(address);
            }
        }
        discovered.remove(&self.common.control);
        let any = !discovered.is_empty();
        self.dials.lock().discovered = discovered;
        any
    }

    /// Opens missing links and closes surplus ones.
    pub(crate) fn open_missing_links(self: &Arc<Self>) {
        let now = now_ms();
        let mut dials = self.dials.lock();
        let mut state = self.state.lock();
        let (desired, mut targets) = match state.is_agent() {
            true => agent_targets(&state, &dials, now),
            false => balancer_targets(&state, &mut dials, now),
        };
        close_surplus_links(&mut state, &desired);
        dials.tried.retain(|_, it| {
            it.in_progress || now < it.avoid_until_ms.max(it.retry_at_ms) + DIAL_STATE_TTL_MS
        });
        if !has_balancer_link(&state) {
            targets.extend(self.discovery_targets(&dials));
        }
        drop(state);
        for target in targets {
            if target.address == self.common.control {
                continue;
            }
            let dial = dials.tried.entry(target.address).or_default();
            if dial.in_progress || now < dial.retry_at_ms {
                continue;
            }
            dial.in_progress = true;
            tokio::spawn(dial_target(Arc::clone(self), target));
        }
        drop(dials);
        self.announce_homes();
    }

    /// A random selection of discovered and configured addresses.
    fn discovery_targets(&self, dials: &Dials) -> Vec<Target> {
        let mut addresses: BTreeSet<SocketAddr> = dials.discovered.clone();
        addresses.extend(&self.common.peers);
        let mut addresses: Vec<SocketAddr> = addresses.into_iter().collect();
        addresses.shuffle(&mut rand::rng());
        addresses.truncate(MAX_JOIN_DIALS);
        addresses.into_iter().map(|address| Target { address, name: None }).collect()
    }

    /// Reports a new link and updates the announcement.
    pub(crate) fn on_link_up(&self, id: LinkId, peer: &str) {
        event::emit(EventId::LinkUp, EventSubject::new(), &format!("link {id} to {peer}"));
        self.announce_homes();
        self.heartbeat.notify_one();
    }

    /// Reports a closed link and, if this process monitors the peer, suspects it.
    pub(crate) fn on_link_down(&self, id: LinkId, peer: &str, reason: &str) {
        event::emit(
            EventId::LinkDown,
            EventSubject::new(),
            &format!("link {id} to {peer}: {reason}"),
        );
        let mut state = self.state.lock();
        let Some(link) = state.links.remove(&id) else {
            return;
        };
        if state.has_link(peer) {
            return;
        }
        state.linked_agents.remove(peer);
        let member = state.view.member(peer).filter(|it| !it.is_down());
        let monitored =
            member.filter(|it| !link.closing && !tick::is_monitored_elsewhere(&state, it));
        if let Some(version) = monitored.map(|it| it.version) {
            let (grace, verdict) = tick::grace_and_verdict(link.kind, link.timed_out);
            state.failure_detector.suspect(peer, version, now_ms() + grace, verdict);
        }
        drop(state);
        self.announce_homes();
    }

    /// Announces the balancers that this agent is linked to, starting with the one that reports for it. The order
    /// depends on their zones, which may be received only after the links are up.
    fn announce_homes(&self) {
        let mut state = self.state.lock();
        if !state.is_agent() {
            return;
        }
        let alive = state.balancers();
        let ranked = mesh::balancers_for_agent(
            state.own.name(),
            &self.common.place.zone,
            &mesh_peers(&alive),
        );
        let mut balancers: Vec<String> = Vec::new();
        for name in ranked {
            if state.has_link(name) {
                balancers.push(name.to_owned());
            }
        }
        for link in state.links.values() {
            if !balancers.contains(&link.peer) {
                balancers.push(link.peer.clone());
            }
        }
        let before = state.own.version;
        state.announce(|role| {
            if let Role::Agent { balancers: own, .. } = role {
                *own = balancers;
            }
        });
        let changed = state.own.version != before;
        drop(state);
        if changed {
            self.request_publish();
        }
    }

    /// Subscribes to the given pools at all linked balancers.
    pub(crate) fn update_pools(&self, pools: Vec<String>) {
        let mut state = self.state.lock();
        if state.pools == pools {
            return;
        }
        state.pools.clone_from(&pools);
        let scope = camphorwinch_core::view::Scope::Pools(pools.iter().cloned().collect());
        for link in state.links.values_mut() {
            link.scope = scope.clone();
            link.send(Body::Subscription(Subscription { pools: pools.clone() }));
        }
    }
}

async fn dial_target(inner: Arc<Inner>, target: Target) {
    let result = link::open(Arc::clone(&inner), target.address).await;
    let now = now_ms();
    let mut dials = inner.dials.lock();
    let dial = dials.tried.entry(target.address).or_default();
    dial.in_progress = false;
    match &result {
        Ok(()) => dial.retry_at_ms = now + REOPEN_DELAY_MS,
        Err(e) => {
            tracing::debug!("failed to open a link to {}: {e:#}", target.address);
            dial.retry_at_ms = now + RETRY_DELAY_MS;
            dial.avoid_until_ms = now + AVOID_MS;
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
        if state.is_agent() || state.has_link(name) {
            return;
        }
        let version = state.view.member(name).filter(|it| !it.is_down()).map(|it| it.version);
        if let Some(version) = version {
            let (grace, verdict) = tick::grace_and_verdict(LinkKind::Mesh, false);
            state.failure_detector.suspect(name, version, now_ms() + grace, verdict);
        }
    }
}

fn agent_targets(state: &State, dials: &Dials, now: u64) -> (Vec<String>, Vec<Target>) {
    let mut alive = state.balancers();
    let avoid = |it: &SocketAddr| dials.tried.get(it).is_some_and(|dial| now < dial.avoid_until_ms);
    alive.retain(|it| state.has_link(&it.name) || !avoid(&it.control));
    let Role::Agent { agent, .. } = &state.own.role else {
        return (Vec::new(), Vec::new());
    };
    let desired = mesh::balancers_for_agent(&agent.name, &agent.place.zone, &mesh_peers(&alive));
    let mut targets = Vec::new();
    for balancer in &alive {
        if desired.contains(&balancer.name.as_str()) && !state.has_link(&balancer.name) {
            targets.push(Target::new(balancer));
        }
    }
    (desired.into_iter().map(str::to_owned).collect(), targets)
}

fn balancer_targets(state: &State, dials: &mut Dials, now: u64) -> (Vec<String>, Vec<Target>) {
    let alive = state.balancers();
    let own = state.own.name();
    let mut desired = mesh::neighbours(own, &mesh_peers(&alive));
    let holder = state.lease_holder(state.own.zone()).filter(|it| it.name != own);
    desired.extend(holder.map(|it| it.name.as_str()));
    let mut targets = Vec::new();
    for balancer in &alive {
        let suspect = state.failure_detector.contains(&balancer.name);
        let missing = !state.has_link(&balancer.name) && balancer.name != own;
        if missing && (suspect || desired.contains(&balancer.name.as_str())) {
            targets.push(Target::new(balancer));
        }
    }
    for address in &dials.discovered {
        if !alive.iter().any(|it| it.control == *address) {
            targets.push(Target { address: *address, name: None });
        }
    }
    if now.saturating_sub(dials.last_down_dial_ms) >= DOWN_DIAL_INTERVAL_MS {
        dials.last_down_dial_ms = now;
        targets.extend(random_down_balancer(state));
    }
    (desired.into_iter().map(str::to_owned).collect(), targets)
}

/// Picks a random balancer that is down: it may be reachable again after a partition.
fn random_down_balancer(state: &State) -> Option<Target> {
    let mut down = Vec::new();
    for member in state.view.members().filter(|it| it.is_down()) {
        if let Role::Balancer { balancer, .. } = &member.role {
            down.push(balancer.control);
        }
    }
    let index = rand::rng().random_range(0..down.len().max(1));
    down.get(index).map(|address| Target { address: *address, name: None })
}

/// Closes links that this process opened and no longer needs, once all needed ones are up.
fn close_surplus_links(state: &mut State, desired: &[String]) {
    if desired.is_empty() || !desired.iter().all(|it| state.has_link(it)) {
        return;
    }
    for link in state.links.values_mut() {
        if link.opened && !link.closing && !desired.contains(&link.peer) {
            link.closing = true;
            link.send(Body::Disconnect(Disconnect {}));
        }
    }
}
