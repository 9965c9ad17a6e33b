//! Responses and the calls to which they belong.

use {
    bytes::Bytes,
    http::{HeaderName, HeaderValue, Response},
};

/// What ties a response to the call that received it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin {
    /// It repeats the id of the call, or nothing else can have arrived on the connection.
    Call,
    /// It has the id of another call.
    OtherCall,
    /// It has no id, and may be an additional response to an earlier call on the connection.
    Unknown,
}

impl Origin {
    /// Origin of a response to the call with this id. `is_first` tells whether the connection
    /// has carried no call before.
    ///
    /// ```
    /// use {bytes::Bytes, citron_ports::Origin, http::{HeaderName, HeaderValue, Response}};
    /// let name = HeaderName::from_static("request-id");
    /// let id = HeaderValue::from_static("9c41");
    /// let unnamed = Response::new(Bytes::new());
    /// assert_eq!(Origin::of(&unnamed, (&name, &id), true), Origin::Call);
    /// assert_eq!(Origin::of(&unnamed, (&name, &id), false), Origin::Unknown);
    /// let mut late = unnamed;
    /// late.headers_mut().insert(name.clone(), HeaderValue::from_static("07be"));
    /// assert_eq!(Origin::of(&late, (&name, &id), true), Origin::OtherCall);
    /// ```
    pub fn of(
        response: &Response<Bytes>,
        (name, id): (&HeaderName, &HeaderValue),
        is_first: bool,
    ) -> Self {
        let headers = response.headers();
        match headers.contains_key(name) {
            true if headers.get_all(name).iter().all(|echoed| echoed == id) => Self::Call,
            true => Self::OtherCall,
            false if is_first => Self::Call,
            false => Self::Unknown,
        }
    }
}

/// Response to a call that has an id.
#[derive(Debug)]
pub struct Reply {
    /// The response to the call, or one that needs no proof that it is.
    pub response: Response<Bytes>,
    /// Response without proof that came before, after which the request was sent again.
    pub unproven: Option<Response<Bytes>>,
}
