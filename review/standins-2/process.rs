//! Starts and signals the project's own programs with the commands of the deploy file.

use std::{
    fs::{self, File},
    io,
    net::Ipv4Addr,
    os::unix::process::CommandExt,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

pub const PEER_PORT: u16 = 17_820;
pub const LAST_PEER_PORT: u16 = 17_835;
pub const READY_PORT: u16 = 17_867;
pub const CONTROL_PORT: u16 = 17_866;
pub const DATA_PORT: u16 = 17_872;
pub const OUTBOUND_PORT: u16 = 17_862;
pub const APP_PORT: u16 = 17_865;
pub const STORE_PORT: u16 = 17_869;

pub const SIGTERM: i32 = 15;

const SIGKILL: u64 = 9;
/// Option of `prctl`: the signal that a process gets when its parent ends.
const PR_SET_PDEATHSIG: i32 = 1;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, ...) -> i32;
}

/// What a process is told in its settings file.
#[derive(Clone)]
pub struct Machine {
    pub name: String,
    pub ip: Ipv4Addr,
    pub zone: String,
    /// Service of the target beside it; none on a `front` machine.
    pub service: Option<String>,
    pub seeds: Vec<Ipv4Addr>,
    pub store: Ipv4Addr,
}

pub struct Process {
    pub machine: Machine,
    folder: PathBuf,
    child: Option<Child>,
}

impl Process {
    pub fn new(machine: Machine, folder: &Path) -> Process {
        Process { machine, folder: folder.to_owned(), child: None }
    }

    pub fn start(&mut self, first: bool) -> io::Result<()> {
        let settings = self.folder.join(format!("{}.toml", self.machine.name));
        fs::write(&settings, self.settings(first))?;
        let log = self.folder.join(format!("{}.log", self.machine.name));
        let log = File::options().create(true).append(true).open(log)?;
        let role = if self.machine.service.is_some() { "agent" } else { "balancer" };
        let mut command = Command::new("target/release/camphorwinch-platform");
        command.args([role, "--metrics-port", "9464"]).env_clear();
        for name in ["PATH", "HOME", "LANG"] {
            if let Some(value) = std::env::var_os(name) {
                command.env(name, value);
            }
        }
        command.env("CAMPHORWINCH_NODE_FILE", settings).stdin(Stdio::null());
        command.stderr(log.try_clone()?).stdout(log);
        // SAFETY: `prctl` only sets a property of the new process, so that it never outlives this program.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL);
                Ok(())
            });
        }
        self.child = Some(command.spawn()?);
        Ok(())
    }

    /// Sends a signal to the process, which this program started.
    pub fn signal(&self, signal: i32) {
        if let Some(child) = &self.child {
            // SAFETY: the call takes two integers and has no effect on this process's memory.
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    /// Stops the process as the platform does: SIGTERM, and SIGKILL after 6 s. Returns whether it ended in time.
    pub fn stop(&mut self) -> bool {
        self.signal(SIGTERM);
        let until = Instant::now() + Duration::from_secs(6);
        while let Some(child) = &mut self.child {
            if matches!(child.try_wait(), Ok(Some(_))) {
                self.child = None;
                return true;
            }
            if Instant::now() > until {
                self.kill();
                return false;
            }
            thread::sleep(Duration::from_millis(10));
        }
        true
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Lines of its log that contain one of the words.
    pub fn log_lines(&self, words: &[&str]) -> Vec<String> {
        let log = self.folder.join(format!("{}.log", self.machine.name));
        let text = fs::read_to_string(log).unwrap_or_default();
        let has_word = |it: &&str| words.iter().any(|word| it.contains(word));
        text.lines().filter(has_word).map(str::to_owned).collect()
    }

    fn settings(&self, first: bool) -> String {
        let Machine { name, ip, zone, service, seeds, store } = &self.machine;
        let seeds: Vec<String> =
            seeds.iter().map(|it| format!("\"{it}:{CONTROL_PORT}\"")).collect();
        let seeds = seeds.join(",");
        let (class, serves, own, listen, limits) = match service {
            None => (
                "front",
                "\"front\",\"control\"",
                String::new(),
                String::new(),
                "cpu-share = 0.25\ncores = 1\nmemory-mb = 260\nmax-fds = 4100",
            ),
            Some(service) => (
                "side",
                "\"side\"",
                format!("app = \"{ip}:{APP_PORT}\"\nservice = \"{service}\"\n"),
                format!("outbound = \"{ip}:{OUTBOUND_PORT}\"\n"),
                "cpu-share = 0.15\ncores = 1\nmemory-mb = 128\nmax-fds = 4096",
            ),
        };
        format!(
            "node-name = \"{name}\"\nrole = \"{class}\"\nmachine-class = \"{class}\"\n\
             serves = [{serves}]\nip = \"{ip}\"\nzone = \"{zone}\"\nregion = \"r\"\n\
             internal-ports = [{PEER_PORT},{LAST_PEER_PORT}]\nseeds = [{seeds}]\n\
             bootstrap = {first}\nin-fault-budget = false\ndiscovery = \"local\"\n\
             entry-point = \"announce\"\nheartbeat-ms = 1200\n\
             contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"flows\",\"platform\"]\n\
             ecmp-hash = \"steady\"\nforwarding-mode = \"agent\"\n{own}\
             [zones]\nza = \"r\"\nzb = \"r\"\n\
             [listen]\ndatagram-addr = \"{ip}:{DATA_PORT}\"\nreadiness-addr = \"{ip}:{READY_PORT}\"\n\
             control = \"{ip}:{CONTROL_PORT}\"\n{listen}\
             [limits]\n{limits}\nlink-mbps = 1000.0\ndisk-mb = 0\n\
             [fault-tolerance]\nmachines = 1\nzones = 0\nregions = 0\n\
             [bounds]\nseed-lag-s = 3\naddr-reuse-s = 2\nstable-window-ms = 4000\nack-ms = 5000\n\
             sync-time-s = 4\ndrain-ms = 3000\ngrace-s = 6\nloss-slack-ms = 200\n\
             config-apply-ms = 3000\ndowngrade-ms = 250\nmax-stretch-ms = 12000\nrecovery-s = 12\n\
             reorder-ms = 2000\nmax-flow-s = 60\n\
             [platform]\naddress = \"{store}:{STORE_PORT}\"\nforwarding-mode = \"objects\"\n\
             writes-per-s = 400\nreads-per-s = 2000\nhistory-s = 20\nvalue-bytes = 1048576\n\
             min-ttl-ms = 1000\n"
        )
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
