//! Benchmark of the peer crate with many VMs in one process on loopback.
//!
//! Prints one line for each result: name, value, unit. See `docs/membership.md`.

#[path = "../tests/common/store.rs"]
#[allow(dead_code)]
mod store;

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU32, AtomicUsize, Ordering},
        mpsc,
    },
    time::{Duration, Instant},
};

use bpaf::Bpaf;
use bytes::Bytes;
use deck_core::{CancellationToken, timer::TimerService};
use deck_net::Client;
use deck_peer::{MemberState, MessageTraffic, PeerOptions, PeerService, Topic};
use deck_plat::Store;
use hdrhistogram::Histogram;
use rand::RngExt;
use serde_json::json;
use store::TestStore;

/// Time between two configuration changes at the design load of 6,900 a day.
const CHANGE_PERIOD: Duration = Duration::from_millis(12_522);
/// Number of targets at the design size.
const TARGET_COUNT: usize = 4_200;
/// Number of pools over which the targets are distributed.
const POOL_COUNT: usize = 50;
/// Timeout for each awaited event; the program panics after it.
const EVENT_TIMEOUT: Duration = Duration::from_secs(120);

#[derive(Debug, Clone)]
#[derive(Bpaf)]
#[bpaf(options)]
struct Options {
    /// Number of VMs
    #[bpaf(fallback(20))]
    nodes: usize,
    /// Number of data centres
    #[bpaf(fallback(8))]
    data_centres: usize,
    /// Threads on which the VMs run
    #[bpaf(fallback(4))]
    threads: usize,
    /// Length of the window in which bytes, CPU and calls are counted, in seconds
    #[bpaf(long("seconds"), fallback(30))]
    window_s: u64,
    /// Configuration changes whose time to be in force is measured
    #[bpaf(fallback(20))]
    changes: u32,
    /// Every VM watches the object API itself (baseline)
    direct: bool,
}

/// State shared by all threads: measurements that the VMs record and instructions to them.
#[derive(Default)]
struct BenchmarkState {
    /// Start time of each measured configuration change; change number 1 comes first.
    change_started_at: Mutex<Vec<Instant>>,
    /// Time from the start of a change until it was in force, for each change and VM.
    in_force_times: Mutex<Vec<Duration>>,
    /// VM that was made to fail and the time of its failure; the others record when they declare it
    /// dead.
    failed_vm: Mutex<Option<(String, Instant)>>,
    /// Time from the failure until a VM declared the failed VM dead, for each detecting VM.
    detection_times: Mutex<Vec<Duration>>,
    /// Number of VMs that have received the configuration and consider all VMs live.
    joined_vm_count: AtomicUsize,
    /// Incremented to make each VM write its counters to `samples` and `store_calls`.
    sample_round: AtomicU32,
    /// Latest traffic counters of each VM, by VM number.
    samples: Mutex<Vec<Vec<MessageTraffic>>>,
    /// Numbers of object API calls made so far, one element for each VM that has reported.
    store_call_counts: Mutex<Vec<u64>>,
    /// VM that must stop without a leave announcement.
    vm_to_kill: Mutex<Option<String>>,
    /// Addresses of the started VMs; the first three are the seeds.
    addresses: Mutex<Vec<SocketAddr>>,
}

