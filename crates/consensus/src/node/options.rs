//! Configuration of a node: intervals and limits.

/// Intervals and limits of a node. All replicas of a fleet must use the same values.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Options {
    /// The intended interval between ticks, in ms.
    pub tick_ms: u64,
    /// The interval between heartbeats, in ms.
    pub heartbeat_ms: u64,
    /// The shortest election timeout, in ms. A follower grants no vote for this long after a message from a leader. A
    /// leader steps down if no majority has answered a message that it sent within this interval.
    pub election_min_ms: u64,
    /// The longest election timeout, in ms.
    pub election_max_ms: u64,
    /// The duration of the leader lease, in ms, counted from the time at which a heartbeat was sent.
    ///
    /// Invariant: shorter than `election_min_ms`. The default leaves a margin of one fifth for clock drift and for
    /// the rounding of times to ms.
    pub lease_ms: u64,
    /// Whether a leader releases a read barrier without a round of messages while it holds its lease.
    ///
    /// The monotonic clock stops while a machine is suspended, so the lease does not expire during that time. Where
    /// machines can be suspended, lease reads let a resumed leader answer from an old state. Without lease reads,
    /// every read barrier waits for a majority.
    pub lease_reads: bool,
    /// Whether a restarted voter grants no vote for `election_min_ms`, because it may have acknowledged a heartbeat
    /// just before the restart and so have renewed the lease of a leader.
    ///
    /// If false, leaders have no lease, and a voter that has heard from no leader since its start votes and stands for
    /// election at once. After the loss of a majority, a leader is then elected within a few round trips of the start
    /// of the last voter that is needed. Election safety does not depend on this option: votes are on the disk.
    pub keeps_lease_over_restart: bool,
    /// The maximum size of a proposal, in bytes.
    pub max_entry_bytes: usize,
    /// The maximum size of the entries, or of the snapshot chunk, in one message, in bytes. A single entry that is
    /// larger is still sent.
    pub max_message_bytes: usize,
    /// The maximum number of unacknowledged append messages to one replica.
    pub max_in_flight: usize,
    /// The size of the uncommitted entries, in bytes, from which on proposals are refused.
    pub max_uncommitted_bytes: usize,
    /// The maximum size of the committed entries in one [`super::Ready`], in bytes. A single entry that is larger is
    /// still included.
    pub max_apply_bytes: usize,
    /// The maximum size of a snapshot, in bytes.
    pub max_snapshot_bytes: usize,
    /// The number of entries that are kept in memory after a snapshot, for slow followers.
    pub keep_entries: u64,
    /// The maximum number of entries that a learner may lack when it is promoted to voter.
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
            keeps_lease_over_restart: true,
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

/// Why [`Options`] are invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Invalid {
    /// The lease would not end before followers may grant a vote to another candidate.
    #[error(
        "the lease ({lease_ms} ms) must be shorter than the election timeout ({election_min_ms} ms)"
    )]
    Lease {
        /// [`Options::lease_ms`].
        lease_ms: u64,
        /// [`Options::election_min_ms`].
        election_min_ms: u64,
    },
    /// At least two heartbeat intervals must fit into the lease, or one lost message would end the lease.
    #[error(
        "the heartbeat interval ({heartbeat_ms} ms) must be above 0 and at most half of the lease ({lease_ms} ms)"
    )]
    Heartbeat {
        /// [`Options::heartbeat_ms`].
        heartbeat_ms: u64,
        /// [`Options::lease_ms`].
        lease_ms: u64,
    },
    /// Without a lease there is nothing to read by.
    #[error("lease_reads needs keeps_lease_over_restart")]
    NoLease,
    /// The range from which election timeouts are chosen at random is empty.
    #[error("the longest election timeout ({max} ms) must exceed the shortest ({min} ms)")]
    Election {
        /// [`Options::election_min_ms`].
        min: u64,
        /// [`Options::election_max_ms`].
        max: u64,
    },
    /// With a limit of 0, the leader cannot send any entry.
    #[error("max_message_bytes and max_in_flight must be at least 1")]
    Limit,
}

impl Options {
    /// Checks the relations between the values. Safety depends on the limit of the lease; the other relations affect
    /// only liveness.
    ///
    /// # Errors
    ///
    /// Returns the first relation that is violated.
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
        if self.lease_reads && !self.keeps_lease_over_restart {
            return Err(Invalid::NoLease);
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
