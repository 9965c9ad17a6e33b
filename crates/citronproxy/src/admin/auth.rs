//! Who may call.

use {
    super::AdminError,
    http::{HeaderMap, header},
    subtle::ConstantTimeEq,
};

/// Checks the bearer token.
///
/// The comparison takes the same time wherever the first difference is: a time
/// that grew with the matching part would let a caller guess the token byte by
/// byte. Only its length can be learnt, which is no secret.
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
