//! Configuration relay between VMs, and the status objects that report acceptance.

mod common;

use std::time::Duration;

use common::{
    Cluster, Node, eventually, malformed_pool, pool, pool_kind, run, wait_joined, wait_slots,
};
use deck_core::object::{Kind, ObjectStatus};
use deck_net::Client;
use deck_peer::MemberState;
use deck_plat::{Precondition, Store};

fn node_refs(nodes: &[Node]) -> Vec<&Node> {
    nodes.iter().collect()
}

/// Guards against a change that reaches only the VMs that watch the object API.
#[test]
fn change_reaches_vms_that_do_not_watch() {
    run(async {
        let cluster = Cluster::default();
        cluster.store.put(pool_kind(), "ranks", pool(1));
        let mut nodes = cluster.start_data_centre("a", 4).await;
        nodes.extend(cluster.start_data_centre("b", 4).await);
        wait_slots(&node_refs(&nodes), "ranks", Some(1)).await;
        eventually("two watches in each data centre", async || {
            nodes.iter().map(|node| node.endpoint.open_watches.get()).sum::<u32>() == 4
        })
        .await;
        cluster.store.put(pool_kind(), "ranks", pool(2));
        wait_slots(&node_refs(&nodes), "ranks", Some(2)).await;
        cluster.store.delete(pool_kind(), "ranks");
        wait_slots(&node_refs(&nodes), "ranks", None).await;
        assert!(nodes.iter().all(|node| node.peer.config().is_synced()));
    });
}

/// Guards against a data centre that receives no changes after its watchers died.
#[test]
fn dead_watchers_are_replaced() {
    run(async {
        let cluster = Cluster::default();
        cluster.store.put(pool_kind(), "ranks", pool(1));
        let mut nodes = cluster.start_data_centre("a", 5).await;
        eventually("two watches", async || watching_vms(&nodes).len() == 2).await;
        let stopped_vms = watching_vms(&nodes);
        nodes.retain(|node| !stopped_vms.contains(&node.vm));
        eventually("two other watches", async || watching_vms(&nodes).len() == 2).await;
        cluster.store.put(pool_kind(), "ranks", pool(2));
        wait_slots(&node_refs(&nodes), "ranks", Some(2)).await;
    });
}

fn watching_vms(nodes: &[Node]) -> Vec<String> {
    let watching_vms = nodes.iter().filter(|node| node.endpoint.open_watches.get() > 0);
    watching_vms.map(|node| node.vm.clone()).collect()
}

/// Guards against two sides of a network partition that do not reconnect, or that restore old
/// versions when they do.
#[test]
fn healed_partition_restores_no_old_version() {
    run(async {
        let cluster = Cluster::default();
        cluster.store.put(pool_kind(), "ranks", pool(1));
        cluster.store.put(pool_kind(), "gone", pool(1));
        let side_a = cluster.start_data_centre("a", 3).await;
        let side_b = cluster.start_data_centre("b", 3).await;
        let all_nodes: Vec<_> = side_a.iter().chain(&side_b).collect();
        wait_joined(&all_nodes).await;
        wait_slots(&all_nodes, "gone", Some(1)).await;

        cluster.network.partition(&node_refs(&side_a), &node_refs(&side_b));
        side_b.iter().for_each(|node| node.endpoint.is_down.set(true));
        eventually("each side considers the other dead", async || {
            side_a.iter().all(|node| dead_count(node) == 3)
                && side_b.iter().all(|node| dead_count(node) == 3)
        })
        .await;
        cluster.store.put(pool_kind(), "ranks", pool(2));
        cluster.store.delete(pool_kind(), "gone");
        wait_slots(&node_refs(&side_a), "ranks", Some(2)).await;
        wait_slots(&node_refs(&side_a), "gone", None).await;
        assert!(
            side_b.iter().all(|node| node.slots("ranks") == Some(1)),
            "a change crossed the partition"
        );

        cluster.network.heal();
        // The object API stays down for `side_b`: only the links can deliver the changes.
        wait_slots(&all_nodes, "ranks", Some(2)).await;
        wait_slots(&all_nodes, "gone", None).await;
        wait_joined(&all_nodes).await;
        assert!(side_a.iter().all(|node| node.slots("ranks") == Some(2)));
        assert!(side_a.iter().all(|node| node.slots("gone").is_none()));
    });
}

fn dead_count(node: &Node) -> usize {
    let members = node.peer.members();
    members.iter().filter(|member| member.state == MemberState::Dead).count()
}

