//! Load scenarios over the real sockets, with the three measures and the baselines.
