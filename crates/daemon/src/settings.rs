//! The settings of a daemon: one YAML file, read once at start.
//!
//! The settings contain what is specific to one host: addresses, failure domain, roles, folders and keys. Everything
//! that is common to the fleet is in the replicated configuration.

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
    /// Name of the fleet. The daemon refuses a data folder of another fleet.
    pub fleet: Name,
    /// Name of this host, unique in the fleet.
    pub host: Name,
    /// Failure domain of this host; must match the entry for this host in `peers`, if there is one.
    pub failure_domain: Name,
    /// Address for connections of callers. With port 0 the kernel chooses a port.
    pub caller_address: SocketAddr,
    /// Address for operators, and for health and readiness checks.
    pub operator_address: SocketAddr,
    /// Address for other daemons, for TCP and UDP.
    pub peer_address: SocketAddr,
    /// File with the key that all daemons of the fleet share. It must be readable by its owner only.
    pub fleet_key_file: PathBuf,
    /// SHA-256 hashes of the operators' keys, in hexadecimal digits.
    #[serde(default)]
    pub operator_key_sha256: Vec<primrose_config::KeyHash>,
    /// Folder for the replica of the log. Only hosts that keep a replica have one.
    #[serde(default)]
    pub data_folder: Option<PathBuf>,
    /// Daemons to contact before this host has a configuration. The list may contain this host.
    pub peers: Vec<Peer>,
    /// Format and level of the log.
    #[serde(default)]
    pub log: Log,
    /// UDP address to which counters are sent in the statsd format; by default they are not sent.
    #[serde(default)]
    pub statsd_address: Option<SocketAddr>,
    /// Limits on requests of callers.
    #[serde(default)]
    pub limits: Limits,
}

/// A daemon to contact before this host has a configuration.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Peer {
    /// Name of the host.
    pub host: Name,
    /// Failure domain of the host.
    pub failure_domain: Name,
    /// The `peer_address` of the host.
    pub peer_address: SocketAddr,
    /// Whether the host is a voter of the log when the fleet is formed.
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

/// The shortest grace period, in ms: requests without an answer get one some time before its end.
pub const MIN_GRACE_MS: u64 = 1_000;

/// Limits on requests of callers to this host.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Maximum size of a request body, in bytes; 16 MiB by default.
    pub max_body_bytes: u64,
    /// Longest time that a request waits for a slot before it is refused, in ms; 60 s by default.
    pub queue_timeout_ms: u64,
    /// Longest time until a backend server sends the first byte of its answer, in ms; 120 s by default. After that
    /// the attempt has failed.
    pub answer_timeout_ms: u64,
    /// Maximum number of requests that wait for a slot on this host; 4,000 by default.
    pub waiting_per_host: u32,
    /// Time from the signal to stop until the process ends, in ms, at least [`MIN_GRACE_MS`]. By default it ends once all
    /// requests in flight have finished.
    pub grace_ms: Option<u64>,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            max_body_bytes: 16 << 20,
            queue_timeout_ms: 60_000,
            answer_timeout_ms: 120_000,
            waiting_per_host: 4_000,
            grace_ms: None,
        }
    }
}

/// Why a settings file or its key file is refused.
#[derive(Debug, thiserror::Error, Diagnostic)]
pub enum Error {
    /// A file cannot be read.
    #[error("{path} cannot be read: {source}")]
    Read {
        /// Path of the file.
        path: String,
        /// The error of the file system.
        source: std::io::Error,
    },
    /// The text of the settings file is not valid.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Text(Box<Invalid>),
    /// The key file gives permissions to users other than its owner.
    #[error(
        "{path} has the permissions {mode:03o}; a key file must be readable by its owner only (600)"
    )]
    Permissions {
        /// Path of the file.
        path: String,
        /// Permission bits of the file.
        mode: u32,
    },
    /// The key in the key file is too short.
    #[error("{path}: {source}")]
    Key {
        /// Path of the file.
        path: String,
        /// The error, with the length of the key.
        source: primrose_wire::key::TooShort,
    },
}

/// An error in the text of a settings file, shown with the text around it.
#[derive(Debug, thiserror::Error, Diagnostic)]
#[error("{message}")]
pub struct Invalid {
    /// Human-readable description of the error.
    pub message: String,
    /// Name and text of the settings file.
    #[source_code]
    pub source_code: NamedSource<String>,
    /// Position of the error in the text; `None` if the error concerns the settings as a whole.
    #[label("here")]
    pub span: Option<SourceSpan>,
    /// Suggestion for the correct text.
    #[help]
    pub help: Option<String>,
}

/// Reads and checks a settings file. Relative paths in the file are resolved against its folder.
///
/// # Errors
///
/// Returns an [`Error`] if the file cannot be read or is not valid, with the position in the text if it is known.
pub fn read(path: &Path) -> Result<Settings, Error> {
    let text = read_text(path)?;
    let mut settings = parse(&path.display().to_string(), &text)?;
    let folder = path.parent().unwrap_or(Path::new("."));
    settings.fleet_key_file = folder.join(&settings.fleet_key_file);
    settings.data_folder = settings.data_folder.map(|data| folder.join(data));
    Ok(settings)
}

/// Parses and checks the text of a settings file. Errors refer to the file as `name`.
///
/// # Errors
///
/// Returns [`Error::Text`], with the position in the text if it is known.
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
/// Returns an [`Error`] if the file cannot be read, users other than its owner have access to it, or the key is too
/// short.
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
    if settings.limits.grace_ms.is_some_and(|ms| ms < MIN_GRACE_MS) {
        return Err(format!(
            "limits.grace_ms must be at least {MIN_GRACE_MS}; leave it out for no time limit"
        ));
    }
    Ok(())
}

fn text_error(name: &str, text: &str, error: &serde_yaml_ng::Error) -> Error {
    let message = error.to_string();
    let span = error
        .location()
        .map(|location| SourceSpan::from((location.index(), 1)));
    let help = nearest_key(&message);
    invalid(name, text, message, span, help)
}

fn invalid(
    name: &str,
    text: &str,
    message: String,
    span: Option<SourceSpan>,
    help: Option<String>,
) -> Error {
    let source_code = NamedSource::new(name, text.to_owned());
    Error::Text(Box::new(Invalid {
        message,
        source_code,
        span,
        help,
    }))
}

/// Suggests the most similar expected key for a message like "unknown field `a`, expected one of `b`, `c`".
fn nearest_key(message: &str) -> Option<String> {
    let (_, rest) = message.split_once("unknown field `")?;
    let (unknown, rest) = rest.split_once('`')?;
    let expected = rest.split('`').skip(1).step_by(2);
    let nearest = expected.max_by(|a, b| {
        strsim::jaro_winkler(unknown, a).total_cmp(&strsim::jaro_winkler(unknown, b))
    })?;
    Some(format!("did you mean '{nearest}'?"))
}
