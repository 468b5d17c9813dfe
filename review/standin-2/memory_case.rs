//! Callers that read large answers slowly, while the platform ends processes that go over their memory.

use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::Link;
use crate::node::{network, Node};
use crate::record::Record;
use crate::store::Store;
use crate::Verdict;

const NODES: u8 = 3;
const REPLICAS: usize = 3;
/// Callers at each node.
const CALLERS: usize = 500;
/// Size of an answer.
const ANSWER_BYTES: usize = 4_000_000;
/// What a caller reads at once, and the pause between: 300 kB a second.
const READ_BYTES: usize = 30_000;
const READ_PAUSE: Duration = Duration::from_millis(100);
const WATCHED: Duration = Duration::from_secs(60);
/// `memoryMb` of the settings, in kB.
const MEMORY_KB: u64 = 260_000_000 / 1024;
/// Time until the platform starts an ended process again.
const DOWN: Duration = Duration::from_millis(300);

fn configuration() -> String {
    r#"{"version":1,"routes":[{"name":"ack","host":"desk.example","pathPrefix":"/ack/","routeKind":"safe",
"timeoutMs":20000,"targetLatencyMs":150,"priority":2,"service":"intake-api","maxAttempts":1,"sessionAffinity":false,
"resumable":false}],
"services":[{"name":"intake-api","healthPath":"/healthz","maxConnections":1300}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#
        .to_string()
}

/// Starts a sound replica of the service, which answers each request at once.
fn start_replica(number: usize, store: &Store) -> io::Result<()> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
    let (id, address) = (format!("i-{number}"), listener.local_addr()?);
    let entry = format!(
        "{{\"service\":\"intake-api\",\"address\":\"{address}\",\"zone\":\"kochi-a\",\"version\":\"v1\",\"slots\":600,\
         \"state\":\"ready\",\"coldRemainingMs\":0,\"sequence\":1,\"born\":1}}"
    );
    store.write(&format!("servers/{id}"), &entry);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let id = id.clone();
            thread::spawn(move || {
                let mut link = Link::new(stream);
                while let Ok(Some(request)) = link.read() {
                    let attempt = request.header("x-croftrill-attempt-id").unwrap_or_default().to_string();
                    let named = request.header("x-croftrill-expected-instance");
                    let status = if named.is_some_and(|named| named != id) { 421 } else { 200 };
                    let body = vec![b'x'; if status == 200 { ANSWER_BYTES } else { 0 }];
                    let signature = format!("s.{attempt}");
                    let headers = [
                        ("x-croftrill-attempt-id", attempt.as_str()),
                        ("x-croftrill-response-signature", signature.as_str()),
                        ("x-croftrill-instance-load", "1,0,600"),
                    ];
                    let sent = link.answer(status, &headers, &body);
                    if sent.is_err() {
                        return;
                    }
                }
            });
        }
    });
    Ok(())
}

/// What a caller got of an answer.
#[derive(Debug, Default, Clone)]
struct Got {
    status: u16,
    bytes: usize,
    seconds: f64,
    end: String,
}

/// Sends a request and reads its answer at the caller's pace.
fn read_answer(front: SocketAddr, id: &str, pause: Duration) -> io::Result<Got> {
    let started = Instant::now();
    let mut stream = TcpStream::connect_timeout(&front, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(Duration::from_secs(15)))?;
    let body = "report";
    let request = format!(
        "POST /ack/2f HTTP/1.1\r\nhost: desk.example\r\nx-croftrill-attempt-id: {id}\r\n\
         x-croftrill-deadline-ms: 20000\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(request.as_bytes())?;
    let mut received = Vec::new();
    let mut buffer = vec![0; READ_BYTES];
    let mut got = Got::default();
    loop {
        let count = match stream.read(&mut buffer) {
            Ok(0) => {
                got.end = "closed".into();
                break;
            }
            Ok(count) => count,
            Err(error) => {
                got.end = format!("{:?}", error.kind());
                break;
            }
        };
        received.extend_from_slice(&buffer[..count]);
        if let Some(head) = received.windows(4).position(|window| window == b"\r\n\r\n") {
            got.bytes = received.len() - head - 4;
            got.status = String::from_utf8_lossy(&received[9..12]).parse().unwrap_or(0);
            if got.bytes >= ANSWER_BYTES {
                got.end = "whole".into();
                break;
            }
        }
        thread::sleep(pause);
    }
    got.seconds = started.elapsed().as_secs_f64();
    Ok(got)
}

pub fn play(scratch: &Path, record: &Record, has_trouble: bool) -> io::Result<Verdict> {
    let store = Store::start()?;
    store.write("op/config", &configuration());
    for number in 1..=REPLICAS {
        start_replica(number, &store)?;
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
    thread::sleep(Duration::from_secs(5));
    let is_over = Arc::new(AtomicBool::new(false));
    let served = Arc::new(Mutex::new((0, 0)));
    let pause = if has_trouble { READ_PAUSE } else { Duration::ZERO };
    let mut callers = Vec::new();
    for caller in 0..CALLERS * usize::from(NODES) {
        let front = nodes[caller % usize::from(NODES)].front;
        let (is_over, served) = (is_over.clone(), served.clone());
        callers.push(thread::Builder::new().stack_size(256 * 1024).spawn(move || {
            let mut number = caller;
            while !is_over.load(Ordering::Relaxed) {
                let got = read_answer(front, &format!("a{number:06x}"), pause).unwrap_or_default();
                let mut served = served.lock().unwrap();
                served.0 += 1;
                served.1 += usize::from(got.end == "whole");
                drop(served);
                number += CALLERS * usize::from(NODES);
                thread::sleep(Duration::from_millis(500));
            }
        })?);
    }
    let started = Instant::now();
    let mut ends = vec![0; nodes.len()];
    let mut highest = vec![0; nodes.len()];
    while started.elapsed() < WATCHED {
        for (number, node) in nodes.iter_mut().enumerate() {
            let held = node.memory_kb();
            highest[number] = held.max(highest[number]);
            if held > MEMORY_KB {
                record.line(&format!("{} holds {held} kB, more than {MEMORY_KB}, and is killed", node.name));
                ends[number] += 1;
                node.kill();
                thread::sleep(DOWN);
                node.start()?;
            }
        }
        thread::sleep(Duration::from_millis(20));
    }
    is_over.store(true, Ordering::Relaxed);
    for node in &mut nodes {
        node.kill();
    }
    for caller in callers {
        let _ = caller.join();
    }
    let served = served.lock().unwrap();
    let machines = ends.iter().filter(|ends| **ends > 0).count();
    record.say(&format!(
        "requests: {}, served whole: {}; ends for memory by machine: {ends:?}; most kB held: {highest:?} (allowed: {MEMORY_KB})",
        served.0, served.1
    ));
    if !has_trouble && served.1 == 0 {
        return Ok(Verdict::CouldNotRun);
    }
    Ok(if machines >= 2 && ends.iter().sum::<u32>() >= 3 { Verdict::Broken } else { Verdict::Held })
}
