//! `fabric`.

use std::process::ExitCode;

use anyhow::bail;
use bpaf::Bpaf;

/// fabric
#[derive(Clone, Debug, Bpaf)]
#[bpaf(command)]
pub struct Fabric {}

impl Fabric {
    /// Runs the subcommand.
    pub async fn run(self) -> anyhow::Result<ExitCode> {
        bail!("fabric: not part of this build")
    }
}
