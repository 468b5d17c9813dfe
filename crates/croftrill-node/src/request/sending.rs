//! Sends a request to a replica and classifies the answer.

use std::time::Duration;

use bytes::Bytes;
use croftrill_scheduler::admission::silence_limit;
use croftrill_scheduler::catalog::RouteKind;
use croftrill_scheduler::crash_ledger::LifeProof;
use croftrill_scheduler::health::SendOutcome;
use croftrill_scheduler::path_search::SearchFailure;
use croftrill_scheduler::replica::{LimitSignal, RejectionSignal, ReplicaId};
use croftrill_scheduler::replica_table::AnsweredCall;
use croftrill_scheduler::time::Moment;
use http::{header, response, Request, Response, StatusCode};
use http_body_util::Full;

use super::crashing::Judgment;
use super::forwarding::{end_to_end_headers, origin_form};
use super::guards::SendGuard;
use super::RequestRun;
use crate::answer_reader::{AnswerReader, BodyEnd, Content};
use crate::connection::{Connection, ExchangeError};
use crate::crash_reports;
use crate::load_updates;
use crate::memory::HeldMemory;
use crate::metrics::Metrics;
use crate::ports::{AnswerFacts, Dialect, Execution, Forwarding, Platform};
use crate::quota::Permit;
use crate::replica_path::{self, ConnectOptions, PathTarget};
use crate::replica_signals;

/// How one send to a replica ended.
pub(super) enum SendEnd<P: Platform> {
    /// The head of an answer that can be forwarded while its body arrives.
    Streaming(Box<Streaming<P>>),
    /// A complete answer.
    Complete {
        head: response::Parts,
        body: Bytes,
        /// The memory that the body holds.
        held: Option<HeldMemory>,
    },
    /// Nothing was sent.
    NotSent,
    /// Nothing was sent, as replicas ended under the request.
    Suspected(Judgment),
    /// The replica provably did not run the request.
    NotExecuted { misdirected: bool },
    /// The request may have run, and no usable answer arrived.
    Broken { cause: &'static str },
    /// The request's deadline has passed.
    OutOfTime,
}

/// An answer whose body is still arriving.
pub(super) struct Streaming<P: Platform> {
    pub(super) head: response::Parts,
    pub(super) body: AnswerReader,
    /// When the head arrived.
    pub(super) head_received_at: Moment,
    /// Closes when dropped, unless the stream was complete and the connection returned to the pool.
    pub(super) connection: Connection,
    pub(super) send: SendGuard<P>,
}

/// Returns what the body of a stream's answer holds.
fn stream_content(head: &response::Parts, is_resumed: bool) -> Content {
    let undeclared = Content::Events {
        may_be_empty: is_resumed,
        is_declared: false,
    };
    match Content::of(&head.headers, undeclared) {
        Content::Events { is_declared, .. } => Content::Events {
            may_be_empty: is_resumed,
            is_declared,
        },
        other => other,
    }
}

impl<P: Platform> RequestRun<P> {
    /// Returns when a replica that is sent the request now is abandoned for another one if it is
    /// silent.
    pub(super) fn silence_deadline(&self) -> Option<Moment> {
        let has_attempts_left = self.sends + 1 < self.route.max_attempts as usize;
        let may_repeat = self.route.is_idempotent() && has_attempts_left;
        may_repeat.then(|| self.now() + silence_limit(&self.caller_time(), self.usual_answer_time()))
    }

    /// Returns a time within which the request's answer usually begins.
    fn usual_answer_time(&self) -> Duration {
        let state = self.node.state.borrow();
        let usual = state.replicas.usual_answer_time(&self.service);
        usual.unwrap_or_else(|| self.expected_answer_time())
    }

