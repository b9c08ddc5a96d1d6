//! What a balancer knows, asked for and given over TCP when the store is of no use.

use std::{net::SocketAddrV4, sync::Arc, time::Duration};

use anyhow::{Context, anyhow};
use bytes::Bytes;
use camphorwinch_wire::{frame::frames, opaque::Snapshot};
use futures::{SinkExt, StreamExt};
use prost::Message;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
    time::timeout,
};

use crate::socket;

/// Time for asking one peer: a round trip between regions, the transfer of a large configuration, and some.
const ASK_TIMEOUT: Duration = Duration::from_millis(600);

/// Serves the newest snapshot to whoever connects.
pub(crate) fn serve(
    address: SocketAddrV4,
    newest: watch::Receiver<Arc<Snapshot>>,
) -> anyhow::Result<()> {
    let listener = socket::tcp(address, "snapshots")?;
    tokio::spawn(accept(listener, newest));
    Ok(())
}

async fn accept(listener: TcpListener, newest: watch::Receiver<Arc<Snapshot>>) {
    loop {
        let Ok((stream, peer)) = listener.accept().await else {
            tokio::task::yield_now().await;
            continue;
        };
        let bytes = newest.borrow().encode_to_vec();
        tokio::spawn(async move {
            let send = async { frames(stream).send(Bytes::from(bytes)).await };
            match timeout(ASK_TIMEOUT, send).await {
                Ok(Ok(())) => {}
                Ok(Err(e)) => tracing::debug!("send a snapshot to {peer}: {e}"),
                Err(_) => tracing::debug!("send a snapshot to {peer}: not in time"),
            }
        });
    }
}

/// Asks a peer for its snapshot.
pub(crate) async fn ask(peer: SocketAddrV4) -> anyhow::Result<Snapshot> {
    let ask = async {
        let stream = TcpStream::connect(peer).await.context("connect")?;
        let frame = frames(stream).next().await.ok_or_else(|| anyhow!("closed without answer"))?;
        Snapshot::decode(frame.context("receive")?).context("decode")
    };
    let result = timeout(ASK_TIMEOUT, ask).await;
    result.map_err(|_| anyhow!("no answer")).flatten().with_context(|| format!("ask {peer}"))
}
