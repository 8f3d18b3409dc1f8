//! Soak test of separate processes under random, overlapping faults: killed, stopped and paused
//! nodes, an object API that is down or loses responses, interrupted streams, failed reward calls,
//! connections that are cut, silent in one direction, slow or reset, and a lost disk; and faults
//! that last longer than a takeover: long pauses, late writes, targets that refuse work and
//! connections that fall silent; and nodes whose links to all targets are cut, again and again.
//!
//! `SOAK_SEEDS=100..150 cargo test -p decknode --test soak` runs other seeds than those below.
//! `SOAK_STEPS` sets the number of steps of a run.

use std::{
    collections::HashMap,
    net::SocketAddr,
    ops::Range,
    time::{Duration, Instant},
};

use deck_net::http::{Method, StatusCode};
use deck_testkit::{
    EVENT_WAIT_TIMEOUT,
    proxy::{Direction, LinkCut, Proxy},
};
use futures_util::future::{join, join_all};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use serde_json::json;

mod common;

use common::{Fleet, NewJob, SubmittedJob, run};

/// Seeds of the CI run with process faults. A seed that has ever failed stays here, with its cause.
///
/// 205: a stopping node offered its jobs to a paused node without a timeout and exceeded its grace
/// time; items of a paused runner were abandoned because no caller read the job at another node.
const PROCESS_FAULT_SEEDS: [u64; 3] = [1, 2, 205];
/// Seeds of the CI run with proxies and all faults. A seed that has ever failed stays here too.
const PROXY_SEEDS: [u64; 2] = [1, 2];
/// Seeds of the CI run with long faults. A seed that has ever failed stays here, with its cause.
///
/// 30: a paused runner stored and showed its results 1.8 s after the takeover, and the next runner,
/// which had none to store, never looked for them.
const LONG_FAULT_SEEDS: [u64; 2] = [1, 30];
/// Seeds of the CI run with cut links to the targets. A seed that has ever failed stays here too.
const CUT_SEEDS: [u64; 2] = [1, 2];
/// Number of nodes whose links to the targets are cut; one more node reaches the targets.
const CUT_NODES: usize = 2;
/// Range of the duration of a cut, in milliseconds.
const CUT_MS: Range<u64> = 500..6000;
/// Options of the stand-in in the runs with cut links; most jobs outlast the start of a cut.
const CUT_PLATFORM_OPTIONS: [&str; 2] = ["--event-ms", "30"];
/// Number of fault kinds of processes and of the platform.
const PROCESS_FAULTS: u64 = 7;
/// Number of all fault kinds, including those of connections and disks.
const ALL_FAULTS: u64 = 13;
/// Range of the shorter half of the long faults, in milliseconds.
const SHORTER_FAULT_MS: Range<u64> = 500..3000;
/// Range of the other half, in milliseconds: longer than a takeover, which takes up to two seconds,
/// and the three seconds after it in which the nodes expect a write of the previous runner.
const LONGER_FAULT_MS: Range<u64> = 5000..7000;
/// Range of the time for which targets refuse work, in milliseconds. Most refusals outlast a pause
/// that begins with them, so that the next runner of a job has no results to store.
const REFUSAL_MS: Range<u64> = 2000..12_000;
/// Kinds of objects whose writes the object API carries out late.
const LATE_KINDS: [&str; 2] = ["batchresults", "batchjobs"];
/// Maximum wait for the next score of a job before its runner is paused.
const MAX_SCORE_WAIT: Duration = Duration::from_secs(1);
/// How long a read may wait at a paused node, so that it is answered when the node is resumed.
const PAUSED_READ_WAIT: Duration = Duration::from_secs(3);
/// Range of the pause at the start of each step with long faults, in milliseconds. Without it, the
/// steps in which no job is open pass within milliseconds. At its end, the first texts of a new job
/// are usually finished and their results are not stored yet.
const LONG_FAULT_STEP_PAUSE_MS: Range<u64> = 300..1000;
/// Options of the stand-in in the runs with long faults. With the usual time of an event most jobs
/// are complete before a fault begins, and with the usual maximum wait items may be given up.
const LONG_FAULT_PLATFORM_OPTIONS: [&str; 4] = ["--event-ms", "100", "--max-wait-s", "300"];
/// Default number of steps of a run. Each step starts a fault, sends a request and reads all jobs.
const DEFAULT_STEPS: u64 = 25;
/// Default number of steps of a run with long faults, which take several seconds each.
const LONG_FAULT_STEPS: u64 = 12;
/// Grace time of a stop; the fixture sets the same value in the nodes' settings.
const STOP_GRACE: Duration = Duration::from_secs(5);
/// Maximum number of jobs that are open at a time.
const MAX_OPEN_JOBS: usize = 2;

