//! The answer of a request, put together from attempts that fail in any way.

use croftrill_state::stream_assembly::{FinishOutcome, Progress, StreamAssembly, TokenChunk, TokenOutcome};
use croftrill_state::AttemptId;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// A whole answer; every token is different, also in length.
fn answer_token(index: u32) -> String {
    format!("<{index}>")
}

fn answer_text(from: u32, to: u32) -> String {
    (from..to).map(answer_token).collect()
}

fn chunk(offset: u32, count: u32) -> TokenChunk {
    TokenChunk {
        offset,
        count,
        text: answer_text(offset, offset + count),
    }
}

/// What the network and the owners may do.
#[derive(Clone, Debug)]
enum Step {
    /// A new attempt goes on where the answer stands.
    Begin,
    /// The live attempt delivers its next tokens.
    Deliver { count: u32 },
    /// An earlier event of any attempt comes again.
    Repeat { event: usize },
    /// An event of any attempt is lost before the next.
    Lose { count: u32 },
    /// Foreign tokens arrive under a wrong attempt.
    Crossed { offset: u32, count: u32 },
    /// The live attempt ends.
    Finish,
    /// The connection of the live attempt breaks.
    Break,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        2 => Just(Step::Begin),
        6 => (1u32..5).prop_map(|count| Step::Deliver { count }),
        3 => (0usize..200).prop_map(|event| Step::Repeat { event }),
        1 => (1u32..3).prop_map(|count| Step::Lose { count }),
        2 => (0u32..40, 1u32..5).prop_map(|(offset, count)| Step::Crossed { offset, count }),
        1 => Just(Step::Finish),
        1 => Just(Step::Break),
    ]
}

/// Drives an assembly and keeps what the caller saw.
struct Caller {
    assembly: StreamAssembly,
    seen: String,
    attempt: AttemptId,
    next_offset: u32,
    sent: Vec<(AttemptId, TokenChunk)>,
}

impl Caller {
    fn new() -> Self {
        Self {
            assembly: StreamAssembly::new(),
            seen: String::new(),
            attempt: AttemptId(0),
            next_offset: 0,
            sent: Vec::new(),
        }
    }

    fn begin(&mut self) {
        self.attempt = AttemptId(self.attempt.0 + 1);
        let progress = self.assembly.begin_attempt(self.attempt).unwrap_or_default();
        self.next_offset = progress.tokens;
        assert_eq!(progress.text, self.seen);
    }

    fn offer(&mut self, attempt: AttemptId, chunk: TokenChunk) -> TokenOutcome {
        let outcome = self.assembly.accept_tokens(attempt, &chunk);
        if let TokenOutcome::New { text, .. } = &outcome {
            assert_eq!(attempt, self.attempt, "only the live attempt adds text");
            self.seen.push_str(text);
        }
        outcome
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::Begin => self.begin(),
            Step::Deliver { count } => {
                let chunk = chunk(self.next_offset, count);
                self.next_offset += count;
                self.sent.push((self.attempt, chunk.clone()));
                self.offer(self.attempt, chunk);
            }
            Step::Repeat { event } if !self.sent.is_empty() => {
                let (attempt, chunk) = self.sent[event % self.sent.len()].clone();
                let outcome = self.offer(attempt, chunk);
                assert!(
                    !matches!(outcome, TokenOutcome::New { .. }),
                    "a repeated event adds nothing"
                );
            }
            Step::Repeat { .. } => {}
            Step::Lose { count } => self.next_offset += count,
            Step::Crossed { offset, count } => {
                let text = "crossed".to_string();
                let foreign = TokenChunk { offset, count, text };
                let outcome = self.offer(AttemptId(1_000_000), foreign);
                assert_eq!(outcome, TokenOutcome::NotLive);
            }
            Step::Finish => {
                self.assembly.accept_finish(self.attempt, self.next_offset);
            }
            Step::Break => self.assembly.end_attempt(),
        }
    }
}

