//! Why a command failed, and the exit codes.

use std::io;

use camphorwinch_core::object::SpecError;
use thiserror::Error;

use crate::{app::USAGE, config::Fault};

/// A failure, with the step and the peer at which it arose.
#[derive(Debug, Error)]
pub enum Error {
    /// Settings are not valid.
    #[error("settings are not valid:\n{}", lines(.0))]
    Settings(Vec<Fault>),
    /// An argument or a file is not valid.
    #[error("{step}: {reason}")]
    Usage {
        /// What was being done.
        step: String,
        /// What is wrong.
        reason: String,
    },
    /// An object is not valid.
    #[error("an object is not valid")]
    Spec(#[from] SpecError),
    /// Another writer changed the object.
    #[error("conflict at {at}: {reason}\nyours:\n{ours}\nstored:\n{stored}")]
    Conflict {
        /// Kind and name of the object.
        at: String,
        /// What clashes.
        reason: String,
        /// What this writer wanted.
        ours: String,
        /// What the platform holds.
        stored: String,
    },
    /// Two services that were written at the same time clash.
    #[error("conflict after the write: {0}")]
    Clash(SpecError),
    /// There is no such object.
    #[error("{at} not found at {peer}")]
    NotFound {
        /// Kind and name of the object.
        at: String,
        /// Address of the platform.
        peer: String,
    },
    /// The platform did not answer in time; nothing was written.
    #[error("{step}: the platform at {peer} is not available: {reason}")]
    Unavailable {
        /// What was being done.
        step: String,
        /// Address of the platform.
        peer: String,
        /// The last answer or error.
        reason: String,
    },
    /// It is not known whether a write took effect.
    #[error("{step}: outcome unknown at {peer}: {reason}\nyours:\n{ours}\nstored:\n{stored}")]
    Unknown {
        /// What was being done.
        step: String,
        /// Address of the platform.
        peer: String,
        /// Why it is not known.
        reason: String,
        /// What this writer wanted.
        ours: String,
        /// What the platform held when it was last read.
        stored: String,
    },
    /// The platform refused the call or answered with something unreadable.
    #[error("{step}: the platform at {peer} answered: {reason}")]
    Refused {
        /// What was being done.
        step: String,
        /// Address of the platform.
        peer: String,
        /// Its answer.
        reason: String,
    },
    /// The present state does not allow the command.
    #[error("{step}: {reason}")]
    NotAllowed {
        /// What was being done.
        step: String,
        /// What stands in the way.
        reason: String,
    },
    /// A revision is not in force everywhere within the timeout.
    #[error("revision {revision} is not in force everywhere yet: {reason}")]
    Pending {
        /// The revision.
        revision: u64,
        /// Which zones lag.
        reason: String,
    },
    /// A local read or write failed.
    #[error("{step}")]
    Io {
        /// What was being done.
        step: String,
        /// Why it failed.
        source: io::Error,
    },
    /// The reader of the standard output has gone.
    #[error("the standard output is closed")]
    Closed,
}

impl Error {
    /// A failed local read or write.
    pub fn io<S>(step: S, source: io::Error) -> Error
    where
        S: Into<String>,
    {
        Error::Io { step: step.into(), source }
    }

    /// An argument or a file that is not valid.
    pub fn usage<S, R>(step: S, reason: R) -> Error
    where
        S: Into<String>,
        R: Into<String>,
    {
        Error::Usage { step: step.into(), reason: reason.into() }
    }

    /// The exit code for scripts.
    pub fn exit_code(&self) -> u8 {
        match self {
            Error::Settings(_) | Error::Usage { .. } | Error::Spec(_) => USAGE,
            Error::Conflict { .. } | Error::Clash(_) => 3,
            Error::NotFound { .. } => 4,
            Error::Unavailable { .. } | Error::Unknown { .. } => 5,
            Error::Refused { .. }
            | Error::NotAllowed { .. }
            | Error::Pending { .. }
            | Error::Io { .. }
            | Error::Closed => 1,
        }
    }
}

fn lines(faults: &[Fault]) -> String {
    let lines: Vec<String> = faults.iter().map(|it| format!("  {it}")).collect();
    lines.join("\n")
}
