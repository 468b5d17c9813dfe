//! The daemon's command line: help, version, checked settings, exit codes.

use std::process::{Command, Output};

fn croftrilld(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_croftrilld"))
        .args(arguments)
        .output()
        .expect("the daemon's program runs")
}

/// Flags that make valid settings without a file.
const VALID: [&str; 20] = [
    "--node-id",
    "node-1",
    "--zone",
    "zone-a",
    "--cell",
    "cell-1",
    "--listen-callers",
    "127.0.0.1:0",
    "--listen-operators",
    "127.0.0.1:0",
    "--listen-peers",
    "127.0.0.1:0",
    "--listen-attempts",
    "127.0.0.1:0",
    "--key-value",
    "http://127.0.0.1:1",
    "--machine-list",
    "http://127.0.0.1:2",
    "--weight-store",
    "http://127.0.0.1:3",
];

fn check(further: &[&str]) -> Output {
    let mut arguments = vec!["--check"];
    arguments.extend(VALID);
    arguments.extend(further);
    croftrilld(&arguments)
}

#[test]
fn help_and_version_succeed() {
    for flag in ["--help", "--version"] {
        let output = croftrilld(&[flag]);
        assert!(output.status.success());
        assert!(String::from_utf8_lossy(&output.stdout).contains("croftrilld"));
    }
}

#[test]
fn valid_settings_pass_the_check() {
    assert_eq!(check(&[]).status.code(), Some(0));
}

#[test]
fn any_key_can_be_set_by_a_flag() {
    assert_eq!(
        check(&["--set", "timings.lease_millis=2500"]).status.code(),
        Some(0)
    );

    let wrong = check(&[
        "--set",
        "timings.lease_millis=soon",
        "--set",
        "timings.leese_millis=1",
    ]);
    assert_eq!(wrong.status.code(), Some(2));
    let findings = String::from_utf8_lossy(&wrong.stderr).into_owned();
    assert!(findings.contains("timings.lease_millis"), "{findings}");
    assert!(findings.contains("timings.leese_millis"), "{findings}");
}

#[test]
fn missing_settings_are_reported_together() {
    let output = croftrilld(&["--check"]);
    assert_eq!(output.status.code(), Some(2));
    let findings = String::from_utf8_lossy(&output.stderr).into_owned();
    for key in ["node.id", "listen.callers", "platform.key_value"] {
        assert!(findings.contains(key), "{findings}");
    }
}

#[test]
fn unknown_flags_are_wrong_usage() {
    assert_eq!(croftrilld(&["--nonsense"]).status.code(), Some(2));
}
