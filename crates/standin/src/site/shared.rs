//! What the run and its faults share: the processes, the objects and the counts.

use std::{
    collections::BTreeSet,
    fs::File,
    io::Write,
    net::{IpAddr, SocketAddr},
    path::PathBuf,
    sync::Arc,
    time::{Duration, Instant},
};

use anyhow::{bail, ensure};
use http::{Method, StatusCode};
use parking_lot::Mutex as SyncMutex;
use serde_json::{Map, json};
use tokio::{sync::Mutex, time};

use super::{
    deployment::Deployment,
    fleet::{Fleet, Role},
    http::Http,
    launch::Launcher,
    metrics::Sample,
    objects::Objects,
    pki::Authority,
    process::STOP_LIMIT,
};
use crate::{caller::tally::Tally, upstream::Record};

const READY_LIMIT: Duration = Duration::from_secs(40);
const READY_POLL: Duration = Duration::from_millis(100);

/// What the run and its faults share. Locks are taken in the order of the fields and not held over a stop.
pub struct Shared {
    /// Shape of the deployment.
    pub deployment: &'static Deployment,
    /// Processes.
    pub fleet: Mutex<Fleet>,
    /// Builder of further processes.
    pub launcher: Mutex<Launcher>,
    /// Balancers that the fabric leaves out for now.
    pub unrouted: SyncMutex<BTreeSet<String>>,
    /// Last records of upstreams that were replaced.
    pub retired: SyncMutex<Vec<Record>>,
    /// Last metrics of processes that were stopped or killed during the run.
    pub ended: SyncMutex<Vec<Sample>>,
    /// Client for admin and operator addresses.
    pub http: Http,
    /// Objects of the platform.
    pub objects: Objects,
    /// CA that callers trust.
    pub authority: Authority,
    /// What callers saw.
    pub tally: Arc<Tally>,
}

impl Role {
    /// Path that answers with success once such a process is ready.
    pub fn ready_path(self) -> &'static str {
        match self {
            Role::Platform => "/admin/counts",
            Role::Fabric => "/counts",
            Role::Upstream => "/record",
            Role::Balancer | Role::Agent => "/health",
        }
    }
}

impl Shared {
    /// Starts all processes with this role and waits until they are ready.
    pub async fn start_all(&self, role: Role) -> anyhow::Result<()> {
        let start = Instant::now();
        let names = {
            let mut fleet = self.fleet.lock().await;
            fleet.start_all(role)?;
            fleet.running(role)
        };
        for name in &names {
            self.wait_ready(name).await?;
        }
        println!("{} {role:?} ready after {:.1?}", names.len(), start.elapsed());
        Ok(())
    }

    /// Starts a process and waits until it is ready.
    pub async fn start(&self, name: &str) -> anyhow::Result<()> {
        self.fleet.lock().await.start(name)?;
        self.wait_ready(name).await
    }

    /// Stops a process gracefully.
    pub async fn stop(&self, name: &str) -> anyhow::Result<()> {
        self.keep_metrics(name).await;
        let process = self.fleet.lock().await.take(name)?;
        process.stop().await?;
        Ok(())
    }

    /// Kills a process without notice.
    pub async fn kill(&self, name: &str) -> anyhow::Result<()> {
        self.keep_metrics(name).await;
        let process = self.fleet.lock().await.take(name)?;
        process.kill().await
    }

    /// Tells the fabric which balancers there are.
    pub async fn route(&self) -> anyhow::Result<()> {
        let hosts = self.balancers().await?;
        let launcher = self.launcher.lock().await;
        let mut routes = Map::new();
        for (service, route) in launcher.routes(&hosts) {
            routes.insert(service.to_string(), json!(route));
        }
        self.http.put(launcher.fabric, "/routes", &routes.into()).await?;
        Ok(())
    }

    /// Record of an upstream.
    pub async fn record(&self, name: &str) -> anyhow::Result<Record> {
        let address = self.admin(name).await?;
        self.http.get(address, "/record").await
    }

    /// Admin or operator address of a process.
    pub async fn admin(&self, name: &str) -> anyhow::Result<SocketAddr> {
        Ok(self.fleet.lock().await.get(name)?.admin)
    }

    /// Writes down the state of processes that take long to stop.
    pub async fn keep_status(self: Arc<Shared>, daemons: Vec<(PathBuf, SocketAddr)>) {
        time::sleep(STOP_LIMIT / 2).await;
        for (file, address) in daemons {
            for path in ["/status", "/metrics"] {
                let Ok(text) = self.http.text(address, path).await else { continue };
                let Ok(mut file) = File::options().create(true).append(true).open(&file) else {
                    continue;
                };
                if let Err(error) = writeln!(file, "{text}") {
                    println!("write the state of {address}: {error}");
                }
            }
        }
    }

    /// Keeps the last metrics of a process that is about to end.
    async fn keep_metrics(&self, name: &str) {
        let address = match self.fleet.lock().await.get(name) {
            Ok(member) if member.daemon() => member.admin,
            _ => return,
        };
        if let Ok(text) = self.http.text(address, "/metrics").await {
            self.ended.lock().push(Sample { name: name.to_owned(), text });
        }
    }

    async fn balancers(&self) -> anyhow::Result<Vec<IpAddr>> {
        let fleet = self.fleet.lock().await;
        let unrouted = self.unrouted.lock();
        let mut hosts = Vec::new();
        for name in fleet.running(Role::Balancer) {
            if !unrouted.contains(&name) {
                hosts.push(fleet.get(&name)?.host);
            }
        }
        Ok(hosts)
    }

    async fn wait_ready(&self, name: &str) -> anyhow::Result<()> {
        let start = Instant::now();
        while !self.is_ready(name).await? {
            ensure!(self.fleet.lock().await.is_alive(name), "start {name}: it ended by itself");
            if start.elapsed() > READY_LIMIT {
                bail!("start {name}: not ready after {READY_LIMIT:?}");
            }
            time::sleep(READY_POLL).await;
        }
        Ok(())
    }

    async fn is_ready(&self, name: &str) -> anyhow::Result<bool> {
        let (address, path) = {
            let fleet = self.fleet.lock().await;
            let member = fleet.get(name)?;
            (member.admin, member.role.ready_path())
        };
        let answer = self.http.call(Method::GET, address, path, None).await;
        Ok(answer.is_ok_and(|it| it.0 == StatusCode::OK))
    }
}
