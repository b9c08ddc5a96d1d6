//! QUIC flows through the placer: balancers with different snapshots, and resets of flows of an agent that is down.

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
    seal::{CID_LEN, FlowOwner, KeyRing},
    snapshot::Snapshot,
};
use quinn::{
    ClientConfig, Connection, ConnectionError, ConnectionId, ConnectionIdGenerator, Endpoint,
    EndpointConfig, ServerConfig, TokioRuntime,
};
use ring::hmac;
use rustls::pki_types::{PrivateKeyDer, PrivatePkcs8KeyDer};
use tokio::{net::UdpSocket, sync::watch, task::JoinHandle, time::timeout};

const SERVER_NAME: &str = "ledger.test";
const FLOWS: usize = 50;
const TIMEOUT: Duration = Duration::from_secs(10);

fn loopback() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

struct SealedIdGenerator {
    ring: KeyRing,
    owner: FlowOwner,
    counter: u32,
}

impl ConnectionIdGenerator for SealedIdGenerator {
    fn generate_cid(&mut self) -> ConnectionId {
        self.counter += 1;
        let [_, nonce @ ..] = self.counter.to_be_bytes();
        ConnectionId::new(&self.ring.seal(self.owner, nonce))
    }

    fn cid_len(&self) -> usize {
        CID_LEN
    }

    fn cid_lifetime(&self) -> Option<Duration> {
        None
    }
}

/// QUIC server of an agent that counts its handshakes and echoes streams.
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
        let data = socket.local_addr().expect("local address");
        let SocketAddr::V4(agent) = data else { panic!("not an IPv4 address") };
        let owner = FlowOwner { agent, service: ServiceId::new(common::SERVICE) };
        let reset = hmac::Key::new(hmac::HMAC_SHA256, common::ring().reset_key());
        let mut config = EndpointConfig::new(Arc::new(reset));
        config.cid_generator(move || {
            Box::new(SealedIdGenerator { ring: common::ring(), owner, counter: 0 })
        });
        let runtime = Arc::new(TokioRuntime);
        let endpoint = Endpoint::new(config, Some(server), socket, runtime)
            .expect("create the server endpoint");
        let counts = Arc::new(Counts::default());
        tokio::spawn(run_echo_server(endpoint.clone(), Arc::clone(&counts)));
        Agent { endpoint, data, counts }
    }

    fn started(&self) -> usize {
        self.counts.started.load(Ordering::Relaxed)
    }

    fn established(&self) -> usize {
        self.counts.established.load(Ordering::Relaxed)
    }
}

async fn run_echo_server(endpoint: Endpoint, counts: Arc<Counts>) {
    while let Some(incoming) = endpoint.accept().await {
        counts.started.fetch_add(1, Ordering::Relaxed);
        let counts = Arc::clone(&counts);
        tokio::spawn(async move {
            let Ok(connection) = incoming.await else {
                return;
            };
            counts.established.fetch_add(1, Ordering::Relaxed);
            while let Ok((mut send, mut recv)) = connection.accept_bi().await {
                let request = recv.read_to_end(1_000).await.expect("read the request");
                send.write_all(&request).await.expect("send the response");
                send.finish().expect("the stream is open");
            }
        });
    }
}

