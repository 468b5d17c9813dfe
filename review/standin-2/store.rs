//! A stand-in for the platform's store, as `PROTOCOL.md` describes it.

use std::collections::BTreeMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Link, Message};
use crate::json::{base64, unbase64, Json};

/// Items of one page.
const PAGE: usize = 500;

#[derive(Debug, Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Debug, Clone)]
struct Lease {
    ttl: Duration,
    ends_at: Instant,
}

#[derive(Debug, Clone, Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    history: Vec<(u64, String, String)>,
    forgotten: u64,
    leases: BTreeMap<u64, Lease>,
    next_lease: u64,
    era: Option<u64>,
}

#[derive(Default)]
struct Shared {
    state: Mutex<State>,
    changed: Condvar,
    judge: Mutex<Option<Judge>>,
}

/// What becomes of a write.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fate {
    /// It is done and answered.
    Answered,
    /// It gets no answer, and is done after this time if its condition still holds.
    LostAndLate(Duration),
}

/// Decides what becomes of each write, given its path and body.
pub type Judge = Box<dyn FnMut(&str, &[u8]) -> Fate + Send>;

/// The store. Clones are the same store.
#[derive(Clone)]
pub struct Store {
    shared: Arc<Shared>,
    pub address: SocketAddr,
}

fn wire(key: &str, item: &Item) -> String {
    format!(
        "{{\"privateKey\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"created\":{},\"lease\":{}}}",
        item.value, item.revision, item.created, item.lease
    )
}

impl State {
    fn put(&mut self, key: &str, value: String, lease: u64, revision: u64) {
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item { value, revision, created, lease };
        self.history.push((revision, key.to_string(), wire(key, &item)));
        self.items.insert(key.to_string(), item);
    }

    fn remove(&mut self, key: &str, revision: u64) {
        if self.items.remove(key).is_some() {
            let event = format!("{{\"privateKey\":\"{key}\",\"revision\":{revision},\"deleted\":true}}");
            self.history.push((revision, key.to_string(), event));
        }
    }

    fn end_lease(&mut self, lease: u64) -> bool {
        if self.leases.remove(&lease).is_none() {
            return false;
        }
        let held = self.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<String> = held.map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.revision += 1;
            let revision = self.revision;
            self.remove(&key, revision);
        }
        true
    }
}

impl Store {
    pub fn start() -> io::Result<Store> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let store = Store { shared: Arc::default(), address: listener.local_addr()? };
        let ticking = store.clone();
        thread::spawn(move || loop {
            thread::sleep(Duration::from_millis(20));
            ticking.expire();
        });
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    fn expire(&self) {
        let mut state = self.shared.state.lock().unwrap();
        let now = Instant::now();
        let over = state.leases.iter().filter(|(_, lease)| lease.ends_at <= now);
        let over: Vec<u64> = over.map(|(id, _)| *id).collect();
        for lease in &over {
            state.end_lease(*lease);
        }
        if !over.is_empty() {
            self.shared.changed.notify_all();
        }
    }

    /// Writes a value, as the operator or a replica does.
    pub fn write(&self, key: &str, value: &str) {
        let mut state = self.shared.state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        state.put(key, base64(value.as_bytes()), 0, revision);
        self.shared.changed.notify_all();
    }

