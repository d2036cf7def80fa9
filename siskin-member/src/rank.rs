//! Rendezvous hashing: all routers that know the same nodes compute the same order of nodes for a key.
//!
//! The cost is one blake3 compression for the key and one for each node, plus a sort for [`order`]. The example
//! `gossip_cost` measures it: in one run, ordering took 1.1 us for 8 nodes, 26 us for 200 and 167 us for 1,200. Callers
//! that need the owner of a role for every request should cache the result until [`crate::Action::Changed`].

use siskin_types::id::Node;

/// Orders nodes for a key, the owner first.
///
/// ```
/// use {siskin_member::rank, siskin_types::id::Node};
/// let all = rank::order(b"pool 7", (0..5).map(Node));
/// let without_owner = rank::order(b"pool 7", (0..5).map(Node).filter(|node| *node != all[0]));
/// assert_eq!(without_owner, all[1..], "removing a node keeps the order of the others");
/// ```
#[must_use]
pub fn order(key: &[u8], nodes: impl Iterator<Item = Node>) -> Vec<Node> {
    let hash = blake3::hash(key);
    let mut scored: Vec<_> = nodes.map(|node| (score(&hash, node), node)).collect();
    scored.sort_unstable_by(|a, b| b.cmp(a));
    scored.into_iter().map(|(_, node)| node).collect()
}

/// The owner of a key, which is the first node in its order, found without a sort.
#[must_use]
pub fn first(key: &[u8], nodes: impl Iterator<Item = Node>) -> Option<Node> {
    let hash = blake3::hash(key);
    nodes.max_by_key(|node| (score(&hash, *node), *node))
}

/// The weight of a node for a key. Hashes 36 bytes, which takes one compression.
fn score(key: &blake3::Hash, node: Node) -> u64 {
    let hash = blake3::keyed_hash(key.as_bytes(), &node.0.to_be_bytes());
    let mut first = [0; 8];
    first.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_be_bytes(first)
}
