//! Listener and admin API of an upstream.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use anyhow::Context;
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::Deserialize;
use tokio::{
    net::TcpListener,
    sync::watch,
    task::{JoinHandle, JoinSet},
    time::{Instant, sleep, timeout_at},
};

use super::{
    admission::{GaugeGuard, GaugeName},
    faults::Faults,
    record::Record,
    settings::Settings,
    state::State,
};
use crate::server::{self, Body, HttpError, Server};

const MAX_BODY_BYTES: usize = 1 << 20;
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Time after the last request during which requests on open connections still get a 503 response.
const CLOSE_DELAY: Duration = Duration::from_millis(100);

/// A running upstream; dropping it stops it at once.
#[derive(Debug)]
pub struct Upstream {
    addr: SocketAddr,
    admin: Server,
    state: Arc<State>,
    closing: watch::Sender<bool>,
    task: JoinHandle<()>,
}

/// Body of `PUT /drain`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Drain {
    on: bool,
}

impl Upstream {
    /// Starts listening with these settings; an error if a setting is out of range or an address cannot be bound.
    pub async fn start(settings: Settings, faults: Faults) -> anyhow::Result<Upstream> {
        settings.check()?;
        let (listen, admin) = (settings.listen, settings.admin);
        let state = Arc::new(State::new(settings, faults)?);
        let step = || format!("listen on {listen}");
        let listener = TcpListener::bind(listen).await.with_context(step)?;
        let addr = listener.local_addr().with_context(step)?;
        let handle = {
            let state = state.clone();
            move |request| {
                let state = state.clone();
                async move {
                    Ok(handle_admin(&state, request).await.unwrap_or_else(|it| it.to_response()))
                }
            }
        };
        let admin = Server::start(admin, handle).await?;
        let (closing, closed) = watch::channel(false);
        let task = tokio::spawn(accept(listener, state.clone(), closed));
        Ok(Upstream { addr, admin, state, closing, task })
    }

    /// Address that it listens on.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Address of the admin API.
    pub fn admin(&self) -> SocketAddr {
        self.admin.addr()
    }

    /// Counters and gauges up to now.
    pub fn record(&self) -> Record {
        self.state.record()
    }

    /// Stops gracefully: rejects new requests, ends feeds, and waits for the other requests. Returns false on timeout.
    pub async fn stop(mut self) -> bool {
        let end = Instant::now() + Duration::from_millis(self.state.settings.stop_ms);
        self.state.drain.send_replace(true);
        self.state.stop.send_replace(true);
        let idle = async {
            while !self.is_idle() {
                sleep(IDLE_POLL_INTERVAL).await;
            }
        };
        if timeout_at(end, idle).await.is_err() {
            return false;
        }
        sleep(CLOSE_DELAY).await;
        self.closing.send_replace(true);
        timeout_at(end, &mut self.task).await.is_ok()
    }

    fn is_idle(&self) -> bool {
        let record = self.state.record.lock();
        record.started == record.finished + record.cancelled + record.expired
            && record.waiting.now == 0
    }
}

impl Drop for Upstream {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(listener: TcpListener, state: Arc<State>, mut closing: watch::Receiver<bool>) {
    let mut connections = JoinSet::new();
    let closed = closing.clone();
    loop {
        tokio::select! {
            () = server::wait_until_true(&mut closing) => break,
            Some(_) = connections.join_next() => {}
            accepted = listener.accept() => {
                let Ok((stream, _)) = accepted else {
                    sleep(server::ACCEPT_PAUSE).await;
                    continue;
                };
                let guard = GaugeGuard::new(&state, GaugeName::Connections);
                let over_limit = state.record.lock().connections.now > state.settings.connections as u64;
                let (state, closed) = (state.clone(), closed.clone());
                connections.spawn(async move {
                    let _guard = guard;
                    let handle = |request| {
                        let state = state.clone();
                        async move { state.handle(request, over_limit).await }
                    };
                    server::serve_until(stream, handle, closed).await;
                });
            }
        }
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

async fn handle_admin(
    state: &State,
    request: Request<Incoming>,
) -> Result<Response<Body>, HttpError> {
    match (request.method(), request.uri().path()) {
        (&Method::GET, "/record") => Ok(server::json_response(StatusCode::OK, &state.record())),
        (&Method::GET, "/faults") => {
            Ok(server::json_response(StatusCode::OK, &*state.faults.borrow()))
        }
        (&Method::PUT, "/faults") => {
            let faults: Faults = server::read_json(request.into_body(), MAX_BODY_BYTES).await?;
            faults.check().map_err(HttpError::bad_request)?;
            state.faults.send_replace(faults.clone());
            Ok(server::json_response(StatusCode::OK, &faults))
        }
        (&Method::PUT, "/services") => {
            let services: Vec<String> =
                server::read_json(request.into_body(), MAX_BODY_BYTES).await?;
            *state.services.lock() = services.clone();
            Ok(server::json_response(StatusCode::OK, &services))
        }
        (&Method::PUT, "/drain") => {
            let drain: Drain = server::read_json(request.into_body(), MAX_BODY_BYTES).await?;
            state.drain.send_replace(drain.on);
            Ok(server::json_response(StatusCode::OK, &serde_json::json!({ "on": drain.on })))
        }
        (_, path) => Err(HttpError::not_found(path)),
    }
}
