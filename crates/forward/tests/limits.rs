//! Targets that name the number of requests a second that they take from all nodes together.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use deck_core::{CancellationToken, error::RunState};
use deck_fleet::RouteKind;
use deck_forward::{CrashGuard, Forwarder};
use deck_net::{ServerOptions, bind, http::Request, server::text_response};

mod common;

/// Time from the first response with a limit until it has to be kept.
const EFFECT_TIME: Duration = Duration::from_secs(3);
/// Time until a target names a limit.
const WARM_UP_TIME: Duration = Duration::from_secs(1);
/// Latency of the targets without a limit after one has named its limit. The router prefers the
/// limited target by it, so that jitter of less than a millisecond does not decide whether that target
/// is used.
const OTHER_TARGET_LATENCY: Duration = Duration::from_millis(5);
/// Period in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// Service whose targets respond at once until one of them names a limit, and that one also after it.
struct Targets {
    addresses: Vec<SocketAddr>,
    started_at: Instant,
    /// Index of the target and time of each request, in order.
    received: Rc<RefCell<Vec<(usize, Instant)>>>,
    /// Index of the limited target: the one that gets the first request after [`WARM_UP_TIME`],
    /// which is the one that the router prefers by then.
    limited: Rc<Cell<Option<usize>>>,
    /// Limit that the limited target names.
    limit: Rc<Cell<Option<f64>>>,
    cancel: CancellationToken,
}

impl Drop for Targets {
    fn drop(&mut self) {
        self.cancel.cancel();
    }
}

impl Targets {
    fn start(count: usize, limit: f64) -> Self {
        let (received, cancel): (Rc<RefCell<Vec<_>>>, _) =
            (Rc::default(), CancellationToken::new());
        let limit = Rc::new(Cell::new(Some(limit)));
        let (limited, started_at): (Rc<Cell<Option<usize>>>, _) = (Rc::default(), Instant::now());
        let mut addresses = Vec::new();
        for index in 0..count {
            let listener = bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("bind");
            addresses.push(listener.local_addr().expect("address"));
            let (received, limit) = (received.clone(), limit.clone());
            let limited = limited.clone();
            let respond = move |request: Request<_>| {
                received.borrow_mut().push((index, Instant::now()));
                let mut response = text_response(200, "whole");
                let headers = response.headers_mut();
                headers.insert("request-id", request.headers()["request-id"].clone());
                headers.insert("response-stamp", "stamp".parse().expect("stamp"));
                if started_at.elapsed() >= WARM_UP_TIME && limited.get().is_none() {
                    limited.set(Some(index));
                }
                if let Some(limit) = limit.get().filter(|_| limited.get() == Some(index)) {
                    headers.insert("server-limit", limit.to_string().parse().expect("number"));
                }
                let is_other = limited.get().is_some_and(|limited| limited != index);
                async move {
                    if is_other {
                        monoio::time::sleep(OTHER_TARGET_LATENCY).await;
                    }
                    response
                }
            };
            let options = ServerOptions::default();
            monoio::spawn(deck_net::serve(listener, options, cancel.clone(), respond));
        }
        Self { addresses, started_at, received, limited, limit, cancel }
    }

    fn forwarder(&self) -> Forwarder {
        let targets = self.addresses.iter().enumerate();
        let targets = targets.map(|(index, address)| common::target(index, *address));
        common::forwarder(targets.collect(), CrashGuard::default())
    }

    /// Returns the highest number of requests to the limited target in any [`WINDOW`] after
    /// [`EFFECT_TIME`].
    fn most_in_a_window(&self) -> usize {
        let limited_from = self.started_at + WARM_UP_TIME + EFFECT_TIME;
        let received = self.received.borrow();
        let counted = received
            .iter()
            .filter(|(index, at)| Some(*index) == self.limited.get() && *at >= limited_from);
        let counted: Vec<Instant> = counted.map(|(_, at)| *at).collect();
        let in_window =
            |from: Instant| counted.iter().filter(move |at| (from..from + WINDOW).contains(*at));
        counted.iter().map(|from| in_window(*from).count()).max().unwrap_or(0)
    }
}

/// Returns how many requests a limit allows in [`WINDOW`].
fn allowed(requests_per_s: f64) -> usize {
    (1.5 * requests_per_s * WINDOW.as_secs_f64()) as usize + 5
}

/// Sends 50 requests a second for the given time, to the forwarders in turn. Returns the numbers of
/// requests that were served and refused.
async fn send_requests(forwarders: &[Forwarder], duration: Duration) -> (usize, usize) {
    let until = Instant::now() + duration;
    let (mut served, mut refused) = (0, 0);
    for index in 0.. {
        if Instant::now() >= until {
            break;
        }
        let route = common::route(RouteKind::Idempotent);
        let call = common::call(route, "body", Duration::from_secs(1));
        let started_at = Instant::now();
        match forwarders[index % forwarders.len()].forward(call).await {
            Ok(_) => served += 1,
            Err(error) => {
                assert_eq!(error.kind.properties().run_state, RunState::NotRun, "{error}");
                assert!(error.retry_after.is_some(), "{error}");
                assert!(started_at.elapsed() < Duration::from_millis(100), "{error}");
                refused += 1;
            }
        }
        monoio::time::sleep(Duration::from_millis(20)).await;
    }
    (served, refused)
}

fn run<F: Future<Output = ()>>(test: F) {
    deck_net::runtime::run(test).expect("runtime");
}

/// A target in need gets more requests than it has named (LIMIT), although another target could take
/// them.
#[test]
fn other_targets_take_what_exceeds_the_limit_of_a_target() {
    run(async {
        let targets = Targets::start(2, 3.0);
        let (_, refused) =
            send_requests(&[targets.forwarder()], WARM_UP_TIME + EFFECT_TIME + WINDOW * 2).await;
        let most = targets.most_in_a_window();
        assert!(most <= allowed(3.0), "{most} requests");
        assert!(most > 0, "the limited target is not used");
        assert_eq!(refused, 0);
    });
}

/// A request that no target may take waits or runs into its deadline, instead of being refused at
/// once with the time of the next attempt.
#[test]
fn requests_above_the_limit_of_the_only_target_are_refused_at_once() {
    run(async {
        let targets = Targets::start(1, 3.0);
        let (served, refused) =
            send_requests(&[targets.forwarder()], WARM_UP_TIME + EFFECT_TIME + WINDOW * 2).await;
        let most = targets.most_in_a_window();
        assert!(most <= allowed(3.0), "{most} requests");
        assert!(served >= 20 && refused > 0, "{served} served, {refused} refused");
    });
}

/// A limit that a target names no longer keeps requests from it for good.
#[test]
fn limit_ends_with_a_response_without_it() {
    run(async {
        let targets = Targets::start(1, 2.0);
        let forwarders = [targets.forwarder()];
        send_requests(&forwarders, Duration::from_secs(2)).await;
        targets.limit.set(None);
        send_requests(&forwarders, Duration::from_secs(1)).await;
        let (served, refused) = send_requests(&forwarders, Duration::from_secs(1)).await;
        assert!(served > 20 && refused == 0, "{served} served, {refused} refused");
    });
}
