//! Servers of a resumable streaming route. Each event names the software version that made it.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use deck_core::CancellationToken;
use deck_net::{
    Body, bind,
    body::BodySender,
    http::{Response, StatusCode},
    server::json_response,
};
use serde_json::{Value, json};

use super::{STARTED_UNIX_MS, State, add_correlation_headers, not_executed};
use crate::common::{Call, StandinError, abort_after_flush, serve_on};

/// Number of events in a stream.
const EVENT_COUNT: u64 = 30;

struct StreamServer {
    state: Rc<State>,
    id: String,
    software_version: String,
}

/// Returns the route to the servers. It allows one attempt, so that the caller has to resume a
/// broken stream.
pub(super) fn route() -> Value {
    json!({"Name": "stream", "Host": "h.example", "PathPrefix": "/stream/",
           "RouteType": "streaming", "Resumable": true, "TimeoutMs": 5000, "TargetLatencyMs": 500,
           "Priority": 2, "Service": "streams", "Attempts": 1})
}

/// Returns the service of the servers.
pub(super) fn service() -> Value {
    json!({"Name": "streams", "HealthPath": "/healthz", "MaxConns": 100})
}

/// Starts one server for each of the comma-separated software versions.
pub(super) fn start(
    state: &Rc<State>,
    versions: &str,
    stop: &CancellationToken,
) -> Result<(), StandinError> {
    let versions = versions.split(',').filter(|version| !version.is_empty());
    for (index, version) in versions.enumerate() {
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        let listener = bind(address).map_err(|error| StandinError::Bind(address, error))?;
        let id = format!("stream-{index}");
        let entry = json!({"Service": "streams", "Address": listener.local_addr()?.to_string(),
            "Zone": "a", "Version": version, "Slots": 8, "State": "ready", "ColdRemainingMs": 0,
            "Seq": 1, "born": STARTED_UNIX_MS});
        state.put("servers", &id, entry);
        let (state, software_version) = (state.clone(), version.to_owned());
        let server = Rc::new(StreamServer { state, id, software_version });
        monoio::spawn(serve_on(listener, server, serve_stream, stop.clone()));
    }
    Ok(())
}

async fn serve_stream(server: Rc<StreamServer>, call: Call) -> Response<Body> {
    if call.header("target-instance").is_some_and(|target| target != server.id) {
        let mut response = json_response(421, &Value::Null);
        *response.status_mut() = StatusCode::MISDIRECTED_REQUEST;
        return response;
    }
    let Some(id) = call.header("request-id") else { return json_response(400, &Value::Null) };
    if server.state.faults.get().refuse_work {
        return not_executed();
    }
    let after: u64 = call.header("last-event-id").and_then(|last| last.parse().ok()).unwrap_or(0);
    server.state.record(json!({"stream": id, "server": server.id, "after": after,
        "resumes": call.header("resumes"), "software_version": server.software_version}));
    let (sender, body) = Body::stream();
    let mut response = Response::new(body);
    add_correlation_headers(&mut response, id);
    monoio::spawn(async move { server.send_events(sender, after).await });
    response
}

impl StreamServer {
    /// Sends the events after number `after`.
    async fn send_events(&self, sender: BodySender, after: u64) {
        for number in after + 1..=EVENT_COUNT {
            monoio::time::sleep(Duration::from_millis(self.state.options.event_ms)).await;
            let event = format!("id: {number}\ndata: {}\n\n", self.software_version);
            if sender.send(event).await.is_err() {
                return;
            }
            if self.state.next_stream_is_cut() {
                return abort_after_flush(sender).await;
            }
        }
        sender.finish().await;
    }
}
