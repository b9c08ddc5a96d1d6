//! The deployment: addresses, settings files, and the project's processes with the commands of the deploy file.

use std::{
    fs,
    net::{Ipv4Addr, SocketAddrV4, TcpListener, UdpSocket},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::Mutex,
    thread,
    time::{Duration, Instant},
};

use crate::record::Record;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub const SIGTERM: i32 = 15;
/// Port of the metrics in the deploy file.
const METRICS_PORT: u16 = 9_464;
/// Interval between heartbeats, as in the small deployment.
pub const HEARTBEAT: Duration = Duration::from_millis(770);
/// Bound `grace-s` of the deployment.
const GRACE: Duration = Duration::from_secs(6);
pub const SERVICE: &str = "huvo11a";

/// Addresses of a run. All machines are loopback addresses of one network.
#[derive(Debug)]
pub struct Site {
    net: u32,
    port: u16,
    folder: PathBuf,
}

impl Site {
    /// Picks a loopback network and ports that are free, and a temporary folder.
    pub fn new(machines: u16) -> Result<Site, String> {
        let pid = std::process::id();
        for attempt in 0..50_u32 {
            let pick = pid.wrapping_mul(2_654_435_761).wrapping_add(attempt.wrapping_mul(40_503));
            // The last 12 bits number the machines.
            let net = 0x7f01_0000 | (pick & 0x007e_f000);
            let port = 20_000 + (pick % 10_000) as u16;
            let folder = std::env::temp_dir().join(format!("camphorwinch-review-{pid}-{attempt}"));
            let site = Site { net, port, folder };
            if (1..=machines).all(|it| site.is_free(it)) && fs::create_dir_all(&site.folder).is_ok()
            {
                return Ok(site);
            }
        }
        Err("no free loopback network".to_owned())
    }

    fn is_free(&self, host: u16) -> bool {
        let ip = self.ip(host);
        let ports = (0..10).map(|it| self.port + it).chain([METRICS_PORT]);
        ports
            .into_iter()
            .all(|it| TcpListener::bind((ip, it)).is_ok() && UdpSocket::bind((ip, it)).is_ok())
    }

    pub fn ip(&self, host: u16) -> Ipv4Addr {
        Ipv4Addr::from_bits(self.net | u32::from(host))
    }

    fn at(&self, host: u16, offset: u16) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip(host), self.port + offset)
    }

    pub fn store(&self) -> SocketAddrV4 {
        self.at(1, 9)
    }

    /// Address for packets of consumers.
    pub fn data(&self, host: u16) -> SocketAddrV4 {
        self.at(host, 1)
    }

    pub fn readiness(&self, host: u16) -> SocketAddrV4 {
        self.at(host, 2)
    }

    pub fn control(&self, host: u16) -> SocketAddrV4 {
        self.at(host, 3)
    }

    pub fn outbound(&self, host: u16) -> SocketAddrV4 {
        self.at(host, 4)
    }

    pub fn app(&self, host: u16) -> SocketAddrV4 {
        self.at(host, 5)
    }

    fn settings(&self, role: Role, host: u16, seeds: &[u16], bootstrap: bool) -> String {
        let seeds: Vec<_> = seeds.iter().map(|it| format!("\"{}\"", self.control(*it))).collect();
        let (class, serves, own, listen) = match role {
            Role::Balancer => ("front", "\"front\",\"control\"", String::new(), String::new()),
            Role::Agent => (
                "side",
                "\"side\"",
                format!("app = \"{}\"\nservice = \"{SERVICE}\"\n", self.app(host)),
                format!("outbound = \"{}\"\n", self.outbound(host)),
            ),
        };
        format!(
            "node-name = \"{class}-austin-yard-{host}\"\nrole = \"{}\"\nmachine-class = \"{class}\"\n\
             serves = [{serves}]\nip = \"{}\"\nzone = \"austin-yard\"\nregion = \"central-tx\"\n\
             internal-ports = [{},{}]\nseeds = [{}]\nbootstrap = {bootstrap}\nin-fault-budget = false\n\
             discovery = \"local\"\nentry-point = \"announce\"\nheartbeat-ms = {}\n\
             contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"flows\",\"platform\"]\n\
             ecmp-hash = \"steady\"\nforwarding-mode = \"agent\"\n{own}[zones]\n\
             austin-yard = \"central-tx\"\n[listen]\ndatagram-addr = \"{}\"\nreadiness-addr = \"{}\"\n\
             control = \"{}\"\n{listen}[limits]\ncpu-share = 0.25\ncores = 1\nmemory-mb = 260\n\
             max-fds = 4100\nlink-mbps = 1000.0\ndisk-mb = 0\n[fault-tolerance]\nmachines = 1\nzones = 0\n\
             regions = 0\n[bounds]\nseed-lag-s = 3\naddr-reuse-s = 2\nstable-window-ms = 4000\n\
             ack-ms = 5000\nsync-time-s = 4\ndrain-ms = 3000\ngrace-s = 6\nloss-slack-ms = 200\n\
             config-apply-ms = 3000\ndowngrade-ms = 250\nmax-stretch-ms = 12000\nrecovery-s = 12\n\
             reorder-ms = 2000\nmax-flow-s = 60\n[platform]\naddress = \"{}\"\n\
             forwarding-mode = \"objects\"\nwrites-per-s = 400\nreads-per-s = 2000\nhistory-s = 20\n\
             value-bytes = 1048576\nmin-ttl-ms = 1000\n",
            role.as_str(),
            self.ip(host),
            self.port + 6,
            self.port + 8,
            seeds.join(","),
            HEARTBEAT.as_millis(),
            self.data(host),
            self.readiness(host),
            self.control(host),
            self.store(),
        )
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.folder);
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    Balancer,
    Agent,
}

