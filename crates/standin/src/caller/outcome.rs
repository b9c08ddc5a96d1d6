//! What became of a request, from the caller's point of view.

use std::fmt;

/// What became of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The whole answer to this very request arrived.
    Whole,
    /// The system said that the request was not run.
    NotRun,
    /// Nobody can say whether the request was run.
    Unknown(Doubt),
    /// Anything else.
    Failed(Flaw),
    /// The request never left the caller: its flow was going away.
    Unsent,
}

/// Why the outcome of a request is not known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Doubt {
    /// The system said so.
    Told,
    /// The flow was lost while the request was in progress.
    FlowLost,
}

/// What is wrong with an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Flaw {
    /// The answer broke off.
    Cut(String),
    /// A status that the request does not account for.
    Status(u16),
    /// No whole answer within the caller's patience.
    Late,
    /// The answer comes from another service or pool.
    WrongService(String),
    /// The answer belongs to another request.
    Crossed(String),
    /// The answer's content does not match its own checksum, length or request.
    Corrupt(String),
    /// No flow could be opened.
    NoFlow(String),
}

impl fmt::Display for Flaw {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Flaw::Cut(it) => write!(f, "cut answer: {it}"),
            Flaw::Status(it) => write!(f, "status {it}"),
            Flaw::Late => f.write_str("no answer in time"),
            Flaw::WrongService(it) => write!(f, "answer of another service: {it}"),
            Flaw::Crossed(it) => write!(f, "answer to another request: {it}"),
            Flaw::Corrupt(it) => write!(f, "corrupt answer: {it}"),
            Flaw::NoFlow(it) => write!(f, "no flow: {it}"),
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Outcome::Whole => f.write_str("whole"),
            Outcome::NotRun => f.write_str("refused, not run"),
            Outcome::Unknown(Doubt::Told) => f.write_str("unknown, as told"),
            Outcome::Unknown(Doubt::FlowLost) => f.write_str("unknown, flow lost"),
            Outcome::Failed(flaw) => write!(f, "failed: {flaw}"),
            Outcome::Unsent => f.write_str("unsent"),
        }
    }
}
