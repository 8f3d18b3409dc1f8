//! Selects partners, watchers of the object API and the status writer among the active members.
//!
//! The selections depend only on the member table, so VMs with the same table agree on them.

use std::collections::BTreeSet;

use deck_core::{hash::rendezvous_rank, id::VmId};

use crate::{Member, MemberState};

/// Returns whether a member can be a partner or have a role. Suspected members can until they are
/// declared dead, so that a refuted suspicion moves no role.
pub fn is_active(member: &Member) -> bool {
    matches!(member.state, MemberState::Live | MemberState::Suspect)
}

/// Returns the VMs to which `own_member` opens links.
///
/// Most are selected by rendezvous hashing, so that a VM that joins or leaves changes few links.
/// Two kinds of links keep the graph connected for any hash values: each VM links to its successor
/// by name in its data centre, and the first VM of each data centre links to the first one of the
/// next data centre.
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

/// Returns the next VM by name in the data centre, or the first one after the last.
fn successor_by_name(own_member: &Member, same_data_centre: &[&Member]) -> Option<VmId> {
    let later_vm =
        same_data_centre.iter().map(|member| &member.vm).filter(|vm| **vm > own_member.vm).min();
    later_vm.or_else(|| same_data_centre.iter().map(|member| &member.vm).min()).cloned()
}

/// Returns the first VM by name of the next data centre by name, wrapping around after the last.
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

/// Adds the highest-ranked candidates until `partners` has `count` VMs.
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

/// Returns the VMs that watch the object API on behalf of a data centre.
pub fn select_watchers<'a>(members: &'a [Member], data_centre: &str, count: usize) -> Vec<&'a str> {
    let names = members
        .iter()
        .filter(|member| member.data_centre == data_centre && is_active(member))
        .map(|member| member.vm.as_str());
    let mut ranked = rendezvous_rank(&format!("config-watch/{data_centre}"), names);
    ranked.truncate(count);
    ranked
}

/// Returns the VM that writes the status objects: the highest-ranked watcher of all data centres.
pub fn select_status_writer(members: &[Member], count: usize) -> Option<&str> {
    let data_centres: BTreeSet<_> = members.iter().map(|member| &member.data_centre).collect();
    let all_watchers =
        data_centres.into_iter().flat_map(|name| select_watchers(members, name, count));
    rendezvous_rank("status-writer", all_watchers).into_iter().next()
}
