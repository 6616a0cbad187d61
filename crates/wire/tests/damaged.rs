//! Datagrams and frames with any content: decoding fails without a panic and without memory for what is not there.

use bytes::BytesMut;
use primrose_wire::datagram::{self, MAX_DATAGRAM_BYTES};
use primrose_wire::frame::Traffic;
use primrose_wire::handshake;
use primrose_wire::key::Key;
use primrose_wire::peer::Packet;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use serde::ser::SerializeTuple;
use serde::{Serialize, Serializer};
use test_case::test_case;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::codec::Decoder;

fn key() -> Key {
    Key::new(&[1; 32]).expect("32 bytes are enough")
}

/// Bytes that are encoded as they are, so that a datagram with a right tag has any content.
struct Raw<'a>(&'a [u8]);

impl Serialize for Raw<'_> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut tuple = serializer.serialize_tuple(self.0.len())?;
        for byte in self.0 {
            tuple.serialize_element(byte)?;
        }
        tuple.end()
    }
}

/// Bytes as messages begin: small numbers for variants and lengths, and numbers that are too large.
fn content() -> impl Strategy<Value = Vec<u8>> {
    let piece = prop_oneof![
        (0..12_u8).prop_map(|byte| vec![byte]),
        any::<u8>().prop_map(|byte| vec![byte]),
        Just([vec![0xff; 9], vec![1]].concat()),
        Just(vec![0xff; 11]),
        Just(vec![0xff, 0xff, 0xff, 0xff, 0x0f]),
        prop::collection::vec(any::<u8>(), 0..40),
    ];
    prop::collection::vec(piece, 0..30).prop_map(|pieces| pieces.concat())
}

/// Uses a fixed seed. `PRIMROSE_CASES` sets the number of cases (default 256).
fn config() -> ProptestConfig {
    let cases = std::env::var("PRIMROSE_CASES").map_or(256, |text| text.parse().expect("a number"));
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    // A host of another version may send any content with a right tag.
    #[test]
    fn any_content_with_a_right_tag_does_not_panic(content in content()) {
        if let Ok(sealed) = datagram::seal(&key(), &Raw(&content)) {
            let opened = datagram::open::<Packet>(&key(), &sealed);
            prop_assert!(matches!(opened, Ok(_) | Err(datagram::Error::Encoding)), "{opened:?}");
        }
    }

    // Bytes of a stranger are refused as such, whatever their length.
    #[test]
    fn bytes_of_a_stranger_are_refused(bytes in prop::collection::vec(any::<u8>(), 0..2 * MAX_DATAGRAM_BYTES)) {
        let opened = datagram::open::<Packet>(&key(), &bytes);
        prop_assert_eq!(opened.expect_err("no tag"), datagram::Error::Authentication);
    }
}

// A length of thousands of millions of elements in a short message must not be taken as a size to allocate.
#[test_case(&[0xff, 0xff, 0xff, 0xff, 0x0f]; "length of 32 bits")]
#[test_case(&[0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x01]; "length of 64 bits")]
fn lengths_in_a_message_are_not_trusted(length: &[u8]) {
    let sealed = datagram::seal(&key(), &Raw(length)).expect("short enough");
    assert!(datagram::open::<Vec<u64>>(&key(), &sealed).is_err());
    assert!(datagram::open::<String>(&key(), &sealed).is_err());
    assert!(datagram::open::<Vec<Vec<u8>>>(&key(), &sealed).is_err());
}

// The length of a frame comes before its tag, so a stranger can state any.
#[test_case(0; "empty")]
#[test_case(15; "shorter than a tag")]
#[test_case((64 << 20) + 1; "too long")]
#[test_case(u32::MAX; "greatest")]
#[tokio::test]
async fn frame_length_out_of_range_ends_the_connection(length: u32) {
    let error = receive(&length.to_be_bytes()).await.expect_err("refused");
    assert_eq!(error.kind(), std::io::ErrorKind::InvalidData);
}

// A frame that is not complete is neither decoded nor an error.
#[tokio::test]
async fn incomplete_frame_is_waited_for() {
    for bytes in [&[][..], &[0, 0, 0], &[0, 0, 0, 40], &[0, 0, 0, 40, 1, 2, 3]] {
        assert!(receive(bytes).await.expect("no error").is_none());
    }
    let error = receive(&[&[0, 0, 0, 40][..], &[7; 40]].concat()).await;
    assert_eq!(
        error.expect_err("a wrong tag").kind(),
        std::io::ErrorKind::PermissionDenied
    );
}

/// Gives these bytes to the decoder of an accepted connection.
async fn receive(bytes: &[u8]) -> std::io::Result<Option<Packet>> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let client = TcpStream::connect(listener.local_addr()?).await?;
    let (server, _) = listener.accept().await?;
    let (key, traffic) = (key(), Traffic::default());
    let (_client, server) = tokio::try_join!(
        handshake::connect::<Packet, Packet>(client, &key, &traffic),
        handshake::accept::<Packet, Packet>(server, &key, &traffic),
    )?;
    let mut codec = server.into_parts().codec;
    codec.decode(&mut BytesMut::from(bytes))
}

// A stranger that sends random bytes in place of the handshake must not be accepted, nor hold the connection.
#[tokio::test]
async fn random_bytes_are_no_handshake() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let mut client = TcpStream::connect(address).await.expect("connected");
    let (server, _) = listener.accept().await.expect("a connection");
    client.write_all(&[0xff; 200]).await.expect("sent");
    let accepted = handshake::accept::<Packet, Packet>(server, &key(), &Traffic::default()).await;
    let error = accepted.expect_err("no proof");
    assert_eq!(error.kind(), std::io::ErrorKind::PermissionDenied);
}
