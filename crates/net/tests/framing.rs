//! Detection of requests with ambiguous framing.

use deck_net::framing::FramingInspector;
use test_case::test_case;

/// Request with ambiguous framing.
const BOTH_HEADERS: &str =
    "POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n";
/// As [`BOTH_HEADERS`], with the headers in the other order and in other case.
const BOTH_HEADERS_REVERSED: &str =
    "POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\nCONTENT-LENGTH:3\r\n\r\n0\r\n\r\n";
/// Request with `Content-Length` only.
const CONTENT_LENGTH: &str = "POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nhello";
/// Request with `Transfer-Encoding` only.
const CHUNKED: &str = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n\
    5;x=y\r\nhello\r\n0\r\nTrailer: t\r\n\r\n";
/// Request whose body looks like a head with ambiguous framing.
const BODY_LIKE_HEAD: &str = "POST / HTTP/1.1\r\nContent-Length: 52\r\n\r\n\
    \r\nG\r\nContent-Length: 1\r\nTransfer-Encoding: a\r\n\r\n....";

/// Guards against request smuggling by ambiguous framing, and against refusing valid requests whose
/// body looks like a head, however the bytes are split into reads.
#[test_case(&[BOTH_HEADERS], Some(1))]
#[test_case(&[BOTH_HEADERS_REVERSED], Some(1))]
#[test_case(&[CONTENT_LENGTH, CHUNKED, CONTENT_LENGTH, BOTH_HEADERS_REVERSED], Some(4); "after others")]
#[test_case(&[CONTENT_LENGTH, CHUNKED, "GET / HTTP/1.1\r\n\r\n", CONTENT_LENGTH], None; "proper ones")]
#[test_case(&[BODY_LIKE_HEAD, CONTENT_LENGTH], None; "body like a head")]
fn ambiguous_head_is_found(requests: &[&str], expected: Option<u64>) {
    let bytes = requests.concat();
    for read_bytes in [1, 2, 3, 7, 64, bytes.len()] {
        let mut inspector = FramingInspector::default();
        for received in bytes.as_bytes().chunks(read_bytes) {
            inspector.inspect(received);
        }
        assert_eq!(inspector.ambiguous_request_number(), expected, "reads of {read_bytes} bytes");
    }
}
