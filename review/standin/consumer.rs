//! Consumers with long flows, and the routers that choose a front daemon for each packet.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::{SocketAddrV4, UdpSocket},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    http,
    machines::Site,
    packet::{ACK, FIN, Packet, RST, SYN},
    record::Record,
};

/// Interval between the readiness checks of a daemon.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Times after the first SYN of its copies, and of the end of the attempt.
const SYN_TIMES_MS: [u64; 3] = [200, 600, 1_400];
/// First interval of retransmission.
const RETRANSMIT: Duration = Duration::from_millis(200);
/// Pause between the requests of a flow.
const PAUSE: Duration = Duration::from_millis(300);
/// Time budget of a request.
const BUDGET: Duration = Duration::from_millis(1_500);
/// Range around the consumer's last `ack` in which a reset's `seq` counts.
const RESET_RANGE: u32 = 76_800;

/// The platform's routers: a steady hash over the daemons in rotation.
#[derive(Clone)]
pub struct Router {
    all: Vec<SocketAddrV4>,
    ready: Arc<Mutex<Vec<SocketAddrV4>>>,
}

impl Router {
    pub fn start(site: &Site, hosts: &[u16], record: &Record) -> Router {
        let all: Vec<_> = hosts.iter().map(|&it| site.data(it)).collect();
        let router = Router { all: all.clone(), ready: Arc::default() };
        for &host in hosts {
            let (data, readiness) = (site.data(host), site.readiness(host));
            let (router, record) = (router.clone(), record.clone());
            thread::spawn(move || {
                let mut misses = 2;
                loop {
                    let status = http::call(readiness, "GET", "/-/readiness", "", PROBE_INTERVAL);
                    misses = if status == Some(200) { 0 } else { misses + 1 };
                    let mut ready = router.ready.lock().unwrap();
                    if misses == 0 && !ready.contains(&data) {
                        ready.push(data);
                        record.line(format!("router: daemon {host} is in rotation"));
                    }
                    if misses >= 2 && ready.contains(&data) {
                        ready.retain(|it| *it != data);
                        record.line(format!("router: daemon {host} is out of rotation"));
                    }
                    drop(ready);
                    thread::sleep(PROBE_INTERVAL);
                }
            });
        }
        router
    }

    pub fn ready(&self) -> usize {
        self.ready.lock().unwrap().len()
    }

    fn choose(&self, consumer: SocketAddrV4, route: SocketAddrV4) -> SocketAddrV4 {
        let ready = self.ready.lock().unwrap();
        let daemons = if ready.len() * 2 < self.all.len() { &self.all } else { &*ready };
        let weight = |daemon: &SocketAddrV4| {
            let mut hash = 0xcbf2_9ce4_8422_2325_u64;
            let texts = [consumer.to_string(), route.to_string(), daemon.to_string()];
            for b in texts.iter().flat_map(|it| it.bytes()) {
                hash = (hash ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3);
            }
            hash ^ (hash >> 29).wrapping_mul(0x9e37_79b9_7f4a_7c15)
        };
        *daemons.iter().max_by_key(|it| weight(it)).expect("a daemon")
    }
}

enum Phase {
    Opening { since: Instant, copies: u32 },
    Idle { until: Instant },
    Waiting { since: Instant, sent: Instant, interval: Duration },
    Ended,
}

struct Flow {
    from: SocketAddrV4,
    first: u32,
    next: u32,
    their_next: u32,
    phase: Phase,
    opened: bool,
    target: Option<String>,
    request: Vec<u8>,
    requests: u32,
}

/// A reset of the system's own that a consumer got on an open flow.
#[derive(Clone, Debug)]
pub struct Reset {
    pub at: f64,
    pub consumer: SocketAddrV4,
    /// Id of the target that answered the flow's requests.
    pub target: String,
    /// Process that sent the reset.
    pub sender: SocketAddrV4,
}

