//! Response format: written by the upstream, verified by the caller.
//!
//! A response is a JSON line that names the upstream and the request, optional padding, and a last line with a digest
//! of all bytes before it. A feed has numbered lines in between. A caller can thus detect a response that is truncated,
//! mixed with another, or meant for another request.

use std::fmt::Write;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use thiserror::Error;

/// Header with the service's name, set by the agent.
pub const SERVICE: &str = "camphorwinch-service";
/// Header with the request's id, set by the agent.
pub const REQUEST: &str = "camphorwinch-request";
/// Header with the time left until the deadline, in milliseconds.
pub const DEADLINE: &str = "camphorwinch-deadline-ms";
/// Header with the caller's idempotency key.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Response header that says the request was not started.
pub const NOT_RUN: &str = "camphorwinch-not-run";

const DIGEST_PREFIX: &str = "sum ";
const LINE_PREFIX: &str = "tick ";

/// First line of a response: identifies the upstream and the request.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename = "Head")] // the name in parse errors, which reach the caller's report
pub struct ResponseHead {
    /// Name of the upstream.
    pub upstream: String,
    /// Pool of the upstream.
    pub pool: String,
    /// Service, as set by the agent.
    pub service: String,
    /// Request id, as set by the agent.
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

/// Why a response is invalid.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ResponseError {
    /// It is empty, truncated, or not UTF-8.
    #[error("the response is truncated after {0} bytes")]
    Truncated(usize),
    /// The digest does not match.
    #[error("the response's digest does not match its bytes")]
    Digest,
    /// The first line can't be parsed.
    #[error("the response's first line is malformed: {0}")]
    Head(String),
    /// A line of a feed is out of order or belongs to another request.
    #[error("line {0:?} does not follow line {1} of this feed")]
    UnexpectedLine(String, u64),
}

/// SHA-256 in hex.
pub fn hex_digest(bytes: &[u8]) -> String {
    to_hex(&Sha256::digest(bytes))
}

/// Encodes bytes as lower-case hex.
pub fn to_hex(bytes: &[u8]) -> String {
    let mut text = String::with_capacity(bytes.len() * 2);
    for byte in bytes {
        let _ = write!(text, "{byte:02x}");
    }
    text
}

/// Writes a response with `padding` bytes of padding.
pub fn write(head: &ResponseHead, padding: usize) -> String {
    let mut text = first_line(head);
    if padding > 0 {
        text.extend(std::iter::repeat_n('.', padding));
        text.push('\n');
    }
    let digest = digest_line(text.as_bytes());
    text.push_str(&digest);
    text
}

/// Verifies that a response is complete and returns its head.
pub fn read(bytes: &[u8]) -> Result<ResponseHead, ResponseError> {
    let truncated = ResponseError::Truncated(bytes.len());
    let text = std::str::from_utf8(bytes).map_err(|_| truncated.clone())?;
    let body = text.strip_suffix('\n').ok_or(truncated.clone())?;
    let last_line = body.rfind('\n').ok_or(truncated.clone())? + 1;
    if !body[last_line..].starts_with(DIGEST_PREFIX) {
        return Err(truncated);
    }
    if text[last_line..] != digest_line(&bytes[..last_line]) {
        return Err(ResponseError::Digest);
    }
    let line = text.lines().next().ok_or(truncated)?;
    read_head(line)
}

/// First line of a response.
pub fn first_line(head: &ResponseHead) -> String {
    let mut line = serde_json::to_string(head).unwrap_or_default();
    line.push('\n');
    line
}

/// Parses the first line of a response.
pub fn read_head(line: &str) -> Result<ResponseHead, ResponseError> {
    serde_json::from_str(line).map_err(|e| ResponseError::Head(e.to_string()))
}

/// Last line of a response, with the digest of `bytes`, all bytes before it.
pub fn digest_line(bytes: &[u8]) -> String {
    digest_line_from_hex(&hex_digest(bytes))
}

/// Last line of a response, from a digest in hex.
pub fn digest_line_from_hex(digest: &str) -> String {
    format!("{DIGEST_PREFIX}{digest}\n")
}

/// Line `count` of a feed.
pub fn feed_line(count: u64, echo: &str) -> String {
    format!("{LINE_PREFIX}{count} {echo}\n")
}

/// Incremental parser of a feed.
#[derive(Clone, Debug, Default)]
pub struct FeedReader {
    digest: Sha256,
    line: Vec<u8>,
    head: Option<ResponseHead>,
    count: u64,
    ended: bool,
    bytes: usize,
}

impl FeedReader {
    /// A reader at the start of a feed.
    pub fn new() -> FeedReader {
        FeedReader::default()
    }

    /// Parses the next bytes; fails at the first invalid line.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), ResponseError> {
        self.bytes += bytes.len();
        for &byte in bytes {
            self.line.push(byte);
            if byte != b'\n' {
                continue;
            }
            let line = std::mem::take(&mut self.line);
            self.parse_line(&line)?;
        }
        Ok(())
    }

    /// The first line, once received.
    pub fn head(&self) -> Option<&ResponseHead> {
        self.head.as_ref()
    }

    /// Number of the last numbered line received.
    pub fn count(&self) -> u64 {
        self.count
    }

    /// Verifies that the feed is complete and returns its head.
    pub fn finish(&self) -> Result<&ResponseHead, ResponseError> {
        match &self.head {
            Some(head) if self.ended && self.line.is_empty() => Ok(head),
            _ => Err(ResponseError::Truncated(self.bytes)),
        }
    }

    fn parse_line(&mut self, line: &[u8]) -> Result<(), ResponseError> {
        let text = String::from_utf8_lossy(line);
        let unexpected = || ResponseError::UnexpectedLine(text.trim_end().to_owned(), self.count);
        if self.ended {
            return Err(unexpected());
        }
        let Some(head) = &self.head else {
            self.head = Some(read_head(&text)?);
            self.digest.update(line);
            return Ok(());
        };
        if text.starts_with(DIGEST_PREFIX) {
            if text != digest_line_from_hex(&to_hex(&self.digest.clone().finalize())) {
                return Err(ResponseError::Digest);
            }
            self.ended = true;
            return Ok(());
        }
        if text != feed_line(self.count + 1, &head.echo) {
            return Err(unexpected());
        }
        self.count += 1;
        self.digest.update(line);
        Ok(())
    }
}
