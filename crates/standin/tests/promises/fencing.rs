//! A writer that lost its lease gets no write through: keepers against the platform stand-in over HTTP, with pauses between
//! a decision and its write, and lost answers.

use camphorwinch_core::lease::{Attempt, Keeper, LEASES, Term};
use camphorwinch_standin::platform::{Faults, Platform};
use rand::{Rng, SeedableRng, rngs::StdRng};
use serde_json::{Value, json};

use crate::client::{Answer, Client};

const WRITERS: usize = 3;
const TURNS: usize = 150;
const SEEDS: u64 = 10;
const HISTORY: usize = 4_096;

/// What a writer bases its conditional write on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Base {
    /// The version that it last read before it decided.
    Decided,
    /// The version that is stored when the write is sent: as good as no condition.
    Current,
}

struct Writer {
    keeper: Keeper,
    /// Decided, not sent yet: the process is paused in between.
    in_hand: Option<Attempt>,
}

struct Run {
    client: Client,
    base: Base,
    now: u64,
    writers: Vec<Writer>,
    rng: StdRng,
    sent: u32,
}

fn path(number: u8) -> String {
    format!("/v1/objects/lease/seed-z-{number}")
}

fn term(spec: &Value) -> Term {
    let holder = spec["holder"].as_str().unwrap_or_default().to_owned();
    Term { holder, taken_ms: spec["taken_ms"].as_u64().unwrap_or(0) }
}

impl Run {
    async fn read(&mut self, writer: usize, number: u8) -> u64 {
        let answer = self.client.get(&path(number)).await.unwrap();
        let object = if answer.status == 200 { answer.json() } else { Value::Null };
        let version = object["version"].as_u64().unwrap_or(0);
        let keeper = &mut self.writers[writer].keeper;
        keeper.observe(self.now, number, version, term(&object["spec"]));
        version
    }

    async fn decide(&mut self, writer: usize) {
        let renewal = self.writers[writer].keeper.renew(self.now);
        if renewal.is_none() {
            for number in 0..LEASES {
                self.read(writer, number).await;
            }
        }
        let it = &mut self.writers[writer];
        it.in_hand = renewal.or_else(|| it.keeper.take(self.now, self.now));
    }

    async fn send(&mut self, writer: usize, attempt: &Attempt) {
        let version = match self.base {
            Base::Decided => attempt.base,
            Base::Current => {
                let stored = self.client.get(&path(attempt.number)).await.unwrap();
                if stored.status == 200 { stored.json()["version"].as_u64().unwrap() } else { 0 }
            }
        };
        let spec = json!({ "holder": attempt.term.holder, "taken_ms": attempt.term.taken_ms });
        let body = json!({ "version": version, "writer": "0".repeat(32), "spec": spec });
        self.sent += 1;
        match self.client.put(&path(attempt.number), &body).await {
            Ok(Answer { status: 200, body, .. }) => {
                let object: Value = serde_json::from_slice(&body).unwrap();
                let version = object["version"].as_u64().unwrap();
                self.writers[writer].keeper.written(self.now, attempt, version);
            }
            // A conflict, or an answer that was lost: only a read tells.
            Ok(_) | Err(_) => {
                self.read(writer, attempt.number).await;
            }
        }
    }

    async fn turn(&mut self) {
        let pause = if self.rng.random_bool(0.15) { 15_000 } else { 1_500 };
        self.now += self.rng.random_range(0..pause);
        let writer = self.rng.random_range(0..WRITERS);
        match self.writers[writer].in_hand.take() {
            Some(attempt) => self.send(writer, &attempt).await,
            None => self.decide(writer).await,
        }
    }

    /// Writes of a term that had ended before, in the whole history of the leases.
    async fn late_writes(&self) -> usize {
        let answer = self.client.get("/v1/watch?since=0&wait=0&kind=lease").await.unwrap();
        let mut late = 0;
        for number in 0..LEASES {
            let name = json!(format!("seed-z-{number}"));
            let mut former: Vec<Term> = Vec::new();
            let mut last = Term::default();
            for event in answer.json()["events"].as_array().unwrap() {
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

/// Late writes that got through, of all that were sent.
async fn run(seed: u64, base: Base) -> (usize, u32) {
    let listen = "127.0.0.1:0".parse().unwrap();
    let faults = Faults { lost: 0.1, ..Faults::default() };
    let platform = Platform::start(listen, HISTORY, seed, faults).await.unwrap();
    let keeper = |it: usize| Keeper::new(&format!("b{it}"));
    let mut run = Run {
        client: Client::new(platform.addr()),
        base,
        now: 1_000,
        writers: (0..WRITERS).map(|it| Writer { keeper: keeper(it), in_hand: None }).collect(),
        rng: StdRng::seed_from_u64(seed),
        sent: 0,
    };
    for _ in 0..TURNS {
        run.turn().await;
    }
    run.client.put("/admin/faults", &json!({})).await.unwrap();
    (run.late_writes().await, run.sent)
}

#[tokio::test]
async fn a_former_holder_gets_no_write_through() {
    let mut writes = 0;
    for seed in 0..SEEDS {
        let (late, sent) = run(seed, Base::Decided).await;
        assert_eq!(late, 0, "seed {seed}");
        writes += sent;
    }
    println!("{writes} writes, none of a former holder took effect");
    assert!(writes > 300, "{writes} writes prove little");
}

/// The test above would notice: writers that base their write on whatever is stored are not fenced.
#[tokio::test]
async fn without_fencing_a_former_holder_is_caught() {
    let mut late = 0;
    for seed in 0..SEEDS {
        late += run(seed, Base::Current).await.0;
    }
    println!("{late} writes of former holders took effect");
    assert!(late > 0);
}
