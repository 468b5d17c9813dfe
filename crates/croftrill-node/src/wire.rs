//! Decoding of messages between nodes, safe for arbitrary bytes.

use std::io;
use std::ops::{Deref, DerefMut};
use std::panic::catch_unwind;

use nanoserde::{DeBin, DeBinErr, DeBinErrReason, SerBin};

/// Decodes a message.
///
/// Errors: the message has another form, as one of another build or a damaged one. Also catches
/// the panic of the string decoder at lengths near the maximum.
pub fn decode<T: DeBin>(bytes: &[u8]) -> io::Result<T> {
    let decoded = catch_unwind(|| T::deserialize_bin(bytes));
    let error = match decoded {
        Ok(Ok(message)) => return Ok(message),
        Ok(Err(error)) => format!("{error:?}"),
        Err(_) => "length is out of bounds".to_string(),
    };
    Err(io::Error::new(io::ErrorKind::InvalidData, error))
}

/// A list with the wire form of a `Vec`. Its decoder rejects a stated length that exceeds the
/// rest of the message. Otherwise a message of another form could make it reserve more memory
/// than available, which ends the process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WireList<T>(Vec<T>);

impl<T: SerBin> SerBin for WireList<T> {
    fn ser_bin(&self, bytes: &mut Vec<u8>) {
        self.0.ser_bin(bytes);
    }
}

impl<T: DeBin> DeBin for WireList<T> {
    fn de_bin(offset: &mut usize, bytes: &[u8]) -> Result<Self, DeBinErr> {
        let length = usize::de_bin(offset, bytes)?;
        // Every item takes at least one byte.
        let remaining = bytes.len().saturating_sub(*offset);
        if length > remaining {
            return Err(DeBinErr {
                o: *offset,
                msg: DeBinErrReason::Length {
                    expected_length: length,
                    actual_length: remaining,
                },
            });
        }
        let mut items = Vec::new();
        for _ in 0..length {
            items.push(T::de_bin(offset, bytes)?);
        }
        Ok(WireList(items))
    }
}

impl<T> Default for WireList<T> {
    fn default() -> Self {
        WireList(Vec::new())
    }
}

impl<T> From<Vec<T>> for WireList<T> {
    fn from(items: Vec<T>) -> Self {
        WireList(items)
    }
}

impl<T> From<WireList<T>> for Vec<T> {
    fn from(list: WireList<T>) -> Self {
        list.0
    }
}

impl<T> FromIterator<T> for WireList<T> {
    fn from_iter<I: IntoIterator<Item = T>>(items: I) -> Self {
        WireList(items.into_iter().collect())
    }
}

impl<T> IntoIterator for WireList<T> {
    type Item = T;
    type IntoIter = std::vec::IntoIter<T>;

    fn into_iter(self) -> Self::IntoIter {
        self.0.into_iter()
    }
}

impl<'a, T> IntoIterator for &'a WireList<T> {
    type Item = &'a T;
    type IntoIter = std::slice::Iter<'a, T>;

    fn into_iter(self) -> Self::IntoIter {
        self.0.iter()
    }
}

impl<T> Deref for WireList<T> {
    type Target = Vec<T>;

    fn deref(&self) -> &Vec<T> {
        &self.0
    }
}

impl<T> DerefMut for WireList<T> {
    fn deref_mut(&mut self) -> &mut Vec<T> {
        &mut self.0
    }
}
