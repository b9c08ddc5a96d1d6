//! Real QUIC handshakes through the placing: races between balancers that disagree, and resets for a dead agent.

mod common;

use std::{
    collections::{HashMap, hash_map::Entry},
    net::{Ipv4Addr, SocketAddr, SocketAddrV4},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use camphorwinch_core::{
    member::AgentState,
    object::ServiceId,
    place::{Placement, Placer},
    seal::{CID_LEN, Home, KeyRing},
    snapshot::Snapshot,
};
use quinn::{
    ClientConfig, Connection, ConnectionError, ConnectionId, ConnectionIdGenerator, Endpoint,
    EndpointConfig, ServerConfig, TokioRuntime,
};
use ring::hmac;
use rustls::pki_types::{PrivateKeyDer, PrivatePkcs8KeyDer};
use tokio::{net::UdpSocket, sync::watch, task::JoinHandle, time::timeout};

const NAME: &str = "ledger.test";
const FLOWS: usize = 50;
const TIMEOUT: Duration = Duration::from_secs(10);

fn loopback() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

struct SealedIds {
    ring: KeyRing,
    home: Home,
    next: u32,
}

impl ConnectionIdGenerator for SealedIds {
    fn generate_cid(&mut self) -> ConnectionId {
        self.next += 1;
        let [_, nonce @ ..] = self.next.to_be_bytes();
        ConnectionId::new(&self.ring.seal(self.home, nonce))
    }

    fn cid_len(&self) -> usize {
        CID_LEN
    }

    fn cid_lifetime(&self) -> Option<Duration> {
        None
    }
}

/// An agent's QUIC stack, which counts the connections that get established and echoes streams.
struct Agent {
    endpoint: Endpoint,
    data: SocketAddr,
    counts: Arc<Counts>,
}

#[derive(Default)]
struct Counts {
    started: AtomicUsize,
    established: AtomicUsize,
}

impl Agent {
    fn new(server: ServerConfig) -> Agent {
        let socket = std::net::UdpSocket::bind(loopback()).expect("bind");
        let data = socket.local_addr().expect("an address");
        let SocketAddr::V4(agent) = data else { panic!("IPv4") };
        let home = Home { agent, service: ServiceId::new(common::SERVICE) };
        let reset = hmac::Key::new(hmac::HMAC_SHA256, common::ring().reset_key());
        let mut config = EndpointConfig::new(Arc::new(reset));
        config.cid_generator(move || Box::new(SealedIds { ring: common::ring(), home, next: 0 }));
        let runtime = Arc::new(TokioRuntime);
        let endpoint = Endpoint::new(config, Some(server), socket, runtime).expect("an endpoint");
        let counts = Arc::new(Counts::default());
        tokio::spawn(serve(endpoint.clone(), Arc::clone(&counts)));
        Agent { endpoint, data, counts }
    }

    fn started(&self) -> usize {
        self.counts.started.load(Ordering::Relaxed)
    }

    fn established(&self) -> usize {
        self.counts.established.load(Ordering::Relaxed)
    }
}

async fn serve(endpoint: Endpoint, counts: Arc<Counts>) {
    while let Some(incoming) = endpoint.accept().await {
        counts.started.fetch_add(1, Ordering::Relaxed);
        let counts = Arc::clone(&counts);
        tokio::spawn(async move {
            let Ok(connection) = incoming.await else {
                return;
            };
            counts.established.fetch_add(1, Ordering::Relaxed);
            while let Ok((mut send, mut recv)) = connection.accept_bi().await {
                let request = recv.read_to_end(1_000).await.expect("a whole request");
                send.write_all(&request).await.expect("the caller reads");
                send.finish().expect("the stream is open");
            }
        });
    }
}

/// Balancers that place by different snapshots, and a fabric that gives each datagram to all of them. Datagrams go out
/// without encapsulation, from one socket per caller, so that agents' answers come back through it.
async fn spray(service: UdpSocket, placers: watch::Receiver<Arc<Vec<Placer>>>) {
    let service = Arc::new(service);
    let address = service.local_addr().expect("an address");
    let mut callers: HashMap<SocketAddr, Arc<UdpSocket>> = HashMap::new();
    let mut buffer = vec![0; 2_000];
    loop {
        let (len, caller) = service.recv_from(&mut buffer).await.expect("the service's socket");
        if let Entry::Vacant(entry) = callers.entry(caller) {
            let socket = Arc::new(UdpSocket::bind(loopback()).await.expect("bind"));
            tokio::spawn(back(Arc::clone(&socket), Arc::clone(&service), caller));
            entry.insert(socket);
        }
        let agents: Vec<SocketAddrV4> = {
            let placers = placers.borrow();
            let place = |it: &Placer| it.place(&it.listeners()[&address], caller, &buffer[..len]);
            placers.iter().filter_map(|it| destination(place(it))).collect()
        };
        for agent in agents {
            callers[&caller].send_to(&buffer[..len], agent).await.expect("send");
        }
    }
}

async fn back(socket: Arc<UdpSocket>, service: Arc<UdpSocket>, caller: SocketAddr) {
    let mut buffer = vec![0; 2_000];
    while let Ok((len, _)) = socket.recv_from(&mut buffer).await {
        service.send_to(&buffer[..len], caller).await.expect("send");
    }
}

fn destination(placement: Placement) -> Option<SocketAddrV4> {
    match placement {
        Placement::Owner { home, .. } | Placement::Reset(home) => Some(home.agent),
        Placement::New { candidates, .. } => candidates.as_slice().first().copied(),
        Placement::Drop(_) => None,
    }
}

struct Rig {
    agents: [Agent; 2],
    client: Endpoint,
    address: SocketAddr,
    placers: watch::Sender<Arc<Vec<Placer>>>,
    spray: JoinHandle<()>,
}

impl Rig {
    /// Two agents, and two balancers that each know one of them.
    async fn new() -> Rig {
        let cert = rcgen::generate_simple_self_signed([NAME.to_owned()]).expect("a certificate");
        let key = PrivateKeyDer::Pkcs8(PrivatePkcs8KeyDer::from(cert.signing_key.serialize_der()));
        let chain = vec![cert.cert.der().clone()];
        let server = ServerConfig::with_single_cert(chain, key).expect("a server config");
        let mut roots = rustls::RootCertStore::empty();
        roots.add(cert.cert.der().clone()).expect("a root");
        let trust = ClientConfig::with_root_certificates(Arc::new(roots)).expect("a client config");
        let mut client = Endpoint::client(loopback()).expect("a client");
        client.set_default_client_config(trust);

        let agents = [Agent::new(server.clone()), Agent::new(server)];
        let service = UdpSocket::bind(loopback()).await.expect("bind");
        let address = service.local_addr().expect("an address");
        let each = agents.iter().map(|it| placer(&common::snapshot(address, &[it.data])));
        let (placers, receiver) = watch::channel(Arc::new(each.collect()));
        let spray = tokio::spawn(spray(service, receiver));
        Rig { agents, client, address, placers, spray }
    }

    async fn connect(&self) -> Connection {
        let connecting = self.client.connect(self.address, NAME).expect("a valid name");
        timeout(TIMEOUT, connecting).await.expect("in time").expect("a connection")
    }

    fn established(&self) -> usize {
        self.agents.iter().map(Agent::established).sum()
    }
}

impl Drop for Rig {
    fn drop(&mut self) {
        self.spray.abort();
    }
}

fn placer(snapshot: &Snapshot) -> Placer {
    Placer::new(snapshot, None, 0)
}

async fn echo(connection: &Connection) {
    let (mut send, mut recv) = connection.open_bi().await.expect("a stream");
    send.write_all(b"balance").await.expect("the agent reads");
    send.finish().expect("the stream is open");
    assert_eq!(recv.read_to_end(100).await.expect("an answer"), b"balance");
}

#[tokio::test]
async fn a_handshake_given_to_two_agents_is_established_at_one() {
    let rig = Rig::new().await;
    for round in 1..=FLOWS {
        let connection = rig.connect().await;
        echo(&connection).await;
        assert_eq!(rig.established(), round);
        connection.close(0_u32.into(), b"");
    }
    let both = async {
        while rig.agents.iter().any(|it| it.started() < FLOWS) {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(TIMEOUT, both).await.expect("each agent was given each handshake");
    assert_eq!(rig.established(), FLOWS);
}

#[tokio::test]
async fn flows_of_a_dead_agent_are_reset_at_the_next_packet() {
    let rig = Rig::new().await;
    let connection = rig.connect().await;
    echo(&connection).await;
    let owner = usize::from(rig.agents[1].established() == 1);
    // Dead without a word: the socket goes on, but datagrams no longer reach it.
    let mut snapshot = common::snapshot(rig.address, &[rig.agents[0].data, rig.agents[1].data]);
    let dead = snapshot.agents.get_mut(&format!("ledger-{owner}")).expect("the agent");
    dead.state = AgentState::Down;
    rig.placers.send_replace(Arc::new(vec![placer(&snapshot)]));

    let (mut send, _recv) = connection.open_bi().await.expect("a stream");
    send.write_all(b"anyone there?").await.expect("queued");
    let why = timeout(TIMEOUT, connection.closed()).await.expect("the caller learns in time");
    assert_eq!(why, ConnectionError::Reset);
    rig.agents[owner].endpoint.close(0_u32.into(), b"");
}