/// Guards against a list from a stale replica that restores an old version or a deleted object.
#[test]
fn stale_list_restores_no_old_version() {
    run(async {
        let cluster = Cluster::default();
        cluster.store.put(pool_kind(), "ranks", pool(1));
        cluster.store.put(pool_kind(), "gone", pool(1));
        cluster.store.freeze_list_responses();
        cluster.store.delete(pool_kind(), "gone");
        cluster.store.put(pool_kind(), "ranks", pool(2));
        cluster.store.put(pool_kind(), "new", pool(3));
        let nodes = cluster.start_data_centre("a", 3).await;
        wait_slots(&node_refs(&nodes), "new", Some(3)).await;
        wait_slots(&node_refs(&nodes), "gone", None).await;
        // The first VM of a data centre is a watcher and lists all objects. It receives the stale
        // list after it got the current state from other VMs.
        let late_node = cluster.start("b-0", "b");
        late_node.endpoint.is_down.set(true);
        wait_slots(&[&late_node], "new", Some(3)).await;
        wait_slots(&[&late_node], "ranks", Some(2)).await;
        let mut changes = late_node.peer.config().subscribe();
        changes.mark_unchanged();
        late_node.endpoint.is_down.set(false);
        eventually("it watches", async || late_node.endpoint.open_watches.get() == 1).await;
        assert!(!changes.has_changed().expect("open"), "the stale list changed something");
        for node in nodes.iter().chain([&late_node]) {
            assert_eq!(node.slots("ranks"), Some(2), "reverted on {}", node.vm);
            assert_eq!(node.slots("gone"), None, "deletion reverted on {}", node.vm);
            assert_eq!(node.slots("new"), Some(3), "creation reverted on {}", node.vm);
        }
    });
}

/// Guards against deletions that are missed because the object API compacted their events.
#[test]
fn deletion_before_compaction_is_detected_by_list() {
    run(async {
        let cluster = Cluster::default();
        cluster.store.put(pool_kind(), "gone", pool(1));
        let nodes = cluster.start_data_centre("a", 3).await;
        wait_slots(&node_refs(&nodes), "gone", Some(1)).await;
        nodes.iter().for_each(|node| node.endpoint.is_down.set(true));
        eventually("no watch", async || watching_vms(&nodes).is_empty()).await;
        cluster.store.delete(pool_kind(), "gone");
        cluster.store.put(pool_kind(), "new", pool(2));
        cluster.store.compact();
        nodes.iter().for_each(|node| node.endpoint.is_down.set(false));
        wait_slots(&node_refs(&nodes), "new", Some(2)).await;
        wait_slots(&node_refs(&nodes), "gone", None).await;
    });
}

/// Guards against a watcher that receives no later change because each of its watches starts with the
/// same change that it cannot decode.
#[test]
fn changes_after_a_nameless_one_arrive() {
    run(async {
        let cluster = Cluster::default();
        let nodes = cluster.start_data_centre("a", 2).await;
        eventually("two watches", async || watching_vms(&nodes).len() == 2).await;
        cluster.store.send_nameless_change(pool_kind());
        cluster.store.put(pool_kind(), "later", pool(7));
        wait_slots(&node_refs(&nodes), "later", Some(7)).await;
    });
}

/// Guards against a watch that stays open but delivers nothing, as after a silent connection loss.
#[test]
fn watch_without_events_is_reopened() {
    run(async {
        let cluster = Cluster::default();
        let nodes = cluster.start_data_centre("a", 2).await;
        eventually("two watches", async || watching_vms(&nodes).len() == 2).await;
        nodes.iter().for_each(|node| node.endpoint.stall_open_watches());
        cluster.store.put(pool_kind(), "ranks", pool(7));
        wait_slots(&node_refs(&nodes), "ranks", Some(7)).await;
    });
}

/// Guards against a VM that cannot start, or starts with an incomplete configuration, while the
/// object API is down.
#[test]
fn vm_restarted_during_store_outage_syncs_from_partners() {
    run(async {
        let cluster = Cluster::default();
        for pool_number in 0..200 {
            cluster.store.put(pool_kind(), &format!("pool-{pool_number}"), pool(pool_number + 1));
        }
        cluster.store.put(pool_kind(), "gone", pool(1));
        cluster.store.delete(pool_kind(), "gone");
        let mut nodes = cluster.start_data_centre("a", 3).await;
        wait_slots(&node_refs(&nodes), "pool-199", Some(200)).await;
        nodes.iter().for_each(|node| node.endpoint.is_down.set(true));
        nodes.pop();
        let restarted = cluster.start("a-2", "a");
        restarted.endpoint.is_down.set(true);
        restarted.peer.config().wait_synced().await;
        assert_eq!(restarted.peer.config().pools().len(), 200, "synced before it was complete");
        assert_eq!(restarted.slots("gone"), None);
    });
}

