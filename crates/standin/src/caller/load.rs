//! Load: many callers with a mix of habits, at set rates, placed from a seed.

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
    ask::{Ask, Kind},
    session::{Session, Shared},
    tally::Tally,
};

const FEED_SPAN_MS: std::ops::Range<u64> = 1_000..8_000;
const FEED_EVERY: Duration = Duration::from_millis(100);
const MIN_FEED: Duration = Duration::from_millis(200);
const WORK_MS: std::ops::Range<u64> = 2..50;
const THINK_MS: std::ops::Range<u64> = 20..400;
/// Longest wait for closed connections to be forgotten.
const CLOSE_LIMIT: Duration = Duration::from_secs(2);
const REOPEN_JITTER_MS: u64 = 500;
const BURST_CHANCE: f64 = 0.1;
/// Chance that a caller submits a transfer twice at once, on two flows under one key.
const TWIN_CHANCE: f64 = 0.03;
const BURST: std::ops::Range<usize> = 2..5;
const SHORT_REQUESTS: std::ops::Range<u32> = 1..4;

/// Shares of kinds among requests or callers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Mix {
    /// Screens.
    pub screen: f64,
    /// Feeds.
    pub feed: f64,
    /// Uploads.
    pub upload: f64,
    /// Transfers.
    pub transfer: f64,
}

impl FromStr for Mix {
    type Err = String;

    /// Parses `screen=0.5,transfer=0.5`; what is left out is 0.
    fn from_str(s: &str) -> Result<Mix, String> {
        let mut mix = Mix::new([0.0; 4]);
        for part in s.split(',') {
            let Some((name, share)) = part.split_once('=') else {
                return Err(format!("{part:?} is not KIND=SHARE"));
            };
            let share = share.parse().map_err(|_| format!("{share:?} is no number"))?;
            match name {
                "screen" => mix.screen = share,
                "feed" => mix.feed = share,
                "upload" => mix.upload = share,
                "transfer" => mix.transfer = share,
                _ => return Err(format!("{name:?} is none of screen, feed, upload, transfer")),
            }
        }
        mix.check().map_err(|e| e.to_string())?;
        Ok(mix)
    }
}

impl Mix {
    /// Checks that the shares make sense.
    pub fn check(&self) -> anyhow::Result<()> {
        let shares = [self.screen, self.feed, self.upload, self.transfer];
        let sane = shares.iter().all(|it| it.is_finite() && *it >= 0.0);
        ensure!(
            sane && shares.iter().sum::<f64>() > 0.0,
            "mix: shares must be 0 or more, not all 0"
        );
        Ok(())
    }

    /// The mix with these shares, in the order of the fields.
    pub fn new(shares: [f64; 4]) -> Mix {
        let [screen, feed, upload, transfer] = shares;
        Mix { screen, feed, upload, transfer }
    }

    /// Draws a kind.
    pub fn draw(&self, rng: &mut StdRng) -> Kind {
        let shares = [
            (Kind::Screen, self.screen),
            (Kind::Feed, self.feed),
            (Kind::Upload, self.upload),
            (Kind::Transfer, self.transfer),
        ];
        let mut rest = rng.random_range(0.0..shares.iter().map(|it| it.1).sum::<f64>());
        for (kind, share) in shares {
            if rest < share {
                return kind;
            }
            rest -= share;
        }
        Kind::Screen
    }
}

/// Load on one service.
#[derive(Clone, Debug, PartialEq)]
pub struct Share {
    /// The service.
    pub target: Target,
    /// Flows held open for the whole run.
    pub held: usize,
    /// Requests per second on the held flows, all together.
    pub rate: f64,
    /// New short flows per second.
    pub opens: f64,
    /// Most feeds open at once.
    pub feeds: usize,
    /// Mix of requests.
    pub mix: Mix,
}

