//! Tests of the protocol between routers.

mod frame;
mod work;
