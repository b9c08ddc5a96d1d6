//! A daemon beside a target leaves, as planned, while a front starts again. The target lives until its machine is gone.

use std::{
    thread,
    time::{Duration, Instant},
};

use super::{config, route};
use crate::{
    consumer::End,
    record::Record,
    site::{Site, route_address},
};

const SERVICE: &str = "ledger";
const FLOWS: usize = 24;
/// Time from SIGTERM until the machine with the target is gone.
const GRACE: Duration = Duration::from_secs(6);
/// Time from SIGTERM until consumers use their flows again.
const PAUSE: Duration = Duration::from_millis(5_300);

pub fn run(trouble: bool, record: &Record) -> Result<bool, String> {
    let first = config(4, &[route("r-1", 8443, SERVICE)], &[SERVICE]);
    let mut site = Site::start(&first, &[SERVICE; 4], record)?;
    let target = site.targets[0].clone();
    let mut flows = Vec::new();
    for _ in 0..FLOWS {
        let mut flow = site.consumers.open(route_address(8443)).map_err(|e| format!("{e:?}"))?;
        match flow.request() {
            End::Served => flows.push(flow),
            end => return Err(format!("first request: {end:?}")),
        }
    }
    record.line("SIGTERM to the daemon on front-0");
    site.fronts[0].stop();
    record.line("the daemon on front-0 ended");

    record.line("SIGTERM to the daemon on side-0");
    let told = Instant::now();
    site.sides[0].stop();
    record.line("the daemon on side-0 ended");
    thread::sleep(Duration::from_millis(300));
    site.fronts[0].start(false).map_err(|e| format!("start: {e}"))?;
    record.line("the daemon on front-0 starts");
    if !trouble {
        site.sides[0].start(false).map_err(|e| format!("start: {e}"))?;
        record.line("the daemon on side-0 starts");
    }
    thread::sleep(PAUSE.saturating_sub(told.elapsed()));
    flows.retain(|it| target.holds(&it.ends));
    record.line(&format!("{} flows are at {}, which lives", flows.len(), target.id));
    let used: Vec<_> = flows
        .into_iter()
        .map(|mut flow| {
            thread::spawn(move || {
                let end = flow.request();
                (flow, end, Instant::now())
            })
        })
        .collect();
    thread::sleep(GRACE.saturating_sub(told.elapsed()));
    let resets = target.resets_sent();
    if trouble {
        target.crash();
        record.line("the machine side-0 is gone");
    }
    let mut broken = 0;
    for it in used {
        let (flow, end, at) = it.join().map_err(|_| "a consumer panicked".to_owned())?;
        let after = at.duration_since(told);
        if end == End::SystemReset && after < GRACE && resets == 0 {
            record.line(&format!(
                "FLOW: {} was reset by the system {} ms after the SIGTERM, while {} lived and held it",
                flow.ends.0,
                after.as_millis(),
                target.id
            ));
            broken += 1;
        }
    }
    record.line(&format!("{broken} flows of a living target were reset by the system"));
    site.record_logs(&["not-held", "\"plan\":\"Restart\""]);
    Ok(broken > 0)
}
