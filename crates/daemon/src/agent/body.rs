//! Request bodies on their way in and answers on their way out, over a flow or over a link from another agent.

use std::time::Duration;

use bytes::{Buf, Bytes};
use camphorwinch_core::claims::{Answer, MAX_ANSWER};
use camphorwinch_wire::handover::{Kind, Resume};
use futures::FutureExt;
use h3::{error::Code, server::RequestStream};
use http::{HeaderMap, HeaderName, HeaderValue, Response, StatusCode};
use thiserror::Error;
use tokio::time;
use tokio_util::sync::CancellationToken;

use super::{
    link::{LinkInlet, LinkOutlet},
    quic::{RecvStream, SendStream},
};

/// Part of a body that is kept, so that a request refused by one upstream can be sent to another.
pub(crate) const KEPT: usize = 64 << 10;
/// From here on more is read only when the upstream wants the body.
const HOLD: usize = KEPT / 2;
/// Longest wait for an upstream to say that it wants the body; many never say so.
const RESUME_TIMEOUT: Duration = Duration::from_millis(300);

/// Longest wait for the rest of a body that nobody reads any more.
const REST_TIMEOUT: Duration = Duration::from_secs(10);

/// The caller's side broke off.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the caller gave up")]
pub(crate) struct GivenUp;

/// Where a body comes from.
pub(crate) enum Inlet {
    /// A caller's stream.
    Flow(RequestStream<RecvStream, Bytes>),
    /// A link from another agent.
    Link(LinkInlet),
}

impl Inlet {
    async fn next(&mut self) -> Result<Option<Bytes>, GivenUp> {
        match self {
            Inlet::Flow(stream) => match stream.recv_data().await {
                Ok(Some(mut data)) => Ok(Some(data.copy_to_bytes(data.remaining()))),
                Ok(None) => Ok(None),
                Err(_) => Err(GivenUp),
            },
            Inlet::Link(link) => link.next().await,
        }
    }
}

/// A request's body. The first part is kept for a second attempt.
pub(crate) struct Body {
    inlet: Inlet,
    kept: Vec<Bytes>,
    size: usize,
    at: usize,
    ended: bool,
    expected: bool,
}

impl Body {
    /// A body read from `inlet`; nothing is read if none is expected.
    pub(crate) fn new(inlet: Inlet, expected: bool) -> Body {
        Body { inlet, kept: Vec::new(), size: 0, at: 0, ended: !expected, expected }
    }

    /// Whether there is a body at all.
    pub(crate) fn is_expected(&self) -> bool {
        self.expected
    }

    /// Starts again from the beginning; false if that part is not kept any more.
    pub(crate) fn rewind(&mut self) -> bool {
        self.at = 0;
        self.size <= KEPT
    }

    /// Ends reading. A caller that goes on sending is asked to stop.
    pub(crate) fn close(&mut self) {
        let Inlet::Flow(stream) = &mut self.inlet else {
            return;
        };
        if stream.recv_data().now_or_never().is_none() {
            stream.stop_sending(Code::H3_NO_ERROR);
        }
    }

    /// Whether the agent that handed the request over was told to send the body.
    pub(crate) fn is_begun(&self) -> bool {
        matches!(&self.inlet, Inlet::Link(link) if link.is_ready())
    }

    /// The link over which a body would have come, had the request begun.
    pub(crate) fn into_unread(self) -> Option<LinkInlet> {
        match self.inlet {
            Inlet::Link(link) => Some(link),
            Inlet::Flow(_) => None,
        }
    }

    /// The link that the body came over, if it is at rest. What is left of the body is read first: closing a link with
    /// unread data could destroy the answer on its way.
    pub(crate) async fn into_link(mut self) -> Option<LinkInlet> {
        let rest = async {
            while self.next().await?.is_some() {}
            Ok::<_, GivenUp>(())
        };
        let Ok(Ok(())) = time::timeout(REST_TIMEOUT, rest).await else {
            return None;
        };
        match self.inlet {
            Inlet::Link(link) => Some(link),
            Inlet::Flow(_) => None,
        }
    }

    /// The next part, held back while another attempt may need the body. `wanted` ends that. Cancelling the wait loses
    /// nothing.
    pub(crate) async fn next_when(
        &mut self,
        wanted: &CancellationToken,
    ) -> Result<Option<Bytes>, GivenUp> {
        let holds = self.at == self.kept.len() && (HOLD..=KEPT).contains(&self.size);
        if holds && !self.ended && !wanted.is_cancelled() {
            // Waiting longer would only delay the request.
            let _ = time::timeout(RESUME_TIMEOUT, wanted.cancelled()).await;
            wanted.cancel();
        }
        self.next().await
    }

    /// The next part. Cancelling the wait loses nothing.
    pub(crate) async fn next(&mut self) -> Result<Option<Bytes>, GivenUp> {
        if let Some(part) = self.kept.get(self.at) {
            self.at += 1;
            return Ok(Some(part.clone()));
        }
        if self.ended {
            return Ok(None);
        }
        let Some(part) = self.inlet.next().await? else {
            self.ended = true;
            return Ok(None);
        };
        self.size += part.len();
        if self.size <= KEPT {
            self.kept.push(part.clone());
            self.at += 1;
        } else {
            self.kept.clear();
            self.at = 0;
        }
        Ok(Some(part))
    }
}

