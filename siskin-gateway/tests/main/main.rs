//! The runtime that forwards requests.

mod directory;
mod endpoint;
mod fixture;
mod hostile_answers;
mod leaving;
mod outcome;
mod pauses;
mod resume;
mod room;
mod seed;
mod silent_endpoints;
mod wave;
