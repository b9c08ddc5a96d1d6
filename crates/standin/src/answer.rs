//! The answers that the upstream writes and the caller checks.
//!
//! An answer is a line of JSON that says which upstream answered which request, an optional filling, and a last line
//! with a digest of all bytes before it. A feed is the same with numbered lines in the middle. So an answer that is cut,
//! mixed with another or meant for another request shows.

use std::fmt::Write;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use thiserror::Error;

/// Header with the service's name, set by the agent.
pub const SERVICE: &str = "camphorwinch-service";
/// Header with the request's id, set by the agent.
pub const REQUEST: &str = "camphorwinch-request";
/// Header with the milliseconds left to the deadline.
pub const DEADLINE: &str = "camphorwinch-deadline-ms";
/// Header with the caller's idempotency key.
pub const KEY: &str = "idempotency-key";
/// Header of a refusal: the request was not started.
pub const NOT_RUN: &str = "camphorwinch-not-run";

const SUM: &str = "sum ";
const TICK: &str = "tick ";

/// First line of an answer: who answered what.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Name of the upstream.
    pub upstream: String,
    /// Pool of the upstream.
    pub pool: String,
    /// Service named by the agent.
    pub service: String,
    /// Id of the request, given by the agent.
    pub request: String,
    /// Method of the request.
    pub method: String,
    /// Path of the request.
    pub path: String,
    /// The caller's token, from `?echo=`.
    pub echo: String,
    /// The caller's idempotency key.
    pub key: String,
    /// Bytes of the body that the upstream received.
    pub size: u64,
    /// SHA-256 of the body that the upstream received, in hex; empty without a body.
    pub digest: String,
}

/// Why an answer is not whole.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum AnswerError {
    /// It is empty, cut, or not text.
    #[error("the answer is cut after {0} bytes")]
    Cut(usize),
    /// The digest differs.
    #[error("the answer's digest does not fit its bytes")]
    Digest,
    /// The first line can't be read.
    #[error("the answer's first line is malformed: {0}")]
    Head(String),
    /// A line of a feed is out of order or belongs to another request.
    #[error("line {0:?} does not follow line {1} of this feed")]
    Tick(String, u64),
}

/// SHA-256 in hex.
pub fn hex_digest(bytes: &[u8]) -> String {
    to_hex(&Sha256::digest(bytes))
}

/// Bytes in hex.
pub fn to_hex(bytes: &[u8]) -> String {
    let mut text = String::with_capacity(bytes.len() * 2);
    for byte in bytes {
        let _ = write!(text, "{byte:02x}");
    }
    text
}

/// The whole text of an answer with `filling` further bytes.
pub fn write(head: &Head, filling: usize) -> String {
    let mut text = first_line(head);
    if filling > 0 {
        text.extend(std::iter::repeat_n('.', filling));
        text.push('\n');
    }
    let sum = sum_line(text.as_bytes());
    text.push_str(&sum);
    text
}

/// Checks that an answer is whole and returns its head.
pub fn read(bytes: &[u8]) -> Result<Head, AnswerError> {
    let cut = AnswerError::Cut(bytes.len());
    let text = std::str::from_utf8(bytes).map_err(|_| cut.clone())?;
    let body = text.strip_suffix('\n').ok_or(cut.clone())?;
    let start = body.rfind('\n').ok_or(cut.clone())? + 1;
    if !body[start..].starts_with(SUM) {
        return Err(cut);
    }
    if text[start..] != sum_line(&bytes[..start]) {
        return Err(AnswerError::Digest);
    }
    let line = text.lines().next().ok_or(cut)?;
    read_head(line)
}

/// First line of an answer.
pub fn first_line(head: &Head) -> String {
    let mut line = serde_json::to_string(head).unwrap_or_default();
    line.push('\n');
    line
}

/// Reads the first line of an answer.
pub fn read_head(line: &str) -> Result<Head, AnswerError> {
    serde_json::from_str(line).map_err(|e| AnswerError::Head(e.to_string()))
}

/// Last line of an answer, over all bytes before it.
pub fn sum_line(bytes: &[u8]) -> String {
    sum_text(&hex_digest(bytes))
}

/// Last line of an answer, for a digest in hex.
pub fn sum_text(digest: &str) -> String {
    format!("{SUM}{digest}\n")
}

/// Line `count` of a feed.
pub fn tick_line(count: u64, echo: &str) -> String {
    format!("{TICK}{count} {echo}\n")
}

/// Reader of a feed that arrives in pieces.
#[derive(Clone, Debug, Default)]
pub struct FeedReader {
    digest: Sha256,
    line: Vec<u8>,
    head: Option<Head>,
    count: u64,
    ended: bool,
    bytes: usize,
}

impl FeedReader {
    /// A reader at the start of a feed.
    pub fn new() -> FeedReader {
        FeedReader::default()
    }

    /// Takes the next bytes.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), AnswerError> {
        self.bytes += bytes.len();
        for &byte in bytes {
            self.line.push(byte);
            if byte != b'\n' {
                continue;
            }
            let line = std::mem::take(&mut self.line);
            self.take(&line)?;
        }
        Ok(())
    }

    /// The first line, once it has arrived.
    pub fn head(&self) -> Option<&Head> {
        self.head.as_ref()
    }

    /// Number of the last line.
    pub fn count(&self) -> u64 {
        self.count
    }

    /// Checks that the feed ended with its last line, and not in the middle.
    pub fn finish(&self) -> Result<&Head, AnswerError> {
        match &self.head {
            Some(head) if self.ended && self.line.is_empty() => Ok(head),
            _ => Err(AnswerError::Cut(self.bytes)),
        }
    }

    fn take(&mut self, line: &[u8]) -> Result<(), AnswerError> {
        let text = String::from_utf8_lossy(line);
        let odd = || AnswerError::Tick(text.trim_end().to_owned(), self.count);
        if self.ended {
            return Err(odd());
        }
        let Some(head) = &self.head else {
            self.head = Some(read_head(&text)?);
            self.digest.update(line);
            return Ok(());
        };
        if text.starts_with(SUM) {
            if text != sum_text(&to_hex(&self.digest.clone().finalize())) {
                return Err(AnswerError::Digest);
            }
            self.ended = true;
            return Ok(());
        }
        if text != tick_line(self.count + 1, &head.echo) {
            return Err(odd());
        }
        self.count += 1;
        self.digest.update(line);
        Ok(())
    }
}
