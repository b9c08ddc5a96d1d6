//! Handles claim messages from other agents and records their claims.

use camphorwinch_core::{
    claims::{Claim, ClaimKey, Claimed, MAX_KEY},
    object::ServiceId,
    roster::Lost,
};
use camphorwinch_wire::handover::{
    ClaimCall, ClaimPurpose, ClaimRecord, ClaimReply, ClaimVerdict, HandoverError, Loss, request_id,
};

use crate::{agent::node::Node, clock};

/// Handles a claim message. Fails if it is malformed.
pub(crate) fn handle_call(node: &Node, call: &ClaimCall) -> Result<ClaimReply, HandoverError> {
    let purpose = ClaimPurpose::try_from(call.purpose).map_err(|_| HandoverError("purpose"))?;
    if purpose == ClaimPurpose::Losses {
        record_failed_members(node, &call.losses);
        return Ok(ClaimReply { verdict: ClaimVerdict::Granted as i32, holder: None });
    }
    let claim_record = call.record.as_ref().ok_or(HandoverError("claim"))?;
    let key = claim_record.claim_key();
    if !(1..=MAX_KEY).contains(&key.key.len()) {
        return Err(HandoverError("idempotency key"));
    }
    let now = clock::now_ms();
    let claimed = match (purpose, claim_record.claim()?) {
        (ClaimPurpose::Claim, Some(claim)) => record(node, &key, claim, call.members),
        (ClaimPurpose::Settle, Some(claim)) => {
            node.claims.lock().settle(&key, claim.request, claim.state, now);
            Claimed::Granted
        }
        (ClaimPurpose::Settle, None) => {
            node.claims.lock().release(&key, request_id(&claim_record.request)?);
            Claimed::Granted
        }
        (ClaimPurpose::Adopt, Some(claim)) => {
            node.claims.lock().adopt(&key, claim, now);
            Claimed::Granted
        }
        (ClaimPurpose::Probe, _) => {
            let in_progress =
                node.keyed_requests.lock().contains(&request_id(&claim_record.request)?);
            if in_progress { Claimed::Granted } else { Claimed::Mismatch }
        }
        (ClaimPurpose::Claim | ClaimPurpose::Adopt, None) | (ClaimPurpose::Losses, _) => {
            return Err(HandoverError("state of a claim"));
        }
    };
    let (verdict, holder) = match claimed {
        Claimed::Granted => (ClaimVerdict::Granted, None),
        Claimed::Taken(claim) => (ClaimVerdict::Taken, Some(ClaimRecord::new(&key, &claim))),
        Claimed::Mismatch => (ClaimVerdict::Mismatch, None),
        Claimed::Doubtful => (ClaimVerdict::Doubtful, None),
        Claimed::Unsettled => (ClaimVerdict::Unsettled, None),
        Claimed::Full => (ClaimVerdict::Full, None),
    };
    Ok(ClaimReply { verdict: verdict as i32, holder })
}

/// Records a claim at this agent, if the key is free and the membership allows it.
pub(super) fn record(node: &Node, key: &ClaimKey, claim: Claim, members: Option<u64>) -> Claimed {
    let now = clock::now_ms();
    let (may_be_lost, accepted) = {
        let rosters = node.rosters.lock();
        (rosters.claim_may_be_lost(key, now), rosters.accepts_claim(key, members, now))
    };
    let mut claims = node.claims.lock();
    match claims.claim(key, claim.clone(), now) {
        Claimed::Granted if may_be_lost => {
            claims.release(key, claim.request);
            Claimed::Doubtful
        }
        Claimed::Granted if !accepted => {
            claims.release(key, claim.request);
            Claimed::Unsettled
        }
        other => other,
    }
}

fn record_failed_members(node: &Node, losses: &[Loss]) {
    let now = clock::now_ms();
    let mut rosters = node.rosters.lock();
    for it in losses {
        let lost = Lost {
            name: it.name.clone(),
            incarnation: it.incarnation,
            zone: it.zone.clone(),
            at: now.saturating_sub(it.age_ms),
            old: it.old,
        };
        rosters.add_failed_members(ServiceId(it.service), &[lost]);
    }
}