/// A consumer with many long flows.
#[derive(Clone)]
pub struct Consumer {
    wanted: Arc<Mutex<usize>>,
    stop: Arc<AtomicBool>,
    pub resets: Arc<Mutex<Vec<Reset>>>,
    pub answered: Arc<Mutex<BTreeMap<String, u64>>>,
    /// Attempts that ended before the flow was open, and requests without an answer.
    pub failed: Arc<Mutex<(u64, u64)>>,
    /// Ids of the targets of the flows that are open now.
    pub open: Arc<Mutex<BTreeMap<String, usize>>>,
    pub wrong: Arc<Mutex<Vec<String>>>,
}

impl Consumer {
    pub fn start(
        site: &Site,
        host: u16,
        route: SocketAddrV4,
        router: Router,
        record: &Record,
    ) -> Result<Consumer, String> {
        let address = site.data(host);
        let socket = UdpSocket::bind(address).map_err(|e| format!("consumer: {e}"))?;
        socket.set_read_timeout(Some(Duration::from_millis(5))).map_err(|e| e.to_string())?;
        let consumer = Consumer {
            wanted: Arc::default(),
            stop: Arc::default(),
            resets: Arc::default(),
            answered: Arc::default(),
            failed: Arc::default(),
            open: Arc::default(),
            wrong: Arc::default(),
        };
        let (it, record) = (consumer.clone(), record.clone());
        thread::spawn(move || it.run(&socket, address, route, &router, &record));
        Ok(consumer)
    }

    /// Keeps this many flows open; each one that ends is replaced.
    pub fn keep(&self, flows: usize) {
        *self.wanted.lock().unwrap() = flows;
    }

    pub fn end(&self) {
        self.stop.store(true, Ordering::Relaxed);
    }

    /// Open flows at a target.
    pub fn open_at(&self, target: &str) -> usize {
        self.open.lock().unwrap().get(target).copied().unwrap_or(0)
    }

    fn run(
        &self,
        socket: &UdpSocket,
        address: SocketAddrV4,
        route: SocketAddrV4,
        router: &Router,
        record: &Record,
    ) {
        let mut flows: BTreeMap<u16, Flow> = BTreeMap::new();
        let mut port = 1_024;
        let mut buffer = [0; 2_048];
        let mut next_open = Instant::now();
        let mut senders = BTreeSet::new();
        while !self.stop.load(Ordering::Relaxed) {
            let now = Instant::now();
            flows.retain(|_, it| !matches!(it.phase, Phase::Ended));
            if flows.len() < *self.wanted.lock().unwrap() && now >= next_open {
                port += 1;
                let from = SocketAddrV4::new(*address.ip(), port);
                let first = u32::from(port).wrapping_mul(2_654_435_761);
                let phase = Phase::Opening { since: now, copies: 0 };
                let (next, their_next) = (first.wrapping_add(1), 0);
                let (request, target) = (Vec::new(), None);
                let flow = Flow {
                    from,
                    first,
                    next,
                    their_next,
                    phase,
                    opened: false,
                    target,
                    request,
                    requests: 0,
                };
                send(socket, router, Packet::new(SYN, from, route, first, 0));
                flows.insert(port, flow);
                next_open = now + Duration::from_millis(15);
            }
            while let Ok((len, sender)) = socket.recv_from(&mut buffer) {
                let std::net::SocketAddr::V4(sender) = sender else { continue };
                senders.insert(sender);
                let Some(packet) = Packet::decode(&buffer[..len]) else { continue };
                let Some(flow) = flows.get_mut(&packet.dport) else { continue };
                self.receive(socket, router, route, flow, &packet, sender, record);
                if now.elapsed() > Duration::from_millis(20) {
                    break;
                }
            }
            for flow in flows.values_mut() {
                self.advance(socket, router, route, flow, record);
            }
            let mut open = BTreeMap::new();
            for flow in flows.values() {
                if let Some(target) = flow.target.as_ref().filter(|_| flow.opened) {
                    *open.entry(target.clone()).or_insert(0) += 1;
                }
            }
            *self.open.lock().unwrap() = open;
        }
    }

