//! Decides which clients lose their connection when the memory or the connections of the servers of
//! a process run short.
//!
//! Answers crowds of clients that send or read slowly, or stop half-way: those that have made the
//! least progress are closed first, and small requests keep a part of the memory.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

/// Id of a connection in a ledger.
pub type ConnectionId = u64;
/// Id of a server in a ledger.
pub type ServerId = u64;

/// Maximum size of what is held for a small request, which may use the reserved memory.
const SMALL_REQUEST_BYTES: usize = 64 * 1024;
/// Memory of a connection with a request besides what is held for it: its read buffer and its task.
const CONNECTION_BYTES: usize = 16 * 1024;
/// Number of bytes that count as progress: fewer bytes do not restart the time of a client.
const PROGRESS_BYTES: usize = 4096;
/// Time without progress after which a connection may be closed in favour of others.
const STALL_TIME: Duration = Duration::from_secs(1);

/// Limits of what the servers of a process hold for their clients together.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LedgerLimits {
    /// Maximum number of bytes of requests being received or handled, and of unread answers.
    pub capacity_bytes: usize,
    /// Part of `capacity_bytes` that is used only by requests of at most `SMALL_REQUEST_BYTES`.
    pub reserved_bytes: usize,
}

impl LedgerLimits {
    /// Returns limits without a bound.
    pub fn unlimited() -> Self {
        Self { capacity_bytes: usize::MAX, reserved_bytes: 0 }
    }
}

/// Time limits of clients.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClientTimeouts {
    /// Maximum time from the first byte of a request head to its end.
    pub head: Duration,
    /// Maximum time to receive the next `PROGRESS_BYTES` of a body, or its end.
    pub body: Duration,
    /// Maximum time to write the next `PROGRESS_BYTES` of an answer, or its end.
    pub answer: Duration,
}

impl Default for ClientTimeouts {
    fn default() -> Self {
        Self {
            head: Duration::from_secs(20),
            body: Duration::from_secs(30),
            answer: Duration::from_secs(60),
        }
    }
}

/// What a connection waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// The first byte of the next request.
    Idle,
    /// The rest of a request head.
    Head,
    /// The rest of a request body.
    Body,
    /// The handler of the request.
    Running,
    /// The client, which has to read a part of the answer.
    Answer,
}

/// Reason for closing a connection or refusing its request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum CloseReason {
    /// The memory is needed for other clients.
    Memory,
    /// The descriptor is needed for other clients.
    Descriptors,
    /// The client exceeded a time limit.
    Timeout,
}

/// Reason for which further bytes cannot be held for a connection.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HoldError {
    /// The memory is used up by connections that make progress.
    OutOfMemory,
    /// The memory is free once the connections that are closing are closed; these are the ones that
    /// were chosen just now.
    Wait(Vec<ConnectionId>),
}

#[derive(Debug)]
struct Connection {
    server: ServerId,
    phase: Phase,
    /// Time of the last progress: a change of the phase, or `PROGRESS_BYTES` moved.
    progress_at: Instant,
    /// Bytes moved since `progress_at`. Invariant: fewer than `PROGRESS_BYTES`.
    moved_bytes: usize,
    held_bytes: usize,
    /// Whether a request of the connection has been answered.
    has_been_answered: bool,
    /// Whether the connection was chosen to be closed.
    is_closing: bool,
}

/// Connections of the servers of a process and what is held for them.
#[derive(Debug)]
pub struct Ledger {
    limits: LedgerLimits,
    connections: HashMap<ConnectionId, Connection>,
    next_id: ConnectionId,
    /// Invariant: sum of `held_bytes` of all connections.
    held_bytes: usize,
    /// Invariant: sum of `held_bytes` of the connections that are closing.
    closing_bytes: usize,
    /// Invariant: number of connections whose phase is not `Idle`.
    busy_connections: usize,
}

impl Ledger {
    /// Creates a ledger without connections.
    pub fn new(limits: LedgerLimits) -> Self {
        Self {
            limits,
            connections: HashMap::new(),
            next_id: 0,
            held_bytes: 0,
            closing_bytes: 0,
            busy_connections: 0,
        }
    }

