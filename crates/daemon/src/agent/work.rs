//! Slots of the upstream, counted where the requests are sent.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use tokio::{
    sync::{OwnedSemaphorePermit, Semaphore},
    time,
};

use super::meter;

/// Slots of one upstream.
pub(crate) struct Work {
    slots: u32,
    free: Arc<Semaphore>,
    waiting: Arc<AtomicU32>,
}

/// A slot in use; given back when dropped.
pub(crate) struct Slot {
    _permit: OwnedSemaphorePermit,
}

impl Drop for Slot {
    fn drop(&mut self) {
        meter::BUSY.dec();
    }
}

/// Counts one that waits, however the wait ends.
struct Waiting(Arc<AtomicU32>);

impl Drop for Waiting {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Work {
    /// That many free slots.
    pub(crate) fn new(slots: u32) -> Work {
        Work {
            slots,
            free: Arc::new(Semaphore::new(slots as usize)),
            waiting: Arc::new(AtomicU32::new(0)),
        }
    }

    /// Number of slots.
    pub(crate) fn slots(&self) -> u32 {
        self.slots
    }

    /// Requests that run or wait.
    pub(crate) fn busy(&self) -> u32 {
        let free = u32::try_from(self.free.available_permits()).unwrap_or(self.slots);
        self.slots.saturating_sub(free) + self.waiting.load(Ordering::Relaxed)
    }

    /// Share of the slots in use; above 1 if requests wait.
    pub(crate) fn load(&self) -> f64 {
        f64::from(self.busy()) / f64::from(self.slots)
    }

    /// Takes a slot, waiting at most `wait_ms` and only while not more wait than there are slots.
    pub(crate) async fn take(&self, wait_ms: u64) -> Option<Slot> {
        if let Ok(permit) = Arc::clone(&self.free).try_acquire_owned() {
            return Some(Slot::new(permit));
        }
        if wait_ms == 0 || self.waiting.fetch_add(1, Ordering::Relaxed) >= self.slots {
            if wait_ms > 0 {
                self.waiting.fetch_sub(1, Ordering::Relaxed);
            }
            return None;
        }
        let _waiting = Waiting(Arc::clone(&self.waiting));
        let acquire = Arc::clone(&self.free).acquire_owned();
        match time::timeout(Duration::from_millis(wait_ms), acquire).await {
            Ok(Ok(permit)) => Some(Slot::new(permit)),
            Ok(Err(_)) | Err(_) => None,
        }
    }
}

impl Slot {
    fn new(permit: OwnedSemaphorePermit) -> Slot {
        meter::BUSY.inc();
        Slot { _permit: permit }
    }
}
