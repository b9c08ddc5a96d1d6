//! Compares balancing policies on the same seeds: `cargo run --release -p camphorwinch-core --example balance`.
//!
//! A small simulation of the decisions of this crate, with upstreams that have slots, cold starts, faults and false
//! load reports. Two common policies are included for comparison: a random upstream for each flow, and the less loaded
//! of two by delayed reports. Prints tables in Markdown.

use std::collections::{BTreeMap, VecDeque};

use camphorwinch_core::{
    admit::{Admission, AgentLoad, Availability, admit},
    backoff::UpstreamBackoff,
    budget::RetryBudget,
    dispatch::{Dispatch, DispatchContext, Outcome, Request, Step, StepResult},
    lookup_table::{LookupTable, Member},
    object::Policy,
    peers::{Peer, PeerLoads},
};
use rand::{Rng, SeedableRng, rngs::StdRng};

const AGENTS: usize = 7;
const ZONES: usize = 3;
const SLOTS_PER_AGENT: u32 = 7;
const FLOWS: usize = 300;
const DURATION_US: u64 = 40_000_000;
const WARMUP_US: u64 = 5_000_000;
const MEAN_WORK_US: f64 = 20_000.0;
const HOP_LATENCY_US: u64 = 1_000;
const REPORT_INTERVAL_US: u64 = 1_000_000;
/// Time until a dead agent is detected and gets no new flows.
const DETECTION_US: u64 = 3_000_000;
/// Maximum wait for a slot under the two common policies; equals the two waits of `Dispatch` together.
const MAX_SLOT_WAIT_US: u64 = 110_000;
const SEEDS: u64 = 5;
const MAX_RETRIES: u32 = 3;
const MIN_RETRY_MS: u64 = 1_000;

/// Policy that selects the upstream of flows and requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Balancing {
    Random,
    LeastOfTwo,
    System(Policy),
}

impl Balancing {
    const ALL: [Balancing; 4] = [
        Balancing::Random,
        Balancing::LeastOfTwo,
        Balancing::System(Policy::Steady),
        Balancing::System(Policy::Even),
    ];

    fn name(self) -> &'static str {
        match self {
            Balancing::Random => "random",
            Balancing::LeastOfTwo => "least loaded of two, delayed reports",
            Balancing::System(Policy::Steady) => "steady",
            Balancing::System(Policy::Even) => "even",
        }
    }
}

/// Simulated scenario.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Scenario {
    NoFaults,
    ColdStarts,
    OneSlow,
    OneRefuses,
    OneReportsIdle,
    UnequalFlows,
    Burst,
    ZoneFails,
}

impl Scenario {
    const ALL: [Scenario; 8] = [
        Scenario::NoFaults,
        Scenario::ColdStarts,
        Scenario::OneSlow,
        Scenario::OneRefuses,
        Scenario::OneReportsIdle,
        Scenario::UnequalFlows,
        Scenario::Burst,
        Scenario::ZoneFails,
    ];

    fn name(self) -> &'static str {
        match self {
            Scenario::NoFaults => "no faults",
            Scenario::ColdStarts => "two upstreams start cold: 5 times slower for 10 s",
            Scenario::OneSlow => "one upstream 4 times slower",
            Scenario::OneRefuses => "one upstream refuses half of the requests",
            Scenario::OneReportsIdle => "one upstream 4 times slower, reports idle",
            Scenario::UnequalFlows => "a tenth of the flows does most of the work",
            Scenario::Burst => "a burst of new flows, ten times the rate for 2 s",
            Scenario::ZoneFails => "a zone fails at half-time",
        }
    }
}

#[derive(Clone, Copy, Debug)]
enum Event {
    Request(usize),
    Open,
    Arrive { request: usize, agent: usize, hop: usize },
    Done { request: usize, agent: usize, hop: usize },
    WaitTimeout { request: usize, agent: usize, hop: usize },
    Report,
    FailZone,
    Retry { agent: usize, work_us: f64, tries: u32 },
}

struct Agent {
    slots: u32,
    busy: u32,
    queue: VecDeque<(usize, usize)>,
    backoff: UpstreamBackoff,
    budget: RetryBudget,
    peer_loads: PeerLoads,
    dead_at: Option<u64>,
    busy_us: f64,
    reported: u32,
    flows: u32,
}

/// State of a request at one agent; a forwarded request has one per agent.
struct Hop {
    agent: usize,
    dispatch: Dispatch,
    waits: bool,
}

struct SimRequest {
    started: u64,
    work_us: f64,
    hops: Vec<Hop>,
    done: bool,
    tries: u32,
}

