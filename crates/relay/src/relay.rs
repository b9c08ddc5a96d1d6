//! Relays batches: receives, places and sends them.

use std::{cell::RefCell, io::IoSliceMut, net::SocketAddr, sync::Arc};

use arc_swap::ArcSwap;
use camphorwinch_core::place::{Listener, Placer};
use quinn_udp::{BATCH_SIZE, RecvMeta};

use crate::{batch::Batch, outcome::OutcomeCounters, socket::Socket};

/// Size of a receive buffer; one receive may return several merged datagrams of a flow.
const RECV_BUFFER_BYTES: usize = 65_535;

/// State shared by all workers.
#[derive(Debug)]
pub struct Shared {
    /// Current placer.
    pub placer: ArcSwap<Placer>,
    /// Datagram counters by outcome.
    pub counters: OutcomeCounters,
}

/// Data socket and buffers of a worker, shared by its service sockets.
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
    /// Creates a relay that sends to agents from `data`.
    pub fn new(data: Socket, shared: Arc<Shared>) -> Relay {
        let received =
            (0..BATCH_SIZE).map(|_| vec![0; RECV_BUFFER_BYTES].into_boxed_slice()).collect();
        let buffers = RefCell::new(Buffers { received, batch: Batch::default() });
        Relay { data, shared, buffers }
    }

    /// Relays one batch received on `socket` for the service at `address`. Returns whether more may be queued.
    pub fn relay_batch(&self, address: SocketAddr, socket: &Socket) -> bool {
        let mut buffers = self.buffers.borrow_mut();
        let Buffers { received, batch } = &mut *buffers;
        let mut metas = [RecvMeta::default(); BATCH_SIZE];
        let mut slices: Vec<IoSliceMut<'_>> =
            received.iter_mut().map(|it| IoSliceMut::new(it)).collect();
        let Ok(count) = socket.recv(&mut slices, &mut metas) else {
            return false;
        };
        let placer = self.shared.placer.load();
        let no_service = Listener::default();
        let listener = placer.listeners().get(&address).unwrap_or(&no_service);
        batch.place(&placer, listener, received, &metas[..count]);
        if let Some(ring) = placer.ring() {
            batch.flush(ring, received, self.data.max_segments(), |it| self.data.send(it));
        }
        batch.record_counts(&self.shared.counters);
        count == BATCH_SIZE
    }
}
