//! Outcome of a request, as seen by the caller.

use std::fmt;

/// Outcome of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A complete and valid response arrived.
    Complete,
    /// The load balancer reported that the request was not run.
    NotRun,
    /// It is unknown whether the request was run.
    Unknown(UnknownReason),
    /// The request failed in any other way.
    Failed(FailureReason),
    /// The request was not sent because its flow was closing.
    NotSent,
}

/// Why an outcome is unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnknownReason {
    /// The load balancer reported it as unknown.
    Reported,
    /// The flow was lost while the request was in progress.
    FlowLost,
}

/// Why a request failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FailureReason {
    /// The response is truncated.
    Truncated(String),
    /// Unexpected status.
    Status(u16),
    /// No complete response before the caller's timeout.
    Timeout,
    /// The response comes from another service or pool.
    WrongService(String),
    /// The response belongs to another request.
    WrongRequest(String),
    /// The response does not match its digest or the request's body.
    Corrupt(String),
    /// No flow could be opened.
    NoFlow(String),
}

impl fmt::Display for FailureReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FailureReason::Truncated(it) => write!(f, "truncated response: {it}"),
            FailureReason::Status(it) => write!(f, "status {it}"),
            FailureReason::Timeout => f.write_str("no response in time"),
            FailureReason::WrongService(it) => write!(f, "response from another service: {it}"),
            FailureReason::WrongRequest(it) => write!(f, "response to another request: {it}"),
            FailureReason::Corrupt(it) => write!(f, "corrupt response: {it}"),
            FailureReason::NoFlow(it) => write!(f, "no flow: {it}"),
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Outcome::Complete => f.write_str("whole"),
            Outcome::NotRun => f.write_str("rejected, not run"),
            Outcome::Unknown(UnknownReason::Reported) => f.write_str("unknown, as reported"),
            Outcome::Unknown(UnknownReason::FlowLost) => f.write_str("unknown, flow lost"),
            Outcome::Failed(reason) => write!(f, "failed: {reason}"),
            Outcome::NotSent => f.write_str("unsent"),
        }
    }
}
