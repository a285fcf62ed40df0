//! Tests of the client against stores that refuse, cut, stall or send garbage.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use test_case::test_case;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

use super::{Era, HttpStore, Position, Store, StoreError, SwapOutcome};

const LIMIT_MS: u64 = 200;

/// Starts a store that answers every request with these bytes and closes the connection, or doesn't answer if there are
/// none.
async fn start_store(answer: Option<&'static str>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind a free port");
    let addr = listener.local_addr().expect("read the bound address");
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

#[test_case(Some(""); "answer cut")]
#[test_case(None; "no answer")]
#[test_case(Some("HTTP/1.1 503 Busy\r\ncontent-length: 0\r\n\r\n"); "status 503")]
#[test_case(Some("HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\n{{{"); "invalid JSON")]
#[test_case(Some("HTTP/1.1 200 OK\r\ncontent-length: 18\r\n\r\n{\"succeeded\":true}"); "no revision")]
#[tokio::test]
async fn write_without_complete_answer_has_unknown_outcome(answer: Option<&'static str>) {
    let started = Instant::now();
    let written = client(start_store(answer).await).swap("k", None, b"v".to_vec()).await;
    assert!(matches!(written, Err(StoreError::Lost { .. })), "{written:?}");
    assert!(started.elapsed() < Duration::from_millis(LIMIT_MS * 10), "the call exceeded its time limit");
}

#[tokio::test]
async fn write_to_closed_port_fails_as_unreachable() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind a free port");
    let addr = listener.local_addr().expect("read the bound address");
    drop(listener);
    let written = client(addr).swap("k", None, b"v".to_vec()).await;
    assert!(matches!(written, Err(StoreError::Unreachable { .. })), "{written:?}");
}

#[tokio::test]
async fn refused_write_is_reported_as_refused() {
    let addr = start_store(Some("HTTP/1.1 200 OK\r\ncontent-length: 19\r\n\r\n{\"succeeded\":false}")).await;
    assert_eq!(
        client(addr).swap("k", Some(Position::new(Era::new(1), 4)), b"v".to_vec()).await,
        Ok(SwapOutcome::Refused)
    );
}

#[tokio::test]
async fn read_of_value_without_revision_fails() {
    let addr = start_store(Some("HTTP/1.1 200 OK\r\ncontent-length: 23\r\n\r\n{\"kvs\":[{\"key\":\"aw==\"}]}")).await;
    let read = client(addr).read("k").await;
    assert!(matches!(read, Err(StoreError::Invalid { .. } | StoreError::Unreachable { .. })), "{read:?}");
}
