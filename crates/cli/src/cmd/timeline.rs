//! The `timeline` subcommand.

use bpaf::Bpaf;
use camphorwinch_core::{object::Kind, timeline::Event};

use crate::{
    config::{Flags, Settings},
    error::Error,
    output::{Format, Table, cell, print, print_json, print_line, utc},
    platform::Platform,
    timeline::{Filter, Merger},
    watch::Watcher,
};

/// Shows the newest events of all processes in causal order
///
///
/// An event never stands before one that it depends on, however far the clocks of the VMs differ. With --follow,
/// events that a zone hands in late are shown when they arrive.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(command)]
pub struct Timeline {
    #[bpaf(external(crate::config::flags))]
    pub(crate) flags: Flags,
    /// Only events of this service
    #[bpaf(argument("NAME"))]
    service: Option<String>,
    /// Only events of the flow whose number begins with these hexadecimal digits
    #[bpaf(argument("HEX"))]
    flow: Option<String>,
    /// Only events of the request whose number begins with these hexadecimal digits
    #[bpaf(argument("HEX"))]
    request: Option<String>,
    /// Only events of this upstream
    #[bpaf(argument("NAME"))]
    upstream: Option<String>,
    /// Go on with new events until stopped; with --output json each line is one event
    follow: bool,
}

impl Timeline {
    pub(crate) async fn run(&self, settings: &Settings) -> Result<(), Error> {
        let platform = Platform::new(settings);
        let filter = Filter {
            service: self.service.as_deref(),
            flow: self.flow.as_deref(),
            request: self.request.as_deref(),
            upstream: self.upstream.as_deref(),
        };
        let mut merger = Merger::new();
        if !self.follow {
            let objects = platform.list(Kind::Timeline).await?.items;
            let events = filter.keep(merger.take(objects));
            return match settings.format {
                Format::Json => print_json(&events),
                Format::Table => print(table(&events)),
            };
        }
        let (mut watcher, mut seen) = Watcher::new(&platform, &[Kind::Timeline]).await?;
        loop {
            let objects = seen.into_iter().map(|it| it.object);
            for event in filter.keep(merger.take(objects)) {
                match settings.format {
                    Format::Json => print_line(&event)?,
                    Format::Table => print(line(&event))?,
                }
            }
            seen = watcher.next().await?;
        }
    }
}

fn table(events: &[Event]) -> Table {
    let mut table = Table::new(&[
        "TIME", "PROCESS", "ID", "EVENT", "SERVICE", "UPSTREAM", "FLOW", "REQUEST", "TEXT",
    ]);
    for it in events {
        table.push([
            utc(it.stamp.ms),
            it.process.clone(),
            it.id.to_string(),
            it.name.clone(),
            cell(&it.service),
            cell(&it.upstream),
            cell(&it.flow),
            cell(&it.request),
            it.text.clone(),
        ]);
    }
    table
}

fn line(it: &Event) -> String {
    let mut line = format!("{}  {}  {} {}", utc(it.stamp.ms), it.process, it.id, it.name);
    let fields = [
        ("service", &it.service),
        ("upstream", &it.upstream),
        ("flow", &it.flow),
        ("request", &it.request),
    ];
    for (name, value) in fields {
        let Some(value) = value else { continue };
        line.push_str(&format!("  {name}={value}"));
    }
    line.push_str(&format!("  {}", it.text));
    line.replace(char::is_control, " ") + "\n"
}
