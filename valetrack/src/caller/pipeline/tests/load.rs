//! What callers get from a connection with pipelined requests, and what it costs others.

use std::time::{Duration, Instant};

use super::harness::{Client, Listener, Reader, get, run};

/// Work of a playback call.
const WORK_MS: u64 = 190;

/// Returns when four playback calls that are sent at once are answered, in milliseconds.
async fn answer_times(reader: Reader) -> Vec<u64> {
    let (_listener, mut client) = Listener::start_with_client(reader).await;
    client.send(&["a", "b", "c", "d"].map(|name| get(WORK_MS, name)).concat()).await;
    let answers = client.answers(4).await;
    let times = answers.iter().map(|answer| answer.after_ms).collect();
    println!("{reader:?}: {times:?} ms");
    times
}

/// Guards against calls that wait for those before them on their connection: the fourth lost 570 ms.
#[test]
fn pipelined_calls_take_the_time_of_one() {
    run(async {
        let (before, after) = (answer_times(Reader::Hyper).await, answer_times(Reader::Pipeline).await);
        assert!(before[3] >= 4 * WORK_MS, "{before:?}");
        assert!(after[3] < 2 * WORK_MS, "{after:?}");
    });
}

/// Interval of the requests of a connection, about half the work of one.
const INTERVAL_MS: u64 = 100;
/// Requests of a connection.
const REQUESTS: u64 = 8;

/// Returns how long each request of a connection takes that sends them at an interval, without waiting for answers.
async fn times_of_connection(addr: &Listener) -> Vec<u64> {
    let mut client = Client::connect(addr).await;
    let mut times = Vec::new();
    for at in 0..REQUESTS {
        client.send(&get(WORK_MS, "a")).await;
        let next_ms = (at + 1) * INTERVAL_MS;
        while let Some(answer) = client.answer_before(next_ms).await {
            times.push(answer.after_ms - times.len() as u64 * INTERVAL_MS);
        }
    }
    for answer in client.answers(REQUESTS as usize - times.len()).await {
        times.push(answer.after_ms - times.len() as u64 * INTERVAL_MS);
    }
    times
}

/// Returns the median and the highest time of requests on 20 connections.
async fn playback_times(reader: Reader) -> (u64, u64) {
    let listener = Listener::start(reader).await;
    let connections = (0..20).map(|_| times_of_connection(&listener));
    let mut times = futures::future::join_all(connections).await.concat();
    times.sort_unstable();
    let (median, highest) = (times[times.len() / 2], times[times.len() - 1]);
    println!("{reader:?}: median {median} ms, highest {highest} ms of {} requests", times.len());
    (median, highest)
}

/// Guards against a queue on each connection whose client sends faster than one call at a time is served.
#[test]
fn playback_load_is_served_without_connection_queues() {
    run(async {
        let before = playback_times(Reader::Hyper).await;
        let after = playback_times(Reader::Pipeline).await;
        assert!(before.0 > 2 * WORK_MS && before.1 > 4 * WORK_MS, "{before:?}");
        assert!(after.1 < 2 * WORK_MS, "{after:?}");
    });
}

/// Returns the shortest time of a request among `count`, which other load of the machine changes least.
async fn shortest(client: &mut Client, count: usize) -> Duration {
    let request = get(0, "a");
    let mut shortest = Duration::MAX;
    for _ in 0..count {
        let began = Instant::now();
        client.send(&request).await;
        client.answer().await.expect("an answer");
        shortest = shortest.min(began.elapsed());
    }
    shortest
}

/// Guards against a cost for callers that send one request at a time.
#[test]
fn single_requests_cost_no_more_than_before() {
    run(async {
        let (before, after) = (Listener::start(Reader::Hyper).await, Listener::start(Reader::Pipeline).await);
        let mut clients = (Client::connect(&before).await, Client::connect(&after).await);
        let times = (shortest(&mut clients.0, 500).await, shortest(&mut clients.1, 500).await);
        println!("one request at a time: {:?} before, {:?} after", times.0, times.1);
        assert!(times.1 < times.0 + Duration::from_micros(100), "{times:?}");
    });
}