    fn receive(
        &self,
        socket: &UdpSocket,
        router: &Router,
        route: SocketAddrV4,
        flow: &mut Flow,
        packet: &Packet,
        sender: SocketAddrV4,
        record: &Record,
    ) {
        if packet.flags & RST != 0 {
            let own = packet.sum == 0;
            let near = packet.seq.wrapping_sub(flow.their_next) <= RESET_RANGE
                || flow.their_next.wrapping_sub(packet.seq) <= RESET_RANGE;
            if !own && !packet.is_genuine() {
                return;
            }
            if flow.opened && (near || !own) {
                let target = flow.target.clone().unwrap_or_default();
                let waiting = matches!(flow.phase, Phase::Waiting { .. });
                let by = if own { "the system" } else { "the target" };
                record.line(format!(
                    "consumer {}: open flow at {target} is reset by {by} ({sender}), request waiting: {waiting}",
                    flow.from
                ));
                if own {
                    let (at, consumer) = (record.now(), flow.from);
                    let reset = Reset { at, consumer, target, sender };
                    self.resets.lock().unwrap().push(reset);
                }
                flow.phase = Phase::Ended;
            } else if !flow.opened {
                self.failed.lock().unwrap().0 += 1;
                flow.phase = Phase::Ended;
            }
            return;
        }
        if !packet.is_genuine() {
            let text = format!("consumer {}: a packet that no target wrote", flow.from);
            record.say(&text);
            self.wrong.lock().unwrap().push(text);
            return;
        }
        if packet.flags & SYN != 0 {
            if let Phase::Opening { .. } = flow.phase {
                flow.their_next = packet.seq.wrapping_add(1);
                flow.opened = true;
                flow.phase = Phase::Idle { until: Instant::now() };
                send(
                    socket,
                    router,
                    Packet::new(ACK, flow.from, route, flow.next, flow.their_next),
                );
            }
            return;
        }
        if packet.data.is_empty() || packet.seq != flow.their_next {
            return;
        }
        flow.their_next = flow.their_next.wrapping_add(packet.data.len() as u32);
        send(socket, router, Packet::new(ACK, flow.from, route, flow.next, flow.their_next));
        let text = String::from_utf8_lossy(&packet.data).into_owned();
        let id = text.split("X-Camphorwinch-Target-Id: ").nth(1).unwrap_or("");
        let id = id.split("\r\n").next().unwrap_or("").to_owned();
        record.line(format!("consumer {}: answer {} of {id}", flow.from, flow.requests));
        *self.answered.lock().unwrap().entry(id.clone()).or_insert(0) += 1;
        flow.target = Some(id);
        flow.phase = Phase::Idle { until: Instant::now() + PAUSE };
    }

    fn advance(
        &self,
        socket: &UdpSocket,
        router: &Router,
        route: SocketAddrV4,
        flow: &mut Flow,
        record: &Record,
    ) {
        let now = Instant::now();
        match &mut flow.phase {
            Phase::Opening { since, copies } => {
                let due = SYN_TIMES_MS[*copies as usize];
                if now.duration_since(*since) < Duration::from_millis(due) {
                    return;
                }
                *copies += 1;
                if *copies as usize == SYN_TIMES_MS.len() {
                    self.failed.lock().unwrap().0 += 1;
                    flow.phase = Phase::Ended;
                    return;
                }
                let copy = Packet::new(SYN, flow.from, route, flow.first, *copies);
                send(socket, router, copy);
            }
            Phase::Idle { until } if now >= *until => {
                flow.requests += 1;
                let id = format!("{}-{}", flow.from.port(), flow.requests);
                let text = format!(
                    "GET /feed HTTP/1.1\r\nHost: {route}\r\nX-Camphorwinch-Request-Id: {id}\r\n\r\n"
                );
                flow.request = text.into_bytes();
                let packet = Packet::new(ACK, flow.from, route, flow.next, flow.their_next);
                send(socket, router, packet.with_data(flow.request.clone()));
                flow.next = flow.next.wrapping_add(flow.request.len() as u32);
                flow.phase = Phase::Waiting { since: now, sent: now, interval: RETRANSMIT };
            }
            Phase::Waiting { since, sent, interval } => {
                if now.duration_since(*since) > BUDGET {
                    self.failed.lock().unwrap().1 += 1;
                    record.line(format!("consumer {}: no answer in time", flow.from));
                    let reset = Packet::new(RST, flow.from, route, flow.next, flow.their_next);
                    send(socket, router, reset);
                    flow.phase = Phase::Ended;
                } else if now.duration_since(*sent) > *interval {
                    *sent = now;
                    *interval *= 2;
                    let seq = flow.next.wrapping_sub(flow.request.len() as u32);
                    let packet = Packet::new(ACK, flow.from, route, seq, flow.their_next);
                    send(socket, router, packet.with_data(flow.request.clone()));
                }
            }
            Phase::Idle { .. } | Phase::Ended => {}
        }
    }
}

