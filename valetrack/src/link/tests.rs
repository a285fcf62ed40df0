//! Tests of frames, of keys and of cancellation results.

mod closed;
mod stall;
mod streams;

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use proptest::prelude::*;
use test_case::test_case;

use super::codec::{FrameError, LENGTH_BYTES, pack, unpack};
use super::message::{Ask, CallHead, HEAD_MAX_BYTES, PeerReply, Piggyback, Reply, ReplyHead};
use super::peer::LinkResult;
use super::{run, tls};
use crate::claim::ClaimReport;
use crate::gate::{AttemptId, CancelResult, LoadReport, QueueTimeout};
use crate::member::{Evacuation, Member, Phase};
use crate::store::{Era, Position};

/// Returns an endpoint on loopback.
fn endpoint(vm: &str) -> quinn::Endpoint {
    let any = std::net::SocketAddr::from(([127, 0, 0, 1], 0));
    run::bind(any, vm, tls::generate(vm).expect("keys")).expect("an endpoint")
}

fn call(path: String, headers: Vec<(String, Vec<u8>)>, body_bytes: usize, key: Option<String>) -> Ask {
    Ask::Run(CallHead {
        attempt: AttemptId { entry: 1, seq: 2 },
        call_id: Arc::from("c"),
        service: Arc::from("intake"),
        origin: Arc::from("intake"),
        account: None,
        route: Arc::from(""),
        method: "POST".into(),
        path,
        headers,
        body_bytes: body_bytes as u32,
        deadline_ms: 100,
        objective_ms: 0,
        work_us: 0,
        elsewhere_permille: 0,
        priority: 0,
        repeatable: false,
        depth: 1,
        made_by_run: false,
        repeat_permille: 0,
        patience: QueueTimeout::Short,
        key: key.map(Arc::from),
        hlc: 9,
    })
}

fn whole(ask: &Ask, body: &[u8]) -> Vec<u8> {
    let mut frame = pack(ask).expect("a head below its limit").to_vec();
    frame.extend_from_slice(body);
    frame
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 800,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(2),
        ..Default::default()
    })]

    #[test]
    fn frame_round_trip_preserves_head_and_body(
        path in ".{0,80}",
        headers in prop::collection::vec((".{0,20}", prop::collection::vec(any::<u8>(), 0..40)), 0..8),
        body in prop::collection::vec(any::<u8>(), 0..500),
        key in prop::option::of(".{1,20}"),
    ) {
        let ask = call(path, headers, body.len(), key);
        let (back, rest) = unpack::<Ask>(Bytes::from(whole(&ask, &body))).expect("a whole frame");
        prop_assert_eq!(back, ask);
        prop_assert_eq!(rest, body);
    }

    #[test]
    fn truncated_or_overlong_frame_is_refused(
        body in prop::collection::vec(any::<u8>(), 1..200),
        cut in any::<usize>(),
        extra in 1..50usize,
    ) {
        let ask = call("/".into(), Vec::new(), body.len(), None);
        let frame = whole(&ask, &body);
        let cut = cut % frame.len();
        prop_assert!(unpack::<Ask>(Bytes::copy_from_slice(&frame[..cut])).is_err());
        let mut long = frame;
        long.extend(std::iter::repeat_n(0, extra));
        prop_assert!(unpack::<Ask>(Bytes::from(long)).is_err());
    }

    #[test]
    fn unpacking_random_bytes_never_panics(frame in prop::collection::vec(any::<u8>(), 0..400)) {
        let _ = unpack::<Ask>(Bytes::copy_from_slice(&frame));
        let _ = unpack::<ReplyHead>(Bytes::from(frame));
    }
}

#[test_case(&[], FrameError::WrongLength { got: 0, wanted: LENGTH_BYTES }; "an empty frame")]
#[test_case(&[0xff; 8], FrameError::HeadTooLarge { bytes: 0xffff_ffff }; "a head of four gigabytes")]
#[test_case(&[0, 0, 0, 2, 0xff, 0xff], FrameError::Undecodable; "an undecodable head")]
fn each_invalid_frame_has_its_own_error(frame: &[u8], expected: FrameError) {
    assert_eq!(unpack::<Ask>(Bytes::copy_from_slice(frame)), Err(expected));
}

