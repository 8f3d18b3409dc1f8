//! Observation of the calls on the object API.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use deck_core::id::Revision;
use futures_util::{FutureExt, StreamExt, future::LocalBoxFuture};
use serde_json::Value;

use crate::store::{
    Freshness, Object, ObjectApi, Precondition, StoreError, Watch, WatchEvent, WriteTo,
};

/// One call on the object API that has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallRecord<'a> {
    /// What was called.
    pub operation: Operation,
    /// Kind of the objects.
    pub kind: &'a str,
    /// How the call ended.
    pub outcome: Outcome,
    /// Time that the call took.
    pub time: Duration,
}

/// What was called.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Operation {
    /// A read of the newest state of an object.
    Get,
    /// A read that may return an old state.
    GetOld,
    /// A list of all objects of a kind.
    List,
    /// A create.
    Create,
    /// A replacement.
    Replace,
    /// A deletion.
    Delete,
    /// A wait for the next changes of a watch.
    Watch,
}

impl Operation {
    /// Returns the name in metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Get => "get",
            Self::GetOld => "get_old",
            Self::List => "list",
            Self::Create => "create",
            Self::Replace => "replace",
            Self::Delete => "delete",
            Self::Watch => "watch",
        }
    }
}

/// How a call ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// It succeeded.
    Ok,
    /// Its condition did not hold.
    Conflict,
    /// The object API did not take it.
    Refused,
    /// Its response was lost: it may have taken effect.
    Lost,
    /// The response could not be read.
    Invalid,
}

impl Outcome {
    /// Returns the name in metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Ok => "ok",
            Self::Conflict => "conflict",
            Self::Refused => "refused",
            Self::Lost => "lost",
            Self::Invalid => "invalid",
        }
    }

    fn of<T>(result: &Result<T, StoreError>) -> Self {
        match result {
            Ok(_) => Self::Ok,
            Err(error) => Self::of_error(error),
        }
    }

    fn of_error(error: &StoreError) -> Self {
        match error {
            StoreError::Conflict(_) => Self::Conflict,
            StoreError::ResponseLost(_) => Self::Lost,
            StoreError::Decode(_) => Self::Invalid,
            _ => Self::Refused,
        }
    }
}

/// Told of each call that has ended.
pub type Observer = Rc<dyn Fn(CallRecord<'_>)>;

/// Object API that tells an observer of its calls, and of each wait of a watch that has ended.
pub struct MeteredApi {
    api: Rc<dyn ObjectApi>,
    observer: Observer,
}

impl MeteredApi {
    /// Returns an object API that makes its calls on `api`.
    pub fn new(api: Rc<dyn ObjectApi>, observer: Observer) -> Self {
        Self { api, observer }
    }

    async fn observe<T>(
        &self,
        operation: Operation,
        kind: &str,
        call: impl Future<Output = Result<T, StoreError>>,
    ) -> Result<T, StoreError> {
        let started = Instant::now();
        let result = call.await;
        let (outcome, time) = (Outcome::of(&result), started.elapsed());
        (self.observer)(CallRecord { operation, kind, outcome, time });
        result
    }
}

impl ObjectApi for MeteredApi {
    fn get<'a>(
        &'a self,
        kind: &'a str,
        name: &'a str,
        freshness: Freshness,
    ) -> LocalBoxFuture<'a, Result<Option<Object>, StoreError>> {
        let operation = match freshness {
            Freshness::MayBeOld => Operation::GetOld,
            _ => Operation::Get,
        };
        self.observe(operation, kind, self.api.get(kind, name, freshness)).boxed_local()
    }

    fn list<'a>(
        &'a self,
        kind: &'a str,
    ) -> LocalBoxFuture<'a, Result<(Revision, Vec<Object>), StoreError>> {
        self.observe(Operation::List, kind, self.api.list(kind)).boxed_local()
    }

    fn put<'a>(
        &'a self,
        kind: &'a str,
        name: &'a str,
        to: WriteTo,
        condition: Precondition,
        value: &'a Value,
    ) -> LocalBoxFuture<'a, Result<Revision, StoreError>> {
        let operation = match condition {
            Precondition::Absent => Operation::Create,
            Precondition::Revision(_) => Operation::Replace,
        };
        self.observe(operation, kind, self.api.put(kind, name, to, condition, value)).boxed_local()
    }

    fn delete<'a>(
        &'a self,
        kind: &'a str,
        name: &'a str,
        revision: Revision,
    ) -> LocalBoxFuture<'a, Result<(), StoreError>> {
        self.observe(Operation::Delete, kind, self.api.delete(kind, name, revision)).boxed_local()
    }

    fn watch<'a>(
        &'a self,
        kinds: &'a [&'a str],
        from: Revision,
        wait: Duration,
    ) -> LocalBoxFuture<'a, Result<Watch, StoreError>> {
        let observer = self.observer.clone();
        let watching = async move {
            let watch = self.api.watch(kinds, from, wait).await?;
            let kind = kinds.join(",");
            let mut asked_at = Instant::now();
            let events = watch.into_events().inspect(move |event| {
                let outcome = match event {
                    Ok(WatchEvent::Bookmark(_)) => Outcome::Ok,
                    Ok(_) => return,
                    Err(error) => Outcome::of_error(error),
                };
                let time = asked_at.elapsed();
                asked_at = Instant::now();
                observer(CallRecord { operation: Operation::Watch, kind: &kind, outcome, time });
            });
            Ok(Watch::new(events.boxed_local()))
        };
        watching.boxed_local()
    }
}
