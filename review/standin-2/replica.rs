//! A stand-in for a model replica: it streams three events an answer, takes orders, and may end under a
//! part of a prompt.

use std::collections::BTreeMap;
use std::io::{self, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Link, Message};
use crate::json::Json;
use crate::record::Record;
use crate::store::Store;

/// Time between two events.
const GAP: Duration = Duration::from_millis(20);
/// Time after which the platform removes the entry of a replica that is silent: three heartbeats.
const LAPSE: Duration = Duration::from_millis(3600);

/// Models that a replica can hold, and models of which its disk has copies.
const MAX_HELD: usize = 2;
const MAX_COPIES: usize = 6;
/// Time to load a model from the store, and from the replica's disk.
const LOAD: Duration = Duration::from_millis(3200);
const LOAD_AGAIN: Duration = Duration::from_millis(1300);

/// An order that arrived at a replica.
#[derive(Debug, Clone)]
pub struct SeenOrder {
    pub at: f64,
    pub replica: String,
    pub holder: String,
    pub token: u64,
    pub text: String,
}

/// What a replica does beside serving.
#[derive(Debug, Clone)]
pub struct Spec {
    pub service: &'static str,
    pub models: Vec<String>,
    /// Other models of which its disk has copies.
    pub copies: Vec<String>,
    /// The part of a prompt under which it ends, if it does.
    pub deadly_part: Option<String>,
    /// Time from an end until it is back, under another id.
    pub back_after: Duration,
}

struct Life {
    number: u32,
    is_up: bool,
    born: u64,
    models: Vec<String>,
    sequence: u64,
    busy_until: Option<(Instant, String)>,
    /// Models of which its disk has copies, the one used last at the end.
    on_disk: Vec<String>,
    running: u32,
    links: BTreeMap<u64, TcpStream>,
    next_link: u64,
}

/// Ends of replicas, the arrivals of requests with the part, and orders.
#[derive(Debug, Default)]
pub struct Seen {
    pub orders: Vec<SeenOrder>,
    pub served: u32,
    pub ends: Vec<f64>,
    pub deadly_arrivals: Vec<f64>,
}

#[derive(Clone)]
pub struct Replica {
    name: String,
    spec: Arc<Spec>,
    address: SocketAddr,
    life: Arc<Mutex<Life>>,
    store: Store,
    record: Record,
    seen: Arc<Mutex<Seen>>,
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64)
}

