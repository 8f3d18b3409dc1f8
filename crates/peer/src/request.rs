//! Direct connections to any VM, for requests and probes.
//!
//! Requests do not use the links, so that large requests do not delay the other messages.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use deck_core::{CancellationToken, id::VmId};
use serde_bytes::ByteBuf;
use tokio::sync::{mpsc, oneshot};

use crate::{
    PeerError, Topic,
    connection::{self, Connection, MessageReceiver, MessageSender},
    peer::SharedState,
    probe,
    wire::{ConnectionPurpose, Message, Request, RequestOutcome, Response},
};

/// Maximum number of messages queued for sending on a direct connection.
const MAX_QUEUED_MESSAGES: usize = 1024;
/// Upper bound of the size that encoding adds to the body of a request or response.
const MESSAGE_OVERHEAD_BYTES: usize = 256;

/// A direct connection that this VM opened. Requests go only in this direction: the other VM opens
/// a connection of its own for its requests.
pub(crate) struct DirectConnection {
    /// Encoded messages that have not been written to the connection yet.
    send_queue: mpsc::Sender<Bytes>,
    /// Requests that await a response, by request id.
    pending_responses: RefCell<HashMap<u64, oneshot::Sender<RequestOutcome>>>,
    /// Time of the last call of [`Self::send`].
    last_used: Cell<Instant>,
    /// Cancelled when the connection has ended.
    pub(crate) closed: CancellationToken,
}

impl DirectConnection {
    /// Queues a message for sending; returns false if the connection is closed or its queue full.
    pub(crate) fn send(&self, shared: &SharedState, message: &Message) -> bool {
        self.last_used.set(Instant::now());
        let Ok(bytes) = message.encode() else { return false };
        let size_bytes = bytes.len();
        let is_queued = !self.closed.is_cancelled() && self.send_queue.try_send(bytes).is_ok();
        if is_queued {
            shared.traffic.count_sent(message, size_bytes);
        }
        is_queued
    }
}

/// Sends a request to another VM and waits for its response.
pub(crate) async fn request(
    shared: &Rc<SharedState>,
    vm: &VmId,
    topic: Topic,
    body: Bytes,
    timeout: Duration,
) -> Result<Bytes, PeerError> {
    let limit_bytes = shared.options.max_message_bytes - MESSAGE_OVERHEAD_BYTES;
    if body.len() > limit_bytes {
        return Err(PeerError::TooLarge(body.len(), limit_bytes));
    }
    let started = Instant::now();
    let direct_connection = match monoio::time::timeout(timeout, connect(shared, vm)).await {
        Ok(connected) => connected?,
        Err(_) => return Err(PeerError::Unreachable(vm.clone(), "no connection in time".into())),
    };
    let id = shared.next_id();
    let (sender, receiver) = oneshot::channel();
    direct_connection.pending_responses.borrow_mut().insert(id, sender);
    let request = Request { id, topic, body: ByteBuf::from(body.to_vec()) };
    if !direct_connection.send(shared, &Message::Request(request)) {
        direct_connection.pending_responses.borrow_mut().remove(&id);
        return Err(PeerError::Unreachable(vm.clone(), "connection closed or full".to_owned()));
    }
    let remaining_time = timeout.saturating_sub(started.elapsed());
    let outcome = monoio::time::timeout(remaining_time, receiver).await;
    direct_connection.pending_responses.borrow_mut().remove(&id);
    match outcome {
        Ok(Ok(RequestOutcome::Body(body))) => Ok(Bytes::from(body.into_vec())),
        Ok(Ok(RequestOutcome::NotServed)) => Err(PeerError::NotServed(vm.clone(), topic)),
        Ok(Ok(RequestOutcome::TooLarge(size_bytes))) => {
            let message = format!("response of {size_bytes} bytes is larger than {limit_bytes}");
            Err(PeerError::ResponseLost(vm.clone(), message))
        }
        Ok(Err(_)) => Err(PeerError::ResponseLost(vm.clone(), "connection closed".to_owned())),
        Err(_) => Err(PeerError::TimedOut(vm.clone(), timeout)),
    }
}

/// Returns the open direct connection to a VM, or opens one if there is none.
pub(crate) async fn connect(
    shared: &Rc<SharedState>,
    vm: &VmId,
) -> Result<Rc<DirectConnection>, PeerError> {
    if let Some(direct_connection) = shared.direct_connections.borrow().get(vm)
        && !direct_connection.closed.is_cancelled()
    {
        return Ok(direct_connection.clone());
    }
    let address = shared.members.borrow().get(vm).map(|record| record.address);
    let Some(address) = address else { return Err(PeerError::UnknownVm(vm.clone())) };
    let connection = connection::dial(shared, address, ConnectionPurpose::Direct)
        .await
        .map_err(|message| PeerError::Unreachable(vm.clone(), message))?;
    let remote = connection.remote.clone();
    shared.merge_members(vec![remote.clone()], None);
    // Another VM may have taken over the address since the member record was sent.
    if remote.vm != *vm {
        let message = format!("address {address} belongs to {}", remote.vm);
        return Err(PeerError::Unreachable(vm.clone(), message));
    }
    let (send_queue, outgoing) = mpsc::channel(MAX_QUEUED_MESSAGES);
    let direct_connection = Rc::new(DirectConnection {
        send_queue,
        pending_responses: RefCell::default(),
        last_used: Cell::new(Instant::now()),
        closed: CancellationToken::new(),
    });
    shared.direct_connections.borrow_mut().insert(vm.clone(), direct_connection.clone());
    monoio::spawn(run_connection(shared.clone(), direct_connection.clone(), connection, outgoing));
    Ok(direct_connection)
}

