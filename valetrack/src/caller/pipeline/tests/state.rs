//! Tests of the state of a connection, with a model of hyper as the reader.

use proptest::prelude::*;
use test_case::test_case;

use crate::caller::pipeline::state::{HELD_MAX_BYTES, IN_PROGRESS_MAX, Pipeline};

/// Kind of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Kind {
    /// Repeatable, without a body.
    Lookup,
    /// Repeatable, with a body of this length.
    Search(usize),
    /// Not repeatable, with a body of this length.
    Update(usize),
    /// Repeatable, with a chunked body that looks like a request.
    Chunked,
}

use Kind::{Chunked, Lookup, Search, Update};

/// A request on the wire.
struct Sent {
    kind: Kind,
    head_bytes: usize,
    bytes: Vec<u8>,
}

fn sent(at: usize, kind: Kind) -> Sent {
    let body = b"GET /body HTTP/1.1\r\n\r\n".repeat(200);
    let (method, header, body) = match kind {
        Lookup => ("GET", String::new(), Vec::new()),
        Search(length) => ("SEARCH", format!("content-length: {length}\r\n"), body[..length].to_vec()),
        Update(length) => ("POST", format!("content-length: {length}\r\n"), body[..length].to_vec()),
        Chunked => {
            let chunk = [b"16\r\n", &body[..22], b"\r\n0\r\n\r\n"].concat();
            ("SEARCH", "transfer-encoding: chunked\r\n".to_owned(), chunk)
        }
    };
    let head = format!("{method} /{at} HTTP/1.1\r\nhost: a\r\n{header}\r\n").into_bytes();
    Sent { kind, head_bytes: head.len(), bytes: [head, body].concat() }
}

/// Model of hyper on one connection: reads one request, answers it, and reads the next.
struct Connection {
    pipeline: Pipeline<String>,
    messages: Vec<Sent>,
    /// Message that is read or answered.
    at: usize,
    /// Bytes that hyper has got and not consumed, with those of the present message.
    buffer: Vec<u8>,
    is_delivered: bool,
    is_read: bool,
    /// Everything that hyper got.
    got: Vec<u8>,
    /// What happened, in order.
    log: Vec<String>,
}

impl Connection {
    fn new(kinds: &[Kind]) -> Self {
        let messages = kinds.iter().enumerate().map(|(at, kind)| sent(at, *kind)).collect();
        Self {
            pipeline: Pipeline::default(),
            messages,
            at: 0,
            buffer: Vec::new(),
            is_delivered: false,
            is_read: false,
            got: Vec::new(),
            log: Vec::new(),
        }
    }

    fn wire(&self) -> Vec<u8> {
        self.messages.iter().flat_map(|sent| sent.bytes.clone()).collect()
    }

    /// Receives as much of `bytes` as there is room for, and returns how much that is.
    fn receive(&mut self, bytes: &[u8]) -> usize {
        let count = bytes.len().min(self.pipeline.room());
        self.pipeline.buffer().extend_from_slice(&bytes[..count]);
        self.pipeline.on_received();
        self.start_ahead();
        count
    }

    fn start_ahead(&mut self) {
        while let Some(request) = self.pipeline.next_request() {
            if request.parts.method != "GET" {
                self.pipeline.wait();
                return;
            }
            let path = request.parts.uri.to_string();
            self.log.push(format!("start {path}"));
            self.pipeline.push(&request, path);
            assert!(self.pipeline.in_progress() <= IN_PROGRESS_MAX);
        }
    }

    /// Reads up to `most` bytes where hyper would; returns whether it got any.
    fn poll(&mut self, most: usize) -> bool {
        if self.at == self.messages.len() || (self.is_read && !self.buffer.is_empty()) {
            return false;
        }
        self.pipeline.on_polled();
        let ready = self.pipeline.ready();
        let bytes = ready[..ready.len().min(most)].to_vec();
        self.pipeline.on_handed(bytes.len());
        self.got.extend_from_slice(&bytes);
        self.buffer.extend_from_slice(&bytes);
        self.parse();
        !bytes.is_empty()
    }