/// Passes each datagram to all balancers, which place by different snapshots. Datagrams are forwarded without
/// encapsulation from one socket per caller, which also receives the agents' responses.
async fn forward_to_all(service: UdpSocket, placers: watch::Receiver<Arc<Vec<Placer>>>) {
    let service = Arc::new(service);
    let address = service.local_addr().expect("local address");
    let mut callers: HashMap<SocketAddr, Arc<UdpSocket>> = HashMap::new();
    let mut buffer = vec![0; 2_000];
    loop {
        let (len, caller) =
            service.recv_from(&mut buffer).await.expect("receive on the service socket");
        if let Entry::Vacant(entry) = callers.entry(caller) {
            let socket = Arc::new(UdpSocket::bind(loopback()).await.expect("bind"));
            tokio::spawn(forward_responses(Arc::clone(&socket), Arc::clone(&service), caller));
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

async fn forward_responses(socket: Arc<UdpSocket>, service: Arc<UdpSocket>, caller: SocketAddr) {
    let mut buffer = vec![0; 2_000];
    while let Ok((len, _)) = socket.recv_from(&mut buffer).await {
        service.send_to(&buffer[..len], caller).await.expect("send");
    }
}

fn destination(placement: Placement) -> Option<SocketAddrV4> {
    match placement {
        Placement::Owner { owner, .. } | Placement::Reset(owner) => Some(owner.agent),
        Placement::New { candidates, .. } => candidates.as_slice().first().copied(),
        Placement::Drop(_) => None,
    }
}

struct TestBed {
    agents: [Agent; 2],
    client: Endpoint,
    address: SocketAddr,
    placers: watch::Sender<Arc<Vec<Placer>>>,
    forwarder: JoinHandle<()>,
}

impl TestBed {
    /// Starts two agents, and two balancers whose snapshots have one agent each.
    async fn new() -> TestBed {
        let cert = rcgen::generate_simple_self_signed([SERVER_NAME.to_owned()])
            .expect("generate a certificate");
        let key = PrivateKeyDer::Pkcs8(PrivatePkcs8KeyDer::from(cert.signing_key.serialize_der()));
        let chain = vec![cert.cert.der().clone()];
        let server = ServerConfig::with_single_cert(chain, key).expect("valid server config");
        let mut roots = rustls::RootCertStore::empty();
        roots.add(cert.cert.der().clone()).expect("add the root certificate");
        let trust =
            ClientConfig::with_root_certificates(Arc::new(roots)).expect("valid client config");
        let mut client = Endpoint::client(loopback()).expect("create the client endpoint");
        client.set_default_client_config(trust);

        let agents = [Agent::new(server.clone()), Agent::new(server)];
        let service = UdpSocket::bind(loopback()).await.expect("bind");
        let address = service.local_addr().expect("local address");
        let each = agents.iter().map(|it| placer(&common::snapshot(address, &[it.data])));
        let (placers, receiver) = watch::channel(Arc::new(each.collect()));
        let forwarder = tokio::spawn(forward_to_all(service, receiver));
        TestBed { agents, client, address, placers, forwarder }
    }

    async fn connect(&self) -> Connection {
        let connecting = self.client.connect(self.address, SERVER_NAME).expect("valid server name");
        timeout(TIMEOUT, connecting)
            .await
            .expect("the handshake completes in time")
            .expect("connect")
    }

    fn established(&self) -> usize {
        self.agents.iter().map(Agent::established).sum()
    }
}

impl Drop for TestBed {
    fn drop(&mut self) {
        self.forwarder.abort();
    }
}

fn placer(snapshot: &Snapshot) -> Placer {
    Placer::new(snapshot, None, 0)
}

async fn echo(connection: &Connection) {
    let (mut send, mut recv) = connection.open_bi().await.expect("open a stream");
    send.write_all(b"balance").await.expect("send the request");
    send.finish().expect("the stream is open");
    assert_eq!(recv.read_to_end(100).await.expect("read the response"), b"balance");
}

#[tokio::test]
async fn a_handshake_sent_to_two_agents_is_established_at_one() {
    let test_bed = TestBed::new().await;
    for round in 1..=FLOWS {
        let connection = test_bed.connect().await;
        echo(&connection).await;
        assert_eq!(test_bed.established(), round);
        connection.close(0_u32.into(), b"");
    }
    let all_started = async {
        while test_bed.agents.iter().any(|it| it.started() < FLOWS) {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(TIMEOUT, all_started).await.expect("each agent receives each handshake");
    assert_eq!(test_bed.established(), FLOWS);
}

#[tokio::test]
async fn flows_of_a_dead_agent_are_reset_by_the_next_packet() {
    let test_bed = TestBed::new().await;
    let connection = test_bed.connect().await;
    echo(&connection).await;
    let owner = usize::from(test_bed.agents[1].established() == 1);
    // Simulates a crash without a close: the agent's state is Down and datagrams no longer reach it.
    let mut snapshot =
        common::snapshot(test_bed.address, &[test_bed.agents[0].data, test_bed.agents[1].data]);
    let down =
        snapshot.agents.get_mut(&format!("ledger-{owner}")).expect("the agent is in the snapshot");
    down.state = AgentState::Down;
    test_bed.placers.send_replace(Arc::new(vec![placer(&snapshot)]));

    let (mut send, _recv) = connection.open_bi().await.expect("open a stream");
    send.write_all(b"anyone there?").await.expect("queue the request");
    let error = timeout(TIMEOUT, connection.closed()).await.expect("the connection closes in time");
    assert_eq!(error, ConnectionError::Reset);
    test_bed.agents[owner].endpoint.close(0_u32.into(), b"");
}
