//! Every request that a test sent, held against the engines' own ledgers.

use super::{Answer, Caller, Cluster, Completion};
use croftrill_standin::engine::RunRecord;
use croftrill_standin::{expected_answer, EngineLedger};
use croftrill_state::{IdempotencyKey, ModelId};
use std::collections::BTreeSet;
use std::fmt;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Most findings that a failed check prints.
const MOST_FINDINGS: usize = 20;

/// One request and what its caller got.
#[derive(Clone, Debug)]
pub struct Sent {
    /// What was asked; its prompt is unique.
    pub completion: Completion,
    /// What the caller got.
    pub answer: Answer,
    /// How long the caller waited, by its own clock.
    pub waited: Duration,
}

/// What became of a request, as its caller was told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    /// The whole answer came.
    Served,
    /// It was refused, and did not run.
    NotRun,
    /// It was refused or broken off, and may have run.
    Unknown,
}

impl Sent {
    /// What its caller was told.
    pub fn fate(&self) -> Fate {
        if self.answer.is_served() {
            return Fate::Served;
        }
        match self.answer.execution() {
            Some("not_run") => Fate::NotRun,
            _ => Fate::Unknown,
        }
    }

    fn key(&self) -> Option<IdempotencyKey> {
        self.completion
            .header_value("idempotency-key")
            .map(IdempotencyKey::from)
    }

    fn is_unrepeatable(&self) -> bool {
        self.key().is_some() || self.completion.header_value("x-croftrill-unrepeatable") == Some("true")
    }

    fn expected(&self) -> String {
        let model = ModelId::from(self.completion.model.as_str());
        let tokens = self.completion.max_tokens;
        expected_answer(&model, None, &self.completion.prompt, None, tokens)
    }
}

/// Counts of a reconciliation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Requests sent.
    pub sent: usize,
    /// Served whole.
    pub served: usize,
    /// Refused and not run.
    pub not_run: usize,
    /// Outcome unknown.
    pub unknown: usize,
    /// Of those, the ones whose idempotency key was taken, or of unknown history.
    pub key_refused: usize,
    /// Runs that engines started.
    pub runs: usize,
    /// Of those, the ones that went on with a broken stream.
    pub resumed: usize,
}

impl fmt::Display for Counts {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "sent={} served={} not_run={} unknown={} (key_refused={}) engine_runs={} resumed={}",
            self.sent, self.served, self.not_run, self.unknown, self.key_refused, self.runs, self.resumed
        )
    }
}

/// All requests of a test.
#[derive(Default)]
pub struct Reconciliation {
    sent: Mutex<Vec<Sent>>,
}

impl Reconciliation {
    /// Sends a request, waits for its end and records it.
    pub async fn send(&self, caller: &Caller, completion: Completion) -> Sent {
        let began = Instant::now();
        let answer = caller.complete(&completion).await;
        let sent = Sent {
            completion,
            answer,
            waited: began.elapsed(),
        };
        self.lock().push(sent.clone());
        sent
    }

    /// Everything sent so far.
    pub fn sent(&self) -> Vec<Sent> {
        self.lock().clone()
    }

    /// Waits until no engine runs anything, then compares. Panics with all
    /// findings.
    pub async fn check(&self, cluster: &Cluster) -> Counts {
        let ledgers = cluster.quiet_ledgers().await;
        self.check_ledgers(&ledgers)
    }

