//! Subcommands, one struct each.

mod caller;
mod capacity;
mod fabric;
mod platform;
mod site;
mod upstream;

use std::process::ExitCode;

use bpaf::Bpaf;

pub use self::{
    caller::Caller, capacity::Capacity, fabric::Fabric, platform::Platform, site::Site,
    upstream::Upstream,
};
use self::{
    caller::caller, capacity::capacity, fabric::fabric, platform::platform, site::site,
    upstream::upstream,
};

/// Emulators and load tools for testing camphorwinch
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
pub enum Cmd {
    /// Emulate the platform's object API
    Platform(#[bpaf(external(platform))] Platform),
    /// Emulate the packet fabric
    Fabric(#[bpaf(external(fabric))] Fabric),
    /// Emulate an upstream
    Upstream(#[bpaf(external(upstream))] Upstream),
    /// Generate load from callers
    Caller(#[bpaf(external(caller))] Caller),
    /// Run a whole deployment under load
    Site(#[bpaf(external(site))] Site),
    /// Measure cost against size
    Capacity(#[bpaf(external(capacity))] Capacity),
}

impl Cmd {
    /// Runs the chosen subcommand; returns its exit code.
    pub async fn run(self) -> anyhow::Result<ExitCode> {
        match self {
            Cmd::Platform(it) => it.run().await,
            Cmd::Fabric(it) => it.run().await,
            Cmd::Upstream(it) => it.run().await,
            Cmd::Caller(it) => it.run().await,
            Cmd::Site(it) => it.run().await,
            Cmd::Capacity(it) => it.run().await,
        }
    }
}
