//! Concurrency limits of one backend server, either fixed or found from the observed latency and
//! outcomes of its requests; see docs/POLICY.md.

mod fixed;
mod gradient;
mod types;
mod window;

pub use fixed::Fixed;
pub use gradient::Gradient;
pub use types::{Limiter, Options, Outcome, Sample};