impl Role {
    fn as_str(self) -> &'static str {
        match self {
            Role::Balancer => "balancer",
            Role::Agent => "agent",
        }
    }
}

/// One of the project's processes. Ends with this value.
pub struct Process {
    role: Role,
    pub host: u16,
    settings: PathBuf,
    log: PathBuf,
    child: Mutex<Option<Child>>,
    record: Record,
}

impl Process {
    pub fn start(
        site: &Site,
        role: Role,
        host: u16,
        seeds: &[u16],
        bootstrap: bool,
        record: &Record,
    ) -> Result<Process, String> {
        let settings = site.folder.join(format!("{host}.toml"));
        let text = site.settings(role, host, seeds, bootstrap);
        fs::write(&settings, text).map_err(|e| e.to_string())?;
        let log = site.folder.join(format!("{host}.log"));
        let child = Mutex::new(None);
        let process = Process { role, host, settings, log, child, record: record.clone() };
        process.spawn()?;
        Ok(process)
    }

    /// Starts the program with the command of the deploy file.
    pub fn spawn(&self) -> Result<(), String> {
        let log = fs::OpenOptions::new().append(true).create(true).open(&self.log);
        let log = log.map_err(|e| e.to_string())?;
        let child = Command::new("target/release/camphorwinch-platform")
            .args([self.role.as_str(), "--metrics-port", "9464"])
            .env_clear()
            .env("CAMPHORWINCH_NODE_FILE", &self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .spawn()
            .map_err(|e| format!("target/release/camphorwinch-platform: {e}"))?;
        self.record.line(format!("{} {} starts", self.role.as_str(), self.host));
        *self.child.lock().unwrap() = Some(child);
        Ok(())
    }

    /// Stops the process as the platform does: SIGTERM, and SIGKILL after the grace period.
    pub fn stop(&self) {
        let mut child = self.child.lock().unwrap();
        let Some(mut it) = child.take() else {
            return;
        };
        self.record.say(format!("{} {} gets SIGTERM", self.role.as_str(), self.host));
        self.end_bootstrap();
        // SAFETY: signals a child process that has not been waited for.
        unsafe { kill(it.id() as i32, SIGTERM) };
        let until = Instant::now() + GRACE;
        while Instant::now() < until {
            if let Ok(Some(status)) = it.try_wait() {
                self.record.line(format!("{} {} ended: {status}", self.role.as_str(), self.host));
                return;
            }
            thread::sleep(Duration::from_millis(10));
        }
        let _ = it.kill();
        let _ = it.wait();
    }

    /// From now on the settings say that the system does not start for the first time.
    fn end_bootstrap(&self) {
        let text = fs::read_to_string(&self.settings).unwrap_or_default();
        let text = text.replace("bootstrap = true", "bootstrap = false");
        if let Err(e) = fs::write(&self.settings, text) {
            self.record.say(format!("the settings of {} can't be written: {e}", self.host));
        }
    }

    /// Whether the process runs.
    pub fn is_running(&self) -> bool {
        let mut child = self.child.lock().unwrap();
        child.as_mut().is_some_and(|it| matches!(it.try_wait(), Ok(None)))
    }

    /// Copies lines of the process's log that contain one of `words` into the record.
    pub fn quote_log(&self, words: &[&str]) {
        let text = fs::read_to_string(&self.log).unwrap_or_default();
        for line in text.lines().filter(|it| words.iter().any(|word| it.contains(word))).take(40) {
            self.record.line(format!("log of {} {}: {line}", self.role.as_str(), self.host));
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if let Some(mut it) = self.child.lock().unwrap_or_else(|e| e.into_inner()).take() {
            let _ = it.kill();
            let _ = it.wait();
        }
    }
}
