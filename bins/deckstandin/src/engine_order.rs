//! Orders to an engine: stage or switch a weight version, load a model or adapter, set the role.

use std::{rc::Rc, time::Duration};

use deck_net::{
    Body,
    http::{Method, Request, Response},
    server::json_response,
};
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::{
    common::{Call, error_response, unix_ms},
    engine::Engine,
};

/// State of an engine, returned by `GET /v1/state`.
#[derive(Debug, Clone)]
#[derive(Serialize)]
pub struct EngineState {
    /// Identifier of this run of the process; a restarted engine has a higher one.
    pub incarnation: u64,
    /// Name of the loaded model.
    pub model: String,
    /// Weight version that generates tokens.
    pub weight_version: u64,
    /// Weight version that is loaded in addition and can be switched to.
    pub staged_version: Option<u64>,
    /// Name of the loaded adapter, if any.
    pub adapter: Option<String>,
    /// Whether the engine accepts completions: it does in the role `serving`. In any other role,
    /// such as `drained`, it refuses them as not run.
    pub role: String,
    /// Progress of the last order to stage, load or switch to other weights.
    pub swap_state: SwapState,
    /// Highest fencing number of an accepted order; 0 with `--ignore-fencing`.
    pub fencing: u64,
}

/// Progress of the last order to stage, load or switch to other weights.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub enum SwapState {
    /// No order is being executed; the last one, if any, succeeded.
    Idle,
    /// A version, model or adapter is being loaded.
    Staging,
    /// The engine is switching to the staged version.
    Switching,
    /// The last order failed partway; the staged version is lost, and a new order is accepted.
    Failed,
}

/// Body of `POST /v1/order`.
#[derive(Debug, Clone)]
#[derive(Deserialize)]
pub struct Order {
    /// Fencing number of the sender's lease; an order with a lower one than before is refused
    /// unless the engine runs with `--ignore-fencing`.
    fencing: u64,
    action: Action,
    /// Weight version to load or switch to; required by `stage`, `switch` and `load_model`.
    #[serde(default)]
    version: Option<u64>,
    /// Model to load; the current model if absent.
    #[serde(default)]
    model: Option<String>,
    /// Adapter to load; only for `load_adapter`.
    #[serde(default)]
    adapter: Option<String>,
    /// New role; only for `set_role`.
    #[serde(default)]
    role: Option<String>,
    /// Address to download from, instead of the weight store given by `--weights`.
    #[serde(default)]
    source: Option<std::net::SocketAddr>,
}

/// Action of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Load a weight version in addition to the current one.
    Stage,
    /// Switch to the staged version.
    Switch,
    /// Replace the model and the version.
    LoadModel,
    /// Load an adapter.
    LoadAdapter,
    /// Set the role, which decides whether completions are accepted.
    SetRole,
}

/// Record of a received order, in `GET /admin/records` and the journal.
#[derive(Debug, Clone)]
#[derive(Serialize)]
pub struct OrderRecord {
    at_unix_ms: u64,
    fencing: u64,
    action: Action,
    version: Option<u64>,
    accepted: bool,
    /// Error code of the refusal; empty if the order was accepted.
    code: &'static str,
}

impl EngineState {
    /// Returns the initial state: `serving`, with nothing staged.
    pub fn new(model: &str, weight_version: u64) -> Self {
        Self {
            incarnation: deck_core::id::new_incarnation(),
            model: model.to_owned(),
            weight_version,
            staged_version: None,
            adapter: None,
            role: "serving".to_owned(),
            swap_state: SwapState::Idle,
            fencing: 0,
        }
    }

