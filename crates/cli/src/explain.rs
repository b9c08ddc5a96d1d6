//! Why a flow ended as it did, from the logs of all processes.

mod cause;
mod log;

use std::{collections::BTreeSet, time::Duration};

use camphorwinch_core::timeline::{Event, Hlc, Stamp, merge};

pub use self::{
    cause::Cause,
    log::{Line, Logs},
};

/// Events that tell of an opening packet on its way from a balancer to agents.
const PLACED: u16 = 641;
/// Lines up to this number are about a process, not about one flow.
const LAST_OF_PROCESSES: u16 = 639;
/// How many lines a process left out.
const SUPPRESSED: u16 = 661;
/// What a balancer believes of an agent.
const AGENT_CHANGED: u16 = 621;

/// What is asked.
#[derive(Clone, Debug)]
pub struct Question {
    /// The flow, `CALLER>SERVICE`, or the caller's address and port alone.
    pub flow: String,
    /// Time before the flow's first line and after its last one for which changes of processes are shown.
    pub around: Duration,
}

/// A flow's story.
#[derive(Clone, Debug)]
pub struct Account {
    /// What happened, in causal order.
    pub events: Vec<Event>,
    /// What decided the outcome.
    pub cause: Cause,
}

/// Explains a flow from all logs.
pub fn explain(logs: &Logs, question: &Question) -> Account {
    let own: Vec<&Line> = logs.lines().iter().filter(|it| is_of(it, &question.flow)).collect();
    let involved = Involved::new(logs, &own);
    let around_ms = question.around.as_millis() as u64;
    let from_ms = own.iter().map(|it| it.ms).min().unwrap_or(0).saturating_sub(around_ms);
    let until_ms = own.iter().map(|it| it.ms).max().unwrap_or(0) + around_ms;
    let near = |it: &&Line| (from_ms..=until_ms).contains(&it.ms) && involved.concerns(it);
    let context: Vec<&Line> = logs.lines().iter().filter(near).collect();
    let events = in_order(own.iter().chain(&context).copied());
    Account { events, cause: Cause::find(&own, &context) }
}

fn is_of(line: &Line, flow: &str) -> bool {
    let Some(own) = line.flow() else {
        return false;
    };
    own == flow || own.split_once('>').is_some_and(|(caller, _)| caller == flow)
}

/// Processes that a flow has to do with, and their addresses.
struct Involved {
    processes: BTreeSet<String>,
    addresses: BTreeSet<String>,
}

impl Involved {
    fn new(logs: &Logs, own: &[&Line]) -> Involved {
        let mut processes: BTreeSet<String> = own.iter().map(|it| it.process.clone()).collect();
        let named = own.iter().flat_map(|it| [it.text("agent"), it.text("silent")]);
        let addresses: BTreeSet<String> = named.flatten().map(str::to_owned).collect();
        for (address, process) in logs.addresses() {
            if addresses.contains(address) {
                processes.insert(process.clone());
            }
        }
        Involved { processes, addresses }
    }

    /// Whether a line about a process belongs to the story.
    fn concerns(&self, line: &Line) -> bool {
        let of_process = (1..=LAST_OF_PROCESSES).contains(&line.id) || line.id == SUPPRESSED;
        if line.flow().is_some() || !of_process {
            return false;
        }
        if line.id == AGENT_CHANGED {
            return line.text("agent").is_some_and(|it| self.addresses.contains(it));
        }
        self.processes.contains(&line.process)
    }
}

/// Lines as events, so that no agent's line on a flow stands before the balancer's that led to it, however far the
/// clocks of their VMs differ.
fn in_order<'a, I>(lines: I) -> Vec<Event>
where
    I: Iterator<Item = &'a Line> + Clone,
{
    let first_placed = lines.clone().filter(|it| it.id == PLACED).min_by_key(|it| it.ms);
    let sent = first_placed.map(|it| Stamp { ms: it.ms, counter: 0 });
    let processes: BTreeSet<&str> = lines.clone().map(|it| it.process.as_str()).collect();
    merge(processes.into_iter().map(|process| {
        let own = lines.clone().filter(|it| it.process == process);
        events_of(own, sent.filter(|_| first_placed.is_some_and(|it| it.process != process)))
    }))
}

fn events_of<'a, I>(lines: I, sent: Option<Stamp>) -> Vec<Event>
where
    I: Iterator<Item = &'a Line>,
{
    let mut lines: Vec<&Line> = lines.collect();
    lines.sort_by_key(|it| (it.ms, it.seq));
    let mut clock = Hlc::new();
    let mut events = Vec::new();
    for line in lines {
        if let Some(sent) = sent.filter(|_| line.flow().is_some()) {
            // A clock that is off by more than a minute keeps its own order.
            let _ = clock.observe(line.ms, sent);
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
