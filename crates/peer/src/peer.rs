//! Main type of the crate: starts its background tasks and gives access to their state.

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

pub(crate) use crate::shared::SharedState;
use crate::{
    ConfigView, Member, MemberState, PeerError, PeerOptions, PublishedValue, Topic, gossip,
    membership, probe, relay, request, shared, status,
    table::MemberTable,
    traffic::{MessageTraffic, Traffic},
    values::ValueTable,
    watcher,
    wire::MemberRecord,
};

/// Time to wait after announcing that this VM leaves, so that the message is written to the links.
const LEAVE_FLUSH_TIME: Duration = Duration::from_millis(100);

/// Handle to the links, membership, configuration and published values of this process; clones
/// share their state.
#[derive(Clone)]
pub struct PeerService {
    shared: Rc<SharedState>,
}

impl PeerService {
    /// Starts the background tasks on the current runtime; they end when `cancel` is cancelled.
    ///
    /// `vm_list` is the address of the service that lists the VMs of the deployment.
    pub fn start(
        options: PeerOptions,
        listener: TcpListener,
        store: Store,
        vm_list: Option<SocketAddr>,
        timers: TimerService,
        cancel: CancellationToken,
    ) -> Self {
        let now = Instant::now();
        let may_find_other_vms = vm_list.is_some() || !options.seed_addresses.is_empty();
        let watcher_delay =
            if may_find_other_vms { options.max_watch_start_delay } else { Duration::ZERO };
        let own_record = own_member_record(&options, &listener);
        let shared = Rc::new(SharedState {
            store,
            traffic: Traffic::new(options.metrics.as_ref()),
            config: ConfigView::default(),
            members: RefCell::new(MemberTable::new(own_record, now)),
            member_changes: watch::Sender::new(0),
            values: RefCell::new(ValueTable::new(options.vm.clone(), options.incarnation, now)),
            links: RefCell::default(),
            direct_connections: RefCell::default(),
            relay_state: RefCell::default(),
            request_handlers: RefCell::default(),
            pending_probes: RefCell::default(),
            dialling_vms: RefCell::default(),
            partners_changed: Notify::new(),
            pending_member_updates: RefCell::default(),
            member_update_queued: Notify::new(),
            suspicion_paused_until: Cell::new(now),
            watcher_eligible_at: Cell::new(now + watcher_delay),
            health_penalty: Cell::new(0),
            last_id: Cell::new(0),
            cancel,
            options,
        });
        let probe_ticks = timers.every(shared.options.probe_period);
        spawn_until_cancelled(&shared, membership::accept(shared.clone(), listener));
        spawn_until_cancelled(&shared, membership::maintain_links(shared.clone()));
        spawn_until_cancelled(&shared, membership::join(shared.clone(), vm_list));
        spawn_until_cancelled(&shared, shared::send_member_updates(shared.clone()));
        spawn_until_cancelled(&shared, probe::run(shared.clone(), probe_ticks));
        spawn_until_cancelled(&shared, watcher::run(shared.clone()));
        spawn_until_cancelled(&shared, relay::announce_changes(shared.clone()));
        spawn_until_cancelled(&shared, relay::run_anti_entropy(shared.clone()));
        spawn_until_cancelled(&shared, gossip::send_value_changes(shared.clone()));
        spawn_until_cancelled(&shared, gossip::send_summaries(shared.clone()));
        spawn_until_cancelled(&shared, status::publish_in_force(shared.clone()));
        spawn_until_cancelled(&shared, status::write_status(shared.clone()));
        Self { shared }
    }

    /// Returns all known members, this VM included.
    pub fn members(&self) -> Vec<Member> {
        self.shared.members.borrow().members().to_vec()
    }

    /// Returns a receiver that is notified whenever a member is added or changes.
    pub fn member_changes(&self) -> watch::Receiver<u64> {
        self.shared.member_changes.subscribe()
    }

