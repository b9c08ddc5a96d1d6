//! Client of the platform's object API.
//!
//! Every call has a timeout. Each write has a random writer ID. A write whose response was lost is retried; if the
//! retry conflicts with an object that has the same writer ID, the first attempt took effect.

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
    event::{self, EventId, EventSubject},
    metrics,
};

/// Limit for a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// Limit for a list.
const LIST_TIMEOUT: Duration = Duration::from_secs(10);
/// Limit for a write including its retries; shorter than the duration of a lease.
const WRITE_TIMEOUT: Duration = Duration::from_secs(6);
const MIN_RETRY_DELAY: Duration = Duration::from_millis(50);
const MAX_RETRY_DELAY: Duration = Duration::from_secs(1);
const MAX_RESPONSE_BYTES: usize = 64 << 20;
/// Estimated size of the headers of a call.
const CALL_OVERHEAD_BYTES: u64 = 200;

/// A failed call.
#[derive(Debug, Error)]
pub(crate) enum PlatformError {
    /// No response, or a server error. The outcome of a write is unknown.
    #[error("{operation} at the platform {peer}: {reason}")]
    Unavailable { operation: String, peer: SocketAddr, reason: String },
    /// The requested events were discarded, or the platform was reset.
    #[error("{operation} at the platform {peer}: the revision is too old")]
    TooOld { operation: String, peer: SocketAddr },
    /// The platform rejected the call.
    #[error("{operation} at the platform {peer}: {status}: {reason}")]
    Refused { operation: String, peer: SocketAddr, status: u16, reason: String },
}

/// All objects of a kind.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct List {
    pub(crate) revision: u64,
    pub(crate) items: Vec<Object>,
    /// Size of the response body.
    #[serde(skip)]
    pub(crate) bytes: usize,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum WatchEventKind {
    /// The object was created or updated.
    Put,
    /// The object was deleted; its version is the revision of the deletion.
    Delete,
}

#[derive(Clone, Debug, Deserialize)]
pub(crate) struct WatchEvent {
    #[serde(rename = "type")]
    pub(crate) kind: WatchEventKind,
    /// The object after the event.
    pub(crate) object: Object,
}

#[derive(Clone, Debug, Deserialize)]
pub(crate) struct WatchResponse {
    /// Revision up to which the events are complete.
    pub(crate) revision: u64,
    pub(crate) events: Vec<WatchEvent>,
}

const WATCH: &str = "watch";

/// Outcome of a write.
#[derive(Clone, Debug)]
pub(crate) enum PutOutcome {
    /// The write took effect; the written object.
    Done(Object),
    /// The write had no effect because the version differs; the current object, if any.
    Conflict(Option<Object>),
}

#[derive(Deserialize)]
struct ErrorBody {
    #[serde(default)]
    error: String,
    #[serde(default)]
    current: Option<Object>,
}

struct ApiResponse {
    status: StatusCode,
    era: u64,
    body: Bytes,
}

/// Combines a version with the era of the response, so that versions are ordered across eras.
fn pack(version: &mut u64, era: u64) {
    *version = Revision::new(era, *version).packed();
}

#[derive(Clone)]
pub(crate) struct Platform {
    client: Client<HttpConnector, Full<Bytes>>,
    address: SocketAddr,
    era: watch::Sender<Option<u64>>,
}

