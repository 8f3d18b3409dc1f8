//! Complete training steps with separate processes.

mod common;

use common::{Cluster, ClusterOptions, check_delivery};

/// Guards against steps that do not complete and against samples that are lost, repeated or stale.
#[test]
fn trainer_receives_every_sample_once() {
    deck_net::runtime::run(async {
        let cluster = Cluster::start(ClusterOptions::default()).await;
        let records = cluster.run_steps(3).await;
        check_delivery(&records, &cluster.options, 3);
    })
    .expect("runtime");
}
