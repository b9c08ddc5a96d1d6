//! The `timeline` subcommand.

use bpaf::Bpaf;
use camphorwinch_core::{object::Kind, timeline::Event};

use crate::{
    config::{Flags, Settings},
    error::Error,
    output::{Format, Table, optional_cell, print, print_json, print_json_line, utc},
    platform::PlatformClient,
    timeline::{Filter, Merger},
    watch::Watcher,
};

/// Shows the newest events of all processes in causal order
///
///
/// An event never comes before one that it depends on, regardless of clock skew between VMs. With --follow, events
/// that a zone reports late are shown when they arrive.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(command)]
pub struct Timeline {
    #[bpaf(external(crate::config::flags))]
    pub(crate) flags: Flags,
    /// Only events of this service
    #[bpaf(argument("NAME"))]
    service: Option<String>,
    /// Only events of flows whose ID starts with these hexadecimal digits
    #[bpaf(argument("HEX"))]
    flow: Option<String>,
    /// Only events of requests whose ID starts with these hexadecimal digits
    #[bpaf(argument("HEX"))]
    request: Option<String>,
    /// Only events of this upstream
    #[bpaf(argument("NAME"))]
    upstream: Option<String>,
    /// Keep showing new events until interrupted; with --output json each line is one event
    follow: bool,
}

impl Timeline {
    pub(crate) async fn run(&self, settings: &Settings) -> Result<(), Error> {
        let platform = PlatformClient::new(settings);
        let filter = Filter {
            service: self.service.as_deref(),
            flow: self.flow.as_deref(),
            request: self.request.as_deref(),
            upstream: self.upstream.as_deref(),
        };
        let mut merger = Merger::new();
        if !self.follow {
            let objects = platform.list(Kind::Timeline).await?.items;
            let events = filter.apply(merger.merge_new(objects));
            return match settings.format {
                Format::Json => print_json(&events),
                Format::Table => print(events_table(&events)),
            };
        }
        let (mut watcher, mut watch_events) = Watcher::new(&platform, &[Kind::Timeline]).await?;
        loop {
            let objects = watch_events.into_iter().map(|it| it.object);
            for event in filter.apply(merger.merge_new(objects)) {
                match settings.format {
                    Format::Json => print_json_line(&event)?,
                    Format::Table => print(event_line(&event))?,
                }
            }
            watch_events = watcher.next().await?;
        }
    }
}

fn events_table(events: &[Event]) -> Table {
    let mut table = Table::new(&[
        "TIME", "PROCESS", "ID", "EVENT", "SERVICE", "UPSTREAM", "FLOW", "REQUEST", "TEXT",
    ]);
    for it in events {
        table.push([
            utc(it.stamp.ms),
            it.process.clone(),
            it.id.to_string(),
            it.name.clone(),
            optional_cell(&it.service),
            optional_cell(&it.upstream),
            optional_cell(&it.flow),
            optional_cell(&it.request),
            it.text.clone(),
        ]);
    }
    table
}

fn event_line(it: &Event) -> String {
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
