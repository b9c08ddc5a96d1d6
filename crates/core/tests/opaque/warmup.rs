//! Cold upstreams: a zone comes back with cold upstreams, whose agents keep what comes within what these bear.

use camphorwinch_core::opaque::{
    Kind,
    agent::{Agent, Heartbeat},
    effect::{Ask, Decision, Effect, Relay, Why},
    walk::{LOAD_CLOSED, Walk},
};
use quickcheck::quickcheck;

use crate::support::{address, decisions, head, identity, life, relay, relays};

/// What the upstreams here bear while they are cold, a second.
const RATE: u32 = 3;

fn beat(seq: u64, cold_ms: u64) -> Heartbeat {
    Heartbeat { life: life("a"), seq, draining: false, slots: 100, cold_ms }
}

/// An agent whose upstream stays cold for so long.
fn agent(cold_ms: u64) -> Agent {
    let mut it = Agent::new(identity(1, 1), 1_000, false, 0);
    it.heartbeat(&beat(1, cold_ms), 0, &mut Vec::new());
    it
}

fn walk(agents: &[u8]) -> Walk {
    Walk::new(agents.iter().map(|&it| address(it)), 50_000).with_cold_rate(Some(RATE))
}

fn open(agent: &mut Agent, ask: Relay, port: u16, now_ms: u64) -> Vec<Effect> {
    let mut out = Vec::new();
    agent.relayed(&ask, &head(port, Kind::Open), b"", now_ms, &mut out);
    out
}

fn is_taken(effects: &[Effect]) -> bool {
    effects.contains(&Effect::Deliver)
}

/// How many flows of a burst the upstream gets.
fn taken(agent: &mut Agent, ports: std::ops::Range<u16>, now_ms: u64) -> usize {
    let ask = relay(Ask::Open(walk(&[1, 2])));
    ports.filter(|&it| is_taken(&open(agent, ask, it, now_ms))).count()
}

#[test]
fn a_cold_upstream_gets_no_more_than_it_bears_in_any_second() {
    let mut it = agent(10_000);
    assert_eq!(taken(&mut it, 0..2, 100), 2);
    assert_eq!(taken(&mut it, 10..20, 900), 1);
    // The second slides: the first two of them are out of it, the third is not.
    assert_eq!(taken(&mut it, 20..30, 1_100), 0);
    assert_eq!(taken(&mut it, 30..40, 1_101), 2);
    assert_eq!(taken(&mut it, 40..50, 1_900), 0);
    assert_eq!(taken(&mut it, 50..60, 1_901), 1);
}

#[test]
fn what_is_over_goes_on_at_once_to_another_upstream() {
    let mut it = agent(10_000);
    taken(&mut it, 0..10, 100);
    let effects = open(&mut it, relay(Ask::Open(walk(&[1, 2]))), 20, 110);
    let Some((to, Ask::Open(walk))) = relays(&effects).first().copied() else {
        panic!("{effects:?}")
    };
    assert_eq!((to, walk.seats()[0].load), (address(2), LOAD_CLOSED));
}

#[test]
fn what_no_upstream_bears_is_refused_at_once() {
    let mut it = agent(10_000);
    taken(&mut it, 0..10, 100);
    for ask in [Ask::Open(walk(&[1])), Ask::Settle(walk(&[1]))] {
        let effects = open(&mut it, relay(ask), 20, 110);
        assert!(decisions(&effects).contains(&Decision::Reset(Why::AllRefused)), "{effects:?}");
    }
}

#[test]
fn a_warm_upstream_has_no_bound() {
    let mut it = agent(0);
    assert_eq!(taken(&mut it, 0..50, 100), 50);
    // It says that it is cold now: what it got in the last second counts.
    it.heartbeat(&beat(2, 5_000), 500, &mut Vec::new());
    assert_eq!(taken(&mut it, 50..60, 600), 0);
    assert_eq!(taken(&mut it, 60..70, 1_101), 3);
    // Its cold time is over, and it goes on saying so.
    it.heartbeat(&beat(3, 0), 5_400, &mut Vec::new());
    assert_eq!(taken(&mut it, 70..90, 5_500), 20);
}

#[test]
fn an_upstream_without_a_bound_gets_all_that_it_has_slots_for() {
    let mut it = agent(10_000);
    let ask = relay(Ask::Open(Walk::new([address(1)], 50_000)));
    let flows = (0..50).filter(|&port| is_taken(&open(&mut it, ask, port, 100)));
    assert_eq!(flows.count(), 50);
}

/// The agent has restarted and nothing was heard of its upstream, which may be cold.
#[test]
fn an_upstream_that_was_not_heard_of_counts_as_cold() {
    let mut it = Agent::new(identity(1, 2), 1_000, true, 0);
    let ask = relay(Ask::Settle(walk(&[1])));
    let flows = (0..50).filter(|&port| is_taken(&open(&mut it, ask, port, 100)));
    assert_eq!(flows.count(), RATE as usize);
}

quickcheck! {
    /// Whatever the times at which flows come, no span of a second has more than the upstream bears.
    fn no_second_has_more_than_the_rate(gaps: Vec<u8>) -> bool {
        let mut it = agent(3_600_000);
        let mut now_ms = 0;
        let mut times = Vec::new();
        for (port, gap) in gaps.iter().enumerate() {
            now_ms += u64::from(*gap) * 2;
            if taken(&mut it, port as u16..port as u16 + 1, now_ms) == 1 {
                times.push(now_ms);
            }
        }
        times.windows(RATE as usize + 1).all(|it| it[RATE as usize] - it[0] > 1_000)
    }
}
