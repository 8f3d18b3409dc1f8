//! Client of an engine's control interface.

use std::{net::SocketAddr, time::Duration};

use deck_core::id::{FencingNumber, Incarnation, WeightVersion};
use deck_net::{Client, NetError, http::Method};
use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::plan::Order;

/// Whether an engine takes work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Takes work.
    Serving,
    /// Finishes its work and takes no new work.
    Drained,
}

/// Progress of loading or switching weights.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SwapState {
    /// Nothing is going on.
    Idle,
    /// A version is being loaded beside the running one.
    Staging,
    /// The engine is switching versions.
    Switching,
    /// A model or adapter is being loaded.
    Loading,
    /// The last load or switch failed.
    Failed,
}

/// What an engine reports about itself.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct EngineState {
    /// Incarnation of the engine process.
    pub incarnation: Incarnation,
    /// Model that it serves.
    pub model: String,
    /// Version with which it generates.
    pub weight_version: WeightVersion,
    /// Version that is loaded beside it.
    #[serde(default)]
    pub staged_version: Option<WeightVersion>,
    /// Whether it takes work.
    pub role: Role,
    /// Progress of the last order.
    pub swap_state: SwapState,
    /// Highest fencing number that it has seen; 0 if it does not check them.
    #[serde(default)]
    pub fencing: FencingNumber,
    /// Calls that run or wait.
    #[serde(default)]
    pub running: u32,
}

quick_error! {
    /// Error of an order or a report.
    #[derive(Debug)]
    pub enum EngineError {
        /// The engine has seen a higher fencing number: this owner has been replaced.
        StaleFencing {
            display("the target refused the fencing number as stale")
        }
        /// The engine refused the order for another reason.
        Refused(status: u16, message: String) {
            display("the target refused the order: status {status}: {message}")
        }
        /// The engine does not answer; the order may have been received.
        Unreachable(error: NetError) {
            display("{error}")
            source(error)
        }
        /// No answer in time; the order may have been received.
        Timeout {
            display("no answer in time")
        }
    }
}

#[derive(Serialize)]
struct OrderRequest<'a> {
    fencing: FencingNumber,
    action: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    version: Option<WeightVersion>,
    #[serde(skip_serializing_if = "Option::is_none")]
    source: Option<SocketAddr>,
    #[serde(skip_serializing_if = "Option::is_none")]
    role: Option<Role>,
}

impl<'a> OrderRequest<'a> {
    fn new(fencing: FencingNumber, order: &Order) -> Self {
        let plain = Self { fencing, action: "", version: None, source: None, role: None };
        match order {
            Order::Stage { version, source } => {
                Self { action: "stage", version: Some(*version), source: Some(*source), ..plain }
            }
            Order::Switch { version } => {
                Self { action: "switch", version: Some(*version), ..plain }
            }
            Order::Drain => Self { action: "set_role", role: Some(Role::Drained), ..plain },
            Order::Serve => Self { action: "set_role", role: Some(Role::Serving), ..plain },
        }
    }
}

/// Reads the state of an engine.
///
/// # Errors
///
/// Returns an error if the engine does not answer within `timeout`.
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
/// [`EngineError::Timeout`] or [`EngineError::Unreachable`] the engine's next report tells whether
/// the order took effect.
pub async fn send_order(
    client: &Client,
    address: SocketAddr,
    fencing: FencingNumber,
    order: &Order,
    timeout: Duration,
) -> Result<(), EngineError> {
    let request = OrderRequest::new(fencing, order);
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
