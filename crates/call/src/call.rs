//! State of one call across its attempts, and its resource usage.

use std::{
    cell::Cell,
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use deck_core::error::{CallError, ErrorKind, RunState};
use deck_limit::crash::{Fingerprint, fingerprint};

use crate::{
    body::BufferedBody, pool_index::PoolInfo, request_head::CallHead, shared::SharedState,
    usage::UsageKey,
};

/// One call. Its usage is recorded once, on drop.
pub(crate) struct Call {
    pub(crate) head: CallHead,
    pub(crate) pool: Rc<PoolInfo>,
    /// Path and query of the request to the target.
    pub(crate) path: String,
    /// Hash of the request, which attributes target crashes to it. `None` for an owed call, which
    /// is not held responsible for crashes.
    pub(crate) fingerprint: Option<Fingerprint>,
    pub(crate) started_at: Instant,
    /// Predicted number of generated tokens; 1 for plain services.
    pub(crate) expected_tokens: u64,
    /// Hash of the prompt prefix, for routing with prefix-cache affinity.
    pub(crate) affinity_hash: Option<u64>,
    body: BufferedBody,
    shared: Rc<SharedState>,
    /// Total time that targets spent on the call, over all attempts.
    engine_time: Cell<Duration>,
    /// Tokens generated so far.
    tokens: Cell<u64>,
    /// Whether a target may have executed the call: a byte may have been sent to a target that did
    /// not refuse the call.
    may_have_run: Cell<bool>,
    attempts: Cell<u32>,
    got_first_byte: Cell<bool>,
}

impl Call {
    pub(crate) fn new(
        shared: Rc<SharedState>,
        head: CallHead,
        pool: Rc<PoolInfo>,
        path: String,
        body: BufferedBody,
        started_at: Instant,
    ) -> Self {
        let fingerprint = fingerprint(&pool.name, head.method.as_str(), &path, &body.bytes);
        Self {
            head,
            pool,
            path,
            fingerprint: Some(fingerprint),
            started_at,
            expected_tokens: 1,
            affinity_hash: None,
            body,
            shared,
            engine_time: Cell::default(),
            tokens: Cell::default(),
            may_have_run: Cell::default(),
            attempts: Cell::default(),
            got_first_byte: Cell::default(),
        }
    }

    /// Marks the call as owed: it generates a sample of an accepted rollout job. Such a call is
    /// never refused because of target crashes, and no crash is attributed to it.
    pub(crate) fn set_owed(&mut self) {
        self.fingerprint = None;
    }

    pub(crate) fn body(&self) -> Bytes {
        self.body.bytes.clone()
    }

    /// Counts the start of an attempt and returns its number, starting at 1.
    pub(crate) fn count_attempt(&self) -> u32 {
        self.attempts.set(self.attempts.get() + 1);
        self.attempts.get()
    }

    pub(crate) fn add_engine_time(&self, duration: Duration) {
        self.engine_time.set(self.engine_time.get() + duration);
    }

    pub(crate) fn add_tokens(&self, tokens: u64) {
        self.tokens.set(self.tokens.get() + tokens);
    }

    pub(crate) fn set_may_have_run(&self) {
        self.may_have_run.set(true);
    }

    pub(crate) fn may_have_run(&self) -> bool {
        self.may_have_run.get()
    }

    /// Records the time to the first byte of the first response; later responses are ignored.
    pub(crate) fn record_first_byte(&self) {
        if !self.got_first_byte.replace(true) {
            let priority = self.head.priority.as_str();
            self.shared.metrics.record_first_byte(
                &self.pool.name,
                priority,
                self.started_at.elapsed(),
            );
        }
    }

    /// Converts an error that states that the call was not executed into one with an unknown
    /// outcome, if an earlier attempt may have executed it. Other errors are returned unchanged.
    pub(crate) fn account_for_earlier_attempts(&self, error: CallError) -> CallError {
        if !self.may_have_run() || error.kind.properties().run_state != RunState::NotRun {
            return error;
        }
        let kind = match error.kind {
            ErrorKind::DeadlineBeforeRun => ErrorKind::DeadlineExceeded,
            _ => ErrorKind::TargetFailed,
        };
        let message = format!("an earlier try may have run; then: {}", error.message);
        CallError::new(kind, message)
    }

    pub(crate) fn usage_key(&self) -> UsageKey {
        UsageKey {
            organisation: self.head.organisation.clone(),
            job: self.head.job.clone().unwrap_or_default(),
            pool: self.pool.name.clone(),
        }
    }
}

impl Drop for Call {
    fn drop(&mut self) {
        if self.attempts.get() == 0 {
            return;
        }
        let key = self.usage_key();
        let (tokens, duration) = (self.tokens.get(), self.engine_time.get());
        self.shared.usage.record_call(&key, tokens, duration);
        self.shared.metrics.count_usage(&key, tokens, duration);
    }
}
