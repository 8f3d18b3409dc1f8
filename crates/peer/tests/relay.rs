//! Configuration relay between several VMs.

mod common;

use common::{Cluster, Node, eventually, pool, pool_kind, run, wait_slots};

fn refs(nodes: &[Node]) -> Vec<&Node> {
    nodes.iter().collect()
}

/// Guards against a change that reaches only the VMs that watch the store.
#[test]
fn change_reaches_vms_that_do_not_watch() {
    run(async {
        let cluster = Cluster::default();
        cluster.store.put(pool_kind(), "ranks", pool(1));
        let mut nodes = cluster.start_many("a", 4).await;
        nodes.extend(cluster.start_many("b", 4).await);
        wait_slots(&refs(&nodes), "ranks", Some(1)).await;
        eventually("two watches in each data centre", async || {
            nodes.iter().map(|node| node.door.watches.get()).sum::<u32>() == 4
        })
        .await;
        cluster.store.put(pool_kind(), "ranks", pool(2));
        wait_slots(&refs(&nodes), "ranks", Some(2)).await;
        cluster.store.delete(pool_kind(), "ranks");
        wait_slots(&refs(&nodes), "ranks", None).await;
        assert!(nodes.iter().all(|node| node.peer.config().is_synced()));
    });
}
