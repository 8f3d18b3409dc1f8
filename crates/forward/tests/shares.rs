//! Division of a service among organisations, with targets that refuse what exceeds their slots.

use std::{
    cell::Cell,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use deck_core::{CancellationToken, error::ErrorKind};
use deck_fleet::{CallerLimits, Configuration, Organisations, RouteKind, ServiceConfig};
use deck_forward::{CrashGuard, Forwarder};
use deck_net::{ServerOptions, bind, http::Request, server::text_response};

mod common;

/// Time for which a target holds a slot.
const HOLD_TIME: Duration = Duration::from_millis(100);
const SLOTS: usize = 2;

/// Starts a target with [`SLOTS`] slots that refuses what exceeds them.
fn start_target(cancel: &CancellationToken) -> SocketAddr {
    let listener = bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("bind");
    let address = listener.local_addr().expect("address");
    let running = Rc::new(Cell::new(0));
    let respond = move |request: Request<_>| {
        let running = running.clone();
        async move {
            let is_full = running.get() == SLOTS;
            let mut response = text_response(if is_full { 503 } else { 200 }, "whole");
            let headers = response.headers_mut();
            headers.insert("request-id", request.headers()["request-id"].clone());
            headers.insert("response-stamp", "stamp".parse().expect("stamp"));
            if is_full {
                headers.insert("not-executed", "1".parse().expect("flag"));
                return response;
            }
            running.set(running.get() + 1);
            monoio::time::sleep(HOLD_TIME).await;
            running.set(running.get() - 1);
            response
        }
    };
    monoio::spawn(deck_net::serve(listener, ServerOptions::default(), cancel.clone(), respond));
    address
}

/// Returns a forwarder for one target, with or without organisations in the configuration.
fn forwarder(address: SocketAddr, has_organisations: bool) -> Forwarder {
    let view = common::fleet_view(vec![common::target(0, address)]);
    let service = ServiceConfig { name: "s".to_owned(), engine: None, scaling: None };
    let configuration = Configuration::new(2, vec![], vec![service], CallerLimits::default());
    let organisations = has_organisations.then(Organisations::default);
    view.set_configuration(configuration.with_organisations(organisations));
    common::forwarder_for(&view, CrashGuard::default())
}

/// Sends a request every `interval` for four seconds. Returns the numbers of requests, of those that
/// were served, and of those that were refused because of the organisation's share.
async fn send(
    forwarder: Forwarder,
    organisation: &'static str,
    interval: Duration,
) -> (usize, usize, usize) {
    let until = Instant::now() + Duration::from_secs(4);
    let mut requests = Vec::new();
    for index in 0.. {
        if Instant::now() >= until {
            break;
        }
        let mut call =
            common::call(common::route(RouteKind::NonIdempotent), "body", Duration::from_secs(1));
        call.organisation = Some(organisation.to_owned());
        call.request_id = format!("{organisation}-{index}");
        let forwarder = forwarder.clone();
        requests.push(monoio::spawn(async move { forwarder.forward(call).await.map(drop) }));
        monoio::time::sleep(interval).await;
    }
    let (asked, mut served, mut refused) = (requests.len(), 0, 0);
    for request in requests {
        match request.await {
            Ok(()) => served += 1,
            Err(error) => {
                assert!(error.retry_after.is_some(), "{error}");
                refused += usize::from(error.kind == ErrorKind::ShareExhausted);
            }
        }
    }
    (asked, served, refused)
}

/// Load: one organisation sends five times what the service takes, another one a third of it. Guards
/// against a small organisation that is refused for a large one, and against shares where the
/// configuration has no organisations.
#[test]
fn small_organisation_is_served_beside_a_large_one() {
    let played = deck_net::runtime::run(async {
        for has_organisations in [true, false] {
            let cancel = CancellationToken::new();
            let forwarder = forwarder(start_target(&cancel), has_organisations);
            let large = monoio::spawn(send(forwarder.clone(), "large", HOLD_TIME / 10));
            let (asked, served, refused) = send(forwarder, "small", HOLD_TIME * 3 / 2).await;
            let large = large.await;
            cancel.cancel();
            assert_eq!(large.2 > 0, has_organisations, "{large:?}");
            assert_eq!(refused, 0, "within its part");
            if has_organisations {
                assert!(served * 2 >= asked, "{served} of {asked}, large {large:?}");
            }
        }
    });
    played.expect("runtime");
}
