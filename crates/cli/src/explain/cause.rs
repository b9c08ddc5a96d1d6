//! Cause of a flow's outcome, from the log line that decided it.

use std::fmt;

use super::{Delay, Line, event_id};

/// Cause of a flow's outcome.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Cause {
    /// No route has the service's address.
    NoRoute {
        /// The balancer.
        process: String,
        /// Revision of the configuration in force there, if logged.
        revision: Option<u64>,
    },
    /// A new configuration dropped the route.
    RouteDropped {
        /// The balancer.
        process: String,
        /// Revision of that configuration, if logged.
        revision: Option<u64>,
    },
    /// The pool had no upstream that accepts flows.
    NoUpstream {
        /// The balancer.
        process: String,
    },
    /// Every candidate refused the flow.
    AllRefused {
        /// The candidates and their loads, in thousandths of their slots.
        candidates: String,
    },
    /// The upstream that held the flow has ended.
    UpstreamEnded {
        /// Agent of the upstream.
        process: String,
    },
    /// No upstream held the flow any longer.
    NotHeld {
        /// The agent that accepted the flow, if logged.
        accepted_by: Option<String>,
        /// Whether that agent restarted afterwards.
        restarted: bool,
    },
    /// An agent did not reply to the lookup of the flow.
    NoReply {
        /// Address of the agent.
        agent: String,
    },
    /// The lookup found no holder of the flow, but the list of members may have been incomplete.
    NotFound,
    /// The upstream reset the flow.
    UpstreamReset {
        /// Agent of the upstream.
        process: String,
    },
    /// The upstream refused the flow, and no other candidate accepted it.
    Refused {
        /// Agent of the upstream.
        process: String,
    },
    /// A packet was dropped.
    Dropped {
        /// Process that dropped the packet.
        process: String,
        /// Reason for the drop.
        reason: String,
    },
    /// All candidates were above the load limit, so the request waited at the least loaded one.
    AllAboveLimit {
        /// Agent of that upstream.
        process: String,
        /// Load of that upstream, in thousandths of its slots.
        load: u64,
        /// The candidates and their loads, in thousandths of their slots.
        candidates: String,
    },
    /// The pool was full, so a request waited at the agent for a slot of its upstream.
    Queued {
        /// The agent.
        process: String,
        /// Wait in milliseconds.
        waited_ms: u64,
        /// Why the request was admitted.
        cause: String,
    },
    /// No fault was logged, but a delay.
    Delayed(Delay),
    /// The flow was accepted, and no fault was logged.
    Served {
        /// The agent that accepted it.
        process: String,
    },
    /// Log lines were suppressed, possibly lines of the flow.
    LinesSuppressed {
        /// Number of suppressed lines.
        lines: u64,
    },
    /// No log line names the flow.
    NotLogged,
}

impl Cause {
    /// Finds the cause from the flow's lines and the lines of related processes.
    pub(super) fn find(flow_lines: &[&Line], context: &[&Line]) -> Cause {
        let mut flow_lines = flow_lines.to_vec();
        flow_lines.sort_by_key(|it| (it.ms, it.seq));
        let decisive =
            flow_lines.iter().rev().find_map(|it| cause_of_line(it, &flow_lines, context));
        let Some(cause) = decisive else {
            let lines =
                flow_lines.iter().chain(context).filter(|it| it.id == event_id::LINES_SUPPRESSED);
            let lines = lines.filter_map(|it| it.number("outcomes")).sum();
            return if lines > 0 { Cause::LinesSuppressed { lines } } else { Cause::NotLogged };
        };
        cause
    }
}

/// Cause that a line of the flow determines, if any.
fn cause_of_line(line: &Line, flow_lines: &[&Line], context: &[&Line]) -> Option<Cause> {
    let process = line.process.clone();
    match line.id {
        event_id::FLOW_ACCEPTED if line.flag("last") == Some(true) => Some(Cause::AllAboveLimit {
            process,
            load: line.number("load").unwrap_or(0),
            candidates: line.text("walk").unwrap_or("").to_owned(),
        }),
        event_id::FLOW_ACCEPTED => Some(Cause::Served { process }),
        event_id::REQUEST_ADMITTED => queued_cause(line),
        event_id::FLOW_REFUSED => Some(Cause::Refused { process }),
        event_id::FLOW_NOT_FOUND => Some(match line.text("silent") {
            Some(agent) => Cause::NoReply { agent: agent.to_owned() },
            None => Cause::NotFound,
        }),
        event_id::FLOW_RESET => reset_cause(line, flow_lines, context),
        event_id::PACKET_DROPPED => {
            Some(Cause::Dropped { process, reason: line.text("why").unwrap_or("").to_owned() })
        }
        event_id::UPSTREAM_RESET if line.flag("passed") == Some(true) => {
            Some(Cause::UpstreamReset { process })
        }
        event_id::FLOW_UNPLACED => {
            Some(Cause::AllRefused { candidates: line.text("walk").unwrap_or("").to_owned() })
        }
        _ => None,
    }
}

