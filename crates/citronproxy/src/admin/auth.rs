//! Authorization of admin API requests.

use {
    super::AdminError,
    http::{HeaderMap, header},
    subtle::ConstantTimeEq,
};

/// Checks the bearer token.
///
/// The comparison takes the same time wherever the first difference is. If the time grew
/// with the matching prefix, a client could guess the token byte by byte. It can only
/// learn the token's length, which is not secret.
pub(super) fn check_token(token: Option<&str>, headers: &HeaderMap) -> Result<(), AdminError> {
    let token = token.ok_or(AdminError::NoToken)?;
    let value = headers.get(header::AUTHORIZATION);
    let given = value.and_then(|value| value.as_bytes().strip_prefix(b"Bearer "));
    let given = given.ok_or(AdminError::Unauthorized)?;
    match bool::from(given.ct_eq(token.as_bytes())) {
        true => Ok(()),
        false => Err(AdminError::Unauthorized),
    }
}
