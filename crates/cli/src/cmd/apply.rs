//! The `apply` subcommand.

use bpaf::Bpaf;

use crate::{
    apply::{Applied, Plan},
    config::{Flags, Settings},
    error::Error,
    manifest,
    output::{Format, Table, print, print_json},
    platform::Platform,
    rollout,
};

/// Creates or updates the objects in a file
///
///
/// The file is JSON: one object, a list of objects, or {"items": [...]}. An object is {"kind", "name", "spec"} and
/// optionally "version": when given and not 0, it must be the stored one. All objects are checked, alone and with what
/// is stored, before the first is written. Each write is conditional, so a change by another writer is never lost: it
/// is a conflict, which shows both values. An object whose spec is stored already is not written.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(command)]
pub struct Apply {
    #[bpaf(external(crate::config::flags))]
    pub(crate) flags: Flags,
    /// File to read; - for the standard input
    #[bpaf(short('f'), long("file"), argument("FILE"))]
    file: String,
    /// Wait until the objects are in force everywhere, for at most the timeout
    wait: bool,
}

impl Apply {
    pub(crate) async fn run(&self, settings: &Settings) -> Result<(), Error> {
        let objects = manifest::read(&self.file)?;
        let platform = Platform::new(settings);
        let plan = Plan::new(&platform, objects).await?;
        let mut done = Vec::new();
        let result = plan.run(&platform, &mut done).await;
        show(settings.format, &done)?;
        result?;
        let revision = done.iter().map(|it| it.version).max();
        if let Some(revision) = revision.filter(|_| self.wait) {
            rollout::wait(&platform, revision).await?;
        }
        Ok(())
    }
}

/// Prints what became of objects.
pub(super) fn show(format: Format, done: &[Applied]) -> Result<(), Error> {
    if format == Format::Json {
        return print_json(&done);
    }
    let mut table = Table::new(&["OBJECT", "OUTCOME", "VERSION"]);
    for it in done {
        table.push([it.object.clone(), it.outcome.as_str().to_owned(), it.version.to_string()]);
    }
    print(table)
}
