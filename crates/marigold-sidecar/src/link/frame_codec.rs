//! Frames as bytes.

use std::io;

use bytes::{BufMut, Bytes, BytesMut};
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

use super::Frame;

/// The largest frame; longer bodies are split.
const MAX_FRAME: usize = 8 << 20;
/// The longest part of a body that travels in one frame, so that a long body does not hold up others.
pub const MAX_PART: usize = 64 << 10;

/// A frame with the body that follows its head.
#[derive(Debug, Clone, PartialEq)]
pub struct Packet {
    /// The head.
    pub frame: Frame,
    /// The bytes behind it.
    pub body: Bytes,
}

/// Length-delimited frames of a `postcard` head and the raw body behind it.
#[derive(Debug)]
pub struct FrameCodec(LengthDelimitedCodec);

impl Default for FrameCodec {
    fn default() -> Self {
        let codec = LengthDelimitedCodec::builder()
            .max_frame_length(MAX_FRAME)
            .new_codec();
        Self(codec)
    }
}

impl Encoder<Packet> for FrameCodec {
    type Error = io::Error;

    fn encode(&mut self, packet: Packet, out: &mut BytesMut) -> io::Result<()> {
        let head = postcard::to_allocvec(&packet.frame).map_err(io::Error::other)?;
        let mut frame = BytesMut::with_capacity(head.len() + packet.body.len());
        frame.put_slice(&head);
        frame.put_slice(&packet.body);
        self.0.encode(frame.freeze(), out)
    }
}

impl Decoder for FrameCodec {
    type Item = Packet;
    type Error = io::Error;

    fn decode(&mut self, input: &mut BytesMut) -> io::Result<Option<Packet>> {
        let Some(bytes) = self.0.decode(input)? else {
            return Ok(None);
        };
        let bytes = bytes.freeze();
        let (frame, rest) = postcard::take_from_bytes(&bytes).map_err(io::Error::other)?;
        let body = bytes.slice(bytes.len() - rest.len()..);
        Ok(Some(Packet { frame, body }))
    }
}
