//! A function that runs when its owner is dropped.

/// Runs a function when it is dropped.
pub struct CloseHook(Option<Box<dyn FnOnce()>>);

impl CloseHook {
    /// Returns a hook that runs `on_close`.
    pub fn new(on_close: impl FnOnce() + 'static) -> Self {
        CloseHook(Some(Box::new(on_close)))
    }
}

impl Drop for CloseHook {
    fn drop(&mut self) {
        if let Some(on_close) = self.0.take() {
            on_close();
        }
    }
}