/// A run of callers.
pub struct Load {
    /// Shares by service.
    pub shares: Vec<Share>,
    /// Endpoints that callers send from.
    pub endpoints: Vec<Endpoint>,
    /// QUIC and TLS settings.
    pub config: ClientConfig,
    /// Seed.
    pub seed: u64,
    /// How long to send.
    pub span: Duration,
}

impl Load {
    /// Runs all callers until the time is over or `stop` is cancelled, and waits for their last answers.
    pub async fn run(self, tally: Arc<Tally>, stop: CancellationToken) -> anyhow::Result<()> {
        ensure!(!self.endpoints.is_empty(), "start the callers: no endpoint");
        let until = Instant::now() + self.span;
        let ids = AtomicU64::new(1);
        let shared = Arc::new(Shared { config: self.config, tally, ids });
        let mut seeds = StdRng::seed_from_u64(self.seed);
        let mut tasks = JoinSet::new();
        for share in self.shares {
            share.mix.check().with_context(|| format!("load on {}", share.target.name))?;
            let crowd = Crowd {
                feeds: Arc::new(tokio::sync::Semaphore::new(share.feeds)),
                share: Arc::new(share),
                shared: shared.clone(),
                endpoints: self.endpoints.clone(),
                until,
                stop: stop.clone(),
            };
            tasks.spawn(crowd.clone().hold(StdRng::from_rng(&mut seeds)));
            tasks.spawn(crowd.open(StdRng::from_rng(&mut seeds)));
        }
        while let Some(ended) = tasks.join_next().await {
            ended.context("wait for the callers")?;
        }
        // A far side whose notice of the close was lost asks again.
        let closed = join_all(self.endpoints.iter().map(Endpoint::wait_idle));
        let _ = time::timeout(CLOSE_LIMIT, closed).await;
        Ok(())
    }
}

/// All callers of one service.
#[derive(Clone)]
struct Crowd {
    share: Arc<Share>,
    shared: Arc<Shared>,
    endpoints: Vec<Endpoint>,
    feeds: Arc<tokio::sync::Semaphore>,
    until: Instant,
    stop: CancellationToken,
}

impl Crowd {
    fn over(&self) -> bool {
        self.stop.is_cancelled() || Instant::now() >= self.until
    }

    fn session(&self, rng: &mut StdRng) -> Session {
        let own = StdRng::from_rng(rng);
        let endpoint = self.endpoints[rng.random_range(0..self.endpoints.len())].clone();
        Session::new(self.shared.clone(), self.share.target.clone(), endpoint, own)
    }

    async fn hold(self, mut rng: StdRng) {
        let mut tasks = JoinSet::new();
        let period = period(self.share.held, self.share.rate);
        for _ in 0..self.share.held {
            let session = self.session(&mut rng);
            let first = period.mul_f64(rng.random_range(0.0..1.0)).min(Duration::from_secs(2));
            tasks.spawn(self.clone().stay(session, first, period));
        }
        while tasks.join_next().await.is_some() {}
    }

    /// A held flow: idle for most of the time, a request now and then.
    async fn stay(self, mut session: Session, first: Duration, period: Duration) {
        self.wait(&mut session, first).await;
        while !self.over() {
            let kind = self.share.mix.draw(session.rng());
            self.act(&mut session, kind).await;
            let pause = period.mul_f64(session.rng().random_range(0.5..1.5));
            self.wait(&mut session, pause).await;
        }
        session.close();
    }

    async fn open(self, mut rng: StdRng) {
        let mut tasks = JoinSet::new();
        if self.share.opens <= 0.0 {
            return;
        }
        while !self.over() {
            // Exponential gaps make the arrivals a Poisson process.
            let gap = -rng.random_range(f64::EPSILON..1.0).ln() / self.share.opens;
            let next = Instant::now() + Duration::from_secs_f64(gap);
            tokio::select! {
                _ = time::sleep_until(next.min(self.until)) => {}
                _ = self.stop.cancelled() => break,
            }
            let session = self.session(&mut rng);
            tasks.spawn(self.clone().visit(session));
            while tasks.try_join_next().is_some() {}
        }
        while tasks.join_next().await.is_some() {}
    }

