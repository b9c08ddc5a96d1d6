//! Subcommands.

pub(crate) mod agent;
pub(crate) mod balance;

pub(crate) use self::{agent::Agent, balance::Balance};

pub(crate) trait Run {
    /// Runs until a signal or an error stops the process.
    fn run(&self) -> anyhow::Result<()>;
}
