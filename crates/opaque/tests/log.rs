//! Rate limits of the log.

use camphorwinch_opaque::log::{FLOW_LINES_BURST, FLOW_LINES_PER_S, Limiter};

#[test]
fn log_rate_is_bounded_under_load() {
    let mut limiter = Limiter::new(0);
    // 100,000 decisions a second for ten seconds.
    let lines = (0..1_000_000u64).filter(|it| limiter.allow(it / 100)).count() as u32;
    assert!(lines <= FLOW_LINES_BURST + 10 * FLOW_LINES_PER_S, "{lines}");
    assert!(lines >= 10 * FLOW_LINES_PER_S, "{lines}");
    assert_eq!(limiter.take_suppressed(), 1_000_000 - u64::from(lines));
    assert_eq!(limiter.take_suppressed(), 0);
}

#[test]
fn normal_rate_is_not_limited() {
    let mut limiter = Limiter::new(0);
    for at in 0..1_000 {
        assert!(limiter.allow(at * 25), "{at}");
    }
}
