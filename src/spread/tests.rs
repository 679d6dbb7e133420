//! Tests with several instances and an in-memory fake of the key-value service, on
//! a virtual clock.

mod faults;
mod head_and_splice;
mod machine;
mod net;
