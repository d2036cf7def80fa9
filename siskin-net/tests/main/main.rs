//! Tests of the network code shared by the programs.

mod relay;
mod relay_stop;
mod stop;