fn main() {
    let options = options().run();
    let state = Arc::new(BenchmarkState::default());
    let store = start_store();
    let rss_before_bytes = rss_bytes();
    let mut thread_stat_paths = Vec::new();
    let started = Instant::now();
    for thread in 0..options.threads {
        let (state, options, address) = (state.clone(), options.clone(), store.address);
        let (sender, thread_receiver) = mpsc::channel();
        std::thread::spawn(move || {
            let _ = sender.send(std::fs::read_link("/proc/thread-self").expect("own thread"));
            run_nodes(thread, &options, address, &state);
        });
        let stat_path = thread_receiver
            .recv()
            .expect("thread starts")
            .file_name()
            .map(|name| std::path::Path::new("/proc/self/task").join(name).join("stat"));
        thread_stat_paths.push(stat_path.expect("task id"));
    }
    let freeze_sender = start_frozen_node(&options, store.address, &state);
    let nodes = options.nodes;
    // The VM that will be frozen is not included in `nodes`.
    wait_until("all VMs joined", || state.joined_vm_count.load(Ordering::Relaxed) >= nodes);
    let mode = if options.direct { "direct" } else { "relay" };
    println!("mode {mode}, nodes {nodes}, data_centres {}", options.data_centres);
    println!("join_time {:.2} s", started.elapsed().as_secs_f64());
    std::thread::sleep(Duration::from_secs(10));
    println!("memory_per_node {:.0} KB", (rss_bytes() - rss_before_bytes) / nodes as f64 / 1e3);

    measure_steady_state(&options, &state, &store, &thread_stat_paths);
    measure_changes(&options, &state, &store);

    let failed_vm = "vm-1".to_owned();
    *state.failed_vm.lock().expect("lock") = Some((failed_vm.clone(), Instant::now()));
    *state.vm_to_kill.lock().expect("lock") = Some(failed_vm);
    print_detection("killed", &state, nodes - 1);
    *state.failed_vm.lock().expect("lock") = Some(("vm-frozen".to_owned(), Instant::now()));
    freeze_sender.send(()).expect("thread runs");
    print_detection("frozen", &state, nodes - 1);
}

/// Waits until `expected` VMs have declared the failed VM dead and prints the detection times.
fn print_detection(kind: &str, state: &BenchmarkState, expected: usize) {
    wait_until("detected everywhere", || {
        state.detection_times.lock().expect("lock").len() >= expected
    });
    let times = std::mem::take(&mut *state.detection_times.lock().expect("lock"));
    print_times(&format!("detection_{kind}"), &times);
}

/// Prints the median and maximum of `times`.
fn print_times(name: &str, times: &[Duration]) {
    let mut histogram = Histogram::<u64>::new(3).expect("histogram");
    for time in times {
        histogram.record(time.as_micros() as u64).expect("the histogram grows by itself");
    }
    println!("{name}_p50 {:.1} ms", histogram.value_at_quantile(0.5) as f64 / 1e3);
    println!("{name}_max {:.1} ms", histogram.max() as f64 / 1e3);
}

/// Measures traffic, CPU time and object API calls over a time window under the design load.
fn measure_steady_state(
    options: &Options,
    state: &BenchmarkState,
    store: &StoreHandle,
    thread_stat_paths: &[std::path::PathBuf],
) {
    let nodes = options.nodes as f64;
    let window = Duration::from_secs(options.window_s);
    let (before, calls_before) = take_sample(options, state);
    let store_calls_before = store.call_count();
    let cpu_before_s = cpu_time_s(thread_stat_paths);
    let started = Instant::now();
    let mut change_number = 0;
    while started.elapsed() < window {
        std::thread::sleep(CHANGE_PERIOD.min(window.saturating_sub(started.elapsed())));
        change_number += 1;
        store.put(format!("pool-{}", change_number % POOL_COUNT), change_number as u32);
    }
    let elapsed_s = started.elapsed().as_secs_f64();
    let cpu_used_s = cpu_time_s(thread_stat_paths) - cpu_before_s;
    let (after, calls_after) = take_sample(options, state);
    let mut rates_by_type = BTreeMap::new();
    let mut sent_max_bytes_per_s = 0.0_f64;
    let mut received_max_bytes_per_s = 0.0_f64;
    // Samples are indexed by VM number, so each pair belongs to the same VM.
    for (before, after) in before.iter().zip(&after) {
        let (mut sent, mut received) = (0.0, 0.0);
        for (before, after) in
            before.iter().zip(after).filter(|(entry, _)| entry.is_control_traffic())
        {
            let rates = (
                (after.sent_bytes - before.sent_bytes) as f64 / elapsed_s,
                (after.received_bytes - before.received_bytes) as f64 / elapsed_s,
            );
            let total = rates_by_type.entry(after.message_type).or_insert((0.0, 0.0));
            *total = (total.0 + rates.0, total.1 + rates.1);
            (sent, received) = (sent + rates.0, received + rates.1);
        }
        sent_max_bytes_per_s = sent_max_bytes_per_s.max(sent);
        received_max_bytes_per_s = received_max_bytes_per_s.max(received);
    }
    let sent: f64 = rates_by_type.values().map(|rates| rates.0).sum();
    let received: f64 = rates_by_type.values().map(|rates| rates.1).sum();
    println!("control_sent_mean {:.0} bytes/s/node", sent / nodes);
    println!("control_sent_max {sent_max_bytes_per_s:.0} bytes/s/node");
    println!("control_received_mean {:.0} bytes/s/node", received / nodes);
    println!("control_received_max {received_max_bytes_per_s:.0} bytes/s/node");
    for (message_type, (sent, _)) in
        rates_by_type.iter().filter(|(_, rates)| rates.0 / nodes >= 0.5)
    {
        println!("control_sent_{message_type} {:.0} bytes/s/node", sent / nodes);
    }
    println!("cpu_per_node {:.3} %", cpu_used_s / elapsed_s / nodes * 100.0);
    println!("store_open_watches {} watches", store.open_watches());
    println!(
        "store_calls {:.2} calls/s",
        (store.call_count() - store_calls_before) as f64 / elapsed_s
    );
    println!("store_calls_of_nodes {:.2} calls/s", (calls_after - calls_before) as f64 / elapsed_s);
}

