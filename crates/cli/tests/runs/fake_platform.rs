//! Fake of the platform's object API, and a runner of the binary against it.

use std::{
    collections::{BTreeMap, VecDeque},
    io::Write as _,
    net::SocketAddr,
    process::{Command, Output, Stdio},
    sync::{Arc, Mutex},
    time::Duration,
};

use bytes::Bytes;
use http_body_util::{BodyExt as _, Full};
use hyper::{
    Method, Request, Response, StatusCode, body::Incoming, server::conn::http1, service::service_fn,
};
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use tokio::{net::TcpListener, runtime::Runtime};

/// Fault at one write.
#[derive(Clone, Debug)]
pub(crate) enum Fault {
    /// The write takes effect, the actions run, and the connection breaks.
    LoseResponse(Vec<Action>),
    /// The write takes effect, the actions run, and the response is 503.
    FailResponse(Vec<Action>),
    /// The connection breaks before the write takes effect.
    LoseRequest,
    /// The actions run before the write.
    ConcurrentWrites(Vec<Action>),
    /// The write is rejected with this status.
    Reject(u16),
    /// The request gets no response.
    Hang,
}

/// Action of another writer, or change of the platform.
#[derive(Clone, Debug)]
pub(crate) enum Action {
    Put(&'static str, &'static str, Value),
    Delete(&'static str, &'static str),
    /// The platform drops its history.
    DropHistory,
    /// The platform is reset to a copy that has the same version numbers.
    RestoreFromCopy,
    /// The last write that did not take effect takes effect now.
    ApplyLostWrite,
}

#[derive(Debug, Default)]
pub(crate) struct Store {
    pub(crate) revision: u64,
    pub(crate) era: u64,
    pub(crate) objects: BTreeMap<(String, String), Value>,
    pub(crate) history: Vec<Value>,
    pub(crate) oldest_revision: u64,
    pub(crate) faults: VecDeque<Fault>,
    pub(crate) outage: bool,
    pub(crate) puts: usize,
    lost_write: Option<(Method, String, Value)>,
}

impl Store {
    pub(crate) fn put(&mut self, kind: &str, name: &str, writer: &str, spec: &Value) -> Value {
        self.revision += 1;
        let object = json!({"kind": kind, "name": name, "version": self.revision, "writer": writer, "spec": spec});
        self.objects.insert((kind.into(), name.into()), object.clone());
        self.history.push(json!({"type": "put", "object": object}));
        object
    }

    fn delete(&mut self, kind: &str, name: &str) {
        let Some(mut object) = self.objects.remove(&(kind.into(), name.into())) else { return };
        self.revision += 1;
        object["version"] = json!(self.revision);
        self.history.push(json!({"type": "delete", "object": object}));
    }

    fn run_action(&mut self, action: &Action) {
        match action {
            Action::Put(kind, name, spec) => drop(self.put(kind, name, "other", spec)),
            Action::Delete(kind, name) => self.delete(kind, name),
            Action::DropHistory => self.drop_history(),
            Action::RestoreFromCopy => self.era += 1,
            Action::ApplyLostWrite => {
                let (method, path, body) = self.lost_write.take().unwrap();
                let path: Vec<&str> = path.split('/').collect();
                self.write(&method, &path, "", &body);
            }
        }
    }

    pub(crate) fn drop_history(&mut self) {
        self.history.clear();
        self.oldest_revision = self.revision;
    }

    fn write(&mut self, method: &Method, path: &[&str], query: &str, body: &Value) -> (u16, Value) {
        let (kind, name) = (path[2], path[3]);
        let current = self.objects.get(&(kind.to_owned(), name.to_owned())).cloned();
        let stored = current.as_ref().map_or(0, |it| it["version"].as_u64().unwrap());
        let version = match *method {
            Method::PUT => body["version"].as_u64().unwrap(),
            _ => query.trim_start_matches("version=").parse().unwrap(),
        };
        if *method == Method::DELETE && current.is_none() {
            return (404, json!({"error": "not found"}));
        }
        if stored != version {
            return (409, json!({"error": "conflict", "current": current}));
        }
        if *method == Method::DELETE {
            self.delete(kind, name);
            return (200, json!({"revision": self.revision}));
        }
        (200, self.put(kind, name, body["writer"].as_str().unwrap(), &body["spec"]))
    }

