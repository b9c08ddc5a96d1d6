//! The `undrain` subcommand.

use bpaf::Bpaf;
use camphorwinch_core::object::{Kind, Target};

use super::{
    apply::show,
    delete::remove,
    drain::{change_name, target},
};
use crate::{
    config::{Flags, Settings},
    error::Error,
    platform::Platform,
    rollout,
};

/// Ends a drain that `drain` began, so that the target gets new work again
#[derive(Clone, Debug, Bpaf)]
#[bpaf(command)]
pub struct Undrain {
    #[bpaf(external(crate::config::flags))]
    pub(crate) flags: Flags,
    /// Wait until the end of the drain is known everywhere, for at most the timeout
    wait: bool,
    #[bpaf(external(target))]
    target: Target,
}

impl Undrain {
    pub(crate) async fn run(&self, settings: &Settings) -> Result<(), Error> {
        let platform = Platform::new(settings);
        let done = remove(&platform, Kind::Change, &change_name(&self.target), None).await?;
        let revision = done.version;
        show(settings.format, &[done])?;
        if self.wait {
            rollout::wait(&platform, revision).await?;
        }
        Ok(())
    }
}
