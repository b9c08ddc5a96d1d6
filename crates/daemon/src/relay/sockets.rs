//! Sockets for callers' datagrams: one per worker and service address.

use std::{collections::BTreeMap, io, net::SocketAddr};

use camphorwinch_core::{object::ServiceId, place::Placer, snapshot::Snapshot};
use camphorwinch_relay::{
    socket,
    worker::{IngressSocket, Worker},
};
use tokio::sync::oneshot;

use crate::{
    config::AddressMode,
    event::{self, EventId, EventSubject},
};

/// Open sockets by bind address.
pub(crate) struct Sockets {
    mode: AddressMode,
    data: SocketAddr,
    open: BTreeMap<SocketAddr, OpenSocket>,
    // Reported failures by service address.
    failed: BTreeMap<SocketAddr, String>,
}

struct OpenSocket {
    address: SocketAddr,
    service: Option<ServiceId>,
    name: String,
    // Dropping a sender closes the socket of a worker.
    _closers: Vec<oneshot::Sender<()>>,
}

/// A service address to serve.
struct DesiredSocket {
    address: SocketAddr,
    service: Option<ServiceId>,
    name: String,
}

impl Sockets {
    /// Creates an empty set. In mode `own`, sockets are bound to the IP of `data` with the service's port.
    pub(crate) fn new(mode: AddressMode, data: SocketAddr) -> Sockets {
        Sockets { mode, data, open: BTreeMap::new(), failed: BTreeMap::new() }
    }

    /// Opens and closes sockets to match the placer; returns false if one could not be opened.
    pub(crate) fn reconcile(
        &mut self,
        placer: &Placer,
        snapshot: &Snapshot,
        workers: &[Worker],
    ) -> bool {
        let (desired, refused) = self.desired(placer, snapshot);
        self.close(&desired);
        let mut failed = BTreeMap::new();
        for it in refused {
            let reason = format!(
                "{} is in use by another service or by --data",
                self.bind_address(it.address)
            );
            failed.insert(it.address, self.report_failed(&it, reason));
        }
        for (bind, it) in desired {
            if let Some(open) = self.open.get_mut(&bind) {
                open.set_service(it);
                continue;
            }
            match open_all(bind, it.address, workers) {
                Ok(closers) => self.add(bind, it, closers),
                Err(e) => {
                    let reason = self.report_failed(&it, format!("listen on {bind}: {e}"));
                    failed.insert(it.address, reason);
                }
            }
        }
        self.failed = failed;
        self.failed.is_empty()
    }

    /// Addresses to serve by bind address, and addresses that conflict: in mode `own`, two services with the same port
    /// need the same bind address.
    fn desired(
        &self,
        placer: &Placer,
        snapshot: &Snapshot,
    ) -> (BTreeMap<SocketAddr, DesiredSocket>, Vec<DesiredSocket>) {
        let mut desired = BTreeMap::new();
        let mut refused = Vec::new();
        let listeners = placer.listeners().iter();
        let (current, removed): (Vec<_>, Vec<_>) =
            listeners.partition(|(_, it)| it.service().is_some());
        for (&address, listener) in current.into_iter().chain(removed) {
            let service = listener.service();
            let entry = service.and_then(|it| snapshot.services.get(&it));
            let name = entry.map(|it| it.name.clone()).unwrap_or_default();
            let it = DesiredSocket { address, service, name };
            let bind = self.bind_address(address);
            if !desired.contains_key(&bind) && bind != self.data {
                desired.insert(bind, it);
            } else if service.is_some() {
                refused.push(it);
            }
        }
        (desired, refused)
    }

    fn bind_address(&self, address: SocketAddr) -> SocketAddr {
        match self.mode {
            AddressMode::Service => address,
            AddressMode::Own => SocketAddr::new(self.data.ip(), address.port()),
        }
    }

    fn close(&mut self, desired: &BTreeMap<SocketAddr, DesiredSocket>) {
        self.open.retain(|bind, open| {
            let keep = desired.get(bind).is_some_and(|it| it.address == open.address);
            if !keep {
                open.report_closed();
            }
            keep
        });
    }

    fn add(&mut self, bind: SocketAddr, desired: DesiredSocket, closers: Vec<oneshot::Sender<()>>) {
        let DesiredSocket { address, service, name } = desired;
        let open = OpenSocket { address, service, name, _closers: closers };
        open.report_opened();
        self.open.insert(bind, open);
    }

    /// Reports a failure once instead of at each retry.
    fn report_failed(&self, desired: &DesiredSocket, reason: String) -> String {
        if self.failed.get(&desired.address) != Some(&reason) {
            let text = format!("{} is not served: {reason}", desired.address);
            event::emit(
                EventId::ServiceBindFailed,
                EventSubject::new().with_service(&desired.name),
                &text,
            );
        }
        reason
    }
}

impl OpenSocket {
    /// Updates the service of the address. The workers look it up in the placer.
    fn set_service(&mut self, desired: DesiredSocket) {
        if self.service == desired.service {
            return;
        }
        self.report_closed();
        self.service = desired.service;
        self.name = desired.name;
        self.report_opened();
    }

    fn report_opened(&self) {
        if self.service.is_some() {
            let text = format!("listening on {}", self.address);
            event::emit(
                EventId::ServiceOpened,
                EventSubject::new().with_service(&self.name),
                &text,
            );
        }
    }

    fn report_closed(&self) {
        if self.service.is_some() {
            let text = format!("stopped accepting new flows on {}", self.address);
            event::emit(
                EventId::ServiceClosed,
                EventSubject::new().with_service(&self.name),
                &text,
            );
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
        if !worker.add_socket(IngressSocket { address, socket, closed }) {
            return Err(io::Error::other("the worker has stopped"));
        }
        closers.push(closer);
    }
    Ok(closers)
}
