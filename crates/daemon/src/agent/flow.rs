//! Flows: accepting QUIC connections, reading requests from them, and leaving them gracefully.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use h3::server;
use quinn::{Connecting, Endpoint, Incoming};
use tokio::{
    sync::watch,
    time::{self, Instant},
};
use tokio_util::task::TaskTracker;

use super::{
    meter,
    node::{FlowCount, Node},
    quic::{Connection, Ends},
    request,
    service::{self, Service},
};

/// A handshake that is not done by then is given up. A caller whose first round trip met a paused agent or balancer repeats
/// its last message only after seconds, and later each time; by then it holds the flow for open.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(30);
/// Largest head of a request, in bytes.
const MAX_HEAD: u64 = 64 << 10;
/// Requests still taken between the first GOAWAY and the last; those on their way must not be cut.
const GRACE_REQUESTS: usize = 1 << 20;
const GRACE: Duration = Duration::from_secs(1);
/// How long a flow without requests stays open after the last GOAWAY, for the caller to close it.
const LINGER: Duration = Duration::from_secs(4);
/// A caller that acknowledges nothing for so long, with answers on their way, has gone.
const GONE: Duration = Duration::from_secs(10);

/// Takes new flows of a service until its endpoint closes.
pub(crate) async fn accept(node: Arc<Node>, service: Arc<Service>, endpoint: Endpoint) {
    while let Some(incoming) = endpoint.accept().await {
        let first = (incoming.remote_address(), incoming.orig_dst_cid().to_vec());
        if let Some(count) = service.take_accepted(&first) {
            admit(&node, &service, incoming, count);
        } else if service.was_refused(&first) {
            refuse(&service, incoming);
        } else if incoming.remote_address_validated() {
            match service.admit_proven(&node) {
                Some(count) => admit(&node, &service, incoming, count),
                None => refuse(&service, incoming),
            }
        } else if service.was_accepted(&first) {
            // It was asked to prove its address, and the question was lost.
            retry(incoming);
        } else {
            // No balancer named candidates for it: a packet of a handshake that is over.
            incoming.ignore();
        }
    }
}

fn retry(incoming: Incoming) {
    meter::count(&meter::FLOWS, "retry");
    // An error says that the address is proven already.
    let _ = incoming.retry();
}

fn refuse(service: &Service, incoming: Incoming) {
    service::refused(service, incoming.remote_address());
    incoming.refuse();
}

fn admit(node: &Arc<Node>, service: &Arc<Service>, incoming: Incoming, count: FlowCount) {
    let pending = service.pending.load(Ordering::Relaxed);
    if pending >= node.settings.unproven && !incoming.remote_address_validated() {
        retry(incoming);
        return;
    }
    match incoming.accept() {
        Ok(connecting) => {
            let pending = Pending::new(&service.pending);
            let flow = serve(Arc::clone(node), Arc::clone(service), connecting, pending, count);
            node.tasks.spawn(flow);
        }
        Err(e) => {
            meter::count(&meter::FLOWS, "failed");
            tracing::debug!("accept a flow of {}: {e}", service.name);
        }
    }
}

/// Counts a flow whose handshake is not done.
struct Pending(Arc<AtomicU32>);

impl Pending {
    fn new(count: &Arc<AtomicU32>) -> Pending {
        count.fetch_add(1, Ordering::Relaxed);
        Pending(Arc::clone(count))
    }
}

impl Drop for Pending {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

async fn serve(
    node: Arc<Node>,
    service: Arc<Service>,
    connecting: Connecting,
    pending: Pending,
    count: FlowCount,
) {
    let _count = count;
    let Ok(Ok(conn)) = time::timeout(HANDSHAKE_TIMEOUT, connecting).await else {
        meter::count(&meter::FLOWS, "failed");
        return;
    };
    drop(pending);
    meter::count(&meter::FLOWS, "accepted");
    let ends = Ends::default();
    let quic = Connection::new(conn.clone(), ends.clone());
    let built = server::builder().max_field_section_size(MAX_HEAD).build::<_, Bytes>(quic).await;
    let Ok(h3) = built else {
        meter::count(&meter::FLOWS, "failed");
        return;
    };
    let leaving = service.leaving();
    let flow = Flow { node, service, conn, h3, ends, requests: TaskTracker::new(), accepted: 0 };
    flow.run(leaving).await;
}

type H3 = server::Connection<Connection, Bytes>;

struct Flow {
    node: Arc<Node>,
    service: Arc<Service>,
    conn: quinn::Connection,
    h3: H3,
    ends: Ends,
    requests: TaskTracker,
    accepted: u64,
}

/// How far a flow is on its way out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Takes requests.
    Open,
    /// The caller was told to leave; requests on their way are still taken.
    Leaving { until: Instant },
    /// Requests from this number on are rejected.
    Closing { limit: u64 },
    /// No request is left; the caller may close.
    Idle { until: Instant },
}

