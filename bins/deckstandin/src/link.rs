//! Link between two processes: a TCP forwarder that can delay data, cut connections and reopen.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use bpaf::Bpaf;
use deck_net::{Body, http::Response, server::json_response};
use serde::{Deserialize, Serialize};

use crate::{
    common::{Call, FaultCell, StandinError, not_found, print_listen_address, serve_on},
    forward::{Forwarder, LinkMode},
};

/// Options of a link.
#[derive(Debug, Clone)]
#[derive(Bpaf)]
pub struct LinkOptions {
    /// Address to listen on; port 0 takes a free port.
    #[bpaf(argument("IP:PORT"))]
    pub listen: SocketAddr,
    /// Address of `/admin`; port 0 takes a free port.
    #[bpaf(argument("IP:PORT"), fallback(SocketAddr::from(([127, 0, 0, 1], 0))))]
    pub admin: SocketAddr,
    /// Address to forward to.
    #[bpaf(argument("IP:PORT"))]
    pub to: SocketAddr,
    /// One-way delay in each direction.
    #[bpaf(argument("MS"), fallback(0))]
    pub delay_ms: u64,
}

/// Injected faults of a link.
#[derive(Debug, Clone, Default)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct LinkFaults {
    /// Whether the link is open, cut, or accepts data without delivering it.
    mode: LinkMode,
    /// One-way delay in each direction, in milliseconds.
    delay_ms: u64,
}

struct State {
    faults: FaultCell<LinkFaults>,
    forwarder: Rc<Forwarder>,
}

/// Runs the link until a stop signal.
///
/// # Errors
///
/// Returns an error if an address cannot be bound.
pub async fn run(options: LinkOptions) -> Result<(), StandinError> {
    let stop = deck_net::runtime::stop_token()?;
    let bind =
        |address| deck_net::bind(address).map_err(|error| StandinError::Bind(address, error));
    let (listener, admin_listener) = (bind(options.listen)?, bind(options.admin)?);
    print_listen_address("http", listener.local_addr()?);
    print_listen_address("admin", admin_listener.local_addr()?);
    let delay = Duration::from_millis(options.delay_ms);
    let forwarder = Forwarder::new(options.to, delay, None);
    let state = Rc::new(State { faults: FaultCell::default(), forwarder: forwarder.clone() });
    state.faults.update(|faults| faults.delay_ms = options.delay_ms);
    monoio::spawn(forwarder.run(listener, stop.clone()));
    serve_on(admin_listener, state, handle, stop).await;
    Ok(())
}

async fn handle(state: Rc<State>, call: Call) -> Response<Body> {
    match (call.method.as_str(), call.path_segments().as_slice()) {
        ("POST", ["admin", "faults"]) => {
            let response = state.faults.patch(&call);
            let faults = state.faults.get();
            state.forwarder.configure(faults.mode, Duration::from_millis(faults.delay_ms));
            response
        }
        ("GET", ["admin", "records"]) => json_response(200, &state.forwarder.counts()),
        _ => not_found(&call),
    }
}
