//! Streams of a replica that is taken away wait for their model at another one, and clients leave.

use std::collections::BTreeMap;
use std::net::{Shutdown, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::engines::{model_headers, models_text, write_events};
use crate::fleet::{Fleet, Network, Site};
use crate::http::{connect, read_answer, write_request, Request};
use crate::replica::{Replica, Settings};
use crate::store::Store;
use crate::{Stage, Verdict};

/// Bounds of syt-intake.
pub const SYT: Site = Site {
    zones: &["kochi-a", "kochi-b", "kochi-c"],
    heartbeat_ms: 1200,
    bounds: r#"{"seedLagS":3,"reuseAfterS":2,"contactMs":3000,"ackMs":4000,"catchUpS":4,"drainMs":2000,"graceS":8,"lossSlackMs":200,"configDeadlineMs":2000,"downgradeSlackMs":250,"maxSkewMs":5000,"retryBudgetRatio":0.2,"budgetWindowS":10,"retryBudgetSlack":54,"recoverS":12,"passMs":120,"retryAfterS":0,"fencingEnforced":false,"leaseMs":3000,"thawMs":300,"ceilingWindowS":5,"originRateOverage":1.1,"ttl_max_s":5}"#,
};
/// Time after the close of its client from which a request may not reach a replica.
const LATE: Duration = Duration::from_millis(500);
/// "More than a few".
const A_FEW: usize = 3;
const CLIENTS: usize = 30;
/// Time between two streams' beginnings.
const APART: Duration = Duration::from_millis(25);
/// The notice of a replica that is taken away (`scale_in`, `spot`).
const NOTICE_MS: u64 = 1500;
/// Three in ten leave, within half of the objective from their request.
const LEAVE_AFTER: Duration = Duration::from_millis(2300);
const LEAVING: &str = "i-90c1";
const IDS: [&str; 18] = [
    LEAVING, "i-90c2", "i-90c3", "i-90c4", "i-90c5", "i-90c6", "i-90c7", "i-90c8", "i-90c9", "i-90ca", "i-90cb", "i-90cc",
    "i-90cd", "i-90ce", "i-90cf", "i-90d0", "i-90d1", "i-90d2",
];

type Arrivals = Arc<Mutex<Vec<(Duration, String, &'static str)>>>;

fn run(replica: &Arc<Replica>, request: &Request, stream: &mut TcpStream, arrivals: &Arrivals) -> bool {
    let id = request.header("x-croftrill-attempt-id").unwrap_or_default().to_string();
    let after = request.header("last-event-id").unwrap_or("none").to_string();
    arrivals.lock().unwrap().push((replica.record.now(), id.clone(), replica.settings.id));
    replica.log(&format!("begins {id}, Last-Event-Id {after}"));
    let is_whole = write_events(replica, request, stream, 13, Duration::from_millis(250));
    replica.log(&format!("end of {id}: {}", if is_whole { "whole" } else { "cut off" }));
    is_whole
}

pub fn play(stage: &Stage) -> Option<Verdict> {
    let network = Network::pick();
    let store_address = network.address(1, 0);
    let store = Store::start(store_address).ok()?;
    let config = format!(
        r#"{{"version":7,"routes":[{{"name":"r-claim","host":"kavu11.example","pathPrefix":"/claim/","routeKind":"streaming","timeoutMs":15000,"targetLatencyMs":5000,"priority":2,"service":"lm-pool","maxAttempts":2,"sessionAffinity":true,"resumable":true,"targetGapMs":300}}],
"services":[{{"name":"lm-pool","healthPath":"/healthz","maxConnections":360,"protocol":"h1","tls":false,"engine":{{"slots":64,"kvCapacity":265792,"models":[{}],"weightsMb":210000.0,"adapterSlots":8,"loadsPerS":4.2}}}}],
"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}}}"#,
        models_text(61, 65100, 3.0)
    );
    store.write("op/config", &config);
    let arrivals: Arrivals = Arc::default();
    let mut leaving = None;
    for (index, id) in IDS.into_iter().enumerate() {
        let settings = Settings {
            id,
            version: "v1",
            service: "lm-pool",
            zone: SYT.zones[index % 3],
            slots: 64,
            address: network.address(60 + index as u8, 0),
            models: vec![if index == 0 { "m7" } else { "m0" }],
            on_disk: Vec::new(),
            is_engine: true,
            load_time: Duration::from_secs(3),
            first_beat: Duration::ZERO,
        };
        let arrivals = arrivals.clone();
        let run = move |replica: &Arc<Replica>, request: &Request, stream: &mut TcpStream| run(replica, request, stream, &arrivals);
        let replica = Replica::start(settings, store.clone(), stage.record.clone(), Box::new(run)).ok()?;
        leaving = leaving.or(Some(replica));
    }
    let leaving = leaving?;
    let fleet = Fleet::start(&stage.root, &network, &SYT, store_address, 7, &stage.record)?;
    thread::sleep(Duration::from_secs(7));
    if stage.trouble {
        let replica = leaving.clone();
        thread::spawn(move || {
            thread::sleep(APART * CLIENTS as u32 + Duration::from_millis(50));
            replica.drain(Some(NOTICE_MS));
            thread::sleep(Duration::from_millis(NOTICE_MS));
            replica.crash("it is taken away");
        });
    }
    let left: Arc<Mutex<BTreeMap<String, Duration>>> = Arc::default();
    let mut callers = Vec::new();
    for number in 0..CLIENTS {
        let (front, record, left) = (fleet.nodes[number % fleet.nodes.len()].front, stage.record.clone(), left.clone());
        callers.push(thread::spawn(move || {
            let id = format!("c{number:03}");
            let parts = format!("5c1e07a2:6300,{number:x}4402b7:2890");
            let headers = model_headers(&id, "kavu11.example", "m7", "9190,52", &parts, 15000);
            let Ok(mut stream) = connect(front) else { return };
            let _ = stream.set_read_timeout(Some(Duration::from_secs(15)));
            let body = format!("prompt {number}");
            if write_request(&mut stream, "POST", "/claim/summary", &headers, body.as_bytes()).is_err() {
                return;
            }
            if number % 10 < 3 {
                thread::sleep(LEAVE_AFTER);
                left.lock().unwrap().insert(id.clone(), record.now());
                let _ = stream.shutdown(Shutdown::Both);
                drop(stream);
                record.line("client", &format!("{id} leaves: it closes its connection"));
                return;
            }
            record.line("client", &format!("{id}: {}", read_answer(stream).text()));
        }));
        thread::sleep(APART);
    }
    callers.into_iter().for_each(|caller| drop(caller.join()));
    thread::sleep(Duration::from_secs(4));
    for line in fleet.log_lines(&["stream cut off", "caller gone", "panicked"]) {
        stage.record.line("log", &line);
    }
    let left = left.lock().unwrap();
    let arrivals = arrivals.lock().unwrap();
    let late: Vec<String> = arrivals
        .iter()
        .filter_map(|(at, id, replica)| {
            let after = at.checked_sub(*left.get(id)?)?;
            (after > LATE).then(|| format!("{id} reached {replica} {} ms after its client had left", after.as_millis()))
        })
        .collect();
    late.iter().for_each(|line| stage.record.say(line));
    stage.record.say(&format!("{} of {} requests whose clients had left reached a replica over 500 ms later", late.len(), left.len()));
    Some(if late.len() > A_FEW { Verdict::Broken } else { Verdict::Held })
}
