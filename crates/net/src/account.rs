//! Account of the connections of the servers of a process: applies the decisions of the
//! [`Ledger`](crate::ledger::Ledger).

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    future::Future,
    pin::Pin,
    rc::{Rc, Weak},
    task::{Context, Poll},
    time::Instant,
};

use bytes::Bytes;
use deck_core::CancellationToken;
use http_body::{Frame, SizeHint};
use tokio::sync::Notify;

use crate::{
    Body, NetError,
    body::BodyAborted,
    json_size::decoded_json_bytes,
    ledger::{
        ClientTimeouts, CloseReason, ConnectionId, HoldError, Ledger, LedgerLimits, Phase, ServerId,
    },
};

thread_local! {
    /// Connection whose task is being polled.
    static CURRENT: RefCell<Option<Rc<TrackedConnection>>> = const { RefCell::new(None) };
}

/// Account that the servers of a process share; clones share its state.
#[derive(Clone)]
pub struct Account {
    inner: Rc<AccountInner>,
}

struct AccountInner {
    ledger: RefCell<Ledger>,
    /// Invariant: holds the connections of `ledger`.
    connections: RefCell<HashMap<ConnectionId, Weak<TrackedConnection>>>,
    /// Notified each time all that was held for a connection is released.
    released: Notify,
    next_server: Cell<ServerId>,
    totals: Cell<AccountTotals>,
    /// Value of `totals` when it was last logged.
    logged_totals: Cell<AccountTotals>,
}

/// Numbers of clients that were refused or closed since the start of the process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AccountTotals {
    /// Requests refused, as no memory was left for their bodies.
    pub refused_bodies: u64,
    /// Connections closed as their memory was needed.
    pub closed_for_memory: u64,
    /// Connections closed as their descriptors were needed.
    pub closed_for_descriptors: u64,
    /// Connections closed as their clients exceeded a time limit.
    pub closed_for_timeout: u64,
}

impl std::fmt::Debug for Account {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Account").field("totals", &self.inner.totals.get()).finish_non_exhaustive()
    }
}

impl Default for Account {
    fn default() -> Self {
        Self::new(LedgerLimits::unlimited())
    }
}

impl Account {
    /// Creates an account without connections.
    pub fn new(limits: LedgerLimits) -> Self {
        let inner = AccountInner {
            ledger: RefCell::new(Ledger::new(limits)),
            connections: RefCell::default(),
            released: Notify::new(),
            next_server: Cell::new(0),
            totals: Cell::default(),
            logged_totals: Cell::default(),
        };
        Self { inner: Rc::new(inner) }
    }

    /// Returns how many clients were refused or closed.
    pub fn totals(&self) -> AccountTotals {
        self.inner.totals.get()
    }

    /// Returns the number of bytes held for all connections.
    pub fn held_bytes(&self) -> usize {
        self.inner.ledger.borrow().held_bytes()
    }

    /// Returns the number of open connections of all servers.
    pub fn open_connections(&self) -> usize {
        self.inner.connections.borrow().len()
    }

    /// Returns an id for a server that uses the account.
    pub(crate) fn register_server(&self) -> ServerId {
        self.inner.next_server.replace(self.inner.next_server.get() + 1)
    }

    /// Adds a connection of a server.
    pub(crate) fn open(&self, server: ServerId) -> Rc<TrackedConnection> {
        let connection = Rc::new(TrackedConnection {
            account: self.clone(),
            id: self.inner.ledger.borrow_mut().open(server, Instant::now()),
            closing: CancellationToken::new(),
            close_reason: Cell::new(None),
            unwritten_bytes: Cell::new(0),
            is_answer_complete: Cell::new(true),
            is_discarding: Cell::new(false),
        });
        let weak = Rc::downgrade(&connection);
        self.inner.connections.borrow_mut().insert(connection.id, weak);
        connection
    }

    /// Closes the connection of a server that has made the least progress; returns whether there is
    /// one.
    pub(crate) fn close_least_progress(&self, server: ServerId) -> bool {
        let chosen = self.inner.ledger.borrow_mut().choose_least_progress(server, Instant::now());
        self.close_all(chosen.as_slice(), CloseReason::Descriptors);
        chosen.is_some()
    }

    /// Closes the connections of a server whose clients have exceeded a time limit, and logs what
    /// was closed since the last call.
    pub(crate) fn close_expired(&self, server: ServerId, timeouts: &ClientTimeouts) {
        let expired =
            self.inner.ledger.borrow_mut().choose_expired(server, timeouts, Instant::now());
        self.close_all(&expired, CloseReason::Timeout);
        let totals = self.totals();
        let logged = self.inner.logged_totals.replace(totals);
        if logged != totals {
            log::warn!(
                target: "net",
                "clients refused or closed memory={} descriptors={} timeout={} refused_bodies={} held_bytes={}",
                totals.closed_for_memory - logged.closed_for_memory,
                totals.closed_for_descriptors - logged.closed_for_descriptors,
                totals.closed_for_timeout - logged.closed_for_timeout,
                totals.refused_bodies - logged.refused_bodies,
                self.held_bytes(),
            );
        }
    }

