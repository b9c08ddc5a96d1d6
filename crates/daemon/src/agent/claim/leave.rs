//! Handing over what an agent remembers when it leaves.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use camphorwinch_core::{object::ServiceId, roster::Lost};
use camphorwinch_wire::handover::{ClaimCall, ClaimPurpose, ClaimRecord, Loss};
use futures::{StreamExt, future, stream};
use tokio::time;

use super::call::{CLAIM_TIMEOUT, ask, tell};
use crate::{agent::node::Node, clock};

/// Claims that are handed over at once when the agent leaves.
const HANDED_AT_ONCE: usize = 16;

/// Gives the claims of an agent that leaves to those that would record them now, waiting at most `limit`.
pub(crate) async fn hand_over(node: &Arc<Node>, limit: Duration) {
    let mut told = Vec::new();
    let claims = node.claims.lock().close();
    let mut heirs: BTreeMap<ServiceId, Vec<String>> = BTreeMap::new();
    for (key, claim) in claims {
        let others = || node.rosters.lock().others(key.service);
        let names = heirs.entry(key.service).or_insert_with(others).clone();
        told.push((names, ClaimRecord::new(&key, &claim)));
    }
    let count = told.len();
    let losses = node.rosters.lock().losses();
    let tell_all =
        stream::iter(told).for_each_concurrent(HANDED_AT_ONCE, |(names, record)| async move {
            let told = names.iter().map(|it| tell(node, it, ClaimPurpose::Adopt, &record));
            future::join_all(told).await;
        });
    let tell_losses = future::join_all(
        losses.into_iter().map(|(service, lost)| tell_losses(node, service, lost)),
    );
    if time::timeout(limit, future::join(tell_all, tell_losses)).await.is_err() {
        tracing::warn!("not all of {count} claims were handed over within {limit:?}");
    }
}

/// Tells the members of a service's pool which others died lately.
async fn tell_losses(node: &Node, service: ServiceId, lost: Vec<Lost>) {
    let names = node.rosters.lock().others(service);
    let now = clock::now_ms();
    let mut parts = Vec::new();
    for it in lost {
        parts.push(Loss {
            service: service.0,
            name: it.name,
            incarnation: it.incarnation,
            zone: it.zone,
            age_ms: now.saturating_sub(it.at),
            old: it.old,
        });
    }
    let purpose = ClaimPurpose::Losses as i32;
    let call = ClaimCall { purpose, losses: parts, ..ClaimCall::default() };
    for name in names {
        if let Ok(Err(e)) = time::timeout(CLAIM_TIMEOUT, ask(node, &name, call.clone())).await {
            tracing::debug!("tell {name} of members that died: {e:#}");
        }
    }
}
