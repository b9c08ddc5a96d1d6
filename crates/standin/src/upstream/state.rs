//! State of an upstream and its request handling.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use futures::stream;
use http::{HeaderName, HeaderValue, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use parking_lot::Mutex;
use rand::{Rng, SeedableRng, rngs::StdRng};
use sha2::{Digest, Sha256};
use tokio::{
    sync::watch,
    time::{Instant, sleep, timeout_at},
};

use super::{
    admission::{Admission, RejectReason},
    faults::{Faults, LoadOverride},
    feed,
    journal::{Journal, JournalEvent},
    load::{Load, LoadState},
    record::Record,
    request::{Resource, Task},
    run::Run,
    settings::Settings,
};
use crate::{
    response,
    server::{self, Body, Dropped, HandlerResult, HttpError},
};

const RETRY_AFTER_S: &str = "1";

/// State shared by all connections. Lock order: `last_load`, `record`; no lock is held across an await.
#[derive(Debug)]
pub(super) struct State {
    pub(super) settings: Settings,
    pub(super) faults: watch::Sender<Faults>,
    pub(super) services: Mutex<Vec<String>>,
    pub(super) drain: watch::Sender<bool>,
    pub(super) stop: watch::Sender<bool>,
    pub(super) record: Mutex<Record>,
    pub(super) journal: Option<Journal>,
    admission: Admission,
    rng: Mutex<StdRng>,
    last_load: Mutex<Option<(Instant, Load)>>,
    started: Instant,
}

/// Why work was not completed.
enum WorkError {
    DeadlineExceeded,
    Dropped,
}

impl State {
    pub(super) fn new(settings: Settings, faults: Faults) -> anyhow::Result<State> {
        let journal = settings.journal.as_deref().map(Journal::new).transpose()?;
        let record = Record {
            name: settings.name.clone(),
            pool: settings.pool.clone(),
            ..Record::default()
        };
        Ok(State {
            faults: watch::Sender::new(faults),
            services: Mutex::new(settings.service.clone()),
            drain: watch::Sender::new(false),
            stop: watch::Sender::new(false),
            record: Mutex::new(record),
            journal,
            admission: Admission::new(settings.slots, settings.queue),
            rng: Mutex::new(StdRng::seed_from_u64(settings.seed)),
            last_load: Mutex::default(),
            started: Instant::now(),
            settings,
        })
    }

    /// Returns the record, with its gauges updated to now.
    pub(super) fn record(&self) -> Record {
        let mut record = self.record.lock();
        record.advance(Instant::now());
        record.uptime_ms = self.started.elapsed().as_millis() as u64;
        record.clone()
    }

    /// Handles a request; `over_limit` means that its connection exceeds the connection limit.
    pub(super) async fn handle(
        self: &Arc<State>,
        request: Request<Incoming>,
        over_limit: bool,
    ) -> HandlerResult {
        if request.uri().path() == "/load" {
            return Ok(server::json_response(StatusCode::OK, &self.reported_load()));
        }
        let task = match Task::new(&request, &self.settings) {
            Ok(task) => task,
            Err(error) => return Ok(error.to_response()),
        };
        self.count_service(&task.head.service);
        let rejected =
            if over_limit { Some(RejectReason::Connections) } else { self.reject_reason(&task) };
        if let Some(reason) = rejected {
            server::discard_body(request.into_body());
            return Ok(self.reject(&task, reason));
        }
        match task.resource {
            Resource::Feed { duration, period } => self.feed(&task, duration, period),
            Resource::Upload => self.upload(task, request.into_body()).await,
            Resource::Screen { .. } | Resource::Transfer => {
                self.run_in_slot(task, request.into_body()).await
            }
        }
    }

    /// The load to report, which may be outdated or overridden.
    fn reported_load(&self) -> Load {
        let (lag_ms, load_override) = {
            let faults = self.faults.borrow();
            (faults.lag_ms.unwrap_or(self.settings.lag_ms), faults.lie)
        };
        let mut last = self.last_load.lock();
        let now = Instant::now();
        let lag = Duration::from_millis(lag_ms);
        let mut load = match &*last {
            Some((at, load)) if now.duration_since(*at) < lag => load.clone(),
            _ => self.actual_load(),
        };
        if last.as_ref().is_none_or(|(at, _)| now.duration_since(*at) >= lag) {
            *last = Some((now, load.clone()));
        }
        match load_override {
            None => {}
            Some(LoadOverride::Idle) => (load.busy, load.state) = (0, LoadState::Ready),
            Some(LoadOverride::Full) => (load.busy, load.state) = (load.slots, LoadState::Shedding),
        }
        load
    }

    fn actual_load(&self) -> Load {
        let state = if *self.drain.borrow() {
            LoadState::Draining
        } else if self.is_starting() {
            LoadState::Starting
        } else if self.faults.borrow().shed > 0.0 || !self.admission.has_capacity(self) {
            LoadState::Shedding
        } else {
            LoadState::Ready
        };
        let record = self.record.lock();
        Load {
            slots: self.settings.slots as u64,
            busy: record.busy.now,
            connections: record.connections.now,
            state,
        }
    }

    fn is_starting(&self) -> bool {
        self.started.elapsed() < Duration::from_millis(self.settings.starting_ms)
    }

    fn count_service(&self, service: &str) {
        let services = self.services.lock();
        let foreign = !services.is_empty() && !services.iter().any(|it| it == service);
        let mut record = self.record.lock();
        record.foreign += u64::from(foreign);
        *record.services.entry(service.to_owned()).or_default() += 1;
    }

    /// Why the request is to be rejected before it runs, if at all.
    fn reject_reason(&self, task: &Task) -> Option<RejectReason> {
        let is_feed = matches!(task.resource, Resource::Feed { .. });
        let shed = self.faults.borrow().shed;
        if *self.drain.borrow() {
            Some(RejectReason::Draining)
        } else if self.is_starting() {
            Some(RejectReason::Starting)
        } else if self.random_bool(shed) {
            Some(RejectReason::Shed)
        } else if !is_feed && !self.admission.has_capacity(self) {
            Some(RejectReason::Full)
        } else {
            None
        }
    }

    fn reject(&self, task: &Task, reason: RejectReason) -> Response<Body> {
        self.record.lock().count_rejected(reason.as_str());
        let text = format!("not run: {}", reason.as_str());
        let mut response = HttpError::new(StatusCode::SERVICE_UNAVAILABLE, text).to_response();
        let headers = response.headers_mut();
        headers
            .insert(HeaderName::from_static(response::NOT_RUN), HeaderValue::from_static("true"));
        headers.insert(header::RETRY_AFTER, HeaderValue::from_static(RETRY_AFTER_S));
        echo_request(&mut response, task);
        response
    }

    fn random_bool(&self, probability: f64) -> bool {
        probability > 0.0 && self.rng.lock().random_bool(probability)
    }

    fn start(self: &Arc<State>, task: &Task) -> Result<Run, RejectReason> {
        Run::new(self, task).map_err(|error| {
            tracing::error!("{error:#}");
            RejectReason::Journal
        })
    }

    fn feed(
        self: &Arc<State>,
        task: &Task,
        duration: Option<Duration>,
        period: Duration,
    ) -> HandlerResult {
        let run = match self.start(task) {
            Ok(run) => run,
            Err(reason) => return Ok(self.reject(task, reason)),
        };
        let probability = self.faults.borrow().cut;
        let truncate = self.random_bool(probability);
        self.record.lock().cut += u64::from(truncate);
        let mut response = Response::new(feed::body(self, task, run, duration, period, truncate));
        echo_request(&mut response, task);
        Ok(response)
    }

    /// Runs a request that needs a slot before it starts; its body is read while it holds the slot.
    async fn run_in_slot(self: &Arc<State>, mut task: Task, body: Incoming) -> HandlerResult {
        let slot = match self.admission.acquire(self, task.deadline).await {
            Ok(slot) => slot,
            Err(reason) => return Ok(self.reject(&task, reason)),
        };
        let run = match self.start(&task) {
            Ok(run) => run,
            Err(reason) => return Ok(self.reject(&task, reason)),
        };
        let work = task.work;
        let steps = async {
            let read = read_digest(body).await?;
            self.work(work).await?;
            Ok(read)
        };
        let result = with_deadline(task.deadline, steps).await.map(|read| task.set_body(read));
        drop(slot);
        self.finish(task, run, result).await
    }

    /// Runs an upload: it starts at once, reads its body, then takes a slot for the work.
    async fn upload(self: &Arc<State>, mut task: Task, body: Incoming) -> HandlerResult {
        let run = match self.start(&task) {
            Ok(run) => run,
            Err(reason) => return Ok(self.reject(&task, reason)),
        };
        let work = task.work;
        let steps = async {
            let read = read_digest(body).await?;
            let slot = self.admission.acquire(self, None).await.map_err(|_| WorkError::Dropped)?;
            self.work(work).await?;
            drop(slot);
            Ok(read)
        };
        let result = with_deadline(task.deadline, steps).await.map(|read| task.set_body(read));
        self.finish(task, run, result).await
    }

    async fn work(&self, duration: Duration) -> Result<(), WorkError> {
        let slow = self.faults.borrow().slow;
        sleep(duration.mul_f64(slow * self.cold_start_factor())).await;
        Ok(())
    }

    /// Slowdown factor after the start, falling linearly to 1.
    fn cold_start_factor(&self) -> f64 {
        let starting = Duration::from_millis(self.settings.starting_ms);
        let since_ms = self.started.elapsed().saturating_sub(starting).as_millis() as f64;
        let cold_ms = self.settings.cold_ms as f64;
        if since_ms >= cold_ms {
            return 1.0;
        }
        1.0 + (self.settings.cold_factor - 1.0) * (1.0 - since_ms / cold_ms)
    }

    async fn finish(&self, task: Task, run: Run, result: Result<(), WorkError>) -> HandlerResult {
        match result {
            Ok(()) => run.end(JournalEvent::Finish),
            Err(WorkError::DeadlineExceeded) => {
                run.end(JournalEvent::Expire);
                let text = "the deadline passed";
                let mut response = HttpError::new(StatusCode::GATEWAY_TIMEOUT, text).to_response();
                echo_request(&mut response, &task);
                return Ok(response);
            }
            Err(WorkError::Dropped) => return Err(Dropped),
        }
        let faults = self.faults.borrow().clone();
        if self.random_bool(faults.late) {
            self.record.lock().late += 1;
            sleep(Duration::from_millis(faults.late_ms)).await;
        }
        if self.random_bool(faults.lost) {
            self.record.lock().lost += 1;
            return Err(Dropped);
        }
        let padding = match task.resource {
            Resource::Screen { padding } => padding,
            _ => 0,
        };
        let text = response::write(&task.head, padding);
        let mut response = if self.random_bool(faults.cut) {
            self.record.lock().cut += 1;
            truncated(text)
        } else {
            Response::new(server::full_body(text))
        };
        echo_request(&mut response, &task);
        Ok(response)
    }
}

async fn with_deadline<T, F>(deadline: Option<Instant>, work: F) -> Result<T, WorkError>
where
    F: Future<Output = Result<T, WorkError>>,
{
    match deadline {
        None => work.await,
        Some(deadline) => {
            timeout_at(deadline, work).await.unwrap_or(Err(WorkError::DeadlineExceeded))
        }
    }
}

/// Length and hex SHA-256 of a body; the digest is empty for an empty body.
async fn read_digest(mut body: Incoming) -> Result<(u64, String), WorkError> {
    let mut size = 0;
    let mut digest = Sha256::new();
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else { return Err(WorkError::Dropped) };
        let Some(data) = frame.data_ref() else { continue };
        size += data.len() as u64;
        digest.update(data);
    }
    if size == 0 {
        return Ok((0, String::new()));
    }
    Ok((size, response::to_hex(&digest.finalize())))
}

/// A response whose connection is closed after half of its body.
fn truncated(text: String) -> Response<Body> {
    let length = text.len();
    let half = Bytes::from(text).slice(..length / 2);
    let parts = stream::iter([Ok(Frame::data(half)), Err(Dropped)]);
    let mut response = Response::new(BodyExt::boxed(StreamBody::new(parts)));
    response.headers_mut().insert(header::CONTENT_LENGTH, length.into());
    response
}

fn echo_request(response: &mut Response<Body>, task: &Task) {
    if let Ok(value) = HeaderValue::from_str(&task.head.request) {
        response.headers_mut().insert(HeaderName::from_static(response::REQUEST), value);
    }
}
