//! State shared by all calls.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Instant,
};

use deck_core::{
    CancellationToken,
    error::{CallError, ErrorKind},
};
use deck_limit::{Admission, AdmitRequest, Permit, RetryBudget, TokenBucket, crash::CrashTracker};
use deck_net::Client;
use deck_peer::{ConfigView, PeerService};
use deck_plat::Store;
use deck_route::{Router, predict::LengthPredictor};
use tokio::sync::Notify;

use crate::{
    body::BodyMemoryBudget, call::Call, claim::ClaimDeletionQueue,
    execution_record::ExecutionRecords, load_poller::LoadPoller, metrics::CallMetrics,
    options::CallHandlerOptions, peer_exchange::LeavingTargets, pool_index::PoolIndex,
    ticket::TicketIssuer, usage::UsageTable,
};

/// State of the call handler that is shared by all calls and background tasks.
pub(crate) struct SharedState {
    pub(crate) options: CallHandlerOptions,
    pub(crate) config: ConfigView,
    pub(crate) router: Router,
    pub(crate) admission: Admission,
    pub(crate) retry_budget: RetryBudget,
    pub(crate) client: Client,
    /// Connection to the other VMs: members, published values and requests.
    pub(crate) peer: PeerService,
    pub(crate) store: Store,
    pub(crate) metrics: CallMetrics,
    pub(crate) usage: UsageTable,
    pub(crate) body_memory: BodyMemoryBudget,
    pub(crate) pools: RefCell<PoolIndex>,
    pub(crate) records: RefCell<ExecutionRecords>,
    pub(crate) tickets: RefCell<TicketIssuer>,
    /// Rate limit for writes of claims.
    pub(crate) claim_rate: RefCell<TokenBucket>,
    /// Rate limit for reads of claims while `claim_rate` is exhausted.
    pub(crate) claim_read_rate: RefCell<TokenBucket>,
    /// Claims of this process that are scheduled for deletion.
    pub(crate) claim_deletions: RefCell<ClaimDeletionQueue>,
    pub(crate) crash_tracker: RefCell<CrashTracker>,
    /// Notified when an attempt of a crash suspect ends.
    pub(crate) suspect_attempt_ended: Notify,
    /// Predicts the number of tokens that a completion generates.
    pub(crate) length_predictor: RefCell<LengthPredictor>,
    pub(crate) leaving_targets: RefCell<LeavingTargets>,
    pub(crate) load_poller: RefCell<LoadPoller>,
    /// Number of the next request to an engine.
    pub(crate) next_engine_request: Cell<u64>,
    /// Cancelled when this VM announces its shutdown.
    pub(crate) stopping: CancellationToken,
}

impl SharedState {
    /// Returns an identifier for one attempt at an engine. It is unique across all VMs and
    /// processes, so that callers with the same request identifier never share a stream or a
    /// cancellation.
    pub(crate) fn engine_request_id(&self, call: &Call) -> String {
        let number = self.next_engine_request.get();
        self.next_engine_request.set(number + 1);
        let CallHandlerOptions { vm, incarnation, .. } = &self.options;
        format!("{}~{vm}.{incarnation}.{number}", call.head.request_id)
    }

    /// Waits until admission grants a slot of the pool.
    pub(crate) async fn admit(&self, call: &Call) -> Result<Permit, CallError> {
        let request = AdmitRequest {
            pool: &call.pool.name,
            organisation: &call.head.organisation,
            cost_tokens: call.expected_tokens,
            priority: call.head.priority,
            deadline: call.head.deadline,
            now: Instant::now(),
        };
        let permit = self.admission.admit_or_wait(&request).await?;
        self.retry_budget.record_call(&call.pool.name, &call.head.organisation);
        Ok(permit)
    }

    /// Returns an error if the request is blocked because it repeatedly crashed targets.
    pub(crate) fn check_not_blocked(&self, call: &Call) -> Result<(), CallError> {
        let crash_tracker = self.crash_tracker.borrow();
        if !call.fingerprint.is_some_and(|fingerprint| crash_tracker.is_blocked(fingerprint)) {
            return Ok(());
        }
        let message = "this request repeatedly broke the targets that ran it";
        Err(CallError::new(ErrorKind::RequestBlocked, message))
    }

    /// Takes a retry from the budget of the call's organisation. Returns `false` if it is
    /// exhausted.
    pub(crate) fn try_take_retry(&self, call: &Call) -> bool {
        self.retry_budget.try_take_retry(&call.pool.name, &call.head.organisation)
    }

    /// Updates the metrics of the execution records.
    pub(crate) fn update_record_metrics(&self) {
        let records = self.records.borrow();
        self.metrics.set_record_gauges(records.len(), records.response_bytes());
    }
}

/// Reference-counted [`SharedState`].
pub(crate) type SharedRef = Rc<SharedState>;
