//! Different requests, for any model, with one part in their prompts that crashes each replica that
//! begins to answer.

use std::io;
use std::net::SocketAddr;

use croftrill_http::dialect::{ATTEMPT_HEADER, DEADLINE_HEADER};
use croftrill_standin::engine::{Ledger, CRASH_PART_PREFIX};
use futures::future::join_all;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout, Duration};

use crate::cluster::{Cluster, MODELS};
use crate::faults::{CrashingRequest, Injection, PlannedFault};

/// Minimum number of replicas in a round, of which both parts may crash some.
pub const MIN_ENGINES: usize = 10;
/// Deadline of a request.
const DEADLINE: Duration = Duration::from_secs(3);
/// Number of crashes after which users accept only a few requests more, once the contact time is over.
const ACCEPTED_CRASHES: usize = 5;
const ACCEPTED_RUNS_AFTER: usize = 3;
const CONTACT_TIME: Duration = Duration::from_secs(3);

fn attempt(crash: &CrashingRequest, seed: u64, number: u32) -> String {
    format!("y{seed}-{}-{number}", crash.number)
}

/// Sends `crash.times` different requests with the same part, to the nodes in turn.
pub async fn send_requests(cluster: &Cluster, crash: &CrashingRequest, seed: u64) {
    let calls = (0..crash.times).map(|number| async move {
        sleep(crash.interval * number).await;
        let node = &cluster.nodes[(crash.number + number as usize) % cluster.nodes.len()];
        let model = MODELS[number as usize % MODELS.len()];
        let call = call(node.front, model, crash, attempt(crash, seed, number));
        // The ledgers show which replicas crashed; the answer does not matter.
        let _ = timeout(DEADLINE, call).await;
    });
    join_all(calls).await;
}

async fn call(front: SocketAddr, model: &str, crash: &CrashingRequest, attempt: String) -> io::Result<()> {
    let part = format!("{CRASH_PART_PREFIX}{}", crash.number);
    let body = format!(
        "{{\"model\":\"{model}\",\"messages\":[{{\"content\":\"be brief\"}},{{\"content\":\"{part}\"}}],\
         \"prompt\":\"question {attempt}\",\"max_tokens\":8,\"stream\":true}}"
    );
    let request = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: node\r\n{ATTEMPT_HEADER}: {attempt}\r\n{DEADLINE_HEADER}: {}\r\n\
         connection: close\r\ncontent-length: {}\r\n\r\n{body}",
        DEADLINE.as_millis(),
        body.len()
    );
    let mut connection = TcpStream::connect(front).await?;
    connection.write_all(request.as_bytes()).await?;
    connection.read_to_end(&mut Vec::new()).await?;
    Ok(())
}

/// Checks that requests with each part run no more once some replicas have crashed under it.
pub fn check_crashes_are_bounded(cluster: &Cluster, plan: &[PlannedFault], seed: u64) {
    let ledgers = cluster.ledgers();
    let parts = plan.iter().filter_map(|planned| match &planned.injection {
        Injection::CrashPart(crash) => Some(crash),
        _ => None,
    });
    for crash in parts {
        let has_run = |ledger: &Ledger, number: u32| ledger.runs.contains_key(&attempt(crash, seed, number));
        let first_run = |ledger: &Ledger| (0..crash.times).find(|number| has_run(ledger, *number));
        let mut crashes: Vec<u32> = ledgers.iter().filter_map(first_run).collect();
        crashes.sort_unstable();
        // A request may wait for its replica until its deadline, so that the crash comes later.
        let until = crashes
            .get(ACCEPTED_CRASHES - 1)
            .map(|number| crash.interval * *number + DEADLINE + CONTACT_TIME);
        let is_late = |number: u32| until.is_some_and(|until| crash.interval * number > until);
        let runs_late =
            |number: &u32| is_late(*number) && ledgers.iter().any(|ledger| has_run(ledger, *number));
        let late = (0..crash.times).filter(runs_late).count();
        println!(
            "seed {seed}: crashing part {}: {} replicas, {late} runs late, {} requests",
            crash.number,
            crashes.len(),
            crash.times
        );
        assert!(
            late <= ACCEPTED_RUNS_AFTER,
            "seed {seed}: {late} requests with a crashing part ran late: {crash:?}"
        );
    }
}