/// Measures the time until configuration changes are in force on all VMs.
fn measure_changes(options: &Options, state: &BenchmarkState, store: &StoreHandle) {
    for change_number in 1..=options.changes {
        state.change_started_at.lock().expect("lock").push(Instant::now());
        store.put("pool-measured".to_owned(), change_number);
        let expected = change_number as usize * options.nodes;
        wait_until("in force everywhere", || {
            state.in_force_times.lock().expect("lock").len() >= expected
        });
        std::thread::sleep(Duration::from_millis(300));
    }
    print_times("in_force_everywhere", &state.in_force_times.lock().expect("lock"));
}

/// Returns the traffic counters of each VM, by VM number, and the sum of their object API calls.
fn take_sample(options: &Options, state: &BenchmarkState) -> (Vec<Vec<MessageTraffic>>, u64) {
    state.samples.lock().expect("lock").resize(options.nodes, Vec::new());
    state.samples.lock().expect("lock").iter_mut().for_each(Vec::clear);
    state.store_call_counts.lock().expect("lock").clear();
    state.sample_round.fetch_add(1, Ordering::Relaxed);
    wait_until("all VMs report their traffic", || {
        state.samples.lock().expect("lock").iter().all(|sample| !sample.is_empty())
    });
    let calls = state.store_call_counts.lock().expect("lock").iter().sum();
    (state.samples.lock().expect("lock").clone(), calls)
}

/// Waits until `condition` returns true; panics after [`EVENT_TIMEOUT`].
fn wait_until(awaited_event: &str, condition: impl Fn() -> bool) {
    let deadline = Instant::now() + EVENT_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < deadline, "not within {EVENT_TIMEOUT:?}: {awaited_event}");
        std::thread::sleep(Duration::from_millis(2));
    }
}

/// Runs the VMs that are assigned to one thread.
fn run_nodes(thread: usize, options: &Options, store: SocketAddr, state: &Arc<BenchmarkState>) {
    let runtime = deck_net::runtime::run(async {
        for vm_number in (thread..options.nodes).step_by(options.threads) {
            let name = format!("vm-{vm_number}");
            let cancel = CancellationToken::new();
            let peer = start_node(&name, vm_number, options, store, state, &cancel);
            monoio::spawn(report_node(vm_number, name, peer, options.nodes, state.clone(), cancel));
        }
        std::future::pending::<()>().await;
    });
    runtime.expect("runtime");
}

/// Starts one VM with the default settings.
fn start_node(
    name: &str,
    vm_number: usize,
    options: &Options,
    store: SocketAddr,
    state: &BenchmarkState,
    cancel: &CancellationToken,
) -> PeerService {
    let listener = deck_net::bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("bind");
    let address = listener.local_addr().expect("address");
    let seed_addresses = {
        let mut addresses = state.addresses.lock().expect("lock");
        let seed_addresses = addresses.iter().take(3).copied().collect();
        addresses.push(address);
        seed_addresses
    };
    let mut peer_options = PeerOptions {
        vm: name.to_owned(),
        data_centre: format!("dc-{}", vm_number % options.data_centres),
        region: format!("region-{}", vm_number % options.data_centres % 3),
        seed_addresses,
        ..PeerOptions::default()
    };
    if options.direct {
        peer_options.watchers_per_data_centre = usize::MAX;
    }
    let timers = TimerService::start(cancel.clone());
    let store = Store::new(Client::default(), store, Duration::from_secs(10));
    PeerService::start(peer_options, listener, store, None, timers, cancel.clone())
}

