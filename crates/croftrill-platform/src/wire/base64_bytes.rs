//! Bytes as base64 text in JSON, for `#[serde(with)]`.

use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use serde::de::Error;
use serde::{Deserialize, Deserializer, Serializer};

/// Writes bytes as text.
pub fn serialize<S: Serializer>(bytes: &[u8], serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_str(&STANDARD.encode(bytes))
}

/// Reads bytes from text.
pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<u8>, D::Error> {
    let text = String::deserialize(deserializer)?;
    STANDARD.decode(text).map_err(D::Error::custom)
}
