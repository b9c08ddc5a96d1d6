//! A configuration moves a route to another service. Then a front is stopped and started, and the routers send its open
//! flows to the other one.

use std::{thread, time::Duration};

use super::{config, route};
use crate::{
    consumer::End,
    record::Record,
    site::{Site, route_address},
};

const OLD: &str = "ledger";
const NEW: &str = "ledger-next";
const MAX_FLOW_MS: u64 = 60_000;
const FLOWS: usize = 16;

pub fn run(trouble: bool, record: &Record) -> Result<bool, String> {
    let services = [OLD, NEW];
    let first = config(4, &[route("r-1", 8443, OLD)], &services);
    let mut site = Site::start(&first, &[OLD, OLD, OLD, NEW, NEW, NEW], record)?;
    let mut flows = Vec::new();
    for _ in 0..FLOWS {
        let mut flow = site.consumers.open(route_address(8443)).map_err(|e| format!("{e:?}"))?;
        match flow.request() {
            End::Served => flows.push(flow),
            end => return Err(format!("first request: {end:?}")),
        }
    }
    if trouble {
        site.store.put("config", "main", &config(9, &[route("r-1", 8443, NEW)], &services));
        record.line("configuration 9 acknowledged: r-1 goes to ledger-next");
    }
    thread::sleep(Duration::from_millis(5_000));
    // Shows that the configuration is in force, and that it alone leaves the flows where they are.
    let serving = if trouble { NEW } else { OLD };
    for _ in 0..4 {
        let mut flow = site.consumers.open(route_address(8443)).map_err(|e| format!("{e:?}"))?;
        flow.request();
        let holder = site.targets.iter().find(|it| it.holds(&flow.ends));
        if holder.is_none_or(|it| it.service != serving) {
            return Err(format!("a new flow is not at {serving}"));
        }
    }
    for flow in &mut flows {
        if flow.request() != End::Served {
            return Err("a flow ended before the stop".to_owned());
        }
    }
    record.line("SIGTERM to the daemon on front-0");
    let in_time = site.fronts[0].stop();
    record.line(&format!("the daemon on front-0 ended, within the grace time: {in_time}"));
    thread::sleep(Duration::from_millis(300));
    site.fronts[0].start(false).map_err(|e| format!("start: {e}"))?;
    record.line("the daemon on front-0 starts");
    let mut broken = 0;
    for flow in &mut flows {
        let holder = site.targets.iter().find(|it| it.holds(&flow.ends));
        let resets = holder.map_or(0, |it| it.resets_sent());
        let age_ms = record.now_ms() - flow.opened_ms;
        let end = flow.request();
        let Some(holder) = holder.filter(|it| it.is_alive() && it.resets_sent() == resets) else {
            continue;
        };
        if end == End::SystemReset && age_ms <= MAX_FLOW_MS {
            record.line(&format!(
                "FLOW: {} was reset by the system; {} lives and holds it; {age_ms} ms old",
                flow.ends.0, holder.id
            ));
            broken += 1;
        }
    }
    record.line(&format!("{broken} flows of living targets were reset by the system"));
    site.record_logs(&["not-held", "opaque-config-in-force"]);
    Ok(broken > 0)
}
