//! The client against stores that refuse, cut, stall and babble.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use test_case::test_case;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

use super::{Era, HttpStore, Position, Store, StoreError, Written};

const LIMIT_MS: u64 = 200;

/// Answers every request with these bytes, then closes; none means silence.
async fn store(answer: Option<&'static str>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let addr = listener.local_addr().expect("a bound port");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut buffer = [0; 4_096];
                let _ = stream.read(&mut buffer).await;
                match answer {
                    Some(answer) => {
                        let _ = stream.write_all(answer.as_bytes()).await;
                    }
                    None => std::future::pending().await,
                }
            });
        }
    });
    addr
}

fn client(addr: SocketAddr) -> HttpStore {
    HttpStore::new(addr, Duration::from_millis(LIMIT_MS))
}

#[test_case(Some(""); "the answer is cut")]
#[test_case(None; "the store is silent")]
#[test_case(Some("HTTP/1.1 503 Busy\r\ncontent-length: 0\r\n\r\n"); "a failure is told")]
#[test_case(Some("HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\n{{{"); "the answer is garbage")]
#[test_case(Some("HTTP/1.1 200 OK\r\ncontent-length: 18\r\n\r\n{\"succeeded\":true}"); "the revision is missing")]
#[tokio::test]
async fn a_write_without_a_whole_answer_counts_as_lost(answer: Option<&'static str>) {
    let began = Instant::now();
    let written = client(store(answer).await).swap("k", None, b"v".to_vec()).await;
    assert!(matches!(written, Err(StoreError::Lost { .. })), "{written:?}");
    assert!(began.elapsed() < Duration::from_millis(LIMIT_MS * 10), "a call ends in time");
}

#[tokio::test]
async fn a_store_that_is_not_there_was_sent_nothing() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let addr = listener.local_addr().expect("a bound port");
    drop(listener);
    let written = client(addr).swap("k", None, b"v".to_vec()).await;
    assert!(matches!(written, Err(StoreError::Unreachable { .. })), "{written:?}");
}

#[tokio::test]
async fn a_refused_write_is_told_apart() {
    let addr = store(Some("HTTP/1.1 200 OK\r\ncontent-length: 19\r\n\r\n{\"succeeded\":false}")).await;
    assert_eq!(client(addr).swap("k", Some(Position::new(Era::new(1), 4)), b"v".to_vec()).await, Ok(Written::Refused));
}

#[tokio::test]
async fn a_value_without_a_revision_is_no_value() {
    let addr = store(Some("HTTP/1.1 200 OK\r\ncontent-length: 23\r\n\r\n{\"kvs\":[{\"key\":\"aw==\"}]}")).await;
    let read = client(addr).read("k").await;
    assert!(matches!(read, Err(StoreError::Invalid { .. } | StoreError::Unreachable { .. })), "{read:?}");
}