/// Shorter waits are not distinguishable from normal service time.
pub(super) const MIN_QUEUED_MS: u64 = 50;

fn queued_cause(line: &Line) -> Option<Cause> {
    let waited_ms = line.number("waited_ms").filter(|&it| it >= MIN_QUEUED_MS)?;
    let cause = line.text("cause").unwrap_or("").to_owned();
    Some(Cause::Queued { process: line.process.clone(), waited_ms, cause })
}

fn reset_cause(line: &Line, flow_lines: &[&Line], context: &[&Line]) -> Option<Cause> {
    let process = line.process.clone();
    let in_force = || {
        let rollouts =
            context.iter().filter(|it| it.id == event_id::CONFIG_IN_FORCE && it.process == process);
        rollouts.filter(|it| it.ms <= line.ms).filter_map(|it| it.number("revision")).max()
    };
    Some(match line.text("why")? {
        "no-route" => Cause::NoRoute { revision: in_force(), process },
        "route-dropped" => Cause::RouteDropped { revision: in_force(), process },
        "no-upstream" => Cause::NoUpstream { process },
        "all-refused" => {
            let candidates = flow_lines
                .iter()
                .rev()
                .find(|it| it.id == event_id::FLOW_UNPLACED)
                .and_then(|it| it.text("walk"));
            Cause::AllRefused { candidates: candidates.unwrap_or("").to_owned() }
        }
        "upstream-ended" => Cause::UpstreamEnded { process },
        "not-held" => {
            let accepted = flow_lines
                .iter()
                .rev()
                .find(|it| it.id == event_id::FLOW_ACCEPTED && it.ms <= line.ms);
            let is_restart = |it: &&&Line| {
                it.id == event_id::STARTED
                    && accepted.is_some_and(|accepted| {
                        accepted.process == it.process && it.ms > accepted.ms
                    })
            };
            Cause::NotHeld {
                accepted_by: accepted.map(|it| it.process.clone()),
                restarted: context.iter().any(|it| is_restart(&it)),
            }
        }
        _ => return None,
    })
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let revision =
            |it: &Option<u64>| it.map_or_else(String::new, |it| format!(" (revision {it})"));
        match self {
            Cause::NoRoute { process, revision: at } => {
                write!(
                    f,
                    "no route has this address in the configuration of {process}{}",
                    revision(at)
                )
            }
            Cause::RouteDropped { process, revision: at } => {
                write!(f, "a new configuration dropped the route at {process}{}", revision(at))
            }
            Cause::NoUpstream { process } => {
                write!(
                    f,
                    "{process} had no upstream of the pool that accepts flows; see its events 621"
                )
            }
            Cause::AllRefused { candidates } => {
                write!(f, "every candidate refused the flow: {candidates}")
            }
            Cause::UpstreamEnded { process } => {
                write!(
                    f,
                    "the upstream that held the flow ended, as {process} logged; see its events 631 and 633"
                )
            }
            Cause::NotHeld { accepted_by: None, .. } => {
                write!(
                    f,
                    "no upstream held the flow any longer; its acceptance is not in these logs"
                )
            }
            Cause::NotHeld { accepted_by: Some(accepted_by), restarted: true } => {
                write!(
                    f,
                    "{accepted_by} and its upstream restarted after the flow was accepted there"
                )
            }
            Cause::NotHeld { accepted_by: Some(accepted_by), restarted: false } => {
                write!(f, "the upstream of {accepted_by} accepted the flow but no longer held it")
            }
            Cause::NoReply { agent } => {
                write!(f, "the agent at {agent} did not reply to the lookup of the flow")
            }
            Cause::NotFound => {
                write!(
                    f,
                    "the lookup did not find the flow, and the list of members may have been incomplete"
                )
            }
            Cause::UpstreamReset { process } => {
                write!(f, "the upstream of {process} reset the flow")
            }
            Cause::Refused { process } => {
                write!(f, "the upstream of {process} refused the flow")
            }
            Cause::Dropped { process, reason } => write!(f, "{process} dropped a packet: {reason}"),
            Cause::AllAboveLimit { process, load, candidates } => write!(
                f,
                "all {} candidates known to the balancer were above the load limit; {process} accepted the flow at {load} thousandths of its slots: {candidates}",
                candidates.split_whitespace().count()
            ),
            Cause::Queued { process, waited_ms, cause } => write!(
                f,
                "a request waited {waited_ms} ms at {process} because the pool was full; it was admitted with cause `{cause}`"
            ),
            Cause::Delayed(delay) => write!(f, "{delay}"),
            Cause::Served { process } => {
                write!(
                    f,
                    "{process} accepted the flow and no fault was logged; see the log of the upstream"
                )
            }
            Cause::LinesSuppressed { lines } => {
                write!(
                    f,
                    "unknown: {lines} lines on outcomes were suppressed in that time; see the metrics"
                )
            }
            Cause::NotLogged => write!(
                f,
                "no line names the flow; see events 661, and events 622 and 623 of the balancers in the caller's zone"
            ),
        }
    }
}
