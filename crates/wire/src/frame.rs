//! Frames on an authenticated connection.

use std::io;
use std::marker::PhantomData;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use bytes::{Buf, BufMut, BytesMut};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio_util::codec::{Decoder, Encoder};

use crate::key::{Key, TAG_BYTES};

/// The largest frame, in bytes; a snapshot of the state at the target size (21,000 accounts) is a few megabytes.
pub const MAX_FRAME_BYTES: usize = 64 << 20;

const LENGTH_BYTES: usize = 4;

/// Counts the bytes that the connections of one daemon carry, for the control-traffic figures.
#[derive(Clone, Debug, Default)]
pub struct Traffic {
    sent: Arc<AtomicU64>,
    received: Arc<AtomicU64>,
}

impl Traffic {
    /// Bytes written so far.
    pub fn sent(&self) -> u64 {
        self.sent.load(Ordering::Relaxed)
    }

    /// Bytes read so far.
    pub fn received(&self) -> u64 {
        self.received.load(Ordering::Relaxed)
    }

    /// Adds bytes written outside of a connection.
    pub fn add_sent(&self, bytes: usize) {
        self.sent.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Adds bytes read outside of a connection.
    pub fn add_received(&self, bytes: usize) {
        self.received.fetch_add(bytes as u64, Ordering::Relaxed);
    }
}

/// Encodes messages of type `Out` and decodes messages of type `In`.
///
/// A frame is a length (4 bytes, big-endian, of all that follows), the message in postcard encoding, and a code over
/// the sequence number of the frame in its direction and the message.
#[derive(Debug)]
pub struct Frame<In, Out> {
    send: Direction,
    receive: Direction,
    traffic: Traffic,
    types: PhantomData<fn(Out) -> In>,
}

#[derive(Debug)]
struct Direction {
    key: Key,
    /// Number of the next frame; it never goes back, so a replayed or reordered frame fails its code.
    next: u64,
}

impl Direction {
    fn new(key: Key) -> Direction {
        Direction { key, next: 0 }
    }

    fn take_sequence(&mut self) -> [u8; 8] {
        let sequence = self.next.to_be_bytes();
        self.next += 1;
        sequence
    }
}

impl<In, Out> Frame<In, Out> {
    pub(crate) fn new(send: Key, receive: Key, traffic: Traffic) -> Frame<In, Out> {
        Frame {
            send: Direction::new(send),
            receive: Direction::new(receive),
            traffic,
            types: PhantomData,
        }
    }
}

impl<In, Out: Serialize> Encoder<Out> for Frame<In, Out> {
    type Error = io::Error;

    fn encode(&mut self, message: Out, buffer: &mut BytesMut) -> io::Result<()> {
        let bytes = postcard::to_stdvec(&message).map_err(io::Error::other)?;
        let length = bytes.len() + TAG_BYTES;
        if length > MAX_FRAME_BYTES {
            return Err(io::Error::new(
                io::ErrorKind::InvalidInput,
                format!("a message of {length} bytes exceeds the frame limit of {MAX_FRAME_BYTES}"),
            ));
        }
        let sequence = self.send.take_sequence();
        let tag = self.send.key.code(&[&sequence, &bytes]);
        buffer.reserve(LENGTH_BYTES + length);
        buffer.put_u32(length as u32);
        buffer.put_slice(&bytes);
        buffer.put_slice(&tag);
        self.traffic.add_sent(LENGTH_BYTES + length);
        Ok(())
    }
}

impl<In: DeserializeOwned, Out> Decoder for Frame<In, Out> {
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
                "the code of a frame does not match",
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
            format!("a frame length of {length} bytes is out of range"),
        ));
    }
    Ok(Some(length))
}
