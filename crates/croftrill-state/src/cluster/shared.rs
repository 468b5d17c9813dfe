//! Copy-on-write maps.
//!
//! Applying an entry works on a copy of the state, and each applied state is
//! published to the traffic threads. With [`Shared`] a copy costs one counter a
//! map, and only the maps that an entry changes are really copied.

use nanoserde::{DeBin, DeBinErr, SerBin};
use std::ops::{Deref, DerefMut};
use std::sync::Arc;

/// A value that is shared until it is changed.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Shared<T>(Arc<T>);

impl<T> Shared<T> {
    /// Shares a value.
    pub fn new(value: T) -> Self {
        Self(Arc::new(value))
    }

    /// Whether both are the very same value, neither changed since they were
    /// copies of each other. Equal values may still be different ones.
    pub fn is_same(&self, other: &Self) -> bool {
        Arc::ptr_eq(&self.0, &other.0)
    }
}

impl<T> From<T> for Shared<T> {
    fn from(value: T) -> Self {
        Self::new(value)
    }
}

impl<T> Deref for Shared<T> {
    type Target = T;

    fn deref(&self) -> &T {
        &self.0
    }
}

impl<T: Clone> DerefMut for Shared<T> {
    fn deref_mut(&mut self) -> &mut T {
        Arc::make_mut(&mut self.0)
    }
}

impl<'a, T> IntoIterator for &'a Shared<T>
where
    &'a T: IntoIterator,
{
    type Item = <&'a T as IntoIterator>::Item;
    type IntoIter = <&'a T as IntoIterator>::IntoIter;

    fn into_iter(self) -> Self::IntoIter {
        (&*self.0).into_iter()
    }
}

impl<T: SerBin> SerBin for Shared<T> {
    fn ser_bin(&self, output: &mut Vec<u8>) {
        self.0.ser_bin(output);
    }
}

impl<T: DeBin> DeBin for Shared<T> {
    fn de_bin(offset: &mut usize, bytes: &[u8]) -> Result<Self, DeBinErr> {
        Ok(Self::new(T::de_bin(offset, bytes)?))
    }
}
