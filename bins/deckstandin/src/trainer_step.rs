//! Steps of a trainer: pulls groups until the step is complete, then trains.

use std::{
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use deck_net::{
    Body, ClientResponse,
    http::{Method, Request, StatusCode, header},
};
use deckstandin::text::{text_key, text_of};
use serde::Deserialize;
use serde_json::json;

use crate::{
    common::unix_ms,
    trainer::{Sample, SampleRecord, StepRecord, Trainer},
};

const MAX_ANSWER_BYTES: usize = 256 * 1024 * 1024;

#[derive(Deserialize)]
struct PullAnswer {
    owner_fencing: u64,
    step: u64,
    groups: Vec<Group>,
}

#[derive(Deserialize)]
struct Group {
    group: u32,
    samples: Vec<Sample>,
}

/// Groups of a step that the trainer holds.
struct HeldGroups {
    held: Vec<bool>,
}

impl HeldGroups {
    fn new(groups: u32) -> Self {
        Self { held: vec![false; groups as usize] }
    }

    fn is_complete(&self) -> bool {
        self.held.iter().all(|held| *held)
    }

    /// Returns two hexadecimal digits for each 8 groups; group `g` is bit `g % 8` of byte `g / 8`.
    fn to_hex(&self) -> String {
        self.held
            .chunks(8)
            .map(|chunk| {
                let byte = chunk
                    .iter()
                    .enumerate()
                    .fold(0_u8, |byte, (bit, held)| byte | (u8::from(*held) << bit));
                format!("{byte:02x}")
            })
            .collect()
    }
}

/// Where a step is, and with whom.
struct Progress {
    step: u64,
    version: u64,
    /// Highest owner fencing number seen. Invariant: never falls.
    fencing: u64,
    held: HeldGroups,
    /// Index of the current address in the options.
    address: usize,
    /// Owner to which the last answer pointed.
    owner: Option<SocketAddr>,
}

/// Runs steps until the number of the options is reached.
pub async fn run_steps(trainer: Rc<Trainer>) {
    let options = &trainer.options;
    let mut progress = Progress {
        step: options.step,
        version: options.version,
        fencing: 0,
        held: HeldGroups::new(options.groups_per_step()),
        address: 0,
        owner: None,
    };
    while options.steps == 0 || progress.step < options.step + options.steps {
        trainer.note_progress(&progress);
        let started = Instant::now();
        pull_step(&trainer, &mut progress).await;
        let complete = Instant::now();
        trainer.train(progress.version + 1).await;
        trainer.note_step(progress.step, started, complete);
        progress.step += 1;
        progress.version += 1;
        progress.held = HeldGroups::new(options.groups_per_step());
    }
    trainer.note_progress(&progress);
}

async fn pull_step(trainer: &Trainer, progress: &mut Progress) {
    let retry = Duration::from_millis(trainer.options.retry_ms);
    while !progress.held.is_complete() {
        if trainer.faults.get().paused {
            monoio::time::sleep(retry).await;
            continue;
        }
        if trainer.faults.update(|faults| std::mem::take(&mut faults.reconnect)) {
            progress.rotate(trainer);
        }
        if let Err(message) = pull_once(trainer, progress).await {
            log::info!(target: "trainer", "pull failed step={} error={message}", progress.step);
            trainer.records.borrow_mut().failed_pulls += 1;
            progress.rotate(trainer);
            monoio::time::sleep(retry).await;
        }
    }
}

async fn pull_once(trainer: &Trainer, progress: &mut Progress) -> Result<(), String> {
    let address = progress.owner.unwrap_or(trainer.options.pull[progress.address]);
    trainer.records.borrow_mut().pulls += 1;
    let pulled = send_pull(trainer, progress, address);
    let timeout = Duration::from_millis(trainer.options.pull_timeout_ms);
    let response = monoio::time::timeout(timeout, pulled)
        .await
        .map_err(|_| "no answer in time".to_owned())??;
    match response.status {
        StatusCode::TEMPORARY_REDIRECT => {
            trainer.records.borrow_mut().redirects += 1;
            let owner = location(&response).ok_or("redirect without an address")?;
            // Two processes that redirect to each other would otherwise make a busy loop.
            if progress.owner == Some(owner) {
                return Err("owner redirects to itself".to_owned());
            }
            progress.owner = Some(owner);
            Ok(())
        }
        status if status.is_success() => {
            let bytes = monoio::time::timeout(timeout, response.collect(MAX_ANSWER_BYTES))
                .await
                .map_err(|_| "answer not received in time".to_owned())?
                .map_err(|error| error.to_string())?;
            let answer: PullAnswer =
                serde_json::from_slice(&bytes).map_err(|error| error.to_string())?;
            trainer.receive(progress, answer);
            Ok(())
        }
        status => Err(format!("status {status}")),
    }
}

async fn send_pull(
    trainer: &Trainer,
    progress: &Progress,
    address: SocketAddr,
) -> Result<ClientResponse, String> {
    let body = json!({
        "step": progress.step,
        "trainer_version": progress.version,
        "held_groups": progress.held.to_hex(),
        "owner_fencing": progress.fencing,
    });
    let request = Request::builder()
        .method(Method::POST)
        .uri(format!("/v1/jobs/{}/pull", trainer.options.job))
        .header(header::CONTENT_TYPE, "application/json")
        .body(Body::full(body.to_string()))
        .map_err(|error| error.to_string())?;
    trainer.client.send(address, request).await.map_err(|error| error.to_string())
}

/// Returns the address in `Location`, with or without `http://` and a path.
fn location(response: &ClientResponse) -> Option<SocketAddr> {
    let text = response.headers.get(header::LOCATION)?.to_str().ok()?;
    let text = text.strip_prefix("http://").unwrap_or(text);
    text.split('/').next()?.parse().ok()
}

impl Progress {
    fn rotate(&mut self, trainer: &Trainer) {
        self.owner = None;
        self.address = (self.address + 1) % trainer.options.pull.len();
    }
}

impl Trainer {
    fn note_progress(&self, progress: &Progress) {
        let mut records = self.records.borrow_mut();
        records.step = progress.step;
        records.version = progress.version;
    }

    fn note_step(&self, step: u64, started: Instant, complete: Instant) {
        let wait_ms = (complete - started).as_millis() as u64;
        let train_ms = complete.elapsed().as_millis() as u64;
        self.journal.write(&json!({ "step": {
            "run": self.run,
            "step": step,
            "samples_per_step": self.options.samples_per_step,
        }}));
        let mut records = self.records.borrow_mut();
        records.idle_ms += wait_ms;
        records.steps.push(StepRecord { step, wait_ms, train_ms });
    }

    fn receive(&self, progress: &mut Progress, answer: PullAnswer) {
        if answer.owner_fencing < progress.fencing {
            self.records.borrow_mut().stale_owner_answers += 1;
            return;
        }
        if answer.step != progress.step {
            let message = format!("answer for step {} to step {}", answer.step, progress.step);
            self.note_violation(message);
            return;
        }
        if !answer.groups.is_empty() && self.take_planned_drop() {
            self.records.borrow_mut().dropped_answers += 1;
            return;
        }
        progress.fencing = answer.owner_fencing;
        for group in answer.groups {
            self.receive_group(progress, group);
        }
    }

    fn take_planned_drop(&self) -> bool {
        self.faults.update(|faults| {
            let drops = faults.drop_answers > 0;
            faults.drop_answers = faults.drop_answers.saturating_sub(1);
            drops
        })
    }

    fn receive_group(&self, progress: &mut Progress, group: Group) {
        let Some(held) = progress.held.held.get_mut(group.group as usize) else {
            self.note_violation(format!("group {} is not part of a step", group.group));
            return;
        };
        if *held {
            let duplicate = json!({ "step": progress.step, "group": group.group });
            self.journal.write(&json!({ "duplicate": duplicate }));
            self.records.borrow_mut().duplicate_groups += 1;
            return;
        }
        if let Some(message) = self.violation(progress.step, &group) {
            // Not marked as held: the trainer does not train on an incomplete group.
            self.note_violation(message);
            return;
        }
        *held = true;
        let mut records = self.records.borrow_mut();
        for sample in group.samples {
            let record = sample_record(self.run, progress, group.group, sample);
            self.journal.write(&json!({ "sample": record }));
            records.samples.push(record);
        }
    }

    fn violation(&self, step: u64, group: &Group) -> Option<String> {
        let size = self.options.group_size;
        if group.samples.len() != size as usize {
            let count = group.samples.len();
            return Some(format!("group {} has {count} samples, expected {size}", group.group));
        }
        for (index, sample) in (0..size).zip(&group.samples) {
            let id = deck_core::object::sample_id(&self.options.job, step, group.group, index);
            if sample.id != id || sample.index != index {
                return Some(format!("sample {} at the place of {id}", sample.id));
            }
            let spanned: u32 = sample.spans.iter().map(|span| span.token_count).sum();
            if spanned != sample.token_count {
                let count = sample.token_count;
                return Some(format!("sample {id} has {count} tokens and spans of {spanned}"));
            }
            if let Some(prompt) = self.prompt(step, group.group)
                && sample.text != text_of(prompt, 0, sample.token_count)
            {
                return Some(format!("sample {id} has another text than the engine made"));
            }
        }
        None
    }
}

impl Trainer {
    /// Returns the prompt of a group, as `RolloutJob::prompt` does.
    fn prompt(&self, step: u64, group: u32) -> Option<&str> {
        let prompts = &self.options.prompt;
        let number = step * u64::from(self.options.groups_per_step()) + u64::from(group);
        let index = number.checked_rem(prompts.len() as u64)?;
        prompts.get(index as usize).map(String::as_str)
    }
}

fn sample_record(run: u64, progress: &Progress, group: u32, sample: Sample) -> SampleRecord {
    let oldest = sample.spans.iter().map(|span| span.weight_version).min().unwrap_or(0);
    SampleRecord {
        run,
        at_unix_ms: unix_ms(),
        id: sample.id,
        step: progress.step,
        group,
        text_key: text_key(&sample.text).to_owned(),
        token_count: sample.token_count,
        trainer_version: progress.version,
        staleness_versions: progress.version.saturating_sub(oldest),
        spans: sample.spans,
    }
}
