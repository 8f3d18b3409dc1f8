//! Orders to an engine: staging, switching, loading and roles.

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

/// State that `GET /v1/state` returns.
#[derive(Debug, Clone)]
#[derive(Serialize)]
pub struct EngineState {
    /// Number of this run of the process.
    pub incarnation: u64,
    /// Model.
    pub model: String,
    /// Version that makes tokens.
    pub weight_version: u64,
    /// Version that is loaded beside it.
    pub staged_version: Option<u64>,
    /// Adapter.
    pub adapter: Option<String>,
    /// `serving`, or `drained`: refuses new completions as not run.
    pub role: String,
    /// State of the last order.
    pub swap_state: SwapState,
    /// Highest fencing number of an accepted order; 0 if they are not checked.
    pub fencing: u64,
}

/// State of the last order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub enum SwapState {
    /// No order runs.
    Idle,
    /// A version, model or adapter is being loaded.
    Staging,
    /// The staged version is taking over.
    Switching,
    /// The last order failed partway.
    Failed,
}

/// Body of `POST /v1/order`.
#[derive(Debug, Clone)]
#[derive(Deserialize)]
pub struct Order {
    fencing: u64,
    action: Action,
    #[serde(default)]
    version: Option<u64>,
    #[serde(default)]
    model: Option<String>,
    #[serde(default)]
    adapter: Option<String>,
    #[serde(default)]
    role: Option<String>,
    /// Address to download from; overrides the weight store of the options.
    #[serde(default)]
    source: Option<std::net::SocketAddr>,
}

/// What an order asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Load a version beside the current one.
    Stage,
    /// Let the staged version take over.
    Switch,
    /// Replace model and version.
    LoadModel,
    /// Load an adapter.
    LoadAdapter,
    /// Change the role.
    SetRole,
}

/// Record of an order.
#[derive(Debug, Clone)]
#[derive(Serialize)]
pub struct OrderRecord {
    at_unix_ms: u64,
    fencing: u64,
    action: Action,
    version: Option<u64>,
    accepted: bool,
    /// Code of the refusal; empty if accepted.
    code: &'static str,
}

impl EngineState {
    /// Returns the state at the start.
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

    /// Returns the code of the refusal of `order`, if it is refused.
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

    /// A swap that fails partway loses the staged version.
    fn fail(&mut self) {
        self.swap_state = SwapState::Failed;
        self.staged_version = None;
    }
}

/// Accepts or refuses an order; an accepted one runs in the background.
pub fn order(engine: &Rc<Engine>, call: &Call) -> Response<Body> {
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

/// Downloads the version of the order; returns whether it arrived whole.
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
                log::warn!(target: "engine", "download broke off error={error}");
                return false;
            }
        }
    }
}
