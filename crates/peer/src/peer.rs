//! Handle to the peer part of a process.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use deck_core::{CancellationToken, id::VmId, timer::TimerService};
use deck_plat::Store;
use futures_util::future::LocalBoxFuture;
use monoio::net::TcpListener;
use tokio::sync::watch;

use crate::{ConfigView, Member, MemberState, PeerError, PeerOptions, Published, Topic, watcher};

/// Function that answers requests of a topic.
pub(crate) type Handler = dyn Fn(VmId, Bytes) -> LocalBoxFuture<'static, Bytes>;

/// Links, membership, configuration and values of this process; clones share their state.
#[derive(Clone)]
pub struct Peer {
    shared: Rc<Shared>,
}

/// State of the peer part that its tasks share.
pub(crate) struct Shared {
    pub(crate) options: PeerOptions,
    pub(crate) store: Store,
    /// Calls on the object API for configuration.
    pub(crate) store_calls: Cell<u64>,
    pub(crate) config: ConfigView,
    pub(crate) own: RefCell<Member>,
    pub(crate) member_changes: watch::Sender<u64>,
    values: RefCell<BTreeMap<Topic, (Bytes, Instant)>>,
    handlers: RefCell<HashMap<Topic, Rc<Handler>>>,
}

impl Peer {
    /// Starts the tasks of the peer part on the current runtime; they end when `cancel` is
    /// cancelled.
    pub fn start(
        options: PeerOptions,
        _listener: TcpListener,
        store: Store,
        _vm_list: Option<SocketAddr>,
        _timers: TimerService,
        cancel: CancellationToken,
    ) -> Self {
        let own = Member {
            vm: options.vm.clone(),
            data_centre: options.data_centre.clone(),
            region: options.region.clone(),
            address: options.address.unwrap_or(SocketAddr::from(([127, 0, 0, 1], 0))),
            incarnation: options.incarnation,
            state: MemberState::Live,
        };
        let shared = Rc::new(Shared {
            options,
            store,
            store_calls: Cell::new(0),
            config: ConfigView::default(),
            own: RefCell::new(own),
            member_changes: watch::Sender::new(0),
            values: RefCell::default(),
            handlers: RefCell::default(),
        });
        let watcher = watcher::run(shared.clone());
        monoio::spawn(async move {
            cancel.run_until_cancelled(watcher).await;
        });
        Self { shared }
    }

    /// Returns all known members, this VM included.
    pub fn members(&self) -> Vec<Member> {
        vec![self.shared.own.borrow().clone()]
    }

    /// Returns a receiver that changes with each change of a member.
    pub fn member_changes(&self) -> watch::Receiver<u64> {
        self.shared.member_changes.subscribe()
    }

    /// Publishes the value of this VM in a topic; it replaces the earlier one.
    pub fn publish(&self, topic: Topic, value: Bytes) {
        self.shared.values.borrow_mut().insert(topic, (value, Instant::now()));
    }

    /// Returns the latest value of each VM in a topic, that of this VM included.
    pub fn published(&self, topic: Topic) -> Vec<Published> {
        let values = self.shared.values.borrow();
        let own = self.shared.own.borrow();
        let published = values.get(&topic).map(|(value, since)| Published {
            vm: own.vm.clone(),
            data_centre: own.data_centre.clone(),
            incarnation: own.incarnation,
            value: value.clone(),
            age: since.elapsed(),
        });
        published.into_iter().collect()
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
            return Err(PeerError::UnknownVm(vm.clone()));
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

    /// Announces that this VM stops; returns after the announcement was handed to the links.
    pub async fn leave(&self) {
        self.shared.own.borrow_mut().state = MemberState::Leaving;
        self.shared.member_changes.send_modify(|count| *count += 1);
    }
}

impl Shared {
    /// Waits until this VM is one of the watchers of its data centre.
    pub(crate) async fn wait_for_watcher_role(&self) {}

    /// Waits until this VM is no longer one of the watchers of its data centre.
    pub(crate) async fn wait_for_watcher_role_lost(&self) {
        std::future::pending().await
    }
}
