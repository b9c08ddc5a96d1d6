//! Fencing: no write of a former lease holder takes effect, with pauses between decision and write, and lost responses.

use camphorwinch_core::lease::{LEASES_PER_ZONE, LeaseClient, LeaseTerm, LeaseWrite};
use camphorwinch_standin::platform::{Faults, Platform};
use rand::{Rng, SeedableRng, rngs::StdRng};
use serde_json::{Value, json};

use crate::client::{Client, Response};

const WRITERS: usize = 3;
const STEPS: usize = 150;
const SEEDS: u64 = 10;
const HISTORY: usize = 4_096;

/// Version condition of a writer's write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WriteCondition {
    /// The version read before the decision.
    Decided,
    /// The version stored when the write is sent: no fencing.
    Current,
}

struct Writer {
    keeper: LeaseClient,
    /// Decided but not sent: the process is paused in between.
    pending: Option<LeaseWrite>,
}

struct Run {
    client: Client,
    condition: WriteCondition,
    now: u64,
    writers: Vec<Writer>,
    rng: StdRng,
    sent: u32,
}

fn path(number: u8) -> String {
    format!("/v1/objects/lease/seed-z-{number}")
}

fn term(spec: &Value) -> LeaseTerm {
    let holder = spec["holder"].as_str().unwrap_or_default().to_owned();
    LeaseTerm { holder, acquired_ms: spec["taken_ms"].as_u64().unwrap_or(0) }
}

impl Run {
    async fn read(&mut self, writer: usize, number: u8) -> u64 {
        let response = self.client.get(&path(number)).await.unwrap();
        let object = if response.status == 200 { response.json() } else { Value::Null };
        let version = object["version"].as_u64().unwrap_or(0);
        let keeper = &mut self.writers[writer].keeper;
        keeper.observe(self.now, number, version, term(&object["spec"]));
        version
    }

    async fn decide(&mut self, writer: usize) {
        let renewal = self.writers[writer].keeper.renew(self.now);
        if renewal.is_none() {
            for number in 0..LEASES_PER_ZONE {
                self.read(writer, number).await;
            }
        }
        let it = &mut self.writers[writer];
        it.pending = renewal.or_else(|| it.keeper.try_acquire(self.now, self.now));
    }

    async fn send(&mut self, writer: usize, attempt: &LeaseWrite) {
        let version = match self.condition {
            WriteCondition::Decided => attempt.expected_version,
            WriteCondition::Current => {
                let stored = self.client.get(&path(attempt.number)).await.unwrap();
                if stored.status == 200 { stored.json()["version"].as_u64().unwrap() } else { 0 }
            }
        };
        let spec = json!({ "holder": attempt.term.holder, "taken_ms": attempt.term.acquired_ms });
        let body = json!({ "version": version, "writer": "0".repeat(32), "spec": spec });
        self.sent += 1;
        match self.client.put(&path(attempt.number), &body).await {
            Ok(Response { status: 200, body, .. }) => {
                let object: Value = serde_json::from_slice(&body).unwrap();
                let version = object["version"].as_u64().unwrap();
                self.writers[writer].keeper.confirm_write(self.now, attempt, version);
            }
            // A conflict or a lost response: reads the stored state.
            Ok(_) | Err(_) => {
                self.read(writer, attempt.number).await;
            }
        }
    }

    async fn step(&mut self) {
        let pause = if self.rng.random_bool(0.15) { 15_000 } else { 1_500 };
        self.now += self.rng.random_range(0..pause);
        let writer = self.rng.random_range(0..WRITERS);
        match self.writers[writer].pending.take() {
            Some(attempt) => self.send(writer, &attempt).await,
            None => self.decide(writer).await,
        }
    }

    /// Counts writes of terms that had already ended, over the whole history of the leases.
    async fn late_writes(&self) -> usize {
        let response = self.client.get("/v1/watch?since=0&wait=0&kind=lease").await.unwrap();
        let mut late = 0;
        for number in 0..LEASES_PER_ZONE {
            let name = json!(format!("seed-z-{number}"));
            let mut former: Vec<LeaseTerm> = Vec::new();
            let mut last = LeaseTerm::default();
            for event in response.json()["events"].as_array().unwrap() {
                let object = &event["object"];
                if object["name"] != name {
                    continue;
                }
                let next = term(&object["spec"]);
                late += usize::from(former.contains(&next));
                if next != last {
                    former.push(std::mem::replace(&mut last, next));
                }
            }
        }
        late
    }
}

/// Returns the late writes that took effect, and all writes sent.
async fn run(seed: u64, condition: WriteCondition) -> (usize, u32) {
    let listen = "127.0.0.1:0".parse().unwrap();
    let faults = Faults { lost: 0.1, ..Faults::default() };
    let platform = Platform::start(listen, HISTORY, seed, faults).await.unwrap();
    let keeper = |it: usize| LeaseClient::new(&format!("b{it}"));
    let mut run = Run {
        client: Client::new(platform.addr()),
        condition,
        now: 1_000,
        writers: (0..WRITERS).map(|it| Writer { keeper: keeper(it), pending: None }).collect(),
        rng: StdRng::seed_from_u64(seed),
        sent: 0,
    };
    for _ in 0..STEPS {
        run.step().await;
    }
    run.client.put("/admin/faults", &json!({})).await.unwrap();
    (run.late_writes().await, run.sent)
}

#[tokio::test]
async fn no_write_of_a_former_holder_takes_effect() {
    let mut writes = 0;
    for seed in 0..SEEDS {
        let (late, sent) = run(seed, WriteCondition::Decided).await;
        assert_eq!(late, 0, "seed {seed}");
        writes += sent;
    }
    println!("{writes} writes, none by a former holder took effect");
    assert!(writes > 300, "only {writes} writes were sent");
}

/// Shows that the check detects late writes: without fencing, some take effect.
#[tokio::test]
async fn without_fencing_late_writes_are_detected() {
    let mut late = 0;
    for seed in 0..SEEDS {
        late += run(seed, WriteCondition::Current).await.0;
    }
    println!("{late} writes by former holders took effect");
    assert!(late > 0);
}
