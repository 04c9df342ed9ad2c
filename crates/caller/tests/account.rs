//! Who is evicted when callers hold all that they may.

use std::rc::Rc;
use std::time::Duration;

use eelgrasspier_caller::{CallerAccount, OpenConnection, Phase};
use eelgrasspier_decide::caller_budget::CallerBudget;
use futures_util::FutureExt;

const LARGE_ANSWER_BYTES: usize = 100_000;

fn account(max_connections: usize) -> Rc<CallerAccount> {
    let budget = CallerBudget {
        max_bytes: 1 << 30,
        max_unread_bytes: 2 * LARGE_ANSWER_BYTES,
        max_connections,
    };
    CallerAccount::new(budget)
}

fn is_closed(open: &OpenConnection) -> bool {
    open.connection().wait_closed().now_or_never().is_some()
}

fn answer(open: &OpenConnection) {
    open.connection().set_phase(Phase::Service);
    open.connection().set_phase(Phase::Answer);
    open.connection().record_answer(LARGE_ANSWER_BYTES);
}

#[test]
fn budget_follows_from_the_machine() {
    let small = CallerBudget::of_machine(112_000_000, 2_870);
    let expected =
        CallerBudget { max_bytes: 22_400_000, max_unread_bytes: 7_000_000, max_connections: 1_335 };
    assert_eq!(small, expected);
    assert!(CallerBudget::of_machine(0, 0).max_connections > 0);
}

/// A new connection must not be closed in place of one that has been idle.
#[tokio::test(start_paused = true)]
async fn connection_that_waits_longest_is_closed_first() {
    let account = account(2);
    let idle = account.open();
    tokio::time::advance(Duration::from_secs(1)).await;
    let served = account.open();
    served.connection().set_phase(Phase::Service);
    tokio::time::advance(Duration::from_secs(1)).await;
    let new = account.open();
    assert!(account.settle().now_or_never().is_none());
    assert!(is_closed(&idle));
    assert!(!is_closed(&served) && !is_closed(&new));
    drop(idle);
    assert!(account.settle().now_or_never().is_some());
}

/// Answers to pipelined requests must not stay counted once they are written.
#[tokio::test(start_paused = true)]
async fn written_answers_make_room_for_others() {
    let account = account(10);
    let pipelining = account.open();
    answer(&pipelining);
    answer(&pipelining);
    pipelining.connection().set_phase(Phase::Head);
    let others = [account.open(), account.open()];
    others.iter().for_each(answer);
    assert!(!others.iter().any(is_closed));
}

/// A caller that doesn't read its answer must not keep the memory for the answers of others.
#[tokio::test(start_paused = true)]
async fn unread_answer_is_given_up_for_others() {
    let account = account(10);
    let unread = account.open();
    answer(&unread);
    tokio::time::advance(Duration::from_secs(1)).await;
    let others = [account.open(), account.open()];
    others.iter().for_each(answer);
    assert!(is_closed(&unread));
    assert!(!others.iter().any(is_closed));
}
