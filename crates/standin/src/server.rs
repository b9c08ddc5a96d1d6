//! HTTP/1.1 server over `hyper`, with JSON responses and deliberately dropped connections.

use std::{future::Future, net::SocketAddr, pin::pin, str::FromStr, time::Duration};

use anyhow::Context;
use bytes::Bytes;
use http::{Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited, combinators::BoxBody};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use serde::{Serialize, de::DeserializeOwned};
use thiserror::Error;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{oneshot, watch},
    task::JoinSet,
    time::{sleep, timeout},
};

/// Pause after a failed accept, such as when file descriptors run out.
pub(crate) const ACCEPT_PAUSE: Duration = Duration::from_millis(10);
const DISCARD_LIMIT: Duration = Duration::from_secs(10);

/// Response body.
pub type Body = BoxBody<Bytes, Dropped>;
/// Result of a handler: a response, or a connection closed without one.
pub type HandlerResult = Result<Response<Body>, Dropped>;

/// The connection is closed deliberately, before or during a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the connection is dropped deliberately")]
pub struct Dropped;

/// An HTTP error with its status and message.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{status}: {message}")]
pub struct HttpError {
    /// Response status.
    pub status: StatusCode,
    /// Error message.
    pub message: String,
}

impl HttpError {
    /// An error with this status.
    pub fn new<S>(status: StatusCode, message: S) -> HttpError
    where
        S: Into<String>,
    {
        HttpError { status, message: message.into() }
    }

    /// 400 Bad Request.
    pub fn bad_request<S>(message: S) -> HttpError
    where
        S: Into<String>,
    {
        HttpError::new(StatusCode::BAD_REQUEST, message)
    }

    /// 404 Not Found for an unknown path or method.
    pub fn not_found(path: &str) -> HttpError {
        HttpError::new(StatusCode::NOT_FOUND, format!("no such path or method: {path}"))
    }

    /// The response with the message as JSON.
    pub fn to_response(&self) -> Response<Body> {
        json_response(self.status, &serde_json::json!({ "error": self.message }))
    }
}

/// A running server; dropping it closes the listener and all connections.
#[derive(Debug)]
pub struct Server {
    addr: SocketAddr,
    _open: oneshot::Sender<()>,
}

impl Server {
    /// Binds the address and serves requests with the handler; fails if the bind fails.
    pub async fn start<H, F>(listen: SocketAddr, handle: H) -> anyhow::Result<Server>
    where
        H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
        F: Future<Output = HandlerResult> + Send + 'static,
    {
        let listener =
            TcpListener::bind(listen).await.with_context(|| format!("listen on {listen}"))?;
        let addr = listener.local_addr().with_context(|| format!("listen on {listen}"))?;
        let (open, closed) = oneshot::channel();
        tokio::spawn(accept(listener, handle, closed));
        Ok(Server { addr, _open: open })
    }

    /// The address that the server listens on.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }
}

async fn accept<H, F>(listener: TcpListener, handle: H, mut closed: oneshot::Receiver<()>)
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = HandlerResult> + Send + 'static,
{
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            _ = &mut closed => return,
            Some(_) = connections.join_next() => {}
            accepted = listener.accept() => {
                let Ok((stream, _)) = accepted else {
                    sleep(ACCEPT_PAUSE).await;
                    continue;
                };
                connections.spawn(serve(stream, handle.clone()));
            }
        }
    }
}

/// Serves the requests of one connection until it closes.
pub async fn serve<H, F>(stream: TcpStream, handle: H)
where
    H: Fn(Request<Incoming>) -> F,
    F: Future<Output = HandlerResult>,
{
    let (_open, closing) = watch::channel(false);
    serve_until(stream, handle, closing).await;
}

/// Serves the requests of one connection until it closes, or until `closing` is true and the request in progress ends.
pub async fn serve_until<H, F>(stream: TcpStream, handle: H, mut closing: watch::Receiver<bool>)
where
    H: Fn(Request<Incoming>) -> F,
    F: Future<Output = HandlerResult>,
{
    let _ = stream.set_nodelay(true);
    let connection =
        http1::Builder::new().serve_connection(TokioIo::new(stream), service_fn(handle));
    let mut connection = pin!(connection);
    let served = tokio::select! {
        served = &mut connection => served,
        () = wait_until_true(&mut closing) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = served {
        tracing::debug!(%error, "connection ended");
    }
}

/// Waits until the value is true or the sender is dropped.
pub async fn wait_until_true(switch: &mut watch::Receiver<bool>) {
    let _ = switch.wait_for(|on| *on).await;
}

/// Reads and drops a body, for a limited time, so that an early response is not lost to a connection reset.
pub fn discard_body(mut body: Incoming) {
    tokio::spawn(timeout(
        DISCARD_LIMIT,
        async move { while let Some(Ok(_)) = body.frame().await {} },
    ));
}

/// A body from bytes in memory.
pub fn full_body<B>(bytes: B) -> Body
where
    B: Into<Bytes>,
{
    Full::new(bytes.into()).map_err(|never| match never {}).boxed()
}

/// A response with JSON text.
pub fn json_text_response<B>(status: StatusCode, text: B) -> Response<Body>
where
    B: Into<Bytes>,
{
    let mut response = Response::new(full_body(text));
    *response.status_mut() = status;
    let json = header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}

/// A response with a value serialized as JSON.
pub fn json_response<T>(status: StatusCode, value: &T) -> Response<Body>
where
    T: Serialize,
{
    match serde_json::to_vec(value) {
        Ok(text) => json_text_response(status, text),
        Err(error) => json_text_response(
            StatusCode::INTERNAL_SERVER_ERROR,
            format!("{{\"error\":\"{error}\"}}"),
        ),
    }
}

/// Reads a JSON body of at most `limit` bytes; fails with 413 or 400.
pub async fn read_json<T>(body: Incoming, limit: usize) -> Result<T, HttpError>
where
    T: DeserializeOwned,
{
    let body = Limited::new(body, limit).collect().await.map_err(|error| {
        if error.is::<http_body_util::LengthLimitError>() {
            let text = format!("the body is larger than {limit} bytes");
            return HttpError::new(StatusCode::PAYLOAD_TOO_LARGE, text);
        }
        HttpError::bad_request(format!("the body is incomplete: {error}"))
    })?;
    serde_json::from_slice(&body.to_bytes())
        .map_err(|e| HttpError::bad_request(format!("body: {e}")))
}

/// Splits a query into its pairs, without percent-decoding.
pub fn query_pairs(query: Option<&str>) -> Vec<(&str, &str)> {
    let parts = query.unwrap_or_default().split('&').filter(|part| !part.is_empty());
    parts.map(|part| part.split_once('=').unwrap_or((part, ""))).collect()
}

/// Parses a value of the query, if present; fails with 400.
pub fn query_value<T>(pairs: &[(&str, &str)], name: &str) -> Result<Option<T>, HttpError>
where
    T: FromStr,
{
    let Some((_, text)) = pairs.iter().find(|(key, _)| *key == name) else {
        return Ok(None);
    };
    let invalid = |_| HttpError::bad_request(format!("query {name}={text:?} can't be parsed"));
    text.parse().map(Some).map_err(invalid)
}
