use std::{
    net::{SocketAddr, SocketAddrV4},
    sync::{Arc, Mutex},
    time::Duration,
};

use bytes::Bytes;
use camphorwinch_core::opaque::{
    fleet::Listed,
    revision::Revision,
    route::Routes,
    zone::{ZoneId, ZonesOut},
};
use camphorwinch_wire::{frame::frames, opaque::Snapshot};
use futures::SinkExt;
use prost::Message;
use tokio::{
    net::TcpListener,
    sync::{Notify, mpsc, watch},
    time::{sleep, timeout},
};

use super::{Duty, Follow, Found, Join, Start, Topic, join::list_pause, topic::Era, withdraw};
use crate::store::{
    Announced as Object, Freshness, Member, Members, Record, Seen, Store, StoreError, Watched,
};
use crate::{lists::Lists, snapshot};

/// Revision of the store, far above that of its configuration.
const STORE_AT: u64 = 900;
/// Revision of the configuration, which the store's history no longer holds.
const CONFIG_AT: u64 = 5;

/// A store whose history goes back to [`STORE_AT`] only; with `forgets` it has none at all.
#[derive(Clone, Default)]
struct Fake {
    forgets: bool,
    /// Turns calls about zones away.
    busy: bool,
    /// Turns calls about the configuration away after so many.
    serves: Option<usize>,
    calls: Arc<Mutex<Vec<Option<u64>>>>,
    reads: Arc<Mutex<Vec<Freshness>>>,
    era: watch::Sender<Option<u64>>,
}

impl Fake {
    fn calls(&self) -> Vec<Option<u64>> {
        self.calls.lock().expect("not poisoned").clone()
    }

    fn note(&self, call: Option<u64>) {
        self.calls.lock().expect("not poisoned").push(call);
    }
}

impl Store for Fake {
    fn era(&self) -> watch::Receiver<Option<u64>> {
        self.era.subscribe()
    }

    async fn members(&self, _: Duration) -> Result<Members, StoreError> {
        Ok(Members::default())
    }

    async fn announce(&self, _: &Member, _: Duration) -> Result<Object, StoreError> {
        Ok(Object { revision: None, created: true })
    }

    async fn withdraw(&self, _: &str, at: Option<Revision>, _: Duration) -> Result<(), StoreError> {
        self.note(at.map(|it| it.number));
        let step = "withdraw a member";
        match self.calls().len() {
            1 | 2 => Err(StoreError::Busy { step, status: 503 }),
            _ if self.forgets => Err(StoreError::Conflict { step }),
            _ => Ok(()),
        }
    }

    async fn routes(&self, it: Freshness, _: Duration) -> Result<Seen, StoreError> {
        self.note(None);
        self.reads.lock().expect("not poisoned").push(it);
        if self.serves.is_some_and(|it| self.calls().len() > it) {
            return Err(StoreError::Busy { step: "read the configuration", status: 503 });
        }
        let routes =
            Routes { revision: Revision::new(0, CONFIG_AT), version: 1, ..Routes::default() };
        let era = self.era.borrow().unwrap_or_default();
        Ok(Seen { routes: Some(routes), at: Revision::new(era, STORE_AT) })
    }

    async fn watch(
        &self,
        at: Revision,
        wait: Duration,
        _: Duration,
    ) -> Result<Watched<Seen>, StoreError> {
        self.note(Some(at.number));
        if self.forgets || at.number < STORE_AT {
            return Ok(Watched::Compacted);
        }
        sleep(wait).await;
        Ok(Watched::Seen(Seen { routes: None, at }))
    }

    async fn zones_out(&self, it: Freshness, _: Duration) -> Result<ZonesOut, StoreError> {
        self.note(None);
        self.reads.lock().expect("not poisoned").push(it);
        if self.busy {
            return Err(StoreError::Busy { step: "list zones", status: 503 });
        }
        Ok(ZonesOut::new(Revision::new(0, STORE_AT), ["a".to_owned()]))
    }

