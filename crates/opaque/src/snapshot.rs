//! Snapshots of a process's state, served and requested over TCP.

#[cfg(test)]
mod tests;

use std::{net::SocketAddrV4, sync::Arc, time::Duration};

use anyhow::{Context, anyhow, bail};
use bytes::Bytes;
use camphorwinch_core::opaque::revision::Revision;
use camphorwinch_wire::{
    frame::{Frames, frames},
    opaque::{Snapshot, SnapshotRequest},
};
use futures::{SinkExt, StreamExt};
use prost::Message;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{Semaphore, watch},
    time::timeout,
};

use crate::{
    lists::{Answer, Lists},
    socket,
};

/// Timeout for sending a request or an answer: a round trip between regions plus the transfer of a large configuration.
pub(crate) const REQUEST_TIMEOUT: Duration = Duration::from_millis(600);

/// Bound on concurrent answers, which limits memory when a whole fleet restarts: hundreds of processes ask then, and an
/// answer is some 100 kB at 1,000 members.
const MAX_CONCURRENT_ANSWERS: usize = 16;
/// Timeout for the answer after the first response; the peer may have to read the list.
const PENDING_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Serves the latest state at `address`.
pub(crate) fn serve(
    address: SocketAddrV4,
    newest: watch::Receiver<Arc<Snapshot>>,
    lists: Option<Arc<Lists>>,
) -> anyhow::Result<()> {
    let listener = socket::tcp(address, "snapshots")?;
    tokio::spawn(accept(listener, newest, lists, REQUEST_TIMEOUT));
    Ok(())
}

async fn accept(
    listener: TcpListener,
    newest: watch::Receiver<Arc<Snapshot>>,
    lists: Option<Arc<Lists>>,
    send_timeout: Duration,
) {
    let permits = Arc::new(Semaphore::new(MAX_CONCURRENT_ANSWERS));
    loop {
        let Ok((stream, peer)) = listener.accept().await else {
            tokio::task::yield_now().await;
            continue;
        };
        let (newest, lists, permits) = (newest.clone(), lists.clone(), permits.clone());
        tokio::spawn(async move {
            if let Err(e) = answer(stream, &newest, lists.as_deref(), &permits, send_timeout).await
            {
                tracing::debug!("failed to answer a snapshot request from {peer}: {e:#}");
            }
        });
    }
}

async fn answer(
    stream: TcpStream,
    newest: &watch::Receiver<Arc<Snapshot>>,
    lists: Option<&Lists>,
    permits: &Semaphore,
    send_timeout: Duration,
) -> anyhow::Result<()> {
    let mut frames = frames(stream);
    let request = timeout(REQUEST_TIMEOUT, frames.next()).await.context("no request received")?;
    let request = request.ok_or_else(|| anyhow!("connection closed before a request"))?;
    let request = SnapshotRequest::decode(request.context("receive")?).context("decode")?;
    let answer = match lists {
        None => Answer::Respond { met: true },
        Some(lists) => decide(lists, &request, &mut frames).await?,
    };
    let _permit = permits.acquire().await.context("process is shutting down")?;
    // Dropped before the permit, as its write buffer holds the answer.
    let mut frames = frames;
    let snapshot = match (answer, lists) {
        (Answer::Respond { met }, Some(lists)) => {
            let parts = newest.borrow().select(&request);
            lists.complete(Snapshot { is_fresh: met, ..parts }, request.members())
        }
        (Answer::Refer(others), Some(lists)) => refer(lists.at(), others),
        (Answer::Respond { .. } | Answer::Refer(_), None) => newest.borrow().select(&request),
    };
    let bytes = Bytes::from(snapshot.encode_to_vec());
    timeout(send_timeout, frames.send(bytes))
        .await
        .context("timed out sending the answer")?
        .context("send")
}

/// Decides how to answer. Sends an immediate acknowledgement, so that the requester can tell a slow peer from a dead
/// one.
async fn decide(
    lists: &Lists,
    request: &SnapshotRequest,
    frames: &mut Frames<TcpStream>,
) -> anyhow::Result<Answer> {
    let pending = Snapshot { pending: true, ..Snapshot::default() };
    frames.send(Bytes::from(pending.encode_to_vec())).await.context("send")?;
    Ok(match lists.answer(request) {
        Some(answer) => answer,
        None => lists.answer_later(request).await,
    })
}

fn refer(at: Revision, others: Vec<SocketAddrV4>) -> Snapshot {
    let referrals = others.into_iter().map(Into::into).collect();
    Snapshot { list_era: at.era, list_revision: at.number, referrals, ..Snapshot::default() }
}

/// A request that a peer has acknowledged.
pub(crate) struct PendingRequest {
    frames: Frames<TcpStream>,
    first: Snapshot,
}

impl PendingRequest {
    /// Sends a request and waits up to `response_timeout` for the first response.
    pub(crate) async fn new(
        peer: SocketAddrV4,
        request: &SnapshotRequest,
        response_timeout: Duration,
    ) -> anyhow::Result<PendingRequest> {
        let exchange = async {
            let mut frames = frames(TcpStream::connect(peer).await.context("connect")?);
            frames.send(Bytes::from(request.encode_to_vec())).await.context("send")?;
            let first = receive(&mut frames).await?;
            Ok(PendingRequest { frames, first })
        };
        with_timeout(response_timeout, exchange)
            .await
            .with_context(|| format!("request a snapshot from {peer}"))
    }

    /// Waits for the answer.
    pub(crate) async fn answer(mut self) -> anyhow::Result<Snapshot> {
        if !self.first.pending {
            return Ok(self.first);
        }
        with_timeout(PENDING_TIMEOUT, receive(&mut self.frames)).await
    }
}

/// Requests a snapshot from a peer; `response_timeout` bounds the wait for its first response.
pub(crate) async fn request(
    peer: SocketAddrV4,
    request: &SnapshotRequest,
    response_timeout: Duration,
) -> anyhow::Result<Snapshot> {
    let pending = PendingRequest::new(peer, request, response_timeout).await?;
    pending.answer().await.with_context(|| format!("request a snapshot from {peer}"))
}

async fn receive(frames: &mut Frames<TcpStream>) -> anyhow::Result<Snapshot> {
    let Some(frame) = frames.next().await else { bail!("connection closed before an answer") };
    Snapshot::decode(frame.context("receive")?).context("decode")
}

async fn with_timeout<T, F>(response_timeout: Duration, step: F) -> anyhow::Result<T>
where
    F: Future<Output = anyhow::Result<T>>,
{
    timeout(response_timeout, step).await.map_err(|_| anyhow!("timed out")).flatten()
}
