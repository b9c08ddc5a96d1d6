//! The camphorwinch command-line tool.

use std::{env, error::Error as _, process::ExitCode};

use bpaf::ParseFailure;
use camphorwinch_cli::{app, config::Settings, error::Error};

/// Columns of help texts.
const WIDTH: usize = 100;

fn main() -> ExitCode {
    let app = match app::app().run_inner(bpaf::Args::current_args()) {
        Ok(app) => app,
        Err(failure) => {
            failure.print_message(WIDTH);
            return match failure {
                ParseFailure::Stderr(_) => ExitCode::from(app::USAGE),
                ParseFailure::Stdout(..) | ParseFailure::Completion(_) => ExitCode::SUCCESS,
            };
        }
    };
    match run(&app) {
        Ok(()) | Err(Error::Closed) => ExitCode::SUCCESS,
        Err(error) => {
            report(&error);
            ExitCode::from(error.exit_code())
        }
    }
}

fn run(app: &app::App) -> Result<(), Error> {
    let var = |name: &str| env::var_os(name).map(|it| it.to_string_lossy().into_owned());
    let settings = Settings::new(&[app.cmd.flags(), &app.flags], var)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|e| Error::io("start the runtime", e))?;
    runtime.block_on(app.cmd.run(&settings))
}

fn report(error: &Error) {
    eprintln!("camphorwinch: {error}");
    let mut source = error.source();
    while let Some(it) = source {
        eprintln!("  caused by: {it}");
        source = it.source();
    }
}
