//! Delays of a flow or its requests before an upstream could serve them.

use std::fmt;

use super::{Line, cause::MIN_QUEUED_MS, event_id};

/// Time before a balancer's line on replayed packets within which a flow's first line there may come from the replay:
/// the longest time for which packets are buffered. The line is logged after the replay.
const REPLAY_WINDOW_MS: u64 = 1_000;
/// Interval between two lines of an agent on a route beyond its share.
const SHARE_LINE_INTERVAL_MS: u64 = 1_000;

/// A delay of a flow or its requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Delay {
    /// The pool was full, so the balancer deferred the opening packet.
    Deferred {
        /// The balancer.
        process: String,
        /// Wait in milliseconds, if the end is logged.
        waited_ms: Option<u64>,
        /// How the deferral ended.
        end: DeferralEnd,
    },
    /// The balancer had just started and replayed packets, possibly the flow's.
    Replayed {
        /// The balancer.
        process: String,
        /// Longest wait of a replayed packet, in milliseconds.
        waited_ms: u64,
        /// Number of packets that waited too long and were dropped.
        expired: u64,
    },
    /// A request waited while its route was beyond its share of the upstream.
    BeyondShare {
        /// The agent.
        process: String,
        /// Address and port of the route.
        service: String,
        /// Requests of the route beyond its share, in the interval of the line.
        beyond: u64,
        /// Usual rate of the route's requests at the agent, per second.
        rate_per_s: u64,
    },
}

/// End of the deferral of an opening packet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DeferralEnd {
    /// An upstream had a slot, and the flow was bound to it.
    Bound {
        /// Address of the upstream's agent.
        agent: String,
    },
    /// The packet was placed without an offer.
    Placed {
        /// Why, as logged.
        why: String,
    },
    /// No line tells the end.
    NotLogged,
}

impl Delay {
    /// Finds the delays of a flow from its lines and the lines of related processes.
    pub(super) fn find(flow_lines: &[&Line], context: &[&Line]) -> Vec<Delay> {
        let mut flow_lines = flow_lines.to_vec();
        flow_lines.sort_by_key(|it| (it.ms, it.seq));
        let mut delays = Vec::new();
        delays.extend(replay(&flow_lines, context));
        delays.extend(deferrals(&flow_lines));
        delays.extend(flow_lines.iter().rev().find_map(|it| beyond_share(it, context)));
        delays
    }

    /// The wait in milliseconds; 0 if it is not known.
    pub(super) fn waited_ms(&self) -> u64 {
        match self {
            Delay::Deferred { waited_ms, .. } => waited_ms.unwrap_or(0),
            Delay::Replayed { waited_ms, .. } => *waited_ms,
            Delay::BeyondShare { .. } => 0,
        }
    }

    /// Whether the wait explains why a flow that was served was late. A replay's longest wait may be another flow's.
    pub(super) fn explains_served(&self) -> bool {
        !matches!(self, Delay::Replayed { .. }) && self.waited_ms() >= MIN_QUEUED_MS
    }
}

fn replay(flow_lines: &[&Line], context: &[&Line]) -> Option<Delay> {
    let replays = context.iter().filter(|it| it.id == event_id::PACKETS_REPLAYED);
    replays.into_iter().find_map(|line| {
        let first = flow_lines.iter().find(|it| it.process == line.process)?;
        let since_ms = line.ms.checked_sub(first.ms)?;
        (since_ms <= REPLAY_WINDOW_MS).then(|| Delay::Replayed {
            process: line.process.clone(),
            waited_ms: line.number("waited_ms").unwrap_or(0),
            expired: line.number("expired").unwrap_or(0),
        })
    })
}

/// The deferrals of the flow, one for each time that a balancer deferred it.
fn deferrals(flow_lines: &[&Line]) -> Vec<Delay> {
    let mut delays = Vec::new();
    for (index, line) in flow_lines.iter().enumerate() {
        if line.id != event_id::OPENING_DEFERRED {
            continue;
        }
        let mut later = flow_lines[index + 1..].iter().filter(|it| it.process == line.process);
        let end = later.find(|it| {
            matches!(
                it.id,
                event_id::OPENING_DEFERRED | event_id::OPENING_BOUND | event_id::OPENING_UNDEFERRED
            )
        });
        let text = |field: &str| end.and_then(|it| it.text(field)).unwrap_or("").to_owned();
        delays.push(Delay::Deferred {
            process: line.process.clone(),
            waited_ms: end.and_then(|it| it.number("waited_ms")),
            end: match end.map(|it| it.id) {
                Some(event_id::OPENING_BOUND) => DeferralEnd::Bound { agent: text("agent") },
                Some(event_id::OPENING_UNDEFERRED) => DeferralEnd::Placed { why: text("why") },
                _ => DeferralEnd::NotLogged,
            },
        });
    }
    delays
}

/// The route's share, if `line` is of a request that waited long while the route was beyond it.
fn beyond_share(line: &Line, context: &[&Line]) -> Option<Delay> {
    if line.id != event_id::REQUEST_ADMITTED {
        return None;
    }
    let waited_ms = line.number("waited_ms").filter(|&it| it >= MIN_QUEUED_MS)?;
    let from_ms = line.ms.saturating_sub(waited_ms + SHARE_LINE_INTERVAL_MS);
    let until_ms = line.ms + SHARE_LINE_INTERVAL_MS;
    let share_line = context.iter().rev().find(|it| {
        it.id == event_id::ROUTE_BEYOND_SHARE
            && it.process == line.process
            && it.text("service") == line.service()
            && (from_ms..=until_ms).contains(&it.ms)
    })?;
    Some(Delay::BeyondShare {
        process: line.process.clone(),
        service: share_line.text("service").unwrap_or("").to_owned(),
        beyond: share_line.number("beyond").unwrap_or(0),
        rate_per_s: share_line.number("rate_per_s").unwrap_or(0),
    })
}

impl fmt::Display for Delay {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Delay::Deferred { process, waited_ms, end } => {
                write!(f, "the pool was full, so {process} deferred the opening packet")?;
                if let Some(waited_ms) = waited_ms {
                    write!(f, " for {waited_ms} ms")?;
                }
                match end {
                    DeferralEnd::Bound { agent } => {
                        write!(f, "; then the upstream of the agent at {agent} had a slot for it")
                    }
                    DeferralEnd::Placed { why } => {
                        write!(f, "; it was then placed without an offer, with cause `{why}`")
                    }
                    DeferralEnd::NotLogged => write!(
                        f,
                        "; no line tells how that ended, see whether {process} stopped or lines were suppressed"
                    ),
                }
            }
            Delay::Replayed { process, waited_ms, expired } => write!(
                f,
                "{process} had just started and replayed packets, possibly of this flow, after up to {waited_ms} ms; {expired} had expired"
            ),
            Delay::BeyondShare { process, service, beyond, rate_per_s } => write!(
                f,
                "the route {service} had {beyond} requests beyond its share at {process} (usually {rate_per_s} per second), so that those of other routes went first"
            ),
        }
    }
}
