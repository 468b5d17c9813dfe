//! Half of the replicas are replaced, one after the other, by ones of another software version.

use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::fleet::{Fleet, Network};
use crate::gone_case::SYT;
use crate::http::Request;
use crate::lost_case::{client, config, run, Counts, Tries, IDS};
use crate::replica::{Replica, Settings};
use crate::store::Store;
use crate::{Stage, Verdict};

/// The sheet's one retry.
const TRIES: Tries = Tries { count: 1, first_pause: Duration::ZERO, pause: Duration::from_millis(400), counted_after: None };
/// Replicas that are replaced (`release`, share .5), each the only holder of three models.
const REPLACED: usize = 9;
const MODELS: [[&str; 3]; REPLACED] = [
    ["m1", "m2", "m3"], ["m4", "m5", "m6"], ["m7", "m8", "m9"], ["m10", "m11", "m12"], ["m13", "m14", "m15"],
    ["m16", "m17", "m18"], ["m19", "m20", "m21"], ["m22", "m23", "m24"], ["m25", "m26", "m27"],
];
const NEW: [&str; REPLACED] = ["i-a0c1", "i-a0c2", "i-a0c3", "i-a0c4", "i-a0c5", "i-a0c6", "i-a0c7", "i-a0c8", "i-a0c9"];
/// From `draining` until the end: `drainMs` and a little longer.
const LEAVES_AFTER: Duration = Duration::from_millis(2500);
const STREAMS: usize = 460;

fn settings(id: &'static str, version: &'static str, index: usize, address: SocketAddr, models: Vec<&'static str>) -> Settings {
    Settings {
        id,
        version,
        service: "lm-pool",
        zone: SYT.zones[index % 3],
        slots: 64,
        address,
        models,
        on_disk: Vec::new(),
        is_engine: true,
        load_time: Duration::from_secs(3),
        first_beat: Duration::ZERO,
    }
}

pub fn play(stage: &Stage) -> Option<Verdict> {
    let network = Network::pick();
    let store_address = network.address(1, 0);
    let store = Store::start(store_address).ok()?;
    store.write("op/config", &config());
    let run = run as fn(&Arc<Replica>, &Request, &mut TcpStream) -> bool;
    let mut replicas = Vec::new();
    for (index, id) in IDS.into_iter().enumerate() {
        let models = MODELS.get(index).map_or(vec!["m0"], |models| models.to_vec());
        let settings = settings(id, "v1", index, network.address(60 + index as u8, 0), models);
        replicas.push(Replica::start(settings, store.clone(), stage.record.clone(), Box::new(run)).ok()?);
    }
    let fleet = Fleet::start(&stage.root, &network, &SYT, store_address, 7, &stage.record)?;
    thread::sleep(Duration::from_secs(7));
    let fronts: Arc<Vec<SocketAddr>> = Arc::new(fleet.nodes.iter().map(|node| node.front).collect());
    if stage.trouble {
        let addresses: Vec<SocketAddr> = (0..REPLACED).map(|index| network.address(100 + index as u8, 0)).collect();
        let (store, record) = (store.clone(), stage.record.clone());
        thread::spawn(move || {
            thread::sleep(Duration::from_secs(4));
            for index in 0..REPLACED {
                let settings = settings(NEW[index], "v2", index, addresses[index], Vec::new());
                let _ = Replica::start(settings, store.clone(), record.clone(), Box::new(run));
                thread::sleep(Duration::from_millis(300));
                let (old, store) = (replicas[index].clone(), store.clone());
                old.drain(None);
                thread::spawn(move || {
                    thread::sleep(LEAVES_AFTER);
                    old.crash("it has left");
                    store.delete(&format!("servers/{}", old.settings.id));
                });
                thread::sleep(Duration::from_millis(700));
            }
        });
    }
    let counts: Arc<Mutex<Counts>> = Arc::default();
    let mut callers = Vec::new();
    for number in 0..STREAMS {
        let place = number * 7 % (REPLACED * 3);
        let model = if number % 4 == 0 { "m0" } else { MODELS[place / 3][place % 3] };
        let (fronts, record, counts) = (fronts.clone(), stage.record.clone(), counts.clone());
        counts.lock().unwrap().new += 1;
        callers.push(thread::spawn(move || client(number, model, &fronts, &record, &counts, TRIES)));
        thread::sleep(Duration::from_millis(35));
    }
    callers.into_iter().for_each(|caller| drop(caller.join()));
    let counts = counts.lock().unwrap();
    let begun = counts.begun as f64 / counts.new as f64;
    let went_on = counts.went_on as f64 / counts.taken_up.max(1) as f64;
    stage.record.say(&format!(
        "{} of {} new streams began; of {} streams that clients took up again, {} went on",
        counts.begun, counts.new, counts.taken_up, counts.went_on
    ));
    Some(if counts.taken_up >= 12 && went_on < begun / 2.0 { Verdict::Broken } else { Verdict::Held })
}
