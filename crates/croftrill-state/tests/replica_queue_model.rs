//! Arbitrary sequences of events against an independent ledger of the queue.

#[path = "engine_memory_support/campaign.rs"]
mod campaign;

use croftrill_state::cluster::Target;
use croftrill_state::configuration::PriorityClass;
use croftrill_state::outcome::{Execution, Refusal, RefusalCause};
use croftrill_state::replica_queue::*;
use croftrill_state::{AttemptId, GroupId, Instant, ModelId};
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};

const CAPACITY: usize = 12;
const MAX_RUNNING: u32 = 3;
const STARVATION_BOUND: u32 = 4;

#[derive(Clone, Debug)]
enum Event {
    Push {
        group: u8,
        class: usize,
        target: u8,
        slack: u64,
        tokens: u32,
    },
    PushAgain(usize),
    Pop,
    Finish(usize, bool),
    Cancel(usize),
    Expire,
    SetLoaded(u8, bool),
    SetWake(u8, Option<u64>),
    Pass(u64),
    TakeWaiting,
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        8 => (0..4u8, 0..4usize, 0..3u8, 0..3_000u64, 1..200u32).prop_map(
            |(group, class, target, slack, tokens)| Event::Push { group, class, target, slack, tokens }
        ),
        1 => any::<usize>().prop_map(Event::PushAgain),
        6 => Just(Event::Pop),
        4 => (any::<usize>(), any::<bool>()).prop_map(|(at, served)| Event::Finish(at, served)),
        1 => any::<usize>().prop_map(Event::Cancel),
        2 => Just(Event::Expire),
        2 => (0..3u8, any::<bool>()).prop_map(|(target, loaded)| Event::SetLoaded(target, loaded)),
        1 => (0..3u8, proptest::option::of(0..2_000u64)).prop_map(|(target, wake)| Event::SetWake(target, wake)),
        3 => (0..300u64).prop_map(Event::Pass),
        1 => Just(Event::TakeWaiting),
    ]
}

