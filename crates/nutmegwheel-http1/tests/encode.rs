//! The form of responses.

use bytes::{Bytes, BytesMut};
use http::{HeaderValue, Response, StatusCode, header};
use nutmegwheel_http1::{Encoder, Framing};

const PLAIN: Framing = Framing {
    is_head: false,
    is_http10: false,
};

fn encode(res: Response<Bytes>, framing: Framing, is_last: bool) -> (String, Bytes) {
    let mut buf = BytesMut::new();
    let body = Encoder::default().encode(res, framing, is_last, &mut buf);
    (String::from_utf8(buf.to_vec()).unwrap(), body)
}

fn response(body: &'static str) -> Response<Bytes> {
    let mut res = Response::new(Bytes::from_static(body.as_bytes()));
    let headers = res.headers_mut();
    headers.insert("x-a", HeaderValue::from_static("1"));
    headers.append("x-a", HeaderValue::from_static("2"));
    res
}

#[test]
fn length_is_that_of_the_body() {
    let mut res = response("abc");
    let headers = res.headers_mut();
    headers.insert(header::CONTENT_LENGTH, HeaderValue::from_static("7"));
    headers.insert(
        header::TRANSFER_ENCODING,
        HeaderValue::from_static("chunked"),
    );
    let (head, body) = encode(res, PLAIN, false);
    assert!(head.starts_with("HTTP/1.1 200 OK\r\n"), "{head}");
    assert!(
        head.contains("\r\ncontent-length: 3\r\n") && head.ends_with("\r\n\r\n"),
        "{head}"
    );
    assert!(
        !head.contains("transfer-encoding") && !head.contains("connection"),
        "{head}"
    );
    assert!(
        head.contains("\r\nx-a: 1") && head.contains("\r\ndate: "),
        "{head}"
    );
    assert_eq!(body, "abc");
}

#[test]
fn only_last_response_tells_the_close() {
    let mut res = response("");
    let close = HeaderValue::from_static("close");
    res.headers_mut().insert(header::CONNECTION, close);
    let (head, _) = encode(res.clone(), PLAIN, false);
    assert!(!head.contains("connection"), "{head}");
    let (head, _) = encode(res, PLAIN, true);
    assert!(head.contains("\r\nconnection: close\r\n"), "{head}");
}

#[test]
fn response_to_head_request_has_no_body() {
    let framing = Framing {
        is_head: true,
        ..PLAIN
    };
    let (head, body) = encode(response("abc"), framing, false);
    assert!(head.contains("\r\ncontent-length: 3\r\n"), "{head}");
    assert!(body.is_empty());
}

#[test]
fn statuses_without_a_body_have_none() {
    for status in [StatusCode::NO_CONTENT, StatusCode::NOT_MODIFIED] {
        let mut res = response("abc");
        *res.status_mut() = status;
        let (head, body) = encode(res, PLAIN, false);
        assert!(!head.contains("content-length"), "{head}");
        assert!(body.is_empty());
    }
}
