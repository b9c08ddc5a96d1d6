//! Request bodies and responses, over a flow or over a link from another agent.

use std::time::Duration;

use bytes::{Buf, Bytes};
use camphorwinch_core::claims::{MAX_RESPONSE_BYTES, RecordedResponse};
use camphorwinch_wire::handover::{Continue, Kind};
use futures::FutureExt;
use h3::{error::Code, server::RequestStream};
use http::{HeaderMap, HeaderName, HeaderValue, Response, StatusCode};
use thiserror::Error;
use tokio::time;
use tokio_util::sync::CancellationToken;

use super::{
    link::{LinkReceiver, LinkSender},
    quic::{RecvStream, SendStream},
};

/// Largest body that is kept in memory, so that a request rejected by one upstream can be sent to another.
pub(crate) const REPLAY_LIMIT_BYTES: usize = 64 << 10;
/// From this size on, reading pauses until the upstream requests the rest of the body.
const PAUSE_SIZE_BYTES: usize = REPLAY_LIMIT_BYTES / 2;
/// Longest pause, since many upstreams never send `100 Continue`.
const CONTINUE_TIMEOUT: Duration = Duration::from_millis(300);
/// Timeout for reading the unused rest of a body.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(10);

/// The caller's stream, or the link to the other agent, was closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the caller disconnected")]
pub(crate) struct Disconnected;

/// Source of a request body.
pub(crate) enum BodySource {
    /// A caller's stream.
    Flow(RequestStream<RecvStream, Bytes>),
    /// A link from another agent.
    Link(LinkReceiver),
}

impl BodySource {
    async fn next(&mut self) -> Result<Option<Bytes>, Disconnected> {
        match self {
            BodySource::Flow(stream) => match stream.recv_data().await {
                Ok(Some(mut data)) => Ok(Some(data.copy_to_bytes(data.remaining()))),
                Ok(None) => Ok(None),
                Err(_) => Err(Disconnected),
            },
            BodySource::Link(link) => link.next().await,
        }
    }
}

/// A request body that can be read again while it is within [`REPLAY_LIMIT_BYTES`].
pub(crate) struct RequestBody {
    source: BodySource,
    replay: Vec<Bytes>,
    bytes_read: usize,
    position: usize,
    ended: bool,
    expected: bool,
}

impl RequestBody {
    /// A body read from `source`; nothing is read unless one is expected.
    pub(crate) fn new(source: BodySource, expected: bool) -> RequestBody {
        RequestBody {
            source,
            replay: Vec::new(),
            bytes_read: 0,
            position: 0,
            ended: !expected,
            expected,
        }
    }

    /// Whether the request has a body.
    pub(crate) fn is_expected(&self) -> bool {
        self.expected
    }

    /// Restarts from the beginning; false if the body is too large for that.
    pub(crate) fn rewind(&mut self) -> bool {
        self.position = 0;
        self.bytes_read <= REPLAY_LIMIT_BYTES
    }

    /// Stops reading; a caller that is still sending receives `STOP_SENDING`.
    pub(crate) fn close(&mut self) {
        let BodySource::Flow(stream) = &mut self.source else {
            return;
        };
        if stream.recv_data().now_or_never().is_none() {
            stream.stop_sending(Code::H3_NO_ERROR);
        }
    }

    /// Whether the peer that offered the request has started it, and with it the body.
    pub(crate) fn is_started(&self) -> bool {
        matches!(&self.source, BodySource::Link(link) if link.is_started())
    }

    /// The link of a request that was not started.
    pub(crate) fn into_unread_link(self) -> Option<LinkReceiver> {
        match self.source {
            BodySource::Link(link) => Some(link),
            BodySource::Flow(_) => None,
        }
    }

