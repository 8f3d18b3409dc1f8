//! Jobs that a node loads from the object API.

use std::{net::SocketAddr, rc::Rc};

use deck_batch::{
    Accepted, Checkpoints, Ledger, RunOptions, Runner, handover::Handover, job::Job,
    runner::RunnerParts,
};
use deck_core::CancellationToken;
use deck_fleet::{BatchJob, BatchLimits, Engines, Item, View};
use deck_forward::{ForwardOptions, Forwarder};
use deck_net::Client;
use deck_platform::Wire;
use deck_route::{Router, RouterOptions};
use deck_testkit::memory::MemoryObjects;
use futures_util::future::join;

fn address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1))
}

fn runner(ledger: &Ledger, cancel: &CancellationToken) -> Runner {
    let view = View::new(Router::new(RouterOptions::default()));
    let (client, protocol) = (Client::default(), Rc::new(Wire));
    let options = ForwardOptions::default();
    let forwarder = Forwarder::new(view.clone(), client.clone(), protocol.clone(), options);
    let parts = RunnerParts {
        vm: "vm-1".to_owned(),
        address: address(),
        view,
        engines: Engines::default(),
        ledger: ledger.clone(),
        forwarder,
        checkpoints: Checkpoints::new(client.clone()),
        client,
        protocol,
    };
    Runner::start(parts, RunOptions::default(), cancel.clone())
}

fn job() -> BatchJob {
    let item = Item {
        id: "i".to_owned(),
        path: "/p".to_owned(),
        headers: Vec::new(),
        body: String::new(),
        tokens: 100,
        group: None,
        reward: None,
        length_hint: None,
    };
    let limits = BatchLimits {
        results_due_ms: 7500,
        give_up_ms: 1 << 40,
        attempts: 3,
        single_version: false,
        priority: 1,
    };
    BatchJob {
        id: "job".to_owned(),
        host: "h".to_owned(),
        path: "/j/job".to_owned(),
        step: 0,
        model: "m".to_owned(),
        min_version: 1,
        group_count: 0,
        items: vec![item],
        limits,
        submitted_at_ms: 0,
    }
}

/// Guards against two states of one job on a node: after a restart two readers load it at the same
/// time, and one of them would not see what the other one's state lists.
#[test]
fn job_that_two_readers_load_is_one_job() {
    let test = async {
        let cancel = CancellationToken::new();
        let ledger = Ledger::new(MemoryObjects::default().store(), 1 << 20);
        let accepted = ledger.accept(&job(), "vm-1", address()).await;
        let Accepted::Stored(record, revision) = accepted else { panic!("{accepted:?}") };
        let runner = runner(&ledger, &cancel);
        let load = || runner.load_job("job", record.clone(), revision);
        let (one, other) = join(load(), load()).await;
        let (one, other) = (one.expect("loaded"), other.expect("loaded"));
        assert!(Rc::ptr_eq(&one, &other));
        let known = runner.job("job").expect("known");
        assert!(Rc::ptr_eq(&one, &known));
        cancel.cancel();
    };
    deck_net::runtime::run(test).expect("runtime");
}

/// Guards against a handed over job that replaces the state of the job that was loaded meanwhile.
#[test]
fn job_that_is_known_is_not_replaced() {
    let test = async {
        let cancel = CancellationToken::new();
        let ledger = Ledger::new(MemoryObjects::default().store(), 1 << 20);
        let accepted = ledger.accept(&job(), "vm-1", address()).await;
        let Accepted::Stored(record, revision) = accepted else { panic!("{accepted:?}") };
        let runner = runner(&ledger, &cancel);
        let known = runner.start_job("job", record.clone(), revision, job().items);
        let other = Job::new("job".to_owned(), record.clone(), revision, job().items);
        let handed = Handover::of(&other).into_job("job".to_owned(), record, revision);
        assert!(Rc::ptr_eq(&runner.adopt(Rc::new(handed)), &known));
        cancel.cancel();
    };
    deck_net::runtime::run(test).expect("runtime");
}
