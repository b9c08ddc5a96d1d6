//! Limit on the requests that the upstream runs concurrently.

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

use super::metrics;

/// Limits the concurrent requests of one upstream to its number of slots.
pub(crate) struct SlotLimiter {
    slots: u32,
    permits: Arc<Semaphore>,
    waiting: Arc<AtomicU32>,
}

/// A slot in use; released when dropped.
pub(crate) struct Slot {
    _permit: OwnedSemaphorePermit,
}

impl Drop for Slot {
    fn drop(&mut self) {
        metrics::BUSY_SLOTS.dec();
    }
}

/// Guard that counts a waiting request.
struct WaitingGuard(Arc<AtomicU32>);

impl Drop for WaitingGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl SlotLimiter {
    /// A limiter with `slots` free slots.
    pub(crate) fn new(slots: u32) -> SlotLimiter {
        SlotLimiter {
            slots,
            permits: Arc::new(Semaphore::new(slots as usize)),
            waiting: Arc::new(AtomicU32::new(0)),
        }
    }

    /// Total number of slots.
    pub(crate) fn slots(&self) -> u32 {
        self.slots
    }

    /// Number of requests that run or wait for a slot.
    pub(crate) fn busy(&self) -> u32 {
        let free = u32::try_from(self.permits.available_permits()).unwrap_or(self.slots);
        self.slots.saturating_sub(free) + self.waiting.load(Ordering::Relaxed)
    }

    /// Ratio of busy requests to slots; above 1 if requests wait.
    pub(crate) fn load(&self) -> f64 {
        f64::from(self.busy()) / f64::from(self.slots)
    }

    /// Acquires a slot, waiting at most `wait_ms`. Fails at once if as many requests wait as there are slots.
    pub(crate) async fn acquire(&self, wait_ms: u64) -> Option<Slot> {
        if let Ok(permit) = Arc::clone(&self.permits).try_acquire_owned() {
            return Some(Slot::new(permit));
        }
        if wait_ms == 0 || self.waiting.fetch_add(1, Ordering::Relaxed) >= self.slots {
            if wait_ms > 0 {
                self.waiting.fetch_sub(1, Ordering::Relaxed);
            }
            return None;
        }
        let _waiting = WaitingGuard(Arc::clone(&self.waiting));
        let acquire = Arc::clone(&self.permits).acquire_owned();
        match time::timeout(Duration::from_millis(wait_ms), acquire).await {
            Ok(Ok(permit)) => Some(Slot::new(permit)),
            Ok(Err(_)) | Err(_) => None,
        }
    }
}

impl Slot {
    fn new(permit: OwnedSemaphorePermit) -> Slot {
        metrics::BUSY_SLOTS.inc();
        Slot { _permit: permit }
    }
}
