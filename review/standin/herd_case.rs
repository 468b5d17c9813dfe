//! All nodes are killed at once and start again: clients take up the streams that broke.

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

/// Streams that are under way when the nodes are killed, and their distance: the rate of claim-summary in the
/// site file is 3.19 a second.
const STREAMS: usize = 16;
const APART: Duration = Duration::from_millis(220);
/// Time until the processes start again.
const DOWN: Duration = Duration::from_millis(1000);
/// A node is in touch again this long after its start.
const CONTACT: Duration = Duration::from_millis(3000);

fn start(number: usize, fronts: &Arc<Vec<SocketAddr>>, stage: &Stage, counts: &Arc<Mutex<Counts>>, tries: Tries) -> thread::JoinHandle<()> {
    counts.lock().unwrap().new += 1;
    let (fronts, record, counts) = (fronts.clone(), stage.record.clone(), counts.clone());
    thread::spawn(move || client(number, "m0", &fronts, &record, &counts, tries))
}

pub fn play(stage: &Stage) -> Option<Verdict> {
    let network = Network::pick();
    let store_address = network.address(1, 0);
    let store = Store::start(store_address).ok()?;
    store.write("op/config", &config());
    for (index, id) in IDS.into_iter().enumerate() {
        let settings = Settings {
            id,
            version: "v1",
            service: "lm-pool",
            zone: SYT.zones[index % 3],
            slots: 64,
            address: network.address(60 + index as u8, 0),
            models: vec!["m0"],
            on_disk: Vec::new(),
            is_engine: true,
            load_time: Duration::from_secs(3),
            first_beat: Duration::ZERO,
        };
        Replica::start(settings, store.clone(), stage.record.clone(), Box::new(run as fn(&Arc<Replica>, &Request, &mut TcpStream) -> bool)).ok()?;
    }
    let mut fleet = Fleet::start(&stage.root, &network, &SYT, store_address, 7, &stage.record)?;
    thread::sleep(Duration::from_secs(7));
    let fronts: Arc<Vec<SocketAddr>> = Arc::new(fleet.nodes.iter().map(|node| node.front).collect());
    let (old, new) = (Arc::new(Mutex::new(Counts::default())), Arc::new(Mutex::new(Counts::default())));
    // The nodes are killed right after the last of these streams began.
    let started_again = stage.record.now() + APART * STREAMS as u32 + Duration::from_millis(100) + DOWN;
    let in_touch = started_again + CONTACT + Duration::from_millis(600);
    let tries = Tries { count: 5, first_pause: Duration::from_millis(1500), pause: Duration::from_millis(1500), counted_after: Some(in_touch) };
    let mut callers = Vec::new();
    for number in 0..STREAMS {
        callers.push(start(number, &fronts, stage, &old, tries));
        thread::sleep(APART);
    }
    thread::sleep(Duration::from_millis(100));
    if stage.trouble {
        stage.record.line("platform", "all nodes are killed");
        fleet.restart_all(&stage.root, &network, &SYT, store_address, DOWN)?;
        stage.record.line("platform", "all nodes have been started again");
    }
    // New streams, from when the nodes are in touch again.
    thread::sleep(in_touch.saturating_sub(stage.record.now()));
    for number in 100..140 {
        callers.push(start(number, &fronts, stage, &new, tries));
        thread::sleep(APART);
    }
    callers.into_iter().for_each(|caller| drop(caller.join()));
    for line in fleet.log_lines(&["the version of the stream is not known", "panicked"]) {
        stage.record.line("log", &line);
    }
    let (old, new) = (old.lock().unwrap(), new.lock().unwrap());
    let begun = new.begun as f64 / new.new as f64;
    let went_on = old.went_on as f64 / old.taken_up.max(1) as f64;
    stage.record.say(&format!(
        "{} of {} new streams began; of {} streams that clients took up again at nodes in touch, {} went on",
        new.begun, new.new, old.taken_up, old.went_on
    ));
    Some(if old.taken_up >= 12 && went_on < begun / 2.0 { Verdict::Broken } else { Verdict::Held })
}
