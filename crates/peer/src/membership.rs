//! Links to partners: accepting, opening and closing them, and joining the deployment.

use std::{collections::BTreeSet, net::SocketAddr, rc::Rc, time::Duration};

use deck_core::id::VmId;
use deck_net::Client;
use deck_plat::vmlist;
use monoio::net::{TcpListener, TcpStream};
use rand::seq::IndexedRandom;

use crate::{
    MemberState,
    connection::{self, Connection},
    links,
    partners::{self, choose_partners},
    peer::Shared,
    probe, request,
    wire::Purpose,
};

/// Longest time between checks of the links.
const CHECK_PERIOD: Duration = Duration::from_secs(1);
/// Least time between two choices of partners.
const BATCH_PERIOD: Duration = Duration::from_millis(100);
/// Time for which a link that is no longer chosen stays open, so that news that is under way
/// arrives.
const LINGER: Duration = Duration::from_secs(3);
/// Time in which the VM list has to answer.
const VM_LIST_TIMEOUT: Duration = Duration::from_secs(2);
/// Every that many attempts to rejoin, a live member without a link is contacted, so that tables
/// that differ without anybody noticing are compared. At 330 members a contact costs about 16 KB of
/// summaries.
const ROUNDS_PER_LIVE_CONTACT: u64 = 60;

/// Accepts connections of other VMs.
pub(crate) async fn accept(shared: Rc<Shared>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                monoio::spawn(accept_connection(shared.clone(), stream));
            }
            Err(error) => {
                log::warn!(target: "peer", "accept failed error={error}");
                monoio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

async fn accept_connection(shared: Rc<Shared>, stream: TcpStream) {
    let accepted = shared.cancel.run_until_cancelled(connection::accept(&shared, stream)).await;
    let connection = match accepted {
        Some(Ok(connection)) => connection,
        Some(Err(error)) => {
            log::debug!(target: "peer", "connection refused error={error}");
            return;
        }
        None => return,
    };
    match connection.purpose {
        Purpose::Direct => request::serve(shared, connection).await,
        Purpose::Link if is_link_allowed(&shared, &connection) => {
            links::run(shared, connection, false).await;
        }
        Purpose::Link => {
            log::warn!(target: "peer", "too many links peer={}", connection.remote.vm);
        }
    }
}

fn is_link_allowed(shared: &Shared, connection: &Connection) -> bool {
    let links = shared.links.borrow();
    links.len() < shared.options.max_links || links.get(&connection.remote.vm).is_some()
}

/// Opens links to chosen partners and closes links that are no longer chosen.
pub(crate) async fn maintain_links(shared: Rc<Shared>) {
    loop {
        let changed = shared.partners_changed.notified();
        let _ = monoio::time::timeout(CHECK_PERIOD, changed).await;
        let chosen = chosen_partners(&shared);
        for vm in &chosen {
            open_link(&shared, vm);
        }
        close_links(&shared, &chosen);
        // Many changes at a time, such as the failure of a rack, are handled together: choosing
        // partners costs about 0.1 ms at 330 members.
        monoio::time::sleep(BATCH_PERIOD).await;
    }
}

fn chosen_partners(shared: &Shared) -> BTreeSet<VmId> {
    let table = shared.members.borrow();
    let (own, members) = (table.own().to_member(), table.members());
    let options = &shared.options;
    choose_partners(
        &own,
        &members,
        options.own_data_centre_partners,
        options.other_data_centre_partners,
    )
}

fn open_link(shared: &Rc<Shared>, vm: &VmId) {
    let is_linked = shared.links.borrow().get(vm).is_some();
    if is_linked || !shared.dialling.borrow_mut().insert(vm.clone()) {
        return;
    }
    let (shared, vm) = (shared.clone(), vm.clone());
    monoio::spawn(async move {
        let address = shared.members.borrow().get(&vm).map(|record| record.address);
        if let Some(address) = address
            && !dial_link(&shared, address).await
        {
            probe::verify(shared.clone(), vm.clone()).await;
            // A member that cannot be linked to but answers others is tried again later.
            monoio::time::sleep(CHECK_PERIOD).await;
        }
        shared.dialling.borrow_mut().remove(&vm);
    });
}

/// Opens a link; returns whether it came about.
async fn dial_link(shared: &Rc<Shared>, address: SocketAddr) -> bool {
    match connection::dial(shared, address, Purpose::Link).await {
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

fn close_links(shared: &Shared, chosen: &BTreeSet<VmId>) {
    for link in shared.links.borrow().all() {
        let state = shared.members.borrow().get(&link.vm).map(|record| record.state);
        let is_surplus = link.dialled && !chosen.contains(&link.vm);
        if links::is_older_than(&link, LINGER) && (is_surplus || state == Some(MemberState::Dead)) {
            link.closed.cancel();
        }
    }
}

/// Contacts seeds, listed VMs and dead members, so that VMs find each other at the start and after
/// a partition.
pub(crate) async fn join(shared: Rc<Shared>, vm_list: Option<SocketAddr>) {
    let client = Client::default();
    let mut round = 0;
    loop {
        let listed = match vm_list {
            Some(address) => listed_addresses(&client, address).await,
            None => Vec::new(),
        };
        let is_alone = shared.links.borrow().len() == 0;
        let mut candidates = candidate_addresses(&shared, listed);
        if candidates.is_empty() && round % ROUNDS_PER_LIVE_CONTACT == ROUNDS_PER_LIVE_CONTACT - 1 {
            candidates = unlinked_live_addresses(&shared);
        }
        let count = if is_alone { 3 } else { 1 };
        let chosen: Vec<_> = candidates.sample(&mut rand::rng(), count).copied().collect();
        for address in chosen {
            dial_link(&shared, address).await;
        }
        round += 1;
        let is_alone = shared.links.borrow().len() == 0;
        let wait = if is_alone { CHECK_PERIOD } else { shared.options.rejoin_period };
        monoio::time::sleep(wait.min(shared.options.rejoin_period)).await;
    }
}

async fn listed_addresses(client: &Client, address: SocketAddr) -> Vec<SocketAddr> {
    match vmlist::fetch(client, address, VM_LIST_TIMEOUT).await {
        Ok(list) => list.vms.into_iter().map(|vm| vm.address).collect(),
        Err(error) => {
            log::debug!(target: "peer", "vm list not read error={error}");
            Vec::new()
        }
    }
}

/// Returns the addresses of seeds, listed VMs and dead members that no active member has.
fn candidate_addresses(shared: &Shared, listed: Vec<SocketAddr>) -> Vec<SocketAddr> {
    let members = shared.members.borrow().members();
    let active: BTreeSet<_> = members
        .iter()
        .filter(|member| partners::is_active(member) || member.state == MemberState::Leaving)
        .map(|member| member.address)
        .collect();
    let dead = members.iter().filter(|member| member.state == MemberState::Dead);
    let known = dead.map(|member| member.address);
    let mut candidates: BTreeSet<_> =
        listed.into_iter().chain(shared.options.seeds.iter().copied()).chain(known).collect();
    candidates.retain(|address| !active.contains(address));
    candidates.into_iter().collect()
}

fn unlinked_live_addresses(shared: &Shared) -> Vec<SocketAddr> {
    let members = shared.members.borrow().members();
    let links = shared.links.borrow();
    members
        .iter()
        .filter(|member| member.vm != shared.options.vm && partners::is_active(member))
        .filter(|member| links.get(&member.vm).is_none())
        .map(|member| member.address)
        .collect()
}
