//! Test harness: agents with their upstreams in one process, behind a relay that acts as the balancer, and callers.

use std::{
    collections::BTreeMap,
    net::{IpAddr, Ipv4Addr, SocketAddr, SocketAddrV4},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU8, AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::{Buf, Bytes, BytesMut};
use camphorwinch_core::{
    candidates::Candidates,
    invariant::{self, Invariant},
    member::{Agent, AgentState, Place},
    object::{
        Action, Certificate, Change, KeySpec, KeyUse, Keys, Policy, Service, ServiceId, Target,
    },
    seal::KeyRing,
    snapshot::{ServiceEntry, Snapshot},
};
use camphorwinch_standin::upstream::{Faults, Settings as UpstreamSettings, Upstream};
use camphorwinch_wire::{
    encap::{self, Header},
    frame,
};
use futures::{SinkExt, StreamExt, future::BoxFuture};
use h3::{
    client::SendRequest,
    error::{Code, StreamError},
};
use h3_quinn::OpenStreams;
use http::{HeaderMap, Method, Request, StatusCode};
use parking_lot::RwLock;
use quinn::Endpoint;
use tokio::{
    net::{TcpListener, TcpStream, UdpSocket},
    sync::{mpsc, watch},
    task::JoinHandle,
    time,
};

use crate::{
    agent::{AgentTasks, Node, Settings, link::Dial},
    config::{AddressMode, FleetPem},
    control::{AcceptedLink, FramedStream},
    tls::Tls,
};

pub(crate) const SERVICE: &str = "ledger";
const POOL: &str = "ledger";
const CALLER_TIMEOUT: Duration = Duration::from_secs(15);

/// Gives each harness its own loopback address.
static NEXT_ADDRESS: AtomicU8 = AtomicU8::new(1);

/// An agent with its upstream.
pub(crate) struct TestAgent {
    pub(crate) node: Arc<Node>,
    pub(crate) upstream: Upstream,
    running: Option<AgentTasks>,
    links: Vec<JoinHandle<()>>,
    member: Agent,
}

/// Agents, the relay and an endpoint for callers.
pub(crate) struct Harness {
    pub(crate) agents: Vec<TestAgent>,
    snapshot: watch::Sender<Arc<Snapshot>>,
    service: SocketAddr,
    endpoint: Endpoint,
    tls: Tls,
    first_candidate: Arc<AtomicUsize>,
    drop_established: Arc<AtomicBool>,
    relay: JoinHandle<()>,
}

impl Drop for Harness {
    fn drop(&mut self) {
        self.relay.abort();
    }
}

fn any_port(ip: Ipv4Addr) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(ip), 0)
}

fn keys(epoch: u8) -> Keys {
    let key = KeySpec { epoch, secret: [epoch; 32], usage: KeyUse::Seal };
    Keys { reset: [9; 32], keys: vec![key] }
}

impl Harness {
    /// Starts the agents `agent-0`, `agent-1` and so on in the pool of the service.
    pub(crate) async fn start(agents: usize) -> Harness {
        Harness::with_pools(&vec![POOL; agents]).await
    }

    /// Starts an agent in each of these pools; the service uses the first pool.
    pub(crate) async fn with_pools(pools: &[&str]) -> Harness {
        let ip = Ipv4Addr::new(127, 90, NEXT_ADDRESS.fetch_add(1, Ordering::Relaxed), 1);
        let issued = rcgen::generate_simple_self_signed([SERVICE.to_owned()]).expect("certificate");
        let relay = UdpSocket::bind(any_port(ip)).await.expect("relay");
        let address = relay.local_addr().expect("relay address");
        let service = Service {
            address,
            pool: pools[0].to_owned(),
            certificate: "cert".to_owned(),
            policy: Policy::Steady,
            weights: BTreeMap::new(),
            key_window_s: 600,
            retry_budget: 0.1,
            connections: 2_000,
        };
        let entry = ServiceEntry { name: SERVICE.to_owned(), version: 1, spec: service };
        let mut snapshot = Snapshot { revision: 1, keys: Some(keys(1)), ..Snapshot::default() };
        snapshot.services.insert(ServiceId::new(SERVICE), entry);
        let certificate = Certificate {
            chain_pem: issued.cert.pem(),
            key_pem: issued.signing_key.serialize_pem(),
        };
        snapshot.certificates.insert("cert".to_owned(), certificate);
        let (sender, _) = watch::channel(Arc::new(Snapshot::default()));
        let mut harness = Harness {
            agents: Vec::new(),
            snapshot: sender,
            service: address,
            endpoint: endpoint(ip, issued.cert.der()),
            tls: fleet_tls(),
            first_candidate: Arc::default(),
            drop_established: Arc::default(),
            relay: tokio::spawn(async {}),
        };
        for (index, pool) in pools.iter().enumerate() {
            let agent = harness.start_agent(ip, index, pool).await;
            snapshot.agents.insert(agent.member.name.clone(), agent.member.clone());
            harness.agents.push(agent);
        }
        harness.relay = tokio::spawn(run_relay(
            relay,
            harness.snapshot.subscribe(),
            Arc::clone(&harness.first_candidate),
            Arc::clone(&harness.drop_established),
        ));
        harness.snapshot.send_replace(Arc::new(snapshot));
        for agent in &harness.agents {
            let mut changed = agent.node.subscribe();
            while agent.node.state() != AgentState::Ready || agent.node.snapshot().revision == 0 {
                changed.changed().await.expect("the agent is running");
            }
        }
        harness
    }

