//! A replica that asks for rest and then leaves gets the request that waited for the end of the rest.

use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::crash_case::TSOGT;
use crate::engines::{model_headers, models_text, write_events};
use crate::fleet::{Fleet, Network};
use crate::http::{call, write_answer, Request};
use crate::replica::{Replica, Settings};
use crate::store::Store;
use crate::{Stage, Verdict};

const DRAIN: Duration = Duration::from_millis(2000);
/// What the replica that is full for a while names in `Retry-After`.
const REST: Duration = Duration::from_millis(2350);
/// From when it is full until it says `draining`.
const FULL_BEFORE_DRAIN: Duration = Duration::from_millis(250);
/// From when the store has taken `draining` until it ends: `drainMs` and a little longer.
const LEAVES_AFTER: Duration = Duration::from_millis(3000);
const LEAVING: &str = "i-10d774269a";
const OTHERS: [&str; 8] = ["i-20", "i-21", "i-22", "i-23", "i-24", "i-25", "i-26", "i-27"];

#[derive(Default)]
struct Seen {
    full_since: Option<Duration>,
    draining_since: Option<Duration>,
    arrivals: Vec<(Duration, String, &'static str)>,
}

fn run(replica: &Arc<Replica>, request: &Request, stream: &mut TcpStream, seen: &Mutex<Seen>) -> bool {
    let id = request.header("x-croftrill-attempt-id").unwrap_or_default().to_string();
    let now = replica.record.now();
    let is_full = {
        let mut seen = seen.lock().unwrap();
        let is_full = replica.settings.id == LEAVING && seen.full_since.is_some_and(|since| now >= since && now < since + REST);
        if replica.settings.id == LEAVING {
            seen.arrivals.push((now, id.clone(), if is_full { "turned away" } else { "run" }));
        }
        is_full
    };
    if is_full {
        replica.log(&format!("is full: turns {id} away, Retry-After {}", REST.as_secs_f64()));
        let headers = [
            ("X-Croftrill-Attempt-Id", id),
            ("X-Croftrill-Not-Executed", "1".to_string()),
            ("Retry-After", REST.as_secs_f64().to_string()),
        ];
        return write_answer(stream, 503, &headers, b"").is_ok();
    }
    replica.log(&format!("runs {id}"));
    let is_whole = write_events(replica, request, stream, 47, Duration::from_millis(30));
    replica.log(&format!("end of {id}: {}", if is_whole { "whole" } else { "cut off" }));
    is_whole
}

pub fn play(stage: &Stage) -> Option<Verdict> {
    let network = Network::pick();
    let store_address = network.address(1, 0);
    let store = Store::start(store_address).ok()?;
    let config = format!(
        r#"{{"version":7,"routes":[{{"name":"r-dzud","host":"ficu95.example","pathPrefix":"/dzud/","routeKind":"streaming","timeoutMs":25000,"targetLatencyMs":2500,"priority":1,"service":"bulletin-writer","maxAttempts":1,"sessionAffinity":true,"resumable":false,"targetGapMs":150}}],
"services":[{{"name":"bulletin-writer","healthPath":"/healthz","maxConnections":370,"protocol":"h1","tls":false,"engine":{{"slots":64,"kvCapacity":132632,"models":[{}],"weightsMb":220000.0,"adapterSlots":8,"loadsPerS":2.3}}}}],
"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}}}"#,
        models_text(30, 65100, 6.0)
    );
    store.write("op/config", &config);
    let seen = Arc::new(Mutex::new(Seen::default()));
    let held: [&str; 9] = ["m5", "m0", "m1", "m0", "m1", "m0", "m1", "m0", "m1"];
    let mut leaving = None;
    for (index, id) in std::iter::once(LEAVING).chain(OTHERS).enumerate() {
        let settings = Settings {
            id,
            version: "v1",
            service: "bulletin-writer",
            zone: TSOGT.zones[index % 3],
            slots: 64,
            address: network.address(60 + index as u8, 0),
            models: vec![held[index]],
            on_disk: Vec::new(),
            is_engine: true,
            load_time: Duration::from_secs(6),
            first_beat: Duration::ZERO,
        };
        let seen = seen.clone();
        let run = move |replica: &Arc<Replica>, request: &Request, stream: &mut TcpStream| run(replica, request, stream, &seen);
        let replica = Replica::start(settings, store.clone(), stage.record.clone(), Box::new(run)).ok()?;
        leaving = leaving.or(Some(replica));
    }
    let leaving = leaving?;
    let fleet = Fleet::start(&stage.root, &network, &TSOGT, store_address, 8, &stage.record)?;
    thread::sleep(Duration::from_secs(7));
    let full_since = stage.record.now() + Duration::from_secs(2);
    seen.lock().unwrap().full_since = Some(full_since);
    if stage.trouble {
        let (seen, replica) = (seen.clone(), leaving.clone());
        thread::spawn(move || {
            thread::sleep((full_since + FULL_BEFORE_DRAIN).saturating_sub(replica.record.now()));
            replica.drain(None);
            seen.lock().unwrap().draining_since = Some(replica.record.now());
            thread::sleep(LEAVES_AFTER);
            replica.crash("it has left");
            replica.record.line("platform", "the entry goes");
        });
    }
    // The rate of dzud-brief in the site file: 9.42 a second.
    let mut callers = Vec::new();
    let begin = stage.record.now();
    let mut number = 0usize;
    while stage.record.now() < begin + Duration::from_secs(7) {
        number += 1;
        let (front, record) = (fleet.nodes[number % fleet.nodes.len()].front, stage.record.clone());
        callers.push(thread::spawn(move || {
            let id = format!("b{number:05}");
            let parts = format!("aa01:103,bb02:69,{number:x}cc:371");
            let headers = model_headers(&id, "ficu95.example", "m5", "543,280", &parts, 25000);
            let body = format!("prompt {number}");
            let seen = call(front, "POST", "/dzud/brief", &headers, body.as_bytes(), Duration::from_secs(25));
            record.line("client", &format!("{id}: {}", seen.text()));
        }));
        thread::sleep(Duration::from_millis(106));
    }
    callers.into_iter().for_each(|caller| drop(caller.join()));
    for line in fleet.log_lines(&["requests a cooldown", "outcome=\"taken\"", "panicked"]) {
        stage.record.line("log", &line);
    }
    let seen = seen.lock().unwrap();
    let Some(draining) = seen.draining_since else {
        stage.record.say("the replica did not leave: no request can have reached it too late");
        return Some(Verdict::Held);
    };
    let late: Vec<_> = seen.arrivals.iter().filter(|(at, _, _)| *at > draining + DRAIN).collect();
    for (at, id, what) in &late {
        let after = (*at - draining).as_millis();
        stage.record.say(&format!("{id} reached {LEAVING} {after} ms after the store had taken its draining, where 2000 are allowed: {what}"));
    }
    stage.record.say(&format!("{} requests reached it too late", late.len()));
    Some(if late.is_empty() { Verdict::Held } else { Verdict::Broken })
}
