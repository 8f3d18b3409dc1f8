//! Event streams that another target resumes after the first one has broken off.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use deck_core::error::{CallError, ErrorKind};
use deck_fleet::{ResumptionOutcome, ResumptionScope, StreamOrigin, Target};
use deck_net::{
    NetError,
    body::BodySender,
    sse::{EventSplitter, may_be_event_stream},
};

use crate::{
    AttemptError, ReplyBody, StreamingBody,
    attempt::{AttemptContext, RequiredVersion},
    forwarder::{Forwarder, RequestProgress},
    resume::{OriginKey, failed_outcome},
};

/// Time without a complete event after which a stream counts as broken. Callers disconnect after a
/// pause of two seconds, or of several times the pause that their deployment allows.
const STALL_TIMEOUT: Duration = Duration::from_secs(10);

/// State needed to resume a stream at another target.
pub struct StreamResumption {
    pub(crate) forwarder: Forwarder,
    /// Data of the attempts. Invariant: it requires the software version that writes the stream, as far
    /// as it is known.
    pub(crate) context: Rc<AttemptContext>,
    /// Service whose targets can resume the stream.
    pub(crate) service: String,
    /// Name under which other nodes find the origin of the stream; `None` if callers cannot resume it,
    /// or if its version is no longer known.
    pub(crate) origin_key: Option<OriginKey>,
    /// Target whose events are being forwarded.
    pub(crate) writer: StreamWriter,
    /// Maximum number of targets that may run the request.
    pub(crate) max_runs: u32,
    /// Invariant: the tried targets include the one whose stream is being forwarded.
    pub(crate) progress: RequestProgress,
}

/// Target that writes the events of a stream.
pub(crate) struct StreamWriter {
    /// Entry of the target when the request was sent to it.
    pub(crate) entry: Rc<Target>,
    /// When the request was sent, in milliseconds since the Unix epoch.
    pub(crate) sent_at_ms: u64,
    /// Whether the target continues a stream that another one began.
    pub(crate) is_continuation: bool,
}

impl StreamResumption {
    /// Records for other nodes which software version writes the stream.
    pub(crate) fn record_origin(&self) {
        if let Some(key) = &self.origin_key {
            self.forwarder.origins.record(key.record(self.origin()));
        }
    }

    fn origin(&self) -> StreamOrigin {
        let software_version = match &self.context.required_version {
            RequiredVersion::Exactly(version) => version.clone(),
            RequiredVersion::Any => None,
        };
        StreamOrigin { service: self.service.clone(), software_version }
    }

    /// Compares the writer with its current entry, which may show that the target had started again
    /// before the request was sent. Corrects the required version and its record then; returns whether
    /// the version is known. A continuation of another version is not corrected, as the stream holds
    /// events of both.
    fn update_version(&mut self) -> bool {
        let StreamWriter { entry, sent_at_ms, is_continuation } = &self.writer;
        let version = self.forwarder.fleet_view.answering_version(entry, *sent_at_ms);
        let required_version = version.map(RequiredVersion::Exactly);
        if required_version.as_ref() == Some(&self.context.required_version) {
            return true;
        }
        let id = &self.context.request_id;
        match required_version.filter(|_| !is_continuation) {
            Some(required_version) => {
                log::info!(target: "forward", "stream is of another version request={id} target={} version={required_version}", entry.id);
                self.context =
                    Rc::new(AttemptContext { required_version, ..(*self.context).clone() });
                self.record_origin();
                true
            }
            None => {
                if let Some(key) = self.origin_key.take() {
                    log::info!(target: "forward", "version of stream unknown request={id} target={}", entry.id);
                    self.forwarder.origins.record(key.expired_record(self.origin()));
                }
                false
            }
        }
    }

