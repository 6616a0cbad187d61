//! Intervals and limits of a node.

/// Intervals and limits. All replicas of a fleet use the same ones.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Options {
    /// The intended interval between ticks, in ms.
    pub tick_ms: u64,
    /// The interval between heartbeats, in ms.
    pub heartbeat_ms: u64,
    /// The shortest election timeout, in ms. A follower grants no vote for this long after it heard from a leader, and a
    /// leader steps down if no majority answered a message that was sent less than this ago.
    pub election_min_ms: u64,
    /// The longest election timeout, in ms.
    pub election_max_ms: u64,
    /// The duration of the leader lease, in ms, counted from the sending of a heartbeat.
    ///
    /// Invariant: shorter than `election_min_ms`. The default leaves a fifth for clock drift and for the rounding of
    /// times to ms.
    pub lease_ms: u64,
    /// Whether a read barrier is released without a round of messages while the lease holds.
    ///
    /// A monotonic clock stops while a machine is suspended, and the lease with it: where that happens, a leader that
    /// wakes up would answer from an old state. Without lease reads every barrier waits for a majority.
    pub lease_reads: bool,
    /// The largest proposal, in bytes.
    pub max_entry_bytes: usize,
    /// The most bytes of entries, or of a snapshot, in one message. A single larger entry is still sent.
    pub max_message_bytes: usize,
    /// The most append messages in flight to one replica.
    pub max_in_flight: usize,
    /// The most bytes of entries that wait to be committed.
    pub max_uncommitted_bytes: usize,
    /// The most bytes of committed entries in one [`super::Ready`].
    pub max_apply_bytes: usize,
    /// The largest snapshot, in bytes.
    pub max_snapshot_bytes: usize,
    /// Entries kept in memory after a snapshot for slow followers.
    pub keep_entries: u64,
    /// A learner may be promoted if it lacks at most this many entries.
    pub promotion_lag: u64,
}

impl Default for Options {
    fn default() -> Options {
        Options {
            tick_ms: 20,
            heartbeat_ms: 100,
            election_min_ms: 500,
            election_max_ms: 1000,
            lease_ms: 400,
            lease_reads: true,
            max_entry_bytes: 4 << 20,
            max_message_bytes: 256 << 10,
            max_in_flight: 8,
            max_uncommitted_bytes: 16 << 20,
            max_apply_bytes: 4 << 20,
            max_snapshot_bytes: 64 << 20,
            keep_entries: 1000,
            promotion_lag: 64,
        }
    }
}

/// Why [`Options`] are not usable.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Invalid {
    /// The lease could outlast the promise of the followers not to vote.
    #[error(
        "the lease ({lease_ms} ms) must be shorter than the election timeout ({election_min_ms} ms)"
    )]
    Lease {
        /// [`Options::lease_ms`].
        lease_ms: u64,
        /// [`Options::election_min_ms`].
        election_min_ms: u64,
    },
    /// Several heartbeats must fit into the lease, or one lost message ends it.
    #[error("heartbeats every {heartbeat_ms} ms are too rare for a lease of {lease_ms} ms")]
    Heartbeat {
        /// [`Options::heartbeat_ms`].
        heartbeat_ms: u64,
        /// [`Options::lease_ms`].
        lease_ms: u64,
    },
    /// The election timeouts leave no room for a random choice.
    #[error("the longest election timeout ({max} ms) must exceed the shortest ({min} ms)")]
    Election {
        /// [`Options::election_min_ms`].
        min: u64,
        /// [`Options::election_max_ms`].
        max: u64,
    },
    /// A limit of 0 stops all progress.
    #[error("limits must be at least 1")]
    Limit,
}

impl Options {
    /// Checks the relations between the values. Safety depends on the lease; the rest on liveness only.
    ///
    /// # Errors
    ///
    /// Returns the first relation that does not hold.
    pub fn check(&self) -> Result<(), Invalid> {
        let &Options {
            lease_ms,
            heartbeat_ms,
            election_min_ms: min,
            election_max_ms: max,
            ..
        } = self;
        if lease_ms >= min {
            return Err(Invalid::Lease {
                lease_ms,
                election_min_ms: min,
            });
        }
        if heartbeat_ms == 0 || heartbeat_ms * 2 > lease_ms {
            return Err(Invalid::Heartbeat {
                heartbeat_ms,
                lease_ms,
            });
        }
        if max <= min {
            return Err(Invalid::Election { min, max });
        }
        if self.max_message_bytes == 0 || self.max_in_flight == 0 {
            return Err(Invalid::Limit);
        }
        Ok(())
    }
}
