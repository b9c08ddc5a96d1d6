//! Load generator: callers with a mix of requests at fixed rates, from a seed.

use std::{
    str::FromStr,
    sync::{Arc, atomic::AtomicU64},
    time::Duration,
};

use anyhow::{Context, ensure};
use futures::future::join_all;
use quinn::{ClientConfig, Endpoint};
use rand::{Rng, SeedableRng, rngs::StdRng};
use tokio::{
    task::JoinSet,
    time::{self, Instant},
};
use tokio_util::sync::CancellationToken;

use super::{
    Target,
    request::{CallerRequest, RequestKind},
    session::{RunContext, Session},
    stats::LoadStats,
};

const FEED_DURATION_MS: std::ops::Range<u64> = 1_000..8_000;
const FEED_INTERVAL: Duration = Duration::from_millis(100);
const MIN_FEED_DURATION: Duration = Duration::from_millis(200);
const WORK_MS: std::ops::Range<u64> = 2..50;
const THINK_TIME_MS: std::ops::Range<u64> = 20..400;
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);
const REOPEN_JITTER_MS: u64 = 500;
const BURST_CHANCE: f64 = 0.1;
/// Chance that a transfer is sent twice at once, on two flows with the same key.
const DUPLICATE_CHANCE: f64 = 0.03;
const BURST_SIZE: std::ops::Range<usize> = 2..5;
const REQUESTS_PER_SHORT_FLOW: std::ops::Range<u32> = 1..4;

/// Shares of the request kinds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Mix {
    /// Share of screens.
    pub screen: f64,
    /// Share of feeds.
    pub feed: f64,
    /// Share of uploads.
    pub upload: f64,
    /// Share of transfers.
    pub transfer: f64,
}

impl FromStr for Mix {
    type Err = String;

    /// Parses `screen=0.5,transfer=0.5`; kinds not given have share 0.
    fn from_str(s: &str) -> Result<Mix, String> {
        let mut mix = Mix::new([0.0; 4]);
        for part in s.split(',') {
            let Some((name, share)) = part.split_once('=') else {
                return Err(format!("{part:?} is not KIND=SHARE"));
            };
            let share = share.parse().map_err(|_| format!("{share:?} is not a number"))?;
            match name {
                "screen" => mix.screen = share,
                "feed" => mix.feed = share,
                "upload" => mix.upload = share,
                "transfer" => mix.transfer = share,
                _ => return Err(format!("{name:?} is not screen, feed, upload or transfer")),
            }
        }
        mix.check().map_err(|e| e.to_string())?;
        Ok(mix)
    }
}

impl Mix {
    /// Fails if a share is negative or not finite, or if all are 0.
    pub fn check(&self) -> anyhow::Result<()> {
        let shares = [self.screen, self.feed, self.upload, self.transfer];
        let valid = shares.iter().all(|it| it.is_finite() && *it >= 0.0);
        ensure!(
            valid && shares.iter().sum::<f64>() > 0.0,
            "mix: shares must be at least 0 and not all 0"
        );
        Ok(())
    }

    /// Creates a mix from shares in the order of the fields.
    pub fn new(shares: [f64; 4]) -> Mix {
        let [screen, feed, upload, transfer] = shares;
        Mix { screen, feed, upload, transfer }
    }

    /// Picks a kind at random.
    pub fn pick(&self, rng: &mut StdRng) -> RequestKind {
        let shares = [
            (RequestKind::Screen, self.screen),
            (RequestKind::Feed, self.feed),
            (RequestKind::Upload, self.upload),
            (RequestKind::Transfer, self.transfer),
        ];
        let mut rest = rng.random_range(0.0..shares.iter().map(|it| it.1).sum::<f64>());
        for (kind, share) in shares {
            if rest < share {
                return kind;
            }
            rest -= share;
        }
        RequestKind::Screen
    }
}

/// Load on one service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceLoad {
    /// Service to call.
    pub target: Target,
    /// Number of flows held open for the whole run.
    pub held_flows: usize,
    /// Requests per second, over all held flows.
    pub requests_per_s: f64,
    /// New short flows per second.
    pub new_flows_per_s: f64,
    /// Maximum number of concurrent feeds.
    pub max_feeds: usize,
    /// Mix of request kinds.
    pub mix: Mix,
}

