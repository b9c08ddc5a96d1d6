//! State shared by the run and its fault injector.

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
    http::HttpClient,
    launch::Launcher,
    metrics::ProcessMetrics,
    objects::ObjectClient,
    pki::Authority,
    process::STOP_LIMIT,
};
use crate::{caller::stats::LoadStats, upstream::Record};

const READY_LIMIT: Duration = Duration::from_secs(40);
const READY_POLL: Duration = Duration::from_millis(100);

/// State shared by the run and its fault injector. Lock order is field order; no lock is held during a stop.
pub struct Shared {
    /// Shape of the deployment.
    pub deployment: &'static Deployment,
    /// Processes of the deployment.
    pub fleet: Mutex<Fleet>,
    /// Builder of new processes.
    pub launcher: Mutex<Launcher>,
    /// Balancers currently excluded from the fabric's routes.
    pub unrouted: SyncMutex<BTreeSet<String>>,
    /// Last records of replaced upstreams.
    pub retired_records: SyncMutex<Vec<Record>>,
    /// Last metrics of processes stopped or killed during the run.
    pub final_metrics: SyncMutex<Vec<ProcessMetrics>>,
    /// Client for admin and operator addresses.
    pub http: HttpClient,
    /// Client for the platform's objects.
    pub objects: ObjectClient,
    /// CA that callers trust.
    pub authority: Authority,
    /// Statistics of the callers.
    pub stats: Arc<LoadStats>,
}

impl Role {
    /// Path that returns 200 once a process with this role is ready.
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
        self.save_metrics(name).await;
        let process = self.fleet.lock().await.take_process(name)?;
        process.stop().await?;
        Ok(())
    }

    /// Kills a process with SIGKILL.
    pub async fn kill(&self, name: &str) -> anyhow::Result<()> {
        self.save_metrics(name).await;
        let process = self.fleet.lock().await.take_process(name)?;
        process.kill().await
    }

    /// Sends the current balancers to the fabric as its routes.
    pub async fn update_routes(&self) -> anyhow::Result<()> {
        let hosts = self.balancers().await?;
        let launcher = self.launcher.lock().await;
        let mut routes = Map::new();
        for (service, route) in launcher.routes(&hosts) {
            routes.insert(service.to_string(), json!(route));
        }
        self.http.put(launcher.fabric, "/routes", &routes.into()).await?;
        Ok(())
    }

    /// Reads the record of an upstream.
    pub async fn record(&self, name: &str) -> anyhow::Result<Record> {
        let address = self.admin(name).await?;
        self.http.get(address, "/record").await
    }

    /// Admin or operator address of a process.
    pub async fn admin(&self, name: &str) -> anyhow::Result<SocketAddr> {
        Ok(self.fleet.lock().await.get(name)?.admin)
    }

    /// Writes the status and metrics of processes that are slow to stop into files.
    pub async fn dump_slow_stops(self: Arc<Shared>, daemons: Vec<(PathBuf, SocketAddr)>) {
        time::sleep(STOP_LIMIT / 2).await;
        for (file, address) in daemons {
            for path in ["/status", "/metrics"] {
                let Ok(text) = self.http.text(address, path).await else { continue };
                let Ok(mut file) = File::options().create(true).append(true).open(&file) else {
                    continue;
                };
                if let Err(error) = writeln!(file, "{text}") {
                    println!("write the status of {address}: {error}");
                }
            }
        }
    }

    /// Saves the metrics of a process before it is stopped.
    async fn save_metrics(&self, name: &str) {
        let address = match self.fleet.lock().await.get(name) {
            Ok(instance) if instance.is_daemon() => instance.admin,
            _ => return,
        };
        if let Ok(text) = self.http.text(address, "/metrics").await {
            self.final_metrics.lock().push(ProcessMetrics { name: name.to_owned(), text });
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
            ensure!(self.fleet.lock().await.is_running(name), "start {name}: exited unexpectedly");
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
            let instance = fleet.get(name)?;
            (instance.admin, instance.role.ready_path())
        };
        let response = self.http.call(Method::GET, address, path, None).await;
        Ok(response.is_ok_and(|it| it.0 == StatusCode::OK))
    }
}
