//! Stand-in for the platform's VM list, which lags.

use std::{
    cell::RefCell,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use bpaf::Bpaf;
use deck_net::{Body, http::Response, server::json_response};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::common::{Call, FaultCell, StandinError, error_response, not_found, serve};

/// Options of the VM list.
#[derive(Debug, Clone)]
#[derive(Bpaf)]
pub struct VmListOptions {
    /// Address to listen on; port 0 takes a free port.
    #[bpaf(argument("IP:PORT"))]
    pub listen: SocketAddr,
    /// Time after which a list that was set is served.
    #[bpaf(argument("MS"), fallback(0))]
    pub lag_ms: u64,
}

/// Faults of the VM list.
#[derive(Debug, Clone, Default)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct VmListFaults {
    lag_ms: u64,
    outage: bool,
}

struct SetList {
    at: Instant,
    vms: Value,
}

struct State {
    faults: FaultCell<VmListFaults>,
    /// Lists in the order in which they were set.
    lists: RefCell<Vec<SetList>>,
    reads: RefCell<u64>,
}

#[derive(Deserialize)]
struct PutList {
    vms: Value,
}

/// Runs the stand-in until a stop signal.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub async fn run(options: VmListOptions) -> Result<(), StandinError> {
    let state = Rc::new(State {
        faults: FaultCell::default(),
        lists: RefCell::default(),
        reads: RefCell::default(),
    });
    state.faults.update(|faults| faults.lag_ms = options.lag_ms);
    serve(options.listen, state, handle).await
}

async fn handle(state: Rc<State>, call: Call) -> Response<Body> {
    match (call.method.as_str(), call.segments().as_slice()) {
        ("POST", ["admin", "faults"]) => state.faults.patch(&call),
        ("GET", ["admin", "records"]) => json_response(
            200,
            &json!({ "reads": *state.reads.borrow(), "lists_set": state.lists.borrow().len() }),
        ),
        ("PUT", ["admin", "vms"]) => match call.json::<PutList>() {
            Ok(list) => {
                let entry = SetList { at: Instant::now(), vms: list.vms };
                state.lists.borrow_mut().push(entry);
                json_response(200, &json!({}))
            }
            Err(response) => response,
        },
        ("GET", ["v1", "vms"]) => state.list(Instant::now()),
        _ => not_found(&call),
    }
}

impl State {
    fn list(&self, now: Instant) -> Response<Body> {
        *self.reads.borrow_mut() += 1;
        let faults = self.faults.get();
        if faults.outage {
            return error_response(503, "unavailable", "outage");
        }
        let lag = Duration::from_millis(faults.lag_ms);
        let lists = self.lists.borrow();
        let served = lists.iter().rev().find(|list| now.duration_since(list.at) >= lag);
        // Before the first lag has passed the first list is served: a VM list is never empty
        // because of its lag when the fleet starts.
        let vms = served.or(lists.first()).map_or_else(|| json!([]), |list| list.vms.clone());
        json_response(200, &json!({ "vms": vms }))
    }
}
