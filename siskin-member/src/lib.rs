//! Membership by probing and gossip, and placement of roles by rendezvous hashing.
