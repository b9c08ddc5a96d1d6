//! Tests of flow admission, upstream backoff, the retry budget and peer selection.

use camphorwinch_core::{
    admit::{Admission, AgentLoad, Availability, admit},
    backoff::UpstreamBackoff,
    budget::RetryBudget,
    invariant::{self, Invariant},
    object::Policy,
    peers::{Peer, PeerLoads},
};
use quickcheck::quickcheck;

quickcheck! {
    fn draining_agent_accepts_no_flow(flows: u32, limit: u32, busy: u32, slots: u32, even: bool, last: bool) -> bool {
        let load = AgentLoad { flows, flow_limit: limit, all_flows: flows, all_limit: limit, busy, slots };
        let policy = if even { Policy::Even } else { Policy::Steady };
        admit(policy, Availability::Draining, &load, last) != Admission::Accept
            && invariant::violations(Invariant::DrainHolds) == 0
    }

    fn last_candidate_accepts_or_refuses(flows: u32, limit: u32, busy: u32, slots: u32, even: bool) -> bool {
        let load = AgentLoad { flows, flow_limit: limit, all_flows: 0, all_limit: 1, busy, slots };
        let policy = if even { Policy::Even } else { Policy::Steady };
        [Availability::Open, Availability::Closed, Availability::Draining]
            .into_iter()
            .all(|it| admit(policy, it, &load, true) != Admission::Forward)
    }

    fn retries_stay_within_the_share(requests: u16) -> bool {
        let mut budget = RetryBudget::new(0.1, 0);
        let mut retries = 0;
        for _ in 0..requests {
            budget.deposit();
            if budget.withdraw(0) {
                retries += 1;
            }
        }
        f64::from(retries) <= 10.0 + 0.1 * f64::from(requests)
    }
}

#[test]
fn admission_depends_on_policy_and_load() {
    let load =
        AgentLoad { flow_limit: 10, all_limit: 10, busy: 3, slots: 3, ..AgentLoad::default() };
    assert_eq!(admit(Policy::Steady, Availability::Open, &load, false), Admission::Accept);
    assert_eq!(admit(Policy::Even, Availability::Open, &load, false), Admission::Forward);
    assert_eq!(admit(Policy::Even, Availability::Open, &load, true), Admission::Accept);
    assert_eq!(admit(Policy::Steady, Availability::Closed, &load, false), Admission::Forward);
    let full = AgentLoad { flows: 10, ..load };
    assert_eq!(admit(Policy::Steady, Availability::Open, &full, false), Admission::Forward);
    assert_eq!(admit(Policy::Steady, Availability::Open, &full, true), Admission::Refuse);
}

#[test]
fn gate_admits_one_probe_after_a_backoff() {
    let mut backoff = UpstreamBackoff::new();
    assert!(backoff.admit(0));
    backoff.record_refusal(0);
    assert!(!backoff.admit(10));
    assert!(backoff.admit(20));
    assert!(!backoff.admit(21));
    backoff.record_refusal(25);
    assert!(!backoff.admit(64));
    assert!(backoff.admit(65));
    backoff.record_success();
    assert!(backoff.admit(66) && backoff.admit(66));
    assert_eq!(backoff.refused_for_ms(66), 0);
}

#[test]
fn peers_that_refused_are_skipped_during_the_backoff() {
    let peer = |name| Peer { name, same_zone: true, weight: 1.0 };
    let peers = [peer("a"), peer("b")];
    let mut peer_loads = PeerLoads::new();
    peer_loads.record_refused("a", 0, 100);
    assert_eq!(peer_loads.select(&peers, Policy::Steady, 1, 120), ["b"]);
    assert_eq!(peer_loads.select(&peers, Policy::Steady, 1, 150), ["b", "a"]);
    peer_loads.record_accepted("b", 0.9, 150);
    peer_loads.record_accepted("a", 0.1, 150);
    assert_eq!(peer_loads.select(&peers, Policy::Steady, 1, 160), ["a", "b"]);
}

#[test]
fn weight_zero_is_never_drawn() {
    let peers = [Peer { name: "a", same_zone: true, weight: 0.0 }];
    assert!(PeerLoads::new().select(&peers, Policy::Even, 1, 0).is_empty());
}
