//! Closes a connection whose caller may still be sending a request that was refused.
//!
//! Closing a socket with unread bytes resets the connection, and the caller then loses the refusal that is on its way.
//! So the host only ends its own direction, and discards what still arrives until the caller has closed too (RFC 9112,
//! section 9.6).

use std::time::Duration;

use tokio::io::{AsyncRead, AsyncReadExt};
use tokio::time::Instant;

/// The longest wait for the caller to close. A caller on a slow link needs some time for a body, and one that does not
/// close must not hold the connection for long.
pub const MAX_TIME: Duration = Duration::from_secs(3);

/// The most bytes that are discarded on one connection. A caller that sends without end would otherwise take processor
/// time for all of [`MAX_TIME`].
pub const MAX_BYTES: usize = 64 << 20;

/// Size of the buffer for discarded bytes.
const BUFFER_BYTES: usize = 4 << 10;

/// Discards what a caller still sends, after the host has ended its direction of the connection. Returns when nothing more
/// can be read, and after [`MAX_TIME`] or [`MAX_BYTES`] at the latest. Returns whether nothing more can be read: the caller
/// has ended its direction, or the connection was reset or failed otherwise.
pub async fn discard<S: AsyncRead + Unpin>(socket: &mut S) -> bool {
    let deadline = Instant::now() + MAX_TIME;
    let mut buffer = [0; BUFFER_BYTES];
    let mut discarded = 0;
    while discarded < MAX_BYTES {
        // The end of the stream, any error and the deadline all end the wait.
        match tokio::time::timeout_at(deadline, socket.read(&mut buffer)).await {
            Ok(Ok(count @ 1..)) => discarded += count,
            Ok(Ok(0) | Err(_)) => return true,
            Err(_) => return false,
        }
    }
    false
}
