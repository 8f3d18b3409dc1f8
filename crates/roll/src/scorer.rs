//! Client for the services that score samples.

use std::{net::SocketAddr, time::Duration};

use deck_net::{Client, http::Method};
use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::scheduler::ScoringTask;

quick_error! {
    /// Error of a scoring request.
    #[derive(Debug)]
    pub enum ScoreError {
        /// The request failed.
        Network(error: deck_net::NetError) {
            display("scorer: {error}")
            source(error)
            from()
        }
        /// The scorer did not respond in time.
        Timeout(timeout: Duration) {
            display("scorer: no answer within {} ms", timeout.as_millis())
        }
        /// The response is invalid or has an error status.
        InvalidResponse(message: String) {
            display("scorer: {message}")
        }
    }
}

#[derive(Serialize)]
struct ScoreRequest<'a> {
    samples: Vec<SampleToScore<'a>>,
}

#[derive(Serialize)]
struct SampleToScore<'a> {
    prompt: &'a str,
    text: &'a str,
}

#[derive(Deserialize)]
struct ScoreResponse {
    scores: Vec<f64>,
}

/// Requests scores for all samples of a group and returns them ordered by sample index.
///
/// # Errors
///
/// Returns an error if the scorer does not respond within `timeout` with exactly one score per
/// sample.
pub async fn score_group(
    client: &Client,
    scorer: SocketAddr,
    task: &ScoringTask,
    timeout: Duration,
) -> Result<Vec<f64>, ScoreError> {
    let samples = task.texts.iter().map(|text| SampleToScore { prompt: &task.prompt, text });
    let request = ScoreRequest { samples: samples.collect() };
    let call = client.json::<_, Value>(Method::POST, scorer, "/v1/score", Some(&request));
    let Ok(response) = monoio::time::timeout(timeout, call).await else {
        return Err(ScoreError::Timeout(timeout));
    };
    let (status, body) = response?;
    if !status.is_success() {
        return Err(ScoreError::InvalidResponse(format!("status {status}")));
    }
    let scored: ScoreResponse = serde_json::from_value(body)
        .map_err(|error| ScoreError::InvalidResponse(error.to_string()))?;
    if scored.scores.len() != task.texts.len() {
        let (found, expected) = (scored.scores.len(), task.texts.len());
        return Err(ScoreError::InvalidResponse(format!("{found} scores for {expected} samples")));
    }
    Ok(scored.scores)
}
