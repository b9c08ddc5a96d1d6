//! Targets: flows, requests, status checks and heartbeats, as PROTOCOL.md gives them.

use std::{
    collections::HashMap,
    net::{Ipv4Addr, SocketAddrV4, UdpSocket},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    packet::{ACK, BOUNCED, FIN, Packet, RST, Read, SYN},
    platform,
    process::{APP_PORT, CONTROL_PORT, OUTBOUND_PORT},
    record::Record,
};

/// A flow's ends, the consumer's first.
pub type Ends = (SocketAddrV4, SocketAddrV4);

const HEARTBEAT: Duration = Duration::from_millis(1_200);

#[derive(Clone, Copy, PartialEq, Eq)]
enum Phase {
    Opening,
    Open,
    Ended,
}

struct Flow {
    phase: Phase,
    first_seq: u32,
    /// Next byte expected of the consumer.
    expected: u32,
    /// Next byte to send.
    next_seq: u32,
    last_answer: Option<Packet>,
}

#[derive(Default)]
struct State {
    flows: HashMap<Ends, Flow>,
    /// Opening packets taken, with their time.
    opened: Vec<(Ends, u64)>,
    altered: u64,
    resets_sent: u64,
}

/// One boot of a target.
#[derive(Clone)]
pub struct Target {
    pub id: String,
    pub ip: Ipv4Addr,
    pub service: String,
    zone: String,
    state: Arc<Mutex<State>>,
    alive: Arc<AtomicBool>,
    draining: Arc<AtomicBool>,
    /// Whether it is partitioned from all machines.
    cut: Arc<AtomicBool>,
    seq_no: Arc<AtomicU64>,
    /// Unix millisecond of its start by its machine's clock, where the deployment's targets tell it.
    born: Option<u64>,
    /// Time of the first acknowledged heartbeat with `draining`; 0 if there is none.
    drain_acked_ms: Arc<AtomicU64>,
    record: Record,
}

impl Target {
    /// Starts a boot. The listener of the status checks is served by the scenario's site, so that the address can be
    /// taken over by the next boot.
    pub fn start(
        id: &str,
        ip: Ipv4Addr,
        service: &str,
        zone: &str,
        record: &Record,
    ) -> std::io::Result<Target> {
        Target::start_with(id, ip, service, zone, None, false, record)
    }

    /// Starts a boot that tells when it was `born`, perhaps behind a cut.
    pub fn start_with(
        id: &str,
        ip: Ipv4Addr,
        service: &str,
        zone: &str,
        born: Option<u64>,
        cut: bool,
        record: &Record,
    ) -> std::io::Result<Target> {
        let it = Target {
            id: id.to_owned(),
            ip,
            service: service.to_owned(),
            zone: zone.to_owned(),
            state: Arc::default(),
            alive: Arc::new(AtomicBool::new(true)),
            draining: Arc::default(),
            cut: Arc::new(AtomicBool::new(cut)),
            seq_no: Arc::default(),
            born,
            drain_acked_ms: Arc::default(),
            record: record.clone(),
        };
        let socket = UdpSocket::bind((ip, APP_PORT))?;
        socket.set_read_timeout(Some(Duration::from_millis(20)))?;
        let me = it.clone();
        thread::spawn(move || me.serve(&socket));
        let me = it.clone();
        thread::spawn(move || me.send_heartbeats());
        record.line(&format!("target {id} of {service} starts at {ip}, born {born:?}, cut {cut}"));
        Ok(it)
    }

    pub fn is_alive(&self) -> bool {
        self.alive.load(Ordering::SeqCst)
    }

    /// Ends the boot at once; its flows are gone.
    pub fn crash(&self) {
        self.alive.store(false, Ordering::SeqCst);
        self.record.line(&format!("target {} crashes", self.id));
        // Its socket closes within one read timeout.
        thread::sleep(Duration::from_millis(60));
    }

    pub fn set_cut(&self, cut: bool) {
        self.cut.store(cut, Ordering::SeqCst);
        self.record.line(&format!("target {}: cut off {cut}", self.id));
    }

    /// Whether this boot lives and holds the flow open.
    pub fn holds(&self, ends: &Ends) -> bool {
        let state = self.state.lock().expect("not poisoned");
        self.is_alive() && state.flows.get(ends).is_some_and(|it| it.phase == Phase::Open)
    }

    pub fn resets_sent(&self) -> u64 {
        self.state.lock().expect("not poisoned").resets_sent
    }

    /// Path and body of its next heartbeat.
    pub fn next_heartbeat(&self) -> (String, String) {
        let seq = self.seq_no.fetch_add(1, Ordering::SeqCst) + 1;
        let state = if self.draining.load(Ordering::SeqCst) { "draining" } else { "ready" };
        let (ip, service, zone) = (self.ip, &self.service, &self.zone);
        let born = self.born.map_or(String::new(), |it| format!(",\"born\":{it}"));
        let body = format!(
            "{{\"service\":\"{service}\",\"address\":\"{ip}:{APP_PORT}\",\"zone\":\"{zone}\",\
             \"version\":\"v1\",\"slots\":7,\"state\":\"{state}\",\"warmup-left-ms\":0,\
             \"seq-no\":{seq}{born}}}"
        );
        (format!("/-/Targets.Heartbeat/{}", self.id), body)
    }

