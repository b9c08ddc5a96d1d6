//! Handles claim messages from other agents and records their claims.

use camphorwinch_core::{
    claims::{Claim, ClaimKey, ClaimResult, MAX_KEY_BYTES},
    object::ServiceId,
    roster::FailedMember,
};
use camphorwinch_wire::handover::{
    self, ClaimCall, ClaimPurpose, ClaimRecord, ClaimReply, ClaimVerdict, HandoverError, request_id,
};

use crate::{agent::node::Node, clock};

/// Handles a claim message. Fails if it is malformed.
pub(crate) fn handle_call(node: &Node, call: &ClaimCall) -> Result<ClaimReply, HandoverError> {
    let purpose = ClaimPurpose::try_from(call.purpose).map_err(|_| HandoverError("purpose"))?;
    if purpose == ClaimPurpose::FailedMembers {
        record_failed_members(node, &call.failed_members);
        return Ok(ClaimReply { verdict: ClaimVerdict::Granted as i32, holder: None });
    }
    let claim_record = call.record.as_ref().ok_or(HandoverError("claim"))?;
    let key = claim_record.claim_key();
    if !(1..=MAX_KEY_BYTES).contains(&key.key.len()) {
        return Err(HandoverError("idempotency key"));
    }
    let now = clock::now_ms();
    let claimed = match (purpose, claim_record.claim()?) {
        (ClaimPurpose::Claim, Some(claim)) => record(node, &key, claim, call.members),
        (ClaimPurpose::Resolve, Some(claim)) => {
            node.claims.lock().settle(&key, claim.request, claim.state, now);
            ClaimResult::Granted
        }
        (ClaimPurpose::Resolve, None) => {
            node.claims.lock().release(&key, request_id(&claim_record.request)?);
            ClaimResult::Granted
        }
        (ClaimPurpose::Transfer, Some(claim)) => {
            node.claims.lock().import(&key, claim, now);
            ClaimResult::Granted
        }
        (ClaimPurpose::Probe, _) => {
            let in_progress =
                node.keyed_requests.lock().contains(&request_id(&claim_record.request)?);
            if in_progress { ClaimResult::Granted } else { ClaimResult::Mismatch }
        }
        (ClaimPurpose::Claim | ClaimPurpose::Transfer, None) | (ClaimPurpose::FailedMembers, _) => {
            return Err(HandoverError("state of a claim"));
        }
    };
    let (verdict, holder) = match claimed {
        ClaimResult::Granted => (ClaimVerdict::Granted, None),
        ClaimResult::Conflict(claim) => {
            (ClaimVerdict::Conflict, Some(ClaimRecord::new(&key, &claim)))
        }
        ClaimResult::Mismatch => (ClaimVerdict::Mismatch, None),
        ClaimResult::Uncertain => (ClaimVerdict::Uncertain, None),
        ClaimResult::MembershipChanging => (ClaimVerdict::MembershipChanging, None),
        ClaimResult::Full => (ClaimVerdict::Full, None),
    };
    Ok(ClaimReply { verdict: verdict as i32, holder })
}

/// Records a claim at this agent, if the key is free and the membership allows it.
pub(super) fn record(
    node: &Node,
    key: &ClaimKey,
    claim: Claim,
    members: Option<u64>,
) -> ClaimResult {
    let now = clock::now_ms();
    let (is_uncertain, accepted) = {
        let rosters = node.rosters.lock();
        (rosters.is_uncertain(key, now), rosters.accepts_claim(key, members, now))
    };
    let mut claims = node.claims.lock();
    match claims.claim(key, claim.clone(), now) {
        ClaimResult::Granted if is_uncertain => {
            claims.release(key, claim.request);
            ClaimResult::Uncertain
        }
        ClaimResult::Granted if !accepted => {
            claims.release(key, claim.request);
            ClaimResult::MembershipChanging
        }
        other => other,
    }
}

fn record_failed_members(node: &Node, failed: &[handover::FailedMember]) {
    let now = clock::now_ms();
    let mut rosters = node.rosters.lock();
    for it in failed {
        let member = FailedMember {
            name: it.name.clone(),
            incarnation: it.incarnation,
            zone: it.zone.clone(),
            failed_at: now.saturating_sub(it.age_ms),
            was_stable: it.was_stable,
        };
        rosters.add_failed_members(ServiceId(it.service), &[member]);
    }
}