    async fn start_agent(&self, ip: Ipv4Addr, index: usize, pool: &str) -> TestAgent {
        let name = format!("agent-{index}");
        let settings = UpstreamSettings::new(any_port(ip), any_port(ip), &name, pool);
        let upstream = Upstream::start(settings, Faults::default()).await.expect("upstream");
        let listener = TcpListener::bind(any_port(ip)).await.expect("control");
        let node = Node::new(
            Settings {
                name: name.clone(),
                vm: format!("vm-{index}"),
                zone: "zone-a".to_owned(),
                pool: pool.to_owned(),
                data: any_port(ip),
                upstream: upstream.addr(),
                slots: 7,
                connections: 2_000,
                reply: AddressMode::Own,
                max_unvalidated_handshakes: 16,
            },
            Arc::new(TestDial { tls: self.tls.clone(), name: name.clone() }),
        )
        .expect("agent");
        let control = listener.local_addr().expect("control address");
        let place = Place {
            vm: format!("vm-{index}"),
            zone: "zone-a".to_owned(),
            region: "default".to_owned(),
        };
        let member = Agent {
            name,
            place,
            pool: pool.to_owned(),
            data: node.data_address.into(),
            control,
            weight: 1.0,
            slots: 7,
            connections: 2_000,
            state: AgentState::Ready,
        };
        let (applied, _) = watch::channel(0);
        let running = AgentTasks::start(Arc::clone(&node), self.snapshot.subscribe(), applied);
        let (sender, accepted) = mpsc::channel(16);
        let links = vec![
            tokio::spawn(accept_links(listener, self.tls.clone(), sender)),
            tokio::spawn(running.serve_links(Some(accepted))),
        ];
        TestAgent { node, upstream, running: Some(running), links, member }
    }

    /// Changes the configuration or the membership.
    pub(crate) fn change<F>(&self, change: F)
    where
        F: FnOnce(&mut Snapshot),
    {
        let mut snapshot = Snapshot::clone(&self.snapshot.borrow());
        snapshot.revision += 1;
        change(&mut snapshot);
        self.snapshot.send_replace(Arc::new(snapshot));
    }

    /// Makes the agent the first candidate of new flows.
    pub(crate) fn prefer_agent(&self, index: usize) {
        self.first_candidate.store(index, Ordering::Relaxed);
    }

    /// While enabled, the relay drops all packets that callers send after the first flight of a handshake.
    pub(crate) fn drop_established_packets(&self, enabled: bool) {
        self.drop_established.store(enabled, Ordering::Relaxed);
    }

    /// Number of requests with this idempotency key that all upstreams started.
    pub(crate) fn started_requests(&self, key: &str) -> u64 {
        let records = self.agents.iter().map(|it| it.upstream.record());
        records.filter_map(|it| it.keys.get(key).map(|it| it.started)).sum()
    }

    /// Stops the relay, so that no packet passes between callers and agents.
    pub(crate) fn stop_relay(&self) {
        self.relay.abort();
    }

    /// Stops an agent without a drain.
    pub(crate) async fn kill(&mut self, index: usize) {
        let running = self.agents[index].running.take().expect("the agent is running");
        running.stop().await;
        for link in self.agents[index].links.drain(..) {
            link.abort();
            let _ = link.await;
        }
    }

    /// Reports an agent as down to all agents and the relay.
    pub(crate) fn mark_down(&self, index: usize) {
        let name = self.agents[index].member.name.clone();
        self.change(|it| {
            it.agents.get_mut(&name).expect("the agent is a member").state = AgentState::Down;
        });
    }

