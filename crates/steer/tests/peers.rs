//! Tests the selection of the instance that reads the store for its failure domain.

use std::net::SocketAddr;

use ids::{Micros, Millis};
use steer::{Peer, PeerReport, Peers};

const NOW: Micros = Micros(1_000_000);

fn peer(last: u8, domain: &str, link_kbps: u64) -> Peer {
    Peer {
        address: SocketAddr::from(([10, 1, 0, last], 8_166)),
        domain: domain.into(),
        link_kbps,
    }
}

fn report(peer: &Peer, has_view: bool) -> PeerReport {
    PeerReport {
        peer: peer.clone(),
        heard_age: Millis(0),
        has_view,
    }
}

fn peers_of(own: u8, others: &[Peer]) -> Peers {
    let mut peers = Peers::new(peer(own, "a", 10_000));
    for other in others {
        peers.learn(NOW, report(other, false));
    }
    peers
}

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident => $body:block)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() $body
    )*};
}

cases! {
    instance_without_peers_reads_the_store => {
        assert_eq!(peers_of(1, &[]).upstream(NOW), None);
    }

    exactly_one_instance_of_a_domain_reads_the_store => {
        let all: Vec<Peer> = (1..=20).map(|last| peer(last, "a", 10_000)).collect();
        let upstreams: Vec<_> = (1..=20).map(|own| peers_of(own, &all).upstream(NOW)).collect();
        assert_eq!(upstreams.iter().filter(|upstream| upstream.is_none()).count(), 1);
        let followed: std::collections::BTreeSet<_> = upstreams.iter().flatten().collect();
        assert_eq!(followed.len(), 1);
    }

    // Guards against roots that know no instance of a domain without seeds, and so never its load.
    callers_learn_a_few_peers_of_each_third_domain => {
        let others: Vec<Peer> = (2..=9)
            .map(|last| peer(last, ["b", "c"][usize::from(last % 2)], 10_000 * u64::from(last)))
            .collect();
        let peers = peers_of(1, &others);
        let third = peers.best_of_third_domains(NOW, "b");
        let third: Vec<_> = third.iter().map(|known| (known.peer.domain.as_str(), known.peer.link_kbps)).collect();
        assert_eq!(third, [("c", 90_000), ("c", 70_000)]);
        assert_eq!(peers.best_of_third_domains(NOW, "a").len(), 4);
        let domains = peers.other_domains();
        assert_eq!(domains.iter().map(|(_, known)| known.len()).collect::<Vec<_>>(), [4, 4]);
    }

    peers_with_fast_links_are_preferred => {
        let wide = peer(9, "a", 200_000);
        let mut others: Vec<Peer> = (2..=8).map(|last| peer(last, "a", 10_000)).collect();
        others.push(wide.clone());
        assert_eq!(peers_of(1, &others).upstream(NOW), Some(wide.address));
    }

    other_domains_are_not_followed => {
        assert_eq!(peers_of(1, &[peer(2, "b", 200_000)]).upstream(NOW), None);
    }

    followers_spread_over_the_next_fastest_links_when_the_best_peer_is_full => {
        let best = peer(200, "a", 400_000);
        let wide: Vec<Peer> = (201..=204).map(|last| peer(last, "a", 200_000)).collect();
        let narrow: Vec<Peer> = (1..=40).map(|last| peer(last, "a", 10_000)).collect();
        let mut chosen = std::collections::BTreeMap::new();
        for own in &narrow {
            let mut peers = Peers::new(own.clone());
            for other in wide.iter().chain(&narrow).chain([&best]) {
                peers.learn(NOW, report(other, false));
            }
            assert_eq!(peers.upstream(NOW), Some(best.address));
            peers.mark_full(NOW, best.address);
            let upstream = peers.upstream(NOW).unwrap();
            assert!(wide.iter().any(|peer| peer.address == upstream));
            *chosen.entry(upstream).or_insert(0) += 1;
            // The choice does not depend on which other peers are full.
            for other in wide.iter().filter(|other| other.address != upstream) {
                peers.mark_full(NOW, other.address);
                assert_eq!(peers.upstream(NOW), Some(upstream));
            }
        }
        assert!(chosen.len() == 4 && chosen.values().all(|count| *count <= 20), "{chosen:?}");
    }

    callers_of_other_domains_get_few_peers => {
        let near: Vec<Peer> = (2..=60).map(|last| peer(last, "a", 10_000)).collect();
        let far: Vec<Peer> = (61..=120).map(|last| peer(last, "b", 10_000)).collect();
        let peers = peers_of(1, &[near, far].concat());
        assert_eq!(peers.best_of_domain(NOW, "a").len(), 32);
        assert_eq!(peers.best_of_domain(NOW, "b").len(), 4);
    }

    instance_reads_the_store_when_all_peers_are_full => {
        let wide = peer(9, "a", 200_000);
        let mut peers = peers_of(1, std::slice::from_ref(&wide));
        peers.mark_full(NOW, wide.address);
        assert_eq!(peers.upstream(NOW), None);
    }

    suspended_peer_is_not_followed_for_a_while => {
        let wide = peer(9, "a", 200_000);
        let mut peers = peers_of(1, std::slice::from_ref(&wide));
        peers.suspend(NOW, wide.address);
        assert_eq!(peers.upstream(NOW), None);
        assert_eq!(peers.upstream(NOW + Millis(3_000)), Some(wide.address));
    }

    peer_that_is_not_heard_from_expires => {
        let mut peers = peers_of(1, &[peer(9, "a", 200_000)]);
        peers.expire(NOW + Millis(20_001));
        assert_eq!(peers.upstream(NOW + Millis(20_001)), None);
    }

    fallback_is_any_peer_but_preferably_of_the_same_domain => {
        let far = peer(2, "b", 200_000);
        let near = peer(3, "a", 10_000);
        assert_eq!(peers_of(1, std::slice::from_ref(&far)).fallback(NOW), Some(far.address));
        assert_eq!(peers_of(1, &[far, near.clone()]).fallback(NOW), Some(near.address));
    }

    /// Guards against an instance that asks its equals, which have just started as well, while another
    /// one has a view.
    fallback_has_a_view_if_any_peer_has_one => {
        let near = peer(3, "a", 10_000);
        let holder = peer(2, "b", 10_000);
        let mut peers = peers_of(1, &[near, holder.clone()]);
        assert!(!peers.knows_view_holder(NOW));
        peers.learn(NOW, report(&holder, true));
        assert_eq!(peers.fallback(NOW), Some(holder.address));
        assert_eq!(peers.view_holders(NOW), [report(&holder, true)]);
    }

    /// Guards against old information about a peer that has started again without a view.
    latest_information_about_a_view_counts => {
        let near = peer(3, "a", 10_000);
        let restarted = peer(2, "b", 10_000);
        let mut peers = peers_of(1, &[near.clone(), restarted.clone()]);
        peers.learn(NOW, PeerReport { heard_age: Millis(500), ..report(&restarted, true) });
        assert_eq!(peers.fallback(NOW), Some(near.address));
    }

    /// Guards against the pause after a peer had no view keeping it out once it has one.
    suspended_peer_is_asked_once_it_has_a_view => {
        let holder = peer(2, "b", 10_000);
        let mut peers = peers_of(1, std::slice::from_ref(&holder));
        peers.suspend(NOW, holder.address);
        let later = NOW + Millis(400);
        assert_eq!(peers.fallback(later), None);
        let before = PeerReport { heard_age: Millis(500), ..report(&holder, true) };
        peers.learn(later, before);
        assert_eq!(peers.fallback(later), None);
        peers.learn(later, report(&holder, true));
        assert_eq!(peers.fallback(later), Some(holder.address));
    }

    /// Guards against a peer with a view that is asked again at once after it failed.
    suspended_peer_with_a_view_stays_suspended => {
        let holder = peer(9, "a", 200_000);
        let mut peers = peers_of(1, &[]);
        peers.learn(NOW, report(&holder, true));
        peers.suspend(NOW, holder.address);
        peers.learn(NOW + Millis(400), report(&holder, true));
        assert_eq!(peers.upstream(NOW + Millis(400)), None);
    }

    /// Guards against all starting instances asking the same peer for a complete view.
    starting_instances_ask_different_holders => {
        let holders: Vec<Peer> = (201..=204).map(|last| peer(last, "a", 200_000)).collect();
        let asked: std::collections::BTreeSet<_> = (1..=20)
            .map(|own| {
                let mut peers = peers_of(own, &[]);
                for holder in &holders {
                    peers.learn(NOW, report(holder, true));
                }
                peers.fallback(NOW)
            })
            .collect();
        assert!(asked.len() >= 3, "{asked:?}");
    }

    old_news_of_a_dead_peer_does_not_keep_it => {
        let dead = peer(9, "a", 200_000);
        let mut peers = peers_of(1, std::slice::from_ref(&dead));
        let later = NOW + Millis(10_000);
        let heard_before = PeerReport { heard_age: Millis(10_000), ..report(&dead, false) };
        peers.learn(later, heard_before);
        peers.expire(NOW + Millis(20_001));
        assert!(peers.best_of_domain(NOW, "a").is_empty());
    }
}
