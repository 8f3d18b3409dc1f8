//! In-memory object API with injected faults.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, VecDeque},
    rc::Rc,
    time::Duration,
};

use deck_core::id::Revision;
use deck_plat::{
    Object, ObjectApi, ObjectPart, Precondition, ReadConsistency, Store, StoreError, Watch,
};
use futures_util::{FutureExt, StreamExt, future::LocalBoxFuture, stream};
use serde_json::Value;

/// Fault injected into calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The call fails at once and has no effect.
    Unavailable,
    /// A write takes effect but its response is lost; other calls fail without effect.
    ResponseLost,
    /// The response to a write is lost, and the write takes effect only when
    /// [`MemoryObjects::apply_delayed_writes`] is called, if its precondition holds then. Other
    /// calls fail without effect.
    DelayedWrite,
}

/// Key of an object in the map of all objects: its kind and its name.
type Key = (String, String);
/// Arguments of a write delayed by [`Fault::DelayedWrite`].
type DelayedWriteArguments = (Key, ObjectPart, Precondition, Value);

/// In-memory object API; clones share the objects and faults.
#[derive(Clone, Default)]
pub struct MemoryObjects {
    state: Rc<SharedState>,
}

#[derive(Default)]
struct SharedState {
    objects: RefCell<BTreeMap<Key, Object>>,
    /// Revision of the last write; 0 before the first one.
    revision: Cell<Revision>,
    /// Current fault and the number of further calls that it affects; `None` for all further calls.
    fault: Cell<Option<(Fault, Option<u32>)>>,
    /// Number of further calls that the fault leaves alone.
    calls_before_fault: Cell<u32>,
    /// Kind of the objects to which the fault is limited; `None` for all kinds.
    faulty_kind: RefCell<Option<String>>,
    /// Faults of the next writes, in order. Reads have none of them.
    write_faults: RefCell<VecDeque<Fault>>,
    /// Time until the response to a read of an object, after the call has taken effect.
    read_delay: Cell<Duration>,
    /// Time until the response to a write, after the call has taken effect.
    write_delay: Cell<Duration>,
    delayed_writes: RefCell<Vec<DelayedWriteArguments>>,
    call_count: Cell<u32>,
}

impl MemoryObjects {
    /// Returns a store client that uses this API.
    pub fn store(&self) -> Store {
        Store::with_api(Rc::new(self.clone()))
    }

    /// Injects `fault` into the next `calls` calls, or into all further calls if `calls` is `None`.
    /// `None` as the fault ends the current one.
    pub fn set_fault(&self, fault: Option<Fault>, calls: Option<u32>) {
        self.state.fault.set(fault.map(|fault| (fault, calls)));
        self.state.calls_before_fault.set(0);
        self.state.faulty_kind.replace(None);
    }

    /// Injects `fault` into the next `calls` calls for objects of one kind.
    pub fn set_fault_for_kind(&self, kind: &str, fault: Fault, calls: u32) {
        self.set_fault_after(0, kind, fault, calls);
    }

    /// Injects `fault` into `calls` calls for objects of one kind, after `calls_before` such calls
    /// without a fault.
    pub fn set_fault_after(&self, calls_before: u32, kind: &str, fault: Fault, calls: u32) {
        self.state.fault.set(Some((fault, Some(calls))));
        self.state.calls_before_fault.set(calls_before);
        self.state.faulty_kind.replace(Some(kind.to_owned()));
    }

    /// Injects the given faults into the next writes, one after the other.
    pub fn set_write_faults(&self, faults: impl IntoIterator<Item = Fault>) {
        self.state.write_faults.replace(faults.into_iter().collect());
    }

    /// Delays the responses to reads of an object.
    pub fn set_read_delay(&self, delay: Duration) {
        self.state.read_delay.set(delay);
    }

    /// Delays the responses to writes.
    pub fn set_write_delay(&self, delay: Duration) {
        self.state.write_delay.set(delay);
    }

    /// Applies the writes delayed by [`Fault::DelayedWrite`] and returns how many took effect.
    pub fn apply_delayed_writes(&self) -> usize {
        let delayed_writes = self.state.delayed_writes.take();
        let applied = delayed_writes.into_iter().filter(|(key, part, precondition, value)| {
            self.write(key.clone(), *part, *precondition, value).is_ok()
        });
        applied.count()
    }

    /// Returns the names of all objects of a kind.
    pub fn object_names(&self, kind: &str) -> Vec<String> {
        let objects = self.state.objects.borrow();
        objects.keys().filter(|key| key.0 == kind).map(|key| key.1.clone()).collect()
    }

    /// Returns the number of calls made through this value and its clones, including calls that a
    /// fault made fail.
    pub fn call_count(&self) -> u32 {
        self.state.call_count.get()
    }

    /// Counts a call for an object of `kind` and returns the fault that affects it.
    fn next_fault(&self, kind: &str) -> Option<Fault> {
        self.state.call_count.set(self.state.call_count.get() + 1);
        if self.state.faulty_kind.borrow().as_deref().is_some_and(|faulty| faulty != kind) {
            return None;
        }
        let (fault, remaining_calls) = self.state.fault.get()?;
        if let Some(calls_before_fault) = self.state.calls_before_fault.get().checked_sub(1) {
            self.state.calls_before_fault.set(calls_before_fault);
            return None;
        }
        match remaining_calls {
            Some(0) => return None,
            Some(remaining) => self.state.fault.set(Some((fault, Some(remaining - 1)))),
            None => {}
        }
        Some(fault)
    }