    async fn watch_zones(
        &self,
        known: &ZonesOut,
        _: Duration,
        _: Duration,
    ) -> Result<Watched<ZonesOut>, StoreError> {
        self.note(Some(known.revision().number));
        if self.forgets {
            return Ok(Watched::Compacted);
        }
        sleep(Duration::from_millis(50)).await;
        let change = ("a".to_owned(), known.names().count() == 0);
        Ok(Watched::Seen(
            known.with_changes(Revision::new(0, known.revision().number + 1), [change]),
        ))
    }
}

async fn calls_in_a_second(store: &Fake) -> Vec<Option<u64>> {
    let (_watches, watching) = watch::channel(Duty::Watch);
    let (out, mut found) = mpsc::channel::<Found>(16);
    let task = tokio::spawn(follow(store.clone(), Topic::Routes, watching, Arc::default(), out));
    let drain = tokio::spawn(async move { while found.recv().await.is_some() {} });
    sleep(Duration::from_secs(1)).await;
    task.abort();
    drain.abort();
    store.calls()
}

fn member() -> Member {
    let address = "10.0.0.1:7720".parse().expect("an address");
    Member { name: "one".to_owned(), address, pool: None, zone: "a".to_owned() }
}

fn record() -> Record {
    let member = member();
    Record { listed: member.listed(), name: member.name, revision: Revision::new(0, 7) }
}

/// Follows a topic as a process does that nobody told anything.
async fn follow<S>(
    store: S,
    topic: Topic,
    duty: watch::Receiver<Duty>,
    served: Arc<Notify>,
    out: mpsc::Sender<Found>,
) where
    S: Store,
{
    let start = watch::channel(Start::Alone).1;
    Follow { store, duty, start, served, out }.run(topic).await;
}

/// Joins as a process does whom nobody has greeted.
async fn join<S>(
    store: S,
    own: Member,
    serves: watch::Receiver<bool>,
    seeds: watch::Receiver<Vec<SocketAddrV4>>,
    again: Arc<Notify>,
    out: mpsc::Sender<Found>,
) where
    S: Store,
{
    let greeted = watch::Sender::default().subscribe();
    let (lists, start) = (Arc::default(), watch::Sender::new(Start::Asking));
    Join { store, own, serves, first_start: false, seeds, greeted, again, lists, start, out }
        .run()
        .await;
}

#[tokio::test]
async fn a_balancer_that_is_no_watcher_reads_and_does_not_wait() {
    let store = Fake::default();
    let (watches, watching) = watch::channel(Duty::Read(3));
    let (out, mut found) = mpsc::channel::<Found>(16);
    let task = tokio::spawn(follow(store.clone(), Topic::Routes, watching, Arc::default(), out));
    assert!(matches!(found.recv().await, Some(Found::News(_))));
    sleep(Duration::from_millis(300)).await;
    assert_eq!(store.calls(), [None]);
    // It becomes one: it reads what it may have missed, then waits.
    watches.send_replace(Duty::Watch);
    assert!(matches!(found.recv().await, Some(Found::News(_))));
    sleep(Duration::from_millis(300)).await;
    assert_eq!(store.calls(), [None, None, Some(STORE_AT)]);
    // At the start a route that is missing would have flows refused; later the watch goes on from what was read.
    let reads = store.reads.lock().expect("not poisoned").clone();
    assert_eq!(reads, [Freshness::Current, Freshness::Stale]);
    // The process ends.
    drop((watches, found));
    task.abort();
}

async fn next_zones(found: &mut mpsc::Receiver<Found>) -> Vec<String> {
    let found = found.recv().await;
    let Some(Found::ZoneNews(zones)) = found else { panic!("{found:?}") };
    zones.names().map(str::to_owned).collect()
}

