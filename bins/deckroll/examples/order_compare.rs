//! Compares the default dispatch order with first-in-first-out and longest-first dispatch without
//! look-ahead.
//!
//! Prints the trainer's wait per step and the staleness of the received samples for each order.
//! BOUND is the staleness bound in versions. After `cargo build --release --workspace`, run
//! `cargo run --release -p deckroll --example order_compare -- [STEPS] [BOUND]`.

#[path = "../tests/common/mod.rs"]
mod common;

use common::{Cluster, ClusterOptions, check_delivery};
use serde_json::Value;

fn main() -> std::io::Result<()> {
    let mut arguments = std::env::args().skip(1);
    let steps = arguments.next().and_then(|text| text.parse().ok()).unwrap_or(12);
    let staleness_bound = arguments.next().and_then(|text| text.parse().ok()).unwrap_or(2);
    deck_net::runtime::run(async {
        for (name, settings) in orders_to_compare() {
            run_order(name, settings, steps, staleness_bound).await;
        }
    })
}

type Settings = Vec<(&'static str, &'static str)>;

/// Returns names and settings of the dispatch orders. The default (`chosen`) and first-in-first-out
/// appear twice in alternation, to spread the effect of other load on the machine.
fn orders_to_compare() -> Vec<(&'static str, Settings)> {
    let default_order = vec![("lease", "duration_ms = 3000")];
    let fifo_order = vec![
        ("lease", "duration_ms = 3000"),
        ("step", "longest_first = no\nlook_ahead = no\nmax_ahead_steps = 0"),
    ];
    let longest_first =
        vec![("lease", "duration_ms = 3000"), ("step", "look_ahead = no\nmax_ahead_steps = 0")];
    vec![
        ("fifo", fifo_order.clone()),
        ("longest-first", longest_first),
        ("chosen", default_order.clone()),
        ("fifo", fifo_order),
        ("chosen", default_order),
    ]
}

async fn run_order(name: &str, roll_settings: Settings, steps: usize, staleness_bound: u64) {
    let engine = vec!["--max-batch", "16", "--tokens-per-s", "300", "--length-exponent", "1.1"];
    let options = ClusterOptions {
        engine_arguments: vec![engine; 4],
        samples_per_step: 128,
        prompts: 64,
        max_tokens: 1000,
        staleness_bound_versions: staleness_bound,
        roll_settings,
        trainer_arguments: vec!["--train-ms", "2000"],
        ..ClusterOptions::default()
    };
    let cluster = Cluster::start(options).await;
    // One call per step, because each call has its own deadline.
    let mut records = Value::Null;
    for step in 1..=steps {
        records = cluster.run_steps(step).await;
    }
    let owner = cluster.find_owner().await;
    let status = cluster.vms[owner].fetch_job_status().await.unwrap_or_default();
    check_delivery(&records, &cluster.options, steps);
    print_report(name, &records, &status);
}

fn print_report(name: &str, records: &Value, status: &Value) {
    // Skips the first two steps: no lengths are known yet, and no earlier step could have started
    // their samples.
    let step_waits_ms: Vec<u64> = records["steps"].as_array().map_or_else(Vec::new, |steps| {
        steps.iter().skip(2).filter_map(|step| step["wait_ms"].as_u64()).collect()
    });
    let samples = records["samples"].as_array().map_or(&[][..], Vec::as_slice);
    let staleness_versions: Vec<u64> =
        samples.iter().filter_map(|sample| sample["staleness_versions"].as_u64()).collect();
    println!(
        "{name:<14} wait per step: mean {:>5} ms, longest {:>5} ms | staleness: mean {:.2}, largest \
         {} versions | regenerated {:.1} %, thrown away {:.1} % of tokens",
        step_waits_ms.iter().sum::<u64>() / step_waits_ms.len().max(1) as u64,
        step_waits_ms.iter().max().unwrap_or(&0),
        staleness_versions.iter().sum::<u64>() as f64 / staleness_versions.len().max(1) as f64,
        staleness_versions.iter().max().unwrap_or(&0),
        status["regenerated_share"].as_f64().unwrap_or(0.0) * 100.0,
        status["thrown_away_share"].as_f64().unwrap_or(0.0) * 100.0,
    );
}
