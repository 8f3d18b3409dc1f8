//! Sweeps over sizes with separate processes.

use std::{path::Path, thread::sleep, time::Duration};

use deckcapacity::point::Point;
use deckdemo::{
    error::DemoError,
    tools::{finish, read, start, wait_for},
};
use serde_json::{Value, json};

use crate::{deployment::Deployment, process::Usage};

/// Rates of plain calls.
const CALLS_PER_S: &[u32] = &[50, 150, 450];
/// Streams in flight; each makes [`STREAM_TOKENS`] tokens in two seconds.
const STREAMS: &[u32] = &[20, 60, 180];
const STREAM_TOKENS: u32 = 200;
const STREAM_S: u32 = 2;
/// Samples of a step.
const SAMPLES: &[u32] = &[64, 256, 1024];
const SAMPLE_TOKENS: u32 = 64;
/// Targets whose reports are read.
const TARGETS: &[usize] = &[5, 20, 60];
/// Objects that a VM holds.
const OBJECTS: &[u32] = &[10, 100, 1000];

/// Runs all sweeps and prints their points.
pub fn run(directory: &Path, duration_ms: u64) -> Result<(), DemoError> {
    idle(&directory.join("idle"), duration_ms)?;
    for rate in CALLS_PER_S {
        calls(&directory.join(format!("calls-{rate}")), *rate, duration_ms)?;
    }
    for streams_count in STREAMS {
        streams(&directory.join(format!("streams-{streams_count}")), *streams_count, duration_ms)?;
    }
    for samples_count in SAMPLES {
        samples(&directory.join(format!("samples-{samples_count}")), *samples_count)?;
    }
    for targets_count in TARGETS {
        targets(&directory.join(format!("targets-{targets_count}")), *targets_count, duration_ms)?;
    }
    for objects_count in OBJECTS {
        objects(&directory.join(format!("objects-{objects_count}")), *objects_count)?;
    }
    Ok(())
}

/// Processor time and memory of the daemons of a VM without load and without what it could own.
fn idle(directory: &Path, duration_ms: u64) -> Result<(), DemoError> {
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
        print(&format!("{name}_idle_cpu"), 1.0, "vms", cpu_ms, "ms/s");
        print(&format!("{name}_idle_memory"), 1.0, "vms", after.memory_kb, "KB");
    }
    Ok(())
}

/// Processor time of an entry by the rate of plain calls.
fn calls(directory: &Path, rate: u32, duration_ms: u64) -> Result<(), DemoError> {
    let mut deployment = Deployment::start(directory, 0)?;
    deployment.start_daemon("entry", "deckentry")?;
    let load = ["--service=service".to_owned(), format!("--get-per-s={rate}")];
    let used = measure_load(&mut deployment, &load, duration_ms)?;
    let seconds = duration_ms as f64 / 1000.0;
    print("entry_cpu_by_calls", f64::from(rate), "calls/s", used.cpu_ms / seconds, "ms/s");
    Ok(())
}

/// Processor time and memory of an entry by the number of streams in flight.
fn streams(directory: &Path, streams: u32, duration_ms: u64) -> Result<(), DemoError> {
    let mut deployment = Deployment::start(directory, 2)?;
    deployment.start_daemon("entry", "deckentry")?;
    let load = [
        "--model=m".to_owned(),
        format!("--long-per-s={}", f64::from(streams) / f64::from(STREAM_S)),
        format!("--long-tokens={STREAM_TOKENS}"),
    ];
    let before = deployment.usage("entry")?;
    let used = measure_load(&mut deployment, &load, duration_ms)?;
    let seconds = duration_ms as f64 / 1000.0;
    let tokens_per_s = f64::from(streams) / f64::from(STREAM_S) * f64::from(STREAM_TOKENS);
    let streams = f64::from(streams);
    print("entry_cpu_by_tokens", tokens_per_s, "tokens/s", used.cpu_ms / seconds, "ms/s");
    print("entry_memory_by_streams", streams, "streams", used.memory_kb - before.memory_kb, "KB");
    Ok(())
}

