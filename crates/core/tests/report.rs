//! Tests of zone reports.

use camphorwinch_core::report::{
    Applied, BRIEF_BEHIND, BRIEF_CHANGES, Behind, Lease, Report, State, freshest, in_force,
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
    assert_eq!(report.changes[0].done_ms, 2);
    assert_eq!(report.upstreams[0].state, State::Draining);
    assert_eq!(report.balancers[0].state, State::Other);
    assert_eq!(Lease::name("rvk-a", 2), "seed-rvk-a-2");
}

#[test]
fn latest_report_of_each_zone_is_used() {
    let zones = freshest([report("a", 5, 9), report("a", 4, 2), report("b", 1, 7)]);
    assert_eq!(zones["a"].in_force, 9);
    assert_eq!(in_force(&zones), Some(7));
    assert_eq!(in_force(&freshest([])), None);
}

#[test]
fn a_brief_report_does_not_grow_with_the_zone() {
    let mut report = serde_json::from_str::<Lease>(LEASE).unwrap().report.unwrap();
    report.lagging = 1_000;
    report.behind = vec![Behind { name: "ledger-1".to_owned(), in_force: 4 }; 1_000];
    let change = |revision| Applied { revision, ..Applied::default() };
    report.changes = (1..=64).map(change).collect();
    let brief = report.brief();
    assert_eq!(brief.changes.len(), BRIEF_CHANGES);
    assert_eq!(brief.changes.last(), Some(&change(64)), "the newest are kept");
    assert!(brief.upstreams.is_empty() && brief.balancers.is_empty());
    assert_eq!((brief.lagging, brief.behind.len()), (1_000, BRIEF_BEHIND));
    let old = Report { in_force: 1, ..report.clone() };
    let joined = brief.with_members(old);
    assert_eq!((joined.in_force, &joined.upstreams), (4, &report.upstreams));
}
