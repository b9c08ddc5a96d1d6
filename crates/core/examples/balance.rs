//! Compares policies of balance on the same seeds: `cargo run --release -p camphorwinch-core --example balance`.
//!
//! A small loop over the decisions of this crate, with fake upstreams that have slots, cold starts, faults and lies. Two
//! usual policies stand beside the system's own: a random upstream for each flow, and the less loaded of two by reports
//! that lag. Prints tables in Markdown.

use std::collections::{BTreeMap, VecDeque};

use camphorwinch_core::{
    admit::{Admission, Intake, Room, admit},
    budget::Budget,
    dispatch::{Dispatch, Outcome, Report, Request, Step, View},
    gate::Gate,
    object::Policy,
    peers::{Hints, Peer},
    slots::{Member, Slots},
};
use rand::{Rng, SeedableRng, rngs::StdRng};

const AGENTS: usize = 7;
const ZONES: usize = 3;
const SLOTS: u32 = 7;
const FLOWS: usize = 300;
const SPAN_US: u64 = 40_000_000;
const WARM_US: u64 = 5_000_000;
const WORK_US: f64 = 20_000.0;
const HOP_US: u64 = 1_000;
const REPORT_US: u64 = 1_000_000;
/// Time after which a dead agent gets no more new flows.
const NOTICE_US: u64 = 3_000_000;
/// Longest wait for a slot under the two usual policies: the same as the system's own two waits together.
const WAIT_US: u64 = 110_000;
const SEEDS: u64 = 5;
const MOST_RETRIES: u32 = 3;
const LEAST_RETRY_MS: u64 = 1_000;

/// How flows and requests find an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Choice {
    Random,
    LeastOfTwo,
    Own(Policy),
}

impl Choice {
    const ALL: [Choice; 4] = [
        Choice::Random,
        Choice::LeastOfTwo,
        Choice::Own(Policy::Steady),
        Choice::Own(Policy::Even),
    ];

    fn name(self) -> &'static str {
        match self {
            Choice::Random => "random",
            Choice::LeastOfTwo => "least of two, lagged",
            Choice::Own(Policy::Steady) => "steady",
            Choice::Own(Policy::Even) => "even",
        }
    }
}

/// What is out of the ordinary.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Scene {
    Calm,
    ColdStarts,
    SlowOne,
    SheddingOne,
    LyingOne,
    UnequalFlows,
    Burst,
    ZoneLost,
}

impl Scene {
    const ALL: [Scene; 8] = [
        Scene::Calm,
        Scene::ColdStarts,
        Scene::SlowOne,
        Scene::SheddingOne,
        Scene::LyingOne,
        Scene::UnequalFlows,
        Scene::Burst,
        Scene::ZoneLost,
    ];

    fn name(self) -> &'static str {
        match self {
            Scene::Calm => "nothing unusual",
            Scene::ColdStarts => "two upstreams start cold: 5 times slower for 10 s",
            Scene::SlowOne => "one upstream 4 times slower",
            Scene::SheddingOne => "one upstream refuses half",
            Scene::LyingOne => "one upstream 4 times slower, reports idle",
            Scene::UnequalFlows => "a tenth of the flows does most of the work",
            Scene::Burst => "a burst of new flows, ten times the rate for 2 s",
            Scene::ZoneLost => "a zone lost at half-time",
        }
    }
}

#[derive(Clone, Copy, Debug)]
enum Event {
    Ask(usize),
    Open,
    Arrive { request: usize, agent: usize, leg: usize },
    Ended { request: usize, agent: usize, leg: usize },
    Waited { request: usize, agent: usize, leg: usize },
    Report,
    Lose,
    Again { agent: usize, work_us: f64, tries: u32 },
}

struct Agent {
    slots: u32,
    busy: u32,
    queue: VecDeque<(usize, usize)>,
    gate: Gate,
    budget: Budget,
    hints: Hints,
    dead_at: Option<u64>,
    busy_us: f64,
    reported: u32,
    flows: u32,
}

/// The course of a request at one agent; a request handed over has a second one there.
struct Leg {
    agent: usize,
    dispatch: Dispatch,
    waits: bool,
}

struct Ask {
    since: u64,
    work_us: f64,
    legs: Vec<Leg>,
    done: bool,
    tries: u32,
}

#[derive(Clone, Debug, Default)]
struct Tally {
    asked: u64,
    whole: u64,
    refused: u64,
    broken: u64,
    handed: u64,
    waits_ms: Vec<f64>,
    refusals_ms: Vec<f64>,
    loads: Vec<f64>,
}

