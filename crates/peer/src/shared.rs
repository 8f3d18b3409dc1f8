//! State that the tasks of the peer part share.

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
    request::Direct,
    table::MemberTable,
    traffic::Traffic,
    values::{LinkId, ValueTable},
    wire::{MemberRecord, Message},
};

/// Function that answers requests of a topic.
pub(crate) type Handler = dyn Fn(VmId, Bytes) -> LocalBoxFuture<'static, Bytes>;

/// Time after the first link in which the member table arrives. Without it a VM that starts takes
/// itself for a watcher, as it knows few others.
const SETTLE: Duration = Duration::from_millis(500);

/// Least time between two checks whether this VM is a watcher.
const ROLE_PERIOD: Duration = Duration::from_millis(50);
/// Time over which changed members are collected. When a rack fails or many VMs start, one message
/// with many members replaces many messages.
const NEWS_PERIOD: Duration = Duration::from_millis(50);

/// A changed member that is to be sent.
pub(crate) struct MemberNews {
    record: MemberRecord,
    /// Link from which the record came.
    except: Option<LinkId>,
}

/// Sends changed members on the links.
pub(crate) async fn send_member_news(shared: Rc<Shared>) {
    loop {
        shared.member_news_added.notified().await;
        monoio::time::sleep(NEWS_PERIOD).await;
        let news = shared.member_news.take();
        let links = shared.links.borrow().all();
        for link in links {
            let for_link = news.values().filter(|entry| entry.except != Some(link.id));
            let records: Vec<_> = for_link.map(|entry| entry.record.clone()).collect();
            if !records.is_empty() {
                link.send(&shared, &Message::Members(records));
            }
        }
    }
}

/// State of the peer part that its tasks share.
pub(crate) struct Shared {
    pub(crate) options: PeerOptions,
    pub(crate) store: Store,
    pub(crate) traffic: Traffic,
    pub(crate) config: ConfigView,
    pub(crate) members: RefCell<MemberTable>,
    pub(crate) member_changes: watch::Sender<u64>,
    pub(crate) values: RefCell<ValueTable>,
    pub(crate) links: RefCell<LinkTable>,
    pub(crate) directs: RefCell<HashMap<VmId, Rc<Direct>>>,
    pub(crate) relay: RefCell<RelayState>,
    pub(crate) handlers: RefCell<HashMap<Topic, Rc<Handler>>>,
    /// Probes that wait for an answer.
    pub(crate) probes: RefCell<HashMap<u64, oneshot::Sender<()>>>,
    /// VMs to which a link is being opened.
    pub(crate) dialling: RefCell<BTreeSet<VmId>>,
    pub(crate) partners_changed: Notify,
    /// Changed members that are still to be sent, the newest record of each.
    pub(crate) member_news: RefCell<BTreeMap<VmId, MemberNews>>,
    pub(crate) member_news_added: Notify,
    /// Time until which this process does not judge the silence of others: it was paused or has
    /// too little CPU time to read their answers.
    pub(crate) overloaded_until: Cell<Instant>,
    /// Time from which this VM may take the role of a watcher.
    pub(crate) watcher_from: Cell<Instant>,
    /// Signs in a row that this process is slow, see [`probe::worsen_health`].
    pub(crate) poor_health: Cell<u32>,
    pub(crate) last_id: Cell<u64>,
    pub(crate) cancel: CancellationToken,
}

impl Shared {
    /// Returns a number that is unique in this process.
    pub(crate) fn next_id(&self) -> u64 {
        self.last_id.set(self.last_id.get() + 1);
        self.last_id.get()
    }

    /// Records that a link has come about.
    pub(crate) fn set_joined(&self) {
        let settled = Instant::now() + SETTLE;
        self.watcher_from.set(self.watcher_from.get().min(settled));
    }

