//! One service at the agent: its QUIC endpoint, certificate and flows.

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
    admit::{Admission, Room, admit},
    budget::Budget,
    object::{Certificate, ServiceId},
    seal::{CID_LEN, Home, KeyRing, NONCE_LEN},
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
    flow, meter,
    node::{FlowCount, Node},
    notice,
    socket::{DataSocket, ServiceSocket},
};
use crate::{
    clock,
    config::AddressMode,
    event::{self, About, Id},
};

/// Largest UDP payload: with the encapsulation it fits an Ethernet frame.
const MAX_UDP_PAYLOAD: u16 = 1_400;
/// A flow's connection IDs are renewed that often, so that a former sealing key is soon out of use.
const CID_LIFETIME: Duration = Duration::from_secs(120);
const IDLE_TIMEOUT: Duration = Duration::from_secs(120);
const KEEP_ALIVE: Duration = Duration::from_secs(20);
const MAX_STREAMS: u32 = 256;
/// How long the decision on a first packet is kept for its repetitions.
const PLACED_MS: u64 = 10_000;
/// Most decisions kept; beyond that, new flows are refused until older ones expire.
const MAX_PLACED: usize = 100_000;

/// The first packet of a flow, as it is told from others: its caller and the connection ID that the caller chose.
type First = (SocketAddr, Vec<u8>);

/// Decision on a flow's first packet.
#[derive(Debug)]
pub(crate) enum Placed {
    /// Taken here. The count is taken over by the flow.
    Accepted(Option<FlowCount>),
    /// Left to another agent.
    Passed(SocketAddrV4),
    /// Refused.
    Refused,
}

/// What is to be done with a flow's first packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Course {
    /// Give it to the QUIC stack, which accepts or refuses.
    Deliver,
    /// Send it on.
    Pass(SocketAddrV4),
    /// Drop it.
    Drop,
}

#[derive(Default)]
struct Decisions {
    by_first: BTreeMap<First, (u64, Placed)>,
    swept: u64,
}

/// A service at the agent.
pub(crate) struct Service {
    pub(crate) id: ServiceId,
    pub(crate) name: String,
    pub(crate) socket: Arc<ServiceSocket>,
    pub(crate) budget: Mutex<Budget>,
    entry: ArcSwap<ServiceEntry>,
    certs: Arc<Certs>,
    /// What was last found wrong with the certificate.
    fault: Mutex<String>,
    flows: Arc<AtomicU32>,
    decisions: Mutex<Decisions>,
    /// Flows whose handshake is not done.
    pub(crate) pending: Arc<AtomicU32>,
    leaving: watch::Sender<bool>,
}

impl Service {
    /// Sets up the endpoint and starts accepting.
    pub(crate) fn open(
        node: &Arc<Node>,
        id: ServiceId,
        entry: &ServiceEntry,
        ring: &KeyRing,
    ) -> anyhow::Result<Arc<Service>> {
        let out = match node.settings.reply {
            AddressMode::Own => Arc::clone(&node.data),
            AddressMode::Service => Arc::new(DataSocket::bind(entry.spec.address)?),
        };
        let socket = Arc::new(ServiceSocket::new(out));
        let certs = Arc::new(Certs::default());
        let endpoint = Endpoint::new_with_abstract_socket(
            endpoint_config(node, id, ring)?,
            Some(server_config(&certs, ring)?),
            Arc::clone(&socket) as Arc<dyn quinn::AsyncUdpSocket>,
            Arc::new(quinn::TokioRuntime),
        )
        .with_context(|| format!("open the endpoint of service {}", entry.name))?;
        let service = Arc::new(Service {
            id,
            name: entry.name.clone(),
            socket,
            budget: Mutex::new(Budget::new(entry.spec.retry_budget, clock::now_ms())),
            entry: ArcSwap::from_pointee(entry.clone()),
            certs,
            fault: Mutex::default(),
            flows: Arc::default(),
            decisions: Mutex::default(),
            pending: Arc::default(),
            leaving: watch::Sender::new(false),
        });
        tokio::spawn(flow::accept(Arc::clone(node), Arc::clone(&service), endpoint));
        Ok(service)
    }

    /// The service's settings, the last known ones if it was deleted.
    pub(crate) fn entry(&self) -> Arc<ServiceEntry> {
        self.entry.load_full()
    }

