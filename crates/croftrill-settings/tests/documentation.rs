//! The page of settings and the code know the same keys.

use croftrill_settings::keys::{DefaultValue, Key, Kind, KEYS};
use croftrill_settings::{LogLevel, Overrides, Settings};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use std::collections::BTreeSet;

const PAGE: &str = include_str!("../../../docs/CONFIGURATION.md");

/// A row of the page's table.
#[derive(Debug)]
struct Row {
    key: String,
    value: String,
    unit: String,
    default: String,
}

fn rows() -> Vec<Row> {
    let rows = PAGE.lines().filter(|line| line.starts_with("| `"));
    rows.map(|line| {
        let cells: Vec<String> = line.split('|').map(|cell| cell.trim().to_string()).collect();
        Row {
            key: cells[1].trim_matches('`').to_string(),
            value: cells[2].clone(),
            unit: cells[3].clone(),
            default: cells[4].clone(),
        }
    })
    .collect()
}

fn documented_value(key: &Key) -> String {
    match key.kind {
        Kind::Name => "name".to_string(),
        Kind::Address => "address".to_string(),
        Kind::AddressList => "list of addresses".to_string(),
        Kind::Endpoint => "endpoint".to_string(),
        Kind::Integer { least, most } => format!("{least} to {most}"),
        Kind::Fraction => "0 to 1".to_string(),
        Kind::LogLevel => {
            let mut names: Vec<String> = LogLevel::ALL.map(|level| format!("`{}`", level.as_str())).into();
            let last = names.pop().unwrap_or_default();
            format!("{} or {last}", names.join(", "))
        }
    }
}

fn documented_default(key: &Key) -> String {
    match key.default {
        DefaultValue::Required => "required".to_string(),
        DefaultValue::Text(text) => format!("`{text}`"),
        DefaultValue::Derived(from) => format!("from `{from}`"),
    }
}

#[test]
fn the_page_and_the_code_know_the_same_keys() {
    let documented: Vec<String> = rows().into_iter().map(|row| row.key).collect();
    let known: BTreeSet<String> = KEYS.iter().map(|key| key.path.to_string()).collect();
    let distinct: BTreeSet<String> = documented.iter().cloned().collect();
    assert_eq!(distinct, known);
    assert_eq!(documented.len(), known.len(), "a key is documented twice");
}

#[test]
fn the_page_tells_kind_unit_and_default_of_each_key() {
    for row in rows() {
        let key = KEYS
            .iter()
            .find(|key| key.path == row.key)
            .expect("the key is known");
        let unit = if key.unit.is_empty() { "-" } else { key.unit };
        assert_eq!(row.value, documented_value(key), "{}", row.key);
        assert_eq!(row.unit, unit, "{}", row.key);
        assert_eq!(row.default, documented_default(key), "{}", row.key);
    }
}

#[test]
fn the_example_of_the_page_is_valid() {
    let example = PAGE
        .split("```toml\n")
        .nth(1)
        .and_then(|rest| rest.split("```").next())
        .expect("there is an example");
    let settings = Settings::load("example.toml", example, &Overrides::default());
    assert_eq!(settings.map(|settings| settings.seeds.len()), Ok(2));
}

proptest! {
    #![proptest_config(Config {
        cases: 300,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(11),
        ..Config::default()
    })]

    /// Any text is answered with settings or with at least one finding.
    #[test]
    fn no_text_breaks_the_reader(text in "(\\[(node|listen|limits|x)\\]\n|[a-z_é]{1,12}( ?= ?(\"[^\"]{0,6}\"|[0-9]{1,9}|\\{|\\[))?\n){0,8}") {
        match Settings::load("any.toml", &text, &Overrides::default()) {
            Ok(_) => {}
            Err(findings) => prop_assert!(!findings.0.is_empty()),
        }
    }
}
