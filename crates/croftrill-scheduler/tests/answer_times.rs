//! How long a service's replicas usually take until their answers begin.

use std::time::Duration;

use croftrill_scheduler::answer_times::AnswerTimes;

fn millis(value: u64) -> Duration {
    Duration::from_millis(value)
}

#[test]
fn usual_unknown_before_first_answer() {
    assert_eq!(AnswerTimes::default().usual(), None);
}

/// Answers that take between 20 and 60 ms, in no order.
#[test]
fn usual_covers_answers() {
    let mut times = AnswerTimes::default();
    for number in 0..200 {
        let time = millis(20 + number * 17 % 41);
        if number > 20 {
            assert!(times.usual().expect("an estimate") >= time);
        }
        times.record(time);
    }
    assert!(times.usual().expect("an estimate") < millis(200));
}

/// Answers become slow for all replicas: that is no silence for long.
#[test]
fn usual_follows_slow_answers() {
    let mut times = AnswerTimes::default();
    (0..50).for_each(|_| times.record(millis(30)));
    times.record(millis(2_000));
    assert!(times.usual().expect("an estimate") >= millis(2_000));
}