#[tokio::test]
async fn changes_of_zones_follow_on_the_list() {
    let store = Fake::default();
    let (_watches, watching) = watch::channel(Duty::Watch);
    let (out, mut found) = mpsc::channel::<Found>(1);
    let task = tokio::spawn(follow(store.clone(), Topic::zones(), watching, Arc::default(), out));
    assert_eq!(next_zones(&mut found).await, ["a"]);
    assert!(next_zones(&mut found).await.is_empty());
    assert_eq!(next_zones(&mut found).await, ["a"]);
    let calls = store.calls();
    assert_eq!(calls[..3], [None, Some(STORE_AT), Some(STORE_AT + 1)]);
    task.abort();
}

// Each start of a balancer that does not wait for changes cost a call that waited for nothing.
#[tokio::test]
async fn a_process_that_does_not_know_its_duty_yet_does_not_wait_at_the_store() {
    let store = Fake::default();
    let (duty, deciding) = watch::channel(Duty::Undecided);
    let (out, mut found) = mpsc::channel::<Found>(16);
    let task = tokio::spawn(follow(store.clone(), Topic::Routes, deciding, Arc::default(), out));
    assert!(matches!(found.recv().await, Some(Found::News(_))));
    sleep(Duration::from_millis(200)).await;
    duty.send_replace(Duty::Read(3));
    sleep(Duration::from_millis(500)).await;
    assert_eq!(store.calls(), [None]);
    task.abort();
}

// The members can't be read, so it never learns whether others wait.
#[tokio::test]
async fn a_process_that_stays_undecided_waits_at_the_store() {
    let store = Fake::default();
    let (_duty, deciding) = watch::channel(Duty::Undecided);
    let (out, _found) = mpsc::channel::<Found>(16);
    let task = tokio::spawn(follow(store.clone(), Topic::Routes, deciding, Arc::default(), out));
    sleep(Duration::from_millis(800)).await;
    assert_eq!(store.calls(), [None, Some(STORE_AT)]);
    task.abort();
}

// Each outage of the store would cost twice the calls if both topics were tried on their own.
#[tokio::test]
async fn in_an_outage_zones_wait_for_the_store_to_answer_about_the_configuration() {
    let store = Fake { busy: true, ..Fake::default() };
    let (_duty, watching) = watch::channel(Duty::Watch);
    let (out, _found) = mpsc::channel::<Found>(1);
    let served = Arc::new(Notify::new());
    let task = tokio::spawn(follow(store.clone(), Topic::zones(), watching, served.clone(), out));
    sleep(Duration::from_secs(1)).await;
    assert_eq!(store.calls(), [None, None]);
    served.notify_waiters();
    sleep(Duration::from_millis(100)).await;
    assert_eq!(store.calls(), [None, None, None]);
    task.abort();
}

#[tokio::test]
async fn zones_are_listed_again_if_the_store_drops_its_history() {
    let store = Fake { forgets: true, ..Fake::default() };
    let (_watches, watching) = watch::channel(Duty::Watch);
    let (out, mut found) = mpsc::channel::<Found>(1);
    let task = tokio::spawn(follow(store.clone(), Topic::zones(), watching, Arc::default(), out));
    for _ in 0..3 {
        assert_eq!(next_zones(&mut found).await, ["a"]);
    }
    assert_eq!(store.calls()[..4], [None, Some(STORE_AT), None, Some(STORE_AT)]);
    // The first one tells the era that stale answers have to be of; later ones that are stale could lack the history again
    // that the store has dropped.
    let reads = store.reads.lock().expect("not poisoned").clone();
    assert_eq!(reads[..2], [Freshness::Current; 2]);
    task.abort();
}

