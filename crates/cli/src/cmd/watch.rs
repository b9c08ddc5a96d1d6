//! The `watch` subcommand.

use bpaf::Bpaf;
use camphorwinch_core::object::Kind;

use super::parse_kind;
use crate::{
    config::{Flags, Settings},
    error::Error,
    output::{Format, print, print_json_line, redact},
    platform::{PlatformClient, WatchEvent, WatchEventType},
    watch::Watcher,
};

/// Shows objects and then each change to them, until interrupted
///
///
/// Without a kind, watches the configuration: service, change, certificate, keys. With --output json each line is one
/// event. The command keeps retrying during an outage of the platform.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(command)]
pub struct Watch {
    #[bpaf(external(crate::config::flags))]
    pub(crate) flags: Flags,
    /// Kind of the objects
    #[bpaf(positional::<String>("KIND"), parse(parse_kind), optional)]
    kind: Option<Kind>,
}

impl Watch {
    pub(crate) async fn run(&self, settings: &Settings) -> Result<(), Error> {
        let platform = PlatformClient::new(settings);
        let kinds = match &self.kind {
            Some(kind) => std::slice::from_ref(kind),
            None => &Kind::CONFIG,
        };
        let (mut watcher, mut events) = Watcher::new(&platform, kinds).await?;
        loop {
            for event in &events {
                print_event(settings.format, event)?;
            }
            events = watcher.next().await?;
        }
    }
}

fn print_event(format: Format, event: &WatchEvent) -> Result<(), Error> {
    let object = redact(&event.object);
    if format == Format::Json {
        return print_json_line(&WatchEvent { event_type: event.event_type, object });
    }
    let path = format!("{}/{}", object.kind, object.name);
    let line = match event.event_type {
        WatchEventType::Put => format!("{:>8}  put     {path}  {}\n", object.version, object.spec),
        WatchEventType::Delete => format!("{:>8}  delete  {path}\n", object.version),
    };
    print(line)
}
