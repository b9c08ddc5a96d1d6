//! Tests of the failure detector.

use camphorwinch_core::{
    failure_detector::{
        AGENT_GRACE_MS, BALANCER_GRACE_MS, ExpiredSuspect, FailureDetector, PAUSE_DETECTION_MS,
        Verdict,
    },
    record::Version,
};

const OLD: Version = Version { major: 1, minor: 0 };

fn tick_until(
    detector: &mut FailureDetector,
    from: u64,
    until: u64,
    version: Version,
) -> Vec<String> {
    let mut down = Vec::new();
    let mut now = from;
    while now <= until {
        for ExpiredSuspect { name, verdict } in detector.take_expired(now, true, |_| Some(version))
        {
            assert_eq!(verdict, Verdict::Down);
            down.push(name);
        }
        now += 250;
    }
    down
}

#[test]
fn a_member_is_declared_down_after_the_grace_period() {
    let mut detector = FailureDetector::new();
    detector.suspect("a", OLD, AGENT_GRACE_MS, Verdict::Down);
    assert!(tick_until(&mut detector, 0, AGENT_GRACE_MS - 1, OLD).is_empty());
    assert_eq!(tick_until(&mut detector, AGENT_GRACE_MS, AGENT_GRACE_MS, OLD), ["a"]);
    assert!(detector.is_empty());
}

#[test]
fn a_new_announcement_or_link_ends_the_suspicion() {
    let mut detector = FailureDetector::new();
    detector.suspect("a", OLD, AGENT_GRACE_MS, Verdict::Down);
    assert!(tick_until(&mut detector, 0, 60_000, OLD.next()).is_empty());
    detector.suspect("b", OLD, AGENT_GRACE_MS, Verdict::Down);
    detector.clear("b");
    assert!(tick_until(&mut detector, 0, 60_000, OLD).is_empty());
}

#[test]
fn a_paused_or_disconnected_process_declares_no_member_down() {
    let mut detector = FailureDetector::new();
    assert!(detector.take_expired(0, true, |_| Some(OLD)).is_empty());
    detector.suspect("a", OLD, 2_000, Verdict::Down);
    let resumed = 5_000 + PAUSE_DETECTION_MS;
    assert!(detector.take_expired(resumed, true, |_| Some(OLD)).is_empty());
    assert!(
        tick_until(&mut detector, resumed + 250, resumed + BALANCER_GRACE_MS - 250, OLD).is_empty()
    );
    assert!(detector.contains("a"));
    assert!(detector.take_expired(resumed + BALANCER_GRACE_MS, false, |_| Some(OLD)).is_empty());
    assert_eq!(detector.len(), 1);
}

#[test]
fn links_lost_by_a_local_pause_make_no_member_down() {
    let mut detector = FailureDetector::new();
    assert!(detector.take_expired(0, true, |_| Some(OLD)).is_empty());
    let resumed = 5_000 + PAUSE_DETECTION_MS;
    assert!(detector.take_expired(resumed, true, |_| Some(OLD)).is_empty());
    // The process detects only now that its peers closed their links during the pause.
    detector.suspect("a", OLD, resumed + AGENT_GRACE_MS, Verdict::Down);
    let suppressed_until = resumed + BALANCER_GRACE_MS;
    assert!(tick_until(&mut detector, resumed + 250, suppressed_until - 250, OLD).is_empty());
    assert_eq!(tick_until(&mut detector, suppressed_until, suppressed_until, OLD), ["a"]);
}

#[test]
fn repeated_suspicion_does_not_extend_the_deadline() {
    let mut detector = FailureDetector::new();
    detector.suspect("a", OLD, 1_000, Verdict::Down);
    detector.suspect("a", OLD, 9_000, Verdict::Down);
    assert_eq!(tick_until(&mut detector, 0, 1_000, OLD), ["a"]);
}