fn send(socket: &UdpSocket, router: &Router, packet: Packet) {
    let to = router.choose(packet.from(), packet.to());
    let _ = socket.send_to(&packet.sealed(), to);
}

/// One attempt to open a flow.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Time at which the first SYN was sent.
    pub sent: f64,
    pub outcome: Option<Outcome>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Opened,
    /// Reset by the system.
    Reset,
}

/// Opens a flow to `route` at each interval until the time `until` of the record, from new ports, and waits for the
/// outcomes.
pub fn probe(
    site: &Site,
    host: u16,
    route: SocketAddrV4,
    router: &Router,
    record: &Record,
    until: f64,
) -> Result<Vec<Attempt>, String> {
    const INTERVAL_S: f64 = 0.05;
    let address = site.data(host);
    let socket = UdpSocket::bind(address).map_err(|e| format!("consumer: {e}"))?;
    socket.set_read_timeout(Some(Duration::from_millis(5))).map_err(|e| e.to_string())?;
    let mut attempts: BTreeMap<u16, (Attempt, u32)> = BTreeMap::new();
    let (mut port, mut next, mut buffer) = (1_024, record.now(), [0; 2_048]);
    while record.now() < until + 1.5 {
        let now = record.now();
        let from = |port| SocketAddrV4::new(*address.ip(), port);
        if now >= next && now < until {
            port += 1;
            next = now + INTERVAL_S;
            send(&socket, router, Packet::new(SYN, from(port), route, u32::from(port) << 8, 0));
            attempts.insert(port, (Attempt { sent: now, outcome: None }, 0));
        }
        for (&port, (attempt, copies)) in &mut attempts {
            let due = SYN_TIMES_MS[*copies as usize] as f64 / 1_000.0;
            if attempt.outcome.is_none() && *copies < 2 && now - attempt.sent >= due {
                *copies += 1;
                let copy = Packet::new(SYN, from(port), route, u32::from(port) << 8, *copies);
                send(&socket, router, copy);
            }
        }
        while let Ok((len, _)) = socket.recv_from(&mut buffer) {
            let Some(packet) = Packet::decode(&buffer[..len]) else { continue };
            let Some((attempt, _)) = attempts.get_mut(&packet.dport) else { continue };
            if attempt.outcome.is_some() {
                continue;
            }
            let from = from(packet.dport);
            if packet.flags & RST != 0 && packet.sum == 0 {
                attempt.outcome = Some(Outcome::Reset);
            } else if packet.flags & SYN != 0 && packet.is_genuine() {
                attempt.outcome = Some(Outcome::Opened);
                let (seq, ack) = (packet.ack, packet.seq.wrapping_add(1));
                send(&socket, router, Packet::new(ACK, from, route, seq, ack));
                send(&socket, router, Packet::new(ACK | FIN, from, route, seq, ack));
            }
            record.line(format!("consumer {from}: flow to {route} {:?}", attempt.outcome));
        }
    }
    Ok(attempts.into_values().map(|it| it.0).collect())
}
