//! Permits of a replica that falls over after some rejections, kept by one node for all.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use croftrill_scheduler::quota::limits::KeeperRole;
use croftrill_scheduler::quota::permits::{
    PermitAnswer, PermitDecision, PermitEnd, PermitId, PermitKeeper, PermitRequest, RequesterId,
};
use croftrill_scheduler::time::Moment;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn at(millis: u64) -> Moment {
    Moment::from_start(Duration::from_millis(1_000_000 + millis))
}

fn replica() -> Arc<str> {
    "r1".into()
}

fn id(number: u64) -> PermitId {
    PermitId {
        requester: RequesterId(number % 7),
        number,
    }
}

fn primary() -> PermitKeeper {
    let mut keeper = PermitKeeper::default();
    keeper.set_role(KeeperRole::Primary);
    keeper
}

fn complete(elapsed_ms: u64, requests: u32) -> PermitEnd {
    PermitEnd::Complete(PermitAnswer {
        elapsed: Duration::from_millis(elapsed_ms),
        requests: Some(requests),
    })
}

fn request(slots: u32, max_rejections_per_s: u32) -> PermitRequest {
    PermitRequest {
        started_ms: Some(1),
        slots,
        max_rejections_per_s,
        patience: Duration::ZERO,
        lifetime: Duration::from_millis(1500),
        is_urgent: false,
    }
}

/// Requests permits until one is refused. Returns those that are granted.
fn take_all(keeper: &mut PermitKeeper, first: u64, request: &PermitRequest, now_ms: u64) -> Vec<PermitId> {
    let mut granted = Vec::new();
    for number in first.. {
        if keeper.request(&replica(), id(number), request, at(now_ms)) != PermitDecision::Granted {
            break;
        }
        granted.push(id(number));
    }
    granted
}

#[test]
fn request_of_unknown_replica_is_a_probe() {
    let mut keeper = primary();
    assert_eq!(take_all(&mut keeper, 0, &request(8, 4), 0).len(), 2);
}

#[test]
fn answer_with_low_load_frees_slots() {
    let mut keeper = primary();
    let probes = take_all(&mut keeper, 0, &request(8, 4), 0);
    keeper.end("r1", probes[0], complete(100, 1), at(100));
    // One other is out, and one that no permit accounts for may be there.
    assert_eq!(take_all(&mut keeper, 100, &request(8, 4), 100).len(), 7);
}

#[test]
fn permits_never_exceed_slots() {
    let mut keeper = primary();
    let probes = take_all(&mut keeper, 0, &request(8, 100), 0);
    assert_eq!(probes.len(), 8);
}

#[test]
fn rejection_counts_all_slots_as_taken() {
    let mut keeper = primary();
    let probes = take_all(&mut keeper, 0, &request(8, 4), 0);
    keeper.end("r1", probes[0], complete(100, 0), at(100));
    let taken = take_all(&mut keeper, 100, &request(8, 4), 100);
    keeper.end("r1", taken[0], PermitEnd::Rejected, at(110));
    // The other half of the bearable rejections.
    assert_eq!(take_all(&mut keeper, 200, &request(8, 4), 110).len(), 1);
}

#[test]
fn old_answer_counts_as_taken() {
    let mut keeper = primary();
    let probes = take_all(&mut keeper, 0, &request(8, 4), 0);
    for probe in probes {
        keeper.end("r1", probe, complete(100, 0), at(100));
    }
    assert_eq!(take_all(&mut keeper, 100, &request(8, 4), 1_200).len(), 2);
}

#[test]
fn lost_requester_still_takes_slots() {
    let mut keeper = primary();
    let probes = take_all(&mut keeper, 0, &request(8, 4), 0);
    keeper.end("r1", probes[0], complete(100, 0), at(100));
    let taken = take_all(&mut keeper, 100, &request(8, 4), 100);
    assert_eq!(taken.len(), 7);
    for number in 0..7 {
        keeper.lose_requester(RequesterId(number));
    }
    assert_eq!(take_all(&mut keeper, 200, &request(8, 4), 110).len(), 2);
}

#[test]
fn waiting_request_is_granted_as_a_slot_is_freed() {
    let mut keeper = primary();
    let probes = take_all(&mut keeper, 0, &request(2, 4), 0);
    assert_eq!(probes.len(), 2);
    let patient = PermitRequest {
        patience: Duration::from_millis(200),
        ..request(2, 4)
    };
    let urgent = PermitRequest {
        is_urgent: true,
        ..patient
    };
    assert_eq!(
        keeper.request(&replica(), id(50), &patient, at(10)),
        PermitDecision::Queued
    );
    assert_eq!(
        keeper.request(&replica(), id(51), &urgent, at(20)),
        PermitDecision::Queued
    );
    let granted = keeper.end("r1", probes[0], complete(100, 1), at(100));
    assert_eq!(granted, [id(51)]);
    keeper.end("r1", id(50), PermitEnd::NotSent, at(110));
    assert!(keeper.end("r1", id(51), complete(100, 0), at(200)).is_empty());
}

