//! Prints what the command line's parser has to say: help, completion or a fault.

use std::{
    io::{self, Write},
    process::ExitCode,
};

use bpaf::ParseFailure;

/// Prints the message and gives the exit code. A reader that has gone away, as in `--help | head`, is no fault.
pub(crate) fn show(failure: &ParseFailure) -> ExitCode {
    let done = match failure {
        ParseFailure::Stdout(help, full) => writeln!(io::stdout(), "{}", help.monochrome(*full)),
        ParseFailure::Completion(text) => write!(io::stdout(), "{text}"),
        ParseFailure::Stderr(fault) => writeln!(io::stderr(), "Error: {}", fault.monochrome(true)),
    };
    match (done.and_then(|()| io::stdout().flush()), failure) {
        (Err(e), _) if e.kind() != io::ErrorKind::BrokenPipe => ExitCode::FAILURE,
        (_, ParseFailure::Stderr(_)) => ExitCode::FAILURE,
        _ => ExitCode::SUCCESS,
    }
}
