//! A replica: keeps its entry in the store, takes orders, and runs requests as a case says.
//!
//! It does what PROTOCOL.md says: it answers 421 to requests for another instance and to those for a
//! model that it does not hold, counts orders in `sequence`, and is back empty after a restart.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::http::{read_request, write_answer, Request};
use crate::json::Json;
use crate::record::Record;
use crate::store::Store;

/// Runs a request. Returns whether its connection stays open.
pub type Run = dyn Fn(&Arc<Replica>, &Request, &mut TcpStream) -> bool + Send + Sync;

pub struct Settings {
    pub id: &'static str,
    /// Version of its software.
    pub version: &'static str,
    pub service: &'static str,
    pub zone: &'static str,
    pub slots: u32,
    pub address: SocketAddr,
    /// Models held at the start; none for a service without models.
    pub models: Vec<&'static str>,
    /// Models on its disk.
    pub on_disk: Vec<&'static str>,
    pub is_engine: bool,
    pub load_time: Duration,
    /// Time from a restart to the first write of the entry.
    pub first_beat: Duration,
}

#[derive(Default)]
struct State {
    models: Vec<String>,
    /// Adapters as MODEL/NAME.
    adapters: Vec<String>,
    orders: u64,
    is_busy: bool,
    entry_state: &'static str,
    /// Time left, told with `draining` by a replica that is taken away at short notice.
    remaining_ms: Option<u64>,
    born: u64,
    connections: BTreeMap<u64, TcpStream>,
}

pub struct Replica {
    pub settings: Settings,
    pub record: Record,
    store: Arc<Store>,
    state: Mutex<State>,
    /// Counts starts, so that threads of an earlier life stop.
    life: AtomicU64,
    is_up: AtomicBool,
    next_connection: AtomicU64,
    /// When which holder gave an order, with its fencing token.
    pub orders_seen: Mutex<Vec<(Duration, String, u64)>>,
    run: Box<Run>,
}

impl State {
    fn models_text(&self) -> String {
        let model = |name: &String| {
            let own = self.adapters.iter().filter_map(|adapter| adapter.strip_prefix(name.as_str())?.strip_prefix('/'));
            let adapters: Vec<String> = own.map(|adapter| format!("\"{adapter}\"")).collect();
            format!("{{\"name\":\"{name}\",\"version\":1,\"adapters\":[{}]}}", adapters.join(","))
        };
        self.models.iter().map(model).collect::<Vec<_>>().join(",")
    }
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64)
}

impl Replica {
    pub fn start(settings: Settings, store: Arc<Store>, record: Record, run: Box<Run>) -> std::io::Result<Arc<Replica>> {
        let models = settings.models.iter().map(|name| name.to_string()).collect();
        let state = State { models, entry_state: "ready", born: unix_ms(), ..State::default() };
        let replica = Arc::new(Replica {
            settings,
            record,
            store,
            state: Mutex::new(state),
            life: AtomicU64::new(0),
            is_up: AtomicBool::new(false),
            next_connection: AtomicU64::new(0),
            orders_seen: Mutex::default(),
            run,
        });
        replica.listen()?;
        replica.write_entry();
        Ok(replica)
    }

