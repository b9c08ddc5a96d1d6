//! `site`.

use std::process::ExitCode;

use anyhow::bail;
use bpaf::Bpaf;

/// Start a whole deployment and drive load through it
#[derive(Clone, Debug, Bpaf)]
#[bpaf(command)]
pub struct Site {}

impl Site {
    /// Runs the subcommand.
    pub async fn run(self) -> anyhow::Result<ExitCode> {
        bail!("site: not part of this build")
    }
}
