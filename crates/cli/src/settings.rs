//! Reads the addresses of the daemons and the operators' key from the command line or the environment.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use primrose_operator::{Client, Key, Timeouts};

use crate::failure::Failure;

/// Environment variable with the addresses of the daemons, used if `--addresses` is not given.
const ADDRESSES_VARIABLE: &str = "PRIMROSE_ADDRESSES";

/// Environment variable with the path of the key file, used if `--key-file` is not given.
const KEY_FILE_VARIABLE: &str = "PRIMROSE_KEY_FILE";

/// Environment variable with the key itself, used if no key file is given.
const KEY_VARIABLE: &str = "PRIMROSE_KEY";

/// Creates a client from the values of `--addresses` and `--key-file`, or from the environment if they are not given.
pub(crate) fn client(addresses: Option<&str>, key_file: Option<&Path>) -> Result<Client, Failure> {
    let addresses = parse_addresses(addresses)?;
    Ok(Client::new(
        addresses,
        read_key(key_file)?,
        Timeouts::default(),
    ))
}

fn parse_addresses(list: Option<&str>) -> Result<Vec<String>, Failure> {
    let list = list.map(str::to_owned);
    let list = list.or_else(|| std::env::var(ADDRESSES_VARIABLE).ok());
    let list = list.ok_or_else(|| {
        Failure::Usage(format!(
            "no addresses of daemons: give --addresses or set {ADDRESSES_VARIABLE}"
        ))
    })?;
    let mut addresses = Vec::new();
    for address in list.split(',').map(str::trim).filter(|a| !a.is_empty()) {
        if address.parse::<SocketAddr>().is_err() {
            return Err(Failure::Usage(format!(
                "{address:?} is not an address of the form IP:PORT"
            )));
        }
        addresses.push(address.to_owned());
    }
    if addresses.is_empty() {
        return Err(Failure::Usage("the list of addresses is empty".to_owned()));
    }
    Ok(addresses)
}

fn read_key(file: Option<&Path>) -> Result<Key, Failure> {
    let file = file.map(Path::to_owned);
    let file = file.or_else(|| std::env::var_os(KEY_FILE_VARIABLE).map(PathBuf::from));
    let key = match file {
        Some(path) => Key::from_file(&path),
        None => {
            let text = std::env::var(KEY_VARIABLE).map_err(|_| {
                Failure::Usage(format!(
                    "no key: give --key-file or set {KEY_FILE_VARIABLE} or {KEY_VARIABLE}"
                ))
            })?;
            Key::new(&text)
        }
    };
    key.map_err(|error| Failure::Usage(error.to_string()))
}
