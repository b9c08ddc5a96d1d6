//! A service at the agent: its QUIC endpoint, certificate and admission of flows.

use std::{
    collections::BTreeMap,
    net::{SocketAddr, SocketAddrV4},
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use anyhow::Context;
use arc_swap::{ArcSwap, ArcSwapOption};
use camphorwinch_core::{
    admit::{Admission, AgentLoad, admit},
    budget::RetryBudget,
    object::{self, Certificate, ServiceId},
    seal::{CID_LEN, FlowOwner, KeyRing, NONCE_LEN},
    snapshot::{ServiceEntry, Snapshot},
};
use parking_lot::Mutex;
use quinn::{
    ConnectionId, ConnectionIdGenerator, Endpoint, EndpointConfig, MtuDiscoveryConfig,
    ServerConfig, TransportConfig, crypto::rustls::QuicServerConfig,
};
use ring::{hkdf, hmac};
use rustls::{
    server::{ClientHello, ResolvesServerCert},
    sign::CertifiedKey,
};
use rustls_pki_types::{CertificateDer, PrivateKeyDer, pem::PemObject};
use tokio::sync::watch;

use super::{
    flow, metrics,
    node::{FlowGuard, Node},
    socket::{DataSocket, ServiceSocket},
    throttled,
};
use crate::{
    clock,
    config::AddressMode,
    event::{self, EventId, EventSubject},
};

/// With the encapsulation, a payload of this size fits an Ethernet frame.
const MAX_UDP_PAYLOAD_BYTES: u16 = 1_400;
/// Connection IDs are replaced after this time, so that a rotated key is no longer used.
const CID_LIFETIME: Duration = Duration::from_secs(120);
const IDLE_TIMEOUT: Duration = Duration::from_secs(120);
const KEEP_ALIVE: Duration = Duration::from_secs(20);
const MAX_STREAMS: u32 = 256;
/// Time that an admission decision is kept for retransmissions of the first packet.
const DECISION_TTL_MS: u64 = 10_000;
/// Beyond this number of decisions, first packets of new flows are dropped until older decisions expire.
const MAX_DECISIONS: usize = 100_000;

/// Identifies the first packet of a flow: the caller's address and the connection ID that it chose.
type FirstPacket = (SocketAddr, Vec<u8>);

/// Admission decision on a flow's first packet.
#[derive(Debug)]
pub(crate) enum FlowDecision {
    /// Accepted here. The flow takes the guard.
    Accepted(Option<FlowGuard>),
    /// Forwarded to the next candidate.
    Forwarded(SocketAddrV4),
    /// Rejected: this agent is the last candidate and can't accept it.
    Rejected,
}

/// How to handle a flow's first packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FirstPacketAction {
    /// Deliver it to the QUIC stack, which accepts or refuses the connection.
    Deliver,
    /// Forward it to the next candidate.
    Forward(SocketAddrV4),
    /// Drop the packet.
    Drop,
}

/// Recent admission decisions with their times in milliseconds.
#[derive(Default)]
struct DecisionCache {
    by_first_packet: BTreeMap<FirstPacket, (u64, FlowDecision)>,
    last_cleanup_ms: u64,
}

/// A service that the agent has opened.
pub(crate) struct Service {
    pub(crate) id: ServiceId,
    pub(crate) name: String,
    pub(crate) socket: Arc<ServiceSocket>,
    pub(crate) budget: Mutex<RetryBudget>,
    /// Settings that were applied last; in use only while the current snapshot lacks the service.
    last_entry: ArcSwap<ServiceEntry>,
    /// Held while a snapshot is applied, so that the newest one is applied last.
    applying: Mutex<()>,
    certificate: Arc<CertificateStore>,
    /// Last error of the certificate; empty if there is none.
    certificate_error: Mutex<String>,
    flows: Arc<AtomicU32>,
    decisions: Mutex<DecisionCache>,
    /// Number of flows with a pending handshake.
    pub(crate) pending_handshakes: Arc<AtomicU32>,
    draining: watch::Sender<bool>,
}

