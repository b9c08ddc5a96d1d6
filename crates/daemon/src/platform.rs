//! Client of the platform's object API.
//!
//! Every call has a timeout. A write carries a fresh writer's mark: when its answer is lost, the same write is sent
//! again, and a conflict whose object carries the mark says that the first one took effect.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use camphorwinch_core::{
    object::{Kind, Object},
    revision::{ERA_HEADER, Revision, parse_era},
};
use http::{HeaderValue, Method, Request, StatusCode, header::CONTENT_TYPE};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};
use rand::Rng;
use serde::{Deserialize, de::DeserializeOwned};
use serde_json::{Value, json};
use thiserror::Error;
use tokio::{
    sync::watch,
    time::{Instant, sleep, timeout},
};

use crate::{
    event::{self, About, Id},
    metrics,
};

/// Longest wait for an answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// Longest wait for a list.
const LIST_TIMEOUT: Duration = Duration::from_secs(10);
/// Longest time for a write with its retries. It is shorter than a holder counts on its lease.
const PUT_TIMEOUT: Duration = Duration::from_secs(6);
/// First wait before a write is sent again.
const RETRY_MIN: Duration = Duration::from_millis(50);
/// Longest wait before a write is sent again.
const RETRY_MAX: Duration = Duration::from_secs(1);
/// Largest answer: a list of many objects.
const MAX_ANSWER: usize = 64 << 20;
/// Bytes of a call besides its body, about.
const CALL_OVERHEAD: u64 = 200;

/// A call that failed.
#[derive(Debug, Error)]
pub(crate) enum PlatformError {
    /// No answer, or one that says so: the outcome of a write is not known.
    #[error("{step} at the platform {peer}: {reason}")]
    Unavailable { step: String, peer: SocketAddr, reason: String },
    /// The platform no longer keeps the events that were asked for, or has come back from an older copy.
    #[error("{step} at the platform {peer}: the revision is too old")]
    TooOld { step: String, peer: SocketAddr },
    /// The platform refused the call.
    #[error("{step} at the platform {peer}: {status}: {reason}")]
    Refused { step: String, peer: SocketAddr, status: u16, reason: String },
}

/// Whole list of a kind.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct List {
    /// Revision of the list.
    pub(crate) revision: u64,
    /// The objects.
    pub(crate) items: Vec<Object>,
    /// Size of the answer.
    #[serde(skip)]
    pub(crate) bytes: usize,
}

/// What happened to an object.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum Happened {
    /// It was created or updated.
    Put,
    /// It was deleted; its version is the revision of the deletion.
    Delete,
}

/// One event of a watch.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct WatchEvent {
    /// What happened.
    #[serde(rename = "type")]
    pub(crate) happened: Happened,
    /// To which object.
    pub(crate) object: Object,
}

/// Answer of a watch.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct Watched {
    /// Revision up to which the events go.
    pub(crate) revision: u64,
    /// The events.
    pub(crate) events: Vec<WatchEvent>,
}

const WATCH: &str = "watch";

/// Outcome of a write.
#[derive(Clone, Debug)]
pub(crate) enum Put {
    /// It took effect.
    Done(Object),
    /// It did not: the object is another one by now, or none.
    Conflict(Option<Object>),
}

#[derive(Deserialize)]
struct Fault {
    #[serde(default)]
    error: String,
    #[serde(default)]
    current: Option<Object>,
}

struct Answer {
    status: StatusCode,
    /// Era of the platform in which it answered.
    era: u64,
    body: Bytes,
}

/// Versions in an answer are numbers of its era; packed with it they are ordered over all eras.
fn pack(version: &mut u64, era: u64) {
    *version = Revision::new(era, *version).packed();
}

/// The client.
#[derive(Clone)]
pub(crate) struct Platform {
    client: Client<HttpConnector, Full<Bytes>>,
    address: SocketAddr,
    era: watch::Sender<Option<u64>>,
}

