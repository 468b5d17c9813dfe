//! Rounds in which replicas break their answers off after any byte, in any framing: an answer that
//! looks complete to its caller holds all events.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use croftrill_http::dialect::{ATTEMPT_HEADER, DEADLINE_HEADER};
use croftrill_standin::answer_ends::AnswerFaults;
use croftrill_standin::engine_state::EngineConfig;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout, Instant};

use crate::cluster::{Cluster, Conditions, MODELS};

/// Time between two requests on connections of their own.
const CALL_INTERVAL: Duration = Duration::from_millis(25);
/// Time between two requests on one connection.
const PERSISTENT_CALL_INTERVAL: Duration = Duration::from_millis(40);
/// Deadline of a request.
const DEADLINE: Duration = Duration::from_secs(4);
/// Time after the deadline in which an answer must have ended.
const DEADLINE_MARGIN: Duration = Duration::from_secs(6);
/// Share of all requests that must be answered completely.
const MIN_COMPLETE_PCT: usize = 20;

/// How an answer ended for its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum SeenEnd {
    /// By the last chunk, its length, or a close of the connection that delimits it.
    LooksComplete,
    /// Cut off.
    CutOff,
}

/// An answer that a caller got.
#[derive(Debug)]
pub struct SeenAnswer {
    attempt: String,
    is_success: bool,
    end: SeenEnd,
    events: u64,
    body: String,
}

pub fn conditions(seed: u64) -> Conditions {
    Conditions {
        engine: |_| EngineConfig {
            answer_faults: AnswerFaults {
                unframed_pct: 50,
                broken_pct: 25,
            },
            ..EngineConfig::default()
        },
        has_versions: seed % 2 == 1,
        ..Conditions::default()
    }
}

/// Sends requests to all nodes for the time `round`: each on a new connection, every other one of
/// HTTP/1.0, and one after the other on connections that are used until they end.
pub async fn call_nodes(cluster: &Cluster, round: Duration, seed: u64) -> Vec<SeenAnswer> {
    let until = Instant::now() + round;
    let answers: Rc<RefCell<Vec<SeenAnswer>>> = Rc::default();
    let mut tasks = Vec::new();
    for (index, node) in cluster.nodes.iter().enumerate() {
        let (front, answers) = (node.front, answers.clone());
        let random = SmallRng::seed_from_u64(seed ^ 0xb0d1 ^ index as u64);
        tasks.push(spawn_local(async move {
            call_over_persistent_connections(front, until, format!("p{seed}-{index}"), random, &answers)
                .await;
        }));
    }
    let mut random = SmallRng::seed_from_u64(seed ^ 0xb0d7);
    for number in 0.. {
        if Instant::now() >= until {
            break;
        }
        let front = cluster.nodes[number % cluster.nodes.len()].front;
        let version = if number % 2 == 0 { "HTTP/1.0" } else { "HTTP/1.1" };
        let call = Drawn::draw(&mut random, format!("b{seed}-{number}"));
        let answers = answers.clone();
        tasks.push(spawn_local(async move {
            if let Ok(mut connection) = TcpStream::connect(front).await {
                let seen = call.exchange(&mut connection, version).await;
                answers.borrow_mut().extend(seen);
            }
        }));
        sleep(CALL_INTERVAL).await;
    }
    for task in tasks {
        task.await.expect("the task of a caller does not panic");
    }
    answers.take()
}

/// Sends one request after the other over a connection until that ends, and then over another one.
async fn call_over_persistent_connections(
    front: SocketAddr,
    until: Instant,
    name: String,
    mut random: SmallRng,
    answers: &RefCell<Vec<SeenAnswer>>,
) {
    let mut number = 0;
    while Instant::now() < until {
        let Ok(mut connection) = TcpStream::connect(front).await else {
            sleep(PERSISTENT_CALL_INTERVAL).await;
            continue;
        };
        while Instant::now() < until {
            number += 1;
            let call = Drawn::draw(&mut random, format!("{name}-{number}"));
            let Some(seen) = call.exchange(&mut connection, "HTTP/1.1").await else {
                break;
            };
            let is_open = seen.end == SeenEnd::LooksComplete;
            answers.borrow_mut().push(seen);
            if !is_open {
                break;
            }
            sleep(PERSISTENT_CALL_INTERVAL).await;
        }
    }
}

/// A request.
struct Drawn {
    attempt: String,
    model: &'static str,
    events: u64,
}

impl Drawn {
    fn draw(random: &mut SmallRng, attempt: String) -> Self {
        Drawn {
            attempt,
            model: MODELS[random.random_range(0..MODELS.len())],
            events: random.random_range(2..12),
        }
    }