    /// Merges records of members and passes on what changed.
    pub(crate) fn merge_members(&self, records: Vec<MemberRecord>, from: Option<LinkId>) {
        let now = Instant::now();
        let mut news = Vec::new();
        let mut answers = Vec::new();
        {
            let mut table = self.members.borrow_mut();
            for record in records {
                let is_own = record.vm == self.options.vm;
                match table.merge(record.clone(), now) {
                    // Not the record that came: its sender needs the changed one too.
                    Some(changed) if changed != record => {
                        if is_own {
                            probe::worsen_health(self);
                        }
                        answers.push(changed);
                    }
                    Some(changed) => news.push(changed),
                    None => {}
                }
            }
            let incarnation = table.own().incarnation;
            self.values.borrow_mut().set_incarnation(incarnation);
        }
        self.spread_members(news, from);
        self.spread_members(answers, None);
    }

    /// Hands changed records to [`send_member_news`], which sends them on all links but `except`,
    /// and tells the tasks of this process.
    pub(crate) fn spread_members(&self, records: Vec<MemberRecord>, except: Option<LinkId>) {
        if records.is_empty() {
            return;
        }
        let mut news = self.member_news.borrow_mut();
        for record in records {
            news.insert(record.vm.clone(), MemberNews { record, except });
        }
        drop(news);
        self.member_news_added.notify_one();
        self.notify_member_change();
    }

    fn notify_member_change(&self) {
        self.member_changes.send_modify(|count| *count += 1);
        self.partners_changed.notify_one();
    }

    /// Declares suspects dead whose time is over, and drops the values of the dead.
    pub(crate) fn expire_members(&self, now: Instant) {
        let PeerOptions { suspicion_timeout, dead_retention, value_expiry, .. } = self.options;
        let died = self.members.borrow_mut().expire(now, suspicion_timeout, dead_retention);
        if !died.is_empty() {
            log::info!(target: "peer", "members dead vms={died:?}");
            self.notify_member_change();
        }
        let expired = self.members.borrow().dead_for(now, value_expiry);
        let mut values = self.values.borrow_mut();
        for vm in expired {
            values.remove_vm(&vm);
        }
    }

    /// Returns whether a member is live, not suspected.
    pub(crate) fn is_live(&self, vm: &str) -> bool {
        let table = self.members.borrow();
        table.get(vm).is_some_and(|record| record.state == MemberState::Live)
    }

    /// Returns the number of members that are live or suspected.
    pub(crate) fn active_member_count(&self) -> usize {
        self.members.borrow().members().iter().filter(|m| partners::is_active(m)).count()
    }

    /// Returns a random link among those that `filter` selects.
    pub(crate) fn random_link(&self, filter: impl Fn(&Link) -> bool) -> Option<Rc<Link>> {
        let mut links = self.links.borrow().all();
        links.retain(|link| filter(link));
        links.choose(&mut rand::rng()).cloned()
    }

    /// Waits until this VM is one of the watchers of its data centre.
    pub(crate) async fn wait_for_watcher_role(&self) {
        let mut changes = self.member_changes.subscribe();
        loop {
            let wait = self.watcher_from.get().saturating_duration_since(Instant::now());
            if wait.is_zero() {
                if self.is_watcher() {
                    return;
                }
                let _ = changes.changed().await;
                monoio::time::sleep(ROLE_PERIOD).await;
            } else {
                // The first link may bring the time forward.
                monoio::time::sleep(wait.min(Duration::from_millis(50))).await;
            }
        }
    }

    /// Waits until this VM is no longer one of the watchers of its data centre.
    pub(crate) async fn wait_for_watcher_role_lost(&self) {
        let mut changes = self.member_changes.subscribe();
        while self.is_watcher() {
            let _ = changes.changed().await;
            monoio::time::sleep(ROLE_PERIOD).await;
        }
    }

    fn is_watcher(&self) -> bool {
        let members = self.members.borrow().members();
        let options = &self.options;
        partners::watchers(&members, &options.data_centre, options.watchers_per_data_centre)
            .contains(&options.vm.as_str())
    }

    /// Returns whether this VM writes the status objects.
    pub(crate) fn is_status_writer(&self) -> bool {
        let members = self.members.borrow().members();
        let count = self.options.watchers_per_data_centre;
        partners::status_writer(&members, count) == Some(self.options.vm.as_str())
    }
}