impl Flow {
    async fn run(mut self, mut leaving: watch::Receiver<bool>) {
        let mut phase = Phase::Open;
        let mut limit = u64::MAX;
        loop {
            let requests = self.requests.clone();
            let (conn, ends) = (self.conn.clone(), self.ends.clone());
            tokio::select! {
                accepted = self.h3.accept() => match accepted {
                    Ok(Some(resolver)) => {
                        let turn = self.accepted;
                        self.accepted += 1;
                        self.spawn(resolver, turn < limit);
                        if let Phase::Idle { until } = &mut phase {
                            // The caller has not heard of GOAWAY yet, and must get its rejection.
                            *until = Instant::now() + LINGER;
                        }
                    }
                    Ok(None) => break,
                    Err(e) => {
                        tracing::debug!("flow of {} ended: {e}", self.service.name);
                        return;
                    }
                },
                () = told(&mut leaving), if phase == Phase::Open => {
                    if self.h3.shutdown(GRACE_REQUESTS).await.is_err() {
                        return;
                    }
                    if self.accepted == 0 {
                        // Without a request so far, the first GOAWAY rejects all.
                        limit = 0;
                    }
                    phase = Phase::Leaving { until: Instant::now() + GRACE };
                },
                () = sleep(phase), if matches!(phase, Phase::Leaving { .. }) => {
                    if self.h3.shutdown(1).await.is_err() {
                        return;
                    }
                    // The library names the next request in GOAWAY but would still take it.
                    limit = limit.min(self.accepted);
                    phase = Phase::Closing { limit };
                    self.requests.close();
                },
                () = requests.wait(), if matches!(phase, Phase::Closing { .. }) => {
                    phase = Phase::Idle { until: Instant::now() + LINGER };
                },
                () = gone(&conn, &ends, &requests), if matches!(phase, Phase::Closing { .. }) => {
                    meter::count(&meter::FLOWS, "gone");
                    return;
                },
                () = sleep(phase), if matches!(phase, Phase::Idle { .. }) => break,
            }
        }
        // Dropping the connection closes it; answers on their way must arrive first.
        self.requests.close();
        self.requests.wait().await;
        meter::count(&meter::FLOWS, "left");
    }

    fn spawn(&self, resolver: server::RequestResolver<Connection, Bytes>, taken: bool) {
        let node = Arc::clone(&self.node);
        let service = Arc::clone(&self.service);
        let ends = self.ends.clone();
        let request = request::serve(node, service, resolver, ends, taken);
        self.requests.spawn(self.node.tasks.track_future(request));
    }
}

/// Completes when the flow must leave.
async fn told(leaving: &mut watch::Receiver<bool>) {
    // The sender lives as long as the service, which the flow holds.
    let _ = leaving.wait_for(|it| *it).await;
}

/// Completes when nothing is left but answers that the caller does not acknowledge.
async fn gone(conn: &quinn::Connection, ends: &Ends, requests: &TaskTracker) {
    let mut heard = conn.stats().udp_rx.datagrams;
    let mut since = Instant::now();
    while since.elapsed() < GONE {
        time::sleep(GONE / 10).await;
        let now = conn.stats().udp_rx.datagrams;
        if now != heard || requests.len() > ends.unacknowledged() {
            heard = now;
            since = Instant::now();
        }
    }
}

async fn sleep(phase: Phase) {
    match phase {
        Phase::Leaving { until } | Phase::Idle { until } => time::sleep_until(until).await,
        Phase::Open | Phase::Closing { .. } => {}
    }
}
