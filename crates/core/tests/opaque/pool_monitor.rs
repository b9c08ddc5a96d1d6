//! Detection of full pools.

use camphorwinch_core::opaque::{
    PoolId,
    fleet::{AgentPlan, Fleet, Report},
    pool_monitor::{PoolChange, PoolCheck, PoolMonitor},
};

use crate::support::{POOL, address, report};

const AGENTS: u8 = 10;
const TICK_MS: u64 = 20;

/// Ticks until `until_ms`, with a report of all agents each second, `full(now_ms)` of them full. Returns the changes.
fn run<F>(
    monitor: &mut PoolMonitor,
    fleet: &mut Fleet,
    from_ms: u64,
    until_ms: u64,
    full: F,
) -> Vec<(u64, PoolChange)>
where
    F: Fn(u64) -> u8,
{
    let mut changes = Vec::new();
    for now_ms in (from_ms..until_ms).step_by(TICK_MS as usize) {
        if now_ms % 1_000 == 0 {
            let full = full(now_ms);
            for host in 0..AGENTS {
                let report = report(now_ms, 0);
                let report = Report { full: host < full, service_ms: Some(15), ..report };
                fleet.apply_report(address(host), report, now_ms);
            }
        }
        let mut checks = Vec::new();
        monitor.tick(fleet, now_ms, &mut checks);
        changes.extend(checks.iter().filter_map(|it| Some((now_ms, it.change?))));
    }
    changes
}

// Guards against a line for each report: a pool is reported once when it becomes full and once when it has room.
#[test]
fn full_pool_is_reported_once_and_so_is_its_room() {
    let (mut monitor, mut fleet) = (PoolMonitor::default(), Fleet::default());
    let full = |now_ms| if (5_000..20_000).contains(&now_ms) { 6 } else { 0 };
    let changes = run(&mut monitor, &mut fleet, 0, 40_000, full);
    let [(full_ms, became_full), (room_ms, has_room)] = changes[..] else { panic!("{changes:?}") };
    assert_eq!(became_full, PoolChange::Full { service_ms: Some(15), upstreams: 10 });
    assert!((6_000..7_000).contains(&full_ms), "{full_ms}");
    assert!((23_000..24_000).contains(&room_ms), "{room_ms}");
    let PoolChange::HasRoom { full_ms } = has_room else { panic!("{has_room:?}") };
    assert!((14_500..=15_500).contains(&full_ms), "{full_ms}");
}

// Guards against flapping at the report interval: around either threshold, and from full to empty and back.
#[test]
fn load_that_alternates_with_the_reports_changes_the_state_at_most_once() {
    for (low, high) in [(5, 7), (2, 4), (0, 10)] {
        let (mut monitor, mut fleet) = (PoolMonitor::default(), Fleet::default());
        let alternating = |now_ms| if now_ms / 1_000 % 2 == 0 { low } else { high };
        let changes = run(&mut monitor, &mut fleet, 0, 60_000, alternating);
        assert!(changes.len() <= 1, "{low} {high}: {changes:?}");
        // The same when the pool was full before.
        let (mut monitor, mut fleet) = (PoolMonitor::default(), Fleet::default());
        run(&mut monitor, &mut fleet, 0, 5_000, |_| AGENTS);
        let changes = run(&mut monitor, &mut fleet, 5_000, 60_000, alternating);
        assert!(changes.len() <= 1, "{low} {high}: {changes:?}");
    }
}

// Guards against the report of room in a full pool whose upstreams have all failed, and against a metric of a pool that
// no longer exists.
#[test]
fn silent_pool_does_not_get_room_and_a_removed_one_is_told() {
    let (mut monitor, mut fleet) = (PoolMonitor::default(), Fleet::default());
    let changes = run(&mut monitor, &mut fleet, 0, 5_000, |_| AGENTS);
    assert_eq!(changes.len(), 1);
    let mut checks = Vec::new();
    for now_ms in (5_000..20_000).step_by(TICK_MS as usize) {
        monitor.tick(&fleet, now_ms, &mut checks);
    }
    assert!(checks.iter().all(|it| it.change.is_none()));
    for host in 0..AGENTS {
        let leaving = Report { plan: AgentPlan::Leave, ..report(100_000, 0) };
        fleet.apply_report(address(host), leaving, 20_000);
    }
    checks.clear();
    monitor.tick(&fleet, 20_000, &mut checks);
    assert_eq!(checks, [PoolCheck { pool: POOL, full_percent: None, change: None }]);
}

// Guards against a scan of all agents on each tick at the planned size.
#[test]
fn checks_of_many_pools_are_spread_over_the_ticks() {
    const POOLS: u64 = 680;
    let (mut monitor, mut fleet) = (PoolMonitor::default(), Fleet::default());
    for pool in 0..POOLS {
        let host = std::net::Ipv4Addr::from(0x0a00_0000 + pool as u32);
        let report = Report { pool: PoolId(pool), full: true, ..report(1, 0) };
        fleet.apply_report(std::net::SocketAddrV4::new(host, 7720), report, 0);
    }
    let mut full = std::collections::BTreeSet::new();
    for now_ms in (0..2_600).step_by(TICK_MS as usize) {
        let mut checks = Vec::new();
        monitor.tick(&fleet, now_ms, &mut checks);
        assert!(checks.len() <= 16, "{}", checks.len());
        full.extend(checks.iter().filter(|it| it.change.is_some()).map(|it| it.pool));
    }
    assert_eq!(full.len() as u64, POOLS);
}
