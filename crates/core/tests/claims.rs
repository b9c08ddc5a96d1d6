//! Tests of the claims on idempotency keys stored by one agent.

use std::sync::Arc;

use camphorwinch_core::{
    claims::{Claim, ClaimKey, ClaimResult, Claims, RecordedResponse, RequestState},
    object::ServiceId,
};

const WINDOW: u64 = 1_000;

fn key(n: u8) -> ClaimKey {
    ClaimKey { service: ServiceId(7), key: format!("key-{n}") }
}

fn claim(request: u128) -> Claim {
    Claim {
        request,
        digest: 1,
        agent: "a".to_owned(),
        state: RequestState::Running,
        window_ms: WINDOW,
    }
}

fn done(body: &str) -> RequestState {
    RequestState::Done(Arc::new(RecordedResponse {
        status: 200,
        headers: Vec::new(),
        body: body.as_bytes().to_vec(),
    }))
}

#[test]
fn repeated_request_finds_the_first_claim() {
    let mut claims = Claims::new();
    assert_eq!(claims.claim(&key(1), claim(1), 0), ClaimResult::Granted);
    assert_eq!(claims.claim(&key(1), claim(1), 0), ClaimResult::Granted);
    assert_eq!(claims.claim(&key(1), claim(2), 0), ClaimResult::Conflict(claim(1)));
    claims.settle(&key(1), 1, done("ok"), 10);
    let ClaimResult::Conflict(found) = claims.claim(&key(1), claim(2), 20) else {
        panic!("expected the key to be claimed");
    };
    assert_eq!(found.state, done("ok"));
    // The request itself must not run again either.
    assert!(matches!(claims.claim(&key(1), claim(1), 20), ClaimResult::Conflict(_)));
    assert_eq!(claims.claim(&key(1), claim(3), 10 + WINDOW), ClaimResult::Granted);
}

#[test]
fn only_the_claiming_request_can_release_a_key() {
    let mut claims = Claims::new();
    claims.claim(&key(1), claim(1), 0);
    claims.release(&key(1), 2);
    assert!(matches!(claims.claim(&key(1), claim(2), 0), ClaimResult::Conflict(_)));
    claims.release(&key(1), 1);
    assert_eq!(claims.claim(&key(1), claim(2), 0), ClaimResult::Granted);
}

#[test]
fn key_reused_for_other_content_is_a_mismatch() {
    let mut claims = Claims::new();
    claims.claim(&key(1), claim(1), 0);
    let other = Claim { digest: 2, ..claim(2) };
    assert_eq!(claims.claim(&key(1), other, 0), ClaimResult::Mismatch);
}

#[test]
fn response_over_the_size_limit_is_stored_as_unknown() {
    let mut claims = Claims::new();
    claims.claim(&key(1), claim(1), 0);
    claims.settle(&key(1), 1, done(&"x".repeat(100_000)), 0);
    let ClaimResult::Conflict(found) = claims.claim(&key(1), claim(2), 1) else {
        panic!("expected the key to be claimed");
    };
    assert_eq!(found.state, RequestState::Unknown);
}

#[test]
fn closing_returns_all_claims_and_rejects_new_ones() {
    let mut claims = Claims::new();
    claims.claim(&key(1), claim(1), 0);
    assert_eq!(claims.close(), vec![(key(1), claim(1))]);
    assert_eq!(claims.claim(&key(2), claim(2), 0), ClaimResult::Full);
    assert!(matches!(claims.claim(&key(1), claim(2), 0), ClaimResult::Conflict(_)));
}
