//! `fabric`.

use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    process::ExitCode,
    time::Duration,
};

use anyhow::{anyhow, ensure};
use bpaf::Bpaf;

use crate::{
    fabric::{self, Faults, Routes, faults},
    stop::Stop,
};

const IDLE_S: u64 = 300;
const LOCAL: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);

/// Spray callers' datagrams over balancers
///
///
/// Every datagram to a service's address goes to one of its balancers, picked at random. Each caller gets a socket of
/// its own on the fabric's IP; what arrives there, from anybody, is sent to the caller from the service's address.
///
///
/// Admin calls: PUT /routes with {"SERVICE":["BALANCER",...],...} replaces all routes, PUT /faults takes a JSON object
/// with the names of the flags (with "_" for "-"), {} clears them; GET /routes, /faults, /counts.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(command)]
pub struct Fabric {
    /// Service and its balancers, each IP:PORT; repeatable
    #[bpaf(argument::<String>("SERVICE=BALANCER,..."), parse(|it: String| route(&it)), many)]
    pub route: Vec<(SocketAddr, Vec<SocketAddr>)>,
    /// Address of the admin calls; port 0 picks one
    #[bpaf(argument("IP:PORT"))]
    pub admin: SocketAddr,
    /// IP of the sockets held for callers
    #[bpaf(argument("IP"), fallback(LOCAL), display_fallback)]
    pub ip: IpAddr,
    /// Seconds after which a silent caller is forgotten
    #[bpaf(argument("SECONDS"), fallback(IDLE_S), display_fallback)]
    pub idle_s: u64,
    /// Seed of the choice of balancers and of the random faults
    #[bpaf(argument("N"), fallback(1), display_fallback)]
    pub seed: u64,
    /// Faults in force from the start
    #[bpaf(external(faults))]
    pub faults: Faults,
}

impl Fabric {
    /// Runs the subcommand until a signal.
    pub async fn run(self) -> anyhow::Result<ExitCode> {
        self.faults.check().map_err(|e| anyhow!("faults: {e}"))?;
        ensure!(self.idle_s > 0, "--idle-s: must be above 0");
        let mut stop = Stop::new()?;
        let routes: Routes = self.route.into_iter().collect();
        let idle = Duration::from_secs(self.idle_s);
        let fabric =
            fabric::Fabric::start(self.admin, &routes, self.ip, idle, self.seed, self.faults)
                .await?;
        println!("fabric on {}", fabric.admin());
        stop.wait().await;
        Ok(ExitCode::SUCCESS)
    }
}

fn route(text: &str) -> Result<(SocketAddr, Vec<SocketAddr>), String> {
    let (service, balancers) =
        text.split_once('=').ok_or_else(|| format!("{text:?} is not SERVICE=BALANCER,..."))?;
    let addr = |it: &str| it.parse().map_err(|_| format!("{it:?} is no IP:PORT"));
    let list = balancers.split(',').filter(|it| !it.is_empty());
    Ok((addr(service)?, list.map(addr).collect::<Result<_, _>>()?))
}
