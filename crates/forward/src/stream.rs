//! Streams that go on at another target after theirs has broken off.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use deck_core::error::CallError;
use deck_net::{NetError, body::BodySender, sse::EventBlocks};

use crate::{
    AttemptError, ReplyBody, Streamed,
    answer::race,
    attempt::Attempt,
    forwarder::{Forwarder, Progress},
};

/// Time without a whole event after which a stream counts as broken. Callers leave after a pause of two
/// seconds or several times the pause that their deployment allows.
const STALL_LIMIT: Duration = Duration::from_secs(10);

/// What is needed to go on with a stream at another target.
pub struct Resume {
    pub(crate) forwarder: Forwarder,
    pub(crate) attempt: Rc<Attempt>,
    pub(crate) service: String,
    /// Most targets that may run the request.
    pub(crate) attempts: u32,
    /// Invariant: counts the target whose stream is being passed on.
    pub(crate) progress: Progress,
}

impl Resume {
    /// Asks further targets for the events after `last_event`.
    async fn next(&mut self, last_event: Option<u64>) -> Option<Streamed> {
        let attempt = Attempt { last_event, ..(*self.attempt).clone() };
        loop {
            let picked =
                self.forwarder.next_pick(&self.service, &self.progress, self.attempts, &attempt);
            let pick = match picked {
                Ok(pick) => pick,
                Err(error) => {
                    self.log_end(last_event, error);
                    return None;
                }
            };
            self.progress.tried.push(pick.target.clone());
            let (target, result) = attempt.run(pick).await;
            match result {
                Ok(reply) if reply.status.is_success() => {
                    self.progress.sent += 1;
                    if let ReplyBody::Stream(response) = reply.body {
                        let id = &attempt.request_id;
                        log::info!(target: "forward", "stream goes on request={id} target={target} event={last_event:?}");
                        return Some(*response);
                    }
                }
                Ok(_) | Err(AttemptError::Unknown(_) | AttemptError::Broken(_)) => {
                    self.progress.sent += 1;
                }
                Err(AttemptError::NotRun(_)) => {}
            }
        }
    }

    fn log_end(&self, last_event: Option<u64>, error: Option<CallError>) {
        let (id, tried) = (&self.attempt.request_id, self.progress.tried.len());
        let reason = error.map_or("no attempts left".to_owned(), |error| error.to_string());
        log::info!(target: "forward", "stream not resumed request={id} tried={tried} event={last_event:?} reason={reason}");
    }
}

/// Passes the events of a stream on, whole and each once, and goes on at other targets where the
/// stream breaks off. Without a further target the caller's stream is broken off too.
pub(crate) async fn pass_events(mut response: Streamed, mut resume: Resume, sender: BodySender) {
    let mut blocks = EventBlocks::default();
    let mut last_event = resume.attempt.last_event;
    // Bytes that are no whole event do not count: a stalled target may send some now and then.
    let mut waits_since = Instant::now();
    loop {
        let left = STALL_LIMIT.saturating_sub(waits_since.elapsed());
        let chunk = monoio::time::timeout(left, response.chunk());
        // The caller has left: dropping the response closes the target's connection.
        let Some(next) = race(chunk, sender.closed()).await else { return };
        let stalled = || NetError::Body(format!("no event for {} ms", STALL_LIMIT.as_millis()));
        match next.unwrap_or_else(|_| Err(stalled())) {
            Ok(Some(_)) if blocks.is_too_large() => response.broken(),
            Ok(Some(chunk)) => {
                let mut whole = Vec::with_capacity(chunk.len());
                let mut has_event = false;
                for block in blocks.push(&chunk) {
                    match (EventBlocks::number(&block), last_event) {
                        // A target may repeat events; each is passed on once.
                        (Some(number), Some(last)) if number <= last => continue,
                        (Some(number), Some(last)) if number > last + 1 => {
                            let id = &resume.attempt.request_id;
                            log::warn!(target: "forward", "stream has a gap request={id} event={number} after={last}");
                            return;
                        }
                        (Some(number), _) => last_event = Some(number),
                        (None, _) => {}
                    }
                    has_event |= EventBlocks::is_event(&block);
                    whole.extend_from_slice(&block);
                }
                if !whole.is_empty() && sender.send(Bytes::from(whole)).await.is_err() {
                    return;
                }
                if has_event {
                    waits_since = Instant::now();
                }
                continue;
            }
            Ok(None) if blocks.is_empty() => {
                response.complete();
                return sender.finish().await;
            }
            Ok(None) | Err(_) => response.broken(),
        }
        blocks = EventBlocks::default();
        waits_since = Instant::now();
        let Some(Some(next)) = race(resume.next(last_event), sender.closed()).await else { return };
        response = next;
    }
}
