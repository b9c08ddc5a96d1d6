//! Relaying of one batch: receive, place, send.

use std::{cell::RefCell, io::IoSliceMut, net::SocketAddr, sync::Arc};

use arc_swap::ArcSwap;
use camphorwinch_core::place::{Listener, Placer};
use quinn_udp::{BATCH_SIZE, RecvMeta};

use crate::{batch::Batch, outcome::Tally, socket::Socket};

/// Largest datagram that a socket may hand over, several of a flow merged.
const BUFFER: usize = 65_535;

/// What all workers read and count into.
#[derive(Debug)]
pub struct Shared {
    /// The placer in force.
    pub placer: ArcSwap<Placer>,
    /// Datagrams by outcome.
    pub tally: Tally,
}

/// What a worker needs to relay: its data socket and its buffers, which its intakes use in turn.
pub struct Relay {
    data: Socket,
    shared: Arc<Shared>,
    buffers: RefCell<Buffers>,
}

struct Buffers {
    received: Vec<Box<[u8]>>,
    batch: Batch,
}

impl Relay {
    /// Relays to agents from `data`.
    pub fn new(data: Socket, shared: Arc<Shared>) -> Relay {
        let received = (0..BATCH_SIZE).map(|_| vec![0; BUFFER].into_boxed_slice()).collect();
        let buffers = RefCell::new(Buffers { received, batch: Batch::default() });
        Relay { data, shared, buffers }
    }

    /// Relays one batch that arrived at `socket` for the service at `address`; whether there may be more.
    pub fn turn(&self, address: SocketAddr, socket: &Socket) -> bool {
        let mut buffers = self.buffers.borrow_mut();
        let Buffers { received, batch } = &mut *buffers;
        let mut metas = [RecvMeta::default(); BATCH_SIZE];
        let mut slices: Vec<IoSliceMut<'_>> =
            received.iter_mut().map(|it| IoSliceMut::new(it)).collect();
        let Ok(count) = socket.recv(&mut slices, &mut metas) else {
            return false;
        };
        let placer = self.shared.placer.load();
        let nobody = Listener::default();
        let listener = placer.listeners().get(&address).unwrap_or(&nobody);
        batch.place(&placer, listener, received, &metas[..count]);
        if let Some(ring) = placer.ring() {
            batch.flush(ring, received, self.data.max_segments(), |it| self.data.send(it));
        }
        batch.settle(&self.shared.tally);
        count == BATCH_SIZE
    }
}
