//! Stores documents as an operator does.

use primrose_fleet::replica::Outcome;
use primrose_fleet::store::Reply;

use crate::hosts::{Host, TIMEOUT, document, leader};

/// Stores a document at whichever host leads, as an operator does: on a busy machine the leader may change.
pub(crate) async fn store(hosts: &[Host], version: u64) {
    let stored = async {
        let stored = Outcome::Applied(Reply::Stored);
        while leader(hosts).await.handle.put(document(version)).await != stored {}
    };
    let acknowledged = tokio::time::timeout(TIMEOUT, stored).await;
    acknowledged.expect("the document is acknowledged in time");
}
