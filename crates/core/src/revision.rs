//! Revisions of the platform's store.

use std::fmt;

use thiserror::Error;

/// Bits of a packed revision that hold its number: 2^48 changes at 1,000 a second are 8,900 years.
const NUMBER_BITS: u32 = 48;
/// Highest era that a packed revision can hold.
pub const MAX_ERA: u64 = u64::MAX >> NUMBER_BITS;
const MAX_NUMBER: u64 = u64::MAX >> (u64::BITS - NUMBER_BITS);

/// Header in which the object API tells its era in each answer.
pub const ERA_HEADER: &str = "store-era";

/// An era that can't be read.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{header} is no number up to {MAX_ERA}: {value:?}")]
pub struct EraError {
    header: &'static str,
    value: String,
}

/// The era that an answer's header tells. A store that never comes back from a copy may leave it out.
pub fn parse_era(header: &'static str, value: Option<&[u8]>) -> Result<u64, EraError> {
    let Some(value) = value else {
        return Ok(0);
    };
    let text = String::from_utf8_lossy(value);
    let era = text.parse().ok().filter(|it| *it <= MAX_ERA);
    era.ok_or_else(|| EraError { header, value: text.into_owned() })
}

/// Time after the store came back from a copy, in milliseconds, in which its writers write again what it lost. Until then what it
/// lacks may still be in force by its writers' word.
pub const WRITTEN_AGAIN_MS: u64 = 10_000;

/// A revision of the store. Numbers grow with each change; a new era begins when the store comes back from an older copy, and
/// gives out again the numbers that it lost.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Revision {
    /// How often the store came back from a copy. Compared first.
    pub era: u64,
    /// Number within the era.
    pub number: u64,
}

impl Revision {
    /// The revision of this number in an era.
    pub fn new(era: u64, number: u64) -> Revision {
        Revision { era, number }
    }

    /// Era and number in one, of the same order, as versions of objects hold them: in the first era it is the number itself.
    pub fn packed(self) -> u64 {
        self.era.min(MAX_ERA) << NUMBER_BITS | self.number.min(MAX_NUMBER)
    }

    /// The revision of which this is the packed form.
    pub fn unpacked(packed: u64) -> Revision {
        Revision { era: packed >> NUMBER_BITS, number: packed & MAX_NUMBER }
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.era, self.number)
    }
}
