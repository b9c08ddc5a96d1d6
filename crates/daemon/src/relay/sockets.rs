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
    // What was reported, by the address of the service.
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
        let (wanted, refused) = self.wanted(placer, snapshot);
        self.close(&wanted);
        let mut failed = BTreeMap::new();
        for it in refused {
            let why = format!(
                "{} is taken by another service or by --data",
                self.bind_address(it.address)
            );
            failed.insert(it.address, self.report_failed(&it, why));
        }
        for (bind, it) in wanted {
            if let Some(open) = self.open.get_mut(&bind) {
                open.follow(it);
                continue;
            }
            match open_all(bind, it.address, workers) {
                Ok(closers) => self.add(bind, it, closers),
                Err(e) => {
                    let why = self.report_failed(&it, format!("listen on {bind}: {e}"));
                    failed.insert(it.address, why);
                }
            }
        }
        self.failed = failed;
        self.failed.is_empty()
    }

    /// Addresses to serve by the address to bind, and those that can't be served: two services may want one address in
    /// mode `own`, where a packet could then reach the wrong one.
    fn wanted(
        &self,
        placer: &Placer,
        snapshot: &Snapshot,
    ) -> (BTreeMap<SocketAddr, Wanted>, Vec<Wanted>) {
        let mut wanted = BTreeMap::new();
        let mut refused = Vec::new();
        let listeners = placer.listeners().iter();
        let (current, former): (Vec<_>, Vec<_>) =
            listeners.partition(|(_, it)| it.service().is_some());
        for (&address, listener) in current.into_iter().chain(former) {
            let service = listener.service();
            let entry = service.and_then(|it| snapshot.services.get(&it));
            let name = entry.map(|it| it.name.clone()).unwrap_or_default();
            let it = Wanted { address, service, name };
            let bind = self.bind_address(address);
            if !wanted.contains_key(&bind) && bind != self.data {
                wanted.insert(bind, it);
            } else if service.is_some() {
                refused.push(it);
            }
        }
        (wanted, refused)
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

    fn add(&mut self, bind: SocketAddr, wanted: Wanted, closers: Vec<oneshot::Sender<()>>) {
        let Wanted { address, service, name } = wanted;
        let open = Open { address, service, name, _closers: closers };
        open.report_opened();
        self.open.insert(bind, open);
    }

    /// Reports a failure once, not at each retry.
    fn report_failed(&self, wanted: &Wanted, why: String) -> String {
        if self.failed.get(&wanted.address) != Some(&why) {
            let text = format!("{} is not served: {why}", wanted.address);
            event::emit(Id::ServiceBindFailed, About::new().with_service(&wanted.name), &text);
        }
        why
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
