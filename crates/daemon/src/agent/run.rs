//! Running the agent: snapshots put in force, the upstream watched, and the graceful stop.

use std::{sync::Arc, time::Duration};

use anyhow::Context;
use camphorwinch_core::{snapshot::Snapshot, suspect::PAUSE_MS};
use serde::Deserialize;
use tokio::{
    sync::{mpsc, watch},
    task::JoinSet,
    time::{self, MissedTickBehavior},
};

use super::{claim, datagram, handover, node::Node};
use crate::{
    clock,
    control::Accepted,
    event::{self, About, Id},
};

const PROBE_EVERY: Duration = Duration::from_millis(500);
/// Time between looks whether the process was paused.
const PAUSE_LOOK: Duration = Duration::from_millis(100);
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest wait for other agents to take over the claims of this one.
const HAND_OVER_LIMIT: Duration = Duration::from_secs(10);
/// Failed probes in a row after which the upstream counts as lost.
const LOST_AFTER: u32 = 3;

/// What the upstream says of itself. It may lag or lie: only that it answers counts.
#[derive(Debug, Deserialize)]
struct Load {
    state: String,
}

/// Tasks of a running agent; they end when this value is dropped.
pub(crate) struct Running {
    node: Arc<Node>,
    tasks: JoinSet<()>,
}

impl Running {
    /// Starts taking in datagrams under the snapshots that come.
    pub(crate) fn start(
        node: Arc<Node>,
        snapshots: watch::Receiver<Arc<Snapshot>>,
        applied: watch::Sender<u64>,
    ) -> Running {
        let mut tasks = JoinSet::new();
        tasks.spawn(follow(Arc::clone(&node), snapshots, applied));
        tasks.spawn(probe(Arc::clone(&node)));
        tasks.spawn(datagram::run(Arc::clone(&node)));
        tasks.spawn(notice_pauses(Arc::clone(&node)));
        Running { node, tasks }
    }

    /// Serves links that other agents open, until no more come.
    pub(crate) fn links(
        &self,
        accepted: Option<mpsc::Receiver<Accepted>>,
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
                            links.spawn(handover::serve(Arc::clone(&node), link));
                        }
                        None => return,
                    },
                    Some(_) = links.join_next() => {}
                }
            }
        }
    }

    /// Takes no new work, waits until flows and requests have ended, at most for `limit`, and hands over the claims. False
    /// if some flows were left.
    pub(crate) async fn drain(&mut self, limit: Duration) -> bool {
        self.node.stop();
        self.node.tasks.close();
        let done = time::timeout(limit, self.node.tasks.wait()).await.is_ok();
        let about = About::new().with_upstream(&self.node.settings.name);
        if done {
            self.node.report_drained();
        } else {
            let text = format!("{} flows are left", self.node.flows());
            event::emit(Id::DrainTimeout, about, &text);
        }
        claim::hand_over(&self.node, HAND_OVER_LIMIT).await;
        done
    }

    /// Ends the tasks.
    pub(crate) async fn stop(mut self) {
        self.tasks.shutdown().await;
    }
}

async fn follow(
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

/// Notices that the process was paused: it may have been taken for dead, and knows nothing of what was claimed meanwhile.
async fn notice_pauses(node: Arc<Node>) {
    let mut last = clock::now_ms();
    loop {
        time::sleep(PAUSE_LOOK).await;
        let now = clock::now_ms();
        if now.saturating_sub(last) > PAUSE_MS {
            node.rosters.lock().wake(now);
        }
        last = now;
    }
}

async fn probe(node: Arc<Node>) {
    let mut ticks = time::interval(PROBE_EVERY);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut failed = 0;
    let mut reachable = false;
    loop {
        ticks.tick().await;
        let about = || About::new().with_upstream(&node.settings.name);
        match ask(&node).await {
            Ok(load) => {
                failed = 0;
                if !reachable {
                    reachable = true;
                    event::emit(Id::UpstreamBack, about(), &format!("state {}", load.state));
                }
            }
            Err(e) => {
                failed += 1;
                if reachable && failed >= LOST_AFTER {
                    reachable = false;
                    event::emit(Id::UpstreamLost, about(), &format!("{e:#}"));
                }
            }
        }
        node.set_reachable(reachable);
        node.report_drained();
        node.links.sweep();
        node.bump();
    }
}

async fn ask(node: &Node) -> anyhow::Result<Load> {
    let step = || format!("ask upstream {} for its load", node.upstream.address());
    let body = time::timeout(PROBE_TIMEOUT, node.upstream.load())
        .await
        .with_context(step)?
        .with_context(step)?;
    serde_json::from_slice(&body).with_context(step)
}