/// A node that does not run: its index, and when it is resumed or restarted.
enum DownNode {
    Paused(usize, Instant),
    Stopped(usize, Instant),
}

/// State of one run of the test.
struct Soak {
    fleet: Fleet,
    rng: StdRng,
    /// Nodes that were paused or stopped and do not run again yet.
    down_nodes: Vec<DownNode>,
    /// All jobs accepted so far.
    jobs: Vec<SubmittedJob>,
    /// Newest published weight version.
    version: u64,
    /// Training step of the next job.
    step: u64,
    /// Number of fault kinds to choose from.
    fault_kinds: u64,
    /// Whether there are also faults that last longer than a takeover.
    has_long_faults: bool,
    /// When the faults of connections end; `None` without such faults.
    proxy_faults_end_at: Option<Instant>,
    /// Whether the links of some nodes to the targets are cut now and then.
    has_cuts: bool,
    /// When the current cut ends; `None` without one.
    cut_ends_at: Option<Instant>,
    /// When the targets execute work again; `None` while they do.
    refusals_end_at: Option<Instant>,
    /// Number of checks of the results that have been read so far.
    check_count: usize,
    /// Response statuses of non-idempotent requests by their ids; `None` without a response.
    non_idempotent_statuses: HashMap<String, Option<u16>>,
}

impl Soak {
    /// Returns a random number below `bound`.
    fn draw(&mut self, bound: u64) -> u64 {
        self.rng.random_range(0..bound)
    }

    /// Returns whether a node is paused or stopped.
    fn is_down(&self, index: usize) -> bool {
        self.down_nodes.iter().any(
            |node| matches!(node, DownNode::Paused(i, _) | DownNode::Stopped(i, _) if *i == index),
        )
    }

    /// Starts a random fault.
    async fn start_fault(&mut self) {
        let index = self.draw(self.fleet.nodes.len() as u64) as usize;
        let resume_at = Instant::now() + Duration::from_millis(100 + self.draw(1500));
        match self.draw(self.fault_kinds) {
            kind @ PROCESS_FAULTS.. => self.start_connection_fault(kind, index),
            _ if self.is_down(index) => {}
            0 => {
                self.fleet.nodes[index].process.take().expect("process").kill();
                self.down_nodes.push(DownNode::Stopped(index, resume_at));
            }
            1 => {
                // Kills the stopping node within its grace time in half of the cases.
                let mut process = self.fleet.nodes[index].process.take().expect("process");
                process.terminate();
                if self.draw(2) == 0 {
                    process.kill();
                }
                let started = Instant::now();
                process.wait();
                assert!(started.elapsed() < STOP_GRACE, "a stopped node exceeded its grace time");
                self.down_nodes.push(DownNode::Stopped(index, resume_at));
            }
            2 => {
                self.fleet.nodes[index].process.as_ref().expect("process").suspend();
                self.down_nodes.push(DownNode::Paused(index, resume_at));
            }
            3 => self.fleet.set_faults(json!({"store_down": true})).await,
            4 => self.fleet.set_faults(json!({"store_lost": 2})).await,
            5 => self.fleet.set_faults(json!({"cut_streams": 4})).await,
            _ => self.fleet.set_faults(json!({"failed_rewards": 1})).await,
        }
    }

