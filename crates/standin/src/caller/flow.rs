//! A flow: a caller's QUIC connection and its requests.

use std::{
    future::poll_fn,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use bytes::{Buf, Bytes, BytesMut};
use futures::future::join;
use h3::{
    ConnectionState,
    client::{Connection, RequestStream, SendRequest},
    error::{Code, ConnectionError, StreamError},
    quic::{ConnectionErrorIncoming, SendStream},
};
use h3_quinn::OpenStreams;
use http::{HeaderMap, Response, StatusCode};
use quinn::{ClientConfig, Endpoint, VarInt};
use thiserror::Error;
use tokio::{sync::watch, time};

use super::{
    Target,
    outcome::{FailureReason, Outcome, UnknownReason},
    request::CallerRequest,
    verify,
};

/// Response header with the outcome of a request.
pub const OUTCOME: &str = "camphorwinch-outcome";
/// Response header with the agent whose upstream ran the request.
pub const UPSTREAM: &str = "camphorwinch-upstream";
/// Response header with the agent that holds the flow.
pub const AGENT: &str = "camphorwinch-agent";
/// Response header with the request id.
pub const REQUEST: &str = "camphorwinch-request";

const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(10);
const CONNECTION_REFUSED: u64 = 0x02;

/// State of a flow.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FlowState {
    /// New requests may be sent.
    Open,
    /// The peer sent GOAWAY: requests in progress finish, new ones can't start.
    GoingAway,
    /// The connection is closed.
    Ended(FlowEnd),
}

/// How a flow ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FlowEnd {
    /// The caller closed it.
    Caller,
    /// The peer closed it gracefully, with no request in progress.
    Graceful,
    /// It ended in any other way; holds the error.
    Broken(String),
}

/// Why a flow could not be opened.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum OpenError {
    /// The peer refused the connection.
    #[error("refused")]
    Refused,
    /// The handshake failed.
    #[error("handshake: {0}")]
    Handshake(String),
    /// The handshake timed out.
    #[error("handshake: no response in time")]
    Timeout,
}

/// Result of one request attempt.
#[derive(Clone, Debug)]
pub struct RequestResult {
    /// Outcome of the request.
    pub outcome: Outcome,
    /// Time from the first byte sent to the last byte received.
    pub latency: Duration,
    /// Delay before a retry, from `retry-after`.
    pub retry_after: Option<Duration>,
    /// Agent whose upstream ran the request.
    pub upstream: Option<String>,
    /// Request id.
    pub request_id: Option<String>,
}

#[derive(Debug, Default)]
struct SharedState {
    in_flight: AtomicUsize,
    request_lost: AtomicBool,
    closed_by_caller: AtomicBool,
}

/// An open flow.
pub struct Flow {
    /// Flow number, unique within the run.
    pub id: u64,
    target: Target,
    conn: quinn::Connection,
    sender: SendRequest<OpenStreams, Bytes>,
    shared: Arc<SharedState>,
    state: watch::Receiver<FlowState>,
    agent: parking_lot::Mutex<Option<String>>,
}

type Driver = Connection<h3_quinn::Connection, Bytes>;

impl Flow {
    /// Opens a flow to the target; fails if refused or after the handshake timeout.
    pub async fn open(
        id: u64,
        endpoint: &Endpoint,
        config: &ClientConfig,
        target: &Target,
    ) -> Result<Flow, OpenError> {
        let conn = match time::timeout(HANDSHAKE_TIMEOUT, handshake(endpoint, config, target)).await
        {
            Ok(it) => it?,
            Err(_) => return Err(OpenError::Timeout),
        };
        let (driver, sender) = h3::client::builder()
            .build::<_, _, Bytes>(h3_quinn::Connection::new(conn.clone()))
            .await
            .map_err(|e| OpenError::Handshake(e.to_string()))?;
        let shared = Arc::new(SharedState::default());
        let (tx, state) = watch::channel(FlowState::Open);
        tokio::spawn(drive_connection(driver, shared.clone(), tx));
        Ok(Flow {
            id,
            target: target.clone(),
            conn,
            sender,
            shared,
            state,
            agent: parking_lot::Mutex::new(None),
        })
    }

