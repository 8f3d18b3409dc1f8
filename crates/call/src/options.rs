//! Settings of the call handler.

use std::time::Duration;

use deck_core::id::{Incarnation, VmId};
use deck_limit::CrashOptions;

/// Settings of a [`CallHandler`](crate::CallHandler).
#[derive(Debug, Clone)]
pub struct CallHandlerOptions {
    /// Identifier of this VM.
    pub vm: VmId,
    /// Incarnation of this process. Claims and tickets of another incarnation are never executed
    /// here.
    pub incarnation: Incarnation,
    /// Limits on request and response bodies.
    pub body: BodyOptions,
    /// Deadlines and attempt limits of a call.
    pub attempts: AttemptOptions,
    /// At-most-once execution: claims, tickets and recorded responses.
    pub at_most_once: AtMostOnceOptions,
    /// Detection of requests that crash targets.
    pub crash: CrashOptions,
    /// Maximum number of load reports requested per second over all targets; 0 disables the
    /// requests.
    pub max_load_polls_per_s: u32,
}

/// Limits on request and response bodies.
#[derive(Debug, Clone)]
pub struct BodyOptions {
    /// Maximum size of a request body.
    pub max_request_bytes: usize,
    /// Maximum total size of all request bodies in memory.
    pub max_buffered_bytes: usize,
    /// Time within which a request body must be received.
    pub receive_timeout: Duration,
    /// Size of the part of a plain service's response that is buffered before the first byte is
    /// sent to the caller. A response that breaks within this part can be retried.
    pub response_prefix_bytes: usize,
    /// Maximum size of the response to a non-idempotent call, which is buffered and recorded, and
    /// of the text of a completion.
    pub max_response_bytes: usize,
}

impl Default for BodyOptions {
    fn default() -> Self {
        Self {
            // A call with a ticket is forwarded to its issuer in one peer message of at most 4 MiB.
            max_request_bytes: 2 * 1024 * 1024,
            max_buffered_bytes: 64 * 1024 * 1024,
            receive_timeout: Duration::from_secs(10),
            response_prefix_bytes: 256 * 1024,
            max_response_bytes: 2 * 1024 * 1024,
        }
    }
}

/// Deadlines and attempt limits of one call.
#[derive(Debug, Clone)]
pub struct AttemptOptions {
    /// Time until the deadline of a call without the `X-Deadline-Ms` header.
    pub default_deadline: Duration,
    /// Maximum time until the deadline; longer ones are reduced to it.
    pub max_deadline: Duration,
    /// Maximum number of attempts of one call; for completions, of consecutive attempts without
    /// progress.
    pub max_attempts: u32,
    /// Time without data from an engine after which the call resumes on another one.
    pub target_idle_timeout: Duration,
    /// Value of `max_tokens` that the length prediction assumes if the caller gives none.
    pub default_max_tokens: u32,
}

impl Default for AttemptOptions {
    fn default() -> Self {
        Self {
            default_deadline: Duration::from_secs(60),
            max_deadline: Duration::from_secs(3600),
            max_attempts: 4,
            target_idle_timeout: Duration::from_secs(20),
            default_max_tokens: 256,
        }
    }
}

/// Settings of at-most-once execution.
#[derive(Debug, Clone)]
pub struct AtMostOnceOptions {
    /// Maximum number of idempotency keys that this VM claims per second.
    pub max_claims_per_s: f64,
    /// Maximum number of expired claims that this VM deletes per second.
    pub max_claim_deletes_per_s: f64,
    /// Time after which a claim is deleted. A call repeated later than this may be executed again.
    pub claim_retention: Duration,
    /// Maximum number of times that a claim object is read back to find out whether a write whose
    /// response was lost took effect.
    pub max_write_resolutions: u32,
    /// Timeout of a lookup at the VM that holds a claim.
    pub lookup_timeout: Duration,
    /// Time after its last state change at which an execution record is removed.
    pub record_retention: Duration,
    /// Maximum number of execution records; the oldest one that is not running is evicted first.
    pub max_records: usize,
    /// Maximum total size of recorded responses.
    pub max_record_bytes: usize,
    /// Time within which an issued ticket must be used.
    pub ticket_lifetime: Duration,
    /// Maximum number of unused tickets.
    pub max_unused_tickets: usize,
}

impl Default for AtMostOnceOptions {
    fn default() -> Self {
        Self {
            // 8 entry VMs with 20 claims/s and 20 deletes/s each cause 320 writes/s, below the
            // several hundred per second that the object API sustains.
            max_claims_per_s: 20.0,
            max_claim_deletes_per_s: 20.0,
            // A call that is repeated after this time is executed again, so the time must cover
            // repeats by a person. 8 VMs at 2 claims/s each leave 57,600 objects in an hour.
            claim_retention: Duration::from_secs(3600),
            max_write_resolutions: 4,
            lookup_timeout: Duration::from_secs(2),
            // Longer than the claim retention: the outcome of a claim without a record is unknown.
            record_retention: Duration::from_secs(7200),
            max_records: 100_000,
            max_record_bytes: 32 * 1024 * 1024,
            ticket_lifetime: Duration::from_secs(600),
            max_unused_tickets: 100_000,
        }
    }
}

impl CallHandlerOptions {
    /// Returns the default settings for a VM and the incarnation of its process.
    pub fn new(vm: VmId, incarnation: Incarnation) -> Self {
        Self {
            vm,
            incarnation,
            body: BodyOptions::default(),
            attempts: AttemptOptions::default(),
            at_most_once: AtMostOnceOptions::default(),
            crash: CrashOptions::default(),
            max_load_polls_per_s: 20,
        }
    }
}
