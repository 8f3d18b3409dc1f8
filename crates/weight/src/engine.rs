//! Client for the control interface of an engine.

use std::{net::SocketAddr, time::Duration};

use deck_core::id::{FencingNumber, Incarnation, WeightVersion};
use deck_net::{Client, NetError, http::Method};
use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::planner::EngineOrder;

/// Whether an engine accepts calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineRole {
    /// Accepts calls.
    Serving,
    /// Finishes running calls and accepts no new ones.
    Drained,
}

/// Progress of loading or switching weights.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SwapState {
    /// No load or switch is in progress.
    Idle,
    /// A new version is being loaded alongside the running one.
    Staging,
    /// The engine is switching to the staged version.
    Switching,
    /// A model or adapter is being loaded.
    Loading,
    /// The last load or switch failed.
    Failed,
}

/// State that an engine reports about itself.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct EngineState {
    /// Incarnation number of the engine process.
    pub incarnation: Incarnation,
    /// Model that the engine serves.
    pub model: String,
    /// Weight version with which the engine generates.
    pub weight_version: WeightVersion,
    /// Weight version loaded alongside the running one, if any.
    #[serde(default)]
    pub staged_version: Option<WeightVersion>,
    /// Whether the engine accepts calls.
    pub role: EngineRole,
    /// Progress of the last order.
    pub swap_state: SwapState,
    /// Highest fencing number that the engine has seen; 0 if the engine does not check fencing
    /// numbers.
    #[serde(default)]
    pub fencing: FencingNumber,
    /// Number of running and queued calls.
    #[serde(default)]
    pub running: u32,
}

quick_error! {
    /// Error when sending an order or reading an engine's state.
    #[derive(Debug)]
    pub enum EngineError {
        /// The engine has seen a higher fencing number, so another VM has become the owner.
        StaleFencing {
            display("the target refused the fencing number as stale")
        }
        /// The engine refused the request for another reason.
        Refused(status: u16, message: String) {
            display("the target refused the order: status {status}: {message}")
        }
        /// The request failed; the engine may still have received the order.
        Unreachable(error: NetError) {
            display("{error}")
            source(error)
        }
        /// The engine did not respond before the timeout; it may still have received the order.
        Timeout {
            display("no answer in time")
        }
    }
}

/// JSON body of `POST /v1/order`.
#[derive(Serialize)]
struct OrderRequestBody<'a> {
    fencing: FencingNumber,
    action: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    version: Option<WeightVersion>,
    #[serde(skip_serializing_if = "Option::is_none")]
    source: Option<SocketAddr>,
    #[serde(skip_serializing_if = "Option::is_none")]
    role: Option<EngineRole>,
}

impl<'a> OrderRequestBody<'a> {
    fn new(fencing: FencingNumber, order: &EngineOrder) -> Self {
        let empty_body = Self { fencing, action: "", version: None, source: None, role: None };
        match order {
            EngineOrder::Stage { version, source } => Self {
                action: "stage",
                version: Some(*version),
                source: Some(*source),
                ..empty_body
            },
            EngineOrder::Switch { version } => {
                Self { action: "switch", version: Some(*version), ..empty_body }
            }
            EngineOrder::Drain => {
                Self { action: "set_role", role: Some(EngineRole::Drained), ..empty_body }
            }
            EngineOrder::Serve => {
                Self { action: "set_role", role: Some(EngineRole::Serving), ..empty_body }
            }
        }
    }
}

/// Requests the state of an engine.
///
/// # Errors
///
/// Returns an error if the engine does not respond successfully within `timeout`.
pub async fn fetch_state(
    client: &Client,
    address: SocketAddr,
    timeout: Duration,
) -> Result<EngineState, EngineError> {
    let call = client.json::<(), EngineState>(Method::GET, address, "/v1/state", None);
    match monoio::time::timeout(timeout, call).await {
        Ok(Ok((status, state))) if status.is_success() => Ok(state),
        Ok(Ok((status, _))) => Err(EngineError::Refused(status.as_u16(), String::new())),
        Ok(Err(error)) => Err(EngineError::Unreachable(error)),
        Err(_) => Err(EngineError::Timeout),
    }
}

/// Sends an order to an engine.
///
/// # Errors
///
/// After [`EngineError::StaleFencing`] the caller no longer owns the pool. After
/// [`EngineError::Timeout`] or [`EngineError::Unreachable`] the engine's next report shows whether
/// the order took effect.
pub async fn send_order(
    client: &Client,
    address: SocketAddr,
    fencing: FencingNumber,
    order: &EngineOrder,
    timeout: Duration,
) -> Result<(), EngineError> {
    let request = OrderRequestBody::new(fencing, order);
    let call = client.json::<_, Value>(Method::POST, address, "/v1/order", Some(&request));
    match monoio::time::timeout(timeout, call).await {
        Ok(Ok((status, _))) if status.is_success() => Ok(()),
        Ok(Ok((status, body))) => match body["error"]["code"].as_str() {
            Some("stale_fencing") => Err(EngineError::StaleFencing),
            _ => Err(EngineError::Refused(status.as_u16(), body.to_string())),
        },
        Ok(Err(error)) => Err(EngineError::Unreachable(error)),
        Err(_) => Err(EngineError::Timeout),
    }
}
