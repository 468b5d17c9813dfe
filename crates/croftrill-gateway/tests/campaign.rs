//! Many requests at once while owners fail in every scripted way and
//! connections are cut. Every answer is reconciled with what the owners did.

mod support;

use croftrill_gateway::GatewayConfig;
use croftrill_state::outcome::{Refusal, RefusalCause};
use croftrill_state::RequestId;
use http::StatusCode;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use std::sync::Arc;
use support::owner::{answer_text, Script, ScriptedOwner};
use support::{Answer, TestGateway};
use tokio::io::{copy_bidirectional, AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const REQUESTS: usize = 300;
const OWNERS: usize = 4;
const SCRIPTS: usize = 400;
/// Reply bytes after which a connection is cut at the latest.
const CUT_WITHIN_BYTES: usize = 60_000;

fn random_script(random: &mut SmallRng) -> Script {
    let not_run = [
        RefusalCause::QueueFull,
        RefusalCause::NotOwner,
        RefusalCause::LoadTooSlow,
        RefusalCause::EngineFailed,
    ];
    match random.random_range(0..12) {
        0 => Script::BreakAtOnce,
        1 => Script::BreakAt(random.random_range(0..10)),
        2 => Script::not_run(*not_run.choose(random).unwrap()),
        3 => Script::may_have_run(RefusalCause::EngineFailed),
        4 => Script::RefuseAfterStart(Refusal::not_run(RefusalCause::EngineFailed, 100)),
        5 => Script::ServeDisordered,
        6 => Script::Gap,
        7 => Script::ShortEnd,
        _ => Script::Serve,
    }
}

/// Forwards connections and cuts each after a random number of reply bytes, so
/// that replies are lost after the owner acted.
async fn cutting_proxy(target: String, mut random: SmallRng) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    tokio::spawn(async move {
        loop {
            let (mut inward, _) = listener.accept().await.unwrap();
            let mut outward = TcpStream::connect(&target).await.unwrap();
            let limit = random.random_range(0..CUT_WITHIN_BYTES);
            tokio::spawn(async move {
                let mut replies = vec![0; limit];
                let (mut from_owner, mut to_owner) = outward.split();
                let (mut from_gateway, mut to_gateway) = inward.split();
                let forward = tokio::io::copy(&mut from_gateway, &mut to_owner);
                let reply = async {
                    let mut left = replies.len();
                    while left > 0 {
                        let read = from_owner.read(&mut replies[..left]).await.unwrap_or(0);
                        if read == 0 || to_gateway.write_all(&replies[..read]).await.is_err() {
                            return;
                        }
                        left -= read;
                    }
                };
                tokio::select! {
                    _ = forward => {}
                    () = reply => {}
                }
            });
        }
    });
    address
}

/// Forwards connections and leaves them alone.
async fn plain_proxy(target: String) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    tokio::spawn(async move {
        loop {
            let (mut inward, _) = listener.accept().await.unwrap();
            let mut outward = TcpStream::connect(&target).await.unwrap();
            tokio::spawn(async move { copy_bidirectional(&mut inward, &mut outward).await });
        }
    });
    address
}

/// Counts of a campaign.
#[derive(Debug, Default)]
struct Tally {
    whole: usize,
    not_run: usize,
    in_doubt: usize,
}

fn check(answer: &Answer, unrepeatable: bool, owners: &[ScriptedOwner], tally: &mut Tally) {
    let id: u64 = answer.headers["x-request-id"].to_str().unwrap().parse().unwrap();
    let attempts = owners.iter().flat_map(|owner| owner.played());
    let may_have_run = attempts
        .filter(|(attempt, script)| attempt.request == RequestId(id) && script.may_run())
        .count();
    if unrepeatable {
        assert!(may_have_run <= 1, "dispatched again though it may have run");
    }
    let execution = if answer.status != StatusCode::OK {
        answer.execution()
    } else if answer.body.starts_with("data: ") && !answer.body.ends_with("data: [DONE]\n\n") {
        answer.last_error()["execution"].as_str().unwrap().to_string()
    } else {
        assert_eq!(answer.text(), answer_text());
        assert!(may_have_run >= 1);
        tally.whole += 1;
        return;
    };
    if execution == "not_run" {
        assert_eq!(may_have_run, 0, "the answer says that it did not run");
        tally.not_run += 1;
    } else {
        tally.in_doubt += 1;
    }
}

async fn campaign(seed: u64, cut: bool) -> Tally {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut owners = Vec::new();
    let mut addresses = Vec::new();
    for _ in 0..OWNERS {
        let scripts: Vec<Script> = (0..SCRIPTS).map(|_| random_script(&mut random)).collect();
        let owner = ScriptedOwner::start(scripts).await;
        let proxy = if cut {
            cutting_proxy(owner.address.clone(), SmallRng::from_rng(&mut random)).await
        } else {
            plain_proxy(owner.address.clone()).await
        };
        addresses.push(proxy);
        owners.push(owner);
    }
    let mut config = GatewayConfig::default();
    config.retry_budget.most_saved = 2 * REQUESTS as u32;
    let addresses: Vec<&str> = addresses.iter().map(String::as_str).collect();
    let gateway = Arc::new(TestGateway::start_with(&addresses, config, Vec::new()).await);
    let calls = (0..REQUESTS).map(|number| {
        let gateway = gateway.clone();
        tokio::spawn(async move {
            let stream = number % 2 == 0;
            let unrepeatable = number % 3 == 0;
            let key = format!("key-{number}");
            let headers: &[(&str, &str)] = if unrepeatable {
                &[("idempotency-key", &key)]
            } else {
                &[]
            };
            (gateway.complete(stream, headers).await, unrepeatable)
        })
    });
    let answers = futures::future::join_all(calls).await;
    let mut tally = Tally::default();
    for answer in answers {
        let (answer, unrepeatable) = answer.unwrap();
        check(&answer, unrepeatable, &owners, &mut tally);
    }
    assert_eq!(tally.whole + tally.not_run + tally.in_doubt, REQUESTS);
    tally
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn every_request_is_accounted_for_when_owners_fail() {
    for seed in 1..4 {
        let tally = campaign(seed, false).await;
        println!("seed={seed} {tally:?}");
        assert!(tally.whole > REQUESTS / 2, "{tally:?}");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn every_request_is_accounted_for_when_connections_are_cut() {
    for seed in 1..4 {
        let tally = campaign(seed, true).await;
        println!("seed={seed} {tally:?}");
        assert!(tally.whole > 0, "{tally:?}");
    }
}
