//! Retrieval of the member list from peers.

use std::{net::SocketAddrV4, time::Duration};

use camphorwinch_core::opaque::{
    member_list::{Freshness, query_order},
    revision::Revision,
};
use camphorwinch_wire::opaque::{Part, Snapshot, SnapshotRequest};
use rand::seq::IteratorRandom;
use tokio::{sync::watch, time::sleep};

use super::{
    super::{Update, jitter, updates},
    DiscoveryState, Join, MemberList,
};
use crate::{
    event::Id,
    metrics,
    snapshot::PendingRequest,
    store::{Members, Record, Store},
};

/// Timeout for a peer's first response.
const PEER_TIMEOUT: Duration = Duration::from_millis(200);
/// The same at the first start of the system, when the peers are starting too.
const FIRST_START_PEER_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Pause before unavailable peers are tried again at the first start.
const FIRST_START_RETRY_DELAY: Duration = Duration::from_millis(150);
/// Maximum length of a chain of referrals.
const MAX_REFERRALS: usize = 4;
/// Balancers that have sent an agent a hello and are tried before the seeds.
const MAX_HELLO_SENDERS_TRIED: usize = 2;

impl MemberList {
    /// Converts a peer's snapshot; `None` if the peer does not have the store's list.
    fn from_peer(snapshot: &Snapshot) -> Option<MemberList> {
        let at = snapshot.listed_at()?;
        let (mut records, mut unlisted) = (Vec::new(), Vec::new());
        for it in &snapshot.members {
            let listed = it.listed().ok()?;
            if it.name.is_empty() {
                unlisted.push(listed);
                continue;
            }
            let revision = Revision::new(at.era, it.revision);
            records.push(Record { name: it.name.clone(), listed, revision });
        }
        Some(MemberList { members: Members { at, records }, unlisted })
    }
}

impl<S> Join<S>
where
    S: Store,
{
    /// Returns the list from a peer that has it as new as `freshness` requires.
    pub(super) async fn members_from_peers(
        &self,
        seeds: &[SocketAddrV4],
        freshness: Freshness,
        responded: &watch::Sender<bool>,
    ) -> Option<MemberList> {
        let own = self.own.address;
        let part = if self.is_agent() { Part::Balancers } else { Part::All };
        let mut request = SnapshotRequest::default().with_members(part).with_freshness(freshness);
        if !self.is_agent() {
            request = request.with_config().with_requester(own);
        }
        let mut peers = query_order(own, seeds);
        if self.is_agent() {
            let hello_senders: Vec<_> = self.hello_senders.borrow().iter().copied().collect();
            let mut nearby = query_order(own, &hello_senders);
            nearby.truncate(MAX_HELLO_SENDERS_TRIED);
            nearby.append(&mut peers);
            peers = nearby;
        }
        loop {
            for &peer in &peers {
                let Some(snapshot) = self.request_snapshot(peer, &request, responded).await else {
                    continue;
                };
                let list = MemberList::from_peer(&snapshot).filter(|_| snapshot.is_fresh);
                self.forward_state(&snapshot, list.is_none()).await;
                if list.is_some() {
                    return list;
                }
            }
            if !self.first_start || peers.is_empty() {
                return None;
            }
            sleep(FIRST_START_RETRY_DELAY.mul_f64(jitter())).await;
        }
    }

    /// Requests the list from a peer and follows its referrals.
    async fn request_snapshot(
        &self,
        peer: SocketAddrV4,
        request: &SnapshotRequest,
        responded: &watch::Sender<bool>,
    ) -> Option<Snapshot> {
        let response_timeout =
            if self.first_start { FIRST_START_PEER_TIMEOUT } else { PEER_TIMEOUT };
        let (mut to, mut next) = (peer, request.clone());
        for _ in 0..MAX_REFERRALS {
            let answer = match PendingRequest::new(to, &next, response_timeout).await {
                Ok(pending) => {
                    responded.send_replace(true);
                    pending.answer().await
                }
                Err(e) => Err(e),
            };
            log_list_request(to, &answer);
            let snapshot = match answer {
                Ok(it) if it.referrals.is_empty() && (it.is_fresh || to == peer) => {
                    return Some(it);
                }
                Ok(it) if to == peer => it,
                // The referred process does not have the list or is gone.
                Ok(_) | Err(_) if to != peer => {
                    (to, next) = (peer, request.clone());
                    continue;
                }
                Ok(_) | Err(_) => return None,
            };
            let referral = snapshot.referrals.iter().choose(&mut rand::rng()).copied();
            to = referral.and_then(|it| SocketAddrV4::try_from(it).ok()).unwrap_or(peer);
            let freshness = snapshot.listed_at().map_or(request.freshness(), Freshness::AtLeast);
            next = SnapshotRequest { referred: true, ..request.clone().with_freshness(freshness) };
        }
        None
    }

    /// Forwards the state that a peer sent beside the list.
    async fn forward_state(&self, snapshot: &Snapshot, with_members: bool) {
        let found = match updates(snapshot, with_members) {
            Ok(it) => it,
            Err(e) => return tracing::debug!("invalid snapshot from a peer: {e}"),
        };
        let routes_sent = found.iter().any(|it| matches!(it, Update::PeerRoutes(_)));
        for it in found {
            if self.out.send(it).await.is_err() {
                return;
            }
        }
        if routes_sent && !with_members {
            self.set_state(DiscoveryState::FromPeer);
        }
    }
}

fn log_list_request(peer: SocketAddrV4, answer: &anyhow::Result<Snapshot>) {
    let id = Id::ListAsked;
    match answer {
        Ok(it) => tracing::info!(
            id = id as u16,
            name = id.name(),
            peer = %peer,
            members = it.members.len(),
            revision = it.list_revision,
            era = it.list_era,
            met = it.is_fresh,
            referred = it.referrals.len(),
        ),
        Err(e) => {
            let error = format!("{e:#}");
            tracing::info!(id = id as u16, name = id.name(), peer = %peer, error);
        }
    }
    let result = match answer {
        Ok(it) if !it.referrals.is_empty() => "referred",
        Ok(it) if it.is_fresh => "told",
        Ok(_) => "old",
        Err(_) => "no-answer",
    };
    metrics::LIST_QUERIES.with_label_values(&[result]).inc();
}