/// Serves a direct connection that this VM opened until it fails, is idle or is cancelled.
async fn run_connection(
    shared: Rc<SharedState>,
    direct_connection: Rc<DirectConnection>,
    connection: Connection,
    outgoing: mpsc::Receiver<Bytes>,
) {
    let Connection { remote, mut sender, receiver, .. } = connection;
    let result = monoio::select! {
        result = write_messages(&mut sender, outgoing) => result,
        result = read_responses(&shared, &direct_connection, receiver) => result,
        () = wait_until_idle(&shared, &direct_connection) => Ok(()),
        () = shared.cancel.cancelled() => Ok(()),
    };
    log::debug!(target: "peer", "connection closed peer={} result={result:?}", remote.vm);
    direct_connection.closed.cancel();
    // Dropping the senders ends the waiting requests with `PeerError::ResponseLost`.
    direct_connection.pending_responses.borrow_mut().clear();
    let mut direct_connections = shared.direct_connections.borrow_mut();
    if direct_connections
        .get(&remote.vm)
        .is_some_and(|current| Rc::ptr_eq(current, &direct_connection))
    {
        direct_connections.remove(&remote.vm);
    }
}

/// Writes queued messages to the connection until it fails.
async fn write_messages(
    sender: &mut MessageSender,
    mut outgoing: mpsc::Receiver<Bytes>,
) -> Result<(), String> {
    while let Some(bytes) = outgoing.recv().await {
        sender.send(bytes).await?;
    }
    Ok(())
}

/// Passes responses and acknowledgements to the tasks that wait for them.
async fn read_responses(
    shared: &SharedState,
    direct_connection: &DirectConnection,
    mut receiver: MessageReceiver,
) -> Result<(), String> {
    while let Some(message) = receiver.next(shared).await? {
        match message {
            Message::Ack(id) => probe::complete_probe(shared, id),
            Message::Response(response) => {
                let response_sender =
                    direct_connection.pending_responses.borrow_mut().remove(&response.id);
                if let Some(response_sender) = response_sender {
                    let _ = response_sender.send(response.outcome);
                }
            }
            message => return Err(format!("unexpected message {}", message.label())),
        }
    }
    Ok(())
}

/// Waits until nothing has been sent on the connection for the idle timeout and no request awaits
/// its response.
async fn wait_until_idle(shared: &SharedState, direct_connection: &DirectConnection) {
    let idle_timeout = shared.options.idle_connection_timeout;
    loop {
        let idle_time = direct_connection.last_used.get().elapsed();
        if idle_time >= idle_timeout && direct_connection.pending_responses.borrow().is_empty() {
            return;
        }
        monoio::time::sleep(idle_timeout.saturating_sub(idle_time).max(Duration::from_millis(100)))
            .await;
    }
}

/// Serves requests and probes on a direct connection that another VM opened.
pub(crate) async fn serve(shared: Rc<SharedState>, connection: Connection) {
    let Connection { remote, mut sender, receiver, .. } = connection;
    shared.merge_members(vec![remote.clone()], None);
    let (queue, outgoing) = mpsc::channel(MAX_QUEUED_MESSAGES);
    let result = monoio::select! {
        result = write_messages(&mut sender, outgoing) => result,
        result = read_requests(&shared, &remote.vm, receiver, queue) => result,
        () = shared.cancel.cancelled() => Ok(()),
    };
    log::debug!(target: "peer", "connection ended peer={} result={result:?}", remote.vm);
}

/// Reads probes and requests, and queues the acknowledgements and responses.
async fn read_requests(
    shared: &Rc<SharedState>,
    vm: &VmId,
    mut receiver: MessageReceiver,
    queue: mpsc::Sender<Bytes>,
) -> Result<(), String> {
    // Longer than the idle timeout of the VM that opened the connection, so that it closes the
    // connection first and never sends a request that this side no longer reads.
    let idle_timeout = shared.options.idle_connection_timeout * 3;
    loop {
        let received = monoio::time::timeout(idle_timeout, receiver.next(shared)).await;
        match received.map_err(|_| "idle".to_owned())?? {
            None => return Ok(()),
            Some(Message::Ping(id)) => {
                let _ = queue.try_send(encode(shared, &Message::Ack(id))?);
            }
            Some(Message::Request(request)) => {
                let (shared, vm, queue) = (shared.clone(), vm.clone(), queue.clone());
                monoio::spawn(async move {
                    let id = request.id;
                    let outcome = handle_request(&shared, vm, request).await;
                    let response = Message::Response(Response { id, outcome });
                    if let Ok(bytes) = encode(&shared, &response) {
                        let _ = queue.send(bytes).await;
                    }
                });
            }
            Some(message) => return Err(format!("unexpected message {}", message.label())),
        }
    }
}

/// Encodes a message and counts it as sent.
fn encode(shared: &SharedState, message: &Message) -> Result<Bytes, String> {
    let bytes = message.encode()?;
    shared.traffic.count_sent(message, bytes.len());
    Ok(bytes)
}

/// Runs the handler of a request and returns the outcome to send back.
async fn handle_request(shared: &SharedState, vm: VmId, request: Request) -> RequestOutcome {
    let handler = shared.request_handlers.borrow().get(&request.topic).cloned();
    let Some(handler) = handler else { return RequestOutcome::NotServed };
    let body = handler(vm, Bytes::from(request.body.into_vec())).await;
    if body.len() + MESSAGE_OVERHEAD_BYTES > shared.options.max_message_bytes {
        return RequestOutcome::TooLarge(body.len());
    }
    RequestOutcome::Body(ByteBuf::from(body.to_vec()))
}
