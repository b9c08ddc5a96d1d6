//! Workers: threads that each relay a share of the datagrams of every service.

use std::{
    cell::RefCell,
    io::{self, IoSliceMut},
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    thread::{self, JoinHandle},
};

use arc_swap::ArcSwap;
use camphorwinch_core::place::{Listener, Placer};
use quinn_udp::{BATCH_SIZE, RecvMeta};
use tokio::{
    runtime::Builder,
    sync::{mpsc, oneshot},
    task::{LocalSet, spawn_local, yield_now},
};

use crate::{batch::Batch, outcome::Tally, socket::Socket};

/// Largest datagram that a socket may hand over, several of a flow merged.
const BUFFER: usize = 65_535;
/// Batches taken from one socket before others get their turn.
const TURN: usize = 8;

/// What all workers read and count into.
#[derive(Debug)]
pub struct Shared {
    /// The placer in force.
    pub placer: ArcSwap<Placer>,
    /// Datagrams by outcome.
    pub tally: Tally,
}

/// A socket for a worker to serve. Dropping `close` on the other side ends it.
#[derive(Debug)]
pub struct Intake {
    /// Address of the service, by which the listener is found.
    pub address: SocketAddr,
    /// Socket on which its datagrams arrive.
    pub socket: std::net::UdpSocket,
    /// Ends the intake when its sender is dropped.
    pub closed: oneshot::Receiver<()>,
}

/// A worker. It ends when dropped.
#[derive(Debug)]
pub struct Worker {
    intakes: mpsc::UnboundedSender<Intake>,
    thread: JoinHandle<()>,
}

impl Worker {
    /// Starts a worker that sends to agents from `data`.
    pub fn new(name: &str, data: std::net::UdpSocket, shared: Arc<Shared>) -> io::Result<Worker> {
        let (intakes, queue) = mpsc::unbounded_channel();
        let runtime = Builder::new_current_thread().enable_io().build()?;
        let data = {
            let _guard = runtime.enter();
            Socket::new(data)?
        };
        let serve = move || {
            let relay = Rc::new(Relay::new(data, shared));
            runtime.block_on(LocalSet::new().run_until(accept(queue, relay)));
        };
        let thread = thread::Builder::new().name(name.to_owned()).spawn(serve)?;
        Ok(Worker { intakes, thread })
    }

    /// Hands a socket to the worker; false if the worker has ended.
    pub fn open(&self, intake: Intake) -> bool {
        self.intakes.send(intake).is_ok()
    }

    /// Ends the worker and waits for it.
    pub fn join(self) {
        drop(self.intakes);
        // A worker that panicked has reported it on its own.
        let _ = self.thread.join();
    }
}

async fn accept(mut queue: mpsc::UnboundedReceiver<Intake>, relay: Rc<Relay>) {
    while let Some(intake) = queue.recv().await {
        spawn_local(serve(intake, Rc::clone(&relay)));
    }
}

async fn serve(intake: Intake, relay: Rc<Relay>) {
    let Intake { address, socket, mut closed } = intake;
    let Ok(socket) = Socket::new(socket) else {
        return;
    };
    loop {
        tokio::select! {
            _ = &mut closed => return,
            ready = socket.readable() => {
                if ready.is_err() {
                    return;
                }
            }
        }
        for _ in 0..TURN {
            if !relay.turn(address, &socket) {
                break;
            }
        }
        yield_now().await;
    }
}

/// Buffers of a worker, shared by its sockets: they are only used between two awaits.
struct Relay {
    data: Socket,
    shared: Arc<Shared>,
    buffers: RefCell<Buffers>,
}

struct Buffers {
    received: Vec<Box<[u8]>>,
    batch: Batch,
}

impl Relay {
    fn new(data: Socket, shared: Arc<Shared>) -> Relay {
        let received = (0..BATCH_SIZE).map(|_| vec![0; BUFFER].into_boxed_slice()).collect();
        let buffers = RefCell::new(Buffers { received, batch: Batch::default() });
        Relay { data, shared, buffers }
    }

    /// Relays one batch; false if there was none.
    fn turn(&self, address: SocketAddr, socket: &Socket) -> bool {
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
        true
    }
}
