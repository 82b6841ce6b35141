//! The project's own programs as separate processes on loopback addresses, with the settings of a
//! small deployment, and the record of a case.

use {
    crate::http::call,
    std::{
        fs::{self, File},
        io::Write,
        net::{Ipv4Addr, SocketAddr, TcpListener},
        os::unix::process::CommandExt,
        path::PathBuf,
        process::{Child, Command, Stdio, exit},
        sync::{Mutex, OnceLock},
        thread,
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: u64, a: u64, b: u64, c: u64) -> i32;
}

const SIGKILL: u64 = 9;
const SIGTERM: i32 = 15;

/// Option of `prctl`: the signal that this process gets when its parent ends.
const PR_SET_PDEATHSIG: i32 = 1;

const FRONT_PORT: u16 = 8_144;
const READY_PORT: u16 = 8_140;
const CONTROL_PORT: u16 = 8_146;
const DIRECTORY_PORT: u16 = 8_147;
const PEER_PORT: u16 = 7_660;
const METRICS_PORT: u16 = 9_464;

/// Interval of the engines' heartbeats.
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// `stabilityWindowMs`.
pub const STABILITY_WINDOW: Duration = Duration::from_millis(5_000);

/// A case has to end by itself before 120 s.
const WATCHDOG: Duration = Duration::from_secs(112);

pub const HOST: &str = "desk.example";

static STARTED: OnceLock<Instant> = OnceLock::new();
static RECORD: Mutex<Option<File>> = Mutex::new(None);
static CHILDREN: Mutex<Vec<(String, Child)>> = Mutex::new(Vec::new());
static FOLDER: Mutex<Option<PathBuf>> = Mutex::new(None);

/// Time since the start of the case.
pub fn elapsed() -> Duration {
    STARTED.get_or_init(Instant::now).elapsed()
}

/// Writes a line to `record.txt`.
pub fn record(line: &str) {
    let at = elapsed().as_secs_f64();
    if let Some(file) = RECORD.lock().unwrap().as_mut() {
        drop(writeln!(file, "{at:8.3} {line}"));
    }
}

/// Opens the record, and ends the case with code 2 if it does not end by itself.
pub fn begin(path: &str) {
    elapsed();
    *RECORD.lock().unwrap() = File::create(path).ok();
    std::panic::set_hook(Box::new(|info| {
        record(&format!("the test itself failed: {info}"));
        eprintln!("{info}");
        finish(2);
    }));
    thread::spawn(|| {
        thread::sleep(WATCHDOG);
        record("the time limit of the case was reached");
        finish(2);
    });
}

/// Ends all processes that were started, removes the folder and exits.
pub fn finish(code: i32) -> ! {
    if let Ok(mut children) = CHILDREN.lock() {
        for (_, child) in children.iter_mut() {
            drop(child.kill());
            drop(child.wait());
        }
    }
    if let Ok(Some(folder)) = FOLDER.lock().map(|mut folder| folder.take())
        && std::env::var("KEEP").is_err()
    {
        drop(fs::remove_dir_all(folder));
    }
    record(&format!("exit {code}"));
    exit(code)
}

/// Whether the disruption is played.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

/// A region with one zone.
pub struct Region {
    pub name: &'static str,
    pub zone: &'static str,
    pub gateways: usize,
    pub controls: usize,
}

#[derive(Clone)]
pub struct Process {
    pub name: String,
    pub region: &'static str,
    pub ip: Ipv4Addr,
    pub id: u32,
    folder: PathBuf,
}

impl Process {
    pub fn front(&self) -> SocketAddr {
        (self.ip, FRONT_PORT).into()
    }

    pub fn ready(&self) -> SocketAddr {
        (self.ip, READY_PORT).into()
    }

    pub fn control(&self) -> SocketAddr {
        (self.ip, CONTROL_PORT).into()
    }

    /// Resident memory that is the process's own, without its program file, bytes.
    pub fn memory(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.id)).unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with("RssAnon:"));
        let kilobytes = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<u64>().ok());
        kilobytes.unwrap_or(0) << 10
    }

    /// How the process ended, if it did.
    pub fn end(&self) -> Option<String> {
        let mut children = CHILDREN.lock().unwrap();
        let (_, child) = children.iter_mut().find(|(_, child)| child.id() == self.id)?;
        child.try_wait().ok().flatten().map(|status| status.to_string())
    }
}

pub struct Site {
    pub gateways: Vec<Process>,
    pub controls: Vec<Process>,
    block: (u8, u8),
    next_engine: u8,
}

