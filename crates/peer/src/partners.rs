//! Selects partners, watchers of the object API and the status writer among the active members.
//!
//! The selections depend only on the member table, so VMs with the same table make the same
//! selection without an election.

use std::collections::BTreeSet;

use deck_core::{hash::rendezvous_rank, id::VmId};

use crate::{Member, MemberState};

/// Returns whether a member can be selected: it is live or suspected. Suspected members can be
/// selected, so that a suspicion that is refuted later changes no selection.
pub fn is_active(member: &Member) -> bool {
    matches!(member.state, MemberState::Live | MemberState::Suspect)
}

/// Returns the VMs to which `own_member` opens links.
///
/// Most partners are selected by rendezvous hashing, so that a VM that joins or leaves changes few
/// links. Two kinds of links keep the graph of all links connected for any hash values: each VM
/// opens one to its successor by name in its data centre, and the first VM of each data centre
/// opens one to the first VM of the next data centre.
pub fn select_partners(
    own_member: &Member,
    members: &[Member],
    same_data_centre_count: usize,
    other_data_centre_count: usize,
) -> BTreeSet<VmId> {
    let active_members =
        members.iter().filter(|member| is_active(member) && member.vm != own_member.vm);
    let (same_data_centre, other_data_centres): (Vec<_>, Vec<_>) =
        active_members.partition(|member| member.data_centre == own_member.data_centre);
    let mut partners = BTreeSet::new();
    partners.extend(successor_by_name(own_member, &same_data_centre));
    add_by_rendezvous_rank(&mut partners, own_member, &same_data_centre, same_data_centre_count);
    let mut remote_partners = BTreeSet::new();
    if same_data_centre.iter().all(|member| own_member.vm < member.vm) {
        remote_partners.extend(first_of_next_data_centre(own_member, &other_data_centres));
    }
    add_by_rendezvous_rank(
        &mut remote_partners,
        own_member,
        &other_data_centres,
        other_data_centre_count,
    );
    partners.extend(remote_partners);
    partners
}

/// Returns the next VM of the data centre by name, or the first one if `own_member` is the last.
fn successor_by_name(own_member: &Member, same_data_centre: &[&Member]) -> Option<VmId> {
    let later_vm =
        same_data_centre.iter().map(|member| &member.vm).filter(|vm| **vm > own_member.vm).min();
    later_vm.or_else(|| same_data_centre.iter().map(|member| &member.vm).min()).cloned()
}

/// Returns the first VM by name in the next data centre by name. The next one after the last data
/// centre is the first.
fn first_of_next_data_centre(own_member: &Member, other_data_centres: &[&Member]) -> Option<VmId> {
    let later_names = other_data_centres
        .iter()
        .map(|member| &member.data_centre)
        .filter(|name| **name > own_member.data_centre);
    let next_data_centre = later_names
        .min()
        .or_else(|| other_data_centres.iter().map(|member| &member.data_centre).min())?;
    other_data_centres
        .iter()
        .filter(|member| member.data_centre == *next_data_centre)
        .map(|member| member.vm.clone())
        .min()
}

/// Adds candidates in the order of their rendezvous rank until `partners` has `count` VMs.
fn add_by_rendezvous_rank(
    partners: &mut BTreeSet<VmId>,
    own_member: &Member,
    candidates: &[&Member],
    count: usize,
) {
    let names = candidates.iter().map(|member| member.vm.as_str());
    for vm in rendezvous_rank(&own_member.vm, names) {
        if partners.len() >= count {
            break;
        }
        partners.insert(vm.to_owned());
    }
}

/// Returns the `count` VMs that watch the object API for their data centre.
pub fn select_watchers<'a>(members: &'a [Member], data_centre: &str, count: usize) -> Vec<&'a str> {
    let names = members
        .iter()
        .filter(|member| member.data_centre == data_centre && is_active(member))
        .map(|member| member.vm.as_str());
    let mut ranked = rendezvous_rank(&format!("config-watch/{data_centre}"), names);
    ranked.truncate(count);
    ranked
}

/// Returns the VM that writes the status objects: the highest-ranked of the watchers of all data
/// centres, of which each has `watchers_per_data_centre`.
pub fn select_status_writer(members: &[Member], watchers_per_data_centre: usize) -> Option<&str> {
    let data_centres: BTreeSet<_> = members.iter().map(|member| &member.data_centre).collect();
    let all_watchers = data_centres
        .into_iter()
        .flat_map(|name| select_watchers(members, name, watchers_per_data_centre));
    rendezvous_rank("status-writer", all_watchers).into_iter().next()
}
