//! Order of requests that wait for a slot.

use std::cmp::Reverse;

use camphorwinch_core::opaque::{
    ranked_queue::{Class, Rank, RankedQueue, Terms},
    route::Objective,
};
use quickcheck::quickcheck;

fn rank(terms: Terms, end_ms: u64) -> Rank {
    match terms.due_ms {
        Some(due_ms) if end_ms <= due_ms => Rank::InTime { class: terms.class, due_ms },
        _ => Rank::Late { class: terms.class, issued_ms: Reverse(terms.issued_ms) },
    }
}

fn terms(priority: u8, issued_ms: u64, latency_ms: u32) -> Terms {
    let objective = Objective { priority, latency_ms, timeout_ms: 2_000, idempotent: true };
    Terms::new(Some(objective), issued_ms, false)
}

quickcheck! {
    // Guards against an order that differs from the ranks when entries turn late, are removed or replaced.
    fn order_equals_that_of_a_linear_scan(steps: Vec<(u8, bool, u8, u8, u8)>) -> bool {
        let mut queue = RankedQueue::default();
        let mut entries: Vec<(u16, Terms)> = Vec::new();
        let mut now = 0;
        for (number, (key, beyond_share, priority, age, latency)) in steps.into_iter().enumerate() {
            now += number as u64 % 3;
            let key = u16::from(key % 32);
            entries.retain(|it| it.0 != key);
            if age % 4 == 0 {
                queue.remove(&key);
            } else {
                let issued_ms = (now + 100).saturating_sub(u64::from(age));
                let due_ms = (latency % 8 != 0).then_some(issued_ms + u64::from(latency));
                let class = Class { beyond_share, priority: priority % 3 };
                let terms = Terms { class, issued_ms, due_ms };
                queue.insert(key, terms);
                entries.push((key, terms));
            }
            let end_ms = now + 120;
            let first = entries.iter().min_by_key(|it| rank(it.1, end_ms));
            let last = entries.iter().max_by_key(|it| rank(it.1, end_ms));
            let expected = |it: Option<&(u16, Terms)>| it.map(|it| (rank(it.1, end_ms), it.0));
            let same = queue.first(end_ms) == expected(first) && queue.last(end_ms) == expected(last);
            if !same || queue.len() != entries.len() {
                return false;
            }
        }
        true
    }
}

// Guards against late requests that hold back those that can still be in time.
#[test]
fn late_entries_follow_those_in_time_and_go_newest_first() {
    let mut queue = RankedQueue::default();
    queue.insert(1, terms(1, 0, 100));
    queue.insert(2, terms(1, 50, 100));
    queue.insert(3, terms(2, 150, 100));
    let mut order = Vec::new();
    while let Some((_, key)) = queue.first(200) {
        queue.remove(&key);
        order.push(key);
    }
    assert_eq!(order, [3, 2, 1]);
}

// Guards against a burst of a route with a high priority that starves the other routes of its pool.
#[test]
fn entries_beyond_their_share_follow_those_within_it() {
    let objective =
        |priority| Objective { priority, latency_ms: 300, timeout_ms: 2_000, idempotent: true };
    let mut queue = RankedQueue::default();
    queue.insert(1, Terms::new(Some(objective(0)), 0, true));
    queue.insert(2, Terms::new(Some(objective(5)), 0, false));
    assert_eq!(queue.first(10).map(|it| it.1), Some(2));
    assert_eq!(queue.last(10).map(|it| it.1), Some(1));
}
