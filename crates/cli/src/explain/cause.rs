//! The line that decided how a flow ended, and what it means.

use std::fmt;

use super::Line;

/// What decided a flow's outcome.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Cause {
    /// No route has the service's address.
    NoRoute {
        /// The balancer.
        process: String,
        /// Revision of the configuration in force there, if a line tells it.
        revision: Option<u64>,
    },
    /// A new configuration dropped the route.
    RouteDropped {
        /// The balancer.
        process: String,
        /// Revision of that configuration, if a line tells it.
        revision: Option<u64>,
    },
    /// The pool had no upstream that may take flows.
    NoUpstream {
        /// The balancer.
        process: String,
    },
    /// Every candidate refused the flow.
    AllRefused {
        /// The candidates with the loads that they judged, in thousandths of their slots.
        walk: String,
    },
    /// The upstream that held the flow has ended.
    UpstreamEnded {
        /// Its agent.
        process: String,
    },
    /// No upstream held the flow any more.
    NotHeld {
        /// The agent that had accepted it, if a line tells it.
        holder: Option<String>,
        /// Whether that agent started again in between.
        restarted: bool,
    },
    /// An agent did not answer while the flow was searched for.
    Silent {
        /// Its address.
        agent: String,
    },
    /// The flow was searched for in vain, and it was not certain that nobody holds it.
    NotFound,
    /// The upstream reset the flow.
    UpstreamReset {
        /// Its agent.
        process: String,
    },
    /// The upstream refused the flow, and no other candidate took it.
    Refused {
        /// Its agent.
        process: String,
    },
    /// A packet was dropped.
    Dropped {
        /// Where.
        process: String,
        /// Why.
        why: String,
    },
    /// All candidates were above the limit: the request waited at the least loaded one.
    Full {
        /// That upstream's agent.
        process: String,
        /// Its load in thousandths of its slots.
        load: u64,
        /// The candidates with the loads that they judged.
        walk: String,
    },
    /// A request waited at the agent for a slot of its upstream, as the whole pool was full.
    Waited {
        /// The agent.
        process: String,
        /// For how long, in milliseconds.
        waited_ms: u64,
        /// Why it went to the upstream then.
        cause: String,
    },
    /// The flow was placed, and nothing went wrong in the system.
    Served {
        /// The agent that took it.
        process: String,
    },
    /// Lines were left out, the flow's perhaps among them.
    LinesLeftOut {
        /// How many, in that time.
        lines: u64,
    },
    /// No line names the flow.
    Unseen,
}

impl Cause {
    /// The cause, from the flow's own lines and those of the processes that it has to do with.
    pub(super) fn find(own: &[&Line], context: &[&Line]) -> Cause {
        let mut own = own.to_vec();
        own.sort_by_key(|it| (it.ms, it.seq));
        let decided = own.iter().rev().find_map(|it| decision(it, &own, context));
        let Some(cause) = decided else {
            let lines = own.iter().chain(context).filter(|it| it.id == 661);
            let lines = lines.filter_map(|it| it.number("outcomes")).sum();
            return if lines > 0 { Cause::LinesLeftOut { lines } } else { Cause::Unseen };
        };
        cause
    }
}

/// What a line on a flow decides, if it does.
fn decision(line: &Line, own: &[&Line], context: &[&Line]) -> Option<Cause> {
    let process = line.process.clone();
    match line.id {
        642 if line.flag("last") == Some(true) => Some(Cause::Full {
            process,
            load: line.number("load").unwrap_or(0),
            walk: line.text("walk").unwrap_or("").to_owned(),
        }),
        642 => Some(Cause::Served { process }),
        654 => waited(line),
        644 => Some(Cause::Refused { process }),
        647 => Some(match line.text("silent") {
            Some(agent) => Cause::Silent { agent: agent.to_owned() },
            None => Cause::NotFound,
        }),
        650 => reset(line, own, context),
        651 => Some(Cause::Dropped { process, why: line.text("why").unwrap_or("").to_owned() }),
        652 if line.flag("passed") == Some(true) => Some(Cause::UpstreamReset { process }),
        653 => Some(Cause::AllRefused { walk: line.text("walk").unwrap_or("").to_owned() }),
        _ => None,
    }
}