    /// Puts the service's part of a snapshot in force.
    pub(crate) fn apply(&self, snapshot: &Snapshot, node: &Node) {
        let entry = snapshot.services.get(&self.id);
        if let Some(entry) = entry {
            self.entry.store(Arc::new(entry.clone()));
            self.budget.lock().set_share(entry.spec.retry_budget);
            self.apply_certificate(entry, snapshot);
        }
        let here = entry.is_some_and(|it| it.spec.pool == node.settings.pool);
        let leaving = node.drains() || !here;
        self.leaving.send_if_modified(|it| std::mem::replace(it, leaving) != leaving);
    }

    fn apply_certificate(&self, entry: &ServiceEntry, snapshot: &Snapshot) {
        let about = || About::new().with_service(&self.name);
        let name = &entry.spec.certificate;
        let fault = match snapshot.certificates.get(name).map(|it| self.certs.put(it)) {
            None => format!("certificate/{name}: missing"),
            Some(Err(e)) => format!("certificate/{name}: {e:#}"),
            Some(Ok(replaced)) => {
                if replaced {
                    event::emit(Id::CertificateChanged, about(), name);
                }
                String::new()
            }
        };
        // Snapshots come often; a fault is reported once.
        let former = std::mem::replace(&mut *self.fault.lock(), fault.clone());
        if !fault.is_empty() && former != fault {
            event::emit(Id::ConfigRefused, about(), &fault);
        }
    }

    /// Flows held.
    pub(crate) fn flows(&self) -> u32 {
        self.flows.load(Ordering::Relaxed)
    }

    /// Turns true when the service's flows must leave this agent.
    pub(crate) fn leaving(&self) -> watch::Receiver<bool> {
        self.leaving.subscribe()
    }

    /// Whether requests of the service may run at this agent's upstream.
    pub(crate) fn is_here(&self, node: &Node) -> bool {
        self.entry.load().spec.pool == node.settings.pool
    }

    /// Decides on a flow's first packet; repetitions get the same decision.
    pub(crate) fn place(&self, node: &Node, first: First, next: Option<SocketAddrV4>) -> Course {
        let now = clock::now_ms();
        let mut decisions = self.decisions.lock();
        decisions.sweep(now);
        if let Some((_, placed)) = decisions.by_first.get(&first) {
            return placed.course();
        }
        if decisions.by_first.len() >= MAX_PLACED {
            return Course::Drop;
        }
        let placed = self.admit(node, next);
        let course = placed.course();
        decisions.by_first.insert(first, (now, placed));
        course
    }

    fn admit(&self, node: &Node, next: Option<SocketAddrV4>) -> Placed {
        let entry = self.entry();
        let room = Room {
            flows: self.flows(),
            flow_limit: entry.spec.connections,
            all_flows: node.flows(),
            all_limit: node.settings.connections,
            busy: node.work.busy(),
            slots: node.work.slots(),
        };
        let here = self.is_here(node) && self.certs.is_set();
        let decision = match (here, next) {
            (true, _) => admit(entry.spec.policy, node.intake(), &room, next.is_none()),
            (false, Some(_)) => Admission::Pass,
            (false, None) => Admission::Refuse,
        };
        match (decision, next) {
            (Admission::Accept, _) => Placed::Accepted(Some(node.count_flow(&self.flows))),
            (Admission::Pass, Some(to)) => Placed::Passed(to),
            (Admission::Pass, None) | (Admission::Refuse, _) => Placed::Refused,
        }
    }

    /// The count of a flow that was accepted at its first packet. None if it was not, or was taken before.
    pub(crate) fn take_accepted(&self, first: &First) -> Option<FlowCount> {
        match self.decisions.lock().by_first.get_mut(first) {
            Some((_, Placed::Accepted(count))) => count.take(),
            _ => None,
        }
    }

    /// Takes a flow that was asked to prove its address and did.
    pub(crate) fn admit_proven(&self, node: &Node) -> Option<FlowCount> {
        match self.admit(node, None) {
            Placed::Accepted(count) => count,
            Placed::Passed(_) | Placed::Refused => None,
        }
    }

    /// Whether the flow with this first packet was taken here.
    pub(crate) fn was_accepted(&self, first: &First) -> bool {
        matches!(self.decisions.lock().by_first.get(first), Some((_, Placed::Accepted(_))))
    }