    /// Reads the rest of the body and returns its link: closing a link with unread data could
    /// reset the connection before the response arrives. None if that fails or takes too long.
    pub(crate) async fn into_link(mut self) -> Option<LinkReceiver> {
        let rest = async {
            while self.next().await?.is_some() {}
            Ok::<_, Disconnected>(())
        };
        let Ok(Ok(())) = time::timeout(DISCARD_TIMEOUT, rest).await else {
            return None;
        };
        match self.source {
            BodySource::Link(link) => Some(link),
            BodySource::Flow(_) => None,
        }
    }

    /// Reads the next chunk, after a pause at [`PAUSE_SIZE_BYTES`] that `continued` ends. Cancel safe.
    pub(crate) async fn next_after_continue(
        &mut self,
        continued: &CancellationToken,
    ) -> Result<Option<Bytes>, Disconnected> {
        let pause = self.position == self.replay.len()
            && (PAUSE_SIZE_BYTES..=REPLAY_LIMIT_BYTES).contains(&self.bytes_read);
        if pause && !self.ended && !continued.is_cancelled() {
            // A timeout counts as a request for the rest of the body.
            let _ = time::timeout(CONTINUE_TIMEOUT, continued.cancelled()).await;
            continued.cancel();
        }
        self.next().await
    }

    /// Reads the next chunk. Cancel safe.
    pub(crate) async fn next(&mut self) -> Result<Option<Bytes>, Disconnected> {
        if let Some(chunk) = self.replay.get(self.position) {
            self.position += 1;
            return Ok(Some(chunk.clone()));
        }
        if self.ended {
            return Ok(None);
        }
        let Some(chunk) = self.source.next().await? else {
            self.ended = true;
            return Ok(None);
        };
        self.bytes_read += chunk.len();
        if self.bytes_read <= REPLAY_LIMIT_BYTES {
            self.replay.push(chunk.clone());
            self.position += 1;
        } else {
            self.replay.clear();
            self.position = 0;
        }
        Ok(Some(chunk))
    }
}

/// Destination of a response.
pub(crate) enum ResponseTarget {
    /// A caller's stream.
    Flow(Box<RequestStream<SendStream<Bytes>, Bytes>>),
    /// A link from another agent.
    Link(LinkSender),
}

/// Writes a response to its destination. With a recorder, the response is also stored and read to its end even if the
/// caller disconnects.
pub(crate) struct ResponseWriter {
    target: ResponseTarget,
    recorder: Option<ResponseRecorder>,
    disconnected: bool,
    finished: bool,
}

impl ResponseWriter {
    /// A writer without a recorder.
    pub(crate) fn new(target: ResponseTarget) -> ResponseWriter {
        ResponseWriter { target, recorder: None, disconnected: false, finished: false }
    }

    /// Starts recording the response.
    pub(crate) fn record(&mut self) {
        self.recorder = Some(ResponseRecorder::default());
    }

    /// The recorded response, if it is complete.
    pub(crate) fn take_recorded(&mut self) -> Option<RecordedResponse> {
        self.recorder.take()?.into_response()
    }

    /// Returns the destination.
    pub(crate) fn into_target(self) -> ResponseTarget {
        self.target
    }

    /// Accepts the offer and waits for the start message, if the request came from another agent.
    pub(crate) async fn wait_for_start(
        &mut self,
        body: &mut RequestBody,
        load: f64,
    ) -> Result<(), Disconnected> {
        match (&mut self.target, &mut body.source) {
            (ResponseTarget::Link(sender), BodySource::Link(receiver))
                if !receiver.is_started() =>
            {
                sender.accept_offer(load).await?;
                receiver.wait_for_start().await
            }
            _ => Ok(()),
        }
    }

    /// Requests the rest of the body from the agent that forwards it.
    pub(crate) async fn send_continue(&mut self) {
        if let ResponseTarget::Link(link) = &mut self.target {
            // If the link is closed, reading the body fails too.
            let _ = link.send(Kind::Continue(Continue {})).await;
        }
    }

