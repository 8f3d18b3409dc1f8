//! Stand-in for the platform's VM list, which returns changes only after a lag.

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

/// Injected faults of the VM list.
#[derive(Debug, Clone, Default)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct VmListFaults {
    /// Delay from setting a list until it is returned.
    lag_ms: u64,
    /// Reads are answered with 503.
    outage: bool,
}

/// A list and the time at which it was set.
struct VmListRevision {
    set_at: Instant,
    vms: Value,
}

struct State {
    faults: FaultCell<VmListFaults>,
    /// All lists in the order in which they were set.
    lists: RefCell<Vec<VmListRevision>>,
    read_count: RefCell<u64>,
}

/// Body of `PUT /admin/vms`.
#[derive(Deserialize)]
struct PutListRequest {
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
        read_count: RefCell::default(),
    });
    state.faults.update(|faults| faults.lag_ms = options.lag_ms);
    serve(options.listen, state, handle).await
}

async fn handle(state: Rc<State>, call: Call) -> Response<Body> {
    match (call.method.as_str(), call.path_segments().as_slice()) {
        ("POST", ["admin", "faults"]) => state.faults.patch(&call),
        ("GET", ["admin", "records"]) => json_response(
            200,
            &json!({
                "reads": *state.read_count.borrow(),
                "lists_set": state.lists.borrow().len(),
            }),
        ),
        ("PUT", ["admin", "vms"]) => match call.json::<PutListRequest>() {
            Ok(body) => {
                let revision = VmListRevision { set_at: Instant::now(), vms: body.vms };
                state.lists.borrow_mut().push(revision);
                json_response(200, &json!({}))
            }
            Err(response) => response,
        },
        ("GET", ["v1", "vms"]) => state.current_list(Instant::now()),
        _ => not_found(&call),
    }
}

impl State {
    fn current_list(&self, now: Instant) -> Response<Body> {
        *self.read_count.borrow_mut() += 1;
        let faults = self.faults.get();
        if faults.outage {
            return error_response(503, "unavailable", "outage");
        }
        let lag = Duration::from_millis(faults.lag_ms);
        let lists = self.lists.borrow();
        let newest_visible = lists.iter().rev().find(|list| now.duration_since(list.set_at) >= lag);
        // The first list is returned without a lag, so that the lag never makes the list empty
        // when the fleet starts.
        let vms =
            newest_visible.or(lists.first()).map_or_else(|| json!([]), |list| list.vms.clone());
        json_response(200, &json!({ "vms": vms }))
    }
}
