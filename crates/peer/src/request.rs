//! Direct connections: requests to any VM, and probes.
//!
//! Requests do not use the links, so that large ones do not delay probes and configuration.

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
    connection::{self, Connection, Receiver, Sender},
    peer::Shared,
    probe,
    wire::{Message, Outcome, Purpose, Request, Response},
};

/// Messages that wait to be written on a direct connection.
const QUEUE_MESSAGES: usize = 1024;
/// Bytes that a message needs besides the body of a request or response.
const MESSAGE_OVERHEAD_BYTES: usize = 256;

/// A connection that this VM opened.
pub(crate) struct Direct {
    queue: mpsc::Sender<Bytes>,
    /// Requests without a response yet.
    pending: RefCell<HashMap<u64, oneshot::Sender<Outcome>>>,
    last_used: Cell<Instant>,
    pub(crate) closed: CancellationToken,
}

impl Direct {
    /// Queues a message; returns whether the connection takes it.
    pub(crate) fn send(&self, shared: &Shared, message: &Message) -> bool {
        self.last_used.set(Instant::now());
        let Ok(bytes) = message.encode() else { return false };
        let size_bytes = bytes.len();
        let queued = !self.closed.is_cancelled() && self.queue.try_send(bytes).is_ok();
        if queued {
            shared.traffic.count_sent(message, size_bytes);
        }
        queued
    }
}

/// Sends a request to another VM and waits for its response.
pub(crate) async fn request(
    shared: &Rc<Shared>,
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
    let direct = match monoio::time::timeout(timeout, connect(shared, vm)).await {
        Ok(connected) => connected?,
        Err(_) => return Err(PeerError::Unreachable(vm.clone(), "no connection in time".into())),
    };
    let id = shared.next_id();
    let (sender, receiver) = oneshot::channel();
    direct.pending.borrow_mut().insert(id, sender);
    let request = Request { id, topic, body: ByteBuf::from(body.to_vec()) };
    if !direct.send(shared, &Message::Request(request)) {
        direct.pending.borrow_mut().remove(&id);
        return Err(PeerError::Unreachable(vm.clone(), "connection closed or full".to_owned()));
    }
    let remaining = timeout.saturating_sub(started.elapsed());
    let outcome = monoio::time::timeout(remaining, receiver).await;
    direct.pending.borrow_mut().remove(&id);
    match outcome {
        Ok(Ok(Outcome::Body(body))) => Ok(Bytes::from(body.into_vec())),
        Ok(Ok(Outcome::NotServed)) => Err(PeerError::NotServed(vm.clone(), topic)),
        Ok(Ok(Outcome::TooLarge(size_bytes))) => {
            let message = format!("response of {size_bytes} bytes is larger than {limit_bytes}");
            Err(PeerError::Lost(vm.clone(), message))
        }
        Ok(Err(_)) => Err(PeerError::Lost(vm.clone(), "connection closed".to_owned())),
        Err(_) => Err(PeerError::TimedOut(vm.clone(), timeout)),
    }
}

/// Returns the open connection to a VM or opens one.
pub(crate) async fn connect(shared: &Rc<Shared>, vm: &VmId) -> Result<Rc<Direct>, PeerError> {
    if let Some(direct) = shared.directs.borrow().get(vm)
        && !direct.closed.is_cancelled()
    {
        return Ok(direct.clone());
    }
    let address = shared.members.borrow().get(vm).map(|record| record.address);
    let Some(address) = address else { return Err(PeerError::UnknownVm(vm.clone())) };
    let connection = connection::dial(shared, address, Purpose::Direct)
        .await
        .map_err(|message| PeerError::Unreachable(vm.clone(), message))?;
    let remote = connection.remote.clone();
    shared.merge_members(vec![remote.clone()], None);
    if remote.vm != *vm {
        let message = format!("address {address} belongs to {}", remote.vm);
        return Err(PeerError::Unreachable(vm.clone(), message));
    }
    let (queue, outgoing) = mpsc::channel(QUEUE_MESSAGES);
    let direct = Rc::new(Direct {
        queue,
        pending: RefCell::default(),
        last_used: Cell::new(Instant::now()),
        closed: CancellationToken::new(),
    });
    shared.directs.borrow_mut().insert(vm.clone(), direct.clone());
    monoio::spawn(run_opened(shared.clone(), direct.clone(), connection, outgoing));
    Ok(direct)
}

