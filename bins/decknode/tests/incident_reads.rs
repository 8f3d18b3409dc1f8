//! End-to-end tests of reads after a takeover: a result that any node has shown stays readable at
//! all nodes, whatever the previous runner of the job still stores.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use deck_net::http::Method;
use deck_testkit::eventually;
use serde_json::{Value, json};
use test_case::test_case;

mod common;

use common::{Fleet, SETTLE_TIME, SubmittedJob, run};

/// Time for which the new runner is paused so that a read at another node is served from the object
/// API: longer than the timeout of a read between nodes, 1.1 s with the wait of the fixture's reads,
/// and shorter than that plus the timeout of the health check that follows it, 0.4 s.
const NEW_RUNNER_PAUSE: Duration = Duration::from_millis(1300);
/// Time for which the checks of a test are repeated.
const CHECK_TIME: Duration = Duration::from_millis(2500);

/// State after a takeover: the previous runner is paused while it stores its first results, and no
/// server executes work, so that the new runner stores none.
struct Takeover {
    fleet: Fleet,
    job: SubmittedJob,
    old_runner: usize,
    new_runner: usize,
    /// Node that is not and was not the runner of the job.
    bystander: usize,
}

/// Returns the index of the node that serves callers and has logged a line that contains `text`.
async fn node_that_logs(fleet: &Fleet, text: &str) -> usize {
    let mut index = None;
    eventually(&format!("a node has logged {text:?}"), async || {
        index = fleet.entry_nodes().position(|node| node.has_logged(text));
        index.is_some()
    })
    .await;
    index.expect("a node")
}

impl Takeover {
    /// Submits a job, pauses its runner as soon as the runner writes its first results, and lets
    /// another node take the job over. That write is carried out `late_ms` after it was sent.
    async fn start(late_ms: u64) -> Self {
        let fleet = Fleet::start(3);
        fleet.wait_until_ready().await;
        // Wait until the nodes have listed each other, so that they know the node with a disk.
        monoio::time::sleep(Duration::from_secs(3)).await;
        let late_results = json!({"store_late": 1000, "store_late_ms": late_ms,
                                  "store_late_kind": "batchresults"});
        fleet.set_faults(late_results).await;
        let job = fleet.submit(0, 4, 1).await;
        let old_runner = node_that_logs(&fleet, "job accepted").await;
        eventually("the first results are written", async || {
            fleet.stand_in_records().await.iter().any(|record| record["late_write"].is_string())
        })
        .await;
        fleet.nodes[old_runner].process.as_ref().expect("process").suspend();
        fleet.set_faults(json!({"store_late": 0, "refuse_work": true})).await;
        let other_nodes: Vec<usize> = (0..3).filter(|index| *index != old_runner).collect();
        let mut new_runner = None;
        eventually("another node has taken the job over", async || {
            fleet.read(fleet.nodes[other_nodes[0]].caller_address, &job, 0).await;
            new_runner = other_nodes
                .iter()
                .copied()
                .find(|index| fleet.nodes[*index].has_logged("job taken over"));
            new_runner.is_some()
        })
        .await;
        let new_runner = new_runner.expect("a node");
        let bystander = other_nodes.into_iter().find(|index| *index != new_runner);
        let bystander = bystander.expect("a third node");
        Self { fleet, job, old_runner, new_runner, bystander }
    }

    fn address(&self, index: usize) -> SocketAddr {
        self.fleet.nodes[index].caller_address
    }

    /// Returns whether the object API has results of the job.
    async fn has_stored_results(&self) -> bool {
        let path = "/v1/objects/batchresults";
        let list = self.fleet.call(self.fleet.object_api, Method::GET, path, &[], Vec::new()).await;
        let list: Value = serde_json::from_slice(&list.expect("list").1).expect("json");
        list["Items"].as_array().is_some_and(|items| !items.is_empty())
    }

    /// Reads the job at the node that is not its runner, while the runner is paused long enough for
    /// that node to read from the object API.
    async fn read_while_runner_is_paused(&mut self) {
        let address = self.address(self.bystander);
        let runner = self.fleet.nodes[self.new_runner].process.as_ref().expect("process");
        let pause = async {
            runner.suspend();
            monoio::time::sleep(NEW_RUNNER_PAUSE).await;
            runner.resume();
        };
        monoio::join!(self.fleet.read_next_results(address, &mut self.job), pause);
        println!("{} results were read from the object API", self.job.results.len());
    }

    /// Reads the job at its previous runner, which is resumed while the read waits.
    async fn read_at_resumed_runner(&mut self) {
        let address = self.address(self.old_runner);
        let runner = self.fleet.nodes[self.old_runner].process.as_ref().expect("process");
        let resume = async {
            monoio::time::sleep(Duration::from_millis(100)).await;
            runner.resume();
        };
        monoio::join!(self.fleet.read_next_results(address, &mut self.job), resume);
        println!("{} results were read at the previous runner", self.job.results.len());
    }

    /// Checks after the settle time that every node that answers has results from each position
    /// that has been read.
    async fn assert_readable(&self) {
        monoio::time::sleep(SETTLE_TIME).await;
        let started = Instant::now();
        while started.elapsed() < CHECK_TIME {
            for node in self.fleet.entry_nodes() {
                for from in 0..self.job.results.len() {
                    self.fleet.assert_readable(node, &self.job, from).await;
                }
            }
        }
    }

    /// Lets the servers work again and checks that the job is completed, with the results read so
    /// far at the same positions at all nodes.
    async fn finish(mut self) {
        self.fleet.set_faults(json!({"refuse_work": false})).await;
        self.fleet.read_until_complete(&mut self.job).await;
        self.fleet.assert_same_positions(&self.job).await;
    }
}

/// Guards against a runner that answers from memory that a position has no result, although the
/// runner before it has stored and shown one: the previous runner was paused while it stored its
/// first results, and went on after the takeover: between two ownership checks of the new runner, or
/// later than three seconds after the takeover, when the new runner expects no write any more.
#[test_case(2000; "between_two_checks")]
#[test_case(4500; "long_after_it")]
fn results_of_a_paused_runner_stay_readable_after_a_takeover(delay_ms: u64) {
    run(async {
        // The delayed write itself plays no part: the previous runner repeats it when it goes on.
        let mut takeover = Takeover::start(60_000).await;
        monoio::time::sleep(Duration::from_millis(delay_ms)).await;
        takeover.read_at_resumed_runner().await;
        takeover.assert_readable().await;
        takeover.finish().await;
    });
}

/// Guards against the same answer after a write that the object API carries out several seconds
/// late, when its runner is gone and another node has shown the results from the object API.
#[test]
fn results_of_a_late_write_stay_readable_after_a_takeover() {
    run(async {
        let mut takeover = Takeover::start(12_000).await;
        takeover.fleet.nodes[takeover.old_runner].process.take().expect("process").kill();
        eventually("the late write is carried out", async || takeover.has_stored_results().await)
            .await;
        takeover.read_while_runner_is_paused().await;
        assert!(!takeover.job.results.is_empty(), "no result was read from the object API");
        takeover.assert_readable().await;
        takeover.fleet.start_node(takeover.old_runner);
        takeover.fleet.wait_until_ready().await;
        takeover.finish().await;
    });
}
