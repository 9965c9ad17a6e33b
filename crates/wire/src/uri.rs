//! Escaping of texts that are put into URIs.

use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, PercentEncode, utf8_percent_encode};

/// Escaped in a query parameter: all characters but the unreserved ones.
const QUERY_VALUE: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'-')
    .remove(b'.')
    .remove(b'_')
    .remove(b'~');
/// Escaped in a path of several segments.
const PATH: &AsciiSet = &QUERY_VALUE.remove(b'/');

/// Escapes the value of a query parameter. Decoders that take `+` for a blank and those that do
/// not read the same value.
///
/// ```
/// use citron_wire::uri::escape_query;
/// assert_eq!(escape_query("a+b c&d=é").to_string(), "a%2Bb%20c%26d%3D%C3%A9");
/// ```
pub fn escape_query(value: &str) -> PercentEncode<'_> {
    utf8_percent_encode(value, QUERY_VALUE)
}

/// Escapes a path, except the slashes between its segments.
///
/// ```
/// use citron_wire::uri::escape_path;
/// assert_eq!(escape_path("a/b?c").to_string(), "a/b%3Fc");
/// ```
pub fn escape_path(path: &str) -> PercentEncode<'_> {
    utf8_percent_encode(path, PATH)
}