    /// Starts a fault on the connections of a node or target, or on the disk.
    fn start_connection_fault(&mut self, kind: u64, index: usize) {
        let duration = Duration::from_millis(100 + self.draw(2500));
        let delay = Duration::from_millis(20 + self.draw(200));
        let target = self.draw(self.fleet.target_proxies.len() as u64) as usize;
        // Kinds 7 to 10 affect the node's connections to the object API, others those to a target.
        let proxy = match kind {
            7..=10 => self.fleet.nodes[index].object_api_proxy.as_ref().expect("proxy"),
            _ => &self.fleet.target_proxies[target],
        };
        match kind {
            7 | 11 => {
                proxy.set_blocked(Direction::ToTarget, true);
                proxy.set_blocked(Direction::FromTarget, true);
            }
            8 => proxy.set_blocked(Direction::FromTarget, true),
            9 => proxy.set_delay(delay),
            10 => proxy.close_connections(),
            _ => {
                proxy.set_delay(delay);
                proxy.close_connections();
                self.fleet.wipe_disk();
            }
        }
        self.proxy_faults_end_at.get_or_insert(Instant::now() + duration);
    }

    /// Starts some of the faults that may last longer than a takeover, all at the same time, unless
    /// such faults have not ended yet. Half of the pauses affect the runner of the newest job, right
    /// after one of its items was scored.
    async fn start_long_faults(&mut self) {
        let open_job = self.jobs.last().is_some_and(|job| job.results.len() < job.items.len());
        if !open_job || !self.down_nodes.is_empty() || self.refusals_end_at.is_some() {
            return;
        }
        if self.draw(2) == 0 {
            let faults = json!({"store_late": 1 + self.draw(2),
                                "store_late_ms": self.draw_long_duration().as_millis() as u64,
                                "store_late_kind": LATE_KINDS[self.draw(2) as usize]});
            self.fleet.set_faults(faults).await;
        }
        let mut index = self.draw(self.fleet.nodes.len() as u64) as usize;
        if self.draw(2) == 0
            && let Some(job) = self.jobs.last()
        {
            // A result that has just been scored is not stored yet.
            self.fleet.wait_for_score(job, MAX_SCORE_WAIT).await;
            index = self.fleet.runner_of(job).await.unwrap_or(index);
        }
        if self.draw(2) == 0 {
            self.fleet.set_faults(json!({"refuse_work": true})).await;
            self.refusals_end_at = Some(Instant::now() + self.draw_duration(REFUSAL_MS));
        }
        if self.draw(4) == 0 {
            let node = &self.fleet.nodes[index];
            node.object_api_proxy.as_ref().expect("proxy").silence_connections();
            let target = self.draw(self.fleet.target_proxies.len() as u64) as usize;
            self.fleet.target_proxies[target].silence_connections();
        }
        if self.draw(4) > 0 {
            self.fleet.nodes[index].process.as_ref().expect("process").suspend();
            let resume_at = Instant::now() + self.draw_long_duration();
            self.down_nodes.push(DownNode::Paused(index, resume_at));
        }
    }

    /// Cuts the links of some nodes to the targets in half of the cases, unless they are cut.
    fn start_cut(&mut self) {
        if self.cut_ends_at.is_some() || self.draw(2) == 0 {
            return;
        }
        let cuts = [LinkCut::Hang, LinkCut::Close, LinkCut::Refuse];
        let cut = cuts[self.draw(cuts.len() as u64) as usize];
        self.fleet.set_target_links_cut(Some(cut));
        self.cut_ends_at = Some(Instant::now() + self.draw_duration(CUT_MS));
    }

