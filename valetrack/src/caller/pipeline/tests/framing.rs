//! Tests of message framing.

use std::fmt::Write;

use crate::caller::pipeline::framing::{Framing, frame, request_of};

fn framing_of(head: &str) -> String {
    match frame(head.as_bytes(), 0) {
        Framing::Known(message) => {
            format!("head {} body {} last {}", message.head_bytes, message.body_bytes, message.is_last)
        }
        other => format!("{other:?}"),
    }
}

/// Guards against a request whose end hyper sees elsewhere: what follows would be read as a request of its own.
#[test]
fn frame_follows_the_rules_of_hyper() {
    let heads = [
        "GET / HTTP/1.1\r\nhost: a\r\n\r\n",
        "\r\nGET / HTTP/1.1\r\nhost: a\r\n\r\n",
        "GET / HTTP/1.1\nhost: a\n\n",
        "GET / HTTP/1.1\r\nhost: a\r\n",
        "POST / HTTP/1.1\r\nContent-Length: 12\r\n\r\n",
        "POST / HTTP/1.1\r\ncontent-length: 12\r\ncontent-length: 12\r\n\r\n",
        "POST / HTTP/1.1\r\ncontent-length: 12\r\ncontent-length: 13\r\n\r\n",
        "POST / HTTP/1.1\r\ncontent-length: +12\r\n\r\n",
        "POST / HTTP/1.1\r\ncontent-length:\r\n\r\n",
        "POST / HTTP/1.1\r\ncontent-length: 18446744073709551616\r\n\r\n",
        "POST / HTTP/1.1\r\ncontent-length: 18446744073709551615\r\n\r\n",
        "POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n",
        "POST / HTTP/1.1\r\ncontent-length: 3\r\ntransfer-encoding: chunked\r\n\r\n",
        "GET / HTTP/1.1\r\nconnection: Close\r\n\r\n",
        "GET / HTTP/1.1\r\nconnection: keep-alive, close\r\n\r\n",
        "GET / HTTP/1.1\r\nconnection: upgrade\r\nupgrade: websocket\r\n\r\n",
        "CONNECT a:80 HTTP/1.1\r\n\r\n",
        "GET / HTTP/1.0\r\n\r\n",
        "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
        "\u{16}\u{3}\u{1}",
        "GET / HTTP/1.1\r\nno header\r\n\r\n",
    ];
    let table = heads.iter().fold(String::new(), |mut table, head| {
        writeln!(table, "{head:?} -> {}", framing_of(head)).expect("memory");
        table
    });
    insta::assert_snapshot!(table);
}

/// Guards against a head that is parsed once per byte: 64 KiB that arrive one by one would cost seconds.
#[test]
fn incomplete_head_is_searched_only_where_it_grew() {
    let head = format!("GET / HTTP/1.1\r\nx: {}\r\n\r\n", "y".repeat(60_000)).into_bytes();
    let began = std::time::Instant::now();
    for end in 1..head.len() {
        assert_eq!(frame(&head[..end], end - 1), Framing::Incomplete);
    }
    assert!(matches!(frame(&head, head.len() - 1), Framing::Known(_)));
    assert!(began.elapsed().as_secs() < 2, "{:?}", began.elapsed());
}

#[test]
fn request_has_method_target_and_all_headers() {
    let bytes = b"GET /a?b=c HTTP/1.1\r\nHost: x\r\nX-Two: 1\r\nx-two: 2\r\n\r\nGET /next";
    let parts = request_of(bytes).expect("a request");
    assert_eq!((parts.method.as_str(), parts.uri.to_string().as_str()), ("GET", "/a?b=c"));
    let values: Vec<_> = parts.headers.get_all("x-two").iter().map(|value| value.as_bytes()).collect();
    assert_eq!((values, parts.headers.len()), (vec![b"1".as_slice(), b"2"], 3));
}