#[derive(Clone, Copy, Debug)]
struct Flow {
    agent: usize,
    weight: f64,
}

struct Sim {
    choice: Choice,
    scene: Scene,
    rng: StdRng,
    now: u64,
    queue: BTreeMap<(u64, u64), Event>,
    next: u64,
    agents: Vec<Agent>,
    names: Vec<String>,
    /// By number; none once closed.
    flows: Vec<Option<Flow>>,
    open: Vec<usize>,
    weight: f64,
    rate: f64,
    /// Whether callers ask again after a refusal.
    again: bool,
    asks: Vec<Ask>,
    tally: Tally,
}

impl Sim {
    fn new(choice: Choice, scene: Scene, load: f64, seed: u64) -> Sim {
        let agent = |_| Agent {
            slots: SLOTS,
            busy: 0,
            queue: VecDeque::new(),
            gate: Gate::new(),
            budget: Budget::new(0.1, 0),
            hints: Hints::new(),
            dead_at: None,
            busy_us: 0.0,
            reported: 0,
            flows: 0,
        };
        let capacity = AGENTS as f64 * f64::from(SLOTS) / WORK_US;
        Sim {
            choice,
            scene,
            rng: StdRng::seed_from_u64(seed),
            now: 0,
            queue: BTreeMap::new(),
            next: 0,
            agents: (0..AGENTS).map(agent).collect(),
            names: (0..AGENTS).map(|it| format!("agent-{it}")).collect(),
            flows: Vec::new(),
            open: Vec::new(),
            weight: 0.0,
            rate: capacity * load,
            again: false,
            asks: Vec::new(),
            tally: Tally::default(),
        }
    }

    fn run(mut self) -> Tally {
        for _ in 0..FLOWS {
            self.open_flow();
        }
        self.after(1, Event::Report);
        self.after(1, Event::Open);
        if self.scene == Scene::ZoneLost {
            self.after(SPAN_US / 2, Event::Lose);
        }
        while let Some((&key, _)) = self.queue.first_key_value() {
            let Some(event) = self.queue.remove(&key).filter(|_| key.0 <= SPAN_US) else {
                break;
            };
            self.now = key.0;
            self.handle(event);
        }
        let span = (SPAN_US - WARM_US) as f64;
        let alive = self.agents.iter().filter(|it| it.dead_at.is_none());
        self.tally.loads = alive.map(|it| it.busy_us / span / f64::from(it.slots)).collect();
        self.tally
    }

    fn after(&mut self, us: u64, event: Event) {
        self.next += 1;
        self.queue.insert((self.now + us, self.next), event);
    }

