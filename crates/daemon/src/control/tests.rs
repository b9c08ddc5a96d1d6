use std::{future::Future, net::TcpListener as StdListener};

use camphorwinch_core::{
    invariant::{Invariant, violations},
    member::{BalancerState, Place},
    object::ServiceId,
    record::{Member, Record, Version},
    report::{Lease, Report},
};
use camphorwinch_wire::message::{Body, Frame, Hello, PROTOCOL_VERSION, RecordPart, Update};
use prost::Message;
use rcgen::{BasicConstraints, CertificateParams, CertifiedIssuer, IsCa, KeyPair};

use super::*;
use crate::{
    config::{FleetPem, LogFormat},
    platform::fake::FakePlatform,
};

const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

struct Fleet {
    platform: FakePlatform,
    address: SocketAddr,
    pem: FleetPem,
}

impl Fleet {
    async fn new() -> Fleet {
        let (platform, address) = FakePlatform::start().await;
        Fleet { platform, address, pem: fleet_pem() }
    }

    fn common(&self, name: &str, zone: &str, peers: &[SocketAddr]) -> CommonConfig {
        let place =
            Place { vm: format!("vm-{name}"), zone: zone.to_owned(), region: "r".to_owned() };
        CommonConfig {
            name: name.to_owned(),
            place,
            platform: self.address,
            control: free_address(),
            operator: free_address(),
            peers: peers.to_vec(),
            fleet: self.pem.clone(),
            log: LogFormat::Text,
            log_level: "info".to_owned(),
        }
    }

    async fn balancer(&self, name: &str, zone: &str) -> Control {
        self.balancer_with(name, zone, &[]).await
    }

    async fn balancer_with(&self, name: &str, zone: &str, peers: &[SocketAddr]) -> Control {
        let control =
            Control::start(&self.common(name, zone, peers), Role::Balancer).await.unwrap();
        apply_snapshots(&control);
        control
    }

    async fn agent(&self, name: &str, zone: &str, pool: &str) -> Control {
        let common = self.common(name, zone, &[]);
        let agent = Agent {
            name: name.to_owned(),
            place: common.place.clone(),
            pool: pool.to_owned(),
            data: free_address(),
            control: common.control,
            weight: 1.0,
            slots: 4,
            connections: 100,
            state: AgentState::Ready,
        };
        let control = Control::start(&common, Role::Agent(agent)).await.unwrap();
        apply_snapshots(&control);
        control
    }

    fn add_service(&self, name: &str, port: u16) -> u64 {
        let address = format!("127.0.0.1:{port}");
        let spec = json!({ "address": address, "pool": name, "certificate": "c" });
        self.platform.write("service", name, spec)
    }
}

/// Marks every snapshot as applied at once, in place of a data path.
fn apply_snapshots(control: &Control) {
    let mut snapshots = control.watch();
    let control = control.clone();
    tokio::spawn(async move {
        while snapshots.changed().await.is_ok() {
            let revision = snapshots.borrow_and_update().revision;
            control.set_applied(revision);
        }
    });
}

/// Stops a process without announcing that it leaves, as if it was killed.
fn kill(control: &Control) {
    control.inner.stop.cancel();
}

fn fleet_pem() -> FleetPem {
    let mut params = CertificateParams::new(Vec::new()).unwrap();
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    let ca = CertifiedIssuer::self_signed(params, KeyPair::generate().unwrap()).unwrap();
    let key = KeyPair::generate().unwrap();
    let params = CertificateParams::new(vec!["any.name".to_owned()]).unwrap();
    let cert = params.signed_by(&key, &ca).unwrap();
    FleetPem { ca: ca.pem(), cert: cert.pem(), key: key.serialize_pem() }
}

