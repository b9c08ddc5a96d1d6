//! Worker threads, each of which relays a share of every service's datagrams.

use std::{
    io,
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    thread::{self, JoinHandle},
};

use tokio::{
    runtime::Builder,
    sync::{mpsc, oneshot},
    task::{LocalSet, spawn_local, yield_now},
};

use crate::{
    relay::{Relay, Shared},
    socket::Socket,
};

/// Batches received from one socket before the worker yields to its other sockets.
const BATCHES_PER_TURN: usize = 8;

/// Service socket for a worker to receive from.
#[derive(Debug)]
pub struct IngressSocket {
    /// Address of the service, the key of its listener in the placer.
    pub address: SocketAddr,
    /// Socket bound to that address.
    pub socket: std::net::UdpSocket,
    /// Closes the socket when the sending half is dropped.
    pub closed: oneshot::Receiver<()>,
}

/// Handle of a worker thread, which stops when the handle is dropped.
#[derive(Debug)]
pub struct Worker {
    sockets: mpsc::UnboundedSender<IngressSocket>,
    thread: JoinHandle<()>,
}

impl Worker {
    /// Starts a worker that sends to agents from `data`.
    pub fn new(name: &str, data: std::net::UdpSocket, shared: Arc<Shared>) -> io::Result<Worker> {
        let (sockets, queue) = mpsc::unbounded_channel();
        let runtime = Builder::new_current_thread().enable_io().build()?;
        let data = {
            let _guard = runtime.enter();
            Socket::new(data)?
        };
        let run = move || {
            let relay = Rc::new(Relay::new(data, shared));
            runtime.block_on(LocalSet::new().run_until(accept_sockets(queue, relay)));
        };
        let thread = thread::Builder::new().name(name.to_owned()).spawn(run)?;
        Ok(Worker { sockets, thread })
    }

    /// Adds a socket to the worker; returns false if the worker has stopped.
    pub fn add_socket(&self, ingress: IngressSocket) -> bool {
        self.sockets.send(ingress).is_ok()
    }

    /// Stops the worker and waits for its thread.
    pub fn join(self) {
        drop(self.sockets);
        // The panic hook has already reported a panic of the worker.
        let _ = self.thread.join();
    }
}

async fn accept_sockets(mut queue: mpsc::UnboundedReceiver<IngressSocket>, relay: Rc<Relay>) {
    while let Some(ingress) = queue.recv().await {
        spawn_local(relay_socket(ingress, Rc::clone(&relay)));
    }
}

async fn relay_socket(ingress: IngressSocket, relay: Rc<Relay>) {
    let IngressSocket { address, socket, mut closed } = ingress;
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
        let more = (0..BATCHES_PER_TURN).all(|_| relay.relay_batch(address, &socket));
        if more {
            yield_now().await;
        }
    }
}
