//! The settings of a daemon: one YAML file, read once at start.
//!
//! Settings say what only this host knows (addresses, failure domain, roles, folders, keys). Everything that the fleet
//! shares is in the replicated configuration.

use std::net::SocketAddr;
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};

use miette::{Diagnostic, NamedSource, SourceSpan};
use primrose_base::name::Name;
use primrose_wire::key::Key;
use serde::Deserialize;

use crate::logger;

/// The settings of a daemon.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the fleet; a data folder of another fleet is refused.
    pub fleet: Name,
    /// Name of this host.
    pub host: Name,
    /// The failure domain of this host.
    pub failure_domain: Name,
    /// Where callers connect; port 0 lets the kernel choose.
    pub caller_address: SocketAddr,
    /// Where operators connect, also health and readiness.
    pub operator_address: SocketAddr,
    /// Where other daemons connect, TCP and UDP.
    pub peer_address: SocketAddr,
    /// File with the key that all daemons of the fleet share; readable by its owner only.
    pub fleet_key_file: PathBuf,
    /// SHA-256 of the operators' keys, in hexadecimal digits.
    #[serde(default)]
    pub operator_key_sha256: Vec<primrose_config::KeyHash>,
    /// Folder for the replicated log; only hosts that keep a replica have one.
    #[serde(default)]
    pub data_folder: Option<PathBuf>,
    /// Daemons to contact first, this host may be among them; the configuration adds the others.
    pub peers: Vec<Peer>,
    /// The log.
    #[serde(default)]
    pub log: Log,
    /// Where counters are sent in the statsd format; nowhere by default.
    #[serde(default)]
    pub statsd_address: Option<SocketAddr>,
    /// Limits for callers.
    #[serde(default)]
    pub limits: Limits,
}

/// A daemon to contact first.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Peer {
    /// Name of the host.
    pub host: Name,
    /// Its failure domain.
    pub failure_domain: Name,
    /// Its `peer_address`.
    pub peer_address: SocketAddr,
    /// Whether it keeps a replica of the log when the fleet is formed.
    #[serde(default)]
    pub voter: bool,
}

/// Settings of the log.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Log {
    /// `terminal` (default) or `json`.
    pub format: logger::Format,
    /// `error`, `warning`, `info` (default) or `debug`.
    pub level: logger::Threshold,
}

/// Limits for callers of this host.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// The largest request body in bytes; 16 MiB by default.
    pub max_body_bytes: u64,
    /// A request that waits longer for a slot is refused; 60 s by default.
    pub queue_timeout_ms: u64,
    /// A backend server that sends no first byte for so long has failed; 120 s by default.
    pub answer_timeout_ms: u64,
    /// Requests that wait here at most; 4,000 by default.
    pub waiting_per_host: u32,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            max_body_bytes: 16 << 20,
            queue_timeout_ms: 60_000,
            answer_timeout_ms: 120_000,
            waiting_per_host: 4_000,
        }
    }
}

/// Why settings were refused.
#[derive(Debug, thiserror::Error, Diagnostic)]
pub enum Error {
    /// A file cannot be read.
    #[error("{path} cannot be read: {source}")]
    Read {
        /// The file.
        path: String,
        /// The error of the file system.
        source: std::io::Error,
    },
    /// The text is not valid.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Text(Box<Invalid>),
    /// A key file can be read by others.
    #[error(
        "{path} has the permissions {mode:03o}; a key file must be readable by its owner only (600)"
    )]
    Permissions {
        /// The file.
        path: String,
        /// Its permission bits.
        mode: u32,
    },
    /// A key file holds an unsuitable key.
    #[error("{path}: {source}")]
    Key {
        /// The file.
        path: String,
        /// Why.
        source: primrose_wire::key::TooShort,
    },
}

/// What is wrong with the text of a settings file.
#[derive(Debug, thiserror::Error, Diagnostic)]
#[error("{message}")]
pub struct Invalid {
    /// What is wrong.
    pub message: String,
    /// The settings file.
    #[source_code]
    pub source_code: NamedSource<String>,
    /// Where.
    #[label("here")]
    pub place: Option<SourceSpan>,
    /// What to write instead.
    #[help]
    pub help: Option<String>,
}

