//! The memory that an entry host spends on the bytes of requests and answers.
//!
//! Load pattern: servers in trouble or callers send far more bytes than usual, on many connections at once. A limit for
//! each request does not bound their sum, and a host that exceeds its memory is killed with all of its requests. What is
//! buffered beyond a small part of each message is therefore reserved from an amount that all messages share.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::Bytes;

/// The part of a message that is not counted, in bytes: most messages are smaller.
pub const UNCOUNTED_BYTES: usize = 16 << 10;

/// The memory for buffered bytes that is left. Clones share it.
#[derive(Clone, Debug)]
pub struct Memory {
    /// In bytes.
    free: Arc<AtomicUsize>,
}

impl Memory {
    /// Creates an amount of `bytes`.
    pub fn new(bytes: usize) -> Memory {
        Memory {
            free: Arc::new(AtomicUsize::new(bytes)),
        }
    }

    /// The memory that is left, in bytes.
    pub fn free(&self) -> usize {
        self.free.load(Ordering::Relaxed)
    }

    /// A reservation for a message of which nothing has been buffered.
    pub fn reservation(&self) -> Reservation {
        Reservation {
            memory: self.clone(),
            bytes: 0,
        }
    }
}

/// The memory that one message occupies. It is free again when the reservation is dropped.
#[derive(Debug)]
pub struct Reservation {
    memory: Memory,
    /// Invariant: this many bytes were taken from `memory`.
    bytes: usize,
}

impl Reservation {
    /// Changes the reservation to that of a message of `length` bytes. Returns `false`, and changes nothing, if too
    /// little memory is left.
    pub fn resize(&mut self, length: usize) -> bool {
        let wanted = length.saturating_sub(UNCOUNTED_BYTES);
        if wanted == self.bytes {
            return true;
        }
        if wanted < self.bytes {
            let released = self.bytes - wanted;
            self.memory.free.fetch_add(released, Ordering::Relaxed);
        } else {
            let taken = wanted - self.bytes;
            let take = |free: usize| free.checked_sub(taken);
            let free = &self.memory.free;
            if free
                .fetch_update(Ordering::Relaxed, Ordering::Relaxed, take)
                .is_err()
            {
                return false;
            }
        }
        self.bytes = wanted;
        true
    }

    /// Returns the bytes of the message. The memory stays reserved until they and all their clones are dropped.
    pub fn hold(self, bytes: Bytes) -> Bytes {
        if self.bytes == 0 {
            return bytes;
        }
        hold(bytes, self)
    }
}

/// Returns the same bytes. `guard` is dropped with them and all their clones.
pub(crate) fn hold(bytes: Bytes, guard: impl Send + 'static) -> Bytes {
    Bytes::from_owner(Held {
        bytes,
        _guard: guard,
    })
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.memory.free.fetch_add(self.bytes, Ordering::Relaxed);
    }
}

struct Held<G> {
    bytes: Bytes,
    _guard: G,
}

impl<G> AsRef<[u8]> for Held<G> {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