impl Service {
    /// Opens the QUIC endpoint and starts accepting flows.
    pub(crate) fn open(
        node: &Arc<Node>,
        id: ServiceId,
        entry: &ServiceEntry,
        ring: &KeyRing,
    ) -> anyhow::Result<Arc<Service>> {
        let data_socket = match node.settings.reply {
            AddressMode::Own => Arc::clone(&node.data_socket),
            AddressMode::Service => Arc::new(DataSocket::bind(entry.spec.address)?),
        };
        let socket = Arc::new(ServiceSocket::new(data_socket));
        let certificate = Arc::new(CertificateStore::default());
        let endpoint = Endpoint::new_with_abstract_socket(
            endpoint_config(node, id, ring)?,
            Some(server_config(&certificate, ring)?),
            Arc::clone(&socket) as Arc<dyn quinn::AsyncUdpSocket>,
            Arc::new(quinn::TokioRuntime),
        )
        .with_context(|| format!("open the QUIC endpoint of service {}", entry.name))?;
        let service = Arc::new(Service {
            id,
            name: entry.name.clone(),
            socket,
            budget: Mutex::new(RetryBudget::new(entry.spec.retry_budget, clock::now_ms())),
            last_entry: ArcSwap::from_pointee(entry.clone()),
            applying: Mutex::default(),
            certificate,
            certificate_error: Mutex::default(),
            flows: Arc::default(),
            decisions: Mutex::default(),
            pending_handshakes: Arc::default(),
            draining: watch::Sender::new(false),
        });
        tokio::spawn(flow::accept(Arc::clone(node), Arc::clone(&service), endpoint));
        Ok(service)
    }

    /// Reads the service's settings in `snapshot`, or the last ones if it was deleted. Decisions use this rather than
    /// what [`Service::apply`] stored: a snapshot is in force before the services have applied it.
    pub(crate) fn read_spec<T, F>(&self, snapshot: &Snapshot, read: F) -> T
    where
        F: FnOnce(&object::Service) -> T,
    {
        match snapshot.services.get(&self.id) {
            Some(it) => read(&it.spec),
            None => read(&self.last_entry.load().spec),
        }
    }

    /// Applies the service's settings and certificate of the node's current snapshot.
    pub(crate) fn apply(&self, node: &Node) {
        let _applying = self.applying.lock();
        let snapshot = &node.snapshot();
        let entry = snapshot.services.get(&self.id);
        if let Some(entry) = entry {
            self.last_entry.store(Arc::new(entry.clone()));
            self.budget.lock().set_share(entry.spec.retry_budget);
            self.apply_certificate(entry, snapshot);
        }
        let is_local = entry.is_some_and(|it| it.spec.pool == node.settings.pool);
        let draining = node.is_draining() || !is_local;
        self.draining.send_if_modified(|it| std::mem::replace(it, draining) != draining);
    }

    fn apply_certificate(&self, entry: &ServiceEntry, snapshot: &Snapshot) {
        let about = || EventSubject::new().with_service(&self.name);
        let name = &entry.spec.certificate;
        let error = match snapshot.certificates.get(name).map(|it| self.certificate.set(it)) {
            None => format!("certificate/{name}: missing"),
            Some(Err(e)) => format!("certificate/{name}: {e:#}"),
            Some(Ok(replaced)) => {
                if replaced {
                    event::emit(EventId::CertificateChanged, about(), name);
                }
                String::new()
            }
        };
        // Each error is reported once, not with every snapshot.
        let previous = std::mem::replace(&mut *self.certificate_error.lock(), error.clone());
        if !error.is_empty() && previous != error {
            event::emit(EventId::ConfigRefused, about(), &error);
        }
    }

    /// Number of open flows.
    pub(crate) fn flows(&self) -> u32 {
        self.flows.load(Ordering::Relaxed)
    }

    /// Receiver whose value is true while the service's flows must be drained from this agent.
    pub(crate) fn draining(&self) -> watch::Receiver<bool> {
        self.draining.subscribe()
    }

    /// Whether the agent's upstream belongs to the service's pool.
    pub(crate) fn is_local(&self, snapshot: &Snapshot, node: &Node) -> bool {
        self.read_spec(snapshot, |it| it.pool == node.settings.pool)
    }

