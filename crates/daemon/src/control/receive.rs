//! Handlers of messages from peers.

use std::collections::BTreeSet;

use camphorwinch_core::{
    record::{Deletion, Record, Watermark},
    timeline,
    view::{self, Scope},
};
use camphorwinch_wire::message::{
    Body, Heartbeat, MessageError, Report, Stamp, Subscription, Summary, Update,
};

use crate::{
    clock::now_ms,
    control::{
        Inner, Load,
        peer::{LinkId, LinkKind, LinkedAgent},
    },
    event, report,
};

impl Inner {
    /// Handles a message that arrived on a link.
    pub(crate) fn receive(&self, id: LinkId, body: Body) -> Result<(), MessageError> {
        if let Some(link) = self.state.lock().links.get_mut(&id) {
            link.last_received_ms = now_ms();
        }
        match body {
            Body::Hello(_) => {}
            Body::Heartbeat(it) => self.receive_heartbeat(id, it),
            Body::Digest(it) => {
                let theirs = it.to_buckets()?;
                let state = self.state.lock();
                if let Some(link) = state.links.get(&id) {
                    let summary = state.view.summary(&link.scope, &theirs);
                    link.send(Body::Summary(Summary::from(&summary)));
                }
            }
            Body::Summary(it) => self.receive_summary(id, &it)?,
            Body::Update(it) => self.receive_update(id, &it)?,
            Body::Subscription(it) => self.receive_subscription(id, it),
            Body::Report(it) => self.receive_report(id, it),
            Body::Disconnect(_) => {
                if let Some(link) = self.state.lock().links.get_mut(&id) {
                    link.closing = true;
                    link.stop.cancel();
                }
            }
        }
        Ok(())
    }

    fn receive_heartbeat(&self, id: LinkId, heartbeat: Heartbeat) {
        observe_stamp(heartbeat.stamp);
        let mut guard = self.state.lock();
        let state = &mut *guard;
        let Some(link) = state.links.get(&id) else {
            return;
        };
        if link.kind != LinkKind::Agent {
            return;
        }
        let load = Load { flows: heartbeat.flows, busy: heartbeat.busy_slots };
        let agent = LinkedAgent {
            applied: heartbeat.applied,
            load,
            epochs: heartbeat.key_epochs,
            primary: heartbeat.primary,
        };
        let before = state.linked_agents.insert(link.peer.clone(), agent);
        state.queue_events(parse_events(&heartbeat.events));
        if before.is_none_or(|it| it.applied != heartbeat.applied) {
            self.report.notify_one();
        }
    }

    fn receive_summary(&self, id: LinkId, summary: &Summary) -> Result<(), MessageError> {
        let theirs = view::Summary::try_from(summary)?;
        let mut guard = self.state.lock();
        let state = &mut *guard;
        let Some(link) = state.links.get(&id) else {
            return Ok(());
        };
        let agent = state.is_agent();
        let scope = link.scope.clone();
        let outcome = state.view.compare(&scope, &theirs);
        let own = state.own.name();
        let eligible = |it: &&Record| match it {
            Record::Member(member) => !agent || member.name() == own,
            Record::Object { .. } | Record::Deleted { .. } => true,
        };
        let missing: Vec<&Record> = outcome.missing_at_peer.iter().filter(eligible).collect();
        if let Some(link) = state.links.get(&id) {
            state.send_records(link, &missing);
        }
        if !outcome.deleted.is_empty() {
            state.flood(&outcome.deleted, Some(id));
            drop(guard);
            self.request_publish();
        }
        Ok(())
    }

    fn receive_update(&self, id: LinkId, update: &Update) -> Result<(), MessageError> {
        observe_stamp(update.stamp);
        let mut records = Vec::new();
        for part in &update.records {
            records.push(Record::try_from(part)?);
        }
        let watermark = update.mark.as_ref().map(Watermark::try_from).transpose()?;
        // The watermark carries deletions that may not be known here yet.
        for it in watermark.iter().flat_map(|it| &it.deleted) {
            let Deletion { kind, name, revision } = it.clone();
            records.push(Record::Deleted { kind, name, revision });
        }
        let changed = self.state.lock().apply(&records, watermark, Some(id));
        if changed {
            self.request_publish();
        }
        Ok(())
    }

    fn receive_subscription(&self, id: LinkId, subscription: Subscription) {
        let mut state = self.state.lock();
        let Some(link) = state.links.get_mut(&id) else {
            return;
        };
        let pools: BTreeSet<String> = subscription.pools.into_iter().collect();
        link.scope = Scope::Pools(pools);
        state.send_digest(id);
    }

    fn receive_report(&self, id: LinkId, report: Report) {
        let peer = self.state.lock().links.get(&id).map(|it| it.peer.clone());
        let Some(peer) = peer else {
            return;
        };
        let events = parse_events(&report.events);
        self.reports.lock().record(&peer, &report, now_ms());
        report::record_changes(self);
        self.state.lock().queue_events(events);
    }
}

fn observe_stamp(stamp: Option<Stamp>) {
    let Some(it) = stamp else {
        return;
    };
    if !event::observe_stamp(timeline::HlcTimestamp { ms: it.ms, counter: it.counter }) {
        tracing::debug!("ignored a stamp too far ahead of the local clock: {} ms", it.ms);
    }
}

fn parse_events(texts: &[String]) -> Vec<timeline::Event> {
    let mut events = Vec::new();
    for text in texts {
        match serde_json::from_str(text) {
            Ok(it) => events.push(it),
            Err(e) => tracing::debug!("ignored a malformed event from a peer: {e}"),
        }
    }
    events
}
