//! Clients that hold as much of the nodes as they can, by bodies and heads that never end.
//!
//! None of their requests is a call, so that they don't count among those that retries are allowed for.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use super::fleet::Fleet;
use crate::streams::{self, Streams};

/// Memory of each VM while there are such clients. Their bodies take several times as much.
pub(super) const MEMORY_MB: u64 = 64;
/// Number of clients of each kind.
const CLIENTS: usize = 16;
/// Length of the bodies that never end.
const BODY_BYTES: usize = 4 << 20;
/// Length of the heads that never end.
const HEAD_BYTES: usize = 15 << 10;
/// Requests on streams of one connection.
const STREAMS: Streams =
    Streams { count: 4, body_bytes: BODY_BYTES / 4, frame_bytes: 16 * 1024, fields: 0, window_bytes: 0 };
/// Path of the requests.
const PATH: &str = "/sheet/";
/// Time after which a client leaves, also in the middle of what it sends.
const STAY: Duration = Duration::from_millis(2_300);
/// Pause between two connections of a client.
const PAUSE: Duration = Duration::from_millis(120);

/// What a client sends.
#[derive(Debug, Clone, Copy)]
enum Kind {
    Body,
    Chunks,
    Head,
    /// Bodies on streams of one HTTP/2 connection.
    Streams,
}

/// Connects such clients to the nodes in turn, until the task is aborted.
pub(super) async fn repeat(fleet: Rc<RefCell<Fleet>>) {
    let addrs: Vec<SocketAddr> = fleet.borrow().vms.iter().map(|vm| vm.caller_addr).collect();
    let mut clients = JoinSet::new();
    for kind in [Kind::Body, Kind::Chunks, Kind::Head, Kind::Streams] {
        let bytes: Rc<[u8]> = bytes_of(kind).into();
        for number in 0..CLIENTS {
            let mut addrs = addrs.clone();
            let first = number % addrs.len();
            addrs.rotate_left(first);
            clients.spawn_local(visit(addrs, bytes.clone()));
        }
    }
    while clients.join_next().await.is_some() {}
}

async fn visit(addrs: Vec<SocketAddr>, bytes: Rc<[u8]>) {
    for addr in addrs.into_iter().cycle() {
        // An error is the end of the connection, for example by a node that refuses the request.
        let _ = timeout(STAY, stay(addr, &bytes)).await;
        sleep(PAUSE).await;
    }
}

/// Sends what a client sends, and stays until the node closes the connection. A client without bytes sends streams.
async fn stay(addr: SocketAddr, bytes: &[u8]) -> std::io::Result<()> {
    let mut stream = TcpStream::connect(addr).await?;
    if bytes.is_empty() {
        let (sent, _) = mpsc::channel(1);
        streams::hold(stream, PATH, STREAMS, sent).await;
        return Ok(());
    }
    stream.write_all(bytes).await?;
    stream.read_to_end(&mut Vec::new()).await.map(drop)
}

fn bytes_of(kind: Kind) -> Vec<u8> {
    let head = |method: &str, fields: &str| format!("{method} {PATH} HTTP/1.1\r\nhost: farm.example\r\n{fields}\r\n");
    match kind {
        Kind::Body => {
            let mut bytes = head("POST", &format!("content-length: {BODY_BYTES}\r\n")).into_bytes();
            bytes.resize(bytes.len() + BODY_BYTES - 1, b'u');
            bytes
        }
        Kind::Chunks => (head("POST", "transfer-encoding: chunked\r\n") + &"1\r\nu\r\n".repeat(BODY_BYTES / 64)).into(),
        Kind::Head => {
            let mut bytes = head("GET", "x-filler: ").into_bytes();
            bytes.truncate(bytes.len() - 2);
            bytes.resize(HEAD_BYTES, b'h');
            bytes
        }
        Kind::Streams => Vec::new(),
    }
}