    /// Sends the request to a replica and classifies the answer by its head.
    pub(super) async fn send(
        &mut self,
        replica: &ReplicaId,
        resume_after: Option<&str>,
        silence_deadline: Option<Moment>,
    ) -> SendEnd<P> {
        // Returned to the limit when dropped without a send.
        let reservation = self.reservation.take();
        // As above, unless the replica rejects the request.
        let rejection_risk = self.rejection_risk.take();
        let address = {
            let state = self.node.state.borrow();
            state
                .replicas
                .get(replica)
                .and_then(|entry| entry.listing.address.parse().ok())
        };
        let Some(address) = address else {
            return SendEnd::NotSent;
        };
        let mut send = SendGuard::start(&self.node, replica, self.work(), self.permit.take());
        let target = PathTarget {
            replica: replica.clone(),
            address,
        };
        let mut connection = match self.connect(&target).await {
            Ok(connection) => connection,
            Err(failure) => {
                tracing::info!(target: "path", event = "not sent", id = self.facts.id, replica = &**replica,
                    ?failure, waited_ms = self.waited().as_millis() as u64);
                if failure != SearchFailure::NoPath {
                    send.record(SendOutcome::Unreachable);
                    self.add_unreached(replica);
                }
                return SendEnd::NotSent;
            }
        };
        if self.is_rejected_by(replica) {
            // The replica signalled so in another answer after it was chosen.
            return SendEnd::NotSent;
        }
        // A trial starts once the replica is reached: an attempt that reaches none blocks no other.
        if let Some(judgment) = self.blocking_judgment_before_send().await {
            return SendEnd::Suspected(judgment);
        }
        self.earlier_run = None;
        let request = self.replica_request(replica, resume_after);
        self.sends += 1;
        if self.sends > 1 {
            self.count_retry_send("sent");
        }
        if let Some(credit) = &self.credit {
            credit.spend();
        }
        if let Some(reservation) = &reservation {
            reservation.spend();
        }
        send.report_permit(Permit::sent);
        self.sent_after.get_or_insert(self.waited());
        let had_run = self.mark_trial_run();
        let attempt_deadline = silence_deadline.map_or(self.deadline, |limit| limit.min(self.deadline));
        let answer = match self
            .node
            .clock
            .timeout_at(attempt_deadline, connection.send(request))
            .await
        {
            Ok(Ok(answer)) => answer,
            Ok(Err(error)) => {
                self.record_path_trouble(&connection);
                if let Some(reservation) = reservation.filter(|_| error.nothing_sent()) {
                    reservation.unspend();
                }
                if error.nothing_sent() {
                    send.report_permit(Permit::not_sent);
                }
                if error.nothing_sent() && !had_run {
                    self.trial = None;
                }
                return self.handle_send_error(&send, &error);
            }
            Err(_) if self.now() >= self.deadline => {
                self.record_path_trouble(&connection);
                self.node.pool.handle_unresponsive(&connection);
                self.report_silent_replica(&send, None);
                return SendEnd::OutOfTime;
            }
            Err(_) => {
                self.record_path_trouble(&connection);
                self.node.pool.handle_unresponsive(&connection);
                self.report_silent_replica(&send, None);
                send.record(SendOutcome::Failure);
                return SendEnd::Broken {
                    cause: "the replica is silent",
                };
            }
        };
        if !connection.is_tunnel() {
            replica_path::record_own_connection(&self.node, &target, None);
        }
        if Self::is_rejection(answer.status()) {
            self.log_rejection(replica);
            send.report_permit(Permit::rejected);
            if let Some(risk) = &rejection_risk {
                risk.spend();
            }
        }
        send.prompt_done();
        self.record_answer_time(&send);
        self.answered_after = Some(self.waited());
        let is_resumed = resume_after.is_some() || self.facts.last_event_id.is_some();
        self.classify_answer(replica, answer, connection, send, is_resumed)
            .await
    }

    /// Connects to a replica. A request that may be repeated may use an idle connection. One that
    /// was sent before uses a new one, as a path that was cut may have broken the other, too.
    async fn connect(&self, target: &PathTarget) -> Result<Connection, SearchFailure> {
        let is_idempotent = self.route.is_idempotent();
        let options = ConnectOptions {
            may_reuse: is_idempotent && self.sends == 0,
        };
        let pool = if is_idempotent {
            &self.node.pool
        } else {
            &self.node.patient_pool
        };
        replica_path::connect(&self.node, pool, target, options).await
    }

    /// Records how long the replica took until its answer began.
    fn record_answer_time(&self, send: &SendGuard<P>) {
        let time = self.now().since(send.sent_at);
        let replicas = &mut self.node.state.borrow_mut().replicas;
        replicas.record_answer_time(&self.service, time);
    }

