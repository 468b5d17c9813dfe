//! Event streams: passed on as they come, resumed where the route allows.

use std::time::Duration;

use croftrill_scheduler::admission::caller_patience;
use croftrill_scheduler::health::SendOutcome;
use croftrill_scheduler::replica::ReplicaId;
use croftrill_scheduler::time::Moment;
use http::{header, Response};
use http_body_util::BodyExt;

use super::cold::NextReplica;
use super::forwarding::end_to_end;
use super::sending::{SendEnd, Streaming};
use super::{Answer, RequestRun};
use crate::ports::Platform;
use crate::stream::{AnswerBody, EventCutter, StreamPart, StreamSender};

/// Time to choose another holder and connect to it: two links of 5 ms with a
/// handshake each, and as long again for a busy node, rounded up.
const RESUME_TIME: Duration = Duration::from_millis(100);
/// Times that reading a prompt is taken to last where the holder is busy with others'.
pub(super) const PROMPT_TIME_MARGIN: u32 = 2;

/// How a replica's part of a stream ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum PumpEnd {
    Complete,
    Broken,
    /// Nothing came for long: its replica may be slow, or gone without a word.
    Silent,
    CallerGone,
    OutOfTime,
}

/// What became of a stream that was to go on at another replica.
enum Resumed<P: Platform> {
    /// It goes on there.
    Elsewhere(Box<Streaming<P>>),
    /// It does not; the run that it was to leave, if that was not ended.
    Nowhere(Option<Box<Streaming<P>>>),
}

impl<P: Platform> RequestRun<P> {
    /// Passes on a stream; a task of its own carries it on.
    pub(super) fn answer_stream(mut self, streaming: Streaming<P>) -> Answer {
        let (sender, body) = AnswerBody::stream();
        let mut answer = Response::new(body);
        *answer.status_mut() = streaming.head.status;
        *answer.headers_mut() = end_to_end(&streaming.head.headers);
        if self.route.resumable {
            // Its length may change if it goes on at another replica.
            answer.headers_mut().remove(header::CONTENT_LENGTH);
        }
        self.node
            .metrics
            .first_byte_seconds
            .observe(self.waited().as_secs_f64());
        let (flight, place) = (self.flight.take(), self.place.take());
        tokio::task::spawn_local(async move {
            let _held = (flight, place);
            self.pump(streaming, sender).await;
        });
        answer
    }

    pub(super) async fn pump(mut self, first: Streaming<P>, sender: StreamSender) {
        if self.waited() > self.route.objective {
            self.count_late();
        }
        let mut cutter = EventCutter::after(self.facts.last_event_id.clone());
        let mut current = first;
        let mut may_leave = true;
        loop {
            let replica = current.send.replica.clone();
            let mut longest_pause = Duration::ZERO;
            let end = self
                .pump_one(&mut current, &mut cutter, &sender, may_leave, &mut longest_pause)
                .await;
            self.node
                .state
                .borrow_mut()
                .replicas
                .record_pause(&replica, longest_pause);
            match end {
                PumpEnd::Complete => {
                    current.send.record(SendOutcome::Success);
                    self.answered_whole();
                    if self.route.is_idempotent() {
                        let headers = &current.head.headers;
                        self.node.pool.put_back(current.connection, headers);
                    }
                    self.log_end(&replica, "served");
                    return;
                }
                PumpEnd::CallerGone => {
                    self.log_end(&replica, "caller gone");
                    return;
                }
                PumpEnd::OutOfTime => {
                    // Its sender goes without an end, which breaks the answer off.
                    self.log_end(&replica, "stream out of time");
                    return;
                }
                // Its answer may still come: a silent replica is left only for another one.
                PumpEnd::Silent | PumpEnd::Broken => {}
            }
            current.send.record(SendOutcome::Failure);
            let earlier = (end == PumpEnd::Silent).then_some(current);
            match self.resume(&replica, &cutter, earlier).await {
                Resumed::Elsewhere(next) => {
                    cutter.drop_partial();
                    current = *next;
                    may_leave = true;
                }
                Resumed::Nowhere(Some(earlier)) => {
                    current = *earlier;
                    may_leave = false;
                }
                Resumed::Nowhere(None) => {
                    self.log_end(&replica, "stream cut off");
                    return;
                }
            }
        }
    }

