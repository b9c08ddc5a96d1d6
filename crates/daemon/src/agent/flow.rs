//! Flows: accepts QUIC connections, reads requests from them and closes them gracefully.

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
    metrics,
    node::{FlowGuard, Node},
    quic::{Connection, EndWatchers},
    request,
    service::{self, Service},
};

/// Long enough for a caller's retransmissions, which back off to several seconds after a pause on the path.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(30);
const MAX_HEADER_BYTES: u64 = 64 << 10;
/// Requests still accepted between the first GOAWAY and the last, since some may be in flight.
const DRAIN_GRACE_REQUESTS: usize = 1 << 20;
/// Time between the first GOAWAY and the last.
const DRAIN_GRACE: Duration = Duration::from_secs(1);
/// Time that a flow without requests stays open after the last GOAWAY, so that the caller can close it.
const LINGER: Duration = Duration::from_secs(4);
/// A caller that sends no packet for this long while responses are unacknowledged is treated as gone.
const UNRESPONSIVE_TIMEOUT: Duration = Duration::from_secs(10);

/// Accepts new flows of a service until its endpoint closes.
pub(crate) async fn accept(node: Arc<Node>, service: Arc<Service>, endpoint: Endpoint) {
    while let Some(incoming) = endpoint.accept().await {
        let first = (incoming.remote_address(), incoming.orig_dst_cid().to_vec());
        if let Some(guard) = service.take_accepted(&first) {
            accept_flow(&node, &service, incoming, guard);
        } else if service.was_rejected(&first) {
            refuse(&service, incoming);
        } else if incoming.remote_address_validated() {
            match service.admit_validated(&node) {
                Some(guard) => accept_flow(&node, &service, incoming, guard),
                None => refuse(&service, incoming),
            }
        } else if service.was_accepted(&first) {
            // The Retry packet sent to this caller was lost.
            retry(incoming);
        } else {
            // Without an admission decision this is a late packet of a finished handshake.
            incoming.ignore();
        }
    }
}

fn retry(incoming: Incoming) {
    metrics::count(&metrics::FLOWS, "retry");
    // Fails only if the address is validated already.
    let _ = incoming.retry();
}

fn refuse(service: &Service, incoming: Incoming) {
    service::report_rejected(service, incoming.remote_address());
    incoming.refuse();
}

fn accept_flow(node: &Arc<Node>, service: &Arc<Service>, incoming: Incoming, guard: FlowGuard) {
    let pending = service.pending_handshakes.load(Ordering::Relaxed);
    if pending >= node.settings.max_unvalidated_handshakes && !incoming.remote_address_validated() {
        retry(incoming);
        return;
    }
    match incoming.accept() {
        Ok(connecting) => {
            let pending = PendingHandshake::new(&service.pending_handshakes);
            let flow = run_flow(Arc::clone(node), Arc::clone(service), connecting, pending, guard);
            node.tasks.spawn(flow);
        }
        Err(e) => {
            metrics::count(&metrics::FLOWS, "failed");
            tracing::debug!("accept flow of service {}: {e}", service.name);
        }
    }
}

/// Guard that counts a pending handshake.
struct PendingHandshake(Arc<AtomicU32>);

impl PendingHandshake {
    fn new(counter: &Arc<AtomicU32>) -> PendingHandshake {
        counter.fetch_add(1, Ordering::Relaxed);
        PendingHandshake(Arc::clone(counter))
    }
}

impl Drop for PendingHandshake {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

async fn run_flow(
    node: Arc<Node>,
    service: Arc<Service>,
    connecting: Connecting,
    pending: PendingHandshake,
    guard: FlowGuard,
) {
    let _guard = guard;
    let Ok(Ok(conn)) = time::timeout(HANDSHAKE_TIMEOUT, connecting).await else {
        metrics::count(&metrics::FLOWS, "failed");
        return;
    };
    drop(pending);
    metrics::count(&metrics::FLOWS, "accepted");
    let ends = EndWatchers::default();
    let quic = Connection::new(conn.clone(), ends.clone());
    let built =
        server::builder().max_field_section_size(MAX_HEADER_BYTES).build::<_, Bytes>(quic).await;
    let Ok(h3) = built else {
        metrics::count(&metrics::FLOWS, "failed");
        return;
    };
    let draining = service.draining();
    let flow = Flow { node, service, conn, h3, ends, requests: TaskTracker::new(), accepted: 0 };
    flow.run(draining).await;
}

type H3 = server::Connection<Connection, Bytes>;

struct Flow {
    node: Arc<Node>,
    service: Arc<Service>,
    conn: quinn::Connection,
    h3: H3,
    ends: EndWatchers,
    requests: TaskTracker,
    accepted: u64,
}

/// Progress of a flow's graceful close.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Accepts requests.
    Open,
    /// The first GOAWAY was sent; requests in flight are still accepted.
    Draining { until: Instant },
    /// The last GOAWAY was sent; requests from this index on are rejected.
    Closing { limit: u64 },
    /// No request is left; waits for the caller to close the flow.
    Lingering { until: Instant },
}

