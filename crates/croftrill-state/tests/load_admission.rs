//! Behaviour of load admission in single situations.

use croftrill_state::load_admission::{LoadAdmission, LoadAdmissionConfig, Permit};
use croftrill_state::{EngineId, Instant, ModelId};

const LOAD_MIB: u64 = 2000;
const FAR_DEADLINE: u64 = 60_000;

fn config() -> LoadAdmissionConfig {
    LoadAdmissionConfig {
        loads_per_second_thousandths: 2000,
        concurrent_loads: 2,
        initial_mib_per_second: 1000,
        ..LoadAdmissionConfig::default()
    }
}

fn ask(admission: &mut LoadAdmission, at: u64, model: &str, deadline_millis: u64) -> Permit {
    admission.request(
        Instant(at),
        &EngineId::from("engine"),
        &ModelId::from(model),
        LOAD_MIB,
        deadline_millis,
    )
}

fn finish(admission: &mut LoadAdmission, at: u64, model: &str, duration_millis: u64) {
    admission.finish(
        Instant(at),
        &EngineId::from("engine"),
        &ModelId::from(model),
        LOAD_MIB,
        duration_millis,
        true,
    );
}

fn granted(permit: Permit) -> bool {
    matches!(permit, Permit::Granted { .. })
}

fn expected(permit: Permit) -> u64 {
    match permit {
        Permit::Granted { expected_millis } | Permit::Wait { expected_millis, .. } => expected_millis,
    }
}

#[test]
fn grants_at_the_rate_and_up_to_the_limit() {
    let mut admission = LoadAdmission::new(config(), Instant(0));
    assert_eq!(
        ask(&mut admission, 0, "a", FAR_DEADLINE),
        Permit::Granted {
            expected_millis: 2000
        }
    );
    let second = ask(&mut admission, 0, "b", FAR_DEADLINE);
    assert_eq!(
        second,
        Permit::Wait {
            retry_after_millis: 250,
            expected_millis: 2500
        }
    );
    assert!(!granted(ask(&mut admission, 250, "b", FAR_DEADLINE)));
    assert!(granted(ask(&mut admission, 500, "b", FAR_DEADLINE)));
    let third = ask(&mut admission, 1000, "c", FAR_DEADLINE);
    assert_eq!(
        third,
        Permit::Wait {
            retry_after_millis: 250,
            expected_millis: 3000
        }
    );
}

#[test]
fn local_loads_pass_at_once() {
    let mut admission = LoadAdmission::new(config(), Instant(0));
    ask(&mut admission, 0, "a", FAR_DEADLINE);
    ask(&mut admission, 500, "b", FAR_DEADLINE);
    let local = admission.request(Instant(500), &EngineId::from("e"), &ModelId::from("c"), 0, 1);
    assert_eq!(local, Permit::Granted { expected_millis: 0 });
    assert_eq!(admission.running_loads(), 2);
}

#[test]
fn asking_again_for_a_running_load_takes_no_second_slot() {
    let mut admission = LoadAdmission::new(config(), Instant(0));
    assert!(granted(ask(&mut admission, 0, "a", FAR_DEADLINE)));
    assert!(granted(ask(&mut admission, 10, "a", FAR_DEADLINE)));
    assert_eq!(admission.running_loads(), 1);
}

#[test]
fn a_load_that_cannot_help_is_not_started_and_keeps_no_place() {
    let mut admission = LoadAdmission::new(config(), Instant(0));
    let hopeless = ask(&mut admission, 0, "a", 1000);
    assert_eq!(
        hopeless,
        Permit::Wait {
            retry_after_millis: 20,
            expected_millis: 2000
        }
    );
    assert_eq!(admission.waiting_loads(), 0);
    assert!(granted(ask(&mut admission, 0, "b", 2000)));
}

#[test]
fn a_quiet_store_is_measured_even_by_a_load_that_seems_too_slow() {
    let mut admission = LoadAdmission::new(config(), Instant(0));
    for at in [0, 1000, 4999] {
        assert!(!granted(ask(&mut admission, at, "a", 1000)));
    }
    assert_eq!(
        ask(&mut admission, 5000, "a", 1000),
        Permit::Granted {
            expected_millis: 2000
        }
    );
}

#[test]
fn the_more_urgent_asker_goes_first() {
    let mut admission = LoadAdmission::new(config(), Instant(0));
    ask(&mut admission, 0, "first", FAR_DEADLINE);
    ask(&mut admission, 300, "patient", 30_000);
    ask(&mut admission, 310, "urgent", 5_000);
    let patient = ask(&mut admission, 500, "patient", 29_800);
    assert!(!granted(patient), "the urgent asker will ask again in time");
    assert!(granted(ask(&mut admission, 501, "urgent", 4_809)));
}

#[test]
fn an_asker_that_stays_away_holds_nobody_up() {
    let mut admission = LoadAdmission::new(config(), Instant(0));
    ask(&mut admission, 0, "first", FAR_DEADLINE);
    ask(&mut admission, 310, "urgent", 5_000);
    assert!(!granted(ask(&mut admission, 500, "patient", 30_000)));
    assert!(granted(ask(&mut admission, 700, "patient", 29_800)));
}

#[test]
fn a_slowdown_is_learned_within_three_reports() {
    let mut admission = LoadAdmission::new(config(), Instant(0));
    for number in 0..3 {
        let at = number * 25_000;
        assert!(granted(ask(&mut admission, at, "a", FAR_DEADLINE)));
        finish(&mut admission, at + 20_000, "a", 20_000);
    }
    let expected = admission.expected_millis(Instant(80_000), LOAD_MIB);
    assert!((14_000..=20_000).contains(&expected), "{expected}");
}

