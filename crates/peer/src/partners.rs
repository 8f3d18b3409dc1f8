//! Choice of partners, watchers and the status writer among live members.
//!
//! All choices are functions of the member table alone, so VMs with the same table agree.

use std::collections::BTreeSet;

use deck_core::{hash::rendezvous_rank, id::VmId};

use crate::{Member, MemberState};

/// Returns whether a member counts for ranks and partners. A suspected member does until it is
/// dead, so that a suspicion that is refuted moves no role.
pub fn is_active(member: &Member) -> bool {
    matches!(member.state, MemberState::Live | MemberState::Suspect)
}

/// Returns the partners that `own` chooses.
///
/// Most are chosen by rendezvous hashing, so that a VM that comes or goes changes few links. Two
/// kinds of links keep the graph connected whatever the hashes are: each VM links to its successor
/// by name in its data centre, and the first VM of each data centre links to the first one of the
/// next data centre.
pub fn choose_partners(
    own: &Member,
    members: &[Member],
    own_count: usize,
    other_count: usize,
) -> BTreeSet<VmId> {
    let active = members.iter().filter(|member| is_active(member) && member.vm != own.vm);
    let (near, far): (Vec<_>, Vec<_>) =
        active.partition(|member| member.data_centre == own.data_centre);
    let mut partners = BTreeSet::new();
    partners.extend(successor(own, &near));
    add_ranked(&mut partners, own, &near, own_count);
    let mut far_partners = BTreeSet::new();
    if near.iter().all(|member| own.vm < member.vm) {
        far_partners.extend(first_of_next_data_centre(own, &far));
    }
    add_ranked(&mut far_partners, own, &far, other_count);
    partners.extend(far_partners);
    partners
}

fn successor(own: &Member, near: &[&Member]) -> Option<VmId> {
    let later = near.iter().map(|member| &member.vm).filter(|vm| **vm > own.vm).min();
    later.or_else(|| near.iter().map(|member| &member.vm).min()).cloned()
}

fn first_of_next_data_centre(own: &Member, far: &[&Member]) -> Option<VmId> {
    let later = far.iter().map(|member| &member.data_centre).filter(|d| **d > own.data_centre);
    let next = later.min().or_else(|| far.iter().map(|member| &member.data_centre).min())?;
    far.iter().filter(|member| member.data_centre == *next).map(|member| member.vm.clone()).min()
}

fn add_ranked(partners: &mut BTreeSet<VmId>, own: &Member, from: &[&Member], count: usize) {
    let names = from.iter().map(|member| member.vm.as_str());
    for vm in rendezvous_rank(&own.vm, names) {
        if partners.len() >= count {
            break;
        }
        partners.insert(vm.to_owned());
    }
}

/// Returns the VMs that watch the object API for a data centre.
pub fn watchers<'a>(members: &'a [Member], data_centre: &str, count: usize) -> Vec<&'a str> {
    let names = members
        .iter()
        .filter(|member| member.data_centre == data_centre && is_active(member))
        .map(|member| member.vm.as_str());
    let mut ranked = rendezvous_rank(&format!("config-watch/{data_centre}"), names);
    ranked.truncate(count);
    ranked
}

/// Returns the VM that writes the status objects: the first-ranked one of all watchers.
pub fn status_writer(members: &[Member], count: usize) -> Option<&str> {
    let data_centres: BTreeSet<_> = members.iter().map(|member| &member.data_centre).collect();
    let all = data_centres.into_iter().flat_map(|name| watchers(members, name, count));
    rendezvous_rank("status-writer", all).into_iter().next()
}
