//! Subcommands.

mod apply;
mod delete;
mod drain;
mod explain;
mod get;
mod keys;
mod status;
mod timeline;
mod undrain;
mod watch;

use bpaf::Bpaf;
use camphorwinch_core::object::Kind;

use self::{
    apply::{Apply, apply},
    delete::{Delete, delete},
    drain::{Drain, drain},
    explain::{Explain, explain},
    get::{Get, get},
    keys::{Keys, keys},
    status::{Status, status},
    timeline::{Timeline, timeline},
    undrain::{Undrain, undrain},
    watch::{Watch, watch},
};
use crate::{
    config::{Flags, Settings},
    error::Error,
};

/// A subcommand.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub enum Cmd {
    /// Creates or updates objects.
    Apply(#[bpaf(external(apply))] Apply),
    /// Shows objects.
    Get(#[bpaf(external(get))] Get),
    /// Deletes an object.
    Delete(#[bpaf(external(delete))] Delete),
    /// Watches objects.
    Watch(#[bpaf(external(watch))] Watch),
    /// Drains an upstream, a VM or a zone.
    Drain(#[bpaf(external(drain))] Drain),
    /// Ends a drain.
    Undrain(#[bpaf(external(undrain))] Undrain),
    /// Shows the status of the deployment.
    Status(#[bpaf(external(status))] Status),
    /// Shows events of all processes.
    Timeline(#[bpaf(external(timeline))] Timeline),
    /// Explains from logs why an opaque flow ended as it did.
    Explain(#[bpaf(external(explain))] Explain),
    /// Manages the fleet's keys.
    Keys(#[bpaf(external(keys))] Keys),
}

impl Cmd {
    /// Flags after the command.
    pub fn flags(&self) -> &Flags {
        match self {
            Cmd::Apply(it) => &it.flags,
            Cmd::Get(it) => &it.flags,
            Cmd::Delete(it) => &it.flags,
            Cmd::Watch(it) => &it.flags,
            Cmd::Drain(it) => &it.flags,
            Cmd::Undrain(it) => &it.flags,
            Cmd::Status(it) => &it.flags,
            Cmd::Timeline(it) => &it.flags,
            Cmd::Explain(it) => &it.flags,
            Cmd::Keys(it) => it.action.flags(),
        }
    }

    /// Runs the command.
    pub async fn run(&self, settings: &Settings) -> Result<(), Error> {
        match self {
            Cmd::Apply(it) => it.run(settings).await,
            Cmd::Get(it) => it.run(settings).await,
            Cmd::Delete(it) => it.run(settings).await,
            Cmd::Watch(it) => it.run(settings).await,
            Cmd::Drain(it) => it.run(settings).await,
            Cmd::Undrain(it) => it.run(settings).await,
            Cmd::Status(it) => it.run(settings).await,
            Cmd::Timeline(it) => it.run(settings).await,
            Cmd::Explain(it) => it.run(settings.format),
            Cmd::Keys(it) => it.run(settings).await,
        }
    }
}

fn parse_kind(text: String) -> Result<Kind, String> {
    let names: Vec<&str> = Kind::ALL.iter().map(|it| it.as_str()).collect();
    Kind::parse(&text).ok_or_else(|| format!("unknown kind; allowed: {}", names.join(", ")))
}

fn parse_name(text: String) -> Result<String, String> {
    camphorwinch_core::object::check_name(&text).map(|()| text)
}
