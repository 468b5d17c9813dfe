//! One end of a link over which two nodes exchange configurations.

use std::cell::Cell;
use std::future::pending;

use croftrill_scheduler::configuration_exchange::{LinkAction, LinkId};

use super::content::{self, base_of};
use super::{apply_apart, update_era, update_newest_metric, Source};
use crate::directory::relay::notify_view_changed;
use crate::metrics::Metrics;
use crate::node::Node;
use crate::peer::{WireBase, WireConfiguration, WireContent, WireHeldVersion};
use crate::ports::{Item, Platform, RecordReader};

/// A base that no configuration has.
const NO_BASE: WireBase = WireBase {
    version: 0,
    digest: 0,
};

/// This node's end of a link, open until dropped.
pub(crate) struct ConfigurationLink<'a, P: Platform> {
    node: &'a Node<P>,
    id: LinkId,
    /// What the peer holds, as it said with its last request.
    peer_base: Cell<WireBase>,
    /// True if the last content could not be decoded against what this node holds.
    needs_all: Cell<bool>,
}

impl<'a, P: Platform> ConfigurationLink<'a, P> {
    /// Opens a link. `is_ready` is true if the peer's entry says that it exchanges configurations;
    /// otherwise it shows that by a message.
    pub(crate) fn open(node: &'a Node<P>, is_ready: bool) -> Self {
        let id = node.state.borrow_mut().configuration_exchange.open_link(is_ready);
        ConfigurationLink {
            node,
            id,
            peer_base: Cell::new(NO_BASE),
            needs_all: Cell::new(false),
        }
    }

    /// Returns whether the peer is known to exchange configurations.
    pub(crate) fn is_ready(&self) -> bool {
        self.node.state.borrow().configuration_exchange.is_ready(self.id)
    }

    /// Returns whether a configuration was requested over this link and has not arrived.
    pub(crate) fn is_fetching(&self) -> bool {
        self.node
            .state
            .borrow()
            .configuration_exchange
            .is_fetching(self.id)
    }

    /// Returns the next message to the peer. Cancel-safe.
    pub(crate) async fn next(&self) -> WireConfiguration {
        loop {
            let exchanged = self.node.configuration_exchanged.notified();
            if let Some(message) = self.next_message() {
                return message;
            }
            let wakeup = self.node.state.borrow().configuration_exchange.next_wakeup();
            let timer = async {
                match wakeup {
                    Some(at) => self.node.clock.sleep_until(at).await,
                    None => pending().await,
                }
            };
            tokio::select! {
                () = exchanged => {}
                // The request of one link ended without success: another link may make it.
                () = timer => self.node.configuration_exchanged.notify_waiters(),
            }
        }
    }

    fn next_message(&self) -> Option<WireConfiguration> {
        update_era(self.node);
        let now = self.node.clock.now();
        let mut state = self.node.state.borrow_mut();
        let action = state.configuration_exchange.next_action(self.id, now)?;
        let held = state.configuration_exchange.held();
        drop(state);
        match action {
            LinkAction::Announce(held) => Some(WireConfiguration::Held(WireHeldVersion::from_held(held))),
            LinkAction::Request => Some(WireConfiguration::Request(self.own_base(held.version))),
            LinkAction::Send => self.content(held.version).map(WireConfiguration::Content),
        }
    }

    fn own_base(&self, version: u64) -> WireBase {
        self.count("requested");
        if self.needs_all.take() {
            return NO_BASE;
        }
        base_of(version, self.node.state.borrow().configuration_item.as_ref())
    }

    fn content(&self, version: u64) -> Option<WireContent> {
        let state = &mut *self.node.state.borrow_mut();
        let item = state.configuration_item.as_ref()?;
        let encoded = state
            .former_configurations
            .encode(version, item, self.peer_base.get());
        match encoded {
            Ok(content) => {
                self.count(if content.base_version > 0 {
                    "sent a change"
                } else {
                    "sent"
                });
                let bytes = content.encoded.len() as u64;
                self.node.metrics.configuration_exchange_bytes.inc_by(bytes);
                Some(content)
            }
            Err(error) => {
                tracing::warn!(target: "directory", event = "configuration cannot be encoded", version, %error);
                None
            }
        }
    }

    /// Handles a message of the peer.
    pub(crate) fn receive(&self, message: WireConfiguration) {
        let now = self.node.clock.now();
        update_era(self.node);
        match message {
            WireConfiguration::Held(held) => {
                let exchange = &mut self.node.state.borrow_mut().configuration_exchange;
                exchange.receive_announcement(self.id, held.to_held(), now);
            }
            WireConfiguration::Request(base) => {
                self.peer_base.set(base);
                let exchange = &mut self.node.state.borrow_mut().configuration_exchange;
                exchange.receive_request(self.id);
            }
            WireConfiguration::Content(content) => self.receive_content(&content),
        }
        update_newest_metric(self.node);
        self.node.configuration_exchanged.notify_waiters();
    }

    fn receive_content(&self, content: &WireContent) {
        let state = self.node.state.borrow();
        let held = state.configuration_exchange.held();
        if content.version <= held.version {
            drop(state);
            self.record_received(None);
            return;
        }
        let present = state.configuration_item.as_ref();
        let decoded = content::decode(content, present.map(|item| (held.version, &item.value)));
        drop(state);
        let value = match decoded {
            Ok(value) => value,
            Err(error) => {
                tracing::info!(target: "directory", event = "configuration cannot be decoded",
                    version = content.version, base = content.base_version, %error);
                self.count("not decoded");
                self.needs_all.set(true);
                let now = self.node.clock.now();
                let exchange = &mut self.node.state.borrow_mut().configuration_exchange;
                exchange.record_failed_content(self.id, now);
                return;
            }
        };
        let item = Item {
            key: self.node.platform.records().configuration_key().to_string(),
            value: value.into(),
            revision: content.revision,
        };
        let is_applied = apply_apart(self.node, &item, Source::Peer);
        self.count(if is_applied { "received" } else { "not applied" });
        self.record_received((!is_applied).then_some(content.version));
        if is_applied {
            notify_view_changed(self.node);
        }
    }

    fn record_received(&self, unreadable: Option<u64>) {
        let exchange = &mut self.node.state.borrow_mut().configuration_exchange;
        exchange.receive_content(self.id, unreadable);
    }

    fn count(&self, outcome: &'static str) {
        Metrics::count(&self.node.metrics.relayed, "configuration", outcome);
    }
}

impl<P: Platform> Drop for ConfigurationLink<'_, P> {
    fn drop(&mut self) {
        self.node
            .state
            .borrow_mut()
            .configuration_exchange
            .close_link(self.id);
        self.node.configuration_exchanged.notify_waiters();
    }
}
