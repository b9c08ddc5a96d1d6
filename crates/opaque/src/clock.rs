//! The clock that decisions go by.

use nix::time::{ClockId, clock_gettime};

/// Milliseconds since the VM booted. Unlike the monotonic clock it counts the time for which the VM was suspended, and
/// unlike the time of day it never jumps.
pub fn now_ms() -> u64 {
    match clock_gettime(ClockId::CLOCK_BOOTTIME) {
        Ok(time) => time.tv_sec() as u64 * 1_000 + time.tv_nsec() as u64 / 1_000_000,
        Err(e) => unreachable!("the kernel has no boot-time clock: {e}"),
    }
}
