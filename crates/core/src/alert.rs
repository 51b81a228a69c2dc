//! Evaluation of alert rules, see docs/control.md.
//!
//! Every instance evaluates all rules on its own metrics and advertises to its peers which of them
//! hold. One live instance per failure domain notifies when a rule holds at any instance there.

use conf::model::{AlertRule, Comparison};
use ids::{Micros, hash_of, hash_pair};
use smol_str::SmolStr;
use wire::peer::AlertStates;

use crate::event::{ControlAction, ControlLogEvent};
use crate::membership::{Assignee, Membership};

const RULE_SEED: u64 = 0x616c_6572_7400_0001;

#[derive(Debug)]
struct Rule {
    declared: AlertRule,
    /// Hash of the rule's text, by which the notifying instance is chosen.
    task_hash: u64,
    value: Option<f64>,
    /// Since when the condition has been met.
    met_since: Option<Micros>,
    /// Whether the rule was notified as firing and has not been resolved since.
    is_notified: bool,
}

/// The alert rules of the active document.
#[derive(Debug, Default)]
pub(crate) struct Alerts {
    rules: Vec<Rule>,
    /// Hash of all rules; bits that a peer reports for other rules are ignored.
    rules_hash: u64,
}

impl Alerts {
    /// Applies the rules of a new document; an unchanged rule keeps its state.
    pub(crate) fn on_document(&mut self, declared: &[AlertRule]) {
        let mut old_rules = std::mem::take(&mut self.rules);
        self.rules_hash = RULE_SEED;
        for rule in declared {
            let task_hash = hash_of(RULE_SEED, rule.text.as_bytes());
            self.rules_hash = hash_pair(self.rules_hash, task_hash);
            let old_index = old_rules.iter().position(|old| old.declared == *rule);
            self.rules.push(match old_index {
                Some(index) => old_rules.swap_remove(index),
                None => Rule {
                    declared: rule.clone(),
                    task_hash,
                    value: None,
                    met_since: None,
                    is_notified: false,
                },
            });
        }
    }

    /// Updates the metric values; a condition on a missing metric is not met.
    pub(crate) fn on_metrics(&mut self, metrics: &[(SmolStr, f64)]) {
        for rule in &mut self.rules {
            rule.value = metrics
                .iter()
                .find(|(name, _)| *name == rule.declared.metric)
                .map(|&(_, value)| value);
        }
    }

    /// Evaluates all rules and notifies of changes of those that are assigned to this instance.
    pub(crate) fn evaluate(
        &mut self,
        now: Micros,
        membership: &Membership,
        out: &mut Vec<ControlAction>,
    ) {
        for (index, rule) in self.rules.iter_mut().enumerate() {
            rule.met_since = match rule.is_met() {
                true => rule.met_since.or(Some(now)),
                false => None,
            };
            match membership.assignee_of(rule.task_hash) {
                Assignee::Unassigned => {}
                Assignee::Peer(peer) => {
                    // Copies what the assigned peer has notified, in case this instance takes over.
                    let states = peer
                        .alerts
                        .as_ref()
                        .filter(|states| states.rules_hash == self.rules_hash);
                    rule.is_notified = states.map_or(rule.is_notified, |states| {
                        is_bit_set(&states.notified, index)
                    });
                }
                Assignee::ThisInstance => {
                    let holds_here = rule.is_holding(now);
                    let holds = holds_here
                        .then_some(true)
                        .or_else(|| holds_at_domain_peers(membership, self.rules_hash, index));
                    if let Some(holds) = holds
                        && holds != rule.is_notified
                    {
                        rule.is_notified = holds;
                        out.push(ControlAction::Log(ControlLogEvent::AlertChanged {
                            rule: rule.declared.text.to_string(),
                            is_firing: holds,
                            notify: rule
                                .declared
                                .receivers
                                .iter()
                                .map(SmolStr::to_string)
                                .collect(),
                        }));
                    }
                }
            }
        }
    }

    /// Returns the state of the rules for heartbeats.
    pub(crate) fn bits(&self, now: Micros) -> Option<AlertStates> {
        (!self.rules.is_empty()).then(|| AlertStates {
            rules_hash: self.rules_hash,
            holding: pack_bits(self.rules.iter().map(|rule| rule.is_holding(now))),
            notified: pack_bits(self.rules.iter().map(|rule| rule.is_notified)),
        })
    }
}

impl Rule {
    fn is_met(&self) -> bool {
        self.value
            .is_some_and(|value| match self.declared.comparison {
                Comparison::Above => value > self.declared.threshold,
                Comparison::Below => value < self.declared.threshold,
            })
    }

    fn is_holding(&self, now: Micros) -> bool {
        self.met_since
            .is_some_and(|since| now.since(since) >= self.declared.hold_ms)
    }
}

/// Returns whether a rule holds at a live peer in this failure domain, or `None` if that is unknown
/// because it holds at no peer with the same rules, but some peer still has other rules.
fn holds_at_domain_peers(membership: &Membership, rules: u64, index: usize) -> Option<bool> {
    let mut has_same_rules_everywhere = true;
    for peer in membership.live_domain_peers() {
        match peer
            .alerts
            .as_ref()
            .filter(|states| states.rules_hash == rules)
        {
            Some(bits) if is_bit_set(&bits.holding, index) => return Some(true),
            Some(_) => {}
            None => has_same_rules_everywhere = false,
        }
    }
    has_same_rules_everywhere.then_some(false)
}

/// Packs bits into bytes and omits trailing zero bytes.
fn pack_bits(bits: impl Iterator<Item = bool>) -> Vec<u8> {
    let mut bytes = Vec::new();
    for (index, _) in bits.enumerate().filter(|&(_, bit)| bit) {
        bytes.resize(bytes.len().max(index / 8 + 1), 0);
        bytes[index / 8] |= 1 << (index % 8);
    }
    bytes
}

fn is_bit_set(bytes: &[u8], index: usize) -> bool {
    bytes
        .get(index / 8)
        .is_some_and(|byte| byte >> (index % 8) & 1 == 1)
}
