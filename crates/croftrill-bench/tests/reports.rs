//! The command line, its input files, and what it writes.

use croftrill_bench::command_line::{compare, parse, Command};
use croftrill_bench::compare::PolicySpec;
use croftrill_bench::measurement::fair_shares;
use croftrill_bench::scenario::{Scenario, DEPLOYMENTS};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::ffi::OsString;

fn arguments(line: &str) -> Vec<OsString> {
    line.split_whitespace().map(OsString::from).collect()
}

fn error_of(line: &str) -> String {
    format!("{:#}", parse(arguments(line)).unwrap_err())
}

#[test]
fn a_wrong_command_line_is_refused_with_what_would_be_right() {
    assert!(error_of("").contains("--help"));
    assert!(error_of("compare --deployment elsewhere").contains("granite-ledger"));
    assert!(error_of("compare --policy none-such").contains("static-placement"));
    assert!(error_of("compare --seed many").contains("many"));
    assert!(error_of("compare --colour").contains("--colour"));
    assert!(error_of("compare --workload /nowhere/x.toml").contains("/nowhere/x.toml"));
}

#[test]
fn help_and_version_need_no_command() {
    assert!(matches!(parse(arguments("--help")), Ok(Command::Help)));
    assert!(matches!(parse(arguments("--version")), Ok(Command::Version)));
}

#[test]
fn a_comparison_writes_table_json_and_plots() {
    let directory = std::env::temp_dir().join(format!("croftrill-bench-{}", std::process::id()));
    let line = format!(
        "compare --deployment surakshita-yatra --seed 7 --duration 20 --policy croftrill \
         --policy static-placement --output {}",
        directory.display()
    );
    let Command::Compare(options) = parse(arguments(&line)).unwrap() else {
        panic!("compare is a command");
    };
    compare(&options).unwrap();
    let written = directory.join("surakshita-yatra-seed-7");
    let read = |name: &str| std::fs::read_to_string(written.join(name)).unwrap();
    let json: serde_json::Value = serde_json::from_str(&read("report.json")).unwrap();
    assert_eq!(json.as_array().unwrap().len(), 2);
    assert_eq!(json[0]["lost"], 0);
    assert!(read("report.md").contains("| static-placement | summaries |"));
    for plot in ["cold-start.svg", "idle-hours.svg"] {
        assert!(read(plot).starts_with("<svg"), "{plot}");
    }
    std::fs::remove_dir_all(directory).unwrap();
}

#[test]
fn unknown_keys_of_a_scenario_or_policy_are_refused() {
    let scenario = include_str!("../workloads/granite-ledger.toml");
    let error = Scenario::parse(&format!("colour = 1\n{scenario}")).unwrap_err();
    assert!(format!("{error:#}").contains("colour"));
    let policy = "[[policies]]\nkind = \"croftrill\"\ncolour = 1\n";
    assert!(PolicySpec::parse(policy).is_err());
}

#[test]
fn a_flood_of_an_unknown_group_is_refused() {
    let scenario = include_str!("../workloads/granite-ledger.toml");
    let scenario = scenario.replace("group = \"agency\"", "group = \"nobody\"");
    let error = Scenario::parse(&scenario).unwrap_err();
    assert!(format!("{error:#}").contains("nobody"));
}

#[test]
fn built_in_names_differ() {
    let policies = PolicySpec::built_in().unwrap();
    let names: std::collections::BTreeSet<&str> = policies.iter().map(PolicySpec::name).collect();
    assert_eq!(names.len(), policies.len());
    for deployment in DEPLOYMENTS {
        assert_eq!(Scenario::built_in(deployment).unwrap().name, deployment);
    }
}

#[test]
fn a_share_that_is_not_needed_goes_to_the_others() {
    assert_eq!(
        fair_shares(100.0, &[10.0, 200.0, 200.0], &[1.0, 1.0, 2.0]),
        [10.0, 30.0, 60.0]
    );
    assert_eq!(fair_shares(100.0, &[10.0, 20.0], &[1.0, 1.0]), [10.0, 20.0]);
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(1), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn shares_use_all_and_exceed_no_demand(
        groups in prop::collection::vec((0.0..100.0_f64, 1.0..5.0_f64), 1..6),
        total in 0.0..300.0_f64,
    ) {
        let (demand, weights): (Vec<f64>, Vec<f64>) = groups.into_iter().unzip();
        let shares = fair_shares(total, &demand, &weights);
        let sum: f64 = shares.iter().sum();
        let wanted: f64 = demand.iter().sum();
        prop_assert!((sum - total.min(wanted)).abs() < 1e-6);
        for (share, demand) in shares.iter().zip(&demand) {
            prop_assert!(*share <= demand + 1e-6);
        }
    }
}
