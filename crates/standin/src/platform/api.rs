//! HTTP handlers of the object API and the admin API.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use camphorwinch_core::object::{Kind, MAX_OBJECT_BYTES, Object};
use http::{HeaderName, HeaderValue, Method, Request, Response, StatusCode, header};
use hyper::body::{Body as _, Incoming};
use parking_lot::Mutex;
use rand::{Rng, SeedableRng, rngs::StdRng};
use serde::Deserialize;
use serde_json::Value;
use tokio::{
    sync::watch,
    time::{Instant, sleep, timeout_at},
};

use super::{
    counts::Counts,
    faults::{Faults, Outage},
    rate_limit::RateLimiter,
    store::{Store, StoreError},
};
use crate::server::{self, Body, Dropped, HandlerResult, HttpError, Server};

/// Response header with the number of restores from the backup.
const STORE_ERA: HeaderName = HeaderName::from_static("store-era");
const MAX_WATCH_WAIT_S: u64 = 30;
/// Maximum spec size plus room for the version and the writer.
const MAX_PUT_BODY_BYTES: usize = MAX_OBJECT_BYTES + 1024;
const MAX_WRITER_BYTES: usize = 64;
const MAX_NAME_BYTES: usize = 63;
const MAX_ADMIN_BODY_BYTES: usize = 64 << 10;

/// A running platform; dropping it stops it.
#[derive(Debug)]
pub struct Platform {
    server: Server,
}

impl Platform {
    /// Starts listening; keeps the newest `history` events for watches. An error if the address cannot be bound.
    pub async fn start(
        listen: SocketAddr,
        history: usize,
        seed: u64,
        faults: Faults,
    ) -> anyhow::Result<Platform> {
        let shared = Arc::new(Shared::new(history, seed, faults));
        let handle = move |request| {
            let shared = shared.clone();
            async move { shared.handle(request).await }
        };
        Ok(Platform { server: Server::start(listen, handle).await? })
    }

    /// Address that it listens on.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }
}

/// An API call, parsed from a request head.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Call {
    List(Option<String>),
    Get { kind: String, name: String },
    Put { kind: String, name: String },
    Delete { kind: String, name: String, version: u64 },
    Watch { since: u64, wait: u64, kinds: Vec<String> },
}

impl Call {
    fn parse(request: &Request<Incoming>) -> Result<Call, HttpError> {
        let path = request.uri().path();
        let pairs = server::query_pairs(request.uri().query());
        let parts: Vec<&str> = path.split('/').skip(1).collect();
        match (request.method(), &parts[..]) {
            (&Method::GET, ["v1", "objects"]) => Ok(Call::List(None)),
            (&Method::GET, ["v1", "objects", kind]) => Ok(Call::List(Some(parse_name(kind)?))),
            (&Method::GET, ["v1", "objects", kind, name]) => {
                Ok(Call::Get { kind: parse_name(kind)?, name: parse_name(name)? })
            }
            (&Method::PUT, ["v1", "objects", kind, name]) => {
                Ok(Call::Put { kind: parse_name(kind)?, name: parse_name(name)? })
            }
            (&Method::DELETE, ["v1", "objects", kind, name]) => {
                let version = server::query_value(&pairs, "version")?
                    .ok_or_else(|| HttpError::bad_request("query version is missing"))?;
                Ok(Call::Delete { kind: parse_name(kind)?, name: parse_name(name)?, version })
            }
            (&Method::GET, ["v1", "watch"]) => Call::parse_watch(&pairs),
            _ => Err(HttpError::not_found(path)),
        }
    }

    fn parse_watch(pairs: &[(&str, &str)]) -> Result<Call, HttpError> {
        let since = server::query_value(pairs, "since")?
            .ok_or_else(|| HttpError::bad_request("query since is missing"))?;
        let wait = server::query_value(pairs, "wait")?.unwrap_or(0);
        if wait > MAX_WATCH_WAIT_S {
            return Err(HttpError::bad_request(format!(
                "query wait={wait}: at most {MAX_WATCH_WAIT_S}"
            )));
        }
        let kinds = pairs.iter().filter(|(key, _)| *key == "kind");
        let kinds = kinds.map(|(_, kind)| parse_name(kind)).collect::<Result<_, _>>()?;
        Ok(Call::Watch { since, wait, kinds })
    }