impl Platform {
    /// A client of the platform at `address`.
    pub(crate) fn new(address: SocketAddr) -> Platform {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CALL_TIMEOUT));
        let mut builder = Client::builder(TokioExecutor::new());
        builder.pool_timer(TokioTimer::new()).pool_idle_timeout(Duration::from_secs(10));
        Platform { client: builder.build(connector), address, era: watch::Sender::new(None) }
    }

    /// The highest era that an answer told; none before the first.
    pub(crate) fn era(&self) -> Option<u64> {
        *self.era.borrow()
    }

    /// Lists a kind.
    pub(crate) async fn list(&self, kind: Kind) -> Result<List, PlatformError> {
        let step = format!("list {kind}");
        let path = format!("/v1/objects/{kind}");
        let answer = self.call(&step, Method::GET, &path, None, LIST_TIMEOUT).await?;
        let (bytes, era) = (answer.body.len(), answer.era);
        let mut list: List = self.parse(&step, answer)?;
        pack(&mut list.revision, era);
        for object in &mut list.items {
            pack(&mut object.version, era);
        }
        Ok(List { bytes, ..list })
    }

    /// Reads an object.
    pub(crate) async fn get(
        &self,
        kind: Kind,
        name: &str,
    ) -> Result<Option<Object>, PlatformError> {
        let step = format!("get {kind}/{name}");
        let path = format!("/v1/objects/{kind}/{name}");
        let answer = self.call(&step, Method::GET, &path, None, CALL_TIMEOUT).await?;
        if answer.status == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        self.parse_object(&step, answer).map(Some)
    }

    /// Waits for events of the configuration's kinds after `since`.
    pub(crate) async fn watch(&self, since: u64, wait: Duration) -> Result<Watched, PlatformError> {
        let since = Revision::unpacked(since);
        let step = format!("{WATCH} since {since}");
        let mut path = format!("/v1/watch?since={}&wait={}", since.number, wait.as_secs());
        for kind in Kind::CONFIG {
            path.push_str(&format!("&kind={kind}"));
        }
        let answer = self.call(&step, Method::GET, &path, None, wait + CALL_TIMEOUT).await?;
        let era = answer.era;
        // In another era the same number stands for another state, after which other events come.
        if answer.status == StatusCode::GONE || era != since.era {
            return Err(PlatformError::TooOld { step, peer: self.address });
        }
        let mut watched: Watched = self.parse(&step, answer)?;
        pack(&mut watched.revision, era);
        for event in &mut watched.events {
            pack(&mut event.object.version, era);
        }
        Ok(watched)
    }

    /// Writes an object if its version is still `base`; 0 creates it.
    pub(crate) async fn put(
        &self,
        kind: Kind,
        name: &str,
        base: u64,
        spec: &Value,
    ) -> Result<Put, PlatformError> {
        let step = format!("put {kind}/{name}");
        let path = format!("/v1/objects/{kind}/{name}");
        let base = Revision::unpacked(base);
        if base.number > 0 && Some(base.era) < self.era() {
            // The platform may have given the same number to another writer's object.
            return Ok(Put::Conflict(self.get(kind, name).await?));
        }
        let mark = format!("{:032x}", rand::rng().random::<u128>());
        let body = json!({ "version": base.number, "writer": mark, "spec": spec }).to_string();
        let body = Bytes::from(body);
        let deadline = Instant::now() + PUT_TIMEOUT;
        let mut wait = RETRY_MIN;
        let mut lost = false;
        loop {
            let call = self.call(&step, Method::PUT, &path, Some(body.clone()), CALL_TIMEOUT);
            match call.await {
                Ok(answer) if base.number > 0 && answer.era != base.era => {
                    let reason = "the platform was reset meanwhile".to_owned();
                    return Err(self.unavailable(&step, reason));
                }
                Ok(answer) => return self.settle(&step, answer, &mark, lost),
                Err(e) if Instant::now() + wait > deadline => return Err(e),
                Err(_) => lost = true,
            }
            sleep(wait).await;
            wait = (wait * 2).min(RETRY_MAX);
        }
    }

    fn settle(
        &self,
        step: &str,
        answer: Answer,
        mark: &str,
        lost: bool,
    ) -> Result<Put, PlatformError> {
        if answer.status != StatusCode::CONFLICT {
            return self.parse_object(step, answer).map(Put::Done);
        }
        let mut fault: Fault = self.decode(step, &answer.body)?;
        if let Some(current) = &mut fault.current {
            pack(&mut current.version, answer.era);
        }
        let own = fault.current.as_ref().is_some_and(|it| it.writer == mark);
        match fault.current {
            Some(current) if own && lost => {
                event::emit(Id::WriteSettled, About::new(), &format!("{step}: took effect"));
                Ok(Put::Done(current))
            }
            current => Ok(Put::Conflict(current)),
        }
    }

    async fn call(
        &self,
        step: &str,
        method: Method,
        path: &str,
        body: Option<Bytes>,
        limit: Duration,
    ) -> Result<Answer, PlatformError> {
        let sent = body.as_ref().map_or(0, Bytes::len) as u64;
        metrics::control_sent(sent + CALL_OVERHEAD);
        metrics::platform_bytes(call_of(step), sent + CALL_OVERHEAD);
        let answer = match timeout(limit, self.exchange(method, path, body)).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(reason)) => return Err(self.unavailable(step, reason)),
            Err(_) => return Err(self.unavailable(step, "timeout".to_owned())),
        };
        let received = answer.body.len() as u64 + CALL_OVERHEAD;
        metrics::control_received(received);
        metrics::platform_bytes(call_of(step), received);
        let status = answer.status;
        if status.is_server_error() || status == StatusCode::TOO_MANY_REQUESTS {
            return Err(self.unavailable(step, status.to_string()));
        }
        Ok(answer)
    }

    async fn exchange(
        &self,
        method: Method,
        path: &str,
        body: Option<Bytes>,
    ) -> Result<Answer, String> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(body.unwrap_or_default()))
            .map_err(|e| e.to_string())?;
        let response = self.client.request(request).await.map_err(|e| chain(&e))?;
        let status = response.status();
        let era = response.headers().get(ERA_HEADER).map(HeaderValue::as_bytes);
        let era = parse_era(ERA_HEADER, era).map_err(|e| e.to_string())?;
        self.note_era(era);
        let body = Limited::new(response.into_body(), MAX_ANSWER);
        let body = body.collect().await.map_err(|e| e.to_string())?.to_bytes();
        Ok(Answer { status, era, body })
    }

    /// Notes the era of an answer. An answer of a former era may come after one of a later era.
    fn note_era(&self, era: u64) {
        let mut before = None;
        self.era.send_if_modified(|known| {
            before = *known;
            let rose = *known < Some(era);
            if rose {
                *known = Some(era);
            }
            rose
        });
        if let Some(before) = before.filter(|it| *it < era) {
            let text = format!("the platform came back from a copy: era {before} to {era}");
            event::emit(Id::PlatformReset, About::new(), &text);
        }
    }

    fn parse_object(&self, step: &str, answer: Answer) -> Result<Object, PlatformError> {
        let era = answer.era;
        let mut object: Object = self.parse(step, answer)?;
        pack(&mut object.version, era);
        Ok(object)
    }

    fn parse<T>(&self, step: &str, answer: Answer) -> Result<T, PlatformError>
    where
        T: DeserializeOwned,
    {
        if answer.status.is_success() {
            return self.decode(step, &answer.body);
        }
        let fault: Option<Fault> = serde_json::from_slice(&answer.body).ok();
        Err(PlatformError::Refused {
            step: step.to_owned(),
            peer: self.address,
            status: answer.status.as_u16(),
            reason: fault.map(|it| it.error).unwrap_or_default(),
        })
    }

    fn decode<T>(&self, step: &str, body: &[u8]) -> Result<T, PlatformError>
    where
        T: DeserializeOwned,
    {
        serde_json::from_slice(body).map_err(|e| self.unavailable(step, format!("answer: {e}")))
    }

    fn unavailable(&self, step: &str, reason: String) -> PlatformError {
        PlatformError::Unavailable { step: step.to_owned(), peer: self.address, reason }
    }
}

/// What a call is in metrics: its verb and kind, without the name.
fn call_of(step: &str) -> &str {
    if step.starts_with(WATCH) {
        return WATCH;
    }
    step.split('/').next().unwrap_or(step)
}

/// The error with its causes: the client's own text leaves them out.
fn chain(e: &dyn std::error::Error) -> String {
    let mut text = e.to_string();
    let mut cause = e.source();
    while let Some(it) = cause {
        text.push_str(&format!(": {it}"));
        cause = it.source();
    }
    text
}

#[cfg(test)]
pub(crate) mod fake;
#[cfg(test)]
mod tests;
