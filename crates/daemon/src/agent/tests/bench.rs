//! Agents with their upstreams in this process, a relay in front of them, and callers.

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
    agent::{Node, Running, Settings, link::Dial},
    config::{AddressMode, FleetPem},
    control::{Accepted, Stream},
    tls::Tls,
};

pub(crate) const SERVICE: &str = "ledger";
const POOL: &str = "ledger";
const PATIENCE: Duration = Duration::from_secs(15);

/// Each bench has loopback addresses of its own.
static NEXT: AtomicU8 = AtomicU8::new(1);

pub(crate) struct Seat {
    pub(crate) node: Arc<Node>,
    pub(crate) upstream: Upstream,
    running: Option<Running>,
    links: Vec<JoinHandle<()>>,
    member: Agent,
}

pub(crate) struct Bench {
    pub(crate) seats: Vec<Seat>,
    snapshot: watch::Sender<Arc<Snapshot>>,
    service: SocketAddr,
    endpoint: Endpoint,
    tls: Tls,
    first: Arc<AtomicUsize>,
    opening_only: Arc<AtomicBool>,
    relay: JoinHandle<()>,
}

impl Drop for Bench {
    fn drop(&mut self) {
        self.relay.abort();
    }
}

fn any(ip: Ipv4Addr) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(ip), 0)
}

fn keys(epoch: u8) -> Keys {
    let key = KeySpec { epoch, secret: [epoch; 32], usage: KeyUse::Seal };
    Keys { reset: [9; 32], keys: vec![key] }
}

impl Bench {
    /// Agents `agent-0`, `agent-1` and so on, all of one service.
    pub(crate) async fn start(agents: usize) -> Bench {
        Bench::with_pools(&vec![POOL; agents]).await
    }

    /// An agent in each of these pools; the service has the first.
    pub(crate) async fn with_pools(pools: &[&str]) -> Bench {
        let ip = Ipv4Addr::new(127, 90, NEXT.fetch_add(1, Ordering::Relaxed), 1);
        let issued = rcgen::generate_simple_self_signed([SERVICE.to_owned()]).expect("certificate");
        let relay = UdpSocket::bind(any(ip)).await.expect("relay");
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
        let mut bench = Bench {
            seats: Vec::new(),
            snapshot: sender,
            service: address,
            endpoint: endpoint(ip, issued.cert.der()),
            tls: fleet(),
            first: Arc::default(),
            opening_only: Arc::default(),
            relay: tokio::spawn(async {}),
        };
        for (at, pool) in pools.iter().enumerate() {
            let seat = bench.seat(ip, at, pool).await;
            snapshot.agents.insert(seat.member.name.clone(), seat.member.clone());
            bench.seats.push(seat);
        }
        bench.relay = tokio::spawn(forward(
            relay,
            bench.snapshot.subscribe(),
            Arc::clone(&bench.first),
            Arc::clone(&bench.opening_only),
        ));
        bench.snapshot.send_replace(Arc::new(snapshot));
        for seat in &bench.seats {
            let mut changed = seat.node.changed();
            while seat.node.state() != AgentState::Ready || seat.node.snapshot().revision == 0 {
                changed.changed().await.expect("the agent lives");
            }
        }
        bench
    }