    /// Adds a key that encrypts new connection IDs; the earlier keys still decrypt.
    pub(crate) fn rotate_key(&self, epoch: u8) {
        self.change(|it| {
            let keys = it.keys.as_mut().expect("there are keys");
            for key in &mut keys.keys {
                key.usage = KeyUse::Open;
            }
            let secret = [epoch; 32];
            keys.keys.push(KeySpec { epoch, secret, usage: KeyUse::Seal });
        });
    }

    /// Changes the pool of the service and waits until the agents have applied it.
    pub(crate) async fn change_pool(&self, pool: &str) {
        self.change(|it| {
            let entry = it.services.get_mut(&ServiceId::new(SERVICE)).expect("the service");
            entry.spec.pool = pool.to_owned();
        });
        let revision = self.snapshot.borrow().revision;
        for agent in &self.agents {
            let mut changed = agent.node.subscribe();
            while agent.node.snapshot().revision < revision {
                changed.changed().await.expect("the agent is running");
            }
        }
    }

    /// Changes the pool of the service at the agents, but not yet at their services.
    pub(crate) fn put_pool_in_force(&self, pool: &str) {
        let mut snapshot = Snapshot::clone(&self.snapshot.borrow());
        snapshot.revision += 1;
        let entry = snapshot.services.get_mut(&ServiceId::new(SERVICE)).expect("the service");
        entry.spec.pool = pool.to_owned();
        let snapshot = Arc::new(snapshot);
        for agent in &self.agents {
            agent.node.put_in_force(&snapshot);
        }
    }

    /// Configures a drain of an agent and waits until the agent has applied it.
    pub(crate) async fn drain(&self, index: usize) {
        let name = self.agents[index].member.name.clone();
        let change = Change { action: Action::Drain, target: Target::Upstream(name) };
        self.change(|it| {
            it.changes.insert("drain".to_owned(), change);
        });
        let node = &self.agents[index].node;
        let mut changed = node.subscribe();
        while !node.is_draining() {
            changed.changed().await.expect("the agent is running");
        }
    }

    /// Configures the faults that an upstream injects.
    pub(crate) async fn set_faults(&self, index: usize, json: &str) {
        let admin = self.agents[index].upstream.admin();
        let stream = tokio::net::TcpStream::connect(admin).await.expect("admin");
        let io = hyper_util::rt::TokioIo::new(stream);
        let (mut sender, conn) = hyper::client::conn::http1::handshake(io).await.expect("admin");
        tokio::spawn(conn);
        let request = Request::put("/faults")
            .header("host", "admin")
            .body(http_body_util::Full::new(Bytes::copy_from_slice(json.as_bytes())))
            .expect("request");
        let response = sender.send_request(request).await.expect("admin");
        assert_eq!(response.status(), StatusCode::OK);
    }

    /// Stops an agent gracefully. Returns whether all its flows and requests ended in time.
    pub(crate) async fn stop_gracefully(&mut self, index: usize) -> bool {
        let mut running = self.agents[index].running.take().expect("the agent is running");
        let done = running.drain(CALLER_TIMEOUT).await;
        running.stop().await;
        done
    }

    /// Opens a flow.
    pub(crate) async fn open_flow(&self) -> TestFlow {
        self.try_open_flow().await.expect("the flow is accepted")
    }

    /// Opens a flow; fails if it is rejected.
    pub(crate) async fn try_open_flow(&self) -> Result<TestFlow, quinn::ConnectionError> {
        let conn = self.endpoint.connect(self.service, SERVICE).expect("connect").await?;
        let (mut driver, sender) =
            h3::client::new(h3_quinn::Connection::new(conn.clone())).await.expect("h3");
        tokio::spawn(async move { driver.wait_idle().await });
        Ok(TestFlow { conn, sender })
    }

    /// Number of violated invariants in this process.
    pub(crate) fn invariant_failures(&self) -> u64 {
        Invariant::ALL.iter().map(|&it| invariant::violations(it)).sum()
    }
}

fn endpoint(ip: Ipv4Addr, certificate: &rustls_pki_types::CertificateDer<'_>) -> Endpoint {
    let mut roots = rustls::RootCertStore::empty();
    roots.add(certificate.clone().into_owned()).expect("certificate");
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let mut tls = rustls::ClientConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .expect("versions")
        .with_root_certificates(roots)
        .with_no_client_auth();
    tls.alpn_protocols = vec![b"h3".to_vec()];
    let crypto = quinn::crypto::rustls::QuicClientConfig::try_from(tls).expect("tls");
    let mut endpoint = Endpoint::client(any_port(ip)).expect("endpoint");
    endpoint.set_default_client_config(quinn::ClientConfig::new(Arc::new(crypto)));
    endpoint
}