    fn close_all(&self, chosen: &[ConnectionId], reason: CloseReason) {
        for id in chosen {
            let connection = self.inner.connections.borrow().get(id).and_then(Weak::upgrade);
            let Some(connection) = connection else { continue };
            self.count(|totals| match reason {
                CloseReason::Memory => totals.closed_for_memory += 1,
                CloseReason::Descriptors => totals.closed_for_descriptors += 1,
                CloseReason::Timeout => totals.closed_for_timeout += 1,
            });
            connection.close_reason.set(Some(reason));
            connection.closing.cancel();
        }
    }

    fn count(&self, change: impl FnOnce(&mut AccountTotals)) {
        let mut totals = self.inner.totals.get();
        change(&mut totals);
        self.inner.totals.set(totals);
    }
}

/// Open connection of an account; it is removed when it is dropped.
pub(crate) struct TrackedConnection {
    account: Account,
    id: ConnectionId,
    /// Cancelled when the connection has to be closed.
    pub(crate) closing: CancellationToken,
    /// Set before `closing` is cancelled.
    close_reason: Cell<Option<CloseReason>>,
    /// Bytes of the answer's body that are not written yet.
    unwritten_bytes: Cell<usize>,
    /// Whether the whole body of the answer has been passed on to be written.
    is_answer_complete: Cell<bool>,
    /// Whether the rest of a refused body is received, which is not held.
    is_discarding: Cell<bool>,
}

/// Guard of [`TrackedConnection::start_discarding`].
pub(crate) struct Discarding(Rc<TrackedConnection>);

impl Drop for Discarding {
    fn drop(&mut self) {
        self.0.is_discarding.set(false);
    }
}

impl Drop for TrackedConnection {
    fn drop(&mut self) {
        self.account.inner.ledger.borrow_mut().close(self.id);
        self.account.inner.connections.borrow_mut().remove(&self.id);
        self.account.inner.released.notify_waiters();
    }
}

impl TrackedConnection {
    /// Returns the connection whose task is being polled; `None` outside of a server.
    pub(crate) fn current() -> Option<Rc<Self>> {
        CURRENT.with_borrow(Clone::clone)
    }

    /// Makes this the current connection while `future` is polled.
    pub(crate) fn scope<F: Future>(self: Rc<Self>, future: F) -> ConnectionScope<F> {
        ConnectionScope { connection: self, future: Box::pin(future) }
    }

    /// Returns whether the rest of a request body is awaited.
    pub(crate) fn is_receiving_body(&self) -> bool {
        self.ledger().phase(self.id) == Some(Phase::Body)
    }

    /// Returns whether the head of a request is complete and its answer is not.
    pub(crate) fn is_in_request(&self) -> bool {
        let phase = self.ledger().phase(self.id);
        matches!(phase, Some(Phase::Body | Phase::Running | Phase::Answer))
    }

    /// Starts a request: its head is complete.
    pub(crate) fn start_request(&self) {
        self.set_phase(Phase::Running);
        self.is_answer_complete.set(false);
    }

    /// Starts to receive the rest of a refused body, until the guard is dropped.
    pub(crate) fn start_discarding(self: &Rc<Self>) -> Discarding {
        self.is_discarding.set(true);
        Discarding(self.clone())
    }

    /// Records bytes read from the client. Those of bodies are held by [`Self::hold_body`].
    pub(crate) fn record_received(&self, bytes: usize) {
        let phase = self.ledger().phase(self.id);
        let is_head = !self.is_discarding.get();
        if bytes > 0 && is_head && matches!(phase, Some(Phase::Idle | Phase::Head)) {
            if phase == Some(Phase::Idle) {
                self.set_phase(Phase::Head);
            }
            self.hold_existing(bytes);
        }
    }

    /// Records bytes written to the client.
    pub(crate) fn record_written(&self, bytes: usize) {
        let unwritten_bytes = self.unwritten_bytes.get();
        if unwritten_bytes == 0 {
            return;
        }
        let written_bytes = bytes.min(unwritten_bytes);
        self.unwritten_bytes.set(unwritten_bytes - written_bytes);
        self.ledger().release(self.id, written_bytes);
        self.ledger().record_moved(self.id, bytes, Instant::now());
        if written_bytes == unwritten_bytes {
            self.end_write();
        }
    }

