//! A leader that starts again while the store loses answers.

use std::io;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::call;
use crate::json::Json;
use crate::node::{network, Node};
use crate::record::Record;
use crate::replica::{Replica, Seen, SeenOrder, Spec};
use crate::store::{Fate, Store};
use crate::Verdict;

const NODES: u8 = 2;
/// Each shard has some of them.
const REPLICAS: usize = 20;
/// Models that replicas hold from the start, and others that none holds.
const HELD: usize = 2 * REPLICAS;
const COLD: usize = HELD;
const MODELS: usize = HELD + COLD;
const CALLERS: u32 = HELD as u32;
/// Time of traffic before the leader is killed, and after that.
const BEFORE: Duration = Duration::from_secs(8);
/// Time from then until callers ask for models that no replica holds.
const UNTIL_COLD: Duration = Duration::from_millis(1500);
const AFTER: Duration = Duration::from_secs(14);
/// Time until the platform starts a killed process again.
const DOWN: Duration = Duration::from_millis(300);
/// Time in which the store loses answers.
const LOSS: Duration = Duration::from_millis(4500);
/// Largest share of the writes in that time that may get no answer.
const MAX_LOST_SHARE: f64 = 0.35;
const SHARDS: usize = 3;
/// `leaseMs` of the settings.
const LEASE_S: f64 = 3.0;

fn name(number: usize) -> String {
    format!("m{number}")
}

fn configuration() -> String {
    let models = (0..MODELS).map(|number| {
        let name = name(number);
        format!(
            r#"{{"name":"{name}","weightsMb":72700,"loadS":3.2,"warmS":0.6,"diskLoadS":1.3,"adapters":0,"adapterMb":66}}"#
        )
    });
    format!(
        r#"{{"version":1,"routes":[{{"name":"summary","host":"desk.example","pathPrefix":"/summary/",
"routeKind":"streaming","timeoutMs":15000,"targetLatencyMs":5000,"targetGapMs":300,"priority":1,"service":"lm-pool",
"maxAttempts":1,"sessionAffinity":true,"resumable":false}}],
"services":[{{"name":"lm-pool","healthPath":"/healthz","maxConnections":360,"engine":{{"slots":64,"kvCapacity":244881,
"weightsMb":210000,"hostMemoryMb":0,"diskMb":450000,"adapterSlots":8,"loadsPerS":4.2,"models":[{}]}}}}],
"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}}}"#,
        models.collect::<Vec<_>>().join(",")
    )
}

