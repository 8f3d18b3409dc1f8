//! Links to partners: registration, sending and the task of each link.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use deck_core::{
    CancellationToken,
    id::{Incarnation, VmId},
};
use tokio::sync::mpsc;

use crate::{
    connection::{Connection, Receiver, Sender},
    dispatch, gossip,
    peer::Shared,
    probe,
    relay::{self, FetchQueue},
    values::LinkId,
    wire::{MemberRecord, Message},
};

/// Messages that wait to be written on a link; their bytes are at most those of the largest
/// message. A peer that is that far behind is cut off; it gets
/// what it missed by comparing digests after it has reconnected.
const QUEUE_MESSAGES: usize = 512;

/// One link.
pub(crate) struct Link {
    pub(crate) id: LinkId,
    pub(crate) vm: VmId,
    /// Incarnation of the process at the other end.
    incarnation: Incarnation,
    /// Whether this VM opened the link.
    pub(crate) dialled: bool,
    pub(crate) since: Instant,
    /// Whether changed values are sent on this link at once.
    pub(crate) eager: Cell<bool>,
    /// Last change of a value that was sent or skipped on this link.
    pub(crate) sent_change: Cell<u64>,
    /// Probes in a row that this link left unanswered.
    pub(crate) missed_probes: Cell<u32>,
    pub(crate) fetches: RefCell<FetchQueue>,
    queue: mpsc::Sender<Bytes>,
    /// Bytes of the messages in the queue.
    queued_bytes: Cell<usize>,
    /// Cancelled when the link has to close.
    pub(crate) closed: CancellationToken,
}

impl Link {
    /// Queues a message; closes the link if its queue is full.
    pub(crate) fn send(&self, shared: &Shared, message: &Message) {
        if let Some(bytes) = encode(message) {
            self.send_encoded(shared, message, bytes);
        }
    }

    fn send_encoded(&self, shared: &Shared, message: &Message, bytes: Bytes) {
        let size_bytes = bytes.len();
        let queued_bytes = self.queued_bytes.get() + size_bytes;
        if queued_bytes <= shared.options.max_message_bytes && self.queue.try_send(bytes).is_ok() {
            self.queued_bytes.set(queued_bytes);
            shared.traffic.count_sent(message, size_bytes);
        } else {
            self.closed.cancel();
        }
    }
}

fn encode(message: &Message) -> Option<Bytes> {
    message
        .encode()
        .inspect_err(|error| {
            log::error!(target: "peer", "message not encoded type={} error={error}", message.label());
        })
        .ok()
}

/// All links, at most one for each VM.
#[derive(Default)]
pub(crate) struct LinkTable {
    links: BTreeMap<VmId, Rc<Link>>,
    next_id: LinkId,
}

impl LinkTable {
    pub(crate) fn all(&self) -> Vec<Rc<Link>> {
        self.links.values().cloned().collect()
    }

    pub(crate) fn get(&self, vm: &str) -> Option<Rc<Link>> {
        self.links.get(vm).cloned()
    }

    pub(crate) fn len(&self) -> usize {
        self.links.len()
    }

    /// Registers a link unless an existing one to the same VM is kept.
    ///
    /// When both VMs open a link at the same time, both keep the one that the VM with the smaller
    /// name opened. A second link opened by the same VM replaces the first, which may be dead.
    fn register(
        &mut self,
        own: &VmId,
        remote: &MemberRecord,
        dialled: bool,
        queue: mpsc::Sender<Bytes>,
    ) -> Option<Rc<Link>> {
        let (vm, incarnation) = (remote.vm.clone(), remote.incarnation);
        if vm == *own {
            return None;
        }
        if let Some(existing) = self.links.get(&vm) {
            let opener_is_smaller = (*own < vm) == dialled;
            let is_same_process = existing.incarnation == incarnation;
            if is_same_process && existing.dialled != dialled && !opener_is_smaller {
                return None;
            }
            existing.closed.cancel();
        }
        self.next_id += 1;
        let link = Rc::new(Link {
            id: self.next_id,
            vm: vm.clone(),
            incarnation,
            dialled,
            since: Instant::now(),
            eager: Cell::new(true),
            sent_change: Cell::new(0),
            missed_probes: Cell::new(0),
            fetches: RefCell::default(),
            queue,
            queued_bytes: Cell::new(0),
            closed: CancellationToken::new(),
        });
        self.links.insert(vm, link.clone());
        Some(link)
    }

    /// Removes a link; returns whether the VM has no link now.
    fn remove(&mut self, link: &Link) -> bool {
        match self.links.get(&link.vm) {
            Some(current) if current.id == link.id => {
                self.links.remove(&link.vm);
                true
            }
            Some(_) => false,
            None => true,
        }
    }
}

/// Sends a message on all links but `except`.
pub(crate) fn broadcast(shared: &Shared, message: &Message, except: Option<LinkId>) {
    let Some(bytes) = encode(message) else { return };
    let links = shared.links.borrow().all();
    for link in links.iter().filter(|link| Some(link.id) != except) {
        link.send_encoded(shared, message, bytes.clone());
    }
}

/// Runs a link until it closes.
pub(crate) async fn run(shared: Rc<Shared>, connection: Connection, dialled: bool) {
    let Connection { remote, mut sender, receiver, .. } = connection;
    let (queue, outgoing) = mpsc::channel(QUEUE_MESSAGES);
    let vm = remote.vm.clone();
    let registered =
        shared.links.borrow_mut().register(&shared.options.vm, &remote, dialled, queue);
    let Some(link) = registered else { return };
    log::debug!(target: "peer", "link open peer={vm} dialled={dialled}");
    shared.set_joined();
    shared.merge_members(vec![remote], Some(link.id));
    link.send(&shared, &Message::MembersDigest(shared.members.borrow().digest()));
    link.send(&shared, &Message::ConfigDigest(relay::digest(&shared)));
    gossip::send_full_summary(&shared, &link);

    let result = monoio::select! {
        result = write(&link, &mut sender, outgoing) => result,
        result = read(&shared, &link, receiver) => result,
        () = link.closed.cancelled() => Ok(()),
        () = shared.cancel.cancelled() => Ok(()),
    };
    log::debug!(target: "peer", "link closed peer={vm} result={result:?}");
    let is_last = shared.links.borrow_mut().remove(&link);
    relay::forget_fetches(&shared, &link);
    shared.partners_changed.notify_one();
    if is_last && !shared.cancel.is_cancelled() {
        probe::verify(shared, vm).await;
    }
}

async fn write(
    link: &Link,
    sender: &mut Sender,
    mut outgoing: mpsc::Receiver<Bytes>,
) -> Result<(), String> {
    while let Some(bytes) = outgoing.recv().await {
        let size_bytes = bytes.len();
        sender.send(bytes).await?;
        link.queued_bytes.set(link.queued_bytes.get() - size_bytes);
    }
    Ok(())
}

async fn read(shared: &Rc<Shared>, link: &Rc<Link>, mut receiver: Receiver) -> Result<(), String> {
    while let Some(message) = receiver.next(shared).await? {
        dispatch::on_link(shared, link, message);
    }
    Ok(())
}

/// Returns whether a link has been open for at least `age`.
pub(crate) fn is_older_than(link: &Link, age: Duration) -> bool {
    link.since.elapsed() >= age
}