    /// Returns the error code if `order` must be refused.
    fn refusal(&self, order: &Order, ignore_fencing: bool) -> Option<&'static str> {
        let busy = !matches!(self.swap_state, SwapState::Idle | SwapState::Failed);
        let needs_version =
            matches!(order.action, Action::Stage | Action::Switch | Action::LoadModel);
        if !ignore_fencing && order.fencing < self.fencing {
            Some("stale_fencing")
        } else if busy {
            Some("busy")
        } else if needs_version && order.version.is_none() {
            Some("version_missing")
        } else if order.action == Action::Switch && order.version != self.staged_version {
            Some("not_staged")
        } else {
            None
        }
    }

    /// Updates the state for an accepted order.
    fn begin(&mut self, order: &Order, ignore_fencing: bool) {
        if !ignore_fencing {
            self.fencing = self.fencing.max(order.fencing);
        }
        self.swap_state = match order.action {
            Action::Stage | Action::LoadModel | Action::LoadAdapter => SwapState::Staging,
            Action::Switch => SwapState::Switching,
            Action::SetRole => SwapState::Idle,
        };
        if order.action == Action::SetRole {
            self.role = order.role.clone().unwrap_or_default();
        }
    }

    /// Updates the state after an order was executed.
    fn finish(&mut self, order: &Order) {
        self.swap_state = SwapState::Idle;
        match order.action {
            Action::Stage => self.staged_version = order.version,
            Action::Switch => {
                self.weight_version = order.version.unwrap_or(self.weight_version);
                self.staged_version = None;
            }
            Action::LoadModel => {
                self.weight_version = order.version.unwrap_or(self.weight_version);
                if let Some(model) = &order.model {
                    self.model.clone_from(model);
                }
            }
            Action::LoadAdapter => self.adapter.clone_from(&order.adapter),
            Action::SetRole => {}
        }
    }

    /// Updates the state after an order failed. The staged version is lost.
    fn fail(&mut self) {
        self.swap_state = SwapState::Failed;
        self.staged_version = None;
    }
}

/// Accepts or refuses an order. An accepted order is executed in the background.
pub fn handle_order(engine: &Rc<Engine>, call: &Call) -> Response<Body> {
    let order: Order = match call.json() {
        Ok(order) => order,
        Err(response) => return response,
    };
    let refusal = engine.state.borrow().refusal(&order, engine.options.ignore_fencing);
    let record = OrderRecord {
        at_unix_ms: unix_ms(),
        fencing: order.fencing,
        action: order.action,
        version: order.version,
        accepted: refusal.is_none(),
        code: refusal.unwrap_or_default(),
    };
    engine.journal.write(&json!({ "order": record }));
    engine.records.borrow_mut().orders.push(record);
    if let Some(code) = refusal {
        let status = if code == "version_missing" { 400 } else { 409 };
        return error_response(status, code, "order refused");
    }
    engine.state.borrow_mut().begin(&order, engine.options.ignore_fencing);
    if order.action != Action::SetRole {
        monoio::spawn(execute(engine.clone(), order));
    }
    json_response(202, &json!({ "accepted": true }))
}

/// Executes an accepted order. An order that the fault `fail_swaps` affects fails halfway.
async fn execute(engine: Rc<Engine>, order: Order) {
    let duration_ms = match order.action {
        Action::Switch => engine.options.switch_ms,
        _ => engine.options.stage_ms,
    };
    let fails = engine.faults.update(|faults| {
        let fails = faults.fail_swaps > 0;
        faults.fail_swaps = faults.fail_swaps.saturating_sub(1);
        fails
    });
    let duration = Duration::from_millis(duration_ms);
    monoio::time::sleep(if fails { duration / 2 } else { duration }).await;
    if fails || !download(&engine, &order).await {
        engine.state.borrow_mut().fail();
    } else {
        engine.state.borrow_mut().finish(&order);
    }
}

/// Downloads the version of an order that loads one. Returns `false` if the download failed.
async fn download(engine: &Engine, order: &Order) -> bool {
    let Some(source) = order.source.or(engine.options.weights) else { return true };
    let (Action::Stage | Action::LoadModel, Some(version)) = (order.action, order.version) else {
        return true;
    };
    let model = order.model.clone().unwrap_or_else(|| engine.state.borrow().model.clone());
    let request = Request::builder()
        .method(Method::GET)
        .uri(format!("/v1/weights/{model}/{version}"))
        .body(Body::empty());
    let Ok(request) = request else { return false };
    let mut response = match engine.client.send(source, request).await {
        Ok(response) if response.status.is_success() => response,
        Ok(response) => {
            log::warn!(target: "engine", "download refused status={}", response.status);
            return false;
        }
        Err(error) => {
            log::warn!(target: "engine", "download failed error={error}");
            return false;
        }
    };
    loop {
        match response.chunk().await {
            Ok(Some(_)) => {}
            Ok(None) => return true,
            Err(error) => {
                log::warn!(target: "engine", "download interrupted error={error}");
                return false;
            }
        }
    }
}