fn config_with_fixed_seed() -> ProptestConfig {
    ProptestConfig {
        cases: 512,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(2),
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config_with_fixed_seed())]

    #[test]
    fn the_caller_sees_each_token_once(steps in prop::collection::vec(step(), 0..120)) {
        let mut caller = Caller::new();
        caller.begin();
        for step in steps {
            caller.apply(step);
            let tokens = caller.assembly.tokens();
            prop_assert_eq!(&caller.seen, &answer_text(0, tokens));
            prop_assert_eq!(caller.assembly.text(), caller.seen.as_str());
            if caller.assembly.is_finished() {
                prop_assert_eq!(tokens, caller.next_offset, "nothing is missing from a whole answer");
                break;
            }
        }
    }

    /// Attempts that cut the answer into other chunks, and that begin again
    /// before the caller's place, still add each token once.
    #[test]
    fn an_overlap_is_cut_or_refused(
        first in prop::collection::vec(1u32..5, 1..20),
        start in 0u32..40,
        second in prop::collection::vec(1u32..5, 1..20),
    ) {
        let mut caller = Caller::new();
        caller.begin();
        for count in first {
            caller.apply(Step::Deliver { count });
        }
        let before = caller.assembly.tokens();
        caller.begin();
        caller.next_offset = start.min(before);
        for count in second {
            caller.apply(Step::Deliver { count });
            prop_assert_eq!(&caller.seen, &answer_text(0, caller.assembly.tokens()));
        }
        prop_assert!(caller.assembly.tokens() >= before);
    }
}

#[test]
fn a_gap_gives_the_attempt_up() {
    let mut assembly = StreamAssembly::new();
    let attempt = AttemptId(1);
    assert_eq!(assembly.begin_attempt(attempt), None);
    assembly.accept_tokens(attempt, &chunk(0, 2));
    let outcome = assembly.accept_tokens(attempt, &chunk(3, 1));
    assert_eq!(outcome, TokenOutcome::Gap { have: 2, found: 3 });
    assert_eq!(
        assembly.accept_tokens(attempt, &chunk(2, 1)),
        TokenOutcome::NotLive
    );
    let progress = Progress {
        tokens: 2,
        text: answer_text(0, 2),
    };
    assert_eq!(assembly.begin_attempt(AttemptId(2)), Some(progress));
}

#[test]
fn a_late_event_of_an_earlier_attempt_is_dropped() {
    let mut assembly = StreamAssembly::new();
    assembly.begin_attempt(AttemptId(1));
    assembly.begin_attempt(AttemptId(2));
    assert_eq!(
        assembly.accept_tokens(AttemptId(1), &chunk(0, 1)),
        TokenOutcome::NotLive
    );
    assert_eq!(assembly.accept_finish(AttemptId(1), 0), FinishOutcome::NotLive);
    assert!(!assembly.is_finished());
}

#[test]
fn an_end_of_another_length_is_no_whole_answer() {
    let mut assembly = StreamAssembly::new();
    assembly.begin_attempt(AttemptId(1));
    assembly.accept_tokens(AttemptId(1), &chunk(0, 2));
    let outcome = assembly.accept_finish(AttemptId(1), 3);
    assert_eq!(outcome, FinishOutcome::WrongLength { have: 2, found: 3 });
    assert!(!assembly.is_finished());
}

#[test]
fn text_that_contradicts_is_refused() {
    let mut assembly = StreamAssembly::new();
    assembly.begin_attempt(AttemptId(1));
    assembly.accept_tokens(AttemptId(1), &chunk(0, 2));
    let other = TokenChunk {
        offset: 0,
        count: 3,
        text: "something else".to_string(),
    };
    assert_eq!(
        assembly.accept_tokens(AttemptId(1), &other),
        TokenOutcome::Conflict
    );
    assert_eq!(assembly.text(), answer_text(0, 2));
}

#[test]
fn text_without_tokens_and_overflowing_offsets_are_refused() {
    for bad in [
        TokenChunk {
            offset: 0,
            count: 0,
            text: "x".to_string(),
        },
        TokenChunk {
            offset: u32::MAX,
            count: 1,
            text: "x".to_string(),
        },
    ] {
        let mut assembly = StreamAssembly::new();
        assembly.begin_attempt(AttemptId(1));
        assert_eq!(assembly.accept_tokens(AttemptId(1), &bad), TokenOutcome::Conflict);
        assert_eq!(assembly.text(), "");
    }
}