    async fn seat(&self, ip: Ipv4Addr, at: usize, pool: &str) -> Seat {
        let name = format!("agent-{at}");
        let settings = UpstreamSettings::new(any(ip), any(ip), &name, pool);
        let upstream = Upstream::start(settings, Faults::default()).await.expect("upstream");
        let listener = TcpListener::bind(any(ip)).await.expect("control");
        let node = Node::new(
            Settings {
                name: name.clone(),
                vm: format!("vm-{at}"),
                zone: "zone-a".to_owned(),
                pool: pool.to_owned(),
                data: any(ip),
                upstream: upstream.addr(),
                slots: 7,
                connections: 2_000,
                reply: AddressMode::Own,
                unproven: 16,
            },
            Arc::new(Wire { tls: self.tls.clone(), name: name.clone() }),
        )
        .expect("agent");
        let control = listener.local_addr().expect("control address");
        let place = Place {
            vm: format!("vm-{at}"),
            zone: "zone-a".to_owned(),
            region: "default".to_owned(),
        };
        let member = Agent {
            name,
            place,
            pool: pool.to_owned(),
            data: node.home.into(),
            control,
            weight: 1.0,
            slots: 7,
            connections: 2_000,
            state: AgentState::Ready,
        };
        let (applied, _) = watch::channel(0);
        let running = Running::start(Arc::clone(&node), self.snapshot.subscribe(), applied);
        let (sender, accepted) = mpsc::channel(16);
        let links = vec![
            tokio::spawn(listen(listener, self.tls.clone(), sender)),
            tokio::spawn(running.links(Some(accepted))),
        ];
        Seat { node, upstream, running: Some(running), links, member }
    }

    /// Changes the configuration or the members.
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
    pub(crate) fn prefer(&self, at: usize) {
        self.first.store(at, Ordering::Relaxed);
    }

    /// Drops, while it is set, all that callers send after the packets that open a flow.
    pub(crate) fn pass_opening_only(&self, set: bool) {
        self.opening_only.store(set, Ordering::Relaxed);
    }

    /// How often requests under this idempotency key were started, over all upstreams.
    pub(crate) fn starts(&self, key: &str) -> u64 {
        let records = self.seats.iter().map(|it| it.upstream.record());
        records.filter_map(|it| it.keys.get(key).map(|it| it.started)).sum()
    }

    /// Ends the relay.
    pub(crate) fn cut_callers(&self) {
        self.relay.abort();
    }

    /// Stops an agent at once.
    pub(crate) async fn kill(&mut self, at: usize) {
        let running = self.seats[at].running.take().expect("the agent runs");
        running.stop().await;
        for link in self.seats[at].links.drain(..) {
            link.abort();
            let _ = link.await;
        }
    }

    /// Tells everyone that an agent is down.
    pub(crate) fn down(&self, at: usize) {
        let name = self.seats[at].member.name.clone();
        self.change(|it| {
            it.agents.get_mut(&name).expect("the agent is a member").state = AgentState::Down;
        });
    }

    /// Makes a new key seal; the former ones still open.
    pub(crate) fn rotate(&self, epoch: u8) {
        self.change(|it| {
            let keys = it.keys.as_mut().expect("there are keys");
            for key in &mut keys.keys {
                key.usage = KeyUse::Open;
            }
            let secret = [epoch; 32];
            keys.keys.push(KeySpec { epoch, secret, usage: KeyUse::Seal });
        });
    }

    /// Gives the service another pool; waits until the agents know.
    pub(crate) async fn swap_pool(&self, pool: &str) {
        self.change(|it| {
            let entry = it.services.get_mut(&ServiceId::new(SERVICE)).expect("the service");
            entry.spec.pool = pool.to_owned();
        });
        let revision = self.snapshot.borrow().revision;
        for seat in &self.seats {
            let mut changed = seat.node.changed();
            while seat.node.snapshot().revision < revision {
                changed.changed().await.expect("the agent lives");
            }
        }
    }

    /// Plans a drain, and waits until the agent knows.
    pub(crate) async fn drain(&self, at: usize) {
        let name = self.seats[at].member.name.clone();
        let change = Change { action: Action::Drain, target: Target::Upstream(name) };
        self.change(|it| {
            it.changes.insert("drain".to_owned(), change);
        });
        let node = &self.seats[at].node;
        let mut changed = node.changed();
        while !node.drains() {
            changed.changed().await.expect("the agent lives");
        }
    }

