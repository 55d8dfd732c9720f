//! Encoding of frames.

use std::io;

use bytes::{BufMut, Bytes, BytesMut};
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

use super::Frame;

/// Limit on the size of a packet.
const MAX_FRAME_BYTES: usize = 8 << 20;
/// Limit on the packets that are encoded at once, apart from the last one. They exist twice until they are sent.
pub const MAX_ENCODED_BYTES: usize = 128 << 10;
/// Longer bodies are split into several frames, so that they do not delay other messages for long.
pub const MAX_BODY_PART_BYTES: usize = 64 << 10;

/// A frame and the body that follows it.
#[derive(Debug, Clone, PartialEq)]
pub struct Packet {
    /// The frame.
    pub frame: Frame,
    /// The body, empty for most kinds of frames.
    pub body: Bytes,
}

/// Codec for length-delimited packets of a `postcard`-encoded frame and its raw body.
#[derive(Debug)]
pub struct FrameCodec(LengthDelimitedCodec);

impl Default for FrameCodec {
    fn default() -> Self {
        let codec = LengthDelimitedCodec::builder()
            .max_frame_length(MAX_FRAME_BYTES)
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
