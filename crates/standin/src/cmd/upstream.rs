//! `upstream`.

use std::process::ExitCode;

use anyhow::bail;
use bpaf::Bpaf;

/// upstream
#[derive(Clone, Debug, Bpaf)]
#[bpaf(command)]
pub struct Upstream {}

impl Upstream {
    /// Runs the subcommand.
    pub async fn run(self) -> anyhow::Result<ExitCode> {
        bail!("upstream: not part of this build")
    }
}