/// Reads and checks a settings file. Relative paths in it are relative to its folder.
///
/// # Errors
///
/// Returns an [`Error`] with the place in the text where it can be told.
pub fn read(path: &Path) -> Result<Settings, Error> {
    let text = read_text(path)?;
    let mut settings = parse(&path.display().to_string(), &text)?;
    let folder = path.parent().unwrap_or(Path::new("."));
    settings.fleet_key_file = folder.join(&settings.fleet_key_file);
    settings.data_folder = settings.data_folder.map(|data| folder.join(data));
    Ok(settings)
}

/// Checks the text of a settings file; `name` stands for the file in errors.
///
/// # Errors
///
/// Returns [`Error::Text`] with the place in the text where it can be told.
pub fn parse(name: &str, text: &str) -> Result<Settings, Error> {
    let settings: Settings =
        serde_yaml_ng::from_str(text).map_err(|error| text_error(name, text, &error))?;
    check(&settings).map_err(|message| invalid(name, text, message, None, None))?;
    Ok(settings)
}

/// Reads the fleet key.
///
/// # Errors
///
/// Refuses a file that others can read and a key that is too short.
pub fn read_key(path: &Path) -> Result<Key, Error> {
    let name = path.display().to_string();
    let metadata = std::fs::metadata(path).map_err(|source| Error::Read {
        path: name.clone(),
        source,
    })?;
    let mode = metadata.mode() & 0o777;
    if mode & 0o077 != 0 {
        return Err(Error::Permissions { path: name, mode });
    }
    let text = read_text(path)?;
    Key::new(text.trim().as_bytes()).map_err(|source| Error::Key { path: name, source })
}

fn read_text(path: &Path) -> Result<String, Error> {
    std::fs::read_to_string(path).map_err(|source| Error::Read {
        path: path.display().to_string(),
        source,
    })
}

fn check(settings: &Settings) -> Result<(), String> {
    let voters = settings.peers.iter().filter(|peer| peer.voter).count();
    if voters == 0 {
        return Err("peers: at least one peer must have 'voter: true'".to_owned());
    }
    let own = settings
        .peers
        .iter()
        .find(|peer| peer.host == settings.host);
    if own.is_some_and(|own| own.voter) && settings.data_folder.is_none() {
        return Err(
            "data_folder is missing: this host is listed as a voter and needs a disk".to_owned(),
        );
    }
    if own.is_some_and(|own| own.failure_domain != settings.failure_domain) {
        return Err(
            "peers: the failure_domain listed for this host differs from its own".to_owned(),
        );
    }
    Ok(())
}

fn text_error(name: &str, text: &str, error: &serde_yaml_ng::Error) -> Error {
    let message = error.to_string();
    let place = error
        .location()
        .map(|location| SourceSpan::from((location.index(), 1)));
    let help = nearest_key(&message);
    invalid(name, text, message, place, help)
}

fn invalid(
    name: &str,
    text: &str,
    message: String,
    place: Option<SourceSpan>,
    help: Option<String>,
) -> Error {
    let source_code = NamedSource::new(name, text.to_owned());
    Error::Text(Box::new(Invalid {
        message,
        source_code,
        place,
        help,
    }))
}

/// For a message like "unknown field `a`, expected one of `b`, `c`" suggests the expected key that is most alike.
fn nearest_key(message: &str) -> Option<String> {
    let (_, rest) = message.split_once("unknown field `")?;
    let (unknown, rest) = rest.split_once('`')?;
    let expected = rest.split('`').skip(1).step_by(2);
    let nearest = expected.max_by(|a, b| {
        strsim::jaro_winkler(unknown, a).total_cmp(&strsim::jaro_winkler(unknown, b))
    })?;
    Some(format!("did you mean '{nearest}'?"))
}
