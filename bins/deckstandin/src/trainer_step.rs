//! Steps of a trainer: pulls groups until a step is complete, then trains on it.

use std::{
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use deck_net::{
    Body, ClientResponse,
    http::{Method, Request, StatusCode, header},
};
use deckstandin::engine_text::{generated_text, text_key};
use serde::Deserialize;
use serde_json::json;

use crate::{
    common::unix_ms,
    trainer::{Sample, SampleRecord, StepRecord, Trainer},
};

/// Maximum size of the answer to a pull.
const MAX_ANSWER_BYTES: usize = 256 * 1024 * 1024;

/// Successful response to a pull.
#[derive(Deserialize)]
struct PullAnswer {
    /// Fencing number of the lease under which the responding node owns the job.
    owner_fencing: u64,
    /// Step to which the groups belong; must be the step of the pull.
    step: u64,
    /// Complete groups, normally ones that the pull did not list as held.
    groups: Vec<PulledGroup>,
}

/// All samples of one group, generated from one prompt.
#[derive(Deserialize)]
struct PulledGroup {
    /// Index of the group in the step.
    group: u32,
    samples: Vec<Sample>,
}

/// Set of the groups of a step that the trainer has received.
struct HeldGroups {
    /// Whether each group was received, by the index of the group.
    received: Vec<bool>,
}

impl HeldGroups {
    fn new(groups: u32) -> Self {
        Self { received: vec![false; groups as usize] }
    }

    fn is_complete(&self) -> bool {
        self.received.iter().all(|received| *received)
    }

    /// Encodes the set as a hexadecimal bit map: group `g` is bit `g % 8` of byte `g / 8`.
    fn to_hex(&self) -> String {
        self.received
            .chunks(8)
            .map(|chunk| {
                let byte = chunk
                    .iter()
                    .enumerate()
                    .fold(0_u8, |byte, (bit, received)| byte | (u8::from(*received) << bit));
                format!("{byte:02x}")
            })
            .collect()
    }
}

/// Progress of the current step and the node to pull from.
struct TrainerProgress {
    step: u64,
    /// Current weight version of the trainer.
    version: u64,
    /// Highest owner fencing number received. Invariant: never decreases.
    fencing: u64,
    held_groups: HeldGroups,
    /// Index of the current address in `--pull`.
    address_index: usize,
    /// Owner of the job to which the last redirect pointed; pulls go there instead.
    owner: Option<SocketAddr>,
}

/// Runs the number of steps given by `--steps`; 0 means without end.
pub async fn run_steps(trainer: Rc<Trainer>) {
    let options = &trainer.options;
    let mut progress = TrainerProgress {
        step: options.step,
        version: options.version,
        fencing: 0,
        held_groups: HeldGroups::new(options.groups_per_step()),
        address_index: 0,
        owner: None,
    };
    while options.steps == 0 || progress.step < options.step + options.steps {
        trainer.record_progress(&progress);
        let started_at = Instant::now();
        pull_step(&trainer, &mut progress).await;
        let completed_at = Instant::now();
        trainer.train(progress.version + 1).await;
        trainer.record_step(progress.step, started_at, completed_at);
        progress.step += 1;
        progress.version += 1;
        progress.held_groups = HeldGroups::new(options.groups_per_step());
    }
    trainer.record_progress(&progress);
}

/// Pulls until all groups of the step have been received.
async fn pull_step(trainer: &Trainer, progress: &mut TrainerProgress) {
    let retry_delay = Duration::from_millis(trainer.options.retry_ms);
    while !progress.held_groups.is_complete() {
        if trainer.faults.get().paused {
            monoio::time::sleep(retry_delay).await;
            continue;
        }
        if trainer.faults.update(|faults| std::mem::take(&mut faults.reconnect)) {
            progress.select_next_address(trainer);
        }
        if let Err(message) = pull_once(trainer, progress).await {
            log::info!(target: "trainer", "pull failed step={} error={message}", progress.step);
            trainer.records.borrow_mut().failed_pulls += 1;
            progress.select_next_address(trainer);
            monoio::time::sleep(retry_delay).await;
        }
    }
}

/// Sends one pull and handles the answer or the redirect.
async fn pull_once(trainer: &Trainer, progress: &mut TrainerProgress) -> Result<(), String> {
    let address = progress.owner.unwrap_or(trainer.options.pull[progress.address_index]);
    trainer.records.borrow_mut().pulls += 1;
    let response = send_pull(trainer, progress, address);
    let timeout = Duration::from_millis(trainer.options.pull_timeout_ms);
    let response = monoio::time::timeout(timeout, response)
        .await
        .map_err(|_| "no answer in time".to_owned())??;
    match response.status {
        StatusCode::TEMPORARY_REDIRECT => {
            trainer.records.borrow_mut().redirects += 1;
            let owner =
                redirect_address(&response).ok_or("redirect without a valid Location header")?;
            // Without this check, an owner that redirects to itself would be pulled from in a busy
            // loop.
            if progress.owner == Some(owner) {
                return Err("owner redirects to itself".to_owned());
            }
            progress.owner = Some(owner);
            Ok(())
        }
        status if status.is_success() => {
            let bytes = monoio::time::timeout(timeout, response.collect(MAX_ANSWER_BYTES))
                .await
                .map_err(|_| "response body not received in time".to_owned())?
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
    progress: &TrainerProgress,
    address: SocketAddr,
) -> Result<ClientResponse, String> {
    let body = json!({
        "step": progress.step,
        "trainer_version": progress.version,
        "held_groups": progress.held_groups.to_hex(),
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

/// Returns the address in the `Location` header, which may have `http://` before and a path after
/// it.
fn redirect_address(response: &ClientResponse) -> Option<SocketAddr> {
    let text = response.headers.get(header::LOCATION)?.to_str().ok()?;
    let text = text.strip_prefix("http://").unwrap_or(text);
    text.split('/').next()?.parse().ok()
}

impl TrainerProgress {
    /// Discards the known owner and selects the next address of `--pull`.
    fn select_next_address(&mut self, trainer: &Trainer) {
        self.owner = None;
        self.address_index = (self.address_index + 1) % trainer.options.pull.len();
    }
}

impl Trainer {
    fn record_progress(&self, progress: &TrainerProgress) {
        let mut records = self.records.borrow_mut();
        records.step = progress.step;
        records.version = progress.version;
    }

    /// Records a finished step.
    fn record_step(&self, step: u64, started_at: Instant, completed_at: Instant) {
        let wait_ms = (completed_at - started_at).as_millis() as u64;
        let train_ms = completed_at.elapsed().as_millis() as u64;
        self.journal.write(&json!({ "step": {
            "run": self.run_id,
            "step": step,
            "samples_per_step": self.options.samples_per_step,
        }}));
        let mut records = self.records.borrow_mut();
        records.idle_ms += wait_ms;
        records.steps.push(StepRecord { step, wait_ms, train_ms });
    }

    /// Checks an answer to a pull and stores its groups.
    fn receive(&self, progress: &mut TrainerProgress, answer: PullAnswer) {
        if answer.owner_fencing < progress.fencing {
            self.records.borrow_mut().stale_owner_answers += 1;
            return;
        }
        if answer.step != progress.step {
            let message = format!("answer for step {} to step {}", answer.step, progress.step);
            self.record_violation(message);
            return;
        }
        if !answer.groups.is_empty() && self.take_drop_fault() {
            self.records.borrow_mut().dropped_answers += 1;
            return;
        }
        progress.fencing = answer.owner_fencing;
        for group in answer.groups {
            self.receive_group(progress, group);
        }
    }

    /// Returns whether an injected fault discards the answer, and decrements its count.
    fn take_drop_fault(&self) -> bool {
        self.faults.update(|faults| {
            let drop_answer = faults.drop_answers > 0;
            faults.drop_answers = faults.drop_answers.saturating_sub(1);
            drop_answer
        })
    }

    /// Stores the samples of a group that is valid and was not received before.
    fn receive_group(&self, progress: &mut TrainerProgress, group: PulledGroup) {
        let Some(received) = progress.held_groups.received.get_mut(group.group as usize) else {
            self.record_violation(format!("group {} is not part of a step", group.group));
            return;
        };
        if *received {
            let duplicate = json!({ "step": progress.step, "group": group.group });
            self.journal.write(&json!({ "duplicate": duplicate }));
            self.records.borrow_mut().duplicate_groups += 1;
            return;
        }
        if let Some(message) = self.find_violation(progress.step, &group) {
            // Not marked as received, so that the trainer pulls the group again instead of training
            // on invalid samples.
            self.record_violation(message);
            return;
        }
        *received = true;
        let mut records = self.records.borrow_mut();
        for sample in group.samples {
            let record = sample_record(self.run_id, progress, group.group, sample);
            self.journal.write(&json!({ "sample": record }));
            records.samples.push(record);
        }
    }

    /// Returns a description of the first protocol violation in a group.
    fn find_violation(&self, step: u64, group: &PulledGroup) -> Option<String> {
        let size = self.options.group_size;
        if group.samples.len() != size as usize {
            let count = group.samples.len();
            return Some(format!("group {} has {count} samples, expected {size}", group.group));
        }
        for (index, sample) in (0..size).zip(&group.samples) {
            let expected_id =
                deck_core::object::sample_id(&self.options.job, step, group.group, index);
            if sample.id != expected_id || sample.index != index {
                return Some(format!("sample {} at the place of {expected_id}", sample.id));
            }
            let span_tokens: u32 = sample.spans.iter().map(|span| span.token_count).sum();
            if span_tokens != sample.token_count {
                let count = sample.token_count;
                return Some(format!(
                    "sample {expected_id} has {count} tokens and spans of {span_tokens}"
                ));
            }
            if let Some(prompt) = self.prompt(step, group.group)
                && sample.text != generated_text(prompt, 0, sample.token_count)
            {
                return Some(format!("sample {expected_id} has another text than the engine made"));
            }
        }
        None
    }
}

impl Trainer {
    /// Returns the prompt of a group, in the same way as `RolloutJob::prompt`; `None` without
    /// `--prompt`.
    fn prompt(&self, step: u64, group: u32) -> Option<&str> {
        let prompts = &self.options.prompt;
        let number = step * u64::from(self.options.groups_per_step()) + u64::from(group);
        let index = number.checked_rem(prompts.len() as u64)?;
        prompts.get(index as usize).map(String::as_str)
    }
}

fn sample_record(run: u64, progress: &TrainerProgress, group: u32, sample: Sample) -> SampleRecord {
    let oldest_version = sample.spans.iter().map(|span| span.weight_version).min().unwrap_or(0);
    SampleRecord {
        run,
        at_unix_ms: unix_ms(),
        id: sample.id,
        step: progress.step,
        group,
        text_key: text_key(&sample.text).to_owned(),
        token_count: sample.token_count,
        trainer_version: progress.version,
        staleness_versions: progress.version.saturating_sub(oldest_version),
        spans: sample.spans,
    }
}
