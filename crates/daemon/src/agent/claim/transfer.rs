//! Transfers the claims of an agent that stops to the other members.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use camphorwinch_core::{object::ServiceId, roster::FailedMember};
use camphorwinch_wire::handover::{self, ClaimCall, ClaimPurpose, ClaimRecord};
use futures::{StreamExt, future, stream};
use tokio::time;

use super::client::{CLAIM_TIMEOUT, send_call, send_until_accepted};
use crate::{agent::node::Node, clock};

/// Claims transferred concurrently.
const CONCURRENT_TRANSFERS: usize = 16;

/// Sends this agent's claims and its list of failed members to the other members, within `timeout`.
pub(crate) async fn transfer_claims(node: &Arc<Node>, timeout: Duration) {
    let mut transfers = Vec::new();
    let claims = node.claims.lock().close();
    let mut recipients: BTreeMap<ServiceId, Vec<String>> = BTreeMap::new();
    for (key, claim) in claims {
        let others = || node.rosters.lock().other_members(key.service);
        let names = recipients.entry(key.service).or_insert_with(others).clone();
        transfers.push((names, ClaimRecord::new(&key, &claim)));
    }
    let count = transfers.len();
    let failed_members = node.rosters.lock().failed_members();
    let send_claims = stream::iter(transfers).for_each_concurrent(
        CONCURRENT_TRANSFERS,
        |(names, record)| async move {
            let sends = names
                .iter()
                .map(|it| send_until_accepted(node, it, ClaimPurpose::Transfer, &record));
            future::join_all(sends).await;
        },
    );
    let send_failed = future::join_all(
        failed_members
            .into_iter()
            .map(|(service, members)| send_failed_members(node, service, members)),
    );
    if time::timeout(timeout, future::join(send_claims, send_failed)).await.is_err() {
        tracing::warn!("could not transfer all {count} claims within {timeout:?}");
    }
}

/// Sends the recently failed members of a service to the other members.
async fn send_failed_members(node: &Node, service: ServiceId, failed: Vec<FailedMember>) {
    let names = node.rosters.lock().other_members(service);
    let now = clock::now_ms();
    let mut failed_members = Vec::new();
    for it in failed {
        failed_members.push(handover::FailedMember {
            service: service.0,
            name: it.name,
            incarnation: it.incarnation,
            zone: it.zone,
            age_ms: now.saturating_sub(it.failed_at),
            was_stable: it.was_stable,
        });
    }
    let purpose = ClaimPurpose::FailedMembers as i32;
    let call = ClaimCall { purpose, failed_members, ..ClaimCall::default() };
    for name in names {
        if let Ok(Err(e)) = time::timeout(CLAIM_TIMEOUT, send_call(node, &name, call.clone())).await
        {
            tracing::debug!("send failed members to {name}: {e:#}");
        }
    }
}
