//! Tests of zone reports.

use camphorwinch_core::report::{
    LaggingProcess, Lease, MAX_SUMMARY_CHANGES, MAX_SUMMARY_LAGGING, MemberState, Report,
    RevisionTiming, in_force_in_all_zones, latest_by_zone,
};

const LEASE: &str = r#"{"holder":"bal-1","control":"127.0.0.1:7000","taken_at_ms":3,"report":{"zone":"rvk-a","at_ms":9,
    "in_force":4,"known":5,"processes":2,"behind":[{"name":"ledger-1","in_force":4}],
    "changes":[{"revision":4,"seen_ms":1,"in_force_ms":2}],
    "upstreams":[{"name":"ledger-1","pool":"ledger","vm":"vm-1","zone":"rvk-a","state":"draining","flows":3,"busy":1,
        "slots":7,"since_ms":8}],
    "balancers":[{"name":"bal-1","vm":"vm-9","zone":"rvk-a","state":"sleeping","in_force":5}]}}"#;

fn report(zone: &str, at_ms: u64, in_force: u64) -> Report {
    Report { zone: zone.to_owned(), at_ms, in_force, ..Report::default() }
}

#[test]
fn lease_has_the_documented_shape() {
    let lease: Lease = serde_json::from_str(LEASE).unwrap();
    assert_eq!(lease.taken_ms, 3);
    let report = lease.report.unwrap();
    assert_eq!(report.changes[0].in_force_ms, 2);
    assert_eq!(report.upstreams[0].state, MemberState::Draining);
    assert_eq!(report.balancers[0].state, MemberState::Other);
    assert_eq!(Lease::name("rvk-a", 2), "seed-rvk-a-2");
}

#[test]
fn latest_report_of_each_zone_is_used() {
    let zones = latest_by_zone([report("a", 5, 9), report("a", 4, 2), report("b", 1, 7)]);
    assert_eq!(zones["a"].in_force, 9);
    assert_eq!(in_force_in_all_zones(&zones), Some(7));
    assert_eq!(in_force_in_all_zones(&latest_by_zone([])), None);
}

#[test]
fn a_brief_report_does_not_grow_with_the_zone() {
    let mut report = serde_json::from_str::<Lease>(LEASE).unwrap().report.unwrap();
    report.lagging = 1_000;
    report.behind = vec![LaggingProcess { name: "ledger-1".to_owned(), in_force: 4 }; 1_000];
    let change = |revision| RevisionTiming { revision, ..RevisionTiming::default() };
    report.changes = (1..=64).map(change).collect();
    let summary = report.summary();
    assert_eq!(summary.changes.len(), MAX_SUMMARY_CHANGES);
    assert_eq!(summary.changes.last(), Some(&change(64)), "the newest are kept");
    assert!(summary.upstreams.is_empty() && summary.balancers.is_empty());
    assert_eq!((summary.lagging, summary.behind.len()), (1_000, MAX_SUMMARY_LAGGING));
    let old = Report { in_force: 1, ..report.clone() };
    let joined = summary.with_full_report_members(old);
    assert_eq!((joined.in_force, &joined.upstreams), (4, &report.upstreams));
}
