//! In-memory platform with fault injection for tests.

use std::{
    collections::BTreeMap,
    convert::Infallible,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use camphorwinch_core::object::Object;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::{
    body::{Bytes, Incoming},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use tokio::{net::TcpListener, sync::Notify, time::timeout};

#[derive(Default)]
struct Store {
    data: Data,
    /// Number of restores.
    era: u64,
    backup: Data,
    unavailable: bool,
    lose_response: bool,
    skip_events: bool,
}

/// Stored data, replaced by a reset.
#[derive(Clone, Default)]
struct Data {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    events: Vec<(&'static str, Object)>,
}

#[derive(Clone, Default)]
pub(crate) struct FakePlatform {
    store: Arc<Mutex<Store>>,
    changed: Arc<Notify>,
}

impl FakePlatform {
    /// Serves on a free port of the loopback interface.
    pub(crate) async fn start() -> (FakePlatform, SocketAddr) {
        let fake = FakePlatform::default();
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let served = fake.clone();
        tokio::spawn(async move {
            loop {
                let (stream, _) = listener.accept().await.unwrap();
                let fake = served.clone();
                let service = service_fn(move |it| {
                    let fake = fake.clone();
                    async move { fake.handle(it).await }
                });
                let io = TokioIo::new(stream);
                tokio::spawn(http1::Builder::new().serve_connection(io, service));
            }
        });
        (fake, address)
    }

    /// Sets whether every call is answered with 503.
    pub(crate) fn set_unavailable(&self, unavailable: bool) {
        self.store.lock().unwrap().unavailable = unavailable;
        self.changed.notify_waiters();
    }

    /// Applies the next write but answers it with 504.
    pub(crate) fn lose_next_response(&self) {
        self.store.lock().unwrap().lose_response = true;
    }

    /// Sets whether watch responses omit their events.
    pub(crate) fn skip_watch_events(&self, skip_events: bool) {
        self.store.lock().unwrap().skip_events = skip_events;
    }

    pub(crate) fn take_backup(&self) {
        let mut store = self.store.lock().unwrap();
        store.backup = store.data.clone();
    }

    /// Resets the store to the backup in a new era: later writes are lost and their revisions are reused.
    pub(crate) fn restore_backup(&self) {
        let mut store = self.store.lock().unwrap();
        store.data = store.backup.clone();
        store.era += 1;
        drop(store);
        self.changed.notify_waiters();
    }

    /// Writes an object unconditionally; returns its new version.
    pub(crate) fn write(&self, kind: &str, name: &str, spec: Value) -> u64 {
        let version = self.store.lock().unwrap().data.put(kind, name, "test", spec).version;
        self.changed.notify_waiters();
        version
    }

    pub(crate) fn delete(&self, kind: &str, name: &str) {
        let mut store = self.store.lock().unwrap();
        let data = &mut store.data;
        data.revision += 1;
        let mut deleted = data.objects.remove(&(kind.to_owned(), name.to_owned())).unwrap();
        deleted.version = data.revision;
        data.events.push(("delete", deleted));
        drop(store);
        self.changed.notify_waiters();
    }

    pub(crate) fn read(&self, kind: &str, name: &str) -> Option<Object> {
        let store = self.store.lock().unwrap();
        store.data.objects.get(&(kind.to_owned(), name.to_owned())).cloned()
    }

    async fn handle(
        &self,
        request: Request<Incoming>,
    ) -> Result<Response<Full<Bytes>>, Infallible> {
        let (head, body) = request.into_parts();
        let body = body.collect().await.unwrap().to_bytes();
        let path = head.uri.path().to_owned();
        let (status, value) = match path.strip_prefix("/v1/objects/") {
            _ if self.store.lock().unwrap().unavailable => (503, json!({ "error": "down" })),
            None => self.watch(head.uri.query().unwrap_or_default()).await,
            Some(rest) => self.object(&head.method, rest, &body),
        };
        let status = match self.store.lock().unwrap().unavailable {
            true => StatusCode::SERVICE_UNAVAILABLE,
            false => StatusCode::from_u16(status).unwrap(),
        };
        let era = self.store.lock().unwrap().era;
        let body = Full::new(Bytes::from(value.to_string()));
        Ok(Response::builder().status(status).header("store-era", era).body(body).unwrap())
    }

    fn object(&self, method: &Method, rest: &str, body: &[u8]) -> (u16, Value) {
        let mut store = self.store.lock().unwrap();
        let Some((kind, name)) = rest.split_once('/') else {
            let data = &store.data;
            let items: Vec<&Object> = data.objects.values().filter(|it| it.kind == rest).collect();
            return (200, json!({ "revision": data.revision, "items": items }));
        };
        let current = store.data.objects.get(&(kind.to_owned(), name.to_owned())).cloned();
        if method == Method::GET {
            return current.map_or((404, json!({ "error": "none" })), |it| (200, json!(it)));
        }
        let write: Value = serde_json::from_slice(body).unwrap();
        if write["version"].as_u64() != Some(current.as_ref().map_or(0, |it| it.version)) {
            return (409, json!({ "error": "conflict", "current": current }));
        }
        let writer = write["writer"].as_str().unwrap();
        let object = store.data.put(kind, name, writer, write["spec"].clone());
        let response_lost = std::mem::take(&mut store.lose_response);
        self.changed.notify_waiters();
        if response_lost { (504, json!({ "error": "lost" })) } else { (200, json!(object)) }
    }

    async fn watch(&self, query: &str) -> (u16, Value) {
        let since: u64 = query
            .split('&')
            .find_map(|it| it.strip_prefix("since="))
            .and_then(|it| it.parse().ok())
            .unwrap();
        for _ in 0..20 {
            let changed = self.changed.notified();
            if since > self.store.lock().unwrap().data.revision {
                return (410, json!({ "error": "the history does not hold this revision" }));
            }
            if let Some(value) = self.store.lock().unwrap().watch_response(since, query) {
                return (200, value);
            }
            let _ = timeout(Duration::from_millis(500), changed).await;
        }
        (200, json!({ "revision": since, "events": [] }))
    }
}

impl Data {
    fn put(&mut self, kind: &str, name: &str, writer: &str, spec: Value) -> Object {
        self.revision += 1;
        let object = Object {
            kind: kind.to_owned(),
            name: name.to_owned(),
            version: self.revision,
            writer: writer.to_owned(),
            spec,
        };
        self.objects.insert((kind.to_owned(), name.to_owned()), object.clone());
        self.events.push(("put", object.clone()));
        object
    }
}

impl Store {
    fn watch_response(&self, since: u64, query: &str) -> Option<Value> {
        let wanted = |it: &Object| query.contains(&format!("kind={}", it.kind));
        let recent: Vec<_> =
            self.data.events.iter().filter(|(_, it)| it.version > since && wanted(it)).collect();
        if recent.is_empty() && !self.unavailable {
            return None;
        }
        let events: Vec<Value> = match self.skip_events {
            true => Vec::new(),
            false => {
                recent.iter().map(|(it, object)| json!({ "type": it, "object": object })).collect()
            }
        };
        Some(json!({ "revision": self.data.revision, "events": events }))
    }
}
