//! The body of a request, whose start is buffered.
//!
//! The buffered part is needed to find the model, by which a request is routed, and to send a request again. Up to
//! [`MAX_BUFFERED_BYTES`] are buffered; the rest of a longer body is streamed from the caller to the backend server,
//! so such a request can be sent only once.

use std::fmt;

use bytes::{Bytes, BytesMut};
use futures::StreamExt;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, BodyStream, Full, StreamBody};
use hyper::body::{Body as _, Frame};
use salvo::http::StatusCode;
use salvo::http::body::ReqBody;
use serde::Deserialize;
use serde::Deserializer as _;
use serde::de::{IgnoredAny, MapAccess, Visitor};

use crate::failure::Failure;

/// Maximum buffered size of a body, in bytes. It limits the memory that waiting requests use on a small host.
pub(crate) const MAX_BUFFERED_BYTES: usize = 256 << 10;

/// The body of a request to a backend server.
pub(crate) type Outgoing = UnsyncBoxBody<Bytes, std::io::Error>;

/// The buffered start of a body and, if the body is longer, the unread rest.
pub(crate) struct Body {
    pub(crate) buffered: Bytes,
    /// `None` if `buffered` is the complete body, or after the rest has been handed to an attempt.
    rest: Option<Rest>,
    /// Whether the body is longer than `buffered`.
    streamed: bool,
}

struct Rest {
    /// Bytes that were read beyond [`MAX_BUFFERED_BYTES`].
    excess: Bytes,
    body: BodyStream<ReqBody>,
}

/// The fields of a chat request that the router needs.
#[derive(Debug, Default, Deserialize, PartialEq, Eq)]
pub(crate) struct Fields {
    pub(crate) model: Option<String>,
    #[serde(default)]
    pub(crate) stream: bool,
    pub(crate) max_tokens: Option<u64>,
    pub(crate) max_completion_tokens: Option<u64>,
}

impl Body {
    /// Reads the start of `body`.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks, or if the announced size or the bytes read so far exceed `max_body_bytes`.
    pub(crate) async fn read(body: ReqBody, max_body_bytes: u64) -> Result<Body, Failure> {
        let announced = body.size_hint().lower();
        if announced > max_body_bytes {
            return Err(too_large(max_body_bytes));
        }
        let mut body = BodyStream::new(body);
        let mut bytes = BytesMut::new();
        while bytes.len() <= MAX_BUFFERED_BYTES {
            let Some(frame) = body.next().await else {
                return Ok(Body {
                    buffered: bytes.freeze(),
                    rest: None,
                    streamed: false,
                });
            };
            let frame = frame.map_err(|error| unreadable(&error))?;
            if let Ok(data) = frame.into_data() {
                bytes.extend_from_slice(&data);
            }
            if bytes.len() as u64 > max_body_bytes {
                return Err(too_large(max_body_bytes));
            }
        }
        let excess = bytes.split_off(MAX_BUFFERED_BYTES).freeze();
        let rest = Some(Rest { excess, body });
        Ok(Body {
            buffered: bytes.freeze(),
            rest,
            streamed: true,
        })
    }

    /// Whether the complete body is buffered, so that the request can be sent again.
    pub(crate) fn is_fully_buffered(&self) -> bool {
        !self.streamed
    }

    /// Returns the body for the next attempt. Must be called only once unless the body is fully buffered: the unread
    /// rest can be streamed only once.
    pub(crate) fn outgoing(&mut self, max_body_bytes: u64) -> Outgoing {
        let Some(rest) = self.rest.take() else {
            return Full::new(self.buffered.clone())
                .map_err(|never| match never {})
                .boxed_unsync();
        };
        let mut total = (self.buffered.len() + rest.excess.len()) as u64;
        let first = [self.buffered.clone(), rest.excess].map(|bytes| Ok(Frame::data(bytes)));
        let limited = rest.body.map(move |frame| {
            let frame = frame.map_err(std::io::Error::other)?;
            total += frame.data_ref().map_or(0, |data| data.len() as u64);
            if total > max_body_bytes {
                return Err(std::io::Error::other("the request body exceeds the limit"));
            }
            Ok(frame)
        });
        let stream = futures::stream::iter(first).chain(limited);
        BodyExt::boxed_unsync(StreamBody::new(stream))
    }

    /// Reads the fields of a chat request.
    ///
    /// # Errors
    ///
    /// Fails if a fully buffered body is not a JSON object with valid fields. In a longer body only the fields of the
    /// buffered start are found, and errors are ignored.
    pub(crate) fn fields(&self) -> Result<Fields, Failure> {
        if self.is_fully_buffered() {
            return serde_json::from_slice(&self.buffered).map_err(|error| malformed(&error));
        }
        Ok(scan_fields(&self.buffered))
    }
}

/// Finds the top-level fields in the start of a JSON object, which may end anywhere.
fn scan_fields(bytes: &[u8]) -> Fields {
    let mut fields = Fields::default();
    let mut deserializer = serde_json::Deserializer::from_slice(bytes);
    // The parser fails at the end of the truncated text, after it has stored the fields before it.
    let _ = deserializer.deserialize_map(FieldVisitor {
        fields: &mut fields,
    });
    fields
}

/// Stores the fields of an object as they are parsed, so that they remain after a later error.
struct FieldVisitor<'a> {
    fields: &'a mut Fields,
}

impl<'de> Visitor<'de> for FieldVisitor<'_> {
    type Value = ();

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a chat request")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<(), A::Error> {
        while let Some(name) = map.next_key::<String>()? {
            match name.as_str() {
                "model" => self.fields.model = map.next_value()?,
                "stream" => self.fields.stream = map.next_value()?,
                "max_tokens" => self.fields.max_tokens = map.next_value()?,
                "max_completion_tokens" => self.fields.max_completion_tokens = map.next_value()?,
                _ => {
                    map.next_value::<IgnoredAny>()?;
                }
            }
        }
        Ok(())
    }
}

fn too_large(max_body_bytes: u64) -> Failure {
    let message = format!("the request body exceeds the limit of {max_body_bytes} bytes");
    Failure::refuse("body_too_large", StatusCode::PAYLOAD_TOO_LARGE, message)
}

fn unreadable(error: &dyn std::fmt::Display) -> Failure {
    Failure::refuse(
        "body_unreadable",
        StatusCode::BAD_REQUEST,
        format!("the request body could not be read: {error}"),
    )
}

fn malformed(error: &serde_json::Error) -> Failure {
    Failure::refuse(
        "malformed_body",
        StatusCode::BAD_REQUEST,
        format!("the request body is not a valid chat request: {error}"),
    )
}