#[derive(Clone, Debug, Default)]
struct Totals {
    sent: u64,
    completed: u64,
    refused: u64,
    broken: u64,
    forwarded: u64,
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
    balancing: Balancing,
    scenario: Scenario,
    rng: StdRng,
    now: u64,
    queue: BTreeMap<(u64, u64), Event>,
    next: u64,
    agents: Vec<Agent>,
    names: Vec<String>,
    /// Flows by index; `None` after a flow was closed.
    flows: Vec<Option<Flow>>,
    open: Vec<usize>,
    weight: f64,
    rate: f64,
    /// Whether callers retry after a refusal.
    callers_retry: bool,
    requests: Vec<SimRequest>,
    totals: Totals,
}

impl Sim {
    fn new(balancing: Balancing, scenario: Scenario, load: f64, seed: u64) -> Sim {
        let agent = |_| Agent {
            slots: SLOTS_PER_AGENT,
            busy: 0,
            queue: VecDeque::new(),
            backoff: UpstreamBackoff::new(),
            budget: RetryBudget::new(0.1, 0),
            peer_loads: PeerLoads::new(),
            dead_at: None,
            busy_us: 0.0,
            reported: 0,
            flows: 0,
        };
        let capacity = AGENTS as f64 * f64::from(SLOTS_PER_AGENT) / MEAN_WORK_US;
        Sim {
            balancing,
            scenario,
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
            callers_retry: false,
            requests: Vec::new(),
            totals: Totals::default(),
        }
    }

    fn run(mut self) -> Totals {
        for _ in 0..FLOWS {
            self.open_flow();
        }
        self.after(1, Event::Report);
        self.after(1, Event::Open);
        if self.scenario == Scenario::ZoneFails {
            self.after(DURATION_US / 2, Event::FailZone);
        }
        while let Some((&key, _)) = self.queue.first_key_value() {
            let Some(event) = self.queue.remove(&key).filter(|_| key.0 <= DURATION_US) else {
                break;
            };
            self.now = key.0;
            self.handle(event);
        }
        let span = (DURATION_US - WARMUP_US) as f64;
        let alive = self.agents.iter().filter(|it| it.dead_at.is_none());
        self.totals.loads = alive.map(|it| it.busy_us / span / f64::from(it.slots)).collect();
        self.totals
    }

    fn after(&mut self, us: u64, event: Event) {
        self.next += 1;
        self.queue.insert((self.now + us, self.next), event);
    }

