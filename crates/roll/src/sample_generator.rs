//! Generation of one sample, with a hedged second request if the first one stalls.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use deck_core::id::TargetId;
use deck_net::Client;
use futures_util::future::{Either, select};

use crate::{
    generation::{GeneratedChunk, Generation, GenerationError, GenerationRequest},
    options::GenerationOptions,
    sample::SampleText,
};

/// Delay before a rejected request is retried. It is long because the cause is in the
/// configuration.
const REJECTED_RETRY_DELAY: Duration = Duration::from_secs(5);
/// Multiplier on the stall timeout before the first token, because the request may wait in the
/// engine's queue.
const FIRST_TOKEN_STALL_FACTOR: u32 = 4;

/// Outcome of the generation of one sample.
#[derive(Debug)]
pub enum GenerationOutcome {
    /// Generation is complete.
    Finished(SampleText),
    /// The generated text is too stale to be delivered.
    Stale(SampleText),
    /// The pool refused the request; generation resumes from the text after the given delay.
    Refused(SampleText, Duration),
    /// Generation failed with the given message; it resumes from the text after the given delay.
    Failed(SampleText, Duration, String),
}

/// Callbacks from a running generation to its job.
pub trait GenerationObserver {
    /// Called for each chunk with the whole text so far. Returns false if the sample is no longer
    /// needed or is stale.
    fn on_chunk(&self, chunk: &GeneratedChunk, text: &SampleText) -> bool;

    /// Called for the first chunk, with the target that generated it.
    fn on_first_chunk(&self, target: &TargetId, chunk: &GeneratedChunk);

    /// Takes one hedged request from the job's budget; returns false if the budget is used up.
    fn try_reserve_hedge(&self) -> bool;
}

/// Generates one sample through the entry daemon of this VM.
pub struct SampleGenerator<'a, O> {
    /// HTTP client for requests to `deckentry`.
    pub client: &'a Client,
    /// Address of `deckentry`, the entry daemon of this VM.
    pub entry: SocketAddr,
    /// Timeouts and limits of the generation.
    pub options: &'a GenerationOptions,
    /// Request for the whole sample; the text to resume from is passed separately.
    pub request: GenerationRequest,
    /// Receives each chunk and decides whether the generation continues.
    pub observer: &'a O,
}

