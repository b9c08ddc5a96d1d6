//! The `watch` subcommand.

use bpaf::Bpaf;
use camphorwinch_core::object::Kind;

use super::parse_kind;
use crate::{
    config::{Flags, Settings},
    error::Error,
    output::{Format, print, print_line, redact},
    platform::{Platform, Seen, WatchEvent},
    watch::Watcher,
};

/// Shows objects and then each change to them, until stopped
///
///
/// Without a kind it follows the configuration: service, change, certificate, keys. With --output json each line is
/// one event. It goes on through outages of the platform.
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
        let platform = Platform::new(settings);
        let kinds = match &self.kind {
            Some(kind) => std::slice::from_ref(kind),
            None => &Kind::CONFIG,
        };
        let (mut watcher, mut events) = Watcher::new(&platform, kinds).await?;
        loop {
            for event in &events {
                show(settings.format, event)?;
            }
            events = watcher.next().await?;
        }
    }
}

fn show(format: Format, event: &WatchEvent) -> Result<(), Error> {
    let object = redact(&event.object);
    if format == Format::Json {
        return print_line(&WatchEvent { seen: event.seen, object });
    }
    let at = format!("{}/{}", object.kind, object.name);
    let line = match event.seen {
        Seen::Put => format!("{:>8}  put     {at}  {}\n", object.version, object.spec),
        Seen::Delete => format!("{:>8}  delete  {at}\n", object.version),
    };
    print(line)
}
