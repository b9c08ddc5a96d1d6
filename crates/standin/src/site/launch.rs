//! Builds the command line and environment of each process.

use std::{
    collections::BTreeMap,
    net::{IpAddr, SocketAddr},
    path::{Path, PathBuf},
};

use super::{
    block::AddressBlock,
    deployment::Deployment,
    fleet::{Fleet, Instance, Role},
    pki::Authority,
    process::LaunchSpec,
};

const PLATFORM_PORT: u16 = 0;
const FABRIC_PORT: u16 = 1;
const DATA_PORT: u16 = 2;
const CONTROL_PORT: u16 = 3;
const OPERATOR_PORT: u16 = 4;
const UPSTREAM_PORT: u16 = 5;
const ADMIN_PORT: u16 = 6;
const SERVICE_PORTS: u16 = 10;

/// Name of the platform process.
pub const PLATFORM: &str = "platform";
/// Name of the fabric process.
pub const FABRIC: &str = "fabric";

/// Builds processes, each on a VM with its own address.
pub struct Launcher {
    deployment: &'static Deployment,
    authority: Authority,
    block: AddressBlock,
    bin_dir: PathBuf,
    /// Address of the platform.
    pub platform: SocketAddr,
    /// Admin address of the fabric.
    pub fabric: SocketAddr,
    /// Addresses of the services, in the order of the deployment.
    pub services: Vec<SocketAddr>,
    seed: u64,
    balancer_count: usize,
    vm_count: usize,
    upstream_counts: BTreeMap<String, usize>,
}

impl Launcher {
    /// Creates a launcher for the deployment, with programs from the folder.
    pub fn new(
        deployment: &'static Deployment,
        bin_dir: PathBuf,
        seed: u64,
    ) -> anyhow::Result<Launcher> {
        let mut block = AddressBlock::new()?;
        let platform = SocketAddr::new(block.host()?, block.port(PLATFORM_PORT));
        let fabric = SocketAddr::new(block.host()?, block.port(FABRIC_PORT));
        let mut services = Vec::new();
        for i in 0..deployment.services.len() {
            let port = block.port(SERVICE_PORTS + i as u16);
            services.push(SocketAddr::new(block.host()?, port));
        }
        let authority = Authority::new("fleet")?;
        Ok(Launcher {
            deployment,
            authority,
            block,
            bin_dir,
            platform,
            fabric,
            services,
            seed,
            balancer_count: 0,
            vm_count: 0,
            upstream_counts: BTreeMap::new(),
        })
    }

    /// Allocates addresses for callers to send from.
    pub fn callers(&mut self, count: usize) -> anyhow::Result<Vec<IpAddr>> {
        (0..count).map(|_| self.block.host()).collect()
    }

    /// The platform process.
    pub fn platform(&self) -> Instance {
        let args = vec!["platform".to_owned(), "--listen".to_owned(), self.platform.to_string()];
        self.emulator(PLATFORM, Role::Platform, self.platform, args)
    }

    /// The fabric process, with routes to these balancers.
    pub fn fabric(&self, balancers: &[IpAddr]) -> Instance {
        let mut args = vec![
            "fabric".to_owned(),
            "--admin".to_owned(),
            self.fabric.to_string(),
            "--ip".to_owned(),
            self.fabric.ip().to_string(),
            "--seed".to_owned(),
            self.seed.to_string(),
        ];
        for (service, route) in self.routes(balancers) {
            let list: Vec<String> = route.iter().map(SocketAddr::to_string).collect();
            args.push("--route".to_owned());
            args.push(format!("{service}={}", list.join(",")));
        }
        self.emulator(FABRIC, Role::Fabric, self.fabric, args)
    }

    /// Routes of each service's packets to these balancers.
    pub fn routes(&self, balancers: &[IpAddr]) -> Vec<(SocketAddr, Vec<SocketAddr>)> {
        let mut routes = Vec::new();
        for &service in &self.services {
            let route = balancers.iter().map(|&it| SocketAddr::new(it, service.port())).collect();
            routes.push((service, route));
        }
        routes
    }

    /// A new balancer in this zone.
    pub fn balancer(&mut self, zone: &str, peers: &[SocketAddr]) -> anyhow::Result<Instance> {
        self.balancer_count += 1;
        let name = format!("entry-{}", self.balancer_count);
        let vm = format!("vm-{name}");
        let host = self.block.host()?;
        let mut args = vec!["balance".to_owned()];
        args.extend(self.common_args(&name, &vm, zone, host));
        args.extend(["--bind".to_owned(), "own".to_owned()]);
        args.extend(["--data".to_owned(), self.host_port(host, DATA_PORT)]);
        if !peers.is_empty() {
            let list: Vec<String> = peers.iter().map(SocketAddr::to_string).collect();
            args.extend(["--peer".to_owned(), list.join(",")]);
        }
        Ok(Instance {
            role: Role::Balancer,
            vm,
            zone: zone.to_owned(),
            host,
            service: None,
            admin: SocketAddr::new(host, self.block.port(OPERATOR_PORT)),
            launch: self.launch(&name, "camphorwinchd", args, self.tls_env(&name, host)?),
            process: None,
        })
    }

    /// Control address of the process on this VM.
    pub fn control(&self, host: IpAddr) -> SocketAddr {
        SocketAddr::new(host, self.block.port(CONTROL_PORT))
    }