    /// Returns the number of bytes held for all connections.
    pub fn held_bytes(&self) -> usize {
        self.held_bytes
    }

    /// Returns the number of bytes held, with the buffers and tasks of the connections that hold them.
    fn used_bytes(&self) -> usize {
        self.held_bytes.saturating_add(self.busy_connections * CONNECTION_BYTES)
    }

    /// Returns the maximum number of bytes that a request can hold.
    pub fn max_request_bytes(&self) -> usize {
        self.limits.capacity_bytes.saturating_sub(self.limits.reserved_bytes)
    }

    /// Adds a connection.
    pub fn open(&mut self, server: ServerId, now: Instant) -> ConnectionId {
        let id = self.next_id;
        self.next_id += 1;
        let connection = Connection {
            server,
            phase: Phase::Idle,
            progress_at: now,
            moved_bytes: 0,
            held_bytes: 0,
            has_been_answered: false,
            is_closing: false,
        };
        self.connections.insert(id, connection);
        id
    }

    /// Removes a connection and what is held for it.
    pub fn close(&mut self, id: ConnectionId) {
        self.release(id, usize::MAX);
        let removed = self.connections.remove(&id);
        let was_busy = removed.is_some_and(|connection| connection.phase != Phase::Idle);
        self.busy_connections -= usize::from(was_busy);
    }

    /// Returns what a connection waits for; `None` if it is not open.
    pub fn phase(&self, id: ConnectionId) -> Option<Phase> {
        self.connections.get(&id).map(|connection| connection.phase)
    }

