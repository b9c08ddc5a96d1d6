//! The whole report of a zone, an object of its own: written by the balancer that reports for the zone, and more rarely
//! the larger it is.

use camphorwinch_core::{
    object::{Kind, Object},
    report::Report,
};
use serde_json::json;

use crate::{
    clock::now_ms,
    control::Inner,
    lease::differs,
    platform::{PlatformError, PutOutcome},
};

/// Least time between two writes, in milliseconds.
const GAP_MS: u64 = 1_000;
/// Bytes a second that the writes may cost on average, the platform's answers with the object included.
const RATE: u64 = 3_000;
/// How often an object crosses the wire at a write: in the call and in its answer.
const CROSSINGS: u64 = 2;

/// Writes the whole report. The object is written once when the lease is taken: from then on a former holder's write,
/// based on an older version, fails.
pub(crate) struct WholeWriter {
    name: String,
    version: u64,
    written: Option<Report>,
    after_ms: u64,
}

impl WholeWriter {
    /// Reads which version the object has.
    pub(crate) async fn open(inner: &Inner, zone: &str) -> Result<WholeWriter, PlatformError> {
        let object = inner.platform.get(Kind::Report, zone).await?;
        let version = version(object.as_ref());
        Ok(WholeWriter { name: zone.to_owned(), version, written: None, after_ms: 0 })
    }

    /// Whether the report may be written again.
    pub(crate) fn due(&self) -> bool {
        now_ms() >= self.after_ms
    }

    /// Writes the report if it changed; none if the write failed, so that the object is to be read again.
    pub(crate) async fn write(mut self, inner: &Inner, report: Report) -> Option<WholeWriter> {
        if !differs(Some(&report), self.written.as_ref()) {
            self.after_ms = now_ms() + GAP_MS;
            return Some(self);
        }
        let spec = json!(report);
        match inner.platform.put(Kind::Report, &self.name, self.version, &spec).await {
            Ok(PutOutcome::Done(object)) => {
                self.version = object.version;
                self.after_ms = now_ms() + gap_ms(spec.to_string().len());
                self.written = Some(report);
            }
            Ok(PutOutcome::Conflict(current)) => {
                self.version = version(current.as_ref());
                self.after_ms = now_ms() + GAP_MS;
            }
            Err(e) => {
                inner.platform_failed(&e);
                return None;
            }
        }
        Some(self)
    }
}

fn version(object: Option<&Object>) -> u64 {
    object.map_or(0, |it| it.version)
}

/// Time until the next write after one of this many bytes.
fn gap_ms(bytes: usize) -> u64 {
    (bytes as u64 * CROSSINGS * 1_000 / RATE).max(GAP_MS)
}
