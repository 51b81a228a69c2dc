//! Maps tokens to targets, also if several targets have the same token.
//!
//! A token has 32 bits, so among many targets some have the same primary token. Such targets are
//! told apart as follows:
//!
//! - New flows of all of them get a substitute token, which no other known target has. It identifies
//!   its target also on instances that do not know the others.
//! - The primary token identifies the target that started first. It had flows before the others
//!   joined, and no instance that knows the others gives the token to further flows. Once it has
//!   left, the token identifies the next one, as it does on instances that started later and do not
//!   know the one that left.
//!
//! Both depend only on the known targets, not on the order in which they were learned.

use hashbrown::HashMap;
use ids::hash_of;

use crate::model::TargetId;
use crate::packet::Token;
use crate::view::TargetRecord;

/// Seed that separates the hash for substitute tokens from other uses of the hash.
const SUBSTITUTE_SEED: u64 = 0x706f_6c6c_7375_6273;

/// Number of substitute tokens of a target. Two targets with equal primary tokens have all of them in
/// common with a probability of 1 in 250,000.
const SUBSTITUTES: u32 = 3;

/// A substitute differs from the primary token by one of this many masks, so that the target of a
/// substitute is found by trying all masks, without an index of all substitutes.
const MASKS: u32 = 63;

/// Number of bits between the masks of consecutive substitutes.
const MASK_BITS: u32 = 8;

/// Order in which targets with the same primary token take it; the lowest comes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Seniority {
    incarnation: u64,
    id: TargetId,
}

impl Seniority {
    pub(crate) fn of(record: &TargetRecord) -> Self {
        Self {
            incarnation: record.target.incarnation,
            id: record.target.id,
        }
    }
}

/// The tokens of all known targets.
#[derive(Debug, Default)]
pub(crate) struct TokenTable {
    /// Target that started first of those with each primary token.
    holders: HashMap<Token, TargetId>,
    /// Targets with the same primary token, by that token and in their order, if there are several.
    groups: HashMap<Token, Vec<TargetId>>,
    /// Token for new flows of each target in `groups`, if it has one of its own.
    written: HashMap<TargetId, Token>,
    /// Target that each substitute token of the targets in `groups` identifies.
    substitutes: HashMap<Token, TargetId>,
    /// Whether `groups` or the seniority of a target in it has changed.
    is_stale: bool,
}

impl TokenTable {
    /// Adds a target. Call [`Self::refresh`] after a batch of changes.
    pub(crate) fn insert(&mut self, id: TargetId) {
        let token = id.token();
        // A substitute in use may be the primary token of the new target.
        self.is_stale |= self.substitutes.contains_key(&token);
        let holder = *self.holders.entry(token).or_insert(id);
        if holder == id {
            return;
        }
        let group = self.groups.entry(token).or_insert_with(|| vec![holder]);
        if !group.contains(&id) {
            group.push(id);
        }
        self.is_stale = true;
    }

    /// Removes a target. Call [`Self::refresh`] after a batch of changes.
    pub(crate) fn remove(&mut self, id: TargetId) {
        let token = id.token();
        let Some(group) = self.groups.get_mut(&token) else {
            self.holders.remove(&token);
            return;
        };
        self.is_stale = true;
        group.retain(|other| *other != id);
        if let [remaining] = group.as_slice() {
            self.holders.insert(token, *remaining);
            self.groups.remove(&token);
        }
    }

    /// Notes that the seniority of a target may have changed. Call [`Self::refresh`] after a batch of
    /// changes.
    pub(crate) fn update(&mut self, id: TargetId) {
        self.is_stale |= self.is_shared(id.token());
    }

    /// Assigns the tokens of targets with equal primary tokens, if any of them has changed.
    pub(crate) fn refresh(&mut self, seniority: impl Fn(TargetId) -> Option<Seniority>) {
        if !std::mem::take(&mut self.is_stale) {
            return;
        }
        self.written.clear();
        self.substitutes.clear();
        let mut members: Vec<TargetId> = Vec::new();
        for (token, group) in &mut self.groups {
            group.sort_unstable_by_key(|id| seniority(*id));
            if let Some(first) = group.first() {
                self.holders.insert(*token, *first);
            }
            members.extend_from_slice(group);
        }
        members.sort_unstable_by_key(|id| seniority(*id));
        let mut claims: HashMap<Token, u32> = HashMap::new();
        for id in &members {
            for token in substitutes_of(*id) {
                *claims.entry(token).or_default() += 1;
                self.substitutes.entry(token).or_insert(*id);
            }
        }
        for id in members {
            let is_free = |token: &Token| {
                *token != Token(0)
                    && !self.holders.contains_key(token)
                    && claims.get(token) == Some(&1)
            };
            if let Some(token) = substitutes_of(id).find(is_free) {
                self.written.insert(id, token);
            }
        }
    }

    /// Returns the target that a token identifies, given which targets have left.
    pub(crate) fn target(
        &self,
        token: Token,
        has_left: impl Fn(TargetId) -> bool,
    ) -> Option<TargetId> {
        if self.is_shared(token)
            && let Some(group) = self.groups.get(&token)
            && let Some(id) = group.iter().find(|id| !has_left(**id))
        {
            return Some(*id);
        }
        if let Some(id) = self.holders.get(&token) {
            return Some(*id);
        }
        if let Some(id) = self.substitutes.get(&token) {
            return Some(*id);
        }
        self.target_of_substitute(token)
    }

    /// Returns the target with this substitute token. It got the token on an instance that knows
    /// another target with the same primary token.
    fn target_of_substitute(&self, token: Token) -> Option<TargetId> {
        let masks = (0..SUBSTITUTES).flat_map(|index| (1..=MASKS).map(move |mask| (index, mask)));
        masks
            .filter_map(|(index, mask)| {
                let primary = Token(token.0 ^ mask << (index * MASK_BITS));
                self.holders.get(&primary).map(|id| (index, *id))
            })
            .find(|(index, id)| substitute(*id, *index) == token)
            .map(|(_, id)| id)
    }

    /// Returns the token for new flows of a target.
    pub(crate) fn token_of(&self, id: TargetId) -> Token {
        if self.written.is_empty() {
            return id.token();
        }
        self.written.get(&id).copied().unwrap_or(id.token())
    }

    /// Returns whether the token for new flows of a known target identifies it, given which targets
    /// have left.
    pub(crate) fn is_usable(&self, id: TargetId, has_left: impl Fn(TargetId) -> bool) -> bool {
        self.groups.is_empty()
            || self.written.contains_key(&id)
            || self.target(id.token(), has_left) == Some(id)
    }

    /// Returns whether several known targets have this primary token.
    pub(crate) fn is_shared(&self, token: Token) -> bool {
        !self.groups.is_empty() && self.groups.contains_key(&token)
    }
}

fn substitute(id: TargetId, index: u32) -> Token {
    let hash = hash_of(SUBSTITUTE_SEED, &id.0.to_be_bytes());
    let mask = (hash >> (16 * index)) as u32 % MASKS + 1;
    Token(id.token().0 ^ mask << (index * MASK_BITS))
}

fn substitutes_of(id: TargetId) -> impl Iterator<Item = Token> {
    (0..SUBSTITUTES).map(move |index| substitute(id, index))
}