    /// Changes what a connection waits for. When it becomes idle, nothing more is held for it.
    pub fn set_phase(&mut self, id: ConnectionId, phase: Phase, now: Instant) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        self.busy_connections -= usize::from(connection.phase != Phase::Idle);
        self.busy_connections += usize::from(phase != Phase::Idle);
        connection.phase = phase;
        connection.progress_at = now;
        connection.moved_bytes = 0;
        if phase == Phase::Idle {
            connection.has_been_answered = true;
            self.release(id, usize::MAX);
        }
    }

    /// Records bytes of a body received or of an answer written.
    pub fn record_moved(&mut self, id: ConnectionId, bytes: usize, now: Instant) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        connection.moved_bytes += bytes;
        if connection.moved_bytes >= PROGRESS_BYTES {
            connection.moved_bytes = 0;
            connection.progress_at = now;
        }
    }

    /// Holds further bytes for a connection.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes do not fit, and whether to wait for connections to be closed.
    pub fn hold(&mut self, id: ConnectionId, bytes: usize, now: Instant) -> Result<(), HoldError> {
        let Some(connection) = self.connections.get(&id) else {
            return Err(HoldError::OutOfMemory);
        };
        if connection.is_closing {
            return Err(HoldError::OutOfMemory);
        }
        let is_small = connection.held_bytes.saturating_add(bytes) <= SMALL_REQUEST_BYTES;
        let max_held_bytes =
            if is_small { self.limits.capacity_bytes } else { self.max_request_bytes() };
        let victims =
            self.stalled_holders(id, bytes, max_held_bytes, now).ok_or(HoldError::OutOfMemory)?;
        victims.iter().for_each(|&victim| self.mark_closing(victim));
        if self.used_bytes().saturating_add(bytes) > max_held_bytes {
            return Err(HoldError::Wait(victims));
        }
        self.add_held(id, bytes);
        Ok(())
    }

    /// Holds bytes that are in memory already, also above the capacity; returns the connections to
    /// close for them.
    pub fn hold_existing(
        &mut self,
        id: ConnectionId,
        bytes: usize,
        now: Instant,
    ) -> Vec<ConnectionId> {
        let Err(error) = self.hold(id, bytes, now) else { return Vec::new() };
        self.add_held(id, bytes);
        match error {
            HoldError::Wait(victims) => victims,
            HoldError::OutOfMemory => Vec::new(),
        }
    }

    /// Holds `bytes` fewer for a connection.
    pub fn release(&mut self, id: ConnectionId, bytes: usize) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let released_bytes = bytes.min(connection.held_bytes);
        connection.held_bytes -= released_bytes;
        self.held_bytes -= released_bytes;
        if connection.is_closing {
            self.closing_bytes -= released_bytes;
        }
    }

    /// Chooses the connection of a server that is closed in favour of a new one: a stalled one, or
    /// else an idle one, or else one that waits for its client; each time the one without progress
    /// for the longest time. `None` if all wait for their handlers.
    pub fn choose_least_progress(
        &mut self,
        server: ServerId,
        now: Instant,
    ) -> Option<ConnectionId> {
        let rank = |connection: &Connection| {
            let is_stalled = now.saturating_duration_since(connection.progress_at) >= STALL_TIME;
            let is_between_requests =
                connection.phase == Phase::Idle && connection.has_been_answered;
            match (is_between_requests, is_stalled) {
                (false, true) => 0,
                (true, true) => 1,
                (_, false) => 2,
            }
        };
        let candidates = self.connections.iter().filter(|(_, connection)| {
            connection.server == server
                && !connection.is_closing
                && connection.phase != Phase::Running
        });
        let (&id, _) = candidates
            .min_by_key(|(id, connection)| (rank(connection), connection.progress_at, **id))?;
        self.mark_closing(id);
        Some(id)
    }

    /// Chooses the connections of a server whose clients have exceeded a time limit.
    pub fn choose_expired(
        &mut self,
        server: ServerId,
        timeouts: &ClientTimeouts,
        now: Instant,
    ) -> Vec<ConnectionId> {
        let is_expired = |connection: &Connection| {
            let timeout = match connection.phase {
                Phase::Idle | Phase::Running => return false,
                Phase::Head => timeouts.head,
                Phase::Body => timeouts.body,
                Phase::Answer => timeouts.answer,
            };
            connection.server == server
                && !connection.is_closing
                && now.saturating_duration_since(connection.progress_at) >= timeout
        };
        let expired = self.connections.iter().filter(|(_, connection)| is_expired(connection));
        let expired: Vec<ConnectionId> = expired.map(|(&id, _)| id).collect();
        expired.iter().for_each(|&id| self.mark_closing(id));
        expired
    }

    /// Returns the stalled connections, the largest first, without which `bytes` more fit into
    /// `max_held_bytes`; `None` if they do not suffice.
    fn stalled_holders(
        &self,
        id: ConnectionId,
        bytes: usize,
        max_held_bytes: usize,
        now: Instant,
    ) -> Option<Vec<ConnectionId>> {
        let needed_bytes = (self.used_bytes() - self.closing_bytes).saturating_add(bytes);
        let mut missing_bytes = needed_bytes.saturating_sub(max_held_bytes);
        if missing_bytes == 0 {
            return Some(Vec::new());
        }
        let is_stalled = |connection: &Connection| {
            !connection.is_closing
                && connection.held_bytes > 0
                && connection.phase != Phase::Running
                && now.saturating_duration_since(connection.progress_at) >= STALL_TIME
        };
        let others = self.connections.iter().filter(|(other, _)| **other != id);
        let mut stalled: Vec<_> = others
            .filter(|(_, connection)| is_stalled(connection))
            .map(|(&id, connection)| (connection.held_bytes, id))
            .collect();
        stalled.sort_unstable();
        let mut chosen = Vec::new();
        while missing_bytes > 0 {
            let (held_bytes, victim) = stalled.pop()?;
            missing_bytes = missing_bytes.saturating_sub(held_bytes);
            chosen.push(victim);
        }
        Some(chosen)
    }

    fn add_held(&mut self, id: ConnectionId, bytes: usize) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        connection.held_bytes += bytes;
        self.held_bytes += bytes;
        if connection.is_closing {
            self.closing_bytes += bytes;
        }
    }

    fn mark_closing(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        if !connection.is_closing {
            connection.is_closing = true;
            self.closing_bytes += connection.held_bytes;
        }
    }
}
