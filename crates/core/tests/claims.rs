//! Claims on idempotency keys at several owners, with members that come and go.

use std::{collections::BTreeMap, sync::Arc};

use camphorwinch_core::{
    claims::{Answer, Claim, ClaimKey, Claimed, Claims, State},
    object::ServiceId,
};
use quickcheck::{Arbitrary, Gen, QuickCheck};

const WINDOW: u64 = 1_000;

fn key(n: u8) -> ClaimKey {
    ClaimKey { service: ServiceId(7), key: format!("key-{n}") }
}

fn claim(request: u128) -> Claim {
    Claim { request, digest: 1, by: "a".to_owned(), state: State::Running, window: WINDOW }
}

fn done(body: &str) -> State {
    State::Done(Arc::new(Answer {
        status: 200,
        headers: Vec::new(),
        body: body.as_bytes().to_vec(),
    }))
}

#[test]
fn repeat_finds_the_first() {
    let mut claims = Claims::new();
    assert_eq!(claims.claim(&key(1), claim(1), 0), Claimed::Granted);
    assert_eq!(claims.claim(&key(1), claim(1), 0), Claimed::Granted);
    assert_eq!(claims.claim(&key(1), claim(2), 0), Claimed::Taken(claim(1)));
    claims.settle(&key(1), 1, done("ok"), 10);
    let Claimed::Taken(found) = claims.claim(&key(1), claim(2), 20) else {
        panic!("the key is taken");
    };
    assert_eq!(found.state, done("ok"));
    // The request itself does not run again either.
    assert!(matches!(claims.claim(&key(1), claim(1), 20), Claimed::Taken(_)));
    assert_eq!(claims.claim(&key(1), claim(3), 10 + WINDOW), Claimed::Granted);
}

#[test]
fn release_is_for_the_holder_alone() {
    let mut claims = Claims::new();
    claims.claim(&key(1), claim(1), 0);
    claims.release(&key(1), 2);
    assert!(matches!(claims.claim(&key(1), claim(2), 0), Claimed::Taken(_)));
    claims.release(&key(1), 1);
    assert_eq!(claims.claim(&key(1), claim(2), 0), Claimed::Granted);
}

#[test]
fn other_content_under_a_key_is_told() {
    let mut claims = Claims::new();
    claims.claim(&key(1), claim(1), 0);
    let other = Claim { digest: 2, ..claim(2) };
    assert_eq!(claims.claim(&key(1), other, 0), Claimed::Mismatch);
}

#[test]
fn large_answer_is_kept_as_unknown() {
    let mut claims = Claims::new();
    claims.claim(&key(1), claim(1), 0);
    claims.settle(&key(1), 1, done(&"x".repeat(100_000)), 0);
    let Claimed::Taken(found) = claims.claim(&key(1), claim(2), 1) else {
        panic!("the key is taken");
    };
    assert_eq!(found.state, State::Unknown);
}

#[derive(Clone, Debug)]
enum Op {
    /// A request under a key comes to the system, through some agent.
    Ask(u8),
    /// A member leaves for good without a word; another takes its place.
    Replace(u8),
}

impl Arbitrary for Op {
    fn arbitrary(g: &mut Gen) -> Op {
        let n = u8::arbitrary(g);
        if n % 4 == 0 { Op::Replace(u8::arbitrary(g)) } else { Op::Ask(n % 6) }
    }
}

/// Agents of a pool with their claims; copies are carried out at once.
struct Pool {
    members: BTreeMap<String, Claims>,
    next: u32,
}

impl Pool {
    fn names(&self) -> Vec<String> {
        self.members.keys().cloned().collect()
    }

    fn ask(&mut self, key: &ClaimKey, request: u128) -> bool {
        let names = self.names();
        for owner in key.owners(names.iter().map(String::as_str)) {
            let claims = self.members.get_mut(owner).expect("owners are members");
            if claims.claim(key, claim(request), 0) != Claimed::Granted {
                return false;
            }
        }
        true
    }

    fn replace(&mut self, at: u8) {
        let before = self.names();
        self.members.remove(&before[usize::from(at) % before.len()]);
        self.next += 1;
        self.members.insert(format!("agent-{}", self.next), Claims::new());
        let after = self.names();
        let mut copies = Vec::new();
        for claims in self.members.values() {
            for (to, key, it) in claims.moved(ServiceId(7), &before, &after) {
                copies.push((to.to_owned(), key.clone(), it.clone()));
            }
        }
        for (to, key, it) in copies {
            self.members.get_mut(&to).expect("owners are members").adopt(&key, it, 0);
        }
    }
}

#[test]
fn a_key_runs_once_while_members_are_replaced() {
    fn holds(ops: Vec<Op>) -> bool {
        let members = (0..7).map(|n| (format!("first-{n}"), Claims::new())).collect();
        let mut pool = Pool { members, next: 0 };
        let mut ran = BTreeMap::new();
        let mut request = 0;
        for op in ops {
            match op {
                Op::Replace(at) => pool.replace(at),
                Op::Ask(n) => {
                    request += 1;
                    if pool.ask(&key(n), request) {
                        *ran.entry(n).or_insert(0) += 1;
                    }
                }
            }
        }
        ran.values().all(|&it| it == 1)
    }
    QuickCheck::new().tests(500).quickcheck(holds as fn(Vec<Op>) -> bool);
}
