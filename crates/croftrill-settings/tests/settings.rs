//! Reading settings: values, defaults, overrides and findings with places.

use croftrill_settings::{Findings, HttpEndpoint, KeyOverride, LogLevel, Overrides, Place, Settings};
use std::time::Duration;

const WHOLE: &str = r#"
[node]
id = "node-1"
zone = "zone-a"
cell = "cell-1"

[listen]
callers = "127.0.0.1:8080"
operators = "127.0.0.1:8081"
peers = "127.0.0.1:7000"
attempts = "127.0.0.1:7001"

[platform]
key_value = "http://127.0.0.1:2379"
machine_list = "http://127.0.0.1:8001"
weight_store = "http://127.0.0.1:8002/"
"#;

fn load(text: &str) -> Result<Settings, Findings> {
    Settings::load("node.toml", text, &Overrides::default())
}

fn complaints(text: &str) -> Vec<String> {
    let findings = load(text).expect_err("there are findings");
    findings.0.iter().map(ToString::to_string).collect()
}

#[test]
fn a_whole_file_gives_typed_settings_with_defaults() {
    let settings = load(WHOLE).unwrap();
    assert_eq!(settings.node.id, "node-1".into());
    assert_eq!(settings.listen.peers, "127.0.0.1:7000".parse().unwrap());
    assert_eq!(settings.advertise.peers, None);
    assert!(settings.seeds.is_empty());
    assert_eq!(
        settings.platform.weight_store.to_string(),
        "http://127.0.0.1:8002"
    );
    assert_eq!(settings.limits.queue_length, 512);
    assert_eq!(settings.limits.deadlines.critical, Duration::from_secs(5));
    assert_eq!(settings.timings.lease, Duration::from_secs(5));
    assert_eq!(settings.policy.cold_start_weight, 0.5);
    assert_eq!(settings.log_level, LogLevel::Info);
}

#[test]
fn every_finding_is_reported_with_its_place() {
    let text = "\
[node]
id = \"two words\"
zone = \"zöne\"
colour = 3

[listen]
callers = \"nowhere\"
operators = \"127.0.0.1:8081\"
peers = \"127.0.0.1:7000\"
attempts = \"127.0.0.1:7001\"

[limits]
queue_length = 0
body_bytes = \"big\"

[platform]
key_value = \"127.0.0.1:2379\"
machine_list = \"http://127.0.0.1:8001\"
weight_store = \"http://127.0.0.1:8002\"

[extra]
key = 1
";
    let expected = [
        "node.toml:1:2: node.cell is missing",
        "node.toml:2:6: node.id must be a text without white space and slashes",
        "node.toml:4:1: unknown key node.colour",
        "node.toml:7:11: listen.callers must be a text like \"10.0.0.1:8080\"",
        "node.toml:13:16: limits.queue_length must be a whole number from 1 to 1000000",
        "node.toml:14:14: limits.body_bytes must be a whole number from 1024 to 1073741824",
        "node.toml:17:13: platform.key_value must be a text like \"http://10.0.0.1:2379\"",
        "node.toml:21:2: unknown key extra",
    ];
    assert_eq!(complaints(text), expected);
}

#[test]
fn columns_count_characters() {
    let text = WHOLE.replace("zone = \"zone-a\"", "zone = \"é\"\n\"ünknown\" = 1");
    assert_eq!(complaints(&text), ["node.toml:5:1: unknown key node.ünknown"]);
    let inline = "node = { zone = \"é\", id = 3 }";
    assert!(complaints(inline)
        .contains(&"node.toml:1:27: node.id must be a text without white space and slashes".to_string()));
}

#[test]
fn an_empty_file_lacks_every_required_key() {
    let complaints = complaints("");
    assert_eq!(complaints.len(), 10);
    assert!(complaints.iter().all(|text| text.starts_with("node.toml:1:1: ")));
}

#[test]
fn broken_toml_is_one_finding_at_its_place_beside_those_of_missing_keys() {
    let complaints = complaints("[node]\nid = \n");
    assert!(
        complaints
            .iter()
            .any(|text| text.starts_with("node.toml:2:6: not valid TOML: ")),
        "{complaints:?}"
    );
}

