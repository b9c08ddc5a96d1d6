//! Diagnosis of a flow's outcome from the logs of all processes.

mod cause;
mod delay;
mod log;

use std::{collections::BTreeSet, time::Duration};

use camphorwinch_core::timeline::{Event, Hlc, HlcTimestamp, merge};

pub use self::{
    cause::Cause,
    delay::{DeferralEnd, Delay},
    log::{Line, Logs},
};

/// IDs of events in the catalogue.
mod event_id {
    pub(super) const STARTED: u16 = 601;
    pub(super) const CONFIG_IN_FORCE: u16 = 611;
    pub(super) const AGENT_CHANGED: u16 = 621;
    /// Events up to this ID concern a process, later ones a flow.
    pub(super) const LAST_OF_PROCESS: u16 = 639;
    pub(super) const ROUTE_BEYOND_SHARE: u16 = 639;
    pub(super) const FLOW_PLACED: u16 = 641;
    pub(super) const FLOW_ACCEPTED: u16 = 642;
    pub(super) const FLOW_REFUSED: u16 = 644;
    pub(super) const FLOW_NOT_FOUND: u16 = 647;
    pub(super) const FLOW_RESET: u16 = 650;
    pub(super) const PACKET_DROPPED: u16 = 651;
    pub(super) const UPSTREAM_RESET: u16 = 652;
    pub(super) const FLOW_UNPLACED: u16 = 653;
    pub(super) const REQUEST_ADMITTED: u16 = 654;
    pub(super) const OPENING_DEFERRED: u16 = 655;
    pub(super) const OPENING_BOUND: u16 = 656;
    pub(super) const OPENING_UNDEFERRED: u16 = 657;
    pub(super) const PACKETS_REPLAYED: u16 = 658;
    pub(super) const POOL_FULL: u16 = 659;
    pub(super) const POOL_HAS_ROOM: u16 = 660;
    pub(super) const LINES_SUPPRESSED: u16 = 661;
}

/// Query for one flow.
#[derive(Clone, Debug)]
pub struct FlowQuery {
    /// The flow, as `CALLER>SERVICE`, or only the caller's address and port.
    pub flow: String,
    /// Time before the flow's first line and after its last line for which process events are included.
    pub window: Duration,
}

/// Events of a flow and the cause of its outcome.
#[derive(Clone, Debug)]
pub struct Explanation {
    /// Events of the flow and of related processes, in causal order.
    pub events: Vec<Event>,
    /// Cause of the outcome.
    pub cause: Cause,
    /// What delayed the flow or its requests, in the order in which it occurred, as far as `cause` does not say so.
    pub delays: Vec<Delay>,
}

/// Finds the events of a flow and the cause of its outcome.
pub fn explain(logs: &Logs, query: &FlowQuery) -> Explanation {
    let flow_lines: Vec<&Line> =
        logs.lines().iter().filter(|it| concerns_flow(it, &query.flow)).collect();
    let related = RelatedProcesses::new(logs, &flow_lines);
    let window_ms = query.window.as_millis() as u64;
    let from_ms = flow_lines.iter().map(|it| it.ms).min().unwrap_or(0).saturating_sub(window_ms);
    let until_ms = flow_lines.iter().map(|it| it.ms).max().unwrap_or(0) + window_ms;
    let is_context = |it: &&Line| (from_ms..=until_ms).contains(&it.ms) && related.includes(it);
    let context: Vec<&Line> = logs.lines().iter().filter(is_context).collect();
    let events = causal_order(flow_lines.iter().chain(&context).copied());
    let mut delays = Delay::find(&flow_lines, &context);
    let mut cause = Cause::find(&flow_lines, &context);
    // Without a fault, the longest delay explains why the flow was late, or how far it came.
    let is_decisive = |it: &Delay| match cause {
        Cause::Served { .. } => it.explains_served(),
        Cause::NotLogged => true,
        _ => false,
    };
    let decisive = delays.iter().enumerate().filter(|(_, it)| is_decisive(it));
    let longest = decisive.max_by_key(|(_, it)| it.waited_ms()).map(|(index, _)| index);
    if let Some(index) = longest {
        cause = Cause::Delayed(delays.remove(index));
    }
    Explanation { events, cause, delays }
}

