//! Wire format of the simulator: frames of records. All numbers are little-endian, without padding.
mod decode;
mod encode;
mod error;
mod frame;

pub use decode::{Reader, Record};
pub use encode::{encode, encode_fault};
pub use error::WireError;
pub use frame::{read_frame, write_frame, Frame};