#[tokio::test]
async fn a_call_that_waits_ends_when_another_one_sees_that_the_store_was_reset() {
    let store = Fake::default();
    let (_watches, watching) = watch::channel(Duty::Watch);
    let (out, _found) = mpsc::channel::<Found>(16);
    let task = tokio::spawn(follow(store.clone(), Topic::Routes, watching, Arc::default(), out));
    sleep(Duration::from_millis(100)).await;
    assert_eq!(store.calls(), [None, Some(STORE_AT)]);
    store.era.send_replace(Some(1));
    sleep(Duration::from_millis(400)).await;
    assert_eq!(store.calls(), [None, Some(STORE_AT), None, Some(STORE_AT)]);
    task.abort();
}

// A stale answer may be of the store as it was before it came back from a copy. Taken for the newest state it would stand above
// all that the store confirms until its numbers have passed those of before.
#[test]
fn a_stale_answer_counts_only_in_an_era_that_a_current_one_told() {
    let mut era = Era::default();
    assert_eq!(era.freshness(), Freshness::Current);
    assert!(!era.accepts(1, Freshness::Stale));
    assert!(era.accepts(1, Freshness::Current));
    assert_eq!(era.freshness(), Freshness::Stale);
    assert!(era.accepts(1, Freshness::Stale));
    assert!(!era.accepts(2, Freshness::Stale));
    assert!(era.accepts(2, Freshness::Current));
    assert_eq!(era.freshness(), Freshness::Current, "stale ones may still be of before");
    assert!(!era.accepts(1, Freshness::Current));
}

#[tokio::test]
async fn a_removal_is_repeated_while_the_store_is_away() {
    let store = Fake::default();
    withdraw(&store, &record()).await.expect("removed");
    assert_eq!(store.calls(), [Some(7); 3]);
}

#[tokio::test]
async fn a_removal_ends_if_the_object_has_changed() {
    let store = Fake { forgets: true, ..Fake::default() };
    let error = withdraw(&store, &record()).await.expect_err("it has changed");
    assert!(matches!(error, StoreError::Conflict { .. }), "{error}");
}

#[test]
fn lists_of_members_stay_within_the_rates_of_the_store() {
    assert_eq!(list_pause(20, false), Duration::from_secs(45));
    // The size designed for: 520 balancers and 5,900 agents, 500 members on a page; pauses are drawn from 0.6 of this on.
    let (balancers, agents) = (520, 5_900);
    let members = balancers + agents;
    let calls_per_s = |processes: usize, agent| {
        let calls = processes as f64 * (members as f64 / 500.0).ceil();
        calls / (list_pause(members, agent).as_secs_f64() * 0.8)
    };
    let calls_per_s = calls_per_s(balancers, false) + calls_per_s(agents, true);
    assert!(calls_per_s < 25.0, "{calls_per_s}");
}

// Spb-edge scale-1: 4,076 calls to the store in 50 s. A watch began at the configuration's own revision, which the store
// had dropped from its history, so that reading and watching went round without a pause.
#[tokio::test]
async fn a_watch_goes_on_from_the_revision_of_the_store() {
    let store = Fake::default();
    assert_eq!(calls_in_a_second(&store).await, [None, Some(STORE_AT)]);
}

#[tokio::test]
async fn a_store_that_drops_its_history_all_the_time_is_not_called_in_a_loop() {
    let store = Fake { forgets: true, ..Fake::default() };
    let calls = calls_in_a_second(&store).await.len();
    // A read and a watch for each pause of 90 to 150 ms.
    assert!((8..=26).contains(&calls), "{calls}");
}

/// A store that lists who was announced and not withdrawn, after it was busy for some calls.
#[derive(Clone, Default)]
struct Announced {
    busy: Arc<Mutex<u32>>,
    names: Arc<Mutex<Vec<String>>>,
    /// Lists that were read.
    lists: Arc<Mutex<u32>>,
    era: watch::Sender<Option<u64>>,
}

impl Announced {
    fn names(&self) -> Vec<String> {
        self.names.lock().expect("not poisoned").clone()
    }
}

impl Store for Announced {
    fn era(&self) -> watch::Receiver<Option<u64>> {
        self.era.subscribe()
    }

