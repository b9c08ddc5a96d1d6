//! HTTP/1.1 connections to the upstream.
//!
//! Errors distinguish whether any byte of a request may have reached the upstream. A request that is not idempotent
//! uses a new connection, since the upstream may close an idle one at any time.

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
/// Connections that were idle for longer are not reused.
const IDLE_TIMEOUT: Duration = Duration::from_secs(2);
const MAX_IDLE: usize = 64;

/// Body of a request to the upstream.
pub(crate) type RequestPayload = UnsyncBoxBody<Bytes, io::Error>;

/// Why an attempt failed.
#[derive(Debug, Error)]
pub(crate) enum AttemptError {
    /// No byte of the request was sent.
    #[error("{0}")]
    NotSent(String),
    /// Some bytes of the request may have reached the upstream.
    #[error("{0}")]
    MaybeSent(String),
}

/// The upstream with idle connections to it.
pub(crate) struct Upstream {
    address: SocketAddr,
    idle: Mutex<Vec<(Instant, UpstreamConnection)>>,
}

/// A connection to the upstream. Dropping it closes the connection and cancels its request.
pub(crate) struct UpstreamConnection {
    sender: SendRequest<RequestPayload>,
    driver: JoinHandle<()>,
}

impl Drop for UpstreamConnection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl UpstreamConnection {
    /// Sends a request and waits for the head of the response.
    pub(crate) async fn send(
        &mut self,
        request: Request<RequestPayload>,
    ) -> Result<Response<Incoming>, AttemptError> {
        match self.sender.try_send_request(request).await {
            Ok(response) => Ok(response),
            Err(mut e) => {
                let unsent = e.take_message().is_some();
                let text = format!("send the request to the upstream: {}", e.into_error());
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
    /// The upstream at `address`. Connects on demand.
    pub(crate) fn new(address: SocketAddr) -> Upstream {
        Upstream { address, idle: Mutex::default() }
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns a connection, an idle one if `reuse` is set and there is one.
    pub(crate) async fn connect(&self, reuse: bool) -> Result<UpstreamConnection, AttemptError> {
        if reuse {
            if let Some(conn) = self.take_idle() {
                return Ok(conn);
            }
        }
        let not_sent =
            |e: String| AttemptError::NotSent(format!("connect to upstream {}: {e}", self.address));
        let stream = time::timeout(CONNECT_TIMEOUT, TcpStream::connect(self.address))
            .await
            .map_err(|_| not_sent("timed out".to_owned()))?
            .map_err(|e| not_sent(e.to_string()))?;
        stream.set_nodelay(true).map_err(|e| not_sent(e.to_string()))?;
        let (sender, driver) =
            http1::handshake(TokioIo::new(stream)).await.map_err(|e| not_sent(e.to_string()))?;
        let driver = tokio::spawn(async move {
            if let Err(e) = driver.await {
                tracing::debug!("connection to the upstream: {e}");
            }
        });
        Ok(UpstreamConnection { sender, driver })
    }

    /// Keeps a connection for reuse after its response was read to the end.
    pub(crate) fn put_idle(&self, conn: UpstreamConnection) {
        if conn.sender.is_closed() {
            return;
        }
        let mut idle = self.idle.lock();
        let now = Instant::now();
        idle.retain(|(at, it)| now < *at + IDLE_TIMEOUT && !it.sender.is_closed());
        if idle.len() < MAX_IDLE {
            idle.push((now, conn));
        }
    }

    /// Requests `/load` of the upstream and returns the response body.
    pub(crate) async fn fetch_load(&self) -> Result<Bytes, AttemptError> {
        let mut conn = self.connect(false).await?;
        let empty = Empty::new().map_err(|never| match never {}).boxed_unsync();
        let request = Request::get("/load")
            .header(http::header::HOST, self.address.to_string())
            .body(empty)
            .expect("the request is built from constants");
        let response = conn.send(request).await?;
        let body = response.into_body().collect().await;
        let lost =
            |e: hyper::Error| AttemptError::MaybeSent(format!("read the response to /load: {e}"));
        Ok(body.map_err(lost)?.to_bytes())
    }

    fn take_idle(&self) -> Option<UpstreamConnection> {
        let mut idle = self.idle.lock();
        let now = Instant::now();
        while let Some((at, conn)) = idle.pop() {
            if now < at + IDLE_TIMEOUT && conn.sender.is_ready() {
                return Some(conn);
            }
        }
        None
    }
}
