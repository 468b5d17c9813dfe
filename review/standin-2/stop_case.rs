//! A planned stop of a machine while callers read their answers.

use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{call, Link};
use crate::node::{network, Node};
use crate::record::Record;
use crate::store::Store;
use crate::Verdict;

const NODES: u8 = 3;
const REPLICAS: usize = 3;
const CALLERS: usize = 5;
/// Size of an answer.
const ANSWER_BYTES: usize = 1_500_000;
/// What a caller reads at once, and the pause between: 300 kB a second, so 5 s for an answer.
const READ_BYTES: usize = 30_000;
const READ_PAUSE: Duration = Duration::from_millis(100);
/// Time from the requests to the stop.
const STOP_AFTER: Duration = Duration::from_millis(1000);
/// `graceS` of the settings, and 1 s more.
const WATCHED: Duration = Duration::from_secs(9);

fn configuration() -> String {
    r#"{"version":1,"routes":[{"name":"ack","host":"desk.example","pathPrefix":"/ack/","routeKind":"unsafe",
"timeoutMs":20000,"targetLatencyMs":150,"priority":2,"service":"intake-api","maxAttempts":1,"sessionAffinity":false,
"resumable":false}],
"services":[{"name":"intake-api","healthPath":"/healthz","maxConnections":100}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#
        .to_string()
}

/// Starts a sound replica of the service, which answers each request at once.
fn start_replica(number: usize, store: &Store, record: &Record) -> io::Result<()> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
    let (id, address) = (format!("i-{number}"), listener.local_addr()?);
    let entry = format!(
        "{{\"service\":\"intake-api\",\"address\":\"{address}\",\"zone\":\"kochi-a\",\"version\":\"v1\",\"slots\":6,\
         \"state\":\"ready\",\"coldRemainingMs\":0,\"sequence\":1,\"born\":1}}"
    );
    store.write(&format!("servers/{id}"), &entry);
    let record = record.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (id, record) = (id.clone(), record.clone());
            thread::spawn(move || {
                let mut link = Link::new(stream);
                while let Ok(Some(request)) = link.read() {
                    let attempt = request.header("x-croftrill-attempt-id").unwrap_or_default().to_string();
                    let named = request.header("x-croftrill-expected-instance");
                    let status = if named.is_some_and(|named| named != id) { 421 } else { 200 };
                    record.line(&format!("replica {id} runs {attempt}: {status}"));
                    let body = vec![b'x'; if status == 200 { ANSWER_BYTES } else { 0 }];
                    let signature = format!("s.{attempt}");
                    let headers = [
                        ("x-croftrill-attempt-id", attempt.as_str()),
                        ("x-croftrill-response-signature", signature.as_str()),
                        ("x-croftrill-instance-load", "1,0,6"),
                    ];
                    let sent = link.answer(status, &headers, &body);
                    record.line(&format!("replica {id} has sent its answer to {attempt}: {}", sent.is_ok()));
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
fn read_slowly(front: SocketAddr, id: &str) -> io::Result<Got> {
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
        thread::sleep(READ_PAUSE);
    }
    got.seconds = started.elapsed().as_secs_f64();
    Ok(got)
}

pub fn play(scratch: &Path, record: &Record, has_trouble: bool) -> io::Result<Verdict> {
    let store = Store::start()?;
    store.write("op/config", &configuration());
    for number in 1..=REPLICAS {
        start_replica(number, &store, record)?;
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
    let front = nodes[0].front;
    let results: Arc<Mutex<Vec<Got>>> = Arc::default();
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let (record, results) = (record.clone(), results.clone());
            thread::spawn(move || {
                let id = format!("a{caller:06x}");
                record.line(&format!("request {id} is sent"));
                let got = read_slowly(front, &id).unwrap_or_else(|error| Got {
                    end: format!("{error}"),
                    ..Got::default()
                });
                record.line(&format!("request {id}: {got:?}"));
                results.lock().unwrap().push(got);
            })
        })
        .collect();
    thread::sleep(STOP_AFTER);
    let mut ended_after = None;
    if has_trouble {
        record.line("SIGTERM to the machine that took the requests");
        nodes[0].signal("TERM");
        let stopped = Instant::now();
        while stopped.elapsed() < WATCHED {
            if nodes[0].has_ended() {
                ended_after = Some(stopped.elapsed().as_secs_f64());
                record.line("the machine's process has ended by itself");
                break;
            }
            thread::sleep(Duration::from_millis(20));
        }
    }
    for caller in callers {
        let _ = caller.join();
    }
    // A second machine still serves.
    let check = call(nodes[1].front, b"GET /none/ HTTP/1.1\r\nhost: desk.example\r\nx-croftrill-attempt-id: z\r\nconnection: close\r\n\r\n", Duration::from_secs(2));
    record.line(&format!("another machine answers: {:?}", check.map(|answer| answer.status)));
    for node in &mut nodes {
        node.kill();
    }
    let results = results.lock().unwrap();
    let whole = results.iter().filter(|got| got.status == 200 && got.end == "whole").count();
    let cut = results.iter().filter(|got| got.status == 200 && got.end != "whole").count();
    record.say(&format!(
        "answers: {whole} whole, {cut} cut off, of {CALLERS}; the process ended {ended_after:?} s after SIGTERM \
         (graceS is 8); {results:?}"
    ));
    if !has_trouble && whole < CALLERS {
        return Ok(Verdict::CouldNotRun);
    }
    Ok(if cut > 0 { Verdict::Broken } else { Verdict::Held })
}