    /// Publishes a value of this VM in a topic to all VMs; it replaces the earlier one.
    ///
    /// Values are meant for small reports. The values of all VMs together stay within
    /// [`PeerOptions::values_budget_bytes_per_s`]: if a value changes more often than the budget
    /// allows, intermediate values are skipped and only the newest one is sent.
    pub fn publish(&self, topic: Topic, value: Bytes) {
        let period = self.shared.options.value_refresh_period;
        self.shared.values.borrow_mut().publish(topic, value, Instant::now(), period);
    }

    /// Returns the latest value that each VM published in a topic, including this VM.
    ///
    /// Values from earlier runs of a VM and from VMs that have been dead for
    /// [`PeerOptions::value_expiry`] are excluded.
    pub fn published_values(&self, topic: Topic) -> Vec<PublishedValue> {
        let values = self.shared.values.borrow();
        let members = self.shared.members.borrow();
        let current_values = values.values_of_topic(topic).filter_map(|(vm, entry)| {
            let record = members.get(vm)?;
            (record.incarnation <= entry.incarnation).then(|| PublishedValue {
                vm: vm.clone(),
                data_centre: record.data_centre.clone(),
                incarnation: entry.incarnation,
                value: entry.value.clone(),
                age: entry.received_at.elapsed(),
            })
        });
        current_values.collect()
    }

    /// Sends a request to another VM and waits for its response.
    ///
    /// # Errors
    ///
    /// Returns an error if no response was received; [`PeerError::may_have_arrived`] says whether
    /// the other VM may still have handled the request.
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
        let handler = self.shared.request_handlers.borrow().get(&topic).cloned();
        let Some(handler) = handler else { return Err(PeerError::NotServed(vm.clone(), topic)) };
        let response = monoio::time::timeout(timeout, handler(vm.clone(), body)).await;
        response.map_err(|_| PeerError::TimedOut(vm.clone(), timeout))
    }

    /// Registers `handler` for requests of a topic. It receives the requesting VM and the request
    /// body and returns the response body.
    pub fn set_request_handler<F>(&self, topic: Topic, handler: F)
    where
        F: Fn(VmId, Bytes) -> LocalBoxFuture<'static, Bytes> + 'static,
    {
        self.shared.request_handlers.borrow_mut().insert(topic, Rc::new(handler));
    }

    /// Returns a view of the accepted configuration.
    pub fn config(&self) -> ConfigView {
        self.shared.config.clone()
    }

    /// Announces to the other VMs that this VM is leaving the deployment; returns when the
    /// announcement has had time to be sent.
    ///
    /// Links and connections stay open until the `cancel` token of [`Self::start`] is cancelled, so
    /// that requests in flight complete.
    pub async fn leave(&self) {
        let record = self.shared.members.borrow_mut().leave(Instant::now());
        if let Some(record) = record {
            self.shared.queue_member_updates(vec![record], None);
        }
        monoio::time::sleep(LEAVE_FLUSH_TIME).await;
    }

    /// Returns the numbers and sizes of messages since the start, one element for each message
    /// type.
    pub fn traffic(&self) -> Vec<MessageTraffic> {
        self.shared.traffic.by_type()
    }

    /// Returns how many calls this process made on the object API for configuration and status.
    pub fn store_call_count(&self) -> u64 {
        self.shared.traffic.store_call_count()
    }

    /// Returns the VMs to which links are open.
    pub fn linked_vms(&self) -> Vec<VmId> {
        self.shared.links.borrow().all().iter().map(|link| link.vm.clone()).collect()
    }
}

/// Returns the initial member record of this VM.
fn own_member_record(options: &PeerOptions, listener: &TcpListener) -> MemberRecord {
    let address = options.advertised_address.or_else(|| listener.local_addr().ok());
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

/// Spawns a background task that ends when the `cancel` token is cancelled.
fn spawn_until_cancelled(shared: &Rc<SharedState>, task: impl Future<Output = ()> + 'static) {
    let cancel = shared.cancel.clone();
    monoio::spawn(async move {
        cancel.run_until_cancelled(task).await;
    });
}
