//! A part of prompts that crashes replicas and stands behind many others.

use std::io;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::call;
use crate::node::{network, Node};
use crate::record::Record;
use crate::replica::{Replica, Seen, Spec};
use crate::store::Store;
use crate::Verdict;

const NODES: u8 = 3;
const REPLICAS: usize = 6;
/// Parts that all prompts share: those of a long conversation.
const SHARED_PARTS: usize = 70;
const DEADLY: &str = "dead0bad";
/// Time for which the requests come.
const PLAY: Duration = Duration::from_secs(30);
const DEADLY_INTERVAL: Duration = Duration::from_millis(700);
const SOUND_PAUSE: Duration = Duration::from_millis(150);
const SOUND_CALLERS: u32 = 4;
/// `contactMs` of the settings.
const CONTACT_S: f64 = 3.0;

fn configuration() -> String {
    r#"{"version":1,"routes":[{"name":"summary","host":"desk.example","pathPrefix":"/summary/","routeKind":"streaming",
"timeoutMs":5000,"targetLatencyMs":600,"targetGapMs":300,"priority":1,"service":"lm-pool","maxAttempts":1,
"sessionAffinity":true,"resumable":false}],
"services":[{"name":"lm-pool","healthPath":"/healthz","maxConnections":360,"engine":{"slots":64,"kvCapacity":244881,
"weightsMb":200000,"adapterSlots":8,"loadsPerS":4,"models":[{"name":"m1","weightsMb":65100,"loadS":2.9,"warmS":0.57,
"diskLoadS":1.2,"adapters":0,"adapterMb":12}]}}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#
        .to_string()
}

/// Returns a prompt's parts: the shared ones, one more, and its own.
fn parts(last_shared: &str, number: u32) -> String {
    let shared = (1..=SHARED_PARTS).map(|part| format!("{:08x}:60", 0xaa0000 + part));
    let mut parts: Vec<String> = shared.collect();
    parts.push(format!("{last_shared}:60"));
    parts.push(format!("{:08x}:20", number));
    parts.join(",")
}

fn request(id: &str, parts: &str) -> Vec<u8> {
    let body = format!("prompt of {id}");
    format!(
        "POST /summary/2f HTTP/1.1\r\nhost: desk.example\r\nx-croftrill-attempt-id: {id}\r\n\
         x-croftrill-model: m1\r\nx-croftrill-token-usage: 4280,12\r\nx-croftrill-prefix-hash: {parts}\r\n\
         x-croftrill-deadline-ms: 5000\r\nconnection: close\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

pub fn play(scratch: &Path, record: &Record, has_trouble: bool) -> io::Result<Verdict> {
    let store = Store::start()?;
    store.write("op/config", &configuration());
    let seen: Arc<Mutex<Seen>> = Arc::default();
    let mut replicas = Vec::new();
    for number in 1..=REPLICAS {
        let spec = Spec {
            service: "lm-pool",
            models: vec!["m1".to_string()],
            copies: Vec::new(),
            deadly_part: has_trouble.then(|| DEADLY.to_string()),
            back_after: Duration::from_millis(2000),
        };
        replicas.push(Replica::start(&number.to_string(), spec, &store, record, &seen)?);
    }
    let network = network();
    let mut nodes = Vec::new();
    for number in 1..=NODES {
        let mut node = Node::prepare(scratch, network, number, store.address, true)?;
        node.start()?;
        nodes.push(node);
    }
    if !nodes.iter().all(|node| node.wait_until_ready(Duration::from_secs(15))) {
        record.say("could not run: a node is not ready");
        return Ok(Verdict::CouldNotRun);
    }
    // All machines are in touch, and know each other.
    thread::sleep(Duration::from_secs(6));
    let fronts: Vec<_> = nodes.iter().map(|node| node.front).collect();
    let is_over = Arc::new(AtomicBool::new(false));
    let (sent, served) = (Arc::new(AtomicU32::new(0)), Arc::new(AtomicU32::new(0)));
    let mut callers = Vec::new();
    for caller in 0..SOUND_CALLERS {
        let (is_over, sent, served, record) = (is_over.clone(), sent.clone(), served.clone(), record.clone());
        let fronts = fronts.clone();
        callers.push(thread::spawn(move || {
            let mut number = caller;
            while !is_over.load(Ordering::Relaxed) {
                let id = format!("a{number:06x}");
                let front = fronts[number as usize % fronts.len()];
                let answer = call(front, &request(&id, &parts("00aa1000", 0x100000 + number)), Duration::from_secs(6));
                let is_served = answer.as_ref().is_ok_and(|answer| answer.status == 200 && answer.body.is_some());
                sent.fetch_add(1, Ordering::Relaxed);
                served.fetch_add(u32::from(is_served), Ordering::Relaxed);
                if !is_served {
                    record.line(&format!("sound {id}: {:?}", answer.map(|answer| answer.status)));
                }
                number += SOUND_CALLERS;
                thread::sleep(SOUND_PAUSE);
            }
        }));
    }
    let started = Instant::now();
    let mut number = 0;
    let mut calls = Vec::new();
    while started.elapsed() < PLAY {
        let front = fronts[number as usize % fronts.len()];
        let record = record.clone();
        calls.push(thread::spawn(move || {
            let id = format!("d{number:06x}");
            record.line(&format!("request {id} with the part is sent to {front}"));
            let answer = call(front, &request(&id, &parts(DEADLY, 0x200000 + number)), Duration::from_secs(6));
            record.line(&format!("request {id}: {:?}", answer.map(|answer| (answer.status, answer.body.is_some()))));
        }));
        number += 1;
        thread::sleep(DEADLY_INTERVAL);
    }
    is_over.store(true, Ordering::Relaxed);
    for thread in calls.into_iter().chain(callers) {
        let _ = thread.join();
    }
    let ended_by_itself = nodes.iter_mut().any(Node::has_ended);
    for node in &mut nodes {
        node.kill();
    }
    let seen = seen.lock().unwrap();
    let (sent, served) = (sent.load(Ordering::Relaxed), served.load(Ordering::Relaxed));
    let fifth = seen.ends.get(4).copied();
    let late = fifth.map_or(0, |fifth| {
        seen.deadly_arrivals.iter().filter(|at| **at > fifth + CONTACT_S).count()
    });
    record.say(&format!(
        "requests with the part: {number} sent, {} at replicas; ends of replicas: {}; fifth end at {fifth:?} s; \
         {late} reach replicas later than {CONTACT_S} s after it (allowed: 3); sound ones: {served} of {sent} served; \
         a node ended by itself: {ended_by_itself}",
        seen.deadly_arrivals.len(),
        seen.ends.len(),
    ));
    if !has_trouble && (served * 10 < sent * 9 || seen.deadly_arrivals.is_empty()) {
        record.say("could not run: the calm play was not served");
        return Ok(Verdict::CouldNotRun);
    }
    Ok(if late > 3 { Verdict::Broken } else { Verdict::Held })
}
