//! Failure detector: declares members silent or down after their link was lost.
//!
//! A live member announces itself again within the grace period, through another link or a new one, and its version
//! changes. A member that does not is down if its process closed the link, as the kernel does when a process ends. If
//! the link timed out instead, the process may be paused, and resetting its flows would break them needlessly. Such an
//! agent is declared silent first and down much later.

use std::collections::BTreeMap;

use crate::record::Version;

/// Time after which an agent that closed its link and has no other is declared down, in milliseconds.
pub const AGENT_GRACE_MS: u64 = 2_000;
/// Time after which a silent agent is declared down, in milliseconds.
pub const SILENT_GRACE_MS: u64 = 25_000;
/// Time after which a balancer without a link is declared down, in milliseconds.
pub const BALANCER_GRACE_MS: u64 = 4_000;
/// Time after which an agent without a live balancer is declared down, in milliseconds.
pub const ORPHAN_GRACE_MS: u64 = 8_000;
/// Gap between two calls that indicates a pause of this process, in milliseconds.
pub const PAUSE_DETECTION_MS: u64 = 1_500;

/// State of a member after its grace period.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Verdict {
    /// Unreachable; it may be paused.
    Silent,
    /// Declared down.
    Down,
}

/// A member whose grace period is over.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExpiredSuspect {
    /// Name of the member.
    pub name: String,
    /// Its state.
    pub verdict: Verdict,
}

#[derive(Clone, Copy, Debug)]
struct Suspect {
    version: Version,
    due_ms: u64,
    verdict: Verdict,
}

/// Tracks suspected members and their deadlines.
#[derive(Clone, Debug, Default)]
pub struct FailureDetector {
    entries: BTreeMap<String, Suspect>,
    last_call_ms: Option<u64>,
    suppressed_until_ms: u64,
}

impl FailureDetector {
    /// Creates a detector without suspects.
    pub fn new() -> FailureDetector {
        FailureDetector::default()
    }

    /// Suspects a member last known at `version`. An earlier suspicion of the same version keeps its deadline.
    pub fn suspect(&mut self, name: &str, version: Version, due_ms: u64, verdict: Verdict) {
        let already_suspected = self.entries.get(name).is_some_and(|it| it.version == version);
        if !already_suspected {
            self.entries.insert(name.to_owned(), Suspect { version, due_ms, verdict });
        }
    }

    /// Removes the suspicion because a link to the member is up.
    pub fn clear(&mut self, name: &str) {
        self.entries.remove(name);
    }

    /// Whether the member is suspected.
    pub fn contains(&self, name: &str) -> bool {
        self.entries.contains_key(name)
    }

    /// Number of suspected members.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no member is suspected.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Removes and returns the members whose grace period is over. `version` returns the current version of a member.
    ///
    /// After a pause of this process, all grace periods are extended and no member is reported for a while, because the
    /// links may have been lost due to the pause. While `connected` is false, this process has no link at all and
    /// reports no member either.
    pub fn take_expired<F>(
        &mut self,
        now_ms: u64,
        connected: bool,
        version: F,
    ) -> Vec<ExpiredSuspect>
    where
        F: Fn(&str) -> Option<Version>,
    {
        let paused =
            self.last_call_ms.is_some_and(|it| now_ms.saturating_sub(it) > PAUSE_DETECTION_MS);
        self.last_call_ms = Some(now_ms);
        if paused {
            self.suppressed_until_ms = now_ms + BALANCER_GRACE_MS;
        }
        self.entries.retain(|name, it| version(name) == Some(it.version));
        if paused || !connected {
            for entry in self.entries.values_mut() {
                entry.due_ms = entry.due_ms.max(now_ms + BALANCER_GRACE_MS);
            }
            return Vec::new();
        }
        if now_ms < self.suppressed_until_ms {
            return Vec::new();
        }
        let expired = self.entries.extract_if(.., |_, it| it.due_ms <= now_ms);
        expired.map(|(name, it)| ExpiredSuspect { name, verdict: it.verdict }).collect()
    }
}
