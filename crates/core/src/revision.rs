//! Revisions of the platform's store.

use std::fmt;

use thiserror::Error;

/// Number of low bits of a packed revision that hold its number: 2^48 changes at 1,000 a second are 8,900 years.
const NUMBER_BITS: u32 = 48;
/// Highest era that fits into a packed revision.
pub const MAX_ERA: u64 = u64::MAX >> NUMBER_BITS;
const MAX_NUMBER: u64 = u64::MAX >> (u64::BITS - NUMBER_BITS);

/// Response header of the object API that contains its era.
pub const ERA_HEADER: &str = "store-era";

/// Error of an era header that can't be parsed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{header} is no number up to {MAX_ERA}: {value:?}")]
pub struct EraError {
    header: &'static str,
    value: String,
}

/// Parses the era header of a response. The header may be absent, which means era 0.
pub fn parse_era(header: &'static str, value: Option<&[u8]>) -> Result<u64, EraError> {
    let Some(value) = value else {
        return Ok(0);
    };
    let text = String::from_utf8_lossy(value);
    let era = text.parse().ok().filter(|it| *it <= MAX_ERA);
    era.ok_or_else(|| EraError { header, value: text.into_owned() })
}

/// Time after a reset of the store in which its writers write lost objects again, in milliseconds.
/// Until then, an object missing from the store may still be in force.
pub const RESET_GRACE_MS: u64 = 10_000;

/// A revision of the store. The number increases with each change. A new era begins when the store is reset to an older
/// copy, since numbers are then reused.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Revision {
    /// Number of resets; compared first.
    pub era: u64,
    /// Number within the era.
    pub number: u64,
}

impl Revision {
    /// Creates a revision.
    pub fn new(era: u64, number: u64) -> Revision {
        Revision { era, number }
    }

    /// Era and number in one integer with the same order, as used in object versions. In era 0 it equals the number.
    pub fn packed(self) -> u64 {
        self.era.min(MAX_ERA) << NUMBER_BITS | self.number.min(MAX_NUMBER)
    }

    /// Inverse of [`Revision::packed`].
    pub fn unpacked(packed: u64) -> Revision {
        Revision { era: packed >> NUMBER_BITS, number: packed & MAX_NUMBER }
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.era, self.number)
    }
}