    async fn members(&self, _: Duration) -> Result<Members, StoreError> {
        let mut busy = self.busy.lock().expect("not poisoned");
        if *busy > 0 {
            *busy -= 1;
            return Err(StoreError::Busy { step: "list members", status: 503 });
        }
        *self.lists.lock().expect("not poisoned") += 1;
        let records = self.names().iter().map(|_| record()).collect();
        let at = Revision::new(self.era.borrow().unwrap_or_default(), STORE_AT);
        Ok(Members { at, records })
    }

    async fn announce(&self, member: &Member, _: Duration) -> Result<Object, StoreError> {
        let mut names = self.names.lock().expect("not poisoned");
        let created = !names.contains(&member.name);
        if created {
            names.push(member.name.clone());
        }
        Ok(Object { revision: None, created })
    }

    async fn withdraw(
        &self,
        name: &str,
        _: Option<Revision>,
        _: Duration,
    ) -> Result<(), StoreError> {
        self.names.lock().expect("not poisoned").retain(|it| it != name);
        Ok(())
    }

    async fn routes(&self, _: Freshness, _: Duration) -> Result<Seen, StoreError> {
        Ok(Seen { routes: None, at: Revision::new(0, STORE_AT) })
    }

    async fn watch(
        &self,
        at: Revision,
        _: Duration,
        _: Duration,
    ) -> Result<Watched<Seen>, StoreError> {
        Ok(Watched::Seen(Seen { routes: None, at }))
    }

    async fn zones_out(&self, _: Freshness, _: Duration) -> Result<ZonesOut, StoreError> {
        Ok(ZonesOut::default())
    }

    async fn watch_zones(
        &self,
        known: &ZonesOut,
        _: Duration,
        _: Duration,
    ) -> Result<Watched<ZonesOut>, StoreError> {
        Ok(Watched::Seen(known.clone()))
    }
}

// Everything lost power while the store was busy: seeds that were not up yet held up each process that had asked them,
// by 0.6 s in which the store was back already.
#[tokio::test]
async fn a_peer_that_does_not_answer_does_not_hold_up_the_store() {
    let peer = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let SocketAddr::V4(at) = peer.local_addr().expect("its address") else { panic!("not IPv4") };
    let (_keep, seeds) = watch::channel(vec![at]);
    let (out, mut found) = mpsc::channel(16);
    let store = Announced::default();
    *store.busy.lock().expect("not poisoned") = 1;
    let task = tokio::spawn(join(
        store,
        member(),
        watch::channel(true).1,
        seeds,
        Arc::new(Notify::new()),
        out,
    ));
    let (_unanswered, _) = peer.accept().await.expect("the process asks for the list");
    let (stream, _) = peer.accept().await.expect("the process asks for what is known");
    let first = timeout(Duration::from_millis(900), found.recv()).await;
    let first = first.expect("in time").expect("the store's list");
    assert!(matches!(first, Found::Members(..)), "{first:?}");
    // The peer is still being waited for.
    let snapshot = Bytes::from(Snapshot::default().encode_to_vec());
    frames(stream).send(snapshot).await.expect("the answer is taken");
    let second = found.recv().await.expect("the peer's answer");
    assert!(matches!(second, Found::PeerMembers(_)), "{second:?}");
    task.abort();
}

// Processes that had listed themselves after the copy was made were on no list until their next look, up to five minutes later.
#[tokio::test]
async fn a_process_whose_object_the_store_lost_lists_itself_again() {
    let store = Announced::default();
    let (_keep, seeds) = watch::channel(Vec::new());
    let (out, mut found) = mpsc::channel(16);
    let serving = watch::channel(true).1;
    let again = Arc::new(Notify::new());
    let task = tokio::spawn(join(store.clone(), member(), serving, seeds, again, out));
    found.recv().await.expect("a list");
    assert_eq!(store.names(), ["one"]);
    store.names.lock().expect("not poisoned").clear();
    store.era.send_replace(Some(1));
    let Some(Found::Members(members, _)) = found.recv().await else { panic!("no list") };
    assert_eq!((members.at.era, members.records.len()), (1, 1));
    assert_eq!(store.names(), ["one"]);
    // Once is enough.
    sleep(Duration::from_millis(600)).await;
    assert!(found.try_recv().is_err());
    task.abort();
}