    /// Decides on a flow's first packet. Retransmissions get the same decision.
    pub(crate) fn decide(
        &self,
        node: &Node,
        first: FirstPacket,
        next: Option<SocketAddrV4>,
    ) -> FirstPacketAction {
        let now = clock::now_ms();
        let mut decisions = self.decisions.lock();
        decisions.remove_expired(now);
        if let Some((_, decision)) = decisions.by_first_packet.get(&first) {
            return decision.action();
        }
        if decisions.by_first_packet.len() >= MAX_DECISIONS {
            return FirstPacketAction::Drop;
        }
        let decision = self.admit(node, next);
        let action = decision.action();
        decisions.by_first_packet.insert(first, (now, decision));
        action
    }

    fn admit(&self, node: &Node, next: Option<SocketAddrV4>) -> FlowDecision {
        let snapshot = node.snapshot();
        let (flow_limit, policy) = self.read_spec(&snapshot, |it| (it.connections, it.policy));
        let agent_load = AgentLoad {
            flows: self.flows(),
            flow_limit,
            all_flows: node.flows(),
            all_limit: node.settings.connections,
            busy: node.slot_limiter.busy(),
            slots: node.slot_limiter.slots(),
        };
        let can_accept = self.is_local(&snapshot, node) && self.certificate.is_set();
        let admission = match (can_accept, next) {
            (true, _) => admit(policy, node.availability(), &agent_load, next.is_none()),
            (false, Some(_)) => Admission::Forward,
            (false, None) => Admission::Refuse,
        };
        match (admission, next) {
            (Admission::Accept, _) => FlowDecision::Accepted(Some(node.count_flow(&self.flows))),
            (Admission::Forward, Some(to)) => FlowDecision::Forwarded(to),
            (Admission::Forward, None) | (Admission::Refuse, _) => FlowDecision::Rejected,
        }
    }

    /// Takes the guard of a flow that was accepted at its first packet. None if it was not accepted or already taken.
    pub(crate) fn take_accepted(&self, first: &FirstPacket) -> Option<FlowGuard> {
        match self.decisions.lock().by_first_packet.get_mut(first) {
            Some((_, FlowDecision::Accepted(guard))) => guard.take(),
            _ => None,
        }
    }

    /// Admits a flow whose caller has validated its address after a Retry.
    pub(crate) fn admit_validated(&self, node: &Node) -> Option<FlowGuard> {
        match self.admit(node, None) {
            FlowDecision::Accepted(guard) => guard,
            FlowDecision::Forwarded(_) | FlowDecision::Rejected => None,
        }
    }

    /// Whether the flow with this first packet was accepted here.
    pub(crate) fn was_accepted(&self, first: &FirstPacket) -> bool {
        matches!(
            self.decisions.lock().by_first_packet.get(first),
            Some((_, FlowDecision::Accepted(_)))
        )
    }

    /// Whether the flow with this first packet was rejected.
    pub(crate) fn was_rejected(&self, first: &FirstPacket) -> bool {
        matches!(
            self.decisions.lock().by_first_packet.get(first),
            Some((_, FlowDecision::Rejected))
        )
    }
}

impl FlowDecision {
    fn action(&self) -> FirstPacketAction {
        match self {
            FlowDecision::Accepted(_) | FlowDecision::Rejected => FirstPacketAction::Deliver,
            FlowDecision::Forwarded(to) => FirstPacketAction::Forward(*to),
        }
    }
}

impl DecisionCache {
    fn remove_expired(&mut self, now: u64) {
        if now < self.last_cleanup_ms + DECISION_TTL_MS / 4 {
            return;
        }
        self.last_cleanup_ms = now;
        self.by_first_packet.retain(|_, (at, _)| now < *at + DECISION_TTL_MS);
    }
}

/// The certificate of a service, which can be replaced while flows are open.
#[derive(Debug, Default)]
struct CertificateStore {
    current: ArcSwapOption<CertifiedKey>,
    source: Mutex<Option<Certificate>>,
}

impl CertificateStore {
    fn is_set(&self) -> bool {
        self.current.load().is_some()
    }

