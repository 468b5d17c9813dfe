//! The platform's metadata store, as PROTOCOL.md describes it. It is never disturbed here.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{read_request, write_answer, Request};
use crate::json::Json;

struct Item {
    /// Base64, as it travels.
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

struct Lease {
    ttl: Duration,
    ends: Instant,
}

#[derive(Default)]
struct State {
    items: BTreeMap<String, Item>,
    history: Vec<(u64, String, String)>,
    revision: u64,
    leases: BTreeMap<u64, Lease>,
    next_lease: u64,
}

pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
}

fn item_text(key: &str, item: &Item) -> String {
    format!(
        "{{\"privateKey\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"created\":{},\"lease\":{}}}",
        item.value, item.revision, item.created, item.lease
    )
}

impl State {
    fn put(&mut self, key: &str, value: String, lease: u64, revision: u64) {
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item { value, revision, created, lease };
        self.history.push((revision, key.to_string(), item_text(key, &item)));
        self.items.insert(key.to_string(), item);
    }

    fn remove(&mut self, key: &str, revision: u64) {
        if self.items.remove(key).is_some() {
            let text = format!("{{\"privateKey\":\"{key}\",\"revision\":{revision},\"deleted\":true}}");
            self.history.push((revision, key.to_string(), text));
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys: Vec<String> = self.items.iter().filter(|(_, item)| item.lease == lease).map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.revision += 1;
            let revision = self.revision;
            self.remove(&key, revision);
        }
    }
}

impl Store {
    pub fn start(address: SocketAddr) -> std::io::Result<Arc<Store>> {
        let listener = TcpListener::bind(address)?;
        let store = Arc::new(Store { state: Mutex::default(), changed: Condvar::new() });
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        let ticking = store.clone();
        thread::spawn(move || loop {
            thread::sleep(Duration::from_millis(20));
            let mut state = ticking.state.lock().unwrap();
            let now = Instant::now();
            let over: Vec<u64> = state.leases.iter().filter(|(_, lease)| lease.ends <= now).map(|(id, _)| *id).collect();
            for lease in &over {
                state.end_lease(*lease);
            }
            if !over.is_empty() {
                ticking.changed.notify_all();
            }
        });
        Ok(store)
    }

    /// Writes an item as the operator or a replica does. Returns when the store has taken it.
    pub fn write(&self, key: &str, value: &str) {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        state.put(key, base64(value.as_bytes()), 0, revision);
        self.changed.notify_all();
    }

