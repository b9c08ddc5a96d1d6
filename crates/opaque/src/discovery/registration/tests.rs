use std::{
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use super::{register, withdraw_own};
use crate::{
    discovery::{fake_store::FakeStore, withdraw},
    store::{Member, Record, StoreError},
};
use camphorwinch_core::opaque::revision::Revision;
use quickcheck::{Arbitrary, Gen, quickcheck};

const CALL_TIMEOUT: Duration = Duration::from_millis(100);

/// The stored part of an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Entry {
    revision: u64,
    pool: Option<String>,
    registration: u32,
}

#[derive(Clone, Debug)]
enum Write {
    Create(Option<String>, u32),
    Replace(Option<String>, u32, u64),
    Withdraw(u64),
}

/// What happens to a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fate {
    Answered,
    /// Executed, but the answer is lost.
    Unanswered,
    /// Executed later, without an answer.
    Late,
    /// Answered, after the oldest delayed call was executed.
    Overtaken,
}

impl Arbitrary for Fate {
    fn arbitrary(g: &mut Gen) -> Fate {
        *g.choose(&[Fate::Answered, Fate::Unanswered, Fate::Late, Fate::Overtaken])
            .expect("not empty")
    }
}

#[derive(Debug, Default)]
struct State {
    revision: u64,
    entry: Option<Entry>,
    fates: Vec<Fate>,
    late: Vec<Write>,
    calls: usize,
}

impl State {
    fn execute_late(&mut self, pick: usize) {
        if !self.late.is_empty() {
            let write = self.late.remove(pick % self.late.len());
            let _ = self.execute(write);
        }
    }

    fn execute(&mut self, write: Write) -> Result<Option<Revision>, StoreError> {
        let step = "write";
        let current = self.entry.as_ref().map(|it| Revision::new(0, it.revision));
        let (expected, content) = match write {
            Write::Create(..) if current.is_some() => {
                return Err(StoreError::Conflict { step, current });
            }
            Write::Create(pool, registration) => (None, Some((pool, registration))),
            Write::Replace(pool, registration, at) => (Some(at), Some((pool, registration))),
            Write::Withdraw(at) => (Some(at), None),
        };
        if let Some(at) = expected {
            match current {
                None => return Err(StoreError::NotFound { step }),
                Some(it) if it.number != at => {
                    return Err(StoreError::Conflict { step, current });
                }
                Some(_) => {}
            }
        }
        // A write that changes nothing keeps the revision.
        let unchanged = match (&self.entry, &content) {
            (Some(it), Some((pool, number))) => it.pool == *pool && it.registration == *number,
            (None, None) => true,
            _ => false,
        };
        if !unchanged {
            self.revision += 1;
            let revision = self.revision;
            self.entry = content.map(|(pool, registration)| Entry { revision, pool, registration });
        }
        Ok(self.entry.as_ref().map(|it| Revision::new(0, it.revision)))
    }
}

/// A store that answers calls by their fates, the first one first, and all further calls at once.
#[derive(Clone, Debug, Default)]
struct LateStore(Arc<Mutex<State>>);

impl LateStore {
    fn with_fates(fates: &[Fate]) -> LateStore {
        let fates = fates.iter().rev().copied().collect();
        LateStore(Arc::new(Mutex::new(State { fates, ..State::default() })))
    }

    fn set_fates(&self, fates: &[Fate]) {
        self.lock().fates = fates.iter().rev().copied().collect();
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().expect("not poisoned")
    }

    fn entry(&self) -> Option<Entry> {
        self.lock().entry.clone()
    }

    /// Executes one of the calls that were delayed.
    fn execute_late(&self, pick: usize) {
        self.lock().execute_late(pick);
    }

    fn call(&self, write: Write) -> Result<Option<Revision>, StoreError> {
        let mut state = self.lock();
        state.calls += 1;
        let timeout = StoreError::Timeout { step: "write", waited: CALL_TIMEOUT };
        match state.fates.pop().unwrap_or(Fate::Answered) {
            Fate::Answered => state.execute(write),
            Fate::Overtaken => {
                state.execute_late(0);
                state.execute(write)
            }
            Fate::Unanswered => {
                let _ = state.execute(write);
                Err(timeout)
            }
            Fate::Late => {
                state.late.push(write);
                Err(timeout)
            }
        }
    }
}

impl FakeStore for LateStore {
    fn create(&self, member: &Member, registration: u32) -> Result<Option<Revision>, StoreError> {
        self.call(Write::Create(member.pool.clone(), registration))
    }

    fn replace(
        &self,
        member: &Member,
        registration: u32,
        revision: Revision,
    ) -> Result<Option<Revision>, StoreError> {
        self.call(Write::Replace(member.pool.clone(), registration, revision.number))
    }

    fn withdraw(&self, _: &str, at: Revision) -> Result<(), StoreError> {
        match self.call(Write::Withdraw(at.number)) {
            Err(StoreError::NotFound { .. }) => Ok(()),
            it => it.map(|_| ()),
        }
    }
}

fn member(pool: &str) -> Member {
    let address = "10.0.0.1:7720".parse().expect("an address");
    Member { name: "one".to_owned(), address, pool: Some(pool.to_owned()), zone: "a".to_owned() }
}

