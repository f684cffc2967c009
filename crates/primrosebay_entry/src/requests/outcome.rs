//! Maps the outcome of attempts to feedback about minions, kinds of failures and result codes.

use primrosebay_coordination::routing::minion::{Feedback, SLOTS};
use primrosebay_coordination::routing::retry::{AttemptFailure, Execution};
use primrosebay_coordination::routing::router::Shed;
use primrosebay_protocol::code::Code;
use primrosebay_transport::minion::{MinionError, Report};

/// Returns the feedback from a minion's response.
pub(super) fn answer_feedback(report: Report, failed: bool) -> Feedback {
    Feedback {
        failed: Some(failed),
        busy: report.busy_slots,
        refused: false,
        leaving: report.leaving,
    }
}

/// Returns the failure of an attempt and the feedback about its minion. `enough_time` tells whether
/// the attempt had at least the tail latency of the service.
pub(super) fn classify_error(error: &MinionError, enough_time: bool) -> (AttemptFailure, Feedback) {
    let failure = Feedback {
        failed: Some(true),
        ..Feedback::default()
    };
    match error {
        MinionError::NotSent(_) => (AttemptFailure::NotSent, failure),
        MinionError::ConnectionLimit => (AttemptFailure::NotSent, full_feedback(false)),
        MinionError::Refused(report) => (AttemptFailure::Refused, refusal_feedback(*report)),
        // A caller's short deadline must not eject a healthy minion.
        MinionError::TimedOut if !enough_time => (AttemptFailure::Lost, Feedback::default()),
        MinionError::Lost(_) | MinionError::TimedOut => (AttemptFailure::Lost, failure),
        MinionError::IncompleteBody(_) => (AttemptFailure::Lost, Feedback::default()),
    }
}

/// Returns the feedback about a minion that refused a request without running it.
fn refusal_feedback(report: Report) -> Feedback {
    match report.busy_slots {
        // A minion that refuses requests despite free slots is faulty.
        Some(busy) if busy < SLOTS && !report.leaving => answer_feedback(report, true),
        _ => full_feedback(report.leaving),
    }
}

/// Returns the feedback about a minion that cannot take a request at present.
fn full_feedback(leaving: bool) -> Feedback {
    Feedback {
        failed: None,
        busy: None,
        refused: true,
        leaving,
    }
}

/// Returns the result code of a shed request. [`Code::OVERLOADED`] and [`Code::DEADLINE`] state
/// that the request did not run, so they are used only if no earlier attempt may have run it.
pub(super) fn shed_code(shed: Shed, execution: Execution) -> Code {
    match (execution, shed) {
        (Execution::NotRun, Shed::Full) => Code::OVERLOADED,
        (Execution::NotRun, Shed::Late) => Code::DEADLINE,
        _ => execution_code(execution),
    }
}

/// Returns the result code of a failed request, from what its attempts prove about its execution.
pub(super) fn execution_code(execution: Execution) -> Code {
    match execution {
        Execution::NotRun => Code::NO_MINION,
        Execution::Unknown => Code::UNKNOWN,
        Execution::Failed => Code::MINION_FAILED,
    }
}
