//! `caller`.

use std::process::ExitCode;

use anyhow::bail;
use bpaf::Bpaf;

/// Drive load from callers through a fabric
#[derive(Clone, Debug, Bpaf)]
#[bpaf(command)]
pub struct Caller {}

impl Caller {
    /// Runs the subcommand.
    pub async fn run(self) -> anyhow::Result<ExitCode> {
        bail!("caller: not part of this build")
    }
}
