//! Retries, the retry budget, deadlines of attempts, hedging and attempt ids.

use primrosebay_coordination::routing::attempt::RequestId;
use primrosebay_coordination::routing::backoff::Backoff;
use primrosebay_coordination::routing::budget::{BudgetRules, RetryBudget};
use primrosebay_coordination::routing::deadline::{attempt_deadline, hedge_after};
use primrosebay_coordination::routing::retry::{
    AttemptFailure, Attempts, Execution, RetryCandidate, retry_after,
};
use primrosebay_state::id::Incarnation;
use primrosebay_state::job::Repeat;
use primrosebay_state::time::Time;
use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rstest::rstest;

fn candidate(repeat: Repeat, failure: AttemptFailure) -> RetryCandidate {
    let mut attempts = Attempts::default();
    attempts.record(failure);
    RetryCandidate {
        repeat,
        deadline: Time(10_000),
        replayable: true,
        attempts,
        failure,
    }
}

fn retried(candidate: &RetryCandidate, budget: &mut RetryBudget) -> bool {
    let mut rng = SmallRng::seed_from_u64(1);
    retry_after(candidate, Time(0), &Backoff::default(), budget, &mut rng).is_some()
}

fn new_budget() -> RetryBudget {
    RetryBudget::new(BudgetRules::default(), Time(0))
}

/// Guards against a second run of a request that must run at most once.
#[rstest]
#[case(Repeat::Once, AttemptFailure::NotSent, true)]
#[case(Repeat::Once, AttemptFailure::Refused, true)]
#[case(Repeat::Once, AttemptFailure::Lost, false)]
#[case(Repeat::Once, AttemptFailure::Failed, false)]
#[case(Repeat::Idempotent, AttemptFailure::Lost, true)]
#[case(Repeat::Idempotent, AttemptFailure::Failed, true)]
fn a_request_that_may_have_run_is_retried_only_if_idempotent(
    #[case] repeat: Repeat,
    #[case] failure: AttemptFailure,
    #[case] expected: bool,
) {
    assert_eq!(
        retried(&candidate(repeat, failure), &mut new_budget()),
        expected
    );
}

/// Guards against unlimited attempts, and against giving up after a few refusals while other entry
/// instances take the free slots.
#[rstest]
#[case(AttemptFailure::NotSent, 4)]
#[case(AttemptFailure::Refused, 16)]
fn attempts_of_one_request_are_bounded(#[case] failure: AttemptFailure, #[case] max_attempts: u32) {
    let mut budget = RetryBudget::new(
        BudgetRules {
            floor: 100,
            ..BudgetRules::default()
        },
        Time(0),
    );
    let mut request = candidate(Repeat::Once, failure);
    while retried(&request, &mut budget) {
        request.attempts.record(failure);
    }
    assert_eq!(request.attempts.count, max_attempts);
}

/// Guards against a retry without the whole body, or after the deadline.
#[test]
fn consumed_bodies_and_expired_deadlines_are_not_retried() {
    let base = candidate(Repeat::Idempotent, AttemptFailure::NotSent);
    let consumed = RetryCandidate {
        replayable: false,
        ..base
    };
    let expired = RetryCandidate {
        deadline: Time(1),
        ..base
    };
    assert!(!retried(&consumed, &mut new_budget()));
    assert!(!retried(&expired, &mut new_budget()));
}

/// Guards against the answer "not run" after an earlier attempt that may have run.
#[rstest]
#[case(&[AttemptFailure::Refused, AttemptFailure::NotSent], Execution::NotRun)]
#[case(&[AttemptFailure::Lost, AttemptFailure::Refused], Execution::Unknown)]
#[case(&[AttemptFailure::Failed, AttemptFailure::Lost, AttemptFailure::NotSent], Execution::Failed)]
fn execution_covers_all_attempts(#[case] failures: &[AttemptFailure], #[case] expected: Execution) {
    let mut attempts = Attempts::default();
    for failure in failures {
        attempts.record(*failure);
    }
    assert_eq!(attempts.execution(), expected);
}

/// Guards against an attempt that uses up the time of a request that another minion could still
/// answer, and against giving up early where no further attempt is allowed.
#[rstest]
#[case(Repeat::Idempotent, 1_000, false, 500)]
#[case(Repeat::Idempotent, 120, false, 100)]
#[case(Repeat::Idempotent, 50, false, 50)]
#[case(Repeat::Idempotent, 1_000, true, 1_000)]
#[case(Repeat::Once, 1_000, false, 1_000)]
fn each_attempt_has_its_deadline(
    #[case] repeat: Repeat,
    #[case] remaining: u64,
    #[case] last: bool,
    #[case] expected: u64,
) {
    let deadline = attempt_deadline(repeat, Time(70), Time(70 + remaining), last);
    assert_eq!(deadline, Time(70 + expected));
}

/// Guards against hedging of requests that must not run twice, and against hedging that the
/// settings have not enabled.
#[rstest]
#[case(Repeat::Once, true, None)]
#[case(Repeat::Idempotent, false, None)]
#[case(Repeat::Idempotent, true, Some(20))]
fn only_idempotent_requests_are_hedged(
    #[case] repeat: Repeat,
    #[case] enabled: bool,
    #[case] expected: Option<u64>,
) {
    assert_eq!(hedge_after(repeat, enabled, 20, 100), expected);
}

/// Guards against two attempts with the same id, of which a minion would refuse the second.
#[test]
fn attempt_ids_differ() {
    let [first, second] = [1, 2].map(|sequence| RequestId {
        incarnation: Incarnation(0xab),
        sequence,
    });
    let texts = [first.attempt(1), first.attempt(2), second.attempt(1)].map(|a| a.to_string());
    assert_eq!(
        texts,
        [
            "00000000000000ab-1.1",
            "00000000000000ab-1.2",
            "00000000000000ab-2.1"
        ]
    );
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(12),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against retries that multiply an overload.
    #[test]
    fn retries_stay_within_the_budget(
        steps in prop::collection::vec((any::<bool>(), 0_u64..50), 1..2_000),
    ) {
        let (mut budget, mut now) = (new_budget(), Time(0));
        let (mut requests, mut retries) = (0, 0);
        for (request, ms) in steps {
            now = now + ms;
            if request {
                requests += 1;
                budget.deposit();
            } else {
                retries += u64::from(budget.withdraw(now));
            }
            prop_assert!(retries <= requests / 10 + 3 + now.0 * 3 / 1_000);
        }
    }

    /// Guards against a guaranteed rate that is lost to rounding when retries are frequent.
    #[test]
    fn the_guaranteed_rate_holds_without_requests(gap in 1_u64..40) {
        let mut budget = new_budget();
        let granted = (0..10_000 / gap).filter(|i| budget.withdraw(Time(i * gap))).count();
        prop_assert!((29..=33).contains(&granted), "{granted} retries in 10 s");
    }

    /// Guards against delays that leave the range of the jitter or grow without limit.
    #[test]
    fn delays_grow_up_to_the_cap(attempts in 1_u32..64, seed in any::<u64>()) {
        let backoff = Backoff::default();
        let delay = backoff.delay(attempts, &mut SmallRng::seed_from_u64(seed));
        let bound = (backoff.base << (attempts - 1).min(20)).min(backoff.cap);
        prop_assert!((bound / 2..=bound).contains(&delay));
    }
}
