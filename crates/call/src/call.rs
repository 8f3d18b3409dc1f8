//! One admitted call and what it has used so far.

use std::{
    cell::Cell,
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use deck_core::error::{CallError, ErrorKind, RunState};
use deck_limit::crash::{Fingerprint, fingerprint};

use crate::{body::HeldBody, head::CallHead, pools::PoolInfo, shared::Shared, usage::UsageKey};

/// One call. Its usage is counted once, when it is dropped.
pub(crate) struct Call {
    pub(crate) head: CallHead,
    pub(crate) pool: Rc<PoolInfo>,
    /// Path and query at the target.
    pub(crate) path: String,
    pub(crate) fingerprint: Fingerprint,
    pub(crate) started: Instant,
    /// Tokens that the call is expected to generate; 1 for plain services.
    pub(crate) expected_tokens: u64,
    /// Affinity value of the prompt.
    pub(crate) affinity: Option<u64>,
    body: HeldBody,
    shared: Rc<Shared>,
    engine_time: Cell<Duration>,
    tokens: Cell<u64>,
    /// Whether a byte may have left for a target that did not then refuse the call.
    may_have_run: Cell<bool>,
    tries: Cell<u32>,
    got_first_byte: Cell<bool>,
}

impl Call {
    pub(crate) fn new(
        shared: Rc<Shared>,
        head: CallHead,
        pool: Rc<PoolInfo>,
        path: String,
        body: HeldBody,
        started: Instant,
    ) -> Self {
        let fingerprint = fingerprint(&pool.name, head.method.as_str(), &path, &body.bytes);
        Self {
            head,
            pool,
            path,
            fingerprint,
            started,
            expected_tokens: 1,
            affinity: None,
            body,
            shared,
            engine_time: Cell::default(),
            tokens: Cell::default(),
            may_have_run: Cell::default(),
            tries: Cell::default(),
            got_first_byte: Cell::default(),
        }
    }

    pub(crate) fn body(&self) -> Bytes {
        self.body.bytes.clone()
    }

    /// Counts a try that starts and returns its number, from 1.
    pub(crate) fn count_try(&self) -> u32 {
        self.tries.set(self.tries.get() + 1);
        self.tries.get()
    }

    pub(crate) fn add_engine_time(&self, time: Duration) {
        self.engine_time.set(self.engine_time.get() + time);
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

    /// Records the time to the first byte of the first answer.
    pub(crate) fn first_byte(&self) {
        if !self.got_first_byte.replace(true) {
            let priority = self.head.priority.as_str();
            self.shared.metrics.first_byte(&self.pool.name, priority, self.started.elapsed());
        }
    }

    /// Returns `error`, or an error that says `unknown` in its place if the call may have run.
    pub(crate) fn truthful(&self, error: CallError) -> CallError {
        if !self.may_have_run() || error.kind.row().run != RunState::NotRun {
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
        if self.tries.get() == 0 {
            return;
        }
        let key = self.usage_key();
        let (tokens, time) = (self.tokens.get(), self.engine_time.get());
        self.shared.usage.count(&key, tokens, time);
        self.shared.metrics.used(&key, tokens, time);
    }
}
