//! Arbitrary failures against the whole service. Afterwards every attempt is
//! reconciled with the engine's own ledger of what ran.

mod support;

use croftrill_protocol::attempt::AttemptEvent;
use croftrill_state::configuration::PriorityClass;
use croftrill_state::engine_memory::ConfirmedRelease;
use croftrill_state::outcome::Execution;
use croftrill_state::placement::{AssignmentState, Residency};
use croftrill_state::{AttemptId, EngineId, FencingToken, ModelId};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use support::engine::token_text;
use support::world::*;
use tokio::task::JoinHandle;

const MODELS: [&str; 4] = ["a", "b", "c", "d"];
const MEMORY: [u64; 4] = [30, 60, 90, 50];

#[derive(Clone, Debug)]
enum Event {
    Request {
        model: usize,
        class: usize,
        first_token: u64,
        total: u64,
    },
    StaleRequest(usize),
    AbandonOne(usize),
    Cancel(u64),
    Assign(usize),
    Release(usize),
    RecordReleases,
    NewVersion(usize),
    Unreachable(bool),
    LoseAnswers(bool),
    FailLoads(bool),
    RefuseRuns(bool),
    BreakStreams(Option<u32>),
    LoseRunAnswers(bool),
    SlowTokens(u64),
    EngineRestarts,
    HigherTokenSeen,
    OwnerChanges,
    OwnerChangesBack,
    CoordinatorUnreachable(bool),
    Pass(u64),
}

fn event() -> impl Strategy<Value = Event> {
    let model = 0..MODELS.len();
    prop_oneof![
        20 => (model.clone(), 0..4usize, 50..5_000u64, 0..5_000u64).prop_map(
            |(model, class, first_token, more)| Event::Request { model, class, first_token, total: first_token + more }
        ),
        1 => model.clone().prop_map(Event::StaleRequest),
        3 => any::<usize>().prop_map(Event::AbandonOne),
        1 => (0..100u64).prop_map(Event::Cancel),
        4 => model.clone().prop_map(Event::Assign),
        2 => model.clone().prop_map(Event::Release),
        2 => Just(Event::RecordReleases),
        1 => model.prop_map(Event::NewVersion),
        1 => any::<bool>().prop_map(Event::Unreachable),
        1 => any::<bool>().prop_map(Event::LoseAnswers),
        1 => any::<bool>().prop_map(Event::FailLoads),
        1 => any::<bool>().prop_map(Event::RefuseRuns),
        1 => proptest::option::of(0..3u32).prop_map(Event::BreakStreams),
        1 => any::<bool>().prop_map(Event::LoseRunAnswers),
        2 => (1..400u64).prop_map(Event::SlowTokens),
        1 => Just(Event::EngineRestarts),
        1 => Just(Event::HigherTokenSeen),
        1 => Just(Event::OwnerChanges),
        2 => Just(Event::OwnerChangesBack),
        1 => any::<bool>().prop_map(Event::CoordinatorUnreachable),
        12 => (0..800u64).prop_map(Event::Pass),
    ]
}

struct Attempt {
    id: AttemptId,
    events: JoinHandle<Vec<AttemptEvent>>,
    abandoned: bool,
}

struct Campaign {
    world: World,
    attempts: Vec<Attempt>,
}

impl Campaign {
    fn request(
        &mut self,
        model: usize,
        change: impl FnOnce(&mut croftrill_protocol::attempt::AttemptRequest),
    ) {
        let mut request = self.world.request(MODELS[model]);
        change(&mut request);
        self.attempts.push(Attempt {
            id: request.attempt,
            events: self.world.spawn(request),
            abandoned: false,
        });
    }

    async fn apply(&mut self, event: Event) {
        let engine = self.world.engine.clone();
        match event {
            Event::Request {
                model,
                class,
                first_token,
                total,
            } => self.request(model, |request| {
                request.priority = PriorityClass::ALL[class];
                request.first_token_deadline_millis = first_token;
                request.total_deadline_millis = total;
            }),
            Event::StaleRequest(model) => {
                self.request(model, |request| request.fencing_token = FencingToken(0))
            }
            Event::AbandonOne(number) => self.abandon(number),
            Event::Cancel(attempt) => self.world.service.cancel(AttemptId(attempt)),
            Event::Assign(model) => self
                .world
                .assign(MODELS[model], MEMORY[model], Residency::OnDemand),
            Event::Release(model) => self.release(model),
            Event::RecordReleases => self.record_releases(),
            Event::NewVersion(model) => self.world.change(|state| {
                if let Some(model) = state.models.get_mut(&ModelId::from(MODELS[model])) {
                    model.value.version += 1;
                }
            }),
            Event::Unreachable(is) => engine.behave(|behaviour| behaviour.unreachable = is),
            Event::LoseAnswers(is) => engine.behave(|behaviour| behaviour.lose_order_answers = is),
            Event::FailLoads(is) => engine.behave(|behaviour| behaviour.fail_loads = is),
            Event::RefuseRuns(is) => engine.behave(|behaviour| behaviour.refuse_runs = is),
            Event::BreakStreams(after) => engine.behave(|behaviour| behaviour.break_after_tokens = after),
            Event::LoseRunAnswers(is) => engine.behave(|behaviour| behaviour.lose_run_answers = is),
            Event::SlowTokens(millis) => engine.behave(|behaviour| behaviour.token_millis = millis),
            Event::EngineRestarts => engine.restart(),
            Event::HigherTokenSeen => {
                let token = self.world.token();
                engine.raise_token(FencingToken(token.0 + 1));
            }
            Event::OwnerChanges => self.world.set_owner(OTHER_NODE),
            Event::OwnerChangesBack => self.world.set_owner(NODE),
            Event::CoordinatorUnreachable(is) => *self.world.coordinator.unreachable.lock().unwrap() = is,
            Event::Pass(millis) => pass(millis).await,
        }
    }