async fn run_opened(
    shared: Rc<Shared>,
    direct: Rc<Direct>,
    connection: Connection,
    outgoing: mpsc::Receiver<Bytes>,
) {
    let Connection { remote, mut sender, receiver, .. } = connection;
    let result = monoio::select! {
        result = write(&mut sender, outgoing) => result,
        result = read_responses(&shared, &direct, receiver) => result,
        () = wait_until_idle(&shared, &direct) => Ok(()),
        () = shared.cancel.cancelled() => Ok(()),
    };
    log::debug!(target: "peer", "connection closed peer={} result={result:?}", remote.vm);
    direct.closed.cancel();
    // Requests that wait end as lost.
    direct.pending.borrow_mut().clear();
    let mut directs = shared.directs.borrow_mut();
    if directs.get(&remote.vm).is_some_and(|current| Rc::ptr_eq(current, &direct)) {
        directs.remove(&remote.vm);
    }
}

async fn write(sender: &mut Sender, mut outgoing: mpsc::Receiver<Bytes>) -> Result<(), String> {
    while let Some(bytes) = outgoing.recv().await {
        sender.send(bytes).await?;
    }
    Ok(())
}

async fn read_responses(
    shared: &Shared,
    direct: &Direct,
    mut receiver: Receiver,
) -> Result<(), String> {
    while let Some(message) = receiver.next(shared).await? {
        match message {
            Message::Ack(id) => probe::answered(shared, id),
            Message::Response(response) => {
                let waiting = direct.pending.borrow_mut().remove(&response.id);
                if let Some(waiting) = waiting {
                    let _ = waiting.send(response.outcome);
                }
            }
            other => return Err(format!("unexpected message {}", other.label())),
        }
    }
    Ok(())
}

async fn wait_until_idle(shared: &Shared, direct: &Direct) {
    let limit = shared.options.idle_connection_timeout;
    loop {
        let idle = direct.last_used.get().elapsed();
        if idle >= limit && direct.pending.borrow().is_empty() {
            return;
        }
        monoio::time::sleep(limit.saturating_sub(idle).max(Duration::from_millis(100))).await;
    }
}

/// Answers the requests and probes on a connection that another VM opened.
pub(crate) async fn serve(shared: Rc<Shared>, connection: Connection) {
    let Connection { remote, mut sender, receiver, .. } = connection;
    shared.merge_members(vec![remote.clone()], None);
    let (queue, outgoing) = mpsc::channel(QUEUE_MESSAGES);
    let result = monoio::select! {
        result = write(&mut sender, outgoing) => result,
        result = read_requests(&shared, &remote.vm, receiver, queue) => result,
        () = shared.cancel.cancelled() => Ok(()),
    };
    log::debug!(target: "peer", "connection ended peer={} result={result:?}", remote.vm);
}

async fn read_requests(
    shared: &Rc<Shared>,
    vm: &VmId,
    mut receiver: Receiver,
    queue: mpsc::Sender<Bytes>,
) -> Result<(), String> {
    // The VM that opened the connection closes it earlier, so that it does not send a request on a
    // connection that closes at this moment.
    let limit = shared.options.idle_connection_timeout * 3;
    loop {
        let received = monoio::time::timeout(limit, receiver.next(shared)).await;
        match received.map_err(|_| "idle".to_owned())?? {
            None => return Ok(()),
            Some(Message::Ping(id)) => {
                let _ = queue.try_send(encode(shared, &Message::Ack(id))?);
            }
            Some(Message::Request(request)) => {
                let (shared, vm, queue) = (shared.clone(), vm.clone(), queue.clone());
                monoio::spawn(async move {
                    let id = request.id;
                    let outcome = answer(&shared, vm, request).await;
                    let response = Message::Response(Response { id, outcome });
                    if let Ok(bytes) = encode(&shared, &response) {
                        let _ = queue.send(bytes).await;
                    }
                });
            }
            Some(other) => return Err(format!("unexpected message {}", other.label())),
        }
    }
}

fn encode(shared: &Shared, message: &Message) -> Result<Bytes, String> {
    let bytes = message.encode()?;
    shared.traffic.count_sent(message, bytes.len());
    Ok(bytes)
}

async fn answer(shared: &Shared, vm: VmId, request: Request) -> Outcome {
    let handler = shared.handlers.borrow().get(&request.topic).cloned();
    let Some(handler) = handler else { return Outcome::NotServed };
    let body = handler(vm, Bytes::from(request.body.into_vec())).await;
    if body.len() + MESSAGE_OVERHEAD_BYTES > shared.options.max_message_bytes {
        return Outcome::TooLarge(body.len());
    }
    Outcome::Body(ByteBuf::from(body.to_vec()))
}
