//! The `delete` subcommand.

use bpaf::Bpaf;
use camphorwinch_core::object::Kind;

use super::{apply::print_results, parse_kind, parse_name};
use crate::{
    apply::{ApplyResult, Outcome},
    config::{Flags, Settings},
    error::Error,
    platform::PlatformClient,
    write::Write,
};

/// Deletes an object
///
///
/// The object is deleted only if its version is --version, or by default the version that the command has read.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(command)]
pub struct Delete {
    #[bpaf(external(crate::config::flags))]
    pub(crate) flags: Flags,
    /// Version that must be stored
    #[bpaf(argument("VERSION"))]
    version: Option<u64>,
    /// Kind of the object
    #[bpaf(positional::<String>("KIND"), parse(parse_kind))]
    kind: Kind,
    /// Name of the object
    #[bpaf(positional::<String>("NAME"), parse(parse_name))]
    name: String,
}

impl Delete {
    pub(crate) async fn run(&self, settings: &Settings) -> Result<(), Error> {
        let platform = PlatformClient::new(settings);
        let result = delete_object(&platform, self.kind, &self.name, self.version).await?;
        print_results(settings.format, &[result])
    }
}

/// Deletes an object at a version, or at its current version.
pub(super) async fn delete_object(
    platform: &PlatformClient,
    kind: Kind,
    name: &str,
    version: Option<u64>,
) -> Result<ApplyResult, Error> {
    let stored = platform.get_existing(kind, name).await?;
    let write = Write {
        kind,
        name: name.to_owned(),
        expected_version: version.unwrap_or(stored.version),
        since_revision: stored.version,
        spec: stored.spec,
    };
    let revision = write.delete(platform).await?;
    let object = format!("{kind}/{name}");
    let version = match revision {
        Some(revision) => revision,
        // The response was lost and the object no longer exists. Any later revision includes the deletion.
        None => platform.list(kind).await?.revision,
    };
    Ok(ApplyResult { object, outcome: Outcome::Deleted, version })
}
