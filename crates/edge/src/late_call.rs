//! Calls that are repeated when their time-out has passed, and may be answered nevertheless.

use std::collections::VecDeque;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use sync_wrapper::SyncWrapper;

type PendingCall<T, E> = Pin<Box<dyn Future<Output = Result<T, E>> + Send>>;

/// Number of calls that are kept after their time-outs. Their connections count towards the limit on
/// descriptors.
const MAX_PENDING: usize = 4;

/// Keeps the last calls whose time-outs have passed, and takes their answers while they are repeated.
///
/// A lost call has to be repeated soon. If only the answers are slow, each of them would come after
/// the time-out, however often the call is repeated; see [store
/// timing](../../../docs/design/store-timing.md).
pub struct LateCall<T, E> {
    /// The calls, oldest first.
    pending: VecDeque<SyncWrapper<PendingCall<T, E>>>,
}

/// The answer to a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Answer<T> {
    /// It came before the time-out.
    InTime(T),
    /// It answers an earlier call, and may be older than this one.
    Late(T),
}

/// Why there is no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallFailure<E> {
    /// The time-out has passed. The answer may still come.
    TimedOut,
    /// The call failed.
    Failed(E),
}

impl<T, E> Default for LateCall<T, E> {
    fn default() -> Self {
        Self {
            pending: VecDeque::new(),
        }
    }
}

impl<T, E> std::fmt::Debug for LateCall<T, E> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("LateCall")
            .field("pending", &self.pending.len())
            .finish()
    }
}

impl<T, E> LateCall<T, E> {
    /// Makes a call, and returns its answer or that of an earlier one, whichever comes first.
    pub async fn run(
        &mut self,
        call: impl Future<Output = Result<T, E>> + Send + 'static,
        limit: Duration,
    ) -> Result<Answer<T>, CallFailure<E>> {
        let mut call: PendingCall<T, E> = Box::pin(call);
        let timeout = tokio::time::sleep(limit);
        tokio::pin!(timeout);
        tokio::select! {
            biased;
            result = &mut call => {
                let value = result.map_err(CallFailure::Failed)?;
                self.pending.clear();
                Ok(Answer::InTime(value))
            }
            value = std::future::poll_fn(|context| self.poll_pending(context)) => {
                self.pending.clear();
                Ok(Answer::Late(value))
            }
            () = &mut timeout => {
                if self.pending.len() == MAX_PENDING {
                    self.pending.pop_front();
                }
                self.pending.push_back(SyncWrapper::new(call));
                Err(CallFailure::TimedOut)
            }
        }
    }

    /// Returns the first answer to an earlier call, and forgets calls that have failed.
    fn poll_pending(&mut self, context: &mut Context<'_>) -> Poll<T> {
        let mut answer = Poll::Pending;
        self.pending.retain_mut(|call| {
            if answer.is_ready() {
                return true;
            }
            match call.get_mut().as_mut().poll(context) {
                Poll::Pending => true,
                Poll::Ready(result) => {
                    if let Ok(value) = result {
                        answer = Poll::Ready(value);
                    }
                    false
                }
            }
        });
        answer
    }

    /// Gives up the earlier calls, because their answers would no longer be of use.
    pub fn abandon(&mut self) {
        self.pending.clear();
    }
}

impl<T> Answer<T> {
    /// Returns the answer and whether it came late.
    pub fn into_parts(self) -> (T, bool) {
        match self {
            Self::InTime(value) => (value, false),
            Self::Late(value) => (value, true),
        }
    }
}
