//! Sweeps: the usage of daemons, each a separate process, measured at several sizes of the load.

use std::{path::Path, thread::sleep, time::Duration};

use deckcapacity::point::Point;
use deckdemo::{
    error::DemoError,
    tools::{get_json, start_program, wait_for, wait_for_output},
};
use serde_json::{Value, json};

use crate::{deployment::Deployment, process::Usage};

/// Rates of calls to the plain service.
const CALLS_PER_S: &[u32] = &[50, 150, 450];
/// Numbers of streams in flight. Each stream receives [`STREAM_TOKENS`] tokens in
/// [`STREAM_DURATION_S`].
const STREAM_COUNTS: &[u32] = &[20, 60, 180];
const STREAM_TOKENS: u32 = 200;
const STREAM_DURATION_S: u32 = 2;
/// Numbers of samples in a step.
const SAMPLE_COUNTS: &[u32] = &[64, 256, 1024];
const SAMPLE_TOKENS: u32 = 64;
/// Numbers of engines in the pool, whose reports the weight daemon reads.
const TARGET_COUNTS: &[usize] = &[5, 20, 60];
/// Numbers of configuration objects that an entry holds in memory.
const OBJECT_COUNTS: &[u32] = &[10, 100, 1000];

/// Runs all sweeps and prints their points.
pub fn run(directory: &Path, duration_ms: u64) -> Result<(), DemoError> {
    measure_idle(&directory.join("idle"), duration_ms)?;
    for rate in CALLS_PER_S {
        measure_calls(&directory.join(format!("calls-{rate}")), *rate, duration_ms)?;
    }
    for streams_count in STREAM_COUNTS {
        measure_streams(
            &directory.join(format!("streams-{streams_count}")),
            *streams_count,
            duration_ms,
        )?;
    }
    for samples_count in SAMPLE_COUNTS {
        measure_samples(&directory.join(format!("samples-{samples_count}")), *samples_count)?;
    }
    for targets_count in TARGET_COUNTS {
        measure_targets(
            &directory.join(format!("targets-{targets_count}")),
            *targets_count,
            duration_ms,
        )?;
    }
    for objects_count in OBJECT_COUNTS {
        measure_objects(&directory.join(format!("objects-{objects_count}")), *objects_count)?;
    }
    Ok(())
}

/// Measures processor time and memory of the three daemons of a VM that has no load, engines or
/// rollout jobs.
fn measure_idle(directory: &Path, duration_ms: u64) -> Result<(), DemoError> {
    let mut deployment = Deployment::start(directory, 0)?;
    let daemons = [("entry", "deckentry"), ("roll", "deckroll"), ("weight", "deckweight")];
    for (name, program) in daemons {
        deployment.start_daemon(name, program)?;
    }
    sleep(Duration::from_secs(3));
    let mut before = Vec::new();
    for (name, _) in daemons {
        before.push(deployment.usage(name)?);
    }
    sleep(Duration::from_millis(duration_ms * 2));
    let seconds = duration_ms as f64 * 2.0 / 1000.0;
    for ((name, _), before) in daemons.into_iter().zip(before) {
        let after = deployment.usage(name)?;
        let cpu_ms = (after.cpu_ms - before.cpu_ms) / seconds;
        print_point(&format!("{name}_idle_cpu"), 1.0, "vms", cpu_ms, "ms/s");
        print_point(&format!("{name}_idle_memory"), 1.0, "vms", after.memory_kb, "KB");
    }
    Ok(())
}

/// Measures the processor time of an entry by the rate of plain calls.
fn measure_calls(directory: &Path, rate: u32, duration_ms: u64) -> Result<(), DemoError> {
    let mut deployment = Deployment::start(directory, 0)?;
    deployment.start_daemon("entry", "deckentry")?;
    let load_options = ["--service=service".to_owned(), format!("--get-per-s={rate}")];
    let used = measure_load(&mut deployment, &load_options, duration_ms)?;
    let seconds = duration_ms as f64 / 1000.0;
    print_point("entry_cpu_by_calls", f64::from(rate), "calls/s", used.cpu_ms / seconds, "ms/s");
    Ok(())
}

/// Measures processor time and memory of an entry by the number of streams in flight.
fn measure_streams(directory: &Path, stream_count: u32, duration_ms: u64) -> Result<(), DemoError> {
    let mut deployment = Deployment::start(directory, 2)?;
    deployment.start_daemon("entry", "deckentry")?;
    let load_options = [
        "--model=m".to_owned(),
        format!("--long-per-s={}", f64::from(stream_count) / f64::from(STREAM_DURATION_S)),
        format!("--long-tokens={STREAM_TOKENS}"),
    ];
    let before = deployment.usage("entry")?;
    let used = measure_load(&mut deployment, &load_options, duration_ms)?;
    let seconds = duration_ms as f64 / 1000.0;
    let tokens_per_s =
        f64::from(stream_count) / f64::from(STREAM_DURATION_S) * f64::from(STREAM_TOKENS);
    let streams = f64::from(stream_count);
    print_point("entry_cpu_by_tokens", tokens_per_s, "tokens/s", used.cpu_ms / seconds, "ms/s");
    print_point(
        "entry_memory_by_streams",
        streams,
        "streams",
        used.memory_kb - before.memory_kb,
        "KB",
    );
    Ok(())
}

