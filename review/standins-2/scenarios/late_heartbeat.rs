//! A daemon beside a target is stopped and started. A heartbeat of the target's former boot, which a cut delayed,
//! arrives before the next heartbeat of the present boot.

use std::{net::SocketAddrV4, thread, time::Duration};

use super::{config, route};
use crate::{
    consumer::{End, Flow},
    platform,
    process::CONTROL_PORT,
    record::Record,
    site::{Site, route_address},
    target::Target,
};

const SERVICE: &str = "ledger";
/// Bounds of the deployment.
const STABLE_WINDOW_MS: u64 = 4_000;
const MAX_FLOW_MS: u64 = 60_000;
const IDLE_TIMEOUT_MS: u64 = 15_000;
const FLOWS: usize = 24;
/// Length of the cut, as of `node_cut` in the site file.
const CUT_MS: u64 = 5_500;

pub fn run(trouble: bool, record: &Record) -> Result<bool, String> {
    let first = config(4, &[route("r-1", 8443, SERVICE)], &[SERVICE]);
    let mut site = Site::start(&first, &[SERVICE; 4], record)?;
    let control = SocketAddrV4::new(site.side_ip(0), CONTROL_PORT);

    // The first boot on side-0 is cut off, says one more heartbeat into the cut, and crashes.
    let former = site.targets[0].clone();
    former.set_cut(true);
    let cut_ms = record.now_ms();
    thread::sleep(Duration::from_millis(1_200));
    let (path, body) = former.next_heartbeat();
    record.line(&format!("heartbeat of {} is held up by the cut: {body}", former.id));
    former.crash();
    site.wait_until(cut_ms + CUT_MS);
    record.line("the cut ends");

    // The next boot registers at the same address.
    let present = Target::start("i-0-2", site.side_ip(0), SERVICE, "za", record);
    let present = present.map_err(|e| format!("target: {e}"))?;
    site.targets[0] = present.clone();
    thread::sleep(Duration::from_millis(4_000));
    let mut flows = open_flows(&site)?;
    let on_present = flows.iter().filter(|it| present.holds(&it.ends)).count();
    record.line(&format!("{on_present} of {FLOWS} flows are at {}", present.id));
    if on_present == 0 {
        return Err("no flow at the target".to_owned());
    }
    thread::sleep(Duration::from_millis(1_000));

    // Planned: the daemon on side-0 is stopped and started.
    record.line("SIGTERM to the daemon on side-0");
    let in_time = site.sides[0].stop();
    record.line(&format!("the daemon on side-0 ended, within the grace time: {in_time}"));
    thread::sleep(Duration::from_millis(300));
    site.sides[0].start(false).map_err(|e| format!("start: {e}"))?;
    record.line("the daemon on side-0 starts");
    let started_ms = record.now_ms();
    if trouble {
        deliver_late(control, &path, &body, record)?;
    }
    // The flows pause, less than the idle timeout.
    site.wait_until(started_ms + 9_000);

    let mut broken = 0;
    for flow in &mut flows {
        let held = present.holds(&flow.ends);
        let (idle_ms, resets) = (record.now_ms() - flow.used_ms, present.resets_sent());
        let age_ms = record.now_ms() - flow.opened_ms;
        let end = flow.request();
        let undisturbed = record.now_ms() - started_ms > STABLE_WINDOW_MS;
        let counts = age_ms <= MAX_FLOW_MS && idle_ms <= IDLE_TIMEOUT_MS && undisturbed;
        if end == End::SystemReset && held && counts && present.resets_sent() == resets {
            record.line(&format!(
                "FLOW: {} was reset by the system; {} lives and holds it; idle for {idle_ms} ms, \
                 {age_ms} ms old",
                flow.ends.0, present.id
            ));
            broken += 1;
        }
    }
    record.line(&format!("{broken} flows of a living target were reset by the system"));
    let port = |it: &Flow| it.ends.0.to_string();
    let words: Vec<String> = flows.first().map(port).into_iter().collect();
    let mut words: Vec<&str> = words.iter().map(String::as_str).collect();
    words.extend(["opaque-upstream", "not-held"]);
    site.record_logs(&words);
    Ok(broken > 0)
}

/// Opens flows and sends a request on each.
fn open_flows(site: &Site) -> Result<Vec<Flow>, String> {
    let mut flows = Vec::new();
    for _ in 0..FLOWS {
        let mut flow = site.consumers.open(route_address(8443)).map_err(|e| format!("{e:?}"))?;
        let end = flow.request();
        if end != End::Served {
            return Err(format!("first request: {end:?}"));
        }
        flows.push(flow);
    }
    Ok(flows)
}

/// The held heartbeat arrives as soon as the daemon takes calls.
fn deliver_late(
    control: SocketAddrV4,
    path: &str,
    body: &str,
    record: &Record,
) -> Result<(), String> {
    for _ in 0..300 {
        if let Some(status) = platform::call(control, "POST", path, body) {
            record.line(&format!("the held heartbeat arrives at the daemon: {status}"));
            return Ok(());
        }
        thread::sleep(Duration::from_millis(5));
    }
    Err("the daemon took no call".to_owned())
}