    /// Compares with the ledgers of all engines that ever ran.
    pub fn check_ledgers(&self, ledgers: &[EngineLedger]) -> Counts {
        let sent = self.lock();
        let mut findings = Vec::new();
        let mut counts = Counts {
            sent: sent.len(),
            ..Counts::default()
        };
        for request in sent.iter() {
            match request.fate() {
                Fate::Served => counts.served += 1,
                Fate::NotRun => counts.not_run += 1,
                Fate::Unknown => counts.unknown += 1,
            }
            if matches!(
                request.answer.cause(),
                Some("duplicate_key" | "key_history_unknown")
            ) {
                counts.key_refused += usize::from(request.fate() == Fate::Unknown);
            }
            findings.extend(findings_of(request, ledgers));
        }
        for ledger in ledgers {
            counts.runs += ledger.runs.len();
            counts.resumed += ledger.runs.iter().filter(|run| run.resume_tokens > 0).count();
        }
        findings.extend(doubled_keys(&sent, ledgers));
        findings.extend(unasked_runs(&sent, ledgers));
        findings.extend(engine_findings(ledgers));
        println!("reconciliation: {counts}");
        let shown: Vec<_> = findings.iter().take(MOST_FINDINGS).collect();
        assert!(
            findings.is_empty(),
            "{counts}; {} findings: {shown:#?}",
            findings.len()
        );
        counts
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<Sent>> {
        self.sent.lock().expect("no test panics with the lock held")
    }
}

fn runs_of<'a>(request: &'a Sent, ledgers: &'a [EngineLedger]) -> impl Iterator<Item = &'a RunRecord> {
    let runs = ledgers.iter().flat_map(|ledger| &ledger.runs);
    runs.filter(|run| run.prompt == request.completion.prompt)
}

fn findings_of(request: &Sent, ledgers: &[EngineLedger]) -> Vec<String> {
    let expected = request.expected();
    let answer = &request.answer;
    let runs: Vec<_> = runs_of(request, ledgers).collect();
    let ran_whole = runs
        .iter()
        .any(|run| run.resume_tokens + run.tokens >= request.completion.max_tokens);
    let problem = match request.fate() {
        Fate::Served if answer.text != expected => Some("the text is not the expected one"),
        Fate::Served if !ran_whole => Some("served, but no engine generated all of it"),
        Fate::NotRun if !runs.is_empty() => Some("said not to have run, but an engine ran it"),
        Fate::NotRun | Fate::Unknown if !expected.starts_with(&answer.text) => {
            Some("the partial text is not a beginning of the expected one")
        }
        Fate::NotRun if matches!(answer.status, 429 | 503) && !answer.retry_after => {
            Some("refused without a time to come back")
        }
        _ if request.is_unrepeatable() && runs.len() > 1 => Some("unrepeatable, but ran twice"),
        _ => None,
    };
    let described = problem.map(|problem| {
        let prompt = &request.completion.prompt;
        let (status, error) = (answer.status, &answer.error);
        let got = answer.text.len();
        format!("{problem}: {prompt:?} status={status} bytes={got} error={error:?} runs={runs:?}")
    });
    described.into_iter().collect()
}

/// A key may belong to several requests; one of them at most may run.
fn doubled_keys(sent: &[Sent], ledgers: &[EngineLedger]) -> Vec<String> {
    let keys: BTreeSet<IdempotencyKey> = sent.iter().filter_map(Sent::key).collect();
    let doubled = keys.into_iter().filter_map(|key| {
        let runs = ledgers.iter().flat_map(|ledger| ledger.runs_of_key(&key));
        let runs: Vec<_> = runs.collect();
        (runs.len() > 1).then(|| format!("the key {key} ran more than once: {runs:?}"))
    });
    doubled.collect()
}

/// Runs that nobody sent would show that the engines' record is misread.
fn unasked_runs(sent: &[Sent], ledgers: &[EngineLedger]) -> Vec<String> {
    let prompts: BTreeSet<&str> = sent.iter().map(|sent| sent.completion.prompt.as_str()).collect();
    let runs = ledgers.iter().flat_map(|ledger| &ledger.runs);
    runs.filter(|run| !prompts.contains(run.prompt.as_str()))
        .map(|run| format!("a run that nobody asked for: {run:?}"))
        .collect()
}

/// What must hold of every engine after any failure.
fn engine_findings(ledgers: &[EngineLedger]) -> Vec<String> {
    let mut findings = Vec::new();
    for (index, ledger) in ledgers.iter().enumerate() {
        if ledger.wrong_resumes > 0 {
            findings.push(format!("engine {index}: {} wrong resumes", ledger.wrong_resumes));
        }
        if ledger.overcommits_refused > 0 {
            let refused = ledger.overcommits_refused;
            findings.push(format!("engine {index}: {refused} orders beyond its memory"));
        }
        for accelerator in &ledger.accelerators {
            if accelerator.peak_mib > accelerator.memory_mib {
                findings.push(format!("engine {index}: overcommitted {accelerator:?}"));
            }
        }
    }
    findings
}
