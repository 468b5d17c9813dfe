//! Streams of the only holder of their models, which crashes: clients take them up again.

use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::engines::{model_headers, models_text, write_events};
use crate::fleet::{Fleet, Network};
use crate::gone_case::SYT;
use crate::http::{call, find, Request, Seen};
use crate::record::Record;
use crate::replica::{Replica, Settings};
use crate::store::Store;
use crate::{Stage, Verdict};

/// Events of a stream.
pub const EVENTS: u32 = 13;
const DEADLINE: Duration = Duration::from_millis(15_000);
/// Rare models, of which the replica that crashes is the only holder.
const RARE: [&str; 3] = ["m7", "m8", "m9"];
/// Streams for them.
const STREAMS: usize = 15;
/// Time between two of these: about the rate of claim-summary in the site file, 3.19 a second.
const APART: Duration = Duration::from_millis(240);
/// Pause between two events; the route's `targetGapMs` is 300.
const GAP: Duration = Duration::from_millis(290);
/// From the first stream until the crash.
const CRASH_AFTER: Duration = Duration::from_millis(3550);
/// How a client tries again: the sheet says once, PROTOCOL.md "a few times".
const TRIES: Tries = Tries { count: 3, first_pause: Duration::ZERO, pause: Duration::from_millis(400), counted_after: None };
/// Three heartbeats, after which the entry of a silent replica goes.
const ENTRY_GOES_AFTER: Duration = Duration::from_millis(3600);
const CRASHING: &str = "i-90c1";
/// The replicas.
pub const IDS: [&str; 18] = [
    CRASHING, "i-90c2", "i-90c3", "i-90c4", "i-90c5", "i-90c6", "i-90c7", "i-90c8", "i-90c9", "i-90ca", "i-90cb", "i-90cc",
    "i-90cd", "i-90ce", "i-90cf", "i-90d0", "i-90d1", "i-90d2",
];

/// Counts of streams.
#[derive(Default)]
pub struct Counts {
    pub new: usize,
    pub begun: usize,
    pub taken_up: usize,
    pub went_on: usize,
}

/// How a client takes a stream up again.
#[derive(Clone, Copy)]
pub struct Tries {
    pub count: usize,
    /// Pause before the first one.
    pub first_pause: Duration,
    /// Shortest pause before another one.
    pub pause: Duration,
    /// From when on those count that are made; all if there is none.
    pub counted_after: Option<Duration>,
}

/// Runs a request for a stream.
pub fn run(replica: &Arc<Replica>, request: &Request, stream: &mut TcpStream) -> bool {
    let id = request.header("x-croftrill-attempt-id").unwrap_or_default().to_string();
    let after = request.header("last-event-id").unwrap_or("none").to_string();
    replica.log(&format!("begins {id}, Last-Event-Id {after}"));
    let is_whole = write_events(replica, request, stream, EVENTS, GAP);
    replica.log(&format!("end of {id}: {}", if is_whole { "whole" } else { "cut off" }));
    is_whole
}

fn last_event(body: &[u8]) -> Option<u32> {
    let text = String::from_utf8_lossy(body);
    let whole = &text[..text.rfind("\n\n")? + 1];
    whole.lines().filter_map(|line| line.strip_prefix("id: ")?.parse().ok()).last()
}

/// Asks for a stream, and takes it up again after it broke, as a client of PROTOCOL.md does: on a new
/// connection to another node, no earlier than `Retry-After` says, a few times within its deadline.
pub fn client(number: usize, model: &str, fronts: &[SocketAddr], record: &Record, counts: &Mutex<Counts>, tries: Tries) {
    let until = Instant::now() + DEADLINE;
    let mut last: Option<u32> = None;
    let mut began: Option<String> = None;
    let (mut taken_up, mut went_on) = (false, false);
    for attempt in 0..=tries.count {
        let id = format!("{model}-{number:03}-{attempt}");
        let left = until.saturating_duration_since(Instant::now());
        let parts = format!("5c1e07a2:6300,{number:x}4402b7:2890");
        let mut headers = model_headers(&id, "kavu11.example", model, "9190,52", &parts, left.as_millis() as u64);
        if let (Some(last), Some(began)) = (last, &began) {
            headers.push(("Last-Event-Id", last.to_string()));
            headers.push(("Resumes", began.clone()));
        }
        let is_counted = tries.counted_after.is_none_or(|after| record.now() > after);
        if began.is_some() && is_counted && !taken_up {
            taken_up = true;
            counts.lock().unwrap().taken_up += 1;
        }
        let front = fronts[(number + attempt * 3) % fronts.len()];
        let body = format!("prompt of stream {number}");
        let seen = call(front, "POST", "/claim/summary", &headers, body.as_bytes(), left);
        record.line("client", &format!("attempt {id}, Last-Event-Id {last:?}: {}", seen.text()));
        let (status, body) = match &seen {
            Seen::Answer { status, body, .. } => (Some(*status), body.clone()),
            Seen::CutOff { status, body } => (*status, body.clone()),
            Seen::NoConnection(_) => (None, Vec::new()),
        };
        let brought = last_event(&body).filter(|_| status == Some(200));
        if let Some(event) = brought {
            if began.is_none() {
                counts.lock().unwrap().begun += 1;
            } else if !went_on {
                went_on = true;
                counts.lock().unwrap().went_on += 1;
            }
            began.get_or_insert(id);
            last = Some(event);
        }
        if last == Some(EVENTS) && seen.status() == Some(200) {
            return;
        }
        let longest = until.saturating_duration_since(Instant::now()) / 3;
        if attempt == 0 {
            thread::sleep(tries.first_pause);
        } else if let Seen::Answer { headers, .. } = &seen {
            let again: f64 = find(headers, "retry-after").and_then(|text| text.parse().ok()).unwrap_or(0.0);
            thread::sleep(Duration::from_secs_f64(again).max(tries.pause).min(longest));
        }
    }
}

