//! A target: holds flows, answers requests, bounces what it does not hold, and sends heartbeats.

use std::{
    collections::HashMap,
    net::{SocketAddrV4, TcpListener, UdpSocket},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    http,
    machines::{HEARTBEAT, SERVICE, Site},
    packet::{ACK, BOUNCED, FIN, Packet, RST, SYN},
    record::Record,
};

type Key = (SocketAddrV4, SocketAddrV4);

struct Flow {
    /// Next byte of this end and of the consumer.
    own_next: u32,
    their_next: u32,
    first: u32,
    open: bool,
    ended: bool,
    answer: Option<(u32, Vec<u8>)>,
}

/// What a run of a target does.
#[derive(Clone, Debug)]
pub struct Boot {
    /// Id of this boot.
    pub id: String,
    pub host: u16,
    /// Time from the start of the first heartbeat until its bytes reach the daemon; the connection is a proxy's.
    pub first_beat_delay: Duration,
    /// Whether the link between the target and its daemon passes anything.
    pub link: Arc<AtomicBool>,
}

/// One boot of a target.
#[derive(Clone)]
pub struct Target {
    pub id: String,
    stop: Arc<AtomicBool>,
    draining: Arc<AtomicBool>,
    flows: Arc<Mutex<HashMap<Key, Flow>>>,
    pub runs: Arc<Mutex<Vec<String>>>,
    record: Record,
}

impl Target {
    pub fn start(site: &Site, boot: Boot, record: &Record) -> Result<Target, String> {
        let (app, out) = (site.app(boot.host), site.outbound(boot.host));
        let control = site.control(boot.host);
        let socket = UdpSocket::bind(app).map_err(|e| format!("target: {e}"))?;
        let listener = TcpListener::bind(app).map_err(|e| format!("target: {e}"))?;
        listener.set_nonblocking(true).map_err(|e| e.to_string())?;
        socket.set_read_timeout(Some(Duration::from_millis(20))).map_err(|e| e.to_string())?;
        let target = Target {
            id: boot.id.clone(),
            stop: Arc::default(),
            draining: Arc::default(),
            flows: Arc::default(),
            runs: Arc::default(),
            record: record.clone(),
        };
        record.say(format!("target {} starts on machine {}", boot.id, boot.host));
        let it = target.clone();
        thread::spawn(move || it.serve(&socket, &listener, out));
        let it = target.clone();
        thread::spawn(move || it.send_beats(&boot, app, control));
        Ok(target)
    }

    /// Ends the process without a word.
    pub fn crash(&self) {
        self.stop.store(true, Ordering::Relaxed);
        self.record.say(format!("target {} crashes", self.id));
        // Lets the sockets close.
        thread::sleep(Duration::from_millis(100));
    }

    /// Ends without an entry in the record.
    pub fn end(&self) {
        self.stop.store(true, Ordering::Relaxed);
    }

    pub fn drain(&self) {
        self.draining.store(true, Ordering::Relaxed);
        self.record.say(format!("target {} drains", self.id));
    }

    /// Whether this boot runs and holds the flow.
    pub fn holds(&self, consumer: SocketAddrV4, route: SocketAddrV4) -> bool {
        let flows = self.flows.lock().unwrap();
        let open = flows.get(&(consumer, route)).is_some_and(|it| it.open && !it.ended);
        open && !self.stop.load(Ordering::Relaxed)
    }

    fn serve(&self, socket: &UdpSocket, listener: &TcpListener, out: SocketAddrV4) {
        let mut buffer = [0; 2_048];
        while !self.stop.load(Ordering::Relaxed) {
            if let Ok((stream, _)) = listener.accept() {
                let draining = self.draining.load(Ordering::Relaxed);
                thread::spawn(move || {
                    let _ = stream.set_nonblocking(false);
                    let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
                    if http::read_request(&stream).is_some() {
                        http::respond(&stream, if draining { 503 } else { 200 }, "{}");
                    }
                });
            }
            let Ok((len, _)) = socket.recv_from(&mut buffer) else {
                continue;
            };
            let Some(packet) = Packet::decode(&buffer[..len]) else {
                self.record.say(format!("target {}: a packet that no sender wrote", self.id));
                continue;
            };
            if !packet.is_genuine() {
                self.record.say(format!("target {}: a forged packet", self.id));
            }
            for answer in self.answer(packet) {
                let _ = socket.send_to(&answer, out);
            }
        }
    }

