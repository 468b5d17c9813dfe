//! Reading messages between nodes, whatever their bytes are.

use std::io;
use std::ops::{Deref, DerefMut};
use std::panic::catch_unwind;

use nanoserde::{DeBin, DeBinErr, DeBinErrReason, SerBin};

/// Reads a message. One of another form, of an older build or damaged, is an error: the
/// reader of texts panics at lengths near the largest number.
pub fn decode<T: DeBin>(bytes: &[u8]) -> io::Result<T> {
    let decoded = catch_unwind(|| T::deserialize_bin(bytes));
    let error = match decoded {
        Ok(Ok(message)) => return Ok(message),
        Ok(Err(error)) => format!("{error:?}"),
        Err(_) => "a length beyond all bounds".to_string(),
    };
    Err(io::Error::new(io::ErrorKind::InvalidData, error))
}

/// A list on the wire, in the form of a `Vec`. The length that a message names is believed
/// only as far as the message is long: a reader that reserved memory for any number would
/// end the process at a message of another form.
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
        // Every item takes a byte at least.
        let left = bytes.len().saturating_sub(*offset);
        if length > left {
            return Err(DeBinErr {
                o: *offset,
                msg: DeBinErrReason::Length {
                    expected_length: length,
                    actual_length: left,
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