    fn abandon(&mut self, number: usize) {
        if !self.attempts.is_empty() {
            let at = number % self.attempts.len();
            self.attempts[at].events.abort();
            self.attempts[at].abandoned = true;
        }
    }

    fn release(&mut self, model: usize) {
        self.world.change(|state| {
            let by_engine = state.assignments.get_mut(&ModelId::from(MODELS[model]));
            if let Some(found) = by_engine.and_then(|by_engine| by_engine.get_mut(&EngineId::from(ENGINE))) {
                if found.value.state != AssignmentState::Releasing {
                    found.value.state = AssignmentState::Releasing;
                    found.changed_at = state.revision;
                }
            }
        });
    }

    fn record_releases(&mut self) {
        let reported = std::mem::take(&mut *self.world.coordinator.releases.lock().unwrap());
        self.world.change(|state| {
            for ConfirmedRelease { model, release } in reported {
                let by_engine = state.assignments.get(&model);
                let releasing = by_engine
                    .and_then(|by_engine| by_engine.get(&EngineId::from(ENGINE)))
                    .is_some_and(|found| {
                        found.value.state == AssignmentState::Releasing && found.changed_at == release
                    });
                if releasing {
                    state.assignments.remove(&model);
                }
            }
        });
    }

    /// Ends all failures, and reconciles every attempt with the engine.
    async fn reconcile(mut self) {
        self.world
            .engine
            .behave(|behaviour| *behaviour = Default::default());
        *self.world.coordinator.unreachable.lock().unwrap() = false;
        pass(30_000).await;
        assert_eq!(
            self.world.service.open_attempts(),
            0,
            "an attempt has no final event"
        );
        assert_eq!(self.world.engine.breaches(), []);
        for attempt in std::mem::take(&mut self.attempts) {
            let runs = self.world.engine.runs_of(attempt.id);
            assert!(runs <= 1, "{} ran {runs} times", attempt.id);
            let Ok(events) = attempt.events.await else {
                assert!(attempt.abandoned);
                continue;
            };
            check_events(&events, runs);
        }
        self.check_works_again().await;
    }

    async fn check_works_again(&self) {
        self.world.set_owner(NODE);
        self.world.assign("a", MEMORY[0], Residency::OnDemand);
        pass(1_000).await;
        let mut request = self.world.request("a");
        request.first_token_deadline_millis = 60_000;
        request.total_deadline_millis = 60_000;
        let events = self.world.events_of(request).await;
        assert_eq!(whole_text(&events), expected_text(3));
    }
}

/// One final event, at the end; whole text or an honest refusal.
fn check_events(events: &[AttemptEvent], runs: usize) {
    let is_final = |event: &&AttemptEvent| {
        matches!(
            event,
            AttemptEvent::Finished { .. } | AttemptEvent::Refused { .. }
        )
    };
    assert_eq!(events.iter().filter(is_final).count(), 1, "{events:?}");
    let started = events
        .iter()
        .any(|event| matches!(event, AttemptEvent::Started { .. }));
    assert!(started || runs == 0, "it ran before it was told to have started");
    match events.last() {
        Some(AttemptEvent::Finished { .. }) => {
            assert_eq!(runs, 1);
            assert_eq!(whole_text(events), expected_text(3));
        }
        Some(AttemptEvent::Refused { refusal, .. }) => {
            assert!(
                refusal.execution == Execution::MayHaveRun || runs == 0,
                "ran: {refusal:?}"
            );
            assert!(
                refusal.execution == Execution::NotRun || started,
                "not started: {refusal:?}"
            );
        }
        other => panic!("the last event is {other:?}"),
    }
}

fn expected_text(tokens: u32) -> String {
    (0..tokens).map(token_text).collect()
}

fn run(events: Vec<Event>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .unwrap();
    runtime.block_on(async {
        let mut campaign = Campaign {
            world: world(),
            attempts: Vec::new(),
        };
        for (model, memory) in MODELS.into_iter().zip(MEMORY) {
            campaign.world.assign(model, memory, Residency::OnDemand);
        }
        for event in events {
            campaign.apply(event).await;
        }
        campaign.reconcile().await;
    });
}

fn number(variable: &str) -> Option<u64> {
    std::env::var(variable).ok()?.parse().ok()
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: number("PROPERTY_CASES").unwrap_or(150) as u32,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(number("PROPERTY_SEED").unwrap_or(7)),
        ..ProptestConfig::default()
    })]

    #[test]
    fn every_attempt_is_reconciled_with_what_the_engine_ran(events in proptest::collection::vec(event(), 1..120)) {
        run(events);
    }
}
