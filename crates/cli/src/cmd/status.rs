//! The `status` subcommand.

use std::time::{SystemTime, UNIX_EPOCH};

use bpaf::Bpaf;
use camphorwinch_core::object::Kind;

use super::parse_name;
use crate::{
    config::{Flags, Settings},
    error::Error,
    output::{Format, print, print_json},
    platform::PlatformClient,
    status,
};

/// Shows which configuration is in force in which zone, and the flows, load and drain progress of the upstreams
///
///
/// The data comes from the reports that each zone writes to the platform every few seconds.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(command)]
pub struct Status {
    #[bpaf(external(crate::config::flags))]
    pub(crate) flags: Flags,
    /// Only this service and its upstreams
    #[bpaf(argument::<String>("NAME"), parse(parse_name), optional)]
    service: Option<String>,
}

impl Status {
    pub(crate) async fn run(&self, settings: &Settings) -> Result<(), Error> {
        let platform = PlatformClient::new(settings);
        let mut reports = platform.list(Kind::Lease).await?.items;
        reports.extend(platform.list(Kind::Report).await?.items);
        let mut config = Vec::new();
        for kind in Kind::CONFIG {
            config.extend(platform.list(kind).await?.items);
        }
        let mut status = status::Status::new(&reports, &config);
        if let Some(service) = &self.service {
            if !status.retain_service(service) {
                let object = format!("{}/{service}", Kind::Service);
                return Err(Error::NotFound { object, peer: platform.authority() });
            }
        }
        match settings.format {
            Format::Json => print_json(&status),
            Format::Table => print(status.tables(now_ms())),
        }
    }
}

fn now_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}
