//! Background tasks of the agent: applies snapshots, probes the upstream, and performs the graceful stop.

use std::{sync::Arc, time::Duration};

use anyhow::Context;
use camphorwinch_core::{failure_detector::PAUSE_DETECTION_MS, snapshot::Snapshot};
use serde::Deserialize;
use tokio::{
    sync::{mpsc, watch},
    task::JoinSet,
    time::{self, MissedTickBehavior},
};

use super::{claim, datagram, handover, node::Node};
use crate::{
    clock,
    control::AcceptedLink,
    event::{self, EventId, EventSubject},
};

const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Interval of the check for pauses of the process.
const PAUSE_CHECK_INTERVAL: Duration = Duration::from_millis(100);
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout for the transfer of claims to other agents.
const CLAIM_TRANSFER_TIMEOUT: Duration = Duration::from_secs(10);
/// Consecutive failed probes after which the upstream is reported as lost.
const LOST_AFTER_FAILURES: u32 = 3;

/// Response of the upstream to a probe. The state is only reported: any response proves that the upstream is reachable.
#[derive(Debug, Deserialize)]
struct Load {
    state: String,
}

/// Background tasks of an agent, which are aborted on drop.
pub(crate) struct AgentTasks {
    node: Arc<Node>,
    tasks: JoinSet<()>,
}

impl AgentTasks {
    /// Starts the tasks. Sends the revision of each applied snapshot to `applied`.
    pub(crate) fn start(
        node: Arc<Node>,
        snapshots: watch::Receiver<Arc<Snapshot>>,
        applied: watch::Sender<u64>,
    ) -> AgentTasks {
        let mut tasks = JoinSet::new();
        tasks.spawn(apply_snapshots(Arc::clone(&node), snapshots, applied));
        tasks.spawn(probe_upstream(Arc::clone(&node)));
        tasks.spawn(datagram::run(Arc::clone(&node)));
        tasks.spawn(detect_pauses(Arc::clone(&node)));
        AgentTasks { node, tasks }
    }

    /// Serves links that other agents open, until the channel closes.
    pub(crate) fn serve_links(
        &self,
        accepted: Option<mpsc::Receiver<AcceptedLink>>,
    ) -> impl Future<Output = ()> + Send + 'static {
        let node = Arc::clone(&self.node);
        async move {
            let Some(mut accepted) = accepted else {
                return;
            };
            let mut links = JoinSet::new();
            loop {
                tokio::select! {
                    link = accepted.recv() => match link {
                        Some(link) => {
                            links.spawn(handover::serve_link(Arc::clone(&node), link));
                        }
                        None => return,
                    },
                    Some(_) = links.join_next() => {}
                }
            }
        }
    }

    /// Rejects new work, waits up to `timeout` for flows and requests to end, and transfers the claims. False if
    /// some were still in progress after the timeout.
    pub(crate) async fn drain(&mut self, timeout: Duration) -> bool {
        self.node.stop();
        self.node.tasks.close();
        let done = time::timeout(timeout, self.node.tasks.wait()).await.is_ok();
        let about = EventSubject::new().with_upstream(&self.node.settings.name);
        if done {
            self.node.report_drained();
        } else {
            let text = format!("{} flows are still open", self.node.flows());
            event::emit(EventId::DrainTimeout, about, &text);
        }
        claim::transfer_claims(&self.node, CLAIM_TRANSFER_TIMEOUT).await;
        done
    }

    /// Aborts the tasks and waits for them.
    pub(crate) async fn stop(mut self) {
        self.tasks.shutdown().await;
    }
}

async fn apply_snapshots(
    node: Arc<Node>,
    mut snapshots: watch::Receiver<Arc<Snapshot>>,
    applied: watch::Sender<u64>,
) {
    loop {
        let snapshot = Arc::clone(&snapshots.borrow_and_update());
        let revision = snapshot.revision;
        node.apply(snapshot);
        applied.send_replace(revision);
        if snapshots.changed().await.is_err() {
            return;
        }
    }
}

/// Detects pauses of this process: it may have been reported as down and have missed claims.
async fn detect_pauses(node: Arc<Node>) {
    let mut last = clock::now_ms();
    loop {
        time::sleep(PAUSE_CHECK_INTERVAL).await;
        let now = clock::now_ms();
        if now.saturating_sub(last) > PAUSE_DETECTION_MS {
            node.rosters.lock().record_pause(now);
        }
        last = now;
    }
}

async fn probe_upstream(node: Arc<Node>) {
    let mut ticks = time::interval(PROBE_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut failures = 0;
    let mut reachable = false;
    loop {
        ticks.tick().await;
        let about = || EventSubject::new().with_upstream(&node.settings.name);
        match query_load(&node).await {
            Ok(load) => {
                failures = 0;
                if !reachable {
                    reachable = true;
                    event::emit(EventId::UpstreamBack, about(), &format!("state {}", load.state));
                }
            }
            Err(e) => {
                failures += 1;
                if reachable && failures >= LOST_AFTER_FAILURES {
                    reachable = false;
                    event::emit(EventId::UpstreamLost, about(), &format!("{e:#}"));
                }
            }
        }
        node.set_upstream_reachable(reachable);
        node.report_drained();
        node.links.close_expired();
        node.notify_changed();
    }
}

async fn query_load(node: &Node) -> anyhow::Result<Load> {
    let step = || format!("query the load of upstream {}", node.upstream.address());
    let body = time::timeout(PROBE_TIMEOUT, node.upstream.fetch_load())
        .await
        .with_context(step)?
        .with_context(step)?;
    serde_json::from_slice(&body).with_context(step)
}
