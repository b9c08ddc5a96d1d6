//! Retrieval of the member list from peers.

use std::{net::SocketAddrV4, time::Duration};

use camphorwinch_core::opaque::{
    listing::{Need, ask_order},
    revision::Revision,
};
use camphorwinch_wire::opaque::{Part, Question, Snapshot};
use rand::seq::IteratorRandom;
use tokio::{sync::watch, time::sleep};

use super::{
    super::{Update, jitter, updates},
    DiscoveryState, Join, MemberList,
};
use crate::{
    event::Id,
    metrics,
    snapshot::PendingQuery,
    store::{Members, Record, Store},
};

/// Timeout for a peer's first response.
const PEER_TIMEOUT: Duration = Duration::from_millis(200);
/// The same at the first start of the system, when the peers are starting too.
const FIRST_START_PEER_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Pause before unavailable peers are queried again at the first start.
const FIRST_START_RETRY_DELAY: Duration = Duration::from_millis(150);
/// Maximum length of a chain of referrals.
const MAX_REFERRALS: usize = 4;
/// Balancers that have greeted an agent and are queried before the seeds.
const MAX_GREETED_QUERIED: usize = 2;

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
    /// Returns the list from a peer that has it as new as `need` requires.
    pub(super) async fn members_from_peers(
        &self,
        seeds: &[SocketAddrV4],
        need: Need,
        responded: &watch::Sender<bool>,
    ) -> Option<MemberList> {
        let own = self.own.address;
        let part = if self.is_agent() { Part::Balancers } else { Part::All };
        let mut query = Question::default().with_members(part).with_need(need);
        if !self.is_agent() {
            query = query.with_config().with_asker(own);
        }
        let mut peers = ask_order(own, seeds);
        if self.is_agent() {
            let greeted: Vec<_> = self.greeted.borrow().iter().copied().collect();
            let mut nearby = ask_order(own, &greeted);
            nearby.truncate(MAX_GREETED_QUERIED);
            nearby.append(&mut peers);
            peers = nearby;
        }
        loop {
            for &peer in &peers {
                let Some(snapshot) = self.query_peer(peer, &query, responded).await else {
                    continue;
                };
                let list = MemberList::from_peer(&snapshot).filter(|_| snapshot.meets_need);
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

    /// Queries a peer and follows its referrals.
    async fn query_peer(
        &self,
        peer: SocketAddrV4,
        query: &Question,
        responded: &watch::Sender<bool>,
    ) -> Option<Snapshot> {
        let response_timeout =
            if self.first_start { FIRST_START_PEER_TIMEOUT } else { PEER_TIMEOUT };
        let (mut to, mut next) = (peer, query.clone());
        for _ in 0..MAX_REFERRALS {
            let answer = match PendingQuery::new(to, &next, response_timeout).await {
                Ok(asked) => {
                    responded.send_replace(true);
                    asked.answer().await
                }
                Err(e) => Err(e),
            };
            log_list_query(to, &answer);
            let snapshot = match answer {
                Ok(it) if it.referred.is_empty() && (it.meets_need || to == peer) => {
                    return Some(it);
                }
                Ok(it) if to == peer => it,
                // The referred process does not have the list or is gone.
                Ok(_) | Err(_) if to != peer => {
                    (to, next) = (peer, query.clone());
                    continue;
                }
                Ok(_) | Err(_) => return None,
            };
            let referral = snapshot.referred.iter().choose(&mut rand::rng()).copied();
            to = referral.and_then(|it| SocketAddrV4::try_from(it).ok()).unwrap_or(peer);
            let need = snapshot.listed_at().map_or(query.need(), Need::Since);
            next = Question { referred: true, ..query.clone().with_need(need) };
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

fn log_list_query(peer: SocketAddrV4, answer: &anyhow::Result<Snapshot>) {
    let id = Id::ListAsked;
    match answer {
        Ok(it) => tracing::info!(
            id = id as u16,
            name = id.name(),
            peer = %peer,
            members = it.members.len(),
            revision = it.list_revision,
            era = it.list_era,
            met = it.meets_need,
            referred = it.referred.len(),
        ),
        Err(e) => {
            let error = format!("{e:#}");
            tracing::info!(id = id as u16, name = id.name(), peer = %peer, error);
        }
    }
    let result = match answer {
        Ok(it) if !it.referred.is_empty() => "referred",
        Ok(it) if it.meets_need => "told",
        Ok(_) => "old",
        Err(_) => "no-answer",
    };
    metrics::LIST_QUERIES.with_label_values(&[result]).inc();
}
