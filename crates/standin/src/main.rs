//! Emulators of the platform, fabric, upstreams and callers, for tests.

use std::process::ExitCode;

use camphorwinch_standin::{cmd, config};

fn main() -> ExitCode {
    let cmd = cmd::cmd().run();
    config::start_log();
    let result = config::runtime().and_then(|runtime| runtime.block_on(cmd.run()));
    match result {
        Ok(code) => code,
        Err(error) => {
            eprintln!("camphorwinch-standin: {error:#}");
            ExitCode::from(2)
        }
    }
}