// Chillwatch trouble-1, seed 12: VMs on their way out were powered on once more and listed themselves, then they were gone.
// For 5 s no caller was told that its flow was dead, since those agents might have held it: 406 of 18,600 requests failed
// instead of 232.
#[tokio::test]
async fn an_agent_without_an_upstream_is_not_on_the_list() {
    let store = Announced::default();
    // From before it was powered off, when the store was away.
    store.announce(&member(), Duration::ZERO).await.expect("announced");
    let (serves, serving) = watch::channel(false);
    let (_keep, seeds) = watch::channel(Vec::new());
    let (out, mut found) = mpsc::channel(16);
    let again = Arc::new(Notify::new());
    let task = tokio::spawn(join(store.clone(), member(), serving, seeds, again.clone(), out));
    let removed = async {
        while !store.names().is_empty() {
            sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(Duration::from_secs(1), removed).await.expect("it is taken off the list");
    serves.send_replace(true);
    again.notify_one();
    found.recv().await.expect("a list");
    assert_eq!(store.names(), ["one"]);
    task.abort();
}

/// A process of another address than the one that joins, which tells what it knows.
async fn seed(lists: &Arc<Lists>) -> (SocketAddrV4, watch::Sender<Arc<Snapshot>>) {
    let free = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let SocketAddr::V4(at) = free.local_addr().expect("its address") else { panic!("not IPv4") };
    drop(free);
    let routes = Routes { revision: Revision::new(0, 3), version: 8, ..Routes::default() };
    // A process that has only heard of another one does not know its zone.
    let heard = Listed { zone: ZoneId(9), ..member().listed() };
    let known = Snapshot::new(Some(&routes), &[heard]);
    let (newest, snapshots) = watch::channel(Arc::new(known));
    snapshot::serve(at, snapshots, Some(lists.clone())).expect("it listens");
    (at, newest)
}

// Fleet of 981 processes: 3 to 5 calls of the store at each start, most of them for the list, which every process read for itself.
// Cause: nobody could tell it on, as nobody said as of when it was read. Proof: the store is asked for one entry and for no list.
#[tokio::test]
async fn a_process_takes_the_list_from_a_seed() {
    let lists = Arc::new(Lists::default());
    let (at, _newest) = seed(&lists).await;
    let (_keep, seeds) = watch::channel(vec![at]);
    let (out, mut found) = mpsc::channel(16);
    let store = Announced::default();
    let serving = watch::channel(true).1;
    let task = tokio::spawn(join(store.clone(), member(), serving, seeds, Arc::default(), out));
    // The seed has no list that was read after the question.
    timeout(Duration::from_secs(1), lists.wanted.notified()).await.expect("it is asked");
    let attempt = lists.begin();
    lists.put(Revision::new(0, STORE_AT), vec![record()], attempt);
    assert!(matches!(found.recv().await, Some(Found::Routes(it)) if it.version == 8));
    let Some(Found::Members(members, _)) = found.recv().await else { panic!("no list") };
    assert_eq!((members.at, &members.records), (Revision::new(0, STORE_AT), &vec![record()]));
    assert_eq!(
        (store.names(), *store.lists.lock().expect("not poisoned")),
        (vec!["one".to_owned()], 0)
    );
    task.abort();
}

// A third of all processes may be turned away by the store, a seed among them.
#[tokio::test]
async fn a_process_whose_seed_can_not_read_the_list_reads_it_itself() {
    let lists = Arc::new(Lists::default());
    let (at, _newest) = seed(&lists).await;
    let (_keep, seeds) = watch::channel(vec![at]);
    let (out, mut found) = mpsc::channel(16);
    let store = Announced::default();
    let serving = watch::channel(true).1;
    let task = tokio::spawn(join(store.clone(), member(), serving, seeds, Arc::default(), out));
    timeout(Duration::from_secs(1), lists.wanted.notified()).await.expect("it is asked");
    lists.failed(lists.begin());
    let members = async {
        loop {
            if let Some(Found::Members(members, _)) = found.recv().await {
                return members;
            }
        }
    };
    let members = timeout(Duration::from_millis(500), members).await.expect("at once");
    assert_eq!((members.records.len(), *store.lists.lock().expect("not poisoned")), (1, 1));
    task.abort();
}

// After a loss of power seeds were silent, and each start waited for one after the other: on days with such a loss up to 0.036 of a small
// site's worth. Proof: with three seeds that accept and say nothing the store's list is there after less time than two of them take.
#[tokio::test]
async fn silent_seeds_do_not_hold_up_a_start() {
    let mut at = Vec::new();
    let mut silent = Vec::new();
    for _ in 0..3 {
        let it = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
        let SocketAddr::V4(address) = it.local_addr().expect("its address") else { panic!("IPv6") };
        at.push(address);
        silent.push(it);
    }
    let (_keep, seeds) = watch::channel(at);
    let (out, mut found) = mpsc::channel(16);
    let serving = watch::channel(true).1;
    let store = Announced::default();
    let task = tokio::spawn(join(store, member(), serving, seeds, Arc::default(), out));
    let list = timeout(Duration::from_millis(350), found.recv()).await.expect("in time");
    assert!(matches!(list, Some(Found::Members(..))), "{list:?}");
    task.abort();
}

// Fleet, scale-1: the store turns a third of the VMs away for 9 s. A balancer whose turn to read fell into that tried again each half second,
// though others read and tell of changes. Proof: one call for each of its turns.
#[tokio::test(start_paused = true)]
async fn a_reader_that_is_turned_away_waits_for_its_next_turn() {
    let store = Fake { serves: Some(1), ..Fake::default() };
    let (_duty, reading) = watch::channel(Duty::Read(3));
    let (out, mut found) = mpsc::channel::<Found>(16);
    let task = tokio::spawn(follow(store.clone(), Topic::Routes, reading, Arc::default(), out));
    assert!(matches!(found.recv().await, Some(Found::News(_))));
    sleep(Duration::from_secs(100)).await;
    // Turns are 6 to 10 s apart.
    let calls = store.calls().len();
    assert!((11..=18).contains(&calls), "{calls}");
    task.abort();
}

// A process that knows no configuration yet can't wait.
#[tokio::test(start_paused = true)]
async fn a_reader_that_knows_nothing_tries_again_at_once() {
    let store = Fake { serves: Some(0), ..Fake::default() };
    let (_duty, reading) = watch::channel(Duty::Read(3));
    let (out, _found) = mpsc::channel::<Found>(16);
    let task = tokio::spawn(follow(store.clone(), Topic::Routes, reading, Arc::default(), out));
    sleep(Duration::from_secs(10)).await;
    assert!(store.calls().len() > 15, "{:?}", store.calls());
    task.abort();
}

// Balancers that read the configuration beside those that wait for its changes made more calls the more of them there were.
#[test]
fn reads_of_the_configuration_do_not_grow_with_the_fleet() {
    let reads_per_s =
        |balancers| balancers as f64 / Topic::Routes.read_every(balancers).as_secs_f64();
    for balancers in [60, 520, 1_040] {
        assert!(reads_per_s(balancers) < 5.2, "{balancers}: {}", reads_per_s(balancers));
    }
    // Each balancer must find a zone that went out by itself, in any fleet.
    assert_eq!(Topic::zones().read_every(520), Topic::zones().read_every(5));
}
