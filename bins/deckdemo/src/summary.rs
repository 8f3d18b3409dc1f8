//! Printed summary of a run, and the checks that decide whether the run succeeded.

use std::collections::BTreeMap;

use deckscenario::{
    invariants,
    records::{Booking, JournalEntry, read_journal},
};
use serde_json::Value;

use deckdemo::error::DemoError;

use crate::deployment::{
    Deployment, ENGINES, INTERACTIVE_ORGANISATION, SAMPLES_PER_STEP, SERVICES,
    STALENESS_BOUND_VERSIONS, STEPS, TRAINING_ORGANISATION, WorkloadResults,
};

/// Prints the rollout, the calls, the usage and the service levels of a run.
pub fn print(deployment: &Deployment, results: &WorkloadResults) -> Result<(), DemoError> {
    print_rollout(results);
    print_calls(&results.load_report);
    print_usage(deployment, results)?;
    println!("\nservice levels (history.jsonl, burn.html)\n{}", results.burn_report);
    Ok(())
}

/// Checks the results against the stand-ins' journals: samples, weight versions, staleness,
/// bookings and the number of calls answered.
pub fn check(deployment: &Deployment, results: &WorkloadResults) -> Result<(), DemoError> {
    let trainer = read_journals(deployment, &["trainer"])?;
    let engines = read_journals(deployment, ENGINES)?;
    let services = read_journals(deployment, SERVICES)?;
    let bookings: Vec<Booking> = serde_json::from_value(results.load_report["bookings"].clone())?;
    let mut violations = invariants::check_samples(&trainer);
    violations.extend(invariants::check_spans(&trainer, &engines));
    violations.extend(invariants::check_staleness(&trainer, STALENESS_BOUND_VERSIONS));
    violations.extend(invariants::check_bookings(&bookings, &services));
    let samples = array_length(&results.trainer_records["samples"]);
    if samples != STEPS * SAMPLES_PER_STEP {
        violations
            .push(format!("{samples} samples delivered instead of {}", STEPS * SAMPLES_PER_STEP));
    }
    if results.load_report["sent"] != results.load_report["ok"] {
        violations.push(format!(
            "only {} of {} calls succeeded",
            results.load_report["ok"], results.load_report["sent"]
        ));
    }
    if array_length(&results.load_report["mismatches"]) > 0 {
        violations
            .push(format!("answers to other requests: {}", results.load_report["mismatches"]));
    }
    if violations.is_empty() { Ok(()) } else { Err(DemoError::WrongCounts(violations)) }
}

fn print_rollout(results: &WorkloadResults) {
    let empty = Vec::new();
    let samples = results.trainer_records["samples"].as_array().unwrap_or(&empty);
    let mut sample_counts_by_versions: BTreeMap<String, u64> = BTreeMap::new();
    let mut sample_counts_by_staleness: BTreeMap<u64, u64> = BTreeMap::new();
    for sample in samples {
        let spans = sample["spans"].as_array().unwrap_or(&empty);
        let versions: Vec<_> =
            spans.iter().map(|span| span["weight_version"].to_string()).collect();
        *sample_counts_by_versions.entry(versions.join("+")).or_default() += 1;
        *sample_counts_by_staleness
            .entry(sample["staleness_versions"].as_u64().unwrap_or(0))
            .or_default() += 1;
    }
    println!("\nrollout job seat-ranking");
    println!("  steps finished          {}", array_length(&results.trainer_records["steps"]));
    println!("  samples delivered       {}", samples.len());
    for (versions, count) in sample_counts_by_versions {
        println!("    weight version {versions:<8} {count} samples");
    }
    for (staleness, count) in sample_counts_by_staleness {
        println!("    staleness {staleness} versions    {count} samples");
    }
    println!(
        "  trainer idle            {} ms of {} ms",
        results.trainer_records["idle_ms"], results.trainer_records["uptime_ms"]
    );
}

fn print_calls(load: &Value) {
    println!("\ncalls");
    println!(
        "  {:<8} {:>6} {:>6} {:>9} {:>9} {:>9}  outcomes",
        "class", "sent", "tries", "p50 ms", "p99 ms", "max ms"
    );
    for (class, report) in load["classes"].as_object().into_iter().flatten() {
        let latency = &report["latency_ms"];
        let tries = report["sent"].as_u64().unwrap_or(0) + report["retries"].as_u64().unwrap_or(0);
        println!(
            "  {class:<8} {:>6} {tries:>6} {:>9} {:>9} {:>9}  {}",
            report["sent"], latency["p50"], latency["p99"], latency["max"], report["outcomes"],
        );
    }
}

fn print_usage(deployment: &Deployment, results: &WorkloadResults) -> Result<(), DemoError> {
    println!("\nusage by organisation (tokens)");
    for organisation in [INTERACTIVE_ORGANISATION, TRAINING_ORGANISATION] {
        let calls =
            results.load_report["organisations"][organisation]["tokens"].as_u64().unwrap_or(0);
        println!("  {organisation:<12} calls {calls:>8}");
    }
    println!("  {TRAINING_ORGANISATION:<12} job   {:>8}", results.job["status"]["usage_tokens"]);
    let generated_tokens: u64 = read_journals(deployment, ENGINES)?
        .iter()
        .map(|entry| match entry {
            JournalEntry::Tokens(tokens) => u64::from(tokens.to - tokens.from),
            _ => 0,
        })
        .sum();
    println!("  {:<12} made  {generated_tokens:>8}", "engines");
    Ok(())
}

/// Reads the journals of the stand-ins `names`; one that has not written a journal adds nothing.
fn read_journals(deployment: &Deployment, names: &[&str]) -> Result<Vec<JournalEntry>, DemoError> {
    let mut entries = Vec::new();
    for name in names {
        let path = deployment.environment.journal(name);
        if path.exists() {
            entries.extend(read_journal(&path)?);
        }
    }
    Ok(entries)
}

/// Returns the length of a JSON array, and 0 for any other value.
fn array_length(value: &Value) -> u64 {
    value.as_array().map_or(0, Vec::len) as u64
}
