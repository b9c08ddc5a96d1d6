//! The `fabric` subcommand.

use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    process::ExitCode,
    time::Duration,
};

use anyhow::{anyhow, ensure};
use bpaf::Bpaf;

use crate::{
    fabric::{self, Faults, Routes, faults},
    signals::StopSignal,
};

const DEFAULT_IDLE_S: u64 = 300;
const DEFAULT_IP: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);

/// Distribute callers' datagrams over balancers
///
///
/// Forwards every datagram for a service's address to one of its balancers, chosen at random. Each caller has a socket
/// of its own on the fabric's IP; datagrams received there, from any sender, go to the caller from the service's
/// address.
///
///
/// Admin API: PUT /routes with {"SERVICE":["BALANCER",...],...} replaces all routes, PUT /faults takes a JSON object
/// with the names of the flags ("_" for "-"), {} clears them; GET /routes, /faults, /counts.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(command)]
pub struct Fabric {
    /// Service and its balancers, each IP:PORT; repeatable
    #[bpaf(argument::<String>("SERVICE=BALANCER,..."), parse(|it: String| parse_route(&it)), many)]
    pub route: Vec<(SocketAddr, Vec<SocketAddr>)>,
    /// Address of the admin API; port 0 selects a free port
    #[bpaf(argument("IP:PORT"))]
    pub admin: SocketAddr,
    /// IP of the sockets for callers
    #[bpaf(argument("IP"), fallback(DEFAULT_IP), display_fallback)]
    pub ip: IpAddr,
    /// Seconds after which an idle caller's socket is closed
    #[bpaf(argument("SECONDS"), fallback(DEFAULT_IDLE_S), display_fallback)]
    pub idle_s: u64,
    /// Seed of the random number generator
    #[bpaf(argument("N"), fallback(1), display_fallback)]
    pub seed: u64,
    /// Initial faults
    #[bpaf(external(faults))]
    pub faults: Faults,
}

impl Fabric {
    /// Runs the fabric until SIGTERM or Ctrl-C.
    pub async fn run(self) -> anyhow::Result<ExitCode> {
        self.faults.check().map_err(|e| anyhow!("faults: {e}"))?;
        ensure!(self.idle_s > 0, "--idle-s: must be above 0");
        let mut stop = StopSignal::new()?;
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

fn parse_route(text: &str) -> Result<(SocketAddr, Vec<SocketAddr>), String> {
    let (service, balancers) =
        text.split_once('=').ok_or_else(|| format!("{text:?} is not SERVICE=BALANCER,..."))?;
    let addr = |it: &str| it.parse().map_err(|_| format!("{it:?} is not IP:PORT"));
    let list = balancers.split(',').filter(|it| !it.is_empty());
    Ok((addr(service)?, list.map(addr).collect::<Result<_, _>>()?))
}
