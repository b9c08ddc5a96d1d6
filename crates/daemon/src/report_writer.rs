//! Writes the full report of a zone to its own object. The write interval grows with the size of the report.

use camphorwinch_core::{
    object::{Kind, Object},
    report::Report,
};
use serde_json::json;

use crate::{
    clock::now_ms,
    control::Inner,
    lease::has_changed,
    platform::{PlatformError, PutOutcome},
};

const MIN_WRITE_INTERVAL_MS: u64 = 1_000;
/// Average bandwidth budget for writes and their responses.
const WRITE_BYTES_PER_S: u64 = 3_000;
/// Transfers of the object per write: in the request and in the response.
const TRANSFERS_PER_WRITE: u64 = 2;

/// Writes the full report. The first write after taking the lease changes the version of the object, which fences
/// writes of the previous holder.
pub(crate) struct ReportWriter {
    name: String,
    version: u64,
    last_written: Option<Report>,
    next_write_ms: u64,
}

impl ReportWriter {
    /// Reads the version of the object.
    pub(crate) async fn open(inner: &Inner, zone: &str) -> Result<ReportWriter, PlatformError> {
        let object = inner.platform.get(Kind::Report, zone).await?;
        let version = version(object.as_ref());
        Ok(ReportWriter { name: zone.to_owned(), version, last_written: None, next_write_ms: 0 })
    }

    /// Whether the next write is due.
    pub(crate) fn is_due(&self) -> bool {
        now_ms() >= self.next_write_ms
    }

    /// Writes the report if it changed. Returns `None` if the write failed; the object must then be read again.
    pub(crate) async fn write(mut self, inner: &Inner, report: Report) -> Option<ReportWriter> {
        if !has_changed(Some(&report), self.last_written.as_ref()) {
            self.next_write_ms = now_ms() + MIN_WRITE_INTERVAL_MS;
            return Some(self);
        }
        let spec = json!(report);
        match inner.platform.put(Kind::Report, &self.name, self.version, &spec).await {
            Ok(PutOutcome::Done(object)) => {
                self.version = object.version;
                self.next_write_ms = now_ms() + write_interval_ms(spec.to_string().len());
                self.last_written = Some(report);
            }
            Ok(PutOutcome::Conflict(current)) => {
                self.version = version(current.as_ref());
                self.next_write_ms = now_ms() + MIN_WRITE_INTERVAL_MS;
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

/// Interval until the next write after a write of `bytes`.
fn write_interval_ms(bytes: usize) -> u64 {
    (bytes as u64 * TRANSFERS_PER_WRITE * 1_000 / WRITE_BYTES_PER_S).max(MIN_WRITE_INTERVAL_MS)
}
