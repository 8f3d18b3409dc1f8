//! State that the background tasks of this crate share, and the changes to it that several of them
//! make.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet, HashMap},
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use deck_core::{CancellationToken, id::VmId};
use deck_plat::Store;
use futures_util::future::LocalBoxFuture;
use rand::seq::IndexedRandom;
use tokio::sync::{Notify, oneshot, watch};

use crate::{
    ConfigView, MemberState, PeerOptions, Topic,
    links::{Link, LinkTable},
    partners, probe,
    relay::RelayState,
    request::DirectConnection,
    table::MemberTable,
    traffic::Traffic,
    values::{LinkId, ValueTable},
    wire::{MemberRecord, Message},
};

/// Request handler of a topic: takes the requesting VM and the body, returns the response body.
pub(crate) type RequestHandler = dyn Fn(VmId, Bytes) -> LocalBoxFuture<'static, Bytes>;

/// Time after a link opens until the member table of the other VM is assumed to have arrived. A VM
/// that has just started knows few members, so without this delay it would select itself as a
/// watcher of the object API.
const MEMBER_TABLE_ARRIVAL_TIME: Duration = Duration::from_millis(500);

/// Minimum time between two checks whether this VM has the watcher role.
const MIN_ROLE_CHECK_PERIOD: Duration = Duration::from_millis(50);
/// Delay before queued member updates are sent, so that the failure of a rack or the start of many
/// VMs causes one message with many members instead of many messages.
const MEMBER_UPDATE_BATCH_PERIOD: Duration = Duration::from_millis(50);

/// A changed member record that is queued for sending on the links.
pub(crate) struct MemberUpdate {
    record: MemberRecord,
    /// Link on which the record arrived and on which it is not sent back.
    excluded_link: Option<LinkId>,
}

/// Sends queued member updates on all links, in batches.
pub(crate) async fn send_member_updates(shared: Rc<SharedState>) {
    loop {
        shared.member_update_queued.notified().await;
        monoio::time::sleep(MEMBER_UPDATE_BATCH_PERIOD).await;
        let updates = shared.pending_member_updates.take();
        let links = shared.links.borrow().all();
        for link in links {
            let link_updates =
                updates.values().filter(|entry| entry.excluded_link != Some(link.id));
            let records: Vec<_> = link_updates.map(|entry| entry.record.clone()).collect();
            if !records.is_empty() {
                link.send(&shared, &Message::Members(records));
            }
        }
    }
}

/// State of a [`crate::PeerService`] and its background tasks.
pub(crate) struct SharedState {
    pub(crate) options: PeerOptions,
    /// Client of the object API.
    pub(crate) store: Store,
    pub(crate) traffic: Traffic,
    /// Configuration received from the object API or from other VMs.
    pub(crate) config: ConfigView,
    pub(crate) members: RefCell<MemberTable>,
    /// Incremented whenever a member is added or changes.
    pub(crate) member_changes: watch::Sender<u64>,
    /// Published values of all VMs.
    pub(crate) values: RefCell<ValueTable>,
    pub(crate) links: RefCell<LinkTable>,
    /// Direct connections that this VM opened, by the VM at the other end.
    pub(crate) direct_connections: RefCell<HashMap<VmId, Rc<DirectConnection>>>,
    /// Configuration versions that are being fetched from other VMs.
    pub(crate) relay_state: RefCell<RelayState>,
    pub(crate) request_handlers: RefCell<HashMap<Topic, Rc<RequestHandler>>>,
    /// Probes without an acknowledgement yet, by probe id.
    pub(crate) pending_probes: RefCell<HashMap<u64, oneshot::Sender<()>>>,
    /// VMs to which this VM is currently opening a link.
    pub(crate) dialling_vms: RefCell<BTreeSet<VmId>>,
    /// Wakes [`crate::membership::maintain_links`], because the selection of partners may have
    /// changed.
    pub(crate) partners_changed: Notify,
    /// Member updates not sent yet: the newest record of each changed member.
    pub(crate) pending_member_updates: RefCell<BTreeMap<VmId, MemberUpdate>>,
    /// Wakes the task that sends member updates.
    pub(crate) member_update_queued: Notify,
    /// Until this time, unanswered probes raise no suspicion, because this process was paused or
    /// short of CPU time and may not have read the answers.
    pub(crate) suspicion_paused_until: Cell<Instant>,
    /// Earliest time at which this VM may become a watcher of the object API.
    pub(crate) watcher_eligible_at: Cell<Instant>,
    /// Grows with each sign that this process is slow and lengthens its probe timeouts; see
    /// [`probe::increase_health_penalty`].
    pub(crate) health_penalty: Cell<u32>,
    /// Last id returned by [`Self::next_id`].
    pub(crate) last_id: Cell<u64>,
    /// Ends all background tasks when it is cancelled.
    pub(crate) cancel: CancellationToken,
}

impl SharedState {
    /// Returns an id for a probe or request, unique in this process.
    pub(crate) fn next_id(&self) -> u64 {
        self.last_id.set(self.last_id.get() + 1);
        self.last_id.get()
    }

