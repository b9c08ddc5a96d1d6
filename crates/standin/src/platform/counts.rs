//! Counts of the calls that the platform got.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Counts since the start.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Counts {
    /// All calls, a waiting watch as one.
    pub total: u64,
    /// Calls by method (list, get, put, delete, watch) and kind; `all` if the call names none or several.
    pub calls: BTreeMap<String, BTreeMap<String, u64>>,
    /// Watches waiting now.
    pub waiting: u64,
    /// Most watches that waited at once.
    pub waiting_peak: u64,
    /// Calls answered with 429.
    pub limited: u64,
    /// Calls that met an outage.
    pub outage: u64,
    /// Writes that took effect and whose answer was lost.
    pub lost: u64,
    /// Writes refused for their version.
    pub conflicts: u64,
    /// Watch events left out.
    pub skipped: u64,
    /// Watch events repeated.
    pub repeated: u64,
    /// Watches closed early.
    pub closed: u64,
    /// Watches whose revision was too old.
    pub gone: u64,
    /// Bytes of answers.
    pub bytes_out: u64,
    /// Milliseconds since the start.
    pub uptime_ms: u64,
}

impl Counts {
    pub(super) fn call(&mut self, method: &str, kind: &str) {
        self.total += 1;
        let kinds = self.calls.entry(method.to_owned()).or_default();
        *kinds.entry(kind.to_owned()).or_default() += 1;
    }
}
