//! Parsing of settings files, independent of their fields.

use {
    super::SettingsError,
    json_comments::StripComments,
    serde::de::DeserializeOwned,
    std::{
        fs::File,
        io::{BufReader, Read},
        path::Path,
        str::FromStr,
        time::Duration,
    },
};

/// Reads a file of JSON with comments.
///
/// # Errors
/// If the file cannot be read, or does not match the fields of `T`.
pub fn load<T: DeserializeOwned>(path: &Path) -> Result<T, SettingsError> {
    let file = File::open(path).map_err(|source| SettingsError::Read {
        file: path.to_path_buf(),
        source,
    })?;
    read(path, BufReader::new(file))
}

/// Reads JSON with comments from any source; `path` only names the source in errors.
///
/// # Errors
/// If the input does not match the fields of `T`, or anything follows it.
pub fn read<T: DeserializeOwned>(path: &Path, source: impl Read) -> Result<T, SettingsError> {
    let mut json = serde_json::Deserializer::from_reader(StripComments::new(source));
    let parsed = serde_path_to_error::deserialize::<_, T>(&mut json);
    let value = parsed.map_err(|error| SettingsError::Syntax {
        file: path.to_path_buf(),
        field: error.path().to_string(),
        message: error.inner().to_string(),
    })?;
    json.end().map_err(|error| SettingsError::Syntax {
        file: path.to_path_buf(),
        field: ".".to_string(),
        message: error.to_string(),
    })?;
    Ok(value)
}

/// Parses a name.
///
/// # Errors
/// If the name contains characters that are not allowed.
pub fn name<T: FromStr>(path: &Path, field: &str, text: &str) -> Result<T, SettingsError> {
    text.parse().map_err(|_| SettingsError::Value {
        file: path.to_path_buf(),
        field: field.to_string(),
        found: text.to_string(),
        allowed: "1 to 63 of a-z, 0-9, '-', '.' and '_'".to_string(),
    })
}

/// Converts a number of seconds to a duration.
///
/// # Errors
/// If the number is negative or not finite.
pub fn seconds(path: &Path, field: &str, value: f64) -> Result<Duration, SettingsError> {
    Duration::try_from_secs_f64(value).map_err(|_| SettingsError::Value {
        file: path.to_path_buf(),
        field: field.to_string(),
        found: value.to_string(),
        allowed: "seconds from 0".to_string(),
    })
}
