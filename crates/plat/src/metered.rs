//! Instrumentation of calls to the object API.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use deck_core::id::Revision;
use futures_util::{FutureExt, StreamExt, future::LocalBoxFuture};
use serde_json::Value;

use crate::store::{
    Object, ObjectApi, ObjectPart, Precondition, ReadConsistency, StoreError, Watch, WatchEvent,
};

/// Completed call to the object API.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallRecord<'a> {
    /// Kind of call.
    pub operation: Operation,
    /// Kind of the objects; several kinds of a watch are joined with commas.
    pub kind: &'a str,
    /// Result of the call.
    pub outcome: Outcome,
    /// Duration of the call.
    pub duration: Duration,
}

/// Kind of call to the object API, as shown in metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Operation {
    /// Consistent read of an object.
    Get,
    /// Read of an object that may return an older revision.
    GetStale,
    /// List of all objects of a kind.
    List,
    /// Write that requires that the object does not exist.
    Create,
    /// Write that replaces a given revision.
    Replace,
    /// Deletion of an object.
    Delete,
    /// Wait of a watch for changes, until the next bookmark or error.
    Watch,
}

impl Operation {
    /// Returns the value of the metric label.
    pub fn label(self) -> &'static str {
        match self {
            Self::Get => "get",
            Self::GetStale => "get_old",
            Self::List => "list",
            Self::Create => "create",
            Self::Replace => "replace",
            Self::Delete => "delete",
            Self::Watch => "watch",
        }
    }
}

/// Result of a call to the object API, as shown in metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The call succeeded.
    Ok,
    /// The precondition of the write did not hold.
    Conflict,
    /// The object API rejected the call or was unavailable.
    Refused,
    /// The response was lost; a write may have taken effect.
    ResponseLost,
    /// The response could not be decoded.
    Invalid,
}

impl Outcome {
    /// Returns the value of the metric label.
    pub fn label(self) -> &'static str {
        match self {
            Self::Ok => "ok",
            Self::Conflict => "conflict",
            Self::Refused => "refused",
            Self::ResponseLost => "lost",
            Self::Invalid => "invalid",
        }
    }

    fn from_result<T>(result: &Result<T, StoreError>) -> Self {
        match result {
            Ok(_) => Self::Ok,
            Err(error) => Self::from_error(error),
        }
    }

    fn from_error(error: &StoreError) -> Self {
        match error {
            StoreError::Conflict(_) => Self::Conflict,
            StoreError::ResponseLost(_) => Self::ResponseLost,
            StoreError::Decode(_) => Self::Invalid,
            _ => Self::Refused,
        }
    }
}

/// Function that receives every completed call.
pub type CallObserver = Rc<dyn Fn(CallRecord<'_>)>;

/// Object API wrapper that reports each completed call and each wait of a watch to an observer.
pub struct MeteredApi {
    api: Rc<dyn ObjectApi>,
    observer: CallObserver,
}

impl MeteredApi {
    /// Returns a wrapper of `api` that reports its calls to `observer`.
    pub fn new(api: Rc<dyn ObjectApi>, observer: CallObserver) -> Self {
        Self { api, observer }
    }

    /// Awaits a call and reports it to the observer.
    async fn record_call<T>(
        &self,
        operation: Operation,
        kind: &str,
        pending_call: impl Future<Output = Result<T, StoreError>>,
    ) -> Result<T, StoreError> {
        let started = Instant::now();
        let result = pending_call.await;
        let (outcome, duration) = (Outcome::from_result(&result), started.elapsed());
        (self.observer)(CallRecord { operation, kind, outcome, duration });
        result
    }
}

impl ObjectApi for MeteredApi {
    fn get<'a>(
        &'a self,
        kind: &'a str,
        name: &'a str,
        consistency: ReadConsistency,
    ) -> LocalBoxFuture<'a, Result<Option<Object>, StoreError>> {
        let operation = match consistency {
            ReadConsistency::Stale => Operation::GetStale,
            _ => Operation::Get,
        };
        self.record_call(operation, kind, self.api.get(kind, name, consistency)).boxed_local()
    }

    fn list<'a>(
        &'a self,
        kind: &'a str,
    ) -> LocalBoxFuture<'a, Result<(Revision, Vec<Object>), StoreError>> {
        self.record_call(Operation::List, kind, self.api.list(kind)).boxed_local()
    }

    fn put<'a>(
        &'a self,
        kind: &'a str,
        name: &'a str,
        part: ObjectPart,
        condition: Precondition,
        value: &'a Value,
    ) -> LocalBoxFuture<'a, Result<Revision, StoreError>> {
        let operation = match condition {
            Precondition::Absent => Operation::Create,
            Precondition::Revision(_) => Operation::Replace,
        };
        self.record_call(operation, kind, self.api.put(kind, name, part, condition, value))
            .boxed_local()
    }

    fn delete<'a>(
        &'a self,
        kind: &'a str,
        name: &'a str,
        revision: Revision,
    ) -> LocalBoxFuture<'a, Result<(), StoreError>> {
        self.record_call(Operation::Delete, kind, self.api.delete(kind, name, revision))
            .boxed_local()
    }

    fn watch<'a>(
        &'a self,
        kinds: &'a [&'a str],
        from: Revision,
        wait: Duration,
    ) -> LocalBoxFuture<'a, Result<Watch, StoreError>> {
        let observer = self.observer.clone();
        let observed_watch = async move {
            let watch = self.api.watch(kinds, from, wait).await?;
            let kind = kinds.join(",");
            let mut wait_started = Instant::now();
            let events = watch.into_events().inspect(move |event| {
                let outcome = match event {
                    Ok(WatchEvent::Bookmark(_)) => Outcome::Ok,
                    Ok(_) => return,
                    Err(error) => Outcome::from_error(error),
                };
                let duration = wait_started.elapsed();
                wait_started = Instant::now();
                observer(CallRecord {
                    operation: Operation::Watch,
                    kind: &kind,
                    outcome,
                    duration,
                });
            });
            Ok(Watch::new(events.boxed_local()))
        };
        observed_watch.boxed_local()
    }
}