#[test]
fn request_that_would_wait_too_long_is_refused() {
    let mut keeper = primary();
    let mut held = take_all(&mut keeper, 0, &request(2, 4), 0);
    keeper.end("r1", held.remove(0), complete(400, 1), at(400));
    take_all(&mut keeper, 10, &request(2, 4), 400);
    let patient = PermitRequest {
        patience: Duration::from_millis(250),
        ..request(2, 4)
    };
    assert_eq!(
        keeper.request(&replica(), id(50), &patient, at(410)),
        PermitDecision::Queued
    );
    let decision = keeper.request(&replica(), id(51), &patient, at(410));
    assert!(
        matches!(decision, PermitDecision::Refused { retry_after } if retry_after >= Duration::from_millis(300))
    );
}

#[test]
fn replica_that_bears_no_rejection_is_probed_seldom() {
    let mut keeper = primary();
    for (now_ms, expected) in [(0, 1), (2_000, 0), (9_000, 0), (10_200, 1)] {
        let probes = take_all(&mut keeper, now_ms, &request(8, 0), now_ms);
        assert_eq!(probes.len(), expected, "{now_ms}");
        for probe in probes {
            keeper.end("r1", probe, PermitEnd::Rejected, at(now_ms + 1));
        }
    }
}

/// An event in a simulated run, in the order in which those of the same time happen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// The replica's run of a request ends.
    RunEnds { permit: Option<PermitId> },
    /// A request with this permit arrives at the replica.
    Arrives { permit: PermitId, run_ms: u64 },
    /// A node's report arrives at the keeper.
    Ends {
        permit: PermitId,
        end: ReportedEnd,
        requests: u32,
        elapsed_ms: u64,
    },
    /// A caller's request comes to a node.
    Asks { run_ms: u64, is_abandoned: bool },
    /// The keeper is replaced by one that knows nothing.
    KeeperReplaced,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum ReportedEnd {
    Complete,
    Rejected,
    Unknown,
}

/// A replica, its keeper, and nodes whose messages take their time.
struct Run {
    keeper: PermitKeeper,
    request: PermitRequest,
    events: BTreeMap<(u64, u64), Event>,
    next: u64,
    running: u32,
    abandoned: HashMap<PermitId, u64>,
    sent_ms: HashMap<PermitId, u64>,
    rejected_at: Vec<u64>,
    served: usize,
    delays_ms: Vec<u64>,
    delays: usize,
}

impl Run {
    fn schedule(&mut self, now_ms: u64, event: Event) {
        self.next += 1;
        self.events.insert((now_ms, self.next), event);
    }

    fn delay_ms(&mut self) -> u64 {
        self.delays += 1;
        self.delays_ms[self.delays % self.delays_ms.len()]
    }

    fn send(&mut self, permit: PermitId, run_ms: u64, now_ms: u64) {
        let sent_ms = now_ms + self.delay_ms();
        self.sent_ms.insert(permit, sent_ms);
        let arrives = sent_ms + self.delay_ms();
        self.schedule(arrives, Event::Arrives { permit, run_ms });
    }

    fn report(&mut self, permit: PermitId, end: ReportedEnd, now_ms: u64) {
        let answered_ms = now_ms + self.delay_ms();
        let arrives = answered_ms + self.delay_ms();
        let requests = self.running;
        let elapsed_ms = answered_ms - self.sent_ms[&permit];
        self.schedule(
            arrives,
            Event::Ends {
                permit,
                end,
                requests,
                elapsed_ms,
            },
        );
    }

    fn play(&mut self, until_ms: u64) {
        let mut granted_runs: HashMap<PermitId, u64> = HashMap::new();
        while let Some(((now_ms, _), event)) = self.events.pop_first() {
            if now_ms > until_ms {
                break;
            }
            match event {
                Event::Asks { run_ms, is_abandoned } => {
                    self.next += 1;
                    let permit = id(self.next);
                    if is_abandoned {
                        self.abandoned.insert(permit, now_ms);
                    }
                    granted_runs.insert(permit, run_ms);
                    let decision = self.keeper.request(&replica(), permit, &self.request, at(now_ms));
                    if decision == PermitDecision::Granted {
                        self.send(permit, run_ms, now_ms);
                    }
                }
                Event::Arrives { permit, run_ms } => {
                    if self.running >= self.request.slots {
                        self.rejected_at.push(now_ms);
                        self.report(permit, ReportedEnd::Rejected, now_ms);
                        continue;
                    }
                    self.running += 1;
                    self.schedule(now_ms + run_ms, Event::RunEnds { permit: Some(permit) });
                    if self.abandoned.contains_key(&permit) {
                        // Its node gives up at once, and it runs on.
                        self.report(permit, ReportedEnd::Unknown, now_ms);
                    }
                }
                Event::RunEnds { permit } => {
                    self.running -= 1;
                    if let Some(permit) = permit.filter(|permit| !self.abandoned.contains_key(permit)) {
                        self.served += 1;
                        self.report(permit, ReportedEnd::Complete, now_ms);
                    }
                }
                Event::Ends {
                    permit,
                    end,
                    requests,
                    elapsed_ms,
                } => {
                    let end = match end {
                        ReportedEnd::Complete => complete(elapsed_ms, requests),
                        ReportedEnd::Rejected => PermitEnd::Rejected,
                        ReportedEnd::Unknown => PermitEnd::Unknown,
                    };
                    for granted in self.keeper.end("r1", permit, end, at(now_ms)) {
                        let run_ms = granted_runs[&granted];
                        self.send(granted, run_ms, now_ms);
                    }
                }
                Event::KeeperReplaced => self.keeper = primary(),
            }
        }
    }

