//! Configurations come in quick succession. In the midst of them all open channels to the store go silent for good.

use std::{thread, time::Duration};

use super::{config, route};
use crate::{
    consumer::End,
    record::Record,
    site::{Site, route_address},
};

const SERVICE: &str = "ledger";
/// Pause between two configurations, and their number, as of `config_storm` in the site file.
const GAP_MS: u64 = 330;
const CHANGES: u64 = 12;
/// Change before which the channels go silent.
const SILENT_BEFORE: u64 = 6;
/// Bounds of the deployment.
const STABLE_WINDOW_MS: u64 = 4_000;
const CONFIG_APPLY_MS: u64 = 3_000;

pub fn run(trouble: bool, record: &Record) -> Result<bool, String> {
    let first = config(4, &[route("r-0", 8_000, SERVICE)], &[SERVICE]);
    let site = Site::start(&first, &[SERVICE; 4], record)?;
    thread::sleep(Duration::from_millis(STABLE_WINDOW_MS));
    // Each change adds a route.
    let mut routes = vec![route("r-0", 8_000, SERVICE)];
    let (mut acked, mut silent_ms) = (Vec::new(), 0);
    for change in 1..=CHANGES {
        if trouble && change == SILENT_BEFORE {
            thread::sleep(Duration::from_millis(GAP_MS / 2));
            site.store.silence_channels();
            silent_ms = record.now_ms();
            record.line("all open channels to the store go silent");
            thread::sleep(Duration::from_millis(GAP_MS / 2));
        } else {
            thread::sleep(Duration::from_millis(GAP_MS));
        }
        let port = 8_000 + change as u16;
        routes.push(route(&format!("r-{change}"), port, SERVICE));
        site.store.put("config", "main", &config(4 + 3 * change, &routes, &[SERVICE]));
        acked.push((port, record.now_ms()));
        record.line(&format!("configuration {} acknowledged: adds port {port}", 4 + 3 * change));
    }
    // The first route that was added after the silence, in later requests than its bound, through fronts in touch.
    let (port, acked_ms) = acked[SILENT_BEFORE as usize - 1];
    let from_ms = (acked_ms + CONFIG_APPLY_MS).max(silent_ms + STABLE_WINDOW_MS) + 50;
    site.wait_until(from_ms);
    let (mut broken, mut served) = (0, 0);
    while record.now_ms() < from_ms + 6_000 {
        let sent_ms = record.now_ms();
        match site.consumers.open(route_address(port)) {
            Ok(mut flow) => served += u32::from(flow.request() == End::Served),
            Err(End::SystemReset) => {
                record.line(&format!(
                    "CONFIG: port {port} refused {} ms after the ack of its route",
                    sent_ms - acked_ms
                ));
                broken += 1;
            }
            Err(_) => {}
        }
        thread::sleep(Duration::from_millis(100));
    }
    record.line(&format!("{broken} opening packets refused after the bound, {served} served"));
    site.record_logs(&["opaque-config-in-force", "opaque-store"]);
    Ok(broken > 0)
}