    fn random_delay(&mut self, mean_us: f64) -> u64 {
        let uniform: f64 = self.rng.random_range(1e-9..1.0);
        (-uniform.ln() * mean_us) as u64
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Request(flow) => self.send_next(flow),
            Event::Open => {
                let burst = self.scenario == Scenario::Burst
                    && (10_000_000..12_000_000).contains(&self.now);
                let delay = self.random_delay(if burst { 5_000.0 } else { 50_000.0 });
                self.after(delay, Event::Open);
                self.open_flow();
                // An open flow ends for each new one, except during a burst.
                if !burst && self.open.len() > FLOWS {
                    let at = self.rng.random_range(0..self.open.len());
                    self.close(at);
                }
            }
            Event::Arrive { request, agent, hop } => self.arrive(request, agent, hop),
            Event::Done { request, agent, hop } => self.done_at_upstream(request, agent, hop),
            Event::WaitTimeout { request, agent, hop } => self.wait_timeout(request, agent, hop),
            Event::Report => {
                self.after(REPORT_INTERVAL_US, Event::Report);
                for (at, it) in self.agents.iter_mut().enumerate() {
                    let reports_idle = self.scenario == Scenario::OneReportsIdle && at == 0;
                    it.reported = if reports_idle { 0 } else { it.busy };
                }
            }
            Event::FailZone => self.fail_zone(),
            Event::Retry { agent, work_us, tries } => self.send(agent, work_us, tries),
        }
    }

    fn fail_zone(&mut self) {
        for at in (0..AGENTS).filter(|it| it % ZONES == 0) {
            self.agents[at].dead_at = Some(self.now);
        }
        for at in (0..self.open.len()).rev() {
            let flow = self.flows[self.open[at]];
            if flow.is_some_and(|it| self.agents[it.agent].dead_at.is_some()) {
                self.totals.broken += 1;
                self.close(at);
            }
        }
        for _ in self.open.len()..FLOWS {
            self.open_flow();
        }
    }

    /// Whether balancers regard the agent as alive.
    fn believed_alive(&self, agent: usize) -> bool {
        self.agents[agent].dead_at.is_none_or(|at| self.now < at + DETECTION_US)
    }

    fn open_flow(&mut self) {
        let agent = match self.balancing {
            Balancing::Random => self.random_agent(),
            Balancing::LeastOfTwo => {
                let (one, two) = (self.random_agent(), self.random_agent());
                let load = |it: usize| self.agents[it].reported;
                if load(two) < load(one) { two } else { one }
            }
            Balancing::System(policy) => match self.place(policy) {
                Some(agent) => agent,
                None => return,
            },
        };
        if self.agents[agent].dead_at.is_some() {
            return;
        }
        self.agents[agent].flows += 1;
        let is_heavy = self.scenario == Scenario::UnequalFlows && self.rng.random_bool(0.1);
        let weight = if is_heavy { 20.0 } else { 1.0 };
        self.weight += weight;
        self.open.push(self.flows.len());
        self.flows.push(Some(Flow { agent, weight }));
        let delay = self.random_delay(FLOWS as f64 / self.rate);
        self.after(delay, Event::Request(self.flows.len() - 1));
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
            if self.believed_alive(at) {
                return at;
            }
        }
    }

    /// Placement by the system: candidates from the lookup table; the first that admits the flow gets it.
    fn place(&mut self, policy: Policy) -> Option<usize> {
        let listed: Vec<usize> = (0..AGENTS).filter(|it| self.believed_alive(*it)).collect();
        let members: Vec<Member<'_>> =
            listed.iter().map(|it| Member { name: &self.names[*it], weight: 1.0 }).collect();
        let picks = LookupTable::new(&members).pick(self.rng.random());
        let picks = picks.as_slice();
        for (at, pick) in picks.iter().enumerate() {
            let agent = listed[usize::from(*pick)];
            let it = &self.agents[agent];
            if it.dead_at.is_some() {
                return None;
            }
            let load = AgentLoad {
                flows: it.flows,
                flow_limit: 2_000,
                all_flows: it.flows,
                all_limit: 2_000,
                busy: it.busy + it.queue.len() as u32,
                slots: it.slots,
            };
            let open = it.backoff.admits(self.now / 1_000);
            let availability = if open { Availability::Open } else { Availability::Closed };
            match admit(policy, availability, &load, at + 1 == picks.len()) {
                Admission::Accept => return Some(agent),
                Admission::Forward => continue,
                Admission::Refuse => return None,
            }
        }
        None
    }

    /// Sends a request of a flow and schedules the next one.
    fn send_next(&mut self, flow: usize) {
        let Some(Flow { agent, weight }) = self.flows[flow] else {
            return;
        };
        let extra = self.open.len() as f64 / FLOWS as f64;
        let rate = self.rate * weight / self.weight * extra.max(1.0);
        let delay = self.random_delay(1.0 / rate);
        self.after(delay, Event::Request(flow));
        let work_us = self.random_delay(MEAN_WORK_US) as f64;
        self.totals.sent += u64::from(self.now >= WARMUP_US);
        self.send(agent, work_us, 0);
    }

    fn send(&mut self, agent: usize, work_us: f64, tries: u32) {
        let request = self.requests.len();
        self.requests.push(SimRequest {
            started: self.now,
            work_us,
            hops: Vec::new(),
            done: false,
            tries,
        });
        self.arrive(request, agent, 0);
    }

    fn arrive(&mut self, request: usize, agent: usize, hop: usize) {
        if self.agents[agent].dead_at.is_some() {
            if hop > 0 {
                self.report(request, hop - 1, StepResult::Refused { retry_ms: 0 });
            }
            return;
        }
        let req = Request { idempotent: true, hop: hop as u8, deadline: None };
        let dispatch = Dispatch::new(req);
        self.requests[request].hops.push(Hop { agent, dispatch, waits: false });
        match self.balancing {
            Balancing::System(policy) => self.step(request, hop, policy, None),
            Balancing::Random | Balancing::LeastOfTwo => {
                self.acquire_slot(request, hop, MAX_SLOT_WAIT_US)
            }
        }
    }

    fn step(&mut self, request: usize, hop: usize, policy: Policy, report: Option<StepResult>) {
        let now = self.now / 1_000;
        let agent = self.requests[request].hops[hop].agent;
        let seed = self.rng.random();
        let mut peers: Vec<Peer<'_>> = Vec::new();
        for at in (0..AGENTS).filter(|it| *it != agent && self.believed_alive(*it)) {
            let same_zone = at % ZONES == agent % ZONES;
            peers.push(Peer { name: &self.names[at], same_zone, weight: 1.0 });
        }
        let it = &mut self.agents[agent];
        let selected = it.peer_loads.select(&peers, policy, seed, now);
        let local = it.backoff.admits(now);
        let mut context =
            DispatchContext { now, local, peers: &selected, budget: &mut it.budget, policy };
        let dispatch = &mut self.requests[request].hops[hop].dispatch;
        let step = match report {
            None => dispatch.start(&mut context),
            Some(report) => dispatch.next(report, &mut context),
        };
        match step {
            Step::AcquireSlot { wait_ms } => self.acquire_slot(request, hop, wait_ms * 1_000),
            Step::Run => self.begin(request, hop),
            Step::Offer { to } => {
                let to = self.names.iter().position(|it| *it == to).unwrap_or(0);
                let next = hop + 1;
                self.requests[request].hops.truncate(next);
                self.after(HOP_LATENCY_US, Event::Arrive { request, agent: to, hop: next });
            }
            Step::Finish(outcome) => self.finish(request, hop, outcome),
        }
    }

    fn report(&mut self, request: usize, hop: usize, report: StepResult) {
        match self.balancing {
            Balancing::System(policy) => self.step(request, hop, policy, Some(report)),
            Balancing::Random | Balancing::LeastOfTwo => match report {
                StepResult::SlotAcquired => self.begin(request, hop),
                _ => self.refuse(request, MIN_RETRY_MS),
            },
        }
    }

    fn acquire_slot(&mut self, request: usize, hop: usize, wait_us: u64) {
        let agent = self.requests[request].hops[hop].agent;
        let it = &mut self.agents[agent];
        if it.busy < it.slots {
            it.busy += 1;
            return self.report(request, hop, StepResult::SlotAcquired);
        }
        if wait_us == 0 || it.queue.len() >= it.slots as usize {
            return self.report(request, hop, StepResult::SlotTimeout);
        }
        it.queue.push_back((request, hop));
        self.requests[request].hops[hop].waits = true;
        self.after(wait_us, Event::WaitTimeout { request, agent, hop });
    }

    fn wait_timeout(&mut self, request: usize, agent: usize, hop: usize) {
        let queue = &mut self.agents[agent].queue;
        let Some(at) = queue.iter().position(|it| *it == (request, hop)) else {
            return;
        };
        queue.remove(at);
        self.requests[request].hops[hop].waits = false;
        self.report(request, hop, StepResult::SlotTimeout);
    }

    /// Sends the request to the upstream in the acquired slot.
    fn begin(&mut self, request: usize, hop: usize) {
        let agent = self.requests[request].hops[hop].agent;
        let now = self.now / 1_000;
        let refuses =
            self.scenario == Scenario::OneRefuses && agent == 0 && self.rng.random_bool(0.5);
        let in_backoff = matches!(self.balancing, Balancing::System(_))
            && !self.agents[agent].backoff.admit(now);
        if refuses || in_backoff {
            self.free(agent);
            if refuses {
                self.agents[agent].backoff.record_refusal(now);
            }
            return self.report(request, hop, StepResult::Refused { retry_ms: 0 });
        }
        let cold =
            self.scenario == Scenario::ColdStarts && agent < 2 && self.now < 10_000_000 + WARMUP_US;
        let slow =
            matches!(self.scenario, Scenario::OneSlow | Scenario::OneReportsIdle) && agent == 0;
        let factor = if cold {
            5.0
        } else if slow {
            4.0
        } else {
            1.0
        };
        let work = self.requests[request].work_us * factor;
        if self.now >= WARMUP_US {
            self.agents[agent].busy_us += work;
        }
        self.after(work as u64, Event::Done { request, agent, hop });
    }

    fn done_at_upstream(&mut self, request: usize, agent: usize, hop: usize) {
        if self.agents[agent].dead_at.is_some() {
            return;
        }
        self.agents[agent].backoff.record_success();
        self.free(agent);
        let req = &mut self.requests[request];
        if req.done {
            return;
        }
        req.done = true;
        let origin = req.hops[0].agent;
        let elapsed_ms = (self.now - req.started) as f64 / 1_000.0;
        let measured = req.started >= WARMUP_US;
        if hop > 0 {
            let busy = &self.agents[agent];
            let load = f64::from(busy.busy) / f64::from(busy.slots);
            let name = self.names[agent].clone();
            self.agents[origin].peer_loads.record_accepted(&name, load, self.now / 1_000);
        }
        if measured {
            self.totals.forwarded += u64::from(hop > 0);
            self.totals.completed += 1;
            self.totals.waits_ms.push(elapsed_ms);
        }
    }

    /// Releases a slot to the request that waits longest.
    fn free(&mut self, agent: usize) {
        let it = &mut self.agents[agent];
        it.busy -= 1;
        let Some((request, hop)) = it.queue.pop_front() else {
            return;
        };
        it.busy += 1;
        self.requests[request].hops[hop].waits = false;
        self.report(request, hop, StepResult::SlotAcquired);
    }

    fn finish(&mut self, request: usize, hop: usize, outcome: Outcome) {
        let Outcome::NotRun { retry_ms } = outcome else {
            return;
        };
        if hop == 0 {
            return self.refuse(request, retry_ms);
        }
        let from = self.requests[request].hops[hop].agent;
        let sender = self.requests[request].hops[hop - 1].agent;
        let name = self.names[from].clone();
        self.agents[sender].peer_loads.record_refused(&name, retry_ms.min(50), self.now / 1_000);
        self.report(request, hop - 1, StepResult::Refused { retry_ms });
    }

    fn refuse(&mut self, request: usize, retry_ms: u64) {
        let req = &mut self.requests[request];
        req.done = true;
        let (agent, work_us, tries) = (req.hops[0].agent, req.work_us, req.tries + 1);
        if self.callers_retry && tries <= MAX_RETRIES {
            self.after(retry_ms * 1_000, Event::Retry { agent, work_us, tries });
        }
        let req = &self.requests[request];
        if req.started >= WARMUP_US {
            self.totals.refused += 1;
            self.totals.refusals_ms.push((self.now - req.started) as f64 / 1_000.0);
        }
    }
}

