//! The choice of the instance that reads the store for its failure domain.

use std::net::SocketAddr;

use ids::{Micros, Millis};
use steer::{Peer, Peers};

const NOW: Micros = Micros(1_000_000);

fn peer(last: u8, domain: &str, link_kbps: u64) -> Peer {
    Peer {
        address: SocketAddr::from(([10, 1, 0, last], 8_166)),
        domain: domain.into(),
        link_kbps,
    }
}

fn table(own: u8, others: &[Peer]) -> Peers {
    let mut peers = Peers::new(peer(own, "a", 10_000));
    for other in others {
        peers.learn(other.clone(), NOW);
    }
    peers
}

macro_rules! cases {
    ($($name:ident => $body:block)*) => {$(
        #[test]
        fn $name() $body
    )*};
}

cases! {
    lonely_instance_reads => {
        assert_eq!(table(1, &[]).upstream(NOW), None);
    }

    exactly_one_of_a_domain_reads => {
        let all: Vec<Peer> = (1..=20).map(|last| peer(last, "a", 10_000)).collect();
        let leaders: Vec<_> = (1..=20).map(|own| table(own, &all).upstream(NOW)).collect();
        assert_eq!(leaders.iter().filter(|leader| leader.is_none()).count(), 1);
        let followed: std::collections::BTreeSet<_> = leaders.iter().flatten().collect();
        assert_eq!(followed.len(), 1);
    }

    wide_links_come_first => {
        let wide = peer(9, "a", 200_000);
        let mut others: Vec<Peer> = (2..=8).map(|last| peer(last, "a", 10_000)).collect();
        others.push(wide.clone());
        assert_eq!(table(1, &others).upstream(NOW), Some(wide.address));
    }

    other_domains_are_not_followed => {
        assert_eq!(table(1, &[peer(2, "b", 200_000)]).upstream(NOW), None);
    }

    followers_that_have_no_room_at_the_best_peer_share_the_next_widest => {
        let best = peer(200, "a", 400_000);
        let wide: Vec<Peer> = (201..=204).map(|last| peer(last, "a", 200_000)).collect();
        let narrow: Vec<Peer> = (1..=40).map(|last| peer(last, "a", 10_000)).collect();
        let mut chosen = std::collections::BTreeMap::new();
        for own in &narrow {
            let mut peers = Peers::new(own.clone());
            for other in wide.iter().chain(&narrow).chain([&best]) {
                peers.learn(other.clone(), NOW);
            }
            assert_eq!(peers.upstream(NOW), Some(best.address));
            peers.mark_full(NOW, best.address);
            let leader = peers.upstream(NOW).unwrap();
            assert!(wide.iter().any(|peer| peer.address == leader));
            *chosen.entry(leader).or_insert(0) += 1;
            // The choice does not depend on the others that are known.
            for other in wide.iter().filter(|other| other.address != leader) {
                peers.mark_full(NOW, other.address);
                assert_eq!(peers.upstream(NOW), Some(leader));
            }
        }
        assert!(chosen.len() == 4 && chosen.values().all(|count| *count <= 20), "{chosen:?}");
    }

    callers_of_other_domains_are_told_of_few_peers => {
        let own: Vec<Peer> = (2..=60).map(|last| peer(last, "a", 10_000)).collect();
        let far: Vec<Peer> = (61..=120).map(|last| peer(last, "b", 10_000)).collect();
        let peers = table(1, &[own, far].concat());
        assert_eq!((peers.best_of_domain(NOW, "a").len(), peers.best_of_domain(NOW, "b").len()), (32, 4));
    }

    instance_without_room_at_any_peer_reads => {
        let wide = peer(9, "a", 200_000);
        let mut peers = table(1, std::slice::from_ref(&wide));
        peers.mark_full(NOW, wide.address);
        assert_eq!(peers.upstream(NOW), None);
    }

    shunned_peer_is_passed_over_for_a_while => {
        let wide = peer(9, "a", 200_000);
        let mut peers = table(1, std::slice::from_ref(&wide));
        peers.suspend(NOW, wide.address);
        assert_eq!(peers.upstream(NOW), None);
        assert_eq!(peers.upstream(NOW + Millis(3_000)), Some(wide.address));
    }

    unheard_peer_is_forgotten => {
        let mut peers = table(1, &[peer(9, "a", 200_000)]);
        peers.expire(NOW + Millis(20_001));
        assert_eq!(peers.upstream(NOW + Millis(20_001)), None);
    }

    any_peer_lends_a_view_and_the_own_domain_goes_first => {
        let far = peer(2, "b", 200_000);
        let near = peer(3, "a", 10_000);
        assert_eq!(table(1, std::slice::from_ref(&far)).fallback(NOW), Some(far.address));
        assert_eq!(table(1, &[far, near.clone()]).fallback(NOW), Some(near.address));
    }

    hearsay_does_not_keep_a_dead_peer => {
        let dead = peer(9, "a", 200_000);
        let mut peers = table(1, std::slice::from_ref(&dead));
        peers.learn(dead, NOW);
        peers.expire(NOW + Millis(20_001));
        assert!(peers.best_of_domain(NOW, "a").is_empty());
    }
}
