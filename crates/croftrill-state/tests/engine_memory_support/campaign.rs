//! How many cases the property tests run and from which seed: fixed, unless
//! `PROPERTY_CASES` or `PROPERTY_SEED` say otherwise for a longer run.

use proptest::test_runner::{Config, RngSeed};

const SEED: u64 = 7;

/// The settings of a property test that usually runs so many cases.
pub fn config(cases: u32) -> Config {
    Config {
        cases: number("PROPERTY_CASES").map_or(cases, |cases| cases as u32),
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(number("PROPERTY_SEED").unwrap_or(SEED)),
        ..Config::default()
    }
}

fn number(variable: &str) -> Option<u64> {
    std::env::var(variable).ok()?.parse().ok()
}
