//! Load of an upstream, judged from the packets that pass its agent.
//!
//! A request is in progress from the first new byte of the caller to the next byte of the upstream. That needs no look
//! into the data, and it is exact where reported load lags.
//!
//! Two figures answer two questions. Where will a flow with a single request start at once? Where the requests in
//! progress are fewest now: join the shortest queue. Where should a flow go that brings requests for minutes? Where
//! the average is low and few such flows are open, since it can't be moved later.

use std::net::SocketAddrV4;

use rustc_hash::FxHashMap;

/// Time over which the requests in progress are averaged, in milliseconds: several requests long, so that a pause
/// between two requests of a flow does not look like room.
const AVERAGE_MS: f64 = 1_500.0;
/// Requests that an open flow without one stands for. Flows that callers keep open bring requests later, where their
/// opening can't be steered any more. A feed that asks each one to three seconds has 0.02 to 0.06 requests in progress; more
/// counts for flows that will be used more than they are now.
const FLOW_SHARE: f64 = 0.15;
/// Slots that a cold upstream counts for, as a share, until its service times are known: cold upstreams work about 1.6
/// times as long.
const COLD_SHARE: f64 = 0.6;
/// Service time, in means of the pool, from which an upstream counts as slower than the others: three deviations of a mean
/// over some forty requests, so that chance does not spread kept flows unevenly. Cold upstreams take 1.6 times as long.
const SLOWER: f64 = 1.5;
/// Least speed of an upstream compared with its pool: it leaves a slow one a few requests, from which it shows that it is
/// back.
const LEAST_SPEED: f64 = 0.125;
/// Highest load that is told apart.
const MAX_LOAD: f64 = 60_000.0;
/// Weight of the newest flow in the mean of requests per flow: some twenty flows settle it.
const HABIT_WEIGHT: f64 = 0.1;
/// Requests per flow that are assumed of a service before any flow of it has ended.
const HABIT_START: f64 = 2.0;
/// Requests per flow below which flows of a service count as single.
const SINGLE_BELOW: f64 = 1.3;

/// How callers use the flows of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Habit {
    /// A flow for each request.
    Single,
    /// Flows that are kept open for many requests.
    Kept,
}

/// Requests per flow, by service.
#[derive(Clone, Debug, Default)]
pub struct Habits {
    mean: FxHashMap<SocketAddrV4, f64>,
}

impl Habits {
    /// A flow with so many requests has ended.
    pub fn record(&mut self, service: SocketAddrV4, requests: u32) {
        let mean = self.mean.entry(service).or_insert(HABIT_START);
        *mean += (f64::from(requests) - *mean) * HABIT_WEIGHT;
    }

    /// The habit of the service's callers.
    pub fn of(&self, service: SocketAddrV4) -> Habit {
        let mean = self.mean.get(&service).copied().unwrap_or(HABIT_START);
        if mean < SINGLE_BELOW { Habit::Single } else { Habit::Kept }
    }
}

/// The slots that an upstream counts for, compared with others of its pool: one that works five times as long as they do
/// has a fifth of theirs. `own_ms` and `pool_ms` are mean service times.
pub fn usable(slots: u32, cold: bool, own_ms: Option<f64>, pool_ms: Option<u32>) -> f64 {
    let share = own_ms.zip(pool_ms).map(|(own_ms, pool_ms)| f64::from(pool_ms) / own_ms.max(1.0));
    let speed = match share {
        Some(share) if share * SLOWER < 1.0 => share.max(LEAST_SPEED),
        Some(_) => 1.0,
        None if cold => COLD_SHARE,
        None => 1.0,
    };
    f64::from(slots.max(1)) * speed
}

/// Requests in progress and their average.
#[derive(Clone, Debug, Default)]
pub struct Load {
    busy: u32,
    flows: u32,
    average: f64,
    seen_ms: u64,
}

impl Load {
    /// Requests in progress.
    pub fn busy(&self) -> u32 {
        self.busy
    }

    /// Flows that are open or opening.
    pub fn flows(&self) -> u32 {
        self.flows
    }

    /// A request began.
    pub fn begin(&mut self, now_ms: u64) {
        self.advance(now_ms);
        self.busy += 1;
    }

    /// A request got its answer, or its flow ended.
    pub fn end(&mut self, now_ms: u64) {
        self.advance(now_ms);
        self.busy = self.busy.saturating_sub(1);
    }

    /// A flow was given to the upstream.
    pub fn add_flow(&mut self) {
        self.flows += 1;
    }

    /// A flow ended.
    pub fn remove_flow(&mut self) {
        self.flows = self.flows.saturating_sub(1);
    }

    /// The load that counts for a flow that is kept, in thousandths of the slots.
    pub fn lasting(&mut self, slots: f64, now_ms: u64) -> u16 {
        self.advance(now_ms);
        let work = self.average + FLOW_SHARE * f64::from(self.flows);
        per_mille(work, slots)
    }

    /// The load that counts for a single request, in thousandths of the slots. Among equals the average decides.
    pub fn present(&mut self, slots: f64, now_ms: u64) -> u16 {
        self.advance(now_ms);
        per_mille(f64::from(self.busy) + self.average / 100.0, slots)
    }

    /// Whether a request would start at once.
    pub fn has_room(&self, slots: f64) -> bool {
        f64::from(self.busy) + 1.0 <= slots.max(1.0)
    }

    fn advance(&mut self, now_ms: u64) {
        let passed = now_ms.saturating_sub(self.seen_ms) as f64;
        self.seen_ms = self.seen_ms.max(now_ms);
        let keep = (-passed / AVERAGE_MS).exp();
        self.average = self.average * keep + f64::from(self.busy) * (1.0 - keep);
    }
}

fn per_mille(work: f64, slots: f64) -> u16 {
    (work / slots * 1_000.0).min(MAX_LOAD) as u16
}
