//! Client of services that score samples.

use std::{net::SocketAddr, time::Duration};

use deck_net::{Client, http::Method};
use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::board::ScoreWork;

quick_error! {
    /// Error of a scorer.
    #[derive(Debug)]
    pub enum ScoreError {
        /// The call failed.
        Net(error: deck_net::NetError) {
            display("scorer: {error}")
            source(error)
            from()
        }
        /// No answer in time.
        Timeout(limit: Duration) {
            display("scorer: no answer within {} ms", limit.as_millis())
        }
        /// The answer is not usable.
        Answer(message: String) {
            display("scorer: {message}")
        }
    }
}

#[derive(Serialize)]
struct ScoreRequest<'a> {
    samples: Vec<ScoredSample<'a>>,
}

#[derive(Serialize)]
struct ScoredSample<'a> {
    prompt: &'a str,
    text: &'a str,
}

#[derive(Deserialize)]
struct ScoreAnswer {
    scores: Vec<f64>,
}

/// Returns the scores of a group's samples, in order.
///
/// # Errors
///
/// Returns an error if the scorer does not give one score a sample in time.
pub async fn score(
    client: &Client,
    scorer: SocketAddr,
    work: &ScoreWork,
    limit: Duration,
) -> Result<Vec<f64>, ScoreError> {
    let samples = work.texts.iter().map(|text| ScoredSample { prompt: &work.prompt, text });
    let request = ScoreRequest { samples: samples.collect() };
    let call = client.json::<_, Value>(Method::POST, scorer, "/v1/score", Some(&request));
    let Ok(answered) = monoio::time::timeout(limit, call).await else {
        return Err(ScoreError::Timeout(limit));
    };
    let (status, body) = answered?;
    if !status.is_success() {
        return Err(ScoreError::Answer(format!("status {status}")));
    }
    let answer: ScoreAnswer =
        serde_json::from_value(body).map_err(|error| ScoreError::Answer(error.to_string()))?;
    if answer.scores.len() != work.texts.len() {
        let (found, expected) = (answer.scores.len(), work.texts.len());
        return Err(ScoreError::Answer(format!("{found} scores for {expected} samples")));
    }
    Ok(answer.scores)
}
