//! State of the data path that all calls share.

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
use deck_peer::{ConfigView, Peer};
use deck_plat::Store;
use deck_route::{Router, predict::LengthPredictor};
use tokio::sync::Notify;

use crate::{
    body::BodyMemory, call::Call, claim::Deletions, exchange::LeavingTargets, load::LoadPolls,
    metrics::CallMetrics, options::CallOptions, pools::Pools, record::Records, ticket::Tickets,
    usage::UsageTable,
};

pub(crate) struct Shared {
    pub(crate) options: CallOptions,
    pub(crate) config: ConfigView,
    pub(crate) router: Router,
    pub(crate) admission: Admission,
    pub(crate) budget: RetryBudget,
    pub(crate) client: Client,
    pub(crate) peer: Peer,
    pub(crate) store: Store,
    pub(crate) metrics: CallMetrics,
    pub(crate) usage: UsageTable,
    pub(crate) bodies: BodyMemory,
    pub(crate) pools: RefCell<Pools>,
    pub(crate) records: RefCell<Records>,
    pub(crate) tickets: RefCell<Tickets>,
    pub(crate) claim_rate: RefCell<TokenBucket>,
    /// Rate of reads of claims when no write is left.
    pub(crate) claim_read_rate: RefCell<TokenBucket>,
    pub(crate) deletions: RefCell<Deletions>,
    pub(crate) crashes: RefCell<CrashTracker>,
    /// Notified when a suspect leaves a target.
    pub(crate) suspect_ended: Notify,
    pub(crate) predictor: RefCell<LengthPredictor>,
    pub(crate) leaving_targets: RefCell<LeavingTargets>,
    pub(crate) load_polls: RefCell<LoadPolls>,
    pub(crate) next_try: Cell<u64>,
    /// Cancelled when this VM announces that it stops.
    pub(crate) stopping: CancellationToken,
}

impl Shared {
    /// Returns an identifier for one try at an engine. It is unique over all VMs and processes, so
    /// that two callers that use the same request id never share a stream or a cancel order.
    pub(crate) fn engine_request_id(&self, call: &Call) -> String {
        let number = self.next_try.get();
        self.next_try.set(number + 1);
        let CallOptions { vm, incarnation, .. } = &self.options;
        format!("{}~{vm}.{incarnation}.{number}", call.head.request_id)
    }

    /// Waits for a slot of the pool.
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
        self.budget.record_call(&call.pool.name, &call.head.organisation);
        Ok(permit)
    }

    /// Refuses a call whose fingerprint is condemned.
    pub(crate) fn check_condemned(&self, call: &Call) -> Result<(), CallError> {
        if !self.crashes.borrow().is_blocked(call.fingerprint) {
            return Ok(());
        }
        let message = "this request repeatedly broke the targets that ran it";
        Err(CallError::new(ErrorKind::RequestCondemned, message))
    }

    /// Takes a retry from the budget of the call's organisation.
    pub(crate) fn try_take_retry(&self, call: &Call) -> bool {
        self.budget.try_take_retry(&call.pool.name, &call.head.organisation)
    }

    /// Updates the gauges of the records.
    pub(crate) fn note_records(&self) {
        let records = self.records.borrow();
        self.metrics.records(records.len(), records.answer_bytes());
    }
}

/// Handle to the shared state.
pub(crate) type SharedRef = Rc<Shared>;