    /// Sets faults of an upstream.
    pub(crate) async fn faults(&self, at: usize, json: &str) {
        let admin = self.seats[at].upstream.admin();
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

    /// Stops an agent gracefully; whether all its flows ended.
    pub(crate) async fn stop(&mut self, at: usize) -> bool {
        let mut running = self.seats[at].running.take().expect("the agent runs");
        let done = running.drain(PATIENCE).await;
        running.stop().await;
        done
    }

    /// Opens a flow.
    pub(crate) async fn open(&self) -> Flow {
        self.try_open().await.expect("the flow is accepted")
    }

    /// Opens a flow, which may be refused.
    pub(crate) async fn try_open(&self) -> Result<Flow, quinn::ConnectionError> {
        let conn = self.endpoint.connect(self.service, SERVICE).expect("connect").await?;
        let (mut driver, sender) =
            h3::client::new(h3_quinn::Connection::new(conn.clone())).await.expect("h3");
        tokio::spawn(async move { driver.wait_idle().await });
        Ok(Flow { conn, sender })
    }

    /// Violations of any invariant in this process.
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
    let mut endpoint = Endpoint::client(any(ip)).expect("endpoint");
    endpoint.set_default_client_config(quinn::ClientConfig::new(Arc::new(crypto)));
    endpoint
}

/// TLS of a fleet that trusts itself.
fn fleet() -> Tls {
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

/// Links between the agents of the bench.
struct Wire {
    tls: Tls,
    name: String,
}

impl Dial for Wire {
    fn dial<'a>(
        &'a self,
        _peer: &'a str,
        address: SocketAddr,
    ) -> BoxFuture<'a, anyhow::Result<Stream>> {
        Box::pin(async move {
            let stream = self.tls.connect(TcpStream::connect(address).await?).await?;
            let mut frames = frame::frames(stream);
            frames.send(Bytes::copy_from_slice(self.name.as_bytes())).await?;
            Ok(frames)
        })
    }
}

async fn listen(listener: TcpListener, tls: Tls, accepted: mpsc::Sender<Accepted>) {
    while let Ok((stream, _)) = listener.accept().await {
        // Somebody may only have looked whether the agent listens.
        let Ok(stream) = tls.accept(stream).await else {
            continue;
        };
        let mut stream = frame::frames(stream);
        let hello = stream.next().await.expect("greeting").expect("greeting");
        let peer = String::from_utf8_lossy(&hello).into_owned();
        if accepted.send(Accepted { peer, stream }).await.is_err() {
            return;
        }
    }
}