/// A block of loopback addresses of which no port is used.
fn free_block() -> (u8, u8) {
    let seed = SystemTime::now().duration_since(UNIX_EPOCH).map_or(1, |t| t.subsec_nanos());
    for attempt in 0..50_u32 {
        let mixed = (seed ^ std::process::id().wrapping_mul(2_654_435_761))
            .wrapping_add(attempt.wrapping_mul(40_503));
        let block = (64 + (mixed >> 8) as u8 % 150, (mixed >> 20) as u8);
        let ip = Ipv4Addr::new(127, block.0, block.1, 11);
        let ports = [FRONT_PORT, CONTROL_PORT, PEER_PORT, METRICS_PORT, READY_PORT];
        if ports.iter().all(|port| TcpListener::bind((ip, *port)).is_ok()) {
            return block;
        }
    }
    record("no free loopback addresses");
    finish(2)
}

impl Site {
    /// Starts all processes, and returns once the configuration is acknowledged and all gateways
    /// are ready.
    pub fn start(regions: Vec<Region>, memory_mb: u64, config: &str) -> Self {
        let block = free_block();
        let folder =
            std::env::temp_dir().join(format!("review-2-{}-{}", std::process::id(), block.1));
        fs::create_dir_all(&folder).expect("a temporary folder");
        *FOLDER.lock().unwrap() = Some(folder.clone());
        let ip = |host: u8| Ipv4Addr::new(127, block.0, block.1, host);
        let mut plan = Vec::new();
        let (mut control, mut gateway) = (11, 31);
        for region in &regions {
            for _ in 0..region.controls {
                plan.push(("control", region.name, region.zone, ip(control)));
                control += 1;
            }
            for _ in 0..region.gateways {
                plan.push(("gateway", region.name, region.zone, ip(gateway)));
                gateway += 1;
            }
        }
        // One seed of each region where there are several.
        let mut seeds: Vec<Ipv4Addr> = Vec::new();
        for region in &regions {
            let first = plan.iter().find(|p| p.0 == "control" && p.1 == region.name);
            seeds.extend(first.map(|p| p.3));
        }
        let others = plan.iter().filter(|p| p.0 == "control").map(|p| p.3);
        for other in others {
            if seeds.len() < 3 && !seeds.contains(&other) {
                seeds.push(other);
            }
        }
        let zones: String =
            regions.iter().map(|r| format!("{} = \"{}\"\n", r.zone, r.name)).collect();
        let mut site = Self { gateways: Vec::new(), controls: Vec::new(), block, next_engine: 71 };
        for (role, region, zone, ip) in plan {
            let process = start(&folder, role, region, zone, ip, &seeds, &zones, memory_mb);
            match role {
                "control" => site.controls.push(process),
                _ => site.gateways.push(process),
            }
        }
        site.configure(config);
        let began = Instant::now();
        let second = Duration::from_secs(1);
        for gateway in &site.gateways {
            while !call(gateway.ready(), "GET", "/ready", "", second)
                .is_ok_and(|m| m.status() == 200)
            {
                if began.elapsed() > Duration::from_secs(25) {
                    record(&format!("{} does not become ready", gateway.name));
                    finish(2);
                }
                thread::sleep(Duration::from_millis(100));
            }
        }
        record("all gateways are ready");
        site
    }

    /// Sends a configuration until it is acknowledged.
    pub fn configure(&self, text: &str) {
        for control in self.controls.iter().cycle().take(80) {
            let reply = call(control.control(), "PUT", "/config", text, Duration::from_secs(1));
            match reply {
                Ok(reply) if reply.status() == 200 => {
                    return record(&format!("configuration acknowledged by {}", control.name));
                }
                Ok(reply) if reply.status() < 500 => {
                    let text = String::from_utf8_lossy(&reply.body).into_owned();
                    record(&format!("configuration refused: {} {text}", reply.status()));
                    finish(2);
                }
                _ => thread::sleep(Duration::from_millis(250)),
            }
        }
        record("no control process acknowledges the configuration");
        finish(2)
    }

    /// An address for an engine.
    pub fn engine_address(&mut self) -> SocketAddr {
        let host = self.next_engine;
        self.next_engine += 1;
        (Ipv4Addr::new(127, self.block.0, self.block.1, host), 8_304).into()
    }

    pub fn control_addresses(&self) -> Vec<SocketAddr> {
        self.controls.iter().map(Process::control).collect()
    }

    /// Stops a gateway with SIGTERM and, once it has ended, starts it again, as planned work does.
    pub fn restart(&mut self, index: usize, grace: Duration) {
        let gateway = &mut self.gateways[index];
        record(&format!("{} gets SIGTERM", gateway.name));
        unsafe { kill(gateway.id as i32, SIGTERM) };
        let began = Instant::now();
        while gateway.end().is_none() && began.elapsed() < grace {
            thread::sleep(Duration::from_millis(50));
        }
        gateway.id = spawn(&gateway.folder, "gateway", &gateway.name);
        let second = Duration::from_secs(1);
        let is_ready =
            || call(gateway.ready(), "GET", "/ready", "", second).is_ok_and(|m| m.status() == 200);
        while !is_ready() && began.elapsed() < grace * 2 {
            thread::sleep(Duration::from_millis(50));
        }
        record(&format!("{} is back", gateway.name));
    }