/// Runs the tasks of one VM: publishes values as often as the daemons do, records configuration and
/// member changes, reports counters on request and stops the VM when it is to be killed.
async fn report_node(
    vm_number: usize,
    name: String,
    peer: PeerService,
    nodes: usize,
    state: Arc<BenchmarkState>,
    cancel: CancellationToken,
) {
    monoio::spawn(publish(peer.clone(), cancel.clone()));
    monoio::spawn(record_changes(peer.clone(), state.clone()));
    monoio::spawn(record_members(name.clone(), peer.clone(), nodes, state.clone()));
    let mut last_sample_round = 0;
    loop {
        monoio::time::sleep(Duration::from_millis(100)).await;
        let sample_round = state.sample_round.load(Ordering::Relaxed);
        if sample_round != last_sample_round {
            last_sample_round = sample_round;
            state.store_call_counts.lock().expect("lock").push(peer.store_call_count());
            state.samples.lock().expect("lock")[vm_number] = peer.traffic();
        }
        if state.vm_to_kill.lock().expect("lock").as_ref() == Some(&name) {
            cancel.cancel();
            return;
        }
    }
}

/// Counts this VM as joined once it considers all VMs live, and records when it declares the failed
/// VM dead.
async fn record_members(name: String, peer: PeerService, nodes: usize, state: Arc<BenchmarkState>) {
    let mut changes = peer.member_changes();
    peer.config().wait_synced().await;
    let mut is_joined = false;
    let mut last_detected = None;
    loop {
        let members = peer.members();
        let live_count = members.iter().filter(|member| member.state == MemberState::Live).count();
        if !is_joined && live_count > nodes {
            is_joined = true;
            state.joined_vm_count.fetch_add(1, Ordering::Relaxed);
        }
        let is_dead = |vm: &str| {
            members.iter().any(|member| member.vm == vm && member.state == MemberState::Dead)
        };
        let failed_vm = state.failed_vm.lock().expect("lock").clone();
        if let Some((vm, failed_at)) = failed_vm
            && vm != name
            && last_detected.as_ref() != Some(&vm)
            && is_dead(&vm)
        {
            state.detection_times.lock().expect("lock").push(failed_at.elapsed());
            last_detected = Some(vm);
        }
        if changes.changed().await.is_err() {
            return;
        }
        // Limits the overhead of the benchmark, which scans all members each time.
        monoio::time::sleep(Duration::from_millis(100)).await;
    }
}

/// Records the time until each measured configuration change is in force on this VM. The slots of
/// the pool `pool-measured` are the number of the change.
async fn record_changes(peer: PeerService, state: Arc<BenchmarkState>) {
    let mut changes = peer.config().subscribe();
    let mut last_recorded = 0;
    while changes.changed().await.is_ok() {
        let slots =
            peer.config().pool("pool-measured").map_or(0, |(_, pool)| pool.slots_per_target);
        for change in last_recorded..slots {
            let started_at = state.change_started_at.lock().expect("lock")[change as usize];
            state.in_force_times.lock().expect("lock").push(started_at.elapsed());
        }
        last_recorded = last_recorded.max(slots);
    }
}

/// Publishes values of typical size: demand each second, usage every five seconds.
async fn publish(peer: PeerService, cancel: CancellationToken) {
    let random_bytes = |size| {
        let mut bytes = vec![0_u8; size];
        bytes.fill_with(|| rand::rng().random());
        Bytes::from(bytes)
    };
    let mut round = 0_u32;
    while !cancel.is_cancelled() {
        peer.publish(Topic::ShareDemand, random_bytes(100));
        if round.is_multiple_of(5) {
            peer.publish(Topic::Usage, random_bytes(60));
        }
        round += 1;
        monoio::time::sleep(Duration::from_secs(1)).await;
    }
}

