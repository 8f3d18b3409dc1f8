//! Weight versions, staleness and lengths of delivered samples.

mod common;

use std::collections::BTreeMap;

use common::{Cluster, ClusterOptions, check_delivery};
use deck_testkit::eventually;
use serde_json::{Value, json};

/// Returns the number of tokens that the trainer received, by weight version.
fn tokens_by_version(records: &Value) -> BTreeMap<u64, u64> {
    let mut tokens = BTreeMap::new();
    for sample in records["samples"].as_array().expect("samples") {
        for span in sample["spans"].as_array().expect("spans") {
            let version = span["weight_version"].as_u64().expect("version");
            *tokens.entry(version).or_default() += span["token_count"].as_u64().expect("count");
        }
    }
    tokens
}

/// Guards against tokens that are attributed to a version that did not make them when an engine
/// swaps in the middle of a sample.
#[test]
fn spans_survive_a_swap() {
    deck_net::runtime::run(async {
        let options = ClusterOptions {
            // Samples are slow and long enough that each swap happens while some are running.
            engine_arguments: vec![vec![
                "--max-batch",
                "64",
                "--tokens-per-s",
                "100",
                "--min-tokens",
                "60",
            ]],
            slots_per_target: 64,
            staleness_bound_versions: 4,
            trainer_arguments: vec!["--steps", "4"],
            ..ClusterOptions::default()
        };
        let cluster = Cluster::start(options).await;
        let records = cluster.run_steps(4).await;
        check_delivery(&records, &cluster.options, 4);
        let received = tokens_by_version(&records);
        let generated = cluster.engines[0].fetch_records().await;
        for (version, tokens) in &received {
            let generated = generated["tokens_by_version"][version.to_string()].as_u64();
            assert!(
                generated >= Some(*tokens),
                "version {version}: {tokens} received, {generated:?} generated"
            );
        }
        let samples = records["samples"].as_array().expect("samples");
        let swapped = samples
            .iter()
            .filter(|sample| sample["spans"].as_array().is_some_and(|spans| spans.len() > 1));
        assert!(swapped.count() > 0, "no sample was running during a swap");
        assert_eq!(
            generated["resume_mismatches"], 0,
            "a resumed text differs from the text before it"
        );
    })
    .expect("runtime");
}

/// Guards against stale samples from an engine that restarts with an older version, and against a
/// step that waits for that engine forever.
#[test]
fn engine_restarts_with_an_older_version() {
    deck_net::runtime::run(async {
        let options = ClusterOptions {
            staleness_bound_versions: 0,
            trainer_arguments: vec!["--steps", "4"],
            ..ClusterOptions::default()
        };
        let mut cluster = Cluster::start(options).await;
        cluster.run_steps(2).await;
        let address = cluster.engines[0].address.to_string();
        cluster.engines[0].process.kill();
        let arguments = ["engine", "--listen", &address, "--max-batch", "16", "--version", "1"];
        cluster.engines[0].process =
            deck_testkit::Process::start("engine", "deckstandin", &arguments, None);
        cluster.engines[0].process.address("http");
        let records = cluster.run_steps(4).await;
        check_delivery(&records, &cluster.options, 4);
    })
    .expect("runtime");
}

/// Guards against a sample whose text is lost or repeated in part when its stream breaks and
/// resumes.
#[test]
fn broken_streams_are_continued() {
    deck_net::runtime::run(async {
        let cluster = Cluster::start(ClusterOptions::default()).await;
        for engine in &cluster.engines {
            engine.set_faults(json!({"cut_streams": 6})).await;
        }
        let records = cluster.run_steps(3).await;
        check_delivery(&records, &cluster.options, 3);
        for engine in &cluster.engines {
            assert_eq!(engine.fetch_records().await["resume_mismatches"], 0);
        }
    })
    .expect("runtime");
}