    fn method(&self) -> &'static str {
        match self {
            Call::List(_) => "list",
            Call::Get { .. } => "get",
            Call::Put { .. } => "put",
            Call::Delete { .. } => "delete",
            Call::Watch { .. } => "watch",
        }
    }

    fn kind(&self) -> &str {
        let kind = match self {
            Call::List(None) => return "all",
            Call::Watch { kinds, .. } if kinds.len() != 1 => return "all",
            Call::Watch { kinds, .. } => &kinds[0],
            Call::List(Some(kind))
            | Call::Get { kind, .. }
            | Call::Put { kind, .. }
            | Call::Delete { kind, .. } => kind,
        };
        Kind::parse(kind).map_or("other", Kind::as_str)
    }

    fn is_write(&self) -> bool {
        matches!(self, Call::Put { .. } | Call::Delete { .. })
    }
}

fn parse_name(name: &str) -> Result<String, HttpError> {
    let is_alphanumeric = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit();
    let ends_valid = name.starts_with(is_alphanumeric) && name.ends_with(is_alphanumeric);
    let chars_valid = name.chars().all(|c| is_alphanumeric(c) || c == '.' || c == '-');
    if ends_valid && chars_valid && name.len() <= MAX_NAME_BYTES {
        return Ok(name.to_owned());
    }
    Err(HttpError::bad_request(format!(
        "{name:?} is no name: [a-z0-9]([a-z0-9.-]{{0,61}}[a-z0-9])?"
    )))
}

/// Request body of a put.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Write {
    version: u64,
    writer: String,
    spec: Value,
}

/// State shared by all connections. Lock order: `store`, `counts`, `rng`; no lock is held across an await.
#[derive(Debug)]
struct Shared {
    store: Mutex<Store>,
    counts: Mutex<Counts>,
    rng: Mutex<StdRng>,
    reads: Mutex<RateLimiter>,
    writes: Mutex<RateLimiter>,
    faults: watch::Sender<Faults>,
    revision: watch::Sender<u64>,
    started: Instant,
}

impl Shared {
    fn new(history: usize, seed: u64, faults: Faults) -> Shared {
        let started = Instant::now();
        Shared {
            store: Mutex::new(Store::new(history)),
            counts: Mutex::default(),
            rng: Mutex::new(StdRng::seed_from_u64(seed)),
            reads: Mutex::new(RateLimiter::new(started.into_std())),
            writes: Mutex::new(RateLimiter::new(started.into_std())),
            faults: watch::Sender::new(faults),
            revision: watch::Sender::new(0),
            started,
        }
    }

    async fn handle(&self, request: Request<Incoming>) -> HandlerResult {
        if request.uri().path().starts_with("/admin/") {
            return Ok(self
                .handle_admin(request)
                .await
                .unwrap_or_else(|error| error.to_response()));
        }
        let mut response = match Call::parse(&request) {
            Ok(call) => self.handle_call(call, request.into_body()).await?,
            Err(error) => error.to_response(),
        };
        response.headers_mut().insert(STORE_ERA, self.store.lock().era().into());
        self.counts.lock().bytes_out += response.body().size_hint().lower();
        Ok(response)
    }