/// Starts an additional VM whose thread blocks when the returned channel receives a message, to
/// simulate a frozen process.
fn start_frozen_node(
    options: &Options,
    store: SocketAddr,
    state: &Arc<BenchmarkState>,
) -> mpsc::Sender<()> {
    let (sender, receiver) = mpsc::channel();
    let (options, state) = (options.clone(), state.clone());
    std::thread::spawn(move || {
        let runtime = deck_net::runtime::run(async {
            let cancel = CancellationToken::new();
            let _peer = start_node("vm-frozen", 0, &options, store, &state, &cancel);
            while receiver.try_recv().is_err() {
                monoio::time::sleep(Duration::from_millis(1)).await;
            }
            std::thread::sleep(Duration::from_secs(3600));
        });
        runtime.expect("runtime");
    });
    sender
}

/// Handle to the in-memory object API, which runs on its own thread.
struct StoreHandle {
    address: SocketAddr,
    /// Receives name and slots of each pool to write.
    write_sender: mpsc::Sender<(String, u32)>,
    call_count: Arc<AtomicUsize>,
    open_watches: Arc<AtomicU32>,
}

impl StoreHandle {
    fn put(&self, name: String, slots: u32) {
        self.write_sender.send((name, slots)).expect("store runs");
    }

    fn call_count(&self) -> usize {
        self.call_count.load(Ordering::Relaxed)
    }

    fn open_watches(&self) -> u32 {
        self.open_watches.load(Ordering::Relaxed)
    }
}

fn start_store() -> StoreHandle {
    let (write_sender, received) = mpsc::channel::<(String, u32)>();
    let (call_count, open_watches) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicU32::new(0)));
    let (shared_call_count, shared_open_watches) = (call_count.clone(), open_watches.clone());
    let (sender, address) = mpsc::channel();
    std::thread::spawn(move || {
        let runtime = deck_net::runtime::run(async move {
            let store = TestStore::new(Duration::from_secs(5));
            for pool in 0..POOL_COUNT {
                store.put("TargetPool", &format!("pool-{pool}"), pool_value(1));
            }
            let endpoint = store.open_endpoint(&CancellationToken::new());
            let _ = sender.send(endpoint.address);
            loop {
                for (name, slots) in received.try_iter() {
                    store.put("TargetPool", &name, pool_value(slots));
                }
                shared_call_count.store(endpoint.call_count.get() as usize, Ordering::Relaxed);
                shared_open_watches.store(endpoint.open_watches.get(), Ordering::Relaxed);
                monoio::time::sleep(Duration::from_millis(1)).await;
            }
        });
        runtime.expect("runtime");
    });
    let address = address.recv().expect("store starts");
    StoreHandle { address, write_sender, call_count, open_watches }
}

/// Returns a pool object with an equal fraction of the targets.
fn pool_value(slots: u32) -> serde_json::Value {
    let targets: Vec<_> = (0..TARGET_COUNT / POOL_COUNT)
        .map(|target_number| {
            json!({"id": format!("target-{target_number}"), "data_centre": "dc-1",
                "address": format!("10.0.{}.{}:8000", target_number / 250, target_number % 250)})
        })
        .collect();
    json!({"schema": 1, "spec": {
        "type": "service", "fencing": "ignored", "slots_per_target": slots, "targets": targets,
    }})
}

/// Returns the resident memory of this process.
fn rss_bytes() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").expect("own status");
    let line = status.lines().find(|line| line.starts_with("VmRSS:")).expect("VmRSS");
    let kib: f64 = line.split_whitespace().nth(1).expect("value").parse().expect("number");
    kib * 1024.0
}

/// Returns the CPU time of the threads in seconds, from their `stat` files.
fn cpu_time_s(stat_paths: &[std::path::PathBuf]) -> f64 {
    // `USER_HZ`, which is 100 on all common Linux builds.
    const TICKS_PER_S: f64 = 100.0;
    let ticks = stat_paths.iter().map(|path| {
        let stat = std::fs::read_to_string(path).expect("stat of a thread");
        let fields = stat.rsplit(')').next().expect("fields after the name");
        let field = |index: usize| -> f64 {
            fields.split_whitespace().nth(index).expect("field").parse().expect("number")
        };
        // Fields 14 and 15 of the `stat` file: user and system time.
        field(11) + field(12)
    });
    ticks.sum::<f64>() / TICKS_PER_S
}
