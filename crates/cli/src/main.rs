//! The camphorwinch command-line tool.

use std::{
    env,
    error::Error as _,
    io::{self, Write as _},
    process::ExitCode,
};

use bpaf::ParseFailure;
use camphorwinch_cli::{
    app,
    cmd::Cmd,
    config::{self, Settings},
    error::Error,
    output::print,
};

fn main() -> ExitCode {
    let app = match app::app().run_inner(bpaf::Args::current_args()) {
        Ok(app) => app,
        Err(failure) => return ExitCode::from(print_parse_result(&failure)),
    };
    match run(&app) {
        Ok(()) | Err(Error::StdoutClosed) => ExitCode::SUCCESS,
        Err(error) => {
            print_error(&error);
            ExitCode::from(error.exit_code())
        }
    }
}

fn run(app: &app::App) -> Result<(), Error> {
    let var = |name: &str| env::var_os(name).map(|it| it.to_string_lossy().into_owned());
    let flags = [app.cmd.flags(), &app.flags];
    if let Cmd::Explain(it) = &app.cmd {
        let format =
            config::output_format(&flags, var).map_err(|it| Error::InvalidSettings(vec![it]))?;
        return it.run(format);
    }
    let settings = Settings::new(&flags, var)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|e| Error::io("start the async runtime", e))?;
    runtime.block_on(app.cmd.run(&settings))
}

/// Prints help, completions or a usage error, and returns the exit code.
fn print_parse_result(failure: &ParseFailure) -> u8 {
    let result = match failure {
        ParseFailure::Stdout(help, full) => print(help.monochrome(*full) + "\n"),
        ParseFailure::Completion(text) => print(text),
        ParseFailure::Stderr(message) => {
            // A closed standard error is not an error of the command.
            let _ = writeln!(io::stderr(), "Error: {}", message.monochrome(true));
            return app::EXIT_USAGE;
        }
    };
    match result {
        Ok(()) | Err(Error::StdoutClosed) => 0,
        Err(error) => {
            print_error(&error);
            error.exit_code()
        }
    }
}

fn print_error(error: &Error) {
    eprintln!("camphorwinch: {error}");
    let mut source = error.source();
    while let Some(it) = source {
        eprintln!("  caused by: {it}");
        source = it.source();
    }
}
