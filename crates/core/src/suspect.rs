//! Members whose link was lost: when one counts as silent or dead.
//!
//! A member that lives announces itself again within the grace period, through another link or the same one once it is
//! back; its version then differs from the one at the loss. One that does not is dead if its process closed the link,
//! as a kernel does for a process that ended. If the link just fell silent, the process may be paused: its flows would
//! break for nothing if others reset them, so an agent counts as silent first, and as dead much later.

use std::collections::BTreeMap;

use crate::record::Version;

/// For how long an agent that closed its link may be without one before it counts as dead, in milliseconds.
pub const AGENT_GRACE_MS: u64 = 2_000;
/// For how long an agent may be silent before it counts as dead, in milliseconds.
pub const SILENT_GRACE_MS: u64 = 25_000;
/// For how long a balancer may be without a link before it counts as dead, in milliseconds.
pub const BALANCER_GRACE_MS: u64 = 4_000;
/// The same for an agent all of whose balancers are dead.
pub const ORPHAN_GRACE_MS: u64 = 8_000;
/// A gap between two ticks that shows that the process itself was paused, in milliseconds.
pub const PAUSE_MS: u64 = 1_500;

/// What a member counts as once the grace period is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Verdict {
    /// Not heard of; it may be paused.
    Silent,
    /// Dead.
    Dead,
}

/// A member whose grace period is over.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// Name of the member.
    pub name: String,
    /// What it counts as.
    pub verdict: Verdict,
}

#[derive(Clone, Copy, Debug)]
struct Suspect {
    version: Version,
    due_ms: u64,
    verdict: Verdict,
}

/// Members under suspicion.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    entries: BTreeMap<String, Suspect>,
    ticked: Option<u64>,
    quiet_ms: u64,
}

impl Suspects {
    /// No suspicion.
    pub fn new() -> Suspects {
        Suspects::default()
    }

    /// Suspects a member that was last heard of with `version`. An earlier suspicion of the same version stays.
    pub fn suspect(&mut self, name: &str, version: Version, due_ms: u64, verdict: Verdict) {
        let known = self.entries.get(name).is_some_and(|it| it.version == version);
        if !known {
            self.entries.insert(name.to_owned(), Suspect { version, due_ms, verdict });
        }
    }

    /// Drops the suspicion: a link to the member is up.
    pub fn clear(&mut self, name: &str) {
        self.entries.remove(name);
    }

    /// Whether this member is under suspicion.
    pub fn contains(&self, name: &str) -> bool {
        self.entries.contains_key(name)
    }

    /// Number of members under suspicion.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no member is under suspicion.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Members that count as silent or dead now. `version` gives the version at which a member is known at present.
    ///
    /// After a pause of this process every suspicion starts anew, and nobody counts as dead for a while: it was this
    /// process that did not listen, and its links were lost for that. `connected` says whether this process hears of
    /// the others at all; while it does not, nobody counts as dead.
    pub fn due<F>(&mut self, now_ms: u64, connected: bool, version: F) -> Vec<Finding>
    where
        F: Fn(&str) -> Option<Version>,
    {
        let paused = self.ticked.is_some_and(|it| now_ms.saturating_sub(it) > PAUSE_MS);
        self.ticked = Some(now_ms);
        if paused {
            self.quiet_ms = now_ms + BALANCER_GRACE_MS;
        }
        self.entries.retain(|name, it| version(name) == Some(it.version));
        if paused || !connected {
            for entry in self.entries.values_mut() {
                entry.due_ms = entry.due_ms.max(now_ms + BALANCER_GRACE_MS);
            }
            return Vec::new();
        }
        if now_ms < self.quiet_ms {
            return Vec::new();
        }
        let over = self.entries.extract_if(.., |_, it| it.due_ms <= now_ms);
        over.map(|(name, it)| Finding { name, verdict: it.verdict }).collect()
    }
}
