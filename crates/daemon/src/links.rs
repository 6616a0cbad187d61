//! Connections to other daemons.

use std::sync::Arc;

use primrose_wire::frame::Traffic;
use primrose_wire::key::Key;
use primrose_wire::peer::PeerClient;
use primrose_wire::{handshake, link};
use tarpc::client::Config;

/// One connection to each daemon that was called, opened on the first call.
pub type Links = link::Links<PeerClient>;

/// Creates links without connections. They authenticate both sides with `key` and count their bytes in `traffic`.
pub fn new(key: Key, traffic: Traffic) -> Links {
    link::Links::new(Arc::new(move |stream| {
        let (key, traffic) = (key.clone(), traffic.clone());
        Box::pin(async move {
            let connection = handshake::connect(stream, &key, &traffic).await?;
            Ok(PeerClient::new(Config::default(), connection).spawn())
        })
    }))
}