    /// Passes on what a replica sends. `may_leave`: false once nobody could take its place.
    pub(super) async fn pump_one(
        &self,
        streaming: &mut Streaming<P>,
        cutter: &mut EventCutter,
        sender: &StreamSender,
        may_leave: bool,
        longest_pause: &mut Duration,
    ) -> PumpEnd {
        let mut last_event = self.now();
        loop {
            let frame = tokio::select! {
                frame = streaming.body.frame() => frame,
                () = sender.closed() => return PumpEnd::CallerGone,
                () = self.silent_since(last_event), if may_leave => {
                    tracing::info!(target: "send", id = self.facts.id, replica = &*streaming.send.replica,
                        outcome = "the stream fell silent", silent_ms = self.now().since(last_event).as_millis() as u64);
                    self.node.pool.found_silent(&streaming.connection);
                    self.stream_broke(streaming, last_event);
                    return PumpEnd::Silent;
                }
                () = self.node.clock.sleep_until(self.until) => return PumpEnd::OutOfTime,
            };
            let bytes = match frame {
                None => return self.pump_rest(cutter, sender).await,
                Some(Err(_)) => {
                    self.stream_broke(streaming, last_event);
                    return PumpEnd::Broken;
                }
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(bytes) => bytes,
                    Err(_) => continue,
                },
            };
            let now = self.now();
            let pause = now.since(std::mem::replace(&mut last_event, now));
            *longest_pause = pause.max(*longest_pause);
            self.note_pause(pause);
            let bytes = if self.route.resumable {
                cutter.push(&bytes)
            } else {
                Some(bytes)
            };
            if let Some(bytes) = bytes {
                if let Err(end) = self.pass(sender, StreamPart::Bytes(bytes)).await {
                    return end;
                }
            }
        }
    }

    fn stream_broke(&self, streaming: &Streaming<P>, last_event: Moment) {
        let answer_duration = last_event.since(streaming.head_at);
        self.broke_at(&streaming.send.replica, Some(answer_duration));
    }

    pub(super) async fn pump_rest(&self, cutter: &mut EventCutter, sender: &StreamSender) -> PumpEnd {
        let rest = cutter.take_rest();
        if !rest.is_empty() {
            if let Err(end) = self.pass(sender, StreamPart::Bytes(rest)).await {
                return end;
            }
        }
        match self.pass(sender, StreamPart::End).await {
            Ok(()) => PumpEnd::Complete,
            Err(end) => end,
        }
    }

    /// Ends when a stream that may go on elsewhere has been silent at its replica
    /// since `last_event` for as long as can be borne: the latest moment that lets
    /// the next holder's first event reach the caller before it gives up. Until
    /// then the replica may only be slow, and going on elsewhere reads the prompt anew.
    async fn silent_since(&self, last_event: Moment) {
        let patience = caller_patience(&self.route).filter(|_| self.route.resumable);
        let Some(patience) = patience else {
            return std::future::pending().await;
        };
        let next_takes = self.first_event_after() * PROMPT_TIME_MARGIN + RESUME_TIME;
        let caller_leaves = self.until.min(last_event + patience);
        let latest = caller_leaves - next_takes;
        // A pause within the objective is no silence, however little time is left.
        let bearable = self.route.pause_objective.unwrap_or(patience);
        self.node
            .clock
            .sleep_until(latest.max(last_event + bearable))
            .await;
    }

    /// Passes a part on. A caller that stops reading, or whose connection went
    /// silent, holds its replica up no longer than the request may last.
    async fn pass(&self, sender: &StreamSender, part: StreamPart) -> Result<(), PumpEnd> {
        match self
            .node
            .clock
            .timeout_at(self.until, sender.send(Ok(part)))
            .await
        {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) => Err(PumpEnd::CallerGone),
            Err(_) => Err(PumpEnd::OutOfTime),
        }
    }

    /// Goes on with a stream at another replica, if the route allows. An `earlier` run that
    /// may still go on is ended before the request is sent again, and else given back.
    async fn resume(
        &mut self,
        left: &ReplicaId,
        cutter: &EventCutter,
        mut earlier: Option<Streaming<P>>,
    ) -> Resumed<P> {
        let after = cutter.last_id().map(str::to_string);
        let mut left = left.clone();
        while self.may_repeat_after(&left) {
            let NextReplica::Send(replica) = self.next_replica().await else {
                break;
            };
            if self.barred_from_sending().await.is_some() || !self.take_retry(&replica) {
                break;
            }
            drop(earlier.take());
            match self.send(&replica, after.as_deref(), None).await {
                SendEnd::Streaming(streaming) => return Resumed::Elsewhere(streaming),
                SendEnd::OutOfTime => break,
                _ => left = replica,
            }
        }
        Resumed::Nowhere(earlier.map(Box::new))
    }
}