#[test]
fn head_over_its_limit_is_not_packed() {
    let ask = call("x".repeat(HEAD_MAX_BYTES), Vec::new(), 0, None);
    assert!(matches!(pack(&ask), Err(FrameError::HeadTooLarge { .. })));
}

#[test]
fn piggybacked_state_of_a_reply_is_small() {
    let load = LoadReport {
        limit: 12,
        in_flight: 12,
        queued: 40,
        service_us: 50_000,
        fast_percent: 110,
        slow_percent: 400,
        slow_chance_percent: 70,
        slow_share_percent: 25,
        kept_percent: 93,
        slow_lasts_ms: 220,
        failing_percent: 3,
        ..LoadReport::default()
    };
    let riding = Piggyback { load, bundle: 21_000, hlc: 117_716_773_567_922_176 };
    let reply = ReplyHead { reply: Reply::Load, riding };
    let frame = pack(&reply).expect("a small head");
    assert!(frame.len() <= 28, "{} bytes", frame.len());
}

#[test]
fn keys_are_created_once_and_report_their_expiry() {
    let dir = std::env::temp_dir().join(format!("valetrack-keys-{}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("a folder");
    tls::make_authority(&dir).expect("an authority");
    assert!(tls::make_authority(&dir).is_err(), "an authority is never overwritten");
    tls::make_node(&dir, "kranj-1").expect("a certificate");
    let days: Vec<(String, i64)> = tls::expiries(&dir)
        .expect("both certificates")
        .into_iter()
        .map(|expiry| (expiry.file, expiry.days_left))
        .collect();
    assert_eq!(days[0].0, "kranj-1.pem");
    // `days_left` is rounded down: it is a full 365 only within the second in which the certificate was created.
    assert!((tls::CERTIFICATE_DAYS - 1..=tls::CERTIFICATE_DAYS).contains(&days[0].1), "{days:?}");
    assert_eq!(days[1].0, "ca.pem");
    assert!(tls::load(&dir, "kranj-1").is_ok());
    assert!(tls::load(&dir, "kranj-2").is_err());
    std::fs::remove_dir_all(&dir).expect("a removable folder");
}

/// Limit of bytes in both directions for a link that is opened for one small request: four handshake datagrams that
/// must be padded to full size, and as much again for keys and acknowledgements.
const OPENED_MAX_BYTES: u64 = 5_000;

#[tokio::test]
async fn link_for_one_request_costs_little_beyond_its_handshake() {
    let (owner, entry) = (endpoint("vm-2"), endpoint("vm-1"));
    let addr = owner.local_addr().expect("an address");
    let echo = tokio::spawn(async move {
        let connection = owner.accept().await.expect("a peer").await.expect("a link");
        let (mut send, mut receive) = connection.accept_bi().await.expect("a request stream");
        let request = receive.read_to_end(100).await.expect("all of it");
        send.write_all(&request).await.expect("a reply");
        send.finish().expect("an open stream");
        connection.closed().await;
    });
    let connection = entry.connect(addr, "vm-2").expect("a target").await.expect("a link");
    let (mut send, mut receive) = connection.open_bi().await.expect("a stream");
    send.write_all(b"question").await.expect("an open stream");
    send.finish().expect("an open stream");
    assert_eq!(receive.read_to_end(100).await.expect("a reply"), b"question");
    // Packets that a link sends on its own after the handshake have been sent by then.
    tokio::time::sleep(std::time::Duration::from_millis(300)).await;
    let stats = connection.stats();
    let crossed_bytes = stats.udp_tx.bytes + stats.udp_rx.bytes;
    assert!(crossed_bytes <= OPENED_MAX_BYTES, "{crossed_bytes} bytes");
    connection.close(0u32.into(), b"");
    echo.await.expect("the peer");
}

/// Returns the reading of a VM's clock at a boot time, given the VM's suspensions.
type ClockAt = dyn Fn(u64, &[(u64, u64)]) -> u64;

/// Returns the steady time of a VM, which advances with its boot time except during suspensions.
fn steady_us(boot_us: u64, suspensions: &[(u64, u64)]) -> u64 {
    let suspended_us =
        suspensions.iter().map(|(from_us, to_us)| to_us.min(&boot_us).saturating_sub(*from_us)).sum::<u64>();
    boot_us - suspended_us
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 800,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(37),
        ..Default::default()
    })]

    #[test]
    fn cancel_result_of_later_incarnation_is_ignored_despite_suspensions(
        sent_s in 0..60_u64,
        started_s in 0..60_u64,
        asked_s in 60..70_u64,
        entry_suspension in (0..40_u64, 0..30_u64),
        owner_suspension in (0..40_u64, 0..30_u64),
    ) {
        let second = 1_000_000;
        let suspension = |(from_s, for_s): (u64, u64)| [(from_s * second, (from_s + for_s).min(60) * second)];
        let (entry, owner) = (suspension(entry_suspension), suspension(owner_suspension));
        let is_counted = |clock: &ClockAt| {
            let elapsed_us = |from_s: u64, spans: &[(u64, u64)]| {
                clock(asked_s * second, spans) - clock(from_s * second, spans)
            };
            let up_ms = (elapsed_us(started_s, &owner) / 1000) as u32;
            let reply = Reply::Cancelled { attempt: AttemptId { entry: 1, seq: 2 }, result: CancelResult::NeverStarted, up_ms };
            let head = ReplyHead { reply, riding: Piggyback { load: LoadReport::default(), bundle: 0, hlc: 0 } };
            let result = LinkResult::Reply(Box::new(PeerReply { head, body: Bytes::new() }));
            result.cancel_result(Duration::from_micros(elapsed_us(sent_s, &entry))).is_some()
        };
        let was_running = started_s < sent_s;
        prop_assert_eq!(is_counted(&|boot_us, _| boot_us), was_running);
        // By the steady clock, an entry that was suspended mistakes a later incarnation for the one that it asked.
        let by_steady_clock = is_counted(&steady_us);
        let suspended_after =
            |spans: &[(u64, u64)], from_s: u64| spans.iter().any(|(_, to_us)| *to_us > from_s * second);
        prop_assert!(
            by_steady_clock == was_running || suspended_after(&entry, sent_s) || suspended_after(&owner, started_s)
        );
    }
}

