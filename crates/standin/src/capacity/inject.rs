//! Simulated members: a peer that sends agent records to real balancers and reports on these agents, so that a few
//! processes handle the records of a large fleet.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use anyhow::{Context, bail};
use bytes::Bytes;
use camphorwinch_core::record::{Member, Record};
use camphorwinch_wire::{
    frame::{self, Frames},
    message::{
        AgentReport, Body, Frame, Heartbeat, Hello, PROTOCOL_VERSION, Purpose, RecordPart, Report,
        Update,
    },
};
use futures::{SinkExt, StreamExt};
use prost::Message;
use rustls::{ClientConfig, RootCertStore, version::TLS13};
use rustls_pki_types::{CertificateDer, PrivateKeyDer, ServerName, pem::PemObject};
use tokio::{
    net::TcpStream,
    sync::watch,
    task::JoinHandle,
    time::{MissedTickBehavior, interval},
};
use tokio_rustls::{TlsConnector, client::TlsStream};

use super::fleet::Fleet;
use crate::site::pki::Leaf;

const ANNOUNCER: &str = "teller";
const REPORTER: &str = "reporter";
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Agents per heartbeat of the report interval; matches the behaviour of balancers.
const AGENTS_PER_HEARTBEAT: u64 = 100;
/// Report interval, in heartbeats.
const REPORT_INTERVAL_HEARTBEATS: std::ops::RangeInclusive<u64> = 2..=10;
const RECORDS_PER_MESSAGE: usize = 200;

type Link = Frames<TlsStream<TcpStream>>;

/// Reported state of the simulated agents of a zone.
#[derive(Clone, Debug, Default)]
pub struct Zone {
    /// Names of the agents.
    pub agents: Vec<String>,
    /// Revision that they report as applied.
    pub applied: u64,
}

/// Link to the reporting balancer of a zone; it closes when the sender in `zone` is dropped.
#[derive(Debug)]
pub struct Reporter {
    /// State to report.
    pub zone: watch::Sender<Zone>,
    task: JoinHandle<anyhow::Result<()>>,
}

impl Reporter {
    /// Opens a link and starts to report; an error if the peer does not accept the link.
    pub async fn start(fleet: &Fleet, peer: SocketAddr) -> anyhow::Result<Reporter> {
        let link = open(fleet, peer, REPORTER).await?;
        let (zone, updates) = watch::channel(Zone::default());
        let task = tokio::spawn(run_reporter(link, updates));
        Ok(Reporter { zone, task })
    }

    /// Closes the link; an error if it failed before.
    pub async fn end(self) -> anyhow::Result<()> {
        drop(self.zone);
        self.task.await.context("failed to report on simulated agents")?
    }
}

/// Link over which members were announced. Keep it until the members are visible: closing it may drop unread data.
pub struct AnnounceLink {
    _link: Link,
}

/// Sends records of members to a balancer.
pub async fn announce_members(
    fleet: &Fleet,
    peer: SocketAddr,
    members: &[Member],
) -> anyhow::Result<AnnounceLink> {
    let mut link = open(fleet, peer, ANNOUNCER).await?;
    for chunk in members.chunks(RECORDS_PER_MESSAGE) {
        let part = |it: &Member| RecordPart::from(&Record::Member(it.clone()));
        let records = chunk.iter().map(part).collect();
        send(&mut link, Body::Update(Update { records, ..Update::default() })).await?;
    }
    Ok(AnnounceLink { _link: link })
}

async fn open(fleet: &Fleet, peer: SocketAddr, name: &str) -> anyhow::Result<Link> {
    let step = || format!("failed to open a link to {peer}");
    let stream = TcpStream::connect(peer).await.with_context(step)?;
    stream.set_nodelay(true).with_context(step)?;
    let config = client_config(fleet.ca(), &fleet.leaf(name)?)?;
    let server = ServerName::from(peer.ip());
    let stream =
        TlsConnector::from(Arc::new(config)).connect(server, stream).await.with_context(step)?;
    let mut link = frame::frames(stream);
    let hello = Hello {
        protocol: PROTOCOL_VERSION,
        purpose: Purpose::Mesh as i32,
        name: name.to_owned(),
        incarnation: 1,
        pools: Vec::new(),
    };
    send(&mut link, Body::Hello(hello)).await?;
    let Some(response) = link.next().await else {
        bail!("failed to open a link to {peer}: closed before the hello");
    };
    Frame::parse(&response.with_context(step)?).with_context(step)?;
    Ok(link)
}

fn client_config(ca: &str, leaf: &Leaf) -> anyhow::Result<ClientConfig> {
    let mut roots = RootCertStore::empty();
    for cert in CertificateDer::pem_slice_iter(ca.as_bytes()) {
        roots.add(cert.context("invalid CA certificate")?).context("invalid CA certificate")?;
    }
    let chain = CertificateDer::pem_slice_iter(leaf.chain.as_bytes())
        .collect::<Result<Vec<_>, _>>()
        .context("invalid certificate")?;
    let key = PrivateKeyDer::from_pem_slice(leaf.key.as_bytes()).context("invalid private key")?;
    ClientConfig::builder_with_provider(Arc::new(rustls::crypto::ring::default_provider()))
        .with_protocol_versions(&[&TLS13])
        .context("failed to set the TLS version")?
        .with_root_certificates(roots)
        .with_client_auth_cert(chain, key)
        .context("failed to use the client certificate")
}

async fn send(link: &mut Link, body: Body) -> anyhow::Result<()> {
    let frame = Frame::new(body).encode_to_vec();
    link.send(Bytes::from(frame)).await.context("failed to send to a balancer")
}

async fn run_reporter(mut link: Link, mut zone: watch::Receiver<Zone>) -> anyhow::Result<()> {
    let mut ticks = interval(HEARTBEAT_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut heartbeats = 0u64;
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            frame = link.next() => {
                let frame = frame.context("the balancer closed the link")?;
                frame.context("failed to read from the balancer")?;
                continue;
            }
        }
        if zone.has_changed().is_err() {
            return Ok(());
        }
        send(&mut link, Body::Heartbeat(Heartbeat::default())).await?;
        heartbeats += 1;
        let agents = zone.borrow().agents.len() as u64;
        let report_interval = (agents / AGENTS_PER_HEARTBEAT)
            .clamp(*REPORT_INTERVAL_HEARTBEATS.start(), *REPORT_INTERVAL_HEARTBEATS.end());
        if heartbeats.is_multiple_of(report_interval) {
            let report = build_report(&zone.borrow_and_update(), heartbeats);
            send(&mut link, Body::Report(report)).await?;
        }
    }
}

/// Builds a report with loads that vary over time, like those of real agents.
fn build_report(zone: &Zone, heartbeats: u64) -> Report {
    let mut agents = Vec::new();
    for (i, name) in zone.agents.iter().enumerate() {
        let busy = ((i as u64 + heartbeats) % 8) as u32;
        let flows = 1_500 + ((i as u64 * 7 + heartbeats * 13) % 100) as u32;
        agents.push(AgentReport {
            name: name.clone(),
            applied: zone.applied,
            flows,
            busy_slots: busy,
            key_epochs: vec![1],
        });
    }
    Report { applied: zone.applied, agents, events: Vec::new() }
}
