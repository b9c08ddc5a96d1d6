use std::{
    net::{SocketAddr, SocketAddrV4},
    sync::{Arc, Mutex},
    time::Duration,
};

use bytes::Bytes;
use camphorwinch_core::opaque::{
    PoolId,
    balancer::Duty,
    fleet::MemberEntry,
    former_pools::FormerPool,
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
    time::{Instant, sleep, timeout},
};

use super::{
    DiscoveryState, Follow, Join, Topic, Update, WatchRole, fake_store::FakeStore,
    join::list_interval, request_reporting, topic::Era, withdraw,
};
use crate::store::{ConfigRead, Freshness, Member, Members, Record, Store, StoreError, Watched};
use crate::{lists::Lists, snapshot};

/// Store revision, far above the configuration's own.
const STORE_AT: u64 = 900;
/// Revision of the configuration, which is compacted already.
const CONFIG_AT: u64 = 5;

/// Store with a history from [`STORE_AT`] on; with `compacts` it has no history.
#[derive(Clone, Default)]
struct HistoryStore {
    compacts: bool,
    /// Rejects reads of the zones.
    zones_busy: bool,
    /// Rejects reads of the configuration after this many calls.
    config_limit: Option<usize>,
    calls: Arc<Mutex<Vec<Option<u64>>>>,
    reads: Arc<Mutex<Vec<Freshness>>>,
    era: watch::Sender<Option<u64>>,
}

impl HistoryStore {
    fn calls(&self) -> Vec<Option<u64>> {
        self.calls.lock().expect("not poisoned").clone()
    }

    fn record_call(&self, call: Option<u64>) {
        self.calls.lock().expect("not poisoned").push(call);
    }
}

impl FakeStore for HistoryStore {
    fn era(&self) -> watch::Receiver<Option<u64>> {
        self.era.subscribe()
    }

    fn withdraw(&self, _: &str, at: Revision) -> Result<(), StoreError> {
        self.record_call(Some(at.number));
        let step = "withdraw a member";
        match self.calls().len() {
            1 | 2 => Err(StoreError::Busy { step, status: 503 }),
            _ if self.compacts => Err(StoreError::Conflict { step, current: None }),
            _ => Ok(()),
        }
    }

    fn routes(&self, it: Freshness) -> Result<ConfigRead, StoreError> {
        self.record_call(None);
        self.reads.lock().expect("not poisoned").push(it);
        if self.config_limit.is_some_and(|it| self.calls().len() > it) {
            return Err(StoreError::Busy { step: "read the configuration", status: 503 });
        }
        let routes =
            Routes { revision: Revision::new(0, CONFIG_AT), version: 1, ..Routes::default() };
        let era = self.era.borrow().unwrap_or_default();
        Ok(ConfigRead { routes: Some(routes), at: Revision::new(era, STORE_AT) })
    }

    async fn watch(&self, at: Revision, wait: Duration) -> Result<Watched<ConfigRead>, StoreError> {
        self.record_call(Some(at.number));
        if self.compacts || at.number < STORE_AT {
            return Ok(Watched::Compacted);
        }
        sleep(wait).await;
        Ok(Watched::Advanced(ConfigRead { routes: None, at }))
    }

    fn zones_out(&self, it: Freshness) -> Result<ZonesOut, StoreError> {
        self.record_call(None);
        self.reads.lock().expect("not poisoned").push(it);
        if self.zones_busy {
            return Err(StoreError::Busy { step: "list zones", status: 503 });
        }
        Ok(ZonesOut::new(Revision::new(0, STORE_AT), ["a".to_owned()]))
    }

    async fn watch_zones(
        &self,
        known: &ZonesOut,
        _: Duration,
    ) -> Result<Watched<ZonesOut>, StoreError> {
        self.record_call(Some(known.revision().number));
        if self.compacts {
            return Ok(Watched::Compacted);
        }
        sleep(Duration::from_millis(50)).await;
        let change = ("a".to_owned(), known.names().count() == 0);
        Ok(Watched::Advanced(
            known.with_changes(Revision::new(0, known.revision().number + 1), [change]),
        ))
    }
}

