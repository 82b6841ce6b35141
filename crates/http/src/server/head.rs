//! The checks of a request's head that `hyper` does not make.
//!
//! `hyper` takes `content-length` beside `chunked` and repeated equal lengths without showing a
//! handler the one it dropped, and it takes several hosts. Two readings of one head are how requests are smuggled:
//! another server on the path may take the other one, and then the body of one caller is read as
//! the request of the next. So a head with two readings is refused before `hyper` sees it.

use {
    crate::ApiError,
    bytes::{BufMut, BytesMut},
    http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode, Uri},
    httparse::{EMPTY_HEADER, Header, Status},
};

/// The most headers that `hyper` reads. A head with more is split.
const HYPER_HEADERS: usize = 100;

/// The headers by which `hyper` frames a request and keeps its connection.
const ESSENTIAL_HEADERS: [&str; 5] =
    ["host", "content-length", "transfer-encoding", "connection", "expect"];

/// The most lines of one essential header that `hyper` sees of a split head.
const ESSENTIAL_LINES: usize = 8;

/// How the body that follows a head is framed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BodyFraming {
    /// This many bytes.
    Length(u64),
    /// Chunks.
    Chunked,
}

/// A head that may be handed on.
#[derive(Debug)]
pub(crate) struct CheckedHead {
    pub(crate) framing: BodyFraming,
    /// Set if the head has more headers than `hyper` reads.
    pub(crate) split: Option<SplitHead>,
}

/// A head in two parts.
#[derive(Debug)]
pub(crate) struct SplitHead {
    /// The head that `hyper` reads.
    pub(crate) essential: BytesMut,
    /// All headers.
    pub(crate) headers: HeaderMap,
}

