//! The `delete` subcommand.

use bpaf::Bpaf;
use camphorwinch_core::object::Kind;

use super::{apply::show, parse_kind, parse_name};
use crate::{
    apply::{Applied, Outcome},
    config::{Flags, Settings},
    error::Error,
    platform::Platform,
    write::Write,
};

/// Deletes an object
///
///
/// The deletion is conditional on the version that was just read, or on --version.
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
        let platform = Platform::new(settings);
        let done = remove(&platform, self.kind, &self.name, self.version).await?;
        show(settings.format, &[done])
    }
}

/// Deletes an object at a version, or at the version that it has now.
pub(super) async fn remove(
    platform: &Platform,
    kind: Kind,
    name: &str,
    version: Option<u64>,
) -> Result<Applied, Error> {
    let stored = platform.need(kind, name).await?;
    let write = Write {
        kind,
        name: name.to_owned(),
        version: version.unwrap_or(stored.version),
        since: stored.version,
        spec: stored.spec,
    };
    let revision = write.delete(platform).await?;
    let object = format!("{kind}/{name}");
    let version = match revision {
        Some(revision) => revision,
        // The answer was lost, and the object is gone: any later revision covers the deletion.
        None => platform.list(kind).await?.revision,
    };
    Ok(Applied { object, outcome: Outcome::Deleted, version })
}
