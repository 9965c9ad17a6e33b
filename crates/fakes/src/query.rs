//! Strict decoding of query strings.

use {percent_encoding::percent_decode_str, std::collections::BTreeMap};

/// Characters that a query may contain beside letters and digits.
const ALLOWED: &[u8] = b"-._~!$&'()*+,;=:@/?%";

/// Decodes a query as forms do, with `+` for a blank. Returns `None` where a strict server
/// responds 400: a character that no query may contain, an incomplete escape sequence, or
/// text that is not UTF-8.
///
/// ```
/// use citron_fakes::query::decode;
/// assert_eq!(decode("from=a%2Bb+c").unwrap()["from"], "a+b c");
/// assert_eq!(decode("from=100%"), None);
/// ```
pub fn decode(query: &str) -> Option<BTreeMap<String, String>> {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || ALLOWED.contains(&byte);
    let is_escape = |rest: &str| {
        let digits = rest.as_bytes().get(..2);
        digits.is_some_and(|digits| digits.iter().all(u8::is_ascii_hexdigit))
    };
    let is_valid = query.bytes().all(is_allowed)
        && query.split('%').skip(1).all(is_escape)
        && percent_decode_str(query).decode_utf8().is_ok();
    let params = form_urlencoded::parse(query.as_bytes());
    is_valid.then(|| {
        params
            .map(|(name, value)| (name.into(), value.into()))
            .collect()
    })
}