    /// Returns the duration of a long fault: half of them last longer than a takeover and the time
    /// after it.
    fn draw_long_duration(&mut self) -> Duration {
        match self.draw(2) {
            0 => self.draw_duration(SHORTER_FAULT_MS),
            _ => self.draw_duration(LONGER_FAULT_MS),
        }
    }

    /// Returns a random duration from a range in milliseconds.
    fn draw_duration(&mut self, range_ms: Range<u64>) -> Duration {
        Duration::from_millis(self.rng.random_range(range_ms))
    }

    /// Ends the faults of all connections.
    fn end_proxy_faults(&mut self) {
        let nodes = self.fleet.nodes.iter().filter_map(|node| node.object_api_proxy.as_ref());
        nodes.chain(&self.fleet.target_proxies).for_each(Proxy::clear_faults);
        self.proxy_faults_end_at = None;
    }

    /// Ends the faults that are due at `now`, and in half of the cases an outage of the object API.
    async fn end_due_faults(&mut self, now: Instant) {
        if self.draw(2) == 0 {
            self.fleet.set_faults(json!({"store_down": false})).await;
        }
        self.end_timed_faults(now).await;
    }

    /// Ends the faults whose duration is over at `now`.
    async fn end_timed_faults(&mut self, now: Instant) {
        if self.proxy_faults_end_at.is_some_and(|at| at <= now) {
            self.end_proxy_faults();
        }
        if self.cut_ends_at.is_some_and(|at| at <= now) {
            self.fleet.set_target_links_cut(None);
            self.cut_ends_at = None;
        }
        if self.refusals_end_at.is_some_and(|at| at <= now) {
            self.fleet.set_faults(json!({"refuse_work": false})).await;
            self.refusals_end_at = None;
        }
        let (due_nodes, remaining) = std::mem::take(&mut self.down_nodes).into_iter().partition(
            |node| matches!(node, DownNode::Paused(_, at) | DownNode::Stopped(_, at) if *at <= now),
        );
        self.down_nodes = remaining;
        let due_nodes: Vec<DownNode> = due_nodes;
        for node in due_nodes {
            match node {
                DownNode::Paused(index, _) => {
                    self.fleet.nodes[index].process.as_ref().expect("process").resume();
                }
                DownNode::Stopped(index, _) => self.fleet.start_node(index),
            }
        }
    }

    /// Returns the caller address of a random node.
    fn random_entry(&mut self) -> SocketAddr {
        let addresses: Vec<SocketAddr> =
            self.fleet.entry_nodes().map(|node| node.caller_address).collect();
        addresses[self.draw(addresses.len() as u64) as usize]
    }

    /// Sends a request of a non-idempotent route to a random node.
    async fn send_non_idempotent(&mut self) {
        let (id, address) =
            (format!("once-{}", self.non_idempotent_statuses.len()), self.random_entry());
        let headers = [("Request-Id", id.as_str()), ("Deadline-Ms", "1500")];
        let answer = self.fleet.call(address, Method::POST, "/once/x", &headers, vec![]).await;
        let status = answer.ok().map(|(status, _)| status.as_u16());
        self.non_idempotent_statuses.insert(id, status);
    }

    /// Reads the next results of all jobs at a random node, or, with long faults, at a node that is
    /// about to be resumed.
    async fn read_jobs(&mut self) {
        let mut address = self.random_entry();
        let mut resume = None;
        let latest = Instant::now() + PAUSED_READ_WAIT;
        if let Some(DownNode::Paused(index, at)) = self.down_nodes.first()
            && self.has_long_faults
            && *at <= latest
        {
            let node = &self.fleet.nodes[*index];
            if node.name.starts_with("edge") {
                address = node.caller_address;
            }
            resume = Some((node.process.as_ref().expect("process"), *at));
        }
        let resume = async {
            if let Some((process, at)) = resume {
                monoio::time::sleep(at.saturating_duration_since(Instant::now())).await;
                process.resume();
            }
        };
        let reads = self.jobs.iter_mut().map(|job| self.fleet.read_next_results(address, job));
        join(join_all(reads), resume).await;
    }

