//! Selection of partners, watchers and the status writer.

use std::collections::{BTreeMap, BTreeSet};

use deck_peer::{
    Member, MemberState,
    partners::{select_partners, select_status_writer, select_watchers},
};
use test_case::test_case;

fn members(data_centres: usize, per_data_centre: usize) -> Vec<Member> {
    let member = |vm_number: usize| Member {
        vm: format!("vm-{vm_number}"),
        data_centre: format!("dc-{}", vm_number % data_centres),
        region: "region".to_owned(),
        address: ([127, 0, 0, 1], 1).into(),
        incarnation: 1,
        state: MemberState::Live,
    };
    (0..data_centres * per_data_centre).map(member).collect()
}

fn is_connected(members: &[Member], links: &BTreeMap<String, BTreeSet<String>>) -> bool {
    let mut reached_vms = BTreeSet::from([members[0].vm.clone()]);
    let mut unvisited = vec![members[0].vm.clone()];
    while let Some(vm) = unvisited.pop() {
        let incoming = links.iter().filter(|(_, to)| to.contains(&vm)).map(|(from, _)| from);
        for next in links[&vm].iter().chain(incoming) {
            if reached_vms.insert(next.clone()) {
                unvisited.push(next.clone());
            }
        }
    }
    reached_vms.len() == members.len()
}

/// Guards against a link graph that is disconnected, or a VM with too many partners, for some
/// number of members.
#[test_case(1, 1)]
#[test_case(1, 8)]
#[test_case(4, 2; "today's size")]
#[test_case(8, 1; "one vm in each data centre")]
#[test_case(3, 20)]
#[test_case(8, 41; "design size")]
fn link_graph_is_connected_and_partner_count_is_limited(
    data_centres: usize,
    per_data_centre: usize,
) {
    let mut members = members(data_centres, per_data_centre);
    // Each round removes about a third of the members, spread over the names in a fixed order.
    while !members.is_empty() {
        for (own_count, other_count) in [(5, 3), (1, 1)] {
            let links: BTreeMap<_, _> = members
                .iter()
                .map(|own_member| {
                    (
                        own_member.vm.clone(),
                        select_partners(own_member, &members, own_count, other_count),
                    )
                })
                .collect();
            for (vm, partners) in &links {
                assert!(partners.len() <= own_count + other_count, "{vm} has {partners:?}");
                assert!(!partners.contains(vm));
            }
            assert!(is_connected(&members, &links), "{} members", members.len());
        }
        let removed_count = (members.len() / 3).max(1);
        for step in 0..removed_count {
            members.remove(step * 7 % members.len());
        }
    }
}

/// Guards against the death of one VM changing the partners of many others.
#[test]
fn one_death_changes_few_links() {
    let all_members = members(8, 41);
    let mut remaining_members = all_members.clone();
    remaining_members.remove(100);
    let changed: usize = remaining_members
        .iter()
        .map(|own_member| {
            let before = select_partners(own_member, &all_members, 5, 3);
            select_partners(own_member, &remaining_members, 5, 3).difference(&before).count()
        })
        .sum();
    assert!(changed <= 30, "{changed} links changed");
}

/// Guards against dead or leaving VMs that stay watcher or status writer, and against suspected VMs
/// that lose the role.
#[test_case(MemberState::Live, true)]
#[test_case(MemberState::Suspect, true; "a suspicion moves no role")]
#[test_case(MemberState::Leaving, false)]
#[test_case(MemberState::Dead, false)]
fn only_active_members_keep_their_roles(state: MemberState, keeps_role: bool) {
    let mut members = members(2, 6);
    let first_watcher = select_watchers(&members, "dc-0", 2)[0].to_owned();
    let writer = select_status_writer(&members, 2).expect("a writer").to_owned();
    for member in
        members.iter_mut().filter(|member| member.vm == first_watcher || member.vm == writer)
    {
        member.state = state;
    }
    assert_eq!(select_watchers(&members, "dc-0", 2).contains(&first_watcher.as_str()), keeps_role);
    assert_eq!(select_watchers(&members, "dc-0", 2).len(), 2);
    assert_eq!(select_status_writer(&members, 2) == Some(writer.as_str()), keeps_role);
}
