//! Client for the weight store.

use std::{net::SocketAddr, time::Duration};

use deck_core::id::WeightVersion;
use deck_net::{Client, NetError, http::Method};
use serde::Deserialize;

/// JSON response to `GET /v1/weights/{model}/latest`.
#[derive(Deserialize)]
struct LatestVersionBody {
    version: WeightVersion,
}

/// Requests the newest version of a model; `None` if the store has no version of it.
///
/// # Errors
///
/// Returns an error if the weight store does not respond in time, responds with an error status or
/// refuses the request because of its rate limit.
pub async fn fetch_latest_version(
    client: &Client,
    address: SocketAddr,
    model: &str,
    timeout: Duration,
) -> Result<Option<WeightVersion>, NetError> {
    let request_path = format!("/v1/weights/{model}/latest");
    let request = deck_net::http::Request::builder()
        .method(Method::GET)
        .uri(request_path)
        .body(deck_net::Body::empty())
        .map_err(|error| NetError::Decode(error.to_string()))?;
    let call = async {
        let response = client.send(address, request).await?;
        if response.status == deck_net::http::StatusCode::NOT_FOUND {
            return Ok(None);
        }
        if !response.status.is_success() {
            return Err(NetError::Decode(format!("weight store status {}", response.status)));
        }
        let body = response.collect(64 * 1024).await?;
        let latest: LatestVersionBody =
            serde_json::from_slice(&body).map_err(|error| NetError::Decode(error.to_string()))?;
        Ok(Some(latest.version))
    };
    match monoio::time::timeout(timeout, call).await {
        Ok(result) => result,
        Err(_) => Err(NetError::Exchange(address, "no answer in time".to_owned())),
    }
}