#[test]
fn a_slowdown_shows_without_any_report() {
    let mut admission = LoadAdmission::new(config(), Instant(0));
    ask(&mut admission, 0, "a", FAR_DEADLINE);
    ask(&mut admission, 500, "b", FAR_DEADLINE);
    assert_eq!(admission.expected_millis(Instant(1000), LOAD_MIB), 2000);
    assert_eq!(admission.expected_millis(Instant(8500), LOAD_MIB), 8000);
    assert!(expected(ask(&mut admission, 8500, "c", 9000)) > 9000);
}

#[test]
fn one_stray_report_does_little() {
    let mut admission = LoadAdmission::new(config(), Instant(0));
    finish(&mut admission, 0, "a", 2_000_000);
    assert!(admission.expected_millis(Instant(0), LOAD_MIB) <= 5000);
    for _ in 0..5 {
        finish(&mut admission, 0, "a", 2000);
    }
    assert!(admission.expected_millis(Instant(0), LOAD_MIB) <= 2600);
}

#[test]
fn one_stuck_load_among_several_does_not_count_as_a_slowdown() {
    let mut admission = LoadAdmission::new(config(), Instant(0));
    ask(&mut admission, 0, "stuck", FAR_DEADLINE);
    ask(&mut admission, 6000, "b", FAR_DEADLINE);
    finish(&mut admission, 8000, "b", 2000);
    ask(&mut admission, 8000, "c", FAR_DEADLINE);
    assert_eq!(admission.expected_millis(Instant(8500), LOAD_MIB), 2000);
}

#[test]
fn a_load_that_only_just_started_says_nothing_against_a_slowdown() {
    let mut admission = LoadAdmission::new(config(), Instant(0));
    ask(&mut admission, 0, "slow", FAR_DEADLINE);
    assert_eq!(admission.expected_millis(Instant(6000), LOAD_MIB), 6000);
    ask(&mut admission, 6000, "b", FAR_DEADLINE);
    assert_eq!(admission.expected_millis(Instant(6500), LOAD_MIB), 6500);
    let at_most = 4 * 2000;
    assert_eq!(admission.expected_millis(Instant(9000), LOAD_MIB), at_most);
}

#[test]
fn failed_loads_free_their_slot_and_teach_nothing() {
    let mut admission = LoadAdmission::new(config(), Instant(0));
    ask(&mut admission, 0, "a", FAR_DEADLINE);
    admission.finish(
        Instant(10),
        &EngineId::from("engine"),
        &ModelId::from("a"),
        LOAD_MIB,
        10,
        false,
    );
    assert_eq!(admission.running_loads(), 0);
    assert_eq!(admission.expected_millis(Instant(10), LOAD_MIB), 2000);
}

#[test]
fn lost_reports_end_with_their_lease() {
    let mut admission = LoadAdmission::new(config(), Instant(0));
    ask(&mut admission, 0, "a", FAR_DEADLINE);
    ask(&mut admission, 500, "b", FAR_DEADLINE);
    assert!(!granted(ask(&mut admission, 9_999, "c", FAR_DEADLINE * 10)));
    let end_of_every_lease = 500 + config().most_lease_millis;
    assert!(granted(ask(
        &mut admission,
        end_of_every_lease,
        "c",
        FAR_DEADLINE * 10
    )));
    assert_eq!(admission.running_loads(), 1);
}

#[test]
fn a_renewed_lease_lasts() {
    let mut admission = LoadAdmission::new(config(), Instant(0));
    for at in (0..400_000).step_by(5_000) {
        assert!(granted(ask(&mut admission, at, "a", FAR_DEADLINE)));
    }
    assert_eq!(admission.running_loads(), 1);
}

#[test]
fn a_new_coordinator_starts_with_one_load_and_no_token() {
    let mut admission = LoadAdmission::after_takeover(config(), Instant(0));
    assert!(!granted(ask(&mut admission, 0, "a", FAR_DEADLINE)));
    assert!(granted(ask(&mut admission, 500, "a", FAR_DEADLINE)));
    assert!(!granted(ask(&mut admission, 1500, "b", FAR_DEADLINE)));
    assert!(granted(ask(&mut admission, 10_000, "b", FAR_DEADLINE)));
}

#[test]
fn a_permit_given_back_unused_frees_its_slot() {
    let mut admission = LoadAdmission::new(config(), Instant(0));
    ask(&mut admission, 0, "a", FAR_DEADLINE);
    let (engine, model) = (EngineId::from("engine"), ModelId::from("a"));
    admission.finish(Instant(10), &engine, &model, 0, 0, false);
    assert_eq!(admission.running_loads(), 0);
}

#[test]
fn the_fixed_part_of_a_load_is_not_taken_for_the_stores_speed() {
    let config = LoadAdmissionConfig {
        fixed_load_millis: 900,
        ..config()
    };
    let mut admission = LoadAdmission::new(config, Instant(0));
    for _ in 0..20 {
        let (engine, model) = (EngineId::from("engine"), ModelId::from("small"));
        admission.finish(Instant(0), &engine, &model, 100, 900 + 100, true);
    }
    assert_eq!(admission.expected_millis(Instant(0), LOAD_MIB), 900 + LOAD_MIB);
}
