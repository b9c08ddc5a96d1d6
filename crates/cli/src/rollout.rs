//! Whether a revision is in force everywhere.

use std::collections::BTreeMap;

use camphorwinch_core::{
    object::{Kind, Object},
    report::{Lease, Report, freshest, in_force},
};
use serde::Deserialize as _;

use crate::{error::Error, platform::Platform};

/// The freshest report of each zone, out of lease objects with brief reports and of whole reports. An object that is
/// not readable counts as none.
pub fn reports(objects: &[Object]) -> BTreeMap<String, Report> {
    let mut brief = Vec::new();
    for object in objects {
        let Ok(lease) = Lease::deserialize(&object.spec) else { continue };
        brief.extend(lease.report);
    }
    let mut zones = freshest(brief);
    for (zone, whole) in whole_reports(objects) {
        let report = match zones.remove(&zone) {
            Some(it) if it.upstreams.is_empty() && it.balancers.is_empty() => {
                it.with_members(whole)
            }
            Some(it) => it,
            None => whole,
        };
        zones.insert(zone, report);
    }
    zones
}

/// The whole report of each zone, out of the report objects.
pub fn whole_reports(objects: &[Object]) -> BTreeMap<String, Report> {
    let objects = objects.iter().filter(|it| it.kind == Kind::Report.as_str());
    freshest(objects.filter_map(|it| Report::deserialize(&it.spec).ok()))
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
    wait_by(platform, revision, Kind::Lease, reports).await
}

/// Waits until whole reports say that a revision is in force in every zone, for at most the timeout. They come later
/// than the brief ones, but what they say about upstreams was true after the revision was in force.
pub async fn wait_whole(
    platform: &Platform,
    revision: u64,
) -> Result<BTreeMap<String, Report>, Error> {
    let brief = wait(platform, revision).await?;
    let whole = wait_by(platform, revision, Kind::Report, whole_reports).await?;
    if let Some(zone) = brief.keys().find(|it| !whole.contains_key(*it)) {
        let reason = format!("zone {zone} has no whole report");
        return Err(Error::Pending { revision, reason });
    }
    Ok(whole)
}

async fn wait_by(
    platform: &Platform,
    revision: u64,
    kind: Kind,
    read: fn(&[Object]) -> BTreeMap<String, Report>,
) -> Result<BTreeMap<String, Report>, Error> {
    let mut retry = platform.retry();
    loop {
        let zones = read(&platform.list(kind).await?.items);
        let Some(reason) = pending(&zones, revision) else {
            return Ok(zones);
        };
        if !retry.pause(None).await {
            return Err(Error::Pending { revision, reason });
        }
    }
}