    /// Checks that each running node that answers has the results that were read at any node longer
    /// ago than the settle time: the last one, and one position that changes from check to check.
    async fn check_read_results(&mut self) {
        self.check_count += 1;
        let mut checks = Vec::new();
        for (index, node) in self.fleet.entry_nodes().enumerate() {
            for job in self.jobs.iter().filter(|_| !self.is_down(index)) {
                if let Some(last) = job.settled_count().checked_sub(1) {
                    for from in [last, self.check_count % (last + 1)] {
                        checks.push(self.fleet.assert_readable(node, job, from));
                    }
                }
            }
        }
        join_all(checks).await;
    }

    /// Runs one step: ends due faults, starts a new one, sends a request, reads all jobs, checks
    /// what was read before and submits another job if few are open.
    async fn run_step(&mut self) {
        self.end_due_faults(Instant::now()).await;
        if self.has_long_faults || self.has_cuts {
            let pause = self.draw_duration(LONG_FAULT_STEP_PAUSE_MS);
            monoio::time::sleep(pause).await;
        }
        if self.has_long_faults {
            self.start_long_faults().await;
        }
        if self.has_cuts {
            self.start_cut();
        }
        // With long faults, half of the steps start no other fault.
        if !self.has_long_faults || self.draw(2) == 0 {
            self.start_fault().await;
        }
        self.send_non_idempotent().await;
        self.read_jobs().await;
        self.check_read_results().await;
        let open_jobs = self.jobs.iter().filter(|job| job.results.len() < job.items.len()).count();
        let may_submit = self.has_long_faults || self.down_nodes.is_empty();
        if open_jobs < MAX_OPEN_JOBS && may_submit {
            self.fleet.set_faults(json!({"store_down": false})).await;
            self.version += 1;
            self.fleet.publish_version(self.version).await;
            self.submit_job().await;
        }
    }

    /// Submits a job to one node after the other until one accepts it. Faults end meanwhile when they
    /// are due: with the calls of all nodes on the object API blocked, no node could accept it.
    async fn submit_job(&mut self) {
        let job = NewJob::new(self.step, 2, self.version - 1);
        let deadline = Instant::now() + EVENT_WAIT_TIMEOUT;
        for address in self.fleet.caller_addresses().iter().cycle() {
            if self.fleet.try_submit(*address, &job).await {
                break;
            }
            assert!(Instant::now() < deadline, "job {} was not accepted", job.id);
            self.end_timed_faults(Instant::now()).await;
        }
        self.step += 1;
        self.jobs.push(job.into_submitted());
    }

    /// Ends all faults and checks the guarantees of the system.
    async fn finish(&mut self) {
        let no_faults = json!({"store_down": false, "store_lost": 0, "store_late": 0});
        self.fleet.set_faults(no_faults).await;
        self.end_due_faults(Instant::now() + Duration::from_secs(60)).await;
        self.end_proxy_faults();
        self.fleet.wait_until_ready().await;
        for job in &mut self.jobs {
            self.fleet.read_until_complete(job).await;
            self.fleet.assert_same_positions(job).await;
        }
        let mut run_counts: HashMap<String, usize> = HashMap::new();
        for record in self.fleet.stand_in_records().await {
            if let Some(id) = record["call"].as_str() {
                *run_counts.entry(id.to_owned()).or_default() += 1;
            }
        }
        for (id, status) in &self.non_idempotent_statuses {
            let count = run_counts.get(id).copied().unwrap_or(0);
            assert!(count <= 1, "{id} ran {count} times");
            let refused = matches!(status, Some(429 | 503));
            assert!(!refused || count == 0, "{id} was refused as not run but has run");
            assert!(*status != Some(StatusCode::OK.as_u16()) || count == 1, "{id} was never run");
        }
    }
}

/// Further faults of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum FurtherFaults {
    None,
    /// Faults that last longer than a takeover.
    Long,
    /// Cut links to the targets.
    Cuts,
}