fn target(number: u8) -> Target {
    Target {
        model: ModelId::new(format!("model-{number}")),
        adapter: None,
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Whereabouts {
    Waiting,
    Running,
    Left,
}

/// The queue and what an observer knows of it.
struct Model {
    queue: ReplicaQueue,
    now: Instant,
    items: BTreeMap<AttemptId, (QueueItem, Whereabouts)>,
    loaded: BTreeSet<Target>,
    wakes: BTreeMap<Target, Option<u64>>,
    passed_over: BTreeMap<PriorityClass, u32>,
    next: u64,
}

impl Model {
    fn new() -> Self {
        Self {
            queue: ReplicaQueue::new(QueueConfig {
                capacity: CAPACITY,
                max_running: MAX_RUNNING,
                starvation_bound: STARVATION_BOUND,
                ..QueueConfig::default()
            }),
            now: Instant(0),
            items: BTreeMap::new(),
            loaded: BTreeSet::new(),
            wakes: BTreeMap::new(),
            passed_over: BTreeMap::new(),
            next: 0,
        }
    }

    fn in_state(&self, wanted: Whereabouts) -> Vec<&QueueItem> {
        let found = self.items.values().filter(|(_, state)| *state == wanted);
        found.map(|(item, _)| item).collect()
    }

    fn ready(&self) -> Vec<&QueueItem> {
        let waiting = self.in_state(Whereabouts::Waiting);
        waiting
            .into_iter()
            .filter(|item| self.loaded.contains(&item.target))
            .collect()
    }

    fn wake(&self) -> impl Fn(&Target) -> Wake {
        let (loaded, wakes) = (self.loaded.clone(), self.wakes.clone());
        move |target| match wakes.get(target) {
            _ if loaded.contains(target) => Wake::Ready,
            Some(Some(millis)) => Wake::In(*millis),
            Some(None) => Wake::Never {
                retry_after_millis: 500,
            },
            None => Wake::In(100),
        }
    }

    fn moves(&mut self, attempt: AttemptId, from: Whereabouts, to: Whereabouts) {
        let (_, state) = self.items.get_mut(&attempt).expect("unknown attempt");
        assert_eq!(*state, from, "{attempt} is not where it should be");
        *state = to;
    }

    fn leaves_refused(&mut self, attempt: AttemptId, refusal: &Refusal) {
        self.moves(attempt, Whereabouts::Waiting, Whereabouts::Left);
        assert_eq!(refusal.execution, Execution::NotRun);
        assert!(refusal.retry_after_millis > 0, "no time to come back");
    }

    fn push(&mut self, item: QueueItem) {
        let before = self.in_state(Whereabouts::Waiting).len();
        let attempt = item.attempt;
        let due = item.first_token_deadline.min(item.total_deadline);
        match self.queue.push(item.clone(), self.wake(), self.now) {
            Ok(displaced) => {
                assert!(self.now < due, "admitted too late");
                self.items.insert(attempt, (item.clone(), Whereabouts::Waiting));
                assert_eq!(displaced.is_some(), before == CAPACITY);
                if let Some((victim, refusal)) = displaced {
                    assert!(victim.priority >= item.priority, "displaced a more urgent one");
                    assert_eq!(refusal.cause, RefusalCause::QueueFull);
                    self.leaves_refused(victim.attempt, &refusal);
                }
            }
            Err(refusal) => {
                self.items.insert(attempt, (item, Whereabouts::Waiting));
                self.leaves_refused(attempt, &refusal);
                assert!(refusal.cause != RefusalCause::QueueFull || before == CAPACITY);
            }
        }
    }

    fn pop(&mut self) {
        let loaded = self.loaded.clone();
        let running = self.in_state(Whereabouts::Running).len();
        let popped = self.queue.pop_ready(|target| loaded.contains(target), self.now);
        let has_room = running < MAX_RUNNING as usize;
        assert_eq!(popped.is_some(), has_room && !self.ready().is_empty());
        let Some(item) = popped else { return };
        self.check_order(&item);
        self.moves(item.attempt, Whereabouts::Waiting, Whereabouts::Running);
    }

    /// Urgent classes first, within the bound on starvation; inside a group the
    /// earliest deadline first.
    fn check_order(&mut self, popped: &QueueItem) {
        let ready: Vec<QueueItem> = self.ready().into_iter().cloned().collect();
        let most_urgent = ready.iter().map(|item| item.priority).min().unwrap();
        if popped.priority > most_urgent {
            let passed = self.passed_over.get(&popped.priority).copied().unwrap_or(0);
            assert!(passed >= STARVATION_BOUND, "a less urgent class went first");
        }
        for class in PriorityClass::ALL {
            let waits = ready.iter().any(|item| item.priority == class);
            let passed = self.passed_over.entry(class).or_default();
            if class == popped.priority {
                *passed = 0;
            } else if class > popped.priority && waits {
                *passed += 1;
                let most = STARVATION_BOUND + PriorityClass::ALL.len() as u32;
                assert!(*passed <= most, "{class:?} starves");
            }
        }
        let peers = ready
            .iter()
            .filter(|item| item.priority == popped.priority && item.group == popped.group);
        let earliest = peers.map(|item| item.first_token_deadline).min().unwrap();
        assert_eq!(popped.first_token_deadline, earliest);
    }

    fn expire(&mut self) {
        for (item, refusal) in self.queue.expire(self.now, self.wake()) {
            let due = item.first_token_deadline.min(item.total_deadline);
            if refusal.cause == RefusalCause::DeadlineExpired {
                assert!(due <= self.now);
            }
            self.leaves_refused(item.attempt, &refusal);
        }
        for item in self.in_state(Whereabouts::Waiting) {
            assert!(item.first_token_deadline > self.now, "kept past its deadline");
            assert_ne!(
                self.wake()(&item.target),
                Wake::Never {
                    retry_after_millis: 500
                }
            );
        }
    }

    fn pick(&self, state: Whereabouts, number: usize) -> Option<AttemptId> {
        let found = self.in_state(state);
        (!found.is_empty()).then(|| found[number % found.len()].attempt)
    }

    fn apply(&mut self, event: Event) {
        match event {
            Event::Push {
                group,
                class,
                target: number,
                slack,
                tokens,
            } => {
                self.next += 1;
                let item = QueueItem {
                    attempt: AttemptId(self.next),
                    target: target(number),
                    group: GroupId::new(format!("group-{group}")),
                    priority: PriorityClass::ALL[class],
                    first_token_deadline: self.now + slack,
                    total_deadline: self.now + slack * 3,
                    work: Work {
                        prompt_tokens: tokens * 3,
                        output_tokens: tokens,
                        load_mib: 0,
                    },
                };
                self.push(item);
            }
            Event::PushAgain(number) => self.push_again(number),
            Event::Pop => self.pop(),
            Event::Finish(number, served) => self.finish(number, served),
            Event::Cancel(number) => {
                if let Some(attempt) = self.pick(Whereabouts::Waiting, number) {
                    assert!(self.queue.cancel(attempt).is_some());
                    assert!(self.queue.cancel(attempt).is_none());
                    self.moves(attempt, Whereabouts::Waiting, Whereabouts::Left);
                }
            }
            Event::Expire => self.expire(),
            Event::SetLoaded(number, true) => {
                self.loaded.insert(target(number));
            }
            Event::SetLoaded(number, false) => {
                self.loaded.remove(&target(number));
            }
            Event::SetWake(number, wake) => {
                self.wakes.insert(target(number), wake);
            }
            Event::Pass(millis) => self.now = self.now + millis,
            Event::TakeWaiting => {
                for item in self.queue.take_waiting() {
                    self.moves(item.attempt, Whereabouts::Waiting, Whereabouts::Left);
                }
            }
        }
        self.check();
    }

    fn push_again(&mut self, number: usize) {
        for state in [Whereabouts::Waiting, Whereabouts::Running] {
            let Some(attempt) = self.pick(state, number) else {
                continue;
            };
            let item = self.items[&attempt].0.clone();
            let refusal = self.queue.push(item, self.wake(), self.now).unwrap_err();
            assert_eq!(refusal.execution, Execution::MayHaveRun);
        }
    }

    fn finish(&mut self, number: usize, served: bool) {
        let Some(attempt) = self.pick(Whereabouts::Running, number) else {
            return;
        };
        let work = served.then(|| self.items[&attempt].0.work);
        self.queue.first_token(attempt, self.now);
        self.queue.finish(attempt, work, self.now);
        self.moves(attempt, Whereabouts::Running, Whereabouts::Left);
    }

    fn check(&self) {
        let waiting = self.in_state(Whereabouts::Waiting);
        let running = self.in_state(Whereabouts::Running);
        assert!(waiting.len() <= CAPACITY);
        assert!(running.len() <= MAX_RUNNING as usize);
        let estimate = self.queue.estimate(self.now);
        assert_eq!(estimate.waiting as usize, waiting.len());
        assert_eq!(estimate.running as usize, running.len());
        let deadlines = waiting
            .iter()
            .map(|item| item.first_token_deadline.min(item.total_deadline));
        assert_eq!(self.queue.next_deadline(), deadlines.min());
        let by_target: u32 = self
            .queue
            .waiting_targets()
            .iter()
            .map(|entry| entry.waiting)
            .sum();
        assert_eq!(by_target as usize, waiting.len());
    }

    /// Everything still inside comes out.
    fn empty(mut self) {
        let rest = self.queue.take_waiting();
        for item in rest {
            self.moves(item.attempt, Whereabouts::Waiting, Whereabouts::Left);
        }
        assert!(self.in_state(Whereabouts::Waiting).is_empty(), "an item was lost");
    }
}

proptest! {
    #![proptest_config(campaign::config(400))]

    #[test]
    fn every_item_leaves_exactly_once_and_in_order(events in proptest::collection::vec(event(), 1..160)) {
        let mut model = Model::new();
        for event in events {
            model.apply(event);
        }
        model.empty();
    }
}
