//! Signs of life of balancers, and the checks before an entry is withdrawn.

use std::{collections::BTreeSet, net::SocketAddrV4};

use camphorwinch_core::opaque::{
    balancer::{Balancer, Duty},
    balancer_monitor::BalancerMonitor,
};

use crate::support::{ZONE, address};

fn addresses(hosts: std::ops::Range<u8>) -> BTreeSet<SocketAddrV4> {
    hosts.map(address).collect()
}

/// Monitor of balancer 1 in a fleet of balancers 1 to `count`, listed at time 0.
fn monitor(count: u8) -> BalancerMonitor {
    let mut it = BalancerMonitor::default();
    it.set_balancers(&addresses(2..count + 1), 0);
    it
}

/// Runs checks each 100 ms, in which the balancers `alive` are heard of each second; returns how many checks each
/// balancer got, in order.
fn run_checks(
    monitor: &mut BalancerMonitor,
    alive: &[u8],
    from_ms: u64,
    until_ms: u64,
) -> Vec<SocketAddrV4> {
    let mut checks = Vec::new();
    for now in (from_ms..until_ms).step_by(100) {
        if now.is_multiple_of(1_000) {
            alive.iter().for_each(|&it| monitor.record_datagram(address(it), now));
        }
        checks.extend(monitor.checks_due(|_| true, now));
    }
    checks
}

// Guards against duties that stay with balancers that are gone: no one watched the configuration any more.
#[test]
fn duties_pass_to_living_balancers_within_six_seconds() {
    let mut it = monitor(200);
    assert_eq!(it.live(5_900).len(), 199, "listed ones count as alive at first");
    for now in (0..8_000).step_by(1_000) {
        it.record_datagram(address(2), now);
    }
    assert_eq!(it.live(7_000), addresses(2..3));
    let own = Balancer::new(address(1), ZONE);
    assert!(own.duty_rank(Duty::ConfigWatch, &it.live(7_000)).is_some());
    assert!(own.duty_rank(Duty::RemovalWatch, &it.live(7_000)).is_some());
    assert_eq!(own.duty_holders(&it.live(7_000)), addresses(1..3));
}

// Guards against balancers that hear of each other too rarely in a large fleet, in which each sends few hellos.
#[test]
fn signs_of_life_are_told_on_with_their_age() {
    let mut it = monitor(4);
    it.record(address(3), 900);
    assert_eq!(it.age_ms(address(3), 1_000), Some(100));
    it.record(address(3), 400);
    assert_eq!(it.age_ms(address(3), 1_000), Some(100), "an older sign of life");
    assert_eq!(it.age_ms(address(3), 6_900), None);
    // A balancer that is only listed is not told on, and an unknown one not recorded.
    assert_eq!(it.age_ms(address(2), 1_000), None);
    it.record(address(9), 900);
    assert_eq!(it.age_ms(address(9), 1_000), None);
}

#[test]
fn silent_balancer_is_gone_after_several_checks() {
    let mut it = monitor(3);
    let checks = run_checks(&mut it, &[2], 0, 38_000);
    assert_eq!(checks, [address(3); 6]);
    assert_eq!(it.gone().collect::<Vec<_>>(), [address(3)]);
    it.record_datagram(address(3), 38_000);
    assert_eq!(it.gone().count(), 0);
}

// Guards against withdrawals of living balancers over a link that is cut one way: another balancer still hears them.
#[test]
fn balancer_that_another_one_hears_is_not_gone() {
    let mut it = monitor(3);
    for from_ms in (0..120_000).step_by(4_000) {
        run_checks(&mut it, &[2], from_ms, from_ms + 4_000);
        it.record(address(3), from_ms);
        assert_eq!(it.gone().count(), 0, "{from_ms}");
    }
}

// Guards against withdrawals by a balancer that is cut off itself.
#[test]
fn balancer_that_hears_no_other_one_checks_none() {
    let mut it = monitor(5);
    run_checks(&mut it, &[2, 3, 4, 5], 0, 2_000);
    assert!(run_checks(&mut it, &[], 2_000, 200_000).is_empty());
    // After the cut the others are heard of before they have been silent in enough checks.
    let checks = run_checks(&mut it, &[2], 200_000, 205_000);
    assert!(checks.contains(&address(3)));
    run_checks(&mut it, &[2, 3, 4, 5], 205_000, 300_000);
    assert_eq!(it.gone().count(), 0);
}

#[test]
fn stall_of_the_own_process_is_no_silence_of_others() {
    let mut it = monitor(3);
    run_checks(&mut it, &[2, 3], 0, 2_000);
    it.shift(60_000, 62_000);
    assert_eq!(it.live(62_000), addresses(2..4));
    assert!(it.checks_due(|_| true, 62_000).is_empty());
}

// Guards against checks and withdrawals in a large fleet, in which a balancer without a duty is rarely heard of.
#[test]
fn checks_begin_later_in_a_large_fleet() {
    let mut it = monitor(120);
    assert!(run_checks(&mut it, &[2], 0, 118_000).is_empty());
    assert_eq!(it.present(118_000).len(), 119);
    assert!(!run_checks(&mut it, &[2], 118_000, 122_000).is_empty());
    assert_eq!(it.present(122_000), addresses(2..3));
}

// Guards against checks of each balancer by all others.
#[test]
fn only_responsible_balancers_check() {
    let mut it = monitor(3);
    for now in (0..60_000).step_by(100) {
        it.record_datagram(address(2), now);
        assert!(it.checks_due(|_| false, now).is_empty());
    }
    assert_eq!(it.gone().count(), 0);
}