/// TLS with a new fleet certificate and its CA.
fn fleet_tls() -> Tls {
    let key = rcgen::KeyPair::generate().expect("key");
    let mut params =
        rcgen::CertificateParams::new(vec!["fleet.camphorwinch".to_owned()]).expect("params");
    params.is_ca = rcgen::IsCa::Ca(rcgen::BasicConstraints::Unconstrained);
    let ca = params.self_signed(&key).expect("ca");
    let issuer = rcgen::Issuer::new(params, key);
    let own = rcgen::KeyPair::generate().expect("key");
    let params =
        rcgen::CertificateParams::new(vec!["fleet.camphorwinch".to_owned()]).expect("params");
    let cert = params.signed_by(&own, &issuer).expect("certificate");
    let pem = FleetPem { ca: ca.pem(), cert: cert.pem(), key: own.serialize_pem() };
    Tls::new(&pem).expect("tls")
}

/// Opens links between the agents of the harness.
struct TestDial {
    tls: Tls,
    name: String,
}

impl Dial for TestDial {
    fn dial<'a>(
        &'a self,
        _peer: &'a str,
        address: SocketAddr,
    ) -> BoxFuture<'a, anyhow::Result<FramedStream>> {
        Box::pin(async move {
            let stream = self.tls.connect(TcpStream::connect(address).await?).await?;
            let mut frames = frame::frames(stream);
            frames.send(Bytes::copy_from_slice(self.name.as_bytes())).await?;
            Ok(frames)
        })
    }
}

async fn accept_links(listener: TcpListener, tls: Tls, accepted: mpsc::Sender<AcceptedLink>) {
    while let Ok((stream, _)) = listener.accept().await {
        // The connection may only have checked whether the agent listens.
        let Ok(stream) = tls.accept(stream).await else {
            continue;
        };
        let mut stream = frame::frames(stream);
        let hello = stream.next().await.expect("greeting").expect("greeting");
        let peer = String::from_utf8_lossy(&hello).into_owned();
        if accepted.send(AcceptedLink { peer, stream }).await.is_err() {
            return;
        }
    }
}

/// Acts as the balancer: encapsulates the packets of callers, and sends back to them what agents send.
async fn run_relay(
    callers: UdpSocket,
    snapshot: watch::Receiver<Arc<Snapshot>>,
    first_candidate: Arc<AtomicUsize>,
    drop_established: Arc<AtomicBool>,
) {
    let local = callers.local_addr().expect("address");
    let callers = Arc::new(callers);
    // Agents see each caller under the address of its own relay socket.
    let caller_sockets: RwLock<BTreeMap<SocketAddr, Arc<UdpSocket>>> = RwLock::default();
    let mut buffer = vec![0; 2_048];
    let mut out = Vec::new();
    loop {
        let Ok((len, caller)) = callers.recv_from(&mut buffer).await else {
            continue;
        };
        let known = caller_sockets.read().get(&caller).cloned();
        let socket = match known {
            Some(it) => it,
            None => {
                let socket = UdpSocket::bind((local.ip(), 0)).await.expect("caller socket");
                let socket = Arc::new(socket);
                caller_sockets.write().insert(caller, Arc::clone(&socket));
                tokio::spawn(send_back(Arc::clone(&callers), Arc::clone(&socket), caller));
                socket
            }
        };
        let now = Arc::clone(&snapshot.borrow());
        let Some(ring) = now.keys.as_ref().and_then(KeyRing::new) else {
            continue;
        };
        let payload = &buffer[..len];
        let cid = if payload[0] & 0x80 == 0 {
            &payload[1..21]
        } else {
            &payload[6..6 + usize::from(payload[5])]
        };
        let mut header = Header {
            hop: 0,
            service: ServiceId::new(SERVICE),
            caller: socket.local_addr().expect("address"),
            candidates: Candidates::NONE,
        };
        let to = match ring.open(cid) {
            Some(_) if drop_established.load(Ordering::Relaxed) => continue,
            Some(owner) => {
                let down = |it: &&Agent| it.data == owner.agent.into() && !it.state.is_alive();
                let is_down = now.agents.values().any(|it| down(&it));
                let live = now.agents.values().find(|it| it.state.is_alive());
                match live.map(|it| it.data) {
                    Some(SocketAddr::V4(data)) if is_down => data,
                    _ => owner.agent,
                }
            }
            None => {
                let first = first_candidate.load(Ordering::Relaxed);
                for agent in now.agents.values().skip(first) {
                    let SocketAddr::V4(data) = agent.data else {
                        continue;
                    };
                    header.candidates.push(data);
                }
                header.candidates.as_slice()[0]
            }
        };
        out.clear();
        encap::encode(&header, &ring, payload, &mut out);
        let _ = callers.send_to(&out, SocketAddrV4::new(*to.ip(), to.port())).await;
    }
}

