//! Calls to the platform's object API.

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

use crate::{config::Settings, error::Error, retry::Retry};

/// Longest answer that is read, in bytes.
const MAX_ANSWER: usize = 256 << 20;
/// How long the platform may hold a watch open, in seconds.
const WATCH_WAIT_S: u64 = 25;
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Answer to a list.
#[derive(Clone, Debug, Deserialize)]
pub struct List {
    /// The platform's revision at the time of the list.
    pub revision: u64,
    /// The objects.
    pub items: Vec<Object>,
}

/// What a watch saw happen to an object.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, serde::Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Seen {
    /// Created or updated.
    Put,
    /// Deleted.
    Delete,
}

/// One event of a watch.
#[derive(Clone, Debug, PartialEq, Deserialize, serde::Serialize)]
pub struct WatchEvent {
    /// What happened.
    #[serde(rename = "type")]
    pub seen: Seen,
    /// The object; its version is the revision of the event.
    pub object: Object,
}

/// Answer to a watch.
#[derive(Clone, Debug, Deserialize)]
pub struct Events {
    /// Revision to watch from next.
    pub revision: u64,
    /// The events since the revision asked for.
    pub events: Vec<WatchEvent>,
}

/// An answer, or a part of one, with revisions of the platform as it numbers them. Packed with the era of the answer they are
/// ordered over all eras.
pub trait Pack {
    /// Packs the revisions.
    fn pack(&mut self, era: u64);
}

fn pack(number: &mut u64, era: u64) {
    *number = Revision::new(era, *number).packed();
}

impl Pack for Object {
    fn pack(&mut self, era: u64) {
        pack(&mut self.version, era);
    }
}

impl Pack for List {
    fn pack(&mut self, era: u64) {
        pack(&mut self.revision, era);
        self.items.iter_mut().for_each(|it| it.pack(era));
    }
}

impl Pack for Events {
    fn pack(&mut self, era: u64) {
        pack(&mut self.revision, era);
        self.events.iter_mut().for_each(|it| it.object.pack(era));
    }
}

/// An answer of the platform.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Status.
    pub status: StatusCode,
    /// Era of the platform in which it answered.
    pub era: u64,
    /// When to try again, if the platform said so.
    pub after: Option<Duration>,
    /// Body.
    pub body: Bytes,
}

impl Answer {
    /// Status and error text, for people.
    pub fn reason(&self) -> String {
        #[derive(Deserialize)]
        struct Refusal {
            error: String,
        }
        match serde_json::from_slice::<Refusal>(&self.body) {
            Ok(it) => format!("{}: {}", self.status, it.error),
            Err(_) => self.status.to_string(),
        }
    }
}

/// Why an attempt failed, when another may follow.
#[derive(Clone, Debug)]
pub struct Failure {
    /// Time after which the platform wants to be asked again, if it said.
    pub after: Option<Duration>,
    /// The cause, for people.
    pub reason: String,
}

impl Failure {
    /// A failure after which the platform named no time.
    pub fn new<R>(reason: R) -> Failure
    where
        R: Into<String>,
    {
        Failure { after: None, reason: reason.into() }
    }
}

impl From<&Answer> for Failure {
    fn from(it: &Answer) -> Failure {
        Failure { after: it.after, reason: it.reason() }
    }
}

/// Why a call got no answer.
#[derive(Clone, Debug)]
pub enum Lost {
    /// No connection: the call was not sent.
    NotSent(String),
    /// The connection broke or timed out: the call may have been carried out.
    MaybeSent(String),
}

impl Lost {
    /// The cause, for people.
    pub fn reason(self) -> String {
        match self {
            Lost::NotSent(it) | Lost::MaybeSent(it) => it,
        }
    }
}

/// Client of the platform.
#[derive(Clone, Debug)]
pub struct Platform {
    uri: Uri,
    timeout: Duration,
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Platform {
    /// A client with the address and the timeout of the settings.
    pub fn new(settings: &Settings) -> Platform {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new()).build(connector);
        Platform { uri: settings.platform.clone(), timeout: settings.timeout, client }
    }

    /// Address of the platform, for errors.
    pub fn peer(&self) -> String {
        self.uri.authority().map_or_else(String::new, |it| it.to_string())
    }

    /// Attempts of one operation, ended by the timeout.
    pub fn retry(&self) -> Retry {
        Retry::new(self.timeout)
    }

    /// All objects of a kind.
    pub async fn list(&self, kind: Kind) -> Result<List, Error> {
        let path = format!("/v1/objects/{kind}");
        let step = format!("list {kind}");
        self.read(&step, &path, &mut self.retry())
            .await?
            .ok_or_else(|| Error::NotFound { at: kind.to_string(), peer: self.peer() })
    }

    /// One object, if it exists.
    pub async fn get(&self, kind: Kind, name: &str) -> Result<Option<Object>, Error> {
        self.get_within(kind, name, &mut self.retry()).await
    }

    /// One object, if it exists, within attempts that have already begun.
    pub async fn get_within(
        &self,
        kind: Kind,
        name: &str,
        retry: &mut Retry,
    ) -> Result<Option<Object>, Error> {
        let path = format!("/v1/objects/{kind}/{name}");
        self.read(&format!("get {kind}/{name}"), &path, retry).await
    }

