//! The time of day of a side machine jumps ahead and back again while a target there crashes behind a cut and starts
//! again. The heartbeat that the crashed boot sent into the cut arrives later.

use std::{
    net::SocketAddrV4,
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use super::{config, route};
use crate::{
    consumer::End,
    platform,
    process::CONTROL_PORT,
    record::Record,
    site::{Site, route_address},
    target::Target,
};

const SERVICE: &str = "ledger";
const FLOWS: usize = 24;
/// Jump of the clock, as of `clock_step` in the site file.
const JUMP_MS: u64 = 2_400;
/// Length of the cut, as of `node_cut` in the site file.
const CUT_MS: u64 = 5_500;
/// Bounds of the deployment.
const STABLE_WINDOW_MS: u64 = 4_000;
const MAX_FLOW_MS: u64 = 60_000;

pub fn run(trouble: bool, record: &Record) -> Result<bool, String> {
    let first = config(4, &[route("r-1", 8443, SERVICE)], &[SERVICE]);
    let others = |at: usize, ip, zone: &str| {
        Target::start_with(&format!("i-{at}-1"), ip, SERVICE, zone, Some(clock()), false, record)
    };
    let site = Site::start_with(&first, &[SERVICE; 4], 1, record, others)?;
    let control = SocketAddrV4::new(site.side_ip(0), CONTROL_PORT);
    let ip = site.side_ip(0);

    // A target starts on side-0 behind a cut; the clock of the machine is ahead.
    let ahead = if trouble { JUMP_MS } else { 0 };
    record.line(&format!("the time of day on side-0 is {ahead} ms ahead"));
    site.serve_health(0)?;
    let born = clock() + ahead;
    let failed = |e: std::io::Error| format!("target: {e}");
    let crashed = Target::start_with("i-0-1", ip, SERVICE, "za", Some(born), true, record);
    let crashed = crashed.map_err(failed)?;
    let cut_ms = record.now_ms();
    let (path, body) = crashed.next_heartbeat();
    record.line(&format!("heartbeat of i-0-1 is held up by the cut: {body}"));
    thread::sleep(Duration::from_millis(1_000));
    crashed.crash();

    // The clock jumps back. The target starts again, still behind the cut.
    thread::sleep(Duration::from_millis(400));
    record.line("the time of day on side-0 is true");
    let present = Target::start_with("i-0-2", ip, SERVICE, "za", Some(clock()), true, record);
    let present = present.map_err(failed)?;
    site.wait_until(cut_ms + CUT_MS);
    present.set_cut(false);
    let healed_ms = record.now_ms();
    thread::sleep(Duration::from_millis(STABLE_WINDOW_MS + 500));

    let mut flows = Vec::new();
    for _ in 0..FLOWS {
        let mut flow = site.consumers.open(route_address(8443)).map_err(|e| format!("{e:?}"))?;
        match flow.request() {
            End::Served => flows.push(flow),
            end => return Err(format!("first request: {end:?}")),
        }
    }
    let count = flows.iter().filter(|it| present.holds(&it.ends)).count();
    record.line(&format!("{count} of {FLOWS} flows are at i-0-2"));
    if count == 0 {
        return Err("no flow at the target".to_owned());
    }
    thread::sleep(Duration::from_millis(2_500));
    let status = platform::call(control, "POST", &path, &body);
    record.line(&format!("the held heartbeat arrives at the daemon: {status:?}"));
    thread::sleep(Duration::from_millis(500));

    let mut broken = 0;
    for flow in &mut flows {
        let (held, resets) = (present.holds(&flow.ends), present.resets_sent());
        let end = flow.request();
        let age_ms = record.now_ms() - flow.opened_ms;
        let undisturbed = record.now_ms() - healed_ms > STABLE_WINDOW_MS;
        let counts = age_ms <= MAX_FLOW_MS && undisturbed && present.resets_sent() == resets;
        if end == End::SystemReset && held && counts {
            record.line(&format!(
                "FLOW: {} was reset by the system; i-0-2 lives and holds it; {age_ms} ms old",
                flow.ends.0
            ));
            broken += 1;
        }
    }
    record.line(&format!("{broken} flows of a living target were reset by the system"));
    // What becomes of the present boot's heartbeats.
    thread::sleep(Duration::from_millis(3_000));
    site.record_logs(&["opaque-upstream", "opaque-heartbeat", "upstream-ended"]);
    Ok(broken > 0)
}

/// The true time of day.
fn clock() -> u64 {
    let passed = SystemTime::now().duration_since(UNIX_EPOCH).expect("a time after 1970");
    passed.as_millis() as u64
}
