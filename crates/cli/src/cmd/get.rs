//! The `get` subcommand.

use bpaf::Bpaf;
use camphorwinch_core::object::{Kind, Object};
use serde_json::Value;

use super::{parse_kind, parse_name};
use crate::{
    config::{Flags, Settings},
    error::Error,
    output::{Format, Table, print, print_json, redact},
    platform::PlatformClient,
};

const MAX_SPEC_CHARS: usize = 100;

/// Shows the objects of a kind, or one of them
///
///
/// Kinds: service, change, certificate, keys, lease, report, timeline. Secrets are hidden without --secrets.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(command)]
pub struct Get {
    #[bpaf(external(crate::config::flags))]
    pub(crate) flags: Flags,
    /// Show private keys and fleet keys
    secrets: bool,
    /// Kind of the objects
    #[bpaf(positional::<String>("KIND"), parse(parse_kind))]
    kind: Kind,
    /// Name of one object
    #[bpaf(positional::<String>("NAME"), parse(parse_name), optional)]
    name: Option<String>,
}

impl Get {
    pub(crate) async fn run(&self, settings: &Settings) -> Result<(), Error> {
        let platform = PlatformClient::new(settings);
        if let Some(name) = &self.name {
            let object = self.visible(&platform.get_existing(self.kind, name).await?);
            return match settings.format {
                Format::Json => print_json(&object),
                Format::Table => print(object_table(&object)),
            };
        }
        let list = platform.list(self.kind).await?;
        let objects: Vec<Object> = list.items.iter().map(|it| self.visible(it)).collect();
        match settings.format {
            Format::Json => print_json(&objects),
            Format::Table => print(objects_table(&objects)),
        }
    }

    fn visible(&self, object: &Object) -> Object {
        if self.secrets { object.clone() } else { redact(object) }
    }
}

fn objects_table(objects: &[Object]) -> Table {
    let mut table = Table::new(&["NAME", "VERSION", "SPEC"]);
    for it in objects {
        let mut spec = it.spec.to_string();
        if let Some((end, _)) = spec.char_indices().nth(MAX_SPEC_CHARS) {
            spec.truncate(end);
            spec.push_str("...");
        }
        table.push([it.name.clone(), it.version.to_string(), spec]);
    }
    table
}

fn object_table(object: &Object) -> Table {
    let mut table = Table::new(&["FIELD", "VALUE"]);
    table.push(["name".to_owned(), object.name.clone()]);
    table.push(["version".to_owned(), object.version.to_string()]);
    table.push(["writer".to_owned(), object.writer.clone()]);
    let Some(spec) = object.spec.as_object() else {
        table.push(["spec".to_owned(), object.spec.to_string()]);
        return table;
    };
    for (name, value) in spec {
        let value = match value {
            Value::String(text) => text.clone(),
            other => other.to_string(),
        };
        table.push([format!("spec.{name}"), value]);
    }
    table
}
