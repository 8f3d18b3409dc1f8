//! Table of the HTTP response for each error kind.

use std::collections::HashSet;

use deck_core::error::{CallError, ErrorKind, RunState};

/// Guards against two error kinds with the same code, which callers could not distinguish.
#[test]
fn codes_are_unique() {
    let codes: HashSet<_> = ErrorKind::ALL.iter().map(|kind| kind.properties().code).collect();
    assert_eq!(codes.len(), ErrorKind::ALL.len());
}

/// Guards against a response whose `Retry-After` contradicts the table.
#[test]
fn retry_after_follows_the_table() {
    for kind in ErrorKind::ALL {
        let error = CallError::new(*kind, "x").with_retry_after(std::time::Duration::from_secs(3));
        assert_eq!(error.retry_after.is_some(), kind.properties().has_retry_after, "{kind:?}");
        assert_eq!(
            error.body("id").error.retry_after_ms.is_some(),
            kind.properties().has_retry_after,
            "{kind:?}"
        );
    }
}

/// Guards against an error after the request was sent that reports the request as not executed.
#[test]
fn errors_after_sending_have_unknown_run_state() {
    use ErrorKind::{AnswerTruncated, DeadlineExceeded, Internal, KeyOutcomeUnknown, TargetFailed};
    for kind in [AnswerTruncated, DeadlineExceeded, Internal, KeyOutcomeUnknown, TargetFailed] {
        assert_eq!(kind.properties().run_state, RunState::Unknown, "{kind:?}");
    }
}
