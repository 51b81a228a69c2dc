//! Tests which answer is taken if a call is repeated before it is answered.

use std::future::{pending, ready};
use std::time::Duration;

use edge::late_call::{Answer, CallFailure, LateCall};
use tokio::sync::oneshot;

macro_rules! cases {
    ($($name:ident => $body:block)*) => {$(
        #[tokio::test]
        async fn $name() $body
    )*};
}

const SHORT: Duration = Duration::from_millis(1);
const LONG: Duration = Duration::from_secs(60);

type Call = LateCall<u32, &'static str>;
type Failure = CallFailure<&'static str>;

/// Makes a call that is not answered before its time-out. Returns the sender of its answer.
async fn time_out(calls: &mut Call) -> oneshot::Sender<Result<u32, &'static str>> {
    let (sender, receiver) = oneshot::channel();
    let call = async move { receiver.await.unwrap_or(Err("dropped")) };
    assert_eq!(calls.run(call, SHORT).await, Err(Failure::TimedOut));
    sender
}

cases! {
    // Guards against a store whose every answer comes after the time-out, so that none arrives.
    answer_after_the_time_out_is_taken => {
        let mut calls = Call::default();
        let first = time_out(&mut calls).await;
        assert_eq!(first.send(Ok(1)), Ok(()));
        assert_eq!(calls.run(pending(), LONG).await, Ok(Answer::Late(1)));
    }

    // Guards against a lost call that delays the answer to its repetition.
    repeated_call_is_answered_in_time => {
        let mut calls = Call::default();
        let first = time_out(&mut calls).await;
        assert_eq!(calls.run(ready(Ok(2)), LONG).await, Ok(Answer::InTime(2)));
        assert!(first.is_closed());
    }

    // Guards against an old call that fails and with it the repeated one.
    failure_of_the_earlier_call_is_ignored => {
        let mut calls = Call::default();
        let first = time_out(&mut calls).await;
        assert_eq!(first.send(Err("reset")), Ok(()));
        let second = async {
            tokio::time::sleep(SHORT).await;
            Ok(2)
        };
        assert_eq!(calls.run(second, LONG).await, Ok(Answer::InTime(2)));
    }

    // Guards against a store whose answers take longer than several time-outs.
    answer_to_an_earlier_call_is_taken => {
        let mut calls = Call::default();
        let first = time_out(&mut calls).await;
        let _second = time_out(&mut calls).await;
        assert_eq!(first.send(Ok(1)), Ok(()));
        assert_eq!(calls.run(pending(), LONG).await, Ok(Answer::Late(1)));
    }

    // Guards against calls that pile up while the store answers none.
    only_the_last_calls_are_kept => {
        let mut calls = Call::default();
        let first = time_out(&mut calls).await;
        let mut others = Vec::new();
        for _ in 0..4 {
            assert!(!first.is_closed());
            others.push(time_out(&mut calls).await);
        }
        assert!(first.is_closed());
        assert!(others.iter().all(|other| !other.is_closed()));
        calls.abandon();
        assert!(others.iter().all(oneshot::Sender::is_closed));
    }

    failed_call_is_no_time_out => {
        let mut calls = Call::default();
        let result = calls.run(ready(Err("refused")), LONG).await;
        assert_eq!(result, Err(Failure::Failed("refused")));
    }
}
