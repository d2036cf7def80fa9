//! Updates that are to be piggybacked on messages.

use {indexmap::IndexMap, siskin_types::id::Node};

/// Each update is sent this many times per doubling of the fleet size. With three, it reaches every member with high
/// probability even if 5% of the messages are lost.
const SENDS_PER_DOUBLING: u32 = 3;

/// Members whose state is still to be disseminated, each with the number of times that it was sent.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    sends: IndexMap<Node, u32>,
}

impl Queue {
    /// Starts to disseminate a member's new state.
    pub(crate) fn push(&mut self, node: Node) {
        self.sends.insert(node, 0);
    }

    pub(crate) fn remove(&mut self, node: Node) {
        self.sends.swap_remove(&node);
    }

    /// Counts an update that another member has sent as if it were sent from here, which halves the traffic after a
    /// change of many members.
    pub(crate) fn count_received(&mut self, node: Node) {
        if let Some(sent) = self.sends.get_mut(&node) {
            *sent += 1;
        }
    }

    /// Selects at most `limit` members, those sent least often first, and counts them as sent.
    pub(crate) fn take_batch(&mut self, limit: usize, members: usize) -> Vec<Node> {
        let max_sends = SENDS_PER_DOUBLING * (members.max(1).ilog2() + 1);
        self.sends.retain(|_, sent| *sent < max_sends);
        let mut batch: Vec<_> = self.sends.iter().map(|(node, sent)| (*sent, *node)).collect();
        if batch.len() > limit {
            batch.select_nth_unstable(limit);
            batch.truncate(limit);
        }
        for (sent, node) in &batch {
            self.sends.insert(*node, sent + 1);
        }
        batch.into_iter().map(|(_, node)| node).collect()
    }
}
