//! Prints help, completions and errors of the command-line parser.

use std::{
    io::{self, Write},
    process::ExitCode,
};

use bpaf::ParseFailure;

/// Prints the message and returns the exit code. A closed pipe, as in `--help | head`, is not an error.
pub(crate) fn print_failure(failure: &ParseFailure) -> ExitCode {
    let written = match failure {
        ParseFailure::Stdout(help, full) => writeln!(io::stdout(), "{}", help.monochrome(*full)),
        ParseFailure::Completion(text) => write!(io::stdout(), "{text}"),
        ParseFailure::Stderr(error) => writeln!(io::stderr(), "Error: {}", error.monochrome(true)),
    };
    match (written.and_then(|()| io::stdout().flush()), failure) {
        (Err(e), _) if e.kind() != io::ErrorKind::BrokenPipe => ExitCode::FAILURE,
        (_, ParseFailure::Stderr(_)) => ExitCode::FAILURE,
        _ => ExitCode::SUCCESS,
    }
}