/// Waits of fewer milliseconds are told by no caller from a common service time.
const NOTICED_MS: u64 = 50;

fn waited(line: &Line) -> Option<Cause> {
    let waited_ms = line.number("waited_ms").filter(|&it| it >= NOTICED_MS)?;
    let cause = line.text("cause").unwrap_or("").to_owned();
    Some(Cause::Waited { process: line.process.clone(), waited_ms, cause })
}

fn reset(line: &Line, own: &[&Line], context: &[&Line]) -> Option<Cause> {
    let process = line.process.clone();
    let in_force = || {
        let there = context.iter().filter(|it| it.id == 611 && it.process == process);
        there.filter(|it| it.ms <= line.ms).filter_map(|it| it.number("revision")).max()
    };
    Some(match line.text("why")? {
        "no-route" => Cause::NoRoute { revision: in_force(), process },
        "route-dropped" => Cause::RouteDropped { revision: in_force(), process },
        "no-upstream" => Cause::NoUpstream { process },
        "all-refused" => {
            let walk = own.iter().rev().find(|it| it.id == 653).and_then(|it| it.text("walk"));
            Cause::AllRefused { walk: walk.unwrap_or("").to_owned() }
        }
        "upstream-ended" => Cause::UpstreamEnded { process },
        "not-held" => {
            let accepted = own.iter().rev().find(|it| it.id == 642 && it.ms <= line.ms);
            let again = |it: &&&Line| {
                it.id == 601 && accepted.is_some_and(|a| a.process == it.process && it.ms > a.ms)
            };
            Cause::NotHeld {
                holder: accepted.map(|it| it.process.clone()),
                restarted: context.iter().any(|it| again(&it)),
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
                    "{process} knew no upstream of the pool that may take flows; see lines 621"
                )
            }
            Cause::AllRefused { walk } => write!(f, "every candidate refused the flow: {walk}"),
            Cause::UpstreamEnded { process } => {
                write!(
                    f,
                    "the upstream that held the flow ended, as {process} saw; see its lines 631 and 633"
                )
            }
            Cause::NotHeld { holder: None, .. } => {
                write!(
                    f,
                    "no upstream held the flow any more; the line of its acceptance is not in these logs"
                )
            }
            Cause::NotHeld { holder: Some(holder), restarted: true } => {
                write!(
                    f,
                    "{holder} and its upstream started again after the flow was accepted there"
                )
            }
            Cause::NotHeld { holder: Some(holder), restarted: false } => {
                write!(
                    f,
                    "the upstream beside {holder}, which had accepted the flow, did not hold it any more"
                )
            }
            Cause::Silent { agent } => {
                write!(f, "the agent at {agent} did not answer while the flow was searched for")
            }
            Cause::NotFound => {
                write!(f, "the flow was not found, and the members were not known for certain")
            }
            Cause::UpstreamReset { process } => {
                write!(f, "the upstream beside {process} reset the flow")
            }
            Cause::Refused { process } => {
                write!(f, "the upstream beside {process} refused the flow")
            }
            Cause::Dropped { process, why } => write!(f, "{process} dropped a packet: {why}"),
            Cause::Full { process, load, walk } => write!(
                f,
                "all {} candidates that the balancer knew were above the limit; {process} took the flow at {load} thousandths of its slots: {walk}",
                walk.split_whitespace().count()
            ),
            Cause::Waited { process, waited_ms, cause } => write!(
                f,
                "a request waited {waited_ms} ms at {process}, as the pool was full; it went to the upstream by `{cause}`"
            ),
            Cause::Served { process } => {
                write!(
                    f,
                    "{process} took the flow and nothing went wrong in the system: see the upstream's own log"
                )
            }
            Cause::LinesLeftOut { lines } => {
                write!(
                    f,
                    "not told: {lines} lines on outcomes were left out in that time; see the counters"
                )
            }
            Cause::Unseen => write!(
                f,
                "no line names the flow: see lines 661, and 622 and 623 of the balancers in the caller's zone"
            ),
        }
    }
}
