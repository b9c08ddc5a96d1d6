//! Whether a revision is in force everywhere.

use std::collections::BTreeMap;

use camphorwinch_core::{
    object::{Kind, Object},
    report::{Lease, Report, freshest, in_force},
};
use serde::Deserialize as _;

use crate::{error::Error, platform::Platform};

/// The freshest report of each zone, out of the lease objects. A lease that is not readable counts as none.
pub fn reports(leases: &[Object]) -> BTreeMap<String, Report> {
    let mut reports = Vec::new();
    for object in leases {
        let Ok(lease) = Lease::deserialize(&object.spec) else { continue };
        reports.extend(lease.report);
    }
    freshest(reports)
}

/// Which zones keep a revision from being in force everywhere; `None` when none does.
pub fn pending(zones: &BTreeMap<String, Report>, revision: u64) -> Option<String> {
    match in_force(zones) {
        Some(it) if it >= revision => return None,
        Some(_) => {}
        None => return Some("no zone has reported".to_owned()),
    }
    let mut lags = Vec::new();
    for (zone, report) in zones {
        if report.in_force >= revision {
            continue;
        }
        let names: Vec<&str> = report.behind.iter().map(|it| it.name.as_str()).collect();
        let names = if names.is_empty() { "no names".to_owned() } else { names.join(", ") };
        lags.push(format!("zone {zone} is at {} (behind: {names})", report.in_force));
    }
    Some(lags.join("; "))
}

/// Waits until a revision is in force in every zone, for at most the timeout.
pub async fn wait(platform: &Platform, revision: u64) -> Result<BTreeMap<String, Report>, Error> {
    let mut retry = platform.retry();
    loop {
        let zones = reports(&platform.list(Kind::Lease).await?.items);
        let Some(reason) = pending(&zones, revision) else {
            return Ok(zones);
        };
        if !retry.pause(None).await {
            return Err(Error::Pending { revision, reason });
        }
    }
}
