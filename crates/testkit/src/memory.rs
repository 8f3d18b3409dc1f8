//! Object API in memory, with faults that a test sets.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
    time::Duration,
};

use deck_core::id::Revision;
use deck_plat::{
    Object, ObjectApi, ObjectPart, Precondition, ReadConsistency, Store, StoreError, Watch,
};
use futures_util::{FutureExt, StreamExt, future::LocalBoxFuture, stream};
use serde_json::Value;

/// What happens to the next calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The call has no effect and fails at once.
    Down,
    /// The call takes effect and its response is lost.
    ResponseLost,
    /// The call has no effect now; it takes effect when [`MemoryObjects::apply_late`] is called, if
    /// its condition still holds. Its response is lost.
    Late,
}

type Key = (String, String);
type LateWrite = (Key, ObjectPart, Precondition, Value);

/// Object API in memory; clones share its objects.
#[derive(Clone, Default)]
pub struct MemoryObjects {
    inner: Rc<Inner>,
}

#[derive(Default)]
struct Inner {
    objects: RefCell<BTreeMap<Key, Object>>,
    revision: Cell<Revision>,
    /// Fault of all calls, and the number of calls that it is for; none for all calls.
    fault: Cell<Option<(Fault, Option<u32>)>>,
    /// Kind of the calls that have the fault; none for all kinds.
    faulty_kind: RefCell<Option<String>>,
    late: RefCell<Vec<LateWrite>>,
    calls: Cell<u32>,
}

impl MemoryObjects {
    /// Returns a client of these objects.
    pub fn store(&self) -> Store {
        Store::with_api(Rc::new(self.clone()))
    }

    /// Sets a fault for the next `calls` calls, or for all calls from now on.
    pub fn set_fault(&self, fault: Option<Fault>, calls: Option<u32>) {
        self.inner.fault.set(fault.map(|fault| (fault, calls)));
        self.inner.faulty_kind.replace(None);
    }

    /// Sets a fault for the next `calls` calls on objects of one kind.
    pub fn set_fault_of_kind(&self, kind: &str, fault: Fault, calls: u32) {
        self.inner.fault.set(Some((fault, Some(calls))));
        self.inner.faulty_kind.replace(Some(kind.to_owned()));
    }

    /// Carries out the writes that a fault has held back, and returns how many took effect.
    pub fn apply_late(&self) -> usize {
        let late = self.inner.late.take();
        let applied = late.into_iter().filter(|(key, to, condition, value)| {
            self.write(key.clone(), *to, *condition, value).is_ok()
        });
        applied.count()
    }

    /// Returns the names of the objects of a kind.
    pub fn names(&self, kind: &str) -> Vec<String> {
        let objects = self.inner.objects.borrow();
        objects.keys().filter(|key| key.0 == kind).map(|key| key.1.clone()).collect()
    }

    /// Returns the number of calls so far.
    pub fn calls(&self) -> u32 {
        self.inner.calls.get()
    }

    /// Returns the fault of this call.
    fn next_fault(&self, kind: &str) -> Option<Fault> {
        self.inner.calls.set(self.inner.calls.get() + 1);
        if self.inner.faulty_kind.borrow().as_deref().is_some_and(|faulty| faulty != kind) {
            return None;
        }
        let (fault, left) = self.inner.fault.get()?;
        match left {
            Some(0) => return None,
            Some(left) => self.inner.fault.set(Some((fault, Some(left - 1)))),
            None => {}
        }
        Some(fault)
    }

    fn write(
        &self,
        key: Key,
        to: ObjectPart,
        condition: Precondition,
        value: &Value,
    ) -> Result<Revision, StoreError> {
        let mut objects = self.inner.objects.borrow_mut();
        let current = objects.get(&key).map(|object| object.revision);
        let holds = match condition {
            Precondition::Absent => current.is_none(),
            Precondition::Revision(revision) => current == Some(revision),
        };
        if !holds {
            return Err(StoreError::Conflict(current));
        }
        let revision = self.inner.revision.get() + 1;
        self.inner.revision.set(revision);
        let (kind, name) = key.clone();
        let object = objects.entry(key).or_insert_with(|| Object {
            kind,
            name,
            revision,
            value: Value::Null,
            status: Value::Null,
        });
        object.revision = revision;
        match to {
            ObjectPart::Object => object.value = value.clone(),
            ObjectPart::Status => object.status = value.clone(),
        }
        Ok(revision)
    }
}

fn down() -> StoreError {
    StoreError::Unavailable("down".to_owned())
}

fn lost() -> StoreError {
    StoreError::ResponseLost("lost".to_owned())
}

impl ObjectApi for MemoryObjects {
    fn get<'a>(
        &'a self,
        kind: &'a str,
        name: &'a str,
        _freshness: ReadConsistency,
    ) -> LocalBoxFuture<'a, Result<Option<Object>, StoreError>> {
        let result = match self.next_fault(kind) {
            Some(_) => Err(down()),
            None => {
                let key = (kind.to_owned(), name.to_owned());
                Ok(self.inner.objects.borrow().get(&key).cloned())
            }
        };
        async move { result }.boxed_local()
    }

    fn list<'a>(
        &'a self,
        kind: &'a str,
    ) -> LocalBoxFuture<'a, Result<(Revision, Vec<Object>), StoreError>> {
        let result = match self.next_fault(kind) {
            Some(_) => Err(down()),
            None => {
                let objects = self.inner.objects.borrow();
                let listed = objects.values().filter(|object| object.kind == kind).cloned();
                Ok((self.inner.revision.get(), listed.collect()))
            }
        };
        async move { result }.boxed_local()
    }

    fn put<'a>(
        &'a self,
        kind: &'a str,
        name: &'a str,
        to: ObjectPart,
        condition: Precondition,
        value: &'a Value,
    ) -> LocalBoxFuture<'a, Result<Revision, StoreError>> {
        let key = (kind.to_owned(), name.to_owned());
        let result = match self.next_fault(kind) {
            Some(Fault::Down) => Err(down()),
            Some(Fault::ResponseLost) => {
                let _ = self.write(key, to, condition, value);
                Err(lost())
            }
            Some(Fault::Late) => {
                self.inner.late.borrow_mut().push((key, to, condition, value.clone()));
                Err(lost())
            }
            None => self.write(key, to, condition, value),
        };
        async move { result }.boxed_local()
    }

    fn delete<'a>(
        &'a self,
        kind: &'a str,
        name: &'a str,
        revision: Revision,
    ) -> LocalBoxFuture<'a, Result<(), StoreError>> {
        let key = (kind.to_owned(), name.to_owned());
        let result = match self.next_fault(kind) {
            Some(_) => Err(down()),
            None => {
                let mut objects = self.inner.objects.borrow_mut();
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

    /// Ends after the wait as if the history were gone, so that its user lists the kind again.
    fn watch<'a>(
        &'a self,
        _kinds: &'a [&'a str],
        _from: Revision,
        _wait: Duration,
    ) -> LocalBoxFuture<'a, Result<Watch, StoreError>> {
        /// Time between two lists.
        const PAUSE: Duration = Duration::from_millis(5);
        let ended = async {
            monoio::time::sleep(PAUSE).await;
            Err(StoreError::Compacted)
        };
        async move { Ok(Watch::new(stream::once(ended).boxed_local())) }.boxed_local()
    }
}
