//! Tests of the failure detector.

use camphorwinch_core::{
    record::Version,
    suspect::{AGENT_GRACE_MS, BALANCER_GRACE_MS, Finding, PAUSE_MS, Suspects, Verdict},
};

const OLD: Version = Version { major: 1, minor: 0 };

fn tick_until(suspects: &mut Suspects, from: u64, until: u64, version: Version) -> Vec<String> {
    let mut dead = Vec::new();
    let mut now = from;
    while now <= until {
        for Finding { name, verdict } in suspects.due(now, true, |_| Some(version)) {
            assert_eq!(verdict, Verdict::Dead);
            dead.push(name);
        }
        now += 250;
    }
    dead
}

#[test]
fn a_member_is_declared_dead_after_the_grace_period() {
    let mut suspects = Suspects::new();
    suspects.suspect("a", OLD, AGENT_GRACE_MS, Verdict::Dead);
    assert!(tick_until(&mut suspects, 0, AGENT_GRACE_MS - 1, OLD).is_empty());
    assert_eq!(tick_until(&mut suspects, AGENT_GRACE_MS, AGENT_GRACE_MS, OLD), ["a"]);
    assert!(suspects.is_empty());
}

#[test]
fn a_new_announcement_or_link_ends_the_suspicion() {
    let mut suspects = Suspects::new();
    suspects.suspect("a", OLD, AGENT_GRACE_MS, Verdict::Dead);
    assert!(tick_until(&mut suspects, 0, 60_000, OLD.next()).is_empty());
    suspects.suspect("b", OLD, AGENT_GRACE_MS, Verdict::Dead);
    suspects.clear("b");
    assert!(tick_until(&mut suspects, 0, 60_000, OLD).is_empty());
}

#[test]
fn a_paused_or_disconnected_process_declares_no_member_dead() {
    let mut suspects = Suspects::new();
    assert!(suspects.due(0, true, |_| Some(OLD)).is_empty());
    suspects.suspect("a", OLD, 2_000, Verdict::Dead);
    let resumed = 5_000 + PAUSE_MS;
    assert!(suspects.due(resumed, true, |_| Some(OLD)).is_empty());
    assert!(
        tick_until(&mut suspects, resumed + 250, resumed + BALANCER_GRACE_MS - 250, OLD).is_empty()
    );
    assert!(suspects.contains("a"));
    assert!(suspects.due(resumed + BALANCER_GRACE_MS, false, |_| Some(OLD)).is_empty());
    assert_eq!(suspects.len(), 1);
}

#[test]
fn links_lost_by_a_local_pause_make_no_member_dead() {
    let mut suspects = Suspects::new();
    assert!(suspects.due(0, true, |_| Some(OLD)).is_empty());
    let resumed = 5_000 + PAUSE_MS;
    assert!(suspects.due(resumed, true, |_| Some(OLD)).is_empty());
    // The process detects only now that its peers closed their links during the pause.
    suspects.suspect("a", OLD, resumed + AGENT_GRACE_MS, Verdict::Dead);
    let suppressed_until = resumed + BALANCER_GRACE_MS;
    assert!(tick_until(&mut suspects, resumed + 250, suppressed_until - 250, OLD).is_empty());
    assert_eq!(tick_until(&mut suspects, suppressed_until, suppressed_until, OLD), ["a"]);
}

#[test]
fn repeated_suspicion_does_not_extend_the_deadline() {
    let mut suspects = Suspects::new();
    suspects.suspect("a", OLD, 1_000, Verdict::Dead);
    suspects.suspect("a", OLD, 9_000, Verdict::Dead);
    assert_eq!(tick_until(&mut suspects, 0, 1_000, OLD), ["a"]);
}
