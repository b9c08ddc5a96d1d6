//! A caller's session: it opens flows as it needs them, asks, waits and asks again.

use std::{sync::Arc, time::Duration};

use futures::future::join_all;
use quinn::{ClientConfig, Endpoint};
use rand::{Rng, rngs::StdRng};
use tokio::{
    sync::watch,
    time::{self, Instant},
};

use super::{
    Target,
    ask::Ask,
    flow::{Flow, OpenError, Reply, State},
    outcome::{Doubt, Outcome},
    tally::Tally,
};

const PATIENCE: Duration = Duration::from_secs(30);
const OPEN_PATIENCE: Duration = Duration::from_secs(30);
const FIRST_BACKOFF: Duration = Duration::from_millis(100);
const MAX_BACKOFF: Duration = Duration::from_secs(2);
const MAX_WAIT: Duration = Duration::from_secs(5);
const MAX_ATTEMPTS: u32 = 5;
/// Time after which a caller no longer repeats a request; well below the services' key window.
const REPEAT_LIMIT: Duration = Duration::from_secs(15);
/// Chance that a request of unknown outcome is repeated on a new flow.
const OTHER_FLOW_CHANCE: f64 = 0.5;

/// What all sessions of a run share.
#[derive(Debug)]
pub struct Shared {
    /// TLS and QUIC settings.
    pub config: ClientConfig,
    /// Counts.
    pub tally: Arc<Tally>,
    /// Numbers of flows.
    pub ids: std::sync::atomic::AtomicU64,
}

/// A caller of one service.
pub struct Session {
    shared: Arc<Shared>,
    target: Target,
    endpoint: Endpoint,
    rng: StdRng,
    flow: Option<Arc<Flow>>,
}

impl Session {
    /// A caller without a flow yet.
    pub fn new(shared: Arc<Shared>, target: Target, endpoint: Endpoint, rng: StdRng) -> Session {
        Session { shared, target, endpoint, rng, flow: None }
    }

    /// The caller's random source.
    pub fn rng(&mut self) -> &mut StdRng {
        &mut self.rng
    }

    /// Closes the flow.
    pub fn close(&mut self) {
        if let Some(flow) = self.flow.take() {
            flow.close();
        }
    }

    /// Makes sure that there is a flow on which requests may start, within the caller's patience.
    pub async fn ready(&mut self) -> Result<Arc<Flow>, OpenError> {
        let start = Instant::now();
        let mut backoff = FIRST_BACKOFF;
        loop {
            if let Some(flow) = self.current() {
                return Ok(flow);
            }
            let error = match self.open().await {
                Ok(flow) => return Ok(flow),
                Err(error) => error,
            };
            if start.elapsed() > OPEN_PATIENCE {
                return Err(error);
            }
            time::sleep(backoff.mul_f64(self.rng.random_range(0.5..1.5))).await;
            backoff = (backoff * 2).min(MAX_BACKOFF);
        }
    }

    /// Sends a request until it is answered, refused too often, or must not be repeated; the last reply.
    pub async fn ask(&mut self, first: Ask) -> Option<Reply> {
        let start = Instant::now();
        let mut ask = first;
        let mut attempt = 0;
        loop {
            let since = self.shared.tally.now();
            let flow = match self.ready().await {
                Ok(flow) => flow,
                Err(e) => {
                    let text = e.to_string();
                    self.shared.tally.stranded(&ask, &self.target.name, since, &text);
                    return None;
                }
            };
            let reply = run(&flow, &ask, &self.shared.tally).await;
            if reply.outcome == Outcome::Unsent {
                continue;
            }
            attempt += 1;
            let over = attempt >= MAX_ATTEMPTS || start.elapsed() >= REPEAT_LIMIT;
            if over || !repeatable(&ask, &reply) {
                return Some(reply);
            }
            self.pause(&reply).await;
            if reply.outcome != Outcome::NotRun && self.rng.random_bool(OTHER_FLOW_CHANCE) {
                self.close();
            }
            ask = ask.again(&mut self.rng);
        }
    }

    /// Sends several requests at once on one flow, each only once.
    pub async fn burst(&mut self, asks: Vec<Ask>) {
        let Ok(flow) = self.ready().await else {
            return;
        };
        let runs = asks.iter().map(|ask| run(&flow, ask, &self.shared.tally));
        join_all(runs).await;
    }

    /// Stays idle until the time, or until the flow is leaving or gone.
    pub async fn idle(&mut self, until: Instant) {
        let Some(flow) = self.current() else {
            time::sleep_until(until).await;
            return;
        };
        let mut state = flow.watch();
        let left = state.wait_for(|it| *it != State::Open);
        let _ = time::timeout_at(until, left).await;
    }

    fn current(&mut self) -> Option<Arc<Flow>> {
        let flow = self.flow.as_ref()?;
        if flow.state() == State::Open {
            return Some(flow.clone());
        }
        flow.close();
        self.flow = None;
        None
    }

    async fn open(&mut self) -> Result<Arc<Flow>, OpenError> {
        let id = self.shared.ids.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        let opened = Flow::open(id, &self.endpoint, &self.shared.config, &self.target).await;
        let tally = &self.shared.tally;
        match &opened {
            Ok(_) => tally.opened(),
            Err(OpenError::Refused) => tally.refused(),
            Err(OpenError::Handshake(_) | OpenError::Late) => tally.unopened(),
        }
        let flow = Arc::new(opened?);
        tokio::spawn(follow(flow.watch(), flow.clone(), tally.clone()));
        self.flow = Some(flow.clone());
        Ok(flow)
    }

    async fn pause(&mut self, reply: &Reply) {
        let wait = reply.wait.unwrap_or(FIRST_BACKOFF).min(MAX_WAIT);
        time::sleep(wait.mul_f64(self.rng.random_range(1.0..1.5))).await;
    }
}

async fn run(flow: &Flow, ask: &Ask, tally: &Tally) -> Reply {
    let since = tally.now();
    let reply = flow.run(ask, PATIENCE + ask.span).await;
    tally.answered(flow, ask, &reply, since);
    reply
}

/// Whether the caller may send the request again: always when it was not run, otherwise if that is harmless.
fn repeatable(ask: &Ask, reply: &Reply) -> bool {
    match reply.outcome {
        Outcome::NotRun => true,
        Outcome::Unknown(Doubt::Told | Doubt::FlowLost) => {
            ask.kind.idempotent() || ask.key.is_some()
        }
        Outcome::Whole | Outcome::Failed(_) | Outcome::Unsent => false,
    }
}

async fn follow(mut state: watch::Receiver<State>, flow: Arc<Flow>, tally: Arc<Tally>) {
    let since = tally.now();
    let ended = state.wait_for(|it| matches!(it, State::Ended(_))).await;
    if let Ok(State::Ended(end)) = ended.as_deref() {
        tally.ended(&flow, since, end);
    }
}