    async fn handle_admin(&self, request: Request<Incoming>) -> Result<Response<Body>, HttpError> {
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/admin/counts") => {
                let mut counts = self.counts.lock().clone();
                counts.uptime_ms = self.started.elapsed().as_millis() as u64;
                Ok(server::json_response(StatusCode::OK, &counts))
            }
            (&Method::GET, "/admin/faults") => {
                Ok(server::json_response(StatusCode::OK, &*self.faults.borrow()))
            }
            (&Method::PUT, "/admin/faults") => {
                let faults: Faults =
                    server::read_json(request.into_body(), MAX_ADMIN_BODY_BYTES).await?;
                faults.check().map_err(HttpError::bad_request)?;
                self.faults.send_replace(faults.clone());
                Ok(server::json_response(StatusCode::OK, &faults))
            }
            (&Method::PUT, "/admin/copy") => {
                self.store.lock().save_backup();
                Ok(server::json_response(StatusCode::OK, &Value::Null))
            }
            (&Method::PUT, "/admin/reset") => {
                self.store.lock().restore();
                let revision = self.store.lock().revision();
                self.revision.send_replace(revision);
                Ok(server::json_response(StatusCode::OK, &Value::Null))
            }
            (_, path) => Err(HttpError::not_found(path)),
        }
    }

    async fn handle_call(&self, call: Call, body: Incoming) -> HandlerResult {
        self.counts.lock().count_call(call.method(), call.kind());
        if let Some(response) = self.outage_response().await? {
            return Ok(response);
        }
        if !self.acquire_token(&call) {
            return Ok(rate_limited_response());
        }
        let body = match &call {
            Call::Put { .. } => match server::read_json::<Write>(body, MAX_PUT_BODY_BYTES).await {
                Ok(body) => Some(body),
                Err(error) => return Ok(error.to_response()),
            },
            _ => None,
        };
        sleep(self.random_delay()).await;
        if let Some(response) = self.outage_response().await? {
            return Ok(response);
        }
        let response = self.execute(call, body).await?;
        let answer_ms = self.faults.borrow().answer_ms;
        sleep(Duration::from_millis(answer_ms)).await;
        Ok(response)
    }

    /// Response of a call during an outage; `None` if there is no outage.
    async fn outage_response(&self) -> Result<Option<Response<Body>>, Dropped> {
        let outage = self.faults.borrow().outage;
        let Some(outage) = outage else { return Ok(None) };
        self.counts.lock().outage += 1;
        match outage {
            Outage::Error => {
                let error = HttpError::new(StatusCode::SERVICE_UNAVAILABLE, "outage");
                Ok(Some(error.to_response()))
            }
            Outage::Refuse => Err(Dropped),
            Outage::Hang => {
                let mut faults = self.faults.subscribe();
                let _ = faults.wait_for(|it| it.outage != Some(Outage::Hang)).await;
                Err(Dropped)
            }
        }
    }

    fn acquire_token(&self, call: &Call) -> bool {
        let now = Instant::now().into_std();
        let allowed = {
            let faults = self.faults.borrow();
            match call.is_write() {
                true => self.writes.lock().try_acquire(now, faults.writes_per_s),
                false => self.reads.lock().try_acquire(now, faults.reads_per_s),
            }
        };
        if !allowed {
            self.counts.lock().limited += 1;
        }
        allowed
    }

    fn random_delay(&self) -> Duration {
        let faults = self.faults.borrow();
        let jitter = self.rng.lock().random_range(0..=faults.jitter_ms);
        Duration::from_millis(faults.delay_ms + jitter)
    }

    fn random_bool(&self, probability: f64) -> bool {
        probability > 0.0 && self.rng.lock().random_bool(probability)
    }

    async fn execute(&self, call: Call, body: Option<Write>) -> HandlerResult {
        match (call, body) {
            (Call::List(kind), _) => Ok(server::json_text_response(
                StatusCode::OK,
                self.store.lock().list(kind.as_deref()),
            )),
            (Call::Get { kind, name }, _) => {
                let found = self.store.lock().get(&kind, &name);
                Ok(self.response(found.map(|text| text.to_string())))
            }
            (Call::Put { kind, name }, Some(body)) => self.put(kind, name, body),
            (Call::Put { .. }, None) => {
                Ok(HttpError::bad_request("a put needs a body").to_response())
            }
            (Call::Delete { kind, name, version }, _) => self.delete(&kind, &name, version),
            (Call::Watch { since, wait, kinds }, _) => self.watch(since, wait, &kinds).await,
        }
    }

    fn put(&self, kind: String, name: String, body: Write) -> HandlerResult {
        if body.writer.is_empty() || body.writer.len() > MAX_WRITER_BYTES {
            let text = format!("writer: must have 1 to {MAX_WRITER_BYTES} characters");
            return Ok(HttpError::bad_request(text).to_response());
        }
        let Write { version, writer, spec } = body;
        let result = self.store.lock().put(Object { kind, name, version, writer, spec });
        self.finish_write(result.map(|text| text.to_string()))
    }

    fn delete(&self, kind: &str, name: &str, version: u64) -> HandlerResult {
        let result = self.store.lock().delete(kind, name, version);
        self.finish_write(result.map(|revision| format!(r#"{{"revision":{revision}}}"#)))
    }

    /// Notifies the watches after a write, then responds, or closes the connection if a lost response is injected.
    fn finish_write(&self, result: Result<String, StoreError>) -> HandlerResult {
        if result.is_ok() {
            let revision = self.store.lock().revision();
            self.revision.send_if_modified(|it| {
                let newer = revision > *it;
                *it = revision.max(*it);
                newer
            });
            if self.should_drop_response() {
                self.counts.lock().lost += 1;
                return Err(Dropped);
            }
        }
        Ok(self.response(result))
    }

    fn should_drop_response(&self) -> bool {
        let next = self.faults.send_if_modified(|it| {
            let next = it.lose_next > 0;
            it.lose_next = it.lose_next.saturating_sub(1);
            next
        });
        let probability = self.faults.borrow().lost;
        next || self.random_bool(probability)
    }

    fn response(&self, result: Result<String, StoreError>) -> Response<Body> {
        match result {
            Ok(text) => server::json_text_response(StatusCode::OK, text),
            Err(StoreError::NotFound) => {
                HttpError::new(StatusCode::NOT_FOUND, "no such object").to_response()
            }
            Err(StoreError::Gone) => {
                self.counts.lock().gone += 1;
                let text = "the history does not hold this revision: list again";
                HttpError::new(StatusCode::GONE, text).to_response()
            }
            Err(StoreError::Conflict(current)) => {
                self.counts.lock().conflicts += 1;
                let current = current.as_deref().unwrap_or("null");
                let text = format!(
                    r#"{{"error":"the version is not the stored one","current":{current}}}"#
                );
                server::json_text_response(StatusCode::CONFLICT, text)
            }
        }
    }

    async fn watch(&self, since: u64, wait_s: u64, kinds: &[String]) -> HandlerResult {
        let mut end = Instant::now() + Duration::from_secs(wait_s);
        let probability = self.faults.borrow().watch_close;
        let close_early = self.random_bool(probability);
        if close_early {
            end = Instant::now() + self.random_part_of(wait_s);
        }
        let _guard = WatchGuard::new(&self.counts);
        let era = self.store.lock().era();
        let mut revision = self.revision.subscribe();
        let mut faults = self.faults.subscribe();
        loop {
            revision.borrow_and_update();
            let (found, current_revision) = {
                let store = self.store.lock();
                if store.era() != era {
                    // A restore closes all connections.
                    return Err(Dropped);
                }
                (store.events_since(since, kinds), store.revision())
            };
            let events = match found {
                Ok(events) => events,
                Err(error) => return Ok(self.response(Err(error))),
            };
            if !events.is_empty() {
                return Ok(self.watch_response(current_revision, since, kinds, events));
            }
            let wakeup = async {
                tokio::select! {
                    _ = revision.changed() => {}
                    _ = faults.wait_for(|it| it.outage.is_some()) => {}
                }
            };
            let timed_out = timeout_at(end, wakeup).await.is_err();
            if let Some(response) = self.outage_response().await? {
                return Ok(response);
            }
            if timed_out && close_early {
                self.counts.lock().closed += 1;
                return Err(Dropped);
            }
            if timed_out {
                let current_revision = self.store.lock().revision();
                return Ok(self.watch_response(current_revision, since, kinds, Vec::new()));
            }
        }
    }

    fn random_part_of(&self, wait_s: u64) -> Duration {
        let share = self.rng.lock().random_range(0.0..1.0);
        Duration::from_secs_f64(wait_s as f64 * share)
    }

    fn watch_response(
        &self,
        revision: u64,
        since: u64,
        kinds: &[String],
        events: Vec<Arc<str>>,
    ) -> Response<Body> {
        let (skip_probability, repeat_probability) = {
            let faults = self.faults.borrow();
            (faults.watch_skip, faults.watch_repeat)
        };
        let mut kept = Vec::new();
        if self.random_bool(repeat_probability) {
            let older = self.store.lock().last_event_until(since, kinds);
            self.counts.lock().repeated += u64::from(older.is_some());
            kept.extend(older);
        }
        for event in events {
            if self.random_bool(skip_probability) {
                self.counts.lock().skipped += 1;
                continue;
            }
            kept.push(event);
        }
        let text = format!(r#"{{"revision":{revision},"events":[{}]}}"#, kept.join(","));
        server::json_text_response(StatusCode::OK, text)
    }
}

fn rate_limited_response() -> Response<Body> {
    let mut response =
        HttpError::new(StatusCode::TOO_MANY_REQUESTS, "too many calls").to_response();
    response.headers_mut().insert(header::RETRY_AFTER, HeaderValue::from_static("1"));
    response
}

/// Counts a watch as waiting until it is dropped.
struct WatchGuard<'a> {
    counts: &'a Mutex<Counts>,
}

impl WatchGuard<'_> {
    fn new(counts: &Mutex<Counts>) -> WatchGuard<'_> {
        let mut locked = counts.lock();
        locked.waiting += 1;
        locked.waiting_peak = locked.waiting_peak.max(locked.waiting);
        drop(locked);
        WatchGuard { counts }
    }
}

impl Drop for WatchGuard<'_> {
    fn drop(&mut self) {
        self.counts.lock().waiting -= 1;
    }
}