    /// Records that a connection failed or went silent, which its path may have caused if it was cut
    /// since the connection was last used. On a new connection the replica is the cause.
    pub(super) fn record_path_trouble(&self, connection: &Connection) {
        if connection.is_reused() {
            self.node.state.borrow_mut().replica_paths.record_trouble();
        }
    }

    /// Returns whether a replica rejected the request, possibly for want of room.
    fn is_rejection(status: StatusCode) -> bool {
        status == StatusCode::SERVICE_UNAVAILABLE
    }

    /// Counts a send after the request's first, which the retry budget allowed.
    fn count_retry_send(&self, outcome: &'static str) {
        Metrics::count_retry(&self.node.metrics.service_retries, &self.service, outcome);
    }

    pub(super) fn handle_send_error(&mut self, send: &SendGuard<P>, error: &ExchangeError) -> SendEnd<P> {
        tracing::info!(target: "send", id = self.facts.id, replica = &*send.replica, %error);
        if error.nothing_sent() {
            if self.sends > 1 {
                self.count_retry_send("not sent");
            }
            self.sends -= 1;
            self.refund_credit();
            return SendEnd::NotSent;
        }
        send.record(SendOutcome::Failure);
        self.report_broken_request(send, None);
        SendEnd::Broken {
            cause: "the replica broke off",
        }
    }

    /// Refunds the quota charge, as the last send did not run, unless an earlier send may have run.
    /// A later send charges it again.
    fn refund_credit(&self) {
        if let Some(credit) = self.credit.as_ref().filter(|_| !self.may_have_run) {
            credit.unspend();
        }
    }

    pub(super) async fn classify_answer(
        &mut self,
        replica: &ReplicaId,
        answer: Response<AnswerReader>,
        connection: Connection,
        mut send: SendGuard<P>,
        is_resumed: bool,
    ) -> SendEnd<P> {
        let head_received_at = self.now();
        let (head, mut body) = answer.into_parts();
        let facts = self.node.platform.dialect().answer_facts(&self.facts.id, &head);
        self.record_load(&send, &facts);
        self.apply_signals(&send, &facts);
        if facts.is_ours && !facts.is_misdirected {
            let proof = LifeProof::Connection {
                opened_at: head_received_at - connection.age(),
            };
            crash_reports::withdraw_end(&self.node, replica, send.started_ms, proof, send.sent_at);
        }
        let load = facts.load.filter(|_| facts.is_ours).map(|load| load.requests());
        if facts.execution == Execution::NotExecuted {
            if !Self::is_rejection(head.status) {
                send.report_permit(Permit::not_sent);
            }
            return self.handle_not_executed(replica, &facts, &head, &send);
        }
        let usable = facts.is_ours && (!head.status.is_success() || (facts.is_signed && facts.is_plain));
        if !usable {
            self.report_broken_request(&send, None);
            send.record(SendOutcome::Failure);
            return SendEnd::Broken {
                cause: "the answer is not this request's",
            };
        }
        // A complete answer arrives when its run is over, the head of a stream when it starts.
        let is_stream = self.route.kind == RouteKind::Streaming && head.status.is_success();
        send.run_started(if is_stream { head_received_at } else { send.sent_at });
        if is_stream {
            send.report_permit(|permit| permit.started(load));
            body.set_content(stream_content(&head, is_resumed));
            return SendEnd::Streaming(Box::new(Streaming {
                head,
                body,
                head_received_at,
                connection,
                send,
            }));
        }
        // Another replica may still answer then, and a sound one rarely sends as much.
        let has_attempts_left = self.sends < self.route.max_attempts as usize;
        let may_repeat = self.route.is_idempotent() && has_attempts_left;
        let silence = silence_limit(&self.caller_time(), self.usual_answer_time());
        let late_at = head_received_at + silence;
        let is_late = || may_repeat && self.now() >= late_at;
        let reading = body.read_to_end(&self.node.answer_budget, is_late);
        let read = self.node.clock.timeout_at(self.deadline, reading).await;
        if let Ok(answer) = &read {
            self.record_answer_end(&body, &answer.end);
        }
        match read {
            Ok(answer) if !answer.end.is_cut_off() => {
                send.report_permit(|permit| permit.completed(load));
                if matches!(answer.end, BodyEnd::Whole) {
                    self.record_complete_answer(replica, head.status);
                } else {
                    let answer_duration = self.now().since(head_received_at);
                    self.record_closed_answer(&send, head.status, answer_duration);
                }
                let failed = head.status.is_server_error();
                if failed {
                    tracing::info!(target: "send", id = self.facts.id, replica = &**replica,
                        status = head.status.as_u16(), outcome = "failed there", sends = self.sends);
                }
                send.record(if failed {
                    SendOutcome::Failure
                } else {
                    SendOutcome::Success
                });
                if self.route.is_idempotent() {
                    self.node.pool.put_back(connection, &head.headers);
                }
                SendEnd::Complete {
                    head,
                    body: answer.body,
                    held: answer.held.into_held(),
                }
            }
            Ok(answer) => {
                if matches!(answer.end, BodyEnd::TooLong) {
                    tracing::info!(target: "send", id = self.facts.id, replica = &**replica,
                        outcome = "answer too long", received_bytes = answer.body.len());
                }
                send.record(SendOutcome::Failure);
                self.report_broken_request(&send, Some(self.now().since(head_received_at)));
                SendEnd::Broken {
                    cause: "the answer was cut off",
                }
            }
            Err(_) => SendEnd::OutOfTime,
        }
    }

