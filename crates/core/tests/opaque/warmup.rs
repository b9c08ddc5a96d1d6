//! Rate limit of cold upstreams.

use camphorwinch_core::opaque::{
    PacketKind,
    agent::{Agent, Heartbeat},
    candidate_list::{CandidateList, LOAD_CLOSED},
    effect::{Decision, Effect, RelayAction, RelayHeader, ResetReason},
};
use quickcheck::quickcheck;

use crate::support::{address, decisions, head, identity, instance, relay, relays};

/// Rate limit of a cold upstream, in new flows per second.
const RATE: u32 = 3;

fn beat(seq: u64, cold_ms: u64) -> Heartbeat {
    Heartbeat { instance: instance("a"), seq, draining: false, slots: 100, cold_ms }
}

/// An agent whose upstream is cold for this long.
fn agent(cold_ms: u64) -> Agent {
    let mut it = Agent::new(identity(1, 1), 1_000, false, 0);
    it.heartbeat(&beat(1, cold_ms), 0, &mut Vec::new());
    it
}

fn candidates(agents: &[u8]) -> CandidateList {
    CandidateList::new(agents.iter().map(|&it| address(it)), 50_000).with_cold_rate(Some(RATE))
}

fn open(agent: &mut Agent, relay: RelayHeader, port: u16, now_ms: u64) -> Vec<Effect> {
    let mut out = Vec::new();
    agent.handle_relayed_packet(&relay, &head(port, PacketKind::Open), b"", now_ms, &mut out);
    out
}

fn is_accepted(effects: &[Effect]) -> bool {
    effects.contains(&Effect::Deliver)
}

/// Number of flows of a burst that the upstream gets.
fn count_accepted(agent: &mut Agent, ports: std::ops::Range<u16>, now_ms: u64) -> usize {
    let action = relay(RelayAction::Open(candidates(&[1, 2])));
    ports.filter(|&it| is_accepted(&open(agent, action, it, now_ms))).count()
}

#[test]
fn a_cold_upstream_gets_no_more_than_its_limit_in_any_second() {
    let mut it = agent(10_000);
    assert_eq!(count_accepted(&mut it, 0..2, 100), 2);
    assert_eq!(count_accepted(&mut it, 10..20, 900), 1);
    // The window slides: the first two flows have left it, the third has not.
    assert_eq!(count_accepted(&mut it, 20..30, 1_100), 0);
    assert_eq!(count_accepted(&mut it, 30..40, 1_101), 2);
    assert_eq!(count_accepted(&mut it, 40..50, 1_900), 0);
    assert_eq!(count_accepted(&mut it, 50..60, 1_901), 1);
}

#[test]
fn flows_above_the_limit_are_forwarded_to_another_upstream() {
    let mut it = agent(10_000);
    count_accepted(&mut it, 0..10, 100);
    let effects = open(&mut it, relay(RelayAction::Open(candidates(&[1, 2]))), 20, 110);
    let Some((to, RelayAction::Open(candidates))) = relays(&effects).first().copied() else {
        panic!("{effects:?}")
    };
    assert_eq!((to, candidates.candidates()[0].load), (address(2), LOAD_CLOSED));
}

#[test]
fn flows_above_the_limit_of_all_upstreams_are_refused() {
    let mut it = agent(10_000);
    count_accepted(&mut it, 0..10, 100);
    for action in [RelayAction::Open(candidates(&[1])), RelayAction::Assign(candidates(&[1]))] {
        let effects = open(&mut it, relay(action), 20, 110);
        assert!(
            decisions(&effects).contains(&Decision::Reset(ResetReason::AllRefused)),
            "{effects:?}"
        );
    }
}

#[test]
fn a_warm_upstream_has_no_limit() {
    let mut it = agent(0);
    assert_eq!(count_accepted(&mut it, 0..50, 100), 50);
    // The upstream becomes cold: flows of the last second count.
    it.heartbeat(&beat(2, 5_000), 500, &mut Vec::new());
    assert_eq!(count_accepted(&mut it, 50..60, 600), 0);
    assert_eq!(count_accepted(&mut it, 60..70, 1_101), 3);
    // The upstream is warm again.
    it.heartbeat(&beat(3, 0), 5_400, &mut Vec::new());
    assert_eq!(count_accepted(&mut it, 70..90, 5_500), 20);
}

#[test]
fn a_cold_upstream_without_a_limit_gets_all_flows() {
    let mut it = agent(10_000);
    let action = relay(RelayAction::Open(CandidateList::new([address(1)], 50_000)));
    let flows = (0..50).filter(|&port| is_accepted(&open(&mut it, action, port, 100)));
    assert_eq!(flows.count(), 50);
}

/// The agent has restarted and received no heartbeat yet, so the upstream may be cold.
#[test]
fn an_upstream_without_a_heartbeat_counts_as_cold() {
    let mut it = Agent::new(identity(1, 2), 1_000, true, 0);
    let action = relay(RelayAction::Assign(candidates(&[1])));
    let flows = (0..50).filter(|&port| is_accepted(&open(&mut it, action, port, 100)));
    assert_eq!(flows.count(), RATE as usize);
}

quickcheck! {
    /// For any arrival times, no window of a second has more flows than the limit.
    fn no_window_has_more_flows_than_the_limit(gaps: Vec<u8>) -> bool {
        let mut it = agent(3_600_000);
        let mut now_ms = 0;
        let mut times = Vec::new();
        for (port, gap) in gaps.iter().enumerate() {
            now_ms += u64::from(*gap) * 2;
            if count_accepted(&mut it, port as u16..port as u16 + 1, now_ms) == 1 {
                times.push(now_ms);
            }
        }
        times.windows(RATE as usize + 1).all(|it| it[RATE as usize] - it[0] > 1_000)
    }
}
