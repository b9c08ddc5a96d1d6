//! Workers: threads that each relay a share of the datagrams of every service.

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

/// Batches taken from one socket before others get their turn.
const TURN: usize = 8;

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
        let more = (0..TURN).all(|_| relay.turn(address, &socket));
        if more {
            yield_now().await;
        }
    }
}