    fn pause(&mut self, mean_us: f64) -> u64 {
        let unit: f64 = self.rng.random_range(1e-9..1.0);
        (-unit.ln() * mean_us) as u64
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Ask(flow) => self.ask(flow),
            Event::Open => {
                let burst =
                    self.scene == Scene::Burst && (10_000_000..12_000_000).contains(&self.now);
                let pause = self.pause(if burst { 5_000.0 } else { 50_000.0 });
                self.after(pause, Event::Open);
                self.open_flow();
                // One that is open ends, but for those of a burst.
                if !burst && self.open.len() > FLOWS {
                    let at = self.rng.random_range(0..self.open.len());
                    self.close(at);
                }
            }
            Event::Arrive { request, agent, leg } => self.arrive(request, agent, leg),
            Event::Ended { request, agent, leg } => self.ended(request, agent, leg),
            Event::Waited { request, agent, leg } => self.waited(request, agent, leg),
            Event::Report => {
                self.after(REPORT_US, Event::Report);
                for (at, it) in self.agents.iter_mut().enumerate() {
                    let lies = self.scene == Scene::LyingOne && at == 0;
                    it.reported = if lies { 0 } else { it.busy };
                }
            }
            Event::Lose => self.lose_zone(),
            Event::Again { agent, work_us, tries } => self.send(agent, work_us, tries),
        }
    }

    fn lose_zone(&mut self) {
        for at in (0..AGENTS).filter(|it| it % ZONES == 0) {
            self.agents[at].dead_at = Some(self.now);
        }
        for at in (0..self.open.len()).rev() {
            let flow = self.flows[self.open[at]];
            if flow.is_some_and(|it| self.agents[it.agent].dead_at.is_some()) {
                self.tally.broken += 1;
                self.close(at);
            }
        }
        for _ in self.open.len()..FLOWS {
            self.open_flow();
        }
    }

    /// Whether the agent gets new flows, as far as balancers know.
    fn listed(&self, agent: usize) -> bool {
        self.agents[agent].dead_at.is_none_or(|at| self.now < at + NOTICE_US)
    }

    fn open_flow(&mut self) {
        let agent = match self.choice {
            Choice::Random => self.random_agent(),
            Choice::LeastOfTwo => {
                let (one, two) = (self.random_agent(), self.random_agent());
                let load = |it: usize| self.agents[it].reported;
                if load(two) < load(one) { two } else { one }
            }
            Choice::Own(policy) => match self.place(policy) {
                Some(agent) => agent,
                None => return,
            },
        };
        if self.agents[agent].dead_at.is_some() {
            return;
        }
        self.agents[agent].flows += 1;
        let heavy = self.scene == Scene::UnequalFlows && self.rng.random_bool(0.1);
        let weight = if heavy { 20.0 } else { 1.0 };
        self.weight += weight;
        self.open.push(self.flows.len());
        self.flows.push(Some(Flow { agent, weight }));
        let pause = self.pause(FLOWS as f64 / self.rate);
        self.after(pause, Event::Ask(self.flows.len() - 1));
    }

    fn close(&mut self, at: usize) {
        let number = self.open.swap_remove(at);
        if let Some(flow) = self.flows[number].take() {
            self.agents[flow.agent].flows -= 1;
            self.weight -= flow.weight;
        }
    }

    fn random_agent(&mut self) -> usize {
        loop {
            let at = self.rng.random_range(0..AGENTS);
            if self.listed(at) {
                return at;
            }
        }
    }

    /// The system's way: candidates by the table, the first with room takes the flow.
    fn place(&mut self, policy: Policy) -> Option<usize> {
        let listed: Vec<usize> = (0..AGENTS).filter(|it| self.listed(*it)).collect();
        let members: Vec<Member<'_>> =
            listed.iter().map(|it| Member { name: &self.names[*it], weight: 1.0 }).collect();
        let picks = Slots::new(&members).pick(self.rng.random());
        let picks = picks.as_slice();
        for (at, pick) in picks.iter().enumerate() {
            let agent = listed[usize::from(*pick)];
            let it = &self.agents[agent];
            if it.dead_at.is_some() {
                return None;
            }
            let room = Room {
                flows: it.flows,
                flow_limit: 2_000,
                all_flows: it.flows,
                all_limit: 2_000,
                busy: it.busy + it.queue.len() as u32,
                slots: it.slots,
            };
            let open = it.gate.is_open(self.now / 1_000);
            let intake = if open { Intake::Open } else { Intake::Closed };
            match admit(policy, intake, &room, at + 1 == picks.len()) {
                Admission::Accept => return Some(agent),
                Admission::Pass => continue,
                Admission::Refuse => return None,
            }
        }
        None
    }

    /// A flow asks; the next request of its kind follows.
    fn ask(&mut self, flow: usize) {
        let Some(Flow { agent, weight }) = self.flows[flow] else {
            return;
        };
        let extra = self.open.len() as f64 / FLOWS as f64;
        let rate = self.rate * weight / self.weight * extra.max(1.0);
        let pause = self.pause(1.0 / rate);
        self.after(pause, Event::Ask(flow));
        let work_us = self.pause(WORK_US) as f64;
        self.tally.asked += u64::from(self.now >= WARM_US);
        self.send(agent, work_us, 0);
    }

    fn send(&mut self, agent: usize, work_us: f64, tries: u32) {
        let request = self.asks.len();
        self.asks.push(Ask { since: self.now, work_us, legs: Vec::new(), done: false, tries });
        self.arrive(request, agent, 0);
    }

    fn arrive(&mut self, request: usize, agent: usize, leg: usize) {
        if self.agents[agent].dead_at.is_some() {
            if leg > 0 {
                self.report(request, leg - 1, Report::Refused { retry_ms: 0 });
            }
            return;
        }
        let ask = Request { idempotent: true, hop: leg as u8, deadline: None };
        let dispatch = Dispatch::new(ask);
        self.asks[request].legs.push(Leg { agent, dispatch, waits: false });
        match self.choice {
            Choice::Own(policy) => self.step(request, leg, policy, None),
            Choice::Random | Choice::LeastOfTwo => self.take(request, leg, WAIT_US),
        }
    }

    fn step(&mut self, request: usize, leg: usize, policy: Policy, report: Option<Report>) {
        let now = self.now / 1_000;
        let agent = self.asks[request].legs[leg].agent;
        let seed = self.rng.random();
        let mut peers: Vec<Peer<'_>> = Vec::new();
        for at in (0..AGENTS).filter(|it| *it != agent && self.listed(*it)) {
            let near = at % ZONES == agent % ZONES;
            peers.push(Peer { name: &self.names[at], near, weight: 1.0 });
        }
        let it = &mut self.agents[agent];
        let drawn = it.hints.draw(&peers, policy, seed, now);
        let local = it.gate.is_open(now);
        let mut view = View { now, local, peers: &drawn, budget: &mut it.budget, policy };
        let dispatch = &mut self.asks[request].legs[leg].dispatch;
        let step = match report {
            None => dispatch.start(&mut view),
            Some(report) => dispatch.next(report, &mut view),
        };
        match step {
            Step::Take { wait_ms } => self.take(request, leg, wait_ms * 1_000),
            Step::Run => self.begin(request, leg),
            Step::Offer { to } => {
                let to = self.names.iter().position(|it| *it == to).unwrap_or(0);
                let next = leg + 1;
                self.asks[request].legs.truncate(next);
                self.after(HOP_US, Event::Arrive { request, agent: to, leg: next });
            }
            Step::Answer(outcome) => self.answer(request, leg, outcome),
        }
    }

    fn report(&mut self, request: usize, leg: usize, report: Report) {
        match self.choice {
            Choice::Own(policy) => self.step(request, leg, policy, Some(report)),
            Choice::Random | Choice::LeastOfTwo => match report {
                Report::Slot => self.begin(request, leg),
                _ => self.refuse(request, LEAST_RETRY_MS),
            },
        }
    }

    fn take(&mut self, request: usize, leg: usize, wait_us: u64) {
        let agent = self.asks[request].legs[leg].agent;
        let it = &mut self.agents[agent];
        if it.busy < it.slots {
            it.busy += 1;
            return self.report(request, leg, Report::Slot);
        }
        if wait_us == 0 || it.queue.len() >= it.slots as usize {
            return self.report(request, leg, Report::Full);
        }
        it.queue.push_back((request, leg));
        self.asks[request].legs[leg].waits = true;
        self.after(wait_us, Event::Waited { request, agent, leg });
    }

    fn waited(&mut self, request: usize, agent: usize, leg: usize) {
        let queue = &mut self.agents[agent].queue;
        let Some(at) = queue.iter().position(|it| *it == (request, leg)) else {
            return;
        };
        queue.remove(at);
        self.asks[request].legs[leg].waits = false;
        self.report(request, leg, Report::Full);
    }

    /// The request is sent to the upstream, in the slot taken.
    fn begin(&mut self, request: usize, leg: usize) {
        let agent = self.asks[request].legs[leg].agent;
        let now = self.now / 1_000;
        let sheds = self.scene == Scene::SheddingOne && agent == 0 && self.rng.random_bool(0.5);
        let passes = matches!(self.choice, Choice::Own(_)) && !self.agents[agent].gate.pass(now);
        if sheds || passes {
            self.free(agent);
            if sheds {
                self.agents[agent].gate.refused(now);
            }
            return self.report(request, leg, Report::Refused { retry_ms: 0 });
        }
        let cold = self.scene == Scene::ColdStarts && agent < 2 && self.now < 10_000_000 + WARM_US;
        let slow = matches!(self.scene, Scene::SlowOne | Scene::LyingOne) && agent == 0;
        let factor = if cold {
            5.0
        } else if slow {
            4.0
        } else {
            1.0
        };
        let work = self.asks[request].work_us * factor;
        if self.now >= WARM_US {
            self.agents[agent].busy_us += work;
        }
        self.after(work as u64, Event::Ended { request, agent, leg });
    }

    fn ended(&mut self, request: usize, agent: usize, leg: usize) {
        if self.agents[agent].dead_at.is_some() {
            return;
        }
        self.agents[agent].gate.taken();
        self.free(agent);
        let ask = &mut self.asks[request];
        if ask.done {
            return;
        }
        ask.done = true;
        let home = ask.legs[0].agent;
        let taken = (self.now - ask.since) as f64 / 1_000.0;
        let measured = ask.since >= WARM_US;
        if leg > 0 {
            let busy = &self.agents[agent];
            let load = f64::from(busy.busy) / f64::from(busy.slots);
            let name = self.names[agent].clone();
            self.agents[home].hints.took(&name, load, self.now / 1_000);
        }
        if measured {
            self.tally.handed += u64::from(leg > 0);
            self.tally.whole += 1;
            self.tally.waits_ms.push(taken);
        }
    }

    /// Gives a slot back, to the one that waits longest.
    fn free(&mut self, agent: usize) {
        let it = &mut self.agents[agent];
        it.busy -= 1;
        let Some((request, leg)) = it.queue.pop_front() else {
            return;
        };
        it.busy += 1;
        self.asks[request].legs[leg].waits = false;
        self.report(request, leg, Report::Slot);
    }

    fn answer(&mut self, request: usize, leg: usize, outcome: Outcome) {
        let Outcome::NotRun { retry_ms } = outcome else {
            return;
        };
        if leg == 0 {
            return self.refuse(request, retry_ms);
        }
        let from = self.asks[request].legs[leg].agent;
        let above = self.asks[request].legs[leg - 1].agent;
        let name = self.names[from].clone();
        self.agents[above].hints.refused(&name, retry_ms.min(50), self.now / 1_000);
        self.report(request, leg - 1, Report::Refused { retry_ms });
    }

    fn refuse(&mut self, request: usize, retry_ms: u64) {
        let ask = &mut self.asks[request];
        ask.done = true;
        let (agent, work_us, tries) = (ask.legs[0].agent, ask.work_us, ask.tries + 1);
        if self.again && tries <= MOST_RETRIES {
            self.after(retry_ms * 1_000, Event::Again { agent, work_us, tries });
        }
        let ask = &self.asks[request];
        if ask.since >= WARM_US {
            self.tally.refused += 1;
            self.tally.refusals_ms.push((self.now - ask.since) as f64 / 1_000.0);
        }
    }
}