    fn read(&self, path: &[&str], query: &str) -> (u16, Value) {
        match path {
            ["v1", "objects", kind] => {
                let of_kind = |(key, object): (&(String, String), &Value)| {
                    (key.0 == *kind).then(|| object.clone())
                };
                let items: Vec<Value> = self.objects.iter().filter_map(of_kind).collect();
                (200, json!({"revision": self.revision, "items": items}))
            }
            ["v1", "objects", kind, name] => {
                match self.objects.get(&((*kind).into(), (*name).into())) {
                    Some(object) => (200, object.clone()),
                    None => (404, json!({"error": "not found"})),
                }
            }
            ["v1", "watch"] => self.watch(query),
            _ => (404, json!({"error": "no such path"})),
        }
    }

    fn watch(&self, query: &str) -> (u16, Value) {
        let field = |name: &str| {
            let mut values = query.split('&').filter_map(|it| it.strip_prefix(name));
            values.next().unwrap_or("").to_owned()
        };
        let since: u64 = field("since=").parse().unwrap();
        if since < self.oldest_revision {
            return (410, json!({"error": "too old"}));
        }
        let kinds: Vec<&str> = query.split('&').filter_map(|it| it.strip_prefix("kind=")).collect();
        let matches = |it: &&Value| {
            it["object"]["version"].as_u64().unwrap() > since
                && kinds.contains(&it["object"]["kind"].as_str().unwrap())
        };
        let events: Vec<&Value> = self.history.iter().filter(matches).collect();
        (200, json!({"revision": self.revision, "events": events}))
    }
}

/// Fake platform that serves until dropped.
pub(crate) struct FakePlatform {
    pub(crate) store: Arc<Mutex<Store>>,
    address: SocketAddr,
    _runtime: Runtime,
}

impl FakePlatform {
    pub(crate) fn new() -> FakePlatform {
        let runtime = Runtime::new().unwrap();
        let store = Arc::new(Mutex::new(Store::default()));
        let listener = runtime.block_on(TcpListener::bind("127.0.0.1:0")).unwrap();
        let address = listener.local_addr().unwrap();
        runtime.spawn(serve(listener, store.clone()));
        FakePlatform { store, address, _runtime: runtime }
    }

    pub(crate) fn with_faults<const N: usize>(faults: [Fault; N]) -> FakePlatform {
        let platform = FakePlatform::new();
        platform.store.lock().unwrap().faults.extend(faults);
        platform
    }

    pub(crate) fn put(&self, kind: &str, name: &str, spec: Value) -> u64 {
        let object = self.store.lock().unwrap().put(kind, name, "setup", &spec);
        object["version"].as_u64().unwrap()
    }

    pub(crate) fn get(&self, kind: &str, name: &str) -> Option<Value> {
        self.store.lock().unwrap().objects.get(&(kind.into(), name.into())).cloned()
    }

    pub(crate) fn command(&self, args: &[&str]) -> Command {
        let mut command = Command::new(env!("CARGO_BIN_EXE_camphorwinch"));
        command.args(args).env("CAMPHORWINCH_PLATFORM", format!("http://{}", self.address));
        command.env("CAMPHORWINCH_TIMEOUT", "5").env_remove("CAMPHORWINCH_OUTPUT");
        command
    }

    pub(crate) fn run(&self, args: &[&str]) -> Run {
        self.run_with(args, "")
    }

    pub(crate) fn run_with(&self, args: &[&str], input: &str) -> Run {
        let mut command = self.command(args);
        command.stdin(Stdio::piped()).stdout(Stdio::piped()).stderr(Stdio::piped());
        let mut child = command.spawn().unwrap();
        child.stdin.take().unwrap().write_all(input.as_bytes()).unwrap();
        Run::from(child.wait_with_output().unwrap())
    }

    pub(crate) fn apply(&self, input: &Value) -> Run {
        self.run_with(&["apply", "-f", "-", "--output", "json"], &input.to_string())
    }
}

/// Result of one run of the binary.
#[derive(Debug)]
pub(crate) struct Run {
    pub(crate) code: i32,
    pub(crate) out: String,
    pub(crate) err: String,
}

