//! Instances of the duty around a small fake of the key-value service, on a
//! virtual clock.

mod faults;
mod machine;
mod net;
mod parts;
