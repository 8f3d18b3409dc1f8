//! Scoring of complete texts.

use std::{rc::Rc, time::Duration};

use deck_core::error::CallError;
use deck_fleet::{ItemOutcome, RewardCall, Route};
use deck_forward::{Call, Reply};
use http::Method;

use crate::{
    job::{ItemRun, Job, Phase},
    runner::Inner,
};

/// Wait after a reward call that no target took.
const RETRY_WAIT: Duration = Duration::from_millis(100);

/// Calls for the score of a complete text until there is one or the item is given up.
pub(crate) async fn score_item(inner: Rc<Inner>, job: Rc<Job>, run: Rc<ItemRun>) {
    let Some(reward) = &run.item.reward else {
        job.finish(&run, ItemOutcome::Completed, None);
        return;
    };
    let scored = job.stop.run_until_cancelled(score(&inner, &job, &run, reward)).await;
    match scored {
        Some(Some(score)) => job.finish(&run, ItemOutcome::Completed, Some(score)),
        Some(None) => job.finish(&run, ItemOutcome::Failed, None),
        None => run.enter(Phase::Complete),
    }
}

/// Returns the score; `None` if the call fails at each attempt or the item is given up.
async fn score(inner: &Inner, job: &Job, run: &ItemRun, reward: &RewardCall) -> Option<String> {
    let mut failures = 0;
    loop {
        let configuration = inner.parts.view.configuration();
        let path = reward.path.split('?').next().unwrap_or_default();
        let route = configuration.and_then(|c| c.route(&reward.host, path).cloned());
        if let Some(route) = route {
            match call(inner, reward, &route).await {
                Ok(reply) if reply.status.is_success() && reply.head.signature.is_some() => {
                    return reply.head.signature;
                }
                Ok(reply) => {
                    failures += reply.failures;
                    let (id, status) = (&run.item.id, reply.status);
                    log::info!(target: "batch", "reward failed item={id} call={} status={status} failures={failures}", reward.id);
                    if failures >= route.attempts {
                        return None;
                    }
                    monoio::time::sleep(RETRY_WAIT).await;
                }
                Err(error) => {
                    let id = &run.item.id;
                    log::info!(target: "batch", "no reward yet item={id} call={} error={error}", reward.id);
                    monoio::time::sleep(error.retry_after.unwrap_or(RETRY_WAIT).min(RETRY_WAIT))
                        .await;
                }
            }
        } else {
            monoio::time::sleep(RETRY_WAIT).await;
        }
        if std::time::Instant::now() >= job.give_up_at() {
            return None;
        }
    }
}

async fn call(inner: &Inner, reward: &RewardCall, route: &Rc<Route>) -> Result<Reply, CallError> {
    let bad = |message: String| CallError::new(deck_core::error::ErrorKind::BadRequest, message);
    let body = inner.parts.protocol.item_body(&reward.body).map_err(bad)?;
    let uri = reward.path.parse().map_err(|error| bad(format!("path: {error}")))?;
    let timeout = if route.timeout.is_zero() { DEFAULT_TIMEOUT } else { route.timeout };
    let call = Call {
        request_id: reward.id.clone(),
        method: Method::POST,
        uri,
        headers: inner.parts.protocol.item_headers(&reward.host, &[]),
        body,
        route: route.clone(),
        deadline: std::time::Instant::now() + timeout,
        last_event: None,
    };
    inner.parts.forwarder.forward(call).await
}

/// Time for a reward call whose route states no timeout.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(5);