/// A load run.
pub struct Load {
    /// Load by service.
    pub services: Vec<ServiceLoad>,
    /// Endpoints to send from.
    pub endpoints: Vec<Endpoint>,
    /// QUIC and TLS settings.
    pub config: ClientConfig,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Length of the run.
    pub duration: Duration,
}

impl Load {
    /// Runs all callers until the run ends or `stop` is cancelled, and waits for their last responses.
    pub async fn run(self, stats: Arc<LoadStats>, stop: CancellationToken) -> anyhow::Result<()> {
        ensure!(!self.endpoints.is_empty(), "start the callers: no endpoints");
        let deadline = Instant::now() + self.duration;
        let next_flow_id = AtomicU64::new(1);
        let context = Arc::new(RunContext { config: self.config, stats, next_flow_id });
        let mut seeds = StdRng::seed_from_u64(self.seed);
        let mut tasks = JoinSet::new();
        for service in self.services {
            service.mix.check().with_context(|| format!("load on {}", service.target.name))?;
            let group = CallerGroup {
                feed_permits: Arc::new(tokio::sync::Semaphore::new(service.max_feeds)),
                load: Arc::new(service),
                context: context.clone(),
                endpoints: self.endpoints.clone(),
                deadline,
                stop: stop.clone(),
            };
            tasks.spawn(group.clone().run_held_flows(StdRng::from_rng(&mut seeds)));
            tasks.spawn(group.run_short_flows(StdRng::from_rng(&mut seeds)));
        }
        while let Some(ended) = tasks.join_next().await {
            ended.context("wait for the callers")?;
        }
        // Lets endpoints retransmit a lost connection close.
        let closed = join_all(self.endpoints.iter().map(Endpoint::wait_idle));
        let _ = time::timeout(CLOSE_TIMEOUT, closed).await;
        Ok(())
    }
}

/// All callers of one service.
#[derive(Clone)]
struct CallerGroup {
    load: Arc<ServiceLoad>,
    context: Arc<RunContext>,
    endpoints: Vec<Endpoint>,
    feed_permits: Arc<tokio::sync::Semaphore>,
    deadline: Instant,
    stop: CancellationToken,
}

impl CallerGroup {
    fn is_over(&self) -> bool {
        self.stop.is_cancelled() || Instant::now() >= self.deadline
    }

    fn session(&self, rng: &mut StdRng) -> Session {
        let session_rng = StdRng::from_rng(rng);
        let endpoint = self.endpoints[rng.random_range(0..self.endpoints.len())].clone();
        Session::new(self.context.clone(), self.load.target.clone(), endpoint, session_rng)
    }

    async fn run_held_flows(self, mut rng: StdRng) {
        let mut tasks = JoinSet::new();
        let period = period(self.load.held_flows, self.load.requests_per_s);
        for _ in 0..self.load.held_flows {
            let session = self.session(&mut rng);
            let first_delay =
                period.mul_f64(rng.random_range(0.0..1.0)).min(Duration::from_secs(2));
            tasks.spawn(self.clone().run_held_flow(session, first_delay, period));
        }
        while tasks.join_next().await.is_some() {}
    }

    /// Holds one flow open and sends a request once per period.
    async fn run_held_flow(self, mut session: Session, first_delay: Duration, period: Duration) {
        self.wait(&mut session, first_delay).await;
        while !self.is_over() {
            let kind = self.load.mix.pick(session.rng());
            self.send_next(&mut session, kind).await;
            let pause = period.mul_f64(session.rng().random_range(0.5..1.5));
            self.wait(&mut session, pause).await;
        }
        session.close();
    }

    async fn run_short_flows(self, mut rng: StdRng) {
        let mut tasks = JoinSet::new();
        if self.load.new_flows_per_s <= 0.0 {
            return;
        }
        while !self.is_over() {
            // Exponential gaps make a Poisson process.
            let gap = -rng.random_range(f64::EPSILON..1.0).ln() / self.load.new_flows_per_s;
            let next = Instant::now() + Duration::from_secs_f64(gap);
            tokio::select! {
                _ = time::sleep_until(next.min(self.deadline)) => {}
                _ = self.stop.cancelled() => break,
            }
            let session = self.session(&mut rng);
            tasks.spawn(self.clone().run_short_flow(session));
            while tasks.try_join_next().is_some() {}
        }
        while tasks.join_next().await.is_some() {}
    }

