//! Ways in which nodes keep a replica's limit on requests together, in simulated time.
//!
//! Calls come at random to nodes that all were told of the limit; a way lets some go, now
//! or after a wait. What counts: the sum that reaches the replica in its fullest window,
//! and how much of the limit is used.

use std::sync::Arc;
use std::time::Duration;

use croftrill_scheduler::quota::keeper::ReservationDecision;
use croftrill_scheduler::quota::limits::{
    KeeperRole, LimitKeeper, LimitRequest, ReportedLimit, StandaloneReservations,
};
use croftrill_scheduler::replica::RequestRate;
use croftrill_scheduler::time::Moment;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Window in which a replica counts.
pub const WINDOW: Duration = Duration::from_secs(4);
/// Calls that a window may hold: one and a half times what the limit allows, and 5 more.
pub fn allowed(limit_per_s: f64) -> usize {
    (1.5 * limit_per_s * WINDOW.as_secs_f64() + 5.0) as usize
}

/// Most time from a turn to the replica: a connection, over a link of 5 ms.
const LONGEST_WAY_MS: u64 = 40;
/// Longest wait that a call bears.
const PATIENCE_MS: u64 = 500;
/// Part of the calls that is urgent.
const URGENT_PART: f64 = 0.2;
/// Time in which a node finds that its keeper does not answer.
const NOTICED_AFTER: Duration = Duration::from_millis(300);
/// Time until all lists know that a node is gone.
const LISTED_FOR: Duration = Duration::from_millis(3600);
/// Time for which lists of living nodes differ.
const LISTS_DIFFER_FOR: Duration = Duration::from_millis(1300);

/// How nodes keep the limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Way {
    /// Each sends its even part, and saves up one request.
    EvenShares,
    /// Each sends its even part at fixed times of its own; a time that is not used lapses.
    Turns,
    /// So many nodes, chosen by a hash, share the limit; the others send nothing.
    Chosen(usize),
    /// One node keeps the balance, the others ask it.
    Keeper,
}

impl Way {
    /// For tables.
    pub fn name(self) -> &'static str {
        match self {
            Way::EvenShares => "shares",
            Way::Turns => "turns",
            Way::Chosen(_) => "chosen",
            Way::Keeper => "keeper",
        }
    }
}

/// What goes wrong with keepers from the tenth to the twentieth second.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Trouble {
    /// Nothing.
    None,
    /// The first is killed, and starts again without a memory.
    Killed,
    /// The first stands still, and goes on with what it knew.
    Frozen,
    /// Every other node does not reach the first.
    Cut,
    /// The second's list, and that of every other node, lacks the first for as long as
    /// lists of living nodes differ.
    Doubled,
    /// No node reaches a keeper.
    Alone,
}

/// A run.
#[derive(Debug, Clone, Copy)]
pub struct LimitRun {
    /// Nodes.
    pub nodes: usize,
    /// The limit.
    pub limit_per_s: f64,
    /// Calls that come in a second.
    pub demand_per_s: f64,
    /// How the limit is kept.
    pub way: Way,
    /// What goes wrong.
    pub trouble: Trouble,
    /// Draws the calls.
    pub seed: u64,
    /// Length of the run.
    pub length: Duration,
}

/// What came of it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitOutcome {
    /// Calls in the fullest window.
    pub fullest: usize,
    /// Calls that reached the replica, as a part of what the limit allows.
    pub used: f64,
    /// Mean wait of those.
    pub mean_wait_ms: f64,
    /// Questions to keepers in a second.
    pub questions_per_s: f64,
}

/// Begin and end of the trouble.
const TROUBLE: (Duration, Duration) = (Duration::from_secs(10), Duration::from_secs(20));

fn at(elapsed: Duration) -> Moment {
    Moment::from_start(Duration::from_secs(3600) + elapsed)
}

/// Nodes and keepers in the middle of a run.
struct Fleet {
    run: LimitRun,
    replica: Arc<str>,
    first: LimitKeeper,
    second: LimitKeeper,
    lone: Vec<StandaloneReservations>,
    saved: Vec<(Duration, f64)>,
    questions: usize,
}

/// Who rules on a node's calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Ruler {
    First,
    Second,
    Node,
    Nobody,
}

impl Fleet {
    fn new(run: LimitRun) -> Self {
        Fleet {
            run,
            replica: "r".into(),
            first: keeper(KeeperRole::Primary),
            second: keeper(KeeperRole::Secondary),
            lone: (0..run.nodes)
                .map(|_| StandaloneReservations::default())
                .collect(),
            saved: vec![(Duration::ZERO, 0.0); run.nodes],
            questions: 0,
        }
    }

    /// Who a node asks at a time, as the trouble is.
    fn ruler(&self, node: usize, now: Duration) -> Ruler {
        let (begin, end) = TROUBLE;
        let in_trouble = now >= begin && now < end;
        let is_half = node % 2 == 1;
        match self.run.trouble {
            Trouble::Killed | Trouble::Frozen if in_trouble => {
                if now < begin + NOTICED_AFTER {
                    Ruler::Nobody
                } else {
                    Ruler::Second
                }
            }
            Trouble::Cut if in_trouble && is_half => Ruler::Second,
            Trouble::Doubled if in_trouble && is_half && now < begin + LISTS_DIFFER_FOR => Ruler::Second,
            Trouble::Alone if in_trouble => Ruler::Node,
            _ => Ruler::First,
        }
    }