/// Guards against groups that are lost because the scorer fails.
#[test]
fn scorer_errors_are_retried() {
    deck_net::runtime::run(async {
        let cluster = Cluster::start(ClusterOptions::default()).await;
        cluster.scorer.set_faults(json!({"errors": 3})).await;
        let records = cluster.run_steps(2).await;
        check_delivery(&records, &cluster.options, 2);
        assert_eq!(cluster.scorer.fetch_records().await["errors"], 3);
    })
    .expect("runtime");
}

/// Guards against refusals by the pool that increase the load or lose samples.
#[test]
fn refusals_of_the_pool_are_respected() {
    deck_net::runtime::run(async {
        let options = ClusterOptions {
            engine_arguments: vec![vec!["--max-batch", "4"]],
            slots_per_target: 4,
            samples_per_step: 64,
            ..ClusterOptions::default()
        };
        let cluster = Cluster::start(options).await;
        cluster.engines[0].set_faults(json!({"refuse": 10})).await;
        let records = cluster.run_steps(2).await;
        check_delivery(&records, &cluster.options, 2);
    })
    .expect("runtime");
}

/// Guards against a bias towards short samples: the trainer must receive the lengths that the
/// engines generate for the prompts, including the longest, although weights change and streams
/// stall.
#[test]
fn long_samples_are_not_dropped() {
    deck_net::runtime::run(async {
        let options = ClusterOptions {
            engine_arguments: vec![
                vec!["--max-batch", "32", "--tokens-per-s", "400", "--length-exponent", "0.9"],
                vec!["--max-batch", "32", "--tokens-per-s", "400", "--length-exponent", "0.9"],
            ],
            slots_per_target: 32,
            samples_per_step: 64,
            prompts: 16,
            roll_settings: vec![("sample", "stall_after_ms = 300")],
            trainer_arguments: vec!["--steps", "4"],
            ..ClusterOptions::default()
        };
        let cluster = Cluster::start(options).await;
        eventually("the first group is delivered", async || {
            cluster.trainer.fetch_records().await["samples"]
                .as_array()
                .is_some_and(|samples| !samples.is_empty())
        })
        .await;
        cluster.engines[0].set_faults(json!({"slow_factor": 60.0, "slow_ms": 2000})).await;
        let records = cluster.run_steps(4).await;
        check_delivery(&records, &cluster.options, 4);
        // The length of the stand-in's text depends only on the prompt, so all samples of a prompt
        // must have the same length. A truncated sample, or a short one instead of a long one,
        // would differ.
        let mut lengths_by_prompt: BTreeMap<u64, Vec<u64>> = BTreeMap::new();
        for sample in records["samples"].as_array().expect("samples") {
            let step = sample["step"].as_u64().expect("step");
            let prompt = (step * 16 + sample["group"].as_u64().expect("group")) % 16;
            let tokens = sample["token_count"].as_u64().expect("tokens");
            lengths_by_prompt.entry(prompt).or_default().push(tokens);
        }
        let finished_lengths = finished_run_lengths(&cluster).await;
        let mut delivered = Vec::new();
        for (prompt, lengths) in &lengths_by_prompt {
            assert!(lengths.iter().all(|tokens| *tokens == lengths[0]), "{prompt}: {lengths:?}");
            assert_eq!(lengths.len(), 16, "prompt {prompt}: 4 samples in each of 4 steps");
            delivered.push(lengths[0]);
        }
        delivered.sort_unstable();
        delivered.dedup();
        assert_eq!(
            delivered, finished_lengths,
            "lengths delivered and lengths that engines finished"
        );
        assert_eq!(delivered.last(), Some(&400), "no sample reached the longest length");
    })
    .expect("runtime");
}

/// Returns the distinct lengths of the runs that engines have finished, in ascending order.
async fn finished_run_lengths(cluster: &Cluster) -> Vec<u64> {
    let mut lengths = std::collections::BTreeSet::new();
    for engine in &cluster.engines {
        for run in engine.fetch_records().await["runs"].as_array().expect("runs") {
            let end = run["ranges"].as_array().and_then(|ranges| ranges.last()?["to"].as_u64());
            if let Some(end) = end.filter(|_| run["state"] == "finished") {
                lengths.insert(end);
            }
        }
    }
    lengths.into_iter().collect()
}