async fn calls_in_a_second(store: &HistoryStore) -> Vec<Option<u64>> {
    let (_role_sender, role) = watch::channel(WatchRole::Watch(0));
    let (out, mut updates) = mpsc::channel::<Update>(16);
    let task = tokio::spawn(follow(store.clone(), Topic::Routes, role, Arc::default(), out));
    let drain = tokio::spawn(async move { while updates.recv().await.is_some() {} });
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

/// Follows a topic without any state from peers.
async fn follow<S>(
    store: S,
    topic: Topic,
    role: watch::Receiver<WatchRole>,
    config_read: Arc<Notify>,
    out: mpsc::Sender<Update>,
) where
    S: Store,
{
    let start = watch::channel(DiscoveryState::FromStore).1;
    let peer_answers = watch::channel(None).1;
    Follow { store, role, start, config_read, peer_answers, out }.run(topic).await;
}

/// Joins without any hello received.
async fn join<S>(
    store: S,
    own: Member,
    serves: watch::Receiver<bool>,
    seeds: watch::Receiver<Vec<SocketAddrV4>>,
    relist: Arc<Notify>,
    out: mpsc::Sender<Update>,
) where
    S: Store,
{
    let hello_senders = watch::Sender::default().subscribe();
    let (lists, start) = (Arc::default(), watch::Sender::new(DiscoveryState::Requesting));
    Join {
        store,
        own,
        serves,
        entry: watch::Sender::default(),
        first_start: false,
        seeds,
        hello_senders,
        relist,
        lists,
        start,
        out,
    }
    .run()
    .await;
}

#[tokio::test]
async fn polling_balancer_reads_without_watching() {
    let store = HistoryStore::default();
    let (role_sender, role) = watch::channel(WatchRole::Read(3));
    let (out, mut updates) = mpsc::channel::<Update>(16);
    let task = tokio::spawn(follow(store.clone(), Topic::Routes, role, Arc::default(), out));
    assert!(matches!(updates.recv().await, Some(Update::StoreRoutes(_))));
    sleep(Duration::from_millis(300)).await;
    assert_eq!(store.calls(), [None]);
    // On the change to watching it reads what it may have missed, then watches.
    role_sender.send_replace(WatchRole::Watch(0));
    assert!(matches!(updates.recv().await, Some(Update::StoreRoutes(_))));
    sleep(Duration::from_millis(300)).await;
    assert_eq!(store.calls(), [None, None, Some(STORE_AT)]);
    // The first read must be current; later ones may be stale.
    let reads = store.reads.lock().expect("not poisoned").clone();
    assert_eq!(reads, [Freshness::Current, Freshness::Stale]);
    drop((role_sender, updates));
    task.abort();
}

async fn next_zones(updates: &mut mpsc::Receiver<Update>) -> Vec<String> {
    loop {
        match updates.recv().await {
            Some(Update::StoreZones(zones)) => return zones.names().map(str::to_owned).collect(),
            Some(Update::Answered(Duty::ZoneWatch)) => {}
            update => panic!("{update:?}"),
        }
    }
}

#[tokio::test]
async fn zone_changes_follow_the_first_list() {
    let store = HistoryStore::default();
    let (_role_sender, role) = watch::channel(WatchRole::Watch(0));
    let (out, mut updates) = mpsc::channel::<Update>(1);
    let task = tokio::spawn(follow(store.clone(), Topic::zones(), role, Arc::default(), out));
    assert_eq!(next_zones(&mut updates).await, ["a"]);
    assert!(next_zones(&mut updates).await.is_empty());
    assert_eq!(next_zones(&mut updates).await, ["a"]);
    let calls = store.calls();
    assert_eq!(calls[..3], [None, Some(STORE_AT), Some(STORE_AT + 1)]);
    task.abort();
}

// Guards against a useless watch call at each start of a balancer that only polls.
#[tokio::test]
async fn undecided_process_does_not_watch() {
    let store = HistoryStore::default();
    let (role_sender, role) = watch::channel(WatchRole::Undecided);
    let (out, mut updates) = mpsc::channel::<Update>(16);
    let task = tokio::spawn(follow(store.clone(), Topic::Routes, role, Arc::default(), out));
    assert!(matches!(updates.recv().await, Some(Update::StoreRoutes(_))));
    sleep(Duration::from_millis(200)).await;
    role_sender.send_replace(WatchRole::Read(3));
    sleep(Duration::from_millis(500)).await;
    assert_eq!(store.calls(), [None]);
    task.abort();
}

// The members can't be read, so the role is never decided.
#[tokio::test]
async fn process_watches_if_its_role_stays_undecided() {
    let store = HistoryStore::default();
    let (_role_sender, role) = watch::channel(WatchRole::Undecided);
    let (out, _updates) = mpsc::channel::<Update>(16);
    let task = tokio::spawn(follow(store.clone(), Topic::Routes, role, Arc::default(), out));
    sleep(Duration::from_millis(800)).await;
    assert_eq!(store.calls(), [None, Some(STORE_AT)]);
    task.abort();
}

// Guards against twice the calls during an outage of the store.
#[tokio::test]
async fn zones_retry_after_configuration_read_succeeds() {
    let store = HistoryStore { zones_busy: true, ..HistoryStore::default() };
    let (_role_sender, role) = watch::channel(WatchRole::Watch(0));
    let (out, _updates) = mpsc::channel::<Update>(1);
    let config_read = Arc::new(Notify::new());
    let task = tokio::spawn(follow(store.clone(), Topic::zones(), role, config_read.clone(), out));
    sleep(Duration::from_secs(1)).await;
    assert_eq!(store.calls(), [None, None]);
    config_read.notify_waiters();
    sleep(Duration::from_millis(100)).await;
    assert_eq!(store.calls(), [None, None, None]);
    task.abort();
}

#[tokio::test]
async fn zones_are_read_again_after_compaction() {
    let store = HistoryStore { compacts: true, ..HistoryStore::default() };
    let (_role_sender, role) = watch::channel(WatchRole::Watch(0));
    let (out, mut updates) = mpsc::channel::<Update>(1);
    let task = tokio::spawn(follow(store.clone(), Topic::zones(), role, Arc::default(), out));
    for _ in 0..3 {
        assert_eq!(next_zones(&mut updates).await, ["a"]);
    }
    assert_eq!(store.calls()[..4], [None, Some(STORE_AT), None, Some(STORE_AT)]);
    // The read after the lost history must be current, as a stale one may lack the history too.
    let reads = store.reads.lock().expect("not poisoned").clone();
    assert_eq!(reads[..2], [Freshness::Current; 2]);
    task.abort();
}

#[tokio::test]
async fn watch_ends_on_store_reset() {
    let store = HistoryStore::default();
    let (_role_sender, role) = watch::channel(WatchRole::Watch(0));
    let (out, _updates) = mpsc::channel::<Update>(16);
    let task = tokio::spawn(follow(store.clone(), Topic::Routes, role, Arc::default(), out));
    sleep(Duration::from_millis(100)).await;
    assert_eq!(store.calls(), [None, Some(STORE_AT)]);
    store.era.send_replace(Some(1));
    sleep(Duration::from_millis(400)).await;
    assert_eq!(store.calls(), [None, Some(STORE_AT), None, Some(STORE_AT)]);
    task.abort();
}

// Guards against state from before a store reset, whose revisions would pass for newer ones.
#[test]
fn stale_answers_need_an_era_confirmed_by_a_current_one() {
    let mut era = Era::default();
    assert_eq!(era.freshness(), Freshness::Current);
    assert!(!era.accepts(1, Freshness::Stale));
    assert!(era.accepts(1, Freshness::Current));
    assert_eq!(era.freshness(), Freshness::Stale);
    assert!(era.accepts(1, Freshness::Stale));
    assert!(!era.accepts(2, Freshness::Stale));
    assert!(era.accepts(2, Freshness::Current));
    assert_eq!(era.freshness(), Freshness::Current, "stale answers may predate the reset");
    assert!(!era.accepts(1, Freshness::Current));
}

#[tokio::test]
async fn withdrawal_is_retried_while_store_is_unavailable() {
    let store = HistoryStore::default();
    withdraw(&store, &record(), || true).await.expect("withdrawn");
    assert_eq!(store.calls(), [Some(7); 3]);
}

#[tokio::test]
async fn withdrawal_stops_if_object_has_changed() {
    let store = HistoryStore { compacts: true, ..HistoryStore::default() };
    let error = withdraw(&store, &record(), || true).await.expect_err("it has changed");
    assert!(matches!(error, StoreError::Conflict { .. }), "{error}");
}

// Guards against the withdrawal of a member that is back: its withdrawal was repeated until the store answered.
#[tokio::test]
async fn withdrawal_is_not_repeated_for_a_member_that_is_back() {
    let store = HistoryStore::default();
    withdraw(&store, &record(), || false).await.expect_err("rejected once");
    assert_eq!(store.calls(), [Some(7)]);
}

#[test]
fn member_list_reads_stay_within_store_rate() {
    assert_eq!(list_interval(20, false), Duration::from_secs(45));
    // Design size: 520 balancers and 5,900 agents at 500 members per page; 0.8 is the mean jitter.
    let (balancers, agents) = (520, 5_900);
    let members = balancers + agents;
    let calls_per_s = |processes: usize, agent| {
        let calls = processes as f64 * (members as f64 / 500.0).ceil();
        calls / (list_interval(members, agent).as_secs_f64() * 0.8)
    };
    let calls_per_s = calls_per_s(balancers, false) + calls_per_s(agents, true);
    assert!(calls_per_s < 25.0, "{calls_per_s}");
}

// Guards against a loop of reads and watches: a watch must not start at the configuration's own, compacted revision.
#[tokio::test]
async fn watch_continues_from_store_revision() {
    let store = HistoryStore::default();
    assert_eq!(calls_in_a_second(&store).await, [None, Some(STORE_AT)]);
}

// Guards against a watcher that waits for long on a connection that may have gone silent: that other watchers get no answers
// was taken for the absence of news.
#[tokio::test(start_paused = true)]
async fn waiting_call_is_replaced_once_no_watcher_gets_answers() {
    let store = HistoryStore::default();
    let (_role_sender, role) = watch::channel(WatchRole::Watch(1));
    let (answers, peer_answers) = watch::channel(Some(Instant::now()));
    let (out, mut updates) = mpsc::channel::<Update>(16);
    let start = watch::channel(DiscoveryState::FromStore).1;
    let config_read = Arc::default();
    let follow = Follow { store: store.clone(), role, start, config_read, peer_answers, out };
    let task = tokio::spawn(follow.run(Topic::Routes));
    let drain = tokio::spawn(async move { while updates.recv().await.is_some() {} });
    for _ in 0..10 {
        sleep(Duration::from_secs(1)).await;
        answers.send_replace(Some(Instant::now()));
    }
    assert_eq!(store.calls(), [None, Some(STORE_AT)], "while another watcher gets answers");
    sleep(Duration::from_secs(3)).await;
    assert_eq!(store.calls(), [None, Some(STORE_AT), Some(STORE_AT)], "without any answers");
    task.abort();
    drain.abort();
}

#[tokio::test]
async fn permanent_compaction_does_not_cause_a_busy_loop() {
    let store = HistoryStore { compacts: true, ..HistoryStore::default() };
    let calls = calls_in_a_second(&store).await.len();
    // One read and one watch per pause of 90 to 150 ms.
    assert!((8..=26).contains(&calls), "{calls}");
}

/// Store of the announced members; its lists fail for the first `busy` calls.
#[derive(Clone, Default)]
struct MemberStore {
    busy: Arc<Mutex<u32>>,
    names: Arc<Mutex<Vec<String>>>,
    /// Number of successful reads of the list.
    lists: Arc<Mutex<u32>>,
    /// Duration of a read of the list.
    list_time: Duration,
    era: watch::Sender<Option<u64>>,
}

impl MemberStore {
    fn names(&self) -> Vec<String> {
        self.names.lock().expect("not poisoned").clone()
    }
}

impl FakeStore for MemberStore {
    fn era(&self) -> watch::Receiver<Option<u64>> {
        self.era.subscribe()
    }

    async fn members(&self) -> Result<Members, StoreError> {
        {
            let mut busy = self.busy.lock().expect("not poisoned");
            if *busy > 0 {
                *busy -= 1;
                return Err(StoreError::Busy { step: "list members", status: 503 });
            }
        }
        *self.lists.lock().expect("not poisoned") += 1;
        sleep(self.list_time).await;
        let records = self.names().iter().map(|_| record()).collect();
        let at = Revision::new(self.era.borrow().unwrap_or_default(), STORE_AT);
        Ok(Members { at, records })
    }

    fn create(&self, member: &Member, _: u32) -> Result<Option<Revision>, StoreError> {
        let mut names = self.names.lock().expect("not poisoned");
        if names.contains(&member.name) {
            let current = Some(Revision::new(0, 7));
            return Err(StoreError::Conflict { step: "create", current });
        }
        names.push(member.name.clone());
        Ok(None)
    }

    fn replace(
        &self,
        member: &Member,
        _: u32,
        _: Revision,
    ) -> Result<Option<Revision>, StoreError> {
        match self.names().contains(&member.name) {
            true => Ok(None),
            false => Err(StoreError::NotFound { step: "replace" }),
        }
    }

    fn withdraw(&self, name: &str, _: Revision) -> Result<(), StoreError> {
        self.names.lock().expect("not poisoned").retain(|it| it != name);
        Ok(())
    }
}

// Guards against a start that is delayed by peers that don't answer.
#[tokio::test]
async fn silent_peer_does_not_delay_store_read() {
    let peer = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let SocketAddr::V4(at) = peer.local_addr().expect("its address") else { panic!("not IPv4") };
    let (_keep, seeds) = watch::channel(vec![at]);
    let (out, mut updates) = mpsc::channel(16);
    let store = MemberStore::default();
    *store.busy.lock().expect("not poisoned") = 1;
    let task = tokio::spawn(join(
        store,
        member(),
        watch::channel(true).1,
        seeds,
        Arc::new(Notify::new()),
        out,
    ));
    let (_unanswered, _) = peer.accept().await.expect("a request for the list");
    let (stream, _) = peer.accept().await.expect("a request for the state");
    let first = timeout(Duration::from_millis(900), updates.recv()).await;
    let first = first.expect("in time").expect("the store's list");
    assert!(matches!(first, Update::Members(..)), "{first:?}");
    // The request to the peer is still pending.
    let snapshot = Bytes::from(Snapshot::default().encode_to_vec());
    frames(stream).send(snapshot).await.expect("the answer is sent");
    let second = updates.recv().await.expect("the peer's answer");
    assert!(matches!(second, Update::PeerMembers(_)), "{second:?}");
    task.abort();
}

// Guards against processes that stay unlisted after a store reset.
#[tokio::test]
async fn process_registers_again_after_store_lost_its_object() {
    let store = MemberStore::default();
    let (_keep, seeds) = watch::channel(Vec::new());
    let (out, mut updates) = mpsc::channel(16);
    let serving = watch::channel(true).1;
    let relist = Arc::new(Notify::new());
    let task = tokio::spawn(join(store.clone(), member(), serving, seeds, relist, out));
    updates.recv().await.expect("a list");
    assert_eq!(store.names(), ["one"]);
    store.names.lock().expect("not poisoned").clear();
    store.era.send_replace(Some(1));
    let Some(Update::Members(members, _)) = updates.recv().await else { panic!("no list") };
    assert_eq!((members.at.era, members.records.len()), (1, 1));
    assert_eq!(store.names(), ["one"]);
    // The list is read only once.
    sleep(Duration::from_millis(600)).await;
    assert!(updates.try_recv().is_err());
    task.abort();
}

// Guards against waiting for agents that hold no flows: flows must be reset without them.
#[tokio::test]
async fn agent_without_upstream_is_not_listed() {
    let store = MemberStore::default();
    // Entry of an earlier run.
    Store::create(&store, &member(), 1, Duration::ZERO).await.expect("created");
    let (serves, serving) = watch::channel(false);
    let (_keep, seeds) = watch::channel(Vec::new());
    let (out, mut updates) = mpsc::channel(16);
    let relist = Arc::new(Notify::new());
    let task = tokio::spawn(join(store.clone(), member(), serving, seeds, relist.clone(), out));
    let withdrawn = async {
        while !store.names().is_empty() {
            sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(Duration::from_secs(1), withdrawn).await.expect("the entry is withdrawn");
    serves.send_replace(true);
    relist.notify_one();
    updates.recv().await.expect("a list");
    assert_eq!(store.names(), ["one"]);
    task.abort();
}

/// Starts a snapshot server of another process.
async fn seed(lists: &Arc<Lists>) -> (SocketAddrV4, watch::Sender<Arc<Snapshot>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let SocketAddr::V4(at) = listener.local_addr().expect("its address") else {
        panic!("not IPv4")
    };
    drop(listener);
    let routes = Routes { revision: Revision::new(0, 3), version: 8, ..Routes::default() };
    // The zone of an unlisted member may be unknown.
    let unlisted = MemberEntry { zone: ZoneId(9), ..member().listed() };
    let known = Snapshot::new(Some(&routes), &[unlisted]);
    let (newest, snapshots) = watch::channel(Arc::new(known));
    snapshot::serve(at, snapshots, Some(lists.clone())).expect("it listens");
    (at, newest)
}

// Guards against a seed that has its configuration only after its list: the processes that start with it wait for both.
#[tokio::test(start_paused = true)]
async fn seed_reads_its_configuration_beside_its_list() {
    let list_time = Duration::from_millis(300);
    let store = MemberStore { list_time, ..MemberStore::default() };
    let (start, mut state) = watch::channel(DiscoveryState::Requesting);
    let (out, mut updates) = mpsc::channel(16);
    let seed = Join {
        store: store.clone(),
        own: member(),
        serves: watch::channel(true).1,
        entry: watch::Sender::default(),
        first_start: false,
        seeds: watch::channel(vec![member().address]).1,
        hello_senders: watch::Sender::default().subscribe(),
        relist: Arc::default(),
        lists: Arc::default(),
        start,
        out,
    };
    let task = tokio::spawn(seed.run());
    let begun = tokio::time::Instant::now();
    state.wait_for(|&it| it == DiscoveryState::FromStore).await.expect("the seed runs");
    assert!(begun.elapsed() < list_time, "{:?}", begun.elapsed());
    // Only a seed that could register reads: while the store is away it makes no more calls than before.
    assert_eq!(store.names(), ["one"]);
    assert!(matches!(updates.recv().await, Some(Update::Members(..))));
    task.abort();
}

// Guards against a list read from the store by each starting process.
#[tokio::test]
async fn process_gets_list_from_seed() {
    let lists = Arc::new(Lists::default());
    let (at, _newest) = seed(&lists).await;
    let (_keep, seeds) = watch::channel(vec![at]);
    let (out, mut updates) = mpsc::channel(16);
    let store = MemberStore::default();
    let serving = watch::channel(true).1;
    let task = tokio::spawn(join(store.clone(), member(), serving, seeds, Arc::default(), out));
    // The seed's list is older than the request.
    timeout(Duration::from_secs(1), lists.refresh_requested.notified())
        .await
        .expect("the seed receives a request");
    let attempt = lists.begin_attempt();
    lists.publish(Revision::new(0, STORE_AT), vec![record()], attempt);
    assert!(matches!(updates.recv().await, Some(Update::PeerRoutes(it)) if it.version == 8));
    let Some(Update::Members(members, _)) = updates.recv().await else { panic!("no list") };
    assert_eq!((members.at, &members.records), (Revision::new(0, STORE_AT), &vec![record()]));
    assert_eq!(
        (store.names(), *store.lists.lock().expect("not poisoned")),
        (vec!["one".to_owned()], 0)
    );
    task.abort();
}

// Guards against a starting balancer that does not learn of a living agent whose entry was removed.
#[tokio::test]
async fn reporting_agents_are_requested_until_a_peer_names_some() {
    let (starting, _newest) = seed(&Arc::default()).await;
    let (running, newest) = seed(&Arc::default()).await;
    let gone = "127.0.0.1:1".parse().expect("an address");
    let agent = |host: u8| MemberEntry {
        address: SocketAddrV4::new([10, 0, 0, host].into(), 7720),
        pool: Some(PoolId(1)),
        zone: ZoneId(9),
    };
    let reporting = [agent(2).address].into();
    let known = Snapshot::new(None, &[agent(2), agent(3)]).with_reporting(&reporting);
    newest.send_replace(Arc::new(known));
    let (out, mut updates) = mpsc::channel(16);
    request_reporting(&[gone, starting, running], &out).await;
    let Some(Update::PeerMembers(members)) = updates.recv().await else { panic!("no members") };
    assert_eq!(members, [agent(2)]);
    assert!(matches!(updates.recv().await, Some(Update::PeersAsked)));
    request_reporting(&[gone, starting], &out).await;
    assert!(matches!(updates.recv().await, Some(Update::PeersAsked)));
}

// Guards against a starting balancer that takes the former pools that another starting one knows for all of them.
#[tokio::test]
async fn former_pools_are_requested_until_a_peer_knows_all() {
    let (starting, newest) = seed(&Arc::default()).await;
    let (running, running_newest) = seed(&Arc::default()).await;
    let former = |pool| {
        let address = SocketAddrV4::new([198, 18, 0, 1].into(), 443);
        FormerPool { address, pool: PoolId(pool), age_ms: 40 }
    };
    let agent = MemberEntry { pool: Some(PoolId(1)), ..member().listed() };
    let known = |pools: &[FormerPool], all| {
        let reporting = [agent.address].into();
        Arc::new(
            Snapshot::new(None, &[agent]).with_reporting(&reporting).with_former_pools(pools, all),
        )
    };
    newest.send_replace(known(&[], false));
    running_newest.send_replace(known(&[former(7)], true));
    let (out, mut updates) = mpsc::channel(16);
    request_reporting(&[starting, running], &out).await;
    drop(out);
    let (mut agents, mut pools) = (Vec::new(), Vec::new());
    while let Some(update) = updates.recv().await {
        match update {
            Update::PeerMembers(it) => agents.extend(it),
            Update::PeerFormerPools(it, true) => pools.extend(it),
            Update::PeersAsked => {}
            update => panic!("{update:?}"),
        }
    }
    assert_eq!((agents, pools), (vec![agent], vec![former(7)]));
}

// The store may reject the seed while it accepts other processes.
#[tokio::test]
async fn process_reads_list_if_seed_fails() {
    let lists = Arc::new(Lists::default());
    let (at, _newest) = seed(&lists).await;
    let (_keep, seeds) = watch::channel(vec![at]);
    let (out, mut updates) = mpsc::channel(16);
    let store = MemberStore::default();
    let serving = watch::channel(true).1;
    let task = tokio::spawn(join(store.clone(), member(), serving, seeds, Arc::default(), out));
    timeout(Duration::from_secs(1), lists.refresh_requested.notified())
        .await
        .expect("the seed receives a request");
    lists.fail_attempt(lists.begin_attempt());
    let members = async {
        loop {
            if let Some(Update::Members(members, _)) = updates.recv().await {
                return members;
            }
        }
    };
    let members = timeout(Duration::from_millis(500), members).await.expect("a list without delay");
    assert_eq!((members.records.len(), *store.lists.lock().expect("not poisoned")), (1, 1));
    task.abort();
}

// Guards against a start that waits for silent seeds one after the other.
#[tokio::test]
async fn silent_seeds_do_not_delay_start() {
    let mut at = Vec::new();
    let mut silent = Vec::new();
    for _ in 0..3 {
        let it = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
        let SocketAddr::V4(address) = it.local_addr().expect("its address") else { panic!("IPv6") };
        at.push(address);
        silent.push(it);
    }
    let (_keep, seeds) = watch::channel(at);
    let (out, mut updates) = mpsc::channel(16);
    let serving = watch::channel(true).1;
    let store = MemberStore::default();
    let task = tokio::spawn(join(store, member(), serving, seeds, Arc::default(), out));
    let list = timeout(Duration::from_millis(350), updates.recv()).await.expect("in time");
    assert!(matches!(list, Some(Update::Members(..))), "{list:?}");
    task.abort();
}

// Guards against retries of a polling balancer while the store rejects it.
#[tokio::test(start_paused = true)]
async fn rejected_poll_waits_for_next_interval() {
    let store = HistoryStore { config_limit: Some(1), ..HistoryStore::default() };
    let (_role_sender, role) = watch::channel(WatchRole::Read(3));
    let (out, mut updates) = mpsc::channel::<Update>(16);
    let task = tokio::spawn(follow(store.clone(), Topic::Routes, role, Arc::default(), out));
    assert!(matches!(updates.recv().await, Some(Update::StoreRoutes(_))));
    sleep(Duration::from_secs(100)).await;
    // The read interval is 6 to 10 s.
    let calls = store.calls().len();
    assert!((11..=18).contains(&calls), "{calls}");
    task.abort();
}

// Without a configuration the process can't wait for the next interval.
#[tokio::test(start_paused = true)]
async fn poll_without_configuration_retries_with_backoff() {
    let store = HistoryStore { config_limit: Some(0), ..HistoryStore::default() };
    let (_role_sender, role) = watch::channel(WatchRole::Read(3));
    let (out, _updates) = mpsc::channel::<Update>(16);
    let task = tokio::spawn(follow(store.clone(), Topic::Routes, role, Arc::default(), out));
    sleep(Duration::from_secs(10)).await;
    assert!(store.calls().len() > 15, "{:?}", store.calls());
    task.abort();
}

// Guards against a read rate that grows with the number of polling balancers.
#[test]
fn configuration_read_rate_does_not_grow_with_fleet() {
    let reads_per_s =
        |balancers| balancers as f64 / Topic::Routes.read_interval(balancers).as_secs_f64();
    for balancers in [60, 520, 1_040] {
        assert!(reads_per_s(balancers) < 5.2, "{balancers}: {}", reads_per_s(balancers));
    }
    // Each balancer must find a change of the zones by itself, in a fleet of any size.
    assert_eq!(Topic::zones().read_interval(520), Topic::zones().read_interval(5));
}
