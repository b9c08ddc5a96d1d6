use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use camphorwinch_core::opaque::revision::Revision;
use tokio::{
    sync::{mpsc, watch},
    time::{sleep, timeout},
};

use super::WatchRemovals;
use crate::{
    discovery::{Update, fake_store::FakeStore},
    lists::Lists,
    store::{Removals, RemovedMember, StoreError, Watched},
};

/// Answer of a watch call.
#[derive(Clone, Copy, Debug)]
enum Answer {
    /// A member was removed.
    Removal,
    /// Nothing changes.
    Nothing,
    Compacted,
    Busy,
}

/// Store that gives the answers in order, and the last one for ever.
#[derive(Clone)]
struct ScriptedStore {
    answers: Arc<Mutex<Vec<Answer>>>,
    calls: Arc<Mutex<Vec<u64>>>,
}

impl ScriptedStore {
    fn new(answers: &[Answer]) -> ScriptedStore {
        let answers = answers.iter().rev().copied().collect();
        ScriptedStore { answers: Arc::new(Mutex::new(answers)), calls: Arc::default() }
    }

    fn calls(&self) -> Vec<u64> {
        self.calls.lock().expect("not poisoned").clone()
    }
}

impl FakeStore for ScriptedStore {
    async fn watch_members(
        &self,
        at: Revision,
        wait: Duration,
    ) -> Result<Watched<Removals>, StoreError> {
        self.calls.lock().expect("not poisoned").push(at.number);
        let answer = {
            let mut answers = self.answers.lock().expect("not poisoned");
            if answers.len() > 1 { answers.pop() } else { answers.first().copied() }
        };
        let at = Revision::new(0, at.number + 1);
        match answer.expect("an answer") {
            Answer::Removal => {
                let members = vec![RemovedMember { name: "one".to_owned(), address: None }];
                Ok(Watched::Advanced(Removals { at, members }))
            }
            Answer::Nothing => {
                sleep(wait).await;
                Ok(Watched::Advanced(Removals { at, members: Vec::new() }))
            }
            Answer::Compacted => Ok(Watched::Compacted),
            Answer::Busy => Err(StoreError::Busy { step: "watch the members", status: 503 }),
        }
    }
}

struct Harness {
    store: ScriptedStore,
    lists: Arc<Lists>,
    watches: watch::Sender<bool>,
    updates: mpsc::Receiver<Update>,
}

impl Harness {
    /// Starts a watch from revision 10.
    fn start(answers: &[Answer]) -> Harness {
        let store = ScriptedStore::new(answers);
        let lists = Arc::new(Lists::default());
        lists.publish(Revision::new(0, 10), Vec::new(), lists.begin_attempt());
        let (watches, receiver) = watch::channel(true);
        let (out, updates) = mpsc::channel(64);
        let removals =
            WatchRemovals { store: store.clone(), watches: receiver, lists: lists.clone(), out };
        tokio::spawn(removals.run());
        Harness { store, lists, watches, updates }
    }
}

// Guards against calls that grow with the number of changes.
#[tokio::test(start_paused = true)]
async fn continuous_changes_take_few_calls() {
    let mut it = Harness::start(&[Answer::Removal]);
    sleep(Duration::from_secs(10)).await;
    let calls = it.store.calls();
    assert!((20..=34).contains(&calls.len()), "{calls:?}");
    assert_eq!(calls[..3], [10, 11, 12]);
    assert!(
        matches!(it.updates.recv().await, Some(Update::Removed(members)) if members.len() == 1)
    );
}

#[tokio::test(start_paused = true)]
async fn watch_without_changes_takes_few_calls() {
    let it = Harness::start(&[Answer::Nothing]);
    sleep(Duration::from_secs(60)).await;
    assert!((4..=9).contains(&it.store.calls().len()), "{:?}", it.store.calls());
    it.watches.send_replace(false);
    sleep(Duration::from_secs(15)).await;
    let calls = it.store.calls().len();
    sleep(Duration::from_secs(60)).await;
    assert_eq!(it.store.calls().len(), calls, "a balancer without this duty does not watch");
}

// Guards against removals that are missed with a part of the history: only a new list shows them.
#[tokio::test(start_paused = true)]
async fn lost_history_requires_a_new_list() {
    let mut it = Harness::start(&[Answer::Compacted, Answer::Nothing]);
    assert!(matches!(it.updates.recv().await, Some(Update::RemovalsUnknown)));
    let requested = it.lists.refresh_requested.notified();
    timeout(Duration::from_secs(1), requested).await.expect("a list is requested");
    it.lists.publish(Revision::new(0, 30), Vec::new(), it.lists.begin_attempt());
    sleep(Duration::from_secs(1)).await;
    assert_eq!(it.store.calls(), [10, 30]);
}

#[tokio::test(start_paused = true)]
async fn failed_watch_continues_from_the_same_revision() {
    let mut it = Harness::start(&[Answer::Busy, Answer::Busy, Answer::Removal, Answer::Nothing]);
    assert!(matches!(it.updates.recv().await, Some(Update::Removed(_))));
    sleep(Duration::from_secs(1)).await;
    assert_eq!(it.store.calls(), [10, 10, 10, 11]);
}
