//! Clock used by the decision logic.

use nix::time::{ClockId, clock_gettime};

/// Milliseconds since boot, including suspended time; never jumps backwards.
pub fn now_ms() -> u64 {
    match clock_gettime(ClockId::CLOCK_BOOTTIME) {
        Ok(time) => time.tv_sec() as u64 * 1_000 + time.tv_nsec() as u64 / 1_000_000,
        Err(e) => unreachable!("the kernel has no boot-time clock: {e}"),
    }
}
