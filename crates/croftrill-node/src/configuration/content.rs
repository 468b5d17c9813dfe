//! Encodes a configuration for another node: compressed, and against an earlier version that the
//! other node holds if this node knows it too. Two versions differ little, so that a change takes
//! some hundred bytes instead of the whole document.

use std::collections::VecDeque;
use std::io::{self, Read, Write};

use bytes::Bytes;
use xxhash_rust::xxh3::xxh3_64;
use zstd::stream::{Decoder, Encoder};

use crate::peer::{WireBase, WireContent};
use crate::ports::Item;

/// Level of compression: higher ones take longer and save little on documents of this size.
const COMPRESSION_LEVEL: i32 = 3;
/// Maximum size of a configuration that is taken from another node, in bytes. Stores take values
/// of about 1 MB.
const MAX_VALUE_BYTES: usize = 4 * 1024 * 1024;
/// Memory for earlier configurations, in bytes. At least one is kept, whatever its size.
const MAX_FORMER_BYTES: usize = 256 * 1024;
/// Distance over which the encoder finds repetitions, as a power of two: a document and the one
/// that it is encoded against.
const WINDOW_LOG: u32 = 23;

/// Why content of another node cannot be decoded.
#[derive(Debug, thiserror::Error)]
pub enum ContentError {
    /// This node does not hold the configuration that it is encoded against.
    #[error("version {0} is not known here")]
    UnknownBase(u64),
    /// It is larger than any configuration.
    #[error("{0} bytes are too many")]
    TooLarge(usize),
    /// The encoding is damaged.
    #[error("the encoding cannot be read: {0}")]
    Encoding(#[from] io::Error),
    /// The result is not what was encoded.
    #[error("the result is another one")]
    Mismatch,
}

/// The configurations that were in force before the present one, the newest last.
#[derive(Debug, Default)]
pub struct FormerConfigurations {
    versions: VecDeque<(u64, Bytes)>,
    /// The last encoded content: many peers request the same.
    encoded: Option<(WireBase, WireContent)>,
}

impl FormerConfigurations {
    /// Adds the configuration that is no longer in force.
    pub fn record(&mut self, version: u64, value: Bytes) {
        self.versions.push_back((version, value));
        let size =
            |versions: &VecDeque<(u64, Bytes)>| versions.iter().map(|(_, value)| value.len()).sum::<usize>();
        while self.versions.len() > 1 && size(&self.versions) > MAX_FORMER_BYTES {
            self.versions.pop_front();
        }
    }

    /// Encodes the configuration in force for a node that holds `base`.
    pub fn encode(&mut self, version: u64, item: &Item, base: WireBase) -> io::Result<WireContent> {
        let encoded = self.encoded.as_ref();
        let is_same = |(known, content): &&(WireBase, WireContent)| {
            *known == base && content.version == version && content.revision == item.revision
        };
        if let Some((_, content)) = encoded.filter(is_same) {
            return Ok(content.clone());
        }
        let former = self.versions.iter().find(|(known, _)| *known == base.version);
        let former = former.filter(|(_, value)| xxh3_64(value) == base.digest);
        let prefix = former.map_or(&[][..], |(_, value)| value);
        let content = WireContent {
            version,
            revision: item.revision,
            base_version: former.map_or(0, |(known, _)| *known),
            size_bytes: item.value.len() as u32,
            digest: xxh3_64(&item.value),
            encoded: compress(&item.value, prefix)?.into(),
        };
        self.encoded = Some((base, content.clone()));
        Ok(content)
    }
}

/// Returns the configuration in force as a base for the content that this node requests.
pub fn base_of(version: u64, item: Option<&Item>) -> WireBase {
    WireBase {
        version: item.map_or(0, |_| version),
        digest: item.map_or(0, |item| xxh3_64(&item.value)),
    }
}

/// Returns the decoded value. `present` is the version in force and its value.
pub fn decode(content: &WireContent, present: Option<(u64, &Bytes)>) -> Result<Vec<u8>, ContentError> {
    let size_bytes = content.size_bytes as usize;
    if size_bytes > MAX_VALUE_BYTES {
        return Err(ContentError::TooLarge(size_bytes));
    }
    let prefix = match (content.base_version, present) {
        (0, _) => &[][..],
        (base, Some((version, value))) if version == base => value,
        (base, _) => return Err(ContentError::UnknownBase(base)),
    };
    let value = decompress(&content.encoded, prefix, size_bytes)?;
    if value.len() != size_bytes || xxh3_64(&value) != content.digest {
        return Err(ContentError::Mismatch);
    }
    Ok(value)
}

fn compress(value: &[u8], prefix: &[u8]) -> io::Result<Vec<u8>> {
    let mut encoder = Encoder::with_ref_prefix(Vec::new(), COMPRESSION_LEVEL, prefix)?;
    encoder.window_log(window_log(value.len() + prefix.len()))?;
    encoder.set_pledged_src_size(Some(value.len() as u64))?;
    encoder.write_all(value)?;
    encoder.finish()
}

fn decompress(encoded: &[u8], prefix: &[u8], size_bytes: usize) -> io::Result<Vec<u8>> {
    let mut decoder = Decoder::with_ref_prefix(encoded, prefix)?;
    decoder.window_log_max(WINDOW_LOG)?;
    let mut value = Vec::with_capacity(size_bytes);
    decoder.take(size_bytes as u64 + 1).read_to_end(&mut value)?;
    Ok(value)
}

/// Returns the smallest window that covers a size, as its memory is allocated.
fn window_log(size_bytes: usize) -> u32 {
    const MIN_WINDOW_LOG: u32 = 10;
    size_bytes
        .next_power_of_two()
        .ilog2()
        .clamp(MIN_WINDOW_LOG, WINDOW_LOG)
}
