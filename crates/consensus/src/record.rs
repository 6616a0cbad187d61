//! The encoding of records in files: length (4 bytes), CRC-32 (4 bytes), payload. Integers are little-endian.
//!
//! The checksum also covers the offset of the record in its file, so that a copy of a record inside an opaque payload
//! is not mistaken for a record.

use std::ops::Range;

/// The size of the length and the checksum before the payload.
pub(crate) const PREFIX_BYTES: usize = 8;

/// Encodes `payload` as a record to be written at `offset` of its file.
pub(crate) fn encode(offset: u64, payload: &[u8]) -> Vec<u8> {
    let length = u32::try_from(payload.len()).unwrap_or(u32::MAX);
    let mut record = Vec::with_capacity(PREFIX_BYTES + payload.len());
    record.extend_from_slice(&length.to_le_bytes());
    record.extend_from_slice(&checksum(offset, payload).to_le_bytes());
    record.extend_from_slice(payload);
    record
}

/// Returns the range of the payload of the record at `offset` in `file`, or the reason why there is no valid record.
pub(crate) fn decode(file: &[u8], offset: usize) -> Result<Range<usize>, &'static str> {
    let rest = file.get(offset..).unwrap_or_default();
    let Some((prefix, rest)) = rest.split_first_chunk::<PREFIX_BYTES>() else {
        return Err("the file ends within the length and checksum of a record");
    };
    let [a, b, c, d, e, f, g, h] = *prefix;
    let length = u32::from_le_bytes([a, b, c, d]) as usize;
    if length == 0 {
        return Err("the record is empty");
    }
    let Some(payload) = rest.get(..length) else {
        return Err("the record is longer than the rest of the file");
    };
    if checksum(offset as u64, payload) != u32::from_le_bytes([e, f, g, h]) {
        return Err("the checksum does not match");
    }
    let start = offset + PREFIX_BYTES;
    Ok(start..start + length)
}

fn checksum(offset: u64, payload: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&offset.to_le_bytes());
    hasher.update(payload);
    hasher.finalize()
}
