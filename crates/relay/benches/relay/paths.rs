//! The two relays under comparison and the traffic sent through them.

use std::{
    io::IoSliceMut,
    net::{Ipv4Addr, SocketAddr, SocketAddrV4},
};

use camphorwinch_core::place::MIN_INITIAL;
use camphorwinch_relay::{
    relay::Relay,
    socket::{self, Socket},
};
use quinn_udp::{BATCH_SIZE, RecvMeta, Transmit};

use crate::common;

pub(crate) const AGENTS: usize = 7;
pub(crate) const FLOWS: usize = 1_000_000;
const RECV_BUFFER_BYTES: usize = 65_535;

/// Traffic pattern of the callers.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Traffic {
    pub(crate) name: &'static str,
    size: usize,
    /// Datagrams of one flow per send call, which the system delivers merged.
    pub(crate) merged: usize,
    /// Send calls per burst.
    pub(crate) messages: usize,
    /// Size increase from one message to the next, in bytes; prevents merging.
    growth: usize,
    new_flows: bool,
}

pub(crate) const TRAFFIC: [Traffic; 6] = [
    Traffic { name: "lone", size: 100, merged: 1, messages: 1, growth: 0, new_flows: false },
    Traffic { name: "small", size: 100, merged: 1, messages: 32, growth: 0, new_flows: false },
    Traffic { name: "full", size: 1_200, merged: 1, messages: 32, growth: 0, new_flows: false },
    Traffic { name: "mixed", size: 100, merged: 1, messages: 32, growth: 37, new_flows: false },
    Traffic { name: "upload", size: 1_200, merged: 10, messages: 16, growth: 0, new_flows: false },
    Traffic { name: "new", size: MIN_INITIAL, merged: 1, messages: 32, growth: 0, new_flows: true },
];

impl Traffic {
    /// Returns the number of datagrams in a burst.
    pub(crate) fn datagrams(self) -> u64 {
        (self.merged * self.messages) as u64
    }

    /// Writes a message of a burst and returns the size of its datagrams.
    pub(crate) fn fill(
        self,
        message: usize,
        flow: usize,
        agent: SocketAddrV4,
        contents: &mut Vec<u8>,
    ) -> usize {
        let size = self.size + message % self.messages * self.growth;
        contents.clear();
        if self.new_flows {
            contents.extend_from_slice(&[0xc0, 0, 0, 0, 1, 8]);
            contents.extend_from_slice(&flow.to_be_bytes());
            contents.resize(size, 0);
            return size;
        }
        let packet = common::established_packet(agent, flow as u32, size);
        for _ in 0..self.merged {
            contents.extend_from_slice(&packet);
        }
        size
    }
}

/// Relay that receives and sends with the batching of `quinn-udp` and nothing else.
pub(crate) struct BareRelay {
    data: Socket,
    agents: Vec<SocketAddr>,
    received: Vec<Box<[u8]>>,
    /// Number of datagrams sent.
    pub(crate) sent: u64,
}

impl BareRelay {
    pub(crate) fn new(data: Socket, agents: Vec<SocketAddr>) -> BareRelay {
        BareRelay { data, agents, received: buffers(), sent: 0 }
    }

    fn relay_batch(&mut self, socket: &Socket) -> bool {
        let mut metas = [RecvMeta::default(); BATCH_SIZE];
        let mut slices: Vec<IoSliceMut<'_>> =
            self.received.iter_mut().map(|it| IoSliceMut::new(it)).collect();
        let Ok(count) = socket.recv(&mut slices, &mut metas) else {
            return false;
        };
        for (index, meta) in metas[..count].iter().enumerate() {
            let transmit = Transmit {
                destination: self.agents[index % self.agents.len()],
                ecn: meta.ecn,
                contents: &self.received[index][..meta.len],
                segment_size: (meta.len > meta.stride).then_some(meta.stride),
                src_ip: None,
            };
            if self.data.send(&transmit).is_ok() {
                self.sent += meta.len.div_ceil(meta.stride) as u64;
            }
        }
        count == BATCH_SIZE
    }
}

pub(crate) enum Path {
    Bare(BareRelay),
    Placed(Relay),
}

impl Path {
    pub(crate) fn relay_batch(&mut self, address: SocketAddr, socket: &Socket) -> bool {
        match self {
            Path::Bare(it) => it.relay_batch(socket),
            Path::Placed(it) => it.relay_batch(address, socket),
        }
    }
}

pub(crate) fn loopback() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

pub(crate) fn open() -> Socket {
    Socket::new(socket::bind(loopback()).expect("bind")).expect("register the socket")
}

pub(crate) fn address(socket: &Socket) -> SocketAddr {
    socket.local_addr().expect("local address")
}

pub(crate) fn buffers() -> Vec<Box<[u8]>> {
    (0..BATCH_SIZE).map(|_| vec![0; RECV_BUFFER_BYTES].into_boxed_slice()).collect()
}
