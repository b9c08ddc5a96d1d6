//! `platform`.

use std::process::ExitCode;

use anyhow::bail;
use bpaf::Bpaf;

/// platform
#[derive(Clone, Debug, Bpaf)]
#[bpaf(command)]
pub struct Platform {}

impl Platform {
    /// Runs the subcommand.
    pub async fn run(self) -> anyhow::Result<ExitCode> {
        bail!("platform: not part of this build")
    }
}