    pub fn delete(&self, key: &str) {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        state.remove(key, revision);
        self.changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = read_request(&mut reader) {
            let (status, body) = self.answer(&request);
            let kind = [("Content-Type", "application/json".to_string())];
            if write_answer(&mut writer, status, &kind, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Request) -> (u16, String) {
        match (request.method.as_str(), request.path()) {
            ("GET", "/v1/kv-key") => self.key(request),
            ("GET", "/v1/kv-range") => self.range(request),
            ("GET", "/v1/kv-watch") => self.watch(request),
            ("POST", "/v1/kv-txn") => self.transact(request),
            ("POST", "/v1/kv-lease") => self.grant(request),
            ("POST", path) if path.starts_with("/v1/kv-keep/") => self.keep(path),
            ("DELETE", path) if path.starts_with("/v1/kv-lease-end/") => self.end(path),
            _ => (404, String::new()),
        }
    }

    fn key(&self, request: &Request) -> (u16, String) {
        let key = request.query("privateKey").unwrap_or_default();
        let state = self.state.lock().unwrap();
        match state.items.get(&key) {
            Some(item) => (200, item_text(&key, item)),
            None => (404, String::new()),
        }
    }

    fn range(&self, request: &Request) -> (u16, String) {
        let prefix = request.query("pathPrefix").unwrap_or_default();
        let after = request.query("after").unwrap_or_default();
        let state = self.state.lock().unwrap();
        let items: Vec<String> = state
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(&prefix) && **key > after)
            .map(|(key, item)| item_text(key, item))
            .collect();
        (200, format!("{{\"items\":[{}],\"hasMore\":false,\"timestamp\":{}}}", items.join(","), state.revision))
    }

    fn watch(&self, request: &Request) -> (u16, String) {
        let prefix = request.query("pathPrefix").unwrap_or_default();
        let number = |name| request.query(name).and_then(|text| text.parse::<u64>().ok()).unwrap_or(0);
        let (after, until) = (number("after"), Instant::now() + Duration::from_millis(number("waitMs").min(30_000)));
        let mut state = self.state.lock().unwrap();
        loop {
            if after > state.revision {
                return (410, String::new());
            }
            let events: Vec<String> = state
                .history
                .iter()
                .filter(|(revision, key, _)| *revision > after && key.starts_with(&prefix))
                .map(|(_, _, text)| text.clone())
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return (200, format!("{{\"events\":[{}],\"timestamp\":{}}}", events.join(","), state.revision));
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn transact(&self, request: &Request) -> (u16, String) {
        let body = Json::parse(&String::from_utf8_lossy(&request.body)).unwrap_or(Json::Null);
        let list = |name: &str| body.get(name).map(|value| value.list().to_vec()).unwrap_or_default();
        let mut state = self.state.lock().unwrap();
        for row in list("expectedRevision") {
            let key = row.get("privateKey").and_then(Json::text).unwrap_or_default();
            let present = state.items.get(key).map_or(0, |item| item.revision);
            if row.get("revision").and_then(Json::number) != Some(present) {
                return (412, "{\"items\":[]}".to_string());
            }
        }
        let lease_of = |row: &Json| row.get("lease").and_then(Json::number).unwrap_or(0);
        if list("put").iter().map(lease_of).any(|lease| lease != 0 && !state.leases.contains_key(&lease)) {
            return (404, String::new());
        }
        state.revision += 1;
        let revision = state.revision;
        for row in list("put") {
            let text = |name: &str| row.get(name).and_then(Json::text).unwrap_or_default().to_string();
            state.put(&text("privateKey"), text("value"), lease_of(&row), revision);
        }
        for key in list("remove") {
            state.remove(key.text().unwrap_or_default(), revision);
        }
        self.changed.notify_all();
        (200, format!("{{\"revision\":{revision}}}"))
    }

    fn grant(&self, request: &Request) -> (u16, String) {
        let body = Json::parse(&String::from_utf8_lossy(&request.body)).unwrap_or(Json::Null);
        let ttl_ms = body.get("ttlMs").and_then(Json::number).unwrap_or(1000).clamp(1000, 600_000);
        let mut state = self.state.lock().unwrap();
        state.next_lease += 1;
        let lease = 70_000 + state.next_lease;
        let ttl = Duration::from_millis(ttl_ms);
        state.leases.insert(lease, Lease { ttl, ends: Instant::now() + ttl });
        (200, format!("{{\"lease\":{lease},\"ttlMs\":{ttl_ms}}}"))
    }

    fn keep(&self, path: &str) -> (u16, String) {
        let id: u64 = path.rsplit('/').next().and_then(|text| text.parse().ok()).unwrap_or(0);
        let mut state = self.state.lock().unwrap();
        let Some(lease) = state.leases.get_mut(&id) else { return (404, String::new()) };
        lease.ends = Instant::now() + lease.ttl;
        (200, format!("{{\"ttlMs\":{}}}", lease.ttl.as_millis()))
    }

    fn end(&self, path: &str) -> (u16, String) {
        let id: u64 = path.rsplit('/').next().and_then(|text| text.parse().ok()).unwrap_or(0);
        let mut state = self.state.lock().unwrap();
        state.end_lease(id);
        self.changed.notify_all();
        (200, "{}".to_string())
    }
}

fn base64(bytes: &[u8]) -> String {
    const SIGNS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let word = chunk.iter().fold(0u32, |word, byte| word << 8 | u32::from(*byte)) << (8 * (3 - chunk.len()));
        for place in 0..4 {
            let sign = SIGNS[(word >> (18 - 6 * place) & 63) as usize];
            out.push(if place <= chunk.len() { sign as char } else { '=' });
        }
    }
    out
}