fn free_address() -> SocketAddr {
    StdListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

async fn wait_until<F>(condition: &str, mut done: F)
where
    F: FnMut() -> bool,
{
    let wait = async {
        while !done() {
            sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(WAIT_TIMEOUT, wait).await.unwrap_or_else(|_| panic!("timed out: {condition}"));
}

async fn with_timeout<F>(condition: &str, future: F) -> F::Output
where
    F: Future,
{
    timeout(WAIT_TIMEOUT, future).await.unwrap_or_else(|_| panic!("timed out: {condition}"))
}

fn snapshot(control: &Control) -> Arc<Snapshot> {
    control.watch().borrow().clone()
}

fn state_in(control: &Control, agent: &str) -> Option<AgentState> {
    snapshot(control).agents.get(agent).map(|it| it.state)
}

fn has_service(control: &Control, name: &str, revision: u64) -> bool {
    let snapshot = snapshot(control);
    snapshot.revision >= revision && snapshot.services.contains_key(&ServiceId::new(name))
}

fn assert_invariants() {
    assert_eq!(violations(Invariant::VersionGrows), 0);
    assert_eq!(violations(Invariant::LeaseHeld), 0);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn configuration_and_members_reach_all_processes() {
    let fleet = Fleet::new().await;
    let first = fleet.add_service("ledger", 4433);
    let b1 = fleet.balancer("b1", "z1").await;
    let b2 = fleet.balancer("b2", "z2").await;
    let b3 = fleet.balancer("b3", "z2").await;
    let a1 = fleet.agent("a1", "z1", "ledger").await;
    let a2 = fleet.agent("a2", "z2", "ledger").await;
    let other = fleet.agent("x1", "z2", "other").await;
    let all = [&b1, &b2, &b3, &a1, &a2, &other];
    wait_until("all processes have the service", || {
        all.iter().all(|it| has_service(it, "ledger", first))
    })
    .await;
    let pool = [&b1, &b2, &b3, &a1, &a2];
    let is_ready = |it: &Control, name: &str| state_in(it, name) == Some(AgentState::Ready);
    wait_until("agents are ready", || {
        pool.iter().all(|it| is_ready(it, "a1") && is_ready(it, "a2"))
    })
    .await;
    assert_eq!(state_in(&other, "a1"), None, "an agent receives its own pool only");

    let second = fleet.add_service("intake", 4434);
    wait_until("all processes have the change", || {
        all.iter().all(|it| has_service(it, "intake", second))
    })
    .await;
    fleet.platform.delete("service", "intake");
    let is_deleted = |it: &Control| !has_service(it, "intake", 0);
    wait_until("all processes have the deletion", || all.iter().all(|it| is_deleted(it))).await;

    wait_until("reports show the revision in force", || {
        let zones = ["z1", "z2"].map(|zone| report_of(&fleet, zone));
        zones.iter().all(|it| it.as_ref().is_some_and(|it| it.in_force > second))
    })
    .await;
    let report = report_of(&fleet, "z1").unwrap();
    assert!(
        report.upstreams.is_empty() && report.balancers.is_empty(),
        "the report in a lease is a summary"
    );
    wait_until("the full report is written", || {
        let object = fleet.platform.read("report", "z1");
        let whole: Option<Report> = object.and_then(|it| serde_json::from_value(it.spec).ok());
        whole.is_some_and(|it| it.upstreams.iter().any(|it| it.name == "a1" && it.slots == 4))
    })
    .await;
    assert!(report.changes.iter().any(|it| it.in_force_ms >= it.seen_ms && it.in_force_ms > 0));
    wait_until("the timeline is written", || {
        fleet.platform.read("timeline", "events-z2-0").is_some()
    })
    .await;
    assert_invariants();
}

fn report_of(fleet: &Fleet, zone: &str) -> Option<Report> {
    let mut reports = Vec::new();
    for number in 0..2 {
        let object = fleet.platform.read("lease", &Lease::name(zone, number));
        let lease: Option<Lease> = object.and_then(|it| serde_json::from_value(it.spec).ok());
        reports.extend(lease.and_then(|it| it.report));
    }
    reports.into_iter().max_by_key(|it| it.at_ms)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_killed_agent_is_reported_down_and_a_leaving_one_leaving() {
    let fleet = Fleet::new().await;
    let b1 = fleet.balancer("b1", "z1").await;
    let b2 = fleet.balancer("b2", "z2").await;
    let a1 = fleet.agent("a1", "z1", "p").await;
    let a2 = fleet.agent("a2", "z1", "p").await;
    let both = [&b1, &b2];
    let all = |name, state| both.iter().all(|it| state_in(it, name) == Some(state));
    wait_until("both agents are ready", || {
        all("a1", AgentState::Ready) && all("a2", AgentState::Ready)
    })
    .await;
    a1.set_state(AgentState::Draining);
    wait_until("the agent is draining", || all("a1", AgentState::Draining)).await;
    kill(&a1);
    wait_until("the agent is down", || all("a1", AgentState::Down)).await;
    assert!(all("a2", AgentState::Ready));
    a2.leave().await;
    wait_until("the agent is leaving", || all("a2", AgentState::Leaving)).await;
    assert_invariants();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_agent_moves_to_another_balancer_when_its_balancers_fail() {
    let fleet = Fleet::new().await;
    let b1 = fleet.balancer("b1", "z1").await;
    let b2 = fleet.balancer("b2", "z2").await;
    let a1 = fleet.agent("a1", "z1", "p").await;
    wait_until("ready", || state_in(&b2, "a1") == Some(AgentState::Ready)).await;
    let b3 = fleet.balancer("b3", "z1").await;
    wait_until("the agent is known to the new balancer", || {
        state_in(&b3, "a1") == Some(AgentState::Ready)
    })
    .await;
    let mut seen = b3.watch();
    kill(&b1);
    let is_down = |it: &Control, name: &str| {
        snapshot(it).balancers.get(name).is_some_and(|it| it.state == BalancerState::Down)
    };
    wait_until("the balancer is down", || is_down(&b2, "b1") && is_down(&b3, "b1")).await;
    kill(&b2);
    wait_until("the other balancer is down", || is_down(&b3, "b2")).await;
    wait_until("the agent moved to the last balancer", || home_balancers(&a1) == ["b3"]).await;
    assert_eq!(state_in(&b3, "a1"), Some(AgentState::Ready));
    assert!(seen.borrow_and_update().agents["a1"].state == AgentState::Ready);
    let lease = || fleet.platform.read("lease", "seed-z1-0").map(|it| it.spec["holder"].clone());
    wait_until("the last balancer holds a lease", || lease() == Some(json!("b3")) || holds(&b3))
        .await;
    let revision = fleet.add_service("ledger", 4433);
    wait_until("the service is known", || has_service(&a1, "ledger", revision)).await;
    assert_invariants();
}

fn home_balancers(control: &Control) -> Vec<String> {
    match &control.inner.state.lock().own.role {
        MemberRole::Agent { balancers, .. } => balancers.clone(),
        MemberRole::Balancer { .. } => Vec::new(),
    }
}

// The first balancer in the list decides which zone reports the agent. The order must be updated when zones become
// known after the links are up.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn balancers_are_reordered_when_their_zones_become_known() {
    let fleet = Fleet::new().await;
    let _b1 = fleet.balancer("b1", "z1").await;
    let _b2 = fleet.balancer("b2", "z2").await;
    let a1 = fleet.agent("a1", "z1", "p").await;
    wait_until("linked to both balancers", || home_balancers(&a1) == ["b1", "b2"]).await;
    a1.inner.state.lock().announce(|role| {
        if let MemberRole::Agent { balancers, .. } = role {
            balancers.reverse();
        }
    });
    wait_until("the balancer of the own zone is first", || home_balancers(&a1) == ["b1", "b2"])
        .await;
    assert_invariants();
}

fn holds(control: &Control) -> bool {
    let state = control.inner.state.lock();
    matches!(state.own.role, MemberRole::Balancer { lease: Some(_), .. })
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_process_joins_through_peers_while_the_platform_is_unavailable() {
    let fleet = Fleet::new().await;
    let b1 = fleet.balancer("b1", "z1").await;
    let revision = fleet.add_service("ledger", 4433);
    wait_until("the service is known", || has_service(&b1, "ledger", revision)).await;
    fleet.platform.set_unavailable(true);
    let isolated = fleet.balancer("lonely", "z2").await;
    let b2 = fleet.balancer_with("b2", "z2", &[b1.inner.common.control]).await;
    wait_until("joined through a peer", || has_service(&b2, "ledger", revision)).await;
    assert!(b2.synced());
    assert!(!isolated.synced(), "not synced without platform or peers");
    fleet.platform.set_unavailable(false);
    let next = fleet.add_service("intake", 4434);
    let all = [&b1, &b2, &isolated];
    wait_until("all processes have the next change", || {
        all.iter().all(|it| has_service(it, "intake", next))
    })
    .await;
    assert_invariants();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_skipped_watch_event_and_a_lost_response_are_recovered() {
    let fleet = Fleet::new().await;
    let b1 = fleet.balancer("b1", "z1").await;
    wait_until("synced", || b1.synced()).await;
    fleet.platform.skip_watch_events(true);
    fleet.add_service("ledger", 4433);
    fleet.platform.lose_next_response();
    sleep(Duration::from_secs(1)).await;
    fleet.platform.skip_watch_events(false);
    wait_until("the service is found by a list", || has_service(&b1, "ledger", 0)).await;
    wait_until("the lease is still held", || holds(&b1)).await;
    assert_invariants();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_replaced_process_is_fenced() {
    let fleet = Fleet::new().await;
    let b1 = fleet.balancer("b1", "z1").await;
    let old = fleet.agent("a1", "z1", "p").await;
    wait_until("ready", || state_in(&b1, "a1").is_some()).await;
    old.inner.state.lock().skip_name_grace();
    sleep(Duration::from_millis(5)).await;
    let new = fleet.agent("a1", "z1", "p").await;
    let mut fenced = old.fenced();
    with_timeout("fenced", fenced.wait_for(|it| *it)).await.unwrap();
    assert!(!*new.fenced().borrow());
    assert_invariants();
}

/// Connects as an agent that sends no heartbeats and keeps its link open.
async fn connect_as_agent(fleet: &Fleet, home: &Control, agent: &Member) -> FramedStream {
    use futures::SinkExt;

    let tls = Tls::new(&fleet.pem).unwrap();
    let stream = TcpStream::connect(home.inner.common.control).await.unwrap();
    let mut frames = frame::frames(tls.connect(stream).await.unwrap());
    let hello = Hello {
        protocol: PROTOCOL_VERSION,
        purpose: Purpose::Agent as i32,
        name: agent.name().to_owned(),
        incarnation: agent.version.major,
        pools: vec!["p".to_owned()],
    };
    let part = RecordPart::from(&Record::Member(agent.clone()));
    let update = Update { records: vec![part], ..Update::default() };
    for body in [Body::Hello(hello), Body::Update(update)] {
        frames.send(bytes::Bytes::from(Frame::new(body).encode_to_vec())).await.unwrap();
    }
    frames
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_silent_agent_is_not_declared_down_at_once() {
    let fleet = Fleet::new().await;
    let b1 = fleet.balancer("b1", "z1").await;
    let common = fleet.common("a1", "z1", &[]);
    let agent = Agent {
        name: "a1".to_owned(),
        place: common.place,
        pool: "p".to_owned(),
        data: free_address(),
        control: common.control,
        weight: 1.0,
        slots: 4,
        connections: 100,
        state: AgentState::Ready,
    };
    let role = MemberRole::Agent { agent, balancers: vec!["b1".to_owned()] };
    let mut member = Member { version: Version::member(7, 0), since_ms: 0, role };
    let first = connect_as_agent(&fleet, &b1, &member).await;
    wait_until("ready", || state_in(&b1, "a1") == Some(AgentState::Ready)).await;
    wait_until("silent", || state_in(&b1, "a1") == Some(AgentState::Silent)).await;
    assert!(AgentState::Silent.is_alive() && !AgentState::Silent.takes_work());
    sleep(Duration::from_secs(4)).await;
    assert_eq!(state_in(&b1, "a1"), Some(AgentState::Silent), "not down within the grace period");
    member.version = Version::member(7, 2);
    let second = connect_as_agent(&fleet, &b1, &member).await;
    wait_until("ready again", || state_in(&b1, "a1") == Some(AgentState::Ready)).await;
    drop(second);
    wait_until("down after the link is closed", || state_in(&b1, "a1") == Some(AgentState::Down))
        .await;
    drop(first);
    assert_invariants();
}

#[tokio::test]
async fn an_untrusted_peer_and_an_invalid_frame_are_refused() {
    use futures::{SinkExt, StreamExt};
    use tokio::io::AsyncWriteExt;

    let fleet = Fleet::new().await;
    let b1 = fleet.balancer("b1", "z1").await;
    let address = b1.inner.common.control;
    let mut plain = TcpStream::connect(address).await.unwrap();
    plain.write_all(b"GET / HTTP/1.1\r\n\r\n").await.unwrap();
    let untrusted = Tls::new(&fleet_pem()).unwrap();
    let stream = TcpStream::connect(address).await.unwrap();
    assert!(untrusted.connect(stream).await.is_err(), "certificate of another CA");
    let trusted = Tls::new(&fleet.pem).unwrap();
    let stream = trusted.connect(TcpStream::connect(address).await.unwrap()).await.unwrap();
    let mut frames = frame::frames(stream);
    frames.send(bytes::Bytes::from(vec![0xff; 64])).await.unwrap();
    let result = with_timeout("the link is closed", frames.next()).await;
    assert!(result.is_none_or(|it| it.is_err()));
    assert!(b1.inner.state.lock().links.is_empty());
}

/// Port of a service's address in the snapshot of a process.
fn port_of(control: &Control, name: &str) -> Option<u16> {
    let snapshot = snapshot(control);
    snapshot.services.get(&ServiceId::new(name)).map(|it| it.spec.address.port())
}

// A reset platform reuses revisions. Without eras, processes ignored new changes and could not take leases.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn changes_are_applied_after_the_platform_is_restored_from_a_backup() {
    let fleet = Fleet::new().await;
    fleet.add_service("ledger", 4_433);
    let b1 = fleet.balancer("b1", "z1").await;
    let b2 = fleet.balancer("b2", "z2").await;
    let a1 = fleet.agent("a1", "z1", "ledger").await;
    let all = [&b1, &b2, &a1];
    let in_force = |name, port| all.iter().all(|it| port_of(it, name) == Some(port));
    wait_until("all processes have the service", || in_force("ledger", 4_433)).await;
    fleet.platform.take_backup();
    for port in 4_500..4_510 {
        fleet.add_service("ledger", port);
    }
    fleet.add_service("intake", 4_434);
    wait_until("all processes have the changes", || {
        in_force("ledger", 4_509) && in_force("intake", 4_434)
    })
    .await;
    fleet.platform.restore_backup();
    // Confirmed changes stay in force until they are written again.
    sleep(Duration::from_secs(1)).await;
    assert!(in_force("ledger", 4_509) && in_force("intake", 4_434));
    fleet.add_service("ledger", 4_509);
    fleet.add_service("intake", 4_434);
    let changed = fleet.add_service("ledger", 4_600);
    wait_until("all processes have the change", || {
        in_force("ledger", 4_600) && in_force("intake", 4_434)
    })
    .await;
    wait_until("reports show the change in force", || {
        report_of(&fleet, "z1").is_some_and(|it| it.in_force >= changed)
    })
    .await;
    assert_invariants();
}