/// Way on which an answer goes.
pub(crate) enum Way {
    /// A caller's stream.
    Flow(Box<RequestStream<SendStream<Bytes>, Bytes>>),
    /// A link from another agent.
    Link(LinkOutlet),
}

/// Where an answer goes to. With a capture it is also kept, and taken to its end though the caller has gone.
pub(crate) struct Outlet {
    way: Way,
    capture: Option<Capture>,
    gone: bool,
    finished: bool,
}

impl Outlet {
    /// An answer that is passed on only.
    pub(crate) fn new(way: Way) -> Outlet {
        Outlet { way, capture: None, gone: false, finished: false }
    }

    /// Keeps the answer too.
    pub(crate) fn keep(&mut self) {
        self.capture = Some(Capture::default());
    }

    /// The whole answer, if it was kept and came to its end.
    pub(crate) fn kept(&mut self) -> Option<Answer> {
        self.capture.take()?.answer()
    }

    /// The way on which the answer went.
    pub(crate) fn into_way(self) -> Way {
        self.way
    }

    /// Makes sure that the request may begin: an agent that handed it over must say so first.
    pub(crate) async fn ready(&mut self, body: &mut Body, load: f64) -> Result<(), GivenUp> {
        match (&mut self.way, &mut body.inlet) {
            (Way::Link(outlet), Inlet::Link(inlet)) if !inlet.is_ready() => {
                outlet.taken(load).await?;
                inlet.ready().await
            }
            _ => Ok(()),
        }
    }

    /// Says that the upstream wants the body.
    pub(crate) async fn resume(&mut self) {
        if let Way::Link(link) = &mut self.way {
            // If the other side has gone, the body will end.
            let _ = link.send(Kind::Resume(Resume {})).await;
        }
    }

    /// Sends the head; `upstream` names the agent whose upstream answered.
    pub(crate) async fn head(
        &mut self,
        status: StatusCode,
        headers: &HeaderMap,
        upstream: &str,
    ) -> Result<(), GivenUp> {
        if let Some(capture) = &mut self.capture {
            capture.head(status, headers);
        }
        if self.gone {
            return Ok(());
        }
        let sent = match &mut self.way {
            Way::Flow(stream) => {
                let mut response = Response::new(());
                *response.status_mut() = status;
                *response.headers_mut() = headers.clone();
                stream.send_response(response).await.map_err(|_| GivenUp)
            }
            Way::Link(link) => link.head(status, headers, upstream).await,
        };
        self.settle(sent)
    }

    /// Sends a part of the body.
    pub(crate) async fn data(&mut self, part: Bytes) -> Result<(), GivenUp> {
        if let Some(capture) = &mut self.capture {
            capture.data(&part);
        }
        if self.gone {
            return Ok(());
        }
        let sent = match &mut self.way {
            Way::Flow(stream) => stream.send_data(part).await.map_err(|_| GivenUp),
            Way::Link(link) => link.data(part, false).await,
        };
        self.settle(sent)
    }

    /// Ends the answer.
    pub(crate) async fn finish(&mut self) -> Result<(), GivenUp> {
        if let Some(capture) = &mut self.capture {
            capture.finish();
        }
        if self.gone {
            return Ok(());
        }
        let sent = match &mut self.way {
            Way::Flow(stream) => stream.finish().await.map_err(|_| GivenUp),
            Way::Link(link) => link.data(Bytes::new(), true).await,
        };
        self.finished = sent.is_ok();
        self.settle(sent)
    }

    /// Whether the answer was sent to its end. One that was not is reset, and nothing tells when that has arrived.
    pub(crate) fn is_finished(&self) -> bool {
        self.finished
    }

    /// Breaks the answer off, so that nobody takes the part for the whole.
    pub(crate) fn reset(&mut self, code: Code) {
        match &mut self.way {
            Way::Flow(stream) => stream.stop_stream(code),
            Way::Link(link) => link.reset(),
        }
    }

    fn settle(&mut self, sent: Result<(), GivenUp>) -> Result<(), GivenUp> {
        if self.capture.is_none() {
            return sent;
        }
        self.gone |= sent.is_err();
        Ok(())
    }
}

/// A whole answer, kept while it is passed on.
#[derive(Debug, Default)]
pub(crate) struct Capture {
    status: StatusCode,
    headers: HeaderMap,
    body: Vec<u8>,
    overflow: bool,
    whole: bool,
}

impl Capture {
    /// Keeps the head.
    pub(crate) fn head(&mut self, status: StatusCode, headers: &HeaderMap) {
        self.status = status;
        self.headers = headers.clone();
        self.body.clear();
        self.overflow = false;
    }

    /// Keeps a part of the body.
    pub(crate) fn data(&mut self, part: &[u8]) {
        self.overflow |= self.body.len() + part.len() > MAX_ANSWER;
        if !self.overflow {
            self.body.extend_from_slice(part);
        }
    }

    /// Notes that the answer is whole.
    pub(crate) fn finish(&mut self) {
        self.whole = true;
    }

    /// The answer, unless it broke off or is too large to be kept.
    pub(crate) fn answer(self) -> Option<Answer> {
        if self.overflow || !self.whole {
            return None;
        }
        let field = |(name, value): (&HeaderName, &HeaderValue)| {
            (name.as_str().to_owned(), value.as_bytes().to_vec())
        };
        Some(Answer {
            status: self.status.as_u16(),
            headers: self.headers.iter().map(field).collect(),
            body: self.body,
        })
    }
}