fn concerns_flow(line: &Line, flow: &str) -> bool {
    let Some(line_flow) = line.flow() else {
        return false;
    };
    line_flow == flow || line_flow.split_once('>').is_some_and(|(caller, _)| caller == flow)
}

/// Processes that handled a flow, and the addresses of its agents.
struct RelatedProcesses {
    processes: BTreeSet<String>,
    addresses: BTreeSet<String>,
    services: BTreeSet<String>,
}

impl RelatedProcesses {
    fn new(logs: &Logs, flow_lines: &[&Line]) -> RelatedProcesses {
        let mut processes: BTreeSet<String> =
            flow_lines.iter().map(|it| it.process.clone()).collect();
        let agents = flow_lines.iter().flat_map(|it| [it.text("agent"), it.text("silent")]);
        let addresses: BTreeSet<String> = agents.flatten().map(str::to_owned).collect();
        for (address, process) in logs.addresses() {
            if addresses.contains(address) {
                processes.insert(process.clone());
            }
        }
        let services = flow_lines.iter().filter_map(|it| it.service()).map(str::to_owned).collect();
        RelatedProcesses { processes, addresses, services }
    }

    /// Whether a line is an event of a related process.
    fn includes(&self, line: &Line) -> bool {
        let is_process_event = (1..=event_id::LAST_OF_PROCESS).contains(&line.id)
            || matches!(
                line.id,
                event_id::PACKETS_REPLAYED
                    | event_id::POOL_FULL
                    | event_id::POOL_HAS_ROOM
                    | event_id::LINES_SUPPRESSED
            );
        if line.flow().is_some() || !is_process_event {
            return false;
        }
        if line.id == event_id::AGENT_CHANGED {
            return line.text("agent").is_some_and(|it| self.addresses.contains(it));
        }
        // An agent logs this for each route of its pool.
        if line.id == event_id::ROUTE_BEYOND_SHARE
            && line.text("service").is_none_or(|it| !self.services.contains(it))
        {
            return false;
        }
        self.processes.contains(&line.process)
    }
}

/// Converts lines to events in causal order: regardless of clock skew between VMs, no agent's line on a flow comes
/// before the balancer's first line on placing the flow.
fn causal_order<'a, I>(lines: I) -> Vec<Event>
where
    I: Iterator<Item = &'a Line> + Clone,
{
    let places = |it: &&Line| {
        matches!(
            it.id,
            event_id::FLOW_PLACED | event_id::OPENING_DEFERRED | event_id::OPENING_BOUND
        )
    };
    let first_placement = lines.clone().filter(places).min_by_key(|it| it.ms);
    let placed_at = first_placement.map(|it| HlcTimestamp { ms: it.ms, counter: 0 });
    let processes: BTreeSet<&str> = lines.clone().map(|it| it.process.as_str()).collect();
    merge(processes.into_iter().map(|process| {
        let process_lines = lines.clone().filter(|it| it.process == process);
        to_events(
            process_lines,
            placed_at.filter(|_| first_placement.is_some_and(|it| it.process != process)),
        )
    }))
}

fn to_events<'a, I>(lines: I, placed_at: Option<HlcTimestamp>) -> Vec<Event>
where
    I: Iterator<Item = &'a Line>,
{
    let mut lines: Vec<&Line> = lines.collect();
    lines.sort_by_key(|it| (it.ms, it.seq));
    let mut clock = Hlc::new();
    let mut events = Vec::new();
    for line in lines {
        if let Some(placed_at) = placed_at.filter(|_| line.flow().is_some()) {
            // A clock that is behind by more than `MAX_AHEAD_MS` is not adjusted.
            let _ = clock.observe(line.ms, placed_at);
        }
        events.push(Event {
            stamp: clock.tick(line.ms),
            process: line.process.clone(),
            seq: line.seq,
            id: line.id,
            name: line.name.clone(),
            flow: line.flow().map(str::to_owned),
            text: line.details(),
            ..Event::default()
        });
    }
    events
}