    /// Current state of the flow.
    pub fn state(&self) -> FlowState {
        self.state.borrow().clone()
    }

    /// Returns a receiver of state changes.
    pub fn subscribe(&self) -> watch::Receiver<FlowState> {
        self.state.clone()
    }

    /// Name of the service.
    pub fn service(&self) -> &str {
        &self.target.name
    }

    /// Agent that holds the flow, once a response has named it.
    pub fn agent(&self) -> Option<String> {
        self.agent.lock().clone()
    }

    /// Closes the flow gracefully.
    pub fn close(&self) {
        self.shared.closed_by_caller.store(true, Ordering::SeqCst);
        let code = VarInt::from_u64(Code::H3_NO_ERROR.value()).unwrap_or(VarInt::from_u32(0));
        self.conn.close(code, b"");
    }

    /// Sends a request and waits for its response, for at most `timeout`.
    pub async fn send(&self, request: &CallerRequest, timeout: Duration) -> RequestResult {
        let start = Instant::now();
        let mut result = match time::timeout(timeout, self.exchange(request)).await {
            Ok(result) => result,
            Err(_) => RequestResult::new(Outcome::Failed(FailureReason::Timeout)),
        };
        result.latency = start.elapsed();
        result
    }

    async fn exchange(&self, request: &CallerRequest) -> RequestResult {
        let Ok(head) = request.head(&self.target.name) else {
            return RequestResult::new(Outcome::NotSent);
        };
        let _guard = InFlightGuard::new(&self.shared);
        let stream = match self.sender.clone().send_request(head).await {
            Ok(stream) => stream,
            Err(StreamError::RemoteClosing) => return RequestResult::new(Outcome::NotSent),
            Err(e) => return RequestResult::new(self.classify_error(&e, None)),
        };
        let (mut send, mut recv) = stream.split();
        let (_, result) =
            join(send_body(&mut send, request), self.receive(&mut recv, request)).await;
        result
    }

    async fn receive(
        &self,
        recv: &mut RequestStream<h3_quinn::RecvStream, Bytes>,
        request: &CallerRequest,
    ) -> RequestResult {
        let head = match recv.recv_response().await {
            Ok(head) => head,
            Err(e) => return RequestResult::new(self.classify_error(&e, None)),
        };
        if let Some(name) = header_text(head.headers(), AGENT) {
            *self.agent.lock() = Some(name);
        }
        let mut body = BytesMut::new();
        let outcome = loop {
            match recv.recv_data().await {
                Ok(Some(data)) => append(&mut body, data),
                Ok(None) => break self.classify_response(&head, &body, request),
                Err(e) => break self.classify_error(&e, Some(&head)),
            }
        };
        RequestResult::with_head(outcome, &head)
    }

    fn classify_response(
        &self,
        head: &Response<()>,
        body: &[u8],
        request: &CallerRequest,
    ) -> Outcome {
        let reported = header_text(head.headers(), OUTCOME);
        match (head.status(), reported.as_deref()) {
            (StatusCode::OK, None) => {
                match verify::check(request, &self.target, head.headers(), body) {
                    Ok(()) => Outcome::Complete,
                    Err(reason) => Outcome::Failed(reason),
                }
            }
            (StatusCode::SERVICE_UNAVAILABLE, Some("not-run")) => Outcome::NotRun,
            (StatusCode::BAD_GATEWAY, Some("unknown")) => Outcome::Unknown(UnknownReason::Reported),
            (status, _) => Outcome::Failed(FailureReason::Status(status.as_u16())),
        }
    }

    fn classify_error(&self, error: &StreamError, head: Option<&Response<()>>) -> Outcome {
        match error {
            StreamError::RemoteTerminate { code } if *code == Code::H3_REQUEST_REJECTED => {
                Outcome::NotRun
            }
            StreamError::RemoteTerminate { .. } => {
                Outcome::Failed(FailureReason::Truncated(error.to_string()))
            }
            StreamError::ConnectionError(_) => {
                self.shared.request_lost.store(true, Ordering::SeqCst);
                Outcome::Unknown(UnknownReason::FlowLost)
            }
            _ if head.is_some() => Outcome::Failed(FailureReason::Truncated(error.to_string())),
            _ => Outcome::Failed(FailureReason::Corrupt(error.to_string())),
        }
    }
}

