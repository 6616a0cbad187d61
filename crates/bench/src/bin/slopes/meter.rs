//! Processor time of this thread and resident memory of this process.

use rustix::time::{ClockId, clock_gettime};

use crate::Failure;

/// Bytes per message besides its postcard encoding: 32 of authentication, 28 of IP and UDP headers.
const OVERHEAD_BYTES: u64 = 60;

/// Most payload of one datagram; a longer message takes several.
const PAYLOAD_BYTES: u64 = 1_368;

/// Processor time of this thread, in ns. Other processes on the machine don't count.
pub(crate) fn processor_ns() -> u64 {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    time.tv_sec as u64 * 1_000_000_000 + time.tv_nsec as u64
}

/// Runs `work` and adds its processor time to `total_ns`.
pub(crate) fn timed<T>(total_ns: &mut u64, work: impl FnOnce() -> T) -> T {
    let start = processor_ns();
    let result = work();
    *total_ns += processor_ns() - start;
    result
}

/// Resident memory of this process, in bytes.
pub(crate) fn resident_bytes() -> Result<u64, Failure> {
    let text = std::fs::read_to_string("/proc/self/statm")?;
    let pages: u64 = text.split(' ').nth(1).ok_or("no field")?.parse()?;
    Ok(pages * rustix::param::page_size() as u64)
}

/// Messages and bytes with headers.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Traffic {
    pub(crate) messages: u64,
    pub(crate) bytes: u64,
}

impl Traffic {
    /// Counts one message with `payload` bytes of postcard.
    pub(crate) fn add(&mut self, payload: usize) {
        let datagrams = (payload as u64).div_ceil(PAYLOAD_BYTES).max(1);
        self.messages += 1;
        self.bytes += payload as u64 + datagrams * OVERHEAD_BYTES;
    }
}
