//! The list of members as other processes tell it.

use std::{net::SocketAddrV4, time::Duration};

use camphorwinch_core::opaque::{
    listing::{Need, ask_order},
    revision::Revision,
};
use camphorwinch_wire::opaque::{Part, Question, Snapshot};
use rand::seq::IteratorRandom;
use tokio::{sync::watch, time::sleep};

use super::{
    super::{Found, found, spread},
    Got, Join, Start,
};
use crate::{
    event::Id,
    metrics,
    snapshot::Asked,
    store::{Members, Record, Store},
};

/// Time for a peer's first word on the list.
const TELL_PATIENCE: Duration = Duration::from_millis(200);
/// The same at the first start of the whole system, when those who are asked start themselves.
const FIRST_START_PATIENCE: Duration = Duration::from_millis(1_000);
/// Pause before peers that were not there yet are asked again then.
const FIRST_START_PAUSE: Duration = Duration::from_millis(150);
/// Referrals that are followed one after the other before the store is read.
const MAX_REFERRED: usize = 4;
/// Peers that have greeted an agent which it asks before the seeds.
const GREETED_ASKED: usize = 2;

impl Got {
    /// What a peer told; none if it does not have the store's list.
    fn from_peer(snapshot: &Snapshot) -> Option<Got> {
        let at = snapshot.listed_at()?;
        let (mut records, mut others) = (Vec::new(), Vec::new());
        for it in &snapshot.members {
            let listed = it.listed().ok()?;
            if it.name.is_empty() {
                others.push(listed);
                continue;
            }
            let revision = Revision::new(at.era, it.revision);
            records.push(Record { name: it.name.clone(), listed, revision });
        }
        Some(Got { members: Members { at, records }, others })
    }
}

impl<S> Join<S>
where
    S: Store,
{
    /// The list as others tell it, if one of them has it as new as it is needed.
    pub(super) async fn told(
        &self,
        seeds: &[SocketAddrV4],
        need: Need,
        heard: &watch::Sender<bool>,
    ) -> Option<Got> {
        let own = self.own.address;
        let part = if self.is_agent() { Part::Balancers } else { Part::All };
        let mut ask = Question::default().with_members(part).with_need(need);
        if !self.is_agent() {
            ask = ask.with_config().with_asker(own);
        }
        let mut peers = ask_order(own, seeds);
        if self.is_agent() {
            let greeted: Vec<_> = self.greeted.borrow().iter().copied().collect();
            let mut near = ask_order(own, &greeted);
            near.truncate(GREETED_ASKED);
            near.append(&mut peers);
            peers = near;
        }
        loop {
            for &peer in &peers {
                let Some(snapshot) = self.ask(peer, &ask, heard).await else {
                    continue;
                };
                let got = Got::from_peer(&snapshot).filter(|_| snapshot.meets_need);
                self.pass_on(&snapshot, got.is_none()).await;
                if got.is_some() {
                    return got;
                }
            }
            if !self.first_start || peers.is_empty() {
                return None;
            }
            sleep(FIRST_START_PAUSE.mul_f64(spread())).await;
        }
    }

    /// Asks a peer, and those whom it names in its place.
    async fn ask(
        &self,
        peer: SocketAddrV4,
        ask: &Question,
        heard: &watch::Sender<bool>,
    ) -> Option<Snapshot> {
        let patience = if self.first_start { FIRST_START_PATIENCE } else { TELL_PATIENCE };
        let (mut to, mut next) = (peer, ask.clone());
        for _ in 0..MAX_REFERRED {
            let answer = match Asked::new(to, &next, patience).await {
                Ok(asked) => {
                    heard.send_replace(true);
                    asked.answer().await
                }
                Err(e) => Err(e),
            };
            log_asked(to, &answer);
            let snapshot = match answer {
                Ok(it) if it.referred.is_empty() && (it.meets_need || to == peer) => {
                    return Some(it);
                }
                Ok(it) if to == peer => it,
                // Who was named can't tell it, or is gone.
                Ok(_) | Err(_) if to != peer => {
                    (to, next) = (peer, ask.clone());
                    continue;
                }
                Ok(_) | Err(_) => return None,
            };
            let named = snapshot.referred.iter().choose(&mut rand::rng()).copied();
            to = named.and_then(|it| SocketAddrV4::try_from(it).ok()).unwrap_or(peer);
            let need = snapshot.listed_at().map_or(ask.need(), Need::Since);
            next = Question { referred: true, ..ask.clone().with_need(need) };
        }
        None
    }

    /// Passes on what a peer knows beside the list.
    async fn pass_on(&self, snapshot: &Snapshot, with_members: bool) {
        let found = match found(snapshot, with_members) {
            Ok(it) => it,
            Err(e) => return tracing::debug!("what a peer told: {e}"),
        };
        let told = found.iter().any(|it| matches!(it, Found::Routes(_)));
        for it in found {
            if self.out.send(it).await.is_err() {
                return;
            }
        }
        if told && !with_members {
            self.started(Start::Told);
        }
    }
}

fn log_asked(peer: SocketAddrV4, answer: &anyhow::Result<Snapshot>) {
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
    metrics::LIST_ASKS.with_label_values(&[result]).inc();
}
