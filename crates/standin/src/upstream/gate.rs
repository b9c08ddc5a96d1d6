//! Slots, and the queue of requests that wait for one.

use std::sync::Arc;

use tokio::{
    sync::{OwnedSemaphorePermit, Semaphore},
    time::{Instant, timeout_at},
};

use super::{record::Record, state::State};

/// Why a request was refused before it started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Reason {
    Starting,
    Draining,
    Shed,
    Full,
    Connections,
    Deadline,
    Journal,
}

impl Reason {
    pub(super) fn as_str(self) -> &'static str {
        match self {
            Reason::Starting => "starting",
            Reason::Draining => "draining",
            Reason::Shed => "shed",
            Reason::Full => "full",
            Reason::Connections => "connections",
            Reason::Deadline => "deadline",
            Reason::Journal => "journal",
        }
    }
}

/// Slots, handed out in the order of arrival.
#[derive(Debug)]
pub(super) struct Gate {
    slots: Arc<Semaphore>,
    queue: u64,
}

/// A slot in use.
#[derive(Debug)]
pub(super) struct Slot {
    _permit: OwnedSemaphorePermit,
    _busy: Counted,
}

impl Gate {
    pub(super) fn new(slots: usize, queue: usize) -> Gate {
        Gate { slots: Arc::new(Semaphore::new(slots)), queue: queue as u64 }
    }

    /// Whether a request finds a slot or a place in the queue.
    pub(super) fn has_room(&self, state: &State) -> bool {
        self.slots.available_permits() > 0 || state.record.lock().waiting.now < self.queue
    }

    /// Waits for a slot, at most to the deadline.
    pub(super) async fn enter(
        &self,
        state: &Arc<State>,
        deadline: Option<Instant>,
    ) -> Result<Slot, Reason> {
        let waiting = Counted::new(state, Count::Waiting);
        let slot = self.slots.clone().acquire_owned();
        let permit = match deadline {
            None => slot.await,
            Some(deadline) => timeout_at(deadline, slot).await.map_err(|_| Reason::Deadline)?,
        };
        drop(waiting);
        let permit = permit.map_err(|_| Reason::Draining)?;
        Ok(Slot { _permit: permit, _busy: Counted::new(state, Count::Busy) })
    }
}

/// Which of the record's numbers is meant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Count {
    Busy,
    Waiting,
    Feeds,
    Connections,
}

/// Counts one in the record for as long as it lives.
#[derive(Debug)]
pub(super) struct Counted {
    state: Arc<State>,
    count: Count,
}

impl Counted {
    pub(super) fn new(state: &Arc<State>, count: Count) -> Counted {
        let mut record = state.record.lock();
        gauge(&mut record, count).enter(Instant::now());
        drop(record);
        Counted { state: state.clone(), count }
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        let mut record = self.state.record.lock();
        gauge(&mut record, self.count).leave(Instant::now());
    }
}

fn gauge(record: &mut Record, count: Count) -> &mut super::record::Gauge {
    match count {
        Count::Busy => &mut record.busy,
        Count::Waiting => &mut record.waiting,
        Count::Feeds => &mut record.feeds,
        Count::Connections => &mut record.connections,
    }
}