async fn registered(store: &LateStore, pool: &str) -> Option<Revision> {
    register(store, &member(pool), CALL_TIMEOUT).await.expect("registered").revision
}

// Guards against a live agent that is unlisted for good, and whose flows are then reset: its withdrawal of an earlier
// entry was answered late.
#[tokio::test]
async fn late_withdrawal_does_not_remove_a_later_registration() {
    let store = LateStore::with_fates(&[Fate::Late]);
    withdraw_own(&store, "one", None, CALL_TIMEOUT).await.expect_err("no answer");
    registered(&store, "ledger").await;
    store.execute_late(0);
    assert!(store.entry().is_some());
}

// The same with the withdrawal of the run before, which left, and with that of a balancer to which the process was
// gone.
#[tokio::test]
async fn late_withdrawal_under_the_old_revision_does_not_remove_the_entry_of_the_next_run() {
    let store = LateStore::default();
    let known = registered(&store, "ledger").await;
    store.set_fates(&[Fate::Late]);
    withdraw_own(&store, "one", known, CALL_TIMEOUT).await.expect_err("no answer");
    registered(&store, "ledger").await;
    store.execute_late(0);
    assert!(store.entry().is_some());
}

// Guards against the withdrawal of a living agent by a balancer that was cut off from it: the withdrawal takes effect
// after the agent, told that it is unlisted, has registered again.
#[tokio::test]
async fn withdrawal_by_a_balancer_has_no_effect_once_the_member_has_registered_again() {
    let store = LateStore::default();
    let known = registered(&store, "ledger").await.expect("a revision");
    let member = member("ledger");
    let record = Record { listed: member.listed(), name: member.name, revision: known };
    store.set_fates(&[Fate::Late, Fate::Late]);
    let result = withdraw(&store, &record, || store.lock().late.len() < 2).await;
    assert!(matches!(result, Err(StoreError::Timeout { .. })), "{result:?}");
    registered(&store, "ledger").await;
    store.execute_late(0);
    store.execute_late(0);
    assert!(store.entry().is_some());
}

// Guards against a registration that fails because the entry is removed between its two writes.
#[tokio::test]
async fn entry_that_is_removed_during_a_registration_is_created_again() {
    let store = LateStore::default();
    let known = registered(&store, "ledger").await;
    store.set_fates(&[Fate::Late, Fate::Answered, Fate::Overtaken]);
    withdraw_own(&store, "one", known, CALL_TIMEOUT).await.expect_err("no answer");
    registered(&store, "ledger").await;
    assert!(store.entry().is_some());
}

// Guards against further calls at each start: the store's load must not grow with them.
#[tokio::test]
async fn registration_and_withdrawal_take_at_most_two_calls() {
    let store = LateStore::default();
    let calls = || std::mem::take(&mut store.lock().calls);
    withdraw_own(&store, "one", None, CALL_TIMEOUT).await.expect("no entry");
    assert_eq!(calls(), 1);
    let known = registered(&store, "ledger").await;
    assert_eq!(calls(), 1);
    registered(&store, "ledger").await;
    assert_eq!(calls(), 2);
    withdraw_own(&store, "one", known, CALL_TIMEOUT).await.expect("withdrawn");
    assert_eq!((calls(), store.entry()), (2, None));
}

/// A step of a process, its earlier runs, or the store.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// Registers for one of two pools, as an address may be used again.
    Register(bool),
    /// Withdraws under the last known revision, or without knowing any.
    Withdraw(bool),
    /// Executes a delayed call.
    Execute(usize),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Step {
        match u8::arbitrary(g) % 3 {
            0 => Step::Register(bool::arbitrary(g)),
            1 => Step::Withdraw(bool::arbitrary(g)),
            _ => Step::Execute(usize::arbitrary(g)),
        }
    }
}

/// Plays the steps, registers for the pool "last", and then executes all delayed calls; returns the entry.
async fn play(steps: &[Step], fates: &[Fate], picks: &[usize]) -> Option<Entry> {
    let store = LateStore::with_fates(fates);
    let mut known = None;
    for step in steps {
        match *step {
            Step::Register(other) => {
                let own = member(if other { "other" } else { "last" });
                if let Ok(it) = register(&store, &own, CALL_TIMEOUT).await {
                    known = it.revision;
                }
            }
            Step::Withdraw(knows) => {
                let known = known.filter(|_| knows);
                let _ = withdraw_own(&store, "one", known, CALL_TIMEOUT).await;
            }
            Step::Execute(pick) => store.execute_late(pick),
        }
    }
    store.set_fates(&[]);
    registered(&store, "last").await;
    for &pick in picks.iter().chain(&[0; 64]) {
        store.execute_late(pick);
    }
    store.entry()
}

quickcheck! {
    /// After a registration that was answered, no earlier call changes the entry, in whatever order they take effect.
    fn registered_entry_outlives_all_earlier_calls(
        steps: Vec<Step>,
        fates: Vec<Fate>,
        picks: Vec<usize>
    ) -> bool {
        let runtime = tokio::runtime::Builder::new_current_thread().build().expect("a runtime");
        let entry = runtime.block_on(play(&steps, &fates, &picks));
        entry.is_some_and(|it| it.pool.as_deref() == Some("last"))
    }
}
