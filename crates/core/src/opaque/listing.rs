//! The store's list of members, told on by those who have it.
//!
//! Each process that starts needs the list, and in a large fleet it has many pages. So a few processes read it, and whoever was told
//! it tells it on. A list counts by the revision of the store as of which it was read, whoever tells it: one that is not older than
//! a process's own entry names everyone who was listed before, so of two that start at once one sees the other.

use std::{collections::VecDeque, net::SocketAddrV4};

use super::{
    flow::{number, rank},
    revision::Revision,
};

/// Lists that a process tells in one span; who asks beyond that is referred to those who were told.
const TOLD_IN_SPAN: usize = 4;
/// Length of a span. With four lists of 1,000 members in each it fills a link of 20 Mbit/s for most of the time.
const SPAN_MS: u64 = 100;
/// Processes that a referral names: one may be gone.
const REFERRED: usize = 2;
/// Processes that are remembered as told.
const TOLD_KEPT: usize = 64;

/// How new a list has to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Need {
    /// Whatever is known.
    Any,
    /// Not older than this revision.
    Since(Revision),
    /// Read after it was asked for.
    Fresh,
}

impl Need {
    /// Whether a list that was read before the question is new enough.
    pub fn is_met(self, at: Option<Revision>) -> bool {
        match self {
            Need::Any => true,
            Need::Since(revision) => at >= Some(revision),
            Need::Fresh => false,
        }
    }
}

/// How to answer a process that asks for the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// Tell it what is known here.
    Tell,
    /// Name processes that were told a list which is new enough.
    Refer(Vec<SocketAddrV4>),
    /// Read the store first.
    Read,
}

/// What a process knows of the list, and whom it told.
#[derive(Clone, Debug, Default)]
pub struct Listing {
    at: Option<Revision>,
    told: VecDeque<(SocketAddrV4, Revision)>,
    span_ms: u64,
    in_span: usize,
}

impl Listing {
    /// Takes note of a list as of a revision.
    pub fn take(&mut self, at: Revision) {
        self.at = self.at.max(Some(at));
    }

    /// The revision as of which the list is known.
    pub fn at(&self) -> Option<Revision> {
        self.at
    }

    /// Decides on a question. An `asker` that can tell the list on has an address.
    pub fn answer(&mut self, asker: Option<SocketAddrV4>, need: Need, now_ms: u64) -> Reply {
        if !need.is_met(self.at) {
            return Reply::Read;
        }
        if now_ms.saturating_sub(self.span_ms) >= SPAN_MS {
            self.span_ms = now_ms;
            self.in_span = 0;
        }
        let others = if self.in_span < TOLD_IN_SPAN { Vec::new() } else { self.refer(need) };
        if !others.is_empty() {
            return Reply::Refer(others);
        }
        self.in_span += 1;
        self.remember(asker);
        Reply::Tell
    }

    fn remember(&mut self, asker: Option<SocketAddrV4>) {
        let (Some(asker), Some(at)) = (asker, self.at) else {
            return;
        };
        self.told.retain(|it| it.0 != asker);
        if self.told.len() == TOLD_KEPT {
            self.told.pop_front();
        }
        self.told.push_back((asker, at));
    }

    /// The next few of those that were told, in turn.
    fn refer(&mut self, need: Need) -> Vec<SocketAddrV4> {
        let mut others = Vec::new();
        for _ in 0..self.told.len() {
            let Some((process, at)) = self.told.pop_front() else {
                break;
            };
            self.told.push_back((process, at));
            if need.is_met(Some(at)) {
                others.push(process);
            }
            if others.len() == REFERRED {
                break;
            }
        }
        others
    }
}

/// The order in which a process asks others: each has one of its own, so that they share the work.
pub fn ask_order(own: SocketAddrV4, others: &[SocketAddrV4]) -> Vec<SocketAddrV4> {
    let mut order: Vec<_> = others.iter().copied().filter(|&it| it != own).collect();
    order.sort_unstable_by_key(|&it| rank(it, number(own)));
    order
}
