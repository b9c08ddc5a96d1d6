//! Upstreams that start again under the id that they had, heartbeats that were held up, clocks that jump.

use camphorwinch_core::opaque::{
    Head, Kind,
    agent::{Agent, Heard, Heartbeat, Life},
    effect::{Ask, Decision, Effect, Why},
    fleet::Upstream,
};

use crate::support::{data, decisions, head, identity, life as unborn, open_at, relay, resets};

const BEAT_MS: u64 = 1_000;
const BORN: u64 = 1_790_000_000_000;

fn life(born_ms: u64) -> Life {
    Life { id: "a".to_owned(), born_ms: Some(born_ms) }
}

fn beat(born_ms: u64, seq: u64) -> Heartbeat {
    Heartbeat { life: life(born_ms), seq, draining: false, slots: 2, cold_ms: 0 }
}

fn draining(born_ms: u64, seq: u64) -> Heartbeat {
    Heartbeat { draining: true, ..beat(born_ms, seq) }
}

fn hear(agent: &mut Agent, beat: &Heartbeat, now_ms: u64) -> Heard {
    agent.heartbeat(beat, now_ms, &mut Vec::new())
}

/// An agent that has heard the first forty heartbeats of an upstream.
fn long_known() -> Agent {
    let mut agent = Agent::new(identity(1, 1), BEAT_MS, false, 0);
    for seq in 1..=40 {
        hear(&mut agent, &beat(BORN, seq), seq * BEAT_MS);
    }
    agent
}

/// Opens a flow and sends a request on it, which the upstream does not answer.
fn ask(agent: &mut Agent, port: u16, now_ms: u64) {
    agent.relayed(&open_at(&[1], 5_000), &head(port, Kind::Open), &[], now_ms, &mut Vec::new());
    let answer = Head { seq: 1_000, ..head(port, Kind::Open) };
    agent.sent(&answer, now_ms, &mut Vec::new());
    agent.relayed(&relay(Ask::Deliver), &data(port, 1, 1_001), &[], now_ms, &mut Vec::new());
}

#[test]
fn an_upstream_that_starts_again_under_its_id_is_heard_at_once() {
    let mut agent = long_known();
    hear(&mut agent, &draining(BORN, 41), 41_000);
    assert_eq!(hear(&mut agent, &beat(BORN + 42_000, 1), 42_000), Heard::Changed);
    assert_eq!(agent.upstream(42_000), Upstream::Ready);
}

#[test]
fn what_was_learnt_of_the_former_life_is_forgotten() {
    let mut agent = long_known();
    for port in 1..=4 {
        ask(&mut agent, port, 40_000);
    }
    assert_eq!(agent.busy(), 4);
    let mut out = Vec::new();
    let next = Heartbeat { slots: 5, cold_ms: 2_000, ..beat(BORN + 42_000, 1) };
    agent.heartbeat(&next, 42_000, &mut out);
    assert_eq!(resets(&out), 4);
    let ended = Decision::Reset(Why::UpstreamEnded);
    assert_eq!(decisions(&out), [ended; 4]);
    assert!(out.contains(&Effect::Report), "{out:?}");
    let report = agent.next_report(42_000);
    assert_eq!((agent.busy(), agent.flows(), agent.waiting()), (0, 0, 0));
    assert_eq!((report.slots, report.service_ms), (5, None));
}

#[test]
fn times_of_the_former_life_are_not_told_of_the_new_one() {
    let mut agent = long_known();
    for port in 1..=30 {
        ask(&mut agent, port, 40_000);
        let answer = Head { seq: 1_001, len: 10, ..head(port, Kind::Data) };
        agent.sent(&answer, 40_500, &mut Vec::new());
    }
    assert!(agent.next_report(40_500).service_ms.is_some());
    hear(&mut agent, &beat(BORN + 42_000, 1), 42_000);
    assert_eq!(agent.next_report(42_000).service_ms, None);
}

#[test]
fn a_held_up_heartbeat_of_a_former_life_changes_nothing() {
    let mut agent = long_known();
    hear(&mut agent, &draining(BORN + 42_000, 1), 42_000);
    assert_eq!(hear(&mut agent, &beat(BORN, 41), 42_500), Heard::Late);
    assert!(!agent.deregister(&life(BORN), &mut Vec::new()));
    assert_eq!(agent.upstream(42_500), Upstream::Draining);
}

