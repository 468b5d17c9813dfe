//! What the log's followers and the coordinator need to know of membership.

use croftrill_state::NodeId;

/// The members that this node believes to be alive. Beliefs of two nodes may
/// differ; no promise of the log depends on them.
pub trait LiveMembers: Send + Sync {
    /// Every member believed to be alive, this node included.
    fn alive(&self) -> Vec<NodeId>;

    /// Whether a member is believed to be alive.
    fn is_alive(&self, node: &NodeId) -> bool;

    /// Whether any other member was heard in the last few seconds. A node that
    /// was cut off notices this long before it holds the last member for dead.
    fn hears_others(&self) -> bool {
        self.alive().len() > 1
    }

    /// Whether a member announced that it stops on purpose.
    fn is_leaving(&self, node: &NodeId) -> bool;
}
