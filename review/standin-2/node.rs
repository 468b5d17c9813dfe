//! The project's program as separate processes, with the settings of a small deployment.

use std::fs;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::http::call;

/// The words of `deploy/system.toml` after the program.
const RUN: [&str; 3] = ["target/release/croftrill-adapter", "--metrics", "9464/metrics"];

/// A machine with one node, on a loopback address of its own.
pub struct Node {
    pub name: String,
    pub ip: Ipv4Addr,
    pub front: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// Returns a loopback network for the machines of this run, on whose first address the ports are free.
pub fn network() -> [u8; 2] {
    let seed = std::process::id();
    for step in 0..200 {
        let number = seed.wrapping_mul(2654435761).wrapping_add(step * 97);
        let network = [64 + (number >> 8) as u8 % 128, (number >> 16) as u8];
        let ip = Ipv4Addr::new(127, network[0], network[1], 11);
        let ports = [9464, 8149, 8141, 8143, 8144, 7380];
        if ports.iter().all(|port| TcpListener::bind((ip, *port)).is_ok()) {
            return network;
        }
    }
    [99, 99]
}

impl Node {
    /// Writes the settings of machine `number`, whose store is reached at `store`.
    pub fn prepare(folder: &Path, network: [u8; 2], number: u8, store: SocketAddr, bootstrap: bool) -> io::Result<Node> {
        let ip = Ipv4Addr::new(127, network[0], network[1], 10 + number);
        let name = format!("edge-a-{number}");
        let settings = folder.join(format!("{name}.json"));
        let node = Node {
            front: SocketAddr::from((ip, 8149)),
            ready: SocketAddr::from((ip, 8141)),
            log: folder.join(format!("{name}.log")),
            settings,
            name,
            ip,
            child: None,
        };
        node.write_settings(store, bootstrap)?;
        Ok(node)
    }

    pub fn write_settings(&self, store: SocketAddr, bootstrap: bool) -> io::Result<()> {
        let (name, ip) = (&self.name, self.ip);
        fs::write(
            &self.settings,
            format!(
                r#"{{
  "nodeName": "{name}", "role": "node", "machineClass": "edge", "serves": ["edge", "registry"],
  "ip": "{ip}", "zone": "kochi-a", "region": "kochi", "zones": {{"kochi-a": "kochi"}},
  "listen": {{"frontend": "{ip}:8149", "ready": "{ip}:8141", "controlPlane": "{ip}:8144", "directory": "{ip}:8143"}},
  "internalPorts": [7380, 7395], "seeds": [], "bootstrap": {bootstrap}, "inTolerance": false,
  "limits": {{"cpuShare": 0.25, "cpuCores": 1, "memoryMb": 260, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0}},
  "dataDir": null, "discovery": "platform", "entry": "registry", "heartbeatMs": 1200,
  "contracts": ["base", "drain", "config", "cost", "retry", "recover", "fleet", "stream", "engine", "platform"],
  "faultTolerance": {{"machines": 1, "zones": 0, "regions": 0}},
  "bounds": {{"seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": 8,
    "lossSlackMs": 200, "configDeadlineMs": 2000, "downgradeSlackMs": 250, "maxSkewMs": 5000, "retryBudgetRatio": 0.2,
    "budgetWindowS": 10, "retryBudgetSlack": 54, "recoverS": 12, "passMs": 120, "retryAfterS": 0, "fencingEnforced": false,
    "leaseMs": 3000, "thawMs": 300, "ceilingWindowS": 5, "originRateOverage": 1.1, "ttl_max_s": 5}},
  "platform": {{"address": "{store}", "form": "kv", "writesPerS": 400, "readsPerS": 2000, "historyS": 20,
    "maxValueBytes": 1048576, "minTtlMs": 1000}}
}}
"#
            ),
        )
    }

    pub fn start(&mut self) -> io::Result<()> {
        let log = fs::OpenOptions::new().create(true).append(true).open(&self.log)?;
        let child = Command::new(RUN[0])
            .args(&RUN[1..])
            .env_clear()
            .env("PATH", std::env::var_os("PATH").unwrap_or_default())
            .env("CROFTRILL_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    pub fn is_ready(&self) -> bool {
        let request = b"GET /v1/readyz HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
        call(self.ready, request, Duration::from_secs(1)).is_ok_and(|answer| answer.status == 200)
    }

    pub fn wait_until_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Sends a signal to the process.
    pub fn signal(&self, name: &str) {
        if let Some(child) = &self.child {
            let _ = Command::new("kill").args([&format!("-{name}"), &child.id().to_string()]).status();
        }
    }

    pub fn has_ended(&mut self) -> bool {
        match &mut self.child {
            Some(child) => matches!(child.try_wait(), Ok(Some(_))),
            None => true,
        }
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}
