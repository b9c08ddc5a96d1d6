//! Messages between agents round trip, and malformed bytes return an error instead of a panic.

use std::sync::Arc;

use camphorwinch_core::{
    claims::{Claim, ClaimKey, RecordedResponse, RequestState},
    object::ServiceId,
};
use camphorwinch_wire::handover::{Chunk, ClaimCall, ClaimRecord, Envelope, Kind, request_id};
use quickcheck::quickcheck;

quickcheck! {
    fn random_handover_frames_do_not_panic(frame: Vec<u8>) -> bool {
        if let Ok(Kind::Claim(call)) = Envelope::parse(&frame) {
            // Neither conversion may panic.
            let _ = call.record.map(|it| (it.claim(), it.claim_key()));
        }
        true
    }

    fn altered_handover_frames_do_not_panic(key: String, at: usize, byte: u8) -> bool {
        let key = ClaimKey { service: ServiceId(7), key };
        let claim =
            Claim { request: 1, digest: 2, agent: "a".to_owned(), state: RequestState::Running, window_ms: 1 };
        let call = ClaimCall {
            record: Some(ClaimRecord::new(&key, &claim)),
            ..ClaimCall::default()
        };
        let mut frame = Envelope::to_frame(Kind::Claim(call)).to_vec();
        let at = at % frame.len();
        frame[at] = byte;
        if let Ok(Kind::Claim(call)) = Envelope::parse(&frame) {
            // Neither conversion may panic.
            let _ = call.record.map(|it| (it.claim(), it.claim_key()));
        }
        true
    }

    fn truncated_handover_frames_are_rejected(data: Vec<u8>, len: usize) -> bool {
        let complete = Envelope::to_frame(Kind::Chunk(Chunk { data: data.into(), last: true }));
        let truncated = &complete[..len % (complete.len() + 1)];
        match Envelope::parse(truncated) {
            Ok(kind) => truncated.len() == complete.len() && matches!(kind, Kind::Chunk(_)),
            Err(_) => truncated.len() < complete.len(),
        }
    }

    fn claims_round_trip(key: String, request: u128, digest: u64, agent: String, body: Vec<u8>, state: u8) -> bool {
        let answer = RecordedResponse { status: 201, headers: vec![("x".to_owned(), body.clone())], body };
        let state = match state % 3 {
            0 => RequestState::Running,
            1 => RequestState::Unknown,
            _ => RequestState::Done(Arc::new(answer)),
        };
        let key = ClaimKey { service: ServiceId(7), key };
        let claim = Claim { request, digest, agent, state, window_ms: 60_000 };
        let record = ClaimRecord::new(&key, &claim);
        record.claim_key() == key
            && record.claim() == Ok(Some(claim))
            && record.into_released().claim() == Ok(None)
    }

    fn request_ids_have_16_bytes(bytes: Vec<u8>) -> bool {
        request_id(&bytes).is_ok() == (bytes.len() == 16)
    }
}

#[test]
fn a_done_claim_without_a_response_is_rejected() {
    let key = ClaimKey { service: ServiceId(7), key: "k".to_owned() };
    let answer = RecordedResponse { status: 200, headers: Vec::new(), body: Vec::new() };
    let state = RequestState::Done(Arc::new(answer));
    let claim = Claim { request: 1, digest: 2, agent: "a".to_owned(), state, window_ms: 1 };
    let mut record = ClaimRecord::new(&key, &claim);
    record.response = None;
    assert!(record.claim().is_err());
    record.state = 99;
    assert!(record.claim().is_err());
}
