//! Bodies of messages.

mod body_buffer;

use std::borrow::Cow;
use std::sync::Arc;

use bytes::Bytes;

pub use body_buffer::{BodyBuffer, SEGMENT_BYTES};

/// A complete body. Copies share its bytes.
///
/// A large body is kept in segments: a contiguous one would have to be moved while it grows, and leave gaps of its size
/// when it is freed.
#[derive(Debug, Clone)]
pub struct Body(Segments);

#[derive(Debug, Clone)]
enum Segments {
    One(Bytes),
    Many { segments: Arc<[Bytes]>, len: usize },
}

impl Body {
    /// Returns the length in bytes.
    #[must_use]
    pub fn len(&self) -> usize {
        match &self.0 {
            Segments::One(bytes) => bytes.len(),
            Segments::Many { len, .. } => *len,
        }
    }

    /// Returns whether the body has no bytes.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the segments in their order.
    #[must_use]
    pub fn segments(&self) -> &[Bytes] {
        match &self.0 {
            Segments::One(bytes) => std::slice::from_ref(bytes),
            Segments::Many { segments, .. } => segments,
        }
    }

    /// Returns the body in parts of at most `max` bytes.
    pub fn parts(&self, max: usize) -> impl Iterator<Item = Bytes> {
        self.segments().iter().flat_map(move |segment| {
            let starts = (0..segment.len()).step_by(max);
            starts.map(move |start| segment.slice(start..(start + max).min(segment.len())))
        })
    }

    /// Returns the first `max` bytes, or the whole body if it is shorter.
    #[must_use]
    pub fn prefix(&self, max: usize) -> Cow<'_, [u8]> {
        let segments = self.segments();
        if let Some(first) = segments.first()
            && (first.len() >= max || segments.len() == 1)
        {
            return Cow::Borrowed(&first[..first.len().min(max)]);
        }
        let bytes = segments.iter().flat_map(|segment| segment.iter().copied());
        Cow::Owned(bytes.take(max).collect())
    }

    /// Returns the body from byte `offset` to the end of the segment that it is in.
    #[must_use]
    pub fn rest_of_segment(&self, mut offset: usize) -> &[u8] {
        for segment in self.segments() {
            if offset < segment.len() {
                return &segment[offset..];
            }
            offset -= segment.len();
        }
        &[]
    }

    /// Returns the body as one block, which is copied if it has several segments.
    #[must_use]
    pub fn to_bytes(&self) -> Bytes {
        match &self.0 {
            Segments::One(bytes) => bytes.clone(),
            Segments::Many { segments, .. } => Bytes::from(segments.concat()),
        }
    }
}

impl Default for Body {
    fn default() -> Self {
        Self(Segments::One(Bytes::new()))
    }
}

impl From<Bytes> for Body {
    fn from(bytes: Bytes) -> Self {
        Self(Segments::One(bytes))
    }
}

impl From<Vec<u8>> for Body {
    fn from(bytes: Vec<u8>) -> Self {
        Self::from(Bytes::from(bytes))
    }
}

impl FromIterator<Bytes> for Body {
    fn from_iter<T: IntoIterator<Item = Bytes>>(segments: T) -> Self {
        let mut segments: Vec<_> = segments.into_iter().collect();
        if segments.len() <= 1 {
            return segments.pop().map(Self::from).unwrap_or_default();
        }
        Self(Segments::Many {
            len: segments.iter().map(Bytes::len).sum(),
            segments: Arc::from(segments),
        })
    }
}

impl PartialEq for Body {
    fn eq(&self, other: &Self) -> bool {
        let bytes = |body: &Self| body.to_bytes();
        self.len() == other.len() && bytes(self) == bytes(other)
    }
}

impl Eq for Body {}

impl PartialEq<[u8]> for Body {
    fn eq(&self, other: &[u8]) -> bool {
        self.to_bytes() == other
    }
}
