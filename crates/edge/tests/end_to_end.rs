//! End-to-end tests with real instances and simulated callers, targets and store.

#![allow(clippy::unwrap_used)]

mod kit;

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::time::{Duration, Instant};

use kit::caller::Outcome;
use kit::proxy::{Impairment, Proxy};
use kit::store::Mode;
use kit::{ENTRY, LINK_MBPS, METRICS_PORT, PROXY_PORT, TestNetwork, document, wait_until};

/// Maximum time until a change must take effect, equal to the settings of the instances.
const CHANGE_LIMIT: Duration = Duration::from_secs(3);

const NEW_ENTRY: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 9), 443);

macro_rules! cases {
    ($($name:ident => $body:block)*) => {$(
        #[tokio::test]
        async fn $name() $body
    )*};
}

/// Waits until an instance serves a new entry and returns the elapsed time.
async fn time_to_serve(net: &mut TestNetwork, via: SocketAddrV4, entry: SocketAddrV4) -> Duration {
    let started_at = Instant::now();
    while net.caller.open_flow_to(via, entry).await.is_err() {
        assert!(
            started_at.elapsed() < 3 * CHANGE_LIMIT,
            "the entry is not served"
        );
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    started_at.elapsed()
}

cases! {
    request_gets_an_answer => {
        let mut net = TestNetwork::new(2).await;
        let instance = net.start_ready(0).await;
        let mut flow = net.caller.open_flow(instance.packet_address()).await.unwrap();
        let outcome = net.caller.send_request(instance.packet_address(), &mut flow).await;
        assert_eq!(outcome, Outcome::Answered);
        assert_eq!(net.targets.iter().map(|target| target.request_count()).sum::<usize>(), 1);
    }

    flow_continues_over_another_instance_and_after_a_restart => {
        let mut net = TestNetwork::new(3).await;
        let mut first = net.start_ready(0).await;
        let second = net.start_ready(1).await;
        let mut flow = net.caller.open_flow(first.packet_address()).await.unwrap();
        let outcome = net.caller.send_request(second.packet_address(), &mut flow).await;
        assert_eq!(outcome, Outcome::Answered);
        first.kill();
        let first = net.start_ready(0).await;
        let outcome = net.caller.send_request(first.packet_address(), &mut flow).await;
        assert_eq!(outcome, Outcome::Answered);
        let unknown: usize = net.targets.iter().map(|target| target.unknown_flow_packets()).sum();
        assert_eq!(unknown, 0);
    }

    packets_wait_for_the_first_view => {
        let mut net = TestNetwork::new(1).await;
        net.store.set_mode(Mode::Unavailable);
        let instance = net.start(0);
        wait_until("the instance is not ready", || async {
            instance.readiness_status().await == Some(503)
        })
        .await;
        let store = net.store.clone();
        tokio::spawn(async move {
            tokio::time::sleep(Duration::from_millis(150)).await;
            store.set_mode(Mode::Up);
        });
        assert!(net.caller.open_flow(instance.packet_address()).await.is_ok());
    }

    stopping_instance_forwards_until_routers_stop_sending => {
        let mut net = TestNetwork::new(1).await;
        let mut instance = net.start_ready(0).await;
        let mut flow = net.caller.open_flow(instance.packet_address()).await.unwrap();
        instance.send_signal("TERM");
        wait_until("the instance is not ready", || async {
            instance.readiness_status().await == Some(503)
        })
        .await;
        let outcome = net.caller.send_request(instance.packet_address(), &mut flow).await;
        assert_eq!(outcome, Outcome::Answered);
        assert!(net.caller.open_flow(instance.packet_address()).await.is_ok());
        let started_at = Instant::now();
        while instance.exit_code().is_none() {
            assert!(started_at.elapsed() < Duration::from_secs(6), "it would be killed");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        assert_eq!(instance.exit_code(), Some(0));
    }

    stopping_instance_exits_when_no_packets_arrive => {
        let net = TestNetwork::new(1).await;
        let mut instance = net.start_ready(0).await;
        let started_at = Instant::now();
        instance.send_signal("TERM");
        while instance.exit_code().is_none() {
            // While it stops, the remaining instances carry its load, so it must not take longer
            // than necessary.
            assert!(started_at.elapsed() < Duration::from_secs(3), "it still runs without traffic");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        // Routers stop sending only after two failed checks.
        assert!(started_at.elapsed() >= Duration::from_secs(1), "it stopped too early");
    }

    stopping_instance_forwards_while_packets_arrive => {
        let mut net = TestNetwork::new(1).await;
        let instance = net.start_ready(0).await;
        let mut flow = net.caller.open_flow(instance.packet_address()).await.unwrap();
        let started_at = Instant::now();
        instance.send_signal("TERM");
        while started_at.elapsed() < Duration::from_secs(3) {
            let outcome = net.caller.send_request(instance.packet_address(), &mut flow).await;
            assert_eq!(outcome, Outcome::Answered);
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }

    sighup_does_not_end_the_process => {
        let mut net = TestNetwork::new(1).await;
        let mut instance = net.start_ready(0).await;
        instance.send_signal("HUP");
        let mut flow = net.caller.open_flow(instance.packet_address()).await.unwrap();
        let outcome = net.caller.send_request(instance.packet_address(), &mut flow).await;
        assert_eq!(outcome, Outcome::Answered);
        assert_eq!(instance.exit_code(), None);
    }

    dead_target_does_not_delay_opening => {
        let mut net = TestNetwork::new(2).await;
        let instance = net.start_ready(0).await;
        net.targets[0].kill();
        for _ in 0..8 {
            // Without a retry at a second target, the caller would have to retransmit its opening
            // packet.
            let flow = net.caller.open_flow(instance.packet_address()).await.unwrap();
            assert_ne!(flow.token, 0);
        }
        assert!(instance.metric_sum("answers_missed_total").await >= 1.0);
    }

    change_takes_effect_in_time_at_a_follower => {
        let mut net = TestNetwork::new(1).await;
        let _first = net.start_ready(0).await;
        let second = net.start_ready(1).await;
        tokio::time::sleep(Duration::from_secs(2)).await;
        net.store.put("op/config", &document(2, &[ENTRY, NEW_ENTRY]));
        let elapsed = time_to_serve(&mut net, second.packet_address(), NEW_ENTRY).await;
        assert!(elapsed < CHANGE_LIMIT, "{elapsed:?}");
        assert!(net.caller.open_flow(net.packet_address(0)).await.is_ok());
    }

    follower_makes_no_store_calls => {
        let net = TestNetwork::new(1).await;
        let _instances = [
            net.start_ready(0).await,
            net.start_ready(1).await,
            net.start_ready(2).await,
        ];
        // Each instance finishes its first watch before it follows, and the reader starts a new
        // watch when it gains a follower.
        tokio::time::sleep(Duration::from_secs(6)).await;
        let before = net.store.call_count();
        tokio::time::sleep(Duration::from_secs(4)).await;
        // The reader makes one watch call per second; three readers would make at least three times
        // as many calls.
        assert!(net.store.call_count() - before <= 6, "{} calls", net.store.call_count() - before);
    }

    multi_page_first_view_comes_from_a_peer => {
        // The simulated store returns pages of three items.
        let net = TestNetwork::new(8).await;
        let _first = net.start_ready(0).await;
        let address = SocketAddr::from((net.caller_host(1), 9_000));
        let proxy = Proxy::start(address, net.store.address).await;
        // The delay lets the instance discover its peers before the first page arrives.
        proxy.set_impairment(Impairment::Delayed);
        let before = net.store.call_count();
        let second = net.start_with(1, proxy.address, LINK_MBPS / 2);
        wait_until("the instance is ready", || second.is_ready()).await;
        let pages = second.metric_sum("store_calls_total").await;
        assert!(pages <= 1.0, "{pages} calls, {} in total", net.store.call_count() - before);
    }

    multi_page_snapshot_includes_changes_made_while_reading => {
        let mut net = TestNetwork::new(8).await;
        let address = SocketAddr::from((net.caller_host(3), 9_000));
        let proxy = Proxy::start(address, net.store.address).await;
        proxy.set_impairment(Impairment::Delayed);
        let instance = net.start_with(0, proxy.address, LINK_MBPS);
        let calls_before = net.store.call_count();
        wait_until("the first page is read", || async {
            net.store.call_count() > calls_before
        })
        .await;
        net.store.put("op/config", &document(2, &[ENTRY, NEW_ENTRY]));
        assert!(!instance.is_ready().await);
        // Packets stay in the socket buffer until the instance has a view.
        let opened = loop {
            let opened = net.caller.open_flow_to(instance.packet_address(), NEW_ENTRY).await;
            if !matches!(opened, Err(Outcome::Unanswered)) {
                break opened;
            }
        };
        assert!(opened.is_ok());
    }

    multi_page_first_view_comes_from_the_store_when_no_peer_has_one => {
        let net = TestNetwork::new(8).await;
        let first = net.start_with(0, SocketAddr::from((net.caller_host(2), 9)), 2 * LINK_MBPS);
        wait_until("the endpoint answers", || async {
            first.readiness_status().await.is_some()
        })
        .await;
        let second = net.start_ready(1).await;
        assert!(second.metric_sum("store_calls_total").await >= 3.0);
    }

    change_takes_effect_in_time_at_indirect_followers => {
        let mut net = TestNetwork::new(1).await;
        // More instances than one instance accepts as followers.
        let instances: Vec<_> = (0..36).map(|index| net.start(index)).collect();
        for instance in &instances {
            wait_until("the instance is ready", || instance.is_ready()).await;
        }
        tokio::time::sleep(Duration::from_secs(7)).await;
        let before = net.store.call_count();
        tokio::time::sleep(Duration::from_secs(4)).await;
        // The second best instance may also read the store if the best one has no free follower
        // slot; all others can then follow the second best. Each reader makes one watch call per
        // second, so a third reader would make four more calls.
        let calls = net.store.call_count() - before;
        assert!(calls <= 10, "{calls} calls");
        net.store.put("op/config", &document(2, &[ENTRY, NEW_ENTRY]));
        let started_at = Instant::now();
        for instance in &instances {
            time_to_serve(&mut net, instance.packet_address(), NEW_ENTRY).await;
        }
        assert!(started_at.elapsed() < CHANGE_LIMIT, "{:?}", started_at.elapsed());
    }

    change_takes_effect_in_time_after_the_reader_is_killed => {
        let mut net = TestNetwork::new(1).await;
        let mut instances = [
            net.start_ready(0).await,
            net.start_ready(1).await,
            net.start_ready(2).await,
        ];
        tokio::time::sleep(Duration::from_secs(2)).await;
        for victim in &mut instances[..2] {
            victim.kill();
        }
        net.store.put("op/config", &document(2, &[ENTRY, NEW_ENTRY]));
        let via = instances[2].packet_address();
        let elapsed = time_to_serve(&mut net, via, NEW_ENTRY).await;
        assert!(elapsed < CHANGE_LIMIT, "{elapsed:?}");
    }

    change_takes_effect_in_time_after_a_paused_reader => {
        let mut net = TestNetwork::new(1).await;
        let instances = [net.start_ready(0).await, net.start_ready(1).await];
        tokio::time::sleep(Duration::from_secs(2)).await;
        for paused in [0, 1] {
            let version = 2 + paused as u64;
            let entry = SocketAddrV4::new(*NEW_ENTRY.ip(), 443 + paused as u16);
            instances[paused].send_signal("STOP");
            net.store.put("op/config", &document(version, &[ENTRY, entry]));
            let via = instances[1 - paused].packet_address();
            let elapsed = time_to_serve(&mut net, via, entry).await;
            instances[paused].send_signal("CONT");
            assert!(elapsed < CHANGE_LIMIT, "{elapsed:?}");
            tokio::time::sleep(Duration::from_secs(4)).await;
        }
    }

    change_takes_effect_in_time_at_a_new_follower_of_a_disconnected_reader => {
        let mut net = TestNetwork::new(1).await;
        let address = SocketAddr::from((net.instance_host(0), PROXY_PORT));
        let proxy = Proxy::start(address, net.store.address).await;
        let reader = net.start_with(0, proxy.address, 2 * LINK_MBPS);
        wait_until("the reader is ready", || reader.is_ready()).await;
        // The pending watch of the reader will never be answered.
        tokio::time::sleep(Duration::from_millis(100)).await;
        proxy.set_impairment(Impairment::Blackhole);
        let follower = net.start_ready(1).await;
        tokio::time::sleep(Duration::from_millis(200)).await;
        // The change completes the follower's own watch, after which it follows the reader.
        net.store.put(&net.targets[0].store_key(), &net.targets[0].store_record("ready"));
        tokio::time::sleep(Duration::from_millis(800)).await;
        net.store.put("op/config", &document(2, &[ENTRY, NEW_ENTRY]));
        let elapsed = time_to_serve(&mut net, follower.packet_address(), NEW_ENTRY).await;
        assert!(elapsed < CHANGE_LIMIT, "{elapsed:?}");
    }

    change_takes_effect_in_time_after_the_store_was_unresponsive => {
        let mut net = TestNetwork::new(1).await;
        let instance = net.start_ready(0).await;
        net.store.set_mode(Mode::Unresponsive);
        tokio::time::sleep(Duration::from_secs(7)).await;
        net.store.set_mode(Mode::Up);
        net.store.put("op/config", &document(2, &[ENTRY, NEW_ENTRY]));
        let elapsed = time_to_serve(&mut net, instance.packet_address(), NEW_ENTRY).await;
        assert!(elapsed < CHANGE_LIMIT, "{elapsed:?}");
    }

    change_takes_effect_in_time_after_compaction => {
        let mut net = TestNetwork::new(1).await;
        let instance = net.start_ready(0).await;
        net.store.put("op/config", &document(2, &[ENTRY, NEW_ENTRY]));
        net.store.compact();
        let elapsed = time_to_serve(&mut net, instance.packet_address(), NEW_ENTRY).await;
        assert!(elapsed < CHANGE_LIMIT, "{elapsed:?}");
    }

    change_takes_effect_in_time_at_a_disconnected_reader => {
        let mut net = TestNetwork::new(1).await;
        let address = SocketAddr::from((net.instance_host(0), PROXY_PORT));
        let proxy = Proxy::start(address, net.store.address).await;
        let reader = net.start_with(0, proxy.address, 2 * LINK_MBPS);
        wait_until("the reader is ready", || reader.is_ready()).await;
        let _other = net.start_ready(1).await;
        tokio::time::sleep(Duration::from_secs(4)).await;
        proxy.set_impairment(Impairment::Reset);
        tokio::time::sleep(Duration::from_secs(1)).await;
        net.store.put("op/config", &document(2, &[ENTRY, NEW_ENTRY]));
        let elapsed = time_to_serve(&mut net, reader.packet_address(), NEW_ENTRY).await;
        assert!(elapsed < CHANGE_LIMIT, "{elapsed:?}");
    }

    instance_starts_from_a_peer_while_the_store_is_unresponsive => {
        let mut net = TestNetwork::new(1).await;
        let _first = net.start_ready(0).await;
        net.store.set_mode(Mode::Unresponsive);
        let second = net.start_ready(1).await;
        assert!(net.caller.open_flow(second.packet_address()).await.is_ok());
    }

    // Guards against seeds that start again while the store is down and ask only each other, although
    // an instance that nobody has as a seed still has the view. A discovery round at the usual
    // interval of 5 s would be too late.
    instances_start_from_a_survivor_that_is_no_seed => {
        let mut net = TestNetwork::new(1).await;
        let mut seeds = [net.start_ready(0).await, net.start_ready(1).await];
        let survivor = net.start_with(2, net.store.address, LINK_MBPS / 2);
        wait_until("the survivor is ready", || survivor.is_ready()).await;
        tokio::time::sleep(Duration::from_secs(4)).await;
        net.store.set_mode(Mode::Unresponsive);
        for seed in &mut seeds {
            seed.kill();
        }
        let restarted = [net.start(0), net.start(1)];
        let started_at = Instant::now();
        for instance in &restarted {
            wait_until("the seed is ready", || instance.is_ready()).await;
        }
        assert!(started_at.elapsed() < CHANGE_LIMIT, "{:?}", started_at.elapsed());
        assert!(net.caller.open_flow(restarted[0].packet_address()).await.is_ok());
    }

    status_lists_the_targets => {
        let net = TestNetwork::new(2).await;
        let instance = net.start_ready(0).await;
        let text = instance.get(METRICS_PORT, "/status").await.unwrap().1;
        let status: steer::status::Status = serde_json::from_str(&text).unwrap();
        assert!(status.is_ready);
        assert_eq!(status.beliefs.version, 1);
        let targets = &status.beliefs.targets;
        let standings: Vec<_> = targets.iter().map(|target| &target.standing).collect();
        assert_eq!(standings, ["serving", "serving"]);
    }

    malformed_store_values_and_packets_are_ignored => {
        let mut net = TestNetwork::new(1).await;
        let mut instance = net.start_ready(0).await;
        net.store.put_bytes("servers/i-99", b"\xff\xfe");
        net.store.put_bytes("servers/i-98", br#"{"service":7,"addr":"nowhere"}"#);
        net.store.put_bytes("servers/nobody", b"{}");
        net.store.put_bytes("other/key", b"{}");
        net.store.put_bytes("op/config", b"{not json");
        for length in [0, 1, 31, 32, 40, 1_232, 1_300] {
            net.caller.send_bytes(instance.packet_address(), &vec![0xab; length]).await;
        }
        tokio::time::sleep(Duration::from_secs(1)).await;
        let mut flow = net.caller.open_flow(instance.packet_address()).await.unwrap();
        let outcome = net.caller.send_request(instance.packet_address(), &mut flow).await;
        assert_eq!(outcome, Outcome::Answered);
        assert_eq!(instance.exit_code(), None);
        assert!(instance.metric_sum("packets_dropped_total").await >= 4.0);
    }

    instance_follows_a_better_peer_without_waiting_for_a_change => {
        let net = TestNetwork::new(1).await;
        let instance = net.start_ready(1).await;
        let better = net.start_with(0, net.store.address, 2 * LINK_MBPS);
        wait_until("the better peer is ready", || better.is_ready()).await;
        let follows = wait_until("the instance follows", || async {
            instance.log_contains("peer followed")
        });
        assert!(tokio::time::timeout(CHANGE_LIMIT, follows).await.is_ok());
    }
}
