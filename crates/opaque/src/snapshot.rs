//! What a process knows, asked for and told over TCP.

#[cfg(test)]
mod tests;

use std::{net::SocketAddrV4, sync::Arc, time::Duration};

use anyhow::{Context, anyhow, bail};
use bytes::Bytes;
use camphorwinch_core::opaque::revision::Revision;
use camphorwinch_wire::{
    frame::{Frames, frames},
    opaque::{Question, Snapshot},
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

/// Time for the question and for the answer to pass: a round trip between regions, the transfer of a large configuration, and some.
pub(crate) const ASK_TIMEOUT: Duration = Duration::from_millis(600);

/// Answers that are written at once: after a loss of power hundreds of processes ask, and an answer is some 100 kB at 1,000 members.
const TOLD_AT_ONCE: usize = 16;
/// Time for an answer after the first word: its sender may have to read the list.
const PENDING_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Tells the newest state to whoever asks.
pub(crate) fn serve(
    address: SocketAddrV4,
    newest: watch::Receiver<Arc<Snapshot>>,
    lists: Option<Arc<Lists>>,
) -> anyhow::Result<()> {
    let listener = socket::tcp(address, "snapshots")?;
    tokio::spawn(accept(listener, newest, lists));
    Ok(())
}

async fn accept(
    listener: TcpListener,
    newest: watch::Receiver<Arc<Snapshot>>,
    lists: Option<Arc<Lists>>,
) {
    let turns = Arc::new(Semaphore::new(TOLD_AT_ONCE));
    loop {
        let Ok((stream, peer)) = listener.accept().await else {
            tokio::task::yield_now().await;
            continue;
        };
        let (newest, lists, turns) = (newest.clone(), lists.clone(), turns.clone());
        tokio::spawn(async move {
            if let Err(e) = answer(stream, &newest, lists.as_deref(), &turns).await {
                tracing::debug!("tell {peer} what is known: {e:#}");
            }
        });
    }
}

async fn answer(
    stream: TcpStream,
    newest: &watch::Receiver<Arc<Snapshot>>,
    lists: Option<&Lists>,
    turns: &Semaphore,
) -> anyhow::Result<()> {
    let mut frames = frames(stream);
    let question = timeout(ASK_TIMEOUT, frames.next()).await.context("no question")?;
    let question = question.ok_or_else(|| anyhow!("closed without a question"))?;
    let ask = Question::decode(question.context("receive")?).context("decode")?;
    let answer = match lists {
        None => Answer::Tell { met: true },
        Some(lists) => decide(lists, &ask, &mut frames).await?,
    };
    let _turn = turns.acquire().await.context("the process ends")?;
    let snapshot = match (answer, lists) {
        (Answer::Tell { met }, Some(lists)) => {
            let told = newest.borrow().parts(&ask);
            lists.complete(Snapshot { meets_need: met, ..told }, ask.members())
        }
        (Answer::Refer(others), Some(lists)) => refer(lists.at(), others),
        (Answer::Tell { .. } | Answer::Refer(_), None) => newest.borrow().parts(&ask),
    };
    let bytes = Bytes::from(snapshot.encode_to_vec());
    timeout(ASK_TIMEOUT, frames.send(bytes)).await.context("not taken in time")?.context("send")
}

/// Decides how to answer. The asker hears at once that it is heard: it can't tell a process at work from one that stands still.
async fn decide(
    lists: &Lists,
    ask: &Question,
    frames: &mut Frames<TcpStream>,
) -> anyhow::Result<Answer> {
    let pending = Snapshot { pending: true, ..Snapshot::default() };
    frames.send(Bytes::from(pending.encode_to_vec())).await.context("send")?;
    Ok(match lists.answer(ask) {
        Some(answer) => answer,
        None => lists.answer_later(ask).await,
    })
}

fn refer(at: Revision, others: Vec<SocketAddrV4>) -> Snapshot {
    let referred = others.into_iter().map(Into::into).collect();
    Snapshot { list_era: at.era, list_revision: at.number, referred, ..Snapshot::default() }
}

/// A question that a peer is at work on.
pub(crate) struct Asked {
    frames: Frames<TcpStream>,
    first: Snapshot,
}

impl Asked {
    /// Asks a peer and waits for its first word, for `patience` at the most.
    pub(crate) async fn new(
        peer: SocketAddrV4,
        ask: &Question,
        patience: Duration,
    ) -> anyhow::Result<Asked> {
        let exchange = async {
            let mut frames = frames(TcpStream::connect(peer).await.context("connect")?);
            frames.send(Bytes::from(ask.encode_to_vec())).await.context("send")?;
            let first = receive(&mut frames).await?;
            Ok(Asked { frames, first })
        };
        within(patience, exchange).await.with_context(|| format!("ask {peer}"))
    }

    /// The answer.
    pub(crate) async fn answer(mut self) -> anyhow::Result<Snapshot> {
        if !self.first.pending {
            return Ok(self.first);
        }
        within(PENDING_TIMEOUT, receive(&mut self.frames)).await
    }
}

/// Asks a peer; `patience` is for its first word.
pub(crate) async fn ask(
    peer: SocketAddrV4,
    ask: &Question,
    patience: Duration,
) -> anyhow::Result<Snapshot> {
    let asked = Asked::new(peer, ask, patience).await?;
    asked.answer().await.with_context(|| format!("ask {peer}"))
}

async fn receive(frames: &mut Frames<TcpStream>) -> anyhow::Result<Snapshot> {
    let Some(frame) = frames.next().await else { bail!("closed without answer") };
    Snapshot::decode(frame.context("receive")?).context("decode")
}

async fn within<T, F>(patience: Duration, step: F) -> anyhow::Result<T>
where
    F: Future<Output = anyhow::Result<T>>,
{
    timeout(patience, step).await.map_err(|_| anyhow!("no answer")).flatten()
}
