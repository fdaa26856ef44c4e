//! Requests as callers send them, whole, in pieces and malformed.

use bytes::BytesMut;
use nutmegwheel_http1::{Decoder, MAX_HEAD_BYTES, Malformed, Stage};
use nutmegwheel_memory::Account;

const BODY_LIMIT: usize = 32;

type Decoded = (String, Vec<u8>, bool);

/// Decodes all requests of a text that arrives in pieces of the given size.
fn decode_in_pieces(text: &[u8], size: usize) -> Result<Vec<Decoded>, Malformed> {
    let (mut decoder, mut buf) = (
        Decoder::open(BODY_LIMIT, Account::unlimited()),
        BytesMut::new(),
    );
    let mut requests = Vec::new();
    for piece in text.chunks(size) {
        buf.extend_from_slice(piece);
        while let Some(req) = decoder.decode(&mut buf)? {
            let path = req.head.uri.path().to_owned();
            requests.push((path, req.body.to_vec(), req.is_last));
        }
    }
    Ok(requests)
}

fn decode(text: &str) -> Result<Vec<Decoded>, Malformed> {
    let whole = decode_in_pieces(text.as_bytes(), text.len());
    for size in [1, 2, 7] {
        assert_eq!(
            decode_in_pieces(text.as_bytes(), size),
            whole,
            "{size}: {text}"
        );
    }
    whole
}

fn request(path: &str, body: &str, is_last: bool) -> Decoded {
    (path.to_owned(), body.as_bytes().to_vec(), is_last)
}

#[test]
fn several_requests_are_decoded_one_after_the_other() {
    let text = "GET /a HTTP/1.1\r\nhost: x\r\n\r\n\
        POST /b HTTP/1.1\r\ncontent-length: 3\r\n\r\nabc\
        POST /c HTTP/1.1\r\ntransfer-encoding: Chunked\r\n\r\n2\r\nde\r\n1;x=y\r\nf\r\n0\r\n\r\n\
        GET /d HTTP/1.1\r\nconnection: close\r\n\r\n";
    let expected = [
        request("/a", "", false),
        request("/b", "abc", false),
        request("/c", "def", false),
        request("/d", "", true),
    ];
    assert_eq!(decode(text).unwrap(), expected);
}

#[test]
fn trailers_are_read_and_dropped() {
    let text = "POST /a HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n1\r\na\r\n0\r\nx: y\r\n\r\n\
        GET /b HTTP/1.1\r\n\r\n";
    let expected = [request("/a", "a", false), request("/b", "", false)];
    assert_eq!(decode(text).unwrap(), expected);
}

#[test]
fn old_version_closes_unless_caller_keeps_connection() {
    let text = "GET /a HTTP/1.0\r\nconnection: keep-alive\r\n\r\nGET /b HTTP/1.0\r\n\r\n";
    let expected = [request("/a", "", false), request("/b", "", true)];
    assert_eq!(decode(text).unwrap(), expected);
}

#[test]
fn upgrade_is_not_agreed_to() {
    let text = "GET /a HTTP/1.1\r\nconnection: upgrade\r\nupgrade: x\r\n\r\n";
    assert_eq!(decode(text).unwrap(), [request("/a", "", false)]);
}

// Guards against UNASKED: a request hidden in the body of another one.
#[test]
fn ambiguous_length_is_refused() {
    for fields in [
        "content-length: 3\r\ntransfer-encoding: chunked",
        "transfer-encoding: chunked\r\ncontent-length: 0",
        "content-length: 3\r\ncontent-length: 3",
        "content-length: 0\r\ncontent-length: 3",
        "content-length: +3",
        "transfer-encoding: gzip, chunked",
        "transfer-encoding: chunked, gzip",
        "transfer-encoding: identity",
        "transfer-encoding: chunked\r\ntransfer-encoding: chunked",
    ] {
        let text = format!("POST /a HTTP/1.1\r\n{fields}\r\n\r\n");
        let refused = decode(&text).unwrap_err();
        assert!(
            matches!(refused, Malformed::Length | Malformed::Head),
            "{fields}: {refused}"
        );
    }
}

#[test]
fn malformed_requests_are_told_apart() {
    let many = "f: x\r\n".repeat(65);
    let long = "x".repeat(MAX_HEAD_BYTES);
    for (text, expected) in [
        ("no request\r\n\r\n".to_owned(), Malformed::Head),
        ("GET /a HTTP/2.0\r\n\r\n".to_owned(), Malformed::Head),
        (
            "GET /a HTTP/1.1\r\nx : y\r\n\r\n".to_owned(),
            Malformed::Head,
        ),
        (
            "POST / HTTP/1.1\r\ncontent-length: x\r\n\r\n".to_owned(),
            Malformed::Head,
        ),
        (
            format!("GET /a HTTP/1.1\r\n{many}\r\n"),
            Malformed::HeadTooLarge,
        ),
        (
            format!("GET /a HTTP/1.1\r\nx: {long}"),
            Malformed::HeadTooLarge,
        ),
        (
            "POST / HTTP/1.1\r\ncontent-length: 33\r\n\r\n".to_owned(),
            Malformed::BodyTooLarge(BODY_LIMIT),
        ),
        (
            format!(
                "POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n21\r\n{}\r\n",
                "x".repeat(33)
            ),
            Malformed::BodyTooLarge(BODY_LIMIT),
        ),
        (
            "POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n".to_owned(),
            Malformed::Body,
        ),
    ] {
        assert_eq!(decode(&text), Err(expected), "{text}");
    }
}

#[test]
fn stage_tells_what_is_being_received() {
    let (mut decoder, mut buf) = (
        Decoder::open(BODY_LIMIT, Account::unlimited()),
        BytesMut::new(),
    );
    assert_eq!(decoder.stage(), Stage::Head);
    buf.extend_from_slice(b"POST / HTTP/1.1\r\nexpect: 100-continue\r\ncontent-length: 2\r\n\r\na");
    assert!(decoder.decode(&mut buf).unwrap().is_none());
    assert_eq!(decoder.stage(), Stage::Body);
    assert!(decoder.take_expects_interim() && !decoder.take_expects_interim());
    buf.extend_from_slice(b"b");
    assert!(decoder.decode(&mut buf).unwrap().is_some());
    assert_eq!(decoder.stage(), Stage::Head);
}

// Load: many bodies at once, most of which never end.
#[test]
fn body_takes_memory_as_it_arrives() {
    let account = Account::open(40);
    let (mut first, mut buf) = (Decoder::open(BODY_LIMIT, account.clone()), BytesMut::new());
    buf.extend_from_slice(b"POST / HTTP/1.1\r\ncontent-length: 30\r\n\r\n0123456789");
    assert!(first.decode(&mut buf).unwrap().is_none());
    assert_eq!((account.held(), first.held_bytes()), (30, 30));
    let mut second = Decoder::open(BODY_LIMIT, account.clone());
    let mut text = BytesMut::from(&b"POST / HTTP/1.1\r\ncontent-length: 32\r\n\r\n"[..]);
    text.extend_from_slice(&[b'x'; 32]);
    assert!(second.decode(&mut text).unwrap().is_none() && second.lacks_memory());
    first.discard();
    let req = second.decode(&mut text).unwrap().unwrap();
    assert!(!second.lacks_memory());
    assert_eq!((req.body.len(), account.held()), (32, 32));
    drop(req);
    assert_eq!(account.held(), 0);
}
