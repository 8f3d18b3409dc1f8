//! Samples: attribution to weight versions, freshness, and lengths.

mod common;

use std::collections::BTreeMap;

use common::{Cluster, ClusterOptions, check_delivery};
use deck_testkit::eventually;
use serde_json::{Value, json};

/// Returns the tokens that the trainer received, by version.
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
            // Slow and long enough that every swap meets running samples.
            engines: vec![vec!["--max-batch", "64", "--tokens-per-s", "100", "--min-tokens", "60"]],
            slots_per_target: 64,
            staleness_bound_versions: 4,
            trainer: vec!["--steps", "4"],
            ..ClusterOptions::default()
        };
        let cluster = Cluster::start(options).await;
        let records = cluster.run_steps(4).await;
        check_delivery(&records, &cluster.options, 4);
        let received = tokens_by_version(&records);
        let made = cluster.engines[0].records().await;
        for (version, tokens) in &received {
            let made = made["tokens_by_version"][version.to_string()].as_u64();
            assert!(made >= Some(*tokens), "version {version}: {tokens} received, {made:?} made");
        }
        let samples = records["samples"].as_array().expect("samples");
        let swapped = samples.iter().filter(|s| s["spans"].as_array().is_some_and(|s| s.len() > 1));
        assert!(swapped.count() > 0, "no sample met a swap: the test shows nothing");
        assert_eq!(made["resume_mismatches"], 0, "a resumed text is not the one that came before");
    })
    .expect("runtime");
}

/// Guards against stale samples from an engine that restarts with an older version, and against a
/// step that waits for it for ever.
#[test]
fn engine_restarts_with_an_older_version() {
    deck_net::runtime::run(async {
        let options = ClusterOptions {
            staleness_bound_versions: 0,
            trainer: vec!["--steps", "4"],
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

/// Guards against a sample whose parts do not fit together when streams break and are resumed.
#[test]
fn broken_streams_are_continued() {
    deck_net::runtime::run(async {
        let cluster = Cluster::start(ClusterOptions::default()).await;
        for engine in &cluster.engines {
            engine.faults(json!({"cut_streams": 6})).await;
        }
        let records = cluster.run_steps(3).await;
        check_delivery(&records, &cluster.options, 3);
        for engine in &cluster.engines {
            assert_eq!(engine.records().await["resume_mismatches"], 0);
        }
    })
    .expect("runtime");
}

/// Guards against groups that are lost because the scorer failed.
#[test]
fn scorer_errors_are_retried() {
    deck_net::runtime::run(async {
        let cluster = Cluster::start(ClusterOptions::default()).await;
        cluster.scorer.faults(json!({"errors": 3})).await;
        let records = cluster.run_steps(2).await;
        check_delivery(&records, &cluster.options, 2);
        assert_eq!(cluster.scorer.records().await["errors"], 3);
    })
    .expect("runtime");
}

/// Guards against refusals that are answered by more load, or that lose samples.
#[test]
fn refusals_of_the_pool_are_respected() {
    deck_net::runtime::run(async {
        let options = ClusterOptions {
            engines: vec![vec!["--max-batch", "4"]],
            slots_per_target: 4,
            samples_per_step: 64,
            ..ClusterOptions::default()
        };
        let cluster = Cluster::start(options).await;
        cluster.engines[0].faults(json!({"refuse": 10})).await;
        let records = cluster.run_steps(2).await;
        check_delivery(&records, &cluster.options, 2);
    })
    .expect("runtime");
}

/// Guards against a bias towards short samples: what the trainer receives must have the lengths that
/// the engines make for the prompts, the longest ones included, although weights change and streams
/// stall.
#[test]
fn long_samples_are_not_dropped() {
    deck_net::runtime::run(async {
        let options = ClusterOptions {
            engines: vec![
                vec!["--max-batch", "32", "--tokens-per-s", "400", "--length-exponent", "0.9"],
                vec!["--max-batch", "32", "--tokens-per-s", "400", "--length-exponent", "0.9"],
            ],
            slots_per_target: 32,
            samples_per_step: 64,
            prompts: 16,
            roll_settings: vec![("sample", "stall_after_ms = 300")],
            trainer: vec!["--steps", "4"],
            ..ClusterOptions::default()
        };
        let cluster = Cluster::start(options).await;
        eventually("the first group is delivered", async || {
            cluster.trainer.records().await["samples"].as_array().is_some_and(|s| !s.is_empty())
        })
        .await;
        cluster.engines[0].faults(json!({"slow_factor": 60.0, "slow_ms": 2000})).await;
        let records = cluster.run_steps(4).await;
        check_delivery(&records, &cluster.options, 4);
        // The stand-in's length depends on the prompt only, so each group of a prompt must have the
        // same lengths in every step: an attempt cut short or a long one swapped for a short one
        // would differ.
        let mut by_prompt: BTreeMap<u64, Vec<u64>> = BTreeMap::new();
        for sample in records["samples"].as_array().expect("samples") {
            let step = sample["step"].as_u64().expect("step");
            let prompt = (step * 16 + sample["group"].as_u64().expect("group")) % 16;
            let tokens = sample["token_count"].as_u64().expect("tokens");
            by_prompt.entry(prompt).or_default().push(tokens);
        }
        let produced = produced_lengths(&cluster).await;
        let mut delivered = Vec::new();
        for (prompt, lengths) in &by_prompt {
            assert!(lengths.iter().all(|tokens| *tokens == lengths[0]), "{prompt}: {lengths:?}");
            assert_eq!(lengths.len(), 16, "prompt {prompt}: 4 samples in each of 4 steps");
            delivered.push(lengths[0]);
        }
        delivered.sort_unstable();
        delivered.dedup();
        assert_eq!(delivered, produced, "lengths delivered and lengths that engines finished");
        assert_eq!(delivered.last(), Some(&400), "no sample reached the longest length");
    })
    .expect("runtime");
}

/// Returns the lengths that engines brought to an end, one for each prompt.
async fn produced_lengths(cluster: &Cluster) -> Vec<u64> {
    let mut lengths = std::collections::BTreeSet::new();
    for engine in &cluster.engines {
        for run in engine.records().await["runs"].as_array().expect("runs") {
            let end = run["ranges"].as_array().and_then(|ranges| ranges.last()?["to"].as_u64());
            if let Some(end) = end.filter(|_| run["state"] == "finished") {
                lengths.insert(end);
            }
        }
    }
    lengths.into_iter().collect()
}
