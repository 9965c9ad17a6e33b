//! Status codes of responses.

use http::StatusCode;

/// Whether a status is that of a final response (RFC 9110, section 15). A message with another one
/// tells nothing of its request. The HTTP library skips interim responses except a
/// `101 Switching Protocols`, which nobody asks for.
///
/// ```
/// use {citron_ports::is_final_status, http::StatusCode};
/// assert!(is_final_status(StatusCode::NOT_FOUND));
/// assert!(!is_final_status(StatusCode::SWITCHING_PROTOCOLS));
/// assert!(!is_final_status(StatusCode::from_u16(999).unwrap()));
/// ```
pub fn is_final_status(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}
