//! The frame codec of an authenticated connection.

use std::io;
use std::marker::PhantomData;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use bytes::{Buf, BufMut, BytesMut};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio_util::codec::{Decoder, Encoder};

use crate::key::{Key, TAG_BYTES};

/// Maximum length of a frame, in bytes. A snapshot of the state at the target size (21,000 accounts) has a few
/// megabytes.
pub const MAX_FRAME_BYTES: usize = 64 << 20;

const LENGTH_BYTES: usize = 4;

/// Counts the bytes that one daemon exchanges with the others, for its control-traffic counters. Clones share the
/// counts.
#[derive(Clone, Debug, Default)]
pub struct Traffic {
    sent: Arc<AtomicU64>,
    received: Arc<AtomicU64>,
}

impl Traffic {
    /// Bytes sent so far.
    pub fn sent(&self) -> u64 {
        self.sent.load(Ordering::Relaxed)
    }

    /// Bytes received so far.
    pub fn received(&self) -> u64 {
        self.received.load(Ordering::Relaxed)
    }

    /// Counts sent bytes, for example those of datagrams.
    pub fn add_sent(&self, bytes: usize) {
        self.sent.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Counts received bytes, for example those of datagrams.
    pub fn add_received(&self, bytes: usize) {
        self.received.fetch_add(bytes as u64, Ordering::Relaxed);
    }
}

/// Encodes messages of type `Out` and decodes messages of type `In`.
///
/// A frame consists of a length (4 bytes, big-endian, of everything after it), the message in postcard encoding, and
/// an authentication tag. The tag covers the message and the sequence number of the frame in its direction.
#[derive(Debug)]
pub struct Codec<In, Out> {
    send: Direction,
    receive: Direction,
    traffic: Traffic,
    types: PhantomData<fn(Out) -> In>,
}

#[derive(Debug)]
struct Direction {
    key: Key,
    /// Sequence number of the next frame. It only increases, so the tag of a replayed or reordered frame does not
    /// match.
    next_sequence: u64,
}

impl Direction {
    fn new(key: Key) -> Direction {
        Direction {
            key,
            next_sequence: 0,
        }
    }

    fn take_sequence(&mut self) -> [u8; 8] {
        let sequence = self.next_sequence.to_be_bytes();
        self.next_sequence += 1;
        sequence
    }
}

impl<In, Out> Codec<In, Out> {
    pub(crate) fn new(send: Key, receive: Key, traffic: Traffic) -> Codec<In, Out> {
        Codec {
            send: Direction::new(send),
            receive: Direction::new(receive),
            traffic,
            types: PhantomData,
        }
    }
}

impl<In, Out: Serialize> Encoder<Out> for Codec<In, Out> {
    type Error = io::Error;

    fn encode(&mut self, message: Out, buffer: &mut BytesMut) -> io::Result<()> {
        let bytes = postcard::to_stdvec(&message).map_err(io::Error::other)?;
        let length = bytes.len() + TAG_BYTES;
        if length > MAX_FRAME_BYTES {
            return Err(io::Error::new(
                io::ErrorKind::InvalidInput,
                format!(
                    "a message of {length} bytes with its tag exceeds the frame limit of {MAX_FRAME_BYTES} bytes"
                ),
            ));
        }
        let sequence = self.send.take_sequence();
        let tag = self.send.key.tag(&[&sequence, &bytes]);
        buffer.reserve(LENGTH_BYTES + length);
        buffer.put_u32(length as u32);
        buffer.put_slice(&bytes);
        buffer.put_slice(&tag);
        self.traffic.add_sent(LENGTH_BYTES + length);
        Ok(())
    }
}

impl<In: DeserializeOwned, Out> Decoder for Codec<In, Out> {
    type Item = In;
    type Error = io::Error;

    fn decode(&mut self, buffer: &mut BytesMut) -> io::Result<Option<In>> {
        let Some(length) = frame_length(buffer)? else {
            return Ok(None);
        };
        if buffer.len() < LENGTH_BYTES + length {
            buffer.reserve(LENGTH_BYTES + length - buffer.len());
            return Ok(None);
        }
        buffer.advance(LENGTH_BYTES);
        let frame = buffer.split_to(length);
        self.traffic.add_received(LENGTH_BYTES + length);
        let (bytes, tag) = frame.split_at(length - TAG_BYTES);
        let sequence = self.receive.take_sequence();
        if !self.receive.key.verify(&[&sequence, bytes], tag) {
            return Err(io::Error::new(
                io::ErrorKind::PermissionDenied,
                "the authentication tag of a frame does not match",
            ));
        }
        postcard::from_bytes(bytes)
            .map(Some)
            .map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error))
    }
}

fn frame_length(buffer: &BytesMut) -> io::Result<Option<usize>> {
    let Some(prefix) = buffer.first_chunk::<LENGTH_BYTES>() else {
        return Ok(None);
    };
    let length = u32::from_be_bytes(*prefix) as usize;
    if !(TAG_BYTES..=MAX_FRAME_BYTES).contains(&length) {
        return Err(io::Error::new(
            io::ErrorKind::InvalidData,
            format!(
                "a frame length of {length} bytes is out of range: it must be {TAG_BYTES} to {MAX_FRAME_BYTES}"
            ),
        ));
    }
    Ok(Some(length))
}
