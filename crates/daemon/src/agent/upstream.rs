//! Connections to the upstream (HTTP/1.1).
//!
//! What matters for a request is whether any of its bytes may have reached the upstream. A request that is not
//! idempotent gets a connection of its own, since a kept one may be closed by the other side at the same moment.

use std::{io, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Empty, combinators::UnsyncBoxBody};
use hyper::{
    body::Incoming,
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use thiserror::Error;
use tokio::{net::TcpStream, task::JoinHandle, time, time::Instant};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// A connection idle for longer is not used again.
const KEEP: Duration = Duration::from_secs(2);
const MAX_KEPT: usize = 64;

/// Body of a request to the upstream.
pub(crate) type Payload = UnsyncBoxBody<Bytes, io::Error>;

/// Why an attempt failed.
#[derive(Debug, Error)]
pub(crate) enum AttemptError {
    /// No byte of the request left.
    #[error("{0}")]
    NotSent(String),
    /// Bytes of the request may have reached the upstream.
    #[error("{0}")]
    MaybeSent(String),
}

/// The upstream and connections to it.
pub(crate) struct Upstream {
    address: SocketAddr,
    kept: Mutex<Vec<(Instant, Conn)>>,
}

/// A connection. Dropped, it closes, which cancels the request on it.
pub(crate) struct Conn {
    sender: SendRequest<Payload>,
    driver: JoinHandle<()>,
}

impl Drop for Conn {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl Conn {
    /// Sends a request and waits for the answer's head.
    pub(crate) async fn send(
        &mut self,
        request: Request<Payload>,
    ) -> Result<Response<Incoming>, AttemptError> {
        match self.sender.try_send_request(request).await {
            Ok(response) => Ok(response),
            Err(mut e) => {
                let unsent = e.take_message().is_some();
                let text = format!("send to the upstream: {}", e.into_error());
                Err(if unsent {
                    AttemptError::NotSent(text)
                } else {
                    AttemptError::MaybeSent(text)
                })
            }
        }
    }
}

impl Upstream {
    /// The upstream at `address`; connects when needed.
    pub(crate) fn new(address: SocketAddr) -> Upstream {
        Upstream { address, kept: Mutex::default() }
    }

    /// Its address.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// A connection, a kept one if `reuse`.
    pub(crate) async fn connect(&self, reuse: bool) -> Result<Conn, AttemptError> {
        if reuse {
            if let Some(conn) = self.take_kept() {
                return Ok(conn);
            }
        }
        let not_sent =
            |e: String| AttemptError::NotSent(format!("connect to upstream {}: {e}", self.address));
        let stream = time::timeout(CONNECT_TIMEOUT, TcpStream::connect(self.address))
            .await
            .map_err(|_| not_sent("no answer in time".to_owned()))?
            .map_err(|e| not_sent(e.to_string()))?;
        stream.set_nodelay(true).map_err(|e| not_sent(e.to_string()))?;
        let (sender, driver) =
            http1::handshake(TokioIo::new(stream)).await.map_err(|e| not_sent(e.to_string()))?;
        let driver = tokio::spawn(async move {
            if let Err(e) = driver.await {
                tracing::debug!("upstream connection: {e}");
            }
        });
        Ok(Conn { sender, driver })
    }

    /// Keeps a connection whose answer was read to the end.
    pub(crate) fn keep(&self, conn: Conn) {
        if conn.sender.is_closed() {
            return;
        }
        let mut kept = self.kept.lock();
        let now = Instant::now();
        kept.retain(|(at, it)| now < *at + KEEP && !it.sender.is_closed());
        if kept.len() < MAX_KEPT {
            kept.push((now, conn));
        }
    }

    /// Asks the upstream for its load; the text of the answer.
    pub(crate) async fn load(&self) -> Result<Bytes, AttemptError> {
        let mut conn = self.connect(false).await?;
        let empty = Empty::new().map_err(|never| match never {}).boxed_unsync();
        let request = Request::get("/load")
            .header(http::header::HOST, self.address.to_string())
            .body(empty)
            .expect("the request is built from constants");
        let response = conn.send(request).await?;
        let body = response.into_body().collect().await;
        let lost = |e: hyper::Error| AttemptError::MaybeSent(format!("read the load: {e}"));
        Ok(body.map_err(lost)?.to_bytes())
    }

    fn take_kept(&self) -> Option<Conn> {
        let mut kept = self.kept.lock();
        let now = Instant::now();
        while let Some((at, conn)) = kept.pop() {
            if now < at + KEEP && conn.sender.is_ready() {
                return Some(conn);
            }
        }
        None
    }
}
