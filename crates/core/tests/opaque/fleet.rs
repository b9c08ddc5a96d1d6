use camphorwinch_core::opaque::fleet::{
    AgentPlan, Fleet, MemberEntry, Report, ReportChange, UpstreamState, ZoneId,
};

use crate::support::{POOL, ZONE, address, report};

const OTHER_ZONE: ZoneId = ZoneId(2);

fn fleet(own: u8, other: u8) -> Fleet {
    let mut fleet = Fleet::default();
    for host in 0..own + other {
        let zone = if host < own { ZONE } else { OTHER_ZONE };
        fleet.apply_report(address(host), Report { zone, ..report(1, 0) }, 0);
    }
    fleet
}

fn candidate_hosts(fleet: &Fleet, hash: u64, now_ms: u64) -> Vec<u8> {
    let agents = fleet.candidates(POOL, hash, ZONE, None, &[], now_ms).agents;
    agents.iter().map(|it| it.ip().octets()[3]).collect()
}

#[test]
fn own_zone_candidates_come_first_and_take_at_most_half_of_the_places() {
    for hash in 0..50 {
        let hosts = candidate_hosts(&fleet(10, 10), hash, 0);
        assert_eq!(hosts.len(), 8);
        assert!(hosts[..4].iter().all(|&it| it < 10), "{hosts:?}");
        assert!(hosts[4..].iter().all(|&it| it >= 10), "{hosts:?}");
    }
    assert_eq!(candidate_hosts(&fleet(10, 1), 0, 0).len(), 8);
    assert_eq!(candidate_hosts(&fleet(2, 2), 0, 0).len(), 4);
}

#[test]
fn silent_draining_and_pausing_agents_get_no_flows() {
    let mut fleet = fleet(4, 0);
    fleet.apply_report(
        address(0),
        Report { upstream: UpstreamState::Draining, ..report(2, 0) },
        100,
    );
    fleet.apply_report(address(1), Report { plan: AgentPlan::Pause, ..report(2, 0) }, 100);
    fleet.apply_report(address(2), report(2, 0), 3_000);
    assert_eq!(candidate_hosts(&fleet, 9, 3_000), [2]);
}

// A restarted agent beside a draining upstream got new flows as a last resort.
#[test]
fn an_upstream_stays_draining_when_its_agent_restarts() {
    let mut fleet = fleet(1, 0);
    fleet.apply_report(address(0), Report { upstream: UpstreamState::Draining, ..report(2, 0) }, 1);
    let restarted = Report { incarnation: 2, upstream: UpstreamState::Unknown, ..report(1, 0) };
    fleet.apply_report(address(0), restarted, 2);
    assert!(candidate_hosts(&fleet, 0, 2).is_empty());
    fleet.apply_report(address(0), Report { incarnation: 2, ..report(2, 0) }, 3);
    assert_eq!(candidate_hosts(&fleet, 0, 3), [0]);
}

#[test]
fn an_upstream_of_unknown_state_comes_last() {
    let mut fleet = fleet(1, 3);
    fleet.apply_report(address(0), Report { upstream: UpstreamState::Unknown, ..report(2, 0) }, 1);
    for hash in 0..20 {
        assert_eq!(candidate_hosts(&fleet, hash, 1).last(), Some(&0));
    }
}

#[test]
fn a_candidate_to_avoid_comes_last() {
    let fleet = fleet(4, 0);
    let first = fleet.candidates(POOL, 3, ZONE, None, &[], 0).agents[0];
    let again = fleet.candidates(POOL, 3, ZONE, Some(first), &[], 0).agents;
    assert_eq!(again.last(), Some(&first));
}

#[test]
fn old_reports_change_nothing() {
    let mut fleet = fleet(1, 0);
    assert_eq!(fleet.apply_report(address(0), report(5, 10), 1), ReportChange::None);
    let old = Report { upstream: UpstreamState::Draining, ..report(4, 10) };
    assert_eq!(fleet.apply_report(address(0), old, 2), ReportChange::Old);
    assert_eq!(candidate_hosts(&fleet, 0, 2), [0]);
    let restarting = Report { plan: AgentPlan::Restart, ..report(6, 10) };
    assert_eq!(fleet.apply_report(address(0), restarting, 3), ReportChange::Away);
    assert!(fleet.is_restarting(address(0)));
    let back = Report { incarnation: 2, ..report(1, 10) };
    assert_eq!(fleet.apply_report(address(0), back, 4), ReportChange::Restarted);
    assert!(!fleet.is_restarting(address(0)));
}

#[test]
fn the_limit_follows_the_mean_load() {
    let mut fleet = fleet(2, 0);
    fleet.apply_report(address(0), report(2, 1_000), 1);
    fleet.apply_report(address(1), report(2, 2_000), 1);
    let limit = fleet.candidates(POOL, 0, ZONE, None, &[], 1).limit;
    assert!((1_500..1_600).contains(&limit), "{limit}");
}

#[test]
fn an_agent_that_announced_its_restart_counts_as_gone_later() {
    let mut fleet = fleet(2, 0);
    fleet.apply_report(address(0), Report { plan: AgentPlan::Restart, ..report(2, 0) }, 0);
    assert!(!fleet.is_gone(address(0), 5_000));
    assert!(fleet.is_gone(address(1), 5_000));
    assert!(fleet.is_gone(address(0), 11_000));
    assert!(fleet.is_gone(address(9), 0));
}

#[test]
fn an_agent_without_an_upstream_is_gone_once_silent() {
    let mut fleet = fleet(1, 0);
    fleet.apply_report(address(0), Report { upstream: UpstreamState::Ended, ..report(2, 0) }, 0);
    assert!(!fleet.is_gone(address(0), 2_000));
    assert!(fleet.is_gone(address(0), 3_000));
}

#[test]
fn a_listed_agent_is_sent_hellos_until_it_reports() {
    let mut fleet = Fleet::default();
    let listed = MemberEntry { address: address(1), pool: Some(POOL), zone: ZONE };
    fleet.sync_members(&[listed], 1_000);
    assert_eq!(fleet.hello_recipients(1_000), [address(1)]);
    assert!(fleet.hello_recipients(1_500).is_empty());
    assert_eq!(fleet.hello_recipients(2_100), [address(1)]);
    fleet.apply_report(address(1), report(1, 0), 2_200);
    assert!(fleet.hello_recipients(3_300).is_empty());
    assert_eq!(fleet.hello_recipients(3_900), [address(1)]);
}

#[test]
fn an_unlisted_agent_is_kept_while_it_reports() {
    let mut fleet = fleet(1, 0);
    fleet.sync_members(&[], 100);
    assert_eq!(fleet.len(), 1);
    fleet.sync_members(&[], 10_000);
    assert!(fleet.is_empty());
}