/// Processor time and memory of a rollout owner, and processor time of its entry, by the samples of a
/// step.
fn samples(directory: &Path, samples: u32) -> Result<(), DemoError> {
    let mut deployment = Deployment::start(directory, 4)?;
    deployment.start_daemon("entry", "deckentry")?;
    deployment.start_daemon("roll", "deckroll")?;
    let before = (deployment.usage("roll")?, deployment.usage("entry")?);
    let prompts: Vec<String> = (0..samples / 16).map(|index| format!("prompt {index}")).collect();
    deployment.apply(
        "RolloutJob",
        "job",
        &json!({
            "organisation": "o", "pool": "engines",
            "scorer_address": deployment.address("scorer", "http")?.to_string(),
            "samples_per_step": samples, "group_size": 16, "staleness_bound_versions": 0,
            "max_tokens": SAMPLE_TOKENS, "step_deadline_ms": 240_000, "prompts": prompts,
        }),
    )?;
    let trainer = [
        "--job=job".to_owned(),
        "--model=m".to_owned(),
        "--pull=${roll.trainer}".to_owned(),
        format!("--samples-per-step={samples}"),
        "--group-size=16".to_owned(),
        "--steps=1".to_owned(),
    ];
    deployment.world.start_standin("trainer", "trainer", &trainer)?;
    let address = deployment.address("trainer", "http")?;
    let mut highest_memory_kb = 0.0_f64;
    wait_for("the step is complete", || {
        highest_memory_kb = highest_memory_kb.max(deployment.usage("roll")?.memory_kb);
        Ok(count(&read(address, "/admin/records")?["steps"]) > 0)
    })?;
    let after = (deployment.usage("roll")?, deployment.usage("entry")?);
    let wait_ms = read(address, "/admin/records")?["steps"][0]["wait_ms"].as_f64();
    let size = f64::from(samples);
    let (roll_cpu_ms, entry_cpu_ms) =
        (after.0.cpu_ms - before.0.cpu_ms, after.1.cpu_ms - before.1.cpu_ms);
    print("roll_cpu_by_samples", size, "samples", roll_cpu_ms, "ms");
    print("roll_entry_cpu_by_samples", size, "samples", entry_cpu_ms, "ms");
    print("roll_memory_by_samples", size, "samples", highest_memory_kb - before.0.memory_kb, "KB");
    print("roll_step_time_by_samples", size, "samples", wait_ms.unwrap_or(f64::NAN), "ms");
    Ok(())
}

/// Processor time and memory of a weight owner by the targets whose reports it reads.
fn targets(directory: &Path, targets: usize, duration_ms: u64) -> Result<(), DemoError> {
    let mut deployment = Deployment::start(directory, targets)?;
    deployment.start_daemon("entry", "deckentry")?;
    deployment.start_daemon("weight", "deckweight")?;
    // Until the lease is held and all targets have reported.
    sleep(Duration::from_secs(5));
    let before = deployment.usage("weight")?;
    sleep(Duration::from_millis(duration_ms));
    let after = deployment.usage("weight")?;
    let seconds = duration_ms as f64 / 1000.0;
    let cpu_ms = (after.cpu_ms - before.cpu_ms) / seconds;
    print("weight_cpu_by_targets", targets as f64, "targets", cpu_ms, "ms/s");
    print("weight_memory_by_targets", targets as f64, "targets", after.memory_kb, "KB");
    Ok(())
}

/// Memory of an entry by the objects that it holds.
fn objects(directory: &Path, objects: u32) -> Result<(), DemoError> {
    let mut deployment = Deployment::start(directory, 0)?;
    for index in 0..objects {
        deployment.apply("OrganisationShare", &format!("o{index}"), &json!({ "shares": [
            { "pool": "engines", "share_percent": 1 }, { "pool": "service", "share_percent": 1 },
        ]}))?;
        // Keeps below the write rate of the object API.
        sleep(Duration::from_millis(4));
    }
    deployment.start_daemon("entry", "deckentry")?;
    sleep(Duration::from_secs(2));
    let used = deployment.usage("entry")?;
    print("entry_memory_by_objects", f64::from(objects), "objects", used.memory_kb, "KB");
    Ok(())
}

/// Runs `deckload` and returns the processor time that the entry used, and its memory near the end.
fn measure_load(
    deployment: &mut Deployment,
    load: &[String],
    duration_ms: u64,
) -> Result<Usage, DemoError> {
    let entry = deployment.address("entry", "caller")?;
    let mut arguments = vec![
        format!("--entry={entry}"),
        "--organisation=o".to_owned(),
        format!("--duration-ms={duration_ms}"),
    ];
    arguments.extend_from_slice(load);
    let before = deployment.usage("entry")?;
    let load = start("deckload", &arguments)?;
    sleep(Duration::from_millis(duration_ms * 9 / 10));
    let memory_kb = deployment.usage("entry")?.memory_kb;
    let report: Value = serde_json::from_str(&finish("deckload", load)?)?;
    if report["sent"] != report["ok"] {
        let message = format!("{} of {} calls answered", report["ok"], report["sent"]);
        return Err(DemoError::Program("deckload".to_owned(), message));
    }
    let after = deployment.usage("entry")?;
    Ok(Usage { cpu_ms: after.cpu_ms - before.cpu_ms, memory_kb })
}

fn print(sweep: &str, x: f64, x_unit: &str, y: f64, y_unit: &str) {
    let (sweep, x_unit, y_unit) = (sweep.to_owned(), x_unit.to_owned(), y_unit.to_owned());
    println!("{}", Point { sweep, x, x_unit, y, y_unit });
}

fn count(value: &Value) -> usize {
    value.as_array().map_or(0, Vec::len)
}
