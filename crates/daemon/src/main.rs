//! The camphorwinch daemon: `balance` on an entry VM, `agent` beside an upstream.

mod agent;
mod clock;
mod cmd;
mod config;
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
mod seed;
mod signal;
mod timeline;
mod tls;
mod violations;
mod whole;

use std::process::ExitCode;

use bpaf::Bpaf;

use crate::cmd::{Agent, Balance, Run};

/// Layer-4 load balancer for QUIC.
///
/// Every flag can also be given as an environment variable: CAMPHORWINCH_ and the flag's name in upper case, with '_'
/// for '-'. A flag goes before its variable.
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
        Err(failure) => return help::show(&failure),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("camphorwinchd: {e:#}");
            ExitCode::FAILURE
        }
    }
}