/// Acts as fabric and balancer: one socket towards callers; answers of agents are passed back through it.
async fn forward(
    callers: UdpSocket,
    snapshot: watch::Receiver<Arc<Snapshot>>,
    first: Arc<AtomicUsize>,
    opening_only: Arc<AtomicBool>,
) {
    let local = callers.local_addr().expect("address");
    let callers = Arc::new(callers);
    // One socket per caller stands for the caller towards the agents.
    let faces: RwLock<BTreeMap<SocketAddr, Arc<UdpSocket>>> = RwLock::default();
    let mut buffer = vec![0; 2_048];
    let mut out = Vec::new();
    loop {
        let Ok((len, caller)) = callers.recv_from(&mut buffer).await else {
            continue;
        };
        let known = faces.read().get(&caller).cloned();
        let face = match known {
            Some(it) => it,
            None => {
                let face = UdpSocket::bind((local.ip(), 0)).await.expect("face");
                let face = Arc::new(face);
                faces.write().insert(caller, Arc::clone(&face));
                tokio::spawn(back(Arc::clone(&callers), Arc::clone(&face), caller));
                face
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
            caller: face.local_addr().expect("address"),
            candidates: Candidates::NONE,
        };
        let to = match ring.open(cid) {
            Some(_) if opening_only.load(Ordering::Relaxed) => continue,
            Some(home) => {
                let down = |it: &&Agent| it.data == home.agent.into() && !it.state.answers();
                let dead = now.agents.values().any(|it| down(&it));
                let live = now.agents.values().find(|it| it.state.answers());
                match live.map(|it| it.data) {
                    Some(SocketAddr::V4(data)) if dead => data,
                    _ => home.agent,
                }
            }
            None => {
                let first = first.load(Ordering::Relaxed);
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

async fn back(callers: Arc<UdpSocket>, face: Arc<UdpSocket>, caller: SocketAddr) {
    let mut buffer = vec![0; 2_048];
    while let Ok((len, _)) = face.recv_from(&mut buffer).await {
        let _ = callers.send_to(&buffer[..len], caller).await;
    }
}

/// A request.
pub(crate) struct Call {
    request: http::request::Builder,
    body: Vec<u8>,
}

impl Call {
    pub(crate) fn new(method: Method, path: &str) -> Call {
        let uri = format!("https://{SERVICE}{path}");
        Call { request: Request::builder().method(method).uri(uri), body: Vec::new() }
    }

    pub(crate) fn with_body(mut self, body: Vec<u8>) -> Call {
        self.body = body;
        self
    }

    pub(crate) fn with_header(mut self, name: &str, value: &str) -> Call {
        self.request = self.request.header(name, value);
        self
    }
}

/// An answer, or how it broke.
#[derive(Debug)]
pub(crate) struct Reply {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: BytesMut,
    pub(crate) broken: Option<String>,
}

impl Reply {
    fn none() -> Reply {
        Reply {
            status: StatusCode::IM_A_TEAPOT,
            headers: HeaderMap::new(),
            body: BytesMut::new(),
            broken: None,
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
pub(crate) struct Flow {
    pub(crate) conn: quinn::Connection,
    sender: SendRequest<OpenStreams, Bytes>,
}

impl Flow {
    /// Sends a request and reads the whole answer.
    pub(crate) fn call(&self, call: Call) -> impl Future<Output = Reply> + Send + 'static {
        let sender = self.sender.clone();
        async move {
            match time::timeout(PATIENCE, exchange(sender, call)).await {
                Ok(it) => it,
                Err(_) => Reply { broken: Some("late".to_owned()), ..Reply::none() },
            }
        }
    }

    /// Whether the agent closed the flow without an error.
    pub(crate) async fn closed_cleanly(&self) -> bool {
        match time::timeout(PATIENCE, self.conn.closed()).await {
            Ok(quinn::ConnectionError::ApplicationClosed(close)) => {
                close.error_code.into_inner() == Code::H3_NO_ERROR.value()
            }
            _ => false,
        }
    }
}

async fn exchange(mut sender: SendRequest<OpenStreams, Bytes>, call: Call) -> Reply {
    let mut reply = Reply::none();
    if let Err(e) = attempt(&mut sender, call, &mut reply).await {
        reply.broken = Some(match e {
            StreamError::RemoteTerminate { code } => format!("{code}"),
            other => format!("{other}"),
        });
    }
    reply
}

async fn attempt(
    sender: &mut SendRequest<OpenStreams, Bytes>,
    call: Call,
    reply: &mut Reply,
) -> Result<(), StreamError> {
    let request = call.request.body(()).expect("request");
    let mut stream = sender.send_request(request).await?;
    let sent = async {
        for part in call.body.chunks(50_000) {
            stream.send_data(Bytes::copy_from_slice(part)).await?;
        }
        stream.finish().await
    };
    match sent.await {
        // The agent has answered before it had the whole request and needs no more of it: the answer counts (RFC 9114, 4.1).
        Ok(()) | Err(StreamError::RemoteTerminate { code: Code::H3_NO_ERROR }) => {}
        Err(e) => return Err(e),
    }
    let head = stream.recv_response().await?;
    reply.status = head.status();
    reply.headers = head.headers().clone();
    while let Some(mut part) = stream.recv_data().await? {
        while part.has_remaining() {
            let len = part.chunk().len();
            reply.body.extend_from_slice(part.chunk());
            part.advance(len);
        }
    }
    Ok(())
}
