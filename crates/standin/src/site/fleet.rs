//! All processes of a deployment, by name.

use std::{
    collections::BTreeMap,
    net::{IpAddr, SocketAddr},
    path::PathBuf,
};

use anyhow::{Context, bail};
use futures::future::join_all;

use super::process::{LaunchSpec, Process};

/// Role of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Role {
    /// Emulated object API.
    Platform,
    /// Emulated packet fabric.
    Fabric,
    /// Emulated upstream.
    Upstream,
    /// Balancer.
    Balancer,
    /// Agent.
    Agent,
}

/// A process of the deployment, running or not.
#[derive(Debug)]
pub struct Instance {
    /// Role of the process.
    pub role: Role,
    /// VM that it runs on.
    pub vm: String,
    /// Availability zone of the VM.
    pub zone: String,
    /// Address of the VM.
    pub host: IpAddr,
    /// Service of its pool, for agents and upstreams.
    pub service: Option<String>,
    /// Operator address of a daemon, admin address of an emulator.
    pub admin: SocketAddr,
    /// Command to start it.
    pub launch: LaunchSpec,
    /// The running process.
    pub process: Option<Process>,
}

impl Instance {
    /// Whether it is a daemon under test, not an emulator.
    pub fn is_daemon(&self) -> bool {
        matches!(self.role, Role::Balancer | Role::Agent)
    }
}

/// All processes of a deployment.
#[derive(Debug)]
pub struct Fleet {
    folder: PathBuf,
    instances: BTreeMap<String, Instance>,
}

impl Fleet {
    /// Creates an empty fleet that logs into the folder.
    pub fn new(folder: PathBuf) -> Fleet {
        Fleet { folder, instances: BTreeMap::new() }
    }

    /// Folder with logs and journals.
    pub fn folder(&self) -> &PathBuf {
        &self.folder
    }

    /// Adds a process without starting it.
    pub fn add(&mut self, instance: Instance) {
        self.instances.insert(instance.launch.name.clone(), instance);
    }

    /// All processes, by name.
    pub fn instances(&self) -> impl Iterator<Item = (&str, &Instance)> {
        self.instances.iter().map(|(name, instance)| (name.as_str(), instance))
    }

    /// Names of the running processes with this role.
    pub fn running(&self, role: Role) -> Vec<String> {
        let mut names = Vec::new();
        for (name, instance) in &self.instances {
            if instance.role == role && instance.process.is_some() {
                names.push(name.clone());
            }
        }
        names
    }

    /// Running daemons with this role: a file for the status dump of each, and its operator address.
    pub fn daemons(&self, role: Role) -> Vec<(PathBuf, SocketAddr)> {
        let mut list = Vec::new();
        for (name, instance) in &self.instances {
            if instance.role == role && instance.is_daemon() && instance.process.is_some() {
                list.push((self.folder.join(format!("{name}.late")), instance.admin));
            }
        }
        list
    }

    /// The process with this name, running or not.
    pub fn get(&self, name: &str) -> anyhow::Result<&Instance> {
        self.instances.get(name).with_context(|| format!("no process named {name}"))
    }

    /// Starts a process; fails if it is already running.
    pub fn start(&mut self, name: &str) -> anyhow::Result<()> {
        let folder = self.folder.clone();
        let instance = self.get_mut(name)?;
        if instance.process.is_some() {
            bail!("start {name}: already running");
        }
        instance.process = Some(Process::start(&instance.launch, &folder)?);
        Ok(())
    }

    /// Starts all processes with this role.
    pub fn start_all(&mut self, role: Role) -> anyhow::Result<()> {
        let names: Vec<String> =
            self.instances.iter().filter(|it| it.1.role == role).map(|it| it.0.clone()).collect();
        for name in names {
            self.start(&name)?;
        }
        Ok(())
    }

    /// Removes the running process from the fleet, to stop or kill it.
    pub fn take_process(&mut self, name: &str) -> anyhow::Result<Process> {
        self.get_mut(name)?.process.take().with_context(|| format!("{name} is not running"))
    }

    /// Stops all processes with this role concurrently; returns the errors.
    pub async fn stop_all(&mut self, role: Role) -> Vec<anyhow::Error> {
        let mut stops = Vec::new();
        for instance in self.instances.values_mut() {
            if instance.role != role {
                continue;
            }
            if let Some(process) = instance.process.take() {
                stops.push(process.stop());
            }
        }
        join_all(stops).await.into_iter().filter_map(Result::err).collect()
    }

    /// Whether the process is running.
    pub fn is_running(&mut self, name: &str) -> bool {
        let process = self.instances.get_mut(name).and_then(|it| it.process.as_mut());
        process.is_some_and(Process::is_running)
    }

    /// Names of processes that exited without being stopped.
    pub fn exited(&mut self) -> Vec<String> {
        let mut names = Vec::new();
        for (name, instance) in &mut self.instances {
            let Some(process) = &mut instance.process else { continue };
            if !process.is_running() {
                names.push(name.clone());
            }
        }
        names
    }

    fn get_mut(&mut self, name: &str) -> anyhow::Result<&mut Instance> {
        self.instances.get_mut(name).with_context(|| format!("no process named {name}"))
    }

    /// The running process with this name.
    pub fn process(&self, name: &str) -> anyhow::Result<&Process> {
        self.get(name)?.process.as_ref().with_context(|| format!("{name} is not running"))
    }
}
