//! Links to partner VMs: the table of open links, their send queues and the task of each link.

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
    connection::{Connection, MessageReceiver, MessageSender},
    dispatch, gossip,
    peer::SharedState,
    probe,
    relay::{self, FetchQueue},
    values::LinkId,
    wire::{MemberRecord, Message},
};

/// Maximum number of messages in the send queue of a link; their total size is limited to
/// `max_message_bytes`. If the other VM reads too slowly and the queue overflows, the link is
/// closed. When a link opens again, the VMs compare digests and exchange what was missed.
const MAX_QUEUED_MESSAGES: usize = 512;

/// An open link to a partner VM.
pub(crate) struct Link {
    /// Unique among all links of the process, earlier links to the same VM included.
    pub(crate) id: LinkId,
    pub(crate) vm: VmId,
    /// Incarnation of the process at the other end when the link opened.
    incarnation: Incarnation,
    /// Whether this VM opened the link; otherwise the other VM did.
    pub(crate) opened_locally: bool,
    /// Time at which the link was registered.
    pub(crate) opened_at: Instant,
    /// Whether changed values are sent on this link as they are; on a lazy link only summaries of
    /// their versions are sent. See [`crate::gossip`].
    pub(crate) is_eager: Cell<bool>,
    /// Number of the last change of a published value that has been handled for this link: sent, or
    /// skipped because the link was lazy.
    pub(crate) last_handled_change: Cell<u64>,
    /// Number of consecutive unanswered probes on this link.
    pub(crate) missed_probes: Cell<u32>,
    /// Configuration object versions that are to be fetched on this link.
    pub(crate) config_fetches: RefCell<FetchQueue>,
    /// Encoded messages that have not been written to the connection yet.
    send_queue: mpsc::Sender<Bytes>,
    /// Total size of the messages in the send queue.
    queued_bytes: Cell<usize>,
    /// Cancelled to make the task of the link close it.
    pub(crate) close_requested: CancellationToken,
}

impl Link {
    /// Queues a message for sending; closes the link if the queue is full.
    pub(crate) fn send(&self, shared: &SharedState, message: &Message) {
        if let Some(bytes) = encode(message) {
            self.send_encoded(shared, message, bytes);
        }
    }

    /// Queues an encoded message; `message` is the same message before encoding, for the traffic
    /// counters.
    fn send_encoded(&self, shared: &SharedState, message: &Message, bytes: Bytes) {
        let size_bytes = bytes.len();
        let queued_bytes = self.queued_bytes.get() + size_bytes;
        if queued_bytes <= shared.options.max_message_bytes
            && self.send_queue.try_send(bytes).is_ok()
        {
            self.queued_bytes.set(queued_bytes);
            shared.traffic.count_sent(message, size_bytes);
        } else {
            self.close_requested.cancel();
        }
    }
}

/// Encodes a message; logs an error and returns `None` if that fails.
fn encode(message: &Message) -> Option<Bytes> {
    message
        .encode()
        .inspect_err(|error| {
            log::error!(target: "peer", "message not encoded type={} error={error}", message.label());
        })
        .ok()
}

