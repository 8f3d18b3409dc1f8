//! Scores complete texts with reward calls.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use deck_core::error::{CallError, ErrorKind};
use deck_fleet::{ItemOutcome, RewardCall, Route};
use deck_forward::{ForwardRequest, Reply, ReplyBody};
use http::Method;

use crate::{
    job::{ItemPhase, ItemState, Job},
    runner::RunnerState,
};

/// Wait before a reward call is repeated, and the longest `Retry-After` that is honoured.
const RETRY_WAIT: Duration = Duration::from_millis(100);

/// Scores a complete text and sets the result of its item. An item without a reward call completes
/// without a score.
pub(crate) async fn score_item(runner: Rc<RunnerState>, job: Rc<Job>, item_state: Rc<ItemState>) {
    let Some(reward) = &item_state.item.reward else {
        job.finish_item(&item_state, ItemOutcome::Completed, None);
        return;
    };
    let scored =
        job.stop_token.run_until_cancelled(score(&runner, &job, &item_state, reward)).await;
    match scored {
        Some(Some(score)) => job.finish_item(&item_state, ItemOutcome::Completed, Some(score)),
        Some(None) => job.finish_item(&item_state, ItemOutcome::Failed, None),
        None => item_state.set_phase(ItemPhase::Generated),
    }
}

/// Returns the score, which is the signature in the response to the reward call; `None` if all
/// attempts fail or the item's time is up.
async fn score(
    runner: &RunnerState,
    job: &Job,
    item_state: &ItemState,
    reward: &RewardCall,
) -> Option<String> {
    let mut failures = 0;
    loop {
        let configuration = runner.deps.view.configuration();
        let path = reward.path.split('?').next().unwrap_or_default();
        let route = configuration.and_then(|c| c.route(&reward.host, path).cloned());
        if let Some(route) = route {
            let call = call_scorer(runner, reward, &route);
            // A reward call may be repeated.
            match runner.run_while_confirmed(job, call).await {
                None => {}
                Some(Ok(reply))
                    if reply.status.is_success() && reply.metadata.signature.is_some() =>
                {
                    return reply.metadata.signature;
                }
                Some(Ok(reply)) => {
                    failures += reply.status_500_count;
                    let (id, status) = (&item_state.item.id, reply.status);
                    log::info!(target: "batch", "reward failed item={id} call={} status={status} failures={failures}", reward.id);
                    if failures >= route.max_attempts {
                        return None;
                    }
                    monoio::time::sleep(RETRY_WAIT).await;
                }
                Some(Err(error)) => {
                    let id = &item_state.item.id;
                    log::info!(target: "batch", "no reward yet item={id} call={} error={error}", reward.id);
                    monoio::time::sleep(error.retry_after.unwrap_or(RETRY_WAIT).min(RETRY_WAIT))
                        .await;
                }
            }
        } else {
            monoio::time::sleep(RETRY_WAIT).await;
        }
        if Instant::now() >= job.give_up_at() {
            return None;
        }
    }
}

/// Sends a reward call through the forwarder. The body of a success has been received to its end.
async fn call_scorer(
    runner: &RunnerState,
    reward: &RewardCall,
    route: &Rc<Route>,
) -> Result<Reply, CallError> {
    let bad_request = |message: String| CallError::new(ErrorKind::BadRequest, message);
    let body = runner.deps.protocol.decode_item_body(&reward.body).map_err(bad_request)?;
    let uri = reward.path.parse().map_err(|error| bad_request(format!("path: {error}")))?;
    let timeout = if route.timeout.is_zero() { DEFAULT_REWARD_TIMEOUT } else { route.timeout };
    let deadline = Instant::now() + timeout;
    let call = ForwardRequest {
        organisation: None,
        request_id: reward.id.clone(),
        method: Method::POST,
        uri,
        headers: runner.deps.protocol.build_item_headers(&reward.host, &[]),
        body,
        route: route.clone(),
        deadline,
        last_event: None,
        resumes: None,
        max_stream_duration: timeout,
        is_owed: true,
    };
    let mut reply = runner.deps.forwarder.forward(call).await?;
    if reply.status.is_success() {
        let body = std::mem::replace(&mut reply.body, ReplyBody::Buffered(Default::default()));
        let time_left = deadline.saturating_duration_since(Instant::now());
        let receive = monoio::time::timeout(time_left, body.receive_to_end());
        if !receive.await.unwrap_or(false) {
            let message = "the body of the reward is truncated";
            return Err(CallError::new(ErrorKind::TargetFailed, message));
        }
    }
    Ok(reply)
}

/// Timeout of a reward call if its route sets none.
const DEFAULT_REWARD_TIMEOUT: Duration = Duration::from_secs(5);
