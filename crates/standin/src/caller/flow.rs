//! A flow: one QUIC connection of a caller, and the requests on it.

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
    ask::Ask,
    outcome::{Doubt, Flaw, Outcome},
    verify,
};

/// Header in which the system says what became of a request.
pub const OUTCOME: &str = "camphorwinch-outcome";
/// Header with the name of the agent whose upstream ran the request.
pub const UPSTREAM: &str = "camphorwinch-upstream";
/// Header with the name of the agent that holds the flow.
pub const AGENT: &str = "camphorwinch-agent";
/// Header with the id that the system gave to the request.
pub const REQUEST: &str = "camphorwinch-request";

const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(10);
const REFUSED: u64 = 0x02;

/// State of a flow.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum State {
    /// Requests may be sent.
    Open,
    /// The far side sent GOAWAY: requests in progress finish, no new ones start.
    Leaving,
    /// The connection is gone.
    Ended(End),
}

/// How a flow ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    /// The caller closed it.
    Caller,
    /// The far side closed it gracefully, no request in progress.
    Graceful,
    /// Anything else.
    Broken(String),
}

/// Why a flow could not be opened.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum OpenError {
    /// The far side refused it.
    #[error("refused")]
    Refused,
    /// The handshake failed.
    #[error("handshake: {0}")]
    Handshake(String),
    /// The handshake did not end in time.
    #[error("handshake: no answer in time")]
    Late,
}

/// What came back on a request.
#[derive(Clone, Debug)]
pub struct Reply {
    /// What became of the request.
    pub outcome: Outcome,
    /// Time from the first byte sent to the last byte received.
    pub latency: Duration,
    /// How long to wait before asking again.
    pub wait: Option<Duration>,
    /// Agent whose upstream ran the request.
    pub upstream: Option<String>,
    /// Id that the system gave to the request.
    pub request: Option<String>,
}

#[derive(Debug, Default)]
struct Shared {
    streams: AtomicUsize,
    cut: AtomicBool,
    closed: AtomicBool,
}

/// A flow.
pub struct Flow {
    /// Number, unique within the run.
    pub id: u64,
    target: Target,
    conn: quinn::Connection,
    sender: SendRequest<OpenStreams, Bytes>,
    shared: Arc<Shared>,
    state: watch::Receiver<State>,
    agent: parking_lot::Mutex<Option<String>>,
}

type Driver = Connection<h3_quinn::Connection, Bytes>;

impl Flow {
    /// Opens a flow to the target.
    pub async fn open(
        id: u64,
        endpoint: &Endpoint,
        config: &ClientConfig,
        target: &Target,
    ) -> Result<Flow, OpenError> {
        let conn = match time::timeout(HANDSHAKE_TIMEOUT, shake(endpoint, config, target)).await {
            Ok(it) => it?,
            Err(_) => return Err(OpenError::Late),
        };
        let (driver, sender) = h3::client::builder()
            .build::<_, _, Bytes>(h3_quinn::Connection::new(conn.clone()))
            .await
            .map_err(|e| OpenError::Handshake(e.to_string()))?;
        let shared = Arc::new(Shared::default());
        let (tx, state) = watch::channel(State::Open);
        tokio::spawn(drive(driver, shared.clone(), tx));
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

    /// State of the flow now.
    pub fn state(&self) -> State {
        self.state.borrow().clone()
    }

    /// Follows the state.
    pub fn watch(&self) -> watch::Receiver<State> {
        self.state.clone()
    }

    /// Name of the service.
    pub fn service(&self) -> &str {
        &self.target.name
    }

    /// Agent that holds the flow, as far as its answers told.
    pub fn agent(&self) -> Option<String> {
        self.agent.lock().clone()
    }

    /// Closes the flow.
    pub fn close(&self) {
        self.shared.closed.store(true, Ordering::SeqCst);
        let code = VarInt::from_u64(Code::H3_NO_ERROR.value()).unwrap_or(VarInt::from_u32(0));
        self.conn.close(code, b"");
    }

    /// Sends a request and waits for its answer, at most for `patience`.
    pub async fn run(&self, ask: &Ask, patience: Duration) -> Reply {
        let start = Instant::now();
        let mut reply = match time::timeout(patience, self.exchange(ask)).await {
            Ok(reply) => reply,
            Err(_) => Reply::new(Outcome::Failed(Flaw::Late)),
        };
        reply.latency = start.elapsed();
        reply
    }

    async fn exchange(&self, ask: &Ask) -> Reply {
        let Ok(head) = ask.head(&self.target.name) else {
            return Reply::new(Outcome::Unsent);
        };
        let _guard = Guard::new(&self.shared);
        let stream = match self.sender.clone().send_request(head).await {
            Ok(stream) => stream,
            Err(StreamError::RemoteClosing) => return Reply::new(Outcome::Unsent),
            Err(e) => return Reply::new(self.judge(&e, None)),
        };
        let (mut send, mut recv) = stream.split();
        let (_, reply) = join(send_body(&mut send, ask), self.receive(&mut recv, ask)).await;
        reply
    }

    async fn receive(
        &self,
        recv: &mut RequestStream<h3_quinn::RecvStream, Bytes>,
        ask: &Ask,
    ) -> Reply {
        let head = match recv.recv_response().await {
            Ok(head) => head,
            Err(e) => return Reply::new(self.judge(&e, None)),
        };
        if let Some(name) = text(head.headers(), AGENT) {
            *self.agent.lock() = Some(name);
        }
        let mut body = BytesMut::new();
        let outcome = loop {
            match recv.recv_data().await {
                Ok(Some(data)) => put(&mut body, data),
                Ok(None) => break self.classify(&head, &body, ask),
                Err(e) => break self.judge(&e, Some(&head)),
            }
        };
        Reply::with_head(outcome, &head)
    }

    fn classify(&self, head: &Response<()>, body: &[u8], ask: &Ask) -> Outcome {
        let told = text(head.headers(), OUTCOME);
        match (head.status(), told.as_deref()) {
            (StatusCode::OK, None) => {
                match verify::check(ask, &self.target, head.headers(), body) {
                    Ok(()) => Outcome::Whole,
                    Err(flaw) => Outcome::Failed(flaw),
                }
            }
            (StatusCode::SERVICE_UNAVAILABLE, Some("not-run")) => Outcome::NotRun,
            (StatusCode::BAD_GATEWAY, Some("unknown")) => Outcome::Unknown(Doubt::Told),
            (status, _) => Outcome::Failed(Flaw::Status(status.as_u16())),
        }
    }

    fn judge(&self, error: &StreamError, head: Option<&Response<()>>) -> Outcome {
        match error {
            StreamError::RemoteTerminate { code } if *code == Code::H3_REQUEST_REJECTED => {
                Outcome::NotRun
            }
            StreamError::RemoteTerminate { .. } => Outcome::Failed(Flaw::Cut(error.to_string())),
            StreamError::ConnectionError(_) => {
                self.shared.cut.store(true, Ordering::SeqCst);
                Outcome::Unknown(Doubt::FlowLost)
            }
            _ if head.is_some() => Outcome::Failed(Flaw::Cut(error.to_string())),
            _ => Outcome::Failed(Flaw::Corrupt(error.to_string())),
        }
    }
}

impl Reply {
    fn new(outcome: Outcome) -> Reply {
        Reply { outcome, latency: Duration::ZERO, wait: None, upstream: None, request: None }
    }