    /// A short flow: a few requests with a pause between them.
    async fn visit(self, mut session: Session) {
        let count = session.rng().random_range(SHORT_REQUESTS);
        for _ in 0..count {
            if self.over() {
                break;
            }
            let kind = self.share.mix.draw(session.rng());
            self.act(&mut session, kind).await;
            let pause = Duration::from_millis(session.rng().random_range(THINK_MS));
            self.wait(&mut session, pause).await;
        }
        session.close();
    }

    async fn wait(&self, session: &mut Session, pause: Duration) {
        let until = (Instant::now() + pause).min(self.until);
        tokio::select! {
            _ = idle(session, until) => {}
            _ = self.stop.cancelled() => {}
        }
    }

    async fn act(&self, session: &mut Session, kind: Kind) {
        if kind != Kind::Feed && session.rng().random_bool(BURST_CHANCE) {
            return self.burst(session).await;
        }
        match kind {
            Kind::Screen => self.screen(session).await,
            Kind::Feed => self.feed(session).await,
            Kind::Upload => {
                let ask = upload(session.rng());
                session.ask(ask).await;
            }
            Kind::Transfer => {
                let ask = transfer(session.rng());
                match session.rng().random_bool(TWIN_CHANCE) {
                    true => self.twins(session, &ask).await,
                    false => drop(session.ask(ask).await),
                }
            }
        }
    }

    /// One transfer submitted twice at once, on two flows.
    async fn twins(&self, session: &mut Session, ask: &Ask) {
        let twin = ask.again(session.rng());
        let mut other = self.session(session.rng());
        tokio::join!(session.ask(ask.clone()), other.ask(twin));
        other.close();
    }

    /// Requests of several kinds at once on one flow.
    async fn burst(&self, session: &mut Session) {
        let mut asks = Vec::new();
        for _ in 0..session.rng().random_range(BURST) {
            let rng = session.rng();
            let ask = match self.share.mix.draw(rng) {
                Kind::Screen | Kind::Feed => screen(rng),
                Kind::Upload => upload(rng),
                Kind::Transfer => transfer(rng),
            };
            asks.push(ask);
        }
        session.burst(asks).await;
    }

    async fn screen(&self, session: &mut Session) {
        let ask = screen(session.rng());
        session.ask(ask).await;
    }

    async fn feed(&self, session: &mut Session) {
        let left = self.until.saturating_duration_since(Instant::now());
        let span = Duration::from_millis(session.rng().random_range(FEED_SPAN_MS)).min(left);
        let Ok(_permit) = self.feeds.try_acquire() else {
            return self.screen(session).await;
        };
        if span < MIN_FEED {
            return self.screen(session).await;
        }
        let ask = Ask::feed(session.rng(), span, FEED_EVERY);
        session.ask(ask).await;
    }
}

/// Stays idle until the time; a flow that goes away meanwhile is replaced at once.
async fn idle(session: &mut Session, until: Instant) {
    loop {
        session.idle(until).await;
        if Instant::now() >= until {
            return;
        }
        let jitter = Duration::from_millis(session.rng().random_range(0..REOPEN_JITTER_MS));
        time::sleep(jitter).await;
        if session.ready().await.is_err() {
            return;
        }
    }
}

fn screen(rng: &mut StdRng) -> Ask {
    let work = work(rng);
    Ask::screen(rng, work)
}

fn upload(rng: &mut StdRng) -> Ask {
    let work = work(rng);
    Ask::upload(rng, work)
}

fn transfer(rng: &mut StdRng) -> Ask {
    let work = work(rng);
    Ask::transfer(rng, work)
}

fn work(rng: &mut StdRng) -> Duration {
    Duration::from_millis(rng.random_range(WORK_MS))
}

fn period(held: usize, rate: f64) -> Duration {
    if rate <= 0.0 {
        return Duration::from_secs(3_600);
    }
    Duration::from_secs_f64((held as f64 / rate).clamp(0.01, 3_600.0))
}
