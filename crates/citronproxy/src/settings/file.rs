//! Reads and validates the settings file of an instance.

use {
    super::{SettingsError, parse},
    citron_core::id::{DomainName, InstanceId},
    serde::Deserialize,
    std::{io::Read, net::SocketAddr, path::Path},
};

/// Maximum number of traffic threads.
const MAX_THREADS: usize = 64;
/// Minimum length of the admin token.
const MIN_TOKEN_CHARS: usize = 16;

/// Settings of one instance.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Instance id, the same across restarts.
    pub instance: InstanceId,
    /// Failure domain of the instance.
    pub domain: DomainName,
    /// Address at which clients send requests.
    pub traffic: SocketAddr,
    /// Address for calls between instances.
    pub peer: SocketAddr,
    /// Address of the admin API.
    pub admin: SocketAddr,
    /// Address of the platform, which provides the table, the object store and the
    /// instance list.
    pub platform: SocketAddr,
    /// Address at which other instances reach this one, if it differs from `peer`, for
    /// example behind network address translation.
    pub advertise: Option<SocketAddr>,
    /// Peer addresses of some other instances, which are asked for the table while the
    /// platform is unavailable; default none.
    pub seeds: Vec<SocketAddr>,
    /// Number of traffic threads; default 2.
    pub threads: usize,
    /// Bearer token of the admin API; without one the API refuses every request.
    pub token: Option<String>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawSettings {
    instance: String,
    domain: String,
    traffic: SocketAddr,
    peer: SocketAddr,
    admin: SocketAddr,
    platform: SocketAddr,
    advertise: Option<SocketAddr>,
    #[serde(default)]
    seeds: Vec<SocketAddr>,
    #[serde(default = "default_threads")]
    threads: usize,
    token: Option<String>,
}

fn default_threads() -> usize {
    2
}

impl Settings {
    /// Reads and validates a file.
    ///
    /// # Errors
    /// [`SettingsError`] states the file, the field or line, the value found and the
    /// values allowed.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        parse::load::<RawSettings>(path)?.check(path)
    }

    /// Reads and validates settings from any source; `path` only names the source in
    /// errors.
    ///
    /// # Errors
    /// As [`Self::load`].
    pub fn read(path: &Path, source: impl Read) -> Result<Self, SettingsError> {
        parse::read::<RawSettings>(path, source)?.check(path)
    }
}

impl RawSettings {
    fn check(self, path: &Path) -> Result<Settings, SettingsError> {
        let value_error = |field: &str, found: String, allowed: String| SettingsError::Value {
            file: path.to_path_buf(),
            field: field.to_string(),
            found,
            allowed,
        };
        if !(1..=MAX_THREADS).contains(&self.threads) {
            let allowed = format!("1 to {MAX_THREADS}");
            return Err(value_error("threads", self.threads.to_string(), allowed));
        }
        let is_too_short = |token: &String| token.chars().count() < MIN_TOKEN_CHARS;
        if self.token.as_ref().is_some_and(is_too_short) {
            let allowed = format!("at least {MIN_TOKEN_CHARS} characters");
            return Err(value_error("token", "a shorter text".to_string(), allowed));
        }
        Ok(Settings {
            instance: parse::name(path, "instance", &self.instance)?,
            domain: parse::name(path, "domain", &self.domain)?,
            traffic: self.traffic,
            peer: self.peer,
            admin: self.admin,
            platform: self.platform,
            advertise: self.advertise,
            seeds: self.seeds,
            threads: self.threads,
            token: self.token,
        })
    }
}
