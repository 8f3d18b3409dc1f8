//! Generation of one sample: token by token, with a second attempt if the first one stalls.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use deck_core::id::TargetId;
use deck_net::Client;
use futures_util::future::{Either, select};

use crate::{
    generate::{Chunk, GenerateError, GenerateRequest, Generation},
    options::AttemptOptions,
    sample::SampleText,
};

/// Wait before a rejected request is repeated; the cause is in the configuration.
const REJECTED_WAIT: Duration = Duration::from_secs(5);
/// A stream that has not begun may wait in the engine's queue, so it counts as stalled later.
const FIRST_TOKEN_FACTOR: u32 = 4;

/// How the generation of a sample ended.
#[derive(Debug)]
pub enum Outcome {
    /// Complete.
    Finished(SampleText),
    /// What was generated cannot be handed over any more.
    Stale(SampleText),
    /// The pool has no room; the text so far is continued after the wait.
    Refused(SampleText, Duration),
    /// Failed; the text so far is continued after the wait.
    Failed(SampleText, Duration, String),
}

/// What a running sample asks its job.
pub trait Observer {
    /// Takes note of a chunk. Returns whether the sample is still of use.
    fn chunk(&self, chunk: &Chunk, text: &SampleText) -> bool;

    /// Takes note of the version of the first tokens that came from a target.
    fn first_chunk(&self, target: &TargetId, chunk: &Chunk);

    /// Returns whether a second attempt may start, and takes it from the budget.
    fn take_second_attempt(&self) -> bool;
}

/// Calls of one sample.
pub struct Attempt<'a, O> {
    /// HTTP client.
    pub client: &'a Client,
    /// Address of the local entry.
    pub entry: SocketAddr,
    /// Settings.
    pub options: &'a AttemptOptions,
    /// The request.
    pub request: GenerateRequest,
    /// The job.
    pub observer: &'a O,
}

impl<O: Observer> Attempt<'_, O> {
    /// Generates a sample that continues `text`.
    pub async fn run(&self, mut text: SampleText) -> Outcome {
        let started = Instant::now();
        let limit = self.options.limit;
        let opened = monoio::time::timeout(limit, self.open(&text, None)).await;
        let mut generation = match opened {
            Ok(Ok(generation)) => generation,
            Ok(Err(error)) => return self.ended(text, error),
            Err(_) => return self.ended(text, timed_out(limit)),
        };
        let mut began = false;
        loop {
            if started.elapsed() > limit {
                return self.ended(text, timed_out(limit));
            }
            let chunk = match self.next_chunk(generation, &text, began).await {
                Ok((_, None)) => return Outcome::Finished(text),
                Ok((next, Some(chunk))) => {
                    generation = next;
                    chunk
                }
                Err(error) => return self.ended(text, error),
            };
            if let Some(target) = generation.target().filter(|_| !began) {
                self.observer.first_chunk(target, &chunk);
            }
            began = true;
            text.push(&chunk.text, chunk.token_count, chunk.weight_version);
            if !self.observer.chunk(&chunk, &text) {
                return Outcome::Stale(text);
            }
            if text.text.len() > self.options.max_sample_bytes {
                // Cut here the sample would be wrong, and repeated it would be as long again.
                let message =
                    format!("sample is larger than {} bytes", self.options.max_sample_bytes);
                return Outcome::Failed(SampleText::default(), REJECTED_WAIT, message);
            }
        }
    }

    async fn open(
        &self,
        text: &SampleText,
        stalled: Option<TargetId>,
    ) -> Result<Generation, GenerateError> {
        let mut request = self.request.clone();
        request.avoid.extend(stalled);
        Generation::start(self.client, self.entry, &request, text).await
    }

    /// Returns the next chunk and the generation that goes on.
    async fn next_chunk(
        &self,
        mut generation: Generation,
        text: &SampleText,
        began: bool,
    ) -> Result<(Generation, Option<Chunk>), GenerateError> {
        let factor = if began { 1 } else { FIRST_TOKEN_FACTOR };
        let stall_after = self.options.stall_after * factor;
        match monoio::time::timeout(stall_after, generation.next()).await {
            Ok(chunk) => return Ok((generation, chunk?)),
            Err(_) if self.observer.take_second_attempt() => {}
            Err(_) => {
                let rest = self.options.limit.saturating_sub(stall_after);
                return match monoio::time::timeout(rest, generation.next()).await {
                    Ok(chunk) => Ok((generation, chunk?)),
                    Err(_) => Err(timed_out(self.options.limit)),
                };
            }
        }
        self.race(generation, text).await
    }

    /// Runs a second attempt beside one that stalls and keeps the one whose next chunk comes first.
    ///
    /// The first chunk decides, not the end: to keep the attempt that ends first would favour short
    /// samples.
    async fn race(
        &self,
        first: Generation,
        text: &SampleText,
    ) -> Result<(Generation, Option<Chunk>), GenerateError> {
        let stalled = first.target().cloned();
        let first = Box::pin(advance(first));
        let second = Box::pin(async {
            let generation = self.open(text, stalled).await?;
            advance(generation).await
        });
        let winner = async {
            match select(first, second).await {
                Either::Left((Ok(won), _)) | Either::Right((Ok(won), _)) => Ok(won),
                Either::Left((Err(_), second)) => second.await,
                Either::Right((Err(_), first)) => first.await,
            }
        };
        let limit = self.options.limit;
        monoio::time::timeout(limit, winner).await.unwrap_or_else(|_| Err(timed_out(limit)))
    }

    fn ended(&self, text: SampleText, error: GenerateError) -> Outcome {
        match error {
            GenerateError::Refused(retry_after, _) => Outcome::Refused(text, retry_after),
            GenerateError::Failed(message) => {
                Outcome::Failed(text, self.options.retry_wait, message)
            }
            error @ GenerateError::Rejected(..) => {
                // The rejected part may be the text to continue.
                Outcome::Failed(SampleText::default(), REJECTED_WAIT, error.to_string())
            }
        }
    }
}

async fn advance(mut generation: Generation) -> Result<(Generation, Option<Chunk>), GenerateError> {
    let chunk = generation.next().await?;
    Ok((generation, chunk))
}

fn timed_out(limit: Duration) -> GenerateError {
    GenerateError::Failed(format!("not finished within {} ms", limit.as_millis()))
}
