//! Times of events that processes tell each other of, as ages.
//!
//! Each message adds its delay to the time, so that an event that is passed around would seem to happen again and again.

/// Difference up to which a later time is that of the same event.
const MAX_DELAY_MS: u64 = 1_000;

/// Returns the time of the latest event, of the one that is known and the one that another process told of.
pub(super) fn latest_ms(known_ms: Option<u64>, told_ms: u64) -> u64 {
    known_ms.filter(|it| told_ms <= it + MAX_DELAY_MS).unwrap_or(told_ms)
}
