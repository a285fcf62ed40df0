//! Connections to a server that violates the protocol.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{HeaderMap, Request};
use test_case::test_case;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

use crate::gate::pool::{AnswerObserver, ServerError, ServerPool};
use crate::gate::{AnswerKind, AttemptId, NativeUpstream, QueueTimeout};
use crate::link::message::CallHead;

const CAP_BYTES: usize = 1_000;

/// Ignores the heads of answers.
struct Unobserved;

impl AnswerObserver for Unobserved {
    fn on_answer_head(&self, _headers: &HeaderMap, _kind: AnswerKind, _begun_us: u64) {}
}

fn call(seq: u64) -> CallHead {
    CallHead {
        attempt: AttemptId { entry: 3, seq },
        call_id: "c".into(),
        service: "intake".into(),
        origin: "intake".into(),
        account: None,
        route: Arc::from(""),
        method: "GET".into(),
        path: "/".into(),
        headers: Vec::new(),
        body_bytes: 0,
        deadline_ms: 1_000,
        objective_ms: 0,
        work_us: 0,
        elsewhere_permille: 0,
        priority: 0,
        repeatable: true,
        depth: 1,
        made_by_run: false,
        repeat_permille: 0,
        patience: QueueTimeout::Long,
        key: None,
        hlc: 0,
    }
}

fn pool(addr: SocketAddr) -> ServerPool {
    ServerPool::new(addr, Arc::new(NativeUpstream))
}

fn request() -> Request<Full<Bytes>> {
    Request::get("/").header("host", "server").body(Full::default()).expect("a valid request")
}

/// Sends the given answers on each connection, one per request, then closes it.
async fn server(answers: &'static [&'static str]) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let addr = listener.local_addr().expect("a bound port");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, answers));
        }
    });
    addr
}

async fn serve(mut stream: TcpStream, answers: &[&str]) {
    let mut buffer = [0; 4_096];
    for answer in answers {
        if stream.read(&mut buffer).await.unwrap_or(0) == 0 {
            return;
        }
        if stream.write_all(answer.as_bytes()).await.is_err() {
            return;
        }
    }
}

#[test_case(&["HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhalf"], ServerError::Broken; "too few bytes")]
#[test_case(&["HTTP/1.1 200 OK\r\ncontent-le"], ServerError::Broken; "a truncated head")]
#[test_case(&["garbage\r\n\r\n"], ServerError::Broken; "garbage")]
#[test_case(&["HTTP/1.1 200 OK\r\ncontent-length: 5000\r\n\r\n"], ServerError::TooLarge; "more than the size limit")]
#[test_case(
    &["HTTP/1.1 200 OK\r\nvaletrack-attempt: 0000000000000003-77\r\ncontent-length: 2\r\n\r\nok"],
    ServerError::Misdirected;
    "an answer to another attempt"
)]
fn incomplete_or_invalid_answer_is_an_error(answers: &'static [&'static str], expected: ServerError) {
    run(async move {
        let pool = pool(server(answers).await);
        let ended = timeout(Duration::from_secs(5), pool.exchange(request(), &call(1), CAP_BYTES, &Unobserved)).await;
        assert_eq!(ended.expect("the exchange ends in time").map(|answer| answer.body).err(), Some(expected));
    });
}

#[test]
fn extra_bytes_never_become_the_next_answer() {
    const DOUBLE: &str = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nfirst\
        HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nstray";
    const SECOND: &str = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nfirst";
    run(async {
        let pool = pool(server(&[DOUBLE, SECOND]).await);
        for seq in 0..50 {
            let ended = pool.exchange(request(), &call(seq), CAP_BYTES, &Unobserved).await;
            if let Ok(answer) = ended {
                assert_eq!(answer.body, "first", "call {seq}");
            }
        }
    });
}

#[test]
fn late_bytes_on_idle_connection_close_it() {
    run(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let addr = listener.local_addr().expect("a bound port");
        tokio::spawn(async move {
            let mut number = 0;
            while let Ok((mut stream, _)) = listener.accept().await {
                number += 1;
                let body = format!("con-{number}");
                tokio::spawn(async move {
                    let answer = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len());
                    let mut buffer = [0; 4_096];
                    let _ = stream.read(&mut buffer).await;
                    let _ = stream.write_all(answer.as_bytes()).await;
                    sleep(Duration::from_millis(20)).await;
                    let _ = stream.write_all(answer.as_bytes()).await;
                    sleep(Duration::from_secs(5)).await;
                });
            }
        });
        let pool = pool(addr);
        let first = pool.exchange(request(), &call(1), CAP_BYTES, &Unobserved).await.expect("an answer");
        assert_eq!(first.body, "con-1");
        sleep(Duration::from_millis(60)).await;
        let second = pool.exchange(request(), &call(2), CAP_BYTES, &Unobserved).await.expect("an answer");
        assert_eq!(second.body, "con-2", "the stray answer must not be returned for this call");
    });
}

#[test]
fn refused_connection_reports_not_started() {
    run(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let addr = listener.local_addr().expect("a bound port");
        drop(listener);
        let pool = pool(addr);
        let ended = pool.exchange(request(), &call(1), CAP_BYTES, &Unobserved).await;
        assert_eq!(ended.map(|answer| answer.status), Err(ServerError::NotStarted));
    });
}

#[test]
fn connection_of_dropped_call_is_not_reused() {
    run(async {
        const SLOW: &str = "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nlate";
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let addr = listener.local_addr().expect("a bound port");
        let (opened, mut connections) = tokio::sync::mpsc::channel(8);
        tokio::spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                let _ = opened.send(()).await;
                tokio::spawn(async move {
                    let mut buffer = [0; 4_096];
                    while stream.read(&mut buffer).await.unwrap_or(0) > 0 {
                        sleep(Duration::from_millis(50)).await;
                        let _ = stream.write_all(SLOW.as_bytes()).await;
                    }
                });
            }
        });
        let pool = pool(addr);
        let dropped =
            timeout(Duration::from_millis(10), pool.exchange(request(), &call(1), CAP_BYTES, &Unobserved)).await;
        assert!(dropped.is_err());
        let answer = pool.exchange(request(), &call(2), CAP_BYTES, &Unobserved).await.expect("an answer");
        assert_eq!(answer.body, "late");
        assert!(connections.recv().await.is_some() && connections.recv().await.is_some());
    });
}

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(test);
}

#[test_case("timeout=0", "con-2"; "a timeout that is over")]
#[test_case("timeout=5, max=100", "con-1"; "a timeout that is not over")]
#[test_case("max=100", "con-1"; "no timeout")]
fn idle_connection_expires_with_keep_alive_timeout(keep_alive: &'static str, expected: &str) {
    run(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let addr = listener.local_addr().expect("a bound port");
        tokio::spawn(async move {
            let mut number = 0;
            while let Ok((mut stream, _)) = listener.accept().await {
                number += 1;
                let body = format!("con-{number}");
                tokio::spawn(async move {
                    let head = format!("HTTP/1.1 200 OK\r\nkeep-alive: {keep_alive}\r\ncontent-length: {}", body.len());
                    let mut buffer = [0; 4_096];
                    while stream.read(&mut buffer).await.unwrap_or(0) > 0 {
                        let _ = stream.write_all(format!("{head}\r\n\r\n{body}").as_bytes()).await;
                    }
                });
            }
        });
        let pool = pool(addr);
        pool.exchange(request(), &call(1), CAP_BYTES, &Unobserved).await.expect("an answer");
        let second = pool.exchange(request(), &call(2), CAP_BYTES, &Unobserved).await.expect("an answer");
        assert_eq!(second.body, expected);
    });
}
