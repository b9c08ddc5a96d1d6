//! Sends claim messages to other agents.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use camphorwinch_core::claims::{Claim, ClaimKey, ClaimResult};
use camphorwinch_wire::handover::{
    ClaimCall, ClaimPurpose, ClaimRecord, ClaimReply, ClaimVerdict, HandoverError, Kind,
};
use tokio::time;

use super::{
    ClaimVote,
    server::{handle_call, record},
};
use crate::agent::node::Node;

/// Timeout for another agent's reply to a claim message.
pub(super) const CLAIM_TIMEOUT: Duration = Duration::from_millis(500);
/// Delays before the attempts to send a claim record to an agent.
const SEND_DELAYS_MS: [u64; 8] = [0, 100, 500, 2_000, 5_000, 10_000, 20_000, 20_000];

/// Requests a claim from one agent, which may be this one.
pub(super) async fn request_claim(
    node: &Arc<Node>,
    agent_name: &str,
    key: &ClaimKey,
    claim: &Claim,
    members: Option<u64>,
) -> ClaimVote {
    if agent_name == node.settings.name {
        return vote(record(node, key, claim.clone(), members));
    }
    let record = ClaimRecord::new(key, claim);
    let claim_call = ClaimCall { members, ..ClaimCall::new(ClaimPurpose::Claim, record) };
    let reply = send_call(node, agent_name, claim_call);
    match time::timeout(CLAIM_TIMEOUT, reply).await {
        Ok(Ok(reply)) => parse_vote(&reply).unwrap_or(ClaimVote::Unavailable),
        Ok(Err(_)) | Err(_) => ClaimVote::Unavailable,
    }
}

/// Sends a claim record with retries until the agent accepts it or is down.
pub(super) async fn send_until_accepted(
    node: &Arc<Node>,
    agent_name: &str,
    purpose: ClaimPurpose,
    record: &ClaimRecord,
) {
    let call = ClaimCall::new(purpose, record.clone());
    if agent_name == node.settings.name {
        // Can't fail: a record built by this process is well-formed.
        let _ = handle_call(node, &call);
        return;
    }
    for delay_ms in SEND_DELAYS_MS {
        time::sleep(Duration::from_millis(delay_ms)).await;
        let is_alive = node.snapshot().agents.get(agent_name).is_some_and(|it| it.state.is_alive());
        if !is_alive {
            return;
        }
        let reply = send_call(node, agent_name, call.clone());
        match time::timeout(CLAIM_TIMEOUT, reply).await {
            Ok(Ok(_)) => return,
            Ok(Err(e)) if is_connection_refused(&e) => return,
            Ok(Err(e)) => tracing::debug!("send a claim record to {agent_name}: {e:#}"),
            Err(_) => tracing::debug!("send a claim record to {agent_name}: timed out"),
        }
    }
}

/// Sends a claim message over an idle link or, if that fails, over a new one. Returns the reply.
pub(super) async fn send_call(
    node: &Node,
    agent_name: &str,
    call: ClaimCall,
) -> anyhow::Result<ClaimReply> {
    if let Some(mut link) = node.links.take_idle(agent_name) {
        if link.sink.send(Kind::Claim(call.clone())).await.is_ok() {
            if let Ok(Kind::Reply(reply)) = link.recv().await {
                node.links.put_idle(link);
                return Ok(reply);
            }
        }
    }
    let mut link = node.links.open(agent_name, address(node, agent_name)?).await?;
    link.sink.send(Kind::Claim(call)).await?;
    let Kind::Reply(reply) = link.recv().await? else {
        anyhow::bail!("{agent_name} sent an unexpected reply to a claim message");
    };
    node.links.put_idle(link);
    Ok(reply)
}

fn address(node: &Node, agent_name: &str) -> anyhow::Result<SocketAddr> {
    let snapshot = node.snapshot();
    let Some(agent) = snapshot.agents.get(agent_name) else {
        anyhow::bail!("agent {agent_name} is not a member");
    };
    Ok(agent.control)
}

/// Whether the connection was refused: then the process has ended and its claims are lost. An unresponsive process may
/// still hold them.
pub(super) fn is_connection_refused(e: &anyhow::Error) -> bool {
    let refused = |it: &io::Error| it.kind() == io::ErrorKind::ConnectionRefused;
    e.chain().any(|it| it.downcast_ref::<io::Error>().is_some_and(refused))
}

fn vote(claimed: ClaimResult) -> ClaimVote {
    match claimed {
        ClaimResult::Granted => ClaimVote::Granted,
        ClaimResult::Uncertain => ClaimVote::Uncertain,
        ClaimResult::MembershipChanging => ClaimVote::MembershipChanging,
        ClaimResult::Conflict(claim) => ClaimVote::Conflict(claim),
        ClaimResult::Mismatch => ClaimVote::Mismatch,
        ClaimResult::Full => ClaimVote::Unavailable,
    }
}

fn parse_vote(reply: &ClaimReply) -> Result<ClaimVote, HandoverError> {
    match ClaimVerdict::try_from(reply.verdict) {
        Ok(ClaimVerdict::Granted) => Ok(ClaimVote::Granted),
        Ok(ClaimVerdict::Mismatch) => Ok(ClaimVote::Mismatch),
        Ok(ClaimVerdict::Uncertain) => Ok(ClaimVote::Uncertain),
        Ok(ClaimVerdict::MembershipChanging) => Ok(ClaimVote::MembershipChanging),
        Ok(ClaimVerdict::Full) | Err(_) => Ok(ClaimVote::Unavailable),
        Ok(ClaimVerdict::Conflict) => {
            let holder = reply.holder.as_ref().ok_or(HandoverError("holder of a claim"))?;
            Ok(holder.claim()?.map_or(ClaimVote::Unavailable, ClaimVote::Conflict))
        }
    }
}