    fn most_rejections_in_a_second(&self) -> usize {
        let in_second = |(index, first): (usize, &u64)| {
            self.rejected_at[index..]
                .iter()
                .take_while(|at| **at < first + 1_000)
                .count()
        };
        self.rejected_at
            .iter()
            .enumerate()
            .map(in_second)
            .max()
            .unwrap_or(0)
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: std::env::var("CROFTRILL_PERMIT_CASES").ok().and_then(|cases| cases.parse().ok()).unwrap_or(300),
        rng_seed: RngSeed::Fixed(87),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    // Guards against a replica that falls over whatever nodes send, abandon and forget: beside requests that
    // no permit accounts for, with messages of any delay, and keepers that are replaced.
    #[test]
    fn rejections_in_any_second(
        slots in 1u32..40,
        max_rejections in 1u32..20,
        unknown in 0u32..40,
        unknown_ms in 50u64..3_000,
        pauses_ms in prop::collection::vec(prop_oneof![0u64..12, 0u64..60, Just(1_500)], 200..900),
        run_ms in prop::collection::vec(prop_oneof![20u64..200, 200u64..1_400], 1..20),
        delays_ms in prop::collection::vec(0u64..12, 1..40),
        abandoned_each in prop_oneof![Just(0u64), 3u64..30],
        replaced_ms in prop::collection::vec(0u64..9_000, 0..3),
    ) {
        let mut run = Run {
            keeper: primary(),
            request: PermitRequest { patience: Duration::from_millis(200), ..request(slots, max_rejections) },
            events: BTreeMap::new(),
            next: 0,
            running: unknown.min(slots),
            abandoned: HashMap::new(),
            sent_ms: HashMap::new(),
            rejected_at: Vec::new(),
            served: 0,
            delays_ms,
            delays: 0,
        };
        for number in 0..unknown.min(slots) {
            run.schedule(unknown_ms + u64::from(number) * 7, Event::RunEnds { permit: None });
        }
        let mut now_ms = 0;
        for (number, pause_ms) in pauses_ms.iter().enumerate() {
            now_ms += pause_ms;
            let is_abandoned = abandoned_each > 0 && number as u64 % abandoned_each == 0;
            run.schedule(now_ms, Event::Asks { run_ms: run_ms[number % run_ms.len()], is_abandoned });
        }
        for at_ms in replaced_ms {
            run.schedule(at_ms, Event::KeeperReplaced);
        }
        run.play(now_ms + 10_000);
        let most = run.most_rejections_in_a_second();
        prop_assert!(most <= max_rejections as usize, "{} in a second, {} borne", most, max_rejections);
    }

    // Guards against free slots that are not used as nothing is known of them.
    #[test]
    fn slots_are_used_under_load(
        slots in 2u32..40,
        max_rejections in 1u32..20,
        unknown in 0u32..40,
        run_ms in 50u64..400,
        delays_ms in prop::collection::vec(0u64..4, 1..40),
    ) {
        const LENGTH_MS: u64 = 10_000;
        let mut run = Run {
            keeper: primary(),
            request: PermitRequest { patience: Duration::from_millis(250), ..request(slots, max_rejections) },
            events: BTreeMap::new(),
            next: 0,
            running: unknown.min(slots),
            abandoned: HashMap::new(),
            sent_ms: HashMap::new(),
            rejected_at: Vec::new(),
            served: 0,
            delays_ms,
            delays: 0,
        };
        for number in 0..unknown.min(slots) {
            run.schedule(u64::from(number) * 20, Event::RunEnds { permit: None });
        }
        let capacity = f64::from(slots) * LENGTH_MS as f64 / run_ms as f64;
        let requests = (capacity * 1.5) as u64;
        for number in 0..requests {
            run.schedule(number * LENGTH_MS / requests, Event::Asks { run_ms, is_abandoned: false });
        }
        run.play(LENGTH_MS);
        prop_assert!(run.served as f64 >= capacity * 0.7, "{} of {capacity}", run.served);
        prop_assert_eq!(run.rejected_at.len() <= 10 * max_rejections as usize, true);
    }
}
