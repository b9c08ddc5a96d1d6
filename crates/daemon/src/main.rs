//! The camphorwinch daemon: `balance` on an entry VM, `agent` next to an upstream.

mod agent;
mod clock;
mod cmd;
mod config;
mod config_watch;
mod control;
mod event;
mod help;
mod lease;
mod log;
mod metrics;
mod operator;
mod platform;
mod relay;
mod report;
mod report_writer;
mod signal;
mod timeline;
mod tls;
mod violations;

use std::process::ExitCode;

use bpaf::Bpaf;

use crate::cmd::{Agent, Balance, Run};

/// Layer-4 load balancer for QUIC.
///
/// Every flag can also be set by an environment variable: CAMPHORWINCH_ and the flag's name in upper case, with '_' for
/// '-'. A flag overrides its variable.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
enum Command {
    Balance(#[bpaf(external(cmd::balance::balance))] Balance),
    Agent(#[bpaf(external(cmd::agent::agent))] Agent),
}

fn main() -> ExitCode {
    let result = match command().run_inner(bpaf::Args::current_args()) {
        Ok(Command::Balance(it)) => it.run(),
        Ok(Command::Agent(it)) => it.run(),
        Err(failure) => return help::print_failure(&failure),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("camphorwinchd: {e:#}");
            ExitCode::FAILURE
        }
    }
}