// The agent has restarted, so it knows no life but the one that speaks.
#[test]
fn a_held_up_heartbeat_changes_nothing_beside_an_agent_that_never_heard_that_life() {
    let mut agent = Agent::new(identity(1, 2), BEAT_MS, true, 0);
    hear(&mut agent, &draining(BORN + 42_000, 7), 100);
    assert_eq!(hear(&mut agent, &beat(BORN, 40), 200), Heard::Unclear);
    hear(&mut agent, &draining(BORN + 42_000, 8), 1_100);
    assert_eq!(hear(&mut agent, &beat(BORN, 41), 1_200), Heard::Unclear);
    assert_eq!(agent.upstream(1_200), Upstream::Draining);
    assert!(!agent.deregister(&life(BORN), &mut Vec::new()));
}

// After its restart an agent may hear the former life first. The present one has held its flows all the while.
#[test]
fn flows_that_the_present_life_held_before_are_not_reset_for_a_former_one() {
    let mut agent = Agent::new(identity(1, 2), BEAT_MS, true, 0);
    for seq in [1_001, 1_101] {
        let answer = Head { seq, len: 10, ..head(1, Kind::Data) };
        agent.sent(&answer, 50, &mut Vec::new());
    }
    hear(&mut agent, &beat(BORN, 40), 100);
    let mut out = Vec::new();
    assert_eq!(agent.heartbeat(&beat(BORN + 42_000, 9), 900, &mut out), Heard::Changed);
    assert_eq!(resets(&out), 0);
}

#[test]
fn a_life_whose_clock_jumped_back_is_believed_once_it_goes_on_and_the_known_one_is_silent() {
    let mut agent = long_known();
    let back = BORN - 30_000;
    assert_eq!(hear(&mut agent, &beat(back, 1), 41_500), Heard::Unclear);
    assert_eq!(hear(&mut agent, &beat(back, 2), 42_500), Heard::Changed);
    assert_eq!(agent.upstream(42_500), Upstream::Ready);
    assert_eq!(hear(&mut agent, &draining(back, 3), 43_500), Heard::Changed);
    assert_eq!(hear(&mut agent, &beat(BORN, 41), 44_000), Heard::Late);
}

#[test]
fn held_up_heartbeats_that_come_one_after_the_other_change_nothing() {
    let mut agent = long_known();
    for seq in 7..12 {
        assert_eq!(hear(&mut agent, &draining(BORN - 30_000, seq), 40_500 + seq), Heard::Unclear);
    }
    assert_eq!(agent.upstream(40_600), Upstream::Ready);
}

#[test]
fn the_same_held_up_heartbeat_twice_is_no_life_that_goes_on() {
    let mut agent = long_known();
    assert_eq!(hear(&mut agent, &beat(BORN - 30_000, 9), 43_000), Heard::Unclear);
    assert_eq!(hear(&mut agent, &beat(BORN - 30_000, 9), 44_000), Heard::Unclear);
    assert_eq!(hear(&mut agent, &beat(BORN, 41), 45_000), Heard::Changed);
}

#[test]
fn a_heartbeat_that_does_not_say_when_its_sender_started_is_of_nobody_here() {
    let mut agent = long_known();
    let foreign = Heartbeat { life: unborn("a"), ..draining(BORN, 99) };
    assert_eq!(hear(&mut agent, &foreign, 40_100), Heard::Foreign);
    assert_eq!(agent.upstream(40_100), Upstream::Ready);
}

#[test]
fn an_end_without_a_time_counts_only_if_the_upstream_was_about_to_leave() {
    let mut agent = long_known();
    let unsaid = unborn("a");
    assert!(!agent.deregister(&unsaid, &mut Vec::new()));
    hear(&mut agent, &draining(BORN, 41), 41_000);
    assert!(agent.deregister(&unsaid, &mut Vec::new()));
    assert_eq!(agent.upstream(41_000), Upstream::Ended);
}

#[test]
fn a_heartbeat_after_the_end_of_its_life_is_late() {
    let mut agent = long_known();
    hear(&mut agent, &draining(BORN, 41), 41_000);
    assert!(agent.deregister(&life(BORN), &mut Vec::new()));
    assert_eq!(hear(&mut agent, &draining(BORN, 42), 41_500), Heard::Late);
    assert_eq!(agent.upstream(41_500), Upstream::Ended);
    assert_eq!(hear(&mut agent, &beat(BORN + 42_000, 1), 42_000), Heard::Changed);
}

#[test]
fn without_times_a_lower_count_is_believed_once_it_goes_on() {
    let mut agent = Agent::new(identity(1, 1), BEAT_MS, false, 0);
    let beat = |seq| Heartbeat { life: unborn("a"), ..beat(BORN, seq) };
    hear(&mut agent, &beat(40), 0);
    assert_eq!(hear(&mut agent, &beat(1), 1_500), Heard::Late);
    assert_eq!(hear(&mut agent, &beat(2), 2_500), Heard::Changed);
}
