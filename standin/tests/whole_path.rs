//! The path of a call through real processes, and invalid input on every port.

mod common;

use std::time::Duration;

use common::{Fleet, outcome_of, submit, wait_for};
use standin::client::Client;
use test_case::test_case;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpStream, UdpSocket};
use tokio::time::timeout;

#[tokio::test]
async fn every_caller_listener_serves_reads_and_writes() {
    let fleet = Fleet::with_intake(3).await;
    for at in 0..3 {
        let client = fleet.client_at(at);
        for number in 0..20 {
            let body = format!("door-{at}-{number}");
            let read = client.call("GET", "/sheet", &[("valetrack-service", "intake")], body.clone()).await;
            let read = read.expect("an answer");
            assert_eq!((read.status, read.header("valetrack-outcome")), (200, "ran"));
            assert_eq!(read.body, body.as_bytes());
            let written = submit(&client, &body).await;
            assert_eq!(outcome_of(&written), "ran");
            assert_eq!(written.expect("an answer").body, body.as_bytes());
        }
    }
    let runs = fleet.runs().await;
    assert_eq!(runs.len(), 60);
    assert!(runs.values().all(|&count| count == 1), "{runs:?}");
}

#[tokio::test]
async fn timeline_shows_a_call_across_all_processes() {
    let fleet = Fleet::with_intake(3).await;
    let headers = [("valetrack-service", "intake"), ("idempotency-key", "k"), ("valetrack-call", "told")];
    fleet.client_at(0).call("POST", "/pickups", &headers, "x").await.expect("an answer");
    let mut arguments = vec!["timeline".to_owned(), "--call".into(), "told".into()];
    for vm in &fleet.vms {
        arguments.extend(["--admin".to_owned(), vm.admin_addr.to_string()]);
    }
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    let lines = fleet.valetrack(&arguments).expect("a timeline");
    let events: Vec<&str> = lines.lines().filter_map(|line| line.split("event=").nth(1)?.split(' ').next()).collect();
    assert_eq!(
        events,
        ["call.begin", "claim.run", "call.send", "gate.start", "gate.done", "claim.reply", "call.end"],
        "{lines}"
    );
}

#[test_case(b"\x16\x03\x01garbage\r\n\r\n"; "garbage")]
#[test_case(b"GET / HTTP/1.1\r\nhost: intake\r\ncontent-length: 99\r\n\r\nshort"; "a body cut short")]
#[test_case(b"POST / HTTP/1.1\r\nhost: intake\r\ncontent-length: 99999999\r\n\r\n"; "a body announced too large")]
#[test_case(b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\xff\xff\xff\xff\xff"; "a broken preface")]
#[tokio::test]
async fn invalid_caller_input_leaves_other_calls_served(bytes: &[u8]) {
    let mut fleet = Fleet::start().await;
    fleet.node_flags.push(("call-body-ms", "300"));
    fleet.add_vms("intake", 2).await;
    fleet.publish(common::INTAKE_BUNDLE);
    fleet.wait_ready().await;
    for _ in 0..20 {
        let mut stream = TcpStream::connect(fleet.vms[0].caller_addr).await.expect("a connection");
        stream.write_all(bytes).await.expect("sent");
        let mut answer = Vec::new();
        let ended = timeout(Duration::from_secs(5), stream.read_to_end(&mut answer));
        // The node sends a numbered answer or closes the connection. A connection kept alive is closed by this side.
        if ended.await.is_err() {
            let text = String::from_utf8_lossy(&answer).into_owned();
            assert!(text.contains("VT2"), "the connection was neither closed nor answered: {text:?}");
        }
        drop(stream);
        let good = fleet.client_at(0).call("GET", "/", &[("valetrack-service", "intake")], "x").await;
        assert_eq!(outcome_of(&good), "ran");
    }
    wait_for("the bad calls to be counted", async || fleet.metric(0, "valetrack_bad_calls_total").await >= 20.0).await;
}

#[tokio::test]
async fn garbage_on_link_and_admin_ports_leaves_calls_served() {
    let fleet = Fleet::with_intake(2).await;
    let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a socket");
    let mut rng = fastrand::Rng::with_seed(1);
    for _ in 0..500 {
        let garbage: Vec<u8> = (0..rng.usize(1..1_400)).map(|_| rng.u8(..)).collect();
        let _ = socket.send_to(&garbage, fleet.vms[0].link_addr).await;
    }
    for _ in 0..50 {
        let mut stream = TcpStream::connect(fleet.vms[0].admin_addr).await.expect("a connection");
        let _ = stream.write_all(&[0xff; 100]).await;
    }
    for at in 0..2 {
        assert_eq!(outcome_of(&submit(&fleet.client_at(at), &format!("after-{at}")).await), "ran");
    }
    assert_eq!(common::status(&fleet.vms[0], "/health").await, 200);
    let post = Client::new(fleet.vms[0].admin_addr).call("POST", "/status", &[], "").await;
    assert_eq!(post.expect("an answer").status, 405);
}

#[tokio::test]
async fn node_with_keys_of_another_fleet_is_refused() {
    let fleet = Fleet::with_intake(2).await;
    let mut foreign_fleet = Fleet::start().await;
    foreign_fleet.list_addr = fleet.list_addr;
    foreign_fleet.store_addr = fleet.store_addr;
    // The node has a certificate of another authority, so both ends refuse its links.
    foreign_fleet.add_vm("stranger-0", "kranj", "intake").await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    let body = Client::new(fleet.vms[0].admin_addr).call("GET", "/status", &[], "").await.expect("an answer").body;
    assert!(!String::from_utf8_lossy(&body).contains("stranger"));
    wait_for("a counted refusal", async || fleet.metric(0, "valetrack_bad_frames_total").await >= 1.0).await;
    assert_eq!(outcome_of(&submit(&fleet.client_at(0), "k").await), "ran");
}