/// Measures processor time and memory of the owner of a rollout job, processor time of its entry,
/// and the time until the step is complete, by the number of samples in a step.
fn measure_samples(directory: &Path, sample_count: u32) -> Result<(), DemoError> {
    let mut deployment = Deployment::start(directory, 4)?;
    deployment.start_daemon("entry", "deckentry")?;
    deployment.start_daemon("roll", "deckroll")?;
    let before = (deployment.usage("roll")?, deployment.usage("entry")?);
    let prompts: Vec<String> =
        (0..sample_count / 16).map(|index| format!("prompt {index}")).collect();
    deployment.apply(
        "RolloutJob",
        "job",
        &json!({
            "organisation": "o", "pool": "engines",
            "scorer_address": deployment.address("scorer", "http")?.to_string(),
            "samples_per_step": sample_count, "group_size": 16, "staleness_bound_versions": 0,
            "max_tokens": SAMPLE_TOKENS, "step_deadline_ms": 240_000, "prompts": prompts,
        }),
    )?;
    let trainer = [
        "--job=job".to_owned(),
        "--model=m".to_owned(),
        "--pull=${roll.trainer}".to_owned(),
        format!("--samples-per-step={sample_count}"),
        "--group-size=16".to_owned(),
        "--steps=1".to_owned(),
    ];
    deployment.environment.start_standin("trainer", "trainer", &trainer)?;
    let address = deployment.address("trainer", "http")?;
    let mut peak_memory_kb = 0.0_f64;
    wait_for("the step is complete", || {
        peak_memory_kb = peak_memory_kb.max(deployment.usage("roll")?.memory_kb);
        Ok(array_length(&get_json(address, "/admin/records")?["steps"]) > 0)
    })?;
    let after = (deployment.usage("roll")?, deployment.usage("entry")?);
    let wait_ms = get_json(address, "/admin/records")?["steps"][0]["wait_ms"].as_f64();
    let size = f64::from(sample_count);
    let (roll_cpu_ms, entry_cpu_ms) =
        (after.0.cpu_ms - before.0.cpu_ms, after.1.cpu_ms - before.1.cpu_ms);
    print_point("roll_cpu_by_samples", size, "samples", roll_cpu_ms, "ms");
    print_point("roll_entry_cpu_by_samples", size, "samples", entry_cpu_ms, "ms");
    print_point(
        "roll_memory_by_samples",
        size,
        "samples",
        peak_memory_kb - before.0.memory_kb,
        "KB",
    );
    print_point("roll_step_time_by_samples", size, "samples", wait_ms.unwrap_or(f64::NAN), "ms");
    Ok(())
}

/// Measures processor time and memory of a weight daemon by the number of targets whose reports it
/// reads.
fn measure_targets(
    directory: &Path,
    target_count: usize,
    duration_ms: u64,
) -> Result<(), DemoError> {
    let mut deployment = Deployment::start(directory, target_count)?;
    deployment.start_daemon("entry", "deckentry")?;
    deployment.start_daemon("weight", "deckweight")?;
    // After 5 s the weight daemon holds the lease of the pool and has read the state of all targets.
    sleep(Duration::from_secs(5));
    let before = deployment.usage("weight")?;
    sleep(Duration::from_millis(duration_ms));
    let after = deployment.usage("weight")?;
    let seconds = duration_ms as f64 / 1000.0;
    let cpu_ms = (after.cpu_ms - before.cpu_ms) / seconds;
    print_point("weight_cpu_by_targets", target_count as f64, "targets", cpu_ms, "ms/s");
    print_point("weight_memory_by_targets", target_count as f64, "targets", after.memory_kb, "KB");
    Ok(())
}

/// Measures the memory of an entry by the number of objects that it holds.
fn measure_objects(directory: &Path, object_count: u32) -> Result<(), DemoError> {
    let mut deployment = Deployment::start(directory, 0)?;
    for index in 0..object_count {
        deployment.apply("OrganisationShare", &format!("o{index}"), &json!({ "shares": [
            { "pool": "engines", "share_percent": 1 }, { "pool": "service", "share_percent": 1 },
        ]}))?;
        // Stays below the rate limit of the object API for writes.
        sleep(Duration::from_millis(4));
    }
    deployment.start_daemon("entry", "deckentry")?;
    sleep(Duration::from_secs(2));
    let used = deployment.usage("entry")?;
    print_point(
        "entry_memory_by_objects",
        f64::from(object_count),
        "objects",
        used.memory_kb,
        "KB",
    );
    Ok(())
}

/// Runs `deckload` with `load_options` and returns the processor time that the entry used during
/// the run, and its memory after nine tenths of the run, while calls are still in flight.
fn measure_load(
    deployment: &mut Deployment,
    load_options: &[String],
    duration_ms: u64,
) -> Result<Usage, DemoError> {
    let entry = deployment.address("entry", "caller")?;
    let mut arguments = vec![
        format!("--entry={entry}"),
        "--organisation=o".to_owned(),
        format!("--duration-ms={duration_ms}"),
    ];
    arguments.extend_from_slice(load_options);
    let before = deployment.usage("entry")?;
    let load = start_program("deckload", &arguments)?;
    sleep(Duration::from_millis(duration_ms * 9 / 10));
    let memory_kb = deployment.usage("entry")?.memory_kb;
    let report: Value = serde_json::from_str(&wait_for_output("deckload", load)?)?;
    if report["sent"] != report["ok"] {
        let message = format!("only {} of {} calls succeeded", report["ok"], report["sent"]);
        return Err(DemoError::Program("deckload".to_owned(), message));
    }
    let after = deployment.usage("entry")?;
    Ok(Usage { cpu_ms: after.cpu_ms - before.cpu_ms, memory_kb })
}

fn print_point(sweep: &str, x: f64, x_unit: &str, y: f64, y_unit: &str) {
    let (sweep, x_unit, y_unit) = (sweep.to_owned(), x_unit.to_owned(), y_unit.to_owned());
    println!("{}", Point { sweep, x, x_unit, y, y_unit });
}

fn array_length(value: &Value) -> usize {
    value.as_array().map_or(0, Vec::len)
}
