//! The `undrain` subcommand.

use bpaf::Bpaf;
use camphorwinch_core::object::{Kind, Target};

use super::{
    apply::print_results,
    delete::delete_object,
    drain::{drain_name, target},
};
use crate::{
    config::{Flags, Settings},
    error::Error,
    platform::PlatformClient,
    rollout,
};

/// Ends a drain, so that the target gets new work again
#[derive(Clone, Debug, Bpaf)]
#[bpaf(command)]
pub struct Undrain {
    #[bpaf(external(crate::config::flags))]
    pub(crate) flags: Flags,
    /// Wait until the end of the drain is in force in every zone, for at most the timeout
    wait: bool,
    #[bpaf(external(target))]
    target: Target,
}

impl Undrain {
    pub(crate) async fn run(&self, settings: &Settings) -> Result<(), Error> {
        let platform = PlatformClient::new(settings);
        let result =
            delete_object(&platform, Kind::Change, &drain_name(&self.target), None).await?;
        let revision = result.version;
        print_results(settings.format, &[result])?;
        if self.wait {
            rollout::wait_in_force(&platform, revision).await?;
        }
        Ok(())
    }
}
