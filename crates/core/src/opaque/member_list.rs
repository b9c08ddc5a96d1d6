//! Distribution of the store's member list between processes.
//!
//! In a large fleet the list has many pages, so only a few processes read it from the store and the others receive it
//! from them. Lists are ordered by the store revision as of which they were read. A process needs one at least as new
//! as its own entry: then of two processes that start at once, one sees the other.

use std::{collections::VecDeque, net::SocketAddrV4};

use super::{
    flow::{address_number, rendezvous_weight},
    revision::Revision,
};

/// Lists that a process sends within one window; further requests are referred to earlier recipients.
const MAX_SENDS_PER_WINDOW: usize = 4;
/// Length of a window. Four lists of 1,000 members each use most of a 20 Mbit/s link for that time.
const SEND_WINDOW_MS: u64 = 100;
/// Processes named in a referral; one may be gone.
const MAX_REFERRALS: usize = 2;
/// Recipients that are remembered.
const MAX_RECIPIENTS: usize = 64;

/// Required freshness of a list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// Any list.
    Any,
    /// At least as new as this revision.
    AtLeast(Revision),
    /// Read from the store after the request.
    Fresh,
}

impl Freshness {
    /// Whether a list of this revision, read before the request, is new enough.
    pub fn is_met_by(self, at: Option<Revision>) -> bool {
        match self {
            Freshness::Any => true,
            Freshness::AtLeast(revision) => at >= Some(revision),
            Freshness::Fresh => false,
        }
    }
}

/// How to answer a request for the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ListReply {
    /// Send the local list.
    Send,
    /// Refer to processes that were sent a list that is new enough.
    Refer(Vec<SocketAddrV4>),
    /// Read the store first.
    ReadStore,
}

/// Revision of the local member list, and the processes that it was sent to.
#[derive(Clone, Debug, Default)]
pub struct MemberListServer {
    revision: Option<Revision>,
    recipients: VecDeque<(SocketAddrV4, Revision)>,
    window_start_ms: u64,
    sent_in_window: usize,
}

impl MemberListServer {
    /// Records that a list as of a revision was received; older ones are ignored.
    pub fn record(&mut self, at: Revision) {
        self.revision = self.revision.max(Some(at));
    }

    /// Revision of the local list.
    pub fn revision(&self) -> Option<Revision> {
        self.revision
    }

    /// Decides how to answer a request. `requester` is an address if that process can send the list to others.
    pub fn handle_request(
        &mut self,
        requester: Option<SocketAddrV4>,
        freshness: Freshness,
        now_ms: u64,
    ) -> ListReply {
        if !freshness.is_met_by(self.revision) {
            return ListReply::ReadStore;
        }
        if now_ms.saturating_sub(self.window_start_ms) >= SEND_WINDOW_MS {
            self.window_start_ms = now_ms;
            self.sent_in_window = 0;
        }
        let others = if self.sent_in_window < MAX_SENDS_PER_WINDOW {
            Vec::new()
        } else {
            self.next_recipients(freshness)
        };
        if !others.is_empty() {
            return ListReply::Refer(others);
        }
        self.sent_in_window += 1;
        self.record_recipient(requester);
        ListReply::Send
    }

    fn record_recipient(&mut self, requester: Option<SocketAddrV4>) {
        let (Some(requester), Some(at)) = (requester, self.revision) else {
            return;
        };
        self.recipients.retain(|it| it.0 != requester);
        if self.recipients.len() == MAX_RECIPIENTS {
            self.recipients.pop_front();
        }
        self.recipients.push_back((requester, at));
    }

    /// Returns the next recipients with a list that is new enough, round-robin.
    fn next_recipients(&mut self, freshness: Freshness) -> Vec<SocketAddrV4> {
        let mut others = Vec::new();
        for _ in 0..self.recipients.len() {
            let Some((process, at)) = self.recipients.pop_front() else {
                break;
            };
            self.recipients.push_back((process, at));
            if freshness.is_met_by(Some(at)) {
                others.push(process);
            }
            if others.len() == MAX_REFERRALS {
                break;
            }
        }
        others
    }
}

/// Order in which a process sends requests to others. Each process has its own order, which spreads the load.
pub fn query_order(own: SocketAddrV4, others: &[SocketAddrV4]) -> Vec<SocketAddrV4> {
    let mut order: Vec<_> = others.iter().copied().filter(|&it| it != own).collect();
    order.sort_unstable_by_key(|&it| rendezvous_weight(it, address_number(own)));
    order
}