/// Runs the test with one seed, the first `fault_kinds` kinds of faults and further ones.
fn run_soak(seed: u64, fault_kinds: u64, further_faults: FurtherFaults) {
    let has_long_faults = further_faults == FurtherFaults::Long;
    let has_cuts = further_faults == FurtherFaults::Cuts;
    println!("seed {seed}");
    let steps = std::env::var("SOAK_STEPS").ok().and_then(|steps| steps.parse().ok());
    let default_steps = if has_long_faults { LONG_FAULT_STEPS } else { DEFAULT_STEPS };
    let steps = steps.unwrap_or(default_steps);
    run(async {
        let fleet = match fault_kinds {
            _ if has_cuts => {
                let options = &CUT_PLATFORM_OPTIONS;
                let mut fleet =
                    Fleet::configured_with_target_links(CUT_NODES + 1, CUT_NODES, options).await;
                fleet.start_nodes();
                fleet
            }
            PROCESS_FAULTS => Fleet::start(3),
            _ if has_long_faults => {
                Fleet::start_with_platform_options(3, &LONG_FAULT_PLATFORM_OPTIONS).await
            }
            _ => Fleet::start_with_proxies(3).await,
        };
        fleet.wait_until_ready().await;
        let rng = StdRng::seed_from_u64(seed);
        let (down_nodes, jobs, non_idempotent_statuses) = (Vec::new(), Vec::new(), HashMap::new());
        let (version, step, proxy_faults_end_at) = (1, 0, None);
        let mut soak = Soak {
            fleet,
            rng,
            down_nodes,
            jobs,
            version,
            step,
            fault_kinds,
            has_long_faults,
            proxy_faults_end_at,
            has_cuts,
            cut_ends_at: None,
            refusals_end_at: None,
            check_count: 0,
            non_idempotent_statuses,
        };
        for _ in 0..steps {
            soak.run_step().await;
        }
        soak.finish().await;
    });
}

/// Guards the guarantees of the whole system under overlapping faults: each accepted job is
/// completed, each result is whole and has the same position at all nodes, a result that was read
/// stays readable, a request that was refused as not run has not run, and a non-idempotent request
/// runs at most once.
#[test]
fn promises_hold_under_random_faults() {
    for seed in seeds(&PROCESS_FAULT_SEEDS) {
        run_soak(seed, PROCESS_FAULTS, FurtherFaults::None);
    }
}

/// Guards the same guarantees while connections to the object API and to targets are cut, silent in
/// one direction, slow or reset, and the disk is lost.
#[test]
fn promises_hold_while_links_fail() {
    for seed in seeds(&PROXY_SEEDS) {
        run_soak(seed, ALL_FAULTS, FurtherFaults::None);
    }
}

/// Guards against results that a node shows and another node no longer has: faults that last longer
/// than a takeover let a previous runner store results that its successor does not expect.
#[test]
fn read_results_stay_readable_under_long_faults() {
    for seed in seeds(&LONG_FAULT_SEEDS) {
        run_soak(seed, ALL_FAULTS, FurtherFaults::Long);
    }
}

/// Guards the same guarantees while nodes lose their links to all targets, which hang, close or refuse
/// connections, and are killed, stopped or paused meanwhile.
#[test]
fn promises_hold_while_links_to_targets_are_cut() {
    for seed in seeds(&CUT_SEEDS) {
        run_soak(seed, PROCESS_FAULTS, FurtherFaults::Cuts);
    }
}

/// Returns the seeds from the environment variable `SOAK_SEEDS`, or `default` without it.
fn seeds(default: &[u64]) -> Vec<u64> {
    let Ok(range) = std::env::var("SOAK_SEEDS") else { return default.to_vec() };
    let (from, to) = range.split_once("..").expect("SOAK_SEEDS is FROM..TO");
    (from.parse().expect("a number")..to.parse().expect("a number")).collect()
}