    /// Requests the events after `last_event` from further targets until one starts a stream.
    async fn resume_after(&mut self, last_event: Option<u64>) -> Option<StreamingBody> {
        if !self.update_version() {
            let message = "the target has started again about when the stream began";
            let error = CallError::new(ErrorKind::SoftwareVersionUnknown, message);
            self.log_not_resumed(last_event, Some(error));
            return None;
        }
        let context = AttemptContext { last_event, ..(*self.context).clone() };
        loop {
            let pick_result =
                self.forwarder.pick_target(&self.service, &self.progress, self.max_runs, &context);
            let pick = match pick_result {
                Ok(pick) => pick,
                Err(error) => {
                    self.log_not_resumed(last_event, error);
                    return None;
                }
            };
            self.progress.tried_targets.push(pick.target.clone());
            let (target, result) = context.run(pick).await;
            match result {
                Ok(reply) if reply.status.is_success() => {
                    self.progress.possible_runs += 1;
                    if may_be_event_stream(&reply.headers)
                        && let ReplyBody::Streaming(body) = reply.body
                    {
                        let id = &context.request_id;
                        log::info!(target: "forward", "stream goes on request={id} target={target} event={last_event:?} version={}", context.required_version);
                        self.observe(ResumptionOutcome::Resumed);
                        if let Some(entry) = reply.target_entry {
                            let sent_at_ms = reply.sent_at_ms;
                            self.writer = StreamWriter { entry, sent_at_ms, is_continuation: true };
                        }
                        return Some(*body);
                    }
                }
                Ok(_) | Err(AttemptError::Unknown(_) | AttemptError::Broken(_)) => {
                    self.progress.possible_runs += 1;
                }
                Err(AttemptError::NotRun(_) | AttemptError::Full(_)) => {}
            }
        }
    }

    /// Logs why no target can resume the stream; without an error, the attempts are used up.
    fn log_not_resumed(&self, last_event: Option<u64>, error: Option<CallError>) {
        let (id, tried_count) = (&self.context.request_id, self.progress.tried_targets.len());
        let version = &self.context.required_version;
        self.observe(error.as_ref().map_or(ResumptionOutcome::Failed, failed_outcome));
        let reason = error.map_or("no attempts left".to_owned(), |error| error.to_string());
        log::info!(target: "forward", "stream not resumed request={id} tried={tried_count} event={last_event:?} version={version} reason={reason}");
    }

    fn observe(&self, outcome: ResumptionOutcome) {
        self.forwarder.observer.on_stream_resumption(ResumptionScope::Response, outcome);
    }
}

/// Forwards the events of a stream to the caller, each complete and exactly once, and resumes the
/// stream at another target when it breaks off. If no target can resume it, the caller's stream is
/// aborted too.
pub(crate) async fn forward_events(
    mut body: StreamingBody,
    mut resumption: StreamResumption,
    sender: BodySender,
) {
    let mut splitter = EventSplitter::default();
    let mut last_event = resumption.context.last_event;
    // Reset only by a complete event, because a stalled target may still send single bytes.
    let mut waiting_since = Instant::now();
    loop {
        let time_left = STALL_TIMEOUT.saturating_sub(waiting_since.elapsed());
        let chunk = monoio::time::timeout(time_left, body.next_chunk_within_reach());
        // The caller has disconnected: dropping the body closes the target's connection.
        let Some(next) = sender.run_until_closed(chunk).await else { return };
        let stall_error =
            || NetError::Body(format!("no event for {} ms", STALL_TIMEOUT.as_millis()));
        match next.unwrap_or_else(|_| Err(stall_error())) {
            Ok(Some(_)) if splitter.is_too_large() => body.record_broken(),
            Ok(Some(chunk)) => {
                resumption.update_version();
                let mut complete_blocks = Vec::with_capacity(chunk.len());
                let mut has_event = false;
                for block in splitter.push(&chunk) {
                    match (EventSplitter::numeric_id(&block), last_event) {
                        // The resuming target may repeat events; each is forwarded once.
                        (Some(number), Some(last)) if number <= last => continue,
                        (Some(number), Some(last)) if number > last + 1 => {
                            let id = &resumption.context.request_id;
                            log::warn!(target: "forward", "stream has a gap request={id} event={number} after={last}");
                            return;
                        }
                        (Some(number), _) => last_event = Some(number),
                        (None, _) => {}
                    }
                    has_event |= EventSplitter::is_event(&block);
                    complete_blocks.extend_from_slice(&block);
                }
                if !complete_blocks.is_empty()
                    && sender.send(Bytes::from(complete_blocks)).await.is_err()
                {
                    return;
                }
                if has_event {
                    waiting_since = Instant::now();
                }
                continue;
            }
            Ok(None) if splitter.is_empty() => {
                body.record_complete();
                return sender.finish().await;
            }
            Ok(None) | Err(_) => body.record_broken(),
        }
        splitter = EventSplitter::default();
        waiting_since = Instant::now();
        let Some(Some(next)) = sender.run_until_closed(resumption.resume_after(last_event)).await
        else {
            return;
        };
        body = next;
    }
}
