//! The real concurrency limit of one backend server, from observed latency and outcomes; see
//! docs/POLICY.md.

mod fixed;
mod gradient;
mod types;
mod window;

pub use fixed::Fixed;
pub use gradient::Gradient;
pub use types::{Limiter, Options, Outcome, Sample};