impl Tally {
    fn add(&mut self, other: Tally) {
        self.asked += other.asked;
        self.whole += other.whole;
        self.refused += other.refused;
        self.broken += other.broken;
        self.handed += other.handed;
        self.waits_ms.extend(other.waits_ms);
        self.refusals_ms.extend(other.refusals_ms);
    }
}

fn imbalance(loads: &[f64]) -> f64 {
    let mean = loads.iter().sum::<f64>() / loads.len() as f64;
    loads.iter().copied().fold(0.0, f64::max) / mean
}

fn percentile(values: &mut [f64], share: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    let at = (values.len() as f64 * share) as usize;
    values.get(at.min(values.len().saturating_sub(1))).copied().unwrap_or(0.0)
}

fn compare(scene: Scene, load: f64) {
    for choice in Choice::ALL {
        let (mut all, mut uneven) = (Tally::default(), 0.0);
        for seed in 0..SEEDS {
            let tally = Sim::new(choice, scene, load, seed).run();
            uneven += imbalance(&tally.loads) / SEEDS as f64;
            all.add(tally);
        }
        let refused = all.refused as f64 / all.asked as f64 * 100.0;
        let handed = all.handed as f64 / all.asked as f64 * 100.0;
        let p50 = percentile(&mut all.waits_ms, 0.5);
        let p99 = percentile(&mut all.waits_ms, 0.99);
        println!(
            "| {} | {} | {uneven:.2} | {refused:.2} % | {handed:.1} % | {p50:.0} | {p99:.0} | {} |",
            scene.name(),
            choice.name(),
            all.broken
        );
    }
}