    pub fn delete(&self, key: &str) {
        let mut state = self.shared.state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        state.remove(key, revision);
        self.shared.changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let mut link = Link::new(stream);
        while let Ok(Some(request)) = link.read() {
            if let Fate::LostAndLate(delay) = self.fate(&request) {
                let store = self.clone();
                thread::spawn(move || {
                    thread::sleep(delay);
                    store.execute(&request);
                });
                // Nothing more is said on this connection.
                while let Ok(Some(_)) = link.read() {}
                return;
            }
            let (status, body) = self.execute(&request);
            let era = self.shared.state.lock().unwrap().era.map(|era| era.to_string());
            let mut headers = vec![("content-type", "application/json")];
            if let Some(era) = &era {
                headers.push(("store-era", era));
            }
            if link.answer(status, &headers, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Lets `judge` decide what becomes of writes from now on.
    pub fn set_judge(&self, judge: Option<Judge>) {
        *self.shared.judge.lock().unwrap() = judge;
    }

    /// Renewals of leases count as reads.
    fn fate(&self, request: &Message) -> Fate {
        let path = request.path();
        let is_write = path == "/v1/kv-txn" || path == "/v1/kv-lease" || path.starts_with("/v1/kv-lease-end/");
        let mut judge = self.shared.judge.lock().unwrap();
        match &mut *judge {
            Some(judge) if is_write => judge(path, &request.body),
            _ => Fate::Answered,
        }
    }

    /// Returns the value of a key, decoded.
    pub fn value(&self, key: &str) -> Option<Vec<u8>> {
        let state = self.shared.state.lock().unwrap();
        state.items.get(key).map(|item| unbase64(&item.value))
    }

    fn execute(&self, request: &Message) -> (u16, String) {
        let path = request.path();
        match path {
            "/v1/kv-key" => {
                let state = self.shared.state.lock().unwrap();
                let key = request.query("privateKey");
                let found = state.items.get(&key).map(|item| wire(&key, item));
                found.map_or((404, String::new()), |found| (200, found))
            }
            "/v1/kv-range" => self.range(request),
            "/v1/kv-watch" => self.watch(request),
            "/v1/kv-txn" => self.transact(&request.body),
            "/v1/kv-lease" => {
                let asked = Json::parse(&request.body).and_then(|body| body.get("ttlMs").number());
                let ttl = Duration::from_millis(asked.unwrap_or(1000).clamp(1000, 600_000));
                let mut state = self.shared.state.lock().unwrap();
                state.next_lease += 1;
                let id = state.next_lease;
                state.leases.insert(id, Lease { ttl, ends_at: Instant::now() + ttl });
                (200, format!("{{\"lease\":{id},\"ttlMs\":{}}}", ttl.as_millis()))
            }
            _ => self.keep_or_end(path),
        }
    }

    fn keep_or_end(&self, path: &str) -> (u16, String) {
        let id = path.rsplit('/').next().and_then(|id| id.parse().ok()).unwrap_or(0);
        let mut state = self.shared.state.lock().unwrap();
        if path.starts_with("/v1/kv-lease-end/") {
            let ended = state.end_lease(id);
            self.shared.changed.notify_all();
            return if ended { (200, "{}".into()) } else { (404, String::new()) };
        }
        match state.leases.get_mut(&id) {
            Some(lease) if path.starts_with("/v1/kv-keep/") => {
                lease.ends_at = Instant::now() + lease.ttl;
                (200, format!("{{\"ttlMs\":{}}}", lease.ttl.as_millis()))
            }
            _ => (404, String::new()),
        }
    }

    fn range(&self, request: &Message) -> (u16, String) {
        let (prefix, after) = (request.query("pathPrefix"), request.query("after"));
        let state = self.shared.state.lock().unwrap();
        let items = state.items.iter();
        let mut items = items.filter(|(key, _)| key.starts_with(&prefix) && (after.is_empty() || **key > after));
        let page: Vec<String> = items.by_ref().take(PAGE).map(|(key, item)| wire(key, item)).collect();
        let has_more = items.next().is_some();
        let body = format!(
            "{{\"items\":[{}],\"hasMore\":{has_more},\"timestamp\":{}}}",
            page.join(","),
            state.revision
        );
        (200, body)
    }

    fn watch(&self, request: &Message) -> (u16, String) {
        let prefix = request.query("pathPrefix");
        let after: u64 = request.query("after").parse().unwrap_or(0);
        let wait: u64 = request.query("waitMs").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait.min(30_000));
        let mut state = self.shared.state.lock().unwrap();
        loop {
            if after < state.forgotten || after > state.revision {
                return (410, String::new());
            }
            let events = state.history.iter();
            let events = events.filter(|(revision, key, _)| *revision > after && key.starts_with(&prefix));
            let events: Vec<&str> = events.map(|(_, _, event)| event.as_str()).collect();
            let now = Instant::now();
            if !events.is_empty() || now >= until {
                let body = format!("{{\"events\":[{}],\"timestamp\":{}}}", events.join(","), state.revision);
                return (200, body);
            }
            state = self.shared.changed.wait_timeout(state, until - now).unwrap().0;
        }
    }

    fn transact(&self, body: &[u8]) -> (u16, String) {
        let Some(body) = Json::parse(body) else {
            return (400, String::new());
        };
        let mut state = self.shared.state.lock().unwrap();
        let conditions = body.get("expectedRevision").list();
        let holds = |row: &Json| {
            let present = state.items.get(row.get("privateKey").text()).map_or(0, |item| item.revision);
            row.get("revision").number() == Some(present)
        };
        if !conditions.iter().all(holds) {
            let present = conditions.iter().filter_map(|row| {
                let key = row.get("privateKey").text();
                state.items.get(key).map(|item| wire(key, item))
            });
            return (412, format!("{{\"items\":[{}]}}", present.collect::<Vec<_>>().join(",")));
        }
        let puts = body.get("put").list();
        let lease_of = |put: &Json| put.get("lease").number().unwrap_or(0);
        if puts.iter().any(|put| lease_of(put) != 0 && !state.leases.contains_key(&lease_of(put))) {
            return (404, String::new());
        }
        for put in puts {
            state.revision += 1;
            let revision = state.revision;
            let (key, value) = (put.get("privateKey").text(), put.get("value").text());
            state.put(key, value.to_string(), lease_of(put), revision);
        }
        for key in body.get("remove").list() {
            state.revision += 1;
            let revision = state.revision;
            state.remove(key.text(), revision);
        }
        self.shared.changed.notify_all();
        (200, format!("{{\"revision\":{}}}", state.revision))
    }
}
