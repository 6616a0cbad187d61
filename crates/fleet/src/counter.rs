//! Names of the counters of a core host; `docs/platform-counters.md` lists them.

/// The names of all counters of a core host.
pub const ALL: [&str; 23] = [
    "ask_placed",
    "ask_refused_hopeless_deadline",
    "ask_refused_no_server",
    "ask_refused_over_share",
    "ask_refused_overload",
    "datagram_refused",
    "directory_changed",
    "directory_entry_skipped",
    "directory_fetched",
    "directory_read",
    "directory_read_failed",
    "document_conflict",
    "document_invalid",
    "document_not_leader",
    "document_stored",
    "document_unknown",
    "kept_read",
    "kept_read_failed",
    "leader_changed",
    "peer_refused",
    "read_answered",
    "read_unavailable",
    "replica_replaced",
];
