//! Tests of the operators' command line.

use std::io::Write;
use std::process::{Command, Stdio};

use croftrill_cli::render;
use serde_json::json;

fn croftrill(arguments: &[&str]) -> (bool, String) {
    let output = Command::new(env!("CARGO_BIN_EXE_croftrill"))
        .args(arguments)
        .output()
        .expect("it runs");
    let text = [output.stdout, output.stderr].concat();
    (
        output.status.success(),
        String::from_utf8_lossy(&text).into_owned(),
    )
}

#[test]
fn command_line_help_version_and_errors() {
    let (ok, text) = croftrill(&["--help"]);
    assert!(ok && text.contains("confirm"));
    assert!(croftrill(&["--version"]).0);
    let (ok, text) = croftrill(&["status"]);
    assert!(!ok && text.contains("--node"), "{text}");
    let (ok, text) = croftrill(&["--node", "127.0.0.1:1", "status"]);
    assert!(!ok && text.contains("127.0.0.1:1"), "{text}");
    assert!(!croftrill(&["--node", "127.0.0.1:1", "dance"]).0);
}

#[test]
fn status_table() {
    let status = json!({
        "node": "n1", "lifecycle": "ready", "configuration_version": 7, "orderers": ["n2", "n1", "n2"], "nodes": ["n1", "n2"],
        "in_flight": 3, "waiting": 1,
        "replicas": [{"id": "r1", "ready": false, "models": ["m1", "m1/a1"]}],
        "suspects": [{"fingerprint": "00ff", "ends": 3, "blamed": 2, "verdict": "held"}],
        "quotas": [{"group": "tenders", "balance": -120}],
    });
    let table = render::status(&status);
    for part in [
        "n1 (ready)",
        "version 7",
        "n2",
        "3 (waiting 1)",
        "r1 leaving  m1 m1/a1",
        "00ff held  (replicas ended: 3, blamed for 2)",
        "tenders  (left: -120 tokens)",
    ] {
        assert!(table.contains(part), "{part}: {table}");
    }
}

/// The table shows which replicas are full or slow, with the reported load.
#[test]
fn status_replica_load() {
    let load = json!({
        "running": 24, "waiting": 3, "slots": 24, "speed": 0.625, "speed_now": 0.25,
        "told_ms_ago": 180, "full": true, "slow": true,
    });
    let status = json!({"replicas": [
        {"id": "r1", "ready": true, "models": ["m1"], "load": load},
        {"id": "r2", "ready": true, "models": [], "load": null},
    ]});
    let table = render::status(&status);
    let expected = "r1 ready  m1  (full, slow, 24+3 of 24, speed 0.62, now 0.25, told 180 ms ago)\n";
    assert!(table.contains(expected), "{table}");
    assert!(table.contains("r2 ready  \n"), "{table}");
}

#[test]
fn plan_and_failure_complete() {
    assert_eq!(
        render::plan(&json!({"steps": ["add model m"]})),
        "- add model m\n"
    );
    assert_eq!(render::plan(&json!({"steps": []})), "nothing would change\n");
    let failure = json!({"error": "bad", "findings": ["models[0]: x", "models[1]: y"]});
    assert_eq!(render::failure(&failure), "bad\n  models[0]: x\n  models[1]: y");
}

/// The key is read from standard input because arguments are visible in the process list.
#[test]
fn digest_key_from_standard_input() {
    let mut child = Command::new(env!("CARGO_BIN_EXE_croftrill"))
        .arg("digest")
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .expect("it runs");
    let mut input = child.stdin.take().expect("its input");
    input.write_all(b"abc\n").expect("written");
    drop(input);
    let output = child.wait_with_output().expect("it ends");
    let digest = "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad\n";
    assert_eq!(String::from_utf8_lossy(&output.stdout), digest);
}