    /// Makes this VM eligible as a watcher after [`MEMBER_TABLE_ARRIVAL_TIME`], if it is not
    /// eligible earlier. Called when a link opens.
    pub(crate) fn schedule_watcher_eligibility(&self) {
        let eligible_at = Instant::now() + MEMBER_TABLE_ARRIVAL_TIME;
        self.watcher_eligible_at.set(self.watcher_eligible_at.get().min(eligible_at));
    }

    /// Merges received member records into the table and queues the records that changed it for
    /// sending on all links except `source_link`, on which they arrived.
    pub(crate) fn merge_members(&self, records: Vec<MemberRecord>, source_link: Option<LinkId>) {
        let now = Instant::now();
        let mut updates = Vec::new();
        let mut corrections = Vec::new();
        {
            let mut table = self.members.borrow_mut();
            for record in records {
                let is_own = record.vm == self.options.vm;
                match table.merge(record.clone(), now) {
                    // The table holds a different record now, for example one in which this VM
                    // refutes a suspicion. The sender needs the corrected record too.
                    Some(changed) if changed != record => {
                        if is_own {
                            probe::increase_health_penalty(self);
                        }
                        corrections.push(changed);
                    }
                    Some(changed) => updates.push(changed),
                    None => {}
                }
            }
            let incarnation = table.own_record().incarnation;
            self.values.borrow_mut().set_incarnation(incarnation);
        }
        self.queue_member_updates(updates, source_link);
        self.queue_member_updates(corrections, None);
    }

    /// Queues changed records for [`send_member_updates`], which sends them on all links except
    /// `excluded_link`, and notifies the subscribers in this process.
    pub(crate) fn queue_member_updates(
        &self,
        records: Vec<MemberRecord>,
        excluded_link: Option<LinkId>,
    ) {
        if records.is_empty() {
            return;
        }
        let mut updates = self.pending_member_updates.borrow_mut();
        for record in records {
            updates.insert(record.vm.clone(), MemberUpdate { record, excluded_link });
        }
        drop(updates);
        self.member_update_queued.notify_one();
        self.notify_member_change();
    }

    /// Notifies subscribers and the link maintenance of a changed member.
    fn notify_member_change(&self) {
        self.member_changes.send_modify(|count| *count += 1);
        self.partners_changed.notify_one();
    }

    /// Declares members dead whose suspicion timed out, and drops the values of members that have
    /// been dead for longer than the value expiry.
    pub(crate) fn expire_members(&self, now: Instant) {
        let PeerOptions { suspicion_timeout, dead_retention, value_expiry, .. } = self.options;
        let newly_dead = self.members.borrow_mut().expire(now, suspicion_timeout, dead_retention);
        if !newly_dead.is_empty() {
            log::info!(target: "peer", "members dead vms={newly_dead:?}");
            self.notify_member_change();
        }
        let expired_vms = self.members.borrow().dead_longer_than(now, value_expiry);
        let mut values = self.values.borrow_mut();
        for vm in expired_vms {
            values.remove_vm(&vm);
        }
    }

    /// Returns whether a VM is a member in state `Live`; a suspected member is not.
    pub(crate) fn is_live(&self, vm: &str) -> bool {
        let table = self.members.borrow();
        table.get(vm).is_some_and(|record| record.state == MemberState::Live)
    }

    /// Returns the number of live and suspected members.
    pub(crate) fn active_member_count(&self) -> usize {
        self.members.borrow().members().iter().filter(|member| partners::is_active(member)).count()
    }

    /// Returns a random link among those that `filter` accepts.
    pub(crate) fn random_link(&self, filter: impl Fn(&Link) -> bool) -> Option<Rc<Link>> {
        let mut links = self.links.borrow().all();
        links.retain(|link| filter(link));
        links.choose(&mut rand::rng()).cloned()
    }

    /// Waits until this VM is one of the watchers of its data centre.
    pub(crate) async fn wait_for_watcher_role(&self) {
        let mut changes = self.member_changes.subscribe();
        loop {
            let remaining =
                self.watcher_eligible_at.get().saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                if self.is_watcher() {
                    return;
                }
                let _ = changes.changed().await;
                monoio::time::sleep(MIN_ROLE_CHECK_PERIOD).await;
            } else {
                // Sleeps in short steps, because a link that opens may make this VM eligible
                // earlier.
                monoio::time::sleep(remaining.min(Duration::from_millis(50))).await;
            }
        }
    }

    /// Waits until this VM is no longer one of the watchers of its data centre.
    pub(crate) async fn wait_for_watcher_role_lost(&self) {
        let mut changes = self.member_changes.subscribe();
        while self.is_watcher() {
            let _ = changes.changed().await;
            monoio::time::sleep(MIN_ROLE_CHECK_PERIOD).await;
        }
    }

    /// Returns whether this VM is one of the watchers of its data centre.
    fn is_watcher(&self) -> bool {
        let members = self.members.borrow().members();
        let options = &self.options;
        partners::select_watchers(&members, &options.data_centre, options.watchers_per_data_centre)
            .contains(&options.vm.as_str())
    }

    /// Returns whether this VM is the status writer of the deployment.
    pub(crate) fn is_status_writer(&self) -> bool {
        let members = self.members.borrow().members();
        let count = self.options.watchers_per_data_centre;
        partners::select_status_writer(&members, count) == Some(self.options.vm.as_str())
    }
}
