//! Answering messages about claims, and recording claims as the agent that is asked.

use camphorwinch_core::{
    claims::{Claim, ClaimKey, Claimed, MAX_KEY},
    object::ServiceId,
    roster::Lost,
};
use camphorwinch_wire::handover::{
    ClaimCall, ClaimPurpose, ClaimRecord, ClaimReply, ClaimVerdict, HandoverError, Loss, request_id,
};

use crate::{agent::node::Node, clock};

/// Answers a claim message as the agent that is asked.
pub(crate) fn answer(node: &Node, call: &ClaimCall) -> Result<ClaimReply, HandoverError> {
    let purpose = ClaimPurpose::try_from(call.purpose).map_err(|_| HandoverError("purpose"))?;
    if purpose == ClaimPurpose::Losses {
        take_losses(node, &call.losses);
        return Ok(ClaimReply { verdict: ClaimVerdict::Granted as i32, holder: None });
    }
    let told = call.record.as_ref().ok_or(HandoverError("claim"))?;
    let key = told.claim_key();
    if !(1..=MAX_KEY).contains(&key.key.len()) {
        return Err(HandoverError("idempotency key"));
    }
    let now = clock::now_ms();
    let claimed = match (purpose, told.claim()?) {
        (ClaimPurpose::Claim, Some(claim)) => record(node, &key, claim, call.members),
        (ClaimPurpose::Settle, Some(claim)) => {
            node.claims.lock().settle(&key, claim.request, claim.state, now);
            Claimed::Granted
        }
        (ClaimPurpose::Settle, None) => {
            node.claims.lock().release(&key, request_id(&told.request)?);
            Claimed::Granted
        }
        (ClaimPurpose::Adopt, Some(claim)) => {
            node.claims.lock().adopt(&key, claim, now);
            Claimed::Granted
        }
        (ClaimPurpose::Probe, _) => {
            let open = node.open.lock().contains(&request_id(&told.request)?);
            if open { Claimed::Granted } else { Claimed::Mismatch }
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

/// Records a claim as one that is asked.
pub(super) fn record(node: &Node, key: &ClaimKey, claim: Claim, members: Option<u64>) -> Claimed {
    let now = clock::now_ms();
    let (doubtful, admitted) = {
        let rosters = node.rosters.lock();
        (rosters.is_doubtful(key, now), rosters.admits(key, members, now))
    };
    let mut claims = node.claims.lock();
    match claims.claim(key, claim.clone(), now) {
        Claimed::Granted if doubtful => {
            claims.release(key, claim.request);
            Claimed::Doubtful
        }
        Claimed::Granted if !admitted => {
            claims.release(key, claim.request);
            Claimed::Unsettled
        }
        other => other,
    }
}

fn take_losses(node: &Node, losses: &[Loss]) {
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
        rosters.add_losses(ServiceId(it.service), &[lost]);
    }
}
