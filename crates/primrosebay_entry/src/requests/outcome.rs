//! What the end of an attempt means for the request, for its minion and for the caller.

use primrosebay_coordination::routing::minion::{Feedback, SLOTS};
use primrosebay_coordination::routing::retry::{AttemptFailure, Execution};
use primrosebay_coordination::routing::router::Shed;
use primrosebay_protocol::code::Code;
use primrosebay_transport::minion::{MinionError, Report};

/// Returns what the answer of a minion tells about it.
pub(super) fn answered(report: Report, failed: bool) -> Feedback {
    Feedback {
        failed: Some(failed),
        busy: report.busy_slots,
        refused: false,
        leaving: report.leaving,
    }
}

/// Returns how an attempt ended and what that tells about the minion. `patient` says whether the
/// attempt had as much time as nearly all requests need.
pub(super) fn of_error(error: &MinionError, patient: bool) -> (AttemptFailure, Feedback) {
    let failing = Feedback {
        failed: Some(true),
        ..Feedback::default()
    };
    match error {
        MinionError::NotSent(_) => (AttemptFailure::NotSent, failing),
        MinionError::ConnectionLimit => (AttemptFailure::NotSent, full(false)),
        MinionError::Refused(report) => (AttemptFailure::Refused, refused(*report)),
        // A caller with a short deadline must not get a healthy minion ejected.
        MinionError::TimedOut if !patient => (AttemptFailure::Lost, Feedback::default()),
        MinionError::Lost(_) | MinionError::TimedOut => (AttemptFailure::Lost, failing),
        MinionError::IncompleteBody(_) => (AttemptFailure::Lost, Feedback::default()),
    }
}

fn refused(report: Report) -> Feedback {
    match report.busy_slots {
        // A minion that refuses although it has free slots is broken.
        Some(busy) if busy < SLOTS && !report.leaving => answered(report, true),
        _ => full(report.leaving),
    }
}

fn full(leaving: bool) -> Feedback {
    Feedback {
        failed: None,
        busy: None,
        refused: true,
        leaving,
    }
}

/// Returns the code of a request that is turned away. Earlier attempts decide whether "not run"
/// would be true.
pub(super) fn shed_code(shed: Shed, proof: Execution) -> Code {
    match (proof, shed) {
        (Execution::NotRun, Shed::Full) => Code::OVERLOADED,
        (Execution::NotRun, Shed::Late) => Code::DEADLINE,
        _ => proof_code(proof),
    }
}

/// Returns the code of a request that is not sent again.
pub(super) fn proof_code(proof: Execution) -> Code {
    match proof {
        Execution::NotRun => Code::NO_MINION,
        Execution::Unknown => Code::UNKNOWN,
        Execution::Failed => Code::MINION_FAILED,
    }
}
