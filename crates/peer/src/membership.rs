//! Accepts connections, keeps links to the selected partners open, and contacts VMs that this VM is
//! not connected to, so that it joins the deployment.

use std::{
    collections::{BTreeSet, VecDeque},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use deck_core::{CancellationToken, id::VmId};
use deck_net::{Client, turns::yield_turn};
use deck_plat::vmlist;
use monoio::net::{TcpListener, TcpStream};
use rand::seq::IndexedRandom;

use crate::{
    MemberState,
    connection::{self, Connection},
    links,
    partners::{self, select_partners},
    peer::SharedState,
    probe, request,
    wire::ConnectionPurpose,
};

/// Maximum number of incoming connections whose handshakes are not complete.
const MAX_HANDSHAKES: usize = 128;
/// Time between two checks whether links have to be opened or closed; a changed member causes an
/// earlier check.
const LINK_CHECK_PERIOD: Duration = Duration::from_secs(1);
/// Minimum time between two selections of partners, each of which takes about 0.1 ms at 330
/// members.
const MIN_PARTNER_SELECTION_PERIOD: Duration = Duration::from_millis(100);
/// Age that a link must have before it is closed because its VM is no longer selected or is dead.
/// Closing younger links could lose updates that are in flight.
const MIN_LINK_AGE: Duration = Duration::from_secs(3);
/// Timeout for fetching the addresses of the VM list.
const VM_LIST_TIMEOUT: Duration = Duration::from_secs(2);
/// Number of rounds of [`join`] after which one round opens a link to a random live member that has
/// none, so that differences between member tables that the partners do not detect are found. At
/// 330 members this costs about 16 KB of summaries.
const ROUNDS_PER_RECONCILIATION: u64 = 60;

/// Accepts incoming connections from other VMs. Of more than `MAX_HANDSHAKES` connections whose
/// handshakes are not complete, the oldest is closed.
pub(crate) async fn accept(shared: Rc<SharedState>, listener: TcpListener) {
    let mut handshakes: VecDeque<CancellationToken> = VecDeque::new();
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                handshakes.retain(|handshake| !handshake.is_cancelled());
                let is_full = handshakes.len() >= MAX_HANDSHAKES;
                if is_full && let Some(oldest) = handshakes.pop_front() {
                    oldest.cancel();
                }
                let handshake = CancellationToken::new();
                handshakes.push_back(handshake.clone());
                monoio::spawn(accept_connection(shared.clone(), stream, handshake));
                if is_full {
                    yield_turn().await;
                }
            }
            Err(error) => {
                log::warn!(target: "peer", "accept failed error={error}");
                monoio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

/// Performs the handshakes on an incoming connection and serves it as a link or direct connection.
/// `handshake` is cancelled to close the connection before its handshakes are complete, and at their
/// end.
async fn accept_connection(
    shared: Rc<SharedState>,
    stream: TcpStream,
    handshake: CancellationToken,
) {
    let accepted = connection::accept(&shared, stream);
    let accepted = handshake.run_until_cancelled(accepted);
    let accepted = shared.cancel.run_until_cancelled(accepted).await.flatten();
    handshake.cancel();
    let connection = match accepted {
        Some(Ok(connection)) => connection,
        Some(Err(error)) => {
            log::debug!(target: "peer", "connection refused error={error}");
            return;
        }
        None => return,
    };
    match connection.purpose {
        ConnectionPurpose::Direct => request::serve(shared, connection).await,
        ConnectionPurpose::Link if is_link_allowed(&shared, &connection) => {
            links::run(shared, connection, false).await;
        }
        ConnectionPurpose::Link => {
            log::warn!(target: "peer", "too many links peer={}", connection.remote.vm);
        }
    }
}

/// Returns whether an incoming link may be opened: `max_links` is not reached, or the link replaces
/// one to the same VM.
fn is_link_allowed(shared: &SharedState, connection: &Connection) -> bool {
    let links = shared.links.borrow();
    links.len() < shared.options.max_links || links.get(&connection.remote.vm).is_some()
}

/// Keeps links open to the selected partners and closes links to VMs that are no longer selected.
pub(crate) async fn maintain_links(shared: Rc<SharedState>) {
    loop {
        let changed = shared.partners_changed.notified();
        let _ = monoio::time::timeout(LINK_CHECK_PERIOD, changed).await;
        let selected_partners = current_partners(&shared);
        for vm in &selected_partners {
            open_link(&shared, vm);
        }
        close_unneeded_links(&shared, &selected_partners);
        // Changes in this time, such as the failure of a rack, are handled by one selection.
        monoio::time::sleep(MIN_PARTNER_SELECTION_PERIOD).await;
    }
}

/// Selects the partners of this VM from the current member table.
fn current_partners(shared: &SharedState) -> BTreeSet<VmId> {
    let table = shared.members.borrow();
    let (own_member, members) = (table.own_record().to_member(), table.members());
    let options = &shared.options;
    select_partners(
        &own_member,
        &members,
        options.own_data_centre_partners,
        options.other_data_centre_partners,
    )
}

/// Starts to open a link to a member, unless there is one or an attempt is in progress.
fn open_link(shared: &Rc<SharedState>, vm: &VmId) {
    let is_linked = shared.links.borrow().get(vm).is_some();
    if is_linked || !shared.dialling_vms.borrow_mut().insert(vm.clone()) {
        return;
    }
    let (shared, vm) = (shared.clone(), vm.clone());
    monoio::spawn(async move {
        let address = shared.members.borrow().get(&vm).map(|record| record.address);
        if let Some(address) = address
            && !dial_link(&shared, address).await
        {
            probe::verify_member(shared.clone(), vm.clone()).await;
            // If the member is not suspected, it stays selected: wait before the next attempt.
            monoio::time::sleep(LINK_CHECK_PERIOD).await;
        }
        shared.dialling_vms.borrow_mut().remove(&vm);
    });
}

/// Opens a link to the VM at `address`; returns whether the connection was established.
async fn dial_link(shared: &Rc<SharedState>, address: SocketAddr) -> bool {
    match connection::dial(shared, address, ConnectionPurpose::Link).await {
        Ok(connection) => {
            monoio::spawn(links::run(shared.clone(), connection, true));
            true
        }
        Err(error) => {
            log::debug!(target: "peer", "link not opened address={address} error={error}");
            false
        }
    }
}

/// Closes links that this VM opened to VMs no longer selected, and links to dead members.
fn close_unneeded_links(shared: &SharedState, selected_partners: &BTreeSet<VmId>) {
    for link in shared.links.borrow().all() {
        let state = shared.members.borrow().get(&link.vm).map(|record| record.state);
        let is_surplus = link.opened_locally && !selected_partners.contains(&link.vm);
        if links::has_been_open_for(&link, MIN_LINK_AGE)
            && (is_surplus || state == Some(MemberState::Dead))
        {
            link.close_requested.cancel();
        }
    }
}

/// In each round, contacts random VMs among the seeds, the VM list and the dead members, so that
/// VMs find each other at startup and after a network partition. Opening a link makes both VMs
/// exchange their member tables.
pub(crate) async fn join(shared: Rc<SharedState>, vm_list: Option<SocketAddr>) {
    let client = Client::default();
    let mut round = 0;
    loop {
        let listed_addresses = match vm_list {
            Some(address) => fetch_vm_list(&client, address).await,
            None => Vec::new(),
        };
        let is_alone = shared.links.borrow().len() == 0;
        let mut candidates = join_candidates(&shared, listed_addresses);
        if candidates.is_empty()
            && round % ROUNDS_PER_RECONCILIATION == ROUNDS_PER_RECONCILIATION - 1
        {
            candidates = unlinked_live_addresses(&shared);
        }
        // A VM without links contacts several at once, to join sooner.
        let count = if is_alone { 3 } else { 1 };
        let selected_addresses: Vec<_> =
            candidates.sample(&mut rand::rng(), count).copied().collect();
        for address in selected_addresses {
            dial_link(&shared, address).await;
        }
        round += 1;
        let is_alone = shared.links.borrow().len() == 0;
        let delay = if is_alone { LINK_CHECK_PERIOD } else { shared.options.rejoin_period };
        monoio::time::sleep(delay.min(shared.options.rejoin_period)).await;
    }
}

/// Fetches the addresses of the VM list; returns an empty list if that fails.
async fn fetch_vm_list(client: &Client, address: SocketAddr) -> Vec<SocketAddr> {
    match vmlist::fetch(client, address, VM_LIST_TIMEOUT).await {
        Ok(list) => list.vms.into_iter().map(|vm| vm.address).collect(),
        Err(error) => {
            log::debug!(target: "peer", "vm list not read error={error}");
            Vec::new()
        }
    }
}

/// Returns the addresses of seeds, listed VMs and dead members, without those that belong to a
/// live, suspected or leaving member.
fn join_candidates(shared: &SharedState, listed_addresses: Vec<SocketAddr>) -> Vec<SocketAddr> {
    let members = shared.members.borrow().members();
    let active_addresses: BTreeSet<_> = members
        .iter()
        .filter(|member| partners::is_active(member) || member.state == MemberState::Leaving)
        .map(|member| member.address)
        .collect();
    let dead_members = members.iter().filter(|member| member.state == MemberState::Dead);
    let dead_addresses = dead_members.map(|member| member.address);
    let mut candidates: BTreeSet<_> = listed_addresses
        .into_iter()
        .chain(shared.options.seed_addresses.iter().copied())
        .chain(dead_addresses)
        .collect();
    candidates.retain(|address| !active_addresses.contains(address));
    candidates.into_iter().collect()
}

/// Returns the addresses of live and suspected members to which no link is open.
fn unlinked_live_addresses(shared: &SharedState) -> Vec<SocketAddr> {
    let members = shared.members.borrow().members();
    let links = shared.links.borrow();
    members
        .iter()
        .filter(|member| member.vm != shared.options.vm && partners::is_active(member))
        .filter(|member| links.get(&member.vm).is_none())
        .map(|member| member.address)
        .collect()
}