    fn parse(&mut self) {
        let Some(sent) = self.messages.get(self.at) else {
            return;
        };
        let path = format!("/{}", self.at);
        if !self.is_delivered && self.buffer.len() >= sent.head_bytes {
            self.is_delivered = true;
            let started = self.pipeline.on_delivered(false);
            assert!(started.as_ref().is_none_or(|started| *started == path), "{started:?} for {path}");
            self.log.push(format!("{} {path}", if started.is_some() { "take" } else { "run" }));
            self.start_ahead();
        }
        let sent = &self.messages[self.at];
        if self.is_delivered && !self.is_read && self.buffer.len() >= sent.bytes.len() {
            self.is_read = true;
            self.buffer.drain(..sent.bytes.len());
            self.pipeline.on_read(!matches!(sent.kind, Update(_)));
            self.start_ahead();
        }
    }

    /// Returns how many requests are delivered, started ahead or reported as unstarted.
    fn accounted(&self) -> usize {
        let count = |what: &str| self.log.iter().filter(|line| line.starts_with(what)).count();
        let started = count("start") - count("take");
        self.at + usize::from(self.is_delivered) + started + self.pipeline.unstarted().len()
    }

    /// Returns how many requests the first `received` bytes of the wire hold, with a delivered one whose body is not
    /// complete.
    fn complete(&self, received: usize) -> usize {
        let ends = self.messages.iter().scan(0, |end, sent| {
            *end += sent.bytes.len();
            Some(*end)
        });
        ends.filter(|end| *end <= received).count().max(self.at + usize::from(self.is_delivered))
    }

    /// Answers the present request if it is read.
    fn answer(&mut self) {
        if self.is_read {
            self.pipeline.on_answered();
            self.pipeline.on_flushed();
            self.at += 1;
            (self.is_delivered, self.is_read) = (false, false);
            self.parse();
        }
    }
}

/// Returns what happens if all bytes arrive, in pieces of these lengths, before the first answer is due.
fn play(kinds: &[Kind], pieces: &[usize], most: usize) -> Vec<String> {
    let mut connection = Connection::new(kinds);
    let wire = connection.wire();
    let mut rest = &wire[..];
    for piece in pieces.iter().cycle() {
        let count = connection.receive(&rest[..rest.len().min(*piece)]);
        rest = &rest[count..];
        while connection.poll(most) {}
        if rest.is_empty() {
            break;
        }
    }
    while connection.at < kinds.len() {
        while connection.poll(most) {}
        assert!(connection.is_read, "hyper lacks bytes of request {}", connection.at);
        connection.answer();
    }
    assert_eq!(connection.got, wire);
    connection.log
}

#[test_case("four-lookups", &[Lookup; 4]; "four lookups")]
#[test_case("update-behind", &[Lookup, Lookup, Update(0), Lookup, Lookup]; "an update behind others")]
#[test_case("search-in-front", &[Search(4_000), Lookup, Lookup]; "a repeatable request with a body in front")]
#[test_case("update-in-front", &[Update(4_000), Lookup, Lookup]; "an update in front")]
#[test_case("chunked-in-front", &[Chunked, Lookup, Lookup]; "a chunked body in front")]
#[test_case("twenty", &[Lookup; 20]; "more than may be in progress")]
fn requests_start_as_soon_as_they_may(name: &str, kinds: &[Kind]) {
    insta::assert_snapshot!(name, play(kinds, &[100_000], 8_192).join("\n"));
}

fn kind() -> impl Strategy<Value = Kind> {
    prop_oneof![4 => Just(Lookup), 1 => (0..3_000_usize).prop_map(Search), 1 => (0..3_000_usize).prop_map(Update)]
}

fn any_kind() -> impl Strategy<Value = Kind> {
    prop_oneof![5 => kind(), 1 => Just(Chunked)]
}