impl Platform {
    pub(crate) fn new(address: SocketAddr) -> Platform {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CALL_TIMEOUT));
        let mut builder = Client::builder(TokioExecutor::new());
        builder.pool_timer(TokioTimer::new()).pool_idle_timeout(Duration::from_secs(10));
        Platform { client: builder.build(connector), address, era: watch::Sender::new(None) }
    }

    /// Highest era in any response; `None` before the first.
    pub(crate) fn era(&self) -> Option<u64> {
        *self.era.borrow()
    }

    /// Lists the objects of a kind.
    pub(crate) async fn list(&self, kind: Kind) -> Result<List, PlatformError> {
        let operation = format!("list {kind}");
        let path = format!("/v1/objects/{kind}");
        let response = self.call(&operation, Method::GET, &path, None, LIST_TIMEOUT).await?;
        let (bytes, era) = (response.body.len(), response.era);
        let mut list: List = self.parse(&operation, response)?;
        pack(&mut list.revision, era);
        for object in &mut list.items {
            pack(&mut object.version, era);
        }
        Ok(List { bytes, ..list })
    }

    /// Reads an object; `None` if it does not exist.
    pub(crate) async fn get(
        &self,
        kind: Kind,
        name: &str,
    ) -> Result<Option<Object>, PlatformError> {
        let operation = format!("get {kind}/{name}");
        let path = format!("/v1/objects/{kind}/{name}");
        let response = self.call(&operation, Method::GET, &path, None, CALL_TIMEOUT).await?;
        if response.status == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        self.parse_object(&operation, response).map(Some)
    }

    /// Waits for events of the configuration kinds after `since`.
    pub(crate) async fn watch(
        &self,
        since: u64,
        wait: Duration,
    ) -> Result<WatchResponse, PlatformError> {
        let since = Revision::unpacked(since);
        let operation = format!("{WATCH} since {since}");
        let mut path = format!("/v1/watch?since={}&wait={}", since.number, wait.as_secs());
        for kind in Kind::CONFIG {
            path.push_str(&format!("&kind={kind}"));
        }
        let response = self.call(&operation, Method::GET, &path, None, wait + CALL_TIMEOUT).await?;
        let era = response.era;
        // Revision numbers are reused in another era.
        if response.status == StatusCode::GONE || era != since.era {
            return Err(PlatformError::TooOld { operation, peer: self.address });
        }
        let mut response: WatchResponse = self.parse(&operation, response)?;
        pack(&mut response.revision, era);
        for event in &mut response.events {
            pack(&mut event.object.version, era);
        }
        Ok(response)
    }

    /// Writes an object if its version equals `base`; 0 creates it.
    pub(crate) async fn put(
        &self,
        kind: Kind,
        name: &str,
        base: u64,
        spec: &Value,
    ) -> Result<PutOutcome, PlatformError> {
        let operation = format!("put {kind}/{name}");
        let path = format!("/v1/objects/{kind}/{name}");
        let base = Revision::unpacked(base);
        if base.number > 0 && Some(base.era) < self.era() {
            // After a reset, another writer's object may have the same version number.
            return Ok(PutOutcome::Conflict(self.get(kind, name).await?));
        }
        let writer_id = format!("{:032x}", rand::rng().random::<u128>());
        let body = json!({ "version": base.number, "writer": writer_id, "spec": spec }).to_string();
        let body = Bytes::from(body);
        let deadline = Instant::now() + WRITE_TIMEOUT;
        let mut delay = MIN_RETRY_DELAY;
        let mut response_lost = false;
        loop {
            let call = self.call(&operation, Method::PUT, &path, Some(body.clone()), CALL_TIMEOUT);
            match call.await {
                Ok(response) if base.number > 0 && response.era != base.era => {
                    let reason = "the platform was reset during the write".to_owned();
                    return Err(self.unavailable(&operation, reason));
                }
                Ok(response) => {
                    return self.resolve_write(&operation, response, &writer_id, response_lost);
                }
                Err(e) if Instant::now() + delay > deadline => return Err(e),
                Err(_) => response_lost = true,
            }
            sleep(delay).await;
            delay = (delay * 2).min(MAX_RETRY_DELAY);
        }
    }

    fn resolve_write(
        &self,
        operation: &str,
        response: ApiResponse,
        writer_id: &str,
        response_lost: bool,
    ) -> Result<PutOutcome, PlatformError> {
        if response.status != StatusCode::CONFLICT {
            return self.parse_object(operation, response).map(PutOutcome::Done);
        }
        let mut error_body: ErrorBody = self.decode(operation, &response.body)?;
        if let Some(current) = &mut error_body.current {
            pack(&mut current.version, response.era);
        }
        let own = error_body.current.as_ref().is_some_and(|it| it.writer == writer_id);
        match error_body.current {
            Some(current) if own && response_lost => {
                event::emit(
                    EventId::WriteSettled,
                    EventSubject::new(),
                    &format!("{operation}: took effect"),
                );
                Ok(PutOutcome::Done(current))
            }
            current => Ok(PutOutcome::Conflict(current)),
        }
    }

    async fn call(
        &self,
        operation: &str,
        method: Method,
        path: &str,
        body: Option<Bytes>,
        limit: Duration,
    ) -> Result<ApiResponse, PlatformError> {
        let sent = body.as_ref().map_or(0, Bytes::len) as u64;
        metrics::control_sent(sent + CALL_OVERHEAD_BYTES);
        metrics::platform_bytes(call_label(operation), sent + CALL_OVERHEAD_BYTES);
        let response = match timeout(limit, self.send_request(method, path, body)).await {
            Ok(Ok(response)) => response,
            Ok(Err(reason)) => return Err(self.unavailable(operation, reason)),
            Err(_) => return Err(self.unavailable(operation, "timeout".to_owned())),
        };
        let received = response.body.len() as u64 + CALL_OVERHEAD_BYTES;
        metrics::control_received(received);
        metrics::platform_bytes(call_label(operation), received);
        let status = response.status;
        if status.is_server_error() || status == StatusCode::TOO_MANY_REQUESTS {
            return Err(self.unavailable(operation, status.to_string()));
        }
        Ok(response)
    }

    async fn send_request(
        &self,
        method: Method,
        path: &str,
        body: Option<Bytes>,
    ) -> Result<ApiResponse, String> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(body.unwrap_or_default()))
            .map_err(|e| e.to_string())?;
        let response = self.client.request(request).await.map_err(|e| error_chain(&e))?;
        let status = response.status();
        let era = response.headers().get(ERA_HEADER).map(HeaderValue::as_bytes);
        let era = parse_era(ERA_HEADER, era).map_err(|e| e.to_string())?;
        self.observe_era(era);
        let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES);
        let body = body.collect().await.map_err(|e| e.to_string())?.to_bytes();
        Ok(ApiResponse { status, era, body })
    }

    /// Records the era of a response. Responses of an earlier era may still arrive after one of a later era.
    fn observe_era(&self, era: u64) {
        let mut before = None;
        self.era.send_if_modified(|known| {
            before = *known;
            let raised = *known < Some(era);
            if raised {
                *known = Some(era);
            }
            raised
        });
        if let Some(before) = before.filter(|it| *it < era) {
            let text = format!("the platform was reset: era {before} to {era}");
            event::emit(EventId::PlatformReset, EventSubject::new(), &text);
        }
    }

    fn parse_object(
        &self,
        operation: &str,
        response: ApiResponse,
    ) -> Result<Object, PlatformError> {
        let era = response.era;
        let mut object: Object = self.parse(operation, response)?;
        pack(&mut object.version, era);
        Ok(object)
    }

    fn parse<T>(&self, operation: &str, response: ApiResponse) -> Result<T, PlatformError>
    where
        T: DeserializeOwned,
    {
        if response.status.is_success() {
            return self.decode(operation, &response.body);
        }
        let error_body: Option<ErrorBody> = serde_json::from_slice(&response.body).ok();
        Err(PlatformError::Refused {
            operation: operation.to_owned(),
            peer: self.address,
            status: response.status.as_u16(),
            reason: error_body.map(|it| it.error).unwrap_or_default(),
        })
    }

    fn decode<T>(&self, operation: &str, body: &[u8]) -> Result<T, PlatformError>
    where
        T: DeserializeOwned,
    {
        serde_json::from_slice(body)
            .map_err(|e| self.unavailable(operation, format!("invalid response: {e}")))
    }

    fn unavailable(&self, operation: &str, reason: String) -> PlatformError {
        PlatformError::Unavailable { operation: operation.to_owned(), peer: self.address, reason }
    }
}

/// Metric label of a call: verb and kind, without the object name.
fn call_label(operation: &str) -> &str {
    if operation.starts_with(WATCH) {
        return WATCH;
    }
    operation.split('/').next().unwrap_or(operation)
}

/// Formats an error with its causes, which the client's own text omits.
fn error_chain(e: &dyn std::error::Error) -> String {
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