    /// A new VM with an upstream of the service and its agent.
    pub fn upstream(
        &mut self,
        service: &str,
        zone: &str,
        peers: &[SocketAddr],
        journals: &Path,
    ) -> anyhow::Result<[Instance; 2]> {
        self.vm_count += 1;
        let number = self.upstream_counts.entry(service.to_owned()).or_default();
        *number += 1;
        let agent = format!("{service}-{number}");
        let upstream = format!("{agent}-upstream");
        let vm = format!("vm-{}", self.vm_count);
        let host = self.block.host()?;
        let journal = journals.join(format!("{agent}.journal"));
        let mut agent_args = vec!["agent".to_owned()];
        agent_args.extend(self.common_args(&agent, &vm, zone, host));
        let more = [
            ("--pool", service.to_owned()),
            ("--data", self.host_port(host, DATA_PORT)),
            ("--upstream", self.host_port(host, UPSTREAM_PORT)),
            ("--slots", self.deployment.slots.to_string()),
            ("--connections", self.deployment.connections.to_string()),
            ("--reply", "own".to_owned()),
        ];
        push_flags(&mut agent_args, more);
        if !peers.is_empty() {
            let list: Vec<String> = peers.iter().map(SocketAddr::to_string).collect();
            push_flags(&mut agent_args, [("--peer", list.join(","))]);
        }
        let mut args = vec!["upstream".to_owned()];
        let more = [
            ("--name", agent.clone()),
            ("--pool", service.to_owned()),
            ("--listen", self.host_port(host, UPSTREAM_PORT)),
            ("--admin", self.host_port(host, ADMIN_PORT)),
            ("--slots", self.deployment.slots.to_string()),
            ("--connections", self.deployment.connections.to_string()),
            ("--service", service.to_owned()),
            ("--journal", journal.display().to_string()),
        ];
        push_flags(&mut args, more);
        let instance = |role, admin, launch| Instance {
            role,
            vm: vm.clone(),
            zone: zone.to_owned(),
            host,
            service: Some(service.to_owned()),
            admin: SocketAddr::new(host, self.block.port(admin)),
            launch,
            process: None,
        };
        let env = self.tls_env(&agent, host)?;
        Ok([
            instance(
                Role::Upstream,
                ADMIN_PORT,
                self.launch(&upstream, "camphorwinch-standin", args, Vec::new()),
            ),
            instance(
                Role::Agent,
                OPERATOR_PORT,
                self.launch(&agent, "camphorwinchd", agent_args, env),
            ),
        ])
    }

    /// Adds all processes of the deployment to the fleet.
    pub fn add_all(&mut self, fleet: &mut Fleet, balancers: usize) -> anyhow::Result<()> {
        fleet.add(self.platform());
        let mut instances = Vec::new();
        for number in 0..balancers {
            instances.push(self.balancer(self.zone(number), &[])?);
        }
        let hosts: Vec<IpAddr> = instances.iter().map(|it| it.host).collect();
        fleet.add(self.fabric(&hosts));
        for instance in instances {
            fleet.add(instance);
        }
        let folder = fleet.folder().clone();
        for service in self.deployment.services {
            for number in 0..service.upstreams {
                let zone = self.zone(number);
                for instance in self.upstream(service.name, zone, &[], &folder)? {
                    fleet.add(instance);
                }
            }
        }
        Ok(())
    }

    fn zone(&self, number: usize) -> &'static str {
        let zones = self.deployment.zones;
        zones[number % zones.len()]
    }

    fn host_port(&self, host: IpAddr, port: u16) -> String {
        SocketAddr::new(host, self.block.port(port)).to_string()
    }

    fn common_args(&self, name: &str, vm: &str, zone: &str, host: IpAddr) -> Vec<String> {
        let mut args = Vec::new();
        let flags = [
            ("--name", name.to_owned()),
            ("--vm", vm.to_owned()),
            ("--zone", zone.to_owned()),
            ("--region", self.deployment.region.to_owned()),
            ("--platform", format!("http://{}", self.platform)),
            ("--control", self.host_port(host, CONTROL_PORT)),
            ("--operator", self.host_port(host, OPERATOR_PORT)),
        ];
        push_flags(&mut args, flags);
        args
    }

    fn tls_env(&self, name: &str, host: IpAddr) -> anyhow::Result<Vec<(String, String)>> {
        let leaf = self.authority.leaf(name, &[host])?;
        Ok(vec![
            ("CAMPHORWINCH_FLEET_CA".to_owned(), self.authority.pem().to_owned()),
            ("CAMPHORWINCH_FLEET_CERT".to_owned(), leaf.chain),
            ("CAMPHORWINCH_FLEET_KEY".to_owned(), leaf.key),
        ])
    }

    fn emulator(&self, name: &str, role: Role, address: SocketAddr, args: Vec<String>) -> Instance {
        Instance {
            role,
            vm: name.to_owned(),
            zone: self.zone(0).to_owned(),
            host: address.ip(),
            service: None,
            admin: address,
            launch: self.launch(name, "camphorwinch-standin", args, Vec::new()),
            process: None,
        }
    }

    fn launch(
        &self,
        name: &str,
        program: &str,
        args: Vec<String>,
        env: Vec<(String, String)>,
    ) -> LaunchSpec {
        LaunchSpec { name: name.to_owned(), program: self.bin_dir.join(program), args, env }
    }
}

fn push_flags<const N: usize>(args: &mut Vec<String>, flags: [(&str, String); N]) {
    for (name, value) in flags {
        args.push(name.to_owned());
        args.push(value);
    }
}
