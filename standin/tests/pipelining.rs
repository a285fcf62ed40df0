//! Pipelined requests on one connection to a real node: what callers get, and what happens when one side leaves.

mod common;

use std::time::{Duration, Instant};

use common::managed::Fleet;
use common::wait_for;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// Work of a playback call.
const WORK_MS: u64 = 190;

/// One answer: its status, whether it closes the connection, and when it was complete.
#[derive(Debug)]
struct Answer {
    status: u16,
    closes: bool,
    after_ms: u64,
}

struct Caller {
    stream: TcpStream,
    bytes: Vec<u8>,
    connected: Instant,
}

impl Caller {
    async fn connect(fleet: &Fleet, at: usize) -> Self {
        let stream = TcpStream::connect(fleet.vms[at].caller_addr).await.expect("a connection");
        Self { stream, bytes: Vec::new(), connected: Instant::now() }
    }

    /// Sends requests with method, path and id at once.
    async fn send(&mut self, requests: &[(&str, &str, &str)]) {
        let mut bytes = String::new();
        for (method, path, id) in requests {
            bytes += &format!("{method} {path} HTTP/1.1\r\nhost: farm.example\r\nx-request-id: {id}\r\n\r\n");
        }
        self.stream.write_all(bytes.as_bytes()).await.expect("an open connection");
    }

    /// Reads answers until the connection closes or there are `most`.
    async fn answers(&mut self, most: usize) -> Vec<Answer> {
        let mut answers = Vec::new();
        while answers.len() < most {
            while let Some(answer) = self.parse() {
                answers.push(answer);
            }
            let read = timeout(Duration::from_secs(5), self.stream.read_buf(&mut self.bytes));
            if answers.len() < most && read.await.expect("bytes in time").unwrap_or(0) == 0 {
                break;
            }
        }
        answers
    }

    fn parse(&mut self) -> Option<Answer> {
        let head_bytes = self.bytes.windows(4).position(|bytes| bytes == b"\r\n\r\n")? + 4;
        let head = String::from_utf8_lossy(&self.bytes[..head_bytes]).to_ascii_lowercase();
        let value = |name: &str| head.lines().find_map(|line| line.strip_prefix(name)).map(str::trim);
        let length: usize = value("content-length:").and_then(|length| length.parse().ok()).unwrap_or(0);
        if self.bytes.len() < head_bytes + length {
            return None;
        }
        let answer = Answer {
            status: head.split(' ').nth(1).and_then(|status| status.parse().ok()).expect("a status"),
            closes: value("connection:") == Some("close"),
            after_ms: self.connected.elapsed().as_millis() as u64,
        };
        self.bytes.drain(..head_bytes + length);
        Some(answer)
    }
}

fn statuses(answers: &[Answer]) -> Vec<u16> {
    answers.iter().map(|answer| answer.status).collect()
}

const PLAYBACK: [(&str, &str, &str); 4] =
    [("GET", "/sheet/a", "a"), ("GET", "/sheet/b", "b"), ("GET", "/sheet/c", "c"), ("GET", "/sheet/d", "d")];

/// Guards against calls that wait for those before them on their connection: with hyper alone, the fourth is answered
/// after four times the work.
#[tokio::test]
async fn pipelined_calls_run_at_the_same_time() {
    let fleet = Fleet::start(&["rounds", "rounds"]).await;
    fleet.vms.iter().for_each(|vm| vm.upstream.set_work_ms(WORK_MS));
    let mut caller = Caller::connect(&fleet, 0).await;
    caller.send(&PLAYBACK).await;
    let answers = caller.answers(4).await;
    let times: Vec<u64> = answers.iter().map(|answer| answer.after_ms).collect();
    println!("four calls of {WORK_MS} ms sent at once are answered after {times:?} ms");
    assert_eq!(statuses(&answers), [200; 4]);
    assert!(times[3] < 3 * WORK_MS, "{times:?}");
}

/// Guards against upstreams that work on for a caller that is gone.
#[tokio::test]
async fn calls_of_closed_connection_are_cancelled() {
    let fleet = Fleet::start(&["rounds", "rounds"]).await;
    fleet.vms.iter().for_each(|vm| vm.upstream.set_work_ms(1_800));
    let mut caller = Caller::connect(&fleet, 0).await;
    caller.send(&PLAYBACK).await;
    let arrivals = || fleet.vms.iter().map(|vm| vm.upstream.arrivals().len()).sum::<usize>();
    wait_for("all calls at upstreams", async || arrivals() >= 4).await;
    drop(caller);
    let dropped = Instant::now();
    let abandoned = || fleet.vms.iter().map(|vm| vm.upstream.abandoned()).sum::<u64>();
    wait_for("all runs abandoned", async || abandoned() >= 4).await;
    assert!(dropped.elapsed() < Duration::from_millis(500), "{:?}", dropped.elapsed());
}

/// Guards against received requests that are cut off by the stop of their node, against `Connection: close` before the last
/// of them, and against a call that a leaving node starts ahead.
#[tokio::test]
async fn leaving_node_answers_all_received_requests() {
    let fleet = Fleet::start(&["rounds", "rounds"]).await;
    fleet.vms.iter().for_each(|vm| vm.upstream.set_work_ms(900));
    let mut caller = Caller::connect(&fleet, 0).await;
    caller.send(&PLAYBACK).await;
    sleep(Duration::from_millis(150)).await;
    fleet.signal(0, "-TERM");
    sleep(Duration::from_millis(100)).await;
    caller.send(&[("GET", "/sheet/late", "late")]).await;
    let answers = caller.answers(5).await;
    assert_eq!(statuses(&answers), [200; 5]);
    assert_eq!(answers.iter().map(|answer| answer.closes).collect::<Vec<_>>(), [false, false, false, false, true]);
    assert_eq!(fleet.runs("late"), 1);
    assert!(answers[4].after_ms >= 2 * 900, "not started ahead: {answers:?}");
}

/// Guards against a refusal that loses its place, and against work that begins before its turn although it must not be
/// repeated.
#[tokio::test]
async fn refusal_and_unrepeatable_work_keep_their_turn() {
    let fleet = Fleet::start(&["rounds", "ledger"]).await;
    fleet.vms.iter().for_each(|vm| vm.upstream.set_work_ms(WORK_MS));
    let mut caller = Caller::connect(&fleet, 0).await;
    let requests =
        [("GET", "/sheet/a", "a"), ("GET", "/nowhere", "no"), ("GET", "/sheet/b", "b"), ("POST", "/pickup/c", "c")];
    caller.send(&requests).await;
    let answers = caller.answers(4).await;
    assert_eq!(statuses(&answers), [200, 404, 200, 200]);
    let arrived = |id: &str| {
        let arrivals = fleet.vms.iter().flat_map(|vm| vm.upstream.arrivals()).collect::<Vec<_>>();
        arrivals.into_iter().find(|(_, arrived)| arrived == id).map(|(at, _)| at).expect("an arrival")
    };
    let after_first = arrived("c") - arrived("a");
    assert!(after_first >= Duration::from_millis(2 * WORK_MS - 20), "{after_first:?}");
}