async fn send_back(callers: Arc<UdpSocket>, socket: Arc<UdpSocket>, caller: SocketAddr) {
    let mut buffer = vec![0; 2_048];
    while let Ok((len, _)) = socket.recv_from(&mut buffer).await {
        let _ = callers.send_to(&buffer[..len], caller).await;
    }
}

/// A request of a caller.
pub(crate) struct TestRequest {
    head: http::request::Builder,
    body: Vec<u8>,
}

impl TestRequest {
    pub(crate) fn new(method: Method, path: &str) -> TestRequest {
        let uri = format!("https://{SERVICE}{path}");
        TestRequest { head: Request::builder().method(method).uri(uri), body: Vec::new() }
    }

    pub(crate) fn with_body(mut self, body: Vec<u8>) -> TestRequest {
        self.body = body;
        self
    }

    pub(crate) fn with_header(mut self, name: &str, value: &str) -> TestRequest {
        self.head = self.head.header(name, value);
        self
    }
}

/// A response, or the error that ended it.
#[derive(Debug)]
pub(crate) struct TestResponse {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: BytesMut,
    pub(crate) error: Option<String>,
}

impl TestResponse {
    fn empty() -> TestResponse {
        TestResponse {
            status: StatusCode::IM_A_TEAPOT,
            headers: HeaderMap::new(),
            body: BytesMut::new(),
            error: None,
        }
    }

    pub(crate) fn header(&self, name: &str) -> &str {
        self.headers.get(name).and_then(|it| it.to_str().ok()).unwrap_or_default()
    }

    pub(crate) fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// A flow of a caller.
pub(crate) struct TestFlow {
    pub(crate) conn: quinn::Connection,
    sender: SendRequest<OpenStreams, Bytes>,
}

impl TestFlow {
    /// Sends a request and reads the complete response.
    pub(crate) fn send(
        &self,
        request: TestRequest,
    ) -> impl Future<Output = TestResponse> + Send + 'static {
        let sender = self.sender.clone();
        async move {
            match time::timeout(CALLER_TIMEOUT, exchange(sender, request)).await {
                Ok(it) => it,
                Err(_) => TestResponse { error: Some("late".to_owned()), ..TestResponse::empty() },
            }
        }
    }

    /// Whether the agent closed the flow without an error.
    pub(crate) async fn closed_cleanly(&self) -> bool {
        match time::timeout(CALLER_TIMEOUT, self.conn.closed()).await {
            Ok(quinn::ConnectionError::ApplicationClosed(close)) => {
                close.error_code.into_inner() == Code::H3_NO_ERROR.value()
            }
            _ => false,
        }
    }
}

async fn exchange(
    mut sender: SendRequest<OpenStreams, Bytes>,
    request: TestRequest,
) -> TestResponse {
    let mut response = TestResponse::empty();
    if let Err(e) = attempt(&mut sender, request, &mut response).await {
        response.error = Some(match e {
            StreamError::RemoteTerminate { code } => format!("{code}"),
            other => format!("{other}"),
        });
    }
    response
}

async fn attempt(
    sender: &mut SendRequest<OpenStreams, Bytes>,
    request: TestRequest,
    response: &mut TestResponse,
) -> Result<(), StreamError> {
    let head = request.head.body(()).expect("request");
    let mut stream = sender.send_request(head).await?;
    let sent = async {
        for part in request.body.chunks(50_000) {
            stream.send_data(Bytes::copy_from_slice(part)).await?;
        }
        stream.finish().await
    };
    match sent.await {
        // The agent responded before it received the complete request, which is allowed (RFC 9114, 4.1).
        Ok(()) | Err(StreamError::RemoteTerminate { code: Code::H3_NO_ERROR }) => {}
        Err(e) => return Err(e),
    }
    let response_head = stream.recv_response().await?;
    response.status = response_head.status();
    response.headers = response_head.headers().clone();
    while let Some(mut part) = stream.recv_data().await? {
        while part.has_remaining() {
            let len = part.chunk().len();
            response.body.extend_from_slice(part.chunk());
            part.advance(len);
        }
    }
    Ok(())
}
