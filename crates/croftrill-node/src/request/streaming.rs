//! Event streams: forwarded as they arrive and resumed at another replica if the route allows.

use std::time::Duration;

use bytes::Bytes;
use croftrill_scheduler::admission::caller_patience;
use croftrill_scheduler::health::SendOutcome;
use croftrill_scheduler::replica::ReplicaId;
use croftrill_scheduler::time::Moment;
use http::{header, HeaderMap, Response, Version};

use super::cold::NextReplica;
use super::forwarding::end_to_end_headers;
use super::sending::{SendEnd, Streaming};
use super::version::StreamVersion;
use super::{Answer, RequestRun};
use crate::answer_reader::{AnswerReader, BodyEnd, BodyPart, Framing};
use crate::broken_requests::MAX_START_DURATION;
use crate::events::EventSplitter;
use crate::memory::FREE_BYTES;
use crate::ports::Platform;
use crate::stream::{AnswerBody, ReaderGone, StreamChunk, StreamSender};
use crate::stream_versions;

/// Time to choose another holder and connect to it: a handshake over each of two links of 5 ms, and
/// as long again for a busy node, rounded up.
const RESUME_TIME: Duration = Duration::from_millis(100);
/// Factor on the time to read a prompt, for a holder that is busy with other prompts.
pub(super) const PROMPT_TIME_FACTOR: u32 = 2;

/// Pause of a stream after which its replica may have gone dark.
const LONG_SILENCE: Duration = Duration::from_millis(500);

/// Memory of a stream whose caller does not read: the waiting chunks and the buffers of both connections.
const UNREAD_STREAM_BYTES: u64 = 128 * 1024;
/// Size of the pieces in which a part that was held back leaves.
const REMAINDER_PART_BYTES: usize = 32 * 1024;
/// Size of a piece up to which it is copied, so that it does not keep the buffer that it was read into.
const MAX_COPIED_BYTES: usize = 4 * 1024;

/// How the stream from one replica ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum PumpEnd {
    Complete,
    /// The replica closed the connection after a complete event, and nothing tells whether more was to
    /// come. The caller may know that, and go on with the stream.
    Closed,
    Broken,
    /// Nothing arrived for a long time: the replica may be slow, or lost without a reset.
    Silent,
    CallerDisconnected,
    OutOfTime,
}

/// The outcome of an attempt to resume a stream at another replica.
enum ResumeOutcome<P: Platform> {
    /// The stream continues at another replica.
    Resumed(Box<Streaming<P>>),
    /// The stream could not be resumed. Contains the earlier run if that was not ended.
    NotResumed(Option<Box<Streaming<P>>>),
}

/// Returns what tells the caller where a streamed answer ends.
fn caller_framing(version: Version, headers: &HeaderMap) -> Framing {
    if headers.contains_key(header::CONTENT_LENGTH) {
        Framing::Length
    } else if version == Version::HTTP_10 {
        Framing::Connection
    } else {
        Framing::Chunks
    }
}

/// Returns the same bytes, which keep about as much memory as they hold.
fn compact(bytes: Bytes) -> Bytes {
    if bytes.len() <= MAX_COPIED_BYTES {
        Bytes::copy_from_slice(&bytes)
    } else {
        bytes
    }
}

impl<P: Platform> RequestRun<P> {
    /// Returns the answer with a stream as its body, which a separate task forwards.
    pub(super) fn answer_stream(mut self, streaming: Streaming<P>) -> Answer {
        let held = self.node.memory.hold("stream");
        let (sender, body) = AnswerBody::evictable_stream(held.eviction().clone());
        self.stream_memory = Some(held);
        let mut answer = Response::new(body);
        *answer.status_mut() = streaming.head.status;
        *answer.headers_mut() = end_to_end_headers(&streaming.head.headers);
        if self.route.resumable || streaming.body.holds_events() {
            // The length may change if the stream is resumed at another replica. And if that of the
            // replica is no proof that the stream is whole, it must not be one to the caller.
            answer.headers_mut().remove(header::CONTENT_LENGTH);
        }
        self.caller_framing = Some(caller_framing(self.head.version, answer.headers()));
        self.node
            .metrics
            .first_byte_seconds
            .observe(self.waited().as_secs_f64());
        let (in_flight, slot) = (self.in_flight.take(), self.slot.take());
        tokio::task::spawn_local(async move {
            let _held = (in_flight, slot);
            self.pump(streaming, sender).await;
        });
        answer
    }

