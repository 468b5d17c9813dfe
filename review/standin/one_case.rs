//! A machine that gave orders is lost for good, and another one of the same name comes.

use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::crash_case::TSOGT;
use crate::engines::{model_headers, write_events};
use crate::fleet::{Fleet, Network};
use crate::http::{call, Request};
use crate::replica::{Replica, Settings};
use crate::store::Store;
use crate::{Stage, Verdict};

const LEASE: Duration = Duration::from_millis(3000);

pub fn play(stage: &Stage) -> Option<Verdict> {
    let network = Network::pick();
    let store_address = network.address(1, 0);
    let store = Store::start(store_address).ok()?;
    let config = r#"{"version":7,"routes":[{"name":"r-day","host":"ficu95.example","pathPrefix":"/day/","routeKind":"streaming","timeoutMs":12000,"targetLatencyMs":500,"priority":2,"service":"bulletin-writer","maxAttempts":2,"sessionAffinity":true,"resumable":true,"targetGapMs":150}],
"services":[{"name":"bulletin-writer","healthPath":"/healthz","maxConnections":370,"protocol":"h1","tls":false,"engine":{"slots":64,"kvCapacity":132632,"models":[{"name":"m0","weightsMb":72700.0,"loadS":6.0,"adapters":28,"adapterMb":66.0,"warmS":0.4,"diskLoadS":0.84},{"name":"m2","weightsMb":72700.0,"loadS":6.0,"adapters":15,"adapterMb":66.0,"warmS":0.4,"diskLoadS":0.84},{"name":"m4","weightsMb":72700.0,"loadS":6.0,"adapters":15,"adapterMb":66.0,"warmS":0.4,"diskLoadS":0.84}],"weightsMb":220000.0,"adapterSlots":8,"loadsPerS":2.3}}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#;
    store.write("op/config", config);
    let mut replicas = Vec::new();
    for (index, id) in ["i-30", "i-31", "i-32"].into_iter().enumerate() {
        let settings = Settings {
            id,
            version: "v1",
            service: "bulletin-writer",
            zone: TSOGT.zones[index % 3],
            slots: 64,
            address: network.address(60 + index as u8, 0),
            models: vec!["m0", "m2", "m4"],
            on_disk: Vec::new(),
            is_engine: true,
            load_time: Duration::from_secs(6),
            first_beat: Duration::ZERO,
        };
        let run = |replica: &Arc<Replica>, request: &Request, stream: &mut TcpStream| write_events(replica, request, stream, 8, Duration::from_millis(10));
        replicas.push(Replica::start(settings, store.clone(), stage.record.clone(), Box::new(run)).ok()?);
    }
    let mut fleet = Fleet::start(&stage.root, &network, &TSOGT, store_address, 3, &stage.record)?;
    thread::sleep(Duration::from_secs(6));
    let fronts: Vec<_> = fleet.nodes.iter().map(|node| node.front).collect();
    let (record, names) = (stage.record.clone(), fleet.nodes.iter().map(|node| node.name.clone()).collect::<Vec<_>>());
    let load = thread::spawn(move || {
        let mut callers = Vec::new();
        for number in 0..400usize {
            let (front, record) = (fronts[number % fronts.len()], record.clone());
            callers.push(thread::spawn(move || {
                let id = format!("a{number:04}");
                let model = match number * 7 % 58 {
                    number @ 0..28 => format!("m0/a{}", number + 1),
                    number @ 28..43 => format!("m2/a{}", number - 27),
                    number => format!("m4/a{}", number - 42),
                };
                let headers = model_headers(&id, "ficu95.example", &model, "543,280", &format!("aa01:103,{number:x}cc:440"), 12000);
                let seen = call(front, "POST", "/day/x", &headers, format!("prompt {number}").as_bytes(), Duration::from_secs(12));
                record.line("client", &format!("{id}: {}", seen.text()));
            }));
            thread::sleep(Duration::from_millis(50));
        }
        callers.into_iter().for_each(|caller| drop(caller.join()));
    });
    thread::sleep(Duration::from_secs(8));
    let last = replicas.iter().filter_map(|replica| replica.orders_seen.lock().unwrap().last().cloned()).max_by_key(|order| order.0)?;
    let index = names.iter().position(|name| *name == last.1)? as u8;
    let lost_at = stage.record.now();
    if stage.trouble {
        stage.record.say(&format!("{} is lost for good; another machine of this name comes at a new address 1 s later", last.1));
        fleet.replace(&stage.root, &network, &TSOGT, store_address, index, Duration::from_secs(1))?;
    }
    drop(load.join());
    for line in fleet.log_lines(&["lease acquired", "panicked"]) {
        stage.record.line("log", &line);
    }
    let mut turns = 0;
    for replica in &replicas {
        let orders = replica.orders_seen.lock().unwrap();
        let of_name = |order: &&(Duration, String, u64)| order.1 == last.1;
        let before = orders.iter().filter(of_name).filter(|order| order.0 <= lost_at).next_back();
        let after = orders.iter().filter(of_name).find(|order| order.0 > lost_at + Duration::from_millis(900));
        if let (Some(before), Some(after), true) = (before, after, stage.trouble) {
            let gap = after.0 - before.0;
            if gap < LEASE {
                turns += 1;
                stage.record.say(&format!("{}: orders of two machines {} ms apart", replica.settings.id, gap.as_millis()));
            }
        }
    }
    stage.record.say(&format!("two machines took turns within leaseMs at {turns} replicas"));
    Some(if turns > 0 { Verdict::Broken } else { Verdict::Held })
}
