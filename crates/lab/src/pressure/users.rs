//! Users, who have an address and may keep a flow open from one request to the next.

use rand::Rng;

use super::model::Model;
use super::scenario::Stream;

/// Number of users that are looked at for one without a pending request, before a new one is added.
const USER_PROBES: usize = 8;

/// A user who sends one request after the other.
#[derive(Debug, Clone)]
pub struct User {
    pub domain: usize,
    pub caller: usize,
    /// The flow kept open.
    pub flow: Option<usize>,
    /// Whether a request is pending.
    pub is_busy: bool,
}

impl Model<'_> {
    /// Returns a new user of a stream, whose address is that of a random caller.
    pub(super) fn new_user(&mut self, stream: &Stream) -> User {
        let shares = &self.scenario.domain_shares;
        let mut point = self.random.random_range(0.0..shares.iter().sum());
        let drawn = shares.iter().position(|share| {
            point -= share;
            point < 0.0
        });
        // The address after those of all others belongs to the stream of one caller.
        let caller = match stream.is_one_caller {
            true => self.scenario.callers,
            false => self.random.random_range(0..self.scenario.callers),
        };
        User {
            domain: stream.domain.or(drawn).unwrap_or(0),
            caller,
            flow: None,
            is_busy: false,
        }
    }

    /// Returns a user without a pending request, who is busy from now on.
    pub(super) fn idle_user(&mut self, stream: usize) -> usize {
        let count = self.users[stream].len();
        let probes = if count == 0 { 0 } else { USER_PROBES };
        for _ in 0..probes {
            let user = self.random.random_range(0..count);
            if !std::mem::replace(&mut self.users[stream][user].is_busy, true) {
                return user;
            }
        }
        let mut user = self.new_user(&self.scenario.streams[stream]);
        user.is_busy = true;
        self.users[stream].push(user);
        count
    }

    pub(super) fn user_of(&mut self, request: usize) -> Option<&mut User> {
        let request = &self.requests[request];
        Some(&mut self.users[request.stream][request.user?])
    }
}