    fn send_heartbeats(&self) {
        let control = SocketAddrV4::new(self.ip, CONTROL_PORT);
        while self.is_alive() {
            if !self.cut.load(Ordering::SeqCst) {
                let (path, body) = self.next_heartbeat();
                let drains = body.contains("draining");
                let status = platform::call(control, "POST", &path, &body);
                let status_text = status.map_or("no answer".to_owned(), |it| it.to_string());
                let seq = self.seq_no.load(Ordering::SeqCst);
                self.record.line(&format!("heartbeat of {} seq {seq}: {status_text}", self.id));
                if drains && status == Some(200) {
                    let now = self.record.now_ms();
                    let _ = self.drain_acked_ms.compare_exchange(
                        0,
                        now,
                        Ordering::SeqCst,
                        Ordering::SeqCst,
                    );
                }
            }
            thread::sleep(HEARTBEAT);
        }
    }

    fn serve(&self, socket: &UdpSocket) {
        let out = SocketAddrV4::new(self.ip, OUTBOUND_PORT);
        let mut buffer = [0; 2_048];
        while self.is_alive() {
            let Ok((len, _)) = socket.recv_from(&mut buffer) else {
                continue;
            };
            if self.cut.load(Ordering::SeqCst) || !self.is_alive() {
                continue;
            }
            let Read::Sound(packet) = Packet::read(&buffer[..len]) else {
                self.state.lock().expect("not poisoned").altered += 1;
                self.record.line(&format!("target {} got a packet that nobody wrote so", self.id));
                continue;
            };
            for answer in self.answer(packet) {
                // Lost if the daemon on this machine is down.
                let _ = socket.send_to(&answer.encode(), out);
            }
        }
    }

    fn answer(&self, packet: Packet) -> Vec<Packet> {
        let ends = (packet.from, packet.to);
        let mut state = self.state.lock().expect("not poisoned");
        let bounce = Packet { flags: packet.flags | BOUNCED, ..packet.clone() };
        if packet.flags & SYN != 0 {
            if !state.flows.contains_key(&ends) {
                let first_seq = first_seq(&self.id, &ends);
                let flow = Flow {
                    phase: Phase::Opening,
                    first_seq,
                    expected: packet.seq.wrapping_add(1),
                    next_seq: first_seq.wrapping_add(1),
                    last_answer: None,
                };
                state.flows.insert(ends, flow);
                state.opened.push((ends, self.record.now_ms()));
            }
            let flow = &state.flows[&ends];
            return vec![Packet {
                flags: SYN | ACK,
                from: packet.to,
                to: packet.from,
                seq: flow.first_seq,
                ack: flow.expected,
                data: Vec::new(),
            }];
        }
        let Some(flow) = state.flows.get_mut(&ends) else {
            return vec![bounce];
        };
        if flow.phase == Phase::Opening && packet.ack == flow.first_seq.wrapping_add(1) {
            flow.phase = Phase::Open;
        }
        match flow.phase {
            Phase::Opening => return vec![bounce],
            Phase::Ended if packet.data.is_empty() => return Vec::new(),
            Phase::Ended => {
                state.resets_sent += 1;
                return vec![back(&packet, RST, packet.ack, packet.seq, Vec::new())];
            }
            Phase::Open => {}
        }
        if packet.flags & RST != 0 {
            flow.phase = Phase::Ended;
            return Vec::new();
        }
        let mut out = Vec::new();
        if !packet.data.is_empty() {
            if packet.seq == flow.expected {
                let request = String::from_utf8_lossy(&packet.data).into_owned();
                let id = request.split("Request-Id: ").nth(1).unwrap_or("?");
                let id = id.split("\r\n").next().unwrap_or("?");
                self.record.line(&format!("target {} runs {id} of {}", self.id, ends.0));
                flow.expected = flow.expected.wrapping_add(packet.data.len() as u32);
                let body = format!("{id} by {}", self.id);
                let text = format!(
                    "HTTP/1.1 200 OK\r\nX-Camphorwinch-Response-Signature: s\r\n\
                     Content-Length: {}\r\n\r\n{body}",
                    body.len()
                );
                let seq = flow.next_seq;
                flow.next_seq = seq.wrapping_add(text.len() as u32);
                let answer = back(&packet, ACK, seq, flow.expected, text.into_bytes());
                flow.last_answer = Some(answer);
            }
            out.extend(flow.last_answer.clone());
        }
        if packet.flags & FIN != 0 {
            flow.phase = Phase::Ended;
            out.push(back(
                &packet,
                FIN | ACK,
                flow.next_seq,
                packet.seq.wrapping_add(1),
                Vec::new(),
            ));
        }
        out
    }
}

fn back(packet: &Packet, flags: u8, seq: u32, ack: u32, data: Vec<u8>) -> Packet {
    Packet { flags, from: packet.to, to: packet.from, seq, ack, data }
}

/// First sequence number of a boot for a flow: a different one for each.
fn first_seq(id: &str, ends: &Ends) -> u32 {
    use std::hash::{DefaultHasher, Hash, Hasher};
    let mut hasher = DefaultHasher::new();
    (id, ends).hash(&mut hasher);
    hasher.finish() as u32
}