impl<O: GenerationObserver> SampleGenerator<'_, O> {
    /// Generates a sample, resuming from `text`.
    pub async fn run(&self, mut text: SampleText) -> GenerationOutcome {
        let started = Instant::now();
        let attempt_timeout = self.options.attempt_timeout;
        let start_result =
            monoio::time::timeout(attempt_timeout, self.start_generation(&text, None)).await;
        let mut generation = match start_result {
            Ok(Ok(generation)) => generation,
            Ok(Err(error)) => return self.outcome_from_error(text, error),
            Err(_) => return self.outcome_from_error(text, timeout_error(attempt_timeout)),
        };
        let mut has_first_chunk = false;
        loop {
            if started.elapsed() > attempt_timeout {
                return self.outcome_from_error(text, timeout_error(attempt_timeout));
            }
            let chunk = match self.next_chunk(generation, &text, has_first_chunk).await {
                Ok((_, None)) => return GenerationOutcome::Finished(text),
                Ok((next, Some(chunk))) => {
                    generation = next;
                    chunk
                }
                Err(error) => return self.outcome_from_error(text, error),
            };
            if let Some(target) = generation.target().filter(|_| !has_first_chunk) {
                self.observer.on_first_chunk(target, &chunk);
            }
            has_first_chunk = true;
            text.append(&chunk.text, chunk.token_count, chunk.weight_version);
            if !self.observer.on_chunk(&chunk, &text) {
                return GenerationOutcome::Stale(text);
            }
            if text.text.len() > self.options.max_sample_bytes {
                // Truncating the text would make the sample wrong, and a retry would most likely be
                // as long again, so it starts only after the longer delay.
                let error_message =
                    format!("sample is larger than {} bytes", self.options.max_sample_bytes);
                return GenerationOutcome::Failed(
                    SampleText::default(),
                    REJECTED_RETRY_DELAY,
                    error_message,
                );
            }
        }
    }

    async fn start_generation(
        &self,
        text: &SampleText,
        stalled_target: Option<TargetId>,
    ) -> Result<Generation, GenerationError> {
        let mut request = self.request.clone();
        request.avoid_targets.extend(stalled_target);
        Generation::start(self.client, self.entry, &request, text).await
    }

    /// Returns the next chunk and the generation that produced it; starts a hedged request if the
    /// current one stalls.
    async fn next_chunk(
        &self,
        mut generation: Generation,
        text: &SampleText,
        has_first_chunk: bool,
    ) -> Result<(Generation, Option<GeneratedChunk>), GenerationError> {
        let stall_factor = if has_first_chunk { 1 } else { FIRST_TOKEN_STALL_FACTOR };
        let stall_after = self.options.stall_timeout * stall_factor;
        match monoio::time::timeout(stall_after, generation.next()).await {
            Ok(chunk) => return Ok((generation, chunk?)),
            Err(_) if self.observer.try_reserve_hedge() => {}
            Err(_) => {
                let remaining_time = self.options.attempt_timeout.saturating_sub(stall_after);
                return match monoio::time::timeout(remaining_time, generation.next()).await {
                    Ok(chunk) => Ok((generation, chunk?)),
                    Err(_) => Err(timeout_error(self.options.attempt_timeout)),
                };
            }
        }
        self.race_with_hedge(generation, text).await
    }

    /// Starts a second request alongside a stalled one and keeps the one that delivers its next
    /// chunk first.
    ///
    /// The next chunk decides rather than the end of the generation, because keeping the generation
    /// that finishes first would favour short samples.
    async fn race_with_hedge(
        &self,
        original: Generation,
        text: &SampleText,
    ) -> Result<(Generation, Option<GeneratedChunk>), GenerationError> {
        let stalled_target = original.target().cloned();
        let original = Box::pin(read_next_chunk(original));
        let hedge = Box::pin(async {
            let generation = self.start_generation(text, stalled_target).await?;
            read_next_chunk(generation).await
        });
        let winner = async {
            match select(original, hedge).await {
                Either::Left((Ok(won), _)) | Either::Right((Ok(won), _)) => Ok(won),
                Either::Left((Err(_), hedge)) => hedge.await,
                Either::Right((Err(_), original)) => original.await,
            }
        };
        let attempt_timeout = self.options.attempt_timeout;
        monoio::time::timeout(attempt_timeout, winner)
            .await
            .unwrap_or_else(|_| Err(timeout_error(attempt_timeout)))
    }

    /// Converts an error into an outcome with the retry delay and the text that can be resumed.
    fn outcome_from_error(&self, text: SampleText, error: GenerationError) -> GenerationOutcome {
        match error {
            GenerationError::Refused(retry_after, _) => {
                GenerationOutcome::Refused(text, retry_after)
            }
            GenerationError::Failed(error_message) => {
                GenerationOutcome::Failed(text, self.options.retry_delay, error_message)
            }
            error @ GenerationError::Rejected(..) => {
                // The request may have been rejected because of the text to resume from, so it is
                // dropped.
                GenerationOutcome::Failed(
                    SampleText::default(),
                    REJECTED_RETRY_DELAY,
                    error.to_string(),
                )
            }
        }
    }
}

/// Reads the next chunk and returns it together with its generation.
async fn read_next_chunk(
    mut generation: Generation,
) -> Result<(Generation, Option<GeneratedChunk>), GenerationError> {
    let chunk = generation.next().await?;
    Ok((generation, chunk))
}

fn timeout_error(attempt_timeout: Duration) -> GenerationError {
    GenerationError::Failed(format!("not finished within {} ms", attempt_timeout.as_millis()))
}
