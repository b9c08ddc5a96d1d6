//! Members that exist only as records: a peer that tells real balancers of agents, and reports about them as balancers
//! do, so that a few processes carry the records of the whole size.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use anyhow::{Context, bail};
use bytes::Bytes;
use camphorwinch_core::record::{Member, Record};
use camphorwinch_wire::{
    frame::{self, Frames},
    message::{
        AgentReport, Beat, Body, Frame, Hello, PROTOCOL, Purpose, RecordPart, Report, Update,
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

const TELLER: &str = "teller";
const REPORTER: &str = "reporter";
const BEAT: Duration = Duration::from_secs(1);
/// Agents for each second between two reports, which come every 2 to 10 seconds, as those of balancers do.
const REPORT_AGENTS: u64 = 100;
const REPORT_BEATS: std::ops::RangeInclusive<u64> = 2..=10;
/// Records in one message.
const CHUNK: usize = 200;

type Link = Frames<TlsStream<TcpStream>>;

/// What is reported about the made-up agents of a zone.
#[derive(Clone, Debug, Default)]
pub struct Zone {
    /// Names of the agents.
    pub agents: Vec<String>,
    /// Revision that is in force at them.
    pub applied: u64,
}

/// A link to the reporting balancer of a zone; ends when the sender of its zone is dropped.
#[derive(Debug)]
pub struct Reporter {
    /// What is reported.
    pub zone: watch::Sender<Zone>,
    task: JoinHandle<anyhow::Result<()>>,
}

impl Reporter {
    /// Opens a link and reports from now on.
    pub async fn start(fleet: &Fleet, peer: SocketAddr) -> anyhow::Result<Reporter> {
        let link = open(fleet, peer, REPORTER).await?;
        let (zone, updates) = watch::channel(Zone::default());
        let task = tokio::spawn(report(link, updates));
        Ok(Reporter { zone, task })
    }

    /// Ends the link; an error if it did not last.
    pub async fn end(self) -> anyhow::Result<()> {
        drop(self.zone);
        self.task.await.context("report about made-up agents")?
    }
}

/// A link over which members were told; to be kept until they are known, as its end may cut off what was not yet read.
pub struct Told {
    _link: Link,
}

/// Tells a balancer of members.
pub async fn tell(fleet: &Fleet, peer: SocketAddr, members: &[Member]) -> anyhow::Result<Told> {
    let mut link = open(fleet, peer, TELLER).await?;
    for chunk in members.chunks(CHUNK) {
        let part = |it: &Member| RecordPart::from(&Record::Member(it.clone()));
        let records = chunk.iter().map(part).collect();
        send(&mut link, Body::Update(Update { records, ..Update::default() })).await?;
    }
    Ok(Told { _link: link })
}

async fn open(fleet: &Fleet, peer: SocketAddr, name: &str) -> anyhow::Result<Link> {
    let step = || format!("open a link to {peer}");
    let stream = TcpStream::connect(peer).await.with_context(step)?;
    stream.set_nodelay(true).with_context(step)?;
    let config = config(fleet.ca(), &fleet.leaf(name)?)?;
    let server = ServerName::from(peer.ip());
    let stream =
        TlsConnector::from(Arc::new(config)).connect(server, stream).await.with_context(step)?;
    let mut link = frame::frames(stream);
    let hello = Hello {
        protocol: PROTOCOL,
        purpose: Purpose::Mesh as i32,
        name: name.to_owned(),
        incarnation: 1,
        pools: Vec::new(),
    };
    send(&mut link, Body::Hello(hello)).await?;
    let Some(answer) = link.next().await else {
        bail!("open a link to {peer}: closed before the greeting");
    };
    Frame::parse(&answer.with_context(step)?).with_context(step)?;
    Ok(link)
}

fn config(ca: &str, leaf: &Leaf) -> anyhow::Result<ClientConfig> {
    let mut roots = RootCertStore::empty();
    for cert in CertificateDer::pem_slice_iter(ca.as_bytes()) {
        roots.add(cert.context("read the CA")?).context("read the CA")?;
    }
    let chain = CertificateDer::pem_slice_iter(leaf.chain.as_bytes())
        .collect::<Result<Vec<_>, _>>()
        .context("read a certificate")?;
    let key = PrivateKeyDer::from_pem_slice(leaf.key.as_bytes()).context("read a key")?;
    ClientConfig::builder_with_provider(Arc::new(rustls::crypto::ring::default_provider()))
        .with_protocol_versions(&[&TLS13])
        .context("set the TLS version")?
        .with_root_certificates(roots)
        .with_client_auth_cert(chain, key)
        .context("use a certificate of the fleet")
}

async fn send(link: &mut Link, body: Body) -> anyhow::Result<()> {
    let frame = Frame::new(body).encode_to_vec();
    link.send(Bytes::from(frame)).await.context("send to a balancer")
}

async fn report(mut link: Link, mut zone: watch::Receiver<Zone>) -> anyhow::Result<()> {
    let mut beats = interval(BEAT);
    beats.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut count = 0u64;
    loop {
        tokio::select! {
            _ = beats.tick() => {}
            frame = link.next() => {
                frame.context("a balancer ended the link")?.context("read from a balancer")?;
                continue;
            }
        }
        if zone.has_changed().is_err() {
            return Ok(());
        }
        send(&mut link, Body::Beat(Beat::default())).await?;
        count += 1;
        let agents = zone.borrow().agents.len() as u64;
        let beats = (agents / REPORT_AGENTS).clamp(*REPORT_BEATS.start(), *REPORT_BEATS.end());
        if count.is_multiple_of(beats) {
            let report = about(&zone.borrow_and_update(), count);
            send(&mut link, Body::Report(report)).await?;
        }
    }
}

/// A report with loads that change each time, as real ones do.
fn about(zone: &Zone, count: u64) -> Report {
    let mut agents = Vec::new();
    for (i, name) in zone.agents.iter().enumerate() {
        let busy = ((i as u64 + count) % 8) as u32;
        let flows = 1_500 + ((i as u64 * 7 + count * 13) % 100) as u32;
        agents.push(AgentReport {
            name: name.clone(),
            applied: zone.applied,
            flows,
            busy,
            epochs: vec![1],
        });
    }
    Report { applied: zone.applied, agents, events: Vec::new() }
}