#[test]
fn steady_clock_of_suspended_entry_would_accept_a_later_incarnation() {
    // The attempt is sent in second 1 and cancelled in second 12. The entry is suspended for ten seconds between, and
    // the owner starts in second 8.
    let spans = [(1_500_000, 11_500_000)];
    let sent_ago = steady_us(12_000_000, &spans) - steady_us(1_000_000, &spans);
    assert!(
        sent_ago < 4_000_000,
        "{sent_ago}: shorter than the uptime of the owner, which has no record of the attempt"
    );
}

fn member() -> Member {
    Member {
        vm: "m".into(),
        incarnation: 5,
        phase: Phase::Serving,
        domain: "kranj".into(),
        service: "lab".into(),
        link_addr: ([127, 0, 0, 1], 9).into(),
        version: None,
        is_relay: false,
        departure: None,
    }
}

/// Guards against nodes without a bundle that get no state from others, since the states of all nodes exceed a message.
#[test]
fn states_of_large_fleet_fit_into_a_message() {
    let members = (0..2_000).map(|at| Member { vm: format!("sidecar-kranj-{at}").into(), ..member() }).collect();
    let claims = ClaimReport::default();
    let ask = Ask::Gossip { members, evacuation: Evacuation::default(), bundle: 1, claims };
    assert_eq!(pack(&ask).map(|_| ()), Ok(()));
}

#[test]
fn messages_keep_their_positions_on_the_wire() {
    let frame = |ask: &Ask| pack(ask).expect("a frame")[LENGTH_BYTES..].to_vec();
    let asks = [
        Ask::Probe,
        Ask::Bundle { after: 3, part: None, vm: "m".into(), addr: ([127, 0, 0, 1], 9).into(), insists: false },
        Ask::Evacuation,
        Ask::Follow { after: Position::start_of(Era::new(1)), wait_ms: 2, me: member() },
    ];
    let starts = asks.map(|ask| frame(&ask).into_iter().take(7).collect::<Vec<u8>>());
    assert_eq!(starts, [vec![3], vec![5, 3, 0, 1, b'm', 0, 127], vec![6], vec![7, 1, 0, 2, 1, b'm', 5]]);
    assert!(unpack::<Ask>(Bytes::from_static(&[0, 0, 0, 1, 99])).is_err(), "an unknown request is refused");
}
