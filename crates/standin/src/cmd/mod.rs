//! The subcommands: one struct each, with `run`.

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

/// Stand-ins for the surroundings of camphorwinch, for tests
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
pub enum Cmd {
    /// Object API
    Platform(#[bpaf(external(platform))] Platform),
    /// Packet fabric
    Fabric(#[bpaf(external(fabric))] Fabric),
    /// Upstream
    Upstream(#[bpaf(external(upstream))] Upstream),
    /// Load
    Caller(#[bpaf(external(caller))] Caller),
    /// Deployment
    Site(#[bpaf(external(site))] Site),
    /// Slopes
    Capacity(#[bpaf(external(capacity))] Capacity),
}

impl Cmd {
    /// Runs the chosen subcommand to its end.
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