    /// Sends the request and reads its answer. Returns nothing if no head of one came.
    async fn exchange(&self, connection: &mut TcpStream, version: &str) -> Option<SeenAnswer> {
        let mut answer = Answer::default();
        let exchange = self.send_and_read(connection, version, &mut answer);
        // An answer that has no end by then counts as cut off by its caller.
        let ended = timeout(DEADLINE + DEADLINE_MARGIN, exchange).await;
        let head_end = answer.head_end()?;
        let head = String::from_utf8_lossy(&answer.bytes[..head_end]).into_owned();
        let is_delimited = answer.is_delimited();
        let looks_complete = match ended {
            Ok(Ok(())) => !is_delimited || answer.is_whole(),
            _ => false,
        };
        let body = String::from_utf8_lossy(&answer.bytes[head_end..]).into_owned();
        Some(SeenAnswer {
            attempt: self.attempt.clone(),
            is_success: head.split(' ').nth(1) == Some("200"),
            end: if looks_complete {
                SeenEnd::LooksComplete
            } else {
                SeenEnd::CutOff
            },
            events: self.events,
            body,
        })
    }

    async fn send_and_read(
        &self,
        connection: &mut TcpStream,
        version: &str,
        answer: &mut Answer,
    ) -> io::Result<()> {
        let body = format!(
            "{{\"model\":\"{}\",\"prompt\":\"a question\",\"max_tokens\":{},\"stream\":true}}",
            self.model, self.events
        );
        let request = format!(
            "POST /v1/completions {version}\r\nhost: node\r\n{ATTEMPT_HEADER}: {}\r\n{DEADLINE_HEADER}: {}\r\n\
             content-length: {}\r\n\r\n{body}",
            self.attempt,
            DEADLINE.as_millis(),
            body.len()
        );
        connection.write_all(request.as_bytes()).await?;
        while !answer.is_whole() {
            if connection.read_buf(&mut answer.bytes).await? == 0 {
                break;
            }
        }
        Ok(())
    }
}

/// What arrived of an answer.
#[derive(Default)]
struct Answer {
    bytes: Vec<u8>,
}

impl Answer {
    fn head_end(&self) -> Option<usize> {
        let end = self.bytes.windows(4).position(|window| window == b"\r\n\r\n")?;
        Some(end + 4)
    }

    fn head(&self) -> String {
        let end = self.head_end().unwrap_or(0);
        String::from_utf8_lossy(&self.bytes[..end]).to_ascii_lowercase()
    }

    /// Returns whether a length or chunks tell where the answer ends.
    fn is_delimited(&self) -> bool {
        let head = self.head();
        head.contains("\r\ncontent-length:") || head.contains("\r\ntransfer-encoding:")
    }

    /// Returns whether the length or the last chunk has arrived.
    fn is_whole(&self) -> bool {
        let Some(head_end) = self.head_end() else {
            return false;
        };
        let (head, body) = (self.head(), &self.bytes[head_end..]);
        match head.split_once("\r\ncontent-length:") {
            Some((_, rest)) => {
                let length = rest
                    .lines()
                    .next()
                    .and_then(|length| length.trim().parse::<usize>().ok());
                length.is_some_and(|length| body.len() >= length)
            }
            None => self.is_delimited() && body.ends_with(b"0\r\n\r\n"),
        }
    }
}

impl SeenAnswer {
    /// Returns whether all events and the end marker arrived, in order.
    fn has_all_events(&self) -> bool {
        let in_order = (0..self.events).try_fold(0, |from, index| {
            let offset = self.body[from..].find(&format!("\"index\":{index},"))?;
            Some(from + offset)
        });
        in_order.is_some()
            && self.body.matches("id: ").count() as u64 == self.events
            && self.body.contains("data: [DONE]\n\n")
    }
}

/// Checks that answers that look complete are, and that enough requests are answered so.
pub fn check_ends(cluster: &Cluster, answers: &[SeenAnswer], seed: u64) {
    let ledgers = cluster.ledgers();
    let mut counts: BTreeMap<(bool, SeenEnd, bool), usize> = BTreeMap::new();
    let mut unknowable = 0;
    for answer in answers {
        let has_all = answer.has_all_events();
        *counts
            .entry((answer.is_success, answer.end, has_all))
            .or_default() += 1;
        if !answer.is_success || answer.end == SeenEnd::CutOff || has_all {
            continue;
        }
        let is_unknowable = ledgers
            .iter()
            .any(|ledger| ledger.closed_between_events.contains(&answer.attempt));
        assert!(
            is_unknowable,
            "seed {seed}: looks complete and is not: {answer:?}"
        );
        unknowable += 1;
    }
    println!(
        "seed {seed}: {} answers (success, end, all events): {counts:?}, {unknowable} closed between two events",
        answers.len()
    );
    let complete = answers
        .iter()
        .filter(|answer| answer.is_success && answer.has_all_events());
    assert!(
        complete.count() * 100 >= answers.len() * MIN_COMPLETE_PCT,
        "seed {seed}: too few answers are complete"
    );
}