impl Flow {
    async fn run(mut self, mut draining: watch::Receiver<bool>) {
        let mut phase = Phase::Open;
        let mut limit = u64::MAX;
        loop {
            let requests = self.requests.clone();
            let (conn, ends) = (self.conn.clone(), self.ends.clone());
            tokio::select! {
                accepted = self.h3.accept() => match accepted {
                    Ok(Some(resolver)) => {
                        let index = self.accepted;
                        self.accepted += 1;
                        self.spawn(resolver, index < limit);
                        if let Phase::Lingering { until } = &mut phase {
                            // The caller has not received GOAWAY yet; leave time for the rejection to arrive.
                            *until = Instant::now() + LINGER;
                        }
                    }
                    Ok(None) => break,
                    Err(e) => {
                        tracing::debug!("flow of service {} ended: {e}", self.service.name);
                        return;
                    }
                },
                () = drain_requested(&mut draining), if phase == Phase::Open => {
                    if self.h3.shutdown(DRAIN_GRACE_REQUESTS).await.is_err() {
                        return;
                    }
                    if self.accepted == 0 {
                        // With no request so far, the library's first GOAWAY rejects all requests.
                        limit = 0;
                    }
                    phase = Phase::Draining { until: Instant::now() + DRAIN_GRACE };
                },
                () = sleep(phase), if matches!(phase, Phase::Draining { .. }) => {
                    if self.h3.shutdown(1).await.is_err() {
                        return;
                    }
                    // The library announces the next request ID in GOAWAY but still accepts that request.
                    limit = limit.min(self.accepted);
                    phase = Phase::Closing { limit };
                    self.requests.close();
                },
                () = requests.wait(), if matches!(phase, Phase::Closing { .. }) => {
                    phase = Phase::Lingering { until: Instant::now() + LINGER };
                },
                () = caller_unresponsive(&conn, &ends, &requests), if matches!(phase, Phase::Closing { .. }) => {
                    metrics::count(&metrics::FLOWS, "gone");
                    return;
                },
                () = sleep(phase), if matches!(phase, Phase::Lingering { .. }) => break,
            }
        }
        // Dropping the connection closes it; responses must be delivered first.
        self.requests.close();
        self.requests.wait().await;
        metrics::count(&metrics::FLOWS, "left");
    }

    fn spawn(&self, resolver: server::RequestResolver<Connection, Bytes>, accepted: bool) {
        let node = Arc::clone(&self.node);
        let service = Arc::clone(&self.service);
        let ends = self.ends.clone();
        let request = request::serve(node, service, resolver, ends, accepted);
        self.requests.spawn(self.node.tasks.track_future(request));
    }
}

/// Completes when the service's flows must be drained.
async fn drain_requested(draining: &mut watch::Receiver<bool>) {
    // The flow holds the service and with it the sender.
    let _ = draining.wait_for(|it| *it).await;
}

/// Completes when all that is left are responses that the caller does not acknowledge.
async fn caller_unresponsive(conn: &quinn::Connection, ends: &EndWatchers, requests: &TaskTracker) {
    let mut last_datagrams = conn.stats().udp_rx.datagrams;
    let mut since = Instant::now();
    while since.elapsed() < UNRESPONSIVE_TIMEOUT {
        time::sleep(UNRESPONSIVE_TIMEOUT / 10).await;
        let datagrams = conn.stats().udp_rx.datagrams;
        if datagrams != last_datagrams || requests.len() > ends.unacknowledged() {
            last_datagrams = datagrams;
            since = Instant::now();
        }
    }
}

async fn sleep(phase: Phase) {
    match phase {
        Phase::Draining { until } | Phase::Lingering { until } => time::sleep_until(until).await,
        Phase::Open | Phase::Closing { .. } => {}
    }
}
