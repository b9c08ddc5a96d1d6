//! Load of an upstream, measured from the packets that pass its agent.
//!
//! A request is in progress from the first new byte of the caller to the next byte of the upstream, so the agent need
//! not parse the data.
//!
//! There are two measures. A flow with a single request is placed by the requests in progress now (join the shortest
//! queue). A persistent flow, which can't be moved later, is placed by the average load and the number of open flows.

use std::net::SocketAddrV4;

use rustc_hash::FxHashMap;

use super::service_rate::COLD_SPEED;

/// Time constant of the moving average of requests in progress; longer than pauses between a flow's requests.
const AVERAGE_TIME_CONSTANT_MS: f64 = 1_500.0;
/// Load of an open flow, in requests, for the requests that it will bring. A feed with a request every one to three
/// seconds has 0.02 to 0.06 in progress; more counts for flows that will be used more than now.
const LOAD_PER_FLOW: f64 = 0.15;
/// Lowest relative speed, so that a slow upstream still gets some requests and its recovery shows.
const MIN_SPEED: f64 = 0.125;
/// Highest relative speed, so that a wrong estimate attracts a limited share.
const MAX_SPEED: f64 = 2.0;
/// Highest load reported, in thousandths of the slots.
const MAX_LOAD: f64 = 60_000.0;
/// Weight of the newest flow in the moving average of requests per flow: some twenty flows settle it.
const REQUESTS_PER_FLOW_WEIGHT: f64 = 0.1;
/// Requests per flow assumed before any flow of a service has ended.
const INITIAL_REQUESTS_PER_FLOW: f64 = 2.0;
/// Requests per flow below which the flows of a service count as single-request flows.
const SINGLE_REQUEST_BELOW: f64 = 1.3;

/// How callers use the flows of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FlowUsage {
    /// A new flow for each request.
    SingleRequest,
    /// Flows stay open for many requests.
    Persistent,
}

/// Moving average of requests per flow, by service.
#[derive(Clone, Debug, Default)]
pub struct FlowUsageTracker {
    mean: FxHashMap<SocketAddrV4, f64>,
}

impl FlowUsageTracker {
    /// Records the number of requests of a flow that has ended.
    pub fn record(&mut self, service: SocketAddrV4, requests: u32) {
        let mean = self.mean.entry(service).or_insert(INITIAL_REQUESTS_PER_FLOW);
        *mean += (f64::from(requests) - *mean) * REQUESTS_PER_FLOW_WEIGHT;
    }

    /// How callers use the flows of this service.
    pub fn of(&self, service: SocketAddrV4) -> FlowUsage {
        let mean = self.mean.get(&service).copied().unwrap_or(INITIAL_REQUESTS_PER_FLOW);
        if mean < SINGLE_REQUEST_BELOW { FlowUsage::SingleRequest } else { FlowUsage::Persistent }
    }
}

/// Slots of an upstream scaled by its speed relative to the pool, if known: with five times the pool's service time it
/// has a fifth of its slots.
pub fn effective_slots(slots: u32, cold: bool, speed: Option<f64>) -> f64 {
    let unmeasured = if cold { COLD_SPEED } else { 1.0 };
    f64::from(slots.max(1)) * speed.unwrap_or(unmeasured).clamp(MIN_SPEED, MAX_SPEED)
}

/// Requests in progress, their moving average, and open flows.
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

    /// Counts a request that began.
    pub fn begin_request(&mut self, now_ms: u64) {
        self.advance(now_ms);
        self.busy += 1;
    }

    /// Counts a request that was answered or whose flow ended.
    pub fn end_request(&mut self, now_ms: u64) {
        self.advance(now_ms);
        self.busy = self.busy.saturating_sub(1);
    }

    /// Counts a flow opened at the upstream.
    pub fn add_flow(&mut self) {
        self.flows += 1;
    }

    /// Counts a flow that ended.
    pub fn remove_flow(&mut self) {
        self.flows = self.flows.saturating_sub(1);
    }

    /// Load for placing a persistent flow, in thousandths of the slots: the average plus a share for each open flow.
    pub fn average_load(&mut self, slots: f64, now_ms: u64) -> u16 {
        self.advance(now_ms);
        let work = self.average + LOAD_PER_FLOW * f64::from(self.flows);
        per_mille(work, slots)
    }

    /// Load for placing a single-request flow, in thousandths of the slots. The average breaks ties.
    pub fn current_load(&mut self, slots: f64, now_ms: u64) -> u16 {
        self.advance(now_ms);
        per_mille(f64::from(self.busy) + self.average / 100.0, slots)
    }

    /// Whether a new request would find a free slot. The slots are rounded: a speed just below 1.0 takes none away.
    pub fn has_room(&self, slots: f64) -> bool {
        f64::from(self.busy) + 1.0 <= slots.round().max(1.0)
    }

    fn advance(&mut self, now_ms: u64) {
        let passed = now_ms.saturating_sub(self.seen_ms) as f64;
        self.seen_ms = self.seen_ms.max(now_ms);
        let keep = (-passed / AVERAGE_TIME_CONSTANT_MS).exp();
        self.average = self.average * keep + f64::from(self.busy) * (1.0 - keep);
    }
}

fn per_mille(work: f64, slots: f64) -> u16 {
    (work / slots * 1_000.0).min(MAX_LOAD) as u16
}
