//! Cost of distributing the member list when a whole fleet starts, by fleet size.
//!
//! Guards against every process reading the whole list from the store.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    net::{Ipv4Addr, SocketAddrV4},
};

use camphorwinch_core::opaque::{
    member_list::{Freshness, ListReply, MemberListServer, query_order},
    revision::Revision,
};

/// Members per page of the store's list.
const PAGE_SIZE: usize = 500;
const CALL_MS: u64 = 5;
const LATENCY_MS: u64 = 2;
/// Minimum interval between two reads by one process.
const READ_INTERVAL_MS: u64 = 200;
/// Size of a member in a list, and the capacity of a slow link.
const MEMBER_BYTES: usize = 60;
const LINK_BYTES_PER_MS: usize = 2_500;

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Registered(usize),
    Requested { at: usize, by: usize, freshness: Option<Revision>, referred: bool },
    Received { to: usize, list: Revision },
    Referred { to: usize, others: Vec<usize>, list: Revision },
    ReadStarted(usize),
    ReadFinished { by: usize, list: Revision },
}

/// A fleet that starts at once. The first three processes are seeds; the first `balancers` processes need the list.
struct FleetStart {
    balancers: usize,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    order: u64,
    revision: u64,
    servers: Vec<MemberListServer>,
    waiting: BTreeMap<usize, Vec<(usize, Option<Revision>)>>,
    reading: BTreeMap<usize, u64>,
    link_free_ms: Vec<u64>,
    done_ms: Vec<Option<u64>>,
    calls: usize,
    lists_sent: Vec<usize>,
    members: usize,
}

fn address(process: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::from_bits(0x0a00_0000 + process as u32), 7720)
}

fn process(address: SocketAddrV4) -> usize {
    (address.ip().to_bits() - 0x0a00_0000) as usize
}

impl FleetStart {
    fn new(members: usize) -> FleetStart {
        // Three in ten processes are balancers.
        let balancers = members * 3 / 10;
        FleetStart {
            balancers,
            events: BinaryHeap::new(),
            order: 0,
            revision: 0,
            servers: vec![MemberListServer::default(); balancers],
            waiting: BTreeMap::new(),
            reading: BTreeMap::new(),
            link_free_ms: vec![0; balancers],
            done_ms: vec![None; balancers],
            calls: 0,
            lists_sent: vec![0; balancers],
            members,
        }
    }

    fn schedule(&mut self, ms: u64, event: Event) {
        self.order += 1;
        self.events.push(Reverse((ms, self.order, event)));
    }

    fn run(mut self) -> FleetStart {
        for it in 0..self.members {
            // All processes start within 0.3 s, in mixed order.
            let start_ms = (it as u64 * 7_919) % 300;
            self.schedule(start_ms + CALL_MS, Event::Registered(it));
        }
        while let Some(Reverse((now, _, event))) = self.events.pop() {
            self.handle(now, event);
        }
        self
    }

    fn handle(&mut self, now: u64, event: Event) {
        match event {
            Event::Registered(it) => {
                self.calls += 1;
                self.revision += 1;
                if it >= self.balancers {
                    return;
                }
                if it < 3 {
                    return self.schedule_read(it, now);
                }
                let since = Some(Revision::new(0, self.revision));
                self.request_list(it, now, since);
            }
            Event::Requested { at, by, freshness, referred } => {
                self.handle_request(at, by, freshness, referred, now)
            }
            Event::ReadStarted(by) => {
                let pages = self.members.min(self.revision as usize).div_ceil(PAGE_SIZE).max(1);
                self.calls += pages;
                self.reading.insert(by, now);
                let list = Revision::new(0, self.revision);
                self.schedule(now + CALL_MS * pages as u64, Event::ReadFinished { by, list });
            }
            Event::ReadFinished { by, list } => self.receive_list(by, list, now),
            Event::Received { to, list } => self.receive_list(to, list, now),
            Event::Referred { to, others, list } => {
                let at = others[0];
                let freshness = Some(list);
                self.schedule(
                    now + LATENCY_MS,
                    Event::Requested { at, by: to, freshness, referred: true },
                );
            }
        }
    }

    fn receive_list(&mut self, it: usize, list: Revision, now: u64) {
        self.servers[it].record(list);
        self.done_ms[it].get_or_insert(now);
        for (requester, freshness) in self.waiting.remove(&it).unwrap_or_default() {
            self.handle_request(it, requester, freshness, false, now);
        }
    }

    fn request_list(&mut self, by: usize, now: u64, freshness: Option<Revision>) {
        let seeds = [address(0), address(1), address(2)];
        let at = process(query_order(address(by), &seeds)[0]);
        self.schedule(now + LATENCY_MS, Event::Requested { at, by, freshness, referred: false });
    }