impl RequestResult {
    fn new(outcome: Outcome) -> RequestResult {
        RequestResult {
            outcome,
            latency: Duration::ZERO,
            retry_after: None,
            upstream: None,
            request_id: None,
        }
    }

    fn with_head(outcome: Outcome, head: &Response<()>) -> RequestResult {
        let retry_after = header_text(head.headers(), http::header::RETRY_AFTER.as_str());
        RequestResult {
            retry_after: retry_after.and_then(|it| it.parse().ok()).map(Duration::from_secs),
            upstream: header_text(head.headers(), UPSTREAM),
            request_id: header_text(head.headers(), REQUEST),
            ..RequestResult::new(outcome)
        }
    }
}

/// Counts a request as in progress until dropped.
struct InFlightGuard<'a>(&'a SharedState);

impl InFlightGuard<'_> {
    fn new(shared: &SharedState) -> InFlightGuard<'_> {
        shared.in_flight.fetch_add(1, Ordering::SeqCst);
        InFlightGuard(shared)
    }
}

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::SeqCst);
    }
}

async fn handshake(
    endpoint: &Endpoint,
    config: &ClientConfig,
    target: &Target,
) -> Result<quinn::Connection, OpenError> {
    let connecting = endpoint
        .connect_with(config.clone(), target.address, &target.name)
        .map_err(|e| OpenError::Handshake(e.to_string()))?;
    match connecting.await {
        Ok(conn) => Ok(conn),
        Err(quinn::ConnectionError::ConnectionClosed(close))
            if u64::from(close.error_code) == CONNECTION_REFUSED =>
        {
            Err(OpenError::Refused)
        }
        Err(e) => Err(OpenError::Handshake(e.to_string())),
    }
}

async fn drive_connection(
    mut driver: Driver,
    shared: Arc<SharedState>,
    state: watch::Sender<FlowState>,
) {
    let error = poll_fn(|cx| {
        let poll = driver.poll_close(cx);
        if poll.is_pending() && driver.is_closing() {
            state.send_if_modified(mark_going_away);
        }
        poll
    })
    .await;
    let end = end_reason(&error, &shared, *state.borrow() == FlowState::GoingAway);
    state.send_replace(FlowState::Ended(end));
}

fn mark_going_away(state: &mut FlowState) -> bool {
    if *state != FlowState::Open {
        return false;
    }
    *state = FlowState::GoingAway;
    true
}

fn end_reason(error: &ConnectionError, shared: &SharedState, going_away: bool) -> FlowEnd {
    if shared.closed_by_caller.load(Ordering::SeqCst) {
        return FlowEnd::Caller;
    }
    let request_lost =
        shared.request_lost.load(Ordering::SeqCst) || shared.in_flight.load(Ordering::SeqCst) > 0;
    if !request_lost && (going_away || closed_cleanly(error)) {
        return FlowEnd::Graceful;
    }
    FlowEnd::Broken(error.to_string())
}

fn closed_cleanly(error: &ConnectionError) -> bool {
    let ConnectionError::Remote(ConnectionErrorIncoming::ApplicationClose { error_code }) = error
    else {
        return false;
    };
    *error_code == Code::H3_NO_ERROR.value()
}

async fn send_body<S>(
    send: &mut RequestStream<S, Bytes>,
    request: &CallerRequest,
) -> Result<(), StreamError>
where
    S: SendStream<Bytes>,
{
    for (i, chunk) in request.chunks.iter().enumerate() {
        if i > 0 {
            time::sleep(request.chunk_interval).await;
        }
        send.send_data(chunk.clone()).await?;
    }
    send.finish().await
}

fn append<B>(body: &mut BytesMut, mut data: B)
where
    B: Buf,
{
    while data.has_remaining() {
        let chunk = data.chunk();
        body.extend_from_slice(chunk);
        let len = chunk.len();
        data.advance(len);
    }
}

fn header_text(headers: &HeaderMap, name: &str) -> Option<String> {
    headers.get(name)?.to_str().ok().map(str::to_owned)
}
