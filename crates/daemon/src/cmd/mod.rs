//! Subcommands, one file each.

pub(crate) mod agent;
pub(crate) mod balance;

pub(crate) use self::{agent::Agent, balance::Balance};

/// A subcommand.
pub(crate) trait Run {
    /// Runs until a signal ends the process or an error does.
    fn run(&self) -> anyhow::Result<()>;
}
