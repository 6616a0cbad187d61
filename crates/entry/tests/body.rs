//! The bodies of answers to callers.

use bytes::Bytes;
use http_body_util::BodyExt;
use primrose_entry::body::{Body, Interrupted};
use tokio::sync::mpsc;

/// An answer of one chunk whose forwarding task then ends with `end`.
async fn read(end: impl FnOnce() + Send + 'static) -> Result<Bytes, Interrupted> {
    let (sender, chunks) = mpsc::channel(1);
    let task = tokio::spawn(async move {
        let chunk = Bytes::from_static(b"half");
        sender.send(Ok(chunk)).await.expect("the body is read");
        end();
    });
    let mut body = Body::Channel { chunks, task };
    let mut bytes = Vec::new();
    while let Some(frame) = body.frame().await {
        bytes.extend(frame?.into_data().expect("data"));
    }
    assert!(body.frame().await.is_none(), "the body ends once");
    Ok(bytes.into())
}

// An answer that is cut short by a fault of this program must not look complete to the caller.
#[tokio::test]
async fn answer_whose_task_panics_is_interrupted() {
    assert_eq!(read(|| {}).await, Ok(Bytes::from_static(b"half")));
    assert_eq!(read(|| panic!("a fault")).await, Err(Interrupted));
}