fn request(id: &str, model: &str) -> Vec<u8> {
    let body = format!("prompt of {id}");
    format!(
        "POST /summary/2f HTTP/1.1\r\nhost: desk.example\r\nx-croftrill-attempt-id: {id}\r\n\
         x-croftrill-model: {model}\r\nx-croftrill-token-usage: 600,12\r\nx-croftrill-prefix-hash: aa{model}:100,{id}:500\r\n\
         x-croftrill-deadline-ms: 15000\r\nconnection: close\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

/// Returns the name of the node that holds a shard's key.
fn holder_of(store: &Store, shard: usize) -> Option<String> {
    let value = store.value(&format!("croftrill/orderer/{shard}/present"))?;
    let text = String::from_utf8_lossy(&value).into_owned();
    let at = text.find("edge-a-")?;
    text.get(at..at + 8).map(str::to_string)
}

/// The writes of the time in which answers are lost, and how many were.
#[derive(Debug, Default)]
struct Losses {
    begin: Option<Instant>,
    writes: u32,
    lost: u32,
    claims: u32,
    /// The key that was claimed first.
    key: Option<String>,
    lease: Option<u64>,
}

/// Lets the store lose answers: those to two claims of the shard's key that is claimed first, and to the end of the
/// first one's lease. What is lost is done late, as far as its condition still holds.
fn lose_answers(store: &Store, record: &Record, losses: &Arc<Mutex<Losses>>) {
    let (record, losses) = (record.clone(), losses.clone());
    store.set_judge(Some(Box::new(move |path, body| {
        let mut losses = losses.lock().unwrap();
        if losses.begin.get_or_insert_with(Instant::now).elapsed() > LOSS {
            return Fate::Answered;
        }
        losses.writes += 1;
        let json = Json::parse(body).unwrap_or(Json::Null);
        let is_claim = |put: &&Json| {
            let key = put.get("privateKey").text();
            key.starts_with("croftrill/orderer/") && key.ends_with("/present") && losses.key.as_deref().unwrap_or(key) == key
        };
        let put = json.get("put").list().iter().find(is_claim);
        let ended = path.strip_prefix("/v1/kv-lease-end/").and_then(|id| id.parse().ok());
        let late = match put {
            Some(put) if path == "/v1/kv-txn" && losses.claims == 0 => {
                losses.claims = 1;
                losses.lease = put.get("lease").number();
                losses.key = Some(put.get("privateKey").text().to_string());
                Some(2400)
            }
            Some(_) if path == "/v1/kv-txn" && losses.claims == 1 => {
                losses.claims = 2;
                Some(4000)
            }
            _ if ended.is_some() && ended == losses.lease => Some(5500),
            _ => None,
        };
        match late {
            Some(ms) => {
                losses.lost += 1;
                record.line(&format!("store: {path} gets no answer and is done {ms} ms later: {}", String::from_utf8_lossy(body)));
                Fate::LostAndLate(Duration::from_millis(ms))
            }
            None => {
                record.line(&format!("store: {path} is answered"));
                Fate::Answered
            }
        }
    })));
}

/// Returns the orders that break the rule: of another machine within the time, or with a lower token than before.
fn broken(orders: &[SeenOrder]) -> Vec<String> {
    let mut found = Vec::new();
    for (index, order) in orders.iter().enumerate() {
        let mut before = orders[..index].iter().rev().filter(|other| other.replica == order.replica);
        if let Some(last) = before.next() {
            if last.holder != order.holder && order.at - last.at < LEASE_S {
                found.push(format!(
                    "{:.3} s at {}: {} by {} (token {}), {:.3} s after {} by {} (token {})",
                    order.at, order.replica, order.text, order.holder, order.token, order.at - last.at, last.text,
                    last.holder, last.token
                ));
            }
        }
        let highest = orders[..index].iter().filter(|other| other.replica == order.replica).map(|other| other.token).max();
        if highest.is_some_and(|highest| order.token < highest) {
            found.push(format!(
                "{:.3} s at {}: {} by {} with token {} after {}",
                order.at, order.replica, order.text, order.holder, order.token, highest.unwrap_or(0)
            ));
        }
    }
    found
}

pub fn play(scratch: &Path, record: &Record, has_trouble: bool) -> io::Result<Verdict> {
    let store = Store::start()?;
    store.write("op/config", &configuration());
    let seen: Arc<Mutex<Seen>> = Arc::default();
    let mut replicas = Vec::new();
    for number in 0..REPLICAS {
        let spec = Spec {
            service: "lm-pool",
            models: vec![name(2 * number), name(2 * number + 1)],
            // Its disk has copies of four others from earlier.
            copies: (0..4).map(|copy| name(HELD + (4 * number + copy) % COLD)).collect(),
            deadly_part: None,
            back_after: Duration::from_millis(2000),
        };
        replicas.push(Replica::start(&number.to_string(), spec, &store, record, &seen)?);
    }
    let network = network();
    let mut nodes = Vec::new();
    for number in 1..=NODES {
        let mut node = Node::prepare(scratch, network, number, store.address, true)?;
        node.start()?;
        // The first node takes all shards.
        thread::sleep(Duration::from_secs(4));
        nodes.push(node);
    }
    if !nodes.iter().all(|node| node.wait_until_ready(Duration::from_secs(15))) {
        record.say("could not run: a node is not ready");
        return Ok(Verdict::CouldNotRun);
    }
    thread::sleep(Duration::from_secs(4));
    let is_over = Arc::new(AtomicBool::new(false));
    let demand = Arc::new(AtomicBool::new(false));
    let seen_at = Instant::now();
    let mut callers = Vec::new();
    for caller in 0..CALLERS {
        let (is_over, seen, demand) = (is_over.clone(), seen.clone(), demand.clone());
        let fronts: Vec<_> = nodes.iter().map(|node| node.front).collect();
        callers.push(thread::spawn(move || {
            let mut number = caller;
            while !is_over.load(Ordering::Relaxed) {
                let id = format!("a{number:06x}");
                // Demand moves from one half of the models to the other and back.
                let is_second = demand.load(Ordering::Relaxed) && seen_at.elapsed().as_secs() / 3 % 2 == 0;
                let model = caller as usize + if is_second { HELD } else { 0 };
                let front = fronts[(number / CALLERS) as usize % fronts.len()];
                let answer = call(front, &request(&id, &name(model)), Duration::from_secs(1));
                let is_served = answer.is_ok_and(|answer| answer.status == 200 && answer.body.is_some());
                seen.lock().unwrap().served += u32::from(is_served);
                number += CALLERS;
                thread::sleep(Duration::from_millis(300));
            }
        }));
    }
    thread::sleep(BEFORE);
    let losses: Arc<Mutex<Losses>> = Arc::default();
    let mut leader = None;
    if has_trouble {
        // The node that holds most shards.
        let holders: Vec<String> = (0..SHARDS).filter_map(|shard| holder_of(&store, shard)).collect();
        let count = |name: &String| holders.iter().filter(|holder| *holder == name).count();
        let Some(name) = holders.iter().max_by_key(|name| count(name)).cloned() else {
            record.say("could not run: no shard has a holder");
            return Ok(Verdict::CouldNotRun);
        };
        let Some(node) = nodes.iter_mut().find(|node| node.name == name) else {
            return Ok(Verdict::CouldNotRun);
        };
        record.line(&format!("{name}, the holder of {} shards, is killed", count(&name)));
        node.kill();
        lose_answers(&store, record, &losses);
        thread::sleep(DOWN);
        node.write_settings(store.address, false)?;
        node.start()?;
        record.line(&format!("{name} is started again"));
        leader = Some(name);
    }
    thread::sleep(UNTIL_COLD);
    demand.store(true, Ordering::Relaxed);
    record.line("callers ask for models that no replica holds");
    thread::sleep(AFTER);
    is_over.store(true, Ordering::Relaxed);
    for caller in callers {
        let _ = caller.join();
    }
    for node in &mut nodes {
        node.kill();
    }
    let seen = seen.lock().unwrap();
    let losses = losses.lock().unwrap();
    let found = broken(&seen.orders);
    for line in &found {
        record.line(&format!("broken: {line}"));
    }
    record.say(&format!(
        "orders: {}; served: {}; killed: {leader:?}; lost answers: {} of {} writes in 4.5 s; orders that break the \
         rule: {}; the first: {:?}",
        seen.orders.len(),
        seen.served,
        losses.lost,
        losses.writes,
        found.len(),
        found.first()
    ));
    if seen.orders.is_empty() || has_trouble && losses.claims < 2 {
        record.say("could not run: no orders, or the leader did not claim its key twice");
        return Ok(Verdict::CouldNotRun);
    }
    if f64::from(losses.lost) > MAX_LOST_SHARE * f64::from(losses.writes) {
        record.say("could not run: more answers were lost than the pages allow");
        return Ok(Verdict::CouldNotRun);
    }
    Ok(if found.is_empty() { Verdict::Held } else { Verdict::Broken })
}
