//! The fabric and its admin API.

use std::{
    collections::BTreeMap,
    net::{IpAddr, SocketAddr},
    sync::Arc,
    time::Duration,
};

use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use parking_lot::Mutex;
use tokio::sync::watch;

use super::{
    counts::Counts,
    faults::Faults,
    service::{Service, ServiceConfig},
};
use crate::server::{self, Body, HttpError, Server};

const MAX_BODY_BYTES: usize = 1 << 20;

/// Balancer addresses by service address.
pub type Routes = BTreeMap<SocketAddr, Vec<SocketAddr>>;

/// A running fabric; dropping it stops it.
#[derive(Debug)]
pub struct Fabric {
    server: Server,
    state: Arc<State>,
}

#[derive(Debug)]
struct State {
    services: Mutex<BTreeMap<SocketAddr, Service>>,
    faults: watch::Sender<Arc<Faults>>,
    config: ServiceConfig,
}

impl Fabric {
    /// Starts serving the routes; the socket of each caller is bound on `ip` and closed after `idle_timeout`.
    pub async fn start(
        admin: SocketAddr,
        routes: &Routes,
        ip: IpAddr,
        idle_timeout: Duration,
        seed: u64,
        faults: Faults,
    ) -> anyhow::Result<Fabric> {
        let faults = watch::Sender::new(Arc::new(faults));
        let config = ServiceConfig { ip, idle_timeout, seed, faults: faults.subscribe() };
        let state = Arc::new(State { services: Mutex::default(), faults, config });
        state.set_routes(routes)?;
        let handle = {
            let state = state.clone();
            move |request| {
                let state = state.clone();
                async move { Ok(state.handle(request).await.unwrap_or_else(|it| it.to_response())) }
            }
        };
        Ok(Fabric { server: Server::start(admin, handle).await?, state })
    }

    /// Address of the admin API.
    pub fn admin(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Replaces the routes: adds new services and removes missing ones. An error if an address cannot be bound.
    pub fn set_routes(&self, routes: &Routes) -> anyhow::Result<()> {
        self.state.set_routes(routes)
    }

    /// Datagram counters by service.
    pub fn counts(&self) -> Counts {
        self.state.counts()
    }
}

impl State {
    fn set_routes(&self, routes: &Routes) -> anyhow::Result<()> {
        let mut services = self.services.lock();
        let mut added = BTreeMap::new();
        for (&addr, balancers) in routes {
            if !services.contains_key(&addr) {
                added.insert(addr, Service::start(addr, balancers, &self.config)?);
            }
        }
        services.retain(|addr, _| routes.contains_key(addr));
        for (addr, service) in services.iter() {
            service.set_balancers(&routes[addr]);
        }
        services.extend(added);
        Ok(())
    }

    fn routes(&self) -> Routes {
        self.services.lock().iter().map(|(addr, it)| (*addr, it.balancers())).collect()
    }

    fn counts(&self) -> Counts {
        let services = self.services.lock();
        Counts { services: services.iter().map(|(addr, it)| (*addr, it.counts())).collect() }
    }

    async fn handle(&self, request: Request<Incoming>) -> Result<Response<Body>, HttpError> {
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/counts") => Ok(server::json_response(StatusCode::OK, &self.counts())),
            (&Method::GET, "/routes") => Ok(server::json_response(StatusCode::OK, &self.routes())),
            (&Method::GET, "/faults") => {
                Ok(server::json_response(StatusCode::OK, &**self.faults.borrow()))
            }
            (&Method::PUT, "/routes") => {
                let routes: Routes = server::read_json(request.into_body(), MAX_BODY_BYTES).await?;
                let conflict = |error| HttpError::new(StatusCode::CONFLICT, format!("{error:#}"));
                self.set_routes(&routes).map_err(conflict)?;
                Ok(server::json_response(StatusCode::OK, &routes))
            }
            (&Method::PUT, "/faults") => {
                let faults: Faults = server::read_json(request.into_body(), MAX_BODY_BYTES).await?;
                faults.check().map_err(HttpError::bad_request)?;
                self.faults.send_replace(Arc::new(faults.clone()));
                Ok(server::json_response(StatusCode::OK, &faults))
            }
            (_, path) => Err(HttpError::not_found(path)),
        }
    }
}