#[test]
fn values_that_do_not_fit_together_are_findings() {
    let text = format!(
        "{WHOLE}\n[limits]\ndeadline_standard_millis = 1000000\n\n[timings]\nlease_millis = 500\n\
         claim_window_millis = 1000\n"
    );
    let expected = [
        "node.toml:19:28: limits.deadline_standard_millis 1000000 is more than \
         limits.deadline_longest_millis 900000",
        "node.toml:22:16: timings.probe_period_millis 1000 is more than timings.lease_millis 500",
        "node.toml:23:23: limits.deadline_longest_millis 900000 is more than \
         timings.claim_window_millis 1000",
    ];
    assert_eq!(complaints(&text), expected);
}

#[test]
fn an_unspecified_address_must_be_advertised() {
    let text = WHOLE.replace("peers = \"127.0.0.1:7000\"", "peers = \"0.0.0.0:7000\"");
    let expected = "node.toml:10:9: listen.peers names no single address, so advertise.peers must be set";
    assert_eq!(complaints(&text), [expected]);

    let advertised = format!("{text}\n[advertise]\npeers = \"10.0.0.1:7000\"\n");
    let settings = load(&advertised).unwrap();
    let bound = "0.0.0.0:7000".parse().unwrap();
    assert_eq!(
        settings.advertise.peers_or(bound),
        "10.0.0.1:7000".parse().unwrap()
    );
}

#[test]
fn flags_replace_what_the_file_lacks_or_has_wrong() {
    let text = WHOLE
        .replace("id = \"node-1\"", "id = 7")
        .replace("zone = \"zone-a\"\n", "");
    let overrides = Overrides {
        node_id: Some("node-2".to_string()),
        zone: Some("zone-b".to_string()),
        seeds: vec!["10.0.0.9:7000".parse().unwrap()],
        key_value: HttpEndpoint::parse("http://10.0.0.8:1"),
        log_level: Some(LogLevel::Debug),
        ..Overrides::default()
    };
    let settings = Settings::load("node.toml", &text, &overrides);
    let findings = settings.expect_err("the file's own mistake is still told");
    assert_eq!(findings.0.len(), 1, "{findings}");

    let text = text.replace("id = 7\n", "");
    let settings = Settings::load("node.toml", &text, &overrides).unwrap();
    assert_eq!(settings.node.id, "node-2".into());
    assert_eq!(settings.node.zone, "zone-b".into());
    assert_eq!(settings.seeds, ["10.0.0.9:7000".parse().unwrap()]);
    assert_eq!(settings.platform.key_value.to_string(), "http://10.0.0.8:1");
    assert_eq!(settings.log_level, LogLevel::Debug);
}

#[test]
fn flags_are_checked_too() {
    let overrides = Overrides {
        zone: Some("a zone".to_string()),
        cold_start_weight: Some(1.5),
        ..Overrides::default()
    };
    let findings = Settings::load("node.toml", WHOLE, &overrides).expect_err("the flags are wrong");
    assert!(findings.0.iter().all(|finding| finding.place == Place::Flags));
    assert_eq!(
        findings.to_string(),
        "flags: node.zone must be a text without white space and slashes\n\
         flags: policy.cold_start_weight must be a number from 0 to 1"
    );
}

#[test]
fn a_flag_sets_any_key() {
    let flags = [
        "timings.lease_millis=2500",
        "log.level = debug",
        "node.zone=\"z9\"",
    ];
    let overrides = Overrides {
        keys: flags.iter().filter_map(|flag| KeyOverride::parse(flag)).collect(),
        zone: Some("zone-b".to_string()),
        ..Overrides::default()
    };
    let settings = Settings::load("node.toml", WHOLE, &overrides).unwrap();
    assert_eq!(settings.timings.lease, Duration::from_millis(2500));
    assert_eq!(settings.log_level, LogLevel::Debug);
    assert_eq!(settings.node.zone, "zone-b".into(), "the flag of its own wins");

    let wrong = ["timings.lease_millis=soon", "timings.leese=1"];
    let overrides = Overrides {
        keys: wrong.iter().filter_map(|flag| KeyOverride::parse(flag)).collect(),
        ..Overrides::default()
    };
    let findings = Settings::load("node.toml", WHOLE, &overrides).expect_err("both are wrong");
    assert_eq!(
        findings.to_string(),
        "flags: timings.lease_millis must be a whole number from 100 to 86400000\n\
         flags: unknown key timings.leese"
    );
    assert_eq!(KeyOverride::parse("timings.lease_millis"), None);
}
