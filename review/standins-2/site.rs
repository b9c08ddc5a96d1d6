//! A small deployment on loopback addresses.

use std::{
    fs,
    net::{Ipv4Addr, SocketAddrV4},
    path::PathBuf,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    consumer::{Consumers, Routers},
    platform,
    process::{APP_PORT, Machine, Process, READY_PORT, STORE_PORT},
    record::Record,
    store::Store,
    target::Target,
};

pub const FRONTS: u8 = 2;

/// Where a route's address is.
pub fn route_address(port: u16) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), port)
}

pub struct Site {
    pub record: Record,
    pub store: Store,
    pub fronts: Vec<Process>,
    pub sides: Vec<Process>,
    pub targets: Vec<Target>,
    pub consumers: Consumers,
    pub routers: Routers,
    folder: PathBuf,
    stop: Arc<AtomicBool>,
    net: [u8; 2],
}

impl Site {
    /// Starts the store with a first configuration, two fronts, and a side machine with a target for each of
    /// `services`; waits until the fronts are in rotation.
    pub fn start(config: &str, services: &[&str], record: &Record) -> Result<Site, String> {
        Site::start_with(config, services, 0, record, |at, ip, zone| {
            Target::start(&format!("i-{at}-1"), ip, services[at], zone, record)
        })
    }

    /// Starts a site whose first `empty` side machines have no target yet.
    pub fn start_with<F>(
        config: &str,
        services: &[&str],
        empty: usize,
        record: &Record,
        start_target: F,
    ) -> Result<Site, String>
    where
        F: Fn(usize, Ipv4Addr, &str) -> std::io::Result<Target>,
    {
        let id = std::process::id();
        let net = [64 + (id / 250 % 60) as u8, 1 + (id % 250) as u8];
        let ip = |host: u8| Ipv4Addr::new(127, net[0], net[1], host);
        let failed = |what: &str| {
            let what = what.to_owned();
            move |e: std::io::Error| format!("{what}: {e}")
        };
        let folder = std::env::temp_dir().join(format!("camphorwinch-review-2-{id}"));
        fs::create_dir_all(&folder).map_err(failed("temporary folder"))?;
        let stop = Arc::new(AtomicBool::new(false));
        let store = SocketAddrV4::new(ip(200), STORE_PORT);
        let store = Store::start(store).map_err(failed("store"))?;
        store.put("config", "main", config);
        let seeds: Vec<Ipv4Addr> = (0..FRONTS).map(|it| ip(10 + it)).collect();
        let machine = |name: String, host: u8, zone: &str, service: Option<&str>| Machine {
            name,
            ip: ip(host),
            zone: zone.to_owned(),
            service: service.map(str::to_owned),
            seeds: seeds.clone(),
            store: ip(200),
        };
        let zones = ["za", "zb"];
        let fronts: Vec<Process> = (0..FRONTS)
            .map(|it| machine(format!("front-{it}"), 10 + it, "za", None))
            .map(|it| Process::new(it, &folder))
            .collect();
        let sides: Vec<Process> = services
            .iter()
            .enumerate()
            .map(|(at, it)| machine(format!("side-{at}"), 50 + at as u8, zones[at % 2], Some(it)))
            .map(|it| Process::new(it, &folder))
            .collect();
        let routers = Routers::start(seeds.clone(), stop.clone(), record);
        let consumers = Consumers::start(ip(240), routers.clone(), stop.clone(), record)
            .map_err(failed("consumers"))?;
        let mut site = Site {
            record: record.clone(),
            store,
            fronts,
            sides,
            targets: Vec::new(),
            consumers,
            routers,
            folder,
            stop,
            net,
        };
        for at in empty..services.len() {
            let ip = site.side_ip(at);
            site.serve_health(at)?;
            let target = start_target(at, ip, zones[at % 2]);
            site.targets.push(target.map_err(failed("target"))?);
        }
        for it in site.fronts.iter_mut().chain(&mut site.sides) {
            it.start(true).map_err(failed("camphorwinch-platform"))?;
        }
        site.wait_for_rotation()?;
        Ok(site)
    }

    /// Serves the status checks of all boots at this address from now on.
    pub fn serve_health(&self, at: usize) -> Result<(), String> {
        let health = SocketAddrV4::new(self.side_ip(at), APP_PORT);
        let served = platform::serve(health, |_| Some((200, String::new())));
        served.map_err(|e| format!("target: {e}"))
    }

    pub fn side_ip(&self, at: usize) -> Ipv4Addr {
        Ipv4Addr::new(127, self.net[0], self.net[1], 50 + at as u8)
    }

    /// Waits until all fronts have answered their readiness with 200, and then for two seconds.
    pub fn wait_for_rotation(&self) -> Result<(), String> {
        let until = Instant::now() + Duration::from_secs(15);
        while Instant::now() < until {
            let ready = self.fronts.iter().all(|it| {
                let address = SocketAddrV4::new(it.machine.ip, READY_PORT);
                platform::call(address, "GET", "/-/readiness", "") == Some(200)
            });
            if ready && self.routers.in_rotation().len() == self.fronts.len() {
                thread::sleep(Duration::from_secs(2));
                return Ok(());
            }
            thread::sleep(Duration::from_millis(100));
        }
        Err("the fronts did not get ready".to_owned())
    }

    /// Waits until this time of the record.
    pub fn wait_until(&self, at_ms: u64) {
        let left = at_ms.saturating_sub(self.record.now_ms());
        thread::sleep(Duration::from_millis(left));
    }

    /// Writes lines of the processes' logs about flows to the record.
    pub fn record_logs(&self, words: &[&str]) {
        for it in self.fronts.iter().chain(&self.sides) {
            for line in it.log_lines(words) {
                self.record.line(&format!("log of {}: {line}", it.machine.name));
            }
        }
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
        for it in self.fronts.iter_mut().chain(&mut self.sides) {
            it.kill();
        }
        let keep = std::env::var_os("KEEP_LOGS").is_some();
        if !keep {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}