    fn with_head(outcome: Outcome, head: &Response<()>) -> Reply {
        let wait = text(head.headers(), http::header::RETRY_AFTER.as_str());
        Reply {
            wait: wait.and_then(|it| it.parse().ok()).map(Duration::from_secs),
            upstream: text(head.headers(), UPSTREAM),
            request: text(head.headers(), REQUEST),
            ..Reply::new(outcome)
        }
    }
}

/// Counts a request as in progress.
struct Guard<'a>(&'a Shared);

impl Guard<'_> {
    fn new(shared: &Shared) -> Guard<'_> {
        shared.streams.fetch_add(1, Ordering::SeqCst);
        Guard(shared)
    }
}

impl Drop for Guard<'_> {
    fn drop(&mut self) {
        self.0.streams.fetch_sub(1, Ordering::SeqCst);
    }
}

async fn shake(
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
            if u64::from(close.error_code) == REFUSED =>
        {
            Err(OpenError::Refused)
        }
        Err(e) => Err(OpenError::Handshake(e.to_string())),
    }
}

async fn drive(mut driver: Driver, shared: Arc<Shared>, state: watch::Sender<State>) {
    let error = poll_fn(|cx| {
        let poll = driver.poll_close(cx);
        if poll.is_pending() && driver.is_closing() {
            state.send_if_modified(leave);
        }
        poll
    })
    .await;
    let end = end(&error, &shared, *state.borrow() == State::Leaving);
    state.send_replace(State::Ended(end));
}

fn leave(state: &mut State) -> bool {
    if *state != State::Open {
        return false;
    }
    *state = State::Leaving;
    true
}

fn end(error: &ConnectionError, shared: &Shared, leaving: bool) -> End {
    if shared.closed.load(Ordering::SeqCst) {
        return End::Caller;
    }
    let cut = shared.cut.load(Ordering::SeqCst) || shared.streams.load(Ordering::SeqCst) > 0;
    if !cut && (leaving || closed_cleanly(error)) {
        return End::Graceful;
    }
    End::Broken(error.to_string())
}

fn closed_cleanly(error: &ConnectionError) -> bool {
    let ConnectionError::Remote(ConnectionErrorIncoming::ApplicationClose { error_code }) = error
    else {
        return false;
    };
    *error_code == Code::H3_NO_ERROR.value()
}

async fn send_body<S>(send: &mut RequestStream<S, Bytes>, ask: &Ask) -> Result<(), StreamError>
where
    S: SendStream<Bytes>,
{
    for (i, chunk) in ask.chunks.iter().enumerate() {
        if i > 0 {
            time::sleep(ask.pause).await;
        }
        send.send_data(chunk.clone()).await?;
    }
    send.finish().await
}

fn put<B>(body: &mut BytesMut, mut data: B)
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

fn text(headers: &HeaderMap, name: &str) -> Option<String> {
    headers.get(name)?.to_str().ok().map(str::to_owned)
}
