//! Names that operators assign.

use {
    super::ParseIdError,
    std::{fmt, str::FromStr},
};

/// Longest name, in bytes: the limit of a DNS label.
const MAX_NAME_BYTES: usize = 63;

/// Validates a name that an operator or a backend server supplies.
pub fn check_name(text: &str) -> Result<String, ParseIdError> {
    let allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || "-._".contains(c);
    let valid = !text.is_empty() && text.len() <= MAX_NAME_BYTES && text.chars().all(allowed);
    if !valid {
        let found = text.to_string();
        return Err(ParseIdError::Name { found });
    }
    Ok(text.to_string())
}

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        ///
        /// ```
        #[doc = concat!("use citron_core::id::", stringify!($name), ";")]
        #[doc = concat!("let name: ", stringify!($name), " = \"depot-1\".parse().unwrap();")]
        /// assert_eq!(name.to_string(), "depot-1");
        #[doc = concat!("assert!(\"No Spaces\".parse::<", stringify!($name), ">().is_err());")]
        /// ```
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(String);

        impl $name {
            /// The name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.pad(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = ParseIdError;

            fn from_str(text: &str) -> Result<Self, ParseIdError> {
                check_name(text).map(Self)
            }
        }
    };
}

name_type!(
    /// Name of a service.
    ServiceName
);
name_type!(
    /// Name of a failure domain.
    DomainName
);
name_type!(
    /// Name of an instance, which is the same across restarts.
    InstanceId
);
name_type!(
    /// Name of an operator.
    OperatorName
);
