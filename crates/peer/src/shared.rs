//! State that the background tasks of this crate share.

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

/// Time after a link opens in which the member table arrives. A VM that has just started knows few
/// members, and without this delay would rank itself among the watchers of the object API.
const MEMBER_TABLE_ARRIVAL_TIME: Duration = Duration::from_millis(500);

/// Minimum time between two checks whether this VM has the watcher role.
const MIN_ROLE_CHECK_PERIOD: Duration = Duration::from_millis(50);
/// Time over which member updates are batched before they are sent. When a rack fails or many VMs
/// start, one message with many members replaces many messages.
const MEMBER_UPDATE_BATCH_PERIOD: Duration = Duration::from_millis(50);

/// A member record that is queued for sending to the partners.
pub(crate) struct MemberUpdate {
    record: MemberRecord,
    /// Link on which the record arrived; the update is not sent back on it.
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

/// State that the background tasks share.
pub(crate) struct SharedState {
    pub(crate) options: PeerOptions,
    /// Client of the object API.
    pub(crate) store: Store,
    pub(crate) traffic: Traffic,
    pub(crate) config: ConfigView,
    pub(crate) members: RefCell<MemberTable>,
    /// Incremented whenever a member is added or changes.
    pub(crate) member_changes: watch::Sender<u64>,
    pub(crate) values: RefCell<ValueTable>,
    pub(crate) links: RefCell<LinkTable>,
    /// Direct connections that this VM opened.
    pub(crate) direct_connections: RefCell<HashMap<VmId, Rc<DirectConnection>>>,
    pub(crate) relay_state: RefCell<RelayState>,
    pub(crate) request_handlers: RefCell<HashMap<Topic, Rc<RequestHandler>>>,
    /// Probes without an acknowledgement yet, by probe id.
    pub(crate) pending_probes: RefCell<HashMap<u64, oneshot::Sender<()>>>,
    /// VMs to which this VM is currently opening a link.
    pub(crate) dialling_vms: RefCell<BTreeSet<VmId>>,
    /// Wakes the task that opens and closes links.
    pub(crate) partners_changed: Notify,
    /// Member updates not sent yet: the newest record of each changed member.
    pub(crate) pending_member_updates: RefCell<BTreeMap<VmId, MemberUpdate>>,
    /// Wakes the task that sends member updates.
    pub(crate) member_update_queued: Notify,
    /// Until this time, missing probe answers raise no suspicion: this process was paused or short
    /// of CPU time and may not have read the answers.
    pub(crate) suspicion_paused_until: Cell<Instant>,
    /// Earliest time at which this VM may become a watcher of the object API.
    pub(crate) watcher_eligible_at: Cell<Instant>,
    /// Score that grows with each sign that this process is slow and lengthens its probe timeouts;
    /// see [`probe::increase_health_penalty`].
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

    /// Called when a link opens: makes this VM eligible as a watcher soon, once the member table
    /// can have arrived.
    pub(crate) fn schedule_watcher_eligibility(&self) {
        let eligible_at = Instant::now() + MEMBER_TABLE_ARRIVAL_TIME;
        self.watcher_eligible_at.set(self.watcher_eligible_at.get().min(eligible_at));
    }

    /// Merges received member records into the table and queues the changed ones for the partners.
    pub(crate) fn merge_members(&self, records: Vec<MemberRecord>, source_link: Option<LinkId>) {
        let now = Instant::now();
        let mut updates = Vec::new();
        let mut corrections = Vec::new();
        {
            let mut table = self.members.borrow_mut();
            for record in records {
                let is_own = record.vm == self.options.vm;
                match table.merge(record.clone(), now) {
                    // The table changed it, for example to refute a suspicion of this VM: the
                    // sender needs the corrected record too.
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

    /// Returns whether a member is in state `Live`, which excludes suspects.
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
            let wait = self.watcher_eligible_at.get().saturating_duration_since(Instant::now());
            if wait.is_zero() {
                if self.is_watcher() {
                    return;
                }
                let _ = changes.changed().await;
                monoio::time::sleep(MIN_ROLE_CHECK_PERIOD).await;
            } else {
                // Polled, because opening a link may move the time forward.
                monoio::time::sleep(wait.min(Duration::from_millis(50))).await;
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

    /// Returns whether this VM is the one that writes the status objects.
    pub(crate) fn is_status_writer(&self) -> bool {
        let members = self.members.borrow().members();
        let count = self.options.watchers_per_data_centre;
        partners::select_status_writer(&members, count) == Some(self.options.vm.as_str())
    }
}
