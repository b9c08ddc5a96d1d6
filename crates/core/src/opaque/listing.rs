//! Distribution of the store's member list between processes.
//!
//! In a large fleet the list has many pages, so only a few processes read it from the store and the others receive it
//! from them. Lists are ordered by the store revision as of which they were read. A process needs one at least as new
//! as its own entry: then of two processes that start at once, one sees the other.

use std::{collections::VecDeque, net::SocketAddrV4};

use super::{
    flow::{number, rank},
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
pub enum Need {
    /// Any list.
    Any,
    /// At least as new as this revision.
    Since(Revision),
    /// Read from the store after the request.
    Fresh,
}

impl Need {
    /// Whether a list of this revision, read before the request, is new enough.
    pub fn is_met(self, at: Option<Revision>) -> bool {
        match self {
            Need::Any => true,
            Need::Since(revision) => at >= Some(revision),
            Need::Fresh => false,
        }
    }
}

/// How to answer a request for the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// Send the local list.
    Tell,
    /// Refer to processes that were sent a list that is new enough.
    Refer(Vec<SocketAddrV4>),
    /// Read the store first.
    Read,
}

/// Revision of the local member list, and the processes that it was sent to.
#[derive(Clone, Debug, Default)]
pub struct Listing {
    revision: Option<Revision>,
    recipients: VecDeque<(SocketAddrV4, Revision)>,
    window_start_ms: u64,
    sent_in_window: usize,
}

impl Listing {
    /// Records that a list as of a revision was received; older ones are ignored.
    pub fn take(&mut self, at: Revision) {
        self.revision = self.revision.max(Some(at));
    }

    /// Revision of the local list.
    pub fn at(&self) -> Option<Revision> {
        self.revision
    }

    /// Decides how to answer a request. `asker` is an address if that process can send the list to others.
    pub fn answer(&mut self, asker: Option<SocketAddrV4>, need: Need, now_ms: u64) -> Reply {
        if !need.is_met(self.revision) {
            return Reply::Read;
        }
        if now_ms.saturating_sub(self.window_start_ms) >= SEND_WINDOW_MS {
            self.window_start_ms = now_ms;
            self.sent_in_window = 0;
        }
        let others = if self.sent_in_window < MAX_SENDS_PER_WINDOW {
            Vec::new()
        } else {
            self.next_recipients(need)
        };
        if !others.is_empty() {
            return Reply::Refer(others);
        }
        self.sent_in_window += 1;
        self.record_recipient(asker);
        Reply::Tell
    }

    fn record_recipient(&mut self, asker: Option<SocketAddrV4>) {
        let (Some(asker), Some(at)) = (asker, self.revision) else {
            return;
        };
        self.recipients.retain(|it| it.0 != asker);
        if self.recipients.len() == MAX_RECIPIENTS {
            self.recipients.pop_front();
        }
        self.recipients.push_back((asker, at));
    }

    /// Returns the next recipients with a list that is new enough, round-robin.
    fn next_recipients(&mut self, need: Need) -> Vec<SocketAddrV4> {
        let mut others = Vec::new();
        for _ in 0..self.recipients.len() {
            let Some((process, at)) = self.recipients.pop_front() else {
                break;
            };
            self.recipients.push_back((process, at));
            if need.is_met(Some(at)) {
                others.push(process);
            }
            if others.len() == MAX_REFERRALS {
                break;
            }
        }
        others
    }
}

/// Order in which a process queries others. Each process has its own order, which spreads the load.
pub fn ask_order(own: SocketAddrV4, others: &[SocketAddrV4]) -> Vec<SocketAddrV4> {
    let mut order: Vec<_> = others.iter().copied().filter(|&it| it != own).collect();
    order.sort_unstable_by_key(|&it| rank(it, number(own)));
    order
}
