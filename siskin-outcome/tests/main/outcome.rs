//! Labels, HTTP statuses and retry advice of outcomes.

use {
    siskin_outcome::outcome::{Outcome, Reason, Safety},
    std::collections::HashSet,
};

/// Guards against labels that collide or are not in snake case: they are used in headers and metrics.
#[test]
fn labels_are_unique_snake_case() {
    let labels: HashSet<_> = Reason::ALL.iter().map(|reason| reason.label()).collect();
    assert_eq!(labels.len(), Reason::ALL.len());
    for label in labels {
        let is_snake_case = label.bytes().all(|byte| byte.is_ascii_lowercase() || byte == b'_');
        assert!(is_snake_case, "{label}");
    }
}

/// Guards against advice that makes a caller run a request twice, or give up one that is safe to resend.
#[test]
fn status_and_retry_advice() {
    struct Case {
        outcome: Outcome,
        status: u16,
        /// For idempotent, claimed and unprotected requests.
        resend: [bool; 3],
        retry_after_s: Option<u64>,
    }
    use Outcome::{Completed, Failed, NotRun, Unknown};
    #[rustfmt::skip]
    let cases = [
        Case { outcome: Completed, status: 200, resend: [false; 3], retry_after_s: None },
        Case { outcome: Failed, status: 502, resend: [true, false, false], retry_after_s: None },
        Case { outcome: Outcome::answered(404), status: 200, resend: [false; 3], retry_after_s: None },
        Case { outcome: Outcome::answered(500), status: 502, resend: [true, false, false], retry_after_s: None },
        Case { outcome: NotRun(Reason::QueueFull), status: 429, resend: [true; 3], retry_after_s: Some(1) },
        Case { outcome: NotRun(Reason::Isolated), status: 503, resend: [true; 3], retry_after_s: Some(5) },
        Case { outcome: NotRun(Reason::SuspectRefused), status: 429, resend: [true; 3], retry_after_s: Some(600) },
        Case { outcome: NotRun(Reason::QueueDeadline), status: 504, resend: [true; 3], retry_after_s: Some(1) },
        Case { outcome: NotRun(Reason::ClaimStoreUnavailable), status: 503, resend: [true; 3], retry_after_s: Some(5) },
        Case { outcome: NotRun(Reason::ClaimBodyDiffers), status: 422, resend: [false; 3], retry_after_s: None },
        Case { outcome: Unknown(Reason::ClaimInProgress), status: 409, resend: [true, true, false], retry_after_s: Some(1) },
        Case { outcome: Unknown(Reason::ClaimUnresolved), status: 502, resend: [true, false, false], retry_after_s: None },
        Case { outcome: Unknown(Reason::DeadlineAfterSend), status: 504, resend: [true, false, false], retry_after_s: None },
        Case { outcome: Unknown(Reason::Broken), status: 502, resend: [true, false, false], retry_after_s: None },
    ];
    for case in cases {
        let outcome = case.outcome;
        assert_eq!(outcome.status(), case.status, "{outcome}");
        let safeties = [Safety::Idempotent, Safety::Claimed, Safety::Unprotected];
        assert_eq!(safeties.map(|safety| outcome.may_resend(safety)), case.resend, "{outcome}");
        let retry_after_s = outcome.retry_after().map(|after| after.as_secs());
        assert_eq!(retry_after_s, case.retry_after_s, "{outcome}");
    }
}
