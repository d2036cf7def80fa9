//! Updates waiting to ride on messages.

use {indexmap::IndexMap, siskin_types::id::Node};

/// Each update is sent this often per doubling of the fleet. Three reach every member with high probability even
/// if a twentieth of the messages is lost.
const SENDS_PER_DOUBLING: u32 = 3;

/// Members whose state is still being passed on, with the number of times that it was sent.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    sent: IndexMap<Node, u32>,
}

impl Queue {
    /// Passes a member's new state on.
    pub(crate) fn push(&mut self, node: Node) {
        self.sent.insert(node, 0);
    }

    pub(crate) fn remove(&mut self, node: Node) {
        self.sent.swap_remove(&node);
    }

    /// Another member has sent what is waiting here. This counts like an own sending, which halves the traffic after
    /// a change of many members.
    pub(crate) fn heard(&mut self, node: Node) {
        if let Some(sent) = self.sent.get_mut(&node) {
            *sent += 1;
        }
    }

    /// Takes the members sent least often, at most `limit`, and counts them as sent.
    pub(crate) fn pick(&mut self, limit: usize, members: usize) -> Vec<Node> {
        let most = SENDS_PER_DOUBLING * (members.max(1).ilog2() + 1);
        self.sent.retain(|_, sent| *sent < most);
        let mut order: Vec<_> = self.sent.iter().map(|(node, sent)| (*sent, *node)).collect();
        if order.len() > limit {
            order.select_nth_unstable(limit);
            order.truncate(limit);
        }
        for (sent, node) in &order {
            self.sent.insert(*node, sent + 1);
        }
        order.into_iter().map(|(_, node)| node).collect()
    }
}
