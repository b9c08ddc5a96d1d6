//! Counters of the platform's API calls.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Counters since the start, as returned by `GET /admin/counts`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Counts {
    /// All calls; a long-polling watch counts as one.
    pub total: u64,
    /// Calls by method (list, get, put, delete, watch) and kind; the kind is `all` if a call names none or several.
    pub calls: BTreeMap<String, BTreeMap<String, u64>>,
    /// Watches in progress.
    pub waiting: u64,
    /// Peak number of concurrent watches.
    pub waiting_peak: u64,
    /// Calls rejected with 429.
    pub limited: u64,
    /// Calls affected by an injected outage.
    pub outage: u64,
    /// Injected faults: writes that took effect without a response.
    pub lost: u64,
    /// Writes rejected because of a version conflict.
    pub conflicts: u64,
    /// Injected faults: watch events skipped.
    pub skipped: u64,
    /// Injected faults: watch events repeated.
    pub repeated: u64,
    /// Injected faults: watches closed early.
    pub closed: u64,
    /// Watches from a revision outside the history.
    pub gone: u64,
    /// Bytes of response bodies sent.
    pub bytes_out: u64,
    /// Milliseconds since the start.
    pub uptime_ms: u64,
}

impl Counts {
    pub(super) fn count_call(&mut self, method: &str, kind: &str) {
        self.total += 1;
        let kinds = self.calls.entry(method.to_owned()).or_default();
        *kinds.entry(kind.to_owned()).or_default() += 1;
    }
}