    pub(super) async fn pump(mut self, first: Streaming<P>, sender: StreamSender) {
        if first.head_received_at.since(self.holders_due_since) > self.route.objective {
            self.count_late();
        }
        self.bind_stream(first.send.software_version.clone()).await;
        let mut cutter = EventSplitter::after(self.facts.last_event_id.clone());
        let mut current = first;
        let mut may_switch = true;
        loop {
            let replica = current.send.replica.clone();
            let mut longest_pause = Duration::ZERO;
            let end = self
                .pump_replica(&mut current, &mut cutter, &sender, may_switch, &mut longest_pause)
                .await;
            self.node
                .state
                .borrow_mut()
                .replicas
                .record_pause(&replica, longest_pause);
            match end {
                PumpEnd::Complete | PumpEnd::Closed => {
                    current.send.record(SendOutcome::Success);
                    current.send.report_permit(|permit| permit.completed(None));
                    if end == PumpEnd::Complete {
                        stream_versions::end(&self.node, &self.facts.id);
                        self.record_complete_answer(&replica, current.head.status);
                    } else {
                        let answer_duration = self.now().since(current.head_received_at);
                        self.record_closed_answer(&current.send, current.head.status, answer_duration);
                    }
                    if self.route.is_idempotent() {
                        let headers = &current.head.headers;
                        self.node.pool.put_back(current.connection, headers);
                    }
                    self.log_end(&replica, "served");
                    return;
                }
                PumpEnd::CallerDisconnected => {
                    self.log_end(&replica, "caller gone");
                    return;
                }
                PumpEnd::OutOfTime => {
                    // The sender is dropped without an end, which aborts the answer.
                    self.log_end(&replica, "stream out of time");
                    return;
                }
                // A silent replica may still answer, so its run ends only when another replica
                // takes over.
                PumpEnd::Silent | PumpEnd::Broken => {}
            }
            current.send.record(SendOutcome::Failure);
            let earlier = (end == PumpEnd::Silent).then_some(current);
            let outcome = tokio::select! {
                outcome = self.resume(&replica, &cutter, earlier) => outcome,
                () = sender.closed() => {
                    self.log_end(&replica, "caller gone");
                    return;
                }
            };
            match outcome {
                ResumeOutcome::Resumed(next) => {
                    cutter.drop_partial();
                    current = *next;
                    may_switch = true;
                }
                ResumeOutcome::NotResumed(Some(earlier)) => {
                    current = *earlier;
                    may_switch = false;
                }
                ResumeOutcome::NotResumed(None) => {
                    self.log_end(&replica, "stream cut off");
                    return;
                }
            }
        }
    }

    /// Forwards what a replica sends. `may_switch` is false once no other replica could take over.
    pub(super) async fn pump_replica(
        &self,
        streaming: &mut Streaming<P>,
        cutter: &mut EventSplitter,
        sender: &StreamSender,
        may_switch: bool,
        longest_pause: &mut Duration,
    ) -> PumpEnd {
        let mut last_event = self.now();
        // Whether the answer went on for longer than a part takes to crash a replica.
        let mut is_proven = false;
        loop {
            let part = tokio::select! {
                part = streaming.body.next() => part,
                () = sender.closed() => return PumpEnd::CallerDisconnected,
                () = self.wait_for_silence(last_event), if may_switch => {
                    tracing::info!(target: "send", id = self.facts.id, replica = &*streaming.send.replica,
                        outcome = "stream silent", silent_ms = self.now().since(last_event).as_millis() as u64);
                    self.record_path_trouble(&streaming.connection);
                    self.node.pool.handle_unresponsive(&streaming.connection);
                    self.report_silent_stream(streaming, last_event);
                    return PumpEnd::Silent;
                }
                () = self.node.clock.sleep_until(self.deadline) => {
                    if self.now().since(last_event) >= LONG_SILENCE {
                        self.report_silent_stream(streaming, last_event);
                    }
                    return PumpEnd::OutOfTime;
                }
            };
            let bytes = match part {
                BodyPart::Bytes(bytes) => bytes,
                BodyPart::End(end) => {
                    return self.handle_end(streaming, end, last_event, cutter, sender).await
                }
            };
            let now = self.now();
            let pause = now.since(std::mem::replace(&mut last_event, now));
            *longest_pause = pause.max(*longest_pause);
            self.record_pause(pause);
            if !is_proven && now.since(streaming.head_received_at) > MAX_START_DURATION {
                is_proven = true;
                self.record_answered_parts(streaming.head.status);
            }
            if cutter.held_bytes() > self.node.answer_budget.max_answer_bytes() {
                let end = BodyEnd::TooLong;
                return self.handle_end(streaming, end, last_event, cutter, sender).await;
            }
            let bytes = if !self.route.resumable {
                Some(compact(bytes))
            } else if streaming.body.holds_events() {
                cutter.push(&bytes)
            } else {
                cutter.hold(&bytes);
                None
            };
            if let Some(bytes) = bytes {
                self.held_part_bytes.set(0);
                if let Err(end) = self.forward(sender, StreamChunk::Bytes(bytes)).await {
                    return end;
                }
            }
            if let Err(end) = self.hold_part(cutter.held_bytes(), &streaming.body, sender).await {
                return end;
            }
        }
    }

