//! Compares ways of spreading flows and requests over the upstreams of one service, on the same seeds.
//!
//! `cargo run --release -p camphorwinch-core --example policies` prints one line per way and situation. The decisions
//! of the agents are those of the crate; upstreams are counters, and time passes from event to event.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, VecDeque},
};

use camphorwinch_core::{
    admit::{Admission, Intake, Room, admit},
    budget::Budget,
    dispatch::{Dispatch, Outcome, Report, Request, Step, View},
    object::Policy,
    peers::{Hints, Peer},
};
use rand::{Rng, SeedableRng, rngs::StdRng};

const AGENTS: usize = 7;
const SLOTS: u32 = 7;
const FLOWS: usize = 700;
const WORK_MS: f64 = 20.0;
const RUN_MS: u64 = 60_000;
const REPORT_MS: u64 = 1_000;
const HOP_MS: u64 = 1;
const SEEDS: u64 = 5;
/// Share of flows that ask ten times as often as the others.
const HEAVY: f64 = 0.1;
/// Time after which a flow ends and another begins, on average.
const FLOW_MS: f64 = 10_000.0;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Way {
    Random,
    LeastOfTwo,
    Agents(Policy),
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Situation {
    Calm,
    SlowUpstream,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Ask(usize),
    Reopen(usize),
    Arrive(usize, usize),
    Done(usize, usize),
    Expire(usize, usize),
    Report,
}

struct Call {
    since: u64,
    course: Vec<(usize, Dispatch)>,
}

#[derive(Default)]
struct Agent {
    busy: u32,
    worked: f64,
    flows: u32,
    reported: u32,
    waiting: VecDeque<usize>,
    hints: Hints,
}

struct Run {
    way: Way,
    situation: Situation,
    rate: f64,
    rng: StdRng,
    now: u64,
    queue: BinaryHeap<Reverse<(u64, Event)>>,
    agents: Vec<Agent>,
    flows: Vec<(usize, f64)>,
    calls: Vec<Call>,
    budget: Budget,
    whole: Vec<u64>,
    refused: u64,
    handed: u64,
}

impl Run {
    fn new(way: Way, situation: Situation, load: f64, seed: u64) -> Run {
        // Mean requests per flow and millisecond, so that all of them offer `load` times what the slots can do.
        let capacity = AGENTS as f64 * f64::from(SLOTS) / WORK_MS;
        let rate = load * capacity / FLOWS as f64 / (1.0 + 9.0 * HEAVY);
        Run {
            way,
            situation,
            rate,
            rng: StdRng::seed_from_u64(seed),
            now: 0,
            queue: BinaryHeap::new(),
            agents: (0..AGENTS).map(|_| Agent::default()).collect(),
            flows: vec![(0, 1.0); FLOWS],
            calls: Vec::new(),
            budget: Budget::new(0.1, 0),
            whole: Vec::new(),
            refused: 0,
            handed: 0,
        }
    }

    fn at(&mut self, delay: u64, event: Event) {
        self.queue.push(Reverse((self.now + delay, event)));
    }

    fn spread(&mut self, mean: f64) -> u64 {
        let unit: f64 = self.rng.random_range(f64::EPSILON..1.0);
        (-unit.ln() * mean).round() as u64
    }

    fn run(mut self) -> Run {
        for flow in 0..FLOWS {
            self.open(flow);
            let first = self.rng.random_range(0..1_000);
            self.at(first, Event::Ask(flow));
        }
        self.at(0, Event::Report);
        while let Some(Reverse((now, event))) = self.queue.pop() {
            if now > RUN_MS {
                break;
            }
            self.now = now;
            match event {
                Event::Ask(flow) => self.ask(flow),
                Event::Reopen(flow) => {
                    self.agents[self.flows[flow].0].flows -= 1;
                    self.open(flow);
                }
                Event::Arrive(call, agent) => self.arrive(call, agent),
                Event::Done(call, agent) => self.done(call, agent),
                Event::Expire(call, agent) => self.expire(call, agent),
                Event::Report => {
                    for agent in &mut self.agents {
                        agent.reported = agent.busy + agent.waiting.len() as u32;
                    }
                    self.at(REPORT_MS, Event::Report);
                }
            }
        }
        self
    }

    fn open(&mut self, flow: usize) {
        let agent = match self.way {
            Way::Random => self.rng.random_range(0..AGENTS),
            Way::LeastOfTwo => {
                let (a, b) = (self.rng.random_range(0..AGENTS), self.rng.random_range(0..AGENTS));
                if self.agents[a].reported <= self.agents[b].reported { a } else { b }
            }
            Way::Agents(policy) => self.candidate(policy),
        };
        let heavy = self.rng.random_bool(HEAVY);
        self.flows[flow] = (agent, if heavy { 10.0 } else { 1.0 });
        self.agents[agent].flows += 1;
        let length = self.spread(FLOW_MS);
        self.at(length, Event::Reopen(flow));
    }

    fn candidate(&mut self, policy: Policy) -> usize {
        let first = self.rng.random_range(0..AGENTS);
        let mut agent = first;
        for turn in 0..3 {
            agent = (first + turn * 3) % AGENTS;
            let it = &self.agents[agent];
            let room = Room {
                flows: it.flows,
                flow_limit: 2_000,
                all_flows: it.flows,
                all_limit: 2_000,
                busy: it.busy + it.waiting.len() as u32,
                slots: SLOTS,
            };
            if admit(policy, Intake::Open, &room, turn == 2) == Admission::Accept {
                break;
            }
        }
        agent
    }

    fn ask(&mut self, flow: usize) {
        let (agent, factor) = self.flows[flow];
        let next = self.spread(1.0 / (self.rate * factor));
        self.at(next.max(1), Event::Ask(flow));
        let call = self.calls.len();
        self.calls.push(Call { since: self.now, course: Vec::new() });
        self.arrive(call, agent);
    }

    fn arrive(&mut self, call: usize, agent: usize) {
        let hop = self.calls[call].course.len() as u8;
        let request = Request { idempotent: false, hop, deadline: None };
        self.calls[call].course.push((agent, Dispatch::new(request)));
        self.step(call, None);
    }

    /// Reports to the agent that has the call, and carries out what it decides.
    fn step(&mut self, call: usize, report: Option<Report>) {
        let Some((agent, mut dispatch)) = self.calls[call].course.pop() else {
            return;
        };
        let policy = match self.way {
            Way::Agents(policy) => policy,
            Way::Random | Way::LeastOfTwo => Policy::Steady,
        };
        let names: Vec<String> = (0..AGENTS).map(|it| it.to_string()).collect();
        let peers: Vec<Peer<'_>> = names
            .iter()
            .enumerate()
            .filter(|(it, _)| *it != agent && matches!(self.way, Way::Agents(_)))
            .map(|(_, name)| Peer { name, near: true, weight: 1.0 })
            .collect();
        let seed = self.rng.random();
        let drawn = self.agents[agent].hints.draw(&peers, policy, seed, self.now);
        let mut view =
            View { now: self.now, local: true, peers: &drawn, budget: &mut self.budget, policy };
        let step = match report {
            None => dispatch.start(&mut view),
            Some(report) => dispatch.next(report, &mut view),
        };
        self.calls[call].course.push((agent, dispatch));
        match step {
            Step::Take { wait_ms } => self.take(call, agent, wait_ms),
            Step::Run => {
                let slow = self.situation == Situation::SlowUpstream && agent == 0;
                let work = self.spread(WORK_MS * if slow { 3.0 } else { 1.0 }).max(1);
                self.agents[agent].worked += work as f64;
                self.at(work, Event::Done(call, agent));
            }
            Step::Offer { to } => {
                let to = to.parse().expect("a peer is named by its number");
                self.at(HOP_MS, Event::Arrive(call, to));
            }
            Step::Answer(outcome) => self.answer(call, agent, outcome),
        }
    }

    fn take(&mut self, call: usize, agent: usize, wait_ms: u64) {
        let it = &mut self.agents[agent];
        if it.busy < SLOTS {
            it.busy += 1;
            self.step(call, Some(Report::Slot));
        } else if wait_ms == 0 || it.waiting.len() >= SLOTS as usize {
            self.step(call, Some(Report::Full));
        } else {
            it.waiting.push_back(call);
            self.at(wait_ms, Event::Expire(call, agent));
        }
    }

    fn expire(&mut self, call: usize, agent: usize) {
        let waiting = &mut self.agents[agent].waiting;
        let Some(at) = waiting.iter().position(|it| *it == call) else {
            return;
        };
        waiting.remove(at);
        self.step(call, Some(Report::Full));
    }

    fn done(&mut self, call: usize, agent: usize) {
        self.agents[agent].busy -= 1;
        if let Some(next) = self.agents[agent].waiting.pop_front() {
            self.agents[agent].busy += 1;
            self.step(next, Some(Report::Slot));
        }
        self.whole.push(self.now - self.calls[call].since);
        let hops = self.calls[call].course.len();
        if hops > 1 {
            self.handed += 1;
            let load = f64::from(self.agents[agent].busy) / f64::from(SLOTS);
            let holder = self.calls[call].course[hops - 2].0;
            self.agents[holder].hints.took(&agent.to_string(), load, self.now);
        }
    }

    fn answer(&mut self, call: usize, agent: usize, outcome: Outcome) {
        let Outcome::NotRun { retry_ms } = outcome else {
            return;
        };
        self.calls[call].course.pop();
        let Some((holder, _)) = self.calls[call].course.last() else {
            self.refused += 1;
            return;
        };
        self.agents[*holder].hints.refused(&agent.to_string(), 0, self.now);
        self.step(call, Some(Report::Refused { retry_ms }));
    }
}

fn main() {
    let ways =
        [Way::Random, Way::LeastOfTwo, Way::Agents(Policy::Steady), Way::Agents(Policy::Even)];
    println!(
        "situation, load, way: imbalance, refused %, handed over %, answered per s, p50 ms, p99 ms"
    );
    for situation in [Situation::Calm, Situation::SlowUpstream] {
        for load in [0.5, 0.8, 1.0, 2.0] {
            for way in ways {
                line(way, situation, load);
            }
        }
    }
}

fn line(way: Way, situation: Situation, load: f64) {
    let mut whole = Vec::new();
    let (mut refused, mut handed, mut imbalance) = (0, 0, 0.0);
    for seed in 1..=SEEDS {
        let run = Run::new(way, situation, load, seed).run();
        let worked: Vec<f64> = run.agents.iter().map(|it| it.worked).collect();
        let mean = worked.iter().sum::<f64>() / worked.len() as f64;
        imbalance += worked.iter().fold(0.0_f64, |a, &b| a.max(b)) / mean;
        whole.extend(run.whole);
        refused += run.refused;
        handed += run.handed;
    }
    whole.sort_unstable();
    let all = (whole.len() as u64 + refused) as f64;
    let at = |share: f64| whole[((whole.len() - 1) as f64 * share) as usize];
    println!(
        "{situation:?}, {load}, {way:?}: {:.2}, {:.1}, {:.1}, {:.0}, {}, {}",
        imbalance / SEEDS as f64,
        refused as f64 * 100.0 / all,
        handed as f64 * 100.0 / all,
        whole.len() as f64 * 1e3 / (RUN_MS * SEEDS) as f64,
        at(0.5),
        at(0.99),
    );
}
