//! Messages about claims to other agents.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use camphorwinch_core::claims::{Claim, ClaimKey, Claimed};
use camphorwinch_wire::handover::{
    ClaimCall, ClaimPurpose, ClaimRecord, ClaimReply, ClaimVerdict, HandoverError, Kind,
};
use tokio::time;

use super::{
    Word,
    answer::{answer, record},
};
use crate::agent::node::Node;

/// Longest wait for another agent's word on a claim.
pub(super) const CLAIM_TIMEOUT: Duration = Duration::from_millis(500);
/// Waits before what came of a claim is sent again to an agent that did not take it.
const SETTLE_WAITS_MS: [u64; 8] = [0, 100, 500, 2_000, 5_000, 10_000, 20_000, 20_000];

pub(super) async fn call(
    node: &Arc<Node>,
    owner: &str,
    key: &ClaimKey,
    claim: &Claim,
    members: Option<u64>,
) -> Word {
    if owner == node.settings.name {
        return word(record(node, key, claim.clone(), members));
    }
    let record = ClaimRecord::new(key, claim);
    let claim_call = ClaimCall { members, ..ClaimCall::new(ClaimPurpose::Claim, record) };
    let asked = ask(node, owner, claim_call);
    match time::timeout(CLAIM_TIMEOUT, asked).await {
        Ok(Ok(reply)) => read(&reply).unwrap_or(Word::Unavailable),
        Ok(Err(_)) | Err(_) => Word::Unavailable,
    }
}

/// Sends a record until the other agent has taken it, or it is clear that it won't.
pub(super) async fn tell(
    node: &Arc<Node>,
    owner: &str,
    purpose: ClaimPurpose,
    record: &ClaimRecord,
) {
    let call = ClaimCall::new(purpose, record.clone());
    if owner == node.settings.name {
        // A record of our own is well-formed.
        let _ = answer(node, &call);
        return;
    }
    for wait in SETTLE_WAITS_MS {
        time::sleep(Duration::from_millis(wait)).await;
        let lives = node.snapshot().agents.get(owner).is_some_and(|it| it.state.answers());
        if !lives {
            return;
        }
        let asked = ask(node, owner, call.clone());
        match time::timeout(CLAIM_TIMEOUT, asked).await {
            Ok(Ok(_)) => return,
            Ok(Err(e)) if is_refused(&e) => return,
            Ok(Err(e)) => tracing::debug!("tell {owner} of a claim: {e:#}"),
            Err(_) => tracing::debug!("tell {owner} of a claim: no answer in time"),
        }
    }
}

pub(super) async fn ask(node: &Node, owner: &str, call: ClaimCall) -> anyhow::Result<ClaimReply> {
    if let Some(mut link) = node.links.kept(owner) {
        if link.sink.send(Kind::Claim(call.clone())).await.is_ok() {
            if let Ok(Kind::Reply(reply)) = link.recv().await {
                node.links.keep(link);
                return Ok(reply);
            }
        }
    }
    let mut link = node.links.open(owner, address(node, owner)?).await?;
    link.sink.send(Kind::Claim(call)).await?;
    let Kind::Reply(reply) = link.recv().await? else {
        anyhow::bail!("{owner} answered a claim with something else");
    };
    node.links.keep(link);
    Ok(reply)
}

fn address(node: &Node, owner: &str) -> anyhow::Result<SocketAddr> {
    let snapshot = node.snapshot();
    let Some(agent) = snapshot.agents.get(owner) else {
        anyhow::bail!("it has gone");
    };
    Ok(agent.control)
}

/// A process that refuses connections is dead, and its memory with it; one that is silent may hold claims.
pub(super) fn is_refused(e: &anyhow::Error) -> bool {
    let refused = |it: &io::Error| it.kind() == io::ErrorKind::ConnectionRefused;
    e.chain().any(|it| it.downcast_ref::<io::Error>().is_some_and(refused))
}

fn word(claimed: Claimed) -> Word {
    match claimed {
        Claimed::Granted => Word::Granted,
        Claimed::Doubtful => Word::Doubtful,
        Claimed::Unsettled => Word::Unsettled,
        Claimed::Taken(claim) => Word::Taken(claim),
        Claimed::Mismatch => Word::Mismatch,
        Claimed::Full => Word::Unavailable,
    }
}

fn read(reply: &ClaimReply) -> Result<Word, HandoverError> {
    match ClaimVerdict::try_from(reply.verdict) {
        Ok(ClaimVerdict::Granted) => Ok(Word::Granted),
        Ok(ClaimVerdict::Mismatch) => Ok(Word::Mismatch),
        Ok(ClaimVerdict::Doubtful) => Ok(Word::Doubtful),
        Ok(ClaimVerdict::Unsettled) => Ok(Word::Unsettled),
        Ok(ClaimVerdict::Full) | Err(_) => Ok(Word::Unavailable),
        Ok(ClaimVerdict::Taken) => {
            let holder = reply.holder.as_ref().ok_or(HandoverError("holder of a claim"))?;
            Ok(holder.claim()?.map_or(Word::Unavailable, Word::Taken))
        }
    }
}