impl Replica {
    pub fn start(name: &str, spec: Spec, store: &Store, record: &Record, seen: &Arc<Mutex<Seen>>) -> io::Result<Replica> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let models = spec.models.clone();
        let life = Life {
            number: 0,
            is_up: true,
            // It has run for a minute.
            born: unix_ms() - 60_000,
            models,
            sequence: 0,
            busy_until: None,
            on_disk: [spec.copies.clone(), spec.models.clone()].concat(),
            running: 0,
            links: BTreeMap::new(),
            next_link: 0,
        };
        let replica = Replica {
            name: name.to_string(),
            spec: Arc::new(spec),
            address: listener.local_addr()?,
            life: Arc::new(Mutex::new(life)),
            store: store.clone(),
            record: record.clone(),
            seen: seen.clone(),
        };
        replica.write_entry();
        replica.listen(listener);
        Ok(replica)
    }

    fn id(&self) -> String {
        format!("i-{}-{}", self.name, self.life.lock().unwrap().number)
    }

    fn models_json(&self) -> String {
        let life = self.life.lock().unwrap();
        let models = life.models.iter();
        let models = models.map(|model| format!("{{\"name\":\"{model}\",\"version\":1,\"adapters\":[]}}"));
        format!("[{}]", models.collect::<Vec<_>>().join(","))
    }

    fn copies_json(&self) -> String {
        let life = self.life.lock().unwrap();
        let copies: Vec<String> = life.on_disk.iter().map(|copy| format!("\"{copy}\"")).collect();
        format!("{{\"resident\":[],\"cachedOnDisk\":[{}]}}", copies.join(","))
    }

    fn write_entry(&self) {
        let (id, models, copies) = (self.id(), self.models_json(), self.copies_json());
        let born = self.life.lock().unwrap().born;
        let entry = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"kochi-a\",\"version\":\"v1\",\"slots\":64,\
             \"state\":\"ready\",\"coldRemainingMs\":0,\"sequence\":1,\"born\":{born},\"stage\":\"unified\",\
             \"models\":{models},\"available\":{copies}}}",
            self.spec.service, self.address
        );
        self.store.write(&format!("servers/{id}"), &entry);
    }

    /// Accepts connections until the replica ends; then its address refuses them.
    fn listen(&self, listener: TcpListener) {
        let replica = self.clone();
        let number = self.life.lock().unwrap().number;
        listener.set_nonblocking(true).expect("a listener");
        thread::spawn(move || loop {
            {
                let life = replica.life.lock().unwrap();
                if !life.is_up || life.number != number {
                    return;
                }
            }
            match listener.accept() {
                Ok((stream, _)) => {
                    let _ = stream.set_nonblocking(false);
                    let replica = replica.clone();
                    thread::spawn(move || replica.serve(stream, number));
                }
                Err(_) => thread::sleep(Duration::from_millis(1)),
            }
        });
    }

    /// Ends the process and starts it again later.
    fn end(&self) {
        let id = self.id();
        let mut life = self.life.lock().unwrap();
        if !life.is_up {
            return;
        }
        life.is_up = false;
        for stream in std::mem::take(&mut life.links).into_values() {
            let _ = stream.shutdown(Shutdown::Both);
        }
        drop(life);
        self.record.line(&format!("replica {id} ends"));
        self.seen.lock().unwrap().ends.push(self.record.seconds());
        let replica = self.clone();
        thread::spawn(move || {
            thread::sleep(replica.spec.back_after);
            replica.start_again();
        });
        let store = self.store.clone();
        thread::spawn(move || {
            thread::sleep(LAPSE);
            store.delete(&format!("servers/{id}"));
        });
    }

    fn start_again(&self) {
        let listener = loop {
            match TcpListener::bind(self.address) {
                Ok(listener) => break listener,
                Err(_) => thread::sleep(Duration::from_millis(10)),
            }
        };
        {
            let mut life = self.life.lock().unwrap();
            life.number += 1;
            life.is_up = true;
            life.born = unix_ms();
            life.sequence = 0;
            life.busy_until = None;
            life.running = 0;
            // The platform gives a new replica its models before it lists it.
            life.models = self.spec.models.clone();
        }
        self.record.line(&format!("replica {} starts", self.id()));
        self.listen(listener);
        self.write_entry();
    }

    fn serve(&self, stream: TcpStream, number: u32) {
        let Ok(copy) = stream.try_clone() else { return };
        let link_id = {
            let mut life = self.life.lock().unwrap();
            if !life.is_up || life.number != number {
                return;
            }
            life.next_link += 1;
            let link_id = life.next_link;
            life.links.insert(link_id, copy);
            link_id
        };
        let mut link = Link::new(stream);
        while let Ok(Some(request)) = link.read() {
            if self.answer(&mut link, &request).is_err() {
                break;
            }
        }
        self.life.lock().unwrap().links.remove(&link_id);
    }

    fn answer(&self, link: &mut Link, request: &Message) -> io::Result<()> {
        self.settle_order();
        let id = self.id();
        match request.path() {
            "/v1/report" => {
                let (models, copies) = (self.models_json(), self.copies_json());
                let life = self.life.lock().unwrap();
                let body = format!(
                    "{{\"stage\":\"unified\",\"models\":{models},\"busy\":{},\"sequence\":{},\"queued\":0,\
                     \"available\":{copies},\"running\":{},\"kvUsed\":0,\"kvTotal\":244881,\"handles\":0,\"born\":{}}}",
                    life.busy_until.is_some(),
                    life.sequence,
                    life.running,
                    life.born
                );
                drop(life);
                link.answer(200, &[("content-type", "application/json")], body.as_bytes())
            }
            "/v1/order" => {
                let status = self.take_order(request, &id);
                link.answer(status, &[], b"")
            }
            "/healthz" => link.answer(200, &[("x-croftrill-instance-id", &id)], b""),
            _ => self.run(link, request, &id),
        }
    }

    fn settle_order(&self) {
        let mut life = self.life.lock().unwrap();
        let is_over = life.busy_until.as_ref().is_some_and(|(at, _)| Instant::now() >= *at);
        if is_over {
            if let Some((_, model)) = life.busy_until.take() {
                life.on_disk.retain(|copy| *copy != model);
                life.on_disk.push(model.clone());
                if life.on_disk.len() > MAX_COPIES {
                    life.on_disk.remove(0);
                }
                life.models.push(model);
            }
            drop(life);
            self.write_entry();
        }
    }

    fn take_order(&self, request: &Message, id: &str) -> u16 {
        if request.header("x-croftrill-expected-instance").is_some_and(|named| named != id) {
            return 421;
        }
        let Some(order) = Json::parse(&request.body) else { return 400 };
        let (operation, model) = (order.get("operation").text(), order.get("model").text().to_string());
        let (holder, token) = (order.get("holder").text(), order.get("fencingToken").number().unwrap_or(0));
        self.record.line(&format!("order at {id}: {operation} {model} by {holder}, fencing token {token}"));
        self.seen.lock().unwrap().orders.push(SeenOrder {
            at: self.record.seconds(),
            replica: id.to_string(),
            holder: holder.to_string(),
            token,
            text: format!("{operation} {model}"),
        });
        let mut life = self.life.lock().unwrap();
        let expected = order.get("expectedRevision").number();
        if life.busy_until.is_some() || expected.is_some_and(|expected| expected != life.sequence) {
            return 409;
        }
        let holds = life.models.contains(&model);
        match operation {
            "load" if holds => 200,
            "load" => {
                life.sequence += 1;
                let takes = if life.on_disk.contains(&model) { LOAD_AGAIN } else { LOAD };
                if life.models.len() >= MAX_HELD {
                    drop(life);
                    self.record.line(&format!("order at {id}: more than the replica can hold"));
                    self.end();
                    return 500;
                }
                life.busy_until = Some((Instant::now() + takes, model));
                202
            }
            "unload" => {
                life.sequence += 1;
                life.models.retain(|held| *held != model);
                drop(life);
                self.write_entry();
                202
            }
            _ => 400,
        }
    }

    fn run(&self, link: &mut Link, request: &Message, id: &str) -> io::Result<()> {
        let attempt = request.header("x-croftrill-attempt-id").unwrap_or_default().to_string();
        let own = [("x-croftrill-attempt-id", attempt.as_str()), ("x-croftrill-not-executed", "1")];
        if request.header("x-croftrill-expected-instance").is_some_and(|named| named != id) {
            return link.answer(421, &own, b"");
        }
        let model = request.header("x-croftrill-model").unwrap_or_default();
        if !self.life.lock().unwrap().models.iter().any(|held| held == model) {
            return link.answer(421, &own, b"");
        }
        let parts = request.header("x-croftrill-prefix-hash").unwrap_or_default();
        let mut shared: Vec<&str> = parts.split(',').filter_map(|part| Some(part.trim().split_once(':')?.0)).collect();
        shared.pop();
        let is_deadly = self.spec.deadly_part.as_ref().is_some_and(|deadly| shared.contains(&deadly.as_str()));
        if attempt.starts_with('d') {
            self.seen.lock().unwrap().deadly_arrivals.push(self.record.seconds());
            self.record.line(&format!("request {attempt} arrives at {id}"));
        }
        let running = {
            let mut life = self.life.lock().unwrap();
            life.running += 1;
            life.running
        };
        let streamed = self.stream(link, &attempt, running, is_deadly);
        let mut life = self.life.lock().unwrap();
        life.running = life.running.saturating_sub(1);
        drop(life);
        if is_deadly {
            self.end();
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        streamed
    }

    fn stream(&self, link: &mut Link, attempt: &str, running: u32, is_deadly: bool) -> io::Result<()> {
        let head = format!(
            "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\
             x-croftrill-attempt-id: {attempt}\r\nx-croftrill-response-signature: s.{attempt}\r\n\
             x-croftrill-instance-load: {running},0,64\r\n\r\n"
        );
        link.stream.write_all(head.as_bytes())?;
        for number in 1..=3 {
            thread::sleep(GAP);
            let event = format!("id: {number}\ndata: word\n\n");
            link.stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
            if is_deadly {
                return Ok(());
            }
        }
        link.stream.write_all(b"0\r\n\r\n")
    }
}
