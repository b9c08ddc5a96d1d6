//! Client of the platform's object API.

use std::time::Duration;

use bytes::Bytes;
use camphorwinch_core::{
    object::{Kind, Object},
    revision::{ERA_HEADER, Revision, parse_era},
};
use http::{HeaderValue, Method, Request, StatusCode, Uri, header::RETRY_AFTER};
use http_body_util::{BodyExt as _, Full, Limited};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde::{Deserialize, de::DeserializeOwned};
use tokio::time::timeout;

use crate::{backoff::Backoff, config::Settings, error::Error};

const MAX_RESPONSE_BYTES: usize = 256 << 20;
/// How long the platform may hold a watch request open, in seconds.
const WATCH_WAIT_S: u64 = 25;
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Response to a list request.
#[derive(Clone, Debug, Deserialize)]
pub struct ObjectList {
    /// Revision of the store at the time of the list.
    pub revision: u64,
    /// The objects.
    pub items: Vec<Object>,
}

/// Type of a watch event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, serde::Serialize)]
#[serde(rename_all = "lowercase")]
pub enum WatchEventType {
    /// The object was created or updated.
    Put,
    /// The object was deleted.
    Delete,
}

/// One event of a watch.
#[derive(Clone, Debug, PartialEq, Deserialize, serde::Serialize)]
pub struct WatchEvent {
    /// Type of the event.
    #[serde(rename = "type")]
    pub event_type: WatchEventType,
    /// The object; its version is the revision of the event.
    pub object: Object,
}

/// Response to a watch request.
#[derive(Clone, Debug, Deserialize)]
pub struct WatchResponse {
    /// Revision from which the next watch request starts.
    pub revision: u64,
    /// The events since the requested revision.
    pub events: Vec<WatchEvent>,
}

/// A response body, or a part of one, with revision numbers of one era. Packed revisions contain the era, so they are
/// ordered across eras.
pub trait PackRevisions {
    /// Replaces each revision number by its packed revision.
    fn pack_revisions(&mut self, era: u64);
}

fn pack_revision(number: &mut u64, era: u64) {
    *number = Revision::new(era, *number).packed();
}

impl PackRevisions for Object {
    fn pack_revisions(&mut self, era: u64) {
        pack_revision(&mut self.version, era);
    }
}

impl PackRevisions for ObjectList {
    fn pack_revisions(&mut self, era: u64) {
        pack_revision(&mut self.revision, era);
        self.items.iter_mut().for_each(|it| it.pack_revisions(era));
    }
}

impl PackRevisions for WatchResponse {
    fn pack_revisions(&mut self, era: u64) {
        pack_revision(&mut self.revision, era);
        self.events.iter_mut().for_each(|it| it.object.pack_revisions(era));
    }
}

/// An HTTP response of the platform.
#[derive(Clone, Debug)]
pub struct ApiResponse {
    /// HTTP status code.
    pub status: StatusCode,
    /// Era of the store, from the response header.
    pub era: u64,
    /// Delay before a retry, from the `Retry-After` header.
    pub retry_after: Option<Duration>,
    /// Response body.
    pub body: Bytes,
}

impl ApiResponse {
    /// Status and error text, for an error message.
    pub fn reason(&self) -> String {
        #[derive(Deserialize)]
        struct ErrorBody {
            error: String,
        }
        match serde_json::from_slice::<ErrorBody>(&self.body) {
            Ok(it) => format!("{}: {}", self.status, it.error),
            Err(_) => self.status.to_string(),
        }
    }
}

/// Failure of an attempt that may be retried.
#[derive(Clone, Debug)]
pub struct RetryableError {
    /// Minimum delay before the next attempt, when the platform gave one.
    pub retry_after: Option<Duration>,
    /// The cause, for an error message.
    pub reason: String,
}

impl RetryableError {
    /// An error without a minimum delay.
    pub fn new<R>(reason: R) -> RetryableError
    where
        R: Into<String>,
    {
        RetryableError { retry_after: None, reason: reason.into() }
    }
}

