//! Changes of documents, peers and instances in the simulated network.

use std::collections::BTreeMap;
use std::sync::Arc;

use balance::event::ShardEvent;
use conf::Document;
use wire::token::TargetId;

use crate::fixture;
use crate::shard_network::{Condition, ShardNetwork};

impl ShardNetwork {
    /// Changes the document and activates it at all running instances at once.
    pub fn publish(&mut self, change: impl FnOnce(&mut Document)) {
        self.change_document(change);
        for index in self.running() {
            self.activate_document(index);
        }
    }

    /// Changes the document without activating it at any instance.
    pub fn change_document(&mut self, change: impl FnOnce(&mut Document)) {
        let mut document = (*self.document).clone();
        change(&mut document);
        document.version.0 += 1;
        self.document = Arc::new(document);
        self.start_targets();
    }

    /// Activates the newest document at one instance, which adds a target set for each changed
    /// service. A target set retires once its successor is as old as the idle timeout.
    pub fn activate_document(&mut self, index: usize) {
        let (now, document) = (self.now, Arc::clone(&self.document));
        let idle_timeout_ms = self.settings.flow.idle_timeout_ms;
        let view = &mut self.instances[index].view;
        let counts: BTreeMap<_, _> = view
            .targets
            .iter()
            .map(|(target, known)| (*target, known.peers_flows))
            .collect();
        view.targets = fixture::target_views(&document);
        for (target, known) in &mut view.targets {
            known.peers_flows = counts.get(target).copied().unwrap_or_default();
        }
        for (name, service) in &document.services {
            let set = fixture::target_set(name, service, now);
            let sets = view.target_sets.entry(name.clone()).or_default();
            if sets
                .last()
                .is_none_or(|last| last.candidates != set.candidates)
            {
                sets.push(Arc::new(set));
            }
            while sets.len() > 8
                || sets
                    .get(1)
                    .is_some_and(|set| now.since(set.since) >= idle_timeout_ms)
            {
                sets.remove(0);
            }
        }
        view.document = document;
        self.publish_view(index);
    }

    /// Replaces the peers in the view of an instance by starting a new epoch.
    pub fn set_peers(&mut self, index: usize, peers: &[usize]) {
        let view = &mut self.instances[index].view;
        let Some(mut epoch) = view.epochs.last().cloned() else {
            return;
        };
        epoch.since = self.now;
        epoch.peers = peers.iter().map(|&peer| fixture::peer(peer)).collect();
        epoch.peers.sort_by(|a, b| a.name.cmp(&b.name));
        view.epochs.push(epoch);
        self.publish_view(index);
    }

    /// Gives each running instance the flow counts that the others reported, as heartbeats do.
    pub fn exchange_flow_counts(&mut self) {
        let running = self.running();
        let mut totals: BTreeMap<TargetId, u32> = BTreeMap::new();
        for &index in &running {
            for (target, count) in &self.instances[index].flows {
                *totals.entry(*target).or_default() += count;
            }
        }
        for index in running {
            let instance = &mut self.instances[index];
            for (target, known) in &mut instance.view.targets {
                let total = totals.get(target).copied().unwrap_or_default();
                let own = instance.flows.get(target).copied().unwrap_or_default();
                known.peers_flows = total - own;
            }
            self.publish_view(index);
        }
    }

    /// Sets the peers of all running instances to exactly the running instances.
    pub fn refresh_peers(&mut self) {
        let running = self.running();
        for &index in &running {
            self.set_peers(index, &running);
        }
    }

    /// Starts one more instance, which knows only the newest document. Its peers learn of it at the
    /// next call of [`Self::refresh_peers`].
    pub fn add_instance(&mut self) -> usize {
        let index = self.instances.len();
        let mut view = fixture::view(&self.fleet, &self.document, index);
        let mut peers = self.running();
        peers.push(index);
        for epoch in &mut view.epochs {
            epoch.since = self.now;
            epoch.peers = peers.iter().map(|&peer| fixture::peer(peer)).collect();
            epoch.peers.sort_by(|a, b| a.name.cmp(&b.name));
        }
        self.start(view);
        index
    }

    /// Stops an instance without notice.
    pub fn kill(&mut self, index: usize) {
        self.instances[index].condition = Condition::Dead;
    }

    /// Pauses an instance. Messages to it wait until it resumes.
    pub fn pause(&mut self, index: usize) {
        self.instances[index].condition = Condition::Paused;
    }

    /// Resumes a paused instance, which gets the waiting messages with its old view and without a
    /// lease.
    pub fn resume(&mut self, index: usize) {
        self.instances[index].condition = Condition::Running;
        self.instances[index].view.may_own = false;
        self.publish_view(index);
        for message in std::mem::take(&mut self.instances[index].backlog) {
            self.deliver(message);
        }
    }

    /// Starts the graceful stop of an instance.
    pub fn stop(&mut self, index: usize) {
        self.handle_event(index, ShardEvent::Stop);
    }
}
