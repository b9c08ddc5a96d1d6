//! The clocks of the process.

use std::{
    sync::OnceLock,
    time::{Instant, SystemTime, UNIX_EPOCH},
};

static START: OnceLock<Instant> = OnceLock::new();

/// Milliseconds of a clock that never goes back, from the first call.
#[allow(dead_code, reason = "used by the data paths")]
pub(crate) fn now_ms() -> u64 {
    START.get_or_init(Instant::now).elapsed().as_millis() as u64
}

/// Milliseconds since 1970 by the wall clock, which may jump.
pub(crate) fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since.as_millis() as u64
}
