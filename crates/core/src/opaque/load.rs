//! Load of an upstream, judged from the packets that pass its agent.
//!
//! A request is in progress from the first new byte of the caller to the next byte of the upstream. That needs no look
//! into the data, and it is exact where reported load lags.

/// Time over which the requests in progress are averaged, in milliseconds: several requests long, so that a pause
/// between two requests of a flow does not look like room.
const AVERAGE_MS: f64 = 1_500.0;
/// Requests that an open flow without one stands for. Flows that callers keep open bring requests later, where their
/// opening can't be steered any more; measured on the standard days, a kept flow has 0.05 requests in progress.
const FLOW_SHARE: f64 = 0.05;
/// Slots that a cold upstream counts for, as a share: cold upstreams work about 1.6 times as long.
const COLD_SHARE: f64 = 0.6;
/// Highest load that is told apart.
const MAX_LOAD: f64 = 60_000.0;

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

    /// The load, in thousandths of the slots.
    pub fn per_mille(&mut self, slots: u32, cold: bool, now_ms: u64) -> u16 {
        self.advance(now_ms);
        let share = if cold { COLD_SHARE } else { 1.0 };
        let slots = f64::from(slots.max(1)) * share;
        let work = self.average.max(f64::from(self.busy)) + FLOW_SHARE * f64::from(self.flows);
        (work / slots * 1_000.0).min(MAX_LOAD) as u16
    }

    fn advance(&mut self, now_ms: u64) {
        let passed = now_ms.saturating_sub(self.seen_ms) as f64;
        self.seen_ms = self.seen_ms.max(now_ms);
        let keep = (-passed / AVERAGE_MS).exp();
        self.average = self.average * keep + f64::from(self.busy) * (1.0 - keep);
    }
}
