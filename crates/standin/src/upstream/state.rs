//! State of an upstream, and how it answers a request.

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
    faults::{Faults, Lie},
    feed,
    gate::{Gate, Reason},
    journal::{Event, Journal},
    load::{Load, LoadState},
    record::Record,
    request::{Resource, Task},
    run::Run,
    settings::Settings,
};
use crate::{
    answer,
    server::{self, Answer, Body, Dropped, Refusal},
};

const RETRY_AFTER: &str = "1";

/// State behind all connections. Lock order: `load`, `record`; none is held across an await.
#[derive(Debug)]
pub(super) struct State {
    pub(super) settings: Settings,
    pub(super) faults: watch::Sender<Faults>,
    pub(super) services: Mutex<Vec<String>>,
    pub(super) drain: watch::Sender<bool>,
    pub(super) stop: watch::Sender<bool>,
    pub(super) record: Mutex<Record>,
    pub(super) journal: Option<Journal>,
    gate: Gate,
    random: Mutex<StdRng>,
    load: Mutex<Option<(Instant, Load)>>,
    started: Instant,
}

/// Work that did not come to its end.
enum Broken {
    Expired,
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
            gate: Gate::new(settings.slots, settings.queue),
            random: Mutex::new(StdRng::seed_from_u64(settings.seed)),
            load: Mutex::default(),
            started: Instant::now(),
            settings,
        })
    }

    /// The record up to now.
    pub(super) fn record(&self) -> Record {
        let mut record = self.record.lock();
        record.advance(Instant::now());
        record.uptime_ms = self.started.elapsed().as_millis() as u64;
        record.clone()
    }

    /// Answers a request; `over` says that its connection is beyond the limit.
    pub(super) async fn answer(
        self: &Arc<State>,
        request: Request<Incoming>,
        over: bool,
    ) -> Answer {
        if request.uri().path() == "/load" {
            return Ok(server::json(StatusCode::OK, &self.load()));
        }
        let task = match Task::new(&request, &self.settings) {
            Ok(task) => task,
            Err(refusal) => return Ok(refusal.answer()),
        };
        self.count_service(&task.head.service);
        let refused = if over { Some(Reason::Connections) } else { self.refusal(&task) };
        if let Some(reason) = refused {
            server::discard(request.into_body());
            return Ok(self.refuse(&task, reason));
        }
        match task.resource {
            Resource::Feed { length, every } => self.feed(&task, length, every),
            Resource::Upload => self.upload(task, request.into_body()).await,
            Resource::Screen { .. } | Resource::Transfer => {
                self.page(task, request.into_body()).await
            }
        }
    }

    /// The load as reported, which may lag and lie.
    fn load(&self) -> Load {
        let (lag_ms, lie) = {
            let faults = self.faults.borrow();
            (faults.lag_ms.unwrap_or(self.settings.lag_ms), faults.lie)
        };
        let mut last = self.load.lock();
        let now = Instant::now();
        let lag = Duration::from_millis(lag_ms);
        let mut load = match &*last {
            Some((at, load)) if now.duration_since(*at) < lag => load.clone(),
            _ => self.exact_load(),
        };
        if last.as_ref().is_none_or(|(at, _)| now.duration_since(*at) >= lag) {
            *last = Some((now, load.clone()));
        }
        match lie {
            None => {}
            Some(Lie::Idle) => (load.busy, load.state) = (0, LoadState::Ready),
            Some(Lie::Full) => (load.busy, load.state) = (load.slots, LoadState::Shedding),
        }
        load
    }

    fn exact_load(&self) -> Load {
        let state = if *self.drain.borrow() {
            LoadState::Draining
        } else if self.is_starting() {
            LoadState::Starting
        } else if self.faults.borrow().shed > 0.0 || !self.gate.has_room(self) {
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

    /// Why the request is refused before anything is run, if it is.
    fn refusal(&self, task: &Task) -> Option<Reason> {
        let is_feed = matches!(task.resource, Resource::Feed { .. });
        let shed = self.faults.borrow().shed;
        if *self.drain.borrow() {
            Some(Reason::Draining)
        } else if self.is_starting() {
            Some(Reason::Starting)
        } else if self.chance(shed) {
            Some(Reason::Shed)
        } else if !is_feed && !self.gate.has_room(self) {
            Some(Reason::Full)
        } else {
            None
        }
    }

    fn refuse(&self, task: &Task, reason: Reason) -> Response<Body> {
        self.record.lock().refuse(reason.as_str());
        let text = format!("not run: {}", reason.as_str());
        let mut answer = Refusal::new(StatusCode::SERVICE_UNAVAILABLE, text).answer();
        let headers = answer.headers_mut();
        headers.insert(HeaderName::from_static(answer::NOT_RUN), HeaderValue::from_static("true"));
        headers.insert(header::RETRY_AFTER, HeaderValue::from_static(RETRY_AFTER));
        echo_request(&mut answer, task);
        answer
    }

    fn chance(&self, share: f64) -> bool {
        share > 0.0 && self.random.lock().random_bool(share)
    }

    fn start(self: &Arc<State>, task: &Task) -> Result<Run, Reason> {
        Run::new(self, task).map_err(|error| {
            tracing::error!("{error:#}");
            Reason::Journal
        })
    }

    fn feed(self: &Arc<State>, task: &Task, length: Option<Duration>, every: Duration) -> Answer {
        let run = match self.start(task) {
            Ok(run) => run,
            Err(reason) => return Ok(self.refuse(task, reason)),
        };
        let share = self.faults.borrow().cut;
        let cuts = self.chance(share);
        self.record.lock().cut += u64::from(cuts);
        let mut answer = Response::new(feed::body(self, task, run, length, every, cuts));
        echo_request(&mut answer, task);
        Ok(answer)
    }

    /// A request that starts when it has a slot, and reads its body, if it has one, in that slot.
    async fn page(self: &Arc<State>, mut task: Task, body: Incoming) -> Answer {
        let slot = match self.gate.enter(self, task.deadline).await {
            Ok(slot) => slot,
            Err(reason) => return Ok(self.refuse(&task, reason)),
        };
        let run = match self.start(&task) {
            Ok(run) => run,
            Err(reason) => return Ok(self.refuse(&task, reason)),
        };
        let work = task.work;
        let whole = async {
            let read = digest(body).await?;
            self.work(work).await?;
            Ok(read)
        };
        let worked = within(task.deadline, whole).await.map(|read| task.received(read));
        drop(slot);
        self.finish(task, run, worked).await
    }

    /// An upload is started when its body is read, and takes a slot for the work that follows.
    async fn upload(self: &Arc<State>, mut task: Task, body: Incoming) -> Answer {
        let run = match self.start(&task) {
            Ok(run) => run,
            Err(reason) => return Ok(self.refuse(&task, reason)),
        };
        let work = task.work;
        let whole = async {
            let read = digest(body).await?;
            let slot = self.gate.enter(self, None).await.map_err(|_| Broken::Dropped)?;
            self.work(work).await?;
            drop(slot);
            Ok(read)
        };
        let worked = within(task.deadline, whole).await.map(|read| task.received(read));
        self.finish(task, run, worked).await
    }

    async fn work(&self, length: Duration) -> Result<(), Broken> {
        let slow = self.faults.borrow().slow;
        sleep(length.mul_f64(slow * self.cold())).await;
        Ok(())
    }

    /// Factor of slowness after the start, falling to 1.
    fn cold(&self) -> f64 {
        let starting = Duration::from_millis(self.settings.starting_ms);
        let since_ms = self.started.elapsed().saturating_sub(starting).as_millis() as f64;
        let cold_ms = self.settings.cold_ms as f64;
        if since_ms >= cold_ms {
            return 1.0;
        }
        1.0 + (self.settings.cold_factor - 1.0) * (1.0 - since_ms / cold_ms)
    }

    async fn finish(&self, task: Task, run: Run, worked: Result<(), Broken>) -> Answer {
        match worked {
            Ok(()) => run.end(Event::Finish),
            Err(Broken::Expired) => {
                run.end(Event::Expire);
                let text = "the deadline passed";
                let mut answer = Refusal::new(StatusCode::GATEWAY_TIMEOUT, text).answer();
                echo_request(&mut answer, &task);
                return Ok(answer);
            }
            Err(Broken::Dropped) => return Err(Dropped),
        }
        let faults = self.faults.borrow().clone();
        if self.chance(faults.late) {
            self.record.lock().late += 1;
            sleep(Duration::from_millis(faults.late_ms)).await;
        }
        if self.chance(faults.lost) {
            self.record.lock().lost += 1;
            return Err(Dropped);
        }
        let filling = match task.resource {
            Resource::Screen { filling } => filling,
            _ => 0,
        };
        let text = answer::write(&task.head, filling);
        let mut answer = if self.chance(faults.cut) {
            self.record.lock().cut += 1;
            cut(text)
        } else {
            Response::new(server::full(text))
        };
        echo_request(&mut answer, &task);
        Ok(answer)
    }
}

async fn within<T, F>(deadline: Option<Instant>, work: F) -> Result<T, Broken>
where
    F: Future<Output = Result<T, Broken>>,
{
    match deadline {
        None => work.await,
        Some(deadline) => timeout_at(deadline, work).await.unwrap_or(Err(Broken::Expired)),
    }
}

/// Length and SHA-256 of a body, the latter empty if there is no body.
async fn digest(mut body: Incoming) -> Result<(u64, String), Broken> {
    let mut size = 0;
    let mut digest = Sha256::new();
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else { return Err(Broken::Dropped) };
        let Some(data) = frame.data_ref() else { continue };
        size += data.len() as u64;
        digest.update(data);
    }
    if size == 0 {
        return Ok((0, String::new()));
    }
    Ok((size, answer::to_hex(&digest.finalize())))
}

/// An answer whose connection is closed after half of its body.
fn cut(text: String) -> Response<Body> {
    let length = text.len();
    let half = Bytes::from(text).slice(..length / 2);
    let parts = stream::iter([Ok(Frame::data(half)), Err(Dropped)]);
    let mut answer = Response::new(BodyExt::boxed(StreamBody::new(parts)));
    answer.headers_mut().insert(header::CONTENT_LENGTH, length.into());
    answer
}

fn echo_request(answer: &mut Response<Body>, task: &Task) {
    if let Ok(value) = HeaderValue::from_str(&task.head.request) {
        answer.headers_mut().insert(HeaderName::from_static(answer::REQUEST), value);
    }
}