    /// Records processes that ended by themselves, and returns their number.
    pub fn ended(&self) -> usize {
        let mut count = 0;
        for process in self.gateways.iter().chain(&self.controls) {
            if let Some(status) = process.end() {
                record(&format!("{} has ended: {status}", process.name));
                count += 1;
            }
        }
        count
    }
}

fn spawn(folder: &PathBuf, role: &str, name: &str) -> u32 {
    let log = File::options()
        .create(true)
        .append(true)
        .open(folder.join("log"))
        .expect("a log of the process");
    let errors = log.try_clone().expect("a second handle");
    let mut command = Command::new("target/release/gullglade");
    command
        .args(["on-platform", role])
        .env("GULLGLADE_CONFIG", folder.join("local.toml"))
        .env("GULLGLADE_METRICS_PORT", METRICS_PORT.to_string())
        .stdin(Stdio::null())
        .stdout(log)
        .stderr(errors);
    unsafe {
        command.pre_exec(|| {
            prctl(PR_SET_PDEATHSIG, SIGKILL, 0, 0, 0);
            Ok(())
        })
    };
    let child = match command.spawn() {
        Ok(child) => child,
        Err(error) => {
            record(&format!("target/release/gullglade does not start: {error}"));
            finish(2)
        }
    };
    let id = child.id();
    CHILDREN.lock().unwrap().push((name.to_owned(), child));
    id
}

#[allow(clippy::too_many_arguments)]
fn start(
    folder: &PathBuf,
    role: &'static str,
    region: &'static str,
    zone: &'static str,
    ip: Ipv4Addr,
    seeds: &[Ipv4Addr],
    zones: &str,
    memory_mb: u64,
) -> Process {
    let name = format!("{role}-{zone}-{}", ip.octets()[3]);
    let folder = folder.join(&name);
    fs::create_dir_all(folder.join("data")).expect("a folder of the process");
    let seeds: Vec<_> = seeds.iter().map(|seed| format!("\"{seed}:{CONTROL_PORT}\"")).collect();
    let (class, serves, listen, disk, limits) = match role {
        "control" => (
            "core",
            "\"control\",\"directory\"",
            format!("control = \"{ip}:{CONTROL_PORT}\"\ndirectory = \"{ip}:{DIRECTORY_PORT}\"\n"),
            format!("dataDir = \"{}\"\n", folder.join("data").display()),
            "cpuShare = 0.6\nmemoryMb = 256\nmaxFds = 4096\ndiskMb = 128\n".to_owned(),
        ),
        _ => (
            "edge",
            "\"edge\"",
            format!("front = \"{ip}:{FRONT_PORT}\"\nready = \"{ip}:{READY_PORT}\"\n"),
            String::new(),
            format!("cpuShare = 0.25\nmemoryMb = {memory_mb}\nmaxFds = 4100\ndiskMb = 0\n"),
        ),
    };
    let settings = format!(
        "nodeName = \"{name}\"\nrole = \"{role}\"\nmachineClass = \"{class}\"\nserves = [{serves}]\n\
         ip = \"{ip}\"\nzone = \"{zone}\"\nregion = \"{region}\"\n\
         portRange = [{PEER_PORT},{}]\nseeds = [{}]\nbootstrap = true\ninTolerance = {}\n\
         discovery = \"registry\"\nentry = \"directory\"\nheartbeatMs = {}\n\
         contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"engine\",\
         \"stream\",\"places\"]\nconfigMode = \"highest\"\n{disk}[zones]\n{zones}[listen]\n{listen}\
         [limits]\ncores = 1\nlinkMbps = 1000.0\n{limits}[tolerate]\nmachines = 2\nzones = 1\n\
         regions = 1\n[bounds]\nseedLagS = 3\nreuseAfterS = 2\nstabilityWindowMs = {}\n\
         ackMs = 6000\ncatchUpS = 4\ndrainMs = 3000\ngraceS = 8\nlossSlackMs = 200\n\
         configApplyMs = 3000\nrollbackSlackMs = 250\nmaxStretchMs = 8000\nbudgetRatio = 0.2\n\
         budgetWindowS = 10\nbudgetSlack = 58\ncoldOver = 1.5\ncoldSlack = 3\nevacuateMs = 5000\n\
         recoveryS = 12\npassMs = 600\nreuseWindowS = 10\nttl_max_s = 5\n",
        PEER_PORT + 15,
        seeds.join(","),
        role == "control",
        HEARTBEAT.as_millis(),
        STABILITY_WINDOW.as_millis(),
    );
    fs::write(folder.join("local.toml"), settings).expect("the settings of the process");
    let id = spawn(&folder, role, &name);
    Process { name, region, ip, id, folder }
}
