//! Tests of the daemon's settings and command line.

use std::process::Command;

use croftrill_daemon::settings::Settings;

const GOOD: &str = "name = \"n1\"\nlisten = \"127.0.0.1:1\"\npeer = \"127.0.0.1:2\"\n\
                    operator = \"127.0.0.1:3\"\nstore = \"127.0.0.1:4\"\n";

#[test]
fn parse_defaults() {
    let settings = Settings::parse(GOOD).expect("good settings");
    assert_eq!(settings.node_settings().bounds.order_gap.as_millis(), 3000);
    assert_eq!(settings.node_settings().max_concurrent_requests, None);
    assert!(!settings.node_settings().callers_compete);
}

#[test]
fn parse_callers_compete() {
    let settings = Settings::parse(&format!("{GOOD}callers_compete = true\n")).expect("good settings");
    assert!(settings.node_settings().callers_compete);
}

#[test]
fn parse_reports_every_finding() {
    let bad = "name = \"\"\nlisten = \"127.0.0.1:1\"\npeer = \"127.0.0.1:1\"\noperator = \"127.0.0.1:3\"\n\
               store = \"127.0.0.1:4\"\nstop_grace_seconds = 0\n[retry]\nratio = -1\nwindow_seconds = 0\n";
    let findings = Settings::parse(bad).expect_err("findings");
    for place in [
        "name",
        "peer",
        "stop_grace_seconds",
        "retry.ratio",
        "retry.window_seconds",
    ] {
        assert!(
            findings.iter().any(|finding| finding.starts_with(place)),
            "{place}: {findings:?}"
        );
    }
}

#[test]
fn parse_unknown_setting() {
    let findings = Settings::parse(&format!("{GOOD}colour = \"red\"\n")).expect_err("findings");
    assert!(findings[0].contains("colour"), "{findings:?}");
}

/// The example in `docs/CONFIGURATION.md` is valid.
#[test]
fn parse_documented_example() {
    let page = include_str!("../../../docs/CONFIGURATION.md");
    let example = page
        .split("```toml")
        .nth(1)
        .and_then(|rest| rest.split("```").next())
        .expect("an example");
    Settings::parse(example).expect("the example of the page is good");
}

fn daemon(arguments: &[&str]) -> (bool, String) {
    let output = Command::new(env!("CARGO_BIN_EXE_croftrilld"))
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
    let (ok, text) = daemon(&["--help"]);
    assert!(ok && text.contains("--check"));
    let (ok, text) = daemon(&["--version"]);
    assert!(ok && text.starts_with("croftrilld "));
    let (ok, text) = daemon(&[]);
    assert!(!ok && text.contains("--config"), "{text}");
    let (ok, text) = daemon(&["--config", "/nonexistent.toml"]);
    assert!(!ok && text.contains("/nonexistent.toml"), "{text}");
}

#[test]
fn check_prints_every_finding() {
    let file = std::env::temp_dir().join(format!("croftrill-check-{}.toml", std::process::id()));
    std::fs::write(&file, GOOD).expect("written");
    let path = file.display().to_string();
    let (ok, text) = daemon(&["--config", &path, "--check"]);
    assert!(ok && text.contains("no findings"), "{text}");
    std::fs::write(&file, GOOD.replace("\"n1\"", "\"\"").replace(":2", ":1")).expect("written");
    let (ok, text) = daemon(&["--config", &path, "--check"]);
    assert!(!ok && text.contains("name") && text.contains("peer"), "{text}");
    std::fs::remove_file(file).expect("removed");
}
