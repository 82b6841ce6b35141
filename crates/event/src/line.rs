//! Encoding and decoding of key=value lines.
//!
//! A value of visible ASCII characters other than `"`, `\` and `=` is written unquoted. Any other
//! value is written as a JSON string with everything outside printable ASCII escaped. A value
//! therefore cannot inject a field, a line or a terminal control sequence.

use std::fmt::{Display, Write};

/// Maximum length of a value in bytes; longer values are truncated and end in
/// [`TRUNCATION_MARK`].
const MAX_VALUE_BYTES: usize = 240;

/// Suffix of a truncated value.
const TRUNCATION_MARK: &str = "...";

/// Appends ` key=value`, quoted and truncated as necessary.
pub(crate) fn push_field(line: &mut String, key: &str, value: &dyn Display) {
    debug_assert!(is_key(key), "field key {key:?} must be of a-z, 0-9 and '_'");
    line.push(' ');
    line.push_str(key);
    line.push('=');
    let start = line.len();
    write!(line, "{value}").expect("a String takes every write");
    let unquoted = line.len() - start <= MAX_VALUE_BYTES && is_unquoted(&line[start..]);
    if !unquoted {
        let raw = line.split_off(start);
        push_quoted(line, &raw);
    }
}

/// Appends ` key=value` for free text, such as an error message.
pub(crate) fn push_text_field(line: &mut String, key: &str, value: &dyn Display) {
    push_field(line, key, value);
}

fn is_key(key: &str) -> bool {
    let allowed = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'_';
    !key.is_empty() && key.bytes().all(allowed)
}

fn is_unquoted(value: &str) -> bool {
    let allowed = |b: u8| b.is_ascii_graphic() & (b != b'"') & (b != b'\\') & (b != b'=');
    // A fold without early exit lets the compiler vectorize the loop, which pays off for ids, the
    // longest values.
    value.bytes().fold(!value.is_empty(), |unquoted, b| unquoted & allowed(b))
}

fn push_quoted(line: &mut String, raw: &str) {
    let json = match raw.len() <= MAX_VALUE_BYTES {
        true => serde_json::Value::from(raw).to_string(),
        false => serde_json::Value::from(format!("{}{TRUNCATION_MARK}", truncate(raw))).to_string(),
    };
    for c in json.chars() {
        match c {
            ' '..='~' => line.push(c),
            _ => push_escaped(line, c),
        }
    }
}

fn push_escaped(line: &mut String, c: char) {
    for unit in c.encode_utf16(&mut [0; 2]) {
        write!(line, "\\u{unit:04x}").expect("a String takes every write");
    }
}

fn truncate(raw: &str) -> &str {
    let mut end = MAX_VALUE_BYTES;
    while !raw.is_char_boundary(end) {
        end -= 1;
    }
    &raw[..end]
}

/// Splits the first `key=value` off `rest` and returns the key, the decoded value and the
/// remainder; `None` if `rest` does not begin with a valid pair.
pub(crate) fn take_field(rest: &str) -> Option<(&str, String, &str)> {
    let (key, rest) = rest.split_once('=')?;
    if !is_key(key) {
        return None;
    }
    let (value, rest) = match rest.starts_with('"') {
        true => take_quoted(rest)?,
        false => take_unquoted(rest)?,
    };
    match rest.strip_prefix(' ') {
        Some(rest) => Some((key, value, rest)),
        None => rest.is_empty().then_some((key, value, "")),
    }
}

fn take_quoted(text: &str) -> Option<(String, &str)> {
    let mut strings = serde_json::Deserializer::from_str(text).into_iter::<String>();
    let value = strings.next()?.ok()?;
    let end = strings.byte_offset();
    Some((value, &text[end..]))
}

fn take_unquoted(text: &str) -> Option<(String, &str)> {
    let end = text.find(' ').unwrap_or(text.len());
    let (value, rest) = text.split_at(end);
    is_unquoted(value).then(|| (value.to_owned(), rest))
}