fn overload(policy: Policy, again: bool) {
    for load in [0.5, 0.8, 0.9, 1.0, 1.1, 1.2, 1.5, 2.0, 3.0] {
        let mut all = Tally::default();
        for seed in 0..SEEDS {
            let mut sim = Sim::new(Choice::Own(policy), Scene::Calm, load, seed);
            sim.again = again;
            all.add(sim.run());
        }
        let span = (SPAN_US - WARM_US) as f64 / 1e6 * SEEDS as f64;
        let capacity = AGENTS as f64 * f64::from(SLOTS) / WORK_US * 1e6;
        let good = all.whole as f64 / span;
        println!(
            "| {} | {} | {load:.1} | {:.0} | {good:.0} | {:.1} % | {:.0} | {:.0} | {:.0} |",
            Choice::Own(policy).name(),
            if again { "yes" } else { "no" },
            all.asked as f64 / span,
            good / capacity * 100.0,
            percentile(&mut all.waits_ms, 0.99),
            percentile(&mut all.refusals_ms, 0.5),
            percentile(&mut all.refusals_ms, 0.99),
        );
    }
}

fn main() {
    println!(
        "| scene | policy | imbalance | refused | handed over | p50 ms | p99 ms | broken flows |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    for scene in Scene::ALL {
        compare(scene, 0.6);
    }
    println!();
    println!(
        "| policy | asks again | offered / capacity | offered per s | goodput per s | of capacity | p99 ms | refused p50 ms | refused p99 ms |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for policy in [Policy::Steady, Policy::Even] {
        overload(policy, false);
        overload(policy, true);
    }
}