/// Checks a whole head, empty line included. The number of headers is bounded only by the size of
/// the head.
pub(crate) fn check_head(head: &[u8], body_limit: u64) -> Result<CheckedHead, ApiError> {
    let mut headers = [EMPTY_HEADER; HYPER_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    match request.parse(head) {
        Ok(status) => {
            let framing = check_request(&request, status, body_limit)?;
            Ok(CheckedHead { framing, split: None })
        }
        Err(httparse::Error::TooManyHeaders) => check_long_head(head, body_limit),
        Err(error) => Err(malformed(&error.to_string())),
    }
}

fn check_long_head(head: &[u8], body_limit: u64) -> Result<CheckedHead, ApiError> {
    let lines = head.iter().filter(|byte| **byte == b'\n').count();
    let mut headers = vec![EMPTY_HEADER; lines];
    let mut request = httparse::Request::new(&mut headers);
    let status = request.parse(head).map_err(|error| malformed(&error.to_string()))?;
    let framing = check_request(&request, status, body_limit)?;
    Ok(CheckedHead { framing, split: Some(SplitHead::new(head, request.headers)?) })
}

impl SplitHead {
    fn new(head: &[u8], headers: &[Header<'_>]) -> Result<Self, ApiError> {
        let first_line = head.iter().position(|byte| *byte == b'\n').map_or(0, |end| end + 1);
        let mut essential = BytesMut::from(&head[..first_line]);
        for name in ESSENTIAL_HEADERS {
            for value in values(headers, name).take(ESSENTIAL_LINES) {
                for part in [name.as_bytes(), b": ", value, b"\r\n"] {
                    essential.put_slice(part);
                }
            }
        }
        essential.put_slice(b"\r\n");
        let mut all = HeaderMap::new();
        for header in headers {
            let name = HeaderName::from_bytes(header.name.as_bytes());
            let name = name.map_err(|error| malformed(&error.to_string()))?;
            let value = HeaderValue::from_bytes(header.value);
            let value = value.map_err(|error| malformed(&error.to_string()))?;
            all.try_append(name, value).map_err(|_| too_many_headers(headers.len()))?;
        }
        Ok(Self { essential, headers: all })
    }
}

fn check_request(
    request: &httparse::Request<'_, '_>,
    status: Status<usize>,
    body_limit: u64,
) -> Result<BodyFraming, ApiError> {
    if status.is_partial() {
        return Err(malformed("an empty line stands inside it"));
    }
    check_method(request.method.unwrap_or_default())?;
    check_target(request.path.unwrap_or_default())?;
    let current = request.version == Some(1);
    check_host(request.headers, current)?;
    framing(request.headers, current, body_limit)
}

fn check_method(method: &str) -> Result<(), ApiError> {
    match Method::from_bytes(method.as_bytes()) {
        Ok(Method::CONNECT) => Err(ApiError::new(
            StatusCode::NOT_IMPLEMENTED,
            "connect_unsupported",
            "CONNECT is not supported: this is no forward proxy; send the request itself",
        )),
        Ok(_) => Ok(()),
        Err(error) => Err(malformed(&error.to_string())),
    }
}

fn check_target(target: &str) -> Result<(), ApiError> {
    Uri::try_from(target).map(drop).map_err(|error| malformed(&error.to_string()))
}

fn check_host(headers: &[Header<'_>], current: bool) -> Result<(), ApiError> {
    match values(headers, "host").count() {
        1 => Ok(()),
        0 if !current => Ok(()),
        count => Err(ApiError::new(
            StatusCode::BAD_REQUEST,
            "host_ambiguous",
            format!("the request has {count} host headers; send exactly one"),
        )),
    }
}

fn framing(
    headers: &[Header<'_>],
    current: bool,
    body_limit: u64,
) -> Result<BodyFraming, ApiError> {
    let lengths: Vec<&[u8]> = values(headers, "content-length").collect();
    let codings: Vec<&[u8]> = values(headers, "transfer-encoding").collect();
    match (lengths.as_slice(), codings.as_slice()) {
        ([], []) => Ok(BodyFraming::Length(0)),
        ([length], []) => declared_length(length, body_limit).map(BodyFraming::Length),
        ([], [coding]) if current && coding.eq_ignore_ascii_case(b"chunked") => {
            Ok(BodyFraming::Chunked)
        }
        ([], _) => Err(ApiError::new(
            StatusCode::NOT_IMPLEMENTED,
            "transfer_encoding_unsupported",
            "the only supported transfer-encoding is a single `chunked` in HTTP/1.1; send that, \
             or a content-length",
        )),
        (_, []) => Err(ApiError::new(
            StatusCode::BAD_REQUEST,
            "length_ambiguous",
            format!("the request has {} content-length headers; send one", lengths.len()),
        )),
        (_, _) => Err(ApiError::new(
            StatusCode::BAD_REQUEST,
            "framing_ambiguous",
            "the request has both content-length and transfer-encoding; send one of them",
        )),
    }
}

fn declared_length(value: &[u8], body_limit: u64) -> Result<u64, ApiError> {
    if value.is_empty() || !value.iter().all(u8::is_ascii_digit) {
        return Err(ApiError::new(
            StatusCode::BAD_REQUEST,
            "length_malformed",
            "content-length is not a number; send the count of the body's bytes in digits",
        ));
    }
    // Digits that do not fit are a length all the same, only a huge one.
    let length = std::str::from_utf8(value).ok().and_then(|digits| digits.parse().ok());
    let length = length.unwrap_or(u64::MAX);
    if length > body_limit {
        return Err(crate::BodyError::TooLarge { limit: body_limit }.into());
    }
    Ok(length)
}

fn values<'a>(headers: &'a [Header<'a>], name: &'a str) -> impl Iterator<Item = &'a [u8]> {
    headers.iter().filter(move |header| header.name.eq_ignore_ascii_case(name)).map(|h| h.value)
}

fn malformed(reason: &str) -> ApiError {
    ApiError::new(
        StatusCode::BAD_REQUEST,
        "head_malformed",
        format!("the request's head is not HTTP/1.1 ({reason}); check the sender's HTTP library"),
    )
}

fn too_many_headers(count: usize) -> ApiError {
    ApiError::new(
        StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
        "too_many_headers",
        format!("the request has {count} headers, more than can be kept; send fewer"),
    )
}