    /// What the keepers know of their places in their lists.
    fn settle_keepers(&mut self, now: Duration) {
        let (begin, end) = TROUBLE;
        let in_trouble = now >= begin && now < end;
        let is_first_gone = match self.run.trouble {
            Trouble::Killed | Trouble::Frozen => in_trouble && now >= begin + LISTED_FOR,
            Trouble::Doubled => in_trouble && now < begin + LISTS_DIFFER_FOR,
            _ => false,
        };
        let role = if is_first_gone {
            KeeperRole::Primary
        } else {
            KeeperRole::Secondary
        };
        self.second.set_role(role, at(now));
        if self.run.trouble == Trouble::Killed && in_trouble {
            self.first = keeper(KeeperRole::Primary);
        }
    }

    fn ask(
        &mut self,
        node: usize,
        now: Duration,
        want: LimitRequest,
        random: &mut SmallRng,
    ) -> Option<Duration> {
        match self.run.way {
            Way::EvenShares => self.take_saved(node, self.run.nodes, now),
            Way::Chosen(count) if node < count => self.take_saved(node, count.min(self.run.nodes), now),
            Way::Chosen(_) => None,
            Way::Turns => self.own_turn(node, now, want, random),
            Way::Keeper => self.ask_keeper(node, now, want, random),
        }
    }

    fn ask_keeper(
        &mut self,
        node: usize,
        now: Duration,
        want: LimitRequest,
        random: &mut SmallRng,
    ) -> Option<Duration> {
        self.settle_keepers(now);
        let limit = ReportedLimit {
            rate: rate(self.run.limit_per_s),
            received_at: at(Duration::ZERO),
        };
        let keeper = match self.ruler(node, now) {
            Ruler::First => &mut self.first,
            Ruler::Second => &mut self.second,
            Ruler::Node => return self.own_turn(node, now, want, random),
            Ruler::Nobody => return None,
        };
        self.questions += 1;
        granted(keeper.reserve(&self.replica, None, limit, want, at(now)))
    }

    fn own_turn(
        &mut self,
        node: usize,
        now: Duration,
        want: LimitRequest,
        random: &mut SmallRng,
    ) -> Option<Duration> {
        let (rate, nodes, unit) = (rate(self.run.limit_per_s), self.run.nodes, random.random());
        let turns = &mut self.lone[node];
        granted(turns.reserve(&self.replica, rate, nodes, unit, want.patience, at(now)))
    }

    /// A request of what a node saved up as one of so many.
    fn take_saved(&mut self, node: usize, among: usize, now: Duration) -> Option<Duration> {
        let (since, saved) = &mut self.saved[node];
        let gained = (now - *since).as_secs_f64() * self.run.limit_per_s / among as f64;
        *saved = (*saved + gained).min(1.0);
        *since = now;
        (*saved >= 1.0).then(|| {
            *saved -= 1.0;
            Duration::ZERO
        })
    }
}

fn keeper(role: KeeperRole) -> LimitKeeper {
    let mut keeper = LimitKeeper::new();
    keeper.set_role(role, at(Duration::ZERO));
    keeper
}

fn rate(per_s: f64) -> RequestRate {
    RequestRate::from_millis_per_s((per_s * 1000.0) as u64)
}

fn granted(decision: ReservationDecision) -> Option<Duration> {
    match decision {
        ReservationDecision::Granted { after } => Some(after),
        ReservationDecision::Refused { .. } => None,
    }
}

/// Plays a run.
pub fn play(run: LimitRun) -> LimitOutcome {
    let mut random = SmallRng::seed_from_u64(run.seed);
    let mut fleet = Fleet::new(run);
    let mut now = Duration::ZERO;
    let mut reached: Vec<Duration> = Vec::new();
    let mut waited = Duration::ZERO;
    loop {
        let pause_s = -random.random_range(f64::MIN_POSITIVE..1.0).ln() / run.demand_per_s;
        now += Duration::from_secs_f64(pause_s);
        if now >= run.length {
            break;
        }
        let node = random.random_range(0..run.nodes);
        let want = LimitRequest {
            patience: Duration::from_millis(random.random_range(0..PATIENCE_MS)),
            is_urgent: random.random_bool(URGENT_PART),
        };
        if let Some(after) = fleet.ask(node, now, want, &mut random) {
            waited += after;
            let way = Duration::from_millis(random.random_range(0..LONGEST_WAY_MS));
            reached.push(now + after + way);
        }
    }
    reached.sort_unstable();
    LimitOutcome {
        fullest: fullest_window(&reached),
        used: reached.len() as f64 / (run.limit_per_s * run.length.as_secs_f64()),
        mean_wait_ms: waited.as_secs_f64() * 1000.0 / reached.len().max(1) as f64,
        questions_per_s: fleet.questions as f64 / run.length.as_secs_f64(),
    }
}

/// Calls in the fullest window.
fn fullest_window(reached: &[Duration]) -> usize {
    let in_window = |(index, begin): (usize, &Duration)| {
        let end = *begin + WINDOW;
        reached[index..].iter().take_while(|at| **at < end).count()
    };
    reached.iter().enumerate().map(in_window).max().unwrap_or(0)
}