    /// Handles the end of what a replica sends.
    async fn handle_end(
        &self,
        streaming: &Streaming<P>,
        end: BodyEnd,
        last_event: Moment,
        cutter: &mut EventSplitter,
        sender: &StreamSender,
    ) -> PumpEnd {
        self.record_answer_end(&streaming.body, &end);
        if end.is_cut_off() {
            tracing::info!(target: "send", id = self.facts.id, replica = &*streaming.send.replica,
                outcome = "stream broken off", framing = streaming.body.framing().name(), ended = end.name(),
                partial_bytes = streaming.body.partial_bytes(), last_event_id = cutter.last_id());
            if matches!(end, BodyEnd::Broken(_)) {
                self.record_path_trouble(&streaming.connection);
            }
            self.report_broken_stream(streaming, last_event);
            return PumpEnd::Broken;
        }
        match self.pump_remainder(cutter, sender).await {
            Ok(()) if matches!(end, BodyEnd::Whole) => PumpEnd::Complete,
            Ok(()) => PumpEnd::Closed,
            Err(end) => end,
        }
    }

    fn report_silent_stream(&self, streaming: &Streaming<P>, last_event: Moment) {
        let answer_duration = last_event.since(streaming.head_received_at);
        self.report_silent_replica(&streaming.send, Some(answer_duration));
    }

    fn report_broken_stream(&self, streaming: &Streaming<P>, last_event: Moment) {
        let answer_duration = last_event.since(streaming.head_received_at);
        self.report_broken_request(&streaming.send, Some(answer_duration));
    }

    async fn pump_remainder(&self, cutter: &mut EventSplitter, sender: &StreamSender) -> Result<(), PumpEnd> {
        let remainder = cutter.take_remaining();
        // Copies, so that the last part does not keep the others.
        for part in remainder.chunks(REMAINDER_PART_BYTES) {
            let part = StreamChunk::Bytes(Bytes::copy_from_slice(part));
            self.forward(sender, part).await?;
        }
        drop(remainder);
        self.held_part_bytes.set(0);
        self.forward(sender, StreamChunk::End).await
    }

    /// Waits until a resumable stream that has been silent since `last_event` must be resumed at
    /// another replica. That is the latest moment at which the next holder's first event still
    /// reaches the caller before it gives up. Earlier, the replica may only be slow, and resuming
    /// elsewhere means that the prompt is read again. Never returns for other streams.
    async fn wait_for_silence(&self, last_event: Moment) {
        let patience = caller_patience(&self.route).filter(|_| self.route.resumable);
        let Some(patience) = patience else {
            return std::future::pending().await;
        };
        let resume_takes = self.first_event_after() * PROMPT_TIME_FACTOR + RESUME_TIME;
        let caller_gives_up = self.deadline.min(last_event + patience);
        let latest = caller_gives_up - resume_takes;
        // A pause within the pause objective is not silence, however little time is left.
        let tolerated_pause = self.route.pause_objective.unwrap_or(patience);
        self.node
            .clock
            .sleep_until(latest.max(last_event + tolerated_pause))
            .await;
    }