    /// Sends the head; `upstream` names the agent whose upstream responded.
    pub(crate) async fn send_head(
        &mut self,
        status: StatusCode,
        headers: &HeaderMap,
        upstream: &str,
    ) -> Result<(), Disconnected> {
        if let Some(recorder) = &mut self.recorder {
            recorder.record_head(status, headers);
        }
        if self.disconnected {
            return Ok(());
        }
        let sent = match &mut self.target {
            ResponseTarget::Flow(stream) => {
                let mut response = Response::new(());
                *response.status_mut() = status;
                *response.headers_mut() = headers.clone();
                stream.send_response(response).await.map_err(|_| Disconnected)
            }
            ResponseTarget::Link(link) => link.send_head(status, headers, upstream).await,
        };
        self.check_sent(sent)
    }

    /// Sends a chunk of the body.
    pub(crate) async fn send_data(&mut self, chunk: Bytes) -> Result<(), Disconnected> {
        if let Some(recorder) = &mut self.recorder {
            recorder.record_data(&chunk);
        }
        if self.disconnected {
            return Ok(());
        }
        let sent = match &mut self.target {
            ResponseTarget::Flow(stream) => stream.send_data(chunk).await.map_err(|_| Disconnected),
            ResponseTarget::Link(link) => link.send_data(chunk, false).await,
        };
        self.check_sent(sent)
    }

    /// Ends the response.
    pub(crate) async fn finish(&mut self) -> Result<(), Disconnected> {
        if let Some(recorder) = &mut self.recorder {
            recorder.finish();
        }
        if self.disconnected {
            return Ok(());
        }
        let sent = match &mut self.target {
            ResponseTarget::Flow(stream) => stream.finish().await.map_err(|_| Disconnected),
            ResponseTarget::Link(link) => link.send_data(Bytes::new(), true).await,
        };
        self.finished = sent.is_ok();
        self.check_sent(sent)
    }

    /// Whether the complete response was sent. Delivery can be tracked only then, not after a reset.
    pub(crate) fn is_finished(&self) -> bool {
        self.finished
    }

    /// Aborts the response, so that the receiver doesn't accept it as complete.
    pub(crate) fn reset(&mut self, code: Code) {
        match &mut self.target {
            ResponseTarget::Flow(stream) => stream.stop_stream(code),
            ResponseTarget::Link(link) => link.reset(),
        }
    }

    /// Ignores a disconnect while recording.
    fn check_sent(&mut self, sent: Result<(), Disconnected>) -> Result<(), Disconnected> {
        if self.recorder.is_none() {
            return sent;
        }
        self.disconnected |= sent.is_err();
        Ok(())
    }
}

/// Stores a response while it is relayed.
#[derive(Debug, Default)]
pub(crate) struct ResponseRecorder {
    status: StatusCode,
    headers: HeaderMap,
    body: Vec<u8>,
    overflow: bool,
    complete: bool,
}

impl ResponseRecorder {
    /// Stores the head.
    pub(crate) fn record_head(&mut self, status: StatusCode, headers: &HeaderMap) {
        self.status = status;
        self.headers = headers.clone();
        self.body.clear();
        self.overflow = false;
    }

    /// Stores a chunk of the body.
    pub(crate) fn record_data(&mut self, chunk: &[u8]) {
        self.overflow |= self.body.len() + chunk.len() > MAX_RESPONSE_BYTES;
        if !self.overflow {
            self.body.extend_from_slice(chunk);
        }
    }

    /// Marks the response as complete.
    pub(crate) fn finish(&mut self) {
        self.complete = true;
    }

    /// The response; none if it was aborted or is larger than [`MAX_RESPONSE_BYTES`].
    pub(crate) fn into_response(self) -> Option<RecordedResponse> {
        if self.overflow || !self.complete {
            return None;
        }
        let field = |(name, value): (&HeaderName, &HeaderValue)| {
            (name.as_str().to_owned(), value.as_bytes().to_vec())
        };
        Some(RecordedResponse {
            status: self.status.as_u16(),
            headers: self.headers.iter().map(field).collect(),
            body: self.body,
        })
    }
}
