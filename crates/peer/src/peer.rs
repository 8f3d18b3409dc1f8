//! Handle to the peer part of a process.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use deck_core::{CancellationToken, id::VmId, timer::TimerService};
use deck_plat::Store;
use futures_util::future::LocalBoxFuture;
use monoio::net::TcpListener;
use tokio::sync::{Notify, watch};

pub(crate) use crate::shared::Shared;
use crate::{
    ConfigView, Member, MemberState, PeerError, PeerOptions, Published, Topic, gossip, membership,
    probe, relay, request, shared, status,
    table::MemberTable,
    traffic::{MessageTraffic, Traffic},
    values::ValueTable,
    watcher,
    wire::MemberRecord,
};

/// Time that the announcement of leaving gets to reach the partners.
const LEAVE_FLUSH: Duration = Duration::from_millis(100);

/// Links, membership, configuration and values of this process; clones share their state.
#[derive(Clone)]
pub struct Peer {
    shared: Rc<Shared>,
}

impl Peer {
    /// Starts the tasks of the peer part on the current runtime; they end when `cancel` is
    /// cancelled.
    pub fn start(
        options: PeerOptions,
        listener: TcpListener,
        store: Store,
        vm_list: Option<SocketAddr>,
        timers: TimerService,
        cancel: CancellationToken,
    ) -> Self {
        let now = Instant::now();
        let has_others = vm_list.is_some() || !options.seeds.is_empty();
        let grace = if has_others { options.join_grace } else { Duration::ZERO };
        let own = own_record(&options, &listener);
        let shared = Rc::new(Shared {
            store,
            traffic: Traffic::new(options.metrics.as_ref()),
            config: ConfigView::default(),
            members: RefCell::new(MemberTable::new(own, now)),
            member_changes: watch::Sender::new(0),
            values: RefCell::new(ValueTable::new(options.vm.clone(), options.incarnation, now)),
            links: RefCell::default(),
            directs: RefCell::default(),
            relay: RefCell::default(),
            handlers: RefCell::default(),
            probes: RefCell::default(),
            dialling: RefCell::default(),
            partners_changed: Notify::new(),
            member_news: RefCell::default(),
            member_news_added: Notify::new(),
            overloaded_until: Cell::new(now),
            watcher_from: Cell::new(now + grace),
            poor_health: Cell::new(0),
            last_id: Cell::new(0),
            cancel,
            options,
        });
        let probes = timers.every(shared.options.probe_period);
        spawn(&shared, membership::accept(shared.clone(), listener));
        spawn(&shared, membership::maintain_links(shared.clone()));
        spawn(&shared, membership::join(shared.clone(), vm_list));
        spawn(&shared, shared::send_member_news(shared.clone()));
        spawn(&shared, probe::run(shared.clone(), probes));
        spawn(&shared, watcher::run(shared.clone()));
        spawn(&shared, relay::announce_changes(shared.clone()));
        spawn(&shared, relay::repair(shared.clone()));
        spawn(&shared, gossip::send_changes(shared.clone()));
        spawn(&shared, gossip::send_summaries(shared.clone()));
        spawn(&shared, status::publish_in_force(shared.clone()));
        spawn(&shared, status::write_status(shared.clone()));
        Self { shared }
    }

    /// Returns all known members, this VM included.
    pub fn members(&self) -> Vec<Member> {
        self.shared.members.borrow().members().to_vec()
    }

    /// Returns a receiver that changes with each change of a member.
    pub fn member_changes(&self) -> watch::Receiver<u64> {
        self.shared.member_changes.subscribe()
    }

    /// Publishes the value of this VM in a topic; it replaces the earlier one.
    ///
    /// Values are for small reports. All VMs together keep to
    /// [`PeerOptions::values_budget_bytes_per_s`]: a value that changes more often than that allows
    /// is sent less often, the newest one each time.
    pub fn publish(&self, topic: Topic, value: Bytes) {
        let period = self.shared.options.refresh_period;
        self.shared.values.borrow_mut().publish(topic, value, Instant::now(), period);
    }