    /// One object; an error if it does not exist.
    pub async fn need(&self, kind: Kind, name: &str) -> Result<Object, Error> {
        self.get(kind, name)
            .await?
            .ok_or_else(|| Error::NotFound { at: format!("{kind}/{name}"), peer: self.peer() })
    }

    /// Events since a revision, without waiting for any. `None` when the platform no longer has them.
    pub async fn history(
        &self,
        kind: Kind,
        since: u64,
        retry: &mut Retry,
    ) -> Result<Option<Events>, Error> {
        let since = Revision::unpacked(since);
        let path = format!("/v1/watch?since={}&wait=0&kind={kind}", since.number);
        let events: Option<Events> = self.read("read the history", &path, retry).await?;
        // In another era the same number stands for another state, after which other events come.
        Ok(events.filter(|it| Revision::unpacked(it.revision).era == since.era))
    }

    /// One attempt to wait for events since a revision. An answer of another era is of no use.
    pub async fn wait(&self, kinds: &[Kind], since: u64) -> Result<Answer, Lost> {
        let since = Revision::unpacked(since);
        let mut path = format!("/v1/watch?since={}&wait={WATCH_WAIT_S}", since.number);
        for kind in kinds {
            path.push_str("&kind=");
            path.push_str(kind.as_str());
        }
        let limit = Duration::from_secs(WATCH_WAIT_S) + self.timeout;
        let answer = self.call(Method::GET, &path, Bytes::new(), limit).await?;
        let status = if answer.era == since.era { answer.status } else { StatusCode::GONE };
        Ok(Answer { status, ..answer })
    }

    /// One attempt of one call.
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        limit: Duration,
    ) -> Result<Answer, Lost> {
        match timeout(limit, self.exchange(method, path, body)).await {
            Ok(result) => result,
            Err(_) => Err(Lost::MaybeSent(format!("no answer within {limit:.1?}"))),
        }
    }

    async fn exchange(&self, method: Method, path: &str, body: Bytes) -> Result<Answer, Lost> {
        let uri = format!("http://{}{path}", self.peer());
        let request = Request::builder()
            .method(method)
            .uri(uri)
            .header(http::header::CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .map_err(|e| Lost::NotSent(e.to_string()))?;
        let response = match self.client.request(request).await {
            Ok(response) => response,
            Err(e) if e.is_connect() => return Err(Lost::NotSent(chain(&e))),
            Err(e) => return Err(Lost::MaybeSent(chain(&e))),
        };
        let status = response.status();
        let era = response.headers().get(ERA_HEADER).map(HeaderValue::as_bytes);
        let era = parse_era(ERA_HEADER, era).map_err(|e| Lost::MaybeSent(e.to_string()))?;
        let after = response.headers().get(RETRY_AFTER);
        let after = after.and_then(|it| it.to_str().ok()?.parse().ok()).map(Duration::from_secs);
        let body = Limited::new(response.into_body(), MAX_ANSWER).collect().await;
        let body = body.map_err(|e| Lost::MaybeSent(e.to_string()))?.to_bytes();
        Ok(Answer { status, era, after, body })
    }

    async fn read<T>(&self, step: &str, path: &str, retry: &mut Retry) -> Result<Option<T>, Error>
    where
        T: DeserializeOwned + Pack,
    {
        loop {
            let failure = match self.call(Method::GET, path, Bytes::new(), retry.limit()).await {
                Ok(it) if it.status == StatusCode::OK => {
                    return self.parse(step, &it).map(Some);
                }
                Ok(it) if matches!(it.status, StatusCode::NOT_FOUND | StatusCode::GONE) => {
                    return Ok(None);
                }
                Ok(it) if is_passing(it.status) => Failure::from(&it),
                Ok(it) => return Err(self.refused(step, &it)),
                Err(lost) => Failure::new(lost.reason()),
            };
            if !retry.pause(failure.after).await {
                return Err(Error::Unavailable {
                    step: step.to_owned(),
                    peer: self.peer(),
                    reason: failure.reason,
                });
            }
        }
    }

    /// Parses the body of an answer.
    pub fn parse<T>(&self, step: &str, answer: &Answer) -> Result<T, Error>
    where
        T: DeserializeOwned + Pack,
    {
        let parsed = serde_json::from_slice(&answer.body);
        let mut parsed: T = parsed.map_err(|e| Error::Refused {
            step: step.to_owned(),
            peer: self.peer(),
            reason: format!("an answer that is not readable: {e}"),
        })?;
        parsed.pack(answer.era);
        Ok(parsed)
    }

    /// The error for an answer that trying again won't change.
    pub fn refused(&self, step: &str, answer: &Answer) -> Error {
        Error::Refused { step: step.to_owned(), peer: self.peer(), reason: answer.reason() }
    }
}

/// Whether trying again may help.
pub fn is_passing(status: StatusCode) -> bool {
    status == StatusCode::TOO_MANY_REQUESTS || status.is_server_error()
}

fn chain(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(it) = source {
        text.push_str(": ");
        text.push_str(&it.to_string());
        source = it.source();
    }
    text
}