    /// Uses a certificate for new handshakes. Returns whether it replaced another one.
    fn set(&self, certificate: &Certificate) -> anyhow::Result<bool> {
        let mut source = self.source.lock();
        if source.as_ref() == Some(certificate) {
            return Ok(false);
        }
        let mut chain = Vec::new();
        for it in CertificateDer::pem_slice_iter(certificate.chain_pem.as_bytes()) {
            chain.push(it.context("parse the certificate chain")?);
        }
        let key = PrivateKeyDer::from_pem_slice(certificate.key_pem.as_bytes())
            .context("parse the private key")?;
        let provider = rustls::crypto::ring::default_provider();
        let certified = CertifiedKey::from_der(chain, key, &provider)
            .context("combine the certificate chain with the private key")?;
        self.current.store(Some(Arc::new(certified)));
        let previous = source.replace(certificate.clone());
        Ok(previous.is_some())
    }
}

impl ResolvesServerCert for CertificateStore {
    fn resolve(&self, _hello: ClientHello<'_>) -> Option<Arc<CertifiedKey>> {
        self.current.load_full()
    }
}

/// Generates connection IDs that contain the encrypted address of the agent and the service ID.
struct CidGenerator {
    ring: Arc<ArcSwapOption<KeyRing>>,
    owner: FlowOwner,
}

impl ConnectionIdGenerator for CidGenerator {
    fn generate_cid(&mut self) -> ConnectionId {
        let nonce: [u8; NONCE_LEN] = rand::random();
        let ring = self.ring.load();
        let ring = ring.as_ref().expect("a service is opened only once there are keys");
        ConnectionId::new(&ring.seal(self.owner, nonce))
    }

    fn cid_len(&self) -> usize {
        CID_LEN
    }

    fn cid_lifetime(&self) -> Option<Duration> {
        Some(CID_LIFETIME)
    }
}

fn endpoint_config(node: &Node, id: ServiceId, ring: &KeyRing) -> anyhow::Result<EndpointConfig> {
    let reset = hmac::Key::new(hmac::HMAC_SHA256, ring.reset_key());
    let mut config = EndpointConfig::new(Arc::new(reset));
    config.max_udp_payload_size(MAX_UDP_PAYLOAD_BYTES).context("set the maximum UDP payload")?;
    // After a failure of an agent all its flows need a reset at once. Each reset is smaller than the packet it answers.
    config.min_reset_interval(Duration::ZERO);
    let ring = Arc::clone(&node.key_ring);
    let owner = FlowOwner { agent: node.data_address, service: id };
    config.cid_generator(move || Box::new(CidGenerator { ring: Arc::clone(&ring), owner }));
    Ok(config)
}

fn server_config(
    certificate: &Arc<CertificateStore>,
    ring: &KeyRing,
) -> anyhow::Result<ServerConfig> {
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let mut tls = rustls::ServerConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .context("select TLS 1.3")?
        .with_no_client_auth()
        .with_cert_resolver(Arc::clone(certificate) as Arc<dyn ResolvesServerCert>);
    tls.alpn_protocols = vec![b"h3".to_vec()];
    // Early data can be replayed, and only the agent that issued a ticket could resume its session.
    tls.max_early_data_size = 0;
    tls.send_tls13_tickets = 0;
    let crypto = QuicServerConfig::try_from(tls).context("set up TLS for QUIC")?;
    let token = hkdf::Salt::new(hkdf::HKDF_SHA256, &[]).extract(ring.token_key());
    let mut config = ServerConfig::new(Arc::new(crypto), Arc::new(token));
    config.transport_config(Arc::new(transport_config()?));
    Ok(config)
}

fn transport_config() -> anyhow::Result<TransportConfig> {
    let mut mtu = MtuDiscoveryConfig::default();
    mtu.upper_bound(MAX_UDP_PAYLOAD_BYTES);
    let mut config = TransportConfig::default();
    config
        .max_idle_timeout(Some(IDLE_TIMEOUT.try_into().context("set the idle timeout")?))
        .keep_alive_interval(Some(KEEP_ALIVE))
        .max_concurrent_bidi_streams(MAX_STREAMS.into())
        .mtu_discovery_config(Some(mtu));
    Ok(config)
}

/// Counts and reports a rejected flow.
pub(crate) fn report_rejected(service: &Service, caller: SocketAddr) {
    metrics::count(&metrics::FLOWS, "refused");
    let about = EventSubject::new().with_service(&service.name);
    throttled::emit(EventId::FlowRefused, about, &format!("caller {caller}"));
}