    /// Holds a received part of a body.
    ///
    /// # Errors
    ///
    /// Returns an error if no memory is left for it.
    pub(crate) async fn hold_body(&self, bytes: usize) -> Result<(), NetError> {
        self.ledger().record_moved(self.id, bytes, Instant::now());
        loop {
            let released = self.account.inner.released.notified();
            match self.try_hold(bytes) {
                Ok(()) => return Ok(()),
                // The runtime fires no timers while a task is ready to run, so that a task that only
                // yields would wait forever for a connection that closes by a timeout.
                Err(HoldError::Wait(_)) => released.await,
                Err(HoldError::OutOfMemory) => {
                    self.account.count(|totals| totals.refused_bodies += 1);
                    return Err(NetError::OutOfMemory);
                }
            }
        }
    }

    fn try_hold(&self, bytes: usize) -> Result<(), HoldError> {
        let held = self.ledger().hold(self.id, bytes, Instant::now());
        if let Err(HoldError::Wait(victims)) = &held {
            self.account.close_all(victims, CloseReason::Memory);
        }
        held
    }

    /// Holds the memory that the request takes in decoded form.
    fn hold_decoded(&self, bytes: usize) -> Result<(), NetError> {
        if bytes > self.ledger().max_request_bytes() {
            self.account.count(|totals| totals.refused_bodies += 1);
            return Err(NetError::DecodedTooLarge(bytes));
        }
        self.try_hold(bytes).map_err(|_| {
            self.account.count(|totals| totals.refused_bodies += 1);
            NetError::OutOfMemory
        })
    }

    /// Releases what is held for the request, which is not kept.
    pub(crate) fn release_request(&self) {
        self.ledger().release(self.id, usize::MAX);
        self.account.inner.released.notify_waiters();
    }

    /// Returns the error of a request whose connection is closed while its body is received.
    pub(crate) fn closed_error(&self) -> NetError {
        match self.close_reason.get() {
            Some(CloseReason::Timeout) => NetError::BodyTimeout,
            _ => NetError::OutOfMemory,
        }
    }

    pub(crate) fn set_phase(&self, phase: Phase) {
        self.ledger().set_phase(self.id, phase, Instant::now());
        if phase == Phase::Idle {
            self.account.inner.released.notify_waiters();
        }
    }

    fn ledger(&self) -> std::cell::RefMut<'_, Ledger> {
        self.account.inner.ledger.borrow_mut()
    }

    fn hold_existing(&self, bytes: usize) {
        let victims = self.ledger().hold_existing(self.id, bytes, Instant::now());
        self.account.close_all(&victims, CloseReason::Memory);
    }

    fn add_answer(&self, bytes: usize) {
        if self.unwritten_bytes.get() == 0 {
            self.set_phase(Phase::Answer);
        }
        self.unwritten_bytes.set(self.unwritten_bytes.get() + bytes);
        self.hold_existing(bytes);
    }

    fn complete_answer(&self) {
        self.is_answer_complete.set(true);
        if self.unwritten_bytes.get() == 0 {
            self.end_write();
        }
    }

    /// Called when all bytes of the answer that exist so far have been written.
    fn end_write(&self) {
        let is_complete = self.is_answer_complete.get();
        self.set_phase(if is_complete { Phase::Idle } else { Phase::Running });
    }
}

/// Holds the memory that the JSON body of the current request takes when it is decoded, until the
/// request has been answered.
///
/// # Errors
///
/// Returns an error if no memory is left for it.
pub fn hold_decoded_json(body: &[u8]) -> Result<(), NetError> {
    match TrackedConnection::current() {
        Some(connection) => connection.hold_decoded(decoded_json_bytes(body)),
        None => Ok(()),
    }
}

/// Future of [`TrackedConnection::scope`].
pub(crate) struct ConnectionScope<F> {
    connection: Rc<TrackedConnection>,
    future: Pin<Box<F>>,
}

impl<F: Future> Future for ConnectionScope<F> {
    type Output = F::Output;

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<F::Output> {
        let outer = CURRENT.replace(Some(self.connection.clone()));
        let output = self.future.as_mut().poll(cx);
        CURRENT.set(outer);
        output
    }
}

/// Body of an answer whose unwritten bytes are held for the connection.
pub(crate) struct TrackedBody {
    body: Body,
    connection: Rc<TrackedConnection>,
}

impl TrackedBody {
    pub(crate) fn new(body: Body, connection: Rc<TrackedConnection>) -> Self {
        Self { body, connection }
    }
}

impl Drop for TrackedBody {
    fn drop(&mut self) {
        self.connection.complete_answer();
    }
}

impl http_body::Body for TrackedBody {
    type Data = Bytes;
    type Error = BodyAborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyAborted>>> {
        let frame = Pin::new(&mut self.body).poll_frame(cx);
        if let Poll::Ready(Some(Ok(frame))) = &frame
            && let Some(data) = frame.data_ref()
        {
            self.connection.add_answer(data.len());
        }
        frame
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