/// Open links, at most one for each VM.
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

    /// Registers a new link; returns `None` if an existing link to the same VM is kept instead, or
    /// if the other end is this VM itself.
    ///
    /// When two VMs open a link to each other at the same time, both keep the one opened by the VM
    /// with the smaller name. A second link opened by the same VM replaces the first, which may be
    /// broken.
    fn register(
        &mut self,
        own_vm: &VmId,
        remote: &MemberRecord,
        opened_locally: bool,
        send_queue: mpsc::Sender<Bytes>,
    ) -> Option<Rc<Link>> {
        let (vm, incarnation) = (remote.vm.clone(), remote.incarnation);
        if vm == *own_vm {
            return None;
        }
        if let Some(existing_link) = self.links.get(&vm) {
            let opened_by_smaller_name = (*own_vm < vm) == opened_locally;
            let is_same_process = existing_link.incarnation == incarnation;
            if is_same_process
                && existing_link.opened_locally != opened_locally
                && !opened_by_smaller_name
            {
                return None;
            }
            existing_link.close_requested.cancel();
        }
        self.next_id += 1;
        let link = Rc::new(Link {
            id: self.next_id,
            vm: vm.clone(),
            incarnation,
            opened_locally,
            opened_at: Instant::now(),
            is_eager: Cell::new(true),
            last_handled_change: Cell::new(0),
            missed_probes: Cell::new(0),
            config_fetches: RefCell::default(),
            send_queue,
            queued_bytes: Cell::new(0),
            close_requested: CancellationToken::new(),
        });
        self.links.insert(vm, link.clone());
        Some(link)
    }

    /// Removes a link unless another one has replaced it; returns whether no link to its VM
    /// remains.
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

/// Sends a message on all links except `excluded_link`.
pub(crate) fn broadcast(shared: &SharedState, message: &Message, excluded_link: Option<LinkId>) {
    let Some(bytes) = encode(message) else { return };
    let links = shared.links.borrow().all();
    for link in links.iter().filter(|link| Some(link.id) != excluded_link) {
        link.send_encoded(shared, message, bytes.clone());
    }
}

/// Registers a connection as a link and serves it until it closes.
pub(crate) async fn run(shared: Rc<SharedState>, connection: Connection, opened_locally: bool) {
    let Connection { remote, mut sender, receiver, .. } = connection;
    let (send_queue, outgoing) = mpsc::channel(MAX_QUEUED_MESSAGES);
    let vm = remote.vm.clone();
    let registered =
        shared.links.borrow_mut().register(&shared.options.vm, &remote, opened_locally, send_queue);
    let Some(link) = registered else { return };
    log::debug!(target: "peer", "link open peer={vm} dialled={opened_locally}");
    shared.schedule_watcher_eligibility();
    shared.merge_members(vec![remote], Some(link.id));
    link.send(&shared, &Message::MembersDigest(shared.members.borrow().digest()));
    link.send(&shared, &Message::ConfigDigest(relay::digest(&shared)));
    gossip::send_full_summary(&shared, &link);

    let result = monoio::select! {
        result = write_messages(&link, &mut sender, outgoing) => result,
        result = read_messages(&shared, &link, receiver) => result,
        () = link.close_requested.cancelled() => Ok(()),
        () = shared.cancel.cancelled() => Ok(()),
    };
    log::debug!(target: "peer", "link closed peer={vm} result={result:?}");
    let is_disconnected = shared.links.borrow_mut().remove(&link);
    relay::discard_fetches(&shared, &link);
    shared.partners_changed.notify_one();
    if is_disconnected && !shared.cancel.is_cancelled() {
        probe::verify_member(shared, vm).await;
    }
}

/// Writes queued messages to the connection until it fails.
async fn write_messages(
    link: &Link,
    sender: &mut MessageSender,
    mut outgoing: mpsc::Receiver<Bytes>,
) -> Result<(), String> {
    while let Some(bytes) = outgoing.recv().await {
        let size_bytes = bytes.len();
        sender.send(bytes).await?;
        link.queued_bytes.set(link.queued_bytes.get() - size_bytes);
    }
    Ok(())
}

/// Reads and dispatches messages until the connection closes.
async fn read_messages(
    shared: &Rc<SharedState>,
    link: &Rc<Link>,
    mut receiver: MessageReceiver,
) -> Result<(), String> {
    while let Some(message) = receiver.next(shared).await? {
        dispatch::on_link_message(shared, link, message);
    }
    Ok(())
}

/// Returns whether a link has been open for at least `age`.
pub(crate) fn has_been_open_for(link: &Link, age: Duration) -> bool {
    link.opened_at.elapsed() >= age
}
