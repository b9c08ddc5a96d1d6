//! Consumers with their flows, and the platform's routers.

use std::{
    collections::HashMap,
    net::{Ipv4Addr, SocketAddrV4, UdpSocket},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
        mpsc::{Receiver, Sender, channel},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    packet::{ACK, Packet, RST, Read, SYN},
    platform,
    process::{DATA_PORT, READY_PORT},
    record::Record,
    target::Ends,
};

const OPEN_WAITS_MS: [u64; 3] = [200, 400, 800];
const FIRST_WAIT_MS: u64 = 200;
const MAX_WAIT_MS: u64 = 1_600;
/// Time budget of a request.
const BUDGET: Duration = Duration::from_millis(2_500);

/// Routers of one zone: readiness twice a second, out of rotation after two misses, steady hash.
#[derive(Clone)]
pub struct Routers {
    fronts: Arc<Vec<Ipv4Addr>>,
    /// Misses in a row of each.
    misses: Arc<Mutex<Vec<u32>>>,
}

impl Routers {
    pub fn start(fronts: Vec<Ipv4Addr>, stop: Arc<AtomicBool>, record: &Record) -> Routers {
        let misses = Arc::new(Mutex::new(vec![2; fronts.len()]));
        let it = Routers { fronts: Arc::new(fronts), misses };
        for at in 0..it.fronts.len() {
            let (me, stop, record) = (it.clone(), stop.clone(), record.clone());
            thread::spawn(move || {
                while !stop.load(Ordering::SeqCst) {
                    let address = SocketAddrV4::new(me.fronts[at], READY_PORT);
                    let ready = platform::call(address, "GET", "/-/readiness", "") == Some(200);
                    let mut misses = me.misses.lock().expect("not poisoned");
                    let before = misses[at];
                    misses[at] = if ready { 0 } else { before.saturating_add(1) };
                    let changed = (before < 2) != (misses[at] < 2);
                    drop(misses);
                    if changed {
                        let text = if ready { "in" } else { "out of" };
                        record.line(&format!("routers: {} {text} rotation", me.fronts[at]));
                    }
                    thread::sleep(Duration::from_millis(500));
                }
            });
        }
        it
    }

    /// Fronts in rotation; all of the zone if fewer than half are.
    pub fn in_rotation(&self) -> Vec<Ipv4Addr> {
        let misses = self.misses.lock().expect("not poisoned");
        let ready = self.fronts.iter().zip(misses.iter()).filter(|it| *it.1 < 2).map(|it| *it.0);
        let ready: Vec<_> = ready.collect();
        if ready.len() * 2 < self.fronts.len() { self.fronts.to_vec() } else { ready }
    }

    /// The front that gets the packets of a flow.
    pub fn front_of(&self, ends: &Ends) -> Ipv4Addr {
        use std::hash::{DefaultHasher, Hash, Hasher};
        let weight = |front: &Ipv4Addr| {
            let mut hasher = DefaultHasher::new();
            (front, ends).hash(&mut hasher);
            hasher.finish()
        };
        self.in_rotation().into_iter().max_by_key(weight).expect("a front")
    }
}

type Inbox = Arc<Mutex<HashMap<u16, Sender<Read>>>>;

/// The address of consumers.
#[derive(Clone)]
pub struct Consumers {
    ip: Ipv4Addr,
    socket: Arc<UdpSocket>,
    inbox: Inbox,
    routers: Routers,
    next_port: Arc<Mutex<u16>>,
    record: Record,
}

/// How a flow or a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    Served,
    /// Reset by the system.
    SystemReset,
    /// Reset by the target.
    TargetReset,
    GivenUp,
    /// A packet that nobody wrote so, or an answer of another request.
    Wrong,
}

impl Consumers {
    pub fn start(
        ip: Ipv4Addr,
        routers: Routers,
        stop: Arc<AtomicBool>,
        record: &Record,
    ) -> std::io::Result<Consumers> {
        let socket = Arc::new(UdpSocket::bind((ip, DATA_PORT))?);
        socket.set_read_timeout(Some(Duration::from_millis(50)))?;
        let inbox = Inbox::default();
        let it = Consumers {
            ip,
            socket,
            inbox,
            routers,
            next_port: Arc::new(Mutex::new(40_001)),
            record: record.clone(),
        };
        let me = it.clone();
        thread::spawn(move || {
            let mut buffer = [0; 2_048];
            while !stop.load(Ordering::SeqCst) {
                let Ok((len, _)) = me.socket.recv_from(&mut buffer) else {
                    continue;
                };
                // The port of the consumer's end; 0 in a packet without a head.
                let port = buffer.get(8..10).map_or(0, |it| u16::from_be_bytes([it[0], it[1]]));
                let inbox = me.inbox.lock().expect("not poisoned");
                if let Some(flow) = inbox.get(&port) {
                    let _ = flow.send(Packet::read(&buffer[..len]));
                }
            }
        });
        Ok(it)
    }

