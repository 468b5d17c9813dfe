//! The time that a request's caller has, and the work that is left, as admission needs them.

use std::time::Duration;

use croftrill_scheduler::admission::{caller_patience, CallerTime, RemainingWork};
use croftrill_scheduler::catalog::{Configuration, Route, RouteKind};
use croftrill_scheduler::replica_estimate::{reading_time, run_time};
use croftrill_scheduler::replica_table::ReplicaTable;
use croftrill_scheduler::time::Moment;
use croftrill_scheduler::work::RequestWork;

use super::streaming::PROMPT_TIME_FACTOR;
use super::RequestRun;
use crate::ports::{Platform, RequestFacts};

/// Factor on the usual time of a run, for a replica that others keep busy: an answer that is cut off
/// helps its caller less than a refusal.
const RUN_TIME_FACTOR: u32 = 2;

/// Returns the work that a request is for a model. Services without models read and write no tokens,
/// whatever the request names.
pub(super) fn model_work(configuration: &Configuration, service: &str, facts: &RequestFacts) -> RequestWork {
    let service = configuration.service(service);
    if service.is_none_or(|service| service.engine.is_none()) {
        return RequestWork::default();
    }
    RequestWork {
        prompt_tokens: facts.prompt_tokens,
        output_tokens: facts.output_tokens,
    }
}

/// Returns the time that is left to a request's answer from its start on.
fn answer_time(replicas: &ReplicaTable, service: &str, work: RequestWork) -> Duration {
    run_time(work, replicas.usual_run(service)) * RUN_TIME_FACTOR
}

/// Returns when the caller abandons an attempt, or the route ends it. The caller of a stream waits
/// for its next event since `silent_since`.
pub(super) fn attempt_end(route: &Route, silent_since: Moment, deadline: Moment) -> Moment {
    let abandoned_at = caller_patience(route).map(|patience| silent_since + patience);
    abandoned_at.map_or(deadline, |at| at.min(deadline))
}

/// Returns when a request that waits for its quota must start at the latest to be served while its
/// caller waits, which is until `attempt_end` for the first byte and until `deadline` for the last.
pub(super) fn last_start(
    replicas: &ReplicaTable,
    service: &str,
    work: RequestWork,
    attempt_end: Moment,
    deadline: Moment,
) -> Moment {
    let begins_by = attempt_end - reading_time(work) * PROMPT_TIME_FACTOR;
    let ends_by = deadline - answer_time(replicas, service, work);
    begins_by.min(ends_by)
}

impl<P: Platform> RequestRun<P> {
    /// Returns when the caller abandons this attempt, or the route ends it.
    pub(super) fn attempt_end(&self) -> Moment {
        let silent_since = self.stream_broke_at.unwrap_or(self.arrival);
        attempt_end(&self.route, silent_since, self.deadline)
    }

    /// Returns the time that the caller has left.
    pub(super) fn caller_time(&self) -> CallerTime {
        let now = self.now();
        CallerTime {
            attempt_left: self.attempt_end().since(now),
            answer_left: self.deadline.since(now),
            caller_left: self.caller_deadline.since(now),
        }
    }

    /// Returns what is left to do if what the request waits for is ready in `ready_in`.
    pub(super) fn remaining_work(&self, ready_in: Duration) -> RemainingWork {
        let replicas = &self.node.state.borrow().replicas;
        RemainingWork {
            ready_in,
            run: self.first_event_after(),
            answer: answer_time(replicas, &self.service, self.model_work()),
        }
    }

    /// Returns the longest time for which the request can wait and still be served; zero if it must
    /// start now, or is too late already.
    pub(super) fn max_wait(&self) -> Duration {
        let work = self.remaining_work(Duration::ZERO);
        self.caller_time().max_wait(&work).unwrap_or(Duration::ZERO)
    }

    /// Returns the expected time from a send to the first event.
    pub(super) fn first_event_after(&self) -> Duration {
        reading_time(self.model_work())
    }

    /// Returns the time until the answer begins by the request's work alone: a stream begins with its
    /// first token, any other answer once it is complete.
    pub(super) fn expected_answer_time(&self) -> Duration {
        let work = self.model_work();
        let output_tokens = match self.route.kind {
            RouteKind::Streaming => work.output_tokens.min(1),
            RouteKind::Safe | RouteKind::Unsafe => work.output_tokens,
        };
        run_time(
            RequestWork {
                output_tokens,
                ..work
            },
            None,
        )
    }

    fn model_work(&self) -> RequestWork {
        model_work(&self.configuration, &self.service, &self.facts)
    }
}
