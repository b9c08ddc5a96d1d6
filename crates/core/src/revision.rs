//! Revisions of the platform's store.

use std::fmt;

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
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.era, self.number)
    }
}
