//! Exchange of stream origins with the other nodes.

use std::{net::SocketAddr, rc::Rc};

use deck_core::CancellationToken;
use deck_fleet::{
    FleetFeed,
    stream_origins::{MAX_ORIGINS_BYTES, STREAM_ORIGIN_LOOKUP_PATH},
};
use deck_forward::StreamOrigins;
use deck_net::{
    Body, Client, NetError,
    http::{Request, Response, StatusCode},
    server::{empty_response, read_body},
};
use hyper::body::Incoming;

/// Returns the stream origins of the node at `own_address`, shared with all nodes that `feed` knows.
pub fn share(
    feed: FleetFeed,
    own_address: SocketAddr,
    client: Client,
    cancel: CancellationToken,
) -> StreamOrigins {
    let other_nodes = move || {
        let mut nodes = feed.ranked_nodes();
        nodes.retain(|node| *node != own_address);
        nodes
    };
    StreamOrigins::new(Rc::new(other_nodes), client, cancel)
}

/// Stores the stream origins that another node sends, or answers its lookup of one.
///
/// # Errors
///
/// Returns an error if the request cannot be read or decoded.
pub async fn serve(
    origins: &StreamOrigins,
    request: Request<Incoming>,
) -> Result<Response<Body>, NetError> {
    let is_lookup = request.uri().path() == STREAM_ORIGIN_LOOKUP_PATH;
    let message = read_body(request.into_body(), MAX_ORIGINS_BYTES).await?;
    if is_lookup {
        return Ok(Response::new(Body::full(origins.serve_lookup(&message)?)));
    }
    origins.receive(&message)?;
    Ok(empty_response(StatusCode::OK))
}
