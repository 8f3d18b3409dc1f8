//! Charges requests to the account of their organisation at the service.

use std::{
    cell::Cell,
    time::{Duration, Instant},
};

use deck_core::{
    error::{CallError, ErrorKind},
    id::{OrganisationId, PoolName},
};
use deck_limit::Shares;

use crate::{ForwardRequest, Forwarder};

/// Minimum time between two log lines about refusals.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

thread_local! {
    /// Time of the last log line, and the number of refusals since.
    static LAST_LOG: Cell<(Option<Instant>, u64)> = const { Cell::new((None, 0)) };
}

/// Request that is charged to an organisation.
pub(crate) struct ChargedRequest {
    shares: Shares,
    service: PoolName,
    organisation: OrganisationId,
    expected_duration: Duration,
}

impl Forwarder {
    /// Charges a request to its organisation. Returns `None` where the configuration has no
    /// organisations, and for requests that are owed. Callers of public routes without a key share
    /// one account.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the service is short of room and the organisation has used its part.
    pub(crate) fn charge_share(
        &self,
        call: &ForwardRequest,
        service: &str,
    ) -> Result<Option<ChargedRequest>, CallError> {
        let configuration = self.fleet_view.configuration();
        let has_organisations = configuration.is_some_and(|it| it.organisations.is_some());
        if !has_organisations || call.is_owed {
            return Ok(None);
        }
        let organisation = call.organisation.clone().unwrap_or_default();
        let expected_duration = call.route.target_latency;
        let (id, now) = (&call.request_id, Instant::now());
        let admitted = self.shares().admit(service, &organisation, expected_duration, id, now);
        admitted.map_err(|exceeded| {
            let (last_at, refused) = LAST_LOG.get();
            let refused = refused + 1;
            if last_at.is_none_or(|at| now.saturating_duration_since(at) >= LOG_INTERVAL) {
                let (part_s, taken_s) = (exceeded.part_s, exceeded.taken_s);
                log::warn!(target: "forward", "share exceeded service={service} organisation={organisation:?} taken_s={taken_s:.2} part_s={part_s:.2} refused_since={refused}");
                LAST_LOG.set((Some(now), 0));
            } else {
                LAST_LOG.set((last_at, refused));
            }
            CallError::new(ErrorKind::ShareExhausted, "the organisation's share is in use")
                .with_retry_after(exceeded.retry_after)
        })?;
        let (shares, service) = (self.shares().clone(), service.to_owned());
        Ok(Some(ChargedRequest { shares, service, organisation, expected_duration }))
    }
}

impl ChargedRequest {
    /// Returns the charge of a request that no target ran, and the refusal with a `Retry-After` that
    /// differs between requests. `all_full` tells whether all targets that were tried had no room.
    pub(crate) fn return_charge(
        &self,
        error: CallError,
        all_full: bool,
        request_id: &str,
    ) -> CallError {
        let is_short = match error.kind {
            ErrorKind::TargetRefused => all_full,
            ErrorKind::Overloaded => true,
            _ => return error,
        };
        let Some(retry_after) = error.retry_after.filter(|_| is_short) else { return error };
        let (service, organisation) = (&self.service, &self.organisation);
        let (duration, now) = (self.expected_duration, Instant::now());
        self.shares.record_refused_by_targets(service, organisation, duration, now);
        error.with_retry_after(self.shares.spread(retry_after, request_id))
    }
}
