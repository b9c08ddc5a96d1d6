//! Admission control: a fixed number of slots and a bounded queue of requests that wait for one.

use std::sync::Arc;

use tokio::{
    sync::{OwnedSemaphorePermit, Semaphore},
    time::{Instant, timeout_at},
};

use super::{record::Record, state::State};

/// Why a request was rejected before it started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RejectReason {
    Starting,
    Draining,
    Shed,
    Full,
    Connections,
    Deadline,
    Journal,
}

impl RejectReason {
    pub(super) fn as_str(self) -> &'static str {
        match self {
            RejectReason::Starting => "starting",
            RejectReason::Draining => "draining",
            RejectReason::Shed => "shed",
            RejectReason::Full => "full",
            RejectReason::Connections => "connections",
            RejectReason::Deadline => "deadline",
            RejectReason::Journal => "journal",
        }
    }
}

/// Slots with a bounded queue; slots are assigned in FIFO order.
#[derive(Debug)]
pub(super) struct Admission {
    slots: Arc<Semaphore>,
    queue_limit: u64,
}

/// A slot in use, released on drop.
#[derive(Debug)]
pub(super) struct Slot {
    _permit: OwnedSemaphorePermit,
    _busy: GaugeGuard,
}

impl Admission {
    pub(super) fn new(slots: usize, queue_limit: usize) -> Admission {
        Admission { slots: Arc::new(Semaphore::new(slots)), queue_limit: queue_limit as u64 }
    }

    /// Whether a slot or a place in the queue is free.
    pub(super) fn has_capacity(&self, state: &State) -> bool {
        self.slots.available_permits() > 0 || state.record.lock().waiting.now < self.queue_limit
    }

    /// Waits for a slot until the deadline.
    pub(super) async fn acquire(
        &self,
        state: &Arc<State>,
        deadline: Option<Instant>,
    ) -> Result<Slot, RejectReason> {
        let waiting = GaugeGuard::new(state, GaugeName::Waiting);
        let slot = self.slots.clone().acquire_owned();
        let permit = match deadline {
            None => slot.await,
            Some(deadline) => {
                timeout_at(deadline, slot).await.map_err(|_| RejectReason::Deadline)?
            }
        };
        drop(waiting);
        let permit = permit.map_err(|_| RejectReason::Draining)?;
        Ok(Slot { _permit: permit, _busy: GaugeGuard::new(state, GaugeName::Busy) })
    }
}

/// Selects a gauge of the record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum GaugeName {
    Busy,
    Waiting,
    Feeds,
    Connections,
}

/// Increments a gauge of the record, and decrements it on drop.
#[derive(Debug)]
pub(super) struct GaugeGuard {
    state: Arc<State>,
    gauge: GaugeName,
}

impl GaugeGuard {
    pub(super) fn new(state: &Arc<State>, gauge: GaugeName) -> GaugeGuard {
        let mut record = state.record.lock();
        gauge_mut(&mut record, gauge).increment(Instant::now());
        drop(record);
        GaugeGuard { state: state.clone(), gauge }
    }
}

impl Drop for GaugeGuard {
    fn drop(&mut self) {
        let mut record = self.state.record.lock();
        gauge_mut(&mut record, self.gauge).decrement(Instant::now());
    }
}

fn gauge_mut(record: &mut Record, gauge: GaugeName) -> &mut super::record::Gauge {
    match gauge {
        GaugeName::Busy => &mut record.busy,
        GaugeName::Waiting => &mut record.waiting,
        GaugeName::Feeds => &mut record.feeds,
        GaugeName::Connections => &mut record.connections,
    }
}