impl Totals {
    fn add(&mut self, other: Totals) {
        self.sent += other.sent;
        self.completed += other.completed;
        self.refused += other.refused;
        self.broken += other.broken;
        self.forwarded += other.forwarded;
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

fn compare(scenario: Scenario, load: f64) {
    for balancing in Balancing::ALL {
        let (mut all, mut mean_imbalance) = (Totals::default(), 0.0);
        for seed in 0..SEEDS {
            let totals = Sim::new(balancing, scenario, load, seed).run();
            mean_imbalance += imbalance(&totals.loads) / SEEDS as f64;
            all.add(totals);
        }
        let refused = all.refused as f64 / all.sent as f64 * 100.0;
        let forwarded = all.forwarded as f64 / all.sent as f64 * 100.0;
        let p50 = percentile(&mut all.waits_ms, 0.5);
        let p99 = percentile(&mut all.waits_ms, 0.99);
        println!(
            "| {} | {} | {mean_imbalance:.2} | {refused:.2} % | {forwarded:.1} % | {p50:.0} | {p99:.0} | {} |",
            scenario.name(),
            balancing.name(),
            all.broken
        );
    }
}

fn overload(policy: Policy, callers_retry: bool) {
    for load in [0.5, 0.8, 0.9, 1.0, 1.1, 1.2, 1.5, 2.0, 3.0] {
        let mut all = Totals::default();
        for seed in 0..SEEDS {
            let mut sim = Sim::new(Balancing::System(policy), Scenario::NoFaults, load, seed);
            sim.callers_retry = callers_retry;
            all.add(sim.run());
        }
        let span = (DURATION_US - WARMUP_US) as f64 / 1e6 * SEEDS as f64;
        let capacity = AGENTS as f64 * f64::from(SLOTS_PER_AGENT) / MEAN_WORK_US * 1e6;
        let good = all.completed as f64 / span;
        println!(
            "| {} | {} | {load:.1} | {:.0} | {good:.0} | {:.1} % | {:.0} | {:.0} | {:.0} |",
            Balancing::System(policy).name(),
            if callers_retry { "yes" } else { "no" },
            all.sent as f64 / span,
            good / capacity * 100.0,
            percentile(&mut all.waits_ms, 0.99),
            percentile(&mut all.refusals_ms, 0.5),
            percentile(&mut all.refusals_ms, 0.99),
        );
    }
}

fn main() {
    println!(
        "| scenario | policy | imbalance | refused | forwarded | p50 ms | p99 ms | broken flows |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    for scenario in Scenario::ALL {
        compare(scenario, 0.6);
    }
    println!();
    println!(
        "| policy | callers retry | offered / capacity | offered per s | goodput per s | of capacity | p99 ms | refused p50 ms | refused p99 ms |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for policy in [Policy::Steady, Policy::Even] {
        overload(policy, false);
        overload(policy, true);
    }
}
