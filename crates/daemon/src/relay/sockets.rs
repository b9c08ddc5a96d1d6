//! Sockets at which callers' datagrams arrive: one per worker for each address of a service.

use std::{collections::BTreeMap, io, net::SocketAddr};

use camphorwinch_core::{object::ServiceId, place::Placer, snapshot::Snapshot};
use camphorwinch_relay::{
    socket,
    worker::{Intake, Worker},
};
use tokio::sync::oneshot;

use crate::{
    config::AddressMode,
    event::{self, About, Id},
};

/// Open sockets by the address they are bound to.
pub(crate) struct Sockets {
    mode: AddressMode,
    data: SocketAddr,
    open: BTreeMap<SocketAddr, Open>,
    failed: BTreeMap<SocketAddr, String>,
}

struct Open {
    address: SocketAddr,
    service: Option<ServiceId>,
    name: String,
    // Dropping them ends the workers' intakes.
    _closers: Vec<oneshot::Sender<()>>,
}

/// A service's address that should be served.
struct Wanted {
    address: SocketAddr,
    service: Option<ServiceId>,
    name: String,
}

impl Sockets {
    /// No sockets yet. In mode `own` they are bound to the IP of `data` with the service's port.
    pub(crate) fn new(mode: AddressMode, data: SocketAddr) -> Sockets {
        Sockets { mode, data, open: BTreeMap::new(), failed: BTreeMap::new() }
    }

    /// Opens and closes sockets to fit the placer; false if one could not be opened.
    pub(crate) fn adjust(
        &mut self,
        placer: &Placer,
        snapshot: &Snapshot,
        workers: &[Worker],
    ) -> bool {
        let (wanted, mut complete) = self.wanted(placer, snapshot);
        self.close(&wanted);
        self.failed.retain(|bind, _| wanted.contains_key(bind));
        for (bind, it) in wanted {
            if let Some(open) = self.open.get_mut(&bind) {
                open.follow(it);
                continue;
            }
            complete &= self.try_open(bind, it, workers);
        }
        complete
    }

    /// Addresses to serve by the address to bind. Two services may want one in mode `own`; a packet could then reach the
    /// wrong one, so the second is refused.
    fn wanted(&self, placer: &Placer, snapshot: &Snapshot) -> (BTreeMap<SocketAddr, Wanted>, bool) {
        let mut wanted: BTreeMap<SocketAddr, Wanted> = BTreeMap::new();
        let mut complete = true;
        let listeners = placer.listeners().iter();
        let (current, former): (Vec<_>, Vec<_>) =
            listeners.partition(|(_, it)| it.service().is_some());
        for (&address, listener) in current.into_iter().chain(former) {
            let service = listener.service();
            let entry = service.and_then(|it| snapshot.services.get(&it));
            let name = entry.map(|it| it.name.clone()).unwrap_or_default();
            let bind = self.bind_address(address);
            if wanted.contains_key(&bind) || bind == self.data {
                if service.is_some() {
                    complete = false;
                    report_taken(&name, address, bind);
                }
                continue;
            }
            wanted.insert(bind, Wanted { address, service, name });
        }
        (wanted, complete)
    }

    fn bind_address(&self, address: SocketAddr) -> SocketAddr {
        match self.mode {
            AddressMode::Service => address,
            AddressMode::Own => SocketAddr::new(self.data.ip(), address.port()),
        }
    }

    fn close(&mut self, wanted: &BTreeMap<SocketAddr, Wanted>) {
        self.open.retain(|bind, open| {
            let keep = wanted.get(bind).is_some_and(|it| it.address == open.address);
            if !keep {
                open.report_closed();
            }
            keep
        });
    }

    fn try_open(&mut self, bind: SocketAddr, wanted: Wanted, workers: &[Worker]) -> bool {
        match open_all(bind, wanted.address, workers) {
            Ok(closers) => {
                self.failed.remove(&bind);
                let Wanted { address, service, name } = wanted;
                let open = Open { address, service, name, _closers: closers };
                open.report_opened();
                self.open.insert(bind, open);
                true
            }
            Err(e) => {
                let why = format!("listen on {bind}: {e}");
                // Said once, not at each retry.
                if self.failed.insert(bind, why.clone()).as_ref() != Some(&why) {
                    let about = About::new().with_service(&wanted.name);
                    event::emit(Id::ServiceBindFailed, about, &why);
                }
                false
            }
        }
    }
}

impl Open {
    /// Takes note that the address has another service now. The workers find it in the placer.
    fn follow(&mut self, wanted: Wanted) {
        if self.service == wanted.service {
            return;
        }
        self.report_closed();
        self.service = wanted.service;
        self.name = wanted.name;
        self.report_opened();
    }

    fn report_opened(&self) {
        if self.service.is_some() {
            let text = format!("listening on {}", self.address);
            event::emit(Id::ServiceOpened, About::new().with_service(&self.name), &text);
        }
    }

    fn report_closed(&self) {
        if self.service.is_some() {
            let text = format!("no longer takes new flows on {}", self.address);
            event::emit(Id::ServiceClosed, About::new().with_service(&self.name), &text);
        }
    }
}

fn open_all(
    bind: SocketAddr,
    address: SocketAddr,
    workers: &[Worker],
) -> io::Result<Vec<oneshot::Sender<()>>> {
    let mut closers = Vec::new();
    for worker in workers {
        let socket = socket::bind(bind)?;
        let (closer, closed) = oneshot::channel();
        if !worker.open(Intake { address, socket, closed }) {
            return Err(io::Error::other("the worker has ended"));
        }
        closers.push(closer);
    }
    Ok(closers)
}

fn report_taken(name: &str, address: SocketAddr, bind: SocketAddr) {
    let text = format!("{address} can't be served: {bind} is taken by another service or by --data");
    event::emit(Id::ServiceBindFailed, About::new().with_service(name), &text);
}