    /// Whether the flow with this first packet was refused.
    pub(crate) fn was_refused(&self, first: &First) -> bool {
        matches!(self.decisions.lock().by_first.get(first), Some((_, Placed::Refused)))
    }
}

impl Placed {
    fn course(&self) -> Course {
        match self {
            Placed::Accepted(_) | Placed::Refused => Course::Deliver,
            Placed::Passed(to) => Course::Pass(*to),
        }
    }
}

impl Decisions {
    fn sweep(&mut self, now: u64) {
        if now < self.swept + PLACED_MS / 4 {
            return;
        }
        self.swept = now;
        self.by_first.retain(|_, (at, _)| now < *at + PLACED_MS);
    }
}

/// The certificate of a service; new handshakes use the newest.
#[derive(Debug, Default)]
struct Certs {
    current: ArcSwapOption<CertifiedKey>,
    source: Mutex<Option<Certificate>>,
}

impl Certs {
    fn is_set(&self) -> bool {
        self.current.load().is_some()
    }

    /// Takes a certificate into use; whether it replaced another one.
    fn put(&self, certificate: &Certificate) -> anyhow::Result<bool> {
        let mut source = self.source.lock();
        if source.as_ref() == Some(certificate) {
            return Ok(false);
        }
        let mut chain = Vec::new();
        for it in CertificateDer::pem_slice_iter(certificate.chain_pem.as_bytes()) {
            chain.push(it.context("read the chain")?);
        }
        let key = PrivateKeyDer::from_pem_slice(certificate.key_pem.as_bytes())
            .context("read the private key")?;
        let provider = rustls::crypto::ring::default_provider();
        let certified = CertifiedKey::from_der(chain, key, &provider)
            .context("use the chain with the private key")?;
        self.current.store(Some(Arc::new(certified)));
        let former = source.replace(certificate.clone());
        Ok(former.is_some())
    }
}

impl ResolvesServerCert for Certs {
    fn resolve(&self, _hello: ClientHello<'_>) -> Option<Arc<CertifiedKey>> {
        self.current.load_full()
    }
}

/// Makes connection IDs that say where the flow lives.
struct SealedIds {
    ring: Arc<ArcSwapOption<KeyRing>>,
    home: Home,
}

impl ConnectionIdGenerator for SealedIds {
    fn generate_cid(&mut self) -> ConnectionId {
        let nonce: [u8; NONCE_LEN] = rand::random();
        let ring = self.ring.load();
        let ring = ring.as_ref().expect("a service is opened only when there are keys");
        ConnectionId::new(&ring.seal(self.home, nonce))
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
    config.max_udp_payload_size(MAX_UDP_PAYLOAD).context("set the largest UDP payload")?;
    // When an agent dies, all its flows ask at once, and each must learn of it. A reset is smaller than what it answers.
    config.min_reset_interval(Duration::ZERO);
    let ring = Arc::clone(&node.ring);
    let home = Home { agent: node.home, service: id };
    config.cid_generator(move || Box::new(SealedIds { ring: Arc::clone(&ring), home }));
    Ok(config)
}

fn server_config(certs: &Arc<Certs>, ring: &KeyRing) -> anyhow::Result<ServerConfig> {
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let mut tls = rustls::ServerConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .context("choose TLS 1.3")?
        .with_no_client_auth()
        .with_cert_resolver(Arc::clone(certs) as Arc<dyn ResolvesServerCert>);
    tls.alpn_protocols = vec![b"h3".to_vec()];
    // A request in early data could be replayed, and sessions are known to one agent only.
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
    mtu.upper_bound(MAX_UDP_PAYLOAD);
    let mut config = TransportConfig::default();
    config
        .max_idle_timeout(Some(IDLE_TIMEOUT.try_into().context("set the idle timeout")?))
        .keep_alive_interval(Some(KEEP_ALIVE))
        .max_concurrent_bidi_streams(MAX_STREAMS.into())
        .mtu_discovery_config(Some(mtu));
    Ok(config)
}

/// Counts a flow that was refused, and says so.
pub(crate) fn refused(service: &Service, caller: SocketAddr) {
    meter::count(&meter::FLOWS, "refused");
    let about = About::new().with_service(&service.name);
    notice::emit(Id::FlowRefused, about, &format!("caller {caller}"));
}
