//! Recovery of the jobs of a runner that does not answer.

use std::{cell::RefCell, collections::BTreeSet, net::SocketAddr, rc::Rc, time::Duration};

use deck_batch::{CheckpointStore, StoreJobOutcome, checkpoint::ItemDelta, peer_client::PING_PATH};
use deck_core::CancellationToken;
use deck_net::server::empty_response;
use deck_testkit::{eventually, memory::MemoryObjects};
use http::StatusCode;

mod common;

use common::{node, serve};

/// Number of jobs that the frozen runner had.
const JOB_COUNT: usize = 4;

/// Pattern: the runner of all jobs is frozen, so each question to it ends by its timeout. Guards
/// against asking for one job after the other, which delays the last one by the timeouts of all.
#[test]
fn jobs_of_a_frozen_runner_are_recovered_at_the_same_time() {
    let test = async {
        let cancel = CancellationToken::new();
        let asked_jobs: Rc<RefCell<BTreeSet<String>>> = Rc::default();
        // The runner never answers, so the questions that arrive before a first takeover are
        // unanswered at the same time.
        let asked = asked_jobs.clone();
        let frozen = serve(&cancel, move |request| {
            if request.uri().path() != PING_PATH {
                asked.borrow_mut().insert(request.uri().path().to_owned());
            }
            async {
                monoio::time::sleep(Duration::from_secs(60)).await;
                empty_response(StatusCode::OK)
            }
        });
        let store = Rc::new(CheckpointStore::open(None));
        let checkpoint_store = store.clone();
        let checkpoint_vm = serve(&cancel, move |request| {
            let store = checkpoint_store.clone();
            async move { store.serve(request).await }
        });
        let objects = MemoryObjects::default();
        let leader = node("vm-2", SocketAddr::from(([127, 0, 0, 1], 1)), &objects);
        leader.checkpoints.set_nodes(vec![checkpoint_vm]);
        let ids: Vec<String> = (0..JOB_COUNT).map(|number| format!("job{number}")).collect();
        for id in &ids {
            let job = common::job(id, vec![common::item("a")]);
            let stored = leader.job_store.store_job(&job, "vm-1", frozen).await;
            assert!(matches!(stored, StoreJobOutcome::Stored(..)), "{stored:?}");
            store.apply_and_persist(id, &[]);
        }
        let (service, recovery_cancel) = (leader.service.clone(), cancel.clone());
        monoio::spawn(async move { service.recover_silent_jobs(recovery_cancel).await });
        eventually("a job is taken over", async || !leader.runner.job_ids().is_empty()).await;
        assert_eq!(
            asked_jobs.borrow().len(),
            JOB_COUNT,
            "jobs asked for before the first takeover"
        );
        eventually("all jobs are taken over", async || leader.runner.job_ids().len() == JOB_COUNT)
            .await;
        cancel.cancel();
    };
    deck_net::runtime::run(test).expect("runtime");
}