    /// Opens a flow; each attempt has a new port.
    pub fn open(&self, service: SocketAddrV4) -> Result<Flow, End> {
        let mut next = self.next_port.lock().expect("not poisoned");
        let port = *next;
        *next += 1;
        drop(next);
        let (sender, packets) = channel();
        self.inbox.lock().expect("not poisoned").insert(port, sender);
        let ends = (SocketAddrV4::new(self.ip, port), service);
        let mut flow = Flow {
            ends,
            opened_ms: 0,
            used_ms: 0,
            requests: 0,
            seq: u32::from(port) << 8,
            ack: 0,
            packets,
            of: self.clone(),
        };
        flow.handshake()?;
        Ok(flow)
    }
}

pub struct Flow {
    pub ends: Ends,
    pub opened_ms: u64,
    /// Time of the end of the last request.
    pub used_ms: u64,
    requests: u32,
    /// Next byte to send.
    seq: u32,
    /// Next byte expected.
    ack: u32,
    packets: Receiver<Read>,
    of: Consumers,
}

impl Flow {
    fn name(&self) -> String {
        format!("{}>{}", self.ends.0, self.ends.1)
    }

    pub fn front(&self) -> Ipv4Addr {
        self.of.routers.front_of(&self.ends)
    }

    fn send(&self, flags: u8, seq: u32, ack: u32, data: &[u8]) {
        let (from, to) = self.ends;
        let packet = Packet { flags, from, to, seq, ack, data: data.to_vec() };
        let front = SocketAddrV4::new(self.front(), DATA_PORT);
        // A packet to a front that is down is lost.
        let _ = self.of.socket.send_to(&packet.encode(), front);
    }

    fn handshake(&mut self) -> Result<(), End> {
        self.of.record.line(&format!("consumer {} opens a flow", self.name()));
        for (copy, wait) in OPEN_WAITS_MS.into_iter().enumerate() {
            self.send(SYN, self.seq, copy as u32, &[]);
            let until = Instant::now() + Duration::from_millis(wait);
            while let Some(read) = self.receive(until) {
                match read {
                    Read::SystemReset => return Err(self.end("opening", End::SystemReset)),
                    Read::Sound(it) if it.flags & RST != 0 => {
                        return Err(self.end("opening", End::TargetReset));
                    }
                    Read::Sound(it) if it.flags & SYN != 0 => {
                        self.seq = self.seq.wrapping_add(1);
                        self.ack = it.seq.wrapping_add(1);
                        self.opened_ms = self.of.record.now_ms();
                        self.used_ms = self.opened_ms;
                        self.send(ACK, self.seq, self.ack, &[]);
                        return Ok(());
                    }
                    Read::Altered => return Err(self.end("opening", End::Wrong)),
                    Read::Sound(_) => {}
                }
            }
        }
        Err(self.end("opening", End::GivenUp))
    }

    fn end(&self, step: &str, end: End) -> End {
        let line = format!("consumer {} via {}: {step}: {end:?}", self.name(), self.front());
        self.of.record.line(&line);
        end
    }

    fn receive(&self, until: Instant) -> Option<Read> {
        let left = until.saturating_duration_since(Instant::now());
        self.packets.recv_timeout(left).ok()
    }

    /// Sends a request and waits for its answer.
    pub fn request(&mut self) -> End {
        self.requests += 1;
        let id = format!("{}-{}", self.ends.0.port(), self.requests);
        let text = format!("GET / HTTP/1.1\r\nX-Camphorwinch-Request-Id: {id}\r\n\r\n");
        self.of.record.line(&format!("consumer {} sends request {id}", self.name()));
        let budget = Instant::now() + BUDGET;
        let mut wait = FIRST_WAIT_MS;
        while Instant::now() < budget {
            self.send(ACK, self.seq, self.ack, text.as_bytes());
            let until = budget.min(Instant::now() + Duration::from_millis(wait));
            wait = (wait * 2).min(MAX_WAIT_MS);
            while let Some(read) = self.receive(until) {
                match read {
                    Read::SystemReset => {
                        return self.end(&format!("request {id}"), End::SystemReset);
                    }
                    Read::Altered => return self.end(&format!("request {id}"), End::Wrong),
                    Read::Sound(it) if it.flags & RST != 0 => {
                        return self.end(&format!("request {id}"), End::TargetReset);
                    }
                    Read::Sound(it) if it.seq == self.ack && !it.data.is_empty() => {
                        let answer = String::from_utf8_lossy(&it.data).into_owned();
                        self.ack = self.ack.wrapping_add(it.data.len() as u32);
                        self.seq = self.seq.wrapping_add(text.len() as u32);
                        self.send(ACK, self.seq, self.ack, &[]);
                        self.used_ms = self.of.record.now_ms();
                        let served = answer.contains(&format!("\r\n\r\n{id} by "));
                        let end = if served { End::Served } else { End::Wrong };
                        return self.end(&format!("request {id}"), end);
                    }
                    Read::Sound(_) => {}
                }
            }
        }
        self.end(&format!("request {id}"), End::GivenUp)
    }
}
