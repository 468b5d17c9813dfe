//! Starts nodes as processes, with the command of the deploy file and the settings of a small site.

use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

use crate::http::call;
use crate::record::Record;

/// Processes that were started and not ended yet.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends the processes of a case that takes too long.
pub fn end_all() {
    for id in STARTED.lock().map(|ids| ids.clone()).unwrap_or_default() {
        let _ = Command::new("kill").args(["-KILL", &id.to_string()]).status();
    }
}

pub struct Node {
    pub name: String,
    place: u8,
    pub front: SocketAddr,
    ready: SocketAddr,
    child: Child,
}

/// Loopback addresses and ports of one run of a case.
pub struct Network {
    base: [u8; 2],
    port: u16,
}

impl Network {
    /// Picks loopback addresses and ports that are free.
    pub fn pick() -> Network {
        let mut seed = std::process::id();
        loop {
            seed = seed.wrapping_mul(1_664_525).wrapping_add(1_013_904_223);
            let base = [(seed >> 8) as u8 % 200 + 20, (seed >> 16) as u8];
            let port = 20_000 + (seed >> 12) as u16 % 10_000;
            let network = Network { base, port };
            if (0..8).all(|offset| TcpListener::bind(network.address(1, offset)).is_ok()) {
                return network;
            }
        }
    }

    pub fn ip(&self, host: u8) -> IpAddr {
        Ipv4Addr::new(127, self.base[0], self.base[1], host).into()
    }

    pub fn address(&self, host: u8, offset: u16) -> SocketAddr {
        SocketAddr::new(self.ip(host), self.port + offset)
    }
}

pub struct Site {
    pub zones: &'static [&'static str],
    pub heartbeat_ms: u64,
    pub bounds: &'static str,
}

/// The command of the deploy file, split at spaces.
fn deployed_command(root: &Path) -> Option<Vec<String>> {
    let text = std::fs::read_to_string(root.join("deploy/system.toml")).ok()?;
    let line = text.lines().find_map(|line| line.strip_prefix("run = \""))?;
    Some(line.trim_end_matches('"').split(' ').map(str::to_string).collect())
}

pub struct Fleet {
    pub nodes: Vec<Node>,
    folder: PathBuf,
}

impl Fleet {
    /// Starts nodes and waits until they say that they are ready.
    pub fn start(root: &Path, network: &Network, site: &Site, store: SocketAddr, count: u8, record: &Record) -> Option<Fleet> {
        let command = deployed_command(root)?;
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        std::fs::create_dir_all(&folder).ok()?;
        let mut fleet = Fleet { nodes: Vec::new(), folder };
        for index in 0..count {
            let node = fleet.start_node(root, &command, network, site, store, (index, index, true))?;
            record.line("platform", &format!("starts {} at {}", node.name, node.front));
            fleet.nodes.push(node);
        }
        let until = Instant::now() + Duration::from_secs(15);
        while !fleet.nodes.iter().all(Node::is_ready) {
            if Instant::now() > until {
                return None;
            }
            thread::sleep(Duration::from_millis(100));
        }
        record.line("platform", "all nodes are ready");
        Some(fleet)
    }

    fn start_node(&self, root: &Path, command: &[String], network: &Network, site: &Site, store: SocketAddr, (index, place, is_first_start): (u8, u8, bool)) -> Option<Node> {
        let host = 10 + place;
        let zone = site.zones[index as usize % site.zones.len()];
        let name = format!("edge-{zone}-{}", index + 1);
        let at = |offset| network.address(host, offset);
        let first = network.address(host, 4).port();
        let text = format!(
            r#"{{"nodeName":"{name}","role":"node","machineClass":"edge","serves":["edge","registry"],"ip":"{}","zone":"{zone}",
"region":"r","listen":{{"frontend":"{}","ready":"{}","controlPlane":"{}","directory":"{}"}},
"internalPorts":[{first},{}],"seeds":[],"bootstrap":{},"inTolerance":false,
"limits":{{"cpuShare":0.25,"cpuCores":1,"memoryMb":260,"maxFds":4100,"linkMbps":1000.0,"diskMb":0}},"dataDir":null,
"discovery":"platform","entry":"registry","heartbeatMs":{},
"contracts":["base","drain","config","cost","retry","recover","fleet","stream","engine","platform"],
"faultTolerance":{{"machines":1,"zones":0,"regions":0}},"bounds":{},
"platform":{{"address":"{store}","form":"kv","writesPerS":400,"readsPerS":2000,"historyS":20,"maxValueBytes":1048576,"minTtlMs":1000}}}}"#,
            network.ip(host), at(0), at(1), at(2), at(3), first + 15, is_first_start, site.heartbeat_ms, site.bounds
        );
        let settings = self.folder.join(format!("{name}-{place}.json"));
        std::fs::write(&settings, text).ok()?;
        let log = std::fs::File::create(self.folder.join(format!("{name}-{place}.log"))).ok()?;
        let errors = log.try_clone().ok()?;
        let child = Command::new(root.join(&command[0]))
            .args(&command[1..])
            .current_dir(root)
            .env("CROFTRILL_SETTINGS", &settings)
            .stdin(Stdio::null())
            .stdout(Stdio::from(log))
            .stderr(Stdio::from(errors))
            .spawn()
            .ok()?;
        STARTED.lock().ok()?.push(child.id());
        Some(Node { name, place, front: at(0), ready: at(1), child })
    }

    /// Ends a node for good, and starts another machine of the same name at a new address.
    pub fn replace(&mut self, root: &Path, network: &Network, site: &Site, store: SocketAddr, index: u8, pause: Duration) -> Option<()> {
        let node = self.nodes.get_mut(index as usize)?;
        let _ = node.child.kill();
        let _ = node.child.wait();
        thread::sleep(pause);
        let node = self.start_node(root, &deployed_command(root)?, network, site, store, (index, index + 30, false))?;
        self.nodes.push(node);
        Some(())
    }

    /// Kills all nodes at the same moment and starts them again, each on its machine.
    pub fn restart_all(&mut self, root: &Path, network: &Network, site: &Site, store: SocketAddr, pause: Duration) -> Option<()> {
        for node in &mut self.nodes {
            let _ = node.child.kill();
        }
        for node in &mut self.nodes {
            let _ = node.child.wait();
        }
        thread::sleep(pause);
        let count = self.nodes.len() as u8;
        self.nodes.clear();
        for index in 0..count {
            let node = self.start_node(root, &deployed_command(root)?, network, site, store, (index, index, false))?;
            self.nodes.push(node);
        }
        Some(())
    }

    /// Returns the lines of all nodes' logs that hold one of these words.
    pub fn log_lines(&self, words: &[&str]) -> Vec<String> {
        let mut lines = Vec::new();
        for node in &self.nodes {
            let text = std::fs::read_to_string(self.folder.join(format!("{}-{}.log", node.name, node.place))).unwrap_or_default();
            let picked = text.lines().filter(|line| words.iter().any(|word| line.contains(word)));
            lines.extend(picked.map(|line| format!("{}: {line}", node.name)));
        }
        lines
    }
}

impl Node {
    fn is_ready(&self) -> bool {
        let host = [("Host", "node".to_string()), ("Connection", "close".to_string())];
        call(self.ready, "GET", "/v1/readyz", &host, b"", Duration::from_secs(1)).status() == Some(200)
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for node in &mut self.nodes {
            let _ = node.child.kill();
            let _ = node.child.wait();
            if let Ok(mut ids) = STARTED.lock() {
                ids.retain(|id| *id != node.child.id());
            }
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