impl From<&ApiResponse> for RetryableError {
    fn from(it: &ApiResponse) -> RetryableError {
        RetryableError { retry_after: it.retry_after, reason: it.reason() }
    }
}

/// Failure of a request without a response.
#[derive(Clone, Debug)]
pub enum SendError {
    /// The connection failed, so the request was not sent.
    NotSent(String),
    /// The connection broke or timed out, so the request may have taken effect.
    MaybeSent(String),
}

impl SendError {
    /// The cause, for an error message.
    pub fn reason(self) -> String {
        match self {
            SendError::NotSent(it) | SendError::MaybeSent(it) => it,
        }
    }
}

/// HTTP client of the platform.
#[derive(Clone, Debug)]
pub struct PlatformClient {
    uri: Uri,
    timeout: Duration,
    client: Client<HttpConnector, Full<Bytes>>,
}

impl PlatformClient {
    /// Creates a client with the address and the timeout from the settings.
    pub fn new(settings: &Settings) -> PlatformClient {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new()).build(connector);
        PlatformClient { uri: settings.platform.clone(), timeout: settings.timeout, client }
    }

    /// Host and port of the platform.
    pub fn authority(&self) -> String {
        self.uri.authority().map_or_else(String::new, |it| it.to_string())
    }

    /// A retry schedule for one operation, limited by the timeout.
    pub fn backoff(&self) -> Backoff {
        Backoff::new(self.timeout)
    }

    /// Lists all objects of a kind.
    pub async fn list(&self, kind: Kind) -> Result<ObjectList, Error> {
        let path = format!("/v1/objects/{kind}");
        let operation = format!("list {kind}");
        self.get_json(&operation, &path, &mut self.backoff())
            .await?
            .ok_or_else(|| Error::NotFound { object: kind.to_string(), peer: self.authority() })
    }

    /// Reads an object, if it exists.
    pub async fn get(&self, kind: Kind, name: &str) -> Result<Option<Object>, Error> {
        self.get_within(kind, name, &mut self.backoff()).await
    }

    /// Reads an object, if it exists, with the retry schedule of a running operation.
    pub async fn get_within(
        &self,
        kind: Kind,
        name: &str,
        backoff: &mut Backoff,
    ) -> Result<Option<Object>, Error> {
        let path = format!("/v1/objects/{kind}/{name}");
        self.get_json(&format!("get {kind}/{name}"), &path, backoff).await
    }

    /// Reads an object; [`Error::NotFound`] if it does not exist.
    pub async fn get_existing(&self, kind: Kind, name: &str) -> Result<Object, Error> {
        self.get(kind, name).await?.ok_or_else(|| Error::NotFound {
            object: format!("{kind}/{name}"),
            peer: self.authority(),
        })
    }

    /// Lists events since a revision without waiting. `None` when the platform no longer has them.
    pub async fn events_since(
        &self,
        kind: Kind,
        since: u64,
        backoff: &mut Backoff,
    ) -> Result<Option<WatchResponse>, Error> {
        let since = Revision::unpacked(since);
        let path = format!("/v1/watch?since={}&wait=0&kind={kind}", since.number);
        let events: Option<WatchResponse> =
            self.get_json("read the event history", &path, backoff).await?;
        // The same number in another era is another revision.
        Ok(events.filter(|it| Revision::unpacked(it.revision).era == since.era))
    }

    /// Sends one long poll for events since a revision. A response of another era gets status 410.
    pub async fn poll_watch(&self, kinds: &[Kind], since: u64) -> Result<ApiResponse, SendError> {
        let since = Revision::unpacked(since);
        let mut path = format!("/v1/watch?since={}&wait={WATCH_WAIT_S}", since.number);
        for kind in kinds {
            path.push_str("&kind=");
            path.push_str(kind.as_str());
        }
        let limit = Duration::from_secs(WATCH_WAIT_S) + self.timeout;
        let response = self.send(Method::GET, &path, Bytes::new(), limit).await?;
        let status = if response.era == since.era { response.status } else { StatusCode::GONE };
        Ok(ApiResponse { status, ..response })
    }

    /// Sends a request once, without a retry.
    pub async fn send(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        limit: Duration,
    ) -> Result<ApiResponse, SendError> {
        match timeout(limit, self.send_request(method, path, body)).await {
            Ok(result) => result,
            Err(_) => Err(SendError::MaybeSent(format!("no response within {limit:.1?}"))),
        }
    }

    async fn send_request(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<ApiResponse, SendError> {
        let uri = format!("http://{}{path}", self.authority());
        let request = Request::builder()
            .method(method)
            .uri(uri)
            .header(http::header::CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .map_err(|e| SendError::NotSent(e.to_string()))?;
        let response = match self.client.request(request).await {
            Ok(response) => response,
            Err(e) if e.is_connect() => return Err(SendError::NotSent(error_chain(&e))),
            Err(e) => return Err(SendError::MaybeSent(error_chain(&e))),
        };
        let status = response.status();
        let era = response.headers().get(ERA_HEADER).map(HeaderValue::as_bytes);
        let era = parse_era(ERA_HEADER, era).map_err(|e| SendError::MaybeSent(e.to_string()))?;
        let retry_after = response.headers().get(RETRY_AFTER);
        let retry_after =
            retry_after.and_then(|it| it.to_str().ok()?.parse().ok()).map(Duration::from_secs);
        let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES).collect().await;
        let body = body.map_err(|e| SendError::MaybeSent(e.to_string()))?.to_bytes();
        Ok(ApiResponse { status, era, retry_after, body })
    }

    async fn get_json<T>(
        &self,
        operation: &str,
        path: &str,
        backoff: &mut Backoff,
    ) -> Result<Option<T>, Error>
    where
        T: DeserializeOwned + PackRevisions,
    {
        loop {
            let failure =
                match self.send(Method::GET, path, Bytes::new(), backoff.attempt_timeout()).await {
                    Ok(it) if it.status == StatusCode::OK => {
                        return self.parse_body(operation, &it).map(Some);
                    }
                    Ok(it) if matches!(it.status, StatusCode::NOT_FOUND | StatusCode::GONE) => {
                        return Ok(None);
                    }
                    Ok(it) if is_transient(it.status) => RetryableError::from(&it),
                    Ok(it) => return Err(self.rejected_error(operation, &it)),
                    Err(error) => RetryableError::new(error.reason()),
                };
            if !backoff.wait(failure.retry_after).await {
                return Err(Error::Unavailable {
                    operation: operation.to_owned(),
                    peer: self.authority(),
                    reason: failure.reason,
                });
            }
        }
    }

    /// Parses a response body; [`Error::Rejected`] if it is not valid.
    pub fn parse_body<T>(&self, operation: &str, response: &ApiResponse) -> Result<T, Error>
    where
        T: DeserializeOwned + PackRevisions,
    {
        let parsed = serde_json::from_slice(&response.body);
        let mut parsed: T = parsed.map_err(|e| Error::Rejected {
            operation: operation.to_owned(),
            peer: self.authority(),
            reason: format!("invalid response body: {e}"),
        })?;
        parsed.pack_revisions(response.era);
        Ok(parsed)
    }

    /// The error for a response that a retry would not change.
    pub fn rejected_error(&self, operation: &str, response: &ApiResponse) -> Error {
        Error::Rejected {
            operation: operation.to_owned(),
            peer: self.authority(),
            reason: response.reason(),
        }
    }
}

/// Whether a retry may succeed.
pub fn is_transient(status: StatusCode) -> bool {
    status == StatusCode::TOO_MANY_REQUESTS || status.is_server_error()
}

fn error_chain(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(it) = source {
        text.push_str(": ");
        text.push_str(&it.to_string());
        source = it.source();
    }
    text
}