    /// Forwards a chunk. The deadline bounds how long a caller that stops reading, or whose
    /// connection went silent, holds up the replica.
    async fn forward(&self, sender: &StreamSender, chunk: StreamChunk) -> Result<(), PumpEnd> {
        let sending = async {
            tokio::select! {
                sent = self.send_held(sender, chunk) => sent,
                () = sender.closed() => Err(ReaderGone),
            }
        };
        match self.node.clock.timeout_at(self.deadline, sending).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(ReaderGone)) => Err(PumpEnd::CallerDisconnected),
            Err(_) => Err(PumpEnd::OutOfTime),
        }
    }

    /// Waits for memory for the part of a stream that cannot be passed on yet, of `part_bytes` so far. A
    /// body without events is such a part as a whole.
    async fn hold_part(
        &self,
        part_bytes: u64,
        body: &AnswerReader,
        sender: &StreamSender,
    ) -> Result<(), PumpEnd> {
        let Some(held) = &self.stream_memory else {
            return Ok(());
        };
        if part_bytes <= FREE_BYTES.max(self.held_part_bytes.get()) {
            return Ok(());
        }
        let remaining_bytes = body.remaining_bytes().filter(|_| !body.holds_events());
        let whole_bytes = remaining_bytes.map(|remaining| part_bytes + remaining);
        let max_bytes = self.node.answer_budget.max_answer_bytes();
        let part_bytes = whole_bytes.map_or(part_bytes.next_power_of_two(), |whole| whole.min(max_bytes));
        let growing = async {
            tokio::select! {
                grown = held.grow(part_bytes + UNREAD_STREAM_BYTES) => grown.map_err(|_| PumpEnd::Broken),
                () = sender.closed() => Err(PumpEnd::CallerDisconnected),
            }
        };
        let grown = self.node.clock.timeout_at(self.deadline, growing).await;
        grown.unwrap_or(Err(PumpEnd::OutOfTime))?;
        self.held_part_bytes.set(part_bytes);
        // The replica sends it, so the caller is not to blame for a pause.
        held.set_waits_for_caller(sender.has_waiting());
        Ok(())
    }

    /// Sends a chunk. If the caller has not read the earlier ones, waits for memory to hold them.
    async fn send_held(&self, sender: &StreamSender, chunk: StreamChunk) -> Result<(), ReaderGone> {
        let Some(held) = &self.stream_memory else {
            return sender.send(Ok(chunk)).await;
        };
        let size_bytes = chunk.size_bytes();
        let part_bytes = self.held_part_bytes.get();
        held.set_waits_for_caller(true);
        if !sender.has_waiting() {
            held.shrink(part_bytes);
        } else if held.grow(part_bytes + UNREAD_STREAM_BYTES).await.is_err() {
            tracing::info!(target: "send", id = self.facts.id, outcome = "no memory for an unread stream");
            return Err(ReaderGone);
        }
        sender.send(Ok(chunk)).await?;
        held.record_moved(size_bytes);
        Ok(())
    }

    /// Resumes a stream at another replica, if the route allows. An `earlier` run that may still
    /// continue is ended before the request is sent again. If it is not sent again, the run is
    /// returned.
    async fn resume(
        &mut self,
        previous: &ReplicaId,
        cutter: &EventSplitter,
        earlier: Option<Streaming<P>>,
    ) -> ResumeOutcome<P> {
        let after = cutter.last_id().map(str::to_string);
        if self.stream_version == StreamVersion::Unknown {
            tracing::info!(target: "stream version", event = "not resumed: version not known", id = self.facts.id,
                replica = &**previous);
            return ResumeOutcome::NotResumed(earlier.map(Box::new));
        }
        self.may_await_version = earlier.is_none();
        self.earlier_run = earlier;
        self.stream_broke_at = Some(self.now());
        let mut previous = previous.clone();
        while self.may_repeat_after(&previous) {
            let NextReplica::Send(replica) = self.next_replica().await else {
                break;
            };
            if !self.take_retry(&replica) {
                break;
            }
            match self.send(&replica, after.as_deref(), None).await {
                SendEnd::Streaming(streaming) => return ResumeOutcome::Resumed(streaming),
                SendEnd::Suspected(_) | SendEnd::OutOfTime => break,
                _ => previous = replica,
            }
        }
        ResumeOutcome::NotResumed(self.earlier_run.take().map(Box::new))
    }
}
