//! Reading and checking a settings file.

use {
    super::{SettingsError, parse},
    citron_core::id::{DomainName, InstanceId},
    serde::Deserialize,
    std::{io::Read, net::SocketAddr, path::Path},
};

/// The most traffic threads.
const MAX_THREADS: usize = 64;
/// The shortest admin token, in characters.
const MIN_TOKEN_CHARS: usize = 16;

/// Settings of one instance.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Its name, the same across restarts.
    pub instance: InstanceId,
    /// Its failure domain.
    pub domain: DomainName,
    /// Where it takes callers' requests.
    pub traffic: SocketAddr,
    /// Where it talks with other instances.
    pub peer: SocketAddr,
    /// Where it takes operators' requests.
    pub admin: SocketAddr,
    /// The platform's table, object store and instance list.
    pub platform: SocketAddr,
    /// Where other instances reach this one, if not at `peer`, as behind an
    /// address translation.
    pub advertise: Option<SocketAddr>,
    /// Peer addresses of some other instances, asked for the table at a start
    /// while the platform is down; none if not given.
    pub seeds: Vec<SocketAddr>,
    /// Traffic threads; 2 if not given.
    pub threads: usize,
    /// Bearer token of the admin API; without one the API refuses every call.
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
    /// Reads and checks a file.
    ///
    /// # Errors
    /// [`SettingsError`] names the file, the field or line, what was found and
    /// what is allowed.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        parse::load::<RawSettings>(path)?.check(path)
    }

    /// Checks settings from any source; `path` only names them in errors.
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
