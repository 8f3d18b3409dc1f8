//! Account of a run, and the check of its counts.

use std::collections::BTreeMap;

use deckscenario::{
    invariants,
    records::{Booking, JournalEntry, read_journal},
};
use serde_json::Value;

use deckdemo::error::DemoError;

use crate::deployment::{
    Deployment, ENGINES, LIVE, Run, SAMPLES_PER_STEP, SERVICES, STALENESS_BOUND_VERSIONS, STEPS,
    TRAINING,
};

/// Prints the account.
pub fn print(deployment: &Deployment, run: &Run) -> Result<(), DemoError> {
    print_rollout(run);
    print_calls(&run.load);
    print_usage(deployment, run)?;
    println!("\nservice levels (history.jsonl, burn.html)\n{}", run.burn);
    Ok(())
}

/// Checks all counts against the records of the stand-ins.
pub fn check(deployment: &Deployment, run: &Run) -> Result<(), DemoError> {
    let trainer = journals(deployment, &["trainer"])?;
    let engines = journals(deployment, ENGINES)?;
    let services = journals(deployment, SERVICES)?;
    let bookings: Vec<Booking> = serde_json::from_value(run.load["bookings"].clone())?;
    let mut violations = invariants::check_samples(&trainer);
    violations.extend(invariants::check_spans(&trainer, &engines));
    violations.extend(invariants::check_staleness(&trainer, STALENESS_BOUND_VERSIONS));
    violations.extend(invariants::check_bookings(&bookings, &services));
    let samples = count(&run.trainer["samples"]);
    if samples != STEPS * SAMPLES_PER_STEP {
        violations.push(format!("{samples} samples instead of {}", STEPS * SAMPLES_PER_STEP));
    }
    if run.load["sent"] != run.load["ok"] {
        violations.push(format!("{} of {} calls answered", run.load["ok"], run.load["sent"]));
    }
    if count(&run.load["mismatches"]) > 0 {
        violations.push(format!("answers to other requests: {}", run.load["mismatches"]));
    }
    if violations.is_empty() { Ok(()) } else { Err(DemoError::Counts(violations)) }
}

fn print_rollout(run: &Run) {
    let empty = Vec::new();
    let samples = run.trainer["samples"].as_array().unwrap_or(&empty);
    let mut by_versions: BTreeMap<String, u64> = BTreeMap::new();
    let mut by_staleness: BTreeMap<u64, u64> = BTreeMap::new();
    for sample in samples {
        let spans = sample["spans"].as_array().unwrap_or(&empty);
        let versions: Vec<_> =
            spans.iter().map(|span| span["weight_version"].to_string()).collect();
        *by_versions.entry(versions.join("+")).or_default() += 1;
        *by_staleness.entry(sample["staleness_versions"].as_u64().unwrap_or(0)).or_default() += 1;
    }
    println!("\nrollout job seat-ranking");
    println!("  steps finished          {}", count(&run.trainer["steps"]));
    println!("  samples delivered       {}", samples.len());
    for (versions, count) in by_versions {
        println!("    weight version {versions:<8} {count} samples");
    }
    for (staleness, count) in by_staleness {
        println!("    staleness {staleness} versions    {count} samples");
    }
    println!(
        "  trainer idle            {} ms of {} ms",
        run.trainer["idle_ms"], run.trainer["uptime_ms"]
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

fn print_usage(deployment: &Deployment, run: &Run) -> Result<(), DemoError> {
    println!("\nusage by organisation (tokens)");
    for organisation in [LIVE, TRAINING] {
        let calls = run.load["organisations"][organisation]["tokens"].as_u64().unwrap_or(0);
        println!("  {organisation:<12} calls {calls:>8}");
    }
    println!("  {TRAINING:<12} job   {:>8}", run.job["status"]["usage_tokens"]);
    let made: u64 = journals(deployment, ENGINES)?
        .iter()
        .map(|entry| match entry {
            JournalEntry::Tokens(tokens) => u64::from(tokens.to - tokens.from),
            _ => 0,
        })
        .sum();
    println!("  {:<12} made  {made:>8}", "engines");
    Ok(())
}

fn journals(deployment: &Deployment, names: &[&str]) -> Result<Vec<JournalEntry>, DemoError> {
    let mut entries = Vec::new();
    for name in names {
        let path = deployment.world.journal(name);
        if path.exists() {
            entries.extend(read_journal(&path)?);
        }
    }
    Ok(entries)
}

fn count(value: &Value) -> u64 {
    value.as_array().map_or(0, Vec::len) as u64
}