proptest! {
    /// Guards against a request that is started twice, not at all or with other bytes because of where a read ended.
    #[test]
    fn any_split_gives_the_same_requests(
        kinds in prop::collection::vec(kind(), 1..12),
        pieces in prop::collection::vec(1..400_usize, 1..20),
        most in 1..9_000_usize,
    ) {
        prop_assert_eq!(play(&kinds, &pieces, most), play(&kinds, &[100_000], 8_192));
    }

    /// Guards against lost or reordered bytes, a wrong match, and limits that are exceeded, in any interleaving.
    #[test]
    fn any_interleaving_delivers_each_request_once(
        kinds in prop::collection::vec(any_kind(), 1..40),
        steps in prop::collection::vec((1..3_000_usize, 1..9_000_usize, any::<bool>()), 1..100),
    ) {
        let mut connection = Connection::new(&kinds);
        let wire = connection.wire();
        let mut rest = &wire[..];
        for (piece, most, answers) in steps.iter().cycle() {
            let count = connection.receive(&rest[..rest.len().min(*piece)]);
            rest = &rest[count..];
            prop_assert!(HELD_MAX_BYTES - connection.pipeline.room() <= HELD_MAX_BYTES);
            connection.poll(*most);
            if *answers || count == 0 {
                connection.answer();
            }
            if connection.at == kinds.len() {
                break;
            }
        }
        prop_assert_eq!(&connection.got, &wire);
        prop_assert!(!connection.pipeline.has_started());
        let runs = connection.log.iter().filter(|line| !line.starts_with("start")).count();
        prop_assert_eq!(runs, kinds.len());
    }

    /// Guards against a received request that is in no record at the end of its connection.
    #[test]
    fn any_received_request_is_delivered_started_or_unstarted(
        kinds in prop::collection::vec(kind(), 1..40),
        steps in prop::collection::vec((1..3_000_usize, 1..9_000_usize, any::<bool>()), 1..100),
    ) {
        let mut connection = Connection::new(&kinds);
        let wire = connection.wire();
        let mut received = 0;
        for (piece, most, answers) in &steps {
            let end = wire.len().min(received + piece);
            received += connection.receive(&wire[received..end]);
            prop_assert_eq!(connection.accounted(), connection.complete(received));
            connection.poll(*most);
            prop_assert_eq!(connection.accounted(), connection.complete(received));
            if *answers {
                connection.answer();
                prop_assert_eq!(connection.accounted(), connection.complete(received));
            }
        }
    }
}

/// Guards against calls that are started behind an answer that closes the connection: they would be lost.
#[test]
fn nothing_starts_behind_a_request_that_closes() {
    let mut connection = Connection::new(&[]);
    connection.messages = vec![sent(0, Lookup), sent(1, Lookup), sent(2, Lookup)];
    connection.messages[1].bytes = b"GET /1 HTTP/1.1\r\nconnection: close\r\n\r\n".to_vec();
    let wire = connection.wire();
    connection.receive(&wire);
    while connection.poll(8_192) {}
    assert_eq!(connection.log, ["run /0", "start /1"]);
}

/// Guards against a deadlock: hyper waits for bytes that are held back, since it frames a message differently.
#[test]
fn all_bytes_are_ready_once_hyper_frames_differently() {
    let mut pipeline = Pipeline::<()>::default();
    pipeline.buffer().extend_from_slice(b"GET / HTTP/1.1\r\n\r\nmore");
    pipeline.on_received();
    assert_eq!(pipeline.ready().len(), 18);
    pipeline.on_handed(18);
    assert_eq!(pipeline.ready(), b"");
    pipeline.on_polled();
    assert_eq!(pipeline.ready(), b"more");
}

/// Guards against memory that a client can take with a head without an end.
#[test]
fn oversized_head_passes_to_hyper() {
    let mut pipeline = Pipeline::<()>::default();
    pipeline
        .buffer()
        .extend_from_slice(&[b"GET / HTTP/1.1\r\nx: ".as_slice(), &[b'y'; HELD_MAX_BYTES]].concat()[..HELD_MAX_BYTES]);
    pipeline.on_received();
    assert_eq!(pipeline.ready().len(), HELD_MAX_BYTES);
    pipeline.on_handed(HELD_MAX_BYTES);
    assert_eq!((pipeline.passable(), pipeline.room()), (u64::MAX, HELD_MAX_BYTES));
}