    fn listen(self: &Arc<Self>) -> std::io::Result<()> {
        let listener = TcpListener::bind(self.settings.address)?;
        listener.set_nonblocking(true)?;
        let life = self.life.fetch_add(1, Ordering::SeqCst) + 1;
        self.is_up.store(true, Ordering::SeqCst);
        let replica = self.clone();
        thread::spawn(move || {
            while replica.life.load(Ordering::SeqCst) == life && replica.is_up() {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        let replica = replica.clone();
                        thread::spawn(move || replica.serve(stream));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(1)),
                }
            }
        });
        Ok(())
    }

    pub fn is_up(&self) -> bool {
        self.is_up.load(Ordering::SeqCst)
    }

    pub fn log(&self, text: &str) {
        self.record.line(&format!("replica {}", self.settings.id), text);
    }

    /// Writes its entry. Returns when the store has taken it.
    pub fn write_entry(&self) {
        let state = self.state.lock().unwrap();
        let settings = &self.settings;
        let held = if settings.is_engine {
            let disk: Vec<String> = settings.on_disk.iter().map(|name| format!("\"{name}\"")).collect();
            format!(",\"stage\":\"unified\",\"models\":[{}],\"available\":{{\"resident\":[],\"cachedOnDisk\":[{}]}}", state.models_text(), disk.join(","))
        } else {
            String::new()
        };
        let notice = state.remaining_ms.map_or(String::new(), |left| format!(",\"remainingMs\":{left}"));
        let text = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"{}\",\"slots\":{},\"state\":\"{}\",\
             \"coldRemainingMs\":0,\"sequence\":1,\"born\":{}{notice}{held}}}",
            settings.service, settings.address, settings.zone, settings.version, settings.slots, state.entry_state, state.born
        );
        self.store.write(&format!("servers/{}", settings.id), &text);
        let born = state.born;
        self.log(&format!("entry written: state {}, born {born}", state.entry_state));
    }

    /// Says `draining` in its entry, with the time left if it is taken away at short notice. Returns when
    /// the store has taken it.
    pub fn drain(&self, remaining_ms: Option<u64>) {
        {
            let mut state = self.state.lock().unwrap();
            state.entry_state = "draining";
            state.remaining_ms = remaining_ms;
        }
        self.write_entry();
    }

    /// Ends at once: its connections close and its port refuses new ones.
    pub fn crash(&self, why: &str) {
        if !self.is_up.swap(false, Ordering::SeqCst) {
            return;
        }
        let mut state = self.state.lock().unwrap();
        let cut = state.connections.len();
        for (_, stream) in std::mem::take(&mut state.connections) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        self.log(&format!("ENDS: {why}; {cut} connections closed"));
    }

    /// Starts again under the same id, empty, and writes its entry with its next heartbeat.
    pub fn restart(self: &Arc<Self>) {
        {
            let mut state = self.state.lock().unwrap();
            let connections = std::mem::take(&mut state.connections);
            connections.values().for_each(|stream| drop(stream.shutdown(Shutdown::Both)));
            *state = State { entry_state: "ready", born: unix_ms(), ..State::default() };
        }
        let mut tries = 0;
        while self.listen().is_err() && tries < 200 {
            tries += 1;
            thread::sleep(Duration::from_millis(5));
        }
        self.log("starts again under its id and listens");
        thread::sleep(self.settings.first_beat);
        self.write_entry();
    }

    fn serve(self: Arc<Self>, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let number = self.next_connection.fetch_add(1, Ordering::SeqCst);
        let (Ok(kept), Ok(mut writer)) = (stream.try_clone(), stream.try_clone()) else { return };
        self.state.lock().unwrap().connections.insert(number, kept);
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = read_request(&mut reader) {
            if !self.is_up() || !self.answer(&request, &mut writer) {
                break;
            }
        }
        let kept = self.state.lock().unwrap().connections.remove(&number);
        if let Some(kept) = kept {
            let _ = kept.shutdown(Shutdown::Both);
        }
    }

    fn answer(self: &Arc<Self>, request: &Request, stream: &mut TcpStream) -> bool {
        if request.header("x-croftrill-expected-instance").is_some_and(|id| id != self.settings.id) {
            return write_answer(stream, 421, &[("X-Croftrill-Instance-Id", self.settings.id.to_string())], b"").is_ok();
        }
        match (request.method.as_str(), request.path()) {
            ("GET", "/v1/report") => self.report(stream),
            ("POST", "/v1/order") => self.order(request, stream),
            ("GET", "/healthz") => {
                let id = [("X-Croftrill-Instance-Id", self.settings.id.to_string())];
                write_answer(stream, 200, &id, b"").is_ok()
            }
            _ => self.take(request, stream),
        }
    }

    fn take(self: &Arc<Self>, request: &Request, stream: &mut TcpStream) -> bool {
        let id = request.header("x-croftrill-attempt-id").unwrap_or_default().to_string();
        let model = request.header("x-croftrill-model").map(|name| name.split('/').next().unwrap_or(name).to_string());
        let holds = |name: &String| {
            let state = self.state.lock().unwrap();
            let named = request.header("x-croftrill-model").unwrap_or_default();
            state.models.contains(name) && (named == name || state.adapters.iter().any(|adapter| adapter == named))
        };
        if self.settings.is_engine && !model.as_ref().is_some_and(holds) {
            self.log(&format!("answers 421 to {id}: model not present"));
            let headers = [("X-Croftrill-Attempt-Id", id), ("X-Croftrill-Not-Executed", "1".to_string())];
            return write_answer(stream, 421, &headers, b"").is_ok();
        }
        (self.run)(self, request, stream)
    }

    fn report(&self, stream: &mut TcpStream) -> bool {
        let state = self.state.lock().unwrap();
        let body = format!(
            "{{\"stage\":\"unified\",\"models\":[{}],\"busy\":{},\"sequence\":{},\"queued\":0,\"running\":0,\"kvUsed\":0,\
             \"kvTotal\":132632,\"handles\":0,\"born\":{}}}",
            state.models_text(), state.is_busy, state.orders, state.born
        );
        drop(state);
        write_answer(stream, 200, &[("Content-Type", "application/json".to_string())], body.as_bytes()).is_ok()
    }

    fn order(self: &Arc<Self>, request: &Request, stream: &mut TcpStream) -> bool {
        let body = Json::parse(&String::from_utf8_lossy(&request.body)).unwrap_or(Json::Null);
        let text = |name: &str| body.get(name).and_then(Json::text).unwrap_or_default().to_string();
        let (operation, model, holder) = (text("operation"), text("model"), text("holder"));
        let expected = body.get("expectedRevision").and_then(Json::number);
        let token = body.get("fencingToken").and_then(Json::number).unwrap_or(0);
        let from = stream.peer_addr().map(|address| address.to_string()).unwrap_or_default();
        let adapter = text("adapter");
        if !adapter.is_empty() {
            return self.order_adapter(&operation, &format!("{model}/{adapter}"), expected, (&holder, token), stream);
        }
        let mut state = self.state.lock().unwrap();
        let status = if state.is_busy || expected.is_some_and(|expected| expected != state.orders) {
            409
        } else if operation == "load" && state.models.contains(&model) {
            200
        } else {
            state.orders += 1;
            202
        };
        if status == 202 {
            state.is_busy = operation == "load";
            let (replica, model, life) = (self.clone(), model.clone(), self.life.load(Ordering::SeqCst));
            let takes = if operation == "load" { self.settings.load_time } else { Duration::ZERO };
            thread::spawn(move || {
                thread::sleep(takes);
                if replica.life.load(Ordering::SeqCst) != life || !replica.is_up() {
                    return;
                }
                let mut state = replica.state.lock().unwrap();
                state.models.retain(|name| *name != model);
                if takes > Duration::ZERO {
                    state.models.push(model.clone());
                }
                state.is_busy = false;
                drop(state);
                replica.log(&format!("{operation} of {model} done"));
                replica.write_entry();
            });
        }
        drop(state);
        self.log(&format!("order from {from}, holder {holder}, token {token}: {model}, expected {expected:?}: answers {status}"));
        write_answer(stream, status, &[], b"").is_ok()
    }

    fn order_adapter(self: &Arc<Self>, operation: &str, adapter: &str, expected: Option<u64>, holder: (&str, u64), stream: &mut TcpStream) -> bool {
        let mut state = self.state.lock().unwrap();
        let is_held = state.adapters.iter().any(|held| held == adapter);
        let status = if state.is_busy || expected.is_some_and(|expected| expected != state.orders) {
            409
        } else if operation == "load" && is_held {
            200
        } else {
            state.orders += 1;
            state.adapters.retain(|held| held != adapter);
            if operation == "load" { 202 } else { 200 }
        };
        if status == 202 {
            state.adapters.push(adapter.to_string());
        }
        drop(state);
        self.log(&format!("order of holder {}, token {}: {operation} {adapter}, expected {expected:?}: answers {status}", holder.0, holder.1));
        self.orders_seen.lock().unwrap().push((self.record.now(), holder.0.to_string(), holder.1));
        write_answer(stream, status, &[], b"").is_ok()
    }
}