impl Run {
    pub(crate) fn json(&self) -> Value {
        serde_json::from_str(&self.out).unwrap_or_else(|e| panic!("{e}: {self:?}"))
    }
}

impl From<Output> for Run {
    fn from(it: Output) -> Run {
        let text = |bytes| String::from_utf8(bytes).unwrap();
        Run { code: it.status.code().unwrap(), out: text(it.stdout), err: text(it.stderr) }
    }
}

async fn serve(listener: TcpListener, store: Arc<Mutex<Store>>) {
    while let Ok((stream, _)) = listener.accept().await {
        let store = store.clone();
        let service = service_fn(move |request| handle_with_era(request, store.clone()));
        tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
    }
}

/// Handles a request and adds the era header to the response.
async fn handle_with_era(
    request: Request<Incoming>,
    store: Arc<Mutex<Store>>,
) -> Result<Response<Full<Bytes>>, std::io::Error> {
    let mut response = handle_request(request, store.clone()).await?;
    response.headers_mut().insert("store-era", store.lock().unwrap().era.into());
    Ok(response)
}

async fn handle_request(
    request: Request<Incoming>,
    store: Arc<Mutex<Store>>,
) -> Result<Response<Full<Bytes>>, std::io::Error> {
    let (head, body) = request.into_parts();
    let body = body.collect().await.map_err(std::io::Error::other)?.to_bytes();
    let body: Value = serde_json::from_slice(&body).unwrap_or(Value::Null);
    let query = head.uri.query().unwrap_or("");
    let path: Vec<&str> = head.uri.path().trim_start_matches('/').split('/').collect();
    let connection_error = || std::io::Error::other("connection broken by a fault");
    if query.contains("wait=25") {
        wait_for_change(&store, query).await;
    }
    let fault = {
        let mut store = store.lock().unwrap();
        if store.outage {
            return Ok(response(503, &json!({"error": "outage"})));
        }
        if head.method == Method::GET {
            let (status, value) = store.read(&path, query);
            return Ok(response(status, &value));
        }
        store.puts += usize::from(head.method == Method::PUT);
        let fault = store.faults.pop_front();
        if let Some(Fault::ConcurrentWrites(actions)) = &fault {
            actions.iter().for_each(|it| store.run_action(it));
        }
        if matches!(
            fault,
            None | Some(
                Fault::ConcurrentWrites(_) | Fault::LoseResponse(_) | Fault::FailResponse(_)
            )
        ) {
            let (status, value) = store.write(&head.method, &path, query, &body);
            if let Some(Fault::LoseResponse(actions)) = &fault {
                actions.iter().for_each(|it| store.run_action(it));
                return Err(connection_error());
            }
            if let Some(Fault::FailResponse(actions)) = &fault {
                actions.iter().for_each(|it| store.run_action(it));
                return Ok(response(503, &json!({"error": "outage"})));
            }
            return Ok(response(status, &value));
        }
        store.lost_write = Some((head.method, path.join("/"), body));
        fault
    };
    match fault {
        Some(Fault::Reject(status)) => Ok(response(status, &json!({"error": "refused"}))),
        Some(Fault::Hang) => std::future::pending().await,
        _ => Err(connection_error()),
    }
}

async fn wait_for_change(store: &Mutex<Store>, query: &str) {
    for _ in 0..500 {
        let (status, response) = {
            let store = store.lock().unwrap();
            if store.outage {
                return;
            }
            store.watch(query)
        };
        if status != 200 || !response["events"].as_array().unwrap().is_empty() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

fn response(status: u16, value: &Value) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(value.to_string())));
    *response.status_mut() = StatusCode::from_u16(status).unwrap();
    if status == 429 {
        response.headers_mut().insert("retry-after", "1".parse().unwrap());
    }
    response
}

/// Spec of a valid service.
pub(crate) fn service(address: &str, pool: &str) -> Value {
    json!({"address": address, "pool": pool, "certificate": "cert"})
}

/// Manifest entry of a service.
pub(crate) fn ledger(pool: &str) -> Value {
    json!({"kind": "service", "name": "ledger", "spec": service("127.0.9.1:4433", pool)})
}
