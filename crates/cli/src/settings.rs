//! Addresses and the key, from the command line or the environment.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use primrose_operator::{Client, Key, Timeouts};

use crate::end::End;

/// Addresses of daemons, if there is no `--addresses`.
const ADDRESSES: &str = "PRIMROSE_ADDRESSES";

/// File with the key, if there is no `--key-file`.
const KEY_FILE: &str = "PRIMROSE_KEY_FILE";

/// The key itself, if there is no file.
const KEY: &str = "PRIMROSE_KEY";

/// The client for the values of `--addresses` and `--key-file`, or for those of the environment.
pub(crate) fn client(addresses: Option<&str>, key_file: Option<&Path>) -> Result<Client, End> {
    let addresses = parse_addresses(addresses)?;
    Ok(Client::new(addresses, key(key_file)?, Timeouts::default()))
}

fn parse_addresses(list: Option<&str>) -> Result<Vec<String>, End> {
    let list = list.map(str::to_owned);
    let list = list.or_else(|| std::env::var(ADDRESSES).ok());
    let list = list.ok_or_else(|| {
        End::Usage(format!(
            "no addresses of daemons: give --addresses or set {ADDRESSES}"
        ))
    })?;
    let mut addresses = Vec::new();
    for address in list.split(',').map(str::trim).filter(|a| !a.is_empty()) {
        if address.parse::<SocketAddr>().is_err() {
            return Err(End::Usage(format!("{address:?} is not an address IP:PORT")));
        }
        addresses.push(address.to_owned());
    }
    if addresses.is_empty() {
        return Err(End::Usage("the list of addresses is empty".to_owned()));
    }
    Ok(addresses)
}

fn key(file: Option<&Path>) -> Result<Key, End> {
    let file = file.map(Path::to_owned);
    let file = file.or_else(|| std::env::var_os(KEY_FILE).map(PathBuf::from));
    let key = match file {
        Some(path) => Key::from_file(&path),
        None => {
            let text = std::env::var(KEY).map_err(|_| {
                End::Usage(format!(
                    "no key: give --key-file or set {KEY_FILE} or {KEY}"
                ))
            })?;
            Key::new(&text)
        }
    };
    key.map_err(|error| End::Usage(error.to_string()))
}
