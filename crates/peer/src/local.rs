//! Local interface: `deckentry` sends configuration and members to the other daemons of the same
//! VM.
//!
//! It serves `GET /local/config` on a loopback address as a stream of server-sent events: `object`
//! and `deleted` contain an [`ObjectVersion`], `members` contains a list of all [`Member`]s, and
//! `synced` is sent once, after all objects.

use std::{cell::RefCell, collections::HashMap, net::SocketAddr, rc::Rc, time::Duration};

use deck_core::{CancellationToken, id::Revision, object::Kind};
use deck_net::{
    Body, Client, ServerOptions,
    body::{BodyAborted, BodySender},
    http::Request,
    server::text_response,
    sse::{self, EventReader},
};
use deck_plat::Backoff;
use monoio::net::TcpListener;
use serde::Serialize;
use tokio::sync::watch;

use crate::{ConfigView, Member, PeerService, config::ObjectVersion};

/// Initial and maximum backoff between attempts to reconnect to the local `deckentry`.
const RECONNECT_BACKOFF: (Duration, Duration) = (Duration::from_millis(50), Duration::from_secs(1));

/// Maximum number of connections of the other daemons of this VM.
const MAX_CONNECTIONS: usize = 32;

/// Serves the local interface on `listener` until `shutdown` is cancelled.
pub async fn serve_local_state(
    listener: TcpListener,
    peer: PeerService,
    shutdown: CancellationToken,
) {
    let stream_shutdown = shutdown.clone();
    let handler = move |request: Request<_>| {
        let (peer, stream_shutdown) = (peer.clone(), stream_shutdown.clone());
        async move {
            if request.uri().path() != "/local/config" {
                return text_response(404, "not found\n");
            }
            let (sender, response) = sse::event_stream_response();
            monoio::spawn(async move {
                stream_shutdown.run_until_cancelled(stream_events(peer, &sender)).await;
                sender.finish().await;
            });
            response
        }
    };
    let options = ServerOptions {
        max_connections: MAX_CONNECTIONS,
        replaces_least_progress: true,
        ..ServerOptions::default()
    };
    deck_net::serve(listener, options, shutdown, handler).await;
}

/// Sends the current state and then every change, until the client disconnects.
async fn stream_events(peer: PeerService, sender: &BodySender) -> Result<(), BodyAborted> {
    let mut member_changes = peer.member_changes();
    let mut config_changes = peer.config().subscribe();
    let mut sent_revisions = HashMap::new();
    let mut has_sent_synced = false;
    send_event(sender, "members", &peer.members()).await?;
    loop {
        let is_synced = peer.config().is_synced();
        send_objects(sender, &peer.config(), &mut sent_revisions).await?;
        if is_synced && !has_sent_synced {
            send_event(sender, "synced", &serde_json::json!({})).await?;
            has_sent_synced = true;
        }
        let config = peer.config();
        monoio::select! {
            changed = config_changes.changed() => if changed.is_err() { return Ok(()) },
            changed = member_changes.changed() => {
                if changed.is_err() {
                    return Ok(());
                }
                send_event(sender, "members", &peer.members()).await?;
            }
            () = config.wait_synced(), if !has_sent_synced => {}
            () = sender.closed() => return Ok(()),
        }
    }
}

/// Sends the objects whose newest revision is not in `sent_revisions`, and adds them to it.
async fn send_objects(
    sender: &BodySender,
    config: &ConfigView,
    sent_revisions: &mut HashMap<(Kind, String), Revision>,
) -> Result<(), BodyAborted> {
    for version in config.newest_versions() {
        let key = (version.kind, version.name.clone());
        if sent_revisions.insert(key, version.revision) == Some(version.revision) {
            continue;
        }
        let event = if version.value.is_some() { "object" } else { "deleted" };
        send_event(sender, event, &version).await?;
    }
    Ok(())
}

/// Sends one server-sent event with a JSON value.
async fn send_event<T: Serialize>(
    sender: &BodySender,
    event: &str,
    value: &T,
) -> Result<(), BodyAborted> {
    let data = serde_json::to_string(value).map_err(|_| BodyAborted)?;
    sender.send(sse::encode(Some(event), &data)).await
}

/// Copy of the configuration and members of the local `deckentry`, kept up to date by a background
/// task; clones share their state.
#[derive(Clone)]
pub struct LocalStateClient {
    config: ConfigView,
    members: Rc<RefCell<Vec<Member>>>,
    member_changes: Rc<watch::Sender<u64>>,
}

impl LocalStateClient {
    /// Connects to the local interface at `address` and reconnects until `cancel` is cancelled.
    ///
    /// While there is no connection the last received state is kept.
    pub fn connect(client: Client, address: SocketAddr, cancel: CancellationToken) -> Self {
        let local_state = Self {
            config: ConfigView::default(),
            members: Rc::default(),
            member_changes: Rc::new(watch::Sender::new(0)),
        };
        let reader = local_state.clone();
        monoio::spawn(async move {
            cancel.run_until_cancelled(reader.run(client, address)).await;
        });
        local_state
    }

    /// Returns a view of the configuration received from `deckentry`.
    pub fn config(&self) -> ConfigView {
        self.config.clone()
    }

    /// Returns the members last received from `deckentry`, including this VM.
    pub fn members(&self) -> Vec<Member> {
        self.members.borrow().clone()
    }

    /// Returns a receiver that is notified whenever a list of members arrives.
    pub fn member_changes(&self) -> watch::Receiver<u64> {
        self.member_changes.subscribe()
    }

    /// Reads the event stream and, whenever it ends, requests it again after a backoff.
    async fn run(self, client: Client, address: SocketAddr) {
        let (initial, max) = RECONNECT_BACKOFF;
        let mut backoff = Backoff::new(initial, max);
        loop {
            if let Err(error) = self.read_events(&client, address, &mut backoff).await {
                log::debug!(target: "peer", "local interface not read error={error}");
            }
            monoio::time::sleep(backoff.next_delay()).await;
        }
    }

    /// Requests the event stream and applies each event to this copy until the server closes the
    /// stream or an error occurs. Each received event resets `backoff`.
    async fn read_events(
        &self,
        client: &Client,
        address: SocketAddr,
        backoff: &mut Backoff,
    ) -> Result<(), deck_net::NetError> {
        let request = Request::builder()
            .uri("/local/config")
            .body(Body::empty())
            .map_err(|error| deck_net::NetError::Decode(error.to_string()))?;
        let mut events = EventReader::new(client.send(address, request).await?);
        while let Some(event) = events.next().await? {
            backoff.reset();
            let applied = self.apply(&event.event_type, &event.data);
            applied.map_err(|error| deck_net::NetError::Decode(error.to_string()))?;
        }
        Ok(())
    }

    /// Applies one event; events of unknown types are ignored.
    fn apply(&self, event: &str, data: &str) -> Result<(), serde_json::Error> {
        match event {
            "object" | "deleted" => {
                self.config.apply(serde_json::from_str::<ObjectVersion>(data)?);
            }
            "synced" => self.config.set_synced(),
            "members" => {
                self.members.replace(serde_json::from_str(data)?);
                self.member_changes.send_modify(|count| *count += 1);
            }
            _ => {}
        }
        Ok(())
    }
}