    /// Writes `part` of an object, its value or its status, if the precondition holds; returns the
    /// new revision.
    fn write(
        &self,
        key: Key,
        part: ObjectPart,
        precondition: Precondition,
        value: &Value,
    ) -> Result<Revision, StoreError> {
        let mut objects = self.state.objects.borrow_mut();
        let current = objects.get(&key).map(|object| object.revision);
        let precondition_holds = match precondition {
            Precondition::Absent => current.is_none(),
            Precondition::Revision(revision) => current == Some(revision),
        };
        if !precondition_holds {
            return Err(StoreError::Conflict(current));
        }
        let revision = self.state.revision.get() + 1;
        self.state.revision.set(revision);
        let (kind, name) = key.clone();
        let object = objects.entry(key).or_insert_with(|| Object {
            kind,
            name,
            revision,
            value: Value::Null,
            status: Value::Null,
        });
        object.revision = revision;
        match part {
            ObjectPart::Object => object.value = value.clone(),
            ObjectPart::Status => object.status = value.clone(),
        }
        Ok(revision)
    }
}

fn unavailable() -> StoreError {
    StoreError::Unavailable("down".to_owned())
}

fn response_lost() -> StoreError {
    StoreError::ResponseLost("lost".to_owned())
}

/// Returns a future that responds with `result` after `delay`.
fn respond_after<'a, T: 'a>(
    delay: Duration,
    result: Result<T, StoreError>,
) -> LocalBoxFuture<'a, Result<T, StoreError>> {
    async move {
        if !delay.is_zero() {
            monoio::time::sleep(delay).await;
        }
        result
    }
    .boxed_local()
}

impl ObjectApi for MemoryObjects {
    fn get<'a>(
        &'a self,
        kind: &'a str,
        name: &'a str,
        _consistency: ReadConsistency,
    ) -> LocalBoxFuture<'a, Result<Option<Object>, StoreError>> {
        let result = match self.next_fault(kind) {
            Some(_) => Err(unavailable()),
            None => {
                let key = (kind.to_owned(), name.to_owned());
                Ok(self.state.objects.borrow().get(&key).cloned())
            }
        };
        respond_after(self.state.read_delay.get(), result)
    }

    fn list<'a>(
        &'a self,
        kind: &'a str,
    ) -> LocalBoxFuture<'a, Result<(Revision, Vec<Object>), StoreError>> {
        let result = match self.next_fault(kind) {
            Some(_) => Err(unavailable()),
            None => {
                let objects = self.state.objects.borrow();
                let matching = objects.values().filter(|object| object.kind == kind).cloned();
                Ok((self.state.revision.get(), matching.collect()))
            }
        };
        async move { result }.boxed_local()
    }

    fn put<'a>(
        &'a self,
        kind: &'a str,
        name: &'a str,
        part: ObjectPart,
        precondition: Precondition,
        value: &'a Value,
    ) -> LocalBoxFuture<'a, Result<Revision, StoreError>> {
        let key = (kind.to_owned(), name.to_owned());
        let fault = self.next_fault(kind);
        let result = match self.state.write_faults.borrow_mut().pop_front().or(fault) {
            Some(Fault::Unavailable) => Err(unavailable()),
            Some(Fault::ResponseLost) => {
                let _ = self.write(key, part, precondition, value);
                Err(response_lost())
            }
            Some(Fault::DelayedWrite) => {
                self.state.delayed_writes.borrow_mut().push((
                    key,
                    part,
                    precondition,
                    value.clone(),
                ));
                Err(response_lost())
            }
            None => self.write(key, part, precondition, value),
        };
        respond_after(self.state.write_delay.get(), result)
    }

    fn delete<'a>(
        &'a self,
        kind: &'a str,
        name: &'a str,
        revision: Revision,
    ) -> LocalBoxFuture<'a, Result<(), StoreError>> {
        let key = (kind.to_owned(), name.to_owned());
        let result = match self.next_fault(kind) {
            Some(_) => Err(unavailable()),
            None => {
                let mut objects = self.state.objects.borrow_mut();
                match objects.get(&key).map(|object| object.revision) {
                    Some(current) if current != revision => {
                        Err(StoreError::Conflict(Some(current)))
                    }
                    _ => {
                        objects.remove(&key);
                        Ok(())
                    }
                }
            }
        };
        async move { result }.boxed_local()
    }

    /// Fails after a short wait as if the change history had been compacted, so that the caller
    /// lists the kind again.
    fn watch<'a>(
        &'a self,
        _kinds: &'a [&'a str],
        _from: Revision,
        _wait: Duration,
    ) -> LocalBoxFuture<'a, Result<Watch, StoreError>> {
        /// Time until the watch fails: callers then list the kind again.
        const WATCH_DURATION: Duration = Duration::from_millis(5);
        let compacted = async {
            monoio::time::sleep(WATCH_DURATION).await;
            Err(StoreError::Compacted)
        };
        async move { Ok(Watch::new(stream::once(compacted).boxed_local())) }.boxed_local()
    }
}