    fn record_load(&self, send: &SendGuard<P>, facts: &AnswerFacts) {
        if let Some(load) = facts.load {
            let is_sure = facts.is_ours && !facts.is_misdirected;
            load_updates::record_answer_load(&self.node, &send.replica, send.started_ms, load, is_sure);
        }
    }

    /// Applies the signals in the replica's answer.
    fn apply_signals(&self, send: &SendGuard<P>, facts: &AnswerFacts) {
        let call = AnsweredCall {
            started_ms: send.started_ms,
            sent_at: send.sent_at,
            answered_at: self.now(),
        };
        let mut signals = facts.signals;
        if facts.is_misdirected || !facts.is_ours {
            // The answer may come from another replica, or belong to another request.
            signals.rejections = RejectionSignal::Unspecified;
            if signals.limit == LimitSignal::Unlimited {
                signals.limit = LimitSignal::Unspecified;
            }
        }
        replica_signals::apply(&self.node, &send.replica, call, signals, &self.facts.id);
    }

    /// Returns whether the replica signalled that it takes no requests (for now).
    pub(super) fn is_rejected_by(&self, replica: &ReplicaId) -> bool {
        let now = self.now();
        self.node.state.borrow().replicas.rejects_requests(replica, now)
    }

    pub(super) fn handle_not_executed(
        &self,
        replica: &ReplicaId,
        facts: &AnswerFacts,
        head: &response::Parts,
        send: &SendGuard<P>,
    ) -> SendEnd<P> {
        tracing::info!(target: "send", id = self.facts.id, replica = &**replica, status = head.status.as_u16(),
            outcome = "not executed", misdirected = facts.is_misdirected);
        if facts.is_misdirected {
            if let Some(model) = self.facts.model.clone() {
                let adapter = self.facts.adapter.clone();
                self.node
                    .state
                    .borrow_mut()
                    .replicas
                    .mark_absent(replica, model, adapter);
            }
        } else {
            send.record(SendOutcome::Failure);
        }
        self.refund_credit();
        SendEnd::NotExecuted {
            misdirected: facts.is_misdirected,
        }
    }

    /// Returns the request to send to a replica.
    pub(super) fn replica_request(
        &self,
        replica: &ReplicaId,
        resume_after: Option<&str>,
    ) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.bytes.clone()));
        *request.method_mut() = self.head.method.clone();
        *request.uri_mut() = origin_form(&self.head.uri);
        let mut headers = end_to_end_headers(&self.head.headers);
        headers.remove(header::CONTENT_LENGTH);
        headers.remove(header::EXPECT);
        let forwarding = Forwarding {
            replica,
            time_left: self.deadline.since(self.now()),
            priority: self.model_key().map(|_| self.rank()),
            tenant: self.tenant.as_deref(),
            resume_after,
        };
        self.node.platform.dialect().forward(&mut headers, &forwarding);
        *request.headers_mut() = headers;
        request
    }
}
