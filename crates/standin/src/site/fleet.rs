//! All processes of a deployment, by name.

use std::{
    collections::BTreeMap,
    net::{IpAddr, SocketAddr},
    path::PathBuf,
};

use anyhow::{Context, bail};
use futures::future::join_all;

use super::process::{Launch, Process};

/// Part that a process plays.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Role {
    /// Stand-in of the object API.
    Platform,
    /// Stand-in of the packet fabric.
    Fabric,
    /// Stand-in upstream.
    Upstream,
    /// Balancer.
    Balancer,
    /// Agent.
    Agent,
}

/// A process of the deployment, running or not.
#[derive(Debug)]
pub struct Member {
    /// Part that it plays.
    pub role: Role,
    /// VM that it runs on.
    pub vm: String,
    /// Availability zone of the VM.
    pub zone: String,
    /// Address of the VM.
    pub host: IpAddr,
    /// Service whose pool it belongs to, for agents and upstreams.
    pub service: Option<String>,
    /// Address that tells about the process: operator address of a daemon, admin address of a stand-in.
    pub admin: SocketAddr,
    /// How to start it.
    pub launch: Launch,
    /// The process, while it runs.
    pub process: Option<Process>,
}

impl Member {
    /// Whether it is a process of the system, not a stand-in.
    pub fn daemon(&self) -> bool {
        matches!(self.role, Role::Balancer | Role::Agent)
    }
}

/// All processes of a deployment.
#[derive(Debug)]
pub struct Fleet {
    folder: PathBuf,
    members: BTreeMap<String, Member>,
}

impl Fleet {
    /// An empty fleet whose processes log into the folder.
    pub fn new(folder: PathBuf) -> Fleet {
        Fleet { folder, members: BTreeMap::new() }
    }

    /// Folder with logs and journals.
    pub fn folder(&self) -> &PathBuf {
        &self.folder
    }

    /// Adds a process, not started yet.
    pub fn add(&mut self, member: Member) {
        self.members.insert(member.launch.name.clone(), member);
    }

    /// All members, by name.
    pub fn members(&self) -> impl Iterator<Item = (&str, &Member)> {
        self.members.iter().map(|(name, member)| (name.as_str(), member))
    }

    /// Names of the running processes with this role.
    pub fn running(&self, role: Role) -> Vec<String> {
        let mut names = Vec::new();
        for (name, member) in &self.members {
            if member.role == role && member.process.is_some() {
                names.push(name.clone());
            }
        }
        names
    }

    /// Running processes of the system with this role: a file for the state of each, and its operator address.
    pub fn daemons(&self, role: Role) -> Vec<(PathBuf, SocketAddr)> {
        let mut list = Vec::new();
        for (name, member) in &self.members {
            if member.role == role && member.daemon() && member.process.is_some() {
                list.push((self.folder.join(format!("{name}.late")), member.admin));
            }
        }
        list
    }

    /// The member with this name.
    pub fn get(&self, name: &str) -> anyhow::Result<&Member> {
        self.members.get(name).with_context(|| format!("no process is named {name}"))
    }

    /// Starts a process that does not run.
    pub fn start(&mut self, name: &str) -> anyhow::Result<()> {
        let folder = self.folder.clone();
        let member = self.member(name)?;
        if member.process.is_some() {
            bail!("start {name}: it runs already");
        }
        member.process = Some(Process::start(&member.launch, &folder)?);
        Ok(())
    }

    /// Starts all processes with this role.
    pub fn start_all(&mut self, role: Role) -> anyhow::Result<()> {
        let names: Vec<String> =
            self.members.iter().filter(|it| it.1.role == role).map(|it| it.0.clone()).collect();
        for name in names {
            self.start(&name)?;
        }
        Ok(())
    }

    /// Takes the running process out of the fleet, to stop or kill it.
    pub fn take(&mut self, name: &str) -> anyhow::Result<Process> {
        self.member(name)?.process.take().with_context(|| format!("{name} does not run"))
    }

    /// Stops all processes with this role gracefully, all at once; what went wrong.
    pub async fn stop_all(&mut self, role: Role) -> Vec<anyhow::Error> {
        let mut stops = Vec::new();
        for member in self.members.values_mut() {
            if member.role != role {
                continue;
            }
            if let Some(process) = member.process.take() {
                stops.push(process.stop());
            }
        }
        join_all(stops).await.into_iter().filter_map(Result::err).collect()
    }

    /// Whether the process runs.
    pub fn is_alive(&mut self, name: &str) -> bool {
        let process = self.members.get_mut(name).and_then(|it| it.process.as_mut());
        process.is_some_and(Process::alive)
    }

    /// Names of processes that ended although nobody stopped them.
    pub fn fallen(&mut self) -> Vec<String> {
        let mut names = Vec::new();
        for (name, member) in &mut self.members {
            let Some(process) = &mut member.process else { continue };
            if !process.alive() {
                names.push(name.clone());
            }
        }
        names
    }

    fn member(&mut self, name: &str) -> anyhow::Result<&mut Member> {
        self.members.get_mut(name).with_context(|| format!("no process is named {name}"))
    }

    /// The running process with this name.
    pub fn process(&self, name: &str) -> anyhow::Result<&Process> {
        self.get(name)?.process.as_ref().with_context(|| format!("{name} does not run"))
    }
}
