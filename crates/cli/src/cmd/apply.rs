//! The `apply` subcommand.

use bpaf::Bpaf;

use crate::{
    apply::{ApplyResult, Plan},
    config::{Flags, Settings},
    error::Error,
    manifest,
    output::{Format, Table, print, print_json},
    platform::PlatformClient,
    rollout,
};

/// Creates or updates the objects in a file
///
///
/// The file is JSON: one object, a list of objects, or {"items": [...]}. An object is {"kind", "name", "spec"} and
/// optionally "version". A version other than 0 must match the stored one. All objects are validated, alone and with
/// the stored objects, before the first write. Each write is conditional: a concurrent change by another writer is a
/// conflict, and the error shows both values. An object that already has the given spec is not written.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(command)]
pub struct Apply {
    #[bpaf(external(crate::config::flags))]
    pub(crate) flags: Flags,
    /// File to read; - for standard input
    #[bpaf(short('f'), long("file"), argument("FILE"))]
    file: String,
    /// Wait until the objects are in force in every zone, for at most the timeout
    wait: bool,
}

impl Apply {
    pub(crate) async fn run(&self, settings: &Settings) -> Result<(), Error> {
        let objects = manifest::read(&self.file)?;
        let platform = PlatformClient::new(settings);
        let plan = Plan::new(&platform, objects).await?;
        let mut results = Vec::new();
        let result = plan.run(&platform, &mut results).await;
        print_results(settings.format, &results)?;
        result?;
        let revision = results.iter().map(|it| it.version).max();
        if let Some(revision) = revision.filter(|_| self.wait) {
            rollout::wait_in_force(&platform, revision).await?;
        }
        Ok(())
    }
}

/// Prints the outcome of each write.
pub(super) fn print_results(format: Format, results: &[ApplyResult]) -> Result<(), Error> {
    if format == Format::Json {
        return print_json(&results);
    }
    let mut table = Table::new(&["OBJECT", "OUTCOME", "VERSION"]);
    for it in results {
        table.push([it.object.clone(), it.outcome.as_str().to_owned(), it.version.to_string()]);
    }
    print(table)
}
