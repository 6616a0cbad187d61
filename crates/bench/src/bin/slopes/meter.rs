//! Measures the processor time of this thread and the resident memory of this process, and counts messages.

use rustix::time::{ClockId, clock_gettime};

use crate::Failure;

/// Bytes that each datagram adds to the postcard encoding of a message: 32 of authentication, and 28 of IP and UDP
/// headers.
const OVERHEAD_BYTES: u64 = 60;

/// Maximum payload of one datagram. A longer message is split into several datagrams.
const PAYLOAD_BYTES: u64 = 1_368;

/// Returns the processor time that this thread has used, in ns. It is not affected by other processes on the machine.
pub(crate) fn processor_ns() -> u64 {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    time.tv_sec as u64 * 1_000_000_000 + time.tv_nsec as u64
}

/// Calls `work` and adds the processor time of the call to `total_ns`.
pub(crate) fn timed<T>(total_ns: &mut u64, work: impl FnOnce() -> T) -> T {
    let start = processor_ns();
    let result = work();
    *total_ns += processor_ns() - start;
    result
}

/// Returns the resident memory of this process, in bytes.
pub(crate) fn resident_bytes() -> Result<u64, Failure> {
    let text = std::fs::read_to_string("/proc/self/statm")?;
    let pages: u64 = text
        .split(' ')
        .nth(1)
        .ok_or("/proc/self/statm has no second field")?
        .parse()?;
    Ok(pages * rustix::param::page_size() as u64)
}

/// Number of messages, and their bytes including headers.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Traffic {
    pub(crate) messages: u64,
    pub(crate) bytes: u64,
}

impl Traffic {
    /// Counts one message whose postcard encoding has `payload_bytes` bytes.
    pub(crate) fn add(&mut self, payload_bytes: usize) {
        let datagrams = (payload_bytes as u64).div_ceil(PAYLOAD_BYTES).max(1);
        self.messages += 1;
        self.bytes += payload_bytes as u64 + datagrams * OVERHEAD_BYTES;
    }
}