    /// Returns the latest value of each VM in a topic, that of this VM included.
    ///
    /// Values of earlier incarnations and of VMs that have been dead for
    /// [`PeerOptions::value_expiry`] are left out.
    pub fn published(&self, topic: Topic) -> Vec<Published> {
        let values = self.shared.values.borrow();
        let members = self.shared.members.borrow();
        let current = values.of_topic(topic).filter_map(|(vm, entry)| {
            let record = members.get(vm)?;
            (record.incarnation <= entry.incarnation).then(|| Published {
                vm: vm.clone(),
                data_centre: record.data_centre.clone(),
                incarnation: entry.incarnation,
                value: entry.value.clone(),
                age: entry.arrived.elapsed(),
            })
        });
        current.collect()
    }

    /// Sends a request to another VM and waits for its response.
    ///
    /// # Errors
    ///
    /// [`PeerError::may_have_arrived`] tells whether the other VM may have handled the request.
    pub async fn request(
        &self,
        vm: &VmId,
        topic: Topic,
        body: Bytes,
        timeout: Duration,
    ) -> Result<Bytes, PeerError> {
        if *vm != self.shared.options.vm {
            return request::request(&self.shared, vm, topic, body, timeout).await;
        }
        let handler = self.shared.handlers.borrow().get(&topic).cloned();
        let Some(handler) = handler else { return Err(PeerError::NotServed(vm.clone(), topic)) };
        let response = monoio::time::timeout(timeout, handler(vm.clone(), body)).await;
        response.map_err(|_| PeerError::TimedOut(vm.clone(), timeout))
    }

    /// Answers requests of a topic with `handler`, which gets the asking VM and the request.
    pub fn serve<F>(&self, topic: Topic, handler: F)
    where
        F: Fn(VmId, Bytes) -> LocalBoxFuture<'static, Bytes> + 'static,
    {
        self.shared.handlers.borrow_mut().insert(topic, Rc::new(handler));
    }

    /// Returns the configuration in force.
    pub fn config(&self) -> ConfigView {
        self.shared.config.clone()
    }

    /// Announces that this VM stops; returns after the announcement was sent to the partners.
    ///
    /// The links stay open until the peer part is cancelled, so that requests in flight complete.
    pub async fn leave(&self) {
        let record = self.shared.members.borrow_mut().leave(Instant::now());
        if let Some(record) = record {
            self.shared.spread_members(vec![record], None);
        }
        monoio::time::sleep(LEAVE_FLUSH).await;
    }

    /// Returns the traffic since the start, by message type.
    pub fn traffic(&self) -> Vec<MessageTraffic> {
        self.shared.traffic.types()
    }

    /// Returns the number of calls on the object API for configuration and status since the start.
    pub fn store_calls(&self) -> u64 {
        self.shared.traffic.store_calls()
    }

    /// Returns the VMs to which links are open.
    pub fn linked_vms(&self) -> Vec<VmId> {
        self.shared.links.borrow().all().iter().map(|link| link.vm.clone()).collect()
    }
}

fn own_record(options: &PeerOptions, listener: &TcpListener) -> MemberRecord {
    let address = options.address.or_else(|| listener.local_addr().ok());
    let address = address.unwrap_or_else(|| SocketAddr::from(([127, 0, 0, 1], 0)));
    MemberRecord {
        vm: options.vm.clone(),
        data_centre: options.data_centre.clone(),
        region: options.region.clone(),
        address,
        incarnation: options.incarnation,
        refutation: 0,
        state: MemberState::Live,
    }
}

fn spawn(shared: &Rc<Shared>, task: impl Future<Output = ()> + 'static) {
    let cancel = shared.cancel.clone();
    monoio::spawn(async move {
        cancel.run_until_cancelled(task).await;
    });
}
