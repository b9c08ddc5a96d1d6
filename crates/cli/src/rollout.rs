//! Rollout of revisions, from the reports of the zones.

use std::collections::BTreeMap;

use camphorwinch_core::{
    object::{Kind, Object},
    report::{Lease, Report, in_force_in_all_zones, latest_by_zone},
};
use serde::Deserialize as _;

use crate::{error::Error, platform::PlatformClient};

/// Latest report of each zone. Summaries come from lease objects, full reports from report objects. Objects that cannot
/// be parsed are skipped.
pub fn latest_reports(objects: &[Object]) -> BTreeMap<String, Report> {
    let mut summaries = Vec::new();
    for object in objects {
        let Ok(lease) = Lease::deserialize(&object.spec) else { continue };
        summaries.extend(lease.report);
    }
    let mut zones = latest_by_zone(summaries);
    for (zone, full) in full_reports(objects) {
        let report = match zones.remove(&zone) {
            Some(it) if it.upstreams.is_empty() && it.balancers.is_empty() => {
                it.with_full_report_members(full)
            }
            Some(it) => it,
            None => full,
        };
        zones.insert(zone, report);
    }
    zones
}

/// Latest full report of each zone, from report objects.
pub fn full_reports(objects: &[Object]) -> BTreeMap<String, Report> {
    let objects = objects.iter().filter(|it| it.kind == Kind::Report.as_str());
    latest_by_zone(objects.filter_map(|it| Report::deserialize(&it.spec).ok()))
}

/// Describes the zones where a revision is not yet in force; `None` if it is in force in every zone.
pub fn lagging_zones(zones: &BTreeMap<String, Report>, revision: u64) -> Option<String> {
    match in_force_in_all_zones(zones) {
        Some(it) if it >= revision => return None,
        Some(_) => {}
        None => return Some("no zone has reported".to_owned()),
    }
    let mut lagging = Vec::new();
    for (zone, report) in zones {
        if report.in_force >= revision {
            continue;
        }
        let names: Vec<&str> = report.behind.iter().map(|it| it.name.as_str()).collect();
        let names = if names.is_empty() { "not listed".to_owned() } else { names.join(", ") };
        lagging.push(format!(
            "zone {zone} is at revision {} (lagging processes: {names})",
            report.in_force
        ));
    }
    Some(lagging.join("; "))
}

/// Waits until a revision is in force in every zone; [`Error::NotInForce`] after the timeout.
pub async fn wait_in_force(
    platform: &PlatformClient,
    revision: u64,
) -> Result<BTreeMap<String, Report>, Error> {
    wait_for_reports(platform, revision, Kind::Lease, latest_reports).await
}

/// Waits until the full report of every zone has a revision in force; [`Error::NotInForce`] after the timeout. Full
/// reports come later than summaries; their upstream state is from after the revision came into force.
pub async fn wait_in_force_full(
    platform: &PlatformClient,
    revision: u64,
) -> Result<BTreeMap<String, Report>, Error> {
    let summaries = wait_in_force(platform, revision).await?;
    let full = wait_for_reports(platform, revision, Kind::Report, full_reports).await?;
    if let Some(zone) = summaries.keys().find(|it| !full.contains_key(*it)) {
        let reason = format!("zone {zone} has no full report");
        return Err(Error::NotInForce { revision, reason });
    }
    Ok(full)
}

async fn wait_for_reports(
    platform: &PlatformClient,
    revision: u64,
    kind: Kind,
    parse: fn(&[Object]) -> BTreeMap<String, Report>,
) -> Result<BTreeMap<String, Report>, Error> {
    let mut backoff = platform.backoff();
    loop {
        let zones = parse(&platform.list(kind).await?.items);
        let Some(reason) = lagging_zones(&zones, revision) else {
            return Ok(zones);
        };
        if !backoff.wait(None).await {
            return Err(Error::NotInForce { revision, reason });
        }
    }
}