    fn answer(&self, packet: Packet) -> Vec<Vec<u8>> {
        let key = (packet.from(), packet.to());
        let mut flows = self.flows.lock().unwrap();
        let back = |flags, seq, ack| Packet::new(flags, packet.to(), packet.from(), seq, ack);
        if packet.flags & RST != 0 {
            flows.remove(&key);
            return Vec::new();
        }
        if packet.flags & SYN != 0 {
            let first = self.next_seq(&key, packet.seq);
            let flow = flows.entry(key).or_insert_with(|| Flow {
                own_next: first.wrapping_add(1),
                their_next: packet.seq.wrapping_add(1),
                first,
                open: false,
                ended: false,
                answer: None,
            });
            return vec![back(SYN | ACK, flow.first, flow.their_next).sealed()];
        }
        let bounced =
            || vec![Packet { flags: packet.flags | BOUNCED, pad: 0, ..packet.clone() }.encode()];
        let Some(flow) = flows.get_mut(&key) else {
            return bounced();
        };
        if !flow.open {
            if packet.ack != flow.first.wrapping_add(1) {
                return bounced();
            }
            flow.open = true;
            self.record.line(format!("target {}: flow {} > {} is open", self.id, key.0, key.1));
        }
        let mut out = Vec::new();
        if !packet.data.is_empty() {
            if packet.seq == flow.their_next {
                flow.their_next = flow.their_next.wrapping_add(packet.data.len() as u32);
                let request = String::from_utf8_lossy(&packet.data).into_owned();
                let id = request.split("X-Camphorwinch-Request-Id: ").nth(1).unwrap_or("");
                let id = id.split("\r\n").next().unwrap_or("").to_owned();
                self.record.line(format!("target {}: runs {id}", self.id));
                self.runs.lock().unwrap().push(id.clone());
                let body = format!("done {id}");
                let text = format!(
                    "HTTP/1.1 200 OK\r\nX-Camphorwinch-Target-Id: {}\r\n\
                     X-Camphorwinch-Response-Signature: {id}\r\nContent-Length: {}\r\n\r\n{body}",
                    self.id,
                    body.len()
                );
                flow.answer = Some((flow.own_next, text.clone().into_bytes()));
                flow.own_next = flow.own_next.wrapping_add(text.len() as u32);
            }
            if let Some((seq, data)) = &flow.answer {
                let answer = back(ACK, *seq, flow.their_next).with_data(data.clone());
                out.push(answer.sealed());
            }
        }
        if packet.flags & FIN != 0 {
            flow.ended = true;
            out.push(back(ACK | FIN, flow.own_next, packet.seq.wrapping_add(1)).sealed());
        }
        out
    }

    /// First sequence number of this boot for a flow.
    fn next_seq(&self, key: &Key, seq: u32) -> u32 {
        let id: u32 =
            self.id.bytes().fold(7, |sum, it| sum.wrapping_mul(31).wrapping_add(it.into()));
        seq.wrapping_mul(2_654_435_761) ^ id.wrapping_mul(40_503) ^ u32::from(key.0.port()) << 16
    }

    fn send_beats(&self, boot: &Boot, app: SocketAddrV4, control: SocketAddrV4) {
        let (mut seq, mut sent) = (0, 0);
        while !self.stop.load(Ordering::Relaxed) {
            seq += 1;
            let draining = self.draining.load(Ordering::Relaxed);
            let state = if draining { "draining" } else { "ready" };
            let body = format!(
                "{{\"service\":\"{SERVICE}\",\"address\":\"{app}\",\"zone\":\"austin-yard\",\
                 \"version\":\"v1\",\"slots\":3,\"state\":\"{state}\",\"warmup-left-ms\":0,\
                 \"seq-no\":{seq}}}"
            );
            let path = format!("/-/Targets.Heartbeat/{}", self.id);
            if seq == 1 && !boot.first_beat_delay.is_zero() {
                // The bytes are on their way: they arrive whether or not the sender still runs.
                let (record, id, delay) =
                    (self.record.clone(), self.id.clone(), boot.first_beat_delay);
                record.say(format!("target {id}: heartbeat 1 is held up"));
                thread::spawn(move || {
                    thread::sleep(delay);
                    let status = http::call(control, "POST", &path, &body, Duration::from_secs(1));
                    record.say(format!("target {id}: heartbeat 1 ({state}) arrives: {status:?}"));
                });
            } else if boot.link.load(Ordering::Relaxed) {
                let status = http::call(control, "POST", &path, &body, Duration::from_secs(1));
                if sent < 2 || draining || status != Some(200) {
                    sent += 1;
                    self.record
                        .line(format!("target {}: heartbeat {seq} ({state}): {status:?}", self.id));
                }
            }
            thread::sleep(HEARTBEAT);
        }
    }
}
