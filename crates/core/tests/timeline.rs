//! Tests of the hybrid logical clock and of merging event lists.

use camphorwinch_core::timeline::{Event, Hlc, HlcTimestamp, MAX_AHEAD_MS, merge};
use quickcheck::quickcheck;

fn event(process: &str, seq: u64, stamp: HlcTimestamp) -> Event {
    Event { process: process.to_owned(), seq, stamp, ..Event::default() }
}

quickcheck! {
    fn ticks_increase_for_any_wall_clock(walls: Vec<u64>) -> bool {
        let mut clock = Hlc::new();
        let stamps: Vec<HlcTimestamp> = walls.into_iter().map(|ms| clock.tick(ms)).collect();
        stamps.windows(2).all(|pair| pair[0] < pair[1])
    }

    fn receive_stamp_is_after_send_stamp(sender_ms: u32, receiver_ms: u32, before: Vec<u32>) -> bool {
        let (mut a, mut b) = (Hlc::new(), Hlc::new());
        for ms in before {
            b.tick(ms.into());
        }
        let sent = a.tick(sender_ms.into());
        if !b.observe(receiver_ms.into(), sent) {
            return u64::from(sender_ms) > u64::from(receiver_ms) + MAX_AHEAD_MS;
        }
        b.tick(receiver_ms.into()) > sent
    }

    fn merge_ignores_order_and_repeats(stamps: Vec<(u8, u8, bool)>, cut: usize) -> bool {
        let mut events = Vec::new();
        for (seq, (ms, counter, first)) in stamps.into_iter().enumerate() {
            let stamp = HlcTimestamp { ms: ms.into(), counter: counter.into() };
            events.push(event(if first { "a" } else { "b" }, seq as u64, stamp));
        }
        let once = merge([events.clone()]);
        let cut = cut % (events.len() + 1);
        let (left, right) = events.split_at(cut);
        let twice = merge([right.to_vec(), left.to_vec(), right.to_vec()]);
        let sorted = once.windows(2).all(|pair| pair[0].key() < pair[1].key());
        once == twice && once.len() == events.len() && sorted
    }

    fn event_survives_json(ms: u64, counter: u32, seq: u64, id: u16, flow: Option<String>) -> bool {
        let event = Event { id, flow, ..event("bal-1", seq, HlcTimestamp { ms, counter }) };
        let text = serde_json::to_string(&event).unwrap();
        serde_json::from_str::<Event>(&text).unwrap() == event
    }
}

#[test]
fn restarted_process_keeps_its_new_events() {
    let old = event("bal-1", 0, HlcTimestamp { ms: 1, counter: 0 });
    let new = event("bal-1", 0, HlcTimestamp { ms: 9, counter: 0 });
    assert_eq!(merge([vec![new.clone()], vec![old.clone()]]), [old, new]);
}

#[test]
fn event_has_the_documented_shape() {
    let text = r#"{"ms":5,"counter":2,"process":"bal-1","seq":7,"id":104,"name":"drain-started",
        "service":"ledger","flow":"0a","request":"0b","upstream":"ledger-1","text":"x"}"#;
    let event: Event = serde_json::from_str(text).unwrap();
    assert_eq!(event.stamp, HlcTimestamp { ms: 5, counter: 2 });
    assert_eq!(event.upstream.as_deref(), Some("ledger-1"));
}