/// The configuration.
pub fn config() -> String {
    format!(
        r#"{{"version":7,"routes":[{{"name":"r-claim","host":"kavu11.example","pathPrefix":"/claim/","routeKind":"streaming","timeoutMs":15000,"targetLatencyMs":5000,"priority":2,"service":"lm-pool","maxAttempts":2,"sessionAffinity":true,"resumable":true,"targetGapMs":300}}],
"services":[{{"name":"lm-pool","healthPath":"/healthz","maxConnections":360,"protocol":"h1","tls":false,"engine":{{"slots":64,"kvCapacity":265792,"models":[{}],"weightsMb":210000.0,"adapterSlots":8,"loadsPerS":4.2}}}}],
"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}}}"#,
        models_text(61, 65100, 3.0)
    )
}

pub fn play(stage: &Stage) -> Option<Verdict> {
    let network = Network::pick();
    let store_address = network.address(1, 0);
    let store = Store::start(store_address).ok()?;
    store.write("op/config", &config());
    let mut crashing = None;
    for (index, id) in IDS.into_iter().enumerate() {
        let settings = Settings {
            id,
            version: "v1",
            service: "lm-pool",
            zone: SYT.zones[index % 3],
            slots: 64,
            address: network.address(60 + index as u8, 0),
            models: if index == 0 { RARE.to_vec() } else { vec!["m0"] },
            on_disk: Vec::new(),
            is_engine: true,
            load_time: Duration::from_secs(3),
            first_beat: Duration::ZERO,
        };
        let replica = Replica::start(settings, store.clone(), stage.record.clone(), Box::new(run)).ok()?;
        crashing = crashing.or(Some(replica));
    }
    let crashing = crashing?;
    let fleet = Fleet::start(&stage.root, &network, &SYT, store_address, 7, &stage.record)?;
    thread::sleep(Duration::from_secs(7));
    let fronts: Arc<Vec<SocketAddr>> = Arc::new(fleet.nodes.iter().map(|node| node.front).collect());
    if stage.trouble {
        let (replica, store) = (crashing.clone(), store.clone());
        thread::spawn(move || {
            thread::sleep(CRASH_AFTER);
            replica.crash("a crash, for good");
            thread::sleep(ENTRY_GOES_AFTER);
            store.delete(&format!("servers/{CRASHING}"));
            replica.record.line("store", "its entry goes, after three heartbeats of silence");
        });
    }
    let (old, new) = (Arc::new(Mutex::new(Counts::default())), Arc::new(Mutex::new(Counts::default())));
    let mut callers = Vec::new();
    // Streams for the rare models until there are enough, and between them streams for the busy one; after the
    // crash every fourth is for a rare model again.
    for number in 0..100 {
        let is_old = number % 2 == 0 && number < 2 * STREAMS;
        let is_rare = is_old || number > 2 * STREAMS + 10 && number % 4 == 0;
        let counts = if is_old { old.clone() } else { new.clone() };
        counts.lock().unwrap().new += 1;
        let model = if is_rare { RARE[number / 2 % RARE.len()] } else { "m0" };
        let (fronts, record) = (fronts.clone(), stage.record.clone());
        callers.push(thread::spawn(move || client(number, model, &fronts, &record, &counts, TRIES)));
        thread::sleep(APART / 2);
    }
    callers.into_iter().for_each(|caller| drop(caller.join()));
    for line in fleet.log_lines(&["stream cut off", "no replica of its version", "a request that ended replicas came", "panicked"]) {
        stage.record.line("log", &line);
    }
    let (old, new) = (old.lock().unwrap(), new.lock().unwrap());
    let begun = (old.begun + new.begun) as f64 / (old.new + new.new) as f64;
    let taken_up = old.taken_up + new.taken_up;
    let went_on = (old.went_on + new.went_on) as f64 / taken_up.max(1) as f64;
    stage.record.say(&format!(
        "{} of {} new streams began; of {} streams that clients took up again, {} went on",
        old.begun + new.begun, old.new + new.new, taken_up, old.went_on + new.went_on
    ));
    Some(if taken_up >= 12 && went_on < begun / 2.0 { Verdict::Broken } else { Verdict::Held })
}
