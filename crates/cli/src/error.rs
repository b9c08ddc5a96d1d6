//! Errors of commands, and their exit codes.

use std::io;

use camphorwinch_core::object::SpecError;
use thiserror::Error;

use crate::{app::EXIT_USAGE, config::InvalidSetting};

/// Error of a command.
#[derive(Debug, Error)]
pub enum Error {
    /// Settings are not valid.
    #[error("invalid settings:\n{}", setting_lines(.0))]
    InvalidSettings(Vec<InvalidSetting>),
    /// An argument or a file is not valid.
    #[error("{operation}: {reason}")]
    Usage {
        /// The operation that failed.
        operation: String,
        /// What is wrong.
        reason: String,
    },
    /// An object is not valid.
    #[error("invalid object")]
    InvalidSpec(#[from] SpecError),
    /// Another writer changed the object.
    #[error("conflict at {object}: {reason}\nyours:\n{ours}\nstored:\n{stored}")]
    Conflict {
        /// Kind and name of the object.
        object: String,
        /// The versions in conflict.
        reason: String,
        /// The value that was to be written.
        ours: String,
        /// The value that the platform stores.
        stored: String,
    },
    /// Services that were written concurrently are in conflict.
    #[error("conflict after the write: {0}")]
    ServiceConflict(SpecError),
    /// The object does not exist.
    #[error("{object} not found at {peer}")]
    NotFound {
        /// What was looked for.
        object: String,
        /// Where it was looked for.
        peer: String,
    },
    /// The platform did not respond in time; nothing was written.
    #[error("{operation}: the platform at {peer} is not available: {reason}")]
    Unavailable {
        /// The operation that failed.
        operation: String,
        /// Address of the platform.
        peer: String,
        /// The last response or error.
        reason: String,
    },
    /// A write may or may not have taken effect.
    #[error("{operation}: outcome unknown at {peer}: {reason}\nyours:\n{ours}\nstored:\n{stored}")]
    OutcomeUnknown {
        /// The operation that failed.
        operation: String,
        /// Address of the platform.
        peer: String,
        /// Why the outcome is unknown.
        reason: String,
        /// The value that was to be written.
        ours: String,
        /// The value that the platform stored at the last read.
        stored: String,
    },
    /// The platform rejected the request, or its response is not valid.
    #[error("{operation}: request to the platform at {peer} failed: {reason}")]
    Rejected {
        /// The operation that failed.
        operation: String,
        /// Address of the platform.
        peer: String,
        /// Status and error text of the response, or why it is not valid.
        reason: String,
    },
    /// The current state does not allow the command.
    #[error("{operation}: {reason}")]
    NotAllowed {
        /// The operation that failed.
        operation: String,
        /// Why the command is not allowed.
        reason: String,
    },
    /// A revision did not come into force in every zone within the timeout.
    #[error("revision {revision} is not in force in every zone: {reason}")]
    NotInForce {
        /// The revision.
        revision: u64,
        /// The zones that lag.
        reason: String,
    },
    /// A local read or write failed.
    #[error("{operation}")]
    Io {
        /// The operation that failed.
        operation: String,
        /// Why it failed.
        source: io::Error,
    },
    /// The reader closed the standard output.
    #[error("standard output is closed")]
    StdoutClosed,
}

impl Error {
    /// Creates an [`Error::Io`].
    pub fn io<S>(operation: S, source: io::Error) -> Error
    where
        S: Into<String>,
    {
        Error::Io { operation: operation.into(), source }
    }

    /// Creates an [`Error::Usage`].
    pub fn usage<S, R>(operation: S, reason: R) -> Error
    where
        S: Into<String>,
        R: Into<String>,
    {
        Error::Usage { operation: operation.into(), reason: reason.into() }
    }

    /// Exit code of the process.
    pub fn exit_code(&self) -> u8 {
        match self {
            Error::InvalidSettings(_) | Error::Usage { .. } | Error::InvalidSpec(_) => EXIT_USAGE,
            Error::Conflict { .. } | Error::ServiceConflict(_) => 3,
            Error::NotFound { .. } => 4,
            Error::Unavailable { .. } | Error::OutcomeUnknown { .. } => 5,
            Error::Rejected { .. }
            | Error::NotAllowed { .. }
            | Error::NotInForce { .. }
            | Error::Io { .. }
            | Error::StdoutClosed => 1,
        }
    }
}

fn setting_lines(settings: &[InvalidSetting]) -> String {
    let lines: Vec<String> = settings.iter().map(|it| format!("  {it}")).collect();
    lines.join("\n")
}
