//! Recovery of the jobs of a runner that does not answer.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeSet,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use deck_batch::{
    CheckpointClient, CheckpointStore, StoreJobOutcome, checkpoint::ItemDelta,
    peer_client::PING_PATH,
};
use deck_core::CancellationToken;
use deck_net::{Client, server::empty_response};
use deck_testkit::{eventually, memory::MemoryObjects};
use http::StatusCode;
use tokio::sync::Notify;

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

fn first_event(item: &str) -> ItemDelta {
    ItemDelta {
        item: item.to_owned(),
        after_event: 0,
        prefix_hash: None,
        text: "text".to_owned(),
        last_event: 1,
        event_ends: vec![4],
        versions: BTreeSet::from([1]),
        software_version: None,
        failures: 0,
        complete: false,
    }
}

/// Pattern: a VM with checkpoints is slow to answer while a job is taken over. Guards against asking
/// the second VM only after the timeout of the first one, during which no text of the job goes on.
#[test]
fn checkpoint_vms_are_asked_at_the_same_time() {
    let test = async {
        let cancel = CancellationToken::new();
        let asked_count = Rc::new(Cell::new(0));
        let both_asked = Rc::new(Notify::new());
        let vm = |item: &str| {
            let store = Rc::new(CheckpointStore::open(None));
            store.apply_and_persist("job", &[first_event(item)]);
            let (asked_count, both_asked) = (asked_count.clone(), both_asked.clone());
            serve(&cancel, move |request| {
                let (store, both_asked) = (store.clone(), both_asked.clone());
                asked_count.set(asked_count.get() + 1);
                let is_last = asked_count.get() == 2;
                async move {
                    // Each VM answers only after the other one has been asked too.
                    if is_last {
                        both_asked.notify_one();
                    } else {
                        both_asked.notified().await;
                    }
                    store.serve(request).await
                }
            })
        };
        let checkpoints = CheckpointClient::new(Client::default());
        checkpoints.set_nodes(vec![vm("a"), vm("b")]);
        let restored: BTreeSet<String> = checkpoints.read("job").await.into_keys().collect();
        assert_eq!(restored, BTreeSet::from(["a".to_owned(), "b".to_owned()]));
        cancel.cancel();
    };
    deck_net::runtime::run(test).expect("runtime");
}