    /// Sends a few requests on one flow, with pauses, and closes it.
    async fn run_short_flow(self, mut session: Session) {
        let count = session.rng().random_range(REQUESTS_PER_SHORT_FLOW);
        for _ in 0..count {
            if self.is_over() {
                break;
            }
            let kind = self.load.mix.pick(session.rng());
            self.send_next(&mut session, kind).await;
            let pause = Duration::from_millis(session.rng().random_range(THINK_TIME_MS));
            self.wait(&mut session, pause).await;
        }
        session.close();
    }

    async fn wait(&self, session: &mut Session, pause: Duration) {
        let deadline = (Instant::now() + pause).min(self.deadline);
        tokio::select! {
            _ = idle(session, deadline) => {}
            _ = self.stop.cancelled() => {}
        }
    }

    async fn send_next(&self, session: &mut Session, kind: RequestKind) {
        if kind != RequestKind::Feed && session.rng().random_bool(BURST_CHANCE) {
            return self.send_burst(session).await;
        }
        match kind {
            RequestKind::Screen => self.send_screen(session).await,
            RequestKind::Feed => self.send_feed(session).await,
            RequestKind::Upload => {
                let request = upload_request(session.rng());
                session.send(request).await;
            }
            RequestKind::Transfer => {
                let request = transfer_request(session.rng());
                match session.rng().random_bool(DUPLICATE_CHANCE) {
                    true => self.send_duplicate(session, &request).await,
                    false => drop(session.send(request).await),
                }
            }
        }
    }

    /// Sends one transfer twice at once, on two flows with the same key.
    async fn send_duplicate(&self, session: &mut Session, request: &CallerRequest) {
        let duplicate = request.retry(session.rng());
        let mut other = self.session(session.rng());
        tokio::join!(session.send(request.clone()), other.send(duplicate));
        other.close();
    }

    /// Sends several requests at once on one flow.
    async fn send_burst(&self, session: &mut Session) {
        let mut requests = Vec::new();
        for _ in 0..session.rng().random_range(BURST_SIZE) {
            let rng = session.rng();
            let request = match self.load.mix.pick(rng) {
                RequestKind::Screen | RequestKind::Feed => screen_request(rng),
                RequestKind::Upload => upload_request(rng),
                RequestKind::Transfer => transfer_request(rng),
            };
            requests.push(request);
        }
        session.send_burst(requests).await;
    }

    async fn send_screen(&self, session: &mut Session) {
        let request = screen_request(session.rng());
        session.send(request).await;
    }

    async fn send_feed(&self, session: &mut Session) {
        let left = self.deadline.saturating_duration_since(Instant::now());
        let duration =
            Duration::from_millis(session.rng().random_range(FEED_DURATION_MS)).min(left);
        let Ok(_permit) = self.feed_permits.try_acquire() else {
            return self.send_screen(session).await;
        };
        if duration < MIN_FEED_DURATION {
            return self.send_screen(session).await;
        }
        let request = CallerRequest::feed(session.rng(), duration, FEED_INTERVAL);
        session.send(request).await;
    }
}

/// Stays idle until the deadline; replaces a flow that closes meanwhile.
async fn idle(session: &mut Session, deadline: Instant) {
    loop {
        session.idle(deadline).await;
        if Instant::now() >= deadline {
            return;
        }
        let jitter = Duration::from_millis(session.rng().random_range(0..REOPEN_JITTER_MS));
        time::sleep(jitter).await;
        if session.ensure_flow().await.is_err() {
            return;
        }
    }
}

fn screen_request(rng: &mut StdRng) -> CallerRequest {
    let work = random_work(rng);
    CallerRequest::screen(rng, work)
}

fn upload_request(rng: &mut StdRng) -> CallerRequest {
    let work = random_work(rng);
    CallerRequest::upload(rng, work)
}

fn transfer_request(rng: &mut StdRng) -> CallerRequest {
    let work = random_work(rng);
    CallerRequest::transfer(rng, work)
}

fn random_work(rng: &mut StdRng) -> Duration {
    Duration::from_millis(rng.random_range(WORK_MS))
}

fn period(held_flows: usize, requests_per_s: f64) -> Duration {
    if requests_per_s <= 0.0 {
        return Duration::from_secs(3_600);
    }
    Duration::from_secs_f64((held_flows as f64 / requests_per_s).clamp(0.01, 3_600.0))
}