    fn handle_request(
        &mut self,
        at: usize,
        by: usize,
        freshness: Option<Revision>,
        referred: bool,
        now: u64,
    ) {
        let wanted = freshness.map_or(Freshness::Fresh, Freshness::AtLeast);
        match self.servers[at].handle_request(Some(address(by)), wanted, now) {
            ListReply::Send => {
                self.lists_sent[at] += 1;
                let bytes = self.members * MEMBER_BYTES;
                let begin = self.link_free_ms[at].max(now);
                self.link_free_ms[at] = begin + (bytes / LINK_BYTES_PER_MS) as u64;
                let list = self.servers[at].revision().expect("a list is sent");
                self.schedule(self.link_free_ms[at] + LATENCY_MS, Event::Received { to: by, list });
            }
            ListReply::Refer(others) => {
                let list = self.servers[at].revision().expect("a list was sent");
                let others = others.into_iter().map(process).collect();
                self.schedule(now + LATENCY_MS, Event::Referred { to: by, others, list });
            }
            ListReply::ReadStore => {
                self.waiting.entry(at).or_default().push((by, freshness));
                // A referred process waits for the list that its target is receiving, and causes no read.
                if !referred {
                    self.schedule_read(at, now);
                }
            }
        }
    }

    fn schedule_read(&mut self, by: usize, now: u64) {
        let due = self.reading.get(&by).map_or(now, |it| (it + READ_INTERVAL_MS).max(now));
        let scheduled = |it: &Reverse<(u64, u64, Event)>| it.0.2 == Event::ReadStarted(by);
        if !self.events.iter().any(scheduled) {
            self.schedule(due, Event::ReadStarted(by));
        }
    }

    fn calls_per_member(&self) -> f64 {
        self.calls as f64 / self.members as f64
    }

    fn last_ms(&self) -> u64 {
        let done = self.done_ms.iter().map(|it| it.expect("each balancer has the list"));
        done.max().expect("the fleet is not empty")
    }
}

#[test]
fn store_calls_at_start_grow_no_faster_than_the_fleet() {
    for members in [300, 1_000, 2_000] {
        let start = FleetStart::new(members).run();
        // One call per process registers it. If each process read the list itself, it would be 3 to 9.
        assert!(
            start.calls_per_member() < 1.1,
            "{members} members: {} calls per member",
            start.calls_per_member()
        );
    }
}

#[test]
fn each_process_sends_the_member_list_to_few_others() {
    let mut before = 0;
    for members in [300, 1_000, 2_000] {
        let start = FleetStart::new(members).run();
        let most = start.lists_sent.iter().copied().max().expect("the fleet is not empty");
        // The work of one process must not grow with the fleet.
        assert!(
            most <= 24,
            "{members} members: one sent {most} lists, {before} in the smaller fleet"
        );
        before = most;
    }
}

#[test]
fn all_balancers_have_the_member_list_soon_after_a_start() {
    for members in [300, 1_000, 2_000] {
        let start = FleetStart::new(members).run();
        assert!(
            start.last_ms() < 1_300,
            "{members} members: the last one after {}",
            start.last_ms()
        );
    }
}

#[test]
fn lists_are_ordered_by_revision() {
    let mut server = MemberListServer::default();
    let since = |number| Freshness::AtLeast(Revision::new(0, number));
    assert_eq!(server.handle_request(None, Freshness::Any, 0), ListReply::Send);
    assert_eq!(server.handle_request(None, since(5), 0), ListReply::ReadStore);
    server.record(Revision::new(0, 5));
    assert_eq!(server.handle_request(None, since(5), 0), ListReply::Send);
    assert_eq!(server.handle_request(None, since(6), 0), ListReply::ReadStore);
    assert_eq!(server.handle_request(None, Freshness::Fresh, 0), ListReply::ReadStore);
    // Revision numbers of different eras are not comparable.
    assert_eq!(
        server.handle_request(None, Freshness::AtLeast(Revision::new(1, 1)), 0),
        ListReply::ReadStore
    );
    server.record(Revision::new(0, 3));
    assert_eq!(
        server.revision(),
        Some(Revision::new(0, 5)),
        "an older list does not replace a newer one"
    );
}

#[test]
fn a_recipient_of_an_older_list_is_not_named_for_a_newer_one() {
    let mut server = MemberListServer::default();
    server.record(Revision::new(0, 5));
    for host in 0..4 {
        assert_eq!(
            server.handle_request(Some(address(host)), Freshness::Any, 1_000),
            ListReply::Send
        );
    }
    let old = server.handle_request(None, Freshness::AtLeast(Revision::new(0, 5)), 1_000);
    assert!(matches!(old, ListReply::Refer(_)), "{old:?}");
    server.record(Revision::new(0, 9));
    // No other process has this list, so it is sent though the window is used up.
    assert_eq!(
        server.handle_request(None, Freshness::AtLeast(Revision::new(0, 9)), 1_000),
        ListReply::Send
    );
}