/// Guards against a VM that becomes synced without having received any configuration.
#[test]
fn vm_without_store_and_partners_is_not_synced() {
    run(async {
        let cluster = Cluster::default();
        let node = cluster.start("a-0", "a");
        node.endpoint.is_down.set(true);
        eventually("calls on the object API", async || node.endpoint.call_count.get() > 3).await;
        assert!(!node.peer.config().is_synced());
        node.endpoint.is_down.set(false);
        node.peer.config().wait_synced().await;
    });
}

/// Guards against VMs that keep different versions after two concurrent conditional writes.
#[test]
fn concurrent_conditional_writes_leave_one_version_on_all_vms() {
    run(async {
        let cluster = Cluster::default();
        let first_revision = cluster.store.put(pool_kind(), "ranks", pool(1));
        let nodes = cluster.start_data_centre("a", 4).await;
        wait_slots(&node_refs(&nodes), "ranks", Some(1)).await;
        let client = |node: &Node| {
            Store::new(Client::default(), node.endpoint.address, Duration::from_secs(5))
        };
        let (store_a, store_b) = (client(&nodes[0]), client(&nodes[1]));
        let condition = Precondition::Revision(first_revision);
        let (value_a, value_b) = (pool(10), pool(20));
        let (result_a, result_b) = futures_util::future::join(
            store_a.put(pool_kind(), "ranks", condition, &value_a),
            store_b.put(pool_kind(), "ranks", condition, &value_b),
        )
        .await;
        assert!(
            result_a.is_ok() != result_b.is_ok(),
            "exactly one write wins: {result_a:?} {result_b:?}"
        );
        let written_slots = if result_a.is_ok() { 10 } else { 20 };
        wait_slots(&node_refs(&nodes), "ranks", Some(written_slots)).await;
    });
}

/// Guards against a malformed object that replaces the accepted version, and against a refusal that
/// the status object does not report.
#[test]
fn malformed_object_is_reported_and_never_in_force() {
    run(async {
        let cluster = Cluster::default();
        let valid_revision = cluster.store.put(pool_kind(), "ranks", pool(5));
        let nodes = cluster.start_data_centre("a", 3).await;
        wait_slots(&node_refs(&nodes), "ranks", Some(5)).await;
        let malformed_revision = cluster.store.put(pool_kind(), "ranks", malformed_pool());
        eventually("status states the refusal", async || {
            status(&cluster, "ranks").is_some_and(|status| {
                status.accepted_revision == valid_revision
                    && status.refused.is_some_and(|refused| {
                        refused.revision == malformed_revision && refused.reason.contains("colour")
                    })
            })
        })
        .await;
        wait_slots(&node_refs(&nodes), "ranks", Some(5)).await;
        let repaired_revision = cluster.store.put(pool_kind(), "ranks", pool(6));
        wait_slots(&node_refs(&nodes), "ranks", Some(6)).await;
        eventually("status states the acceptance everywhere", async || {
            status(&cluster, "ranks").is_some_and(|status| {
                (status.accepted_revision, status.refused, status.in_force_vms, status.live_vms)
                    == (repaired_revision, None, 3, 3)
            })
        })
        .await;
    });
}

fn status(cluster: &Cluster, name: &str) -> Option<ObjectStatus> {
    let (_, value) = cluster.store.get(Kind::TargetPool.status_kind(), name)?;
    serde_json::from_value(value["spec"].clone()).ok()
}

/// Guards against a status that is wrong or missing after the response to its write was lost, and
/// against status objects that remain after their object was deleted.
#[test]
fn status_is_complete_after_lost_responses() {
    run(async {
        let cluster = Cluster::default();
        let nodes = cluster.start_data_centre("a", 2).await;
        nodes.iter().for_each(|node| node.endpoint.lost_responses.set(2));
        let revision = cluster.store.put(pool_kind(), "ranks", pool(1));
        eventually("status is complete", async || {
            status(&cluster, "ranks").is_some_and(|status| {
                status.accepted_revision == revision && status.in_force_vms == 2
            })
        })
        .await;
        let remaining_lost_responses: u32 =
            nodes.iter().map(|node| node.endpoint.lost_responses.get()).sum();
        assert!(remaining_lost_responses < 4, "no response was lost");
        cluster.store.delete(pool_kind(), "ranks");
        eventually("status is deleted", async || status(&cluster, "ranks").is_none()).await;
    });
}
