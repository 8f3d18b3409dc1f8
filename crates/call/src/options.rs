//! Settings of the data path.

use std::time::Duration;

use deck_core::id::{Incarnation, VmId};
use deck_limit::CrashOptions;

/// Settings of a [`Caller`](crate::Caller).
#[derive(Debug, Clone)]
pub struct CallOptions {
    /// Name of this VM.
    pub vm: VmId,
    /// Incarnation of this process; claims and tickets of another incarnation are never run.
    pub incarnation: Incarnation,
    /// Bounds on what callers send.
    pub body: BodyOptions,
    /// Deadlines and tries.
    pub tries: TryOptions,
    /// Claims, tickets and recorded answers.
    pub once: OnceOptions,
    /// Crash fingerprints.
    pub crash: CrashOptions,
    /// Most load reports that are requested per second, over all targets.
    pub load_polls_per_s: u32,
}

/// Bounds on request and answer bodies.
#[derive(Debug, Clone)]
pub struct BodyOptions {
    /// Largest request body.
    pub max_bytes: usize,
    /// Largest sum of all request bodies held at a time.
    pub max_total_bytes: usize,
    /// Time in which a request body has to arrive.
    pub timeout: Duration,
    /// Part of a plain service's answer that is read before its first byte goes to the caller. An
    /// answer that breaks within it can be fetched again.
    pub answer_prefix_bytes: usize,
    /// Largest answer to a non-idempotent request, which is received whole and recorded, and
    /// largest text of a completion.
    pub max_answer_bytes: usize,
}

impl Default for BodyOptions {
    fn default() -> Self {
        Self {
            // A call with a ticket travels to the issuer in one peer message of at most 4 MiB.
            max_bytes: 2 * 1024 * 1024,
            max_total_bytes: 64 * 1024 * 1024,
            timeout: Duration::from_secs(10),
            answer_prefix_bytes: 256 * 1024,
            max_answer_bytes: 2 * 1024 * 1024,
        }
    }
}

/// Deadlines and tries of one call.
#[derive(Debug, Clone)]
pub struct TryOptions {
    /// Deadline of a call without `X-Deadline-Ms`.
    pub default_deadline: Duration,
    /// Longest deadline; longer ones are cut to it.
    pub max_deadline: Duration,
    /// Most times that one call is sent to targets.
    pub max_tries: u32,
    /// Time without any byte from an engine after which the call resumes on another one.
    pub target_idle_timeout: Duration,
    /// Tokens that a call without `max_tokens` is expected to need.
    pub default_tokens: u32,
}

impl Default for TryOptions {
    fn default() -> Self {
        Self {
            default_deadline: Duration::from_secs(60),
            max_deadline: Duration::from_secs(3600),
            max_tries: 4,
            target_idle_timeout: Duration::from_secs(20),
            default_tokens: 256,
        }
    }
}

/// Settings of at-most-once calls.
#[derive(Debug, Clone)]
pub struct OnceOptions {
    /// New idempotency keys that this VM claims per second.
    pub claims_per_s: f64,
    /// Old claims that this VM deletes per second.
    pub deletes_per_s: f64,
    /// Time after which a claim is deleted. A key repeated later than this may run again.
    pub claim_keep: Duration,
    /// How often a lost response of the object API is resolved by reading back.
    pub resolve_tries: u32,
    /// Time that a peer has for a lookup of a recorded answer.
    pub lookup_timeout: Duration,
    /// Time for which an answer is recorded.
    pub record_keep: Duration,
    /// Most records; the oldest that is not running is dropped first.
    pub max_records: usize,
    /// Largest sum of recorded answers.
    pub max_record_bytes: usize,
    /// Time in which an issued ticket has to be used.
    pub ticket_keep: Duration,
    /// Most tickets that are issued and not used.
    pub max_tickets: usize,
}

impl Default for OnceOptions {
    fn default() -> Self {
        Self {
            // 8 entry VMs with 20 claims/s and 20 deletes/s make 320 writes/s, below the several
            // hundred that the object API takes.
            claims_per_s: 20.0,
            deletes_per_s: 20.0,
            // A key that is sent again after this time runs again, so it has to cover callers'
            // repeats by hand. 8 VMs at 2 bookings/s keep 57,600 objects in an hour.
            claim_keep: Duration::from_secs(3600),
            resolve_tries: 4,
            lookup_timeout: Duration::from_secs(2),
            // Longer than claims are kept: a claim without its record can only be answered as
            // unknown.
            record_keep: Duration::from_secs(7200),
            max_records: 100_000,
            max_record_bytes: 32 * 1024 * 1024,
            ticket_keep: Duration::from_secs(600),
            max_tickets: 100_000,
        }
    }
}

impl CallOptions {
    /// Returns the default settings for one VM and process.
    pub fn new(vm: VmId, incarnation: Incarnation) -> Self {
        Self {
            vm,
            incarnation,
            body: BodyOptions::default(),
            tries: TryOptions::default(),
            once: OnceOptions::default(),
            crash: CrashOptions::default(),
            load_polls_per_s: 20,
        }
    }
}
